"""Detect zones that have gone silent before any exchange with them has timed out. Pure.

A zone that receives requests and answers none costs most: each start into it is lost, and shows so only when
its time is up. So the answers that a zone owes are compared with how long answers take there, as TCP does for
its retransmission timer (Jacobson 1988; RFC 6298). Silence moves no zone: one dispatcher holds back from it
and sends health checks. Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

MIN_LATE_MACHINES = 3
INITIAL_TIMEOUT_S = 0.5  # what answers may take where none has been received yet
MIN_TIMEOUT_S = 0.12
MAX_TIMEOUT_S = 1.0
SMOOTHING = 1 / 8  # alpha of RFC 6298
VARIATION_SMOOTHING = 1 / 4  # beta of RFC 6298
VARIATION_FACTOR = 4  # K of RFC 6298
MAX_PENDING_MACHINES = 256  # of a zone; what comes over it is not followed
DEAF_AFTER_S = 2.0  # who receives nothing of any other zone for so long may be deaf itself
MAX_PENDING_S = 4.0  # an answer owed for longer is not waited for: its exchange has ended unnoticed


@dataclass(slots=True)
class PendingAnswers:
    """One zone: since when which machines owe an answer (the oldest first), and how long answers take."""

    since: dict[int, float] = field(default_factory=dict)
    last_answer: float = float("-inf")  # when any of its machines answered
    smoothed_s: float = 0.0
    variation_s: float = 0.0
    silent_since: float = float("inf")

    @property
    def timeout_s(self) -> float:
        """How long an answer may take before its machine counts as late."""
        if not self.smoothed_s:
            return INITIAL_TIMEOUT_S
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, self.smoothed_s + VARIATION_FACTOR * self.variation_s))

    def add_sample(self, took_s: float) -> None:
        """Take one answer's time into the estimate (RFC 6298, 2.2 and 2.3)."""
        if not self.smoothed_s:
            self.smoothed_s = took_s
            self.variation_s = took_s / 2
            return
        self.variation_s += VARIATION_SMOOTHING * (abs(took_s - self.smoothed_s) - self.variation_s)
        self.smoothed_s += SMOOTHING * (took_s - self.smoothed_s)

    def shows_silence(self, now: float, rack_of: Callable[[int], str], single_rack: bool) -> bool:
        """Tell whether enough machines, in more than one rack, are late with an answer."""
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
            # Guards against one rack, or one busy machine, that is taken for its whole zone.
            if late >= MIN_LATE_MACHINES and (len(racks) > 1 or single_rack):
                return True
        return False


class SilenceDetector:
    """Follow requests and answers by zone; `is_silent` tells whether a zone answers nothing."""

    def __init__(self, rack_of: Callable[[int], str]) -> None:
        """Ask `rack_of` for the rack of a machine that owes an answer."""
        self._rack_of = rack_of
        self._zones: dict[str, PendingAnswers] = {}

    def _pending(self, zone: str) -> PendingAnswers:
        return self._zones.setdefault(zone, PendingAnswers())

    def request_sent(self, now: float, zone: str, machine: int) -> None:
        """Follow a request that wants an answer."""
        pending = self._pending(zone)
        if len(pending.since) < MAX_PENDING_MACHINES:
            pending.since.setdefault(machine, now)

    def answer_received(self, now: float, zone: str, machine: int) -> None:
        """Note that a machine has said anything: its zone is there."""
        pending = self._pending(zone)
        pending.last_answer = now
        pending.silent_since = float("inf")
        since = pending.since.pop(machine, None)
        if since is not None:
            pending.add_sample(now - since)

    def exchange_ended(self, zone: str, machine: int) -> None:
        """Forget an answer that is owed no more: not sent, or timed out, which is evidence itself."""
        self._pending(zone).since.pop(machine, None)

    def restart_waits(self, now: float) -> None:
        """Let all waits begin anew. Guards against our own stalls: answers of that time are not read yet."""
        for pending in self._zones.values():
            pending.since = dict.fromkeys(pending.since, now)

    def is_silent(self, now: float, zone: str, single_rack: bool) -> bool:
        """Tell whether a zone is silent.

        Some of its machines, and of more than one rack unless it has a `single_rack`, owe an answer for
        longer than answers take, and none of all has answered meanwhile.
        """
        pending = self._zones.get(zone)
        if pending is None:
            return False
        others_last = max(
            (one.last_answer for name, one in self._zones.items() if name != zone), default=float("-inf")
        )
        if pending.silent_since <= now:
            return now - others_last <= DEAF_AFTER_S
        # Guards against our own receiving side: a zone is silent only while another one answers.
        timeout_s = pending.timeout_s
        if now - pending.last_answer <= timeout_s or now - others_last > timeout_s:
            return False
        if pending.shows_silence(now, self._rack_of, single_rack):
            pending.silent_since = now
            return True
        return False
