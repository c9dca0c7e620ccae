"""How much one caller may have under way at a time, by the name in its token or certificate. No I/O.

Callers that nobody asks for a name share an address with others, so they are not told apart: for them the
bounds of the whole gateway hold.
"""

from __future__ import annotations

from collections import Counter


class Quotas:
    """Calls under way by caller."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._under_way: Counter[str] = Counter()

    def take(self, name: str) -> bool:
        """One more call; False where it would be one too many."""
        if self._under_way[name] >= self.most:
            return False
        self._under_way[name] += 1
        return True

    def give_back(self, name: str) -> None:
        self._under_way[name] -= 1
        if not self._under_way[name]:
            del self._under_way[name]

    def __len__(self) -> int:
        return len(self._under_way)
