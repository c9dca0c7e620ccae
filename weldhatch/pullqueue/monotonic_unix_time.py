"""Unix time that does not leap, for what ends after a span: leases, sessions, offers."""

from __future__ import annotations

import time
from collections.abc import Callable


def steady() -> Callable[[], float]:
    """Unix seconds: the wall clock as it is now, and from here on a clock that nobody sets.

    Guards leases against a wall clock that is set while their machines run on: all of them would run out at
    once, and what is asked for again would start a second time. It goes on while the machine sleeps, as a
    lease does.
    """
    begun = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)
    return lambda: begun + time.clock_gettime(time.CLOCK_BOOTTIME)
