"""A connection: an IOStream with a bounded receive buffer and a bounded send buffer."""

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

MAX_MESSAGE_BYTES = 16 * 1024  # a connection that receives a longer message is closed
RECEIVE_BUFFER_BYTES = MAX_MESSAGE_BYTES + 2048  # one message, and the start of the next
SEND_BUFFER_BYTES = 128 * 1024  # a connection whose peer leaves more than this unread is closed
FINAL_ITERATIONS = 4  # event-loop iterations in which received input is still read and answered
NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close resets the connection


class MalformedMessageError(Exception):
    """Received bytes violate the protocol; the text names the violation."""


class SlotOwner(Protocol):
    """The descriptor budget, or a share of it, that a socket's slot is returned to."""

    def give_back(self) -> None:
        """Return the slot of one closed socket."""


class Connection:
    """Owns a socket and its slot in the descriptor budget; `close` releases both, exactly once."""

    def __init__(self, stream: IOStream, slots: SlotOwner, name: str, log: Callable[[str], None]) -> None:
        """Take ownership of a connected stream and its slot; `name` identifies the connection in the log."""
        self._stream = stream
        self._slots = slots
        self.name = name
        self._log = log
        self._receive_buffer = RingBuffer(RECEIVE_BUFFER_BYTES)
        self._send_buffer = RingBuffer(SEND_BUFFER_BYTES)
        self._reading: asyncio.Future[int] | None = (
            None  # the read that `pump` awaits; None once it stops reading
        )
        self._flushing: asyncio.Task[None] | None = None
        self._is_flush_scheduled = False
        self.closed = False
        self.reset = False
        self.last_received = time.monotonic()  # monotonic time of the last received bytes
        self.incomplete_since = 0.0  # monotonic time since which a message is incomplete; 0.0 if none is
        stream.set_nodelay(True)

    async def pump(
        self,
        parse: Callable[[RingBuffer], Message | None],
        handle: Callable[[Message], None],
        on_malformed: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Pass each received message to `handle` until the connection ends, then close it.

        `on_malformed` is awaited between a malformed message and the close; nothing more is read meanwhile.
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
                    raise MalformedMessageError(f"message longer than {MAX_MESSAGE_BYTES} bytes")
                if not len(self._receive_buffer):
                    self.incomplete_since = 0.0
                elif not self.incomplete_since:
                    self.incomplete_since = self.last_received
        except StreamClosedError as end:
            self.reset = isinstance(end.real_error, ConnectionResetError)
        except MalformedMessageError as error:
            await self._reject(error, on_malformed)
        except Exception:
            # A defect in the handling of one message closes this connection alone, not the process.
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
        """Whether received input, or the end of the connection, has not been processed by `pump` yet."""
        if self._reading is None:
            return False
        if self._reading.done() or self.closed or self._stream.closed():
            return True
        if (descriptor := self._stream.socket.fileno()) < 0:
            return False  # a simulated socket, which delivers all input at once
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def send(self, data: bytes) -> bool:
        """Queue the bytes; return False if the connection is closed, or closes as its buffer is full."""
        if not self.queue(data):
            return False
        if self._flushing is None and not self._is_flush_scheduled:
            # Bytes sent in one loop iteration are written together.
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_scheduled_data)
        return True

    def queue(self, data: bytes) -> bool:
        """Queue the bytes as `send` does, but write nothing until the caller, after a batch, calls `push`."""
        if self.closed:
            return False
        if not self._send_buffer.put(data):
            self._log(f"{self.name}: closed: the peer has left more than {SEND_BUFFER_BYTES} bytes unread")
            self.close()
            return False
        return True

    def push(self) -> None:
        """Write the queued bytes. A task is started only if the socket does not accept all at once."""
        try:
            while self._flushing is None and len(self._send_buffer) and not self.closed:
                front = self._send_buffer.front()
                written = self._stream.write(front)
                if not written.done():
                    self._flushing = asyncio.get_running_loop().create_task(self._flush(written, len(front)))
                    return
                self._send_buffer.drop(len(front))
        except StreamClosedError:
            pass  # `pump` gets the same error and closes the connection

    @property
    def unsent(self) -> int:
        """Number of queued bytes not yet written to the socket, at most SEND_BUFFER_BYTES."""
        return len(self._send_buffer)

    def _flush_scheduled_data(self) -> None:
        self._is_flush_scheduled = False
        self.push()

    async def _flush(self, written: Awaitable[None], count: int) -> None:
        """Complete a write that the socket accepted only in part, then write all that is queued."""
        try:
            await written
            self._send_buffer.drop(count)
            while len(self._send_buffer) and not self.closed:
                front = self._send_buffer.front()
                await self._stream.write(front)
                self._send_buffer.drop(len(front))
        except StreamClosedError:
            pass  # `pump` gets the same error and closes the connection
        finally:
            self._flushing = None

    async def _wait_until_sent(self, end: float) -> None:
        """Wait until the send buffer is empty, or until `end` on the monotonic clock (seconds)."""
        while len(self._send_buffer) and not self.closed and time.monotonic() < end:
            self.push()
            if self._flushing is None:
                break
            await asyncio.wait([self._flushing], timeout=max(0.0, end - time.monotonic()))

    def abort(self) -> None:
        """Close at once with a TCP reset.

        After an ordinary close the kernel keeps retransmitting data that has not arrived. On a network path
        that recovers seconds later, the peer would take this stale data for new.
        """
        if not self.closed:
            with contextlib.suppress(OSError, AttributeError):  # the socket has just been closed
                self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.close()

    async def finish(self, timeout_s: float) -> None:
        """Close once input received by now is answered and all answers are written, or after `timeout_s`."""
        end = time.monotonic() + timeout_s
        for _ in range(FINAL_ITERATIONS):
            await asyncio.sleep(0)
        await self._wait_until_sent(end)
        self.close()

    async def linger(self, timeout_s: float) -> None:
        """Write all queued bytes, discard input until the peer closes, then close; all within `timeout_s`.

        A close with unread input resets the connection, and a peer still sending would lose the last answer.
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
        """Close the socket and return its slot, once; the kernel still sends the bytes written so far."""
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
    """Open a connection. Raises OSError if it fails, TimeoutError if it takes longer than `timeout_s`.

    With `tls`, a TLS handshake follows, in which the server's certificate must match the endpoint's host.

    The caller has taken the slot. A failure returns it to the budget, a success passes it to the connection.
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
