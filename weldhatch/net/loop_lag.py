"""Estimates how long received data has waited unread, from the duration of event-loop iterations."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class LoopLag:
    """The longest time that data may wait in a busy event loop.

    Data that arrives during one iteration is read in the next one, after the callbacks queued before it. The
    measurement costs one callback per iteration, and only in iterations that call `age`.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Measure the running loop; `clock` is monotonic, in seconds."""
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._is_iteration_marked = False
        self._iteration_began = 0.0
        self._last_iteration_end = 0.0
        self._last_duration_s = 0.0  # duration of the last iteration; 0.0 if the loop was idle after it

    def age(self) -> float:
        """Return the longest time, in seconds, that data read now may have waited."""
        now = self._clock()
        if not self._is_iteration_marked:
            self._is_iteration_marked = True
            if now - self._last_iteration_end > 0.001:  # the loop was idle in between, so no data has waited
                self._last_duration_s = 0.0
            self._iteration_began = now
            self._loop.call_soon(self._iteration_ended)
        return self._last_duration_s + now - self._iteration_began

    def _iteration_ended(self) -> None:
        self._is_iteration_marked = False
        self._last_iteration_end = self._clock()
        self._last_duration_s = self._last_iteration_end - self._iteration_began
