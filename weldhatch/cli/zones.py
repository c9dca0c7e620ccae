"""`weldhatch zones`: places that a group of dispatchers has left, or returns to, and words on them."""

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
from weldhatch.cli.rules import control_address, reach, show
from weldhatch.pullqueue import reconfiguration

_STYLES = {"serving": "green", "suspected": "yellow", "leaving": "red", "left": "red", "returning": "cyan"}
_EXITS = {"moved": Exit.MOVED, "order": 4, "last": 4, "room": 4}


@click.group()
def zones() -> None:
    """Zones and racks that the fleet has left, or returns to."""


@zones.command()
@reach
def status(pull_file: str, control: str | None, as_json: bool) -> int:
    """The state of each zone, who says what of it, and what has been handed out for a return.

    Ends with 0 where all serve and the leader answers, with 1 otherwise.
    """
    told = control_address(pull_file, control).call("GET", "zones")
    show(told, as_json, lambda console: _status(console, told))
    calm = all(one["phase"] == "serving" and not one["held"] for one in told["entries"].values())
    return 0 if calm and told["seen_by_leader"] else 1


def _status(console: Console, told: Mapping) -> None:
    leader = told["seen_by_leader"]
    console.print(
        f"{escape(told['name'])}: {told['footing']}; " f"{told['fenced']} tasks may still run behind a cut"
    )
    if not leader:
        console.print("[red]no leader answers, or this group does not leave zones[/]")
        leader = {"witnesses": {}, "shares": {}, "kept_last": [], "reports": {}}
    table = Table("place", "state", "down by", "up by", "inside up", "shares out", "why")
    for name in sorted({*told["entries"], *leader["witnesses"]}):
        place = told["entries"].get(name, {"phase": "serving", "step": 0, "why": "", "held": False})
        seen = leader["witnesses"].get(name, {"down": [], "up": [], "inside": []})
        share = leader["shares"].get(name)
        phase = (
            f"[{_STYLES[place['phase']]}]{place['phase']}[/]"
            + (f" {place['step']}/4" if place["phase"] == "returning" else "")
            + (" (held)" if place["held"] else "")
        )
        table.add_row(
            escape(name),
            phase,
            *(_some(seen[key]) for key in ("down", "up", "inside")),
            f"{share['shares']} of {share['of']}" if share else "",
            escape(place["why"]),
        )
    console.print(table)
    for name in leader["kept_last"]:
        console.print(f"[red]{escape(name)} is called down, and is the last zone that serves: it is kept[/]")
    for name, one in sorted(leader["reports"].items()):
        if one["cut"]:
            console.print(f"[yellow]{escape(name)} says: {escape(one['cut'])}[/]")


def _some(names: list[str]) -> str:
    return escape(" ".join(names[:4]) + (f" and {len(names) - 4} more" if len(names) > 4 else ""))


@zones.command()
@reach
def history(pull_file: str, control: str | None, as_json: bool) -> None:
    """All changes, with their witnesses and reasons."""
    told = control_address(pull_file, control).call("GET", "zones")

    def text(console: Console) -> None:
        table = Table("change", "place", "state", "by", "witnesses", "turned away", "why")
        for one in told["history"]:
            step = f" {one['step']}/4" if one["phase"] == "returning" else ""
            at = f" {datetime.fromtimestamp(one['at'], UTC):%Y-%m-%d %H:%M:%SZ}" if one["at"] else ""
            table.add_row(
                str(one["number"]),
                escape(one["place"]),
                one["phase"] + step,
                escape(one["by"]) + at,
                _some(one["witnesses"]),
                escape(_shed(one["shed"], one.get("tenants", {}))),
                escape(one["why"]),
            )
        console.print(table)

    show({"history": told["history"]}, as_json, text)


def _shed(shed: Mapping[str, float], tenants: Mapping[str, Mapping[str, float]]) -> str:
    """`40% lookup (acme 90%, other 0%)`: by class, and whose."""
    out = []
    for cls, part in shed.items():
        whose = ", ".join(f"{name} {one:.0%}" for name, one in tenants.get(cls, {}).items())
        out.append(f"{part:.0%} {cls}" + (f" ({whose})" if whose else ""))
    return ", ".join(out)


def _word(
    word: str, place: str, why: str, despite: bool, pull_file: str, control: str | None, as_json: bool
) -> int:
    try:
        told = control_address(pull_file, control).call(
            "POST",
            "zones",
            {"word": word, "place": place, "why": why, "by": getpass.getuser(), "despite": despite},
        )
    except reconfiguration.Refused as fault:
        if fault.field not in _EXITS:
            raise
        if as_json:
            click.echo(json.dumps({"error": fault.field, "text": str(fault)}))
        click.echo(f"weldhatch: {fault}", err=True)
        return _EXITS[fault.field]
    show(told, as_json, lambda console: console.print(f"{escape(place)}: {word}, change {told['number']}"))
    return Exit.DONE


_why = click.option("--why", required=True, help="What it is for; kept in the history.")


@zones.command()
@click.argument("place", metavar="ZONE[/RACK]")
@_why
@click.option("--despite", is_flag=True, help="Also where the rest can't bear all of its work.")
@reach
def leave(place: str, why: str, despite: bool, pull_file: str, control: str | None, as_json: bool) -> int:
    """Leave a zone or rack for maintenance: nothing new goes there until `return`.

    Ends with 0 once it is decided, 3 where it has moved meanwhile, 4 where it is refused: the rest can't bear
    its work, it is the last zone, or it is left already.
    """
    return _word("leave", place, why, despite, pull_file, control, as_json)


@zones.command("return")
@click.argument("place", metavar="ZONE[/RACK]")
@_why
@reach
def return_(place: str, why: str, pull_file: str, control: str | None, as_json: bool) -> int:
    """Return to a zone or rack that was left, by steps that its servers bear."""
    return _word("return", place, why, False, pull_file, control, as_json)


@zones.command()
@click.argument("place", metavar="ZONE[/RACK]")
@_why
@click.option("--release", is_flag=True, help="Let it change by itself again.")
@reach
def hold(place: str, why: str, release: bool, pull_file: str, control: str | None, as_json: bool) -> int:
    """Keep a zone or rack as it is, whatever the dispatchers see of it."""
    return _word("release" if release else "hold", place, why, False, pull_file, control, as_json)


@zones.command()
@click.argument("out", metavar="FILE.png")
@click.option(
    "--from", "saved", metavar="FILE", help="A `zones status --json` that was kept, in place of the group."
)
@reach
def report(out: str, saved: str | None, pull_file: str, control: str | None, as_json: bool) -> int:
    """A chart over time: states, starts by zone, shares out, requests turned away; as the leader saw it.

    Ends with 1 where nothing has been left since that leader was elected.
    """
    from weldhatch import config
    from weldhatch.cli.zones_chart import draw  # matplotlib: imported where it is used

    told = config.json_file(saved) if saved else control_address(pull_file, control).call("GET", "zones")
    timeline = (told.get("seen_by_leader") or {}).get("timeline", [])
    if not timeline:
        click.echo("weldhatch: nothing has been left since this leader was elected", err=True)
        return 1
    try:
        draw(timeline, out)
    except (KeyError, TypeError, IndexError, AttributeError) as fault:
        raise config.ConfigError(f"{saved or 'the answer'}: it is no status of zones: {fault!r}") from None
    show(
        {"file": out, "samples": len(timeline)},
        as_json,
        lambda console: console.print(f"{len(timeline)} samples are drawn in {escape(out)}"),
    )
    return 0
