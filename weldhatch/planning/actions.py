"""From goals to what has to be done: the actions of a change on the fleet as it is, before they have an
order."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from weldhatch.planning.change import Change, Goal, Line, Want
from weldhatch.planning.fleet import Fleet, Node, State


class Deed(StrEnum):
    """What is done to a node as one of a plan's actions."""

    SWITCH_ON = "switch-on"  # off to ready: cold, then warm
    AWAIT = "await"  # on its way already: nothing is ordered, its being warm is waited for
    WELCOME = "welcome"  # ready, but held at a gateway: the gateways are told that it takes work
    UNDRAIN = "undrain"  # draining to ready, without a start
    DRAIN = "drain"  # ready to draining, until its tasks have ended
    DRAIN_STOP = "drain-stop"  # the same, then off
    STOP = "stop"  # draining already: off once its tasks have ended

    @property
    def adds(self) -> bool:
        return self in (Deed.SWITCH_ON, Deed.AWAIT, Deed.UNDRAIN, Deed.WELCOME)

    @property
    def starts(self) -> bool:
        return self in (Deed.SWITCH_ON, Deed.AWAIT)

    @property
    def drains(self) -> bool:
        return self in (Deed.DRAIN, Deed.DRAIN_STOP)


_DEEDS: dict[tuple[Want, State], Deed] = {
    (Want.ON, State.OFF): Deed.SWITCH_ON,
    (Want.ON, State.WARMING): Deed.AWAIT,
    (Want.ON, State.DRAINING): Deed.UNDRAIN,
    (Want.DRAIN, State.READY): Deed.DRAIN,
    (Want.DRAIN, State.WARMING): Deed.DRAIN,
    (Want.OFF, State.READY): Deed.DRAIN_STOP,
    (Want.OFF, State.WARMING): Deed.DRAIN_STOP,
    (Want.OFF, State.DRAINING): Deed.STOP,
}


@dataclass(slots=True, frozen=True)
class Action:
    """One node's part of a change: what is done, and the goal that asks for it."""

    node: Node
    deed: Deed
    goal: Goal


class Unplannable(ValueError):
    """A change that can't be planned; each line tells why."""

    def __init__(self, lines: list[str], conflict: tuple[Line, ...] = ()) -> None:
        super().__init__("\n".join(lines))
        self.lines, self.conflict = lines, conflict


def deed_for(want: Want, node: Node) -> Deed | None:
    """What brings one node there; None where it is as wanted, or where its state is not known."""
    if want is Want.ON and node.state is State.READY:
        return Deed.WELCOME if node.held else None
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
            elif deed := deed_for(goal.want, node):
                out.append(Action(node, deed, goal))
    if lost:
        raise Unplannable(lost)
    return tuple(sorted(out, key=lambda action: action.node.id))


Waves = tuple[tuple[Action, ...], ...]


def by_node(waves: Waves) -> Mapping[str, int]:
    """The wave of each node, counted from 1."""
    return {action.node.id: number for number, wave in enumerate(waves, 1) for action in wave}
