"""Budgets of one dispatcher while a zone is left: retries, and work that migrates to the other zones. Pure.

Times are seconds of the caller's monotonic clock, rates are starts a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field

EPSILON = 1e-9  # what sums of 0.2 may lack


@dataclass(slots=True)
class RetryBudget:
    """Retries out of a common budget: a `share` of first attempts, kept up to `most`.

    Guards against a lost zone that is answered by as many retries of each request as its settings allow.
    """

    share: float = 0.2
    most: float = 20.0
    left: float = 10.0

    def add_first_attempt(self) -> None:
        """Earn the share of one first attempt."""
        self.left = min(self.most, self.left + self.share)

    def try_retry(self, degraded: bool) -> bool:
        """Spend one retry; False where none is left. Unless the fleet is `degraded`, all may go for free."""
        if not degraded:
            return True
        if self.left < 1.0 - EPSILON:
            return False
        self.left -= 1.0
        return True


@dataclass(slots=True)
class MigrationRamp:
    """Limit what a dispatcher starts in the other zones after one was left: from its rate there, up by steps.

    Up to `duration_s` after `begin` the rate grows from `headroom` times that in the others, and half of that
    in the zone which was left, to all of both; then there is no limit. `headroom`: owners of dispatchers that
    failed with the zone come to the others, too.
    """

    duration_s: float = 2.0
    headroom: float = 1.5
    burst_s: float = 0.25  # starts of so long may go at once
    _began: float = float("-inf")
    _remaining_rate: float = 0.0
    _moved_rate: float = 0.0
    _tokens: float = 0.0
    _refilled: float = 0.0

    def begin(self, now: float, remaining_rate: float, moved_rate: float) -> None:
        """Begin where a place is left: rates of starts in the other zones, and in what is left."""
        if now - self._began > self.duration_s:
            self._remaining_rate = remaining_rate
            self._moved_rate = moved_rate
        else:  # a second place, while the first still migrates
            self._moved_rate += moved_rate
        self._began = now
        self._refilled = now
        self._tokens = max(1.0, self._remaining_rate * self.burst_s)

    def rate(self, now: float) -> float:
        """Return the starts a second that may go now."""
        part = min(1.0, max(0.0, (now - self._began) / self.duration_s))
        return max(1.0, self._remaining_rate * self.headroom + self._moved_rate * (0.5 + 0.5 * part))

    def retry_after_s(self, now: float, draw: float) -> float:
        """Take one start and return 0; where there is none, return the seconds to stay away.

        `draw`: uniform in 0 to 1. Those that are rejected come back spread over the second half of what is
        left of the ramp: sent to the next free moment, all would come then, and most be rejected again.
        """
        if now - self._began > self.duration_s:
            return 0.0
        rate = self.rate(now)
        self._tokens = min(max(1.0, rate * self.burst_s), self._tokens + (now - self._refilled) * rate)
        self._refilled = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (self._began + self.duration_s - now) * (0.5 + 0.5 * draw) + 1.0 / rate


@dataclass(slots=True)
class StartRates:
    """Starts a second by place, over a sliding span, in slots: bounded memory at any load."""

    slot_s: float = 0.5
    slots: int = 8
    _counts: dict[str, dict[int, int]] = field(default_factory=dict)

    def add(self, now: float, place: str) -> None:
        """Count one start."""
        slot = int(now / self.slot_s)
        counts = self._counts.setdefault(place, {})
        counts[slot] = counts.get(slot, 0) + 1
        if len(counts) > self.slots + 1:
            for old in [one for one in counts if one < slot - self.slots]:
                del counts[old]

    def rate(self, now: float, place: str) -> float:
        """Return the starts a second over the last whole slots."""
        slot = int(now / self.slot_s)
        counts = self._counts.get(place, {})
        starts = sum(count for one, count in counts.items() if slot - self.slots <= one < slot)
        return starts / (self.slots * self.slot_s)
