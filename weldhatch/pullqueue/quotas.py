"""A limit on the calls in flight of each caller, by the name in its token or certificate. No I/O.

Callers without authentication may share an address, so they can't be distinguished; only the limits of the
whole gateway apply to them.
"""

from __future__ import annotations

from collections import Counter


class CallQuotas:
    """Counts the calls in flight of each caller."""

    def __init__(self, max_per_caller: int) -> None:
        """Limit the calls in flight of each caller."""
        self.max_per_caller = max_per_caller
        self._in_flight: Counter[str] = Counter()

    def try_acquire(self, caller: str) -> bool:
        """Count a call; return False, and count nothing, if that would exceed the limit."""
        if self._in_flight[caller] >= self.max_per_caller:
            return False
        self._in_flight[caller] += 1
        return True

    def release(self, caller: str) -> None:
        """Record the end of a counted call."""
        self._in_flight[caller] -= 1
        if not self._in_flight[caller]:
            del self._in_flight[caller]

    def __len__(self) -> int:
        """Return the number of callers that have calls in flight."""
        return len(self._in_flight)
