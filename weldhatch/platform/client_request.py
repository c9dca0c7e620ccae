"""One request of a client: what the core answers goes out on the connection that the request came on."""

from __future__ import annotations

import math
import time
from collections.abc import Mapping
from typing import Protocol

from weldhatch.core.messages import GivenUp, Released
from weldhatch.core.request_lifecycle import RequestLifecycle
from weldhatch.platform import client_codec
from weldhatch.platform.client_connection import ClientConnection

# The causes, on the wire, of the two final answers that are not 'placed'.
CAUSE_REJECTED = 42
CAUSE_FAILED = 47


class RequestFront(Protocol):
    """What a request needs of the front that it belongs to."""

    def forget(self, tag: str) -> None:
        """Drop the request of this tag."""

    def relay(self, connection: ClientConnection, data: bytes) -> None:
        """Send the end of a running task to its client, on any of its connections."""


class ClientRequest:
    """The core's `Owner` of one request."""

    def __init__(self, front: RequestFront, connection: ClientConnection, tag: str) -> None:
        """Begin without a lifecycle; `follow` sets it once the core has taken the request up."""
        self._front = front
        self._connection = connection
        self._tag = tag
        self._lifecycle: RequestLifecycle | None = None
        self.is_running = False  # the task has been placed and is not over
        self._is_abandoned = False
        self.arrived_at = time.monotonic()

    def attach_lifecycle(self, lifecycle: RequestLifecycle) -> None:
        """Set the core's side of the request."""
        self._lifecycle = lifecycle

    def mark_running(self) -> None:
        """Count the task as running at its connection."""
        self.is_running = True
        self._connection.running_tasks += 1

    def abandon(self) -> None:
        """Give the request up: its client waits no more, or has left."""
        self._is_abandoned = True
        self._connection.open_requests.pop(self._tag, None)
        self._front.forget(self._tag)
        if self._lifecycle is not None:
            self._lifecycle.deliver(GivenUp())

    def end_task(self, cause: int) -> None:
        """End the running task, as its client asks."""
        if self._lifecycle is not None:
            self._lifecycle.deliver(Released(cause))
        self._front.forget(self._tag)

    def uncount_running(self) -> None:
        """Take back what `mark_running` counted."""
        if self.is_running:
            self._connection.running_tasks -= 1

    # ---- core.ports.Owner ----------------------------------------------------------------------------------

    def placed(self, description: str | None) -> None:
        """Answer that the task runs; nothing is sent where the answer crossed the client's departure."""
        if self._is_abandoned:
            return
        self._connection.open_requests.pop(self._tag, None)
        self.mark_running()
        self._connection.send(client_codec.encode("STARTED", self._tag, {}, None, description))

    def refused(self, wait_us: int) -> None:
        """Answer that the request is rejected, and after what time (microseconds) a retry may come."""
        self._answer(CAUSE_REJECTED, {"wait": str(math.ceil(wait_us / 1000))} if wait_us > 0 else {})

    def failed(self) -> None:
        """Answer that the request failed, with no promise about its effect."""
        self._answer(CAUSE_FAILED, {})

    def _answer(self, cause: int, fields: Mapping[str, str]) -> None:
        if self._is_abandoned:  # it has been forgotten, and its tag may be another's by now
            return
        self._connection.open_requests.pop(self._tag, None)
        self._front.forget(self._tag)
        self._connection.send(client_codec.encode("FINISH", self._tag, fields, cause))

    def released(self, cause: int) -> None:
        """Notify the client that its running task is over."""
        if self._is_abandoned:
            return
        self._front.forget(self._tag)
        self._front.relay(self._connection, client_codec.encode("FINISH", self._tag, {}, cause))

    def moved(self) -> None:
        """Notify the client that its task is to be placed anew: it should ask again."""
        self._front.forget(self._tag)
        self._front.relay(self._connection, client_codec.encode("MOVE", self._tag, {}))
