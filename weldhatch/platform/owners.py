"""The owners: set-ups on JSON lines in, answers, releases and moves out."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch import interface as i
from weldhatch.core import ports
from weldhatch.core.driver import unix_us
from weldhatch.core.life import Core, Life
from weldhatch.net.budget import Share
from weldhatch.net.connection import Connection, Malformed
from weldhatch.platform import jsonl
from weldhatch.platform.fleet import number_of
from weldhatch.platform.servers import Names
from weldhatch.setups import FieldError, Form

REFUSED, FAILED = 42, 47  # the causes of the two final answers that are not 'placed'
ENDING_WAIT_US = 1_000_000  # when to come back, for what reaches a dispatcher that ends
IDLE_S = 6.0  # owners close what idles for 4 s; past this we may do it where descriptors run short


class OwnerLink:
    """One connection of an owner. The set-ups open on it are given up when it ends."""

    def __init__(self, front: Owners, connection: Connection, host: str) -> None:
        self.front, self.connection, self.host = front, connection, host
        self.open: dict[str, Asked] = {}
        self.used = time.monotonic()

    async def run(self) -> None:
        try:
            await self.connection.pump(jsonl.parse, self._handle)
        finally:
            for asked in list(self.open.values()):
                asked.life.tell(ports.GivenUp())
            self.front.links.discard(self)

    def _handle(self, line: jsonl.Line) -> None:
        self.used = time.monotonic()
        match line.verb:
            case "START":
                self.front.start(self, line)
            case "FINISH":
                self.front.finish(line)
            case "ECHO":
                self.connection.send(jsonl.encode("ECHOED", line.tag, {}, 1))
                self.front.flush(self)
            case "FINISHED" | "ECHOED" | "NOTICE" | "PENDING":
                pass
            case _:
                raise Malformed(f"a line with the unknown verb {line.verb!r}")


class Asked:
    """One set-up: the core's owner. Its answer goes out on the connection that it came on."""

    def __init__(self, front: Owners, link: OwnerLink, tag: str) -> None:
        self._front, self._link, self._tag = front, link, tag
        self.life: Life | None = None
        self.stands = False

    def placed(self, description: str | None) -> None:
        self._link.open.pop(self._tag, None)
        self.stands = True
        self._link.connection.send(jsonl.encode("STARTED", self._tag, {}, None, description))

    def refused(self, wait_us: int) -> None:
        self._answered(REFUSED, {"wait": str(math.ceil(wait_us / 1000))} if wait_us > 0 else {})

    def failed(self) -> None:
        self._answered(FAILED, {})

    def _answered(self, cause: int, fields: dict) -> None:
        self._link.open.pop(self._tag, None)
        self._front.forget(self._tag)
        self._link.connection.send(jsonl.encode("FINISH", self._tag, fields, cause))

    def released(self, cause: int) -> None:
        self._front.forget(self._tag)
        self._front.relay(self._link, jsonl.encode("FINISH", self._tag, {}, cause))

    def moved(self) -> None:
        self._front.relay(self._link, jsonl.encode("MOVE", self._tag, {}))


class Owners:
    """All owners' connections, and the set-ups by tag: a task that stands belongs to no connection."""

    def __init__(self, settings: i.Settings, core: Core, share: Share, log: Callable[[str], None]) -> None:
        self._core, self._share, self._log = core, share, log
        self._form = Form(settings)
        self.links: set[OwnerLink] = set()
        self._asked: dict[str, Asked] = {}
        self._unsent: list[bytes] = []  # releases that no connection was open for
        self._tasks: set[asyncio.Task] = set()
        self.ending = False  # the planned end: what comes now is refused at once

    def taken(self, stream: IOStream, host: str) -> None:
        link = OwnerLink(self, Connection(stream, self._share, f"owner {host}", self._log), host)
        self.links.add(link)
        task = asyncio.get_running_loop().create_task(link.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._unsent:
            self.flush(link)

    def start(self, link: OwnerLink, line: jsonl.Line) -> None:
        task, at = self._task(line)
        known = self._asked.get(line.tag)
        if known is not None:
            if not at:
                raise Malformed(f"the tag {line.tag} is in use")
            return  # it names a task that is held here already
        asked = self._asked[line.tag] = Asked(self, link, line.tag)
        if self.ending and not at:
            asked.refused(ENDING_WAIT_US)
        elif at:
            asked.stands = True
            asked.life = self._core.adopt(task, number_of(at), asked)
        else:
            link.open[line.tag] = asked
            asked.life = self._core.arrive(task, asked)

    def finish(self, line: jsonl.Line) -> None:
        asked = self._asked.get(line.tag)
        if asked is None:
            return
        if asked.stands:
            asked.life.tell(ports.Released(line.cause if line.cause is not None else ports.GIVEN_UP))
        else:
            asked._link.open.pop(line.tag, None)
            asked.life.tell(ports.GivenUp())
        self.forget(line.tag)

    def forget(self, tag: str) -> None:
        self._asked.pop(tag, None)

    def relay(self, link: OwnerLink, data: bytes) -> None:
        """A release may go out on any connection of its owner, or on the next one that is opened."""
        if link.connection.send(data):
            return
        for other in self.links:
            if other.host == link.host and other.connection.send(data):
                return
        for other in self.links:
            if other.connection.send(data):
                return
        self._unsent.append(data)

    def flush(self, link: OwnerLink) -> None:
        unsent, self._unsent = self._unsent, []
        for n, data in enumerate(unsent):
            if not link.connection.send(data):
                self._unsent = unsent[n:] + self._unsent
                return

    def close_idle(self) -> None:
        """Descriptors run short: a connection with no open set-up may be closed."""
        now = time.monotonic()
        for link in list(self.links):
            if not link.open and now - link.used > IDLE_S:
                link.connection.close()

    def close(self) -> None:
        for link in list(self.links):
            link.connection.close()

    async def finish_all(self, within: float) -> None:
        await asyncio.gather(*(link.connection.finish(within) for link in list(self.links)))

    def _task(self, line: jsonl.Line) -> tuple[ports.Task, str]:
        """What a set-up asks, and the machine that holds the task already, or ''."""
        try:
            setup = self._form.read(line.fields)
        except FieldError as fault:
            raise Malformed(f"a set-up with an unusable field: {fault}") from None
        names = Names(bytes.fromhex(line.tag), setup.class_name, setup.name, setup.idem,
                      line.description or "")
        return ports.Task(line.tag, setup.class_index, setup.service, setup.cores, setup.memory,
                          unix_us() + setup.left_us, setup.key, setup.tenant, setup.again, names), setup.at
