"""`weldhatch sim`: plays of a group of gateways on a virtual clock, under faults from seeds."""

from __future__ import annotations

import json
import multiprocessing
import os
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import click
from rich.console import Console
from rich.markup import escape
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from weldhatch import config
from weldhatch.simulation import faults
from weldhatch.simulation.faults import Fault
from weldhatch.simulation.result import Result
from weldhatch.simulation.scenario_runner import run_scenario
from weldhatch.simulation.scenarios import SCENARIOS, Scenario, draw_plan, unplayable_reason

SHOWN = 10  # broken seeds that are listed


def fixed_hashes() -> None:
    """Guards the same run in another process: the order of sets goes with the hashes of strings."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.execve(
            sys.executable,
            [sys.executable, "-m", "weldhatch", *sys.argv[1:]],
            {**os.environ, "PYTHONHASHSEED": "0"},
        )


Job = tuple[int, Scenario, list[Fault] | None, tuple[str, int] | None]  # as `run_scenario` takes them


def points_of(seed: int, scenario: Scenario, who: str, every: int = 1) -> list[Job]:
    """One kill at each write of a process to its disk or the wire, as an undisturbed play counts them."""
    count = run_scenario(seed, scenario, []).points.get(who, 0)
    return [(seed, scenario, [], (who, n)) for n in range(1, count + 1, every)]


def _one(job: Job) -> Result:
    return replace(run_scenario(*job), lines=[])  # the lines of 10,000 plays are nobody's to hold


def play_all(jobs: list[Job], workers: int) -> Iterator[Result]:
    """Play on several cores; each result as it comes."""
    context = multiprocessing.get_context("fork")
    with context.Pool(workers, maxtasksperchild=200) as pool:
        yield from pool.imap_unordered(_one, jobs, 4)


def _shown(title: str, jobs: list[Job], workers: int, quiet: bool) -> list[Result]:
    """Play all, with a bar on standard error."""
    results: list[Result] = []
    broken = 0
    with Progress(
        TextColumn("[bold]{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        TextColumn("{task.fields[broken]} broken"),
        console=Console(stderr=True),
        disable=quiet,
    ) as progress:
        bar = progress.add_task(title, total=len(jobs), broken=0)
        for result in play_all(jobs, workers or os.cpu_count() or 1):
            results.append(result)
            broken += bool(result.broken)
            progress.update(bar, advance=1, broken=broken)
    return results


def _scenario(name: str) -> Scenario:
    if name not in SCENARIOS:
        raise config.ConfigError(f"scenario: there is no {name!r}, only {', '.join(SCENARIOS)}")
    return SCENARIOS[name]


def read_plan(file: str) -> list[Fault]:
    """A plan of faults as `replay` prints it. Raises ConfigError naming the place."""
    try:
        tree = json.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise config.ConfigError(f"{file}: {fault}") from None
    if not isinstance(tree, list):
        raise config.ConfigError(f"{file}: a list of faults is needed")
    out = []
    for n, one in enumerate(tree):
        try:
            out.append(Fault.of(one))
        except ValueError as fault:
            raise config.ConfigError(f"{file}: fault {n + 1}: {fault}") from None
    return out


@click.group()
def sim() -> None:
    """Play groups of gateways on a virtual clock, under faults from seeds."""


@sim.command()
@click.option("--seeds", default=100, show_default=True, type=click.IntRange(1), help="How many.")
@click.option("--first", default=0, show_default=True, type=click.IntRange(0), help="The first of them.")
@click.option(
    "--scenario", default="mixed", show_default=True, help="What is played: " + ", ".join(SCENARIOS)
)
@click.option("--jobs", default=0, help="Processes (default: one a core).")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def run(seeds: int, first: int, scenario: str, jobs: int, as_json: bool) -> int:
    """Play many seeds. Ends with 0 where every promise held, with 1 otherwise."""
    fixed_hashes()
    chosen, began = _scenario(scenario), time.perf_counter()
    results = _shown(
        scenario, [(seed, chosen, None, None) for seed in range(first, first + seeds)], jobs, as_json
    )
    took = time.perf_counter() - began
    thrown = Counter(fault.kind for one in results for fault in one.plan)
    answers: Counter[str] = Counter()
    for one in results:
        answers.update(one.answers)
    broken = sorted((one for one in results if one.broken), key=lambda one: one.seed)
    out = {
        "scenario": scenario,
        "first": first,
        "seeds": seeds,
        "seeds_per_s": round(seeds / took, 2),
        "promises_checked": sum(one.invariants_checked for one in results),
        "faults": dict(sorted(thrown.items())),
        "answers": dict(sorted(answers.items())),
        "broken": [{"seed": one.seed, "broken": one.broken[:5]} for one in broken],
    }
    if as_json:
        click.echo(json.dumps(out))
    else:
        _report(Console(), out)
    return 1 if broken else 0


def _report(console: Console, out: dict) -> None:
    console.print(
        f"{out['seeds']} seeds of {out['scenario']}, {out['seeds_per_s']} a second; "
        f"{out['promises_checked']} promises looked at"
    )
    console.print("faults: " + ", ".join(f"{count} {kind}" for kind, count in out["faults"].items()))
    console.print("answers: " + ", ".join(f"{count} {answer}" for answer, count in out["answers"].items()))
    for one in out["broken"][:SHOWN]:
        console.print(f"[red]seed {one['seed']}[/]: {escape(one['broken'][0])}")
    if len(out["broken"]) > SHOWN:
        console.print(f"and {len(out['broken']) - SHOWN} more")
    console.print(
        "[green]every promise held[/]"
        if not out["broken"]
        else f"weldhatch sim replay {out['broken'][0]['seed']} --scenario {out['scenario']} shows one"
    )


@sim.command()
@click.option("--seed", default=1, show_default=True, help="Of the play that is disturbed.")
@click.option("--scenario", default="alone", show_default=True, help="What is played; short ones are best.")
@click.option("--who", default="g0", show_default=True, help="Whom to kill.")
@click.option("--every", default=1, show_default=True, type=click.IntRange(1), help="Each so many points.")
@click.option("--jobs", default=0, help="Processes (default: one a core).")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def points(seed: int, scenario: str, who: str, every: int, jobs: int, as_json: bool) -> int:
    """Kill a gateway at each of its writes to its disk or the wire, one play each.

    Ends with 0 where every promise held, with 1 otherwise.
    """
    fixed_hashes()
    chosen = _scenario(scenario)
    todo = points_of(seed, chosen, who, every)
    if not todo:
        raise config.ConfigError(
            f"who: {who!r} writes nothing in {scenario}: there are "
            + ", ".join(f"g{n}" for n in range(chosen.gateways))
        )
    results = _shown(f"{scenario}, {who} killed", todo, jobs, as_json)
    broken = sorted((one for one in results if one.broken), key=lambda one: one.kill_at)
    out = {
        "scenario": scenario,
        "seed": seed,
        "who": who,
        "points": len(todo),
        "broken": [{"point": one.kill_at[1], "broken": one.broken[:5]} for one in broken],
    }
    if as_json:
        click.echo(json.dumps(out))
        return 1 if broken else 0
    console = Console()
    for one in out["broken"][:SHOWN]:
        console.print(f"[red]point {one['point']}[/]: {escape(one['broken'][0])}")
    console.print(f"{len(todo)} points, {len(broken)} broken")
    return 1 if broken else 0


@sim.command()
@click.argument("seed", type=int)
@click.option("--scenario", default="mixed", show_default=True, help="What was played.")
@click.option("--plan", "plan_file", metavar="FILE", help="Other faults than the seed's, as JSON.")
@click.option("--kill", "kill", metavar="NAME:POINT", help="Kill a process at one of its writes.")
@click.option("--shrink", is_flag=True, help="Cut the faults down to the fewest that still fail.")
@click.option("--only", multiple=True, metavar="WORD", help="Show only lines with one of these words.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object, without the lines.")
def replay(
    seed: int,
    scenario: str,
    plan_file: str | None,
    kill: str | None,
    shrink: bool,
    only: tuple[str, ...],
    as_json: bool,
) -> int:
    """Play one seed again, with what each process said."""
    fixed_hashes()
    chosen = _scenario(scenario)
    plan = read_plan(plan_file) if plan_file else draw_plan(seed, chosen)
    if why := unplayable_reason(plan, chosen):
        raise config.ConfigError(f"{plan_file}: {why}")
    at = None
    if kill:  # in a play that nothing else disturbs
        who, _, point = kill.partition(":")
        if not point.isdigit():
            raise config.ConfigError(f"kill: NAME:POINT is needed, not {kill!r}")
        plan, at = [], (who, int(point))
    result = run_scenario(seed, chosen, plan, at)
    if shrink and result.broken and plan:
        plan = faults.shrink(plan, lambda part: bool(run_scenario(seed, chosen, part).broken))
        result = run_scenario(seed, chosen, plan)
    if as_json:
        click.echo(json.dumps(result.to_tree()))
        return 1 if result.broken else 0
    console = Console(highlight=False, soft_wrap=True)
    for at, name, text in result.lines:
        if not only or any(word in text for word in only):
            console.print(f"[dim]{at:8.3f}[/] [bold]{name:3}[/] {escape(text)}")
    console.print(f"plan: {json.dumps([fault.to_tree() for fault in plan])}")
    console.print(f"digest {result.digest}, {result.deliveries} deliveries, answers {result.answers}")
    for text in result.broken:
        console.print(f"[red]broken[/]: {escape(text)}")
    return 1 if result.broken else 0
