"""`weldhatch zones`: zones and racks that a group evacuates and restores, and operators' commands on them."""

from __future__ import annotations

import getpass
import json
from collections.abc import Mapping
from datetime import UTC, datetime

import click
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from weldhatch.applying.runner import Exit
from weldhatch.cli.rules import group_gateway, group_options, print_answer
from weldhatch.pullqueue import reconfiguration

_STYLES = {"serving": "green", "suspected": "yellow", "leaving": "red", "left": "red", "returning": "cyan"}
_EXIT_CODES = {"moved": Exit.MOVED, "order": 4, "last": 4, "room": 4}


@click.group()
def zones() -> None:
    """Evacuation and restoration of zones and racks."""


@zones.command()
@group_options
def status(pull_file: str, control: str | None, as_json: bool) -> int:
    """Show the state of each zone, the witnesses' reports, and the start quotas granted for a return.

    Exit codes: 0 if all zones serve, none is held and the leader answers, 1 otherwise.
    """
    answer = group_gateway(pull_file, control).call("GET", "zones")
    print_answer(answer, as_json, lambda console: _print_status(console, answer))
    all_serving = all(
        place["phase"] == "serving" and not place["held"] for place in answer["entries"].values()
    )
    return 0 if all_serving and answer["seen_by_leader"] else 1


def _print_status(console: Console, answer: Mapping) -> None:
    leader = answer["seen_by_leader"]
    console.print(
        f"{escape(answer['name'])}: {answer['footing']}; "
        f"{answer['fenced']} tasks may still run behind a cut"
    )
    if not leader:
        console.print("[red]no leader answers, or this group does not leave zones[/]")
        leader = {"witnesses": {}, "shares": {}, "kept_last": [], "reports": {}}
    table = Table("place", "state", "down by", "up by", "inside up", "shares out", "why")
    for name in sorted({*answer["entries"], *leader["witnesses"]}):
        place = answer["entries"].get(name, {"phase": "serving", "step": 0, "why": "", "held": False})
        witnesses = leader["witnesses"].get(name, {"down": [], "up": [], "inside": []})
        share = leader["shares"].get(name)
        phase = (
            f"[{_STYLES[place['phase']]}]{place['phase']}[/]"
            + (f" {place['step']}/4" if place["phase"] == "returning" else "")
            + (" (held)" if place["held"] else "")
        )
        table.add_row(
            escape(name),
            phase,
            *(_abbreviate(witnesses[key]) for key in ("down", "up", "inside")),
            f"{share['shares']} of {share['of']}" if share else "",
            escape(place["why"]),
        )
    console.print(table)
    for name in leader["kept_last"]:
        console.print(f"[red]{escape(name)} is called down, and is the last zone that serves: it is kept[/]")
    for name, dispatcher in sorted(leader["reports"].items()):
        if dispatcher["cut"]:
            console.print(f"[yellow]{escape(name)} says: {escape(dispatcher['cut'])}[/]")


def _abbreviate(names: list[str]) -> str:
    return escape(" ".join(names[:4]) + (f" and {len(names) - 4} more" if len(names) > 4 else ""))


@zones.command()
@group_options
def history(pull_file: str, control: str | None, as_json: bool) -> None:
    """List all changes of state, with their witnesses and reasons."""
    answer = group_gateway(pull_file, control).call("GET", "zones")

    def print_table(console: Console) -> None:
        table = Table("change", "place", "state", "by", "witnesses", "turned away", "why")
        for change in answer["history"]:
            step = f" {change['step']}/4" if change["phase"] == "returning" else ""
            decided_at = (
                f" {datetime.fromtimestamp(change['at'], UTC):%Y-%m-%d %H:%M:%SZ}" if change["at"] else ""
            )
            table.add_row(
                str(change["number"]),
                escape(change["place"]),
                change["phase"] + step,
                escape(change["by"]) + decided_at,
                _abbreviate(change["witnesses"]),
                escape(_format_shed_load(change["shed"], change.get("tenants", {}))),
                escape(change["why"]),
            )
        console.print(table)

    print_answer({"history": answer["history"]}, as_json, print_table)


def _format_shed_load(shed: Mapping[str, float], tenants: Mapping[str, Mapping[str, float]]) -> str:
    """Return the shed load by class and tenant, such as `40% lookup (acme 90%, other 0%)`."""
    classes = []
    for cls, fraction in shed.items():
        by_tenant = ", ".join(f"{name} {portion:.0%}" for name, portion in tenants.get(cls, {}).items())
        classes.append(f"{fraction:.0%} {cls}" + (f" ({by_tenant})" if by_tenant else ""))
    return ", ".join(classes)


def _send_command(
    command: str, place: str, why: str, despite: bool, pull_file: str, control: str | None, as_json: bool
) -> int:
    try:
        answer = group_gateway(pull_file, control).call(
            "POST",
            "zones",
            {"word": command, "place": place, "why": why, "by": getpass.getuser(), "despite": despite},
        )
    except reconfiguration.Refused as error:
        if error.field not in _EXIT_CODES:
            raise
        if as_json:
            click.echo(json.dumps({"error": error.field, "text": str(error)}))
        click.echo(f"weldhatch: {error}", err=True)
        return _EXIT_CODES[error.field]
    print_answer(
        answer,
        as_json,
        lambda console: console.print(f"{escape(place)}: {command}, change {answer['number']}"),
    )
    return Exit.DONE


_why_option = click.option("--why", required=True, help="The reason; kept in the history.")


@zones.command()
@click.argument("place", metavar="ZONE[/RACK]")
@_why_option
@click.option(
    "--despite", is_flag=True, help="Leave even if the remaining zones lack the capacity for its work."
)
@group_options
def leave(place: str, why: str, despite: bool, pull_file: str, control: str | None, as_json: bool) -> int:
    """Leave a zone or rack for maintenance: no new work is placed there until `return`.

    Exit codes: 0 once the change is decided, 3 if the state has changed in the meantime, 4 if the change is
    refused: the remaining zones lack the capacity, it is the last zone, or it was already left.
    """
    return _send_command("leave", place, why, despite, pull_file, control, as_json)


@zones.command("return")
@click.argument("place", metavar="ZONE[/RACK]")
@_why_option
@group_options
def return_(place: str, why: str, pull_file: str, control: str | None, as_json: bool) -> int:
    """Return to a zone or rack that was left, in steps that its servers can sustain."""
    return _send_command("return", place, why, False, pull_file, control, as_json)


@zones.command()
@click.argument("place", metavar="ZONE[/RACK]")
@_why_option
@click.option("--release", is_flag=True, help="Allow automatic changes again.")
@group_options
def hold(place: str, why: str, release: bool, pull_file: str, control: str | None, as_json: bool) -> int:
    """Keep a zone or rack in its state, whatever the dispatchers observe there."""
    return _send_command("release" if release else "hold", place, why, False, pull_file, control, as_json)


@zones.command()
@click.argument("out", metavar="FILE.png")
@click.option(
    "--from",
    "saved",
    metavar="FILE",
    help="A saved output of `zones status --json`, read in place of a call to the group.",
)
@group_options
def report(out: str, saved: str | None, pull_file: str, control: str | None, as_json: bool) -> int:
    """Draw a chart over time of states, starts, start quotas and rejected requests, as the leader saw them.

    Exit code 1 if no zone or rack has been left since that leader was elected.
    """
    from weldhatch import config
    from weldhatch.cli.zones_chart import draw  # imports matplotlib, which only this command needs

    answer = config.read_json_file(saved) if saved else group_gateway(pull_file, control).call("GET", "zones")
    timeline = (answer.get("seen_by_leader") or {}).get("timeline", [])
    if not timeline:
        click.echo("weldhatch: nothing has been left since this leader was elected", err=True)
        return 1
    try:
        draw(timeline, out)
    except (KeyError, TypeError, IndexError, AttributeError) as error:
        raise config.ConfigError(f"{saved or 'the answer'}: it is no status of zones: {error!r}") from None
    print_answer(
        {"file": out, "samples": len(timeline)},
        as_json,
        lambda console: console.print(f"{len(timeline)} samples are drawn in {escape(out)}"),
    )
    return 0
