"""CPU time of the decision module per request and per list update, at several fleet sizes.

    python -m benchmarks.dispatch [--quick] [--against REV] [--sizes 40,400,4000]

The module runs alone against a small world on a virtual clock: probes are answered with the room that
the world keeps, offers are placed where there is room and refused where not, and tasks end after a while, so
that the fleet fills and stays busy. Only the processor time spent inside `Policy.handle` is counted
(`time.process_time_ns`), so the world's own bookkeeping is left out.

Where it matters: on the standing test the bench's clock moves by the processor time that a dispatcher uses,
so every microsecond spent deciding is a microsecond that every request waits.

`--against REV` runs the module of that git revision (default 1aee0c1, the version before the standing
test's first changes) in the same run, each in a process of its own on the same inputs, and prints the
ratio. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import heapq
import json
import os
import subprocess
import sys
import tarfile
import tempfile
import time
from io import BytesIO
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
BASELINE = "1aee0c1"
ARRIVAL_GAP_US = 2_500


def _settings(types: Any, group_size: int) -> Any:
    """Settings alike to those of the platform's site: three classes, probes, two zones, booking 2.

    Objective and deadline go by position: the baseline's fields had other names.
    """
    classes = (
        types.RequestClass("match-lookup", 1_000_000, 5_000_000, priority=2),
        types.RequestClass(
            "import-job",
            3_000_000,
            20_000_000,
            effect=types.Effect.KEYED,
            window_us=30_000_000,
            priority=1,
        ),
        types.RequestClass("memory-writer", 2_000_000, 10_000_000, effect=types.Effect.UNSAFE),
    )
    return types.Settings(
        classes=classes,
        kinds=(types.MachineKind("std-48", cores=44.0, memory=106.0),),
        zones=("hall-a", "hall-b"),
        group_size=group_size,
        max_attempts=4,
        retry_after=True,
        max_retry_after_us=3_000_000,
        subscribe=True,
        cores_booking=2.0,
        memory_booking=2.0,
        report_fields=("x0", "x1"),
        drain_grace_us=2_000_000,
        answer_slack_us=8_000,
    )


class World:
    """Machines with room, a virtual clock and the policy's timers; the policy is the only thing timed."""

    def __init__(self, types: Any, size: int, seed: int) -> None:
        """Start with all machines empty; `types` is the module that exports the policy and its vocabulary."""
        self.types = types
        self.rng = Random(seed)
        self.now = 1_000_000
        self.settings = _settings(types, 16)
        self.policy = types.Policy(self.settings, seed=seed)
        self.size = size
        self.free = {m: [44.0, 106.0] for m in range(1, size + 1)}
        self.timers: list[tuple[int, int, object]] = []  # (when, order, event)
        self.order = 0
        self.tasks: dict[int, tuple[int, int, float, float]] = {}  # request: machine, attempt, cores, memory
        self.attempts: dict[int, int] = {}
        self.asks: dict[int, tuple[float, float]] = {}
        self.cpu_ns = 0
        self.calls = 0
        self.answers = {"placed": 0, "refused": 0, "failed": 0}

    def machines(self, born: int = 0) -> tuple[Any, ...]:
        """The list of all machines."""
        m = self.types.Machine
        return tuple(m(k, zone=k % 2, kind=0, cell=k % 20, born_us=born) for k in self.free)

    def later(self, wait: int, event: object) -> None:
        """Have an event come after a wait in microseconds."""
        self.order += 1
        heapq.heappush(self.timers, (self.now + max(0, wait), self.order, event))

    def handle(self, events: list[object]) -> None:
        """Have the policy decide, timed, and carry its actions out."""
        start = time.process_time_ns()
        actions = self.policy.handle(self.now, events)
        self.cpu_ns += time.process_time_ns() - start
        self.calls += 1
        for action in actions:
            self.carry_out(action)

    def time_of(self, event: object) -> int:
        """Processor time in nanoseconds that the policy takes for an event; its actions are dropped."""
        start = time.process_time_ns()
        self.policy.handle(self.now, [event])
        return time.process_time_ns() - start

    def arrive(self, number: int) -> None:
        """Have one request of a random class and size arrive."""
        class_index = self.rng.choice((0, 0, 0, 1, 2))
        cores, memory = self.rng.choice(((1.0, 2.0), (2.0, 4.0), (4.0, 8.0)))
        self.asks[number] = (cores, memory)
        deadline = self.now + self.settings.classes[class_index].deadline_us
        service = self.rng.randrange(40)
        self.handle(
            [
                self.types.RequestArrived(
                    number, class_index, deadline, service=service, cores=cores, memory=memory
                )
            ]
        )

    def carry_out(self, action: Any) -> None:
        """Answer one action as the machines would."""
        types = self.types
        if isinstance(action, types.SetTimer):
            self.later(action.after_us, types.TimerFired(action.timer))
        elif isinstance(action, types.Probe):
            free = self.free.get(action.machine)
            if free is not None:
                report = (max(0.0, free[0]), max(0.0, free[1]))
                self.later(300, types.ProbeAnswered(action.machine, types.Outcome.OK, 300, report))
        elif isinstance(action, types.Offer):
            self._take_offer(action)
        elif isinstance(action, getattr(types, "Reject", None) or types.Refuse):
            self.answers["refused"] += 1
        elif isinstance(action, types.Fail):
            self.answers["failed"] += 1

    def _take_offer(self, offer: Any) -> None:
        """Place the task where there is capacity, else decline the offer."""
        types = self.types
        attempt = self.attempts.get(offer.request, -1) + 1
        self.attempts[offer.request] = attempt
        cores, memory = self.asks[offer.request]
        free = self.free[offer.machine]
        if free[0] >= cores and free[1] >= memory:
            free[0] -= cores
            free[1] -= memory
            self.tasks[offer.request] = (offer.machine, attempt, cores, memory)
            self.later(800, types.Placed(offer.request, attempt, offer.machine, 800))
            self.later(self.rng.randint(2_000_000, 20_000_000), ("end", offer.request))
            return
        reason = types.Reason.NO_MEMORY if free[1] < memory else types.Reason.NO_CORES
        full = types.Outcome.FULL
        ended = types.AttemptEnded(
            offer.request, attempt, offer.machine, full, 600, reason, False, tuple(free)
        )
        self.later(600, ended)

    def step_until(self, until: int) -> None:
        """Let time pass until then."""
        while self.timers and self.timers[0][0] <= until:
            when, _, event = heapq.heappop(self.timers)
            self.now = max(self.now, when)
            if isinstance(event, tuple):  # a task ends: its room comes back
                request = event[1]
                machine, attempt, cores, memory = self.tasks.pop(request)
                room = self.free[machine]
                room[0] += cores
                room[1] += memory
                self.handle(
                    [
                        self.types.AttemptEnded(
                            request, attempt, machine, self.types.Outcome.OK, 0, 0, True, tuple(room)
                        )
                    ]
                )
                continue
            if isinstance(event, self.types.Placed):
                self.answers["placed"] += 1
            self.handle([event])
        self.now = max(self.now, until)


def measure(size: int, requests: int, seed: int) -> dict[str, Any]:
    """Run `requests` arrivals at 400 a second over `size` machines; CPU per request and list update."""
    import weldhatch  # only the names that every revision exports: the baseline's modules had others

    world = World(weldhatch, size, seed)
    world.handle([weldhatch.MachinesChanged(weldhatch.ListForm.FULL, world.machines(), 1)])
    world.cpu_ns = 0
    for number in range(1, requests + 1):
        world.step_until(world.now + ARRIVAL_GAP_US)
        world.arrive(number)
    world.step_until(world.now + 30_000_000)
    per_request = world.cpu_ns / requests / 1000
    updates = 50 if size <= 400 else 10
    delta_ns, full_ns = _list_times(world, updates)
    return {
        "size": size,
        "requests": requests,
        "us_per_request": round(per_request, 1),
        "us_per_delta": round(delta_ns / updates / 1000, 1),
        "us_per_full_list": round(full_ns / updates / 1000, 1),
        **world.answers,
    }


def _list_times(world: World, updates: int) -> tuple[int, int]:
    """Nanoseconds of list updates: one machine changes state (a delta), and the whole list again (full)."""
    types = world.types
    delta_ns = 0
    full_ns = 0
    for number in range(updates):
        state = types.MachineState.DRAINING if number % 2 else types.MachineState.READY
        machine = types.Machine(1 + number % world.size, zone=0, kind=0, cell=0, state=state)
        delta = types.MachinesChanged(types.ListForm.DELTA, (machine,), 2 + number)
        full = types.MachinesChanged(types.ListForm.FULL, world.machines(), 2 + number)
        delta_ns += world.time_of(delta)
        full_ns += world.time_of(full)
    return delta_ns, full_ns


def _child(args: argparse.Namespace) -> None:
    rows = [measure(size, args.requests, args.seed) for size in args.sizes]
    print(json.dumps(rows))


def _baseline_tree(rev: str, into: Path) -> Path:
    """The `weldhatch` package of a revision, unpacked into a folder; errors name the revision."""
    try:
        archive = subprocess.run(
            ["git", "-C", str(ROOT), "archive", "--format=tar", rev, "weldhatch"],
            check=True,
            capture_output=True,
        ).stdout
    except (OSError, subprocess.CalledProcessError) as fault:
        detail = getattr(fault, "stderr", b"") or b""
        why = detail.decode().strip() or fault
        raise SystemExit(f"dispatch: can't read revision {rev!r} from git: {why}") from None
    with tarfile.open(fileobj=BytesIO(archive)) as tar:
        tar.extractall(into, filter="data")
    return into


def _run(path: Path, args: argparse.Namespace) -> list[dict[str, Any]]:
    env = dict(os.environ, PYTHONPATH=str(path), PYTHONDONTWRITEBYTECODE="1")
    command = [
        sys.executable,
        str(Path(__file__).resolve()),
        "--child",
        "--requests",
        str(args.requests),
        "--seed",
        str(args.seed),
        "--sizes",
        ",".join(map(str, args.sizes)),
    ]
    done = subprocess.run(command, env=env, capture_output=True, text=True, cwd=str(path))
    if done.returncode:
        raise SystemExit(f"dispatch: the run under {path} failed:\n{done.stderr.strip()}")
    rows: list[dict[str, Any]] = json.loads(done.stdout.strip().splitlines()[-1])
    return rows


def main(argv: list[str] | None = None) -> None:
    """Measure this tree and a baseline, print both and the ratio."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.dispatch", description=__doc__.split("\n")[0])
    parser.add_argument("--quick", action="store_true", help="fewer requests, sizes 40 and 400")
    parser.add_argument(
        "--against", default=BASELINE, help="git revision to compare with (default %(default)s)"
    )
    parser.add_argument("--sizes", type=lambda s: [int(x) for x in s.split(",")], default=None)
    parser.add_argument("--requests", type=int, default=None)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args(argv)
    if args.sizes is None:
        args.sizes = [40, 400] if args.quick else [40, 400, 4000]
    if args.requests is None:
        args.requests = 1_000 if args.quick else 4_000
    if args.child:
        _child(args)
        return
    with tempfile.TemporaryDirectory() as folder:
        before = _run(_baseline_tree(args.against, Path(folder)), args)
    now = _run(ROOT, args)
    print(
        f"{'servers':>8} {'version':>9} {'us/request':>11} {'us/delta':>9} {'us/full list':>13} "
        f"{'placed':>7} {'refused':>8}"
    )
    result = {"against": args.against, "requests": args.requests, "sizes": {}}
    for old, new in zip(before, now, strict=True):
        for name, row in ((args.against, old), ("this", new)):
            print(
                f"{row['size']:>8} {name:>9} {row['us_per_request']:>11} {row['us_per_delta']:>9} "
                f"{row['us_per_full_list']:>13} {row['placed']:>7} {row['refused']:>8}"
            )
        result["sizes"][str(new["size"])] = {
            "before": old,
            "this": new,
            "request_ratio": round(new["us_per_request"] / max(old["us_per_request"], 0.1), 3),
        }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
