"""The connection to a server: opened on demand, and reopened while tasks run there."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_FINISHED
from weldhatch.core.request_state import LOOP_PASSES_TO_READ
from weldhatch.net.connection import Connection
from weldhatch.net.descriptor_budget import NoDescriptorError
from weldhatch.platform import server_codec, server_messages
from weldhatch.platform.endpoint_list import Server
from weldhatch.platform.server_messages import ReportOwner
from weldhatch.platform.server_records import ServerRecords
from weldhatch.platform.silence_check import CheckOwner, SilenceCheck
from weldhatch.scheduling.types import MachineState, Outcome

UNRESPONSIVE_AFTER_S = 2.0  # without any connection; a single connect may take 1 s
RECONNECT_DELAY_S = 0.02  # after the end of a connection
CONNECT_RETRY_DELAY_S = 0.1  # after a failed connect
MIN_IDLE_S = 0.05  # a connection used more recently is evicted only for another server, if all are


class LinkOwner(ReportOwner, CheckOwner, Protocol):
    """What a link requires of the owner of all links."""

    @property
    def log(self) -> Callable[[str], None]:
        """Log a line."""

    @property
    def connection_lost(self) -> Callable[[int], None]:
        """Report that the connection to a machine has ended."""

    async def connect(self, server: Server) -> Connection:
        """Open a connection within the budget; raises NoDescriptorError, OSError or TimeoutError."""
        ...

    def check_health(self, link: ServerLink) -> None:
        """Send a health check on a link."""


class ServerLink:
    """The connection to a server, and the records of the offers, probes and tasks that are open there.

    Owns the connection and the asyncio task that maintains it.
    """

    __slots__ = (
        "_connection_task",
        "_is_evicted",
        "connection",
        "is_replaced",
        "last_used",
        "owner",
        "records",
        "server",
        "silence",
    )

    def __init__(self, owner: LinkOwner, server: Server) -> None:
        """Create a link without a connection; the first message opens one."""
        self.owner = owner
        self.server = server
        self.records = ServerRecords()
        self.silence = SilenceCheck(self)
        self.connection: Connection | None = None
        self._connection_task: asyncio.Task[None] | None = None
        self.last_used = time.monotonic()  # monotonic time of the last sent message
        # The connection is closed to free its descriptor; its end does not reflect the server's state.
        self._is_evicted = False
        self.is_replaced = False  # another server uses the address: nothing is sent there for this uid

    # ---- sending -------------------------------------------------------------------------------------------

    def send(self, name: object, data: bytes) -> None:
        """Send a message, or hold it under this name until the connection is open."""
        self.last_used = time.monotonic()
        connection = self.connection
        if connection is not None and not connection.closed:
            silence = self.silence
            if not silence.unanswered_since or connection.last_received > silence.unanswered_since:
                silence.unanswered_since = time.monotonic()
            connection.send(data)
        else:
            self.records.waiting[name] = data
            self.open()

    def give_up(self, tag: bytes, receiver: ports.Receiver) -> None:
        """Notify the server that an offer is withdrawn; its answer may already be in transit."""
        self.records.mark_given_up(tag, receiver)
        self.send(
            (tag, "up"),
            server_codec.encode(server_codec.RELEASE, tag, {server_codec.CAUSE: bytes((CAUSE_FINISHED,))}),
        )

    def send_end_request(self, data: bytes) -> None:
        """Ask the server to end a running task. Without a connection, the next one repeats the request."""
        if self.is_connected:
            self.send(None, data)
        else:
            self.open()

    def check_health(self) -> None:
        """Send a health check; no caller waits for its result."""
        self.owner.check_health(self)

    def check_alive(self) -> None:
        """Check by a connect or a write whether the process of a removed server still runs.

        A connection looks open after its process has ended if the reset was lost on the network.
        """
        if self.is_connected:
            self.check_health()
        else:
            self.open()

    # ---- connection lifecycle ------------------------------------------------------------------------------

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open."""
        return self.connection is not None and not self.connection.closed

    @property
    def is_finished(self) -> bool:
        """Whether the machine is removed and no message is expected from it."""
        return self.server.state == MachineState.REMOVED and self.records.is_settled

    @property
    def is_evictable(self) -> bool:
        """Whether the connection can be closed to free its descriptor: nothing is open or unsent on it."""
        connection = self.connection
        return (
            connection is not None
            and not connection.closed
            and self.records.is_settled
            and not self.silence.is_checking
            and not connection.unsent
        )

    def is_idle(self, now: float) -> bool:
        """Whether the connection can be evicted and was not used just now."""
        if self.connection is None or not self.is_evictable:
            return False
        return now - max(self.last_used, self.connection.last_received) > MIN_IDLE_S

    def evict(self) -> None:
        """Close the idle connection to free its descriptor for another."""
        self._is_evicted = True
        self.silence.close_spare_connection()
        if self.connection is not None:
            self.connection.close()

    def open(self) -> None:
        """Start to connect, unless a connection is open or being opened."""
        if self._connection_task is None and not self.is_connected:
            self._connection_task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        """Connect, read until the connection ends, and end the offers and probes that were open on it.

        While tasks run at the server, the connection is reopened to receive their ends.
        """
        failing_since = 0.0
        try:
            while True:
                pause = CONNECT_RETRY_DELAY_S
                try:
                    self.connection = await self._connect()
                except NoDescriptorError:
                    # No waiting message was sent, and the state of the server is unknown.
                    self.records.end_all(Outcome.NOT_SENT, Outcome.FULL)
                except (OSError, TimeoutError) as error:
                    failing_since = failing_since or time.monotonic()
                    self.records.end_all(Outcome.CONNECT_FAILED)
                    self._lose_tasks_if_unreachable(error, failing_since)
                else:
                    failing_since = 0.0
                    pause = RECONNECT_DELAY_S
                    self._send_waiting(self.connection)
                    try:
                        await self.read(self.connection)
                    finally:
                        self._connection_ended()
                if not (self.records.running or self.records.waiting):
                    return
                await asyncio.sleep(pause)
        finally:
            if self._connection_task is asyncio.current_task():
                self._connection_task = None

    def _lose_tasks_if_unreachable(self, error: Exception, failing_since: float) -> None:
        """End the running tasks as lost if failed connects show that the server's process has ended.

        A connection that was accepted and then reset does not show this, nor does a single slow connect.
        """
        if not self.records.running:
            return
        if isinstance(error, ConnectionRefusedError):
            self.lose_tasks("refuses connections")
        elif time.monotonic() - failing_since >= UNRESPONSIVE_AFTER_S:
            self.owner.mark_unresponsive(self.server)
            self.lose_tasks("is silent")

    async def _connect(self) -> Connection:
        """Connect, then let the event loop read pending input of clients before waiting offers are sent.

        Otherwise an offer could be sent for a client whose close arrived while the loop was busy and is read
        only some iterations later.
        """
        connection = await self.dial()
        try:
            for _ in range(LOOP_PASSES_TO_READ):
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection

    async def dial(self) -> Connection:
        """Connect to the server's address; start over if the list changes it during the connect.

        Raises:
            NoDescriptorError: the descriptor budget is used up.
            OSError: the connect is refused or fails.
            TimeoutError: the connect takes too long.
        """
        while True:
            endpoint = self.server.endpoint
            connection = await self.owner.connect(self.server)
            if self.server.endpoint == endpoint:
                return connection
            connection.abort()

    def read(self, connection: Connection) -> Coroutine[Any, Any, None]:
        """Handle the messages of a connection until it ends."""
        return connection.pump(server_codec.parse, self._handle)

    def _handle(self, message: server_codec.Message) -> None:
        server_messages.handle(self, message)

    def _send_waiting(self, connection: Connection) -> None:
        data = self.records.take_waiting()
        self.silence.unanswered_since = time.monotonic() if data else 0.0
        if data:
            connection.send(data)

    def _connection_ended(self) -> None:
        """End what was in flight on the connection as reset: its tasks may have run."""
        self.connection = None
        if not self._is_evicted:
            self.owner.connection_lost(self.server.machine)
        self._is_evicted = False
        self.records.end_open(Outcome.RESET)

    # ---- lost connections and tasks ------------------------------------------------------------------------

    def drop_connection(self, reason: str) -> None:
        """Reset the connection. Data that the server has not received is discarded, and open offers end."""
        if self.connection is not None and not self.connection.closed:
            self.owner.log(f"server {self.server.uid}: {reason}")
            self.connection.abort()

    def lose_tasks(self, reason: str, before: float = float("inf")) -> None:
        """End as lost the tasks that were running before this Unix time (seconds)."""
        lost = [tag for tag, record in self.records.running.items() if record.running_since < before]
        if lost:
            self.owner.log(f"server {self.server.uid}: {reason}; {len(lost)} tasks are lost")
        self.records.end_as_lost(lost)

    def replace(self) -> None:
        """End all offers, probes and tasks of this server: another server has taken over its address."""
        self.is_replaced = True
        self.lose_tasks("has lost its address")
        self.records.end_open(Outcome.RESET)
        self.records.end_all(Outcome.CONNECT_FAILED)
        self.close()

    def close(self) -> None:
        """Close the connections and stop their asyncio tasks; open offers and tasks get no end."""
        self.silence.close()
        if self._connection_task is not None:
            self._connection_task.cancel()
            self._connection_task = None
        if self.connection is not None:
            self.connection.close()
