"""`weldhatch keys`: a certificate authority, certificates and tokens for the pull queue."""

from __future__ import annotations

import datetime
import time

import click

from weldhatch.keys.certificates import LEAF_DAYS, describe
from weldhatch.keys.folder import KeyFolder
from weldhatch.keys.tokens import Role


def utc_now() -> datetime.datetime:
    """Return the current date and time in UTC."""
    return datetime.datetime.now(datetime.UTC)


@click.group()
def keys() -> None:
    """Certificates and tokens for the pull queue.

    FOLDER is the value of `security.keys` in the settings file of the pull queue. A running gateway reads the
    folder again on SIGHUP.
    """


@keys.command()
@click.argument("folder")
@click.option("--name", default="weldhatch", show_default=True, help="The name of the authority.")
def init(folder: str, name: str) -> None:
    """Create FOLDER with a new certificate authority and a first signing key for tokens."""
    KeyFolder(folder).initialize(name, utc_now())
    click.echo(f"{folder} holds an authority and a key for tokens; keep ca.key and signing/ to yourself")


@keys.command()
@click.argument("folder")
@click.option("--name", default="gateway", show_default=True, help="The common name of the certificate.")
@click.option(
    "--host",
    "hosts",
    multiple=True,
    default=("127.0.0.1", "localhost"),
    show_default=True,
    help="A host name or address of the gateway; may be given several times.",
)
@click.option("--days", default=LEAF_DAYS, show_default=True, type=click.IntRange(1, 3650))
def server(folder: str, name: str, hosts: tuple[str, ...], days: int) -> None:
    """Create or renew the certificate of the gateway."""
    click.echo(
        f"{KeyFolder(folder).issue_certificate(name, list(hosts), True, utc_now(), days)}"
        f": good for {days} days"
    )


@keys.command()
@click.argument("folder")
@click.argument("name")
@click.option("--days", default=LEAF_DAYS, show_default=True, type=click.IntRange(1, 3650))
def client(folder: str, name: str, days: int) -> None:
    """Create or renew the certificate of a client; the NAME of a build machine is its bot id."""
    click.echo(
        f"{KeyFolder(folder).issue_certificate(name, [], False, utc_now(), days)}: good for {days} days"
    )


@keys.command()
@click.argument("folder")
@click.argument("name")
@click.option("--role", type=click.Choice([role.value for role in Role]), required=True)
@click.option("--tenant", default="", help="The tenant whose tasks a submitter may see and end.")
@click.option("--hours", default=24.0, show_default=True, type=click.FloatRange(0.01, 24 * 366))
def token(folder: str, name: str, role: str, tenant: str, hours: float) -> None:
    """Print a token for NAME; the token's id, which `revoke` takes, goes to standard error."""
    if role == Role.SUBMITTER and not tenant:
        raise click.UsageError("--tenant: a submitter's token names its tenant")
    text, claims = KeyFolder(folder).issue_token(name, Role(role), tenant, time.time(), hours * 3600)
    click.echo(text)
    click.echo(f"token {claims.id}", err=True)


@keys.command()
@click.argument("folder")
@click.option(
    "--overlap-hours",
    default=168.0,
    show_default=True,
    type=click.FloatRange(0, 24 * 366),
    help="How long tokens signed with earlier keys stay valid.",
)
def rotate(folder: str, overlap_hours: float) -> None:
    """Create a new key that signs all tokens from now on."""
    click.echo(f"{KeyFolder(folder).rotate(time.time(), overlap_hours * 3600)} signs from now on")


@keys.command()
@click.argument("folder")
@click.argument("token_id")
def revoke(folder: str, token_id: str) -> None:
    """Revoke a token by its id."""
    KeyFolder(folder).revoke(token_id, time.time())
    click.echo(f"{token_id} is revoked; gateways know on SIGHUP")


@keys.command()
@click.argument("folder")
def show(folder: str) -> None:
    """List the certificates of FOLDER and when they expire."""
    for path in sorted(KeyFolder(folder).path.rglob("*.pem")):
        if "signing" not in path.parts:
            name, until = describe(path.read_bytes())
            click.echo(f"{path}: {name}, until {until:%Y-%m-%d %H:%M} UTC")
