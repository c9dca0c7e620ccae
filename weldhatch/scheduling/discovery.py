"""Discovery: keeps machine records in step with endpoint lists, and renews the subscription."""

from __future__ import annotations

from dataclasses import replace

from weldhatch.scheduling.actions import Subscribe
from weldhatch.scheduling.capacity import LIST_LAG_US, STALE_US
from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.events import MachinesChanged
from weldhatch.scheduling.slow_start import SlowStart
from weldhatch.scheduling.types import ListForm, Machine, MachineState

RESUBSCRIBE_US = 400_000  # first delay after a failed list; doubles with each failure
MAX_DOUBLINGS = 4


class Discovery:
    """Applies endpoint lists to the machine records and resubscribes after failures."""

    def __init__(self, context: DecisionContext, cluster: ClusterState, slow_start: SlowStart) -> None:
        """Update the records of `cluster`; `slow_start` sets how many offer times each record keeps."""
        self._context = context
        self._cluster = cluster
        self._slow_start = slow_start
        self._failures = 0

    def handle_machines_changed(self, event: MachinesChanged) -> None:
        """Apply an endpoint list, or resubscribe after a failed one."""
        settings = self._context.settings
        if event.form is ListForm.FAILED:
            if settings.subscribe:
                wait = self._context.jitter(RESUBSCRIBE_US << min(self._failures, MAX_DOUBLINGS))
                self._context.schedule(wait, self._subscribe)
                self._failures += 1
            return
        if event.form is ListForm.CACHED and settings.subscribe:
            self._subscribe()
        self._failures = 0
        if event.form is not ListForm.DELTA:
            self._mark_unlisted({entry.id for entry in event.machines})
        for entry in event.machines:
            self._update(entry)
        self._drop_removed()

    def _subscribe(self) -> None:
        self._context.actions.append(Subscribe())

    def _mark_unlisted(self, listed: set[int]) -> None:
        for machine_id, machine in self._cluster.machines.items():
            if machine_id not in listed:
                machine.entry = replace(machine.entry, state=MachineState.REMOVED)

    def _update(self, entry: Machine) -> None:
        context = self._context
        machine = self._cluster.machines.get(entry.id) or self.add(entry)
        if entry.born_us != machine.entry.born_us:
            self._cluster.placements.forget(machine)
            machine.restart()
        machine.entry = entry
        kinds = context.settings.kinds
        if entry.kind < len(kinds):
            kind = kinds[entry.kind]
            machine.cores = entry.cores or kind.cores
            machine.memory = entry.memory or kind.memory
        if entry.free_cores is not None and not self._has_report(machine):
            machine.unreserved.update(
                context.now, LIST_LAG_US, entry.free_cores, entry.free_memory or 0.0, machine
            )

    def _has_report(self, machine: MachineRecord) -> bool:
        """Whether a recent load report exists, which is more accurate than the list."""
        context = self._context
        return context.settings.reports_asked and context.now - machine.unreserved.reported_at <= STALE_US

    def _drop_removed(self) -> None:
        """Delete removed machines without own offers or tasks.

        Machines that are warming up are kept: if they are listed again, their offer times still count.
        """
        context = self._context
        removed = [
            machine
            for machine in self._cluster.machines.values()
            if not machine.in_flight
            and machine.entry.state == MachineState.REMOVED
            and context.now >= machine.entry.born_us + context.settings.warm_up_us
        ]
        for machine in removed:
            self._cluster.remove_machine(machine)

    def add(self, entry: Machine) -> MachineRecord:
        """Create the record of a new machine."""
        return self._cluster.add_machine(entry, self._slow_start.offer_times_kept)
