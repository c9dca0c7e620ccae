"""Stand-in servers in halls, for the platform's protocol: start pace, warmth, a fall when overrun, cuts.

Each listens once for each hall that dispatchers stand in, so that two halls can be cut apart. What it
was handed, by whom and when, is what a judge reads.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from weldhatch.net.connection import MAX_MESSAGE_BYTES, MalformedMessageError
from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.platform import server_codec as b

HOST = "127.0.0.1"


@dataclass(slots=True)
class Start:
    """One set-up that a server took or turned away. Seconds of `clock`."""

    at: float
    by: str  # the dispatcher
    server: str
    hall: str
    class_name: str
    key: str
    came: str = "ran"  # or full, error, fell, unheard
    until: float = float("inf")
    load: float = 0.0  # starts within the window, over what the server bore then


@dataclass(slots=True)
class Pace:
    """What a server bears: `cold` starts within `window_s` when just back, more as it warms up."""

    cold: int = 6
    window_s: float = 1.0
    warm_s: float = 6.0
    first: float = 0.25  # the part of its pace that a cold server has

    def bears(self, age: float) -> float:
        """Starts within the window, at an age in seconds since it came up."""
        part = self.first + (1 - self.first) * min(1.0, age / self.warm_s)
        return self.cold * part / self.first


class Port:
    """One listening address: up, refusing, or hung as on a machine that has vanished."""

    def __init__(self, server: Server, viewer: str, port: int) -> None:
        self.server, self.viewer = server, viewer
        self.conns: set[Conn] = set()
        self.address = (HOST, port)
        self.deaf = False  # hears all, and nothing that it says arrives
        self._listener: asyncio.Server | None = None
        self._sock: socket.socket | None = None
        self._filling: list[socket.socket] = []

    async def open(self) -> None:
        self.close()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.address)
        self._sock = sock
        self._listener = await asyncio.get_running_loop().create_server(lambda: Conn(self), sock=sock)

    def close(self) -> None:
        """Connections are reset, new ones refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for sock in self._filling:
            sock.close()
        self._filling = []
        for conn in list(self.conns):
            conn.transport.abort()

    def hang(self) -> None:
        """Open connections stay open and silent, and new ones never come up: the line of those that wait to
        be taken is full."""
        for conn in self.conns:
            conn.hung = True
        if self._listener is None or self._filling:
            return
        # It listens all the time: one connection refused in between would prove that nothing runs here.
        asyncio.get_running_loop().remove_reader(self._sock.fileno())
        self._sock.listen(0)
        for _ in range(2):
            filling = socket.socket()
            filling.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filling.connect(self.address)
            self._filling.append(filling)


class Conn(asyncio.Protocol):
    def __init__(self, port: Port) -> None:
        self.port, self.hung = port, False
        self._in = RingBuffer(MAX_MESSAGE_BYTES + 2048)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.port.conns.add(self)
        for tag, cause in self.port.server.unheard.get(self.port.viewer, ()):
            self.say(b.encode(b.RELEASE, tag, {b.CAUSE: bytes((cause,))}))

    def connection_lost(self, _: Exception | None) -> None:
        self.port.conns.discard(self)

    def data_received(self, data: bytes) -> None:
        if self.hung:
            return
        try:
            for at in range(0, len(data), 4096):
                self._in.put(data[at : at + 4096])
                while (message := b.parse(self._in)) is not None:
                    self.port.server.hear(self, message)
        except MalformedMessageError:
            self.transport.abort()

    def say(self, data: bytes) -> None:
        if not self.hung and not self.port.deaf and not self.transport.is_closing():
            self.transport.write(data)


@dataclass(slots=True)
class Task:
    start: Start
    viewer: str
    cores: float
    ending: asyncio.TimerHandle


class Server:
    """One machine of a hall. `viewers`: the port that each hall reaches it at; `clock`: monotonic seconds;
    `starts` gets one entry a set-up."""

    def __init__(
        self,
        name: str,
        hall: str,
        rack: int,
        viewers: dict[str, int],
        pace: Pace,
        cores: float,
        hold_s: Callable[[], float],
        starts: list[Start],
        clock: Callable[[], float],
    ) -> None:
        self.name, self.hall, self.rack, self.pace, self.cores = name, hall, rack, pace, cores
        self._hold_s, self._starts, self._clock = hold_s, starts, clock
        self.ports = {viewer: Port(self, viewer, port) for viewer, port in viewers.items()}
        self.tasks: dict[bytes, Task] = {}
        self.unheard: dict[str, deque[tuple[bytes, int]]] = {}
        self.up, self.since, self.fell, self.cut_off = True, clock() - 3600.0, False, False
        self.wrong, self.slow_s = "", 0.0  # "error": answers so; and how long every answer takes
        self._recent: deque[float] = deque()
        self.worst = 0.0  # the most starts within a window over what it bore, since it was cold
        self.unit = 1.0  # cores a task takes

    async def start(self) -> None:
        for port in self.ports.values():
            await port.open()

    def die(self) -> None:
        """The process ends: tasks are cut, connections reset, new ones refused."""
        self.up = False
        self._cut_all()
        for port in self.ports.values():
            port.close()

    def _cut_all(self) -> None:
        now = self._clock()
        for task in self.tasks.values():
            task.ending.cancel()
            task.start.until = now
        self.tasks.clear()
        self.unheard.clear()

    def vanish(self) -> None:
        """As `die`, and without any sign."""
        self.up = False
        self._cut_all()
        for port in self.ports.values():
            port.hang()

    def cut(self, viewers: list[str]) -> None:
        """Out of reach of dispatchers in those halls; what runs, runs on."""
        self.cut_off = bool(viewers)
        for viewer in viewers:
            self.ports[viewer].hang()

    async def back(self, cold: bool = True) -> None:
        """Up again; `cold`: as a new process, without any program."""
        if cold:
            self._cut_all()
            self.since, self.fell, self.worst = self._clock(), False, 0.0
            self._recent.clear()
        self.up, self.cut_off = True, False
        for port in self.ports.values():
            port.deaf = False
            await port.open()

    def close(self) -> None:
        self._cut_all()
        for port in self.ports.values():
            port.close()

    # ---- what dispatchers say --------------------------------------------------------------------------

    def hear(self, conn: Conn, message: b.Message) -> None:
        match message.type:
            case b.TEST:
                free = self.cores - len(self.tasks) * self.unit
                parameters = {b.CAUSE: b"\1", b.REPORT: f"x0:{free:.0f};x1:{free:.0f}".encode()}
                self._say(conn, b.encode(b.TESTED, message.tag, parameters))
            case b.SET_UP:
                self._set_up(conn, message)
            case b.RELEASE:
                self._end(message.tag, tell=False)

    def _say(self, conn: Conn, data: bytes) -> None:
        if self.slow_s:
            asyncio.get_running_loop().call_later(self.slow_s, conn.say, data)
        else:
            conn.say(data)

    def _set_up(self, conn: Conn, message: b.Message) -> None:
        now, name = self._clock(), message.text(b.NAME)
        start = Start(now, f"g{int(name[:2], 16)}", self.name, self.hall, message.text(b.CLASS), name)
        self._starts.append(start)
        if self.wrong == "error":
            start.came, start.until = "error", now
            self._say(conn, b.encode(b.RELEASE, message.tag, {b.CAUSE: bytes((47,))}))
            return
        if (len(self.tasks) + 1) * self.unit > self.cores:
            start.came, start.until = "full", now
            self._say(conn, b.encode(b.RELEASE, message.tag, {b.CAUSE: bytes((34,)), b.TOPIC: b"no_cores"}))
            return
        if not self._bears(now, start):
            start.came, start.until = "fell", now
            self.fell = True
            self.die()
            return
        ending = asyncio.get_running_loop().call_later(self._hold_s(), self._end, message.tag)
        self.tasks[message.tag] = Task(start, conn.port.viewer, self.unit, ending)
        self._say(conn, b.encode(b.ANSWER, message.tag, {b.DESCRIPTION: message.parameters[b.DESCRIPTION]}))

    def _bears(self, now: float, start: Start) -> bool:
        """Whether it stays up: counted while it warms up, as nothing overruns a warm one here."""
        age = now - self.since
        if age > self.pace.warm_s:
            return True
        self._recent.append(now)
        while now - self._recent[0] > self.pace.window_s:
            self._recent.popleft()
        start.load = len(self._recent) / self.pace.bears(age)
        self.worst = max(self.worst, start.load)
        slack = (3 * self.pace.bears(age) ** 0.5 + 3) / self.pace.bears(age)  # as the bench has it
        return start.load <= 1 + slack

    def _end(self, tag: bytes, tell: bool = True) -> None:
        task = self.tasks.pop(tag, None)
        if task is None:
            return
        task.ending.cancel()
        task.start.until = self._clock()
        if tell:
            self.unheard.setdefault(task.viewer, deque(maxlen=200)).append((tag, 16))
            for conn in self.ports[task.viewer].conns:
                conn.say(b.encode(b.RELEASE, tag, {b.CAUSE: bytes((16,))}))


@dataclass(slots=True)
class Halls:
    """All servers, by hall. Owns them."""

    servers: dict[str, Server] = field(default_factory=dict)
    starts: list[Start] = field(default_factory=list)

    def of(self, hall: str, rack: int | None = None) -> list[Server]:
        return [
            one for one in self.servers.values() if one.hall == hall and (rack is None or one.rack == rack)
        ]

    def runs(self, key: str) -> bool:
        return any(start.key == key and start.until == float("inf") for start in self.starts)

    def close(self) -> None:
        for one in self.servers.values():
            one.close()


def doubled(starts: list[Start], class_name: str) -> list[tuple[Start, Start]]:
    """Pairs of runs of one key that overlap."""
    by_key: dict[str, list[Start]] = {}
    for start in starts:
        if start.class_name == class_name and start.came == "ran":
            by_key.setdefault(start.key, []).append(start)
    return [
        (one, other)
        for runs in by_key.values()
        for n, one in enumerate(runs)
        for other in runs[n + 1 :]
        if one.at < other.until and other.at < one.until
    ]
