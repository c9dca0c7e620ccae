"""Keys that fall due, in order, without looking at those that do not. No clock of its own."""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

_Key = TypeVar("_Key", bound=Hashable)


class Deadlines(Generic[_Key]):
    """One time for each key: a heap with lazy deletion, old entries are skipped when they come up."""

    def __init__(self) -> None:
        """Start without keys."""
        self._heap: list[tuple[float, int, _Key]] = []
        self._times: dict[_Key, float] = {}
        self._serial = 0

    def set(self, key: _Key, at: float) -> None:
        """Set the time of a key, in whatever unit `due` is asked in.

        A later time for a known key costs nothing now: its old entry is corrected when it comes up.
        """
        before = self._times.get(key)
        self._times[key] = at
        if before is None or at < before:
            self._push(key, at)

    def _push(self, key: _Key, at: float) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (at, self._serial, key))

    def drop(self, key: _Key) -> None:
        """Forget the time of a key, if it has one."""
        self._times.pop(key, None)

    def due(self, now: float) -> Iterator[_Key]:
        """Yield the keys whose time has come, each dropped as it is yielded."""
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
        """Return the number of keys that have a time."""
        return len(self._times)
