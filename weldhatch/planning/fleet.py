"""The fleet as it was observed: nodes, their states, and the classes of work that they serve."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

import msgspec


class State(StrEnum):
    """What a node says of itself; LOST is what we say of one that does not answer."""

    OFF = "off"
    WARMING = "warming"  # switched on, and colder than the rules want it before it takes what others drop
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
    fence: int = 0  # the highest fencing number that it has heeded
    held: bool = False  # a gateway gives it nothing, by an operator's word

    @property
    def ready(self) -> bool:
        """Its room counts: it takes work, and the gateways give it some."""
        return self.state is State.READY and not self.held

    @property
    def drained(self) -> bool:
        return self.state is State.OFF or (self.state is State.DRAINING and not self.tasks)


class ServiceClass(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A class of work: the kinds of node that serve it (empty: all), and its spread rule."""

    name: str
    kinds: tuple[str, ...] = ()
    spread_most: int = 0  # most tasks of one service in one rack; 0 where there is no such rule

    def served_by(self, kind: str) -> bool:
        return not self.kinds or kind in self.kinds


class Pace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What things are expected to take, in seconds: the plan's times rest on it, its order does not."""

    warm_s: float = 18.0  # from switch-on until a node is warm (the rules' figure)
    drain_s: float = 60.0  # until the tasks of a draining node have ended
    order_s: float = 1.0  # a wave of orders


class Fleet:
    """Nodes by id, and the classes. A snapshot: it is not changed."""

    def __init__(
        self, nodes: Iterable[Node], classes: Iterable[ServiceClass] = (), pace: Pace = Pace()
    ) -> None:
        self.nodes: dict[str, Node] = {node.id: node for node in sorted(nodes, key=lambda node: node.id)}
        self.classes: dict[str, ServiceClass] = {cls.name: cls for cls in classes}
        self.pace = pace
        self.racks: dict[str, str] = {node.rack: node.hall for node in self.nodes.values()}
        self.halls: tuple[str, ...] = tuple(sorted({node.hall for node in self.nodes.values()}))
        self.kinds: tuple[str, ...] = tuple(sorted({node.kind for node in self.nodes.values()}))

    def with_nodes(self, changed: Mapping[str, Node]) -> Fleet:
        """The same fleet with some nodes as they are now."""
        return Fleet({**self.nodes, **changed}.values(), self.classes.values(), self.pace)
