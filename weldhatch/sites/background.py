"""Asyncio tasks that are owned by one object and cancelled with it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Protocol

POLL_INTERVAL_S = 0.01


class Lifecycle(Protocol):
    """The part of a core request's lifecycle that a waiting task needs."""

    @property
    def over(self) -> bool:
        """Whether the request has its answer and nothing of it runs any more."""


class BackgroundTasks:
    """Owns the asyncio tasks that it starts, until `cancel`. Needs a running event loop."""

    def __init__(self) -> None:
        """Create an empty set of tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Run a coroutine as a task, and keep the strong reference that the event loop does not hold."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def spawn_after(self, lifecycle: Lifecycle, seconds: float, then: Callable[[], None]) -> None:
        """Call `then` the given number of seconds after a request is over."""
        self.spawn(call_after(lifecycle, seconds, then))

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in self._tasks:
            task.cancel()


async def call_after(lifecycle: Lifecycle, seconds: float, then: Callable[[], None]) -> None:
    """Wait until a request is over and for the given seconds after that, then call `then`."""
    while not lifecycle.over:
        await asyncio.sleep(POLL_INTERVAL_S)
    await asyncio.sleep(seconds)
    then()
