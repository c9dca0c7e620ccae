"""Limits of one dispatcher while a zone is left: retries, and work that migrates to the other zones. Pure.

Times are seconds of the caller's monotonic clock, rates are starts per second.
"""

from __future__ import annotations

from dataclasses import dataclass, field

EPSILON = 1e-9  # tolerance for the rounding error of sums of `ratio`


@dataclass(slots=True)
class RetryBudget:
    """A common retry budget: each first attempt adds `ratio` retries, up to `max_retries`.

    Without it, the loss of a zone would cause as many retries of each request as the settings allow.
    """

    ratio: float = 0.2
    max_retries: float = 20.0
    remaining: float = 10.0

    def add_first_attempt(self) -> None:
        """Add the retries earned by one first attempt."""
        self.remaining = min(self.max_retries, self.remaining + self.ratio)

    def try_retry(self, degraded: bool) -> bool:
        """Spend one retry; return False if none remains. Retries are unlimited unless `degraded`."""
        if not degraded:
            return True
        if self.remaining < 1.0 - EPSILON:
            return False
        self.remaining -= 1.0
        return True


@dataclass(slots=True)
class MigrationRamp:
    """Limits a dispatcher's rate of starts after a zone was left, so that work migrates gradually.

    For `duration_s` after `begin`, the limit is `headroom` times the previous rate in the other zones plus a
    part of the previous rate in the left zone, which grows linearly from half to all of it. Then there is no
    limit. `headroom` allows for owners that move here from dispatchers that failed with the zone.
    """

    duration_s: float = 2.0
    headroom: float = 1.5
    burst_s: float = 0.25  # burst size: the starts of this time at the current rate
    _began: float = float("-inf")
    _remaining_rate: float = 0.0
    _moved_rate: float = 0.0
    _tokens: float = 0.0
    _refilled: float = 0.0

    def begin(self, now: float, remaining_rate: float, moved_rate: float) -> None:
        """Start when a place is left, from the rates of starts in the other zones and in the left place."""
        if now - self._began > self.duration_s:
            self._remaining_rate = remaining_rate
            self._moved_rate = moved_rate
        else:  # another place is left during the ramp
            self._moved_rate += moved_rate
        self._began = now
        self._refilled = now
        self._tokens = max(1.0, self._remaining_rate * self.burst_s)

    def rate(self, now: float) -> float:
        """Return the current limit in starts per second."""
        progress = min(1.0, max(0.0, (now - self._began) / self.duration_s))
        return max(1.0, self._remaining_rate * self.headroom + self._moved_rate * (0.5 + 0.5 * progress))

    def retry_after_s(self, now: float, draw: float) -> float:
        """Admit one start and return 0, or return the seconds after which the owner may retry.

        `draw`: a uniform random number in [0, 1). Retries are spread over the second half of the remaining
        ramp: if all rejected owners retried at the next free moment, most would be rejected again.
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
    """Starts per second by place over a sliding window, counted in time slots to bound the memory."""

    slot_s: float = 0.5
    slots: int = 8
    _counts: dict[str, dict[int, int]] = field(default_factory=dict)

    def add(self, now: float, place: str) -> None:
        """Count one start."""
        slot = int(now / self.slot_s)
        counts = self._counts.setdefault(place, {})
        counts[slot] = counts.get(slot, 0) + 1
        if len(counts) > self.slots + 1:
            for old in [counted for counted in counts if counted < slot - self.slots]:
                del counts[old]

    def rate(self, now: float, place: str) -> float:
        """Return the starts per second over the last `slots` complete slots."""
        slot = int(now / self.slot_s)
        counts = self._counts.get(place, {})
        starts = sum(count for counted, count in counts.items() if slot - self.slots <= counted < slot)
        return starts / (self.slots * self.slot_s)
