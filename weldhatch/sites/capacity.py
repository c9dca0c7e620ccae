"""Computes the capacity summary that a site sends to other sites, from its machines' reports. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.scheduling.events import AttemptEnded, Event, MachinesChanged, ProbeAnswered
from weldhatch.scheduling.types import ListForm, Machine, MachineKind, MachineState, Settings
from weldhatch.sites.routing import CapacitySummary

REPORT_TTL_S = 10.0  # a machine with an older report counts as average
MIN_SIZE = 0.01  # in cores or units of memory; avoids division by zero for a class that requests nothing


@dataclass(slots=True)
class MachineCapacity:
    """One machine: its entry in the endpoint list, and what it last reported.

    `free`: cores and memory that are not requested by any task. `reported_at`: seconds of the caller's clock.
    """

    entry: Machine
    free: tuple[float, float] | None = None
    reported_at: float = 0.0


@dataclass(slots=True)
class CapacityTracker:
    """Tracks machine capacity from the events sent to the decision module. Times are in seconds."""

    settings: Settings
    machines: dict[int, MachineCapacity] = field(default_factory=dict)

    def watch(self, now: float, event: Event) -> None:
        """Update the tracked machines from an event sent to the decision module."""
        match event:
            case MachinesChanged(form, entries):
                self._update_machines(now, form, entries)
            case ProbeAnswered(machine, _, _, report) | AttemptEnded(machine=machine, report=report):
                values = dict(zip(self.settings.report_fields, report, strict=False))
                if "x0" in values and "x1" in values and machine in self.machines:
                    self._receive_report(now, machine, (values["x0"], values["x1"]))

    def _update_machines(self, now: float, form: ListForm, entries: tuple[Machine, ...]) -> None:
        if form in (ListForm.FULL, ListForm.CACHED):
            listed_ids = {entry.id for entry in entries}
            self.machines = {id: machine for id, machine in self.machines.items() if id in listed_ids}
        for entry in entries:
            if entry.state == MachineState.REMOVED:
                self.machines.pop(entry.id, None)
            else:
                self.machines.setdefault(entry.id, MachineCapacity(entry)).entry = entry
            if entry.free_cores is not None and entry.id in self.machines:
                self._receive_report(now, entry.id, (entry.free_cores, entry.free_memory or 0.0))

    def _receive_report(self, now: float, machine: int, free: tuple[float, float]) -> None:
        known = self.machines[machine]
        known.free = free
        known.reported_at = now

    def summary(self, now: float, waiting: int, running: int, draining: bool = False) -> CapacitySummary:
        """Return the summary for other sites, in tasks of the usual size (`usual_cores`, `usual_memory`).

        `waiting`: requests that are not placed yet; `running`: tasks of this gateway that are placed. A
        machine without a recent report is assumed to have the average free part of those that reported. If
        none has reported, the free capacity is the total size less the running tasks.
        """
        settings = self.settings
        usual_cores = max(MIN_SIZE, settings.usual_cores)
        usual_memory = max(MIN_SIZE, settings.usual_memory)
        size = 0
        size_reported = 0
        free = 0
        for machine in self.machines.values():  # one loop: runs for each forwardable request
            if machine.entry.state != MachineState.READY:
                continue
            cores, memory = self._dimensions(machine.entry)
            booked_cores = cores * settings.cores_booking
            booked_memory = memory * settings.memory_booking
            machine_size = int(min(booked_cores / usual_cores, booked_memory / usual_memory))
            size += machine_size
            if machine.free is None or now - machine.reported_at > REPORT_TTL_S:
                continue
            size_reported += machine_size
            free_cores = machine.free[0] + (settings.cores_booking - 1) * cores
            free_memory = machine.free[1] + (settings.memory_booking - 1) * memory
            free += max(0, int(min(free_cores / usual_cores, free_memory / usual_memory)))
        if size_reported:
            free += int((size - size_reported) * free / size_reported)
        else:
            free = max(0, size - running)
        available = max(0, free - waiting)
        return CapacitySummary({cls.name: available for cls in settings.classes}, size, waiting, draining)

    def _dimensions(self, entry: Machine) -> tuple[float, float]:
        """Return a machine's cores and memory: its own values, or else those of its kind."""
        kinds = self.settings.kinds
        kind = kinds[entry.kind] if 0 <= entry.kind < len(kinds) else MachineKind("", 1.0, 1.0)
        return entry.cores or kind.cores, entry.memory or kind.memory
