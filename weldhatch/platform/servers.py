"""The links to all servers, and the platform's implementation of `ports.Site`."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable

from weldhatch.core import ports
from weldhatch.core.messages import Ended, GiveUpResult
from weldhatch.net.connection import Connection, connect
from weldhatch.net.descriptor_budget import DescriptorShare, NoDescriptorError
from weldhatch.platform import server_codec
from weldhatch.platform.endpoint_list import Server
from weldhatch.platform.health_check import HealthCheckSchedule
from weldhatch.platform.server_link import ServerLink
from weldhatch.platform.server_records import ProbeDone, TaskRecord
from weldhatch.platform.task_names import names_of
from weldhatch.platform.unmatched_tasks import UnmatchedTasks
from weldhatch.scheduling.types import MachineState, Outcome, Settings

WATCH_INTERVAL_S = 0.1
MAX_WATCH_DELAY_S = 0.3  # a later watch means that this process was stalled, not that servers were silent
# Draining and removed servers are checked sooner. Their tasks may end unreported some seconds before the
# process does, and a health check answered in between does not show it. That leaves little of the 8 s within
# which clients must be notified.
LEAVING_QUIET_LIMIT_S = 2.5
MAX_EVICTED_LINKS = 4  # idle links closed at a time to free descriptors for clients


def _ignore_machine(machine: int) -> None:
    """Do nothing."""


class Servers:
    """All links to servers; implements `ports.Site`. Owns the links and the task that watches them."""

    def __init__(
        self,
        settings: Settings,
        share: DescriptorShare,
        connect_timeout_s: float,
        probe_timeout_s: float,
        on_load_report: Callable[[int, tuple[float, ...]], None],
        log: Callable[[str], None],
    ) -> None:
        """Start the watch; `on_load_report` gets a machine's load report that does not answer a probe.

        `connect_timeout_s` and `probe_timeout_s` limit a connect and a probe.
        """
        self._report_fields = settings.report_fields
        self._share = share
        self.on_load_report = on_load_report
        # A health check is priced like a probe. If probes are allowed, it requests the load report as well,
        # which saves the policy a probe.
        self._report_requested = int(settings.may_probe and bool(settings.report_fields))
        self._connect_timeout_s = connect_timeout_s
        self._probe_timeout_s = probe_timeout_s
        self.log = log
        self.connection_lost: Callable[[int], None] = _ignore_machine  # called with the machine number
        self._links: dict[int, ServerLink] = {}
        self._unmatched = UnmatchedTasks(log)
        self._check_count = 0
        self._schedule = HealthCheckSchedule()
        self._watch_task = asyncio.get_running_loop().create_task(self._watch())

    # ---- the list ------------------------------------------------------------------------------------------

    def update(self, servers: list[Server]) -> None:
        """Apply changes of the list: a new server, address or restart, or a removal."""
        for server in servers:
            link = self._links.get(server.machine)
            if link is not None:
                self._update_link(link, server)
            elif server.state != MachineState.REMOVED:
                self._links[server.machine] = link = ServerLink(self, server)
                self._replace_others_at(server)
                if unlisted := self._unmatched.take_listed(server.machine):
                    link.records.running |= unlisted
                    link.open()

    def _update_link(self, link: ServerLink, server: Server) -> None:
        old = link.server
        link.server = server
        is_removed = server.state == MachineState.REMOVED
        link.is_replaced = link.is_replaced and is_removed
        self._replace_others_at(server)
        if server.endpoint != old.endpoint and not is_removed:
            link.drop_connection("has a new address")
        if server.boot_ms > old.boot_ms:
            link.lose_tasks("has started anew", server.boot_ms / 1000)
        if is_removed and link.records.running:
            link.check_alive()

    def _replace_others_at(self, server: Server) -> None:
        """Mark other servers at this address as replaced: their tasks have ended, and this one is new."""
        if server.state == MachineState.REMOVED:
            return
        for link in self._links.values():
            if link.server.endpoint == server.endpoint and link.server.machine != server.machine:
                link.replace()

    # ---- connections ---------------------------------------------------------------------------------------

    async def connect(self, server: Server) -> Connection:
        """Open a connection; if the budget is used up, evict a link for it.

        Raises:
            NoDescriptorError: the budget is used up, and something is open or unsent on each link.
            OSError: the connect is refused or fails.
            TimeoutError: the connect takes too long.
        """
        if not self._share.take() and not (self._evict_link() and self._share.take()):
            raise NoDescriptorError("no descriptor is left")
        return await connect(
            server.endpoint, self._connect_timeout_s, self._share, f"server {server.uid}", self.log
        )

    def evict_idle_links(self, max_count: int = MAX_EVICTED_LINKS) -> int:
        """Close idle links, the least recently used first; return how many.

        In a fleet larger than the budget, the links to the first servers would otherwise lock out all others.
        """
        now = time.monotonic()
        idle = [link for link in self._links.values() if link.is_idle(now)]
        for link in heapq.nsmallest(max_count, idle, key=lambda link: link.last_used):
            link.evict()
        return min(max_count, len(idle))

    def _evict_link(self) -> bool:
        """Close one link for another server's; return whether there was one.

        On a fast machine all links may have been used just now. Then the least recently used one is closed:
        without a descriptor, the request would be rejected.
        """
        if self.evict_idle_links(1):
            return True
        evictable = [link for link in self._links.values() if link.is_evictable]
        if evictable:
            min(evictable, key=lambda link: link.last_used).evict()
        return bool(evictable)

    async def _watch(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            now = time.monotonic()
            for machine, link in list(self._links.items()):
                if link.is_finished:  # no message is expected from the server
                    link.close()
                    del self._links[machine]
                elif now - last > WATCH_INTERVAL_S + MAX_WATCH_DELAY_S:
                    link.silence.reset_timers(now)
                else:
                    link.silence.watch(now)
            self._unmatched.expire_unlisted(time.time())
            self._unmatched.expire_unclaimed(now)
            last = now

    def close(self) -> None:
        """Stop the watch, and close all connections."""
        self._watch_task.cancel()
        for link in self._links.values():
            link.close()

    # ---- core.ports.Site -----------------------------------------------------------------------------------

    def offer(
        self,
        machine: int,
        task: ports.Task,
        attempt: int,
        wait_us: int,
        receiver: ports.Receiver,
        start_by_us: int = 0,
    ) -> None:
        """Send an offer, at once or when the connection is open."""
        link = self._links.get(machine)
        names = names_of(task)
        # The late answer to an abandoned attempt here has the same tag: it would be taken for this offer's.
        if link is None or link.is_replaced or link.records.may_answer_late(names.tag, receiver):
            receiver.deliver(Ended(attempt, Outcome.NOT_SENT))
            return
        link.records.in_flight[names.tag] = TaskRecord(attempt, receiver, 0.0, start_by_us)
        parameters = {
            server_codec.CLASS: names.class_name.encode(),
            server_codec.LEFT: str(max(1, wait_us // 1000)).encode(),
            server_codec.NAME: names.name.encode(),
        }
        if names.idem:
            parameters[server_codec.KEY] = names.idem.encode()
        parameters[server_codec.DESCRIPTION] = names.description.encode()
        link.send(names.tag, server_codec.encode(server_codec.SET_UP, names.tag, parameters))

    def adopt(self, machine: int, task: ports.Task, receiver: ports.Receiver) -> None:
        """Track a running task; a connection to its server is kept open to receive its end."""
        tag = names_of(task).tag
        link = self._links.get(machine)
        if ended := self._unmatched.claim_end(tag):
            receiver.deliver(ended)
        elif link is None:
            self._unmatched.keep_unlisted(machine, tag, TaskRecord(0, receiver, time.time()))
        elif link.is_replaced:
            receiver.deliver(Ended(0, Outcome.RESET))
        else:
            link.records.running[tag] = TaskRecord(0, receiver, time.time())
            link.open()

    def give_up(self, machine: int, task: ports.Task) -> GiveUpResult:
        """Withdraw an offer that has not been sent; otherwise ask the server to end it, answered or not."""
        link = self._links.get(machine)
        tag = names_of(task).tag
        if link is None:
            return GiveUpResult.GIVEN_UP
        records = link.records
        # A task whose offer was answered just now runs at the server, and is ended as well.
        if record := records.in_flight.pop(tag, None) or records.running.pop(tag, None):
            if records.withdraw(tag):
                return GiveUpResult.WITHDRAWN
            link.give_up(tag, record.receiver)
        return GiveUpResult.GIVEN_UP

    def release(self, machine: int, task: ports.Task, cause: int) -> None:
        """Ask the server to end a running task."""
        tag = names_of(task).tag
        parameters = {server_codec.CAUSE: bytes((cause & 255,))}
        self._request_end(machine, tag, server_codec.encode(server_codec.RELEASE, tag, parameters))

    def move(self, machine: int, task: ports.Task) -> None:
        """Ask the server to end a running task that is to run elsewhere."""
        tag = names_of(task).tag
        self._request_end(machine, tag, server_codec.encode(server_codec.MOVE, tag))

    def _request_end(self, machine: int, tag: bytes, end_request: bytes) -> None:
        """Send a release or migration request, unless the task has already ended on its machine.

        The request is recorded, since it may be lost with its connection: the next one repeats it.
        """
        link = self._links.get(machine)
        if link is not None and tag in link.records.running:
            link.records.running[tag].end_request = end_request
            link.send_end_request(end_request)
        elif record := self._unmatched.unlisted(machine, tag):
            record.end_request = end_request

    def probe(self, machine: int, done: ProbeDone) -> None:
        """Ask a machine for its load; `done` is called once."""
        link = self._links.get(machine)
        if link is None or link.is_replaced:
            done(Outcome.CONNECT_FAILED, ())
            return
        tag = self._next_check_tag()
        timer = asyncio.get_running_loop().call_later(self._probe_timeout_s, self._probe_timed_out, link, tag)
        link.records.probes[tag] = (done, timer)
        link.send(tag, server_codec.encode(server_codec.TEST, tag, {server_codec.CAUSE: b"\1"}))

    def _probe_timed_out(self, link: ServerLink, tag: bytes) -> None:
        done, _ = link.records.probes.pop(tag)
        link.records.withdraw(tag)
        done(Outcome.TIMEOUT, ())

    # ---- health checks -------------------------------------------------------------------------------------

    def check_health(self, link: ServerLink) -> None:
        """Send a health check: any answer shows that the server responds; its load report is processed."""
        message = self.health_check_message()
        link.send(message, message)

    def health_check_message(self) -> bytes:
        """Return a new health check as bytes."""
        parameters = {server_codec.CAUSE: bytes((self._report_requested,))}
        return server_codec.encode(server_codec.TEST, self._next_check_tag(), parameters)

    def _next_check_tag(self) -> bytes:
        self._check_count += 1
        return self._check_count.to_bytes(8, "big")

    # ---- LinkOwner -----------------------------------------------------------------------------------------

    def quiet_limit(self, server: Server, now: float) -> float:
        """Return for how many seconds a server with running tasks may be quiet."""
        limit = self._schedule.quiet_limit(now, server.zone, server.cell)
        return limit if server.state == MachineState.READY else min(LEAVING_QUIET_LIMIT_S, limit)

    def mark_unresponsive(self, server: Server) -> None:
        """Record that a server is silent and accepts no connection."""
        self._schedule.mark_unresponsive(time.monotonic(), server.zone, server.cell)

    def keep_unclaimed_end(self, tag: bytes, ended: Ended) -> None:
        """Keep the end of a task that no client has reported yet."""
        self._unmatched.keep_end(tag, ended)

    def read_report(self, message: server_codec.Message) -> tuple[float, ...]:
        """Return the load report of a message in the order of the settings, or () if a field is missing.

        Raises:
            MalformedMessageError: a figure is not a finite number.
        """
        return message.report(self._report_fields)
