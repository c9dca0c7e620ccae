"""How long a server with running tasks may be quiet before a health check is sent. No I/O, no clock.

A health check is priced like a probe, and each dispatcher watches every server that runs one of its tasks:
with 16 dispatchers and 400 servers, health checks every 1.5 s made up two thirds of all probes
(docs/mass-days.md).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

QUIET_LIMIT_S = 4.0  # plus the 1.7 s after an unanswered health check, within the 8 s for reporting a loss
SUSPECT_QUIET_LIMIT_S = 1.0  # near a recently unresponsive server, since cells and zones fail together
SUSPECT_DURATION_S = 6.0  # how long a cell stays suspect
MIN_SUSPECT_CELLS_OF_ZONE = 2  # from this many suspect cells on, the whole zone is suspect
MAX_SUSPECT_CELLS = 256  # remembered cells; beyond this the oldest is dropped


@dataclass(slots=True)
class HealthCheckSchedule:
    """Sets the quiet limit: how many seconds a server may send nothing before a health check is sent to it.

    The limit is shorter in suspect cells, where a server was unresponsive recently, and in suspect zones.
    """

    # Time of the last unresponsive server by cell, oldest first.
    _cells: dict[tuple[int, int], float] = field(default_factory=dict)
    _zones: Counter[int] = field(default_factory=Counter)  # number of suspect cells by zone

    def mark_unresponsive(self, now: float, zone: int, cell: int) -> None:
        """Mark a cell as suspect: a server in it is silent and accepts no connection."""
        if self._cells.pop((zone, cell), None) is None:
            self._zones[zone] += 1
        self._cells[zone, cell] = now
        if len(self._cells) > MAX_SUSPECT_CELLS:
            self._remove_oldest()
        self._remove_expired(now)

    def quiet_limit(self, now: float, zone: int, cell: int) -> float:
        """Return how many seconds a server there may be quiet before a health check. O(1) amortized."""
        if not self._cells:
            return QUIET_LIMIT_S
        self._remove_expired(now)
        is_suspect = (zone, cell) in self._cells or self._zones[zone] >= MIN_SUSPECT_CELLS_OF_ZONE
        return SUSPECT_QUIET_LIMIT_S if is_suspect else QUIET_LIMIT_S

    def _remove_expired(self, now: float) -> None:
        while self._cells and now - next(iter(self._cells.values())) > SUSPECT_DURATION_S:
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        oldest = next(iter(self._cells))
        del self._cells[oldest]
        self._zones[oldest[0]] -= 1
