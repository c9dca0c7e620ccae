"""The waves of a change as an integer linear program.

Nodes with the same properties form a group. The variable counts[group][wave] is how many nodes of a group
are treated in a wave. A floor is a constraint for each wave that may drain nodes counted for it; in
waves that drain none of them, a large constant makes the constraint ineffective (big-M).
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

CAPACITY_SCALE = 1000  # cores and GB are integers in units of 1/1000
TIME_SCALE = 10  # seconds are integers in units of 1/10 s


class Model:
    """The program for at most `max_waves` waves, and the conversion of its solution to waves."""

    def __init__(self, change: Change, fleet: Fleet, actions: tuple[Action, ...], max_waves: int) -> None:
        """Group the actions and add the variables and constraints."""
        self._change, self._fleet, self._max_waves = change, fleet, max_waves
        self.program = Program()
        self._groups: dict[tuple, list[Action]] = defaultdict(list)
        memberships = self._memberships()
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
                    memberships.get(node.id, ()),
                )
            ].append(action)
        self._keys = list(self._groups)
        self._counts = [
            [self.program.add_variable(0, len(self._groups[key])) for _ in range(max_waves)]
            for key in self._keys
        ]
        self._ready = [node for node in fleet.nodes.values() if node.ready]
        for group, key in enumerate(self._keys):
            size = len(self._groups[key])
            self.program.add_row(dict.fromkeys(self._counts[group], 1), size, size)
        self._acted = [action.node.id for action in actions]
        self._add_objective()
        for floor in change.floors:
            self._add_floor(floor)
        for spread in change.spreads:
            self._add_spread(spread)
        for limit in change.limits:
            self._add_limit(limit)
        for order in change.orders:
            self._add_order(order)

    def _memberships(self) -> dict[str, tuple]:
        memberships: dict[str, tuple] = {}
        for order_index, order in enumerate(self._change.orders):
            for set_index, names in enumerate(order.sets):
                for name in names:
                    memberships[name] = (*memberships.get(name, ()), (order_index, set_index))
        return memberships

    def _example(self, group: int) -> Action:
        return self._groups[self._keys[group]][0]

    # ---- constraints ---------------------------------------------------------------------------------------

    def _add_objective(self) -> None:
        """Add the used waves, their durations and bounds, and the goal: few waves, then little time."""
        program, pace, groups = self.program, self._fleet.pace, range(len(self._keys))
        count = sum(map(len, self._groups.values()))
        self._used = [program.add_variable(0, 1) for _ in range(self._max_waves)]
        warm, drain = round(pace.warm_s * TIME_SCALE), round(pace.drain_s * TIME_SCALE)
        longest = max(warm, drain, 1)
        durations = []
        for wave in range(self._max_waves):
            program.add_row(
                {**{self._counts[group][wave]: 1 for group in groups}, self._used[wave]: -count}, high=0
            )
            if wave:
                program.add_row({self._used[wave]: 1, self._used[wave - 1]: -1}, high=0)
            duration = program.add_variable(0, longest)
            durations.append(duration)
            for seconds, selects in (
                (warm, lambda action: action.kind.starts),
                (drain, lambda action: not action.kind.adds_capacity),
            ):
                own = [group for group in groups if selects(self._example(group))]
                if own and seconds:
                    present = program.add_variable(0, 1)
                    size = sum(len(self._groups[self._keys[group]]) for group in own)
                    program.add_row(
                        {**{self._counts[group][wave]: 1 for group in own}, present: -size}, high=0
                    )
                    program.add_row({duration: 1, present: -seconds}, low=0)
        order = round(pace.order_s * TIME_SCALE)
        wave_weight = longest * self._max_waves + 1
        program.goal = {**dict.fromkeys(self._used, wave_weight + order), **dict.fromkeys(durations, 1)}
        for within in self._change.withins:
            if within.waves:
                program.add_row(dict.fromkeys(self._used, 1), high=within.waves)
            if within.seconds:
                program.add_row(
                    {**dict.fromkeys(durations, 1), **dict.fromkeys(self._used, order)},
                    high=math.floor(within.seconds * TIME_SCALE),
                )

    def _ready_terms(self, node_capacity: dict[int, int], wave: int) -> tuple[dict[int, int], int]:
        """Return what the actions change in the sum of ready capacity in a wave, as terms and a constant.

        `node_capacity` is the capacity of one node of each group; the wave after the last is the plan's end.
        """
        terms: dict[int, int] = {}
        constant = 0
        for group, size in node_capacity.items():
            action = self._example(group)
            if action.kind.adds_capacity:
                for variable in self._counts[group][:wave]:
                    terms[variable] = size
            elif action.node.ready:  # the nodes count in the sum already, until they drain
                constant -= size * len(self._groups[self._keys[group]])
                for variable in self._counts[group][wave + 1 :]:
                    terms[variable] = size
        return terms, constant

    def _drain_flag(self, groups: Sequence[int], wave: int) -> int | None:
        """Return a variable that is 1 if a wave drains a node of these groups; None if it can't."""
        own = [group for group in groups if self._example(group).kind.drains]
        if not own:
            return None
        drain_flag = self.program.add_variable(0, 1)
        size = sum(len(self._groups[self._keys[group]]) for group in own)
        self.program.add_row({**{self._counts[group][wave]: 1 for group in own}, drain_flag: -size}, high=0)
        return drain_flag

    def _add_floor(self, floor: Floor) -> None:
        fleet = self._fleet
        groups = [
            group
            for group in range(len(self._keys))
            if counts_for_floor(floor, self._example(group).node, fleet)
        ]
        initial_ready = [node for node in self._ready if counts_for_floor(floor, node, fleet)]
        drain_flags = [self._drain_flag(groups, wave) for wave in range(self._max_waves)]
        for what, required in (("cores", floor.cores), ("memory", floor.memory)):
            if not required:
                continue
            required_amount = math.ceil(required * CAPACITY_SCALE - 1e-3)

            def size(node: Node, what: str = what) -> int:
                return math.floor(getattr(node, what) * CAPACITY_SCALE + 1e-3)

            by_rack: dict[str, int] = defaultdict(int)
            for node in initial_ready:
                by_rack[node.rack] += size(node)
            racks: dict[str, dict[int, int]] = defaultdict(dict)
            for group in groups:
                node = self._example(group).node
                racks[node.rack][group] = size(node)
            all_groups = {group: amount for by_group in racks.values() for group, amount in by_group.items()}
            max_total = sum(by_rack.values()) + sum(
                amount * len(self._groups[self._keys[group]]) for group, amount in all_groups.items()
            )
            for wave in range(self._max_waves + 1):
                if wave < self._max_waves and drain_flags[wave] is None:
                    continue
                terms, constant = self._ready_terms(all_groups, wave)
                constant += sum(by_rack.values())
                if self._change.survive_rack and not floor.rack:
                    worst_rack = self.program.add_variable(0, max(max_total, 0))
                    for rack in {*by_rack, *racks}:
                        own, fixed = self._ready_terms(racks.get(rack, {}), wave)
                        self.program.add_row(
                            {worst_rack: 1, **{group: -amount for group, amount in own.items()}},
                            low=fixed + by_rack[rack],
                        )
                    terms[worst_rack] = -1
                if wave < self._max_waves:  # ineffective in waves that drain no node of the floor
                    big_m = required_amount + max_total
                    self.program.add_row(
                        {**terms, drain_flags[wave]: -big_m}, low=required_amount - constant - big_m
                    )
                else:
                    self.program.add_row(terms, low=required_amount - constant)

    def _add_spread(self, spread: Spread) -> None:
        cls = self._fleet.classes[spread.cls]
        needed = math.ceil(spread.tasks / cls.spread_most)
        groups = [group for group in range(len(self._keys)) if cls.served_by(self._example(group).node.kind)]
        initial_ready: dict[str, int] = defaultdict(int)
        for node in self._ready:
            if cls.served_by(node.kind):
                initial_ready[node.rack] += 1
        racks: dict[str, dict[int, int]] = defaultdict(dict)
        for group in groups:
            racks[self._example(group).node.rack][group] = 1
        for wave in range(self._max_waves + 1):
            drain_flag = self._drain_flag(groups, wave) if wave < self._max_waves else None
            if wave < self._max_waves and drain_flag is None:
                continue
            rack_flags = {}
            for rack in sorted({*initial_ready, *racks}):
                present = self.program.add_variable(0, 1)
                terms, constant = self._ready_terms(racks.get(rack, {}), wave)
                self.program.add_row({**terms, present: -1}, low=-constant - initial_ready[rack])
                rack_flags[present] = 1
            if drain_flag is None:
                self.program.add_row(rack_flags, low=needed)
            else:
                self.program.add_row({**rack_flags, drain_flag: -needed}, low=0)

    def _add_limit(self, limit: Limit) -> None:
        busy = busy_outside_plan(limit, self._fleet, self._acted)
        scopes: dict[str, list[int]] = defaultdict(list)
        for group in range(len(self._keys)):
            if counts_toward_limit(limit, self._example(group)):
                scopes[limit_scope(limit, self._example(group).node)].append(group)
        for name, groups in scopes.items():
            for wave in range(self._max_waves):
                self.program.add_row(
                    {self._counts[group][wave]: 1 for group in groups}, high=max(0, limit.most - busy[name])
                )

    def _add_order(self, order: Order) -> None:
        earlier: list[int] = []
        for names in order.sets:
            chosen = set(names)
            own = [group for group in range(len(self._keys)) if self._example(group).node.id in chosen]
            for wave in range(self._max_waves) if own and earlier else ():
                earlier_done = self.program.add_variable(0, 1)
                size = sum(len(self._groups[self._keys[group]]) for group in earlier)
                self.program.add_row(
                    {
                        **{variable: 1 for group in earlier for variable in self._counts[group][:wave]},
                        earlier_done: -size,
                    },
                    low=0,
                )
                self.program.add_row(
                    {
                        **{self._counts[group][wave]: 1 for group in own},
                        earlier_done: -sum(len(self._groups[self._keys[group]]) for group in own),
                    },
                    high=0,
                )
            earlier = sorted({*earlier, *own})

    # ---- solution ------------------------------------------------------------------------------------------

    def waves(self, values: Sequence[int]) -> Waves:
        """Return the waves of a solution; within a group, nodes with fewer tasks are treated first."""
        waves: list[list[Action]] = [[] for _ in range(self._max_waves)]
        for group, key in enumerate(self._keys):
            remaining = sorted(self._groups[key], key=lambda action: (action.node.tasks, action.node.id))
            for wave in range(self._max_waves):
                count = values[self._counts[group][wave]]
                waves[wave] += remaining[:count]
                remaining = remaining[count:]
        return tuple(tuple(sorted(wave, key=lambda action: action.node.id)) for wave in waves if wave)
