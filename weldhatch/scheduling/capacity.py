"""Free capacity and load of machines: the last report, adjusted for own placements since then."""

from __future__ import annotations

from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, ReportedCapacity, RequestRecord
from weldhatch.scheduling.context import DecisionContext

STALE_US = 1_500_000  # older reports exclude no machine, otherwise a full machine would never be probed again
TRUSTED_US = 4_000_000  # age limit with many dispatchers, where probes cost more in total
LIST_LAG_US = 2_500_000  # age of the capacity in an endpoint list when it arrives
REPORT_LAG_US = 400_000  # age of the capacity in a load report when it arrives


class CapacityView:
    """Computes free capacity and load from load reports, endpoint lists and own placements."""

    def __init__(self, context: DecisionContext, cluster: ClusterState) -> None:
        """Read the records of `cluster`; the view itself has no state."""
        self._context = context
        self._cluster = cluster

    def reported(self, machine: MachineRecord) -> ReportedCapacity:
        """Return the kind of capacity that load reports count: capacity not requested, or not used."""
        return machine.unreserved if self._context.settings.reports_asked else machine.unused

    def receive_report(self, machine: MachineRecord, report: tuple[float, ...]) -> None:
        """Record a load report: values in the order of `Settings.report_fields`, possibly fewer."""
        context = self._context
        values = dict(zip(context.settings.report_fields, report, strict=False))
        if "x0" in values and "x1" in values:
            self.reported(machine).update(context.now, REPORT_LAG_US, values["x0"], values["x1"], machine)
        if "cpu" in values:
            machine.utilization = values["cpu"]
            machine.utilization_own_cores = machine.running_cores + machine.offered_cores
            machine.utilization_at = context.now

    def free_memory(self, machine: MachineRecord) -> float:
        """Return the free memory used for ranking: memory not used if reported, else memory not requested.

        A machine without any report is assumed to have the average free fraction of the reporting ones.
        """
        if machine.unused.reported_at >= 0:
            usage = self._cluster.usage
            return machine.unused.remaining(machine, usage.cores_share, usage.memory_share)[1]
        if machine.unreserved.reported_at >= 0:
            return machine.unreserved.remaining(machine, 1.0, 1.0)[1]
        reported = [
            other
            for other in self._cluster.machines.values()
            if max(other.unused.reported_at, other.unreserved.reported_at) >= 0
        ]
        average = (
            sum(self.free_memory(other) / other.memory for other in reported) / len(reported)
            if reported
            else 1.0
        )
        return machine.memory * average - machine.offered_memory - machine.running_memory

    def load(self, request: RequestRecord, machine: MachineRecord) -> tuple[float, float]:
        """Return the fractions of cores and memory in use if the machine took the request.

        Without a recent report only the request itself is counted. If the cores in use are not reported,
        they are estimated from the requested cores and the usual usage share. Where memory is scarcer than
        cores, callers must not let cores decide, because machines are ranked by free memory.
        """
        now = self._context.now
        usage = self._cluster.usage
        cores_share = usage.cores_share
        memory_share = usage.memory_share
        cores_load = 0.0
        memory_load = 0.0
        if now - machine.unreserved.reported_at <= STALE_US:
            cores, memory = machine.unreserved.remaining(machine, 1.0, 1.0)
            cores_load = (machine.cores - cores) * cores_share / machine.cores
            memory_load = (machine.memory - memory) * memory_share / machine.memory
        if now - machine.utilization_at <= STALE_US:
            own_cores_since = machine.running_cores + machine.offered_cores - machine.utilization_own_cores
            cores_load = machine.utilization + own_cores_since * cores_share / machine.cores
        return (
            cores_load + request.cores * cores_share / machine.cores,
            memory_load + request.memory * memory_share / machine.memory,
        )
