"""Plays of whole groups on a virtual clock: how many a second, what was thrown, and whether promises held.

    python -m benchmarks.simulation [--quick]

The last line is one JSON object:

    seeds, seeds_per_s       of all scenarios; a second of the mixed one (3 gateways), of five, of halls
    minutes_for_10000        of the mixed scenario, at that pace
    fault_points             faults thrown, and kills at each write to a store or the wire of a short play
    enumerated               the latter alone
    broken                   plays in which a promise did not hold
    replayed_same            of the replayed seeds, those with one trace, here and in another process
    bugs, bugs_caught        deliberate faults of the program, and those that 200 seeds or fewer find
    bugs_seeds_most          the seeds that the last of them took
    real_s_per_s             seconds of the play in one of this machine's, on one core
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time

from weldhatch.cli.sim import kill_jobs, run_all
from weldhatch.simulation import seeded_defects
from weldhatch.simulation.scenario_runner import run_scenario
from weldhatch.simulation.scenarios import CALM_S, SCENARIOS


def many(name: str, seeds: int, workers: int) -> dict:
    began = time.perf_counter()
    results = list(run_all([(seed, SCENARIOS[name], None, None) for seed in range(seeds)], workers))
    return {
        "seeds": seeds,
        "seeds_per_s": round(seeds / (time.perf_counter() - began), 2),
        "thrown": sum(len(one.plan) for one in results),
        "broken": sorted((one.seed, one.broken[0]) for one in results if one.broken),
    }


def kills(every: int, workers: int) -> dict:
    """A kill at each point, or each so many, of two short plays: a gateway alone, and one of three."""
    jobs = [
        job
        for name, who in (("alone", "g0"), ("short", "g0"), ("short", "g1"))
        for job in kill_jobs(1, SCENARIOS[name], who, every)
    ]
    return {
        "points": len(jobs),
        "broken": [
            (one.scenario, one.kill_at, one.broken[0]) for one in run_all(jobs, workers) if one.broken
        ],
    }


def replayed(seeds: int) -> float:
    """Each seed twice in this process, and once in another."""
    code = (
        "import sys\nfrom weldhatch.simulation.scenario_runner import run_scenario\n"
        "from weldhatch.simulation.scenarios import SCENARIOS\n"
        "for seed in range(int(sys.argv[1])): print(run_scenario(seed, SCENARIOS['mixed']).digest)"
    )
    other = subprocess.run(
        [sys.executable, "-c", code, str(seeds)],
        text=True,
        capture_output=True,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    ).stdout.split()
    same = 0
    for seed in range(seeds):
        first = run_scenario(seed, SCENARIOS["mixed"]).digest
        again = run_scenario(seed, SCENARIOS["mixed"]).digest
        same += first == again == other[seed]
    return same / seeds


def main() -> None:
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.execve(
            sys.executable,
            [sys.executable, "-m", "benchmarks.simulation", *sys.argv[1:]],
            {**os.environ, "PYTHONHASHSEED": "0"},
        )
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    workers = os.cpu_count() or 1
    mixed = many("mixed", 200 if quick else 10_000, workers)
    print("mixed:", mixed, flush=True)
    five = many("five", 40 if quick else 1_000, workers)
    print("five:", five, flush=True)
    queue = many("queue", 100 if quick else 2_000, workers)
    print("queue:", queue, flush=True)
    halls = many("halls", 60 if quick else 1_000, workers)
    print("halls:", halls, flush=True)
    others = [
        many(name, 40 if quick else 1_000, workers) for name in ("copies", "morning", "clocks", "again")
    ]
    print("copies, morning, clocks, again:", others, flush=True)
    points = kills(25 if quick else 1, workers)
    print("kills:", points, flush=True)
    found = {}
    for bug, seeds, text in seeded_defects.all_caught():
        found[bug.name] = seeds
        print("bug:", bug.name, f"({bug.subsystem}, {bug.scenario})", seeds, text[:100], flush=True)
    began = time.perf_counter()
    for seed in range(3):
        run_scenario(seed, SCENARIOS["calm"])
    calm = SCENARIOS["calm"]
    speed = 3 * (CALM_S + calm.storm_s + calm.heal_s) / (time.perf_counter() - began)
    plays = (mixed, five, queue, halls, *others)
    print(
        json.dumps(
            {
                "seeds": sum(one["seeds"] for one in plays),
                "seeds_per_s": mixed["seeds_per_s"],
                "minutes_for_10000": round(10_000 / mixed["seeds_per_s"] / 60, 1),
                "halls_seeds_per_s": halls["seeds_per_s"],
                "five_seeds_per_s": five["seeds_per_s"],
                "queue_seeds_per_s": queue["seeds_per_s"],
                "fault_points": sum(one["thrown"] for one in plays) + points["points"],
                "enumerated": points["points"],
                "broken": sum(len(one["broken"]) for one in plays) + len(points["broken"]),
                "bugs": len(found),
                "bugs_caught": sum(seeds > 0 for seeds in found.values()),
                "bugs_seeds_most": max(found.values()),
                "replayed_same": replayed(3 if quick else 10),
                "real_s_per_s": round(speed, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
