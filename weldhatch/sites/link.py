"""The link to one other site: a connection, made again whenever it ends, and the session that outlives it.

Of two sites the one whose name sorts first dials; the other listens. Both say hello; the dialling side names
the session, and the other goes on with it where it remembers it. Work passes only while the link is up, that
is from the two hellos until silence, a fault, or an older copy of a store.
"""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Protocol

from tornado.iostream import IOStream

from weldhatch.net.connection import Connection, Malformed, connect
from weldhatch.net.descriptor_budget import Share
from weldhatch.net.listener import Listener
from weldhatch.net.rate_limited_log import Sparing
from weldhatch.net.ring_buffer import Ring
from weldhatch.net.tls import shake_hands
from weldhatch.sites import frames
from weldhatch.sites.session import Faulty, Frame, Full, Hello, Session, stale

DIAL_S = 1.0
HELLO_S = 2.0  # a connection that has not said hello by then is closed
AGAIN_S, AGAIN_MOST_S = 0.1, 2.0  # between two tries to connect; doubles
TICK_S = 0.02
LAST_S = 0.2  # what was said before a fault may still leave for so long: the other side learns why
UNSENT_MOST = 48 * 1024  # bytes that wait in a connection before frames wait in their streams instead


class Epochs(Protocol):
    """What this site's store says of itself, and what it has written down of others."""

    @property
    def ours(self) -> tuple[int, str]: ...

    def known(self, site: str) -> tuple[int, str]: ...

    async def met(self, site: str, epoch: int, token: str) -> None:
        """Write down what another site's store said; done once it is on the disk."""


@dataclass(slots=True, frozen=True)
class Ears:
    """Who hears what a link tells."""

    up: Callable[[str], None]
    down: Callable[[str], None]
    heard: Callable[[str, int, bytes], None]  # site, stream, payload; may raise Faulty


def _parse(ring: Ring) -> Frame | None:
    try:
        return frames.parse(ring)
    except Faulty as fault:
        raise Malformed(str(fault)) from None


class Link:
    """One other site. Owns its connection, its session and the task that dials."""

    def __init__(
        self,
        ours: str,
        site: str,
        epochs: Epochs,
        ears: Ears,
        log: Callable[[str], None],
        tick_s: float = TICK_S,
    ) -> None:
        """`tick_s`: how often it looks for silence, and for what is owed with nothing else to send."""
        self._tick_s = tick_s
        self._ours, self.site, self._epochs, self._ears, self._log = ours, site, epochs, ears, log
        self._names = 0
        self.session = Session(self._name())
        self._connection: Connection | None = None  # the one that has said hello
        self._early: list[Frame] = []  # what came before the other side's epoch was on the disk
        self.up = False
        self.doubt = ""  # why no work may pass, though the other side can be reached
        self.breaks = 0
        self._tasks: set[asyncio.Task] = set()
        self._soon = False
        self._run(self._tick())

    def _run(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _name(self) -> str:
        self._names += 1
        epoch, token = self._epochs.ours
        return f"{self._ours}.{epoch}.{token}.{self._names}"

    # ---- connections ---------------------------------------------------------------------------------------

    def dial(self, endpoint: tuple[str, int], share: Share, tls: ssl.SSLContext | None = None) -> None:
        """Connect, and again whenever the connection ends."""
        self._run(self._dial(endpoint, share, tls))

    async def _dial(self, endpoint: tuple[str, int], share: Share, tls: ssl.SSLContext | None) -> None:
        wait = AGAIN_S
        while True:
            if share.take():
                try:
                    connection = await connect(endpoint, DIAL_S, share, f"site {self.site}", self._log, tls)
                except ssl.SSLError as fault:
                    self._log(f"site {self.site}: no TLS: {fault}")
                except (OSError, TimeoutError):
                    pass
                else:
                    breaks = self.breaks
                    connection.send(frames.encode(self._hello()))
                    await self.serve(connection, lambda frame, at=connection: self.hear(at, frame, True))
                    if self.breaks != breaks:  # it had come up
                        wait = AGAIN_S
            await asyncio.sleep(wait)
            wait = min(2 * wait, AGAIN_MOST_S)

    async def serve(self, connection: Connection, handle: Callable[[Frame], None]) -> None:
        """Read a connection until it ends; one that does not say hello in time is closed."""
        guard = asyncio.get_running_loop().call_later(
            HELLO_S, lambda: None if self._connection is connection else connection.close()
        )
        try:
            await connection.pump(_parse, handle, lambda: connection.finish(LAST_S))
        finally:
            guard.cancel()
            self.ended(connection)

    def _hello(self) -> Hello:
        epoch, token = self._epochs.ours
        return Hello(
            frames.VERSION,
            self._ours,
            epoch,
            token,
            self._epochs.known(self.site),
            self.session.name,
            self.session.heard,
            self.session.fresh,
        )

    def hear(self, connection: Connection, frame: Frame, dialled: bool) -> None:
        """One frame of a connection: its hello first. Raises Malformed, which ends the connection."""
        try:
            if connection is not self._connection:
                if not isinstance(frame, Hello):
                    raise Faulty("a frame before hello")
                self._greet(connection, frame, dialled)
            elif not self.up:
                self._early.append(frame)
            else:
                self._take(frame)
        except Faulty as fault:
            raise Malformed(str(fault)) from None

    def _take(self, frame: Frame) -> None:
        if (brought := self.session.hear(time.monotonic(), frame)) is not None:
            self._ears.heard(self.site, *brought)
        self.flush()

    def _greet(self, connection: Connection, hello: Hello, dialled: bool) -> None:
        """Take the other side's hello, and go on with the session or begin a new one. Raises Faulty."""
        if hello.version != frames.VERSION:
            raise Faulty(f"version {hello.version} of the link, and {frames.VERSION} is spoken here")
        if hello.site != self.site:
            raise Faulty(f"it is site {hello.site!r}, and {self.site!r} was expected")
        doubt = stale(hello, self._epochs.known(self.site), self._epochs.ours)
        if doubt and doubt != self.doubt:
            self._log(f"site {self.site}: no work passes: {doubt}")
        self.doubt = doubt
        if not dialled and doubt:
            connection.send(frames.encode(self._hello()))  # so that it can tell as well
        if doubt:
            raise Faulty("a store is an older copy")
        now = time.monotonic()
        if dialled:
            if hello.session != self.session.name:
                raise Faulty("it answers with another session")
            try:
                # Guards against a side that began anew under our session: its numbers begin anew too.
                if hello.fresh and not self.session.fresh:
                    raise Faulty("it has forgotten the session")
                self.session.begin(now, hello.heard)
            except Faulty:
                self.session = Session(self._name())  # the next connection has a session of its own
                raise
        else:
            if hello.session != self.session.name:
                self.session = Session(hello.session)
            connection.send(frames.encode(self._hello()))
            if self.session.fresh and not hello.fresh:
                return  # it hears that this side has forgotten, and comes again with a new session
            self.session.begin(now, hello.heard)
        if self._connection is not None:  # the other side has given the old one up
            self._connection.close()
            self._down()
        self._connection, self._early = connection, []
        self._run(self._meet(connection, hello))

    async def _meet(self, connection: Connection, hello: Hello) -> None:
        """No work passes before the other side's epoch is on the disk: a restart could not tell it stale."""
        await self._epochs.met(self.site, hello.epoch, hello.token)
        if self._connection is not connection or connection.closed:
            return
        self.up = True
        self._log(f"site {self.site}: up, session {self.session.name}, epoch {hello.epoch}")
        self._ears.up(self.site)
        early, self._early = self._early, []
        try:
            for frame in early:
                self._take(frame)
        except Faulty as fault:
            self._log(f"site {self.site}: closed: {fault}")
            connection.close()
        self.flush()

    def ended(self, connection: Connection) -> None:
        if self._connection is connection:
            self._connection = None
            self._down()

    def _down(self) -> None:
        if self.up:
            self.up = False
            self.breaks += 1
            self._log(f"site {self.site}: down")
            self._ears.down(self.site)

    def cut(self) -> None:
        """End the connection, as a fault would."""
        if self._connection is not None:
            self._connection.close()

    # ---- sending ------------------------------------------------------------------------------------------

    def send(self, stream: int, payload: bytes) -> bool:
        """Queue one message for the session; False where the link is down or the stream's line is full.

        What is not taken is not kept: whoever must be heard says it again once the link is up.
        """
        if not self.up:
            return False
        try:
            self.session.send(stream, payload)
        except Full as fault:
            self._log(f"site {self.site}: {fault}")
            return False
        if not self._soon:
            self._soon = True
            asyncio.get_running_loop().call_soon(self._flush_soon)
        return True

    def _flush_soon(self) -> None:
        self._soon = False
        self.flush()

    def flush(self) -> None:
        """Send what may go out: no more than the connection can hold, the rest stays in its streams."""
        connection = self._connection
        while (
            self.up and connection is not None and not connection.closed and connection.unsent < UNSENT_MOST
        ):
            out = [frames.encode(frame) for frame in self.session.frames(time.monotonic(), 2)]
            if not out:
                break
            connection.queue(b"".join(out))
        if connection is not None:
            connection.push()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self._tick_s)
            if self.up and self.session.dead(time.monotonic()):
                self._log(f"site {self.site}: nothing heard, the connection is given up")
                self.cut()
            self.flush()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.cut()


class Door:
    """Where other sites connect. A connection is nobody's until it has said which site it is."""

    def __init__(
        self,
        address: tuple[str, int],
        links: dict[str, Link],
        share: Share,
        log: Callable[[str], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """`tls`: who connects has to show the certificate of the site that it says it is."""
        self._links, self._share, self._log, self._tls = links, share, Sparing(log), tls
        self._tasks: set[asyncio.Task] = set()
        self.listener = Listener(address, share, self._taken)

    def _taken(self, stream: IOStream, host: str) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(stream, host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, stream: IOStream, host: str) -> None:
        certified = ""
        if self._tls is not None:
            try:
                stream, certified = await shake_hands(stream, self._tls)
            except OSError as fault:
                self._log(f"site at {host}: closed: {fault}")
                self._share.give_back()
                return
        connection = Connection(stream, self._share, f"site at {host}", self._log)
        link: Link | None = None

        def handle(frame: Frame) -> None:
            nonlocal link
            if link is None:
                if not isinstance(frame, Hello) or frame.site not in self._links:
                    raise Malformed(
                        f"site {frame.site!r} is not configured here"
                        if isinstance(frame, Hello)
                        else "it does not say which site it is"
                    )
                if self._tls is not None and certified != frame.site:
                    raise Malformed(
                        f"it says that it is {frame.site!r}, and shows the certificate of " f"{certified!r}"
                    )
                link = self._links[frame.site]
                connection.name = f"site {link.site}"
            link.hear(connection, frame, dialled=False)

        guard = asyncio.get_running_loop().call_later(
            HELLO_S, lambda: None if link is not None else connection.close()
        )
        try:
            await connection.pump(_parse, handle, lambda: connection.finish(LAST_S))
        finally:
            guard.cancel()
            if link is not None:
                link.ended(connection)

    def close(self) -> None:
        self.listener.close()
        for task in self._tasks:
            task.cancel()
