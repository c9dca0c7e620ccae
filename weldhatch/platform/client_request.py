"""A client's request: the core's answer is sent on the connection that the request was received on."""

from __future__ import annotations

import math
import time
from collections.abc import Mapping
from typing import Protocol

from weldhatch.core.messages import GivenUp, Released
from weldhatch.core.request_lifecycle import RequestLifecycle
from weldhatch.platform import client_codec
from weldhatch.platform.client_connection import ClientConnection

# Cause codes on the wire for the two final answers other than 'placed'.
CAUSE_REJECTED = 42
CAUSE_FAILED = 47


class RequestFront(Protocol):
    """The callbacks of the client front that a request uses."""

    def forget(self, tag: str) -> None:
        """Remove the request of this tag."""

    def relay(self, connection: ClientConnection, data: bytes) -> None:
        """Send the end of a running task to its client, on any of its connections."""


class ClientRequest:
    """The core's `Owner` of one request."""

    def __init__(self, front: RequestFront, connection: ClientConnection, tag: str) -> None:
        """Create a request without a lifecycle; `attach_lifecycle` sets it once the core has started it."""
        self._front = front
        self._connection = connection
        self._tag = tag
        self._lifecycle: RequestLifecycle | None = None
        self.is_running = False  # the task has been placed and has not ended
        self._is_abandoned = False
        self.arrived_at = time.monotonic()

    def attach_lifecycle(self, lifecycle: RequestLifecycle) -> None:
        """Set the lifecycle by which the core handles the request."""
        self._lifecycle = lifecycle

    def mark_running(self) -> None:
        """Count the task among the running tasks of its connection."""
        self.is_running = True
        self._connection.running_tasks += 1

    def abandon(self) -> None:
        """Abandon the request: its client has cancelled it or disconnected."""
        self._is_abandoned = True
        self._connection.open_requests.pop(self._tag, None)
        self._front.forget(self._tag)
        if self._lifecycle is not None:
            self._lifecycle.deliver(GivenUp())

    def end_task(self, cause: int) -> None:
        """End the running task at its client's request."""
        if self._lifecycle is not None:
            self._lifecycle.deliver(Released(cause))
        self._front.forget(self._tag)

    def uncount_running(self) -> None:
        """Undo the count of `mark_running`, once the front has removed the request."""
        if self.is_running:
            self._connection.running_tasks -= 1

    # ---- core.ports.Owner ----------------------------------------------------------------------------------

    def placed(self, description: str | None) -> None:
        """Answer that the task runs; nothing is sent for a request that has been abandoned meanwhile."""
        if self._is_abandoned:
            return
        self._connection.open_requests.pop(self._tag, None)
        self.mark_running()
        self._connection.send(client_codec.encode("STARTED", self._tag, {}, None, description))

    def refused(self, wait_us: int) -> None:
        """Answer that the request is rejected, and after how many microseconds a retry may follow."""
        self._answer(CAUSE_REJECTED, {"wait": str(math.ceil(wait_us / 1000))} if wait_us > 0 else {})

    def failed(self) -> None:
        """Answer that the request failed; whether the task had an effect is unknown."""
        self._answer(CAUSE_FAILED, {})

    def _answer(self, cause: int, fields: Mapping[str, str]) -> None:
        if self._is_abandoned:  # the request has been removed, and its tag may be in use again
            return
        self._connection.open_requests.pop(self._tag, None)
        self._front.forget(self._tag)
        self._connection.send(client_codec.encode("FINISH", self._tag, fields, cause))

    def released(self, cause: int) -> None:
        """Notify the client that its running task has ended."""
        if self._is_abandoned:
            return
        self._front.forget(self._tag)
        self._front.relay(self._connection, client_codec.encode("FINISH", self._tag, {}, cause))

    def moved(self) -> None:
        """Notify the client that its task has to move: the client should request it again."""
        self._front.forget(self._tag)
        self._front.relay(self._connection, client_codec.encode("MOVE", self._tag, {}))
