"""A rate limit for the log lines of a group of connections, so that a flood can't fill the log."""

from __future__ import annotations

import time
from collections.abc import Callable

MAX_LINES_PER_S = 20  # lines that one group of connections may log in a second


class RateLimitedLog:
    """Passes on at most MAX_LINES_PER_S lines a second, then logs how many lines were suppressed."""

    def __init__(self, log: Callable[[str], None]) -> None:
        """Pass lines on to `log`."""
        self._log = log
        self._second = 0
        self._lines = 0
        self._suppressed = 0

    def __call__(self, text: str) -> None:
        """Log one line, or count it as suppressed if the limit of this second is reached."""
        second = int(time.monotonic())
        if second != self._second:
            if self._suppressed:
                self._log(f"{self._suppressed} log lines were suppressed")
            self._second = second
            self._lines = 0
            self._suppressed = 0
        if self._lines < MAX_LINES_PER_S:
            self._lines += 1
            self._log(text)
        else:
            self._suppressed += 1
