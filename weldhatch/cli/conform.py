"""`weldhatch conform`: the conformance suite of the pull queue against a running address."""

from __future__ import annotations

import asyncio

import click

from weldhatch.conform.runner import report, run
from weldhatch.conform.suite import Target


@click.command()
@click.argument("url")
@click.option("--only", default="", metavar="NUMBER", help="Only sentences whose number begins so.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--hall", default="hall-a", show_default=True, help="A hall of its settings.")
@click.option("--safe", default="match-lookup", show_default=True, help="A class that may be repeated.")
@click.option("--keyed", default="import-job", show_default=True, help="A class with job keys.")
@click.option("--unsafe", default="memory-writer", show_default=True, help="A class that never starts twice.")
def conform(url: str, only: str, as_json: bool, hall: str, safe: str, keyed: str, unsafe: str) -> None:
    """Play build machine and submitter at URL and say which sentences of docs/pullqueue.md hold.

    It needs a gateway without tokens, as for tests; 0 where all hold, 1 where one does not.
    """
    verdicts = asyncio.run(run(Target(url, hall, safe, keyed, unsafe), only))
    click.echo(report(verdicts, as_json))
    if not verdicts or not all(one.holds for one in verdicts):
        raise click.exceptions.Exit(1)
