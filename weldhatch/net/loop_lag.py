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
        self._is_iteration_marked = False
        self._iteration_began = 0.0
        self._last_iteration_end = 0.0
        self._last_duration_s = 0.0  # how long the last iteration took, if this one followed at once

    def age(self) -> float:
        """Return for how many seconds something that is read now may have waited."""
        now = self._clock()
        if not self._is_iteration_marked:
            self._is_iteration_marked = True
            if (
                now - self._last_iteration_end > 0.001
            ):  # the loop had nothing to do in between: nothing waited
                self._last_duration_s = 0.0
            self._iteration_began = now
            self._loop.call_soon(self._iteration_ended)
        return self._last_duration_s + now - self._iteration_began

    def _iteration_ended(self) -> None:
        self._is_iteration_marked = False
        self._last_iteration_end = self._clock()
        self._last_duration_s = self._last_iteration_end - self._iteration_began
