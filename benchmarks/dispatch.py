"""CPU time of the decision module per request and per list update, at several fleet sizes.

    python -m benchmarks.dispatch [--quick] [--against REV] [--sizes 40,400,4000]

The module is played alone against a small world on a virtual clock: probes are answered with the room that
the world keeps, offers are placed where there is room and refused where not, and tasks end after a while, so
that the fleet fills and stays busy. Only the processor time spent inside `Policy.handle` is counted
(`time.process_time_ns`), so the world's own bookkeeping is left out.

Where it matters: on the standing test the bench's clock moves by the processor time that a dispatcher uses,
so every microsecond spent deciding is a microsecond that every request waits.

`--against REV` plays the module of that git revision (default 1aee0c1, the version before the standing
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

ROOT = Path(__file__).resolve().parent.parent
BASELINE = "1aee0c1"


def _settings(types, group_size: int):
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

    def __init__(self, types, policy_type, size: int, seed: int) -> None:
        self.i, self.rng, self.now = types, Random(seed), 1_000_000
        self.settings = _settings(types, 16)
        self.policy = policy_type(self.settings, seed=seed)
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

    def machines(self, born: int = 0):
        m = self.i.Machine
        return tuple(m(k, zone=k % 2, kind=0, cell=k % 20, born_us=born) for k in self.free)

    def later(self, wait: int, event) -> None:
        self.order += 1
        heapq.heappush(self.timers, (self.now + max(0, wait), self.order, event))

    def handle(self, events: list) -> None:
        start = time.process_time_ns()
        actions = self.policy.handle(self.now, events)
        self.cpu_ns += time.process_time_ns() - start
        self.calls += 1
        for action in actions:
            self.carry_out(action)

    def carry_out(self, action) -> None:
        i = self.i
        if isinstance(action, i.SetTimer):
            self.later(action.after_us, i.TimerFired(action.timer))
        elif isinstance(action, i.Probe):
            room = self.free.get(action.machine)
            if room is not None:
                report = (max(0.0, room[0]), max(0.0, room[1]))
                self.later(300, i.ProbeAnswered(action.machine, i.Outcome.OK, 300, report))
        elif isinstance(action, i.Offer):
            attempt = self.attempts.get(action.request, -1) + 1
            self.attempts[action.request] = attempt
            cores, memory = self.asks[action.request]
            room = self.free[action.machine]
            if room[0] >= cores and room[1] >= memory:
                room[0] -= cores
                room[1] -= memory
                self.tasks[action.request] = (action.machine, attempt, cores, memory)
                self.later(800, i.Placed(action.request, attempt, action.machine, 800))
                self.later(self.rng.randint(2_000_000, 20_000_000), ("end", action.request))
            else:
                reason = i.Reason.NO_MEMORY if room[1] < memory else i.Reason.NO_CORES
                self.later(
                    600,
                    i.AttemptEnded(
                        action.request,
                        attempt,
                        action.machine,
                        i.Outcome.FULL,
                        600,
                        reason,
                        False,
                        tuple(room),
                    ),
                )
        elif isinstance(action, getattr(i, "Reject", None) or i.Refuse):
            self.answers["refused"] += 1
        elif isinstance(action, i.Fail):
            self.answers["failed"] += 1

    def step_until(self, until: int) -> None:
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
                        self.i.AttemptEnded(
                            request, attempt, machine, self.i.Outcome.OK, 0, 0, True, tuple(room)
                        )
                    ]
                )
                continue
            if isinstance(event, self.i.Placed):
                self.answers["placed"] += 1
            self.handle([event])
        self.now = max(self.now, until)


def play(size: int, requests: int, seed: int) -> dict:
    """Play `requests` arrivals at 400 a second over `size` machines; CPU per request and list update."""
    import weldhatch  # only the names that every revision exports: the baseline's modules had others

    world = World(weldhatch, weldhatch.Policy, size, seed)
    world.handle([weldhatch.MachinesChanged(weldhatch.ListForm.FULL, world.machines(), 1)])
    world.cpu_ns = 0
    gap = 2_500  # microseconds between arrivals
    for k in range(1, requests + 1):
        world.step_until(world.now + gap)
        cls = world.rng.choice((0, 0, 0, 1, 2))
        cores, memory = world.rng.choice(((1.0, 2.0), (2.0, 4.0), (4.0, 8.0)))
        world.asks[k] = (cores, memory)
        deadline = world.now + world.settings.classes[cls].deadline_us
        world.handle(
            [
                weldhatch.RequestArrived(
                    k, cls, deadline, service=world.rng.randrange(40), cores=cores, memory=memory
                )
            ]
        )
    world.step_until(world.now + 30_000_000)
    per_request = world.cpu_ns / requests / 1000

    # list updates: one machine changes state (a delta), and the whole list again (full)
    updates = 50 if size <= 400 else 10
    delta_ns = full_ns = 0
    for k in range(updates):
        state = weldhatch.MachineState.DRAINING if k % 2 else weldhatch.MachineState.READY
        machine = weldhatch.Machine(1 + k % size, zone=0, kind=0, cell=0, state=state)
        delta = weldhatch.MachinesChanged(weldhatch.ListForm.DELTA, (machine,), 2 + k)
        full = weldhatch.MachinesChanged(weldhatch.ListForm.FULL, world.machines(), 2 + k)
        start = time.process_time_ns()
        world.policy.handle(world.now, [delta])
        delta_ns += time.process_time_ns() - start
        start = time.process_time_ns()
        world.policy.handle(world.now, [full])
        full_ns += time.process_time_ns() - start
    return {
        "size": size,
        "requests": requests,
        "us_per_request": round(per_request, 1),
        "us_per_delta": round(delta_ns / updates / 1000, 1),
        "us_per_full_list": round(full_ns / updates / 1000, 1),
        **world.answers,
    }


def _child(args: argparse.Namespace) -> None:
    rows = [play(size, args.requests, args.seed) for size in args.sizes]
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


def _run(path: Path, args: argparse.Namespace) -> list[dict]:
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
        raise SystemExit(f"dispatch: the play under {path} failed:\n{done.stderr.strip()}")
    return json.loads(done.stdout.strip().splitlines()[-1])


def main(argv: list[str] | None = None) -> None:
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
