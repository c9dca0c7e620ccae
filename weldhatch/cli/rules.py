"""`weldhatch rules` and `weldhatch peers`: the versions that a group of dispatchers agrees on, and who is in
it."""

from __future__ import annotations

import getpass
import json
import time
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import click
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from weldhatch import config
from weldhatch.applying.runner import Exit
from weldhatch.pullqueue import reconfiguration

WAIT_S = 20.0  # for a version to come into force
POLL_INTERVAL_S = 0.05
EXIT_DROPPED = 4
EXIT_NOT_IN_FORCE = 5
_STYLES = {"free": "dim", "tightens": "green", "widens": "yellow", "switches": "red"}

_control = click.option("--control", metavar="HOST:PORT", help="The control address of the agreement.")
_file = click.option(
    "--pullqueue",
    "pull_file",
    metavar="FILE",
    default="deploy/pullqueue.toml",
    show_default=True,
    help="The file whose agreement.control is asked.",
)
_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


_Command = TypeVar("_Command", bound=Callable[..., Any])


def reach(command: _Command) -> _Command:
    """Add the options of all commands that ask the group."""
    return _control(_file(_json(command)))


@click.group()
def rules() -> None:
    """Versions of the settings that all dispatchers of a group act on."""


@click.group()
def peers() -> None:
    """Who votes, and who takes part."""


def control_address(pull_file: str, control: str | None) -> reconfiguration.ControlClient:
    """Return where the group is asked. Raises ConfigError naming the key that is missing."""
    if control:
        return reconfiguration.ControlClient(config.parse_endpoint("--control", control))
    agreement = config.cluster_config(config.read_pull_queue_file(pull_file))
    if agreement is None or agreement.control is None:
        raise config.ConfigError(f"{pull_file}: agreement.control is missing: where the group is asked")
    return reconfiguration.ControlClient(agreement.control)


def show(answer: Mapping[str, Any], as_json: bool, text: Callable[[Console], None]) -> None:
    """Print an answer as JSON, or as `text` does."""
    if as_json:
        click.echo(json.dumps(answer))
    else:
        text(Console())


def settings_of(path: str) -> dict[str, Any]:
    """Return the settings of a pull queue's file, or of a file of settings alone. Raises ConfigError."""
    tree = config.read_pull_queue_file(path)
    settings: dict[str, Any] = tree.get("settings", tree)
    config.settings_from_json(settings)
    return settings


def _changes(console: Console, changes: list[dict[str, Any]]) -> None:
    for one in changes:
        how = one["overlap"]
        console.print(
            f"  [{_STYLES[how]}]{how:<9}[/] {escape(one['key'])}: "
            f"{escape(json.dumps(one['from']))} -> {escape(json.dumps(one['to']))}"
        )


# ---- versions -------------------------------------------------------------------------------------------


@rules.command()
@click.argument("file", metavar="FILE")
@click.option("--why", required=True, help="What it is for; kept in the history.")
@click.option("--base", type=int, help="The version it was made on (default: the one in force).")
@click.option(
    "--despite",
    multiple=True,
    metavar="NAME",
    help="A dispatcher that may refuse it: it starts nothing then.",
)
@click.option("--no-wait", is_flag=True, help="Do not wait until it is in force.")
@reach
def propose(
    file: str,
    why: str,
    base: int | None,
    despite: tuple[str, ...],
    no_wait: bool,
    pull_file: str,
    control: str | None,
    as_json: bool,
) -> int:
    """Propose the settings of FILE as the next version, and wait until it is in force.

    Ends with 0 once it is, 3 where the base has moved or another proposal is under way, 4 where it was
    dropped, 5 where it is not in force in time (it may still come).
    """
    return _propose(
        control_address(pull_file, control), settings_of(file), why, base, list(despite), no_wait, as_json
    )


def _propose(
    at: reconfiguration.ControlClient,
    settings: dict[str, Any],
    why: str,
    base: int | None,
    despite: list[str],
    no_wait: bool,
    as_json: bool,
) -> int:
    if base is None:
        base = at.call("GET", "rules/held")["number"]
    try:
        answer = at.call(
            "POST",
            "rules/propose",
            {"tree": settings, "base": base, "why": why, "by": getpass.getuser(), "despite": despite},
        )
    except reconfiguration.Refused as error:
        if error.field not in ("moved", "busy"):
            raise
        click.echo(f"weldhatch: {error}", err=True)
        return Exit.MOVED
    number = answer["number"]
    state = "prepared"
    if not as_json:
        console = Console()
        console.print(f"version {number} is proposed on {base}, {len(answer['changes'])} changes")
        _changes(console, answer["changes"])
    if not no_wait:
        state, reason = wait_for(at, number)
        answer = {**answer, "state": state, "reason": reason}
        if not as_json:
            click.echo(f"version {number}: {state}{': ' + reason if reason else ''}")
    if as_json:
        click.echo(json.dumps(answer))
    unfinished = Exit.DONE if no_wait else EXIT_NOT_IN_FORCE
    return {"active": Exit.DONE, "prepared": unfinished, "dropped": EXIT_DROPPED}[state]


def wait_for(at: reconfiguration.ControlClient, number: int) -> tuple[str, str]:
    """Wait until a version is active or dropped, or the time is up; its state, and the reason."""
    end = time.monotonic() + WAIT_S
    while True:
        for one in reversed(at.call("GET", "rules/history")["history"]):
            if one["number"] == number and one["came"] in ("active", "dropped"):
                return one["came"], one["why"]
        if time.monotonic() > end:
            waits = (at.call("GET", "rules").get("seen_by_leader") or {}).get("waits", {})
            return "prepared", "; ".join(f"{name}: {why}" for name, why in waits.items()) or "no leader"
        time.sleep(POLL_INTERVAL_S)


@rules.command()
@reach
def status(pull_file: str, control: str | None, as_json: bool) -> int:
    """Who holds what, and what an activation waits for.

    Ends with 0 where this process has a lease and nothing is in doubt, with 1 otherwise.
    """
    answer = control_address(pull_file, control).call("GET", "rules")
    show(answer, as_json, lambda console: _status(console, answer))
    sure = answer["footing"] == "lease" and answer["seen_by_leader"]
    return 0 if sure and not answer["conflicts"] and not answer["lost"] else 1


def _status(console: Console, answer: Mapping[str, Any]) -> None:
    prepared = f", version {answer['prepared']} is being prepared" if answer["prepared"] else ""
    console.print(
        f"{escape(answer['name'])} acts on version {answer['number']}{prepared}: {answer['footing']}"
        + (f" ({escape(answer['why'])})" if answer["why"] else "")
    )
    console.print(
        f"leader {escape(answer['leader'] or '-')}, term {answer['term']}, stated time "
        f"{answer['stated_s']} s, list revision {answer['rev']}"
    )
    if answer["narrowed"]:
        console.print(f"{answer['narrowed']} machines are out by some dispatcher's list")
    for one in answer["recoveries"]:
        console.print(f"[red]recovered by hand[/] by {escape(one['by'])}: {escape(one['why'])}")
    for text in [*answer["conflicts"], answer["lost"], answer["full"]]:
        if text:
            console.print(f"[red]{escape(text)}[/]")
    leader = answer["seen_by_leader"]
    if not leader:
        console.print("[red]no leader answers: a majority of the voters is out of reach[/]")
        return
    table = Table("dispatcher", "votes", "holds", "granted", "says")
    for name, one in sorted(leader.get("members", {}).items()):
        granted = f"{one['granted_s']:.2f} s ago" if one["granted_s"] is not None else "-"
        table.add_row(
            escape(name),
            "yes" if name in answer["voters"] else "",
            f"{one['index']} of {leader['index']}",
            granted,
            escape(one["fault"]) or "yes",
        )
    console.print(table)
    for name, why in leader.get("waits", {}).items():
        console.print(f"version {answer['prepared']} waits for {escape(name)}: {escape(why)}")


@rules.command()
@click.argument("file", metavar="FILE")
@reach
def diff(file: str, pull_file: str, control: str | None, as_json: bool) -> int:
    """What FILE would change, and how both may overlap. Ends with 0 for nothing, 1 for something."""
    answer = control_address(pull_file, control).call("POST", "rules/diff", {"tree": settings_of(file)})
    show(answer, as_json, lambda console: _changes(console, answer["changes"]))
    return int(bool(answer["changes"]))


@rules.command()
@reach
def history(pull_file: str, control: str | None, as_json: bool) -> None:
    """All versions, what became of each, and recoveries by hand."""
    answer = control_address(pull_file, control).call("GET", "rules/history")

    def text(console: Console) -> None:
        table = Table("version", "on", "came to be", "by", "why")
        for one in answer["history"]:
            table.add_row(
                str(one["number"]), str(one["base"]), one["came"], escape(one["by"]), escape(one["why"])
            )
        console.print(table)

    show(answer, as_json, text)


@rules.command()
@click.option("--why", required=True, help="What it is for; kept in the history.")
@click.option("--to", "number", type=int, help="A version to go back to (default: the one before).")
@reach
def undo(why: str, number: int | None, pull_file: str, control: str | None, as_json: bool) -> int:
    """Propose an earlier version's settings as a new version."""
    at = control_address(pull_file, control)
    if number is None:
        active = [one for one in at.call("GET", "rules/history")["history"] if one["came"] == "active"]
        if len(active) < 2:
            raise config.ConfigError("version: there is none before the one in force")
        number = active[-1]["base"]
    return _propose(at, at.call("GET", f"rules/versions/{number}")["tree"], why, None, [], False, as_json)


@rules.command()
@click.argument("number", type=int)
@click.option("--why", required=True, help="Kept in the history.")
@reach
def drop(number: int, why: str, pull_file: str, control: str | None, as_json: bool) -> None:
    """Give a version up that is being prepared."""
    answer = control_address(pull_file, control).call("POST", "rules/drop", {"number": number, "why": why})
    show(answer, as_json, lambda console: console.print(f"version {number} is dropped"))


@rules.command()
@click.option("--why", required=True, help="Kept and shown for ever after.")
@click.option("--yes", is_flag=True, help="The other voters will never come back: I have made sure of it.")
@reach
def recover(why: str, yes: bool, pull_file: str, control: str | None, as_json: bool) -> None:
    """Have this voter go on alone where the majority is lost for good.

    What only the lost voters had decided is lost. Others follow once they are added as voters again.
    """
    if not yes:
        raise click.UsageError(
            "two groups would decide if the others came back: make sure that they can't, then say --yes"
        )
    answer = control_address(pull_file, control).call(
        "POST", "rules/recover", {"why": why, "by": getpass.getuser()}
    )
    show(answer, as_json, lambda console: console.print(f"it goes on alone, lineage {answer['lineage']}"))


# ---- who is in the group --------------------------------------------------------------------------------


@peers.command("status")
@reach
def peers_status(pull_file: str, control: str | None, as_json: bool) -> None:
    """Voters, dispatchers, and the links from here."""
    answer = control_address(pull_file, control).call("GET", "rules")
    answer = {key: answer[key] for key in ("name", "leader", "voters", "members", "peers", "lost")}

    def text(console: Console) -> None:
        table = Table("name", "votes at", "dispatcher", "link from here")
        for name in sorted({*answer["voters"], *answer["members"]}):
            link = answer["peers"].get(name)
            state = (
                "this process"
                if name == answer["name"]
                else "-"
                if link is None
                else escape(link["doubt"]) or ("[green]up[/]" if link["up"] else "[red]down[/]")
            )
            table.add_row(
                escape(name) + (" (leads)" if name == answer["leader"] else ""),
                escape(answer["voters"].get(name, "")),
                "yes" if name in answer["members"] else "",
                state,
            )
        console.print(table)

    show(answer, as_json, text)


@peers.command()
@click.argument("name")
@click.argument("address", metavar="HOST:PORT")
@reach
def add(name: str, address: str, pull_file: str, control: str | None, as_json: bool) -> None:
    """Have NAME vote too. It has to serve already, with an agreement.listen at that address."""
    answer = control_address(pull_file, control).call("POST", "peers", {"add": {name: address}})
    show(answer, as_json, lambda console: console.print(f"voters: {', '.join(sorted(answer['voters']))}"))


@peers.command()
@click.argument("name")
@reach
def remove(name: str, pull_file: str, control: str | None, as_json: bool) -> None:
    """Have NAME vote no more; a dispatcher that has gone is forgotten."""
    answer = control_address(pull_file, control).call("POST", "peers", {"remove": name})
    show(answer, as_json, lambda console: console.print(f"{escape(name)} is removed"))


@peers.command()
@click.argument("name")
@reach
def lead(name: str, pull_file: str, control: str | None, as_json: bool) -> None:
    """Hand leadership to NAME."""
    answer = control_address(pull_file, control).call("POST", "peers", {"hand": name})
    show(answer, as_json, lambda console: console.print(f"leadership is handed to {escape(name)}"))
