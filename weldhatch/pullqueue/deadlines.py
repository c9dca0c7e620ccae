"""A priority queue of keys by deadline; the caller passes the time."""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

_Key = TypeVar("_Key", bound=Hashable)


class Deadlines(Generic[_Key]):
    """At most one deadline for each key, in a heap with lazy deletion: stale entries are skipped when due."""

    def __init__(self) -> None:
        """Start without keys."""
        self._heap: list[tuple[float, int, _Key]] = []
        self._times: dict[_Key, float] = {}
        self._serial = 0

    def set(self, key: _Key, at: float) -> None:
        """Set the deadline of a key, in the time unit that the caller of `due` uses.

        Postponing a known key costs no heap operation: its old entry is corrected once it is due.
        """
        before = self._times.get(key)
        self._times[key] = at
        if before is None or at < before:
            self._push(key, at)

    def _push(self, key: _Key, at: float) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (at, self._serial, key))

    def drop(self, key: _Key) -> None:
        """Remove the deadline of a key, if it has one."""
        self._times.pop(key, None)

    def due(self, now: float) -> Iterator[_Key]:
        """Yield the keys whose deadline has passed; each is removed as it is yielded."""
        while self._heap and self._heap[0][0] <= now:
            _, _, key = heapq.heappop(self._heap)
            at = self._times.get(key)
            if at is None:
                continue
            if at > now:
                self._push(key, at)
            else:
                del self._times[key]
                yield key

    def __len__(self) -> int:
        """Return the number of keys that have a deadline."""
        return len(self._times)
