"""What has moved in the world since a plan was made, told three ways: as planned, then, now."""

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
        return f"{self.what}: planned: {self.planned}; then: {self.then}; now: {self.now}"


def describe_node(node: Node | None) -> str:
    """A node's state as a person reads it."""
    if node is None:
        return "not in the fleet"
    if node.state is State.LOST:
        return "no answer"
    tasks = f", {node.tasks} tasks" if node.tasks else ""
    return f"{node.state}, generation {node.generation}{tasks}{', held at a gateway' if node.held else ''}"


def find_moved_nodes(plan: Plan, fleet: Fleet, untouched: Iterable[str]) -> list[Moved]:
    """Nodes that the plan acts on and that are not as it found them. Tasks may come and go.

    `untouched`: those of its nodes to which nothing has been done yet.
    """
    out, wanted = [], set(untouched)
    planned = _planned(plan)
    for then in plan.world:
        if then.id not in wanted:
            continue
        now = fleet.nodes.get(then.id)
        same = now is not None and all(
            getattr(then, name) == getattr(now, name)
            for name in ("state", "generation", "hall", "rack", "kind", "cores", "memory", "held")
        )
        if not same:
            moved = _placed(then, now)
            out.append(
                Moved(
                    then.id, planned[then.id], describe_node(then) + moved[0], describe_node(now) + moved[1]
                )
            )
    return out


def _placed(then: Node, now: Node | None) -> tuple[str, str]:
    """Where it stands and how large it is, if that has moved."""
    if now is None:
        return "", ""
    names = [
        name
        for name in ("hall", "rack", "kind", "cores", "memory")
        if getattr(then, name) != getattr(now, name)
    ]
    return tuple("".join(f", {name} {getattr(node, name)}" for name in names) for node in (then, now))


def _planned(plan: Plan) -> dict[str, str]:
    """What is ordered of each node, and when."""
    kinds: dict[str, list[Step]] = {}
    for step in plan.steps:
        kinds.setdefault(step.node, []).append(step)
    return {
        name: " and ".join(step.kind for step in steps if step.kind.orders_node or len(steps) == 1)
        + f" in wave {steps[0].wave}"
        for name, steps in kinds.items()
    }


def find_moved_floors(plan: Plan, fleet: Fleet, untouched: Iterable[str]) -> list[Moved]:
    """What the rest of the plan would break on the fleet as it is now, though it did not then."""
    change, waves = remaining_change(plan, fleet, set(untouched))
    then = {rest.line.place: rest for rest in plan.rests if not rest.wave}
    out: dict[tuple[str, str], Moved] = {}
    for broken in find_violations(change, fleet, waves):
        before = then.get(broken.line.place)
        out.setdefault(
            (broken.line.place, broken.what),
            Moved(
                str(broken.line),
                f"{broken.what} of at least {broken.wanted:g}",
                f"{before.cores:g} cores, {before.memory:g} GB before the first wave" if before else "held",
                f"{broken.there:g} {f'in wave {broken.wave}' if broken.wave else 'at the end'}",
            ),
        )
    return list(out.values())


def remaining_change(plan: Plan, fleet: Fleet, untouched: set[str]) -> tuple[Change, Waves]:
    """The waves that are left, on the fleet as it is, under what has to hold at any moment.

    A node that is under way counts as what it is now, and adds or takes nothing more. The waves keep their
    numbers: one in which nothing is left is empty.
    """
    wants = {name: goal for goal in plan.change.goals for name in goal.nodes}
    waves = []
    for wave in plan.waves:
        own = [
            _action(fleet.nodes[name], wants[name])
            for name in wave.nodes
            if name in untouched and name in fleet.nodes
        ]
        waves.append(tuple(action for action in own if action is not None))
    change = msgspec.structs.replace(plan.change, orders=(), withins=())
    return change, tuple(waves)


def _action(node: Node, goal: Goal) -> Action | None:
    kind: ActionKind | None = action_kind_for(goal.want, node)
    return Action(node, kind, goal) if kind else None


def untouched_nodes(plan: Plan, begun: Iterable[str]) -> set[str]:
    """The plan's nodes with no step among those begun; an await begins nothing."""
    awaits = {step.id for step in plan.steps if step.kind is Kind.AWAIT}
    touched = {step.node for step in plan.steps if step.id in set(begun) - awaits}
    return {node.id for node in plan.world} - touched
