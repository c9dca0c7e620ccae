"""The serving side of a TLS handshake, and the name that the other side's certificate shows."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from typing import Any

from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

HANDSHAKE_TIMEOUT_S = 5.0


async def accept_tls(stream: IOStream, context: ssl.SSLContext) -> tuple[IOStream, str]:
    """Return the stream to go on with, and the common name in the client's certificate, '' without one.

    Raises ConnectionError where it fails; the socket is closed then.
    """
    # The stream has given its socket away by the time a handshake fails, and can't close it: guards against
    # a descriptor that is lost with each client that speaks no TLS, or says nothing.
    duplicate = stream.socket.dup()
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            secure: SSLIOStream = await stream.start_tls(True, context)
    except (StreamClosedError, TimeoutError, ssl.SSLError) as error:
        with contextlib.suppress(OSError):
            duplicate.shutdown(socket.SHUT_RDWR)
        raise ConnectionError(f"no TLS: {error}") from None
    finally:
        duplicate.close()
    certificate: dict[str, Any] | None = None
    if context.verify_mode is ssl.CERT_REQUIRED:
        certificate = secure.socket.getpeercert()
    subject = (certificate or {}).get("subject", ())
    names = [value for part in subject for key, value in part if key == "commonName"]
    return secure, names[0] if names else ""
