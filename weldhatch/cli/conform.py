"""`weldhatch conform`: runs the conformance suite of the pull queue against a running gateway."""

from __future__ import annotations

import asyncio

import click

from weldhatch.conform.runner import report, run
from weldhatch.conform.suite import Target


@click.command()
@click.argument("url")
@click.option(
    "--only", default="", metavar="NUMBER", help="Check only sentences whose number starts with NUMBER."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--hall", default="hall-a", show_default=True, help="A zone of the gateway's settings.")
@click.option(
    "--safe", default="match-lookup", show_default=True, help="A class whose tasks may be started again."
)
@click.option("--keyed", default="import-job", show_default=True, help="A class whose tasks have a job key.")
@click.option(
    "--unsafe", default="memory-writer", show_default=True, help="A class whose tasks must not start twice."
)
def conform(url: str, only: str, as_json: bool, hall: str, safe: str, keyed: str, unsafe: str) -> None:
    """Act as a build machine and a submitter at URL, and report which sentences of docs/pullqueue.md hold.

    The gateway must run without tokens, as in tests. Exit codes: 0 if all sentences hold, 1 otherwise.
    """
    verdicts = asyncio.run(run(Target(url, hall, safe, keyed, unsafe), only))
    click.echo(report(verdicts, as_json))
    if not verdicts or not all(verdict.holds for verdict in verdicts):
        raise click.exceptions.Exit(1)
