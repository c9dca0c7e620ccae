"""Simulates a plan's waves and reports violated constraints; it checks the result of every planning method.

The check does not use the solvers' models, so that it detects an error in a model. An apply repeats the check
on the fleet as it is at that time.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from weldhatch.planning.actions import Action, Waves, wave_by_node
from weldhatch.planning.change import Change, Floor, Limit, Line, Spread, counts_for_floor
from weldhatch.planning.fleet import Fleet, Node, State

EPSILON = 1e-6  # tolerance for sums of floating-point numbers: cores, GB and seconds


@dataclass(slots=True, frozen=True)
class Violation:
    """A statement that does not hold in a wave, with the required and the actual value.

    Waves are counted from 1; 0 is the end of the plan.
    """

    line: Line
    wave: int
    quantity: str
    required: float
    actual: float

    def __str__(self) -> str:
        """Return the statement, the wave and both values as one line."""
        when = f"in wave {self.wave}" if self.wave else "at the end"
        return f"{self.line}: {when} {self.quantity} is {self.actual:g}, and {self.required:g} is wanted"


def ready_capacity(
    floor: Floor, ready: Iterable[Node], fleet: Fleet, survive_rack: bool
) -> tuple[float, float]:
    """Return the ready cores and memory that count for a floor.

    With `survive_rack`, the rack with the most of each is left out.
    """
    cores: Counter[str] = Counter()
    memory: Counter[str] = Counter()
    for node in ready:
        if counts_for_floor(floor, node, fleet):
            cores[node.rack] += node.cores
            memory[node.rack] += node.memory
    # A floor on a single rack can't survive the failure of that rack, so all of the rack counts.
    rack_may_fail = survive_rack and not floor.rack
    return tuple(
        sum(capacity.values()) - (max(capacity.values(), default=0.0) if rack_may_fail else 0.0)
        for capacity in (cores, memory)
    )


def floor_violations(
    floor: Floor, ready: Iterable[Node], fleet: Fleet, survive_rack: bool, wave: int
) -> list[Violation]:
    """Return a violation for each of cores and memory in which the ready nodes fall below a floor."""
    capacity = ready_capacity(floor, ready, fleet, survive_rack)
    suffix = " if the worst rack falls" if survive_rack and not floor.rack else ""
    return [
        Violation(floor.line, wave, f"ready {resource}{suffix}", required, actual)
        for resource, required, actual in zip(
            ("cores", "memory"), (floor.cores, floor.memory), capacity, strict=True
        )
        if actual < required - EPSILON
    ]


def spread_racks(spread: Spread, ready: Iterable[Node], fleet: Fleet) -> tuple[int, int]:
    """Return the number of racks that a spread needs, and the number that have a ready node of its class."""
    cls = fleet.classes[spread.cls]
    return (
        math.ceil(spread.tasks / cls.spread_most),
        len({node.rack for node in ready if cls.served_by(node.kind)}),
    )


def busy_outside_plan(limit: Limit, fleet: Fleet, acted: Iterable[str]) -> Counter[str]:
    """Count, by rack, hall or fleet, the nodes that drain or start already and are not part of the plan.

    They count towards the limit in every wave.
    """
    planned_nodes = set(acted)
    state = State.DRAINING if limit.doing == "draining" else State.WARMING
    return Counter(
        limit_scope(limit, node)
        for node in fleet.nodes.values()
        if node.id not in planned_nodes and node.state is state and (state is State.WARMING or node.tasks)
    )


def limit_scope(limit: Limit, node: Node) -> str:
    """Return the name of the rack, hall or fleet in which a limit counts a node."""
    return "the fleet" if limit.per == "fleet" else f"{limit.per} {getattr(node, limit.per)}"


def counts_toward_limit(limit: Limit, action: Action) -> bool:
    """Return whether an action counts towards a limit; a stop of a draining node counts as draining."""
    return action.kind.starts if limit.doing == "starting" else action.kind.drains or action.kind == "stop"


def wave_duration_s(wave: Iterable[Action], fleet: Fleet) -> float:
    """Return the expected time of a wave in seconds, by the fleet's pace."""
    pace, longest = fleet.pace, 0.0
    for action in wave:
        longest = max(
            longest, pace.warm_s if action.kind.starts else 0.0 if action.kind.adds_capacity else pace.drain_s
        )
    return pace.order_s + longest


def find_violations(change: Change, fleet: Fleet, waves: Waves, first: int = 1) -> list[Violation]:
    """Return all violations by the waves from `first` on; none for a valid plan.

    A floor has to hold in every wave that drains a node counted for it, and at the end. A plan may restore a
    floor that is violated at the beginning, as long as no such node drains before that.
    """
    violations: list[Violation] = []
    ready = {node.id: node for node in fleet.nodes.values() if node.ready}
    acted = [action.node.id for wave in waves for action in wave]
    for number, wave in enumerate(waves, 1):
        for action in wave:
            if not action.kind.adds_capacity:
                ready.pop(action.node.id, None)
        if number >= first:
            violations += _wave_violations(change, fleet, wave, number, ready.values(), acted)
        for action in wave:
            if action.kind.adds_capacity:
                ready[action.node.id] = fleet.nodes[action.node.id]
    for floor in change.floors:
        violations += floor_violations(floor, ready.values(), fleet, change.survive_rack, 0)
    for spread in change.spreads:
        needed, actual = spread_racks(spread, ready.values(), fleet)
        if actual < needed:
            violations.append(
                Violation(spread.line, 0, "the number of racks that can take it", needed, actual)
            )
    when = wave_by_node(waves)
    for order in change.orders:
        last = 0
        for names in order.sets:
            own = [when[name] for name in names if name in when]
            if own and min(own) <= last:
                violations.append(Violation(order.line, min(own), "the wave", last + 1, min(own)))
            last = max([last, *own])
    seconds = sum(wave_duration_s(wave, fleet) for wave in waves)
    for within in change.withins:
        if within.waves and len(waves) > within.waves:
            violations.append(Violation(within.line, 0, "the number of waves", within.waves, len(waves)))
        if within.seconds and seconds > within.seconds + EPSILON:
            violations.append(Violation(within.line, 0, "the time in seconds", within.seconds, seconds))
    return violations


def _wave_violations(
    change: Change,
    fleet: Fleet,
    wave: tuple[Action, ...],
    number: int,
    ready: Iterable[Node],
    acted: list[str],
) -> list[Violation]:
    violations: list[Violation] = []
    for floor in change.floors:
        if any(action.kind.drains and counts_for_floor(floor, action.node, fleet) for action in wave):
            violations += floor_violations(floor, ready, fleet, change.survive_rack, number)
    for spread in change.spreads:
        cls = fleet.classes[spread.cls]
        if any(action.kind.drains and cls.served_by(action.node.kind) for action in wave):
            needed, actual = spread_racks(spread, ready, fleet)
            if actual < needed:
                violations.append(
                    Violation(spread.line, number, "the number of racks that can take it", needed, actual)
                )
    for limit in change.limits:
        busy = busy_outside_plan(limit, fleet, acted)
        planned = Counter(
            limit_scope(limit, action.node) for action in wave if counts_toward_limit(limit, action)
        )
        for name, count in planned.items():
            if count + busy[name] > limit.most:
                violations.append(
                    Violation(
                        limit.line,
                        number,
                        f"the number {limit.doing} in {name}",
                        limit.most,
                        count + busy[name],
                    )
                )
    return violations
