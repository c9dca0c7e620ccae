"""Plans waves without a solver: each wave takes all the actions it can, in a fixed order.

Its waves are used where no solver finds better ones.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict

from weldhatch.planning.actions import Action, Waves
from weldhatch.planning.change import Change, Floor, counts_for_floor
from weldhatch.planning.check import (
    EPSILON,
    busy_outside_plan,
    counts_toward_limit,
    find_violations,
    limit_scope,
)
from weldhatch.planning.fleet import Fleet, Node


class _FloorGuard:
    """The ready capacity for one floor, summed by rack: a check iterates over racks, not over nodes."""

    def __init__(self, floor: Floor, fleet: Fleet, survive_rack: bool) -> None:
        self._floor, self._fleet = floor, fleet
        self._rack_may_fail = survive_rack and not floor.rack
        self._cores: defaultdict[str, float] = defaultdict(float)
        self._memory: defaultdict[str, float] = defaultdict(float)

    def adjust(self, node: Node, sign: int) -> None:
        if counts_for_floor(self._floor, node, self._fleet):
            self._cores[node.rack] += sign * node.cores
            self._memory[node.rack] += sign * node.memory

    def holds(self) -> bool:
        for required, capacity in ((self._floor.cores, self._cores), (self._floor.memory, self._memory)):
            worst = max(capacity.values(), default=0.0) if self._rack_may_fail else 0.0
            if sum(capacity.values()) - worst < required - EPSILON:
                return False
        return True

    def allows_removal_of(self, node: Node) -> bool:
        if not counts_for_floor(self._floor, node, self._fleet):
            return True
        self.adjust(node, -1)
        allowed = self.holds()
        self.adjust(node, 1)
        return allowed


class _SpreadGuard:
    """The racks with a ready node of a class, for one spread statement."""

    def __init__(self, cls: str, tasks: int, fleet: Fleet) -> None:
        self._cls = fleet.classes[cls]
        self._needed = math.ceil(tasks / self._cls.spread_most)
        self._ready: Counter[str] = Counter()

    def adjust(self, node: Node, sign: int) -> None:
        if self._cls.served_by(node.kind):
            self._ready[node.rack] += sign

    def allows_removal_of(self, node: Node) -> bool:
        if not self._cls.served_by(node.kind):
            return True
        racks = sum(count > 0 for count in self._ready.values())
        return racks - (self._ready[node.rack] == 1) >= self._needed


def greedy(change: Change, fleet: Fleet, actions: tuple[Action, ...]) -> Waves | None:
    """Return waves, or None if the method finds none, which does not prove that there are none."""
    guards = [_FloorGuard(floor, fleet, change.survive_rack) for floor in change.floors]
    guards += [_SpreadGuard(spread.cls, spread.tasks, fleet) for spread in change.spreads]
    for node in fleet.nodes.values():
        if node.ready:
            for guard in guards:
                guard.adjust(node, 1)
    acted = [action.node.id for action in actions]
    busy = [busy_outside_plan(limit, fleet, acted) for limit in change.limits]
    before = _predecessors(change, actions)
    # First the actions that add capacity, then the nodes with the fewest tasks.
    remaining = sorted(
        actions, key=lambda action: (not action.kind.adds_capacity, action.node.tasks, action.node.id)
    )
    done: set[str] = set()
    waves: list[tuple[Action, ...]] = []
    while remaining:
        wave: list[Action] = []
        scope_counts = [Counter(count) for count in busy]
        for action in remaining:
            node = action.node
            if not before[node.id] <= done:
                continue
            scopes = [
                (limit, counts, limit_scope(limit, node))
                for limit, counts in zip(change.limits, scope_counts, strict=True)
                if counts_toward_limit(limit, action)
            ]
            if any(counts[name] >= limit.most for limit, counts, name in scopes):
                continue
            if action.kind.drains and node.ready:
                if not all(guard.allows_removal_of(node) for guard in guards):
                    continue
                for guard in guards:
                    guard.adjust(node, -1)
            for _, counts, name in scopes:
                counts[name] += 1
            wave.append(action)
        if not wave:
            return None
        for action in wave:
            if action.kind.adds_capacity:
                for guard in guards:
                    guard.adjust(action.node, 1)
        planned = {action.node.id for action in wave}
        done |= planned
        remaining = [action for action in remaining if action.node.id not in planned]
        waves.append(tuple(sorted(wave, key=lambda action: action.node.id)))
    result = tuple(waves)
    return None if find_violations(change, fleet, result) else result


def _predecessors(change: Change, actions: tuple[Action, ...]) -> dict[str, set[str]]:
    """Return, by node id, the nodes that have to be done in an earlier wave."""
    before: dict[str, set[str]] = {action.node.id: set() for action in actions}
    for order in change.orders:
        earlier: set[str] = set()
        for names in order.sets:
            own = [name for name in names if name in before]
            for name in own:
                before[name] |= earlier
            earlier |= set(own)
    return before
