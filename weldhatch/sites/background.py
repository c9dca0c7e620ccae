"""Tasks that belong to one object and end with it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Protocol

POLL_INTERVAL_S = 0.01


class Lifecycle(Protocol):
    """What can be seen of a request of the core."""

    @property
    def over(self) -> bool:
        """Whether it is answered and nothing of it runs any more."""


class BackgroundTasks:
    """Owns the tasks that it starts, until `cancel`. Needs a running event loop."""

    def __init__(self) -> None:
        """Begin without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Run a coroutine; the event loop alone would keep no reference to its task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def spawn_after(self, lifecycle: Lifecycle, seconds: float, then: Callable[[], None]) -> None:
        """Call `then` so many seconds after a request is over."""
        self.spawn(call_after(lifecycle, seconds, then))

    def cancel(self) -> None:
        """Cancel all that runs."""
        for task in self._tasks:
            task.cancel()


async def call_after(lifecycle: Lifecycle, seconds: float, then: Callable[[], None]) -> None:
    """Wait until a request is over, then so many seconds more, then call `then`."""
    while not lifecycle.over:
        await asyncio.sleep(POLL_INTERVAL_S)
    await asyncio.sleep(seconds)
    then()
