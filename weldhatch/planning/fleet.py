"""A snapshot of the fleet: nodes, their states, and the classes of work that they serve."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

import msgspec


class State(StrEnum):
    """What a node says of itself; LOST is what we say of one that does not answer."""

    OFF = "off"
    WARMING = "warming"  # switched on, but not yet warm enough by the rules to take the work of drained nodes
    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"


class Node(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One node. Cores in cores, memory in GB; `generation` rises with each start of the node."""

    id: str
    hall: str
    rack: str
    kind: str
    cores: float
    memory: float
    state: State = State.LOST
    generation: int = 0
    tasks: int = 0
    fence: int = 0  # the highest fencing number that the node has accepted
    held: bool = False  # at least one gateway sends the node no work, by an operator's order

    @property
    def ready(self) -> bool:
        """Whether the node's capacity counts: the node takes work, and all gateways send it some."""
        return self.state is State.READY and not self.held

    @property
    def drained(self) -> bool:
        """Whether the node has no tasks left: off, or draining with none."""
        return self.state is State.OFF or (self.state is State.DRAINING and not self.tasks)


class ServiceClass(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A class of work: the kinds of node that serve it (none given means all kinds), and its spread rule."""

    name: str
    kinds: tuple[str, ...] = ()
    spread_most: int = 0  # the most tasks of one service in one rack; 0 means no spread rule

    def served_by(self, kind: str) -> bool:
        """Return whether nodes of a kind serve the class."""
        return not self.kinds or kind in self.kinds


class Pace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Expected durations in seconds: a plan's times depend on them, but not the order of its steps."""

    warm_s: float = 18.0  # from switch-on until a node is warm, as the rules define it
    drain_s: float = 60.0  # until the tasks of a draining node have ended
    order_s: float = 1.0  # sending the orders of one wave


class Fleet:
    """Nodes by id, and the classes. A snapshot, which is never modified."""

    def __init__(
        self, nodes: Iterable[Node], classes: Iterable[ServiceClass] = (), pace: Pace = Pace()
    ) -> None:
        """Index the nodes and classes, and derive the racks, halls and kinds of the nodes."""
        self.nodes: dict[str, Node] = {node.id: node for node in sorted(nodes, key=lambda node: node.id)}
        self.classes: dict[str, ServiceClass] = {cls.name: cls for cls in classes}
        self.pace = pace
        self.racks: dict[str, str] = {node.rack: node.hall for node in self.nodes.values()}
        self.halls: tuple[str, ...] = tuple(sorted({node.hall for node in self.nodes.values()}))
        self.kinds: tuple[str, ...] = tuple(sorted({node.kind for node in self.nodes.values()}))

    def with_nodes(self, changed: Mapping[str, Node]) -> Fleet:
        """Return the fleet with some nodes replaced by their present state."""
        return Fleet({**self.nodes, **changed}.values(), self.classes.values(), self.pace)
