"""Stand-in nodes: the node-control protocol on a small machine of states, with faults by script.

A node is told the time with each call and does no I/O; `world` and `server` put it on a wire.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from weldhatch.nodes.protocol import NODE_ORDERS, Answer, NodeOrder, Refusal
from weldhatch.planning.fleet import Node, Pace, State
from weldhatch.planning.plan import Kind

BEGINS = {
    Kind.DRAIN: (State.READY, State.WARMING),
    Kind.UNDRAIN: (State.DRAINING,),
    Kind.STOP: (State.DRAINING,),
    Kind.SWITCH_ON: (State.OFF,),
}


@dataclass(slots=True, frozen=True)
class Effect:
    """An order that a node really carried out."""

    at: float
    op: str
    order: Kind
    generation: int


@dataclass(slots=True)
class StandInNode:
    """One node. What it has done is in `effects`, which no fault makes it forget."""

    spec: Node
    pace: Pace
    drain_s: float = 5.0  # until its tasks have ended
    state: State = State.READY
    generation: int = 1
    fence: int = 0
    warm_at: float = 0.0
    drain_from: float = 0.0
    tasks_then: int = 0
    up: bool = True  # it answers
    known: dict[str, None] = field(default_factory=dict)  # operations it has taken
    effects: list[Effect] = field(default_factory=list)
    started: list[float] = field(default_factory=list)  # when work was begun here
    booted: list[float] = field(default_factory=list)  # when a generation of it began
    refusing: str = ""  # its reason; a BUSY one is transient
    refusals_left: int = 0
    held: bool = False

    @staticmethod
    def of(spec: Node, pace: Pace, drain_s: float = 5.0) -> StandInNode:
        return StandInNode(
            spec, pace, drain_s, spec.state, spec.generation, spec.fence, tasks_then=spec.tasks
        )

    def tick(self, now: float) -> None:
        if self.state is State.WARMING and now >= self.warm_at:
            self.state = State.READY

    def tasks(self, now: float) -> int:
        if self.state is State.OFF:
            return 0
        if self.state is not State.DRAINING or not self.drain_s:
            return self.tasks_then if self.state is not State.DRAINING else 0
        left = 1 - (now - self.drain_from) / self.drain_s
        return max(0, -int(-self.tasks_then * left // 1)) if left > 0 else 0

    def node(self, now: float) -> Node:
        self.tick(now)
        return msgspec.structs.replace(
            self.spec, state=self.state, generation=self.generation, tasks=self.tasks(now), fence=self.fence
        )

    def take(self, order: NodeOrder, now: float) -> Answer:
        """One order: carried out, known already, or refused with a reason."""
        self.tick(now)
        if order.order not in NODE_ORDERS:
            return Answer.refused(Refusal.REFUSED, f"{order.order} is no order to a node")
        if order.fence < self.fence:
            return Answer.refused(Refusal.FENCE, f"{self.fence} has been heard, this is {order.fence}")
        self.fence = order.fence
        if order.op in self.known:
            return Answer(taken=True)
        if order.generation != self.generation:
            return Answer.refused(
                Refusal.GENERATION, f"{self.generation}, the order is for {order.generation}"
            )
        if self.state not in BEGINS[order.order]:
            return Answer.refused(Refusal.STATE, f"{self.spec.id} is {self.state}")
        if order.order is Kind.STOP and self.tasks(now):
            return Answer.refused(Refusal.STATE, f"{self.tasks(now)} tasks still run")
        if self.refusing and self.refusals_left:
            self.refusals_left -= 1
            code, _, reason = self.refusing.partition(" ")
            return Answer.refused(code, reason)
        self.known[order.op] = None
        self.effects.append(Effect(now, order.op, order.order, self.generation))
        match order.order:
            case Kind.DRAIN:
                self.state, self.drain_from = State.DRAINING, now
            case Kind.UNDRAIN:
                self.tasks_then = self.tasks(now)
                self.state = State.READY
            case Kind.STOP:
                self.state = State.OFF
            case Kind.SWITCH_ON:
                self.start(now)
        return Answer(taken=True)

    def start(self, now: float) -> None:
        self.generation += 1
        self.booted.append(now)
        self.state, self.tasks_then, self.warm_at = State.WARMING, 0, now + self.pace.warm_s

    # ---- what a script does to it --------------------------------------------------------------------------

    def fall(self) -> None:
        """It loses its power: tasks and state are gone, the node no longer answers."""
        self.state, self.up, self.tasks_then = State.OFF, False, 0

    def come_back(self, now: float, on: bool) -> None:
        """It answers again: off, or started anew under its next generation."""
        self.up = True
        if on and self.state is State.OFF:
            self.start(now)

    def forget(self) -> None:
        """Its control process starts anew and knows no operation, and no fence; the node runs on."""
        self.known.clear()
        self.fence = 0
