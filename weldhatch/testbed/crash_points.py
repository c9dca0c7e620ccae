"""One apply against stand-in nodes on a virtual clock, killed where told, and gone on with until it ends.

The same seed is the same trial. What is counted comes from the nodes, never from the journal of the apply.
"""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from weldhatch.applying.journal import Journal, read_history
from weldhatch.applying.runner import Exit, Result, Runner, observe
from weldhatch.nodes.protocol import Answer
from weldhatch.planning import plan as plans
from weldhatch.planning.actions import Unplannable
from weldhatch.planning.change import read_change
from weldhatch.planning.engine import Order, Patience
from weldhatch.planning.fleet import Fleet, Node
from weldhatch.planning.plan import Plan
from weldhatch.planning.search import search
from weldhatch.planning.undo import undo_change
from weldhatch.sexpr import reader
from weldhatch.store.log import RealDisk
from weldhatch.testbed.fleet import Faults, StandInWorld, small_fleet
from weldhatch.testbed.virtual import VirtualLoop, run

CHANGE = """
(change "release"
  (on n7 n8)
  (off n1)
  (drain n2 n3)
  (keep (cores 120))
  (at-most 1 draining per hall)
  (spread match-lookup 6))
"""


class Crash(BaseException):
    """The process is gone at this point; nothing of it catches this."""


class Points:
    """Counts the points at which a process can die, and dies at the one that was asked for."""

    def __init__(self, at: int = -1) -> None:
        self.at, self.count, self.names = at, 0, []

    def here(self, name: str) -> bool:
        """Is this the one?"""
        self.names.append(name)
        self.count += 1
        return self.count - 1 == self.at

    def pass_(self, name: str) -> None:
        if self.here(name):
            raise Crash(name)


class MortalDisk(RealDisk):
    """Dies before a write, half-way through it, after it, or before it is confirmed."""

    def __init__(self, points: Points) -> None:
        self._points = points

    def write(self, handle: int, data: bytes) -> int:
        self._points.pass_("write: before")
        if self._points.here("write: half"):
            super().write(handle, data[: len(data) // 2])
            raise Crash("write: half")
        done = super().write(handle, data)
        self._points.pass_("write: after")
        return done

    def sync(self, handle: int) -> None:
        super().sync(handle)
        self._points.pass_("sync: after")


class MortalWorld:
    """The wire of a process that dies before an order leaves, after it was heard, or after its answer."""

    def __init__(self, world: StandInWorld, points: Points) -> None:
        self._world, self._points, self.gateways = world, points, world.gateways

    async def fetch_nodes(self, names: Iterable[str]) -> dict[str, Node | None]:
        self._points.pass_("look")
        return await self._world.fetch_nodes(names)

    async def draining_machines(self) -> dict[str, frozenset[str]]:
        return await self._world.draining_machines()

    async def send(self, order: Order) -> Answer:
        self._points.pass_("order: before")
        answer = await self._world.send(order)
        self._points.pass_("order: heard")
        return answer


@dataclass(slots=True)
class Outcome:
    """What came of one trial."""

    result: Result | None
    world: StandInWorld
    plan: Plan
    runs: int
    points: int
    unreported: int  # nodes with something done that the journal says nothing of, over all stops and crashes
    undone: Result | None = None
    names: list[str] = field(default_factory=list)

    @property
    def faults(self) -> dict[str, int]:
        return {
            "second_drains": self.world.second_drains(),
            "unreported_half_done": self.unreported,
            "floors_broken": self.world.floors_broken,
            "late_starts": self.world.late_starts(),
        }


def make_plan(text: str, fleet: Fleet, now: float, way: str = "greedy") -> Plan:
    change = read_change(reader.read_with_includes("change", lambda _: text), fleet)
    return plans.make(change, fleet, search(change, fleet, way), name="stand-ins", now=now)


def trial(
    seed: int = 1,
    *,
    text: str = CHANGE,
    fleet: Fleet | None = None,
    faults: Faults | None = None,
    crashes: tuple[int, ...] = (),
    runs_most: int = 6,
    undo: bool = False,
    wait_s: float = 3.0,
    patience: Patience | None = None,
    script: Callable[[StandInWorld, int], None] | None = None,
) -> Outcome:
    """Plan, apply, and apply again after each crash and each stop, at most `runs_most` times.

    `crashes`: at which point each run dies, counted from 0; runs beyond them live. `wait_s`: from plan to
    apply, and between runs. `script(world, run)` may do something to the world before each run.
    """
    loop = VirtualLoop()
    fleet = fleet or small_fleet()
    world = StandInWorld(fleet, loop, seed=seed, faults=faults)
    plan = make_plan(text, fleet, loop.clock())
    world.watch = plan.change
    patience = patience or Patience(silence_s=6.0, hold_s=6.0, drain_most_s=60.0, warm_most_s=30.0)
    out = Outcome(None, world, plan, 0, 0, 0)

    async def once(folder: str, which: Plan, points: Points) -> Result | None:
        journal = None
        before = asyncio.all_tasks(loop)
        try:
            journal = Journal(folder, "trial", loop.clock(), MortalDisk(points))
            runner = Runner(
                which, fleet, MortalWorld(world, points), journal, patience, clock=loop.clock, by="trial"
            )
            return await runner.run()
        except Crash:
            return None
        finally:
            for task in asyncio.all_tasks(loop) - before:  # what the dead process had begun
                task.cancel()
            if journal is not None:
                journal.close()

    async def main(folder: str) -> None:
        world.begin()
        for number in range(runs_most):
            await asyncio.sleep(wait_s)
            if script is not None:
                script(world, number)
            points = Points(crashes[number] if number < len(crashes) else -1)
            out.result = await once(folder, plan, points)
            out.runs, out.points, out.names = out.runs + 1, points.count, points.names
            out.unreported += len(world.half_nodes(plan.id) - reported(folder, plan))
            if out.result is not None and out.result.exit in (Exit.DONE, Exit.MOVED):
                break
        if undo:
            await _undo(folder)
        world.end()

    async def _undo(folder: str) -> None:
        progress = read_history(folder).applies.get(plan.id)
        if progress is None:
            return
        seen = await observe(fleet, world)
        with contextlib.suppress(Unplannable):
            change = undo_change(progress, seen)
            back = plans.make(
                change,
                seen,
                search(change, seen, "greedy"),
                name="stand-ins",
                now=loop.clock(),
                undoes=plan.id,
            )
            out.undone = await once(folder, back, Points())

    with tempfile.TemporaryDirectory() as folder:
        run(main(folder), loop)
    return out


def reported(folder: str, plan: Plan) -> set[str]:
    """The nodes of which the journal says that something was, or may have been, done."""
    progress = read_history(folder).applies.get(plan.id)
    return set() if progress is None else {progress.steps[name].step.node for name in progress.begun_steps}


def large_fleet(count: int, seed: int) -> Fleet:
    """Racks of about twenty nodes, a fifth of them off."""
    return small_fleet(count, off=count // 5, racks=max(4, count // 20), rng=Random(seed))
