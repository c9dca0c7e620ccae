"""Bearer tokens: JSON Web Tokens signed with Ed25519, with a name, a role, a tenant and an expiry. No I/O.

Several signing keys can be valid at the same time, so that a rotation rejects no valid token; the header of
a token names its key. A revoked token is rejected by its id.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import cast

import jwt
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
    load_pem_private_key,
    load_pem_public_key,
)

ALGORITHM = "EdDSA"
AUDIENCE = "weldhatch"
LEEWAY_S = 5.0  # the clocks of issuer and verifier may differ


class TokenError(ValueError):
    """A token is invalid; the text gives the reason and never contains the token."""


class Role(StrEnum):
    """The permissions of the bearer; the values are written in tokens."""

    MACHINE = "machine"  # a build machine, for the sessions and leases under its name
    SUBMITTER = "submitter"  # a submitter, for the tasks of its tenant
    OPERATOR = "operator"  # an operator, for the tasks of all tenants


@dataclass(slots=True, frozen=True)
class Claims:
    """The identity in a token. `tenant` is '' for all tenants; `expires` is in Unix seconds."""

    name: str
    role: Role
    tenant: str = ""
    id: str = ""
    expires: float = 0.0


def new_key() -> tuple[bytes, bytes]:
    """Make a key pair; return the private and the public key, both PEM."""
    private = Ed25519PrivateKey.generate()
    return (
        private.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()),
        private.public_key().public_bytes(Encoding.PEM, PublicFormat.SubjectPublicKeyInfo),
    )


def sign(claims: Claims, private: bytes, key_id: str, now: float) -> str:
    """Return a signed token with these claims, valid from `now` until `claims.expires` (Unix seconds)."""
    body = {
        "sub": claims.name,
        "role": claims.role.value,
        "tenant": claims.tenant,
        "jti": claims.id,
        "exp": int(claims.expires),
        "iat": int(now),
        "aud": AUDIENCE,
    }
    key = cast(Ed25519PrivateKey, load_pem_private_key(private, None))
    return jwt.encode(body, key, ALGORITHM, headers={"kid": key_id})


class Keyring:
    """The public keys that verify tokens, and the ids of revoked tokens."""

    def __init__(self, keys: Mapping[str, tuple[bytes, float]], revoked: Mapping[str, float]) -> None:
        """Load the keys.

        keys: by key id, the PEM and the time of expiry (Unix seconds; 0: never).
        revoked: by token id, the time of revocation (Unix seconds).
        """
        self._keys = {
            name: (cast(Ed25519PublicKey, load_pem_public_key(pem)), until)
            for name, (pem, until) in keys.items()
        }
        self._revoked = dict(revoked)

    def verify(self, token: str, now: float) -> Claims:
        """Return the claims of a token at `now` (Unix seconds). Raises TokenError with the reason."""
        try:
            key_id = jwt.get_unverified_header(token).get("kid")
        except jwt.PyJWTError:
            raise TokenError("this is no token") from None
        if key_id not in self._keys:
            raise TokenError("signed by a key that is not known here")
        key, until = self._keys[key_id]
        if until and now > until:
            raise TokenError("signed by a key that is no longer good")
        try:
            # The times are checked below against `now`, since this module reads no clock.
            body = jwt.decode(
                token,
                key,
                algorithms=[ALGORITHM],
                audience=AUDIENCE,
                options={"verify_exp": False, "verify_iat": False, "require": ["sub", "exp", "jti"]},
            )
        except jwt.PyJWTError as error:
            raise TokenError(f"not good: {type(error).__name__}") from None
        if now > body["exp"] + LEEWAY_S:
            raise TokenError("it has expired")
        # Beyond the leeway, the issuer's clock may be up to 60 s ahead.
        if now < body.get("iat", 0) - 60 - LEEWAY_S:
            raise TokenError("it is from the future: clocks differ")
        if body["jti"] in self._revoked:
            raise TokenError("it was revoked")
        try:
            return Claims(
                body["sub"], Role(str(body.get("role"))), body.get("tenant") or "", body["jti"], body["exp"]
            )
        except ValueError:
            raise TokenError("it has no role that is known here") from None


def may_call(caller: Claims, collection: str) -> bool:
    """Return whether the caller's role permits calls of a collection.

    The handler of a call checks whether the item belongs to the caller.
    """
    if collection == "botSessions":
        return caller.role is Role.MACHINE
    return caller.role in (Role.SUBMITTER, Role.OPERATOR)
