"""For how long dispatchers acted on rules that contradict each other, told from what machines were handed.

Knows what was proposed and when it was answered, and nothing that a dispatcher says of itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from weldhatch.testbed.process_cluster import Start


@dataclass(slots=True, frozen=True)
class Limit:
    """Of one service, one gateway may have `most` tasks in one place: a 'machine', or a 'cell' (rack)."""

    over: str
    most: int

    def allows(self, start: Start, starts: Iterable[Start]) -> bool:
        """Whether this start keeps it, beside those that stand."""
        there = sum(
            other.gateway == start.gateway
            and other.service == start.service
            and other.class_name == start.class_name
            and other.at <= start.at < other.until
            and (other.machine == start.machine if self.over == "machine" else other.rack == start.rack)
            for other in starts
            if other is not start
        )
        return there < self.most


def beyond(starts: list[Start], limit: Limit, since: float) -> list[float]:
    """Seconds after `since` of all starts that break a limit."""
    near = sorted(starts, key=lambda start: start.at)
    return [
        start.at - since
        for n, start in enumerate(near)
        if start.at >= since and not limit.allows(start, near[:n])
    ]


def drained(starts: list[Start], machine: str, since: float) -> list[float]:
    """Seconds after `since`, when a drain was answered, of all starts on that machine."""
    return [start.at - since for start in starts if start.machine == machine and start.at >= since]


def last(spans: list[float]) -> float:
    """The longest of them; 0 for none."""
    return max(spans, default=0.0)
