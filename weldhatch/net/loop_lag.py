"""Measure how long what is read now may have waited, by the iterations of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class LoopLag:
    """In a busy loop, what came during the last iteration is read in this one, after all that is before it.

    Costs one call of the loop an iteration, and only in those that ask.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Measure the running loop; `clock` is monotonic, in seconds."""
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._marked = False
        self._began = 0.0
        self._ended = 0.0
        self._last = 0.0  # how long the last iteration took, if this one followed at once

    def age(self) -> float:
        """Return for how many seconds something that is read now may have waited."""
        now = self._clock()
        if not self._marked:
            self._marked = True
            if now - self._ended > 0.001:  # the loop had nothing to do in between: nothing waited
                self._last = 0.0
            self._began = now
            self._loop.call_soon(self._iteration_ended)
        return self._last + now - self._began

    def _iteration_ended(self) -> None:
        self._marked = False
        self._ended = self._clock()
        self._last = self._ended - self._began
