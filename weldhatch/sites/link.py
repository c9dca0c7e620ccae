"""The link to one other site: a connection, which is re-established when it ends, and its session.

Of two sites the one whose name sorts first dials, and the other listens. Both send a hello. The dialling side
names the session, and the other side resumes it if it still has its state. Work is exchanged only while the
link is up, that is from the exchange of hellos until a timeout, a fault, or the detection of an older copy of
a store.
"""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Protocol, cast

from weldhatch.net.connection import Connection, MalformedMessageError, connect
from weldhatch.net.descriptor_budget import DescriptorShare
from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.sites import frames
from weldhatch.sites.session import (
    Frame,
    Hello,
    ProtocolError,
    Session,
    StreamFullError,
    stale_store_reason,
)

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0  # a connection without a hello by then is closed
MIN_BACKOFF_S = 0.1  # first delay between connection attempts; doubles each time
MAX_BACKOFF_S = 2.0
TICK_S = 0.02
LINGER_S = 0.2  # time to flush frames queued before a fault, such as the hello that explains it
MAX_UNSENT_BYTES = 48 * 1024  # in a connection; beyond it frames wait in their streams


class EpochRegistry(Protocol):
    """The epoch of this site's store, and the recorded epochs of other sites' stores."""

    @property
    def own_epoch(self) -> tuple[int, str]:
        """Epoch and token of this site's store."""

    def known_epoch(self, site: str) -> tuple[int, str]:
        """Return the last recorded epoch and token of another site's store; (0, '') if there is none."""

    async def record_epoch(self, site: str, epoch: int, token: str) -> None:
        """Record epoch and token of another site's store; returns once the record is on the disk."""


@dataclass(slots=True, frozen=True)
class LinkHandlers:
    """Callbacks for the events of a link. The first argument of each is the other site's name.

    `on_message` also receives the stream and the payload, and may raise ProtocolError.
    """

    on_up: Callable[[str], None]
    on_down: Callable[[str], None]
    on_message: Callable[[str, int, bytes], None]


def parse(ring: RingBuffer) -> Frame | None:
    """Remove the next complete frame of a connection from its ring; None if there is none yet.

    Raises MalformedMessageError.
    """
    try:
        return frames.parse(ring)
    except ProtocolError as error:
        raise MalformedMessageError(str(error)) from None


async def _connect(
    site: str,
    endpoint: tuple[str, int],
    share: DescriptorShare,
    tls: ssl.SSLContext | None,
    log: Callable[[str], None],
) -> Connection | None:
    if not share.take():
        return None
    try:
        return await connect(endpoint, CONNECT_TIMEOUT_S, share, f"site {site}", log, tls)
    except ssl.SSLError as error:
        log(f"site {site}: no TLS: {error}")
    except (OSError, TimeoutError):
        pass  # `_dial` retries; `sites status` shows a link that is down
    return None


class Link:
    """The link to one site. Owns its connection, its session and its asyncio tasks."""

    def __init__(
        self,
        own_name: str,
        site: str,
        epochs: EpochRegistry,
        handlers: LinkHandlers,
        log: Callable[[str], None],
        tick_s: float = TICK_S,
    ) -> None:
        """Start without a connection. `tick_s`: interval of timeout checks and flushes."""
        self.site = site
        self._own_name = own_name
        self._epochs = epochs
        self._handlers = handlers
        self._log = log
        self._tick_s = tick_s
        self._session_count = 0
        self.session = Session(self._new_session_name())
        self._connection: Connection | None = None  # the connection whose hello has been accepted
        self._early_frames: list[Frame] = []  # frames received before the peer's epoch was on the disk
        self.up = False
        self.stale_reason = ""  # why no work is exchanged although the peer is reachable
        self.break_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._flush_scheduled = False
        self._spawn(self._tick())

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_session_name(self) -> str:
        self._session_count += 1
        epoch, token = self._epochs.own_epoch
        return f"{self._own_name}.{epoch}.{token}.{self._session_count}"

    def dial(
        self, endpoint: tuple[str, int], share: DescriptorShare, tls: ssl.SSLContext | None = None
    ) -> None:
        """Connect, and reconnect whenever the connection ends. `share`: descriptor quota."""
        self._spawn(self._dial(endpoint, share, tls))

    async def _dial(
        self, endpoint: tuple[str, int], share: DescriptorShare, tls: ssl.SSLContext | None
    ) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            break_count = self.break_count
            connection = await _connect(self.site, endpoint, share, tls, self._log)
            if connection is not None:
                connection.send(frames.encode(self._hello()))
                await self._serve_dialled(connection)
                if self.break_count != break_count:  # the link was up
                    backoff_s = MIN_BACKOFF_S
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _serve_dialled(self, connection: Connection) -> None:
        """Read from a connection until it ends; close it if no hello arrives in time."""
        hello_timer = asyncio.get_running_loop().call_later(
            HELLO_TIMEOUT_S, lambda: None if self._connection is connection else connection.close()
        )
        try:
            await connection.pump(
                parse,
                lambda frame: self.receive(connection, cast(Frame, frame), dialled=True),
                lambda: connection.finish(LINGER_S),
            )
        finally:
            hello_timer.cancel()
            self.connection_ended(connection)

    def _hello(self) -> Hello:
        epoch, token = self._epochs.own_epoch
        return Hello(
            version=frames.VERSION,
            site=self._own_name,
            epoch=epoch,
            token=token,
            known_peer_epoch=self._epochs.known_epoch(self.site),
            session=self.session.name,
            received=self.session.received,
            is_new=self.session.unused,
        )

    def receive(self, connection: Connection, frame: Frame, dialled: bool) -> None:
        """Handle one frame of a connection; the first must be a hello. `dialled`: this side connected.

        Raises MalformedMessageError, which ends the connection.
        """
        try:
            if connection is not self._connection:
                if not isinstance(frame, Hello):
                    raise ProtocolError("frame received before hello")
                self._handle_hello(connection, frame, dialled)
            elif not self.up:
                self._early_frames.append(frame)
            else:
                self._handle_frame(frame)
        except ProtocolError as error:
            raise MalformedMessageError(str(error)) from None

    def _handle_frame(self, frame: Frame) -> None:
        if (message := self.session.receive(time.monotonic(), frame)) is not None:
            self._handlers.on_message(self.site, *message)
        self.flush()

    def _handle_hello(self, connection: Connection, hello: Hello, dialled: bool) -> None:
        """Resume or start a session, and adopt the connection. Raises ProtocolError."""
        self._check_hello(connection, hello, dialled)
        if dialled:
            self._resume_own_session(hello)
        elif not self._resume_peer_session(connection, hello):
            return
        if self._connection is not None:  # the peer has given up the old connection
            self._connection.close()
            self._mark_down()
        self._connection = connection
        self._early_frames = []
        self._spawn(self._complete_handshake(connection, hello))

    def _check_hello(self, connection: Connection, hello: Hello, dialled: bool) -> None:
        """Raise ProtocolError for a wrong version or site, or if either store is an older copy."""
        if hello.version != frames.VERSION:
            raise ProtocolError(f"link protocol version is {hello.version}, expected {frames.VERSION}")
        if hello.site != self.site:
            raise ProtocolError(f"connected to site {hello.site!r}, expected {self.site!r}")
        reason = stale_store_reason(hello, self._epochs.known_epoch(self.site), self._epochs.own_epoch)
        if reason and reason != self.stale_reason:
            self._log(f"site {self.site}: no work passes: {reason}")
        self.stale_reason = reason
        if reason:
            if not dialled:
                connection.send(frames.encode(self._hello()))  # so that the peer detects it as well
            raise ProtocolError("a store is an older copy")

    def _resume_own_session(self, hello: Hello) -> None:
        """Resume the session that this side has named. Raises ProtocolError if the peer can't resume it."""
        if hello.session != self.session.name:
            raise ProtocolError("peer answered with a different session")
        try:
            # A peer without the session's state restarts its message numbers, so it can't be resumed.
            if hello.is_new and not self.session.unused:
                raise ProtocolError("it has forgotten the session")
            self.session.resume(time.monotonic(), hello.received)
        except ProtocolError:
            self.session = Session(self._new_session_name())  # the next connection starts a new session
            raise

    def _resume_peer_session(self, connection: Connection, hello: Hello) -> bool:
        """Answer a hello and resume the session it names; False if this side has no state of that session.

        The peer learns from the answer that the session is lost, and reconnects with a new one.
        """
        if hello.session != self.session.name:
            self.session = Session(hello.session)
        connection.send(frames.encode(self._hello()))
        if self.session.unused and not hello.is_new:
            return False
        self.session.resume(time.monotonic(), hello.received)
        return True

    async def _complete_handshake(self, connection: Connection, hello: Hello) -> None:
        """Record the peer's epoch, then mark the link up.

        Without the record, this side could not detect an older copy of the peer's store after a restart.
        """
        await self._epochs.record_epoch(self.site, hello.epoch, hello.token)
        if self._connection is not connection or connection.closed:
            return
        self.up = True
        self._log(f"site {self.site}: up, session {self.session.name}, epoch {hello.epoch}")
        self._handlers.on_up(self.site)
        early_frames = self._early_frames
        self._early_frames = []
        try:
            for frame in early_frames:
                self._handle_frame(frame)
        except ProtocolError as error:
            self._log(f"site {self.site}: closed: {error}")
            connection.close()
        self.flush()

    def connection_ended(self, connection: Connection) -> None:
        """Handle the end of a connection: mark the link down if it used that connection."""
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
        """Close the current connection, if any; a dialling side then reconnects."""
        if self._connection is not None:
            self._connection.close()

    def send(self, stream: int, payload: bytes) -> bool:
        """Queue one message for the session; False if the link is down or the stream's queue is full.

        A rejected message is dropped; the caller must send it again once the link is up.
        """
        if not self.up:
            return False
        try:
            self.session.send(stream, payload)
        except StreamFullError as error:
            self._log(f"site {self.site}: {error}")
            return False
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_now)
        return True

    def _flush_now(self) -> None:
        self._flush_scheduled = False
        self.flush()

    def flush(self) -> None:
        """Send queued frames up to the connection's buffer limit; the others stay in their streams."""
        connection = self._connection
        if connection is None:
            return
        while self.up and not connection.closed and connection.unsent < MAX_UNSENT_BYTES:
            encoded_frames = [
                frames.encode(frame) for frame in self.session.outgoing_frames(time.monotonic(), 2)
            ]
            if not encoded_frames:
                break
            connection.queue(b"".join(encoded_frames))
        connection.push()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self._tick_s)
            if self.up and self.session.timed_out(time.monotonic()):
                self._log(f"site {self.site}: nothing heard, the connection is given up")
                self.drop_connection()
            self.flush()

    def close(self) -> None:
        """Close the connection and cancel all asyncio tasks; the link stays down."""
        for task in self._tasks:
            task.cancel()
        self.drop_connection()
