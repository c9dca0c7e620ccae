"""The server side of a TLS handshake, and the common name in the client's certificate."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from typing import Any

from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

HANDSHAKE_TIMEOUT_S = 5.0


async def accept_tls(stream: IOStream, context: ssl.SSLContext) -> tuple[IOStream, str]:
    """Return the encrypted stream, and the common name in the client's certificate ('' without one).

    Raises ConnectionError if the handshake fails; the socket is closed then.
    """
    # When a handshake fails, the stream no longer owns its socket and can't close it. Without the duplicate,
    # each client that speaks no TLS, or stays silent, would leak a descriptor.
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
