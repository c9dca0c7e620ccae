"""An event loop whose clock jumps to the next timer: hours of waiting pass at once, in the same order each
time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
START = 1_800_000_000.0  # Unix seconds at which a virtual clock begins


class _Jump(selectors.SelectSelector):
    """Instead of waiting, the clock goes on."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("nothing is left that could happen: a virtual loop waits for ever")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time passes only while everybody waits. It reads no real clock."""

    def __init__(self) -> None:
        self._jump = _Jump()
        super().__init__(self._jump)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        return self._jump.now

    def clock(self) -> float:
        """Unix seconds, for those who stamp what they write."""
        return START + self._jump.now


def run(main: Coroutine[Any, Any, T], loop: VirtualLoop) -> T:
    """Run one coroutine to its end on a virtual loop, then close the loop."""
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
