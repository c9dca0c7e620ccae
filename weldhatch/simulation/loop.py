"""An event loop whose time is virtual, and processes that share it: each with clocks of its own.

A process is a `Life` in a context variable: what it starts inherits that, so that its callbacks can be held
up (SIGSTOP) or dropped for ever (SIGKILL) without the program's knowing.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import selectors
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

UNIX_BEGAN = 1_700_000_000.0  # what wall clocks show when a play begins
BOOTED = 1_000.0  # and monotonic ones


class Stalled(Exception):
    """Nothing is scheduled, and somebody still waits."""


@dataclass(eq=False)
class Life:
    """One process from its start to its end. `rate`: how fast its clocks run (`run_at` sets it); `ahead`: by
    how many seconds its wall clock is wrong."""

    name: str
    random: Random
    rate: float = 1.0
    ahead: float = 0.0
    gained: float = 0.0  # what its clocks show more than the play's, as of `since`
    since: float = 0.0
    alive: bool = True
    stopped: bool = False
    ends: dict[Any, None] = field(default_factory=dict)  # its streams
    listening: dict[Any, None] = field(default_factory=dict)
    held: list[tuple[list, Callable, tuple, contextvars.Context]] = field(default_factory=list)
    disk: Any = None  # `disks.Disk` of its machine

    def shows(self, now: float) -> float:
        """Seconds since the play's beginning, by this process's clocks."""
        return now + self.gained + (now - self.since) * (self.rate - 1.0)

    def run_at(self, now: float, rate: float) -> None:
        """Clocks that run at another rate from now on: they go on from what they show, and never back."""
        self.gained, self.since, self.rate = self.shows(now) - now, now, rate

    def step(self, handle: list, callback: Callable, *args: object) -> None:
        """Run one callback of this process, now or once it goes on. `handle`: what the loop gave for it."""
        if self.alive and not self.stopped:
            # Guards against one that was held up and has been called off since.
            if not handle[0].cancelled():
                callback(*args)
        elif self.alive:
            self.held.append((handle, callback, args, contextvars.copy_context()))


LIFE: contextvars.ContextVar[Life | None] = contextvars.ContextVar("LIFE", default=None)


class _Selector(selectors.BaseSelector):
    """In place of waiting for sockets, time goes on to the next timer."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise Stalled("nothing is scheduled any more, and the play is not over")
        self._loop.now += timeout
        return []

    def register(self, fileobj: object, events: int, data: object = None) -> Any:
        raise NotImplementedError("sockets of the system have no place in a play")

    def unregister(self, fileobj: object) -> Any:
        raise NotImplementedError

    def get_map(self) -> Any:
        return {}


class VirtualLoop(asyncio.BaseEventLoop):
    """Seconds since the play's beginning are in `now`."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self._selector = _Selector(self)
        self._clock_resolution = 1e-9
        self._readers: dict[int, Callable[[], None]] = {}
        self.bare = contextvars.Context()  # of what belongs to no process
        # Guards the play against its own garbage: a coroutine of a process that was killed must never go on,
        # and one that nobody holds any more would run its `finally`.
        self.tasks: list[asyncio.Task] = []
        self.set_task_factory(self._task)

    def _task(self, loop: asyncio.AbstractEventLoop, coro: Any, context: Any = None) -> asyncio.Task:
        task = asyncio.Task(coro, loop=loop, context=context)
        self.tasks.append(task)
        if len(self.tasks) % 1000 == 0:
            self.tasks = [one for one in self.tasks if not one.done()]
        return task

    def let_go(self) -> None:
        """At the end: what still waits is closed, with nobody left to hear it."""

        async def close_all() -> None:
            own = asyncio.current_task()
            for task in self.tasks:
                if task is not own and not task.done():
                    task._log_destroy_pending = False
                    with contextlib.suppress(BaseException):
                        task.get_coro().close()

        if not self.is_closed():
            self.run_until_complete(close_all())
            self.tasks.clear()

    def time(self) -> float:
        return self.now

    def _process_events(self, event_list: list) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    # ---- callbacks belong to processes -----------------------------------------------------------------

    def call_soon(
        self, callback: Callable, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        context = context if context is not None else contextvars.copy_context()
        life = context.get(LIFE)
        if life is None:
            return super().call_soon(callback, *args, context=context)
        cell: list = []
        cell.append(super().call_soon(life.step, cell, callback, *args, context=context))
        return cell[0]

    def call_at(
        self, when: float, callback: Callable, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        context = context if context is not None else contextvars.copy_context()
        life = context.get(LIFE)
        if life is None:
            return super().call_at(when, callback, *args, context=context)
        cell: list = []
        cell.append(super().call_at(when, life.step, cell, callback, *args, context=context))
        return cell[0]

    def wake(self, life: Life) -> None:
        """A process that was stopped goes on with all that came meanwhile, in order."""
        life.stopped = False
        held, life.held = life.held, []
        for handle, callback, args, context in held:
            super().call_soon(life.step, handle, callback, *args, context=context)

    # ---- what a loop over sockets has ------------------------------------------------------------------

    def add_reader(self, fd: int, callback: Callable, *args: Any) -> None:
        context = contextvars.copy_context()
        self._readers[fd] = lambda: self.call_soon(callback, *args, context=context)
        if fd in self.in_line():
            self._readers[fd]()

    def remove_reader(self, fd: int) -> bool:
        return self._readers.pop(fd, None) is not None

    touch: Callable[[Life], None] = staticmethod(lambda life: None)  # before each write, and after it
    in_line: Callable[[], set[int]] = staticmethod(set)  # descriptors of listeners that have somebody in line

    def readable(self, fd: int) -> None:
        if (reader := self._readers.get(fd)) is not None:
            reader()

    def run_in_executor(self, executor: object, func: Callable, *args: Any) -> asyncio.Future:
        """The store's thread: done once the process's disk says so."""
        done = self.create_future()
        life = LIFE.get()
        result = fault = None
        if life.alive:
            self.touch(life)
        if not life.alive:  # killed in this very turn: nothing of it reaches the disk any more
            return done
        try:
            result = life.disk.work(func, args)
        except OSError as error:
            fault = error

        def told() -> None:
            life.disk.confirmed()
            self.touch(life)
            if done.cancelled():
                return
            if fault is not None:
                done.set_exception(fault)
            else:
                done.set_result(result)

        self.call_later(life.disk.takes(), told)
        return done


def monotonic(loop: VirtualLoop) -> float:
    """What the running process's monotonic clock shows."""
    life = LIFE.get()
    return BOOTED + (life.shows(loop.now) if life is not None else loop.now)


def unix(loop: VirtualLoop) -> float:
    life = LIFE.get()
    if life is None:
        return UNIX_BEGAN + loop.now
    return UNIX_BEGAN + life.shows(loop.now) + life.ahead
