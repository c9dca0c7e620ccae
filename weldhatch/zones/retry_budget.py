"""Budgets of one dispatcher while a zone is left: second attempts, and what moves over to the rest. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Attempts:
    """Second attempts out of a common budget: a share of first ones, kept up to a bound.

    Guards against a lost zone that is answered by as many attempts of each request as its settings allow.
    """

    share: float = 0.2
    most: float = 20.0
    left: float = 10.0

    def first(self) -> None:
        self.left = min(self.most, self.left + self.share)

    def again(self, trouble: bool) -> bool:
        """Whether a second attempt may go out. Without trouble it always may, and costs nothing."""
        if not trouble:
            return True
        if self.left < 1.0 - 1e-9:
            return False
        self.left -= 1.0
        return True


@dataclass(slots=True)
class Ramp:
    """What a dispatcher starts in the rest after a zone was left: from its pace there before, up by steps.

    `begin` when a place is left, with the rates of starts in the rest and in what is left (a second). Up to
    `over_s` later the pace grows from `spare` times the one, and half of the other, to all of both; then
    there is no limit. `spare`: those who asked dispatchers that fell with the place come to the rest, too.
    """

    over_s: float = 2.0
    spare: float = 1.5
    burst_s: float = 0.25  # starts of so long may go at once
    _began: float = float("-inf")
    _rest: float = 0.0
    _moved: float = 0.0
    _left: float = 0.0
    _at: float = 0.0

    def begin(self, now: float, rest: float, moved: float) -> None:
        if now - self._began > self.over_s:
            self._rest, self._moved = rest, moved
        else:  # a second one, while the first moves over still
            self._moved += moved
        self._began, self._at = now, now
        self._left = max(1.0, self._rest * self.burst_s)

    def pace(self, now: float) -> float:
        """Starts a second."""
        part = min(1.0, max(0.0, (now - self._began) / self.over_s))
        return max(1.0, self._rest * self.spare + self._moved * (0.5 + 0.5 * part))

    def wait(self, now: float, draw: float) -> float:
        """0 where one more start may be asked for, which takes it; else the seconds to stay away.

        `draw`: of 0 to 1, uniform. Those that are turned away come back spread over the second half of what
        is left of the ramp: told the next free moment, all would come then, and most be turned away again.
        """
        if now - self._began > self.over_s:
            return 0.0
        pace = self.pace(now)
        self._left = min(max(1.0, pace * self.burst_s), self._left + (now - self._at) * pace)
        self._at = now
        if self._left >= 1.0:
            self._left -= 1.0
            return 0.0
        return (self._began + self.over_s - now) * (0.5 + 0.5 * draw) + 1.0 / pace


@dataclass(slots=True)
class Rates:
    """Starts a second by place, over a sliding span, in slots: bounded memory whatever comes."""

    slot_s: float = 0.5
    slots: int = 8
    _counts: dict[str, dict[int, int]] = field(default_factory=dict)

    def add(self, now: float, place: str) -> None:
        slot = int(now / self.slot_s)
        counts = self._counts.setdefault(place, {})
        counts[slot] = counts.get(slot, 0) + 1
        if len(counts) > self.slots + 1:
            for old in [one for one in counts if one < slot - self.slots]:
                del counts[old]

    def of(self, now: float, place: str) -> float:
        slot = int(now / self.slot_s)
        told = self._counts.get(place, {})
        return sum(count for one, count in told.items() if slot - self.slots <= one < slot) / (
            self.slots * self.slot_s
        )
