"""Who calls the pull queue: by a bearer token, or by the certificate that its connection showed.

Its libraries are imported only where a gateway asks for them.
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
    """The gateway's certificate and keyring. `load` reads both anew; open connections keep what they have."""

    def __init__(self, told: SecurityConfig) -> None:
        self._told = told
        self._context: ssl.SSLContext | None = None
        self._keyring = None
        self.load()

    def load(self) -> None:
        """Raises ConfigError naming the file that can't be used; what was loaded before stays then."""
        if not self._told.tls and not self._told.tokens:
            return
        from weldhatch.keys.folder import KeyFolder, KeysError  # cryptography: only where it is asked for

        folder = KeyFolder(self._told.keys)
        try:
            context = folder.server_context(self._told.tls == "mutual") if self._told.tls else None
            keyring = folder.keyring() if self._told.tokens else None
        except KeysError as fault:
            raise ConfigError(f"security: {fault}") from None
        self._context, self._keyring = context, keyring

    @property
    def asks(self) -> bool:
        """Must callers say who they are?"""
        return bool(self._told.tokens or self._told.tls == "mutual")

    async def accept_tls(self, stream: IOStream) -> tuple[IOStream, str]:
        """The stream to go on with, and the name in the client's certificate. Raises OSError where it
        fails."""
        if self._context is None:
            return stream, ""
        return await accept_tls(stream, self._context)

    def who(self, request: Request, collection: str) -> Claims | None:
        """Whose call this is; None where nobody is asked. Raises HttpError: 401 for nobody, 403 for the
        wrong one."""
        if not self.asks:
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
            claims = Claims(request.certificate, Role.MACHINE)  # a machine's certificate is enough
        else:
            raise HttpError(401, "a bearer token is needed", "authorization")
        if not may_call(claims, collection):
            raise HttpError(403, f"the role {claims.role} may not use {collection}", "authorization")
        return claims
