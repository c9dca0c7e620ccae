"""Ranking: the tier of a machine for a request. Machines of lower tiers are drawn first."""

from __future__ import annotations

from weldhatch.scheduling.capacity import CapacityView
from weldhatch.scheduling.cluster_state import NO_PERIOD, ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext

ANY_CLASS = -1  # key of an outlier period that applies to all classes
# Tiers of machines without the service's program: its first home, its other homes, and all others.
FIRST_HOME_TIER = 2
HOME_TIER = 4
NO_PROGRAM_TIER = 8
OUTLIER_TIER = 32
FAILED_HERE_TIER = 64  # the machine has answered this request with an error before
LOW_LOAD_SHARE = 0.7  # below this fraction of the load limit of a class, any machine counts as a home
# With this many tasks of this dispatcher that do not run yet, since they wait for their programs, a machine
# does not count as a home because of its low load.
UNSTARTED_LIMIT = 2


class MachineRanking:
    """Ranks machines by health, load, cached program and zone."""

    def __init__(self, context: DecisionContext, cluster: ClusterState, capacity: CapacityView) -> None:
        """Rank by the records in `cluster` and the load from `capacity`."""
        self._context = context
        self._cluster = cluster
        self._capacity = capacity
        self.reconfigure()

    def reconfigure(self) -> None:
        """Recompute the tier that overload adds.

        With many dispatchers an overloaded machine with the program still ranks before one without it.
        """
        if self._context.settings.by_service:
            self._overloaded_tier = 16
        else:
            self._overloaded_tier = 3 if self._context.many_dispatchers else 6

    def is_overloaded(
        self, request: RequestRecord, machine: MachineRecord, cores_load: float, memory_load: float
    ) -> bool:
        """Whether the class would not be served in full there, under these loads from `CapacityView.load`."""
        return self._context.now < machine.degraded_until or (
            cores_load > request.request_class.calm and cores_load > memory_load
        )

    def tier(self, request: RequestRecord, machine: MachineRecord) -> int:
        """Return the tier: outliers last, then overloaded machines and those without the program.

        If one dispatcher gets all requests of a service, preferring the cached program would pile its tasks
        up, so low load counts more. If dispatchers share a service, its homes spread the tasks evenly, so the
        program counts more. A lightly loaded machine still ranks before an overloaded one with the program,
        since new machines would stay empty otherwise.
        """
        cores_load, memory_load = self._capacity.load(request, machine)
        tier = 0
        if machine in request.failed_machines:
            tier += FAILED_HERE_TIER
        if machine.outlier_periods and self._is_outlier(request, machine):
            tier += OUTLIER_TIER
        if self.is_overloaded(request, machine, cores_load, memory_load):
            tier += self._overloaded_tier
        if machine not in self._cluster.placements.of(request.service):
            tier += self._tier_without_program(request, machine, max(cores_load, memory_load))
        settings = self._context.settings
        if settings.prices.cross_zone > 0 and machine.entry.zone != settings.zone:
            tier += 1
        return tier

    def _tier_without_program(self, request: RequestRecord, machine: MachineRecord, load: float) -> int:
        homes = request.homes
        # With many dispatchers a service would otherwise start without its program at each of its homes.
        if self._context.many_dispatchers and homes and homes[0] is machine:
            return FIRST_HOME_TIER
        lightly_loaded = (
            0 < load < LOW_LOAD_SHARE * request.request_class.calm
            and len(machine.unstarted) < UNSTARTED_LIMIT
        )
        return HOME_TIER if lightly_loaded or machine in homes else NO_PROGRAM_TIER

    def _is_outlier(self, request: RequestRecord, machine: MachineRecord) -> bool:
        now = self._context.now
        periods = machine.outlier_periods
        return (
            now < periods.get(ANY_CLASS, NO_PERIOD).until_us
            or now < periods.get(request.class_index, NO_PERIOD).until_us
        )
