"""How many calls of one caller may be in flight, by the name in its token or certificate. No I/O.

Callers that nobody asks for a name share an address with others, so they are not told apart: for them the
bounds of the whole gateway hold.
"""

from __future__ import annotations

from collections import Counter


class CallQuotas:
    """Calls in flight by caller."""

    def __init__(self, most_per_caller: int) -> None:
        """Allow each caller so many calls at a time."""
        self.most_per_caller = most_per_caller
        self._in_flight: Counter[str] = Counter()

    def try_acquire(self, caller: str) -> bool:
        """Count one more call; False, and nothing counted, where it would be one too many."""
        if self._in_flight[caller] >= self.most_per_caller:
            return False
        self._in_flight[caller] += 1
        return True

    def release(self, caller: str) -> None:
        """End a call that was counted."""
        self._in_flight[caller] -= 1
        if not self._in_flight[caller]:
            del self._in_flight[caller]

    def __len__(self) -> int:
        """Return the number of callers that have calls in flight."""
        return len(self._in_flight)
