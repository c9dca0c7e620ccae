"""`weldhatch fleet`: show, plan, apply, status, undo, history, drift, fmt and schema."""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, TextColumn, TimeElapsedColumn
from rich.progress import Progress as ProgressBar

from weldhatch import config
from weldhatch.applying.journal import Journal, current_applier, read_history
from weldhatch.applying.runner import Exit, Result, Runner, observe
from weldhatch.cli import logs, output, render, settings
from weldhatch.config import fleet_file
from weldhatch.nodes.client import NodeClient
from weldhatch.planning import plan as planning
from weldhatch.planning.change import Change, read_change
from weldhatch.planning.fleet import Fleet
from weldhatch.planning.records import Progress
from weldhatch.planning.search import search
from weldhatch.planning.undo import find_drift, undo_change
from weldhatch.pullqueue import reconfiguration
from weldhatch.sexpr import printer, reader

DEFAULT_FLEET_FILE = "deploy/fleet.toml"
NON_TERMINAL_WIDTH = 140  # columns of the output if it is not a terminal
console = Console(highlight=False, soft_wrap=True, width=None if sys.stdout.isatty() else NON_TERMINAL_WIDTH)


def fleet_option(command):
    """Add the option --fleet to a command."""
    return click.option(
        "--fleet",
        "fleet_path",
        metavar="FILE",
        default=DEFAULT_FLEET_FILE,
        show_default=True,
        help="The file that defines the fleet: nodes, gateways and journal.",
    )(command)


def json_option(command):
    """Add the option --json to a command."""
    return click.option("--json", "as_json", is_flag=True, help="Print one JSON object (see `schema`).")(
        command
    )


@click.group()
@click.option("--log-json", is_flag=True, help="Log JSON lines to standard error.")
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="warning",
    show_default=True,
    help="The lowest level that is logged.",
)
def fleet(log_json: bool, log_level: str) -> None:
    """Change the fleet by files: make a plan, then apply exactly that plan.

    Exit codes: 0 done or nothing to do, 1 an error, 2 changes are pending, 3 refused because the fleet has
    changed since the plan was made, 4 stopped half way.
    """
    logs.configure(as_json=log_json, level=log_level)


def print_result(shown: output.Shown, as_json: bool, render_text: object = None) -> None:
    """Print a result as JSON, or as text with `render_text`, and end the command with its exit code."""
    if as_json:
        click.echo(output.encode(shown))
    elif render_text is not None:
        render_text(console, shown)
    if shown.exit:
        raise click.exceptions.Exit(shown.exit)


@contextmanager
def open_node_client(fleet_config: fleet_file.FleetConfig) -> Iterator[NodeClient]:
    """Open a client of the fleet's nodes and gateways, and close it at the end of the block."""
    client = NodeClient(fleet_config.control, fleet_config.gateways, fleet_config.patience.answer_s)
    try:
        yield client
    finally:
        client.close()


async def observe_fleet(fleet_config: fleet_file.FleetConfig) -> tuple[Fleet, dict[str, bool]]:
    """Return the current state of the fleet, and for each gateway whether it answers."""
    with open_node_client(fleet_config) as client:
        observed, draining = await asyncio.gather(
            observe(fleet_config.fleet, client), client.draining_machines()
        )
    return observed, {name: name in draining for name in fleet_config.gateways}


def read_forms(path: str) -> list:
    """Read the forms of a change file and of the files that it includes."""
    return reader.read_with_includes(path, lambda name: Path(name).read_text(encoding="utf-8"))


def is_settings_file(path: str) -> bool:
    """Return whether a file has settings of a gateway, by its extension; others are changes of the fleet."""
    return path.endswith((".toml", ".json"))


# ---- show, plan --------------------------------------------------------------------------------------------


@fleet.command()
@fleet_option
@json_option
def show(fleet_path: str, as_json: bool) -> None:
    """Show the fleet as its nodes and gateways report it."""
    fleet_config = fleet_file.fleet_config(fleet_path)
    observed, gateways = asyncio.run(observe_fleet(fleet_config))
    print_result(
        output.FleetShown(fleet=fleet_config.name, nodes=list(observed.nodes.values()), gateways=gateways),
        as_json,
        render.fleet,
    )


@fleet.command("plan")
@click.argument("file", metavar="FILE")
@fleet_option
@click.option("--out", metavar="PLAN", help="The file to write the plan to (default: FILE.plan).")
@click.option(
    "--way",
    type=click.Choice(["highs", "cp-sat", "greedy"]),
    default="highs",
    show_default=True,
    help="The method that finds the waves.",
)
@click.option(
    "--chart", metavar="PICTURE", help="Draw the plan's timeline into this file (.png, .svg, .pdf)."
)
@click.option(
    "--control", metavar="HOST:PORT", help="For settings: the control address of the running gateway."
)
@json_option
def plan_(
    file: str,
    fleet_path: str,
    out: str | None,
    way: str,
    chart: str | None,
    control: str | None,
    as_json: bool,
) -> None:
    """Show what FILE, a change of the fleet or a gateway's settings, would change and in which order."""
    out = out or f"{file}.plan"
    if is_settings_file(file):
        settings_plan = settings.plan_file(file, out, control)
        changes = [
            output.SettingsChange(
                key=change["key"], old=change["from"], new=change["to"], restart=change["restart"]
            )
            for change in settings_plan["changes"]
        ]
        print_result(
            output.SettingsShown(file=out, changes=changes, exit=Exit.PENDING if changes else Exit.DONE),
            as_json,
            lambda *_: click.echo(f"{reconfiguration.render(settings_plan)}\nThe plan is in {out}."),
        )
        return
    fleet_config = fleet_file.fleet_config(fleet_path)
    change = read_change(read_forms(file), fleet_config.fleet)
    observed, _ = asyncio.run(observe_fleet(fleet_config))
    make_plan(fleet_config, change, observed, out, way, chart, as_json)


def make_plan(
    fleet_config: fleet_file.FleetConfig,
    change: Change,
    observed: Fleet,
    out: str,
    method: str,
    chart: str | None,
    as_json: bool,
    undoes: str = "",
) -> None:
    """Find the waves of a change with `method`, write the plan to `out` and print it."""
    plan = planning.make(
        change,
        observed,
        search(change, observed, method),
        name=fleet_config.name,
        now=time.time(),
        undoes=undoes,
    )
    if plan.steps:
        write_atomically(out, planning.encode(plan))
        if chart:
            from weldhatch.cli.chart import draw  # imports matplotlib, which only a chart needs

            draw(plan, chart)
    shown = output.PlanShown(
        plan=plan.id if plan.steps else "",
        file=out if plan.steps else "",
        way=plan.way,
        waves=list(plan.waves),
        steps=list(plan.steps),
        rests=list(plan.rests),
        greedy_waves=plan.greedy_waves,
        seconds=sum(wave.seconds for wave in plan.waves),
        exit=Exit.PENDING if plan.steps else Exit.DONE,
    )
    print_result(shown, as_json, lambda console, _: render.plan(console, plan, out))


def write_atomically(path: str, data: bytes) -> None:
    """Write a file through a temporary file, so that a crash can't leave an incomplete file at `path`."""
    temporary = f"{path}.new"
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


# ---- apply, undo -------------------------------------------------------------------------------------------


@fleet.command("apply")
@click.argument("file", metavar="PLAN")
@fleet_option
@click.option("--over", is_flag=True, help="Leave another, half-done apply as it is.")
@click.option(
    "--control", metavar="HOST:PORT", help="For settings: the control address of the running gateway."
)
@json_option
def apply_(file: str, fleet_path: str, over: bool, control: str | None, as_json: bool) -> None:
    """Apply exactly PLAN, or nothing. After a crash or a stop, the same call resumes the apply."""
    try:
        data = Path(file).read_bytes()
    except OSError as error:
        raise config.ConfigError(f"{file}: {error.strerror}") from None
    if settings.is_settings_plan(data):
        print_apply_result(settings.apply_file(file, control), "settings", as_json)
        return
    fleet_config = fleet_file.fleet_config(fleet_path)
    plan = planning.decode(data, file)
    if plan.fleet != fleet_config.name:
        raise planning.PlanError(
            f"{file}: fleet: the plan is for {plan.fleet!r}, and this is {fleet_config.name!r}"
        )
    result, half_done = asyncio.run(run_apply(fleet_config, plan, over, quiet=as_json))
    print_apply_result(result, plan.id, as_json, half_done)


def print_apply_result(result: Result, name: str, as_json: bool, half_done: list[str] | None = None) -> None:
    """Print how an apply ended, on standard error if it is not done, and end with its exit code."""
    shown = output.ApplyShown(
        apply=name,
        text=result.text,
        moved=list(result.moved),
        half_done=half_done or [],
        exit=result.exit,
        reason=result.stopped.reason if result.stopped else "",
    )

    def render_text(*_: object) -> None:
        click.echo(result.text, err=result.exit != Exit.DONE)
        for difference in result.moved:
            click.echo(f"  {difference}", err=True)
        if half_done:
            click.echo(f"half done: {', '.join(half_done)}; weldhatch fleet status tells the steps", err=True)

    print_result(shown, as_json, render_text)


def current_user() -> str:
    """Return the user and host of this process, as the journal records who applies."""
    try:
        return f"{getpass.getuser()} on {socket.gethostname()}"
    except (KeyError, OSError):  # the user id has no name
        return f"user {os.getuid()} on {socket.gethostname()}"


async def run_apply(
    fleet_config: fleet_file.FleetConfig, plan: planning.Plan, over: bool, quiet: bool
) -> tuple[Result, list[str]]:
    """Run an apply under the journal's lock; SIGINT and SIGTERM stop the apply at a safe point.

    Returns the result, and the nodes that are half done if the apply has stopped.
    """
    log = logs.logger("apply")
    applier = current_user()
    journal = Journal(fleet_config.journal, f"{applier} for apply {plan.id}", time.time())
    if journal.torn_tail is not None:
        log.warning("journal.torn", dropped_bytes=journal.torn_tail.length, offset=journal.torn_tail.offset)
    progress_bar = ProgressBar(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed}/{task.total} steps"),
        TimeElapsedColumn(),
        console=Console(stderr=True),
        disable=quiet or not sys.stderr.isatty(),
    )
    try:
        with open_node_client(fleet_config) as client, progress_bar:
            task = progress_bar.add_task(plan.change.name, total=len(plan.steps))

            def report_event(event: str, **fields: object) -> None:
                log.info(event, **fields)
                progress = journal.history.applies.get(plan.id)
                if progress is not None:
                    progress_bar.update(
                        task, completed=sum(state.status == "done" for state in progress.steps.values())
                    )

            runner = Runner(
                plan,
                fleet_config.fleet,
                client,
                journal,
                fleet_config.patience,
                clock=time.time,
                by=applier,
                report_event=report_event,
            )
            loop = asyncio.get_running_loop()
            for signal_number in (signal.SIGINT, signal.SIGTERM):
                loop.add_signal_handler(signal_number, lambda: setattr(runner, "stop_requested", True))
            result = await runner.run(ignore_unfinished=over)
        progress = journal.history.applies.get(plan.id)
        return result, progress.half_nodes if progress is not None and result.exit is Exit.STOPPED else []
    finally:
        journal.close()


@fleet.command()
@click.argument("apply_id", metavar="[APPLY]", required=False)
@fleet_option
@click.option("--out", metavar="PLAN", help="The file to write the plan to (default: undo-APPLY.plan).")
@click.option("--way", type=click.Choice(["highs", "cp-sat", "greedy"]), default="highs", show_default=True)
@json_option
def undo(apply_id: str | None, fleet_path: str, out: str | None, way: str, as_json: bool) -> None:
    """Plan how to undo an apply (by default the last one) from its current state; `apply` runs the plan."""
    fleet_config = fleet_file.fleet_config(fleet_path)
    progress = find_apply(fleet_config, apply_id)
    if progress is None:
        raise config.ConfigError("no apply has been begun here: there is nothing to take back")
    observed, _ = asyncio.run(observe_fleet(fleet_config))
    make_plan(
        fleet_config,
        undo_change(progress, observed),
        observed,
        out or f"undo-{progress.plan.id}.plan",
        way,
        None,
        as_json,
        undoes=progress.plan.id,
    )


def find_apply(fleet_config: fleet_file.FleetConfig, apply_id: str | None) -> Progress | None:
    """Return an apply of the journal by its id or the start of it, without an id the last one."""
    journal_story = read_history(fleet_config.journal)
    if apply_id is None:
        return journal_story.last
    matching = [progress for name, progress in journal_story.applies.items() if name.startswith(apply_id)]
    if len(matching) != 1:
        raise config.ConfigError(f"{apply_id}: {len(matching)} applies of the journal begin so")
    return matching[0]


# ---- status, history, drift --------------------------------------------------------------------------------


def apply_state(progress: Progress, last: Progress | None, holder: str) -> str:
    """Return the state of an apply; only the last apply can be running, if `holder` holds the journal."""
    if progress.ended:
        return "done"
    if progress is last and holder:
        return "running"
    return "stopped" if progress.stopped is not None else "interrupted"


@fleet.command()
@click.argument("apply_id", metavar="[APPLY]", required=False)
@fleet_option
@json_option
def status(apply_id: str | None, fleet_path: str, as_json: bool) -> None:
    """Show which steps of an apply (by default the last one) are done, half done and not done.

    Exit code 4 if the apply has stopped half way.
    """
    fleet_config = fleet_file.fleet_config(fleet_path)
    progress, holder = find_apply(fleet_config, apply_id), current_applier(fleet_config.journal)
    if progress is None:
        print_result(output.StatusShown(apply=""), as_json, render.status)
        return
    last = find_apply(fleet_config, None)
    state = apply_state(progress, last if last.plan.id != progress.plan.id else progress, holder)
    steps = [
        output.StepShown(
            step=step_state.step.id,
            node=step_state.step.node,
            wave=step_state.step.wave,
            stand=step_state.status,
            outcome=step_state.outcome,
            note=step_state.note,
            told=sorted(step_state.accepted_by),
        )
        for step_state in progress.steps.values()
    ]
    stop = progress.stopped
    print_result(
        output.StatusShown(
            apply=progress.plan.id,
            name=progress.plan.change.name,
            state=state,
            begun=progress.begun_at,
            last=progress.last_at,
            fence=progress.fence,
            by=progress.by,
            holder=holder if state == "running" else "",
            reason=stop.reason if stop else "",
            text=stop.text if stop else "",
            half_done=progress.half_nodes,
            steps=steps,
            exit=Exit.STOPPED if state in ("stopped", "interrupted") else Exit.DONE,
        ),
        as_json,
        render.status,
    )


@fleet.command()
@fleet_option
@json_option
def history(fleet_path: str, as_json: bool) -> None:
    """List all applies of the journal, oldest first."""
    fleet_config = fleet_file.fleet_config(fleet_path)
    journal_story, holder = read_history(fleet_config.journal), current_applier(fleet_config.journal)
    entries = [
        output.HistoryEntry(
            apply=name,
            name=progress.plan.change.name,
            state=apply_state(progress, journal_story.last, holder),
            begun=progress.begun_at,
            last=progress.last_at,
            by=progress.by,
            undoes=progress.plan.undoes,
            steps=len(progress.steps),
            done=len(progress.steps)
            if progress.ended
            else sum(step.status == "done" for step in progress.steps.values()),
        )
        for name, progress in journal_story.applies.items()
    ]
    print_result(output.HistoryShown(applies=entries), as_json, render.history)


@fleet.command()
@fleet_option
@json_option
def drift(fleet_path: str, as_json: bool) -> None:
    """Show which nodes are no longer as the last apply left them. Exit code 2 if there are any."""
    fleet_config = fleet_file.fleet_config(fleet_path)
    last = read_history(fleet_config.journal).last
    if last is None:
        print_result(output.DriftShown(apply="", drift=[]), as_json, render.drift)
        return
    observed, _ = asyncio.run(observe_fleet(fleet_config))
    found = find_drift(last, observed)
    print_result(
        output.DriftShown(
            apply=last.plan.id,
            drift=found,
            unfinished=not last.ended,
            exit=Exit.PENDING if found else Exit.DONE,
        ),
        as_json,
        render.drift,
    )


# ---- fmt, schema -------------------------------------------------------------------------------------------


@fleet.command()
@click.argument("files", metavar="FILE...", nargs=-1, required=True)
@click.option(
    "--check", is_flag=True, help="Change nothing; exit code 2 if a file is not in its canonical form."
)
def fmt(files: tuple[str, ...], check: bool) -> None:
    """Rewrite change files in their canonical form; with -, read standard input and print the result."""
    has_changes = False
    for path in files:
        text = sys.stdin.read() if path == "-" else Path(path).read_text(encoding="utf-8")
        canonical = printer.canonical(reader.read(text, path))
        if path == "-" and not check:
            click.echo(canonical, nl=False)
        elif canonical != text:
            has_changes = True
            if check:
                click.echo(f"{path} is not in its canonical form")
            else:
                write_atomically(path, canonical.encode())
                click.echo(f"{path} is rewritten")
    if check and has_changes:
        raise click.exceptions.Exit(Exit.PENDING)


@fleet.command()
@click.argument("name", type=click.Choice(sorted(output.SCHEMAS)))
def schema(name: str) -> None:
    """Print the JSON Schema of a command's output with --json."""
    click.echo(json.dumps(output.schema(name), indent=1))
