"""The servers: one link each, the list of them, and the platform's side of `ports.Site`."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from weldhatch.core import ports
from weldhatch.core.messages import Ended, GiveUpResult
from weldhatch.net.connection import Connection, connect
from weldhatch.net.descriptor_budget import DescriptorShare, NoDescriptorError
from weldhatch.platform import server_codec
from weldhatch.platform.endpoint_list import Server
from weldhatch.platform.health_check import HealthCheckSchedule
from weldhatch.platform.server_link import ServerLink
from weldhatch.platform.server_records import TaskRecord
from weldhatch.scheduling.types import MachineState, Outcome, Settings

WATCH_S = 0.1
STALL_S = 0.3  # a watch that comes so late tells of us, not of the servers
# A server that drains or is gone is tested sooner. Its tasks may end without a word some seconds before its
# process does, and a test that is answered in between shows nothing: little is left of the 8 s until their
# owners must have heard.
LEAVING_QUIET_S = 2.5
UNCLAIMED_MOST, UNCLAIMED_S = 4096, 10.0  # releases of tasks that no owner has named yet, and how long
ROOM_MOST = 4  # idle links closed at a time where clients want descriptors
UNLISTED_S = 6.0  # a task on a machine that is not listed by then is lost; its owner must hear within 8 s


@dataclass(slots=True)
class TaskNames:
    """What a platform task is called on the wire, passed on as it came."""

    tag: bytes
    class_name: str
    name: str
    idem: str
    description: str


def _names(task: ports.Task) -> TaskNames:
    """Return what the client front has passed on with the task."""
    return cast(TaskNames, task.passed_on)


class Servers:
    """All links: the platform's side of `ports.Site`."""

    def __init__(
        self,
        settings: Settings,
        share: DescriptorShare,
        dial_s: float,
        probe_s: float,
        reported: Callable[[int, tuple[float, ...]], None],
        log: Callable[[str], None],
    ) -> None:
        """`reported` hears what a machine says of its load when no probe asked it."""
        self._fields, self._share, self.reported = settings.report_fields, share, reported
        # Guards against paying twice: a test is priced as a probe is, so where probes are allowed it asks
        # for the report that the module would otherwise probe for.
        self._asks = int(settings.may_probe and bool(settings.report_fields))
        self._dial_s, self._probe_s, self.log = dial_s, probe_s, log
        self.connection_lost: Callable[[int], None] = (
            lambda machine: None
        )  # hears that a machine's connection ended
        self._links: dict[int, ServerLink] = {}
        self._unclaimed: dict[bytes, tuple[float, Ended]] = {}  # the oldest first
        self._unlisted: dict[
            int, dict[bytes, TaskRecord]
        ] = {}  # tasks on machines that no list has named yet
        self._tests, self._schedule = 0, HealthCheckSchedule()
        self._watching = asyncio.get_running_loop().create_task(self._watch())

    # ---- the list ------------------------------------------------------------------------------------------

    def update(self, servers: list[Server]) -> None:
        """News of machines: of a new address, a new start, or the end."""
        for server in servers:
            link = self._links.get(server.machine)
            if link is None:
                if server.state != MachineState.REMOVED:
                    self._links[server.machine] = link = ServerLink(self, server)
                    self._passed_on(server)
                    if unlisted := self._unlisted.pop(server.machine, None):
                        link.records.running |= unlisted
                        link.open()
                continue
            old, link.server = link.server, server
            link.is_replaced = link.is_replaced and server.state == MachineState.REMOVED
            self._passed_on(server)
            if server.endpoint != old.endpoint and server.state != MachineState.REMOVED:
                link.drop("has a new address")
            if server.boot_ms > old.boot_ms:
                link.lose("has started anew", server.boot_ms / 1000)
            if server.state == MachineState.REMOVED and link.records.running:
                self._ask_whether_alive(link)

    def _passed_on(self, server: Server) -> None:
        """Guards against a new server taken for the one that had its address: those tasks are over."""
        if server.state == MachineState.REMOVED:
            return
        for link in self._links.values():
            if link.server.endpoint == server.endpoint and link.server.machine != server.machine:
                link.replace()

    async def connect(self, server: Server) -> Connection:
        if not self._share.take() and not (self.make_room(1) and self._share.take()):
            raise NoDescriptorError("no descriptor is left")
        return await connect(server.endpoint, self._dial_s, self._share, f"server {server.uid}", self.log)

    def make_room(self, most: int = ROOM_MOST) -> int:
        """Close idle links, the least lately used first; how many.

        Guards against a fleet larger than the budget: the servers asked first would shut out all others.
        """
        now = time.monotonic()
        idle = [link for link in self._links.values() if link.is_idle(now)]
        for link in heapq.nsmallest(most, idle, key=lambda link: link.last_used):
            link.make_room()
        return min(most, len(idle))

    async def _watch(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(WATCH_S)
            now = time.monotonic()
            for machine, link in list(self._links.items()):
                if link.is_over:  # it has told all it had to tell
                    link.close()
                    del self._links[machine]
                elif now - last > WATCH_S + STALL_S:
                    link.silence.excuse(now)
                else:
                    link.silence.watch(now)
            self._give_up_unlisted(time.time())
            for tag, (came, _) in list(self._unclaimed.items()):
                if now - came < UNCLAIMED_S:
                    break
                del self._unclaimed[tag]
            last = now

    def _give_up_unlisted(self, now: float) -> None:
        """Tasks whose machine no list has named in time are lost."""
        for machine, unlisted in list(self._unlisted.items()):
            for tag, record in list(unlisted.items()):
                if now - record.since > UNLISTED_S:
                    del unlisted[tag]
                    self.log(f"a task on machine {machine}, which no list has named")
                    record.receiver.deliver(Ended(0, Outcome.RESET))
            if not unlisted:
                del self._unlisted[machine]

    def close(self) -> None:
        self._watching.cancel()
        for link in self._links.values():
            link.close()

    # ---- what the core asks for ----------------------------------------------------------------------------

    def offer(
        self,
        machine: int,
        task: ports.Task,
        attempt: int,
        wait_us: int,
        receiver: ports.Receiver,
        start_by_us: int = 0,
    ) -> None:
        link, names = self._links.get(machine), _names(task)
        # Guards against the late answer to an attempt that was given up there: it has the same tag as ours.
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
        """Its end comes on any open connection, or on the next one: one is kept open for it."""
        tag, link = _names(task).tag, self._links.get(machine)
        if ended := self._unclaimed.pop(tag, None):
            receiver.deliver(ended[1])
        elif link is None:
            # Guards against tasks told as cut at a start: owners name them before the list is up to date.
            self._unlisted.setdefault(machine, {})[tag] = TaskRecord(0, receiver, time.time())
        elif link.is_replaced:
            receiver.deliver(Ended(0, Outcome.RESET))
        else:
            link.records.running[tag] = TaskRecord(0, receiver, time.time())
            link.open()

    def give_up(self, machine: int, task: ports.Task) -> GiveUpResult:
        link, tag = self._links.get(machine), _names(task).tag
        if link is None:
            return GiveUpResult.GIVEN_UP
        # What was answered in the same moment stands there by now, and is ended as well.
        if record := link.records.in_flight.pop(tag, None) or link.records.running.pop(tag, None):
            if link.records.withdraw(tag):
                return GiveUpResult.WITHDRAWN
            link.give_up(tag, record.receiver)
        return GiveUpResult.GIVEN_UP

    def release(self, machine: int, task: ports.Task, cause: int) -> None:
        self._end(
            machine,
            task,
            server_codec.encode(
                server_codec.RELEASE, _names(task).tag, {server_codec.CAUSE: bytes((cause & 255,))}
            ),
        )

    def move(self, machine: int, task: ports.Task) -> None:
        self._end(machine, task, server_codec.encode(server_codec.MOVE, _names(task).tag))

    def _end(self, machine: int, task: ports.Task, end_request: bytes) -> None:
        """How a task that stands is to end; where its machine holds it no more, its end is under way.

        Guards against a word that is lost with its connection: the next one says it again.
        """
        tag = _names(task).tag
        link = self._links.get(machine)
        if link is not None and tag in link.records.running:
            link.records.running[tag].end_request = end_request
            link.send_end_request(end_request)
        elif tag in (unlisted := self._unlisted.get(machine, {})):
            unlisted[tag].end_request = end_request

    def probe(self, machine: int, done: Callable[[Outcome, tuple[float, ...]], None]) -> None:
        link = self._links.get(machine)
        if link is None or link.is_replaced:
            done(Outcome.CONNECT_FAILED, ())
            return
        tag = self._check_tag()
        timer = asyncio.get_running_loop().call_later(self._probe_s, self._probe_late, link, tag)
        link.records.probes[tag] = (done, timer)
        link.send(tag, server_codec.encode(server_codec.TEST, tag, {server_codec.CAUSE: b"\1"}))

    def _probe_late(self, link: ServerLink, tag: bytes) -> None:
        done, _ = link.records.probes.pop(tag)
        link.records.withdraw(tag)
        done(Outcome.TIMEOUT, ())

    def _ask_whether_alive(self, link: ServerLink) -> None:
        """Find out by a connect or a write whether the process of a server gone from the list still runs.

        Guards against a process that ended and whose reset never came: its connection looks open.
        """
        if link.is_connected:
            self.check_health(link)
        else:
            link.open()

    def check_health(self, link: ServerLink) -> None:
        """A test that nobody waits for: any answer shows life, and its report is passed on."""
        message = self.health_check_message()
        link.send(message, message)

    def health_check_message(self) -> bytes:
        return server_codec.encode(
            server_codec.TEST, self._check_tag(), {server_codec.CAUSE: bytes((self._asks,))}
        )

    def _check_tag(self) -> bytes:
        self._tests += 1
        return self._tests.to_bytes(8, "big")

    # ---- what links ask for --------------------------------------------------------------------------------

    def quiet_limit(self, server: Server, now: float) -> float:
        """Seconds for which a server with tasks of ours may be quiet."""
        if server.state != MachineState.READY:
            return min(LEAVING_QUIET_S, self._schedule.quiet_limit(now, server.zone, server.cell))
        return self._schedule.quiet_limit(now, server.zone, server.cell)

    def mark_vanished(self, server: Server) -> None:
        self._schedule.vanished(time.monotonic(), server.zone, server.cell)

    def unclaimed(self, tag: bytes, ended: Ended) -> None:
        """Guards against a race after a restart: the release may come before the owner names the task."""
        self._unclaimed[tag] = (time.monotonic(), ended)
        if len(self._unclaimed) > UNCLAIMED_MOST:
            del self._unclaimed[next(iter(self._unclaimed))]

    def report(self, message: server_codec.Message) -> tuple[float, ...]:
        text = message.text(server_codec.REPORT)
        if not text:
            return ()
        values = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
        if not all(name in values for name in self._fields):
            return ()
        return tuple(server_codec.number(values[name]) for name in self._fields)
