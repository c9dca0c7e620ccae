"""`weldhatch sim`: simulates groups of gateways on a virtual clock, with faults drawn from seeds."""

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

MAX_LISTED = 10  # broken runs that the text output lists


def ensure_fixed_hash_seed() -> None:
    """Restart this process with a fixed hash seed, so that a run gives the same result in any process.

    The iteration order of a set of strings depends on the hashes of the strings.
    """
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.execve(
            sys.executable,
            [sys.executable, "-m", "weldhatch", *sys.argv[1:]],
            {**os.environ, "PYTHONHASHSEED": "0"},
        )


Job = tuple[int, Scenario, list[Fault] | None, tuple[str, int] | None]  # the arguments of `run_scenario`


def kill_jobs(seed: int, scenario: Scenario, who: str, every: int = 1) -> list[Job]:
    """Return a run for each write of process `who` to its disk or the wire, in which that write kills it.

    An undisturbed run gives the number of writes; `every` picks each n-th of them.
    """
    count = run_scenario(seed, scenario, []).points.get(who, 0)
    return [(seed, scenario, [], (who, point)) for point in range(1, count + 1, every)]


def _run_job(job: Job) -> Result:
    return replace(run_scenario(*job), lines=[])  # the log lines of 10,000 runs take too much memory


def run_all(jobs: list[Job], workers: int) -> Iterator[Result]:
    """Run jobs in several processes, and yield each result when its run ends."""
    context = multiprocessing.get_context("fork")
    with context.Pool(workers, maxtasksperchild=200) as pool:
        yield from pool.imap_unordered(_run_job, jobs, 4)


def _run_with_progress(title: str, jobs: list[Job], workers: int, quiet: bool) -> list[Result]:
    """Run all jobs, with a progress bar on standard error, and return their results."""
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
        for result in run_all(jobs, workers or os.cpu_count() or 1):
            results.append(result)
            broken += bool(result.broken)
            progress.update(bar, advance=1, broken=broken)
    return results


def _scenario(name: str) -> Scenario:
    if name not in SCENARIOS:
        raise config.ConfigError(f"scenario: there is no {name!r}, only {', '.join(SCENARIOS)}")
    return SCENARIOS[name]


def read_plan(file: str) -> list[Fault]:
    """Read a plan of faults in the format that `replay` prints. Raises ConfigError that names the fault."""
    try:
        tree = json.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise config.ConfigError(f"{file}: {error}") from None
    if not isinstance(tree, list):
        raise config.ConfigError(f"{file}: a list of faults is needed")
    plan = []
    for index, item in enumerate(tree):
        try:
            plan.append(Fault.of(item))
        except ValueError as error:
            raise config.ConfigError(f"{file}: fault {index + 1}: {error}") from None
    return plan


@click.group()
def sim() -> None:
    """Simulate groups of gateways on a virtual clock, with faults drawn from seeds."""


@sim.command()
@click.option("--seeds", default=100, show_default=True, type=click.IntRange(1), help="The number of seeds.")
@click.option("--first", default=0, show_default=True, type=click.IntRange(0), help="The first seed.")
@click.option("--scenario", default="mixed", show_default=True, help="The scenario: " + ", ".join(SCENARIOS))
@click.option("--jobs", default=0, help="Parallel processes (default: one per core).")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def run(seeds: int, first: int, scenario: str, jobs: int, as_json: bool) -> int:
    """Run a scenario with many seeds. Exit codes: 0 if all invariants held, 1 otherwise."""
    ensure_fixed_hash_seed()
    chosen, began = _scenario(scenario), time.perf_counter()
    results = _run_with_progress(
        scenario, [(seed, chosen, None, None) for seed in range(first, first + seeds)], jobs, as_json
    )
    elapsed_s = time.perf_counter() - began
    fault_counts = Counter(fault.kind for result in results for fault in result.plan)
    answers: Counter[str] = Counter()
    for result in results:
        answers.update(result.answers)
    broken = sorted((result for result in results if result.broken), key=lambda result: result.seed)
    summary = {
        "scenario": scenario,
        "first": first,
        "seeds": seeds,
        "seeds_per_s": round(seeds / elapsed_s, 2),
        "promises_checked": sum(result.invariants_checked for result in results),
        "faults": dict(sorted(fault_counts.items())),
        "answers": dict(sorted(answers.items())),
        "broken": [{"seed": result.seed, "broken": result.broken[:5]} for result in broken],
    }
    if as_json:
        click.echo(json.dumps(summary))
    else:
        _print_summary(Console(), summary)
    return 1 if broken else 0


def _print_summary(console: Console, summary: dict) -> None:
    console.print(
        f"{summary['seeds']} seeds of {summary['scenario']}, {summary['seeds_per_s']} a second; "
        f"{summary['promises_checked']} promises looked at"
    )
    console.print("faults: " + ", ".join(f"{count} {kind}" for kind, count in summary["faults"].items()))
    console.print(
        "answers: " + ", ".join(f"{count} {answer}" for answer, count in summary["answers"].items())
    )
    for failure in summary["broken"][:MAX_LISTED]:
        console.print(f"[red]seed {failure['seed']}[/]: {escape(failure['broken'][0])}")
    if len(summary["broken"]) > MAX_LISTED:
        console.print(f"and {len(summary['broken']) - MAX_LISTED} more")
    console.print(
        "[green]every promise held[/]"
        if not summary["broken"]
        else f"weldhatch sim replay {summary['broken'][0]['seed']} --scenario {summary['scenario']} shows one"
    )


@sim.command()
@click.option("--seed", default=1, show_default=True, help="The seed of the run.")
@click.option(
    "--scenario",
    default="alone",
    show_default=True,
    help="The scenario; a short one keeps the number of runs small.",
)
@click.option("--who", default="g0", show_default=True, help="The gateway to kill.")
@click.option(
    "--every", default=1, show_default=True, type=click.IntRange(1), help="Kill at each n-th write only."
)
@click.option("--jobs", default=0, help="Parallel processes (default: one per core).")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def points(seed: int, scenario: str, who: str, every: int, jobs: int, as_json: bool) -> int:
    """Kill a gateway at each of its writes to its disk or the wire, in one run per write.

    Exit codes: 0 if all invariants held, 1 otherwise.
    """
    ensure_fixed_hash_seed()
    chosen = _scenario(scenario)
    jobs_to_run = kill_jobs(seed, chosen, who, every)
    if not jobs_to_run:
        raise config.ConfigError(
            f"who: {who!r} writes nothing in {scenario}: there are "
            + ", ".join(f"g{number}" for number in range(chosen.gateways))
        )
    results = _run_with_progress(f"{scenario}, {who} killed", jobs_to_run, jobs, as_json)
    broken = sorted((result for result in results if result.broken), key=lambda result: result.kill_at)
    summary = {
        "scenario": scenario,
        "seed": seed,
        "who": who,
        "points": len(jobs_to_run),
        "broken": [{"point": result.kill_at[1], "broken": result.broken[:5]} for result in broken],
    }
    if as_json:
        click.echo(json.dumps(summary))
        return 1 if broken else 0
    console = Console()
    for failure in summary["broken"][:MAX_LISTED]:
        console.print(f"[red]point {failure['point']}[/]: {escape(failure['broken'][0])}")
    console.print(f"{len(jobs_to_run)} points, {len(broken)} broken")
    return 1 if broken else 0


@sim.command()
@click.argument("seed", type=int)
@click.option("--scenario", default="mixed", show_default=True, help="The scenario of the run.")
@click.option(
    "--plan", "plan_file", metavar="FILE", help="A JSON file of faults to use in place of the seed's."
)
@click.option(
    "--kill", "kill", metavar="NAME:POINT", help="Kill a process at one of its writes, with no other faults."
)
@click.option("--shrink", is_flag=True, help="Reduce the faults to the fewest that still fail.")
@click.option(
    "--only",
    multiple=True,
    metavar="WORD",
    help="Show only lines that contain WORD; may be given several times.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object, without the lines.")
def replay(
    seed: int,
    scenario: str,
    plan_file: str | None,
    kill: str | None,
    shrink: bool,
    only: tuple[str, ...],
    as_json: bool,
) -> int:
    """Run one seed again and print the log lines of each process.

    Exit codes: 0 if all invariants held, 1 otherwise.
    """
    ensure_fixed_hash_seed()
    chosen = _scenario(scenario)
    plan = read_plan(plan_file) if plan_file else draw_plan(seed, chosen)
    if why := unplayable_reason(plan, chosen):
        raise config.ConfigError(f"{plan_file}: {why}")
    kill_at = None
    if kill:  # the only fault of the run
        who, _, point = kill.partition(":")
        if not point.isdigit():
            raise config.ConfigError(f"kill: NAME:POINT is needed, not {kill!r}")
        plan, kill_at = [], (who, int(point))
    result = run_scenario(seed, chosen, plan, kill_at)
    if shrink and result.broken and plan:
        plan = faults.shrink(plan, lambda part: bool(run_scenario(seed, chosen, part).broken))
        result = run_scenario(seed, chosen, plan)
    if as_json:
        click.echo(json.dumps(result.to_tree()))
        return 1 if result.broken else 0
    console = Console(highlight=False, soft_wrap=True)
    for time_s, name, text in result.lines:
        if not only or any(word in text for word in only):
            console.print(f"[dim]{time_s:8.3f}[/] [bold]{name:3}[/] {escape(text)}")
    console.print(f"plan: {json.dumps([fault.to_tree() for fault in plan])}")
    console.print(f"digest {result.digest}, {result.deliveries} deliveries, answers {result.answers}")
    for violation in result.broken:
        console.print(f"[red]broken[/]: {escape(violation)}")
    return 1 if result.broken else 0
