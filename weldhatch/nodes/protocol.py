"""The messages of the node-control protocol: JSON over HTTP.

`docs/node-control.md` is the guide for implementers of nodes.

    GET  /v1/nodes/ID          the node's present state
    POST /v1/nodes/ID/orders   {"op", "order", "generation", "fence"}: 200 if accepted, or a refusal

A refusal has a code. FENCE, GENERATION, STATE and REFUSED are final for this order; BUSY may be retried.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from weldhatch.planning.fleet import Node, State
from weldhatch.planning.plan import Kind


class Refusal(StrEnum):
    """The code of a refusal: why a node or gateway did not accept an order."""

    FENCE = "FENCE"  # an order of a later apply has been received
    GENERATION = "GENERATION"  # the node has been restarted and has another generation
    STATE = "STATE"  # the order is not valid in the node's state
    REFUSED = "REFUSED"  # the order is refused for another reason, such as data that would be lost
    BUSY = "BUSY"  # the order may be accepted later

    @property
    def transient(self) -> bool:
        """Whether the same order may be accepted later."""
        return self is Refusal.BUSY


class NodeOrder(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An order to a node. `op` is the idempotency key: an order repeated under it has no second effect."""

    op: str
    order: Kind
    generation: int
    fence: int


class OperatorOrder(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's order to a gateway: a `draining` machine gets no new work, `ready` ends the drain."""

    op: str
    state: State
    fence: int


class RefusalDetail(msgspec.Struct, frozen=True, kw_only=True):
    """Why an order was refused. `code` may be unknown to `Refusal`; `fence` is the highest one received."""

    code: str
    message: str = ""
    fence: int = 0


class RefusalBody(msgspec.Struct, frozen=True):
    """The body of an answer with a status other than 200."""

    error: RefusalDetail


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The result of an order.

    `taken`: whether the order was accepted. If not, `reason` is the refusal, or empty if there was no answer:
    then the order may have been received. `overtaken`: an order of a later apply has been received.
    """

    taken: bool
    reason: str = ""
    transient: bool = False
    overtaken: bool = False

    @staticmethod
    def refused(code: str, message: str) -> Answer:
        """Return the result for a refusal; an unknown code is final."""
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
    """Return a node's reported state. Raises ValueError if the data is invalid or from another node."""
    node: Node = _NODE.decode(data)
    if node.id != expected:
        raise ValueError(f"$.id: {node.id!r} answers where {expected!r} was asked")
    return node


def read_refusal(data: bytes, status: int) -> Answer:
    """Return the refusal in a body; a body that can't be read is final unless the status is 5xx."""
    try:
        detail = _REFUSAL.decode(data).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Answer(
            taken=False, reason=f"status {status} without a reason that can be read", transient=status >= 500
        )
    return Answer.refused(detail.code, detail.message)
