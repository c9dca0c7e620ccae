"""`weldhatch sites`: transfers between the gateway's site and other sites, and operators' commands on them.

The keys of the gateway's JSON and the titles of the columns are fixed: operators' tools read them.
"""

from __future__ import annotations

import json
from typing import Any

import click
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from weldhatch import config
from weldhatch.pullqueue import reconfiguration
from weldhatch.pullqueue.reconfiguration import ControlClient

control_option = click.option(
    "--control",
    metavar="HOST:PORT",
    default=config.PULL_QUEUE_DEFAULTS["control"] or None,
    help="The running gateway's control address.",
)
file_option = click.option(
    "--pullqueue",
    "file",
    metavar="FILE",
    default="deploy/pullqueue.toml",
    show_default=True,
    help="The settings file that names the control address.",
)
STATUS_COLUMNS = ("site", "link", "delay ms", "breaks", "epoch", "lent", "taken", "room told", "left out")


@click.group()
def sites() -> None:
    """Other sites: tasks that are lent, taken or in doubt, and draining."""


def connect(file: str, address: str | None) -> ControlClient:
    """Return a client of the gateway at `address`, or at the control address that `file` names."""
    tree = {} if address else config.read_pull_queue_file(file)
    return ControlClient(reconfiguration.address(tree, address))


@sites.command()
@file_option
@control_option
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def status(file: str, control: str | None, as_json: bool) -> None:
    """Show links, epochs, lent and taken tasks, and what is in doubt and why.

    Exit codes: 0 if every link is up and nothing is in doubt, 1 otherwise.
    """
    report = connect(file, control).sites()
    if as_json:
        click.echo(json.dumps(report))
    else:
        print_status(Console(), report)
    if not all(
        site["up"] and not site["doubt"] and not site["in_doubt"] for site in report["sites"].values()
    ):
        raise click.exceptions.Exit(1)


def print_status(console: Console, report: dict[str, Any]) -> None:
    """Print the status report as text and a table."""
    state = "  [yellow]draining: takes nothing new[/]" if report["draining"] else ""
    console.print(f"site {escape(report['site'])}, epoch {report['epoch']}{state}")
    table = Table(*STATUS_COLUMNS)
    for name, site in report["sites"].items():
        table.add_row(*_status_row(name, site))
    console.print(table)
    for name, site in report["sites"].items():
        if site["doubt"]:
            console.print(f"[red]{escape(name)}: no work passes: {escape(site['doubt'])}[/]")
        for transfer in site["in_doubt"]:
            console.print(
                f"in doubt at {escape(name)}: {transfer['id']}, {escape(transfer['class'])} "
                f"key {transfer['key']}: {escape(transfer['why'])}"
            )


def _status_row(name: str, site: dict[str, Any]) -> tuple[str, ...]:
    """Return the row of one site in the status table."""
    lent = ", ".join(f"{count} {phase}" for phase, count in site["lent"].items()) or "-"
    left_out = f"{site['left_out_s']:.0f} s" if site["left_out_s"] else "-"
    return (
        escape(name),
        _link_state(site),
        str(site["delay_ms"]),
        str(site["breaks"]),
        str(site["epoch"]),
        lent,
        str(site["taken"]),
        _free_capacity(site["told"]),
        left_out,
    )


def _link_state(site: dict[str, Any]) -> str:
    """Return the state of the link to a site, with markup."""
    if site["up"]:
        return "[green]up[/]"
    return "[red]older copy[/]" if site["doubt"] else "[red]down[/]"


def _free_capacity(summary: dict[str, Any] | None) -> str:
    """Return the free capacity that a site last reported, and the age of that report."""
    if summary is None:
        return "-"
    free = max(summary["free"].values(), default=0)
    draining = ", draining" if summary["draining"] else ""
    return f"{free} of {summary['size']}, {summary['age_s']:.0f} s ago{draining}"


@sites.command()
@file_option
@control_option
@click.option("--undo", is_flag=True, help="Accept new work again.")
def drain(file: str, control: str | None, undo: bool) -> None:
    """Accept no new work from other sites and place none here; running tasks continue."""
    connect(file, control).send_sites_command({"draining": not undo})
    click.echo("it takes new work again" if undo else "it takes nothing new; what stands goes on")


@sites.command()
@click.argument("site")
@click.option("--yes", is_flag=True, help="Confirm that none of this site's tasks still runs there.")
@file_option
@control_option
def forget(site: str, yes: bool, file: str, control: str | None) -> None:
    """End all transfers to SITE, also those in doubt, and free their keys.

    Use this only for a site that will not return with the tasks it holds: a task that still runs there could
    start a second time here.
    """
    if not yes:
        raise click.UsageError(
            "a task that still runs there could start a second time here: make sure that "
            "none does, then say --yes"
        )
    answer = connect(file, control).send_sites_command({"forget": site})
    click.echo(f"{answer['forgotten']} transfers to {site} are over")
