"""Authentication of callers of the pull queue by a bearer token or a client certificate.

The libraries for it are imported only if the gateway is configured to use TLS or tokens.
"""

from __future__ import annotations

import ssl
import time
from typing import TYPE_CHECKING

from tornado.iostream import IOStream

from weldhatch.config import ConfigError, SecurityConfig
from weldhatch.net.tls import accept_tls
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request

if TYPE_CHECKING:
    from weldhatch.keys.tokens import Claims


class Security:
    """The gateway's certificate and keyring. `load` reads both again; open connections keep the old ones."""

    def __init__(self, config: SecurityConfig) -> None:
        """Load the certificate and the keyring. Raises ConfigError."""
        self._config = config
        self._context: ssl.SSLContext | None = None
        self._keyring = None
        self.load()

    def load(self) -> None:
        """Load the certificate and the keyring.

        Raises ConfigError naming the file that can't be used; the old certificate and keyring stay in use.
        """
        if not self._config.tls and not self._config.tokens:
            return
        from weldhatch.keys.folder import KeyFolder, KeysError  # imports cryptography, so only when needed

        folder = KeyFolder(self._config.keys)
        try:
            context = folder.server_context(self._config.tls == "mutual") if self._config.tls else None
            keyring = folder.keyring() if self._config.tokens else None
        except KeysError as fault:
            raise ConfigError(f"security: {fault}") from None
        self._context, self._keyring = context, keyring

    @property
    def requires_authentication(self) -> bool:
        """Whether callers must authenticate themselves."""
        return bool(self._config.tokens or self._config.tls == "mutual")

    async def accept_tls(self, stream: IOStream) -> tuple[IOStream, str]:
        """Do the TLS handshake, if TLS is configured.

        Returns the stream to use from now on, and the name in the client's certificate. Raises OSError if the
        handshake fails.
        """
        if self._context is None:
            return stream, ""
        return await accept_tls(stream, self._context)

    def identify(self, request: Request, collection: str) -> Claims | None:
        """Return the claims of the caller; None if callers need no authentication.

        Raises HttpError: 401 for an unauthenticated caller, 403 for a caller without the permission.
        """
        if not self.requires_authentication:
            return None
        from weldhatch.keys.tokens import Claims, Role, TokenError, may_call

        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        if token and self._keyring is not None:
            if scheme.lower() != "bearer":
                raise HttpError(401, "a bearer token is needed", "authorization")
            try:
                claims = self._keyring.verify(token.strip(), time.time())
            except TokenError as fault:
                raise HttpError(401, f"the token: {fault}", "authorization") from None
            if request.certificate and claims.role is Role.MACHINE and claims.name != request.certificate:
                raise HttpError(403, "the token is another's than the certificate", "authorization")
        elif request.certificate and collection == "botSessions":
            claims = Claims(request.certificate, Role.MACHINE)  # machines need no token
        else:
            raise HttpError(401, "a bearer token is needed", "authorization")
        if not may_call(claims, collection):
            raise HttpError(403, f"the role {claims.role} may not use {collection}", "authorization")
        return claims
