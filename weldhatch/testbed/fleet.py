"""A fleet of stand-in nodes and gateways in one process, with a script of faults, and an auditor of what
happened.

It takes the wire's place (`applying.runner.World`) on a virtual clock: answers take time, get lost on the way
there or back, nodes fall and return. The auditor reads what the nodes did, never what an apply wrote.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from weldhatch.nodes.protocol import NO_ANSWER, Answer, NodeOrder, OperatorOrder
from weldhatch.planning.change import Change
from weldhatch.planning.check import floor_violations
from weldhatch.planning.engine import Order
from weldhatch.planning.fleet import Fleet, Node, Pace, ServiceClass, State
from weldhatch.planning.plan import Kind
from weldhatch.testbed.nodes import StandInNode
from weldhatch.testbed.virtual import VirtualLoop

DRAIN_GRACE_S = 2.0  # a gateway that was told of a drain gives nothing new from then on
LOOK_AGE_S = 2.5  # an apply decides by what it saw at most so long ago


@dataclass(slots=True)
class StandInGateway:
    """What a gateway keeps of operators' words, and what work it gives out."""

    name: str
    words: dict[str, tuple[State, int]] = field(default_factory=dict)
    told_at: dict[str, float] = field(default_factory=dict)
    up: bool = True

    def take(self, machine: str, word: OperatorOrder, now: float) -> Answer:
        _, fence = self.words.get(machine, (State.READY, 0))
        if word.fence < fence:
            return Answer.refused("FENCE", f"{fence} has been heard, this is {word.fence}")
        if self.words.get(machine, (State.READY, 0))[0] is not word.state:
            self.told_at[machine] = now
        self.words[machine] = (word.state, word.fence)
        return Answer(taken=True)

    def gives(self, machine: str, now: float) -> bool:
        """Would it give this machine work now? For a while after a drain it may not have heard of it
        inside."""
        state, _ = self.words.get(machine, (State.READY, 0))
        return self.up and (state is not State.DRAINING or now < self.told_at[machine] + DRAIN_GRACE_S / 2)


@dataclass(slots=True)
class Faults:
    """How bad the world is: shares of messages, and what befalls nodes by a timetable."""

    lose_order: float = 0.0  # it never arrives
    lose_answer: float = 0.0  # it is heard, and the answer is lost
    late_answer: float = 0.0  # it is heard, and the answer comes after the asker's patience
    fall_after: float = 0.0  # the node takes the order and falls before it answers
    busy: float = 0.0  # a node refuses for now
    refuse: float = 0.0  # a node refuses for good
    forget: float = 0.0  # its control process starts anew before an order
    falls: int = 0  # nodes that fall within `span_s`, most of them to come back
    span_s: float = 60.0


class StandInWorld:
    """The nodes and gateways. Seeded: the same seed is the same world."""

    def __init__(
        self,
        fleet: Fleet,
        loop: VirtualLoop,
        *,
        gateways: int = 2,
        seed: int = 1,
        faults: Faults | None = None,
        answer_s: float = 2.0,
        delay_s: float = 0.02,
        drain_s: float = 5.0,
    ) -> None:
        self.fleet, self._loop, self.clock = fleet, loop, loop.clock
        self.random, self.faults = Random(seed), faults or Faults()
        self._answer_s, self._delay_s = answer_s, delay_s
        self.nodes = {node.id: StandInNode.of(node, fleet.pace, drain_s) for node in fleet.nodes.values()}
        self.parties = {f"gateway-{n}": StandInGateway(f"gateway-{n}") for n in range(gateways)}
        self.gateways = tuple(self.parties)
        self.history: list[tuple[float, dict[str, Node]]] = []
        self.floors_broken = 0
        self.watch: Change | None = None  # floors to audit at each drain that takes effect
        self._jobs: list[asyncio.Task] = []

    # ---- the wire ------------------------------------------------------------------------------------------

    async def _way(self) -> None:
        await asyncio.sleep(self._delay_s * (0.5 + self.random.random()))

    async def fetch_nodes(self, names: Iterable[str]) -> dict[str, Node | None]:
        await self._way()
        now = self.clock()
        seen = {name: self.nodes[name].node(now) if self.nodes[name].up else None for name in names}
        await self._way()
        return seen

    async def draining_machines(self) -> dict[str, frozenset[str]]:
        await self._way()
        return {
            name: frozenset(machine for machine, (state, _) in party.words.items() if state is State.DRAINING)
            for name, party in self.parties.items()
            if party.up
        }

    async def send(self, order: Order) -> Answer:
        faults, random = self.faults, self.random
        await self._way()
        if random.random() < faults.lose_order:
            await asyncio.sleep(self._answer_s)
            return NO_ANSWER
        answer = self._to_gateway(order) if order.gateway else self._to_node(order)
        if answer is None or random.random() < faults.lose_answer:
            await asyncio.sleep(self._answer_s)
            return NO_ANSWER
        if random.random() < faults.late_answer:
            await asyncio.sleep(self._answer_s * 1.5)
            return NO_ANSWER
        await self._way()
        return answer

    def _to_gateway(self, order: Order) -> Answer | None:
        party = self.parties[order.gateway]
        if not party.up:
            return None
        state = State.DRAINING if order.step.kind is Kind.ANNOUNCE else State.READY
        return party.take(
            order.step.node, OperatorOrder(op=order.op, state=state, fence=order.fence), self.clock()
        )

    def _to_node(self, order: Order) -> Answer | None:
        node, now, random = self.nodes[order.step.node], self.clock(), self.random
        if not node.up:
            return None
        if random.random() < self.faults.forget:
            node.forget()
        if not node.refusals_left and random.random() < self.faults.busy:
            node.refusing, node.refusals_left = "BUSY not now", 1
        elif not node.refusals_left and random.random() < self.faults.refuse:
            node.refusing, node.refusals_left = "REFUSED its last copy of something is here", 1
        count = len(node.effects)
        answer = node.take(
            NodeOrder(
                op=order.op, order=order.step.kind, generation=order.step.generation, fence=order.fence
            ),
            now,
        )
        if len(node.effects) > count and order.step.kind is Kind.DRAIN:
            self._audit_floors(node)
        if answer.taken and random.random() < self.faults.fall_after:
            node.fall()
            return None
        return answer

    # ---- what happens to it --------------------------------------------------------------------------------

    def begin(self) -> None:
        """Start the timetable and the work; `end` stops both."""
        self._jobs = [self._loop.create_task(self._work()), self._loop.create_task(self._remember())]
        for _ in range(self.faults.falls):
            self._jobs.append(self._loop.create_task(self._fall()))

    def end(self) -> None:
        for job in self._jobs:
            job.cancel()

    async def _fall(self) -> None:
        random = self.random
        await asyncio.sleep(random.random() * self.faults.span_s)
        node = self.nodes[random.choice(sorted(self.nodes))]
        if node.up and node.state is not State.OFF:
            node.fall()
            await asyncio.sleep(1 + random.random() * 30)
            node.come_back(self.clock(), on=random.random() < 0.7)

    async def _work(self) -> None:
        """Gateways give work to whom they think ready."""
        while True:
            await asyncio.sleep(0.2)
            now = self.clock()
            for node in self.nodes.values():
                if (
                    node.up
                    and node.state in (State.READY, State.DRAINING)
                    and self.random.random() < 0.3
                    and any(party.gives(node.spec.id, now) for party in self.parties.values())
                ):
                    node.started.append(now)

    async def _remember(self) -> None:
        while True:
            self._snapshot()
            await asyncio.sleep(0.25)

    def _snapshot(self) -> None:
        now = self.clock()
        self.history.append((now, {name: node.node(now) for name, node in self.nodes.items() if node.up}))
        while self.history and self.history[0][0] < now - LOOK_AGE_S:
            self.history.pop(0)

    # ---- the auditor ---------------------------------------------------------------------------------------

    def _audit_floors(self, drained: StandInNode) -> None:
        """Does this drain break a floor that could be seen to break? A node counts that was ready a moment
        ago."""
        if self.watch is None:
            return
        self._snapshot()
        ready = {}
        for _, nodes in self.history:
            ready.update({name: node for name, node in nodes.items() if node.state is State.READY})
        for name, node in self.nodes.items():
            if node.state is State.DRAINING:
                ready.pop(name, None)
        ready.pop(drained.spec.id, None)
        for floor in self.watch.floors:
            self.floors_broken += bool(
                floor_violations(floor, ready.values(), self.fleet, self.watch.survive_rack, 0)
            )

    def second_drains(self) -> int:
        """Drains of one node by one plan beyond the first."""
        count = 0
        for node in self.nodes.values():
            by_plan: dict[str, int] = {}
            for effect in node.effects:
                if effect.order is Kind.DRAIN:
                    plan = effect.op.split("/")[0]
                    by_plan[plan] = by_plan.get(plan, 0) + 1
            count += sum(number - 1 for number in by_plan.values())
        return count

    def late_starts(self) -> int:
        """Work that was begun on a node over 2 s after its drain took effect, and before it was ready
        again."""
        count = 0
        for node in self.nodes.values():
            since = None
            # Another generation of a node is another node: it is not the one that was drained.
            marks = [(effect.at, effect.order) for effect in node.effects] + [
                (at, Kind.SWITCH_ON) for at in node.booted
            ]
            for at, what in sorted([*marks, *((at, None) for at in node.started)], key=lambda mark: mark[0]):
                if what is Kind.DRAIN:
                    since = at
                elif what is not None:
                    since = None
                elif since is not None and at > since + DRAIN_GRACE_S:
                    count += 1
        return count

    def half_nodes(self, plan_id: str) -> set[str]:
        """Nodes at which a plan's orders took effect, or whose drain some gateway heard: by their own
        account."""
        out = {
            name
            for name, node in self.nodes.items()
            if any(effect.op.startswith(f"{plan_id}/") for effect in node.effects)
        }
        return out | {
            machine
            for party in self.parties.values()
            for machine, (state, _) in party.words.items()
            if state is State.DRAINING
        }

    def states(self) -> dict[str, str]:
        now = self.clock()
        return {name: node.node(now).state.value for name, node in self.nodes.items()}


def small_fleet(
    count: int = 8, *, off: int = 2, racks: int = 4, pace: Pace | None = None, rng: Random | None = None
) -> Fleet:
    """A fleet of `count` nodes over some racks and two halls, the last `off` of them off."""
    nodes = []
    for n in range(count):
        rack = n % racks
        nodes.append(
            Node(
                id=f"n{n + 1:0{len(str(count))}d}",
                hall=f"hall-{'ab'[rack % 2]}",
                rack=f"r{rack + 1}",
                kind="std-48",
                cores=rng.choice((40.0, 44.0, 48.0)) if rng else 40.0,
                memory=rng.choice((96.0, 106.0)) if rng else 96.0,
                state=State.OFF if n >= count - off else State.READY,
                generation=1,
                tasks=0 if n >= count - off else 6,
            )
        )
    return Fleet(
        nodes, [ServiceClass(name="match-lookup", spread_most=3)], pace or Pace(warm_s=4.0, drain_s=5.0)
    )
