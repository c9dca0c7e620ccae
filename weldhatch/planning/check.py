"""Walks a plan's waves and tells what it would break: the yardstick of every way of planning.

It shares nothing with the solvers' models, so that a fault of theirs shows. Apply asks it again with the
world as it is then.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from weldhatch.planning.actions import Action, Waves, wave_by_node
from weldhatch.planning.change import Change, Floor, Limit, Line, Spread, counts_for_floor
from weldhatch.planning.fleet import Fleet, Node, State

EPSILON = 1e-6


@dataclass(slots=True, frozen=True)
class Violation:
    """One thing that does not hold, in which wave (counted from 1; 0 for the end), and with what figures."""

    line: Line
    wave: int
    what: str
    wanted: float
    there: float

    def __str__(self) -> str:
        when = f"in wave {self.wave}" if self.wave else "at the end"
        return f"{self.line}: {when} {self.what} is {self.there:g}, and {self.wanted:g} is wanted"


def ready_capacity(
    floor: Floor, ready: Iterable[Node], fleet: Fleet, survive_rack: bool
) -> tuple[float, float]:
    """Cores and memory that count for a floor, less those of the worst rack where one may fall."""
    cores: Counter[str] = Counter()
    memory: Counter[str] = Counter()
    for node in ready:
        if counts_for_floor(floor, node, fleet):
            cores[node.rack] += node.cores
            memory[node.rack] += node.memory
    # A floor of one rack can't outlast that rack: it is held as long as the rack stands.
    fall = survive_rack and not floor.rack
    return tuple(
        sum(room.values()) - (max(room.values(), default=0.0) if fall else 0.0) for room in (cores, memory)
    )


def floor_violations(
    floor: Floor, ready: Iterable[Node], fleet: Fleet, survive_rack: bool, wave: int
) -> list[Violation]:
    room = ready_capacity(floor, ready, fleet, survive_rack)
    rest = " if the worst rack falls" if survive_rack and not floor.rack else ""
    return [
        Violation(floor.line, wave, f"ready {what}{rest}", wanted, there)
        for what, wanted, there in zip(("cores", "memory"), (floor.cores, floor.memory), room, strict=True)
        if there < wanted - EPSILON
    ]


def spread_racks(spread: Spread, ready: Iterable[Node], fleet: Fleet) -> tuple[int, int]:
    """Racks that are needed for a spread, and those that there are."""
    cls = fleet.classes[spread.cls]
    return (
        math.ceil(spread.tasks / cls.spread_most),
        len({node.rack for node in ready if cls.served_by(node.kind)}),
    )


def busy_outside_plan(limit: Limit, fleet: Fleet, acted: Iterable[str]) -> Counter[str]:
    """Nodes that drain, or start, without our doing, by the limit's place: they count in every wave."""
    ours = set(acted)
    state = State.DRAINING if limit.doing == "draining" else State.WARMING
    return Counter(
        limit_scope(limit, node)
        for node in fleet.nodes.values()
        if node.id not in ours and node.state is state and (state is State.WARMING or node.tasks)
    )


def limit_scope(limit: Limit, node: Node) -> str:
    return "the fleet" if limit.per == "fleet" else f"{limit.per} {getattr(node, limit.per)}"


def counts_toward_limit(limit: Limit, action: Action) -> bool:
    """A stop of what drains already drains on, so it counts too."""
    return action.kind.starts if limit.doing == "starting" else action.kind.drains or action.kind == "stop"


def wave_duration_s(wave: Iterable[Action], fleet: Fleet) -> float:
    """What a wave takes by the fleet's pace, in seconds."""
    pace, longest = fleet.pace, 0.0
    for action in wave:
        longest = max(
            longest, pace.warm_s if action.kind.starts else 0.0 if action.kind.adds_capacity else pace.drain_s
        )
    return pace.order_s + longest


def find_violations(change: Change, fleet: Fleet, waves: Waves, first: int = 1) -> list[Violation]:
    """All that the waves from `first` on would break on this fleet; empty for a plan that holds.

    A floor is held in every wave that drains something counted for it, and at the end; one that is broken
    today may be mended by the plan, as long as nothing drains before that.
    """
    out: list[Violation] = []
    ready = {node.id: node for node in fleet.nodes.values() if node.ready}
    acted = [action.node.id for wave in waves for action in wave]
    for number, wave in enumerate(waves, 1):
        for action in wave:
            if not action.kind.adds_capacity:
                ready.pop(action.node.id, None)
        if number >= first:
            out += _wave_breaks(change, fleet, wave, number, ready.values(), acted)
        for action in wave:
            if action.kind.adds_capacity:
                ready[action.node.id] = fleet.nodes[action.node.id]
    for floor in change.floors:
        out += floor_violations(floor, ready.values(), fleet, change.survive_rack, 0)
    for spread in change.spreads:
        needed, there = spread_racks(spread, ready.values(), fleet)
        if there < needed:
            out.append(Violation(spread.line, 0, "the number of racks that can take it", needed, there))
    when = wave_by_node(waves)
    for order in change.orders:
        last = 0
        for names in order.sets:
            own = [when[name] for name in names if name in when]
            if own and min(own) <= last:
                out.append(Violation(order.line, min(own), "the wave", last + 1, min(own)))
            last = max([last, *own])
    seconds = sum(wave_duration_s(wave, fleet) for wave in waves)
    for within in change.withins:
        if within.waves and len(waves) > within.waves:
            out.append(Violation(within.line, 0, "the number of waves", within.waves, len(waves)))
        if within.seconds and seconds > within.seconds + EPSILON:
            out.append(Violation(within.line, 0, "the time in seconds", within.seconds, seconds))
    return out


def _wave_breaks(
    change: Change,
    fleet: Fleet,
    wave: tuple[Action, ...],
    number: int,
    ready: Iterable[Node],
    acted: list[str],
) -> list[Violation]:
    out: list[Violation] = []
    for floor in change.floors:
        if any(action.kind.drains and counts_for_floor(floor, action.node, fleet) for action in wave):
            out += floor_violations(floor, ready, fleet, change.survive_rack, number)
    for spread in change.spreads:
        cls = fleet.classes[spread.cls]
        if any(action.kind.drains and cls.served_by(action.node.kind) for action in wave):
            needed, there = spread_racks(spread, ready, fleet)
            if there < needed:
                out.append(
                    Violation(spread.line, number, "the number of racks that can take it", needed, there)
                )
    for limit in change.limits:
        busy = busy_outside_plan(limit, fleet, acted)
        ours = Counter(
            limit_scope(limit, action.node) for action in wave if counts_toward_limit(limit, action)
        )
        for name, count in ours.items():
            if count + busy[name] > limit.most:
                out.append(
                    Violation(
                        limit.line,
                        number,
                        f"the number {limit.doing} in {name}",
                        limit.most,
                        count + busy[name],
                    )
                )
    return out
