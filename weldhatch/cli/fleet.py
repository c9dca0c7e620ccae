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
from rich.progress import Progress as Bar

from weldhatch import config
from weldhatch.applying.journal import Journal, current_applier, story
from weldhatch.applying.runner import Exit, Result, Runner, observe
from weldhatch.cli import logs, output, render, settings
from weldhatch.config import fleet_file
from weldhatch.nodes.client import NodeClient
from weldhatch.planning import plan as planning
from weldhatch.planning.change import Change, read_change
from weldhatch.planning.fleet import Fleet
from weldhatch.planning.records import Progress
from weldhatch.planning.search import search
from weldhatch.planning.undo import drift as drifted
from weldhatch.planning.undo import undo_change
from weldhatch.pullqueue import reconfiguration
from weldhatch.sexpr import printer, reader

FLEET = "deploy/fleet.toml"
WIDTH = 140  # where the output is no terminal
console = Console(highlight=False, soft_wrap=True, width=None if sys.stdout.isatty() else WIDTH)


def fleet_option(command):
    return click.option(
        "--fleet",
        "fleet_path",
        metavar="FILE",
        default=FLEET,
        show_default=True,
        help="The fleet's file: nodes, gateways, journal.",
    )(command)


def json_option(command):
    return click.option("--json", "as_json", is_flag=True, help="Print one JSON object (see `schema`).")(
        command
    )


@click.group()
@click.option("--log-json", is_flag=True, help="Log as JSON lines, to standard error.")
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="warning",
    show_default=True,
    help="Log from this level on.",
)
def fleet(log_json: bool, log_level: str) -> None:
    """Change the fleet by files: plan, then apply just that plan.

    Exit codes: 0 done or nothing to do, 1 a fault, 2 changes are pending, 3 refused because the world has
    moved, 4 stopped half way.
    """
    logs.configure(as_json=log_json, level=log_level)


def say(shown: output.Shown, as_json: bool, draw: object = None) -> None:
    """Print, and end with the exit code that is part of it."""
    if as_json:
        click.echo(output.encode(shown))
    elif draw is not None:
        draw(console, shown)
    if shown.exit:
        raise click.exceptions.Exit(shown.exit)


@contextmanager
def wire(told: fleet_file.FleetConfig) -> Iterator[NodeClient]:
    made = NodeClient(told.control, told.gateways, told.patience.answer_s)
    try:
        yield made
    finally:
        made.close()


async def look(told: fleet_file.FleetConfig) -> tuple[Fleet, dict[str, bool]]:
    """The fleet as it is, and which gateways answer."""
    with wire(told) as world:
        seen, held = await asyncio.gather(observe(told.fleet, world), world.draining_machines())
    return seen, {name: name in held for name in told.gateways}


def read_forms(path: str) -> list:
    return reader.read_whole(path, lambda name: Path(name).read_text(encoding="utf-8"))


def is_settings(path: str) -> bool:
    return path.endswith((".toml", ".json"))


# ---- show, plan --------------------------------------------------------------------------------------------


@fleet.command()
@fleet_option
@json_option
def show(fleet_path: str, as_json: bool) -> None:
    """The fleet as its nodes and gateways say it is."""
    told = fleet_file.fleet_config(fleet_path)
    seen, gateways = asyncio.run(look(told))
    say(
        output.FleetShown(fleet=told.name, nodes=list(seen.nodes.values()), gateways=gateways),
        as_json,
        render.fleet,
    )


@fleet.command("plan")
@click.argument("file", metavar="FILE")
@fleet_option
@click.option("--out", metavar="PLAN", help="Where the plan goes (default: FILE.plan).")
@click.option(
    "--way",
    type=click.Choice(["highs", "cp-sat", "greedy"]),
    default="highs",
    show_default=True,
    help="Who finds the waves.",
)
@click.option("--chart", metavar="PICTURE", help="Draw the plan's timeline there (.png, .svg, .pdf).")
@click.option("--control", metavar="HOST:PORT", help="For settings: the running gateway's control address.")
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
    """What FILE would change, and in which order; FILE is a change of the fleet, or a gateway's settings."""
    out = out or f"{file}.plan"
    if is_settings(file):
        made = settings.plan_file(file, out, control)
        changes = [
            output.SettingsChange(key=one["key"], old=one["from"], new=one["to"], restart=one["restart"])
            for one in made["changes"]
        ]
        say(
            output.SettingsShown(file=out, changes=changes, exit=Exit.PENDING if changes else Exit.DONE),
            as_json,
            lambda *_: click.echo(f"{reconfiguration.render(made)}\nThe plan is in {out}."),
        )
        return
    told = fleet_file.fleet_config(fleet_path)
    change = read_change(read_forms(file), told.fleet)
    seen, _ = asyncio.run(look(told))
    finish_plan(told, change, seen, out, way, chart, as_json)


def finish_plan(
    told: fleet_file.FleetConfig,
    change: Change,
    seen: Fleet,
    out: str,
    way: str,
    chart: str | None,
    as_json: bool,
    undoes: str = "",
) -> None:
    """Find the waves, write the plan, and say it."""
    made = planning.make(
        change, seen, search(change, seen, way), name=told.name, now=time.time(), undoes=undoes
    )
    if made.steps:
        write_whole(out, planning.encode(made))
        if chart:
            from weldhatch.cli.chart import draw  # heavy: only where a picture is wanted

            draw(made, chart)
    shown = output.PlanShown(
        plan=made.id if made.steps else "",
        file=out if made.steps else "",
        way=made.way,
        waves=list(made.waves),
        steps=list(made.steps),
        rests=list(made.rests),
        greedy_waves=made.greedy_waves,
        seconds=sum(wave.seconds for wave in made.waves),
        exit=Exit.PENDING if made.steps else Exit.DONE,
    )
    say(shown, as_json, lambda on, _: render.plan(on, made, out))


def write_whole(path: str, data: bytes) -> None:
    """Guards against half a plan under the name of a whole one."""
    beside = f"{path}.new"
    with open(beside, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)


# ---- apply, undo -------------------------------------------------------------------------------------------


@fleet.command("apply")
@click.argument("file", metavar="PLAN")
@fleet_option
@click.option("--over", is_flag=True, help="Leave another apply that stands half done as it is.")
@click.option("--control", metavar="HOST:PORT", help="For settings: the running gateway's control address.")
@json_option
def apply_(file: str, fleet_path: str, over: bool, control: str | None, as_json: bool) -> None:
    """Carry PLAN out: exactly that, or nothing. After a crash or a stop, the same call goes on."""
    try:
        data = Path(file).read_bytes()
    except OSError as fault:
        raise config.ConfigError(f"{file}: {fault.strerror}") from None
    if settings.is_settings_plan(data):
        applied(settings.apply_file(file, control), "settings", as_json)
        return
    told = fleet_file.fleet_config(fleet_path)
    plan = planning.decode(data, file)
    if plan.fleet != told.name:
        raise planning.PlanError(f"{file}: fleet: the plan is for {plan.fleet!r}, and this is {told.name!r}")
    result, half = asyncio.run(carry_out(told, plan, over, quiet=as_json))
    applied(result, plan.id, as_json, half)


def applied(result: Result, name: str, as_json: bool, half: list[str] | None = None) -> None:
    shown = output.ApplyShown(
        apply=name,
        text=result.text,
        moved=list(result.moved),
        half_done=half or [],
        exit=result.exit,
        reason=result.stopped.reason if result.stopped else "",
    )

    def draw(*_: object) -> None:
        click.echo(result.text, err=result.exit != Exit.DONE)
        for one in result.moved:
            click.echo(f"  {one}", err=True)
        if half:
            click.echo(f"half done: {', '.join(half)}; weldhatch fleet status tells the steps", err=True)

    say(shown, as_json, draw)


def who() -> str:
    try:
        return f"{getpass.getuser()} on {socket.gethostname()}"
    except (KeyError, OSError):  # no name for this user
        return f"user {os.getuid()} on {socket.gethostname()}"


async def carry_out(
    told: fleet_file.FleetConfig, plan: planning.Plan, over: bool, quiet: bool
) -> tuple[Result, list[str]]:
    """Run the apply under the journal's lock; the first interrupt stops it at a safe point."""
    log = logs.logger("apply")
    by = who()
    journal = Journal(told.journal, f"{by} for apply {plan.id}", time.time())
    if journal.torn_tail is not None:
        log.warning("journal.torn", dropped_bytes=journal.torn_tail.length, offset=journal.torn_tail.offset)
    bar = Bar(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed}/{task.total} steps"),
        TimeElapsedColumn(),
        console=Console(stderr=True),
        disable=quiet or not sys.stderr.isatty(),
    )
    try:
        with wire(told) as world, bar:
            task = bar.add_task(plan.change.name, total=len(plan.steps))

            def tell(event: str, **figures: object) -> None:
                log.info(event, **figures)
                progress = journal.story.applies.get(plan.id)
                if progress is not None:
                    bar.update(
                        task, completed=sum(state.stand == "done" for state in progress.steps.values())
                    )

            runner = Runner(
                plan, told.fleet, world, journal, told.patience, clock=time.time, by=by, report_event=tell
            )
            loop = asyncio.get_running_loop()
            for number in (signal.SIGINT, signal.SIGTERM):
                loop.add_signal_handler(number, lambda: setattr(runner, "stop_requested", True))
            result = await runner.run(over=over)
        progress = journal.story.applies.get(plan.id)
        return result, progress.half_nodes if progress is not None and result.exit is Exit.STOPPED else []
    finally:
        journal.close()


@fleet.command()
@click.argument("apply_id", metavar="[APPLY]", required=False)
@fleet_option
@click.option("--out", metavar="PLAN", help="Where the plan goes (default: undo-APPLY.plan).")
@click.option("--way", type=click.Choice(["highs", "cp-sat", "greedy"]), default="highs", show_default=True)
@json_option
def undo(apply_id: str | None, fleet_path: str, out: str | None, way: str, as_json: bool) -> None:
    """Plan the way back from wherever an apply (the last one) stands; `apply` then carries it out."""
    told = fleet_file.fleet_config(fleet_path)
    progress = find(told, apply_id)
    if progress is None:
        raise config.ConfigError("no apply has been begun here: there is nothing to take back")
    seen, _ = asyncio.run(look(told))
    finish_plan(
        told,
        undo_change(progress, seen),
        seen,
        out or f"undo-{progress.plan.id}.plan",
        way,
        None,
        as_json,
        undoes=progress.plan.id,
    )


def find(told: fleet_file.FleetConfig, apply_id: str | None) -> Progress | None:
    """An apply of the journal by its id or the beginning of it; the last one without."""
    known = story(told.journal)
    if apply_id is None:
        return known.last
    matching = [progress for name, progress in known.applies.items() if name.startswith(apply_id)]
    if len(matching) != 1:
        raise config.ConfigError(f"{apply_id}: {len(matching)} applies of the journal begin so")
    return matching[0]


# ---- status, history, drift --------------------------------------------------------------------------------


def state_of(progress: Progress, last: Progress | None, holder: str) -> str:
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
    """What is done, half done and not done of an apply (the last one); 4 where it stands half way."""
    told = fleet_file.fleet_config(fleet_path)
    progress, holder = find(told, apply_id), current_applier(told.journal)
    if progress is None:
        say(output.StatusShown(apply=""), as_json, render.status)
        return
    last = find(told, None)
    state = state_of(progress, last if last.plan.id != progress.plan.id else progress, holder)
    steps = [
        output.StepShown(
            step=one.step.id,
            node=one.step.node,
            wave=one.step.wave,
            stand=one.stand,
            outcome=one.outcome,
            note=one.note,
            told=sorted(one.told),
        )
        for one in progress.steps.values()
    ]
    stop = progress.stopped
    say(
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
    """All applies of the journal, oldest first."""
    told = fleet_file.fleet_config(fleet_path)
    known, holder = story(told.journal), current_applier(told.journal)
    entries = [
        output.HistoryEntry(
            apply=name,
            name=one.plan.change.name,
            state=state_of(one, known.last, holder),
            begun=one.begun_at,
            last=one.last_at,
            by=one.by,
            undoes=one.plan.undoes,
            steps=len(one.steps),
            done=len(one.steps) if one.ended else sum(step.stand == "done" for step in one.steps.values()),
        )
        for name, one in known.applies.items()
    ]
    say(output.HistoryShown(applies=entries), as_json, render.history)


@fleet.command()
@fleet_option
@json_option
def drift(fleet_path: str, as_json: bool) -> None:
    """What is no longer as the last apply left it; 2 where something is."""
    told = fleet_file.fleet_config(fleet_path)
    last = story(told.journal).last
    if last is None:
        say(output.DriftShown(apply="", drift=[]), as_json, render.drift)
        return
    seen, _ = asyncio.run(look(told))
    found = drifted(last, seen)
    say(
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
@click.option("--check", is_flag=True, help="Change nothing; 2 where a file is not in its canonical form.")
def fmt(files: tuple[str, ...], check: bool) -> None:
    """Bring change files into their canonical form; - reads standard input and prints."""
    changed = False
    for path in files:
        text = sys.stdin.read() if path == "-" else Path(path).read_text(encoding="utf-8")
        canonical = printer.canonical(reader.read(text, path))
        if path == "-" and not check:
            click.echo(canonical, nl=False)
        elif canonical != text:
            changed = True
            if check:
                click.echo(f"{path} is not in its canonical form")
            else:
                write_whole(path, canonical.encode())
                click.echo(f"{path} is rewritten")
    if check and changed:
        raise click.exceptions.Exit(Exit.PENDING)


@fleet.command()
@click.argument("name", type=click.Choice(sorted(output.SCHEMAS)))
def schema(name: str) -> None:
    """The JSON Schema of what a command prints with --json."""
    click.echo(json.dumps(output.schema(name), indent=1))
