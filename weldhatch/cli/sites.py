"""`weldhatch sites`: what crosses between this gateway's site and the others, and operators' orders on it.

The keys of the gateway's JSON, and what the columns are called, are fixed.
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

control = click.option(
    "--control",
    metavar="HOST:PORT",
    default=config.PULL_QUEUE_DEFAULTS["control"] or None,
    help="The running gateway's control address.",
)
pull_file = click.option(
    "--pullqueue",
    "file",
    metavar="FILE",
    default="deploy/pullqueue.toml",
    show_default=True,
    help="The file that names the control address.",
)
COLUMNS = ("site", "link", "delay ms", "breaks", "epoch", "lent", "taken", "room told", "left out")


@click.group()
def sites() -> None:
    """Other sites: what is lent and taken, what is in doubt, and draining."""


def gateway(file: str, address: str | None) -> ControlClient:
    """Return the gateway at an address, or else at the one that a pull queue's file names."""
    tree = {} if address else config.read_pull_queue_file(file)
    return ControlClient(reconfiguration.address(tree, address))


@sites.command()
@pull_file
@control
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def status(file: str, control: str | None, as_json: bool) -> None:
    """Links, epochs, what is out where, and what is in doubt and why.

    Ends with 0 where every link is up and nothing is in doubt, with 1 otherwise.
    """
    report = gateway(file, control).sites()
    if as_json:
        click.echo(json.dumps(report))
    else:
        show(Console(), report)
    if not all(one["up"] and not one["doubt"] and not one["in_doubt"] for one in report["sites"].values()):
        raise click.exceptions.Exit(1)


def show(console: Console, report: dict[str, Any]) -> None:
    """Print the status as a person reads it."""
    state = "  [yellow]draining: takes nothing new[/]" if report["draining"] else ""
    console.print(f"site {escape(report['site'])}, epoch {report['epoch']}{state}")
    table = Table(*COLUMNS)
    for name, site in report["sites"].items():
        table.add_row(*_row(name, site))
    console.print(table)
    for name, site in report["sites"].items():
        if site["doubt"]:
            console.print(f"[red]{escape(name)}: no work passes: {escape(site['doubt'])}[/]")
        for transfer in site["in_doubt"]:
            console.print(
                f"in doubt at {escape(name)}: {transfer['id']}, {escape(transfer['class'])} "
                f"key {transfer['key']}: {escape(transfer['why'])}"
            )


def _row(name: str, site: dict[str, Any]) -> tuple[str, ...]:
    """Return the row of one site."""
    lent = ", ".join(f"{count} {phase}" for phase, count in site["lent"].items()) or "-"
    left_out = f"{site['left_out_s']:.0f} s" if site["left_out_s"] else "-"
    return (
        escape(name),
        _link(site),
        str(site["delay_ms"]),
        str(site["breaks"]),
        str(site["epoch"]),
        lent,
        str(site["taken"]),
        _summary(site["told"]),
        left_out,
    )


def _link(site: dict[str, Any]) -> str:
    """Return the state of a site's link."""
    if site["up"]:
        return "[green]up[/]"
    return "[red]older copy[/]" if site["doubt"] else "[red]down[/]"


def _summary(summary: dict[str, Any] | None) -> str:
    """Return what a site has told of its room, and when."""
    if summary is None:
        return "-"
    free = max(summary["free"].values(), default=0)
    draining = ", draining" if summary["draining"] else ""
    return f"{free} of {summary['size']}, {summary['age_s']:.0f} s ago{draining}"


@sites.command()
@pull_file
@control
@click.option("--undo", is_flag=True, help="Take new work again.")
def drain(file: str, control: str | None, undo: bool) -> None:
    """Take nothing new from other sites, and place nothing new here; what stands goes on."""
    gateway(file, control).send_sites_command({"draining": not undo})
    click.echo("it takes new work again" if undo else "it takes nothing new; what stands goes on")


@sites.command()
@click.argument("site")
@click.option("--yes", is_flag=True, help="Nothing of ours runs there any more: I have made sure of it.")
@pull_file
@control
def forget(site: str, yes: bool, file: str, control: str | None) -> None:
    """End all that is lent to SITE and in doubt there, and free its keys.

    Only for a site that will not come back with what it holds: a task that runs there could start a second
    time here.
    """
    if not yes:
        raise click.UsageError(
            "a task that still runs there could start a second time here: make sure that "
            "none does, then say --yes"
        )
    answer = gateway(file, control).send_sites_command({"forget": site})
    click.echo(f"{answer['forgotten']} transfers to {site} are over")
