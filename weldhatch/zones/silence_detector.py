"""Detects zones that have gone silent, before exchanges with them time out. Pure.

A zone that receives requests without answering is the most expensive failure: each start sent to it is lost,
and is known to be lost only after its time-out. The age of pending answers is therefore compared with the
usual response time of the zone, as TCP does for its retransmission timer (Jacobson 1988; RFC 6298). Silence
alone changes no phase: the dispatcher that detects it withholds starts from the zone and sends health checks.
Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

MIN_LATE_MACHINES = 3
INITIAL_TIMEOUT_S = 0.5  # before the first answer of a zone
MIN_TIMEOUT_S = 0.12
MAX_TIMEOUT_S = 1.0
SMOOTHING = 1 / 8  # alpha of RFC 6298
VARIATION_SMOOTHING = 1 / 4  # beta of RFC 6298
VARIATION_FACTOR = 4  # K of RFC 6298
MAX_PENDING_MACHINES = 256  # tracked by zone; further ones are ignored
OTHER_ZONES_QUIET_S = 2.0  # without answers from other zones, this dispatcher itself may receive nothing
MAX_PENDING_S = 4.0  # an older pending answer is discarded: its exchange ended without notice


@dataclass(slots=True)
class PendingAnswers:
    """The pending answers of one zone by machine, the oldest first, and its estimated response time."""

    since: dict[int, float] = field(default_factory=dict)  # by machine
    last_answer: float = float("-inf")  # of any machine of the zone
    smoothed_s: float = 0.0
    variation_s: float = 0.0
    silent_since: float = float("inf")

    @property
    def timeout_s(self) -> float:
        """Seconds after which a machine that has not answered counts as late."""
        if not self.smoothed_s:
            return INITIAL_TIMEOUT_S
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, self.smoothed_s + VARIATION_FACTOR * self.variation_s))

    def add_sample(self, response_s: float) -> None:
        """Update the estimate with one response time (RFC 6298, 2.2 and 2.3)."""
        if not self.smoothed_s:
            self.smoothed_s = response_s
            self.variation_s = response_s / 2
            return
        self.variation_s += VARIATION_SMOOTHING * (abs(response_s - self.smoothed_s) - self.variation_s)
        self.smoothed_s += SMOOTHING * (response_s - self.smoothed_s)

    def shows_silence(self, now: float, rack_of: Callable[[int], str], single_rack: bool) -> bool:
        """Return whether enough machines are late, in more than one rack unless there is a `single_rack`."""
        timeout_s = self.timeout_s
        racks: set[str] = set()
        late = 0
        for machine, since in list(self.since.items()):
            if now - since > MAX_PENDING_S:
                del self.since[machine]
                continue
            if now - since <= timeout_s:
                break
            late += 1
            racks.add(rack_of(machine))
            # One late rack or one busy machine must not count as its whole zone.
            if late >= MIN_LATE_MACHINES and (len(racks) > 1 or single_rack):
                return True
        return False


class SilenceDetector:
    """Tracks requests and answers by zone, and detects zones that do not answer."""

    def __init__(self, rack_of: Callable[[int], str]) -> None:
        """`rack_of` returns the rack of a machine with a pending answer."""
        self._rack_of = rack_of
        self._zones: dict[str, PendingAnswers] = {}

    def _pending(self, zone: str) -> PendingAnswers:
        return self._zones.setdefault(zone, PendingAnswers())

    def request_sent(self, now: float, zone: str, machine: int) -> None:
        """Record a request that expects an answer."""
        pending = self._pending(zone)
        if len(pending.since) < MAX_PENDING_MACHINES:
            pending.since.setdefault(machine, now)

    def answer_received(self, now: float, zone: str, machine: int) -> None:
        """Record an answer of a machine: its zone is not silent."""
        pending = self._pending(zone)
        pending.last_answer = now
        pending.silent_since = float("inf")
        since = pending.since.pop(machine, None)
        if since is not None:
            pending.add_sample(now - since)

    def exchange_ended(self, zone: str, machine: int) -> None:
        """Remove a pending answer: the request was not sent, or its time-out is counted as a failure."""
        self._pending(zone).since.pop(machine, None)

    def restart_waits(self, now: float) -> None:
        """Restart all waits at `now`, after this process was stalled: answers may not have been read yet."""
        for pending in self._zones.values():
            pending.since = dict.fromkeys(pending.since, now)

    def is_silent(self, now: float, zone: str, single_rack: bool) -> bool:
        """Return whether a zone is silent.

        A zone is silent if at least `MIN_LATE_MACHINES` machines, in more than one rack unless it has a
        `single_rack`, are late and no machine of the zone has answered within the timeout. It stays silent
        until its next answer.
        """
        pending = self._zones.get(zone)
        if pending is None:
            return False
        others_last = max(
            (other.last_answer for name, other in self._zones.items() if name != zone), default=float("-inf")
        )
        if pending.silent_since <= now:
            return now - others_last <= OTHER_ZONES_QUIET_S
        # A zone is silent only while another zone answers: otherwise this dispatcher itself may receive
        # nothing.
        timeout_s = pending.timeout_s
        if now - pending.last_answer <= timeout_s or now - others_last > timeout_s:
            return False
        if pending.shows_silence(now, self._rack_of, single_rack):
            pending.silent_since = now
            return True
        return False
