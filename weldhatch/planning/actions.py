"""From goals to what has to be done: the actions of a change on the fleet as it is, before they have an
order."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from weldhatch.planning.change import Change, Goal, Line, TargetState
from weldhatch.planning.fleet import Fleet, Node, State


class ActionKind(StrEnum):
    """What is done to a node as one of a plan's actions."""

    SWITCH_ON = "switch-on"  # off to ready: cold, then warm
    AWAIT = "await"  # on its way already: nothing is ordered, its being warm is waited for
    WELCOME = "welcome"  # ready, but held at a gateway: the gateways are told that it takes work
    UNDRAIN = "undrain"  # draining to ready, without a start
    DRAIN = "drain"  # ready to draining, until its tasks have ended
    DRAIN_STOP = "drain-stop"  # the same, then off
    STOP = "stop"  # draining already: off once its tasks have ended

    @property
    def adds_capacity(self) -> bool:
        return self in (ActionKind.SWITCH_ON, ActionKind.AWAIT, ActionKind.UNDRAIN, ActionKind.WELCOME)

    @property
    def starts(self) -> bool:
        return self in (ActionKind.SWITCH_ON, ActionKind.AWAIT)

    @property
    def drains(self) -> bool:
        return self in (ActionKind.DRAIN, ActionKind.DRAIN_STOP)


_DEEDS: dict[tuple[TargetState, State], ActionKind] = {
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
    """One node's part of a change: what is done, and the goal that asks for it."""

    node: Node
    kind: ActionKind
    goal: Goal


class UnplannableError(ValueError):
    """A change that can't be planned; each line tells why."""

    def __init__(self, lines: list[str], conflict: tuple[Line, ...] = ()) -> None:
        super().__init__("\n".join(lines))
        self.lines, self.conflict = lines, conflict


def action_kind_for(want: TargetState, node: Node) -> ActionKind | None:
    """What brings one node there; None where it is as wanted, or where its state is not known."""
    if want is TargetState.ON and node.state is State.READY:
        return ActionKind.WELCOME if node.held else None
    return _DEEDS.get((want, node.state))


def actions(change: Change, fleet: Fleet) -> tuple[Action, ...]:
    """What the change needs on this fleet, by node id; nodes that are as wanted need nothing.

    Raises Unplannable for nodes whose state nobody knows.
    """
    out, lost = [], []
    for goal in change.goals:
        for name in goal.nodes:
            node = fleet.nodes[name]
            if node.state is State.LOST:
                lost.append(
                    f"{goal.line}: {name} does not answer, so nobody knows what would have to be done"
                )
            elif kind := action_kind_for(goal.want, node):
                out.append(Action(node, kind, goal))
    if lost:
        raise UnplannableError(lost)
    return tuple(sorted(out, key=lambda action: action.node.id))


Waves = tuple[tuple[Action, ...], ...]


def wave_by_node(waves: Waves) -> Mapping[str, int]:
    """The wave of each node, counted from 1."""
    return {action.node.id: number for number, wave in enumerate(waves, 1) for action in wave}
