"""The waves of a change as a linear program. Nodes that are alike share one variable a wave.

x[group, wave] is how many of a group's nodes are done in a wave. A floor is a row for each wave that may
drain from it, lifted by a large number in waves that drain nothing there.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence

from weldhatch.planning.actions import Action, Waves
from weldhatch.planning.change import Change, Floor, Limit, Order, Spread, counts_for_floor
from weldhatch.planning.check import busy_outside_plan, counts_toward_limit, limit_scope
from weldhatch.planning.fleet import Fleet, Node
from weldhatch.planning.linear import Program

SCALE = 1000  # cores and GB in thousandths
TENTHS = 10  # seconds in tenths


class Model:
    """The program for at most `most` waves, and the way from its values to waves."""

    def __init__(self, change: Change, fleet: Fleet, actions: tuple[Action, ...], most: int) -> None:
        self._change, self._fleet, self._most = change, fleet, most
        self.program = Program()
        self._groups: dict[tuple, list[Action]] = defaultdict(list)
        member = self._memberships()
        for action in actions:
            node = action.node
            self._groups[
                (
                    node.rack,
                    node.kind,
                    node.cores,
                    node.memory,
                    action.kind,
                    node.ready,
                    member.get(node.id, ()),
                )
            ].append(action)
        self._keys = list(self._groups)
        self._x = [
            [self.program.variable(0, len(self._groups[key])) for _ in range(most)] for key in self._keys
        ]
        self._ready = [node for node in fleet.nodes.values() if node.ready]
        for at, key in enumerate(self._keys):
            size = len(self._groups[key])
            self.program.row(dict.fromkeys(self._x[at], 1), size, size)
        self._acted = [action.node.id for action in actions]
        self._waves_used()
        for floor in change.floors:
            self._floor(floor)
        for spread in change.spreads:
            self._spread(spread)
        for limit in change.limits:
            self._limit(limit)
        for order in change.orders:
            self._order(order)

    def _memberships(self) -> dict[str, tuple]:
        out: dict[str, tuple] = {}
        for n, order in enumerate(self._change.orders):
            for m, names in enumerate(order.sets):
                for name in names:
                    out[name] = (*out.get(name, ()), (n, m))
        return out

    def _sample(self, at: int) -> Action:
        return self._groups[self._keys[at]][0]

    # ---- rows ----------------------------------------------------------------------------------------------

    def _waves_used(self) -> None:
        """Which waves are used, how long they take, and the goal: few waves, then little time."""
        program, pace, groups = self.program, self._fleet.pace, range(len(self._keys))
        count = sum(map(len, self._groups.values()))
        self._used = [program.variable(0, 1) for _ in range(self._most)]
        warm, drain = round(pace.warm_s * TENTHS), round(pace.drain_s * TENTHS)
        longest = max(warm, drain, 1)
        spans = []
        for wave in range(self._most):
            program.row({**{self._x[at][wave]: 1 for at in groups}, self._used[wave]: -count}, high=0)
            if wave:
                program.row({self._used[wave]: 1, self._used[wave - 1]: -1}, high=0)
            span = program.variable(0, longest)
            spans.append(span)
            for long, kind in (
                (warm, lambda action: action.kind.starts),
                (drain, lambda action: not action.kind.adds_capacity),
            ):
                own = [at for at in groups if kind(self._sample(at))]
                if own and long:
                    there = program.variable(0, 1)
                    size = sum(len(self._groups[self._keys[at]]) for at in own)
                    program.row({**{self._x[at][wave]: 1 for at in own}, there: -size}, high=0)
                    program.row({span: 1, there: -long}, low=0)
        order = round(pace.order_s * TENTHS)
        most = longest * self._most + 1
        program.goal = {**dict.fromkeys(self._used, most + order), **dict.fromkeys(spans, 1)}
        for within in self._change.withins:
            if within.waves:
                program.row(dict.fromkeys(self._used, 1), high=within.waves)
            if within.seconds:
                program.row(
                    {**dict.fromkeys(spans, 1), **dict.fromkeys(self._used, order)},
                    high=math.floor(within.seconds * TENTHS),
                )

    def _there(self, room: dict[int, int], wave: int) -> tuple[dict[int, int], int]:
        """What the actions add to a sum of ready room in a wave, `room` being each group's room a node.

        Returns terms and a constant; the wave `most` is the end.
        """
        terms: dict[int, int] = {}
        constant = 0
        for at, size in room.items():
            action = self._sample(at)
            if action.kind.adds_capacity:
                for variable in self._x[at][:wave]:
                    terms[variable] = size
            elif action.node.ready:  # it counts already, until it drains
                constant -= size * len(self._groups[self._keys[at]])
                for variable in self._x[at][wave + 1 :]:
                    terms[variable] = size
        return terms, constant

    def _draining(self, counts_for: Sequence[int], wave: int) -> int | None:
        """A variable that is 1 where a wave drains anything of these groups; None where it can't."""
        own = [at for at in counts_for if self._sample(at).kind.drains]
        if not own:
            return None
        flag = self.program.variable(0, 1)
        size = sum(len(self._groups[self._keys[at]]) for at in own)
        self.program.row({**{self._x[at][wave]: 1 for at in own}, flag: -size}, high=0)
        return flag

    def _floor(self, floor: Floor) -> None:
        fleet = self._fleet
        groups = [
            at for at in range(len(self._keys)) if counts_for_floor(floor, self._sample(at).node, fleet)
        ]
        base = [node for node in self._ready if counts_for_floor(floor, node, fleet)]
        flags = [self._draining(groups, wave) for wave in range(self._most)]
        for what, wanted in (("cores", floor.cores), ("memory", floor.memory)):
            if not wanted:
                continue
            need = math.ceil(wanted * SCALE - 1e-3)

            def size(node: Node, what: str = what) -> int:
                return math.floor(getattr(node, what) * SCALE + 1e-3)

            by_rack: dict[str, int] = defaultdict(int)
            for node in base:
                by_rack[node.rack] += size(node)
            racks: dict[str, dict[int, int]] = defaultdict(dict)
            for at in groups:
                node = self._sample(at).node
                racks[node.rack][at] = size(node)
            whole = {at: room for one in racks.values() for at, room in one.items()}
            top = sum(by_rack.values()) + sum(
                room * len(self._groups[self._keys[at]]) for at, room in whole.items()
            )
            for wave in range(self._most + 1):
                if wave < self._most and flags[wave] is None:
                    continue
                terms, constant = self._there(whole, wave)
                constant += sum(by_rack.values())
                if self._change.survive_rack and not floor.rack:
                    worst = self.program.variable(0, max(top, 0))
                    for rack in {*by_rack, *racks}:
                        own, fixed = self._there(racks.get(rack, {}), wave)
                        self.program.row(
                            {worst: 1, **{at: -room for at, room in own.items()}}, low=fixed + by_rack[rack]
                        )
                    terms[worst] = -1
                if wave < self._most:  # lifted in waves that drain nothing here
                    lift = need + top
                    self.program.row({**terms, flags[wave]: -lift}, low=need - constant - lift)
                else:
                    self.program.row(terms, low=need - constant)

    def _spread(self, spread: Spread) -> None:
        cls = self._fleet.classes[spread.cls]
        needed = math.ceil(spread.tasks / cls.spread_most)
        groups = [at for at in range(len(self._keys)) if cls.served_by(self._sample(at).node.kind)]
        base: dict[str, int] = defaultdict(int)
        for node in self._ready:
            if cls.served_by(node.kind):
                base[node.rack] += 1
        racks: dict[str, dict[int, int]] = defaultdict(dict)
        for at in groups:
            racks[self._sample(at).node.rack][at] = 1
        for wave in range(self._most + 1):
            flag = self._draining(groups, wave) if wave < self._most else None
            if wave < self._most and flag is None:
                continue
            holds = {}
            for rack in sorted({*base, *racks}):
                there = self.program.variable(0, 1)
                terms, constant = self._there(racks.get(rack, {}), wave)
                self.program.row({**terms, there: -1}, low=-constant - base[rack])
                holds[there] = 1
            if flag is None:
                self.program.row(holds, low=needed)
            else:
                self.program.row({**holds, flag: -needed}, low=0)

    def _limit(self, limit: Limit) -> None:
        busy = busy_outside_plan(limit, self._fleet, self._acted)
        places: dict[str, list[int]] = defaultdict(list)
        for at in range(len(self._keys)):
            if counts_toward_limit(limit, self._sample(at)):
                places[limit_scope(limit, self._sample(at).node)].append(at)
        for name, groups in places.items():
            for wave in range(self._most):
                self.program.row(
                    {self._x[at][wave]: 1 for at in groups}, high=max(0, limit.most - busy[name])
                )

    def _order(self, order: Order) -> None:
        earlier: list[int] = []
        for names in order.sets:
            chosen = set(names)
            own = [at for at in range(len(self._keys)) if self._sample(at).node.id in chosen]
            for wave in range(self._most) if own and earlier else ():
                done = self.program.variable(0, 1)
                size = sum(len(self._groups[self._keys[at]]) for at in earlier)
                self.program.row(
                    {**{variable: 1 for at in earlier for variable in self._x[at][:wave]}, done: -size}, low=0
                )
                self.program.row(
                    {
                        **{self._x[at][wave]: 1 for at in own},
                        done: -sum(len(self._groups[self._keys[at]]) for at in own),
                    },
                    high=0,
                )
            earlier = sorted({*earlier, *own})

    # ---- values --------------------------------------------------------------------------------------------

    def waves(self, values: Sequence[int]) -> Waves:
        """The waves that the values mean; within a group, nodes with fewer tasks go first."""
        out: list[list[Action]] = [[] for _ in range(self._most)]
        for at, key in enumerate(self._keys):
            rest = sorted(self._groups[key], key=lambda action: (action.node.tasks, action.node.id))
            for wave in range(self._most):
                count = values[self._x[at][wave]]
                out[wave] += rest[:count]
                rest = rest[count:]
        return tuple(tuple(sorted(wave, key=lambda action: action.node.id)) for wave in out if wave)
