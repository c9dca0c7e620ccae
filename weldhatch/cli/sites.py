"""`weldhatch sites`: what crosses between this gateway's site and the others, and operators' words on it."""

from __future__ import annotations

import json

import click
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from weldhatch import config
from weldhatch.pullqueue import reconfiguration

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


@click.group()
def sites() -> None:
    """Other sites: what is lent and taken, what is in doubt, and draining."""


def gateway(file: str, address: str | None) -> reconfiguration.Gateway:
    return reconfiguration.Gateway(
        reconfiguration.address({} if address else config.read_pull_queue_file(file), address)
    )


@sites.command()
@pull_file
@control
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def status(file: str, control: str | None, as_json: bool) -> None:
    """Links, epochs, what is out where, and what is in doubt and why.

    Ends with 0 where every link is up and nothing is in doubt, with 1 otherwise.
    """
    told = gateway(file, control).sites()
    if as_json:
        click.echo(json.dumps(told))
    else:
        show(Console(), told)
    if not all(one["up"] and not one["doubt"] and not one["in_doubt"] for one in told["sites"].values()):
        raise click.exceptions.Exit(1)


def show(console: Console, told: dict) -> None:
    """The status as a person reads it."""
    state = "  [yellow]draining: takes nothing new[/]" if told["draining"] else ""
    console.print(f"site {escape(told['site'])}, epoch {told['epoch']}{state}")
    table = Table("site", "link", "delay ms", "breaks", "epoch", "lent", "taken", "room told", "left out")
    for name, one in told["sites"].items():
        link = "[green]up[/]" if one["up"] else "[red]older copy[/]" if one["doubt"] else "[red]down[/]"
        lent = ", ".join(f"{count} {phase}" for phase, count in one["lent"].items()) or "-"
        room = (
            "-"
            if one["told"] is None
            else (
                f"{max(one['told']['free'].values(), default=0)} of {one['told']['size']}, "
                f"{one['told']['age_s']:.0f} s ago" + (", draining" if one["told"]["draining"] else "")
            )
        )
        left_out = f"{one['left_out_s']:.0f} s" if one["left_out_s"] else "-"
        table.add_row(
            escape(name),
            link,
            str(one["delay_ms"]),
            str(one["breaks"]),
            str(one["epoch"]),
            lent,
            str(one["taken"]),
            room,
            left_out,
        )
    console.print(table)
    for name, one in told["sites"].items():
        if one["doubt"]:
            console.print(f"[red]{escape(name)}: no work passes: {escape(one['doubt'])}[/]")
        for doubt in one["in_doubt"]:
            console.print(
                f"in doubt at {escape(name)}: {doubt['id']}, {escape(doubt['class'])} "
                f"key {doubt['key']}: {escape(doubt['why'])}"
            )


@sites.command()
@pull_file
@control
@click.option("--undo", is_flag=True, help="Take new work again.")
def drain(file: str, control: str | None, undo: bool) -> None:
    """Take nothing new from other sites, and place nothing new here; what stands goes on."""
    gateway(file, control).sites_word({"draining": not undo})
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
    told = gateway(file, control).sites_word({"forget": site})
    click.echo(f"{told['forgotten']} transfers to {site} are over")
