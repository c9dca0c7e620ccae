"""Plan and apply of a fleet, measured: planning by solver and greedy, seeded applies, and the journal.

    python -m benchmarks.fleet [--quick]

The last line is one JSON object. Everything that is compared is compared in this one run.
"""

from __future__ import annotations

import argparse
import json
import sqlite3
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

from weldhatch.applying.journal import Journal, read_history
from weldhatch.applying.runner import Exit
from weldhatch.planning.actions import Unplannable, actions
from weldhatch.planning.change import Change, read_change
from weldhatch.planning.check import find_violations
from weldhatch.planning.fleet import Fleet, State
from weldhatch.planning.greedy import greedy
from weldhatch.planning.records import Begin, Done, Heard, Intent, encode
from weldhatch.planning.search import search
from weldhatch.sexpr import reader
from weldhatch.store.log import Log
from weldhatch.testbed.crash_points import large_fleet, make_plan, trial
from weldhatch.testbed.fleet import Faults


def release(fleet: Fleet, seed: int, tight: float) -> str:
    """Switch all on that is off, and take away or drain a third of the rest, under floors.

    `tight`: how much of the room that is left in the end the floors ask for, 0 to 1.
    """
    rng = Random(seed)
    on = [node.id for node in fleet.nodes.values() if node.state is State.OFF]
    ready = [node.id for node in fleet.nodes.values() if node.state is State.READY]
    rng.shuffle(ready)
    going = ready[: len(ready) // 3]
    off, drain = going[: len(going) // 2], going[len(going) // 2 :]
    lines = [
        f'(change "release {seed}"',
        f"(on {' '.join(on)})",
        f"(off {' '.join(off)})",
        f"(drain {' '.join(drain)})",
    ]
    for hall in fleet.halls:
        left = Counter()
        for node in fleet.nodes.values():
            if node.hall == hall and node.id not in going:
                left[node.rack] += node.cores
        room = sum(left.values()) - max(left.values(), default=0)
        if room > 1:
            lines.append(f"(keep (hall {hall}) (cores {int(room * tight)}))")
    lines.append("(at-most 2 draining per rack) (at-most 4 starting per rack) (spread match-lookup 9))")
    return "\n".join(lines)


def replacement(fleet: Fleet, seed: int, tight: float) -> str:
    """As many away as are switched on, under floors near what there is: drains have to wait for new nodes."""
    rng = Random(seed)
    on = [node.id for node in fleet.nodes.values() if node.state is State.OFF]
    ready = [node.id for node in fleet.nodes.values() if node.state is State.READY]
    rng.shuffle(ready)
    going = set(ready[: len(on)])
    lines = [f'(change "replacement {seed}"', f"(on {' '.join(on)})", f"(off {' '.join(sorted(going))})"]
    for hall in fleet.halls:
        rooms = []
        for counted in (lambda node: node.state is State.READY, lambda node: node.id not in going):
            left: Counter = Counter()
            for node in fleet.nodes.values():
                if node.hall == hall and counted(node):
                    left[node.rack] += node.cores
            rooms.append(sum(left.values()) - max(left.values(), default=0))
        if min(rooms) > 1:
            lines.append(f"(keep (hall {hall}) (cores {int(min(rooms) * tight)}))")
    lines.append(f"(at-most {max(1, len(on) // 6)} starting per hall) (at-most 2 draining per rack)")
    return "\n".join([*lines, "(spread match-lookup 9))"])


def planned(text: str, fleet: Fleet) -> Change:
    return read_change(reader.read_with_includes("bench", lambda _: text), fleet)


def planning(sizes: tuple[int, ...], seeds: int) -> dict:
    """Plan times and waves by size and way, the same changes for each way."""
    out: dict = {}
    for size in sizes:
        rows = []
        for seed in range(seeds):
            fleet = large_fleet(size, seed)
            make = (release, replacement)[seed % 2]
            change = planned(make(fleet, seed, 1.0 if seed % 4 > 1 else 0.95), fleet)
            todo = actions(change, fleet)
            row: dict = {"seed": seed, "actions": len(todo)}
            start = time.perf_counter()
            plain = greedy(change, fleet, todo)
            row["greedy_s"] = time.perf_counter() - start
            row["greedy"] = len(plain) if plain else None
            for way in ("cp-sat", "highs"):
                start = time.perf_counter()
                try:
                    found = search(change, fleet, way)
                    assert not find_violations(change, fleet, found.waves)
                    row[way], row[f"{way}_seconds"], row[f"{way}_by"] = (
                        len(found.waves),
                        found.seconds,
                        found.method,
                    )
                    row[f"{way}_proven"] = found.proven
                except Unplannable:
                    row[way] = None
                row[f"{way}_s"] = time.perf_counter() - start
            rows.append(row)
            print(
                f"  {size} nodes, change {seed}: {len(todo)} actions; waves greedy {row['greedy']} in "
                f"{row['greedy_s']:.2f} s, cp-sat {row['cp-sat']} in {row['cp-sat_s']:.2f} s, "
                f"highs {row['highs']} in {row['highs_s']:.2f} s",
                flush=True,
            )
        out[size] = rows
    return out


def applies(count: int) -> dict:
    """Seeded applies with nodes that fall, lie dead and return, killed at a random point, then undone."""
    total, ends = Counter(), Counter()
    steps, start = 0, time.perf_counter()
    for seed in range(count):
        rng = Random(seed)
        faults = Faults(
            lose_order=0.04,
            lose_answer=0.04,
            late_answer=0.03,
            fall_after=0.02,
            busy=0.05,
            refuse=0.01,
            forget=0.04,
            falls=rng.randint(0, 3),
            span_s=30,
        )
        out = trial(
            seed,
            faults=faults,
            crashes=(rng.randint(0, 90), rng.randint(0, 90)),
            undo=bool(seed % 2),
            wait_s=rng.choice((1.0, 3.0, 12.0)),
            runs_most=5,
        )
        total.update(out.faults)
        steps += sum(len(node.effects) for node in out.world.nodes.values())
        ends[out.result.exit.name if out.result else "CRASHED"] += 1
        if out.undone is not None:
            ends[f"undo {out.undone.exit.name}"] += 1
    took = time.perf_counter() - start
    return {
        **{
            name: total[name]
            for name in ("second_drains", "unreported_half_done", "floors_broken", "late_starts")
        },
        "applies": count,
        "ends": dict(ends),
        "orders_carried_out": steps,
        "seconds": took,
    }


def real_steps(count: int) -> float:
    """Steps a second of one apply with the journal on a real disk, and answers that take no time."""
    fleet = large_fleet(count, 1)
    names = [node.id for node in fleet.nodes.values() if node.state is State.READY][: count // 2]
    with tempfile.TemporaryDirectory() as folder:
        from weldhatch.applying.runner import Runner
        from weldhatch.planning.engine import Patience
        from weldhatch.testbed.fleet import StandInWorld
        from weldhatch.testbed.virtual import VirtualLoop, run

        loop = VirtualLoop()
        world = StandInWorld(fleet, loop, drain_s=0.5)
        plan = make_plan(
            f'(change "x" (drain {" ".join(names)}) (at-most 4 draining per rack))', fleet, loop.clock()
        )

        async def main() -> Exit:
            journal = Journal(folder, "bench", loop.clock())
            try:
                runner = Runner(plan, fleet, world, journal, Patience(), clock=loop.clock, by="bench")
                return (await runner.run()).exit
            finally:
                journal.close()

        start = time.perf_counter()
        assert run(main(), loop) is Exit.DONE
        return len(plan.steps) / (time.perf_counter() - start)


# ---- the journal, in the two ways that were weighed
# ----------------------------------------------------------


def records(count: int) -> list[bytes]:
    """A journal's records as applies write them."""
    fleet = large_fleet(40, 1)
    names = [node.id for node in fleet.nodes.values() if node.state is State.READY][:8]
    out: list[bytes] = []
    number = 0
    while len(out) < count:
        plan = make_plan(f'(change "c{number}" (drain {" ".join(names)}))', fleet, float(number))
        out.append(encode(Begin(apply=plan.id, at=1.0, plan=plan, fence=number + 1, by="bench")))
        for step in plan.steps:
            out.append(encode(Intent(apply=plan.id, at=1.0, step=step.id, op=plan.operation(step), fence=1)))
            out.append(encode(Heard(apply=plan.id, at=1.0, step=step.id, who=step.node, taken=True)))
            out.append(encode(Done(apply=plan.id, at=1.0, step=step.id, outcome="done")))
        number += 1
    return out[:count]


class Sqlite:
    """The other way: a table in write-ahead mode, synchronous at each commit."""

    def __init__(self, path: str) -> None:
        self._base = sqlite3.connect(path, isolation_level=None)
        self._base.execute("PRAGMA journal_mode=WAL")
        self._base.execute("PRAGMA synchronous=FULL")
        self._base.execute("CREATE TABLE IF NOT EXISTS records (number INTEGER PRIMARY KEY, payload BLOB)")

    def append(self, payloads: list[bytes]) -> None:
        self._base.execute("BEGIN")
        self._base.executemany("INSERT INTO records (payload) VALUES (?)", [(one,) for one in payloads])
        self._base.execute("COMMIT")

    def records(self) -> list[bytes]:
        return [row[0] for row in self._base.execute("SELECT payload FROM records ORDER BY number")]

    def close(self) -> None:
        self._base.close()


def journals(count: int, appends: int) -> dict:
    """Appends a second (each on the disk before the next), and the recovery of `count` entries."""
    made, out = records(count), {}
    ways: dict[str, Callable] = {"log": Log, "sqlite": Sqlite}
    for name, kind in ways.items():
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "journal")
            store = kind(path)
            start = time.perf_counter()
            for n in range(appends):
                store.append([made[n % count]])
            out[f"{name}_appends_s"] = appends / (time.perf_counter() - start)
            store.close()
            path = str(Path(folder) / "large")
            store = kind(path)
            store.append(made)
            store.close()
            took = []
            for _ in range(3):
                start = time.perf_counter()
                store = kind(path)
                assert len(list(store.records())) == count
                took.append(time.perf_counter() - start)
                store.close()
            out[f"{name}_recovery_s"] = statistics.median(took)
    with tempfile.TemporaryDirectory() as folder:  # with what an apply makes of the records
        log = Log(Path(folder) / "applies.log")
        log.append(made)
        log.close()
        start = time.perf_counter()
        read_history(folder)
        out["story_recovery_s"] = time.perf_counter() - start
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--quick", action="store_true", help="smaller counts")
    options = parser.parse_args()
    print("planning")
    sizes = planning((10, 30, 100, 1000), 4 if options.quick else 8)
    print("applies")
    told = applies(100 if options.quick else 1000)
    print(f"  {told['applies']} in {told['seconds']:.0f} s: {told['ends']}")
    steps = real_steps(100 if options.quick else 400)
    print(f"  {steps:.0f} steps a second with the journal on the disk")
    print("journal")
    stores = journals(100_000, 300 if options.quick else 1000)
    for name, value in stores.items():
        print(f"  {name}: {value:.3g}")
    largest = sizes[1000]
    every = [row for rows in sizes.values() for row in rows]
    figures = {
        "second_drains": told["second_drains"],
        "unreported_half_done": told["unreported_half_done"],
        "floors_broken": told["floors_broken"],
        "late_starts": told["late_starts"],
        "applies": told["applies"],
        "plan_s_1000": max(row["cp-sat_s"] for row in largest),
        "plan_s_1000_highs": max(row["highs_s"] for row in largest),
        "plan_s_1000_greedy": max(row["greedy_s"] for row in largest),
        "waves_solver": sum(row["cp-sat"] or 0 for row in every),
        "waves_highs": sum(row["highs"] or 0 for row in every),
        "waves_greedy": sum(row["greedy"] or 0 for row in every if row["cp-sat"]),
        "greedy_found_none": sum(row["greedy"] is None and row["cp-sat"] is not None for row in every),
        "more_waves_than_greedy": sum(
            bool(row["greedy"] and row["cp-sat"]) and row["cp-sat"] > row["greedy"] for row in every
        ),
        "steps_per_s": steps,
        "journal_recovery_s_100000": stores["story_recovery_s"],
        **stores,
    }
    print(
        json.dumps(
            {key: round(value, 4) if isinstance(value, float) else value for key, value in figures.items()}
        )
    )


if __name__ == "__main__":
    main()
