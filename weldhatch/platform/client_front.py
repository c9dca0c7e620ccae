"""The client side of the platform's protocol: receives requests, sends answers and ends of tasks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_FINISHED
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

SHUTDOWN_RETRY_US = 1_000_000  # retry time for requests that reach a dispatcher during its shutdown
MAX_OPEN_REQUESTS = 64  # of one connection; further requests are rejected, which is harmless
IMMEDIATE_CANCEL_S = 0.02  # a request cancelled within this time counts as cancelled at once
MAX_CLIENT_HOSTS = 256  # client hosts that are remembered
MAX_CLOSED_AT_ONCE = 16  # connections closed at a time when no descriptor is left


class ClientFront:
    """All client connections, and the requests by tag; a running task is not bound to a connection.

    Owns the connections, their asyncio tasks, and the sweep that closes idle connections.
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
        self._unsent_ends: list[bytes] = []  # notifications of ended tasks for which no connection was open
        self._client_hosts: dict[str, None] = {}  # ordered by the last request, oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep_task = asyncio.get_running_loop().create_task(self._sweep())
        self.shutting_down = False  # new requests are rejected at once

    def reconfigure(self, settings: Settings) -> None:
        """Read requests by these settings from now on; the indices of the classes stay the same."""
        self._form = PlacementForm(settings, strict=True)

    def accept(self, stream: IOStream, host: str) -> None:
        """Serve a connection that a client has opened; takes ownership of the stream."""
        client = ClientConnection(self, Connection(stream, self._share, f"owner {host}", self._log), host)
        self.connections.add(client)
        task = asyncio.get_running_loop().create_task(client.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._unsent_ends and host in self._client_hosts:
            self.flush(client)

    def closed(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)

    # ---- requests ------------------------------------------------------------------------------------------

    def start(self, connection: ClientConnection, message: ClientMessage) -> None:
        """Start a request, or adopt a task that runs on a machine already.

        Raises:
            MalformedMessageError: a field is invalid, or the tag is in use.
        """
        task, holder = self._read_task(message)
        known = self._requests.get(message.tag)
        if known is not None:
            if not holder:
                raise MalformedMessageError(f"the tag {message.tag} is in use")
            return  # the task has already been adopted
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
        """End the running task of this tag, or cancel its request.

        Raises:
            MalformedMessageError: the client has cancelled too many requests at once.
        """
        request = self._requests.get(message.tag)
        if request is None:
            return
        if request.is_running:
            request.end_task(message.cause if message.cause is not None else CAUSE_FINISHED)
            return
        request.abandon()
        now = time.monotonic()
        if now - request.arrived_at < IMMEDIATE_CANCEL_S and connection.record_immediate_cancel(now):
            raise MalformedMessageError("too many requests cancelled right after they were sent")

    def forget(self, tag: str) -> None:
        """Remove the request of this tag."""
        if request := self._requests.pop(tag, None):
            request.uncount_running()

    def _read_task(self, message: ClientMessage) -> tuple[ports.Task, str]:
        """Return the task, and the uid of the machine where it runs already ('' if it is to be placed)."""
        try:
            form = self._form.read(message.fields)
        except FieldError as error:
            raise MalformedMessageError(f"request with an invalid field: {error}") from None
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
        """Send the end of a task on its connection, else on another client connection, else on the next one.

        Only connections from known client hosts are used. Those that never sent a request come last: their
        clients may read nothing, and the notification would be lost.
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
        """Send the queued notifications of ended tasks on this connection."""
        unsent = self._unsent_ends
        self._unsent_ends = []
        for index, data in enumerate(unsent):
            if not connection.send(data):
                self._unsent_ends = unsent[index:] + self._unsent_ends
                return

    def _remember_host(self, host: str) -> None:
        """Remember the host of a valid request, to distinguish clients from peers that only connect."""
        self._client_hosts.pop(host, None)
        self._client_hosts[host] = None
        if len(self._client_hosts) > MAX_CLIENT_HOSTS:
            del self._client_hosts[next(iter(self._client_hosts))]

    # ---- eviction of idle connections ----------------------------------------------------------------------

    def free_descriptors(self) -> None:
        """Close the connections with the lowest eviction rank; called when no descriptor is left.

        Connections that send nothing, or stay open after one request, would otherwise lock out new clients.
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
        """Close connections that are silent, stalled within a message, or idle (`now`: monotonic seconds)."""
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
        """Write what is queued, for at most `within_s` seconds, and close all connections."""
        await asyncio.gather(*(client.connection.finish(within_s) for client in list(self.connections)))
