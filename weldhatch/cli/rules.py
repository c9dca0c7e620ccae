"""`weldhatch rules` and `weldhatch peers`: settings that a group agrees on, and the group's members."""

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

ACTIVATION_TIMEOUT_S = 20.0  # how long `propose` waits until a version is in force
POLL_INTERVAL_S = 0.05
EXIT_DROPPED = 4
EXIT_NOT_IN_FORCE = 5
_STYLES = {"free": "dim", "tightens": "green", "widens": "yellow", "switches": "red"}

_control_option = click.option(
    "--control", metavar="HOST:PORT", help="The control address of a dispatcher of the group."
)
_file_option = click.option(
    "--pullqueue",
    "pull_file",
    metavar="FILE",
    default="deploy/pullqueue.toml",
    show_default=True,
    help="The settings file whose agreement.control is called.",
)
_json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


_Command = TypeVar("_Command", bound=Callable[..., Any])


def group_options(command: _Command) -> _Command:
    """Add the options that all commands to a group have in common."""
    return _control_option(_file_option(_json_option(command)))


@click.group()
def rules() -> None:
    """Versions of the settings that a group of dispatchers agrees on."""


@click.group()
def peers() -> None:
    """Voters and dispatchers of a group."""


def group_gateway(pull_file: str, control: str | None) -> reconfiguration.ControlClient:
    """Return a client of the group's control address. Raises ConfigError that names a missing key."""
    if control:
        return reconfiguration.ControlClient(config.parse_endpoint("--control", control))
    agreement = config.cluster_config(config.read_pull_queue_file(pull_file))
    if agreement is None or agreement.control is None:
        raise config.ConfigError(f"{pull_file}: agreement.control is missing: where the group is asked")
    return reconfiguration.ControlClient(agreement.control)


def print_answer(answer: Mapping[str, Any], as_json: bool, print_text: Callable[[Console], None]) -> None:
    """Print an answer as JSON, or as text with `print_text`."""
    if as_json:
        click.echo(json.dumps(answer))
    else:
        print_text(Console())


def read_settings(path: str) -> dict[str, Any]:
    """Return the settings in a file of a pull queue, or in a file of settings alone. Raises ConfigError."""
    tree = config.read_pull_queue_file(path)
    settings: dict[str, Any] = tree.get("settings", tree)
    config.settings_from_json(settings)
    return settings


def _print_changes(console: Console, changes: list[dict[str, Any]]) -> None:
    for change in changes:
        overlap = change["overlap"]
        console.print(
            f"  [{_STYLES[overlap]}]{overlap:<9}[/] {escape(change['key'])}: "
            f"{escape(json.dumps(change['from']))} -> {escape(json.dumps(change['to']))}"
        )


# ---- versions -------------------------------------------------------------------------------------------


@rules.command()
@click.argument("file", metavar="FILE")
@click.option("--why", required=True, help="The reason for the change; kept in the history.")
@click.option("--base", type=int, help="The version that FILE is based on (default: the one in force).")
@click.option(
    "--despite",
    multiple=True,
    metavar="NAME",
    help="A dispatcher that may refuse the version: then that dispatcher starts no tasks.",
)
@click.option("--no-wait", is_flag=True, help="Do not wait until the version is in force.")
@group_options
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

    Exit codes: 0 if the version is in force, 3 if the base has changed or another proposal is in progress,
    4 if the version was dropped, 5 if it is not in force in time (it may still come into force).
    """
    return _propose(
        group_gateway(pull_file, control), read_settings(file), why, base, list(despite), no_wait, as_json
    )


def _propose(
    gateway: reconfiguration.ControlClient,
    settings: dict[str, Any],
    why: str,
    base: int | None,
    despite: list[str],
    no_wait: bool,
    as_json: bool,
) -> int:
    if base is None:
        base = gateway.call("GET", "rules/held")["number"]
    try:
        answer = gateway.call(
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
        _print_changes(console, answer["changes"])
    if not no_wait:
        state, reason = wait_until_decided(gateway, number)
        answer = {**answer, "state": state, "reason": reason}
        if not as_json:
            click.echo(f"version {number}: {state}{': ' + reason if reason else ''}")
    if as_json:
        click.echo(json.dumps(answer))
    exit_if_prepared = Exit.DONE if no_wait else EXIT_NOT_IN_FORCE
    return {"active": Exit.DONE, "prepared": exit_if_prepared, "dropped": EXIT_DROPPED}[state]


def wait_until_decided(gateway: reconfiguration.ControlClient, number: int) -> tuple[str, str]:
    """Wait until a version is active or dropped, or time is up; return the version's state and the reason."""
    deadline = time.monotonic() + ACTIVATION_TIMEOUT_S
    while True:
        for version in reversed(gateway.call("GET", "rules/history")["history"]):
            if version["number"] == number and version["came"] in ("active", "dropped"):
                return version["came"], version["why"]
        if time.monotonic() > deadline:
            waits = (gateway.call("GET", "rules").get("seen_by_leader") or {}).get("waits", {})
            return "prepared", "; ".join(f"{name}: {why}" for name, why in waits.items()) or "no leader"
        time.sleep(POLL_INTERVAL_S)


@rules.command()
@group_options
def status(pull_file: str, control: str | None, as_json: bool) -> int:
    """Show the version of each dispatcher, and what an activation waits for.

    Exit codes: 0 if this process has a lease and nothing is in doubt, 1 otherwise.
    """
    answer = group_gateway(pull_file, control).call("GET", "rules")
    print_answer(answer, as_json, lambda console: _print_status(console, answer))
    healthy = answer["footing"] == "lease" and answer["seen_by_leader"]
    return 0 if healthy and not answer["conflicts"] and not answer["lost"] else 1


def _print_status(console: Console, answer: Mapping[str, Any]) -> None:
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
    for recovery in answer["recoveries"]:
        console.print(f"[red]recovered by hand[/] by {escape(recovery['by'])}: {escape(recovery['why'])}")
    for problem in [*answer["conflicts"], answer["lost"], answer["full"]]:
        if problem:
            console.print(f"[red]{escape(problem)}[/]")
    leader = answer["seen_by_leader"]
    if not leader:
        console.print("[red]no leader answers: a majority of the voters is out of reach[/]")
        return
    table = Table("dispatcher", "votes", "holds", "granted", "says")
    for name, member in sorted(leader.get("members", {}).items()):
        granted = f"{member['granted_s']:.2f} s ago" if member["granted_s"] is not None else "-"
        table.add_row(
            escape(name),
            "yes" if name in answer["voters"] else "",
            f"{member['index']} of {leader['index']}",
            granted,
            escape(member["fault"]) or "yes",
        )
    console.print(table)
    for name, why in leader.get("waits", {}).items():
        console.print(f"version {answer['prepared']} waits for {escape(name)}: {escape(why)}")


@rules.command()
@click.argument("file", metavar="FILE")
@group_options
def diff(file: str, pull_file: str, control: str | None, as_json: bool) -> int:
    """Show what FILE would change, and how the old and the new values may be in force at the same time.

    Exit codes: 0 if there is no change, 1 otherwise.
    """
    answer = group_gateway(pull_file, control).call("POST", "rules/diff", {"tree": read_settings(file)})
    print_answer(answer, as_json, lambda console: _print_changes(console, answer["changes"]))
    return int(bool(answer["changes"]))


@rules.command()
@group_options
def history(pull_file: str, control: str | None, as_json: bool) -> None:
    """List all versions with their outcomes, and manual recoveries."""
    answer = group_gateway(pull_file, control).call("GET", "rules/history")

    def print_history(console: Console) -> None:
        table = Table("version", "on", "came to be", "by", "why")
        for version in answer["history"]:
            table.add_row(
                str(version["number"]),
                str(version["base"]),
                version["came"],
                escape(version["by"]),
                escape(version["why"]),
            )
        console.print(table)

    print_answer(answer, as_json, print_history)


@rules.command()
@click.option("--why", required=True, help="The reason for the change; kept in the history.")
@click.option("--to", "number", type=int, help="The version to go back to (default: the previous one).")
@group_options
def undo(why: str, number: int | None, pull_file: str, control: str | None, as_json: bool) -> int:
    """Propose an earlier version's settings as a new version."""
    gateway = group_gateway(pull_file, control)
    if number is None:
        active = [
            version
            for version in gateway.call("GET", "rules/history")["history"]
            if version["came"] == "active"
        ]
        if len(active) < 2:
            raise config.ConfigError("version: there is none before the one in force")
        number = active[-1]["base"]
    return _propose(
        gateway, gateway.call("GET", f"rules/versions/{number}")["tree"], why, None, [], False, as_json
    )


@rules.command()
@click.argument("number", type=int)
@click.option("--why", required=True, help="The reason; kept in the history.")
@group_options
def drop(number: int, why: str, pull_file: str, control: str | None, as_json: bool) -> None:
    """Drop a version that is being prepared."""
    answer = group_gateway(pull_file, control).call("POST", "rules/drop", {"number": number, "why": why})
    print_answer(answer, as_json, lambda console: console.print(f"version {number} is dropped"))


@rules.command()
@click.option("--why", required=True, help="The reason; kept and shown permanently.")
@click.option("--yes", is_flag=True, help="Confirm that the other voters will never return.")
@group_options
def recover(why: str, yes: bool, pull_file: str, control: str | None, as_json: bool) -> None:
    """Make this voter continue alone after the majority of the voters is permanently lost.

    Decisions that only the lost voters had stored are lost. Other dispatchers follow this voter once they are
    added as voters again.
    """
    if not yes:
        raise click.UsageError(
            "two groups would decide if the others came back: make sure that they can't, then say --yes"
        )
    answer = group_gateway(pull_file, control).call(
        "POST", "rules/recover", {"why": why, "by": getpass.getuser()}
    )
    print_answer(
        answer, as_json, lambda console: console.print(f"it goes on alone, lineage {answer['lineage']}")
    )


# ---- members of the group -------------------------------------------------------------------------------


@peers.command("status")
@group_options
def peers_status(pull_file: str, control: str | None, as_json: bool) -> None:
    """List the voters and dispatchers of the group, and the links from this process to them."""
    answer = group_gateway(pull_file, control).call("GET", "rules")
    answer = {key: answer[key] for key in ("name", "leader", "voters", "members", "peers", "lost")}

    def print_members(console: Console) -> None:
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

    print_answer(answer, as_json, print_members)


@peers.command()
@click.argument("name")
@click.argument("address", metavar="HOST:PORT")
@group_options
def add(name: str, address: str, pull_file: str, control: str | None, as_json: bool) -> None:
    """Add NAME as a voter. NAME must already serve, with agreement.listen set to HOST:PORT."""
    answer = group_gateway(pull_file, control).call("POST", "peers", {"add": {name: address}})
    print_answer(
        answer, as_json, lambda console: console.print(f"voters: {', '.join(sorted(answer['voters']))}")
    )


@peers.command()
@click.argument("name")
@group_options
def remove(name: str, pull_file: str, control: str | None, as_json: bool) -> None:
    """Remove NAME from the voters; a dispatcher that no longer runs is removed from the group."""
    answer = group_gateway(pull_file, control).call("POST", "peers", {"remove": name})
    print_answer(answer, as_json, lambda console: console.print(f"{escape(name)} is removed"))


@peers.command()
@click.argument("name")
@group_options
def lead(name: str, pull_file: str, control: str | None, as_json: bool) -> None:
    """Transfer leadership to NAME."""
    answer = group_gateway(pull_file, control).call("POST", "peers", {"hand": name})
    print_answer(answer, as_json, lambda console: console.print(f"leadership is handed to {escape(name)}"))
