"""What all calls of operators on the group share."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.cluster.node import ClusterNode, GroupUnreachableError
from weldhatch.coordination.commands import RequestKind
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.results import is_error
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.pullqueue.errors import HttpError

MAX_REASON = 500  # characters
STATUS_S = 1.0


class GroupCalls:
    """Has commands decided, and turns what goes wrong into answers."""

    def __init__(self, node: ClusterNode) -> None:
        """Ask the group through one of its processes."""
        self.node = node

    @property
    def state_machine(self) -> StateMachine:
        """The agreed state as this process holds it."""
        return self.node.lease_holder.state_machine

    async def decide(
        self, command: JsonObject, describe_error: Callable[[JsonObject], str] | None = None
    ) -> JsonObject:
        """Have a command decided; its result. Raises HttpError.

        `describe_error`: the text for a command that was not carried out, from its result.
        """
        try:
            result = await self.node.submit(command)
        except GroupUnreachableError as error:
            raise HttpError(503, f"group: {error}", "group", 1.0) from None
        if is_error(result):
            text = describe_error(result) if describe_error is not None else result["text"]
            raise HttpError(409, text, result["error"])
        return result

    async def leader_status(self) -> JsonObject | None:
        """Return what the leader knows; None where there is none."""
        try:
            return await self.node.submit({"do": RequestKind.STATUS}, STATUS_S)
        except GroupUnreachableError:
            return None


def reason_of(body: JsonObject) -> str:
    """Return why an operator does it. Raises HttpError 400."""
    reason = body.get("why", "")
    if not isinstance(reason, str) or not 0 < len(reason) <= MAX_REASON:
        raise HttpError(400, f"why: a text of 1 to {MAX_REASON} characters is needed", "why")
    return reason


def author_of(body: JsonObject) -> str:
    """Return which operator does it; '' where that is not said."""
    author = body.get("by", "")
    return author if isinstance(author, str) else ""
