"""The servers: one link a machine, which carries its set-ups, probes, standing tasks and releases."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass

from weldhatch import interface as i
from weldhatch.core import ports
from weldhatch.core.driver import unix_us
from weldhatch.net.budget import NoDescriptor, Share
from weldhatch.net.connection import Connection, Malformed, connect
from weldhatch.platform import binary as b
from weldhatch.platform.fleet import Server
from weldhatch.platform.health_check import SUSPECT_QUIET_S, HealthCheckSchedule

SILENT_S = 0.5  # one that leaves a message unanswered, and says nothing, for so long is tried
WATCH_S = 0.1
HALF_S = 0.4  # one that stops within a message for so long has lost its step
STALL_S = 0.3  # a watch that comes so late tells of us, not of the servers
# A server that drains or is gone is tested sooner. Its tasks may end without a word some seconds before its
# process does, and a test that is answered in between shows nothing: little is left of the 8 s until their
# owners must have heard.
LEAVING_QUIET_S = 2.0
LOST_TRIES = 2  # connects that never come up beside a silent connection: the machine has vanished
LOST_S = 2.0  # no connection has come up for so long: the machine has vanished; one may take 1 s
RECONNECT_S = 0.02  # after a connection that ended
REDIAL_S = 0.1  # between two connects that fail
EXCUSES_MOST = 4  # connects that do come up while the old connection stays silent: it is given up
UNCLAIMED_MOST, UNCLAIMED_S = 4096, 10.0  # releases of tasks that no owner has named yet, and how long
LATE_ANSWER_S = 5.0  # so long after it was given up, a set-up may still be answered
UNLISTED_S = 6.0  # a task on a machine that is not listed by then is lost; its owner must hear within 8 s
BEFORE = {34: i.Outcome.FULL, 47: i.Outcome.ERROR, 102: i.Outcome.NOT_SENT}  # any other: a reset
AFTER = {16: i.Outcome.OK, 31: i.Outcome.CANCELLED}
TOPICS = {"runs": 1, "cores": 2, "memory": 3, "served": 4, "pressure": 5}
REASONS = {
    "no_cores": 1,
    "no_memory": 2,
    "queue_full": 3,
    "not_here": 4,
    "evicted": 5,
    "pushed_out": 6,
    "sent_away": 7,
}


@dataclass(slots=True)
class Names:
    """What a platform task is called on the wire, passed on as it came."""

    tag: bytes
    class_name: str
    name: str
    idem: str
    description: str


@dataclass(slots=True)
class Held:
    """A set-up that is out, or a task that stands."""

    attempt: int
    teller: ports.Teller
    since: float
    start_by_us: int = 0  # a set-up that has not left by then must not; 0 for any time
    last_word: bytes = b""  # the release or the move of a task that stands: said again until its end is heard


class Link:
    """The one connection to a machine. It owns what is out there and what stands there."""

    def __init__(self, servers: Servers, server: Server) -> None:
        self._servers, self.server = servers, server
        self._up: Connection | None = None
        self._connecting: asyncio.Task | None = None
        self._pending: dict[object, bytes] = {}  # what waits for the connection, by tag or probe
        self.out: dict[bytes, Held] = {}
        self.standing: dict[bytes, Held] = {}
        self.probes: dict[bytes, tuple[Callable, asyncio.TimerHandle]] = {}
        self._given_up: dict[
            bytes, tuple[float, ports.Teller]
        ] = {}  # may still be answered; the oldest first
        self._asked = 0.0  # when the first message since the last sign of life went out
        self._trial: asyncio.Task | None = None
        self._spare: Connection | None = None  # the second connection that a trial has made
        self._reading: asyncio.Task | None = None
        self._excuses = 0
        self.replaced = False  # another server has the address: nothing goes there under this uid

    def send(self, name: object, data: bytes) -> None:
        if self.connected:
            if not self._asked or self._up.heard > self._asked:
                self._asked = time.monotonic()
            self._up.send(data)
        else:
            self._pending[name] = data
            self.open()

    def give_up(self, tag: bytes, teller: ports.Teller) -> None:
        """Tell the machine that nobody waits for that set-up any more; its answer may be on its way."""
        now = time.monotonic()
        while self._given_up and now - next(iter(self._given_up.values()))[0] > LATE_ANSWER_S:
            del self._given_up[next(iter(self._given_up))]
        self._given_up.pop(tag, None)
        self._given_up[tag] = (now, teller)
        self.send((tag, "up"), b.encode(b.RELEASE, tag, {b.CAUSE: bytes((ports.GIVEN_UP,))}))

    def may_answer_late(self, tag: bytes, teller: ports.Teller) -> bool:
        """Whether an earlier attempt of that request here was given up, and has not been heard of since."""
        now = time.monotonic()
        given_up_at, given_up_by = self._given_up.get(tag, (0.0, None))
        return given_up_by is teller and now - given_up_at <= LATE_ANSWER_S

    def say_last_word(self, data: bytes) -> None:
        """How a task that stands is to end. What can't leave now is said by the next connection."""
        if self.connected:
            self.send(None, data)
        else:
            self.open()

    def open(self) -> None:
        if self._connecting is None and not self.connected:
            self._connecting = asyncio.get_running_loop().create_task(self._live())

    @property
    def connected(self) -> bool:
        return self._up is not None and not self._up.closed

    @property
    def idle(self) -> bool:
        """Whether nothing is out, stands or waits there, so that its connection may be closed."""
        return not (self.out or self.standing or self.probes or self._pending)

    @property
    def heard(self) -> float:
        """When the machine last said something on the connection that is up; 0 without one."""
        return self._up.heard if self.connected else 0.0

    def unsent(self, name: object) -> bool:
        """Take back what still waits for the connection; whether it did."""
        return self._pending.pop(name, None) is not None

    async def _live(self) -> None:
        """Connect, speak until the connection ends, and settle what was open on it.

        A machine that still holds tasks of ours is connected to again, to hear how they end.
        """
        failing_since = 0.0
        try:
            while True:
                pause = REDIAL_S
                try:
                    self._up = await self._dial()
                except NoDescriptor:
                    self._not_sent(i.Outcome.FULL)
                except (OSError, TimeoutError) as error:
                    failing_since = failing_since or time.monotonic()
                    self._never_up()
                    self._lose_if_ended(error, failing_since)
                else:
                    failing_since, pause = 0.0, RECONNECT_S
                    self._send_what_waited(self._up)
                    try:
                        await self._up.pump(b.parse, self._handle)
                    finally:
                        self._broken()
                if not (self.standing or self._pending):
                    return
                await asyncio.sleep(pause)
        finally:
            if self._connecting is asyncio.current_task():
                self._connecting = None

    def _lose_if_ended(self, error: Exception, failing_since: float) -> None:
        """Whether connects that fail show the end of the process, and so of the tasks that stood there.

        A connection that came up and was reset shows none; one that comes up late may do so the next time.
        """
        if not self.standing:
            return
        if isinstance(error, ConnectionRefusedError):
            self.lose("refuses connections")
        elif time.monotonic() - failing_since >= LOST_S:
            self._servers.vanished(self.server)
            self.lose("is silent")

    async def _dial(self) -> Connection:
        """A connection to the address that the list names at the moment it comes up."""
        while True:
            endpoint = self.server.endpoint
            connection = await self._servers.connect(self.server)
            if self.server.endpoint == endpoint:
                return connection
            connection.abort()

    def _send_what_waited(self, connection: Connection) -> None:
        """First how tasks that stand are to end, said again; then what may still leave."""
        self._given_up.clear()
        last_words = [held.last_word for held in self.standing.values() if held.last_word]
        now = unix_us()
        for tag in [tag for tag, held in self.out.items() if tag in self._pending]:
            held = self.out[tag]
            if held.start_by_us and now > held.start_by_us:
                del self.out[tag], self._pending[tag]
                held.teller.tell(ports.Ended(held.attempt, i.Outcome.NOT_SENT))
        pending, self._pending = self._pending, {}
        data = b"".join((*last_words, *pending.values()))
        self._asked = time.monotonic() if data else 0.0
        if data:
            connection.send(data)

    def drop(self, why: str) -> None:
        """End the connection. What it has not taken yet never reaches it: set-ups are told as ended here."""
        if self._up is not None and not self._up.closed:
            self._servers.log(f"server {self.server.uid}: {why}")
            self._up.abort()

    def _never_up(self) -> None:
        """No connection: what waited for it never ran."""
        self._pending.clear()
        self._end_open(i.Outcome.CONNECT_FAILED)

    def _not_sent(self, probed: i.Outcome) -> None:
        """Nothing that waited has left, and that tells nothing of the machine."""
        self._pending.clear()
        self._end_open(i.Outcome.NOT_SENT, probed)

    def _broken(self) -> None:
        """The connection ended: what was out on it may have run."""
        self._up = None
        self._servers.broke(self.server.machine)
        self._end_open(i.Outcome.RESET)

    def _end_open(self, outcome: i.Outcome, probed: i.Outcome | None = None) -> None:
        """End all but what was asked for since the connection closed: that still waits for the next one.

        Guards against a set-up that is told as ended here and goes out there all the same.
        """
        for tag in [tag for tag in self.out if tag not in self._pending]:
            held = self.out.pop(tag)
            held.teller.tell(ports.Ended(held.attempt, outcome))
        for tag in [tag for tag in self.probes if tag not in self._pending]:
            done, timer = self.probes.pop(tag)
            timer.cancel()
            done(probed or outcome, ())

    def replace(self) -> None:
        """Another server has the address now: all that was meant for this one is over."""
        self.replaced = True
        self.lose("has lost its address")
        self._end_open(i.Outcome.RESET)
        self._never_up()
        self.close()

    @property
    def over(self) -> bool:
        """Whether the machine is gone and nothing is left to hear of it."""
        return self.server.state == i.MachineState.GONE and self.idle

    def lose(self, why: str, before: float = float("inf")) -> None:
        """The tasks that stood there are cut: those that stood before that moment."""
        cut = {tag: held for tag, held in self.standing.items() if held.since < before}
        if cut:
            self._servers.log(f"server {self.server.uid}: {why}; {len(cut)} tasks are lost")
        for tag, held in cut.items():
            del self.standing[tag]
            held.teller.tell(ports.Ended(held.attempt, i.Outcome.RESET, cause=ports.CUT))

    def excuse(self, now: float) -> None:
        """Guards against our own stalls: what a server said during one is not read yet."""
        if self._asked:
            self._asked = now
        if self._up is not None and self._up.owed_since:
            self._up.owed_since = now

    def watch(self, now: float) -> None:
        """Guards against a machine that vanished: it gives no sign, so its silence must be noticed."""
        up = self._up
        if up is None or up.closed:
            return
        if up.owed_since and now - up.owed_since > HALF_S:
            self.drop("stops within a message")
            return
        if self._asked and self._asked >= up.heard:
            if now - self._asked > SILENT_S and self._trial is None:
                self._trial = asyncio.get_running_loop().create_task(self._try(up))
            return
        self._excuses = 0
        quiet = now - up.heard
        if quiet > SUSPECT_QUIET_S and self.standing and quiet > self._servers.quiet_limit(self.server, now):
            self._servers.test(self)

    async def _try(self, up: Connection) -> None:
        """Whether a silent machine is busy or has vanished: a busy one still takes a new connection.

        That one is kept and read. Guards against releases that are lost with it: a server may send them on
        any connection that is open.
        """
        why = "is silent, and no connection comes up"
        try:
            for _ in range(LOST_TRIES):
                try:
                    if self._spare is None or self._spare.closed:
                        self._spare = await self._dial()
                        self._reading = asyncio.get_running_loop().create_task(
                            self._spare.pump(b.parse, self._handle)
                        )
                    else:  # a machine that has vanished leaves this open too: it must say something
                        heard = self._spare.heard
                        self._spare.send(self._servers.test_message())
                        await asyncio.sleep(SILENT_S)
                        if self._spare.closed or self._spare.heard == heard:
                            self._spare.close()
                            continue
                except NoDescriptor:
                    self._asked = time.monotonic()
                    return
                except ConnectionRefusedError:
                    why = "is silent and refuses connections"
                    break
                except (OSError, TimeoutError):
                    continue
                if self._up is not up:
                    return
                self._excuses += 1
                if self._excuses > EXCUSES_MOST:
                    self.drop("takes connections and stays silent on this one")
                self._asked = time.monotonic()
                return
            if self._up is up and up.heard <= self._asked:
                self._servers.vanished(self.server)
                self.drop(why)
                self.lose(why)
        finally:
            self._trial = None

    def close(self) -> None:
        if self._trial is not None:
            self._trial.cancel()
        if self._spare is not None:
            self._spare.close()
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._up is not None:
            self._up.close()

    # ---- what a server says --------------------------------------------------------------------------------

    def _handle(self, message: b.Message) -> None:
        match message.type:
            case b.ANSWER:
                # All of a message is read before anything is taken from it: what can't be read ends the
                # connection, and then each set-up open on it must still be there to get its end.
                description = message.description
                self._given_up.pop(message.tag, None)
                if held := self.out.pop(message.tag, None):
                    self.standing[message.tag] = held
                    held.since = time.time()
                    held.teller.tell(ports.Answered(held.attempt, description))
            case b.RELEASE:
                self._release(message)
            case b.NOTE:
                held = self.standing.get(message.tag) or self.out.get(message.tag)
                topic = TOPICS.get(message.text(b.TOPIC))
                if held is not None and topic is not None:
                    held.teller.tell(ports.Noted(held.attempt, topic, _number(message.text(b.FIGURE))))
            case b.TESTED:
                report, passed = self._servers.report(message), message.cause == 1
                if probe := self.probes.pop(message.tag, None):
                    done, timer = probe
                    timer.cancel()
                    done(i.Outcome.OK if passed else i.Outcome.FULL, report)
                elif passed and report:
                    self._servers.reported(self.server.machine, report)
            case b.TEST:
                self.send(message.tag, b.encode(b.TESTED, message.tag, {b.CAUSE: b"\1"}))
            case b.PROGRESS | b.RELEASE_HEARD:
                pass
            case _:
                raise Malformed(f"a message of type {message.type}, which no server sends")

    def _release(self, message: b.Message) -> None:
        cause, reason = message.cause, REASONS.get(message.text(b.TOPIC), 0)
        report = self._servers.report(message)
        self._given_up.pop(message.tag, None)
        if held := self.out.pop(message.tag, None):
            outcome = BEFORE.get(cause, i.Outcome.RESET)
            held.teller.tell(ports.Ended(held.attempt, outcome, reason, report, cause))
        elif held := self.standing.pop(message.tag, None):
            outcome = AFTER.get(cause, i.Outcome.RESET)
            held.teller.tell(ports.Ended(held.attempt, outcome, reason, report, cause))
        else:
            self._servers.unclaimed(
                message.tag, ports.Ended(0, AFTER.get(cause, i.Outcome.RESET), reason, report, cause)
            )


class Servers:
    """All links: the platform's side of `ports.Site`."""

    def __init__(
        self,
        settings: i.Settings,
        share: Share,
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
        self.broke: Callable[[int], None] = lambda machine: None  # hears that a machine's connection ended
        self._links: dict[int, Link] = {}
        self._unclaimed: dict[bytes, tuple[float, ports.Ended]] = {}  # the oldest first
        self._unlisted: dict[int, dict[bytes, Held]] = {}  # tasks on machines that no list has named yet
        self._tests, self._schedule = 0, HealthCheckSchedule()
        self._watching = asyncio.get_running_loop().create_task(self._watch())

    # ---- the list ------------------------------------------------------------------------------------------

    def changed(self, servers: list[Server]) -> None:
        """News of machines: of a new address, a new start, or the end."""
        for server in servers:
            link = self._links.get(server.machine)
            if link is None:
                if server.state != i.MachineState.GONE:
                    self._links[server.machine] = link = Link(self, server)
                    self._passed_on(server)
                    if unlisted := self._unlisted.pop(server.machine, None):
                        link.standing |= unlisted
                        link.open()
                continue
            old, link.server = link.server, server
            link.replaced = link.replaced and server.state == i.MachineState.GONE
            self._passed_on(server)
            if server.endpoint != old.endpoint and server.state != i.MachineState.GONE:
                link.drop("has a new address")
            if server.boot_ms > old.boot_ms:
                link.lose("has started anew", server.boot_ms / 1000)
            if server.state == i.MachineState.GONE and link.standing:
                self._ask_whether_alive(link)

    def _passed_on(self, server: Server) -> None:
        """Guards against a new server taken for the one that had its address: those tasks are over."""
        if server.state == i.MachineState.GONE:
            return
        for link in self._links.values():
            if link.server.endpoint == server.endpoint and link.server.machine != server.machine:
                link.replace()

    async def connect(self, server: Server) -> Connection:
        if not self._share.take() and not (self._close_one_idle() and self._share.take()):
            raise NoDescriptor("no descriptor is left")
        return await connect(server.endpoint, self._dial_s, self._share, f"server {server.uid}", self.log)

    def _close_one_idle(self) -> bool:
        """Close the idle connection that has been quiet for longest; whether there was one.

        Guards against a fleet larger than the descriptors: servers would keep them for as long as they like.
        """
        idle = [link for link in self._links.values() if link.connected and link.idle]
        if not idle:
            return False
        min(idle, key=lambda link: link.heard).close()
        return True

    async def _watch(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(WATCH_S)
            now = time.monotonic()
            for machine, link in list(self._links.items()):
                if link.over:  # it has told all it had to tell
                    link.close()
                    del self._links[machine]
                elif now - last > WATCH_S + STALL_S:
                    link.excuse(now)
                else:
                    link.watch(now)
            self._give_up_unlisted(time.time())
            for tag, (came, _) in list(self._unclaimed.items()):
                if now - came < UNCLAIMED_S:
                    break
                del self._unclaimed[tag]
            last = now

    def _give_up_unlisted(self, now: float) -> None:
        """Tasks whose machine no list has named in time are lost."""
        for machine, unlisted in list(self._unlisted.items()):
            for tag, held in list(unlisted.items()):
                if now - held.since > UNLISTED_S:
                    del unlisted[tag]
                    self.log(f"a task on machine {machine}, which no list has named")
                    held.teller.tell(ports.Ended(0, i.Outcome.RESET))
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
        teller: ports.Teller,
        start_by_us: int = 0,
    ) -> None:
        link, names = self._links.get(machine), task.passed_on
        # Guards against the late answer to an attempt that was given up there: it has the same tag as ours.
        if link is None or link.replaced or link.may_answer_late(names.tag, teller):
            teller.tell(ports.Ended(attempt, i.Outcome.NOT_SENT))
            return
        link.out[names.tag] = Held(attempt, teller, 0.0, start_by_us)
        parameters = {
            b.CLASS: names.class_name.encode(),
            b.LEFT: str(max(1, wait_us // 1000)).encode(),
            b.NAME: names.name.encode(),
        }
        if names.idem:
            parameters[b.KEY] = names.idem.encode()
        parameters[b.DESCRIPTION] = names.description.encode()
        link.send(names.tag, b.encode(b.SET_UP, names.tag, parameters))

    def adopt(self, machine: int, task: ports.Task, teller: ports.Teller) -> None:
        """Its end comes on any open connection, or on the next one: one is kept open for it."""
        tag, link = task.passed_on.tag, self._links.get(machine)
        if ended := self._unclaimed.pop(tag, None):
            teller.tell(ended[1])
        elif link is None:
            # Guards against tasks told as cut at a start: owners name them before the list is up to date.
            self._unlisted.setdefault(machine, {})[tag] = Held(0, teller, time.time())
        elif link.replaced:
            teller.tell(ports.Ended(0, i.Outcome.RESET))
        else:
            link.standing[tag] = Held(0, teller, time.time())
            link.open()

    def give_up(self, machine: int, task: ports.Task) -> ports.LetGo:
        link, tag = self._links.get(machine), task.passed_on.tag
        if link is None:
            return ports.LetGo.GIVEN_UP
        # What was answered in the same moment stands there by now, and is ended as well.
        if held := link.out.pop(tag, None) or link.standing.pop(tag, None):
            if link.unsent(tag):
                return ports.LetGo.WITHDRAWN
            link.give_up(tag, held.teller)
        return ports.LetGo.GIVEN_UP

    def release(self, machine: int, task: ports.Task, cause: int) -> None:
        self._end(machine, task, b.encode(b.RELEASE, task.passed_on.tag, {b.CAUSE: bytes((cause & 255,))}))

    def move(self, machine: int, task: ports.Task) -> None:
        self._end(machine, task, b.encode(b.MOVE, task.passed_on.tag))

    def _end(self, machine: int, task: ports.Task, last_word: bytes) -> None:
        """How a task that stands is to end; where its machine holds it no more, its end is under way.

        Guards against a word that is lost with its connection: the next one says it again.
        """
        tag = task.passed_on.tag
        link = self._links.get(machine)
        if link is not None and tag in link.standing:
            link.standing[tag].last_word = last_word
            link.say_last_word(last_word)
        elif tag in (unlisted := self._unlisted.get(machine, {})):
            unlisted[tag].last_word = last_word

    def probe(self, machine: int, done: Callable[[i.Outcome, tuple[float, ...]], None]) -> None:
        link = self._links.get(machine)
        if link is None or link.replaced:
            done(i.Outcome.CONNECT_FAILED, ())
            return
        tag = self._test_tag()
        timer = asyncio.get_running_loop().call_later(self._probe_s, self._probe_late, link, tag)
        link.probes[tag] = (done, timer)
        link.send(tag, b.encode(b.TEST, tag, {b.CAUSE: b"\1"}))

    def _probe_late(self, link: Link, tag: bytes) -> None:
        done, _ = link.probes.pop(tag)
        link.unsent(tag)
        done(i.Outcome.TIMEOUT, ())

    def _ask_whether_alive(self, link: Link) -> None:
        """Find out by a connect or a write whether the process of a server gone from the list still runs.

        Guards against a process that ended and whose reset never came: its connection looks open.
        """
        if link.connected:
            self.test(link)
        else:
            link.open()

    def test(self, link: Link) -> None:
        """A test that nobody waits for: any answer shows life, and its report is passed on."""
        message = self.test_message()
        link.send(message, message)

    def test_message(self) -> bytes:
        return b.encode(b.TEST, self._test_tag(), {b.CAUSE: bytes((self._asks,))})

    def _test_tag(self) -> bytes:
        self._tests += 1
        return self._tests.to_bytes(8, "big")

    # ---- what links ask for --------------------------------------------------------------------------------

    def quiet_limit(self, server: Server, now: float) -> float:
        """Seconds for which a server with tasks of ours may be quiet."""
        if server.state != i.MachineState.READY:
            return min(LEAVING_QUIET_S, self._schedule.quiet_limit(now, server.zone, server.cell))
        return self._schedule.quiet_limit(now, server.zone, server.cell)

    def vanished(self, server: Server) -> None:
        self._schedule.vanished(time.monotonic(), server.zone, server.cell)

    def unclaimed(self, tag: bytes, ended: ports.Ended) -> None:
        """Guards against a race after a restart: the release may come before the owner names the task."""
        self._unclaimed[tag] = (time.monotonic(), ended)
        if len(self._unclaimed) > UNCLAIMED_MOST:
            del self._unclaimed[next(iter(self._unclaimed))]

    def report(self, message: b.Message) -> tuple[float, ...]:
        text = message.text(b.REPORT)
        if not text:
            return ()
        values = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
        if not all(name in values for name in self._fields):
            return ()
        return tuple(_number(values[name]) for name in self._fields)


def _number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise Malformed(f"a figure that is no number: {text!r}")
    return value
