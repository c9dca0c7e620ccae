"""How long what is read now may have stood unread, told by the turns of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Turns:
    """In a busy loop, what came during the last turn is read in this one, after all that stands before it.

    `clock` is monotonic, in seconds. Costs one call of the loop a turn, and only in turns that ask.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock, self._loop = clock, asyncio.get_running_loop()
        self._marked = False
        self._began = self._ended = 0.0
        self._last = 0.0  # how long the last turn took, if this one followed at once

    def age(self) -> float:
        """Seconds since which something that is read now may have been there."""
        now = self._clock()
        if not self._marked:
            self._marked = True
            if now - self._ended > 0.001:  # the loop had nothing to do in between: nothing waited
                self._last = 0.0
            self._began = now
            self._loop.call_soon(self._turned)
        return self._last + now - self._began

    def _turned(self) -> None:
        self._marked = False
        self._ended = self._clock()
        self._last = self._ended - self._began
