"""The clients' side of the platform's protocol: requests on JSON lines in, answers and ends of tasks out."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.core import ports
from weldhatch.core.messages import GIVEN_UP
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.connection import Connection, MalformedMessageError
from weldhatch.net.descriptor_budget import DescriptorShare
from weldhatch.net.rate_limited_log import RateLimitedLog
from weldhatch.placement_request import FieldError, PlacementForm
from weldhatch.platform.client_codec import ClientMessage
from weldhatch.platform.client_connection import SWEEP_INTERVAL_S, ClientConnection
from weldhatch.platform.client_request import ClientRequest
from weldhatch.platform.endpoint_list import machine_number
from weldhatch.platform.task_names import TaskNames
from weldhatch.scheduling.types import Settings

SHUTDOWN_RETRY_US = 1_000_000  # when to come back, for what reaches a dispatcher that shuts down
MAX_OPEN_REQUESTS = 64  # open requests of one connection; more are rejected, which harms none
IMMEDIATE_CANCEL_S = 0.02  # a request that is given up within this was taken back at once
MAX_CLIENT_HOSTS = 256  # hosts of clients that are remembered
MAX_CLOSED_AT_ONCE = 16  # connections closed at a time where no descriptor is left


class ClientFront:
    """All clients' connections, and the requests by tag: a running task belongs to no connection.

    Owns the connections, their tasks and the sweep that closes idle ones.
    """

    def __init__(
        self, settings: Settings, core: Core, share: DescriptorShare, log: Callable[[str], None]
    ) -> None:
        """Start the sweep; needs a running event loop."""
        self._core = core
        self._share = share
        self._log = RateLimitedLog(log)
        self._form = PlacementForm(settings, strict=True)
        self.connections: set[ClientConnection] = set()
        self._requests: dict[str, ClientRequest] = {}
        self._unsent_ends: list[bytes] = []  # ends of tasks that no connection was open for
        self._client_hosts: dict[str, None] = {}  # the one that asked the longest ago first
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep_task = asyncio.get_running_loop().create_task(self._sweep())
        self.shutting_down = False  # what comes now is rejected at once

    def reconfigure(self, settings: Settings) -> None:
        """Read requests by these settings from now on; classes keep their places."""
        self._form = PlacementForm(settings, strict=True)

    def accept(self, stream: IOStream, host: str) -> None:
        """Serve a connection that a client opened; the front owns the stream from now on."""
        client = ClientConnection(self, Connection(stream, self._share, f"owner {host}", self._log), host)
        self.connections.add(client)
        task = asyncio.get_running_loop().create_task(client.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._unsent_ends and host in self._client_hosts:
            self.flush(client)

    def closed(self, connection: ClientConnection) -> None:
        """Drop a connection that has ended."""
        self.connections.discard(connection)

    # ---- requests ------------------------------------------------------------------------------------------

    def start(self, connection: ClientConnection, message: ClientMessage) -> None:
        """Take up a request, or a task that a machine holds already.

        Raises:
            MalformedMessageError: a field can't be used, or the tag is in use.
        """
        task, holder = self._read_task(message)
        known = self._requests.get(message.tag)
        if known is not None:
            if not holder:
                raise MalformedMessageError(f"the tag {message.tag} is in use")
            return  # it names a task that is held here already
        request = self._requests[message.tag] = ClientRequest(self, connection, message.tag)
        connection.has_sent_request = True
        self._remember_host(connection.host)
        if self._unsent_ends:
            self.flush(connection)
        if holder:
            request.mark_running()
            request.attach_lifecycle(self._core.adopt(task, machine_number(holder), request))
        elif self.shutting_down or len(connection.open_requests) >= MAX_OPEN_REQUESTS:
            request.refused(SHUTDOWN_RETRY_US)
        else:
            connection.open_requests[message.tag] = request
            request.attach_lifecycle(self._core.arrive(task, request, connection.has_unread))

    def finish(self, connection: ClientConnection, message: ClientMessage) -> None:
        """End the running task of this tag, or give its request up.

        Raises:
            MalformedMessageError: the client takes back requests at once too often.
        """
        request = self._requests.get(message.tag)
        if request is None:
            return
        if request.is_running:
            request.end_task(message.cause if message.cause is not None else GIVEN_UP)
            return
        request.abandon()
        now = time.monotonic()
        if now - request.arrived_at < IMMEDIATE_CANCEL_S and connection.record_immediate_cancel(now):
            raise MalformedMessageError("it takes back what it asks for at once")

    def forget(self, tag: str) -> None:
        """Drop the request of this tag."""
        if request := self._requests.pop(tag, None):
            request.uncount_running()

    def _read_task(self, message: ClientMessage) -> tuple[ports.Task, str]:
        """Return what is asked, and the machine that holds the task already, or ''."""
        try:
            form = self._form.read(message.fields)
        except FieldError as error:
            raise MalformedMessageError(f"a set-up with an unusable field: {error}") from None
        names = TaskNames(
            bytes.fromhex(message.tag),
            form.class_name,
            form.name,
            form.idem,
            message.description or "",
        )
        task = ports.Task(
            message.tag,
            form.class_index,
            form.service,
            form.cores,
            form.memory,
            unix_us() + form.left_us,
            form.key,
            form.tenant,
            form.again,
            names,
        )
        return task, form.at

    # ---- ends of tasks -------------------------------------------------------------------------------------

    def relay(self, connection: ClientConnection, data: bytes) -> None:
        """Send the end of a task on its connection, on another of its client, or on the next one opened.

        Connections that never asked for a task come last: such a client may read nothing, and the end would
        be lost with it.
        """
        if connection.send(data):
            return
        candidates = [
            other for other in self.connections if not other.is_rejected and other.host in self._client_hosts
        ]
        candidates.sort(key=lambda other: (not other.has_sent_request, other.host != connection.host))
        for other in candidates:
            if other.send(data):
                return
        self._unsent_ends.append(data)

    def flush(self, connection: ClientConnection) -> None:
        """Send ends of tasks that no connection was open for."""
        unsent = self._unsent_ends
        self._unsent_ends = []
        for index, data in enumerate(unsent):
            if not connection.send(data):
                self._unsent_ends = unsent[index:] + self._unsent_ends
                return

    def _remember_host(self, host: str) -> None:
        """Remember where readable requests came from: that tells clients from those who only connect."""
        self._client_hosts.pop(host, None)
        self._client_hosts[host] = None
        if len(self._client_hosts) > MAX_CLIENT_HOSTS:
            del self._client_hosts[next(iter(self._client_hosts))]

    # ---- connections that cost more than they bring --------------------------------------------------------

    def free_descriptors(self) -> None:
        """Close the connections that lose least by it; called where no descriptor is left.

        Connections that send nothing, or ask once and stay, would keep all others out.
        """
        now = time.monotonic()
        costs = [
            (cost, index, client)
            for index, client in enumerate(self.connections)
            if (cost := client.cost_of_closing(now))
        ]
        for _, _, client in sorted(costs)[:MAX_CLOSED_AT_ONCE]:
            client.connection.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep(time.monotonic())

    def sweep(self, now: float) -> None:
        """Close what sends nothing, stops within a message, or has idled (`now` in monotonic seconds)."""
        for client in list(self.connections):
            if (reason := client.reason_to_close(now)) is not None:
                if reason:
                    self._log(f"{client.connection.name}: {reason}")
                client.connection.close()
        if self._share.held >= self._share.limit:
            self.free_descriptors()

    def close(self) -> None:
        """Stop the sweep and close all connections at once."""
        self._sweep_task.cancel()
        for client in list(self.connections):
            client.connection.close()

    async def finish_all(self, within_s: float) -> None:
        """Let what was sent leave, for `within_s` seconds at most, and close all connections."""
        await asyncio.gather(*(client.connection.finish(within_s) for client in list(self.connections)))
