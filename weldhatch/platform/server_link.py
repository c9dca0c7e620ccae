"""The one connection to a server: dialled when needed, again while tasks run there, settled when it ends."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from weldhatch.core import ports
from weldhatch.core.messages import GIVEN_UP
from weldhatch.core.request_state import LOOP_PASSES_TO_READ
from weldhatch.net.connection import Connection
from weldhatch.net.descriptor_budget import NoDescriptorError
from weldhatch.platform import server_codec, server_messages
from weldhatch.platform.endpoint_list import Server
from weldhatch.platform.server_messages import ReportOwner
from weldhatch.platform.server_records import ServerRecords
from weldhatch.platform.silence_check import CheckOwner, SilenceCheck
from weldhatch.scheduling.types import MachineState, Outcome

UNRESPONSIVE_AFTER_S = 2.0  # no connection has come up for so long: the server has vanished; one may take 1 s
RECONNECT_DELAY_S = 0.02  # after a connection that ended
CONNECT_RETRY_DELAY_S = 0.1  # between two connects that fail
MIN_IDLE_S = 0.05  # a connection that was in use so lately is not closed for another


class LinkOwner(ReportOwner, CheckOwner, Protocol):
    """What a link asks of those who keep all links."""

    @property
    def log(self) -> Callable[[str], None]:
        """Log a line."""

    @property
    def connection_lost(self) -> Callable[[int], None]:
        """Note that the connection to a machine has ended."""

    async def connect(self, server: Server) -> Connection:
        """Open a connection within the budget; raises NoDescriptorError, OSError or TimeoutError."""
        ...

    def check_health(self, link: ServerLink) -> None:
        """Send a health check on a link."""


class ServerLink:
    """The one connection to a server, and the records of what is open there.

    Owns the connection and the task that keeps it up.
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
        """Connect when the first message is sent, not before."""
        self.owner = owner
        self.server = server
        self.records = ServerRecords()
        self.silence = SilenceCheck(self)
        self.connection: Connection | None = None
        self._connection_task: asyncio.Task[None] | None = None
        self.last_used = time.monotonic()  # when something last went out
        # The connection is closed for another: that says nothing of the server.
        self._is_evicted = False
        self.is_replaced = False  # another server has the address: nothing goes there under this uid

    # ---- what goes out -------------------------------------------------------------------------------------

    def send(self, name: object, data: bytes) -> None:
        """Send a message, or keep it under this name until the connection is up."""
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
        """Notify the server that nobody waits for that offer any more; its answer may be on its way."""
        self.records.mark_given_up(tag, receiver)
        self.send(
            (tag, "up"),
            server_codec.encode(server_codec.RELEASE, tag, {server_codec.CAUSE: bytes((GIVEN_UP,))}),
        )

    def send_end_request(self, data: bytes) -> None:
        """Ask for the end of a running task. What can't leave now is sent by the next connection."""
        if self.is_connected:
            self.send(None, data)
        else:
            self.open()

    def check_health(self) -> None:
        """Send a health check that nobody waits for."""
        self.owner.check_health(self)

    def check_alive(self) -> None:
        """Find out by a connect or a write whether the process of a server gone from the list still runs.

        Guards against a process that ended and whose reset never came: its connection looks open.
        """
        if self.is_connected:
            self.check_health()
        else:
            self.open()

    # ---- the connection's life -----------------------------------------------------------------------------

    @property
    def is_connected(self) -> bool:
        """Whether a connection is up."""
        return self.connection is not None and not self.connection.closed

    @property
    def is_finished(self) -> bool:
        """Whether the machine is gone and nothing is left to come from it."""
        return self.server.state == MachineState.REMOVED and self.records.is_settled

    def is_idle(self, now: float) -> bool:
        """Whether the connection can be closed without harm: nothing is open on it or was just sent."""
        connection = self.connection
        return (
            connection is not None
            and not connection.closed
            and self.records.is_settled
            and not self.silence.is_checking
            and not connection.unsent
            and now - max(self.last_used, connection.last_received) > MIN_IDLE_S
        )

    def evict(self) -> None:
        """Close the idle connection for another that needs its descriptor."""
        self._is_evicted = True
        self.silence.close_spare_connection()
        if self.connection is not None:
            self.connection.close()

    def open(self) -> None:
        """Connect, unless a connection is up or on its way."""
        if self._connection_task is None and not self.is_connected:
            self._connection_task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        """Connect, read until the connection ends, and settle what was open on it.

        A server that still holds tasks of ours is connected to again, to receive their ends.
        """
        failing_since = 0.0
        try:
            while True:
                pause = CONNECT_RETRY_DELAY_S
                try:
                    self.connection = await self._connect()
                except NoDescriptorError:
                    # Nothing that waited has left, and that says nothing of the server.
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
        """Whether connects that fail show the end of the process, and so of the tasks that ran there.

        A connection that came up and was reset shows none; one that comes up late may do so the next time.
        """
        if not self.records.running:
            return
        if isinstance(error, ConnectionRefusedError):
            self.lose_tasks("refuses connections")
        elif time.monotonic() - failing_since >= UNRESPONSIVE_AFTER_S:
            self.owner.mark_unresponsive(self.server)
            self.lose_tasks("is silent")

    async def _connect(self) -> Connection:
        """Connect, and first receive from those clients who may have left in the meantime.

        Guards against an offer that waited for the connection and goes out for a client whose close came
        while the loop was busy, and is read only turns later.
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
        """Connect to the address that the list names at the moment the connection comes up.

        Raises:
            NoDescriptorError: the budget is spent.
            OSError: it is refused or fails.
            TimeoutError: it does not come up in time.
        """
        while True:
            endpoint = self.server.endpoint
            connection = await self.owner.connect(self.server)
            if self.server.endpoint == endpoint:
                return connection
            connection.abort()

    def read(self, connection: Connection) -> Coroutine[Any, Any, None]:
        """Handle what comes on a connection until it ends."""
        return connection.pump(server_codec.parse, self._handle)

    def _handle(self, message: server_codec.Message) -> None:
        server_messages.handle(self, message)

    def _send_waiting(self, connection: Connection) -> None:
        data = self.records.take_waiting()
        self.silence.unanswered_since = time.monotonic() if data else 0.0
        if data:
            connection.send(data)

    def _connection_ended(self) -> None:
        """Settle what was in flight on it: that may have run."""
        self.connection = None
        if not self._is_evicted:
            self.owner.connection_lost(self.server.machine)
        self._is_evicted = False
        self.records.end_open(Outcome.RESET)

    # ---- ends ----------------------------------------------------------------------------------------------

    def drop_connection(self, reason: str) -> None:
        """End the connection. What it has not taken yet never reaches the server: offers end here."""
        if self.connection is not None and not self.connection.closed:
            self.owner.log(f"server {self.server.uid}: {reason}")
            self.connection.abort()

    def lose_tasks(self, reason: str, before: float = float("inf")) -> None:
        """End the running tasks as lost: those that ran before that moment (Unix time, seconds)."""
        lost = [tag for tag, record in self.records.running.items() if record.running_since < before]
        if lost:
            self.owner.log(f"server {self.server.uid}: {reason}; {len(lost)} tasks are lost")
        self.records.end_as_lost(lost)

    def replace(self) -> None:
        """End all that was meant for this server: another one has the address now."""
        self.is_replaced = True
        self.lose_tasks("has lost its address")
        self.records.end_open(Outcome.RESET)
        self.records.end_all(Outcome.CONNECT_FAILED)
        self.close()

    def close(self) -> None:
        """Close the connections and stop their tasks; nothing is settled."""
        self.silence.close()
        if self._connection_task is not None:
            self._connection_task.cancel()
            self._connection_task = None
        if self.connection is not None:
            self.connection.close()
