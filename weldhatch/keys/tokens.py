"""Bearer tokens: signed (Ed25519, as JSON Web Tokens), with a name, a role, a tenant and an expiry. No I/O.

Several keys are good at a time, so that one can follow another without a gap; a token names the key that
signed it. A revoked token is named by its id until it would have expired anyway.
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
LEEWAY_S = 5.0  # clocks differ


class TokenError(ValueError):
    """A token that is not good; the text says why, and never holds the token."""


class Role(StrEnum):
    """What the bearer may call; the values stand in tokens."""

    MACHINE = "machine"  # a build machine: its own sessions and leases, under its name
    SUBMITTER = "submitter"  # its tenant's tasks
    OPERATOR = "operator"  # everybody's tasks


@dataclass(slots=True, frozen=True)
class Claims:
    """The identity in a token. `tenant` is '' for all; `expires` is in Unix seconds."""

    name: str
    role: Role
    tenant: str = ""
    id: str = ""
    expires: float = 0.0


def new_key() -> tuple[bytes, bytes]:
    """Make a key pair and return the private and the public key, both PEM."""
    private = Ed25519PrivateKey.generate()
    return (
        private.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()),
        private.public_key().public_bytes(Encoding.PEM, PublicFormat.SubjectPublicKeyInfo),
    )


def sign(claims: Claims, private: bytes, key_id: str, now: float) -> str:
    """Return the token of these claims, valid from `now` until `claims.expires` (Unix seconds)."""
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
    """The public keys that are valid, and the ids of revoked tokens."""

    def __init__(self, keys: Mapping[str, tuple[bytes, float]], revoked: Mapping[str, float]) -> None:
        """Load the keys.

        keys: by id, the PEM and the time at which each ends (Unix seconds; 0: never).
        revoked: by token id, the time of the revocation (Unix seconds).
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
            # The expiry is checked against the time that was given: this module reads no clock.
            body = jwt.decode(
                token,
                key,
                algorithms=[ALGORITHM],
                audience=AUDIENCE,
                options={"verify_exp": False, "verify_iat": False, "require": ["sub", "exp", "jti"]},
            )
        except jwt.PyJWTError as fault:
            raise TokenError(f"not good: {type(fault).__name__}") from None
        if now > body["exp"] + LEEWAY_S:
            raise TokenError("it has expired")
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


def may_call(who: Claims, collection: str) -> bool:
    """Return whether this caller may use a collection of calls at all.

    Which of its items are the caller's own is checked by the callee.
    """
    if collection == "botSessions":
        return who.role is Role.MACHINE
    return who.role in (Role.SUBMITTER, Role.OPERATOR)
