"""One connection of a client, and how long it may stay. Its open requests are given up when it ends."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from weldhatch.net.connection import Connection, MalformedMessageError
from weldhatch.platform import client_codec
from weldhatch.platform.client_codec import ClientMessage

MAX_IDLE_S = 6.0  # clients close what idles for 4 s; past this the dispatcher does it
MAX_IDLE_WITH_TASKS_S = 1.0  # past this, one with running tasks gives way too: they belong to no connection
COMPLETE_MESSAGE_TIMEOUT_S = 2.0  # a connection that has brought no complete message by then is closed
FIRST_MESSAGE_TIMEOUT_S = 2.8  # and one whose first message began in time is closed by then
INCOMPLETE_GRACE_S = 0.5  # a message that began so lately is waited for, also where descriptors run short
SWEEP_INTERVAL_S = 0.2
REJECTED_CLOSE_DELAY_S = 0.4  # a rejected client waits for the close so long: none comes again at full speed
# Requests that a connection may take back in the moment it asks for them, with less than a span between two.
MAX_IMMEDIATE_CANCELS = 16
IMMEDIATE_CANCEL_WINDOW_S = 1.0


class OpenRequest(Protocol):
    """A request without an answer."""

    def abandon(self) -> None:
        """Give the request up: its client waits no more, or has left."""


class ConnectionFront(Protocol):
    """What a connection needs of the front that it belongs to."""

    def start(self, connection: ClientConnection, message: ClientMessage) -> None:
        """Take a request up."""

    def finish(self, connection: ClientConnection, message: ClientMessage) -> None:
        """End a request or a running task."""

    def flush(self, connection: ClientConnection) -> None:
        """Send ends of tasks that no connection was open for."""

    def closed(self, connection: ClientConnection) -> None:
        """Drop a connection that has ended."""


class ClientConnection:
    """Reads a client's messages and keeps what decides on closing the connection."""

    def __init__(self, front: ConnectionFront, connection: Connection, host: str) -> None:
        """`host`: the client's address without its port."""
        self._front = front
        self.connection = connection
        self.host = host
        self.open_requests: dict[str, OpenRequest] = {}  # by tag: requests without an answer
        self.running_tasks = 0  # running tasks that were asked for here
        self._immediate_cancels = 0
        self._last_immediate_cancel = 0.0
        self.last_used = time.monotonic()
        self._has_received_message = False  # a complete message came
        self.has_sent_request = False  # a request came
        self.is_rejected = False

    async def run(self) -> None:
        """Read until the connection ends; it is closed then. May be cancelled."""
        try:
            await self.connection.pump(client_codec.parse, self._handle, self._reject)
        finally:
            self._abandon_requests()
            self._front.closed(self)

    def _abandon_requests(self) -> None:
        for request in list(self.open_requests.values()):
            request.abandon()

    async def _reject(self) -> None:
        """Hold the close back: a client that comes again as soon as it is closed costs all others."""
        self.is_rejected = True
        self._abandon_requests()
        await asyncio.sleep(REJECTED_CLOSE_DELAY_S)

    def has_unread(self) -> bool:
        """Return whether the client has sent something, or has closed, and that is still to be read."""
        return self.connection.has_unhandled

    def send(self, data: bytes) -> bool:
        """Send an answer or the end of a task; False where the connection has ended.

        This counts as use: with its last task over, a connection that its client has not used for a while
        would be closed by the sweep before the data has left.
        """
        self.last_used = time.monotonic()
        return self.connection.send(data)

    def record_immediate_cancel(self, now: float) -> bool:
        """Count a request that was taken back as soon as it was asked for; return whether these are too many.

        `now` is on the monotonic clock, in seconds.
        """
        if now - self._last_immediate_cancel > IMMEDIATE_CANCEL_WINDOW_S:
            self._immediate_cancels = 0
        self._last_immediate_cancel = now
        self._immediate_cancels += 1
        return self._immediate_cancels > MAX_IMMEDIATE_CANCELS

    def reason_to_close(self, now: float) -> str | None:
        """Return why the connection is to be closed now; '' where no log line is needed, None to keep it."""
        if self.is_rejected or self.open_requests:
            return None
        incomplete_since = self.connection.incomplete_since
        if incomplete_since and now - incomplete_since > COMPLETE_MESSAGE_TIMEOUT_S:
            return "closed: a message without an end"
        if not self._has_received_message:
            latest = self.last_used + FIRST_MESSAGE_TIMEOUT_S - COMPLETE_MESSAGE_TIMEOUT_S
            quiet_since = max(self.last_used, min(incomplete_since, latest))
            return "" if now - quiet_since > COMPLETE_MESSAGE_TIMEOUT_S else None
        if incomplete_since:
            return None
        return "" if not self.running_tasks and now - self.last_used > MAX_IDLE_S else None

    def cost_of_closing(self, now: float) -> tuple[int, float] | None:
        """Return what closing costs its client, where descriptors run short; None where it must stay.

        The lower goes first: rejected, silent, only tested, idle, with running tasks; then the least lately
        used.
        """
        idle = now - self.last_used
        incomplete_since = self.connection.incomplete_since
        if self.is_rejected:
            return 0, self.last_used
        if incomplete_since and now - incomplete_since < INCOMPLETE_GRACE_S:
            return None
        if not self._has_received_message:  # its first message may be on its way
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
                raise MalformedMessageError(f"a line with the unknown verb {message.verb!r}")
