"""Derives the actions that a change needs on the fleet as observed, before they are divided into waves."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from weldhatch.planning.change import Change, Goal, Line, TargetState
from weldhatch.planning.fleet import Fleet, Node, State


class ActionKind(StrEnum):
    """What an action of a plan does to its node."""

    SWITCH_ON = "switch-on"  # from off to ready, through warming
    AWAIT = "await"  # the node is warming already: no order is sent, the apply waits until it is ready
    WELCOME = "welcome"  # the node is ready but held at a gateway: the gateways are notified to end that
    UNDRAIN = "undrain"  # from draining to ready, without a restart
    DRAIN = "drain"  # from ready to draining, until its tasks have ended
    DRAIN_STOP = "drain-stop"  # drains the node, then switches it off
    STOP = "stop"  # the node is draining already: it is switched off once its tasks have ended

    @property
    def adds_capacity(self) -> bool:
        """Whether the node is ready at the end of the action."""
        return self in (ActionKind.SWITCH_ON, ActionKind.AWAIT, ActionKind.UNDRAIN, ActionKind.WELCOME)

    @property
    def starts(self) -> bool:
        """Whether the node warms up during the action."""
        return self in (ActionKind.SWITCH_ON, ActionKind.AWAIT)

    @property
    def drains(self) -> bool:
        """Whether the action puts the node into draining."""
        return self in (ActionKind.DRAIN, ActionKind.DRAIN_STOP)


_ACTION_KINDS: dict[tuple[TargetState, State], ActionKind] = {
    (TargetState.ON, State.OFF): ActionKind.SWITCH_ON,
    (TargetState.ON, State.WARMING): ActionKind.AWAIT,
    (TargetState.ON, State.DRAINING): ActionKind.UNDRAIN,
    (TargetState.DRAIN, State.READY): ActionKind.DRAIN,
    (TargetState.DRAIN, State.WARMING): ActionKind.DRAIN,
    (TargetState.OFF, State.READY): ActionKind.DRAIN_STOP,
    (TargetState.OFF, State.WARMING): ActionKind.DRAIN_STOP,
    (TargetState.OFF, State.DRAINING): ActionKind.STOP,
}


@dataclass(slots=True, frozen=True)
class Action:
    """One node's part of a change: the node as observed, what is done to it, and the goal it serves."""

    node: Node
    kind: ActionKind
    goal: Goal


class Unplannable(ValueError):  # noqa: N818 (commands print the name with --json)
    """A change that can't be planned: `lines` has the reasons, `conflict` the statements in conflict."""

    def __init__(self, lines: list[str], conflict: tuple[Line, ...] = ()) -> None:
        """Join the lines to the error's message."""
        super().__init__("\n".join(lines))
        self.lines, self.conflict = lines, conflict


def action_kind_for(target: TargetState, node: Node) -> ActionKind | None:
    """Return the action that brings a node to a target state; None if none is needed or the node is lost."""
    if target is TargetState.ON and node.state is State.READY:
        return ActionKind.WELCOME if node.held else None
    return _ACTION_KINDS.get((target, node.state))


def actions(change: Change, fleet: Fleet) -> tuple[Action, ...]:
    """Return the actions that the change needs on this fleet, ordered by node id.

    A node that is in its target state needs none. Raises Unplannable for nodes that do not answer, since
    their state is unknown.
    """
    found, unanswered = [], []
    for goal in change.goals:
        for name in goal.nodes:
            node = fleet.nodes[name]
            if node.state is State.LOST:
                unanswered.append(
                    f"{goal.line}: {name} does not answer, so nobody knows what would have to be done"
                )
            elif kind := action_kind_for(goal.want, node):
                found.append(Action(node, kind, goal))
    if unanswered:
        raise Unplannable(unanswered)
    return tuple(sorted(found, key=lambda action: action.node.id))


Waves = tuple[tuple[Action, ...], ...]


def wave_by_node(waves: Waves) -> Mapping[str, int]:
    """Return the number of each node's wave, counted from 1, by node id."""
    return {action.node.id: number for number, wave in enumerate(waves, 1) for action in wave}
