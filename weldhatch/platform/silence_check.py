"""Notice a server that vanished: it gives no sign, so its silence on the connection must show it."""

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

SILENCE_LIMIT_S = 0.5  # a server that leaves a message unanswered, and says nothing, for so long is tried
INCOMPLETE_MESSAGE_TIMEOUT_S = 0.4  # one that stops within a message for so long has lost its step
MAX_FAILED_CONNECTS = 2  # connects that never come up beside a silent connection: the server has vanished
MAX_BUSY_EXTENSIONS = 4  # connects that do come up while the old connection stays silent: it is given up


class CheckOwner(Protocol):
    """What the check asks of those who keep all links."""

    def quiet_limit(self, server: Server, now: float) -> float:
        """Return the seconds for which a server with running tasks may be quiet."""

    def mark_unresponsive(self, server: Server) -> None:
        """Note that a server gives no sign, and no connection to it comes up."""

    def health_check_message(self) -> bytes:
        """Return a new health check as bytes."""


class CheckedLink(Protocol):
    """The link whose connection is checked."""

    server: Server
    records: ServerRecords
    connection: Connection | None

    @property
    def owner(self) -> CheckOwner:
        """Who keeps all links."""

    @property
    def check_health(self) -> Callable[[], None]:
        """Send a health check on the connection."""

    def dial(self) -> Coroutine[Any, Any, Connection]:
        """Connect to the server's present address."""

    def read(self, connection: Connection) -> Coroutine[Any, Any, None]:
        """Handle what comes on a connection until it ends."""

    def drop_connection(self, reason: str) -> None:
        """End the connection."""

    def lose_tasks(self, reason: str) -> None:
        """End the running tasks as lost."""


class SilenceCheck:
    """Watches one link; a trial beside a silent connection tells a busy server from one that vanished.

    Owns the task of the trial, and the spare connection that a trial has made.
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
        """Watch this link from the first `watch` on."""
        self._link = link
        self.unanswered_since = 0.0  # when the first message since the last sign of life went out
        self._reachability_check: asyncio.Task[None] | None = None
        self._spare_connection: Connection | None = None
        self._spare_reader: asyncio.Task[None] | None = None
        self._busy_extensions = 0

    @property
    def is_checking(self) -> bool:
        """Whether a trial is under way."""
        return self._reachability_check is not None

    def reset_timers(self, now: float) -> None:
        """Guards against our own stalls: what a server said during one is not read yet."""
        if self.unanswered_since:
            self.unanswered_since = now
        connection = self._link.connection
        if connection is not None and connection.incomplete_since:
            connection.incomplete_since = now

    def watch(self, now: float) -> None:
        """Drop, try or check the link, as its silence asks for (`now` in monotonic seconds)."""
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
        """Whether a silent server is busy or has vanished: a busy one still takes a new connection."""
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
        """Whether the server takes a new connection, or answers on the spare one.

        That one is kept and read. Guards against releases that are lost with it: a server may send them on
        any connection that is open.
        """
        link = self._link
        spare = self._spare_connection
        if spare is None or spare.closed:
            self._spare_connection = await link.dial()
            self._spare_reader = asyncio.get_running_loop().create_task(link.read(self._spare_connection))
            return True
        # A server that has vanished leaves this open too: it must say something.
        last_received = spare.last_received
        spare.send(link.owner.health_check_message())
        await asyncio.sleep(SILENCE_LIMIT_S)
        if spare.closed or spare.last_received == last_received:
            spare.close()
            return False
        return True

    def _extend_for_busy_server(self, connection: Connection) -> None:
        """Let a busy server be silent for longer, but not on the same connection for ever."""
        if self._link.connection is not connection:
            return
        self._busy_extensions += 1
        if self._busy_extensions > MAX_BUSY_EXTENSIONS:
            self._link.drop_connection("takes connections and stays silent on this one")
        self.unanswered_since = time.monotonic()

    def close_spare_connection(self) -> None:
        """Close the connection that a trial has made."""
        if self._spare_connection is not None:
            self._spare_connection.close()

    def close(self) -> None:
        """Stop a trial, and close what it has made."""
        if self._reachability_check is not None:
            self._reachability_check.cancel()
        self.close_spare_connection()
