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
from typing import TYPE_CHECKING, Protocol

from tornado.iostream import IOStream, StreamClosedError

from weldhatch.net.ring_buffer import Ring

if TYPE_CHECKING:
    import ssl

MESSAGE_MOST = 16 * 1024  # a longer message closes its connection
IN_MOST = MESSAGE_MOST + 2048  # one message, and the start of the next
OUT_MOST = 128 * 1024  # a peer that leaves so much unread is closed
READ_TURNS = 4  # turns of the event loop in which what has come is read, parsed and answered
NO_LINGER = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets


class Malformed(Exception):
    """What came in does not follow the protocol; the text says how."""


class Slots(Protocol):
    """Where a socket's slot of the descriptor budget goes back to."""

    def give_back(self) -> None: ...


class Connection:
    """Owns its socket and its slot in the budget; both are given back in `close`, once."""

    def __init__(self, stream: IOStream, slots: Slots, name: str, log: Callable[[str], None]) -> None:
        self._stream, self._slots, self.name, self._log = stream, slots, name, log
        self._in, self._out = Ring(IN_MOST), Ring(OUT_MOST)
        self._reading: asyncio.Future | None = None  # of `pump`, while it may still hand on something
        self._flushing: asyncio.Task | None = None
        self._flush_soon = False
        self.closed = self.reset = False
        self.heard = time.monotonic()
        self.owed_since = 0.0  # since when the rest of a message that has begun is awaited
        stream.set_nodelay(True)

    async def pump(
        self,
        parse: Callable[[Ring], object],
        handle: Callable[[object], None],
        turn_away: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Hand on each message until the connection ends; then give it back.

        `turn_away` comes between a message that can't be read and the close; nothing more is read.
        """
        try:
            while not self.closed:
                self._reading = asyncio.ensure_future(self._stream.read_into(self._in.room(), partial=True))
                count = await self._reading
                self._in.filled(count)
                self.heard = time.monotonic()
                while not self.closed and (message := parse(self._in)) is not None:
                    self.owed_since = 0.0
                    handle(message)
                if len(self._in) > MESSAGE_MOST:
                    raise Malformed(f"a message over {MESSAGE_MOST} bytes")
                if not len(self._in):
                    self.owed_since = 0.0
                elif not self.owed_since:
                    self.owed_since = self.heard
        except StreamClosedError as end:
            self.reset = isinstance(end.real_error, ConnectionResetError)
        except Malformed as fault:
            if not self.closed:
                self._log(f"{self.name}: closed: {fault}")
                if turn_away is not None:
                    self._reading = None
                    await turn_away()
        except Exception:
            # Guards the process against a fault of ours in one message: that connection alone ends.
            self._log(f"{self.name}: closed: " + traceback.format_exc().replace("\n", " | "))
        finally:
            self._reading = None
            self.close()

    @property
    def behind(self) -> bool:
        """Whether something has come, or the connection has ended, and `pump` has not handed that on yet."""
        if self._reading is None:
            return False
        if self._reading.done() or self.closed or self._stream.closed():
            return True
        if (descriptor := self._stream.socket.fileno()) < 0:  # of a play, whose readers get all at once
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def send(self, data: bytes) -> bool:
        """Queue the bytes; False where the connection is closed, or was for leaving too much unread."""
        if not self.queue(data):
            return False
        if self._flushing is None and not self._flush_soon:  # all that is sent in one turn goes out together
            self._flush_soon = True
            asyncio.get_running_loop().call_soon(self._start_soon)
        return True

    def queue(self, data: bytes) -> bool:
        """As `send`, for those who gather what goes out together themselves: it waits for `push`."""
        if self.closed:
            return False
        if not self._out.put(data):
            self._log(f"{self.name}: closed: it leaves more than {OUT_MOST} bytes unread")
            self.close()
            return False
        return True

    def push(self) -> None:
        """Write what is queued. Mostly the socket takes all of it at once, and no task is needed."""
        try:
            while self._flushing is None and len(self._out) and not self.closed:
                front = self._out.front()
                written = self._stream.write(front)
                if not written.done():
                    self._flushing = asyncio.get_running_loop().create_task(self._flush(written, len(front)))
                    return
                self._out.drop(len(front))
        except StreamClosedError:
            pass  # the reader sees it too, and closes

    @property
    def unsent(self) -> int:
        """Bytes that were sent and have not left yet, of OUT_MOST."""
        return len(self._out)

    def _start_soon(self) -> None:
        self._flush_soon = False
        self.push()

    async def _flush(self, written: Awaitable[None], count: int) -> None:
        """Go on from a write that the socket did not take whole."""
        try:
            await written
            self._out.drop(count)
            while len(self._out) and not self.closed:
                front = self._out.front()
                await self._stream.write(front)
                self._out.drop(len(front))
        except StreamClosedError:
            pass  # the reader sees it too, and closes
        finally:
            self._flushing = None

    async def _emptied(self, end: float) -> None:
        """Wait until all that was sent has left, or until then by the monotonic clock."""
        while len(self._out) and not self.closed and time.monotonic() < end:
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

    async def finish(self, within: float) -> None:
        """Close once what has come by now is answered and all of that has left, or when the time is up."""
        end = time.monotonic() + within
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        await self._emptied(end)
        self.close()

    async def linger(self, within: float) -> None:
        """Let all that was sent leave, then read and throw away for a while before the close.

        Guards against a reset that would take the last answer from a peer that is still sending.
        """
        end = time.monotonic() + within
        await self._emptied(end)
        with contextlib.suppress(StreamClosedError, OSError, TimeoutError):
            if not self.closed:
                self._stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(max(0.0, end - time.monotonic())):
                waste = bytearray(4096)
                while not self.closed:
                    await self._stream.read_into(waste, partial=True)
        self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._stream.close()
            self._slots.give_back()


async def connect(
    endpoint: tuple[str, int],
    within: float,
    slots: Slots,
    name: str,
    log: Callable[[str], None],
    tls: ssl.SSLContext | None = None,
) -> Connection:
    """A new connection; OSError where it is refused, TimeoutError where it never comes up.

    `tls`: with a handshake, in which the other side's certificate has to be for the endpoint's host.

    The caller has taken the slot. A failure gives it back here, a success hands it to the connection.
    """
    try:
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    except OSError:
        slots.give_back()
        raise
    try:
        async with asyncio.timeout(within):
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
