"""The world of one play: the loop, its network, its processes; and what stands in for the system's calls."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import hashlib
import random
import secrets
import time
import uuid
import zlib
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from random import Random
from typing import Any

import weldhatch.cluster.front_controller
import weldhatch.cluster.node
import weldhatch.cluster.zone_agent
import weldhatch.net.connection
import weldhatch.net.listener
import weldhatch.store.folded
import weldhatch.store.log
from weldhatch.simulation.loop import LIFE, Life, VirtualLoop, monotonic, unix
from weldhatch.simulation.virtual_disk import Disk, SimLock, SimLog
from weldhatch.simulation.virtual_network import SocketModule, Wires

LINES_MOST = 20_000  # that are kept of a play; the digest has all


class World:
    """`seed` is the one source of randomness. Use as a context manager: one world at a time in a process."""

    def __init__(self, seed: int, folder: Path, delay_s: float = 0.004) -> None:
        self.random = Random(seed)
        self.folder = folder
        self.loop = VirtualLoop()
        self.loop.touch = self._touch
        self.wires = Wires(self.loop, Random(self.random.getrandbits(64)), delay_s, self._heard, self._touch)
        self.points: dict[str, int] = {}  # by process, how often it has touched its disk or the wire
        self.kill_at: tuple[str, int] | None = None  # a process, and the point at which it is killed
        self.lives: dict[str, Life] = {}
        self.disks: dict[str, Disk] = {}
        self.trace = hashlib.blake2b(digest_size=16)
        self.deliveries = 0
        self.lines: list[tuple[float, str, str]] = []  # seconds, process, what it said
        self.faults: list[str] = []  # exceptions that nobody caught

    # ---- the system's calls ----------------------------------------------------------------------------

    def __enter__(self) -> World:
        self._patches = contextlib.ExitStack()
        for owner, name, value in self._put():
            self._patches.callback(setattr, owner, name, getattr(owner, name))
            setattr(owner, name, value)
        self.loop.set_exception_handler(self._fault)
        random.seed(self.random.getrandbits(64))
        return self

    def __exit__(self, *_: object) -> None:
        try:
            for name in list(self.lives):
                self.kill(name)
            self.loop.let_go()
        finally:
            self._patches.close()
            self.loop.close()

    def _put(self) -> Iterator[tuple[Any, str, Any]]:
        """What is put in the place of what while the world stands."""
        loop, sockets = self.loop, SocketModule(self.wires)
        yield time, "monotonic", lambda: monotonic(loop)
        yield time, "monotonic_ns", lambda: int(monotonic(loop) * 1e9)
        yield time, "clock_gettime", lambda _: monotonic(loop)
        yield time, "time", lambda: unix(loop)
        yield time, "time_ns", lambda: int(unix(loop) * 1e9)
        yield secrets, "token_hex", lambda count=32: f"{self.dice().getrandbits(8 * count):0{2 * count}x}"
        yield uuid, "uuid4", lambda: uuid.UUID(int=self.dice().getrandbits(128), version=4)
        for module in (weldhatch.cluster.node, weldhatch.cluster.zone_agent):
            yield module, "Random", lambda *seed: Random(*seed or (self.dice().getrandbits(64),))
        for module in (weldhatch.net.connection, weldhatch.net.listener):
            yield module, "socket", sockets
            yield module, "IOStream", sockets.stream
        yield weldhatch.cluster.front_controller, "event_logger", lambda stream=None: self._event
        yield weldhatch.store.folded, "Log", SimLog
        yield weldhatch.store.folded, "Lock", SimLock

    def dice(self) -> Random:
        life = LIFE.get()
        return life.random if life is not None else self.random

    def _event(self, event: str, **fields: object) -> None:
        self.say(f"agreement.{event} " + " ".join(f"{key}={value!r}" for key, value in fields.items()))

    def _fault(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        fault = context.get("exception")
        self.faults.append(f"{loop.time():.3f} {context.get('message')}: {type(fault).__name__}: {fault}")

    def _touch(self, life: Life) -> None:
        """One point at which what a process has done so far may be all that it ever did."""
        count = self.points[life.name] = self.points.get(life.name, 0) + 1
        if self.kill_at == (life.name, count):
            self.say(f"fault: killed at point {count}")
            self.kill(life.name)

    def _heard(self, src: str, dst: str, data: bytes) -> None:
        self.deliveries += 1
        data = data.replace(str(self.folder).encode(), b"")  # answers name a file whose disk is full
        self.trace.update(f"{self.loop.now:.6f} {src}>{dst} {len(data)} {zlib.crc32(data)}\n".encode())

    def say(self, text: str) -> None:
        """A line of the running process's log."""
        # The folder is another in each run.
        life, text = LIFE.get(), text.replace(str(self.folder), "")
        self.trace.update(f"{self.loop.now:.6f} {text}\n".encode())
        if life is not None and len(self.lines) < LINES_MOST:
            self.lines.append((self.loop.now, life.name, text))

    # ---- processes -------------------------------------------------------------------------------------

    def start(self, name: str, begin: Callable[[], object]) -> Life:
        """A new process of that name: `begin` runs in it, and all that it starts belongs to it."""
        if name not in self.disks:
            self.disks[name] = Disk(self.folder / name, Random(self.random.getrandbits(64)))
        life = Life(name, Random(self.random.getrandbits(64)), disk=self.disks[name])
        if (old := self.lives.get(name)) is not None:  # the machine's clocks outlast its processes
            life.rate, life.ahead, life.gained, life.since = old.rate, old.ahead, old.gained, old.since
        self.lives[name] = life
        self.inside(life, begin)
        return life

    def inside(self, life: Life, what: Callable[[], Any]) -> Any:
        context = contextvars.copy_context()
        context.run(LIFE.set, life)
        return context.run(what)

    def spawn(self, life: Life, work: Coroutine) -> asyncio.Task:
        return self.inside(life, lambda: self.loop.create_task(work))

    def kill(self, name: str) -> None:
        """SIGKILL: nothing of it runs again, its connections are reset, its disk keeps what it kept."""
        life = self.lives[name]
        if life.alive:
            life.alive = False
            self.wires.killed(life)
            life.disk.killed()
            life.held.clear()

    def stop(self, name: str) -> None:
        self.lives[name].stopped = True

    def wake(self, name: str) -> None:
        life = self.lives[name]
        if life.alive and life.stopped:
            self.loop.wake(life)

    def alive(self, name: str) -> bool:
        return name in self.lives and self.lives[name].alive

    @property
    def digest(self) -> str:
        return self.trace.hexdigest()
