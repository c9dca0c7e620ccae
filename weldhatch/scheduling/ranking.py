"""The tier of a machine for a request: the lower, the sooner it is drawn."""

from __future__ import annotations

from weldhatch.scheduling.capacity import CapacityView
from weldhatch.scheduling.cluster_state import NO_PERIOD, ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext

ANY_CLASS = -1  # the key of an outlier period that counts for all classes
# The lowest tiers of a service's first home, of its others, and of other machines without its program.
FIRST_HOME = 2
HOME = 4
ABSENT = 8
OUTLIER = 32
FAILED_HERE = 64  # the machine has answered this request with an error
ROOMY_SHARE = 0.7  # under this part of the load that a class is served in full up to, any machine is a home
MOST_UNSTARTED = 2  # but not with so many of our tasks there not started: without the program they wait


class MachineRanking:
    """Ranks machines by health, by the program that they have cached, by load and by zone."""

    def __init__(self, context: DecisionContext, cluster: ClusterState, capacity: CapacityView) -> None:
        """Rank by what the records and this view of capacity tell."""
        self._context = context
        self._cluster = cluster
        self._capacity = capacity
        self.reconfigure()

    def reconfigure(self) -> None:
        """Work out by how much a crowded machine is drawn later.

        With many dispatchers it still goes before one without the program.
        """
        if self._context.settings.by_service:
            self._crowded_tier = 16
        else:
            self._crowded_tier = 3 if self._context.many_dispatchers else 6

    def is_crowded(
        self, request: RequestRecord, machine: MachineRecord, cores_load: float, memory_load: float
    ) -> bool:
        """Whether the class would be served less than in full there, under these loads of `CapacityView`."""
        return self._context.now < machine.degraded_until or (
            cores_load > request.request_class.calm and cores_load > memory_load
        )

    def tier(self, request: RequestRecord, machine: MachineRecord) -> int:
        """The tier of a machine: outliers last, then crowded machines and those without the program.

        Where the whole service is ours, following its program piles it up, so calm goes first; where several
        dispatchers share it, the homes spread services evenly, and the program goes first; but a roomy
        machine goes before a crowded one that has it. Guards against new machines that stay empty.
        """
        cores_load, memory_load = self._capacity.load(request, machine)
        tier = 0
        if machine in request.failed_machines:
            tier += FAILED_HERE
        if machine.outlier_periods and self._is_outlier(request, machine):
            tier += OUTLIER
        if self.is_crowded(request, machine, cores_load, memory_load):
            tier += self._crowded_tier
        if machine not in self._cluster.placements.of(request.service):
            tier += self._tier_without_program(request, machine, max(cores_load, memory_load))
        settings = self._context.settings
        if settings.prices.cross_zone > 0 and machine.entry.zone != settings.zone:
            tier += 1
        return tier

    def _tier_without_program(self, request: RequestRecord, machine: MachineRecord, load: float) -> int:
        homes = request.homes
        # With many dispatchers a service would else start without its program at each of its homes.
        if self._context.many_dispatchers and homes and homes[0] is machine:
            return FIRST_HOME
        roomy = (
            0 < load < ROOMY_SHARE * request.request_class.calm and len(machine.unstarted) < MOST_UNSTARTED
        )
        return HOME if roomy or machine in homes else ABSENT

    def _is_outlier(self, request: RequestRecord, machine: MachineRecord) -> bool:
        now = self._context.now
        periods = machine.outlier_periods
        return (
            now < periods.get(ANY_CLASS, NO_PERIOD).until_us
            or now < periods.get(request.class_index, NO_PERIOD).until_us
        )
