"""Spans that leases hold for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaseTiming:
    """Spans in seconds, all from `consistency_bound`: no two act longer than that on rules that contradict.

    `clock_drift`: by what part the clocks of two processes may run apart. Source of the mechanism: Gray and
    Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.
    """

    consistency_bound: float = 2.0
    clock_drift: float = 0.02

    @property
    def lease(self) -> float:
        """How long after asking all rules may be acted on."""
        return 0.4 * self.consistency_bound

    @property
    def grace(self) -> float:
        """How long after asking safe work goes on."""
        return 0.8 * self.consistency_bound

    @property
    def renewal_interval(self) -> float:
        """How often a lease is asked for."""
        return 0.15 * self.consistency_bound

    @property
    def heartbeat(self) -> float:
        """How often a leader sends to voters."""
        return 0.075 * self.consistency_bound

    @property
    def election_timeout(self) -> float:
        """How long voters wait for a leader, at the least."""
        return 0.2 * self.consistency_bound

    def by_holder_clock(self, span: float) -> float:
        """Return for how long the holder of a lease may count on a span, by its own clock."""
        return span * (1 - self.clock_drift)

    def by_granter_clock(self, span: float) -> float:
        """Return after how long a span has surely ended for its holder, by the granter's clock."""
        return span * (1 + self.clock_drift)
