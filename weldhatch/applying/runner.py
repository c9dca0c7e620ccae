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
from weldhatch.planning.change import counts
from weldhatch.planning.engine import Decision, Engine, Order, Patience, Why
from weldhatch.planning.fleet import Fleet, Node, State
from weldhatch.planning.moved import Moved, floors_moved, nodes_moved
from weldhatch.planning.plan import Plan
from weldhatch.planning.records import Begin, Heard, Progress, Stopped


class World(Protocol):
    """Nodes and gateways, over whatever wire."""

    gateways: tuple[str, ...]

    async def look(self, names: Iterable[str]) -> dict[str, Node | None]: ...

    async def held(self) -> dict[str, frozenset[str]]: ...

    async def send(self, order: Order) -> Answer: ...


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
    """The fleet as it is now: a node that does not answer is LOST, and keeps its place and size as filed.

    `fleet` has the nodes as its file names them; `names` picks some of them, for a large fleet.
    """
    chosen = list(fleet.nodes if names is None else names)
    seen, held = await asyncio.gather(world.look(chosen), world.held())
    every = frozenset().union(*held.values()) if held else frozenset()
    nodes = {}
    for name in chosen:
        node = seen.get(name)
        if node is None:
            node = msgspec.structs.replace(fleet.nodes[name], state=State.LOST, generation=0, tasks=0)
        nodes[name] = msgspec.structs.replace(node, held=name in every)
    return fleet.with_nodes(nodes)


def watched(plan: Plan, fleet: Fleet) -> list[str]:
    """The nodes that a plan has to see: those it acts on, and those that count for what it keeps."""
    acted = {node.id for node in plan.world}
    if plan.change.limits or plan.change.spreads:
        return list(fleet.nodes)
    return [
        node.id
        for node in fleet.nodes.values()
        if node.id in acted or any(counts(floor, node, fleet) for floor in plan.change.floors)
    ]


class Runner:
    """One apply of one plan, by the journal's holder.

    `clock` gives Unix seconds; waiting is by asyncio, so both may be virtual. `tell` hears an event's name
    and
    its figures.
    """

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
        tell: Callable[..., None] = lambda *_, **__: None,
    ) -> None:
        self._plan, self._fleet, self._world, self._journal = plan, fleet, world, journal
        self._patience, self._clock, self._by, self._tell = patience, clock, by, tell
        self._names = watched(plan, fleet)
        self._overtaken = ""
        self.stop_asked = False

    async def run(self, over: bool = False) -> Result:
        """To the end, or to where it stops. `over`: leave another apply that is half done as it is."""
        plan, story = self._plan, self._journal.story
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
        if known is None or not known.begun:
            every = [node.id for node in plan.world]
            moved = nodes_moved(plan, fleet, every) or floors_moved(plan, fleet, every)
            if moved:
                return Result(
                    Exit.MOVED, "the world has moved since the plan was made; nothing was done", tuple(moved)
                )
        fence = 1 + max([story.fence, *(node.fence for node in fleet.nodes.values())])
        begin = Begin(apply=plan.id, at=self._clock(), plan=None if known else plan, fence=fence, by=self._by)
        self._journal.append([begin])
        progress = story.applies[plan.id]
        self._tell("apply.resumed" if known else "apply.begun", apply=plan.id, fence=fence, by=self._by)
        return await self._loop(progress, fleet)

    def _other(self, over: bool) -> Result | None:
        """An apply that stands half done is finished or taken back before another begins."""
        last = self._journal.story.open
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
            if self.stop_asked and not decision.ended and decision.stop is None:
                decision = Decision(
                    stop=Stopped(
                        apply=self._plan.id,
                        at=self._clock(),
                        reason=Why.TOLD,
                        text="told to stop; nothing more was ordered",
                    )
                )
                decision.records.append(decision.stop)
            self._journal.append(decision.records)
            self._report(decision)
            if decision.stop is not None:
                return Result(
                    Exit.STOPPED, f"{decision.stop.reason}: {decision.stop.text}", stopped=decision.stop
                )
            if decision.ended:
                return Result(Exit.DONE, "done")
            if decision.orders and (stop := await self._send(decision.orders)):
                return stop
            if decision.idle:
                await asyncio.sleep(self._patience.poll_s)
            fleet = await observe(self._fleet, self._world, self._names)

    async def _send(self, orders: list[Order]) -> Result | None:
        answers = await asyncio.gather(*(self._world.send(order) for order in orders))
        now = self._clock()
        heard = [
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
            stop = Stopped(apply=self._plan.id, at=now, reason=Why.OVERTAKEN, text=late.reason)
            self._journal.append([*heard, stop])
            return Result(
                Exit.STOPPED, f"{Why.OVERTAKEN}: a later apply has the say: {late.reason}", stopped=stop
            )
        self._journal.append(heard)
        for order, answer in zip(orders, answers, strict=True):
            self._tell(
                "order.answered",
                step=order.step.id,
                to=order.gateway or order.step.node,
                taken=answer.taken,
                reason=answer.reason,
            )
        return None

    def _report(self, decision: Decision) -> None:
        for order in decision.orders:
            self._tell("order.sent", step=order.step.id, to=order.gateway or order.step.node)
        for record in decision.records:
            if hasattr(record, "outcome"):
                self._tell("step.done", step=record.step, outcome=record.outcome, note=record.note)
        if decision.stop is not None:
            self._tell("apply.stopped", reason=decision.stop.reason, text=decision.stop.text)
        if decision.ended:
            self._tell("apply.ended", apply=self._plan.id)
