"""The messages of node control, by JSON over HTTP. `docs/node-control.md` is the page for those who serve it.

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
    """Why a node or gateway has not taken an order."""

    FENCE = "FENCE"  # an order of a later apply has come
    GENERATION = "GENERATION"  # the node has started anew since
    STATE = "STATE"  # the order does not fit its state
    REFUSED = "REFUSED"  # it will not
    BUSY = "BUSY"  # not now

    @property
    def transient(self) -> bool:
        """Whether the same order may be taken later."""
        return self is Refusal.BUSY


class NodeOrder(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An order to a node. The same `op` again is the same order again: it has no second effect."""

    op: str
    order: Kind
    generation: int
    fence: int


class OperatorOrder(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's order on a machine, to a gateway: `draining` gets nothing new, `ready` lifts that."""

    op: str
    state: State
    fence: int


class RefusalDetail(msgspec.Struct, frozen=True, kw_only=True):
    """Why an order was not taken. `code`: one of `Refusal`, or another; `fence`: the latest that has come."""

    code: str
    message: str = ""
    fence: int = 0


class RefusalBody(msgspec.Struct, frozen=True):
    """The body of an answer that is no 200."""

    error: RefusalDetail


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What came of one order.

    `taken` is False with a reason where it was refused, and without one where nobody answered: then it may
    have arrived. `overtaken`: an order of a later apply has come.
    """

    taken: bool
    reason: str = ""
    transient: bool = False
    overtaken: bool = False

    @staticmethod
    def refused(code: str, message: str) -> Answer:
        """Return the answer for a refusal; a code that is not known is final."""
        known = code in Refusal.__members__
        return Answer(
            taken=False,
            reason=f"{code}: {message}" if message else code,
            transient=known and Refusal(code).transient,
            overtaken=code == Refusal.FENCE,
        )


_NODE: msgspec.json.Decoder[Node] = msgspec.json.Decoder(Node)
_REFUSAL: msgspec.json.Decoder[RefusalBody] = msgspec.json.Decoder(RefusalBody)
NO_ANSWER = Answer(taken=False, reason="")
NODE_ORDERS = frozenset({Kind.DRAIN, Kind.UNDRAIN, Kind.STOP, Kind.SWITCH_ON})


def read_node(data: bytes, expected: str) -> Node:
    """Return a node's own account of itself. Raises ValueError for what is none, or another node's."""
    node: Node = _NODE.decode(data)
    if node.id != expected:
        raise ValueError(f"$.id: {node.id!r} answers where {expected!r} was asked")
    return node


def read_refusal(data: bytes, status: int) -> Answer:
    """Return the refusal in a body; one that can't be read is final and says so, but for a status of 5xx."""
    try:
        detail = _REFUSAL.decode(data).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Answer(
            taken=False, reason=f"status {status} without a reason that can be read", transient=status >= 500
        )
    return Answer.refused(detail.code, detail.message)
