"""How long a server with tasks of ours may be quiet before it is sent a test. No I/O; the caller's clock.

A test is a probe and is priced, and every dispatcher watches every server that holds a task of its own: with
sixteen of them over 400 servers, tests each 1.5 s were two thirds of all probes (docs/mass-days.md).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

CALM_S = 4.0  # with what follows a test that stays unanswered (1.7 s), within the 8 s that the rules leave
ALARM_S = 1.0  # near a server that vanished lately: racks and halls fall as one
ALARM_LASTS_S = 6.0
RACKS_OF_HALL = 2  # racks with a vanished server that alarm their whole hall
KEPT = 256  # racks remembered; the oldest alarm goes first


@dataclass(slots=True)
class Vigil:
    """What one dispatcher knows of servers that vanished: racks are (zone, cell), times in seconds."""

    _racks: dict[tuple[int, int], float] = field(default_factory=dict)  # when one vanished; the newest last
    _halls: Counter[int] = field(default_factory=Counter)  # how many of them are in a hall

    def vanished(self, now: float, zone: int, cell: int) -> None:
        """A server there gives no sign, and no connection to it comes up."""
        if self._racks.pop((zone, cell), None) is None:
            self._halls[zone] += 1
        self._racks[zone, cell] = now
        if len(self._racks) > KEPT:
            self._forget()
        self._prune(now)

    def patience(self, now: float, zone: int, cell: int) -> float:
        """Seconds that a server there may be quiet before it is asked for a sign of life. O(1) amortized."""
        if not self._racks:
            return CALM_S
        self._prune(now)
        near = (zone, cell) in self._racks or self._halls[zone] >= RACKS_OF_HALL
        return ALARM_S if near else CALM_S

    def _prune(self, now: float) -> None:
        while self._racks and now - next(iter(self._racks.values())) > ALARM_LASTS_S:
            self._forget()

    def _forget(self) -> None:
        oldest = next(iter(self._racks))
        del self._racks[oldest]
        self._halls[oldest[0]] -= 1
