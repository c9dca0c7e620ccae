"""How long a server with tasks of ours may be quiet before it is sent a test. No I/O; the caller's clock.

A test is a probe and is priced, and every dispatcher watches every server that holds a task of its own: with
sixteen of them over 400 servers, tests each 1.5 s were two thirds of all probes (docs/mass-days.md).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

QUIET_LIMIT_S = (
    4.0  # with what follows a test that stays unanswered (1.7 s), within the 8 s that the rules leave
)
SUSPECT_QUIET_LIMIT_S = 1.0  # near a server that vanished lately: cells and zones fail as one
SUSPECT_DURATION_S = 6.0  # for how long a cell stays suspect
MIN_SUSPECT_CELLS_OF_ZONE = 2  # suspect cells that make their whole zone suspect
MAX_SUSPECT_CELLS = 256  # cells remembered; the one that became suspect first is forgotten first


@dataclass(slots=True)
class HealthCheckSchedule:
    """When servers are checked, by the cells (zone, cell) in which others vanished; times in seconds."""

    _cells: dict[tuple[int, int], float] = field(default_factory=dict)  # when one vanished; the newest last
    _zones: Counter[int] = field(default_factory=Counter)  # how many of them are in a zone

    def mark_unresponsive(self, now: float, zone: int, cell: int) -> None:
        """A server there gives no sign, and no connection to it comes up."""
        if self._cells.pop((zone, cell), None) is None:
            self._zones[zone] += 1
        self._cells[zone, cell] = now
        if len(self._cells) > MAX_SUSPECT_CELLS:
            self._remove_oldest()
        self._remove_expired(now)

    def quiet_limit(self, now: float, zone: int, cell: int) -> float:
        """Seconds that a server there may be quiet before it is asked for a sign of life. O(1) amortized."""
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
