"""The owners: set-ups on JSON lines in, answers, releases and moves out."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.core import ports
from weldhatch.core.messages import GIVEN_UP, GivenUp, Released
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_lifecycle import Core, RequestLifecycle
from weldhatch.net.connection import Connection, MalformedMessageError
from weldhatch.net.descriptor_budget import DescriptorShare
from weldhatch.net.rate_limited_log import RateLimitedLog
from weldhatch.placement_request import FieldError, Form
from weldhatch.platform import client_codec
from weldhatch.platform.endpoint_list import number_of
from weldhatch.platform.servers import Names
from weldhatch.scheduling.types import Settings

REFUSED, FAILED = 42, 47  # the causes of the two final answers that are not 'placed'
ENDING_WAIT_US = 1_000_000  # when to come back, for what reaches a dispatcher that ends
IDLE_S = 6.0  # owners close what idles for 4 s; past this we do it
STANDING_IDLE_S = 1.0  # past this, one with tasks that stand gives way too: they belong to no connection
WHOLE_S = 2.0  # a connection that has brought no whole message by then is closed
FIRST_S = 2.8  # and one whose first message began in time is closed by then
PIECES_S = 0.5  # a message that began so lately is waited for, also where descriptors run short
SWEEP_S = 0.2
AWAY_S = 0.4  # a client that was turned away waits for the close so long: none comes again at full speed
OPEN_MOST = 64  # set-ups open on one connection; more are refused, which harms none
TAKEN_BACK_S = 0.02
BACK_MOST = 16  # set-ups that a connection may take back in the moment it asks for them,
TAKEN_BACK_SPAN_S = 1.0  # with less than this between two of them
OWNER_HOSTS_MOST = 256  # hosts of owners that are remembered
EVICTED = 16  # connections closed at a time where no descriptor is left


class OwnerLink:
    """One connection of an owner. The set-ups open on it are given up when it ends."""

    def __init__(self, front: Owners, connection: Connection, host: str) -> None:
        self.front, self.connection, self.host = front, connection, host
        self.open: dict[str, Asked] = {}
        self.standing = 0  # tasks that stand and were asked for here
        self._taken_back, self._last_taken_back = 0, 0.0
        self.used = time.monotonic()
        self.spoke = self.asked = self.away = False  # a whole message came, a set-up came, turned away

    async def run(self) -> None:
        try:
            await self.connection.pump(client_codec.parse, self._handle, self._turn_away)
        finally:
            self._give_up()
            self.front.links.discard(self)

    def _give_up(self) -> None:
        for asked in list(self.open.values()):
            asked.given_up()

    async def _turn_away(self) -> None:
        """Guards against a client that comes again as soon as it is closed, at the cost of all others."""
        self.away = True
        self._give_up()
        await asyncio.sleep(AWAY_S)

    def behind(self) -> bool:
        """Whether its client has said something, or has closed it, and that is still to be read."""
        return self.connection.has_unhandled

    def say(self, data: bytes) -> bool:
        """An answer or a release; False where the connection has ended.

        Guards it against the sweep: with its last task over, a connection that its owner has not used for a
        while would be closed before what is said here has left.
        """
        self.used = time.monotonic()
        return self.connection.send(data)

    def takes_back(self, now: float) -> bool:
        """A set-up was taken back as soon as it was asked for; whether that has come too often lately."""
        if now - self._last_taken_back > TAKEN_BACK_SPAN_S:
            self._taken_back = 0
        self._last_taken_back = now
        self._taken_back += 1
        return self._taken_back > BACK_MOST

    def due(self, now: float) -> str | None:
        """Why the connection is to be closed now, if it is: '' where that is nothing to tell of."""
        if self.away or self.open:
            return None
        if self.connection.incomplete_since and now - self.connection.incomplete_since > WHOLE_S:
            return "closed: a message without an end"
        if not self.spoke:
            quiet_since = max(self.used, min(self.connection.incomplete_since, self.used + FIRST_S - WHOLE_S))
            return "" if now - quiet_since > WHOLE_S else None
        if self.connection.incomplete_since:  # a message is coming in pieces
            return None
        return "" if not self.standing and now - self.used > IDLE_S else None

    def price(self, now: float) -> tuple[int, float] | None:
        """What closing it costs its owner, where descriptors run short; None where it must stay."""
        idle = now - self.used
        if self.away:
            return 0, self.used
        if self.connection.incomplete_since and now - self.connection.incomplete_since < PIECES_S:
            return None
        if not self.spoke:  # its first message may be on its way
            return (1, self.used) if idle > SWEEP_S else None
        if self.open or idle < SWEEP_S:
            return None
        if self.standing:
            return (4, self.used) if idle > STANDING_IDLE_S else None
        return (3 if self.asked else 2), self.used

    def _handle(self, line: client_codec.Line) -> None:
        self.used, self.spoke = time.monotonic(), True
        match line.verb:
            case "START":
                self.front.start(self, line)
            case "FINISH":
                self.front.finish(self, line)
            case "ECHO":
                self.connection.send(client_codec.encode("ECHOED", line.tag, {}, 1))
                self.front.flush(self)
            case "FINISHED" | "ECHOED" | "NOTICE" | "PENDING":
                pass
            case _:
                raise MalformedMessageError(f"a line with the unknown verb {line.verb!r}")


class Asked:
    """One set-up: the core's owner. Its answer goes out on the connection that it came on."""

    def __init__(self, front: Owners, link: OwnerLink, tag: str) -> None:
        self._front, self._link, self._tag = front, link, tag
        self.life: RequestLifecycle | None = None
        self.stands = self.gone = False
        self.came = time.monotonic()

    def stand(self) -> None:
        self.stands = True
        self._link.standing += 1

    def given_up(self) -> None:
        """Its owner waits no more, or has gone."""
        self.gone = True
        self._link.open.pop(self._tag, None)
        self._front.forget(self._tag)
        self.life.deliver(GivenUp())

    def forgotten(self) -> None:
        if self.stands:
            self._link.standing -= 1

    def placed(self, description: str | None) -> None:
        if self.gone:  # the answer crossed the end of its owner's interest
            return
        self._link.open.pop(self._tag, None)
        self.stand()
        self._link.say(client_codec.encode("STARTED", self._tag, {}, None, description))

    def refused(self, wait_us: int) -> None:
        self._answered(REFUSED, {"wait": str(math.ceil(wait_us / 1000))} if wait_us > 0 else {})

    def failed(self) -> None:
        self._answered(FAILED, {})

    def _answered(self, cause: int, fields: dict) -> None:
        if self.gone:  # it has been forgotten, and its tag may be another's by now
            return
        self._link.open.pop(self._tag, None)
        self._front.forget(self._tag)
        self._link.say(client_codec.encode("FINISH", self._tag, fields, cause))

    def released(self, cause: int) -> None:
        if self.gone:
            return
        self._front.forget(self._tag)
        self._front.relay(self._link, client_codec.encode("FINISH", self._tag, {}, cause))

    def moved(self) -> None:
        self._front.forget(self._tag)
        self._front.relay(self._link, client_codec.encode("MOVE", self._tag, {}))


class Owners:
    """All owners' connections, and the set-ups by tag: a task that stands belongs to no connection."""

    def __init__(
        self, settings: Settings, core: Core, share: DescriptorShare, log: Callable[[str], None]
    ) -> None:
        self._core, self._share, self._log = core, share, RateLimitedLog(log)
        self._form = Form(settings, strict=True)
        self.links: set[OwnerLink] = set()
        self._asked: dict[str, Asked] = {}
        self._unsent: list[bytes] = []  # releases that no connection was open for
        self._owner_hosts: dict[str, None] = {}  # the one that asked the longest ago first
        self._tasks: set[asyncio.Task] = set()
        self._sweeping = asyncio.get_running_loop().create_task(self._sweep())
        self.ending = False  # the planned end: what comes now is refused at once

    def rule(self, settings: Settings) -> None:
        """Other settings are in force from now on; classes keep their places."""
        self._form = Form(settings, strict=True)

    def taken(self, stream: IOStream, host: str) -> None:
        link = OwnerLink(self, Connection(stream, self._share, f"owner {host}", self._log), host)
        self.links.add(link)
        task = asyncio.get_running_loop().create_task(link.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._unsent and host in self._owner_hosts:
            self.flush(link)

    def start(self, link: OwnerLink, line: client_codec.Line) -> None:
        task, at = self._task(line)
        known = self._asked.get(line.tag)
        if known is not None:
            if not at:
                raise MalformedMessageError(f"the tag {line.tag} is in use")
            return  # it names a task that is held here already
        asked = self._asked[line.tag] = Asked(self, link, line.tag)
        link.asked = True
        self._remember_host(link.host)
        if self._unsent:
            self.flush(link)
        if at:
            asked.stand()
            asked.life = self._core.adopt(task, number_of(at), asked)
        elif self.ending or len(link.open) >= OPEN_MOST:
            asked.refused(ENDING_WAIT_US)
        else:
            link.open[line.tag] = asked
            asked.life = self._core.arrive(task, asked, link.behind)

    def finish(self, link: OwnerLink, line: client_codec.Line) -> None:
        asked = self._asked.get(line.tag)
        if asked is None:
            return
        if asked.stands:
            asked.life.deliver(Released(line.cause if line.cause is not None else GIVEN_UP))
            self.forget(line.tag)
            return
        asked.given_up()
        # Guards against hundreds of set-ups that are taken back at once: nobody can answer them.
        now = time.monotonic()
        if now - asked.came < TAKEN_BACK_S and link.takes_back(now):
            raise MalformedMessageError("it takes back what it asks for at once")

    def forget(self, tag: str) -> None:
        if asked := self._asked.pop(tag, None):
            asked.forgotten()

    def relay(self, link: OwnerLink, data: bytes) -> None:
        """A release may go out on any connection of an owner, or on the next one that is opened.

        Guards against releases that are lost with clients who never had a task, and read nothing.
        """
        if link.say(data):
            return
        owners = [other for other in self.links if not other.away and other.host in self._owner_hosts]
        for other in sorted(owners, key=lambda other: (not other.asked, other.host != link.host)):
            if other.say(data):
                return
        self._unsent.append(data)

    def _remember_host(self, host: str) -> None:
        """Owners are told apart from those who only connect by where set-ups that can be read came from."""
        self._owner_hosts.pop(host, None)
        self._owner_hosts[host] = None
        if len(self._owner_hosts) > OWNER_HOSTS_MOST:
            del self._owner_hosts[next(iter(self._owner_hosts))]

    def flush(self, link: OwnerLink) -> None:
        unsent, self._unsent = self._unsent, []
        for n, data in enumerate(unsent):
            if not link.say(data):
                self._unsent = unsent[n:] + self._unsent
                return

    def make_room(self) -> None:
        """No descriptor is left: close the connections that lose least by it.

        Guards against connections that say nothing, or ask once and stay: they would keep all others out.
        """
        now = time.monotonic()
        priced = [(price, n, link) for n, link in enumerate(self.links) if (price := link.price(now))]
        for _, _, link in sorted(priced)[:EVICTED]:
            link.connection.close()

    async def _sweep(self) -> None:
        """Close what says nothing, stops within a message, or has idled for long."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.sweep(time.monotonic())

    def sweep(self, now: float) -> None:
        for link in list(self.links):
            if (why := link.due(now)) is not None:
                if why:
                    self._log(f"{link.connection.name}: {why}")
                link.connection.close()
        if self._share.held >= self._share.most:
            self.make_room()

    def close(self) -> None:
        self._sweeping.cancel()
        for link in list(self.links):
            link.connection.close()

    async def finish_all(self, within: float) -> None:
        await asyncio.gather(*(link.connection.finish(within) for link in list(self.links)))

    def _task(self, line: client_codec.Line) -> tuple[ports.Task, str]:
        """What a set-up asks, and the machine that holds the task already, or ''."""
        try:
            setup = self._form.read(line.fields)
        except FieldError as fault:
            raise MalformedMessageError(f"a set-up with an unusable field: {fault}") from None
        names = Names(
            bytes.fromhex(line.tag), setup.class_name, setup.name, setup.idem, line.description or ""
        )
        return ports.Task(
            line.tag,
            setup.class_index,
            setup.service,
            setup.cores,
            setup.memory,
            unix_us() + setup.left_us,
            setup.key,
            setup.tenant,
            setup.again,
            names,
        ), setup.at
