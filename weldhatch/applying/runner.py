"""Executes one plan: observes the fleet, asks the engine, journals its decisions and sends orders."""

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


class FleetClient(Protocol):
    """Access to the nodes and gateways of a fleet, independent of the transport."""

    gateways: tuple[str, ...]

    async def fetch_nodes(self, names: Iterable[str]) -> dict[str, Node | None]:
        """Return each node's reported state; None for a node that does not answer."""

    async def draining_machines(self) -> dict[str, frozenset[str]]:
        """Return the machines that each gateway marks as draining, without gateways that do not answer."""

    async def send(self, order: Order) -> Answer:
        """Send one order to its node or gateway, and return the answer."""


class Exit(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    FAULT = 1
    PENDING = 2
    MOVED = 3
    STOPPED = 4


@dataclass(slots=True, frozen=True)
class Result:
    """The result of an apply. `moved` is set for Exit.MOVED, `stopped` for Exit.STOPPED."""

    exit: Exit
    text: str
    moved: tuple[Moved, ...] = ()
    stopped: Stopped | None = None


async def observe(fleet: Fleet, client: FleetClient, names: Iterable[str] | None = None) -> Fleet:
    """Return the fleet in its current state.

    A node that does not answer is LOST, with the location and size that the fleet file gives.

    fleet: the nodes as the fleet file describes them.
    names: the nodes to query, to limit the work on a large fleet; None for all.
    """
    chosen = list(fleet.nodes if names is None else names)
    reported, draining_by_gateway = await asyncio.gather(
        client.fetch_nodes(chosen), client.draining_machines()
    )
    draining = frozenset().union(*draining_by_gateway.values()) if draining_by_gateway else frozenset()
    nodes = {}
    for name in chosen:
        node = reported.get(name)
        if node is None:
            node = msgspec.structs.replace(fleet.nodes[name], state=State.LOST, generation=0, tasks=0)
        nodes[name] = msgspec.structs.replace(node, held=name in draining)
    return fleet.with_nodes(nodes)


def nodes_to_observe(plan: Plan, fleet: Fleet) -> list[str]:
    """Return the nodes that a plan acts on, and those that its floors, limits and spreads depend on."""
    plan_nodes = {node.id for node in plan.world}
    if plan.change.limits or plan.change.spreads:
        return list(fleet.nodes)
    return [
        node.id
        for node in fleet.nodes.values()
        if node.id in plan_nodes or any(counts_for_floor(floor, node, fleet) for floor in plan.change.floors)
    ]


class Runner:
    """One apply of one plan, run by the process that holds the journal's lock."""

    def __init__(
        self,
        plan: Plan,
        fleet: Fleet,
        client: FleetClient,
        journal: Journal,
        patience: Patience,
        *,
        clock: Callable[[], float],
        by: str,
        report_event: Callable[..., None] = lambda *_, **__: None,
    ) -> None:
        """Prepare an apply without sending anything.

        clock: returns Unix seconds. Waits use asyncio, so tests can run both on virtual time.
        by: who applies the plan, for the journal.
        report_event: called with the name of each event and its fields as keywords.
        """
        self._plan = plan
        self._fleet = fleet
        self._client = client
        self._journal = journal
        self._patience = patience
        self._clock = clock
        self._by = by
        self._report_event = report_event
        self._names = nodes_to_observe(plan, fleet)
        self._overtaken = ""
        self.stop_requested = False

    async def run(self, ignore_unfinished: bool = False) -> Result:
        """Begin or resume the apply, and run it until it is done or stops.

        ignore_unfinished: begin even though another apply is half done, and leave that one as it is.
        """
        plan = self._plan
        history = self._journal.history
        previous = history.applies.get(plan.id)
        if previous is not None and previous.ended:
            return Result(Exit.DONE, "this plan has been applied already: nothing was done")
        missing = sorted({node.id for node in plan.world} - self._fleet.nodes.keys())
        if missing:
            return Result(
                Exit.MOVED,
                "the fleet's file no longer names nodes of the plan",
                tuple(Moved(name, "a step", "in the fleet", "not in the fleet") for name in missing),
            )
        if refusal := self._check_unfinished(ignore_unfinished):
            return refusal
        fleet = await observe(self._fleet, self._client, self._names)
        if previous is None or not previous.begun_steps:
            plan_nodes = [node.id for node in plan.world]
            moved = find_moved_nodes(plan, fleet, plan_nodes) or find_moved_floors(plan, fleet, plan_nodes)
            if moved:
                return Result(
                    Exit.MOVED, "the world has moved since the plan was made; nothing was done", tuple(moved)
                )
        fence = 1 + max([history.fence, *(node.fence for node in fleet.nodes.values())])
        begin = Begin(
            apply=plan.id, at=self._clock(), plan=None if previous else plan, fence=fence, by=self._by
        )
        self._journal.append([begin])
        progress = history.applies[plan.id]
        self._report_event(
            "apply.resumed" if previous else "apply.begun", apply=plan.id, fence=fence, by=self._by
        )
        return await self._loop(progress, fleet)

    def _check_unfinished(self, ignore_unfinished: bool) -> Result | None:
        """Return a refusal if another apply is half done, which must first be finished or undone."""
        last = self._journal.history.unfinished
        if (
            last is None
            or last.plan.id in (self._plan.id, self._plan.undoes)
            or ignore_unfinished
            or not last.half_nodes
        ):
            return None
        return Result(
            Exit.FAULT,
            f"apply {last.plan.id} ({last.plan.change.name}) stands half done at "
            f"{', '.join(last.half_nodes[:5])}: go on with it, undo it, or say --over",
        )

    async def _loop(self, progress: Progress, fleet: Fleet) -> Result:
        engine = Engine(progress, self._client.gateways, self._patience)
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
            fleet = await observe(self._fleet, self._client, self._names)

    async def _send(self, orders: list[Order]) -> Result | None:
        """Send the orders and journal their answers; return a result if a later apply has overtaken this."""
        answers = await asyncio.gather(*(self._client.send(order) for order in orders))
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
        overtaken = next((answer for answer in answers if answer.overtaken), None)
        if overtaken is not None:
            # Guards against an older apply that resumes late: after these answers and its own stop, it writes
            # no further records that readers could attribute to the newer apply.
            stop = Stopped(apply=self._plan.id, at=now, reason=StopReason.OVERTAKEN, text=overtaken.reason)
            self._journal.append([*received, stop])
            return Result(
                Exit.STOPPED,
                f"{StopReason.OVERTAKEN}: a later apply has the say: {overtaken.reason}",
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
