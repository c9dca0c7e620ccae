"""A log that a flood can't fill."""

from __future__ import annotations

import time
from collections.abc import Callable

LINES_S = 20  # lines that one group of connections may log in a second


class Sparing:
    """Passes on so many lines a second. What it leaves out is counted, and told with the next line."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self._log = log
        self._second = self._lines = self._left_out = 0

    def __call__(self, text: str) -> None:
        second = int(time.monotonic())
        if second != self._second:
            if self._left_out:
                self._log(f"{self._left_out} lines were left out")
            self._second, self._lines, self._left_out = second, 0, 0
        if self._lines < LINES_S:
            self._lines += 1
            self._log(text)
        else:
            self._left_out += 1
