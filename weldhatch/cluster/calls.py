"""Steps that all operators' calls on the group share."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.cluster.node import ClusterNode, GroupUnreachableError
from weldhatch.coordination.commands import RequestKind
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.results import is_error
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.pullqueue.errors import HttpError

MAX_REASON_CHARACTERS = 500  # characters
STATUS_TIMEOUT_S = 1.0


class GroupCalls:
    """Submits commands to the group, and translates errors into HTTP errors."""

    def __init__(self, node: ClusterNode) -> None:
        """Reach the group through `node`, the process that serves the call."""
        self.node = node

    @property
    def state_machine(self) -> StateMachine:
        """This process's copy of the replicated state."""
        return self.node.lease_holder.state_machine

    async def decide(
        self, command: JsonObject, describe_error: Callable[[JsonObject], str] | None = None
    ) -> JsonObject:
        """Submit a command and return its result. Raises HttpError.

        `describe_error` returns the error text for a command that was not carried out, from its result.
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
        """Return the leader's status; None if no leader answers."""
        try:
            return await self.node.submit({"do": RequestKind.STATUS}, STATUS_TIMEOUT_S)
        except GroupUnreachableError:
            return None


def reason_of(body: JsonObject) -> str:
    """Return the operator's reason for a call, from its body. Raises HttpError 400."""
    reason = body.get("why", "")
    if not isinstance(reason, str) or not 0 < len(reason) <= MAX_REASON_CHARACTERS:
        raise HttpError(400, f"why: a text of 1 to {MAX_REASON_CHARACTERS} characters is needed", "why")
    return reason


def author_of(body: JsonObject) -> str:
    """Return the operator's name from the body of a call; '' if it has none."""
    author = body.get("by", "")
    return author if isinstance(author, str) else ""
