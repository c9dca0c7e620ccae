"""The change that undoes an apply, finished or not, and the drift of the fleet since an apply."""

from __future__ import annotations

import msgspec

from weldhatch.planning.actions import action_kind_for
from weldhatch.planning.change import Change, Goal, Line, TargetState
from weldhatch.planning.fleet import Fleet, State
from weldhatch.planning.moved import describe_node
from weldhatch.planning.records import Progress, StepStatus

_TARGET_BY_FORMER_STATE = {
    State.READY: TargetState.ON,
    State.WARMING: TargetState.ON,
    State.OFF: TargetState.OFF,
    State.DRAINING: TargetState.DRAIN,
}


def undo_change(progress: Progress, fleet: Fleet) -> Change:
    """Return a change that brings every node with a begun step back to its state before the apply.

    Floors, limits and spreads are kept; orders and time bounds concerned the original change and are dropped.
    Nodes that are in their former state, or are no longer in the fleet, need no action.
    """
    plan = progress.plan
    touched = {state.step.node for state in progress.steps.values() if state.status is not StepStatus.TODO}
    goals = []
    for then in plan.world:
        if then.id in touched and then.id in fleet.nodes:
            target = _TARGET_BY_FORMER_STATE[then.state]
            line = Line(f"undo of {plan.id}", f"({target} {then.id})")
            goals.append(Goal(line, target, (then.id,)))
    return msgspec.structs.replace(
        plan.change, name=f"undo of {plan.change.name}", goals=tuple(goals), orders=(), withins=()
    )


class Drift(msgspec.Struct, frozen=True):
    """A node that is not as the last apply left it."""

    node: str
    wanted: str
    now: str


def find_drift(progress: Progress, fleet: Fleet) -> list[Drift]:
    """Return the nodes that differ from the state in which an apply left them.

    Nodes that do not answer or have left the fleet are included; a node that was to drain and is off is not.
    """
    drifted = []
    for name, target in progress.plan.change.target_states().items():
        node = fleet.nodes.get(name)
        if node is None or node.state is State.LOST or action_kind_for(target, node) is not None:
            drifted.append(Drift(name, str(target), describe_node(node)))
    return drifted
