"""One connection: an IOStream with one bounded ring buffer a direction."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol, TypeVar

from tornado.iostream import IOStream, StreamClosedError

from weldhatch.net.ring_buffer import RingBuffer

if TYPE_CHECKING:
    import ssl

Message = TypeVar("Message")

MAX_MESSAGE_BYTES = 16 * 1024  # a longer message closes its connection
RECEIVE_BUFFER_BYTES = MAX_MESSAGE_BYTES + 2048  # one message, and the start of the next
SEND_BUFFER_BYTES = 128 * 1024  # a peer that leaves so much unread is closed
FINAL_ITERATIONS = 4  # of the event loop, in which what has come is read, parsed and answered
NO_LINGER = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets


class MalformedMessageError(Exception):
    """What came in does not follow the protocol; the text says how."""


class SlotOwner(Protocol):
    """Where a socket's slot of the descriptor budget goes back to."""

    def give_back(self) -> None:
        """Take the slot of one socket that is closed."""


class Connection:
    """Owns its socket and its slot in the budget; both are given back in `close`, once."""

    def __init__(self, stream: IOStream, slots: SlotOwner, name: str, log: Callable[[str], None]) -> None:
        """Take over a stream that is connected, and its slot; `name` is for the log."""
        self._stream = stream
        self._slots = slots
        self.name = name
        self._log = log
        self._receive_buffer = RingBuffer(RECEIVE_BUFFER_BYTES)
        self._send_buffer = RingBuffer(SEND_BUFFER_BYTES)
        self._reading: asyncio.Future[int] | None = None  # of `pump`, while it may still hand on something
        self._flushing: asyncio.Task[None] | None = None
        self._is_flush_scheduled = False
        self.closed = False
        self.reset = False
        self.last_received = time.monotonic()  # when anything came last
        self.incomplete_since = 0.0  # since when the rest of a message that has begun is awaited
        stream.set_nodelay(True)

    async def pump(
        self,
        parse: Callable[[RingBuffer], Message | None],
        handle: Callable[[Message], None],
        on_malformed: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Hand on each message until the connection ends; then give it back.

        `turn_away` comes between a message that can't be read and the close; nothing more is read.
        """
        try:
            while not self.closed:
                self._reading = asyncio.ensure_future(
                    self._stream.read_into(self._receive_buffer.free_space(), partial=True)  # type: ignore[arg-type]
                )
                count = await self._reading
                self._receive_buffer.commit(count)
                self.last_received = time.monotonic()
                while not self.closed and (message := parse(self._receive_buffer)) is not None:
                    self.incomplete_since = 0.0
                    handle(message)
                if len(self._receive_buffer) > MAX_MESSAGE_BYTES:
                    raise MalformedMessageError(f"a message over {MAX_MESSAGE_BYTES} bytes")
                if not len(self._receive_buffer):
                    self.incomplete_since = 0.0
                elif not self.incomplete_since:
                    self.incomplete_since = self.last_received
        except StreamClosedError as end:
            self.reset = isinstance(end.real_error, ConnectionResetError)
        except MalformedMessageError as error:
            await self._reject(error, on_malformed)
        except Exception:
            # Guards the process against a fault of ours in one message: that connection alone ends.
            self._log(f"{self.name}: closed: " + traceback.format_exc().replace("\n", " | "))
        finally:
            self._reading = None
            self.close()

    async def _reject(
        self, error: MalformedMessageError, on_malformed: Callable[[], Awaitable[None]] | None
    ) -> None:
        if self.closed:
            return
        self._log(f"{self.name}: closed: {error}")
        if on_malformed is not None:
            self._reading = None
            await on_malformed()

    @property
    def has_unhandled(self) -> bool:
        """Whether something has come, or the connection has ended, and `pump` has not handed that on yet."""
        if self._reading is None:
            return False
        if self._reading.done() or self.closed or self._stream.closed():
            return True
        if (descriptor := self._stream.socket.fileno()) < 0:  # of a simulation, whose readers get all at once
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def send(self, data: bytes) -> bool:
        """Queue the bytes; False where the connection is closed, or was for leaving too much unread."""
        if not self.queue(data):
            return False
        if (
            self._flushing is None and not self._is_flush_scheduled
        ):  # all that is sent in one iteration goes out together
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_scheduled_data)
        return True

    def queue(self, data: bytes) -> bool:
        """Queue the bytes as `send` does, for those who gather what goes out together: then call `push`."""
        if self.closed:
            return False
        if not self._send_buffer.put(data):
            self._log(f"{self.name}: closed: it leaves more than {SEND_BUFFER_BYTES} bytes unread")
            self.close()
            return False
        return True

    def push(self) -> None:
        """Write what is queued. Mostly the socket takes all of it at once, and no task is needed."""
        try:
            while self._flushing is None and len(self._send_buffer) and not self.closed:
                front = self._send_buffer.front()
                written = self._stream.write(front)
                if not written.done():
                    self._flushing = asyncio.get_running_loop().create_task(self._flush(written, len(front)))
                    return
                self._send_buffer.drop(len(front))
        except StreamClosedError:
            pass  # the reader sees it too, and closes

    @property
    def unsent(self) -> int:
        """Bytes that were sent and have not left yet, of OUT_MOST."""
        return len(self._send_buffer)

    def _flush_scheduled_data(self) -> None:
        self._is_flush_scheduled = False
        self.push()

    async def _flush(self, written: Awaitable[None], count: int) -> None:
        """Go on from a write that the socket did not take whole."""
        try:
            await written
            self._send_buffer.drop(count)
            while len(self._send_buffer) and not self.closed:
                front = self._send_buffer.front()
                await self._stream.write(front)
                self._send_buffer.drop(len(front))
        except StreamClosedError:
            pass  # the reader sees it too, and closes
        finally:
            self._flushing = None

    async def _wait_until_sent(self, end: float) -> None:
        """Wait until all that was sent has left, or until then by the monotonic clock."""
        while len(self._send_buffer) and not self.closed and time.monotonic() < end:
            self.push()
            if self._flushing is None:
                break
            await asyncio.wait([self._flushing], timeout=max(0.0, end - time.monotonic()))

    def abort(self) -> None:
        """Close at once, by a reset.

        Guards against what was sent and has not arrived: the system would go on sending it after a close, and
        where a link comes back seconds later it would arrive as if it had just been said.
        """
        if not self.closed:
            with contextlib.suppress(OSError, AttributeError):  # of one that has just ended
                self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.close()

    async def finish(self, timeout_s: float) -> None:
        """Close once what has come by now is answered and all of that has left, or when the time is up."""
        end = time.monotonic() + timeout_s
        for _ in range(FINAL_ITERATIONS):
            await asyncio.sleep(0)
        await self._wait_until_sent(end)
        self.close()

    async def linger(self, timeout_s: float) -> None:
        """Let all that was sent leave, then read and throw away for a while before the close.

        Guards against a reset that would take the last answer from a peer that is still sending.
        """
        end = time.monotonic() + timeout_s
        await self._wait_until_sent(end)
        with contextlib.suppress(StreamClosedError, OSError, TimeoutError):
            if not self.closed:
                self._stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(max(0.0, end - time.monotonic())):
                discarded = bytearray(4096)
                while not self.closed:
                    await self._stream.read_into(discarded, partial=True)
        self.close()

    def close(self) -> None:
        """Give the socket and its slot back, once; what has not left is still sent by the system."""
        if not self.closed:
            self.closed = True
            self._stream.close()
            self._slots.give_back()


async def connect(
    endpoint: tuple[str, int],
    timeout_s: float,
    slots: SlotOwner,
    name: str,
    log: Callable[[str], None],
    tls: ssl.SSLContext | None = None,
) -> Connection:
    """Open a connection. Raises OSError where it is refused, TimeoutError where it does not come up in time.

    `within`: seconds; `tls`: with a handshake, in which the other side's certificate has to be for the
    endpoint's host.

    The caller has taken the slot. A failure gives it back here, a success hands it to the connection.
    """
    try:
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    except OSError:
        slots.give_back()
        raise
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect(endpoint)
            if tls is not None:
                stream = await stream.start_tls(False, tls, server_hostname=endpoint[0])
    except BaseException as error:
        stream.close()
        slots.give_back()
        if isinstance(error, StreamClosedError):
            raise (error.real_error or ConnectionError("closed")) from None
        raise
    return Connection(stream, slots, name, log)
