"""Free capacity and load of machines, as reported and reckoned on by own placements since."""

from __future__ import annotations

from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, ReportedCapacity, RequestRecord
from weldhatch.scheduling.context import DecisionContext

STALE_US = 1_500_000  # an older report excludes nothing: else a machine once full is never probed again
TRUSTED_US = 4_000_000  # many dispatchers believe reported capacity for longer: all their probes are priced
LIST_LAG_US = 2_500_000  # lists tell the capacity of about this long ago
REPORT_LAG_US = 400_000  # and load reports that of this long ago


class CapacityView:
    """What machines have left, from their reports, the list and this dispatcher's own placements."""

    def __init__(self, context: DecisionContext, cluster: ClusterState) -> None:
        """Look at these machines; nothing is kept here."""
        self._context = context
        self._cluster = cluster

    def reported(self, machine: MachineRecord) -> ReportedCapacity:
        """The capacity that this deployment's load reports tell: not requested, or not used."""
        return machine.unreserved if self._context.settings.reports_asked else machine.unused

    def receive_report(self, machine: MachineRecord, report: tuple[float, ...]) -> None:
        """Take a load report: the values of `Settings.report_fields`, as far as they go."""
        context = self._context
        values = dict(zip(context.settings.report_fields, report, strict=False))
        if "x0" in values and "x1" in values:
            self.reported(machine).update(context.now, REPORT_LAG_US, values["x0"], values["x1"], machine)
        if "cpu" in values:
            machine.utilization = values["cpu"]
            machine.utilization_own_cores = machine.running_cores + machine.offered_cores
            machine.utilization_at = context.now

    def free_memory(self, machine: MachineRecord) -> float:
        """What machines are ranked by: memory not used where reported, else memory not requested.

        A machine without any report counts as free as the reported ones on average.
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
        """The parts of its cores and memory that would be in use with the request, where reported lately.

        Where the cores in use are not reported, they are what its tasks request, as far as such tasks use
        that. Memory that is scarcer than cores decides alone: machines are ranked by it, and must not be
        outranked by cores.
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
            since = machine.running_cores + machine.offered_cores - machine.utilization_own_cores
            cores_load = machine.utilization + since * cores_share / machine.cores
        return (
            cores_load + request.cores * cores_share / machine.cores,
            memory_load + request.memory * memory_share / machine.memory,
        )
