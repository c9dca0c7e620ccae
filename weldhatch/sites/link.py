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

from weldhatch.net.connection import Connection, MalformedMessageError, connect
from weldhatch.net.descriptor_budget import DescriptorShare
from weldhatch.net.listener import Listener
from weldhatch.net.rate_limited_log import RateLimitedLog
from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.net.tls import accept_tls
from weldhatch.sites import frames
from weldhatch.sites.session import Frame, Hello, ProtocolError, Session, StreamFullError, stale_store_reason

DIAL_S = 1.0
HELLO_S = 2.0  # a connection that has not said hello by then is closed
AGAIN_S, AGAIN_MOST_S = 0.1, 2.0  # between two tries to connect; doubles
TICK_S = 0.02
LAST_S = 0.2  # what was said before a fault may still leave for so long: the other side learns why
UNSENT_MOST = 48 * 1024  # bytes that wait in a connection before frames wait in their streams instead


class EpochRegistry(Protocol):
    """What this site's store says of itself, and what it has written down of others."""

    @property
    def own_epoch(self) -> tuple[int, str]: ...

    def known_epoch(self, site: str) -> tuple[int, str]: ...

    async def record_epoch(self, site: str, epoch: int, token: str) -> None:
        """Write down what another site's store said; done once it is on the disk."""


@dataclass(slots=True, frozen=True)
class LinkHandlers:
    """Who hears what a link tells."""

    on_up: Callable[[str], None]
    on_down: Callable[[str], None]
    on_message: Callable[[str, int, bytes], None]  # site, stream, payload; may raise Faulty


def _parse(ring: RingBuffer) -> Frame | None:
    try:
        return frames.parse(ring)
    except ProtocolError as fault:
        raise MalformedMessageError(str(fault)) from None


class Link:
    """One other site. Owns its connection, its session and the task that dials."""

    def __init__(
        self,
        ours: str,
        site: str,
        epochs: EpochRegistry,
        handlers: LinkHandlers,
        log: Callable[[str], None],
        tick_s: float = TICK_S,
    ) -> None:
        """`tick_s`: how often it looks for silence, and for what is owed with nothing else to send."""
        self._tick_s = tick_s
        self._ours, self.site, self._epochs, self._handlers, self._log = ours, site, epochs, handlers, log
        self._session_count = 0
        self.session = Session(self._new_session_name())
        self._connection: Connection | None = None  # the one that has said hello
        self._early_frames: list[Frame] = []  # what came before the other side's epoch was on the disk
        self.up = False
        self.stale_reason = ""  # why no work may pass, though the other side can be reached
        self.break_count = 0
        self._tasks: set[asyncio.Task] = set()
        self._flush_scheduled = False
        self._spawn(self._tick())

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_session_name(self) -> str:
        self._session_count += 1
        epoch, token = self._epochs.own_epoch
        return f"{self._ours}.{epoch}.{token}.{self._session_count}"

    # ---- connections ---------------------------------------------------------------------------------------

    def dial(
        self, endpoint: tuple[str, int], share: DescriptorShare, tls: ssl.SSLContext | None = None
    ) -> None:
        """Connect, and again whenever the connection ends."""
        self._spawn(self._dial(endpoint, share, tls))

    async def _dial(
        self, endpoint: tuple[str, int], share: DescriptorShare, tls: ssl.SSLContext | None
    ) -> None:
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
                    breaks = self.break_count
                    connection.send(frames.encode(self._hello()))
                    await self.serve(connection, lambda frame, at=connection: self.receive(at, frame, True))
                    if self.break_count != breaks:  # it had come up
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
            self.connection_ended(connection)

    def _hello(self) -> Hello:
        epoch, token = self._epochs.own_epoch
        return Hello(
            frames.VERSION,
            self._ours,
            epoch,
            token,
            self._epochs.known_epoch(self.site),
            self.session.name,
            self.session.received,
            self.session.fresh,
        )

    def receive(self, connection: Connection, frame: Frame, dialled: bool) -> None:
        """One frame of a connection: its hello first. Raises MalformedMessageError, which ends it."""
        try:
            if connection is not self._connection:
                if not isinstance(frame, Hello):
                    raise ProtocolError("a frame before hello")
                self._handle_hello(connection, frame, dialled)
            elif not self.up:
                self._early_frames.append(frame)
            else:
                self._handle_frame(frame)
        except ProtocolError as fault:
            raise MalformedMessageError(str(fault)) from None

    def _handle_frame(self, frame: Frame) -> None:
        if (brought := self.session.receive(time.monotonic(), frame)) is not None:
            self._handlers.on_message(self.site, *brought)
        self.flush()

    def _handle_hello(self, connection: Connection, hello: Hello, dialled: bool) -> None:
        """Take the other side's hello, and go on with the session or begin a new one. Raises Faulty."""
        if hello.version != frames.VERSION:
            raise ProtocolError(f"version {hello.version} of the link, and {frames.VERSION} is spoken here")
        if hello.site != self.site:
            raise ProtocolError(f"it is site {hello.site!r}, and {self.site!r} was expected")
        doubt = stale_store_reason(hello, self._epochs.known_epoch(self.site), self._epochs.own_epoch)
        if doubt and doubt != self.stale_reason:
            self._log(f"site {self.site}: no work passes: {doubt}")
        self.stale_reason = doubt
        if not dialled and doubt:
            connection.send(frames.encode(self._hello()))  # so that it can tell as well
        if doubt:
            raise ProtocolError("a store is an older copy")
        now = time.monotonic()
        if dialled:
            if hello.session != self.session.name:
                raise ProtocolError("it answers with another session")
            try:
                # Guards against a side that began anew under our session: its numbers begin anew too.
                if hello.is_new and not self.session.fresh:
                    raise ProtocolError("it has forgotten the session")
                self.session.resume(now, hello.received)
            except ProtocolError:
                self.session = Session(
                    self._new_session_name()
                )  # the next connection has a session of its own
                raise
        else:
            if hello.session != self.session.name:
                self.session = Session(hello.session)
            connection.send(frames.encode(self._hello()))
            if self.session.fresh and not hello.is_new:
                return  # it hears that this side has forgotten, and comes again with a new session
            self.session.resume(now, hello.received)
        if self._connection is not None:  # the other side has given the old one up
            self._connection.close()
            self._mark_down()
        self._connection, self._early_frames = connection, []
        self._spawn(self._complete_handshake(connection, hello))

    async def _complete_handshake(self, connection: Connection, hello: Hello) -> None:
        """No work passes before the other side's epoch is on the disk: a restart could not tell it stale."""
        await self._epochs.record_epoch(self.site, hello.epoch, hello.token)
        if self._connection is not connection or connection.closed:
            return
        self.up = True
        self._log(f"site {self.site}: up, session {self.session.name}, epoch {hello.epoch}")
        self._handlers.on_up(self.site)
        early, self._early_frames = self._early_frames, []
        try:
            for frame in early:
                self._handle_frame(frame)
        except ProtocolError as fault:
            self._log(f"site {self.site}: closed: {fault}")
            connection.close()
        self.flush()

    def connection_ended(self, connection: Connection) -> None:
        if self._connection is connection:
            self._connection = None
            self._mark_down()

    def _mark_down(self) -> None:
        if self.up:
            self.up = False
            self.break_count += 1
            self._log(f"site {self.site}: down")
            self._handlers.on_down(self.site)

    def drop_connection(self) -> None:
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
        except StreamFullError as fault:
            self._log(f"site {self.site}: {fault}")
            return False
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_soon)
        return True

    def _flush_soon(self) -> None:
        self._flush_scheduled = False
        self.flush()

    def flush(self) -> None:
        """Send what may go out: no more than the connection can hold, the rest stays in its streams."""
        connection = self._connection
        while (
            self.up and connection is not None and not connection.closed and connection.unsent < UNSENT_MOST
        ):
            out = [frames.encode(frame) for frame in self.session.outgoing_frames(time.monotonic(), 2)]
            if not out:
                break
            connection.queue(b"".join(out))
        if connection is not None:
            connection.push()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self._tick_s)
            if self.up and self.session.timed_out(time.monotonic()):
                self._log(f"site {self.site}: nothing heard, the connection is given up")
                self.drop_connection()
            self.flush()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.drop_connection()


class LinkListener:
    """Where other sites connect. A connection is nobody's until it has said which site it is."""

    def __init__(
        self,
        address: tuple[str, int],
        links: dict[str, Link],
        share: DescriptorShare,
        log: Callable[[str], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """`tls`: who connects has to show the certificate of the site that it says it is."""
        self._links, self._share, self._log, self._tls = links, share, RateLimitedLog(log), tls
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
                stream, certified = await accept_tls(stream, self._tls)
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
                    raise MalformedMessageError(
                        f"site {frame.site!r} is not configured here"
                        if isinstance(frame, Hello)
                        else "it does not say which site it is"
                    )
                if self._tls is not None and certified != frame.site:
                    raise MalformedMessageError(
                        f"it says that it is {frame.site!r}, and shows the certificate of " f"{certified!r}"
                    )
                link = self._links[frame.site]
                connection.name = f"site {link.site}"
            link.receive(connection, frame, dialled=False)

        guard = asyncio.get_running_loop().call_later(
            HELLO_S, lambda: None if link is not None else connection.close()
        )
        try:
            await connection.pump(_parse, handle, lambda: connection.finish(LAST_S))
        finally:
            guard.cancel()
            if link is not None:
                link.connection_ended(connection)

    def close(self) -> None:
        self.listener.close()
        for task in self._tasks:
            task.cancel()
