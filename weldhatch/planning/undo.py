"""The way back from wherever an apply stands, and what has drifted from what the last one left."""

from __future__ import annotations

import msgspec

from weldhatch.planning.actions import action_kind_for
from weldhatch.planning.change import Change, Goal, Line, TargetState
from weldhatch.planning.fleet import Fleet, State
from weldhatch.planning.moved import describe_node
from weldhatch.planning.records import Progress, StepStatus

_BACK = {
    State.READY: TargetState.ON,
    State.WARMING: TargetState.ON,
    State.OFF: TargetState.OFF,
    State.DRAINING: TargetState.DRAIN,
}


def undo_change(progress: Progress, fleet: Fleet) -> Change:
    """A change that brings every node an apply has touched back to what it was.

    Floors, limits and spreads go on to hold; orders and bounds on time were for the way there. Nodes that are
    as they were, or have left the fleet, need nothing.
    """
    plan = progress.plan
    touched = {state.step.node for state in progress.steps.values() if state.status is not StepStatus.TODO}
    goals = []
    for then in plan.world:
        if then.id in touched and then.id in fleet.nodes:
            want = _BACK[then.state]
            line = Line(f"undo of {plan.id}", f"({want} {then.id})")
            goals.append(Goal(line, want, (then.id,)))
    return msgspec.structs.replace(
        plan.change, name=f"undo of {plan.change.name}", goals=tuple(goals), orders=(), withins=()
    )


class Drift(msgspec.Struct, frozen=True):
    """A node that is not as the last apply left it."""

    node: str
    wanted: str
    now: str


def find_drift(progress: Progress, fleet: Fleet) -> list[Drift]:
    """What differs from the end of an apply; a drained node that is off meanwhile is as it was left."""
    out = []
    for name, want in progress.plan.change.target_states().items():
        node = fleet.nodes.get(name)
        if node is None or node.state is State.LOST or action_kind_for(want, node) is not None:
            out.append(Drift(name, str(want), describe_node(node)))
    return out
