"""Issues certificates with a private authority, for gateways, machines and submitters. No I/O."""

from __future__ import annotations

import datetime
import ipaddress
from typing import cast

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

AUTHORITY_DAYS = 3650
LEAF_DAYS = 90
BACKDATE = datetime.timedelta(minutes=5)  # the peers' clocks may be behind

CertificateAndKey = tuple[bytes, bytes]  # both PEM; the key is private


def _subject(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())


def make_authority(common_name: str, now: datetime.datetime, days: int = AUTHORITY_DAYS) -> CertificateAndKey:
    """Make the self-signed certificate of an authority, valid for `days`, and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = (
        x509.CertificateBuilder()
        .subject_name(_subject(common_name))
        .issuer_name(_subject(common_name))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - BACKDATE)
        .not_valid_after(now + datetime.timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .add_extension(_usage(sign_certificates=True), critical=True)
        .sign(key, hashes.SHA256())
    )
    return certificate.public_bytes(Encoding.PEM), _key_bytes(key)


def _usage(sign_certificates: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not sign_certificates,
        key_cert_sign=sign_certificates,
        crl_sign=sign_certificates,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        encipher_only=False,
        decipher_only=False,
    )


def make_leaf(
    signer: CertificateAndKey,
    common_name: str,
    names: list[str],
    server: bool,
    now: datetime.datetime,
    days: int = LEAF_DAYS,
) -> CertificateAndKey:
    """Make a certificate signed by the authority, and its key.

    signer: the certificate and key of the authority.
    common_name: the common name of the subject.
    names: host names and IP addresses of a gateway.
    server: whether the certificate is for a gateway rather than a client.
    days: the validity from `now` on.
    """
    ca = x509.load_pem_x509_certificate(signer[0])
    # `make_authority` makes EC keys; the types that the library returns also cover keys that cannot sign.
    ca_public = cast(ec.EllipticCurvePublicKey, ca.public_key())
    ca_key = cast(ec.EllipticCurvePrivateKey, load_pem_private_key(signer[1], None))
    key = ec.generate_private_key(ec.SECP256R1())
    usage = ExtendedKeyUsageOID.SERVER_AUTH if server else ExtendedKeyUsageOID.CLIENT_AUTH
    builder = (
        x509.CertificateBuilder()
        .subject_name(_subject(common_name))
        .issuer_name(ca.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - BACKDATE)
        .not_valid_after(now + datetime.timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
        .add_extension(_usage(sign_certificates=False), critical=True)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(ca_public), critical=False)
    )
    if names:
        builder = builder.add_extension(
            x509.SubjectAlternativeName([_general_name(name) for name in names]), critical=False
        )
    return builder.sign(ca_key, hashes.SHA256()).public_bytes(Encoding.PEM), _key_bytes(key)


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def describe(pem: bytes) -> tuple[str, datetime.datetime]:
    """Return the common name of a PEM certificate and the time at which it expires (UTC)."""
    certificate = x509.load_pem_x509_certificate(pem)
    common_name = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value
    return cast(str, common_name), certificate.not_valid_after_utc
