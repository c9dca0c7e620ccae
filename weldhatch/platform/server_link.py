"""The one connection to a server: set-ups, probes, standing tasks, and what it says of them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from weldhatch.core import ports
from weldhatch.core.messages import CUT, GIVEN_UP, Answered, Ended, Noted
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_state import LOOP_PASSES_TO_READ
from weldhatch.net.connection import Connection, MalformedMessageError
from weldhatch.net.descriptor_budget import NoDescriptorError
from weldhatch.platform import server_codec
from weldhatch.platform.endpoint_list import Server
from weldhatch.platform.health_check import SUSPECT_QUIET_S
from weldhatch.scheduling.types import MachineState, Outcome

SILENT_S = 0.5  # a server that leaves a message unanswered, and says nothing, for so long is tried
HALF_S = 0.4  # one that stops within a message for so long has lost its step
LOST_TRIES = 2  # connects that never come up beside a silent connection: the server has vanished
LOST_S = 2.0  # no connection has come up for so long: the server has vanished; one may take 1 s
RECONNECT_S = 0.02  # after a connection that ended
REDIAL_S = 0.1  # between two connects that fail
EXCUSES_MOST = 4  # connects that do come up while the old connection stays silent: it is given up
IN_USE_S = 0.05  # a connection that was in use so lately is not closed for another
LATE_ANSWER_S = 5.0  # so long after it was given up, a set-up may still be answered
OUTCOMES_BEFORE_ANSWER = {  # of a release by its cause; any other cause is a reset
    34: Outcome.FULL,
    47: Outcome.ERROR,
    102: Outcome.NOT_SENT,
}
OUTCOMES_AFTER_ANSWER = {16: Outcome.OK, 31: Outcome.CANCELLED}
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
class Held:
    """A set-up that is out, or a task that stands."""

    attempt: int
    receiver: ports.Receiver
    since: float
    start_by_us: int = 0  # a set-up that has not left by then must not; 0 for any time
    last_word: bytes = b""  # the release or the move of a task that stands: said again until its end is heard


class LinkOwner(Protocol):
    """What a link asks of those who keep all links."""

    log: Callable[[str], None]
    broke: Callable[[int], None]
    reported: Callable[[int, tuple[float, ...]], None]

    async def connect(self, server: Server) -> Connection: ...

    def quiet_limit(self, server: Server, now: float) -> float: ...

    def vanished(self, server: Server) -> None: ...

    def test(self, link: ServerLink) -> None: ...

    def test_message(self) -> bytes: ...

    def unclaimed(self, tag: bytes, ended: Ended) -> None: ...

    def report(self, message: server_codec.Message) -> tuple[float, ...]: ...


class ServerLink:
    """The one connection to a machine. It owns what is out there and what stands there."""

    def __init__(self, servers: LinkOwner, server: Server) -> None:
        self._servers, self.server = servers, server
        self._up: Connection | None = None
        self._connecting: asyncio.Task | None = None
        self._pending: dict[object, bytes] = {}  # what waits for the connection, by tag or probe
        self.out: dict[bytes, Held] = {}
        self.standing: dict[bytes, Held] = {}
        self.probes: dict[bytes, tuple[Callable, asyncio.TimerHandle]] = {}
        # Set-ups that were given up and may still be answered: when, and whose; the oldest first.
        self._given_up: dict[bytes, tuple[float, ports.Receiver]] = {}
        self._asked = 0.0  # when the first message since the last sign of life went out
        self._trial: asyncio.Task | None = None
        self._spare: Connection | None = None  # the second connection that a trial has made
        self._reading: asyncio.Task | None = None
        self._excuses = 0
        self.used = time.monotonic()  # when something last went out
        self._makes_room = False  # the connection is closed for another: that tells nothing of the server
        self.replaced = False  # another server has the address: nothing goes there under this uid

    def send(self, name: object, data: bytes) -> None:
        self.used = time.monotonic()
        if self.connected:
            if not self._asked or self._up.last_received > self._asked:
                self._asked = time.monotonic()
            self._up.send(data)
        else:
            self._pending[name] = data
            self.open()

    def give_up(self, tag: bytes, receiver: ports.Receiver) -> None:
        """Tell the machine that nobody waits for that set-up any more; its answer may be on its way."""
        now = time.monotonic()
        while self._given_up and now - next(iter(self._given_up.values()))[0] > LATE_ANSWER_S:
            del self._given_up[next(iter(self._given_up))]
        self._given_up.pop(tag, None)
        self._given_up[tag] = (now, receiver)
        self.send(
            (tag, "up"),
            server_codec.encode(server_codec.RELEASE, tag, {server_codec.CAUSE: bytes((GIVEN_UP,))}),
        )

    def may_answer_late(self, tag: bytes, receiver: ports.Receiver) -> bool:
        """Whether an earlier attempt of that request here was given up, and has not been heard of since."""
        now = time.monotonic()
        given_up_at, given_up_by = self._given_up.get(tag, (0.0, None))
        return given_up_by is receiver and now - given_up_at <= LATE_ANSWER_S

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
    def _settled(self) -> bool:
        """Whether nothing is out, stands or waits there."""
        return not (self.out or self.standing or self.probes or self._pending)

    def idle(self, now: float) -> bool:
        """Whether the connection can be closed without harm: nothing is open on it or was just said."""
        return (
            self.connected
            and self._settled
            and self._trial is None
            and not self._up.unsent
            and now - max(self.used, self._up.last_received) > IN_USE_S
        )

    def make_room(self) -> None:
        """Close the connection for another that needs its descriptor."""
        self._makes_room = True
        if self._spare is not None:
            self._spare.close()
        self._up.close()

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
                    self._up = await self._come_up()
                except NoDescriptorError:
                    self._not_sent(Outcome.FULL)
                except (OSError, TimeoutError) as error:
                    failing_since = failing_since or time.monotonic()
                    self._never_up()
                    self._lose_if_ended(error, failing_since)
                else:
                    failing_since, pause = 0.0, RECONNECT_S
                    self._send_what_waited(self._up)
                    try:
                        await self._up.pump(server_codec.parse, self._handle)
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

    async def _come_up(self) -> Connection:
        """Connect, and hear out first those who may have left in the meantime.

        Guards against a set-up that waited for the connection and goes out for an owner whose close came
        while the loop was busy, and is read only turns later.
        """
        connection = await self._dial()
        try:
            for _ in range(LOOP_PASSES_TO_READ):
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection

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
                held.receiver.deliver(Ended(held.attempt, Outcome.NOT_SENT))
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
        self._end_open(Outcome.CONNECT_FAILED)

    def _not_sent(self, probed: Outcome) -> None:
        """Nothing that waited has left, and that tells nothing of the machine."""
        self._pending.clear()
        self._end_open(Outcome.NOT_SENT, probed)

    def _broken(self) -> None:
        """The connection ended: what was out on it may have run."""
        self._up = None
        if not self._makes_room:
            self._servers.broke(self.server.machine)
        self._makes_room = False
        self._end_open(Outcome.RESET)

    def _end_open(self, outcome: Outcome, probed: Outcome | None = None) -> None:
        """End all but what was asked for since the connection closed: that still waits for the next one.

        Guards against a set-up that is told as ended here and goes out there all the same.
        """
        for tag in [tag for tag in self.out if tag not in self._pending]:
            held = self.out.pop(tag)
            held.receiver.deliver(Ended(held.attempt, outcome))
        for tag in [tag for tag in self.probes if tag not in self._pending]:
            done, timer = self.probes.pop(tag)
            timer.cancel()
            done(probed or outcome, ())

    def replace(self) -> None:
        """Another server has the address now: all that was meant for this one is over."""
        self.replaced = True
        self.lose("has lost its address")
        self._end_open(Outcome.RESET)
        self._never_up()
        self.close()

    @property
    def over(self) -> bool:
        """Whether the machine is gone and nothing is left to hear of it."""
        return self.server.state == MachineState.REMOVED and self._settled

    def lose(self, why: str, before: float = float("inf")) -> None:
        """The tasks that stood there are cut: those that stood before that moment."""
        cut = {tag: held for tag, held in self.standing.items() if held.since < before}
        if cut:
            self._servers.log(f"server {self.server.uid}: {why}; {len(cut)} tasks are lost")
        for tag, held in cut.items():
            del self.standing[tag]
            held.receiver.deliver(Ended(held.attempt, Outcome.RESET, cause=CUT))

    def excuse(self, now: float) -> None:
        """Guards against our own stalls: what a server said during one is not read yet."""
        if self._asked:
            self._asked = now
        if self._up is not None and self._up.incomplete_since:
            self._up.incomplete_since = now

    def watch(self, now: float) -> None:
        """Guards against a machine that vanished: it gives no sign, so its silence must be noticed."""
        up = self._up
        if up is None or up.closed:
            return
        if up.incomplete_since and now - up.incomplete_since > HALF_S:
            self.drop("stops within a message")
            return
        if self._asked and self._asked >= up.last_received:
            if now - self._asked > SILENT_S and self._trial is None:
                self._trial = asyncio.get_running_loop().create_task(self._try(up))
            return
        self._excuses = 0
        quiet = now - up.last_received
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
                            self._spare.pump(server_codec.parse, self._handle)
                        )
                    else:  # a machine that has vanished leaves this open too: it must say something
                        heard = self._spare.last_received
                        self._spare.send(self._servers.test_message())
                        await asyncio.sleep(SILENT_S)
                        if self._spare.closed or self._spare.last_received == heard:
                            self._spare.close()
                            continue
                except NoDescriptorError:
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
            if self._up is up and up.last_received <= self._asked:
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

    def _handle(self, message: server_codec.Message) -> None:
        match message.type:
            case server_codec.ANSWER:
                # All of a message is read before anything is taken from it: what can't be read ends the
                # connection, and then each set-up open on it must still be there to get its end.
                description = message.description
                self._given_up.pop(message.tag, None)
                if held := self.out.pop(message.tag, None):
                    self.standing[message.tag] = held
                    held.since = time.time()
                    held.receiver.deliver(Answered(held.attempt, description))
            case server_codec.RELEASE:
                self._release(message)
            case server_codec.NOTE:
                held = self.standing.get(message.tag) or self.out.get(message.tag)
                topic = TOPICS.get(message.text(server_codec.TOPIC))
                if held is not None and topic is not None:
                    held.receiver.deliver(
                        Noted(held.attempt, topic, server_codec.number(message.text(server_codec.FIGURE)))
                    )
            case server_codec.TESTED:
                report, passed = self._servers.report(message), message.cause == 1
                if probe := self.probes.pop(message.tag, None):
                    done, timer = probe
                    timer.cancel()
                    done(Outcome.OK if passed else Outcome.FULL, report)
                elif passed and report:
                    self._servers.reported(self.server.machine, report)
            case server_codec.TEST:
                self.send(
                    message.tag,
                    server_codec.encode(server_codec.TESTED, message.tag, {server_codec.CAUSE: b"\1"}),
                )
            case server_codec.PROGRESS | server_codec.RELEASE_HEARD:
                pass
            case _:
                raise MalformedMessageError(f"a message of type {message.type}, which no server sends")

    def _release(self, message: server_codec.Message) -> None:
        cause, reason = message.cause, REASONS.get(message.text(server_codec.TOPIC), 0)
        report = self._servers.report(message)
        self._given_up.pop(message.tag, None)
        if held := self.out.pop(message.tag, None):
            outcome = OUTCOMES_BEFORE_ANSWER.get(cause, Outcome.RESET)
            held.receiver.deliver(Ended(held.attempt, outcome, reason, report, cause))
        elif held := self.standing.pop(message.tag, None):
            outcome = OUTCOMES_AFTER_ANSWER.get(cause, Outcome.RESET)
            held.receiver.deliver(Ended(held.attempt, outcome, reason, report, cause))
        else:
            self._servers.unclaimed(
                message.tag,
                Ended(0, OUTCOMES_AFTER_ANSWER.get(cause, Outcome.RESET), reason, report, cause),
            )
