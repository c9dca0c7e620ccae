"""Zones that say nothing, seen before any exchange with them has timed out. Pure.

A hall that hears and says nothing costs most: each start into it is lost, and tells so only when its time is
up. Here the answers that are owed are held against how long answers take there, as TCP does for its
retransmissions (Jacobson 1988; RFC 6298). A hush moves no zone: one dispatcher holds back, and asks.
Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

LEAST = 3  # machines that owe an answer for too long
FIRST_S = 0.5  # what answers may take where none has been heard yet
PATIENCE_LEAST_S, PATIENCE_MOST_S = 0.12, 1.0
GAIN, SPREAD_GAIN, SPREADS = 1 / 8, 1 / 4, 4  # of RFC 6298
OWED_MOST = 256  # machines of a zone that are looked at; what comes over it is not followed
DEAF_S = 2.0  # one that hears no other zone for so long holds back from none: it may be deaf itself
OWED_S = 4.0  # an answer owed for longer is not waited for: its exchange has ended unheard of


@dataclass(slots=True)
class Owed:
    """One zone: whose answers are out since when (the oldest first), and how long answers take there."""

    since: dict[int, float] = field(default_factory=dict)
    heard: float = float("-inf")  # when any of its machines said anything
    usual: float = 0.0
    spread: float = 0.0
    hushed: float = float("inf")  # since when it counts as hushed

    @property
    def patience(self) -> float:
        """How long an answer may take before its machine counts."""
        if not self.usual:
            return FIRST_S
        return min(PATIENCE_MOST_S, max(PATIENCE_LEAST_S, self.usual + SPREADS * self.spread))

    def learn(self, took: float) -> None:
        if not self.usual:
            self.usual, self.spread = took, took / 2
            return
        self.spread += SPREAD_GAIN * (abs(took - self.usual) - self.spread)
        self.usual += GAIN * (took - self.usual)


class Hush:
    """Feed it `sent`, `heard` and `ended`; `silent` says whether a zone says nothing."""

    def __init__(self, rack_of: Callable[[int], str]) -> None:
        self._rack_of = rack_of
        self._zones: dict[str, Owed] = {}

    def _at(self, zone: str) -> Owed:
        return self._zones.setdefault(zone, Owed())

    def sent(self, now: float, zone: str, machine: int) -> None:
        """Something that wants an answer has left."""
        owed = self._at(zone)
        if len(owed.since) < OWED_MOST:
            owed.since.setdefault(machine, now)

    def heard(self, now: float, zone: str, machine: int) -> None:
        """A word of that machine: the zone is there."""
        owed = self._at(zone)
        owed.heard, owed.hushed = now, float("inf")
        if (since := owed.since.pop(machine, None)) is not None:
            owed.learn(now - since)

    def ended(self, zone: str, machine: int) -> None:
        """No answer is owed any more: it was never sent, or it has timed out, and that is evidence itself."""
        self._at(zone).since.pop(machine, None)

    def excuse(self, now: float) -> None:
        """Guards against our own stalls: what was said during one is not read yet."""
        for owed in self._zones.values():
            owed.since = dict.fromkeys(owed.since, now)

    def silent(self, now: float, zone: str, one_rack: bool) -> bool:
        """Whether a zone says nothing: some of its machines, and of more than one rack, owe an
        answer for longer than answers take, and not one of all has said a word meanwhile."""
        owed = self._zones.get(zone)
        if owed is None:
            return False
        others = max((one.heard for name, one in self._zones.items() if name != zone), default=float("-inf"))
        if owed.hushed <= now:
            return now - others <= DEAF_S
        patience = owed.patience
        # Guards against our own ears: a zone is silent only while another one is being heard.
        if now - owed.heard <= patience or now - others > patience:
            return False
        racks: set[str] = set()
        late = 0
        for machine, since in list(owed.since.items()):
            if now - since > OWED_S:
                del owed.since[machine]
                continue
            if now - since <= patience:
                break
            late += 1
            racks.add(self._rack_of(machine))
            # Guards against one rack, or one busy machine, that is taken for its whole zone.
            if late >= LEAST and (len(racks) > 1 or one_rack):
                owed.hushed = now
                return True
        return False
