"""The way back from wherever an apply stands, and what has drifted from what the last one left."""

from __future__ import annotations

import msgspec

from weldhatch.planning.actions import deed_for
from weldhatch.planning.change import Change, Goal, Line, Want
from weldhatch.planning.fleet import Fleet, State
from weldhatch.planning.moved import shown
from weldhatch.planning.records import Progress, Stand

_BACK = {State.READY: Want.ON, State.WARMING: Want.ON, State.OFF: Want.OFF, State.DRAINING: Want.DRAIN}


def undo_change(progress: Progress, fleet: Fleet) -> Change:
    """A change that brings every node an apply has touched back to what it was.

    Floors, limits and spreads go on to hold; orders and bounds on time were for the way there. Nodes that are
    as they were, or have left the fleet, need nothing.
    """
    plan = progress.plan
    touched = {state.step.node for state in progress.steps.values() if state.stand is not Stand.TODO}
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


def drift(progress: Progress, fleet: Fleet) -> list[Drift]:
    """What differs from the end of an apply; a drained node that is off meanwhile is as it was left."""
    out = []
    for name, want in progress.plan.change.wants().items():
        node = fleet.nodes.get(name)
        if node is None or node.state is State.LOST or deed_for(want, node) is not None:
            out.append(Drift(name, str(want), shown(node)))
    return out
