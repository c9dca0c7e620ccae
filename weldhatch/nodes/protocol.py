"""The words of node control, by JSON over HTTP. `docs/node-control.md` is the page for those who serve it.

    GET  /v1/nodes/ID          the node as it is
    POST /v1/nodes/ID/orders   {"op", "order", "generation", "fence"}: 200 taken, or a refusal

A refusal has a code. FENCE, GENERATION, STATE and REFUSED are final for this order; BUSY may be tried again.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from weldhatch.planning.fleet import Node, State
from weldhatch.planning.plan import Kind


class Refusal(StrEnum):
    FENCE = "FENCE"  # a later apply has been heard
    GENERATION = "GENERATION"  # the node has started anew since
    STATE = "STATE"  # the order does not fit its state
    REFUSED = "REFUSED"  # it will not
    BUSY = "BUSY"  # not now

    @property
    def transient(self) -> bool:
        return self is Refusal.BUSY


class NodeOrder(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An order to a node. The same `op` again is the same order again: it has no second effect."""

    op: str
    order: Kind
    generation: int
    fence: int


class Operator(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's word on a machine, to a gateway: `draining` gets nothing new, `ready` lifts that."""

    op: str
    state: State
    fence: int


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    code: str
    message: str = ""
    fence: int = 0


class Refused(msgspec.Struct, frozen=True):
    """The body of an answer that is no 200."""

    error: Fault


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What came of one order. `taken` is False with a reason where it was refused, and without one where
    nobody answered: then it may have been heard."""

    taken: bool
    reason: str = ""
    transient: bool = False
    overtaken: bool = False

    @staticmethod
    def refused(code: str, message: str) -> Answer:
        known = code in Refusal.__members__
        return Answer(
            taken=False,
            reason=f"{code}: {message}" if message else code,
            transient=known and Refusal(code).transient,
            overtaken=code == Refusal.FENCE,
        )


SILENCE = Answer(taken=False, reason="")
ORDERS = frozenset({Kind.DRAIN, Kind.UNDRAIN, Kind.STOP, Kind.SWITCH_ON})


def read_node(data: bytes, expected: str) -> Node:
    """A node's own account of itself. Raises ValueError for what is none, or another node's."""
    node = msgspec.json.decode(data, type=Node)
    if node.id != expected:
        raise ValueError(f"$.id: {node.id!r} answers where {expected!r} was asked")
    return node


def read_refusal(data: bytes, status: int) -> Answer:
    """The refusal in a body; one that can't be read is final and says so."""
    try:
        fault = msgspec.json.decode(data, type=Refused).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Answer(
            taken=False, reason=f"status {status} without a reason that can be read", transient=status >= 500
        )
    return Answer.refused(fault.code, fault.message)
