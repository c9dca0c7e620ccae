"""Waves without a solver: each takes what it can, in a fixed order. Fall-back, and yardstick of the
solvers."""

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


class _Room:
    """Ready room for one floor by rack, kept up as nodes come and go: a check costs the racks, not the
    nodes."""

    def __init__(self, floor: Floor, fleet: Fleet, survive_rack: bool) -> None:
        self._floor, self._fleet = floor, fleet
        self._fall = survive_rack and not floor.rack
        self._cores: defaultdict[str, float] = defaultdict(float)
        self._memory: defaultdict[str, float] = defaultdict(float)

    def change(self, node: Node, sign: int) -> None:
        if counts_for_floor(self._floor, node, self._fleet):
            self._cores[node.rack] += sign * node.cores
            self._memory[node.rack] += sign * node.memory

    def holds(self) -> bool:
        for wanted, room in ((self._floor.cores, self._cores), (self._floor.memory, self._memory)):
            worst = max(room.values(), default=0.0) if self._fall else 0.0
            if sum(room.values()) - worst < wanted - EPSILON:
                return False
        return True

    def holds_without(self, node: Node) -> bool:
        if not counts_for_floor(self._floor, node, self._fleet):
            return True
        self.change(node, -1)
        held = self.holds()
        self.change(node, 1)
        return held


class _Racks:
    """Racks with a ready node of a class, for one spread rule."""

    def __init__(self, cls: str, tasks: int, fleet: Fleet) -> None:
        self._cls = fleet.classes[cls]
        self._needed = math.ceil(tasks / self._cls.spread_most)
        self._ready: Counter[str] = Counter()

    def change(self, node: Node, sign: int) -> None:
        if self._cls.served_by(node.kind):
            self._ready[node.rack] += sign

    def holds_without(self, node: Node) -> bool:
        if not self._cls.served_by(node.kind):
            return True
        racks = sum(count > 0 for count in self._ready.values())
        return racks - (self._ready[node.rack] == 1) >= self._needed


def greedy(change: Change, fleet: Fleet, actions: tuple[Action, ...]) -> Waves | None:
    """The waves, or None where this way finds none; that proves nothing."""
    guards = [_Room(floor, fleet, change.survive_rack) for floor in change.floors]
    guards += [_Racks(spread.cls, spread.tasks, fleet) for spread in change.spreads]
    for node in fleet.nodes.values():
        if node.ready:
            for guard in guards:
                guard.change(node, 1)
    acted = [action.node.id for action in actions]
    busy = [busy_outside_plan(limit, fleet, acted) for limit in change.limits]
    before = _predecessors(change, actions)
    # What adds room first; then what loses least work.
    rest = sorted(
        actions, key=lambda action: (not action.kind.adds_capacity, action.node.tasks, action.node.id)
    )
    done: set[str] = set()
    waves: list[tuple[Action, ...]] = []
    while rest:
        taken: list[Action] = []
        here = [Counter(known) for known in busy]
        for action in rest:
            node = action.node
            if not before[node.id] <= done:
                continue
            places = [
                (limit, room, limit_scope(limit, node))
                for limit, room in zip(change.limits, here, strict=True)
                if counts_toward_limit(limit, action)
            ]
            if any(room[name] >= limit.most for limit, room, name in places):
                continue
            if action.kind.drains and node.ready:
                if not all(guard.holds_without(node) for guard in guards):
                    continue
                for guard in guards:
                    guard.change(node, -1)
            for _, room, name in places:
                room[name] += 1
            taken.append(action)
        if not taken:
            return None
        for action in taken:
            if action.kind.adds_capacity:
                for guard in guards:
                    guard.change(action.node, 1)
        gone = {action.node.id for action in taken}
        done |= gone
        rest = [action for action in rest if action.node.id not in gone]
        waves.append(tuple(sorted(taken, key=lambda action: action.node.id)))
    found = tuple(waves)
    return None if find_violations(change, fleet, found) else found


def _predecessors(change: Change, actions: tuple[Action, ...]) -> dict[str, set[str]]:
    """What has to be done in an earlier wave, by node."""
    before: dict[str, set[str]] = {action.node.id: set() for action in actions}
    for order in change.orders:
        earlier: set[str] = set()
        for names in order.sets:
            own = [name for name in names if name in before]
            for name in own:
                before[name] |= earlier
            earlier |= set(own)
    return before
