"""A Unix clock without jumps, for the expiry of leases, sessions and offers."""

from __future__ import annotations

import time
from collections.abc import Callable


def steady() -> Callable[[], float]:
    """Return a clock of Unix seconds that starts at the wall clock's time and is never adjusted.

    If the wall clock is set forward, leases by that clock would all expire at once while their machines still
    run the tasks, and retries would start them a second time. CLOCK_BOOTTIME advances while the machine is
    suspended, as leases do.
    """
    boot_time = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)
    return lambda: boot_time + time.clock_gettime(time.CLOCK_BOOTTIME)
