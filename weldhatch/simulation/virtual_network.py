"""The network of a play: streams with delays by seed, cuts in either way, resets. In the place of sockets.

Bytes of one direction keep their order. While a way is cut they wait, as TCP sends them again; a process
that is killed resets its connections where the reset arrives, and is silent where it does not.
"""

from __future__ import annotations

import asyncio
import itertools
import socket as system
from collections import deque
from collections.abc import Callable
from random import Random

from tornado.iostream import StreamClosedError

from weldhatch.net.connection import NO_LINGER
from weldhatch.simulation.loop import LIFE, Life, VirtualLoop

Endpoint = tuple[str, int]


class Wires:
    """Owns the listeners by address and the cuts; `heard` is told of each delivery."""

    def __init__(
        self,
        loop: VirtualLoop,
        random: Random,
        delay_s: float,
        heard: Callable[[str, str, bytes], None],
        touch: Callable[[Life], None],
    ) -> None:
        """`touch` hears before each write of a process: it may kill it there."""
        self.touch = touch
        self.loop, self.random, self.delay_s, self.heard = loop, random, delay_s, heard
        self.listening: dict[Endpoint, Socket] = {}
        self.cuts: set[tuple[str, str]] = set()  # ways, from one process to another
        self._stuck: deque[tuple[Stream, bytes | None]] = deque()
        self._numbers = itertools.count(1000)
        loop.in_line = lambda: {one.number for one in self.listening.values() if one.line}

    def number(self) -> int:
        return next(self._numbers)

    def delay(self) -> float:
        return self.delay_s * (0.5 + self.random.expovariate(1.0))

    def is_cut(self, src: str, dst: str) -> bool:
        return (src, dst) in self.cuts

    def cut(self, ways: set[tuple[str, str]]) -> None:
        self.cuts |= ways

    def heal(self, ways: set[tuple[str, str]]) -> None:
        """What waited goes out, in order."""
        self.cuts -= ways
        waiting, self._stuck = self._stuck, deque()
        for stream, data in waiting:
            self.carry(stream, data)

    def carry(self, stream: Stream, data: bytes | None) -> None:
        """Bytes, or the end of the stream (None), on their way to the other side."""
        to = stream.peer
        if to is None or not to.life.alive:
            return
        if self.is_cut(stream.life.name, to.life.name):
            self._stuck.append((stream, data))
            return
        # No two of a stream are due at once: timers of one time have no order.
        stream.due = max(stream.due + 1e-9, self.loop.now + self.delay())
        self.loop.call_at(stream.due, self._arrive, stream, to, data, context=self.loop.bare)

    def drop(self, stream: Stream) -> None:
        """A reset: what waits at a cut is gone, and the other side hears of it where it can."""
        self._stuck = deque(one for one in self._stuck if one[0] is not stream)
        to = stream.peer
        if to is not None and to.life.alive and not self.is_cut(stream.life.name, to.life.name):
            self.loop.call_at(
                max(stream.due, self.loop.now + self.delay()), to.was_reset, context=self.loop.bare
            )

    def _arrive(self, stream: Stream, to: Stream, data: bytes | None) -> None:
        if to.life.alive:
            self.touch(to.life)
        if to.life.alive:
            self.heard(stream.life.name, to.life.name, data or b"")
            to.arrived(data)

    def killed(self, life: Life) -> None:
        """The system closes what the process held, at once and without a word where nobody can hear it."""
        for one in list(life.listening):
            self.listening.pop(one.address, None)
        for stream in list(life.ends):
            to = stream.peer
            if to is not None and to.life.alive and not self.is_cut(life.name, to.life.name):
                self.loop.call_at(
                    max(stream.due, self.loop.now + self.delay()), to.was_reset, context=self.loop.bare
                )
            stream.shut = True


class Socket:
    """What the program's listener and its dialling side make of `socket.socket`."""

    def __init__(self, wires: Wires) -> None:
        self.wires, self.life, self.number = wires, LIFE.get(), wires.number()
        self.address: Endpoint = ("", 0)
        self.line: deque[Stream] = deque()

    def setsockopt(self, *_: object) -> None:
        pass

    def setblocking(self, _: bool) -> None:
        pass

    def bind(self, address: Endpoint) -> None:
        if address in self.wires.listening:
            raise OSError(98, f"{address} is in use")
        self.address = address

    def listen(self, _: int) -> None:
        self.wires.listening[self.address] = self
        self.life.listening[self] = None

    def getsockname(self) -> Endpoint:
        return self.address

    def fileno(self) -> int:
        return self.number

    def accept(self) -> tuple[Stream, Endpoint]:
        if not self.line:
            raise BlockingIOError
        return self.line.popleft(), ("127.0.0.1", 1)

    def close(self) -> None:
        if self.wires.listening.get(self.address) is self:
            del self.wires.listening[self.address]
        self.life.listening.pop(self, None)


class Stream:
    """One side of a connection, as far as the program uses Tornado's `IOStream`."""

    def __init__(self, wires: Wires, life: Life) -> None:
        self.wires, self.life = wires, life
        self.peer: Stream | None = None
        self.due = 0.0  # when the last bytes that we sent arrive
        self.shut = self._over = self._hard = False
        self._in = bytearray()
        self._error: Exception | None = None
        self._reading: tuple[asyncio.Future, memoryview] | None = None
        life.ends[self] = None

    @property
    def socket(self) -> Stream:
        return self

    def shutdown(self, _: int) -> None:
        self.wires.carry(self, None)

    def setblocking(self, _: bool) -> None:
        pass

    def setsockopt(self, _: int, option: int, value: bytes) -> None:
        if option == system.SO_LINGER:  # a close resets, and what has not arrived never does
            self._hard = value == NO_LINGER

    def set_nodelay(self, _: bool) -> None:
        pass

    def closed(self) -> bool:
        return self.shut

    def fileno(self) -> int:
        """There is none: what has arrived is handed to the reader at once, so nothing lies unread."""
        return -1

    async def connect(self, endpoint: Endpoint) -> Stream:
        """Raises StreamClosedError where nobody listens; never returns where a way is cut."""
        wires, loop = self.wires, self.wires.loop
        await asyncio.sleep(wires.delay())
        listener = wires.listening.get(tuple(endpoint))
        if listener is None:
            raise StreamClosedError(real_error=ConnectionRefusedError(111, "refused"))
        there, here = listener.life.name, self.life.name
        if wires.is_cut(here, there) or wires.is_cut(there, here):
            await loop.create_future()
        other = Stream(wires, listener.life)
        self.peer, other.peer = other, self
        listener.line.append(other)
        loop.call_soon(loop.readable, listener.number, context=loop.bare)
        await asyncio.sleep(wires.delay())
        if self.shut:
            raise StreamClosedError(real_error=ConnectionResetError(104, "reset"))
        return self

    def write(self, data: bytes | memoryview) -> asyncio.Future:
        if self.shut or self._error is not None:
            raise StreamClosedError(real_error=self._error)
        done = self.wires.loop.create_future()
        done.set_result(None)
        if self.life.alive:
            self.wires.touch(self.life)
        if self.life.alive:  # what a killed process still does in its last turn leaves it no more
            self.wires.carry(self, bytes(data))
        return done

    def read_into(self, room: memoryview, partial: bool = False) -> asyncio.Future:
        done = self.wires.loop.create_future()
        self._reading = done, memoryview(room)
        self._feed()
        return done

    def _feed(self) -> None:
        """What has come goes to whoever reads."""
        if self._reading is None or self._reading[0].done():
            return
        done, room = self._reading
        if self._in and not self.shut:
            count = min(len(room), len(self._in))
            room[:count] = self._in[:count]
            del self._in[:count]
            done.set_result(count)
        elif self.shut or self._over or self._error is not None:
            done.set_exception(StreamClosedError(real_error=self._error))
            done.exception()

    def arrived(self, data: bytes | None) -> None:
        if data is None:
            self._over = True
        else:
            self._in += data
        self._feed()

    def was_reset(self) -> None:
        self._error = ConnectionResetError(104, "reset by the other side")
        self._feed()

    def close(self) -> None:
        if not self.shut:
            self.shut = True
            self._feed()
            self.life.ends.pop(self, None)
            if self.life.alive and self._hard:
                self.wires.drop(self)
            elif self.life.alive:
                self.wires.carry(self, None)


class SocketModule:
    """In the place of the module `socket` where the program makes sockets."""

    AF_INET, SOCK_STREAM, SOL_SOCKET, SO_REUSEADDR, SO_LINGER, SHUT_WR = (
        system.AF_INET,
        system.SOCK_STREAM,
        system.SOL_SOCKET,
        system.SO_REUSEADDR,
        system.SO_LINGER,
        system.SHUT_WR,
    )

    def __init__(self, wires: Wires) -> None:
        self._wires = wires

    def socket(self, *_: object) -> Socket:
        return Socket(self._wires)

    def stream(self, of: Socket | Stream) -> Stream:
        """What `IOStream(...)` gives: for a new socket one that can connect, for an accepted one itself."""
        return of if isinstance(of, Stream) else Stream(self._wires, LIFE.get())
