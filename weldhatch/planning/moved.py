"""Finds changes of the fleet since a plan was made; each shows the plan, the state then and the state now."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from weldhatch.planning.actions import Action, ActionKind, Waves, action_kind_for
from weldhatch.planning.change import Change, Goal
from weldhatch.planning.check import find_violations
from weldhatch.planning.fleet import Fleet, Node, State
from weldhatch.planning.plan import Kind, Plan, Step


class Moved(msgspec.Struct, frozen=True):
    """One thing the plan rests on that is not as it was."""

    what: str
    planned: str
    then: str
    now: str

    def __str__(self) -> str:
        """Return all fields as one line."""
        return f"{self.what}: planned: {self.planned}; then: {self.then}; now: {self.now}"


def describe_node(node: Node | None) -> str:
    """Return a node's state as text for operators."""
    if node is None:
        return "not in the fleet"
    if node.state is State.LOST:
        return "no answer"
    tasks = f", {node.tasks} tasks" if node.tasks else ""
    return f"{node.state}, generation {node.generation}{tasks}{', held at a gateway' if node.held else ''}"


def find_moved_nodes(plan: Plan, fleet: Fleet, untouched: Iterable[str]) -> list[Moved]:
    """Return the nodes that the plan acts on and whose state has changed; the number of tasks may differ.

    `untouched`: the nodes of the plan for which no step has begun.
    """
    moved_nodes, relevant = [], set(untouched)
    planned = _planned_steps_by_node(plan)
    for then in plan.world:
        if then.id not in relevant:
            continue
        now = fleet.nodes.get(then.id)
        same = now is not None and all(
            getattr(then, name) == getattr(now, name)
            for name in ("state", "generation", "hall", "rack", "kind", "cores", "memory", "held")
        )
        if not same:
            placement = _describe_placement(then, now)
            moved_nodes.append(
                Moved(
                    then.id,
                    planned[then.id],
                    describe_node(then) + placement[0],
                    describe_node(now) + placement[1],
                )
            )
    return moved_nodes


def _describe_placement(then: Node, now: Node | None) -> tuple[str, str]:
    """Return the fields of placement and size that have changed, with the planned and the present values."""
    if now is None:
        return "", ""
    names = [
        name
        for name in ("hall", "rack", "kind", "cores", "memory")
        if getattr(then, name) != getattr(now, name)
    ]
    return tuple("".join(f", {name} {getattr(node, name)}" for name in names) for node in (then, now))


def _planned_steps_by_node(plan: Plan) -> dict[str, str]:
    """Return, by node id, the steps that the plan has for the node, and their wave."""
    steps_by_node: dict[str, list[Step]] = {}
    for step in plan.steps:
        steps_by_node.setdefault(step.node, []).append(step)
    return {
        name: " and ".join(step.kind for step in steps if step.kind.orders_node or len(steps) == 1)
        + f" in wave {steps[0].wave}"
        for name, steps in steps_by_node.items()
    }


def find_moved_floors(plan: Plan, fleet: Fleet, untouched: Iterable[str]) -> list[Moved]:
    """Return the statements that the rest of the plan would violate on the fleet as it is now."""
    change, waves = remaining_change(plan, fleet, set(untouched))
    then = {rest.line.place: rest for rest in plan.rests if not rest.wave}
    moved_floors: dict[tuple[str, str], Moved] = {}
    for violation in find_violations(change, fleet, waves):
        before = then.get(violation.line.place)
        moved_floors.setdefault(
            (violation.line.place, violation.quantity),
            Moved(
                str(violation.line),
                f"{violation.quantity} of at least {violation.required:g}",
                f"{before.cores:g} cores, {before.memory:g} GB before the first wave" if before else "held",
                f"{violation.actual:g} {f'in wave {violation.wave}' if violation.wave else 'at the end'}",
            ),
        )
    return list(moved_floors.values())


def remaining_change(plan: Plan, fleet: Fleet, untouched: set[str]) -> tuple[Change, Waves]:
    """Return the remaining waves on the fleet as it is, and the constraints that hold at any moment.

    A node for which a step has begun counts in its present state and has no action left. Waves keep their
    numbers: a wave without remaining actions is empty.
    """
    goals = {name: goal for goal in plan.change.goals for name in goal.nodes}
    waves = []
    for wave in plan.waves:
        remaining = [
            _action(fleet.nodes[name], goals[name])
            for name in wave.nodes
            if name in untouched and name in fleet.nodes
        ]
        waves.append(tuple(action for action in remaining if action is not None))
    change = msgspec.structs.replace(plan.change, orders=(), withins=())
    return change, tuple(waves)


def _action(node: Node, goal: Goal) -> Action | None:
    kind: ActionKind | None = action_kind_for(goal.want, node)
    return Action(node, kind, goal) if kind else None


def untouched_nodes(plan: Plan, begun: Iterable[str]) -> set[str]:
    """Return the plan's nodes for which no step has begun; await steps are ignored, as they send no order."""
    awaits = {step.id for step in plan.steps if step.kind is Kind.AWAIT}
    touched = {step.node for step in plan.steps if step.id in set(begun) - awaits}
    return {node.id for node in plan.world} - touched
