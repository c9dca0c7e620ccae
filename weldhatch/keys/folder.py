"""The key folder that `weldhatch keys` writes and a gateway reads.

ca.pem ca.key            the certificate authority; ca.key can be stored elsewhere
server.pem server.key    the certificate and key of the gateway
clients/NAME.pem .key    the certificates and keys of machines and submitters, for distribution to them
tokens.json              the public keys of tokens with their expiry, and the ids of revoked tokens
signing/ID.pem           the private keys that sign tokens; a gateway needs none of them
"""

from __future__ import annotations

import datetime
import json
import os
import secrets
import ssl
from pathlib import Path
from typing import Any

from weldhatch.keys import certificates, tokens
from weldhatch.keys.errors import KeysError

ROTATE_OVERLAP_S = 7 * 86400.0


class KeyFolder:
    """One folder of keys.

    Files are replaced atomically; files with private keys are readable by their owner only.
    """

    def __init__(self, path: str | Path) -> None:
        """Use the folder at `path`, without reading or creating anything."""
        self.path = Path(path)

    def _write(self, name: str, data: bytes, private: bool = False) -> None:
        target = self.path / name
        target.parent.mkdir(parents=True, exist_ok=True)
        temporary = target.with_name(f"{target.name}.new")
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600 if private else 0o644)
        try:
            os.write(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, target)

    def _read(self, name: str) -> bytes:
        try:
            return (self.path / name).read_bytes()
        except OSError as error:
            raise KeysError(f"{self.path / name}: {error.strerror}") from None

    # ---- certificates --------------------------------------------------------------------------------------

    def initialize(self, common_name: str, now: datetime.datetime) -> None:
        """Make a new authority and the first signing key. Raises KeysError if there is an authority."""
        if (self.path / "ca.pem").exists():
            raise KeysError(f"{self.path / 'ca.pem'}: there is an authority already")
        certificate, key = certificates.make_authority(common_name, now)
        self._write("ca.pem", certificate)
        self._write("ca.key", key, private=True)
        self._write_tokens({"keys": {}, "revoked": {}})
        self.rotate(now.timestamp())

    def issue_certificate(
        self, common_name: str, names: list[str], server: bool, now: datetime.datetime, days: int
    ) -> Path:
        """Make a certificate for the gateway or for a client, and return its path.

        Raises KeysError if `common_name` cannot be a file name or the authority cannot be read.
        """
        if not common_name or "/" in common_name or common_name.startswith("."):
            raise KeysError(f"{common_name!r}: this can't be a certificate's name")
        certificate_and_key = certificates.make_leaf(
            (self._read("ca.pem"), self._read("ca.key")), common_name, names, server, now, days
        )
        stem = "server" if server else f"clients/{common_name}"
        self._write(f"{stem}.key", certificate_and_key[1], private=True)
        self._write(f"{stem}.pem", certificate_and_key[0])
        return self.path / f"{stem}.pem"

    def server_context(self, mutual: bool) -> ssl.SSLContext:
        """Return the TLS context of a gateway; `mutual` requires client certificates of the authority.

        Raises KeysError if a file is missing or cannot be used.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        for name in ("server.pem", "server.key", "ca.pem"):
            self._read(name)  # raises an error that names a missing file
        try:
            context.load_cert_chain(self.path / "server.pem", self.path / "server.key")
            if mutual:
                context.load_verify_locations(self.path / "ca.pem")
                context.verify_mode = ssl.CERT_REQUIRED
        except (ssl.SSLError, OSError) as error:
            raise KeysError(f"{self.path}: server.pem, server.key or ca.pem can't be used: {error}") from None
        return context

    def client_context(self, name: str) -> ssl.SSLContext:
        """Return the TLS context of the client `name`, with its certificate and verification of the server.

        Raises KeysError if a file is missing or cannot be used.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        for file in ("ca.pem", f"clients/{name}.pem", f"clients/{name}.key"):
            self._read(file)  # raises an error that names a missing file
        try:
            context.load_verify_locations(self.path / "ca.pem")
            stem = self.path / "clients" / name
            context.load_cert_chain(f"{stem}.pem", f"{stem}.key")
        except (ssl.SSLError, OSError) as error:
            raise KeysError(f"{self.path}: ca.pem or clients/{name} can't be used: {error}") from None
        return context

    # ---- tokens --------------------------------------------------------------------------------------------

    def _read_tokens(self) -> dict[str, Any]:
        try:
            tree = json.loads(self._read("tokens.json"))
            return {"keys": dict(tree["keys"]), "revoked": dict(tree["revoked"])}
        except (ValueError, KeyError, TypeError) as error:
            raise KeysError(f"{self.path / 'tokens.json'}: {error!r}") from None

    def _write_tokens(self, tree: dict[str, Any]) -> None:
        self._write("tokens.json", json.dumps(tree, indent=1).encode())

    def rotate(self, now: float, overlap_s: float = ROTATE_OVERLAP_S) -> str:
        """Make a new signing key, used from `now` (Unix seconds) on, and return its id.

        Tokens of the previous signing key are accepted for another `overlap_s` seconds.
        """
        tree = self._read_tokens()
        for entry in tree["keys"].values():
            entry["until"] = entry["until"] or now + overlap_s
        tree["keys"] = {
            name: entry for name, entry in tree["keys"].items() if not entry["until"] or entry["until"] > now
        }
        key_id = f"k{secrets.token_hex(4)}"
        private, public = tokens.new_key()
        tree["keys"][key_id] = {"public": public.decode(), "until": 0, "made": now}
        self._write(f"signing/{key_id}.pem", private, private=True)
        self._write_tokens(tree)
        return key_id

    def issue_token(
        self, name: str, role: tokens.Role, tenant: str, now: float, seconds: float
    ) -> tuple[str, tokens.Claims]:
        """Return a new token, signed by the newest key and valid for `seconds`, and its claims."""
        keys = self._read_tokens()["keys"]
        newest = max((entry["made"], key_id) for key_id, entry in keys.items() if not entry["until"])[1]
        claims = tokens.Claims(name, role, tenant, f"t{secrets.token_hex(8)}", now + seconds)
        return tokens.sign(claims, self._read(f"signing/{newest}.pem"), newest, now), claims

    def revoke(self, token_id: str, now: float) -> None:
        """Revoke the token with this id at `now` (Unix seconds)."""
        tree = self._read_tokens()
        tree["revoked"][token_id] = now
        self._write_tokens(tree)

    def keyring(self) -> tokens.Keyring:
        """Return the public keys and the ids of revoked tokens.

        Raises KeysError if tokens.json cannot be used.
        """
        tree = self._read_tokens()
        try:
            return tokens.Keyring(
                {
                    name: (entry["public"].encode(), float(entry["until"]))
                    for name, entry in tree["keys"].items()
                },
                tree["revoked"],
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise KeysError(f"{self.path / 'tokens.json'}: {error!r}") from None
