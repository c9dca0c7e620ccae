"""Durations of leases and related intervals."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaseTiming:
    """Durations in seconds, derived from `consistency_bound`.

    `consistency_bound`: longest time for which two dispatchers may act on contradictory rules. `clock_drift`:
    largest relative difference between two processes' clock rates. Source: Gray and Cheriton, "Leases: An
    Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.
    """

    consistency_bound: float = 2.0
    clock_drift: float = 0.02

    @property
    def lease(self) -> float:
        """Time after the request for the lease was sent during which tasks of all classes may be started.

        In the grace period, which follows until `grace`, only tasks of `Effect.SAFE` classes may be started.
        """
        return 0.4 * self.consistency_bound

    @property
    def grace(self) -> float:
        """Time from a lease request for which safe work continues."""
        return 0.8 * self.consistency_bound

    @property
    def renewal_interval(self) -> float:
        """Interval between lease requests."""
        return 0.15 * self.consistency_bound

    @property
    def heartbeat(self) -> float:
        """Interval between messages from the leader to each voter."""
        return 0.075 * self.consistency_bound

    @property
    def election_timeout(self) -> float:
        """Shortest time for which voters wait for a leader."""
        return 0.2 * self.consistency_bound

    def by_holder_clock(self, span: float) -> float:
        """Return the time for which a lease holder may rely on `span`, by its own clock."""
        return span * (1 - self.clock_drift)

    def by_granter_clock(self, span: float) -> float:
        """Return the time after which `span` has ended for its holder, by the granter's clock."""
        return span * (1 + self.clock_drift)
