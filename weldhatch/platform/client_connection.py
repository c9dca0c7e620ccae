"""A client's connection, and when it is closed. Its open requests are abandoned when it ends."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from weldhatch.net.connection import Connection, MalformedMessageError
from weldhatch.platform import client_codec
from weldhatch.platform.client_codec import ClientMessage

MAX_IDLE_S = 6.0  # clients close their idle connections after 4 s
# Idle connections with running tasks may be evicted after this time: tasks are not bound to a connection.
MAX_IDLE_WITH_TASKS_S = 1.0
COMPLETE_MESSAGE_TIMEOUT_S = 2.0  # limit for completing a message, and for the first bytes on a connection
FIRST_MESSAGE_TIMEOUT_S = 2.8  # total limit for a first message that began within COMPLETE_MESSAGE_TIMEOUT_S
INCOMPLETE_GRACE_S = 0.5  # an incomplete message younger than this protects its connection from eviction
SWEEP_INTERVAL_S = 0.2
REJECTED_CLOSE_DELAY_S = 0.4  # slows down rejected clients that reconnect as soon as they are closed
# Immediately cancelled requests allowed per connection, each within the window after the one before.
MAX_IMMEDIATE_CANCELS = 16
IMMEDIATE_CANCEL_WINDOW_S = 1.0


class OpenRequest(Protocol):
    """A request that has not been answered."""

    def abandon(self) -> None:
        """Abandon the request: its client has cancelled it or disconnected."""


class ConnectionFront(Protocol):
    """The callbacks of the client front that a connection uses."""

    def start(self, connection: ClientConnection, message: ClientMessage) -> None:
        """Start a request."""

    def finish(self, connection: ClientConnection, message: ClientMessage) -> None:
        """End a running task, or cancel a request."""

    def flush(self, connection: ClientConnection) -> None:
        """Send the queued notifications of ended tasks."""

    def closed(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""


class ClientConnection:
    """Handles a client's messages, and keeps the state that decides when the connection is closed."""

    def __init__(self, front: ConnectionFront, connection: Connection, host: str) -> None:
        """`host`: the client's address without its port."""
        self._front = front
        self.connection = connection
        self.host = host
        self.open_requests: dict[str, OpenRequest] = {}  # unanswered requests by tag
        self.running_tasks = 0  # number of running tasks requested on this connection
        self._immediate_cancels = 0
        self._last_immediate_cancel = 0.0
        self.last_used = time.monotonic()
        self._has_received_message = False  # a complete message has been received
        self.has_sent_request = False  # a request has been received
        self.is_rejected = False

    async def run(self) -> None:
        """Handle messages until the connection ends, then close it. May be cancelled."""
        try:
            await self.connection.pump(client_codec.parse, self._handle, self._reject)
        finally:
            self._abandon_requests()
            self._front.closed(self)

    def _abandon_requests(self) -> None:
        for request in list(self.open_requests.values()):
            request.abandon()

    async def _reject(self) -> None:
        """Delay the close: a client that reconnects at once after it would take resources from all others."""
        self.is_rejected = True
        self._abandon_requests()
        await asyncio.sleep(REJECTED_CLOSE_DELAY_S)

    def has_unread(self) -> bool:
        """Return whether input of the client, or its close, is still unread."""
        return self.connection.has_unhandled

    def send(self, data: bytes) -> bool:
        """Send an answer or the end of a task; return False if the connection has ended.

        Sending counts as use. Otherwise the sweep could close a long idle connection, once its last task has
        ended, before the data is written.
        """
        self.last_used = time.monotonic()
        return self.connection.send(data)

    def record_immediate_cancel(self, now: float) -> bool:
        """Count a request that was cancelled at once; return whether the limit is exceeded.

        `now` is on the monotonic clock, in seconds.
        """
        if now - self._last_immediate_cancel > IMMEDIATE_CANCEL_WINDOW_S:
            self._immediate_cancels = 0
        self._last_immediate_cancel = now
        self._immediate_cancels += 1
        return self._immediate_cancels > MAX_IMMEDIATE_CANCELS

    def reason_to_close(self, now: float) -> str | None:
        """Return the reason to close the connection now ('' to close it without a log line), or None."""
        if self.is_rejected or self.open_requests:
            return None
        incomplete_since = self.connection.incomplete_since
        if incomplete_since and now - incomplete_since > COMPLETE_MESSAGE_TIMEOUT_S:
            return "closed: a message was not completed in time"
        if not self._has_received_message:
            latest = self.last_used + FIRST_MESSAGE_TIMEOUT_S - COMPLETE_MESSAGE_TIMEOUT_S
            quiet_since = max(self.last_used, min(incomplete_since, latest))
            return "" if now - quiet_since > COMPLETE_MESSAGE_TIMEOUT_S else None
        if incomplete_since:
            return None
        return "" if not self.running_tasks and now - self.last_used > MAX_IDLE_S else None

    def cost_of_closing(self, now: float) -> tuple[int, float] | None:
        """Return the eviction rank, used when descriptors run short; None if the connection must stay open.

        The lowest rank is evicted first: rejected, without any message, without any request, idle, idle with
        running tasks; within these, the least recently used.
        """
        idle = now - self.last_used
        incomplete_since = self.connection.incomplete_since
        if self.is_rejected:
            return 0, self.last_used
        if incomplete_since and now - incomplete_since < INCOMPLETE_GRACE_S:
            return None
        if not self._has_received_message:  # its first message may be in transit
            return (1, self.last_used) if idle > SWEEP_INTERVAL_S else None
        if self.open_requests or idle < SWEEP_INTERVAL_S:
            return None
        if self.running_tasks:
            return (4, self.last_used) if idle > MAX_IDLE_WITH_TASKS_S else None
        return (3 if self.has_sent_request else 2), self.last_used

    def _handle(self, message: ClientMessage) -> None:
        self.last_used = time.monotonic()
        self._has_received_message = True
        match message.verb:
            case "START":
                self._front.start(self, message)
            case "FINISH":
                self._front.finish(self, message)
            case "ECHO":
                self.connection.send(client_codec.encode("ECHOED", message.tag, {}, 1))
                self._front.flush(self)
            case "FINISHED" | "ECHOED" | "NOTICE" | "PENDING":
                pass
            case _:
                raise MalformedMessageError(f"line with the unknown verb {message.verb!r}")
