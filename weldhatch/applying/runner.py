"""Carries one plan out: looks at the world, asks the engine, writes down, sends, and so on to the end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

import msgspec

from weldhatch.applying.journal import Journal
from weldhatch.nodes.protocol import Answer
from weldhatch.planning.change import counts_for_floor
from weldhatch.planning.engine import Decision, Engine, Order, Patience, StopReason
from weldhatch.planning.fleet import Fleet, Node, State
from weldhatch.planning.moved import Moved, find_moved_floors, find_moved_nodes
from weldhatch.planning.plan import Plan
from weldhatch.planning.records import AnyRecord, Begin, Done, Heard, Progress, Stopped


class World(Protocol):
    """Nodes and gateways, over whatever wire."""

    gateways: tuple[str, ...]

    async def fetch_nodes(self, names: Iterable[str]) -> dict[str, Node | None]:
        """Return nodes as they say they are; None for one that does not answer."""

    async def draining_machines(self) -> dict[str, frozenset[str]]:
        """Return the machines that each gateway holds as draining, but for gateways that do not answer."""

    async def send(self, order: Order) -> Answer:
        """Send one order to its node or gateway; return what came of it."""


class Exit(IntEnum):
    """What the command line ends with."""

    DONE = 0
    FAULT = 1
    PENDING = 2
    MOVED = 3
    STOPPED = 4


@dataclass(slots=True, frozen=True)
class Result:
    """How an apply ended. `moved` is filled for Exit.MOVED, `stopped` for Exit.STOPPED."""

    exit: Exit
    text: str
    moved: tuple[Moved, ...] = ()
    stopped: Stopped | None = None


async def observe(fleet: Fleet, world: World, names: Iterable[str] | None = None) -> Fleet:
    """Return the fleet as it is now: a node that does not answer is LOST, its place and size are as filed.

    `fleet` has the nodes as its file names them; `names` picks some of them, for a large fleet.
    """
    chosen = list(fleet.nodes if names is None else names)
    seen, held = await asyncio.gather(world.fetch_nodes(chosen), world.draining_machines())
    every = frozenset().union(*held.values()) if held else frozenset()
    nodes = {}
    for name in chosen:
        node = seen.get(name)
        if node is None:
            node = msgspec.structs.replace(fleet.nodes[name], state=State.LOST, generation=0, tasks=0)
        nodes[name] = msgspec.structs.replace(node, held=name in every)
    return fleet.with_nodes(nodes)


def nodes_to_observe(plan: Plan, fleet: Fleet) -> list[str]:
    """Return the nodes that a plan has to see: those it acts on, and those that count for what it keeps."""
    acted = {node.id for node in plan.world}
    if plan.change.limits or plan.change.spreads:
        return list(fleet.nodes)
    return [
        node.id
        for node in fleet.nodes.values()
        if node.id in acted or any(counts_for_floor(floor, node, fleet) for floor in plan.change.floors)
    ]


class Runner:
    """One apply of one plan, by the one who holds the journal."""

    def __init__(
        self,
        plan: Plan,
        fleet: Fleet,
        world: World,
        journal: Journal,
        patience: Patience,
        *,
        clock: Callable[[], float],
        by: str,
        report_event: Callable[..., None] = lambda *_, **__: None,
    ) -> None:
        """Prepare an apply; nothing is sent yet.

        `clock` gives Unix seconds; waiting is by asyncio, so both may be virtual. `by`: who applies;
        `report_event` gets an event's name and its figures.
        """
        self._plan = plan
        self._fleet = fleet
        self._world = world
        self._journal = journal
        self._patience = patience
        self._clock = clock
        self._by = by
        self._report_event = report_event
        self._names = nodes_to_observe(plan, fleet)
        self._overtaken = ""
        self.stop_requested = False

    async def run(self, over: bool = False) -> Result:
        """To the end, or to where it stops. `over`: leave another apply that is half done as it is."""
        plan = self._plan
        story = self._journal.story
        known = story.applies.get(plan.id)
        if known is not None and known.ended:
            return Result(Exit.DONE, "this plan has been applied already: nothing was done")
        missing = sorted({node.id for node in plan.world} - self._fleet.nodes.keys())
        if missing:
            return Result(
                Exit.MOVED,
                "the fleet's file no longer names nodes of the plan",
                tuple(Moved(name, "a step", "in the fleet", "not in the fleet") for name in missing),
            )
        if refusal := self._other(over):
            return refusal
        fleet = await observe(self._fleet, self._world, self._names)
        if known is None or not known.begun_steps:
            every = [node.id for node in plan.world]
            moved = find_moved_nodes(plan, fleet, every) or find_moved_floors(plan, fleet, every)
            if moved:
                return Result(
                    Exit.MOVED, "the world has moved since the plan was made; nothing was done", tuple(moved)
                )
        fence = 1 + max([story.fence, *(node.fence for node in fleet.nodes.values())])
        begin = Begin(apply=plan.id, at=self._clock(), plan=None if known else plan, fence=fence, by=self._by)
        self._journal.append([begin])
        progress = story.applies[plan.id]
        self._report_event(
            "apply.resumed" if known else "apply.begun", apply=plan.id, fence=fence, by=self._by
        )
        return await self._loop(progress, fleet)

    def _other(self, over: bool) -> Result | None:
        """Return why this apply may not begin: another one that is half done is finished or undone first."""
        last = self._journal.story.unfinished
        if last is None or last.plan.id in (self._plan.id, self._plan.undoes) or over or not last.half_nodes:
            return None
        return Result(
            Exit.FAULT,
            f"apply {last.plan.id} ({last.plan.change.name}) stands half done at "
            f"{', '.join(last.half_nodes[:5])}: go on with it, undo it, or say --over",
        )

    async def _loop(self, progress: Progress, fleet: Fleet) -> Result:
        engine = Engine(progress, self._world.gateways, self._patience)
        while True:
            decision = engine.decide(self._clock(), fleet)
            if self.stop_requested and not decision.ended and decision.stop is None:
                stop = Stopped(
                    apply=self._plan.id,
                    at=self._clock(),
                    reason=StopReason.TOLD,
                    text="told to stop; nothing more was ordered",
                )
                decision = Decision(stop=stop)
                decision.records.append(stop)
            self._journal.append(decision.records)
            self._report(decision)
            if decision.stop is not None:
                return Result(
                    Exit.STOPPED, f"{decision.stop.reason}: {decision.stop.text}", stopped=decision.stop
                )
            if decision.ended:
                return Result(Exit.DONE, "done")
            if decision.orders and (result := await self._send(decision.orders)):
                return result
            if decision.idle:
                await asyncio.sleep(self._patience.poll_s)
            fleet = await observe(self._fleet, self._world, self._names)

    async def _send(self, orders: list[Order]) -> Result | None:
        answers = await asyncio.gather(*(self._world.send(order) for order in orders))
        now = self._clock()
        received: list[AnyRecord] = [
            Heard(
                apply=self._plan.id,
                at=now,
                step=order.step.id,
                who=order.gateway or order.step.node,
                taken=answer.taken,
                reason=answer.reason,
                transient=answer.transient,
            )
            for order, answer in zip(orders, answers, strict=True)
        ]
        late = next((answer for answer in answers if answer.overtaken), None)
        if late is not None:
            # Guards against an older apply that wakes up late: it writes nothing more that others would read
            # as the newer one's, beside its own end.
            stop = Stopped(apply=self._plan.id, at=now, reason=StopReason.OVERTAKEN, text=late.reason)
            self._journal.append([*received, stop])
            return Result(
                Exit.STOPPED,
                f"{StopReason.OVERTAKEN}: a later apply has the say: {late.reason}",
                stopped=stop,
            )
        self._journal.append(received)
        for order, answer in zip(orders, answers, strict=True):
            self._report_event(
                "order.answered",
                step=order.step.id,
                to=order.gateway or order.step.node,
                taken=answer.taken,
                reason=answer.reason,
            )
        return None

    def _report(self, decision: Decision) -> None:
        for order in decision.orders:
            self._report_event("order.sent", step=order.step.id, to=order.gateway or order.step.node)
        for record in decision.records:
            if isinstance(record, Done):
                self._report_event("step.done", step=record.step, outcome=record.outcome, note=record.note)
        if decision.stop is not None:
            self._report_event("apply.stopped", reason=decision.stop.reason, text=decision.stop.text)
        if decision.ended:
            self._report_event("apply.ended", apply=self._plan.id)
