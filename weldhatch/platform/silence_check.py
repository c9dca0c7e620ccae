"""Detection of unresponsive servers by their silence: a machine that fails closes no connection."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from weldhatch.net.connection import Connection
from weldhatch.net.descriptor_budget import NoDescriptorError
from weldhatch.platform.endpoint_list import Server
from weldhatch.platform.health_check import SUSPECT_QUIET_LIMIT_S
from weldhatch.platform.server_records import ServerRecords

SILENCE_LIMIT_S = 0.5  # silence after an unanswered message that starts a reachability check
INCOMPLETE_MESSAGE_TIMEOUT_S = 0.4  # longer pauses within a message are a framing fault
MAX_FAILED_CONNECTS = 2  # failed connects after which a silent server is unresponsive
MAX_BUSY_EXTENSIONS = 4  # successful checks after which a connection that stays silent is dropped


class CheckOwner(Protocol):
    """What the check requires of the owner of all links."""

    def quiet_limit(self, server: Server, now: float) -> float:
        """Return for how many seconds a server with running tasks may be quiet."""

    def mark_unresponsive(self, server: Server) -> None:
        """Record that a server is silent and accepts no connection."""

    def health_check_message(self) -> bytes:
        """Return a new health check as bytes."""


class CheckedLink(Protocol):
    """The link whose connection is checked."""

    server: Server
    records: ServerRecords
    connection: Connection | None

    @property
    def owner(self) -> CheckOwner:
        """The owner of all links."""

    @property
    def check_health(self) -> Callable[[], None]:
        """Send a health check on the connection."""

    def dial(self) -> Coroutine[Any, Any, Connection]:
        """Connect to the server's current address."""

    def read(self, connection: Connection) -> Coroutine[Any, Any, None]:
        """Handle the messages of a connection until it ends."""

    def drop_connection(self, reason: str) -> None:
        """End the connection."""

    def lose_tasks(self, reason: str) -> None:
        """End the running tasks as lost."""


class SilenceCheck:
    """Watches one link; a second connection distinguishes a busy server from an unresponsive one.

    Owns the asyncio task of the reachability check, and the spare connection that it opens.
    """

    __slots__ = (
        "_busy_extensions",
        "_link",
        "_reachability_check",
        "_spare_connection",
        "_spare_reader",
        "unanswered_since",
    )

    def __init__(self, link: CheckedLink) -> None:
        """Create the check for this link; `watch` is to be called at an interval."""
        self._link = link
        self.unanswered_since = 0.0  # monotonic time of the first unanswered message; 0.0 for none
        self._reachability_check: asyncio.Task[None] | None = None
        self._spare_connection: Connection | None = None
        self._spare_reader: asyncio.Task[None] | None = None
        self._busy_extensions = 0

    @property
    def is_checking(self) -> bool:
        """Whether a reachability check is running."""
        return self._reachability_check is not None

    def reset_timers(self, now: float) -> None:
        """Restart the timers after a stall of this process: input received during the stall is unread."""
        if self.unanswered_since:
            self.unanswered_since = now
        connection = self._link.connection
        if connection is not None and connection.incomplete_since:
            connection.incomplete_since = now

    def watch(self, now: float) -> None:
        """Drop or check the link, depending on how long it is silent (`now`: monotonic seconds)."""
        link = self._link
        connection = link.connection
        if connection is None or connection.closed:
            return
        if connection.incomplete_since and now - connection.incomplete_since > INCOMPLETE_MESSAGE_TIMEOUT_S:
            link.drop_connection("stops within a message")
            return
        if self.unanswered_since and self.unanswered_since >= connection.last_received:
            if now - self.unanswered_since > SILENCE_LIMIT_S and self._reachability_check is None:
                self._reachability_check = asyncio.get_running_loop().create_task(
                    self._check_reachability(connection)
                )
            return
        self._busy_extensions = 0
        quiet = now - connection.last_received
        if (
            quiet > SUSPECT_QUIET_LIMIT_S
            and link.records.running
            and quiet > link.owner.quiet_limit(link.server, now)
        ):
            link.check_health()

    async def _check_reachability(self, connection: Connection) -> None:
        """Find out whether a silent server is busy or unresponsive: a busy one accepts a new connection."""
        link = self._link
        reason = "is silent, and no connection comes up"
        try:
            for _ in range(MAX_FAILED_CONNECTS):
                try:
                    if not await self._accepts_connection():
                        continue
                except NoDescriptorError:
                    self.unanswered_since = time.monotonic()
                    return
                except ConnectionRefusedError:
                    reason = "is silent and refuses connections"
                    break
                except (OSError, TimeoutError):
                    continue
                self._extend_for_busy_server(connection)
                return
            if link.connection is connection and connection.last_received <= self.unanswered_since:
                link.owner.mark_unresponsive(link.server)
                link.drop_connection(reason)
                link.lose_tasks(reason)
        finally:
            self._reachability_check = None

    async def _accepts_connection(self) -> bool:
        """Return whether the server accepts a new connection, or answers on the existing spare one.

        The spare connection is kept open and read: a server may send a release on any open connection,
        and the release would be lost with it.
        """
        link = self._link
        spare = self._spare_connection
        if spare is None or spare.closed:
            self._spare_connection = await link.dial()
            self._spare_reader = asyncio.get_running_loop().create_task(link.read(self._spare_connection))
            return True
        # An unresponsive server leaves the spare connection open as well, so an answer is required.
        last_received = spare.last_received
        spare.send(link.owner.health_check_message())
        await asyncio.sleep(SILENCE_LIMIT_S)
        if spare.closed or spare.last_received == last_received:
            spare.close()
            return False
        return True

    def _extend_for_busy_server(self, connection: Connection) -> None:
        """Allow a busy server more silence, but drop a connection that stays silent too often."""
        if self._link.connection is not connection:
            return
        self._busy_extensions += 1
        if self._busy_extensions > MAX_BUSY_EXTENSIONS:
            self._link.drop_connection("accepts connections but stays silent on this one")
        self.unanswered_since = time.monotonic()

    def close_spare_connection(self) -> None:
        """Close the spare connection."""
        if self._spare_connection is not None:
            self._spare_connection.close()

    def close(self) -> None:
        """Stop a running check, and close the spare connection."""
        if self._reachability_check is not None:
            self._reachability_check.cancel()
        self.close_spare_connection()
