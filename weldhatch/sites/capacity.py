"""How much room a site has, from what its machines told its own module: the summary for others. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.scheduling.events import AttemptEnded, Event, MachinesChanged, ProbeAnswered
from weldhatch.scheduling.types import ListForm, Machine, MachineKind, MachineState, Settings
from weldhatch.sites.routing import CapacitySummary

HEARD_S = 10.0  # an older report of a machine counts as the average of the others
LEAST = 0.01  # of a core, or of a unit of memory: a class that asks for nothing still fills something


@dataclass(slots=True)
class MachineCapacity:
    entry: Machine
    free: tuple[float, float] | None = None  # cores and memory that nobody has asked for
    at: float = 0.0
    open: float = 0.0  # cores placed there since


@dataclass(slots=True)
class CapacityTracker:
    """Watches the events that the module gets, and adds up. Times in seconds."""

    settings: Settings
    machines: dict[int, MachineCapacity] = field(default_factory=dict)

    def watch(self, now: float, event: Event) -> None:
        match event:
            case MachinesChanged(form, entries):
                if form in (ListForm.FULL, ListForm.CACHED):
                    named = {entry.id for entry in entries}
                    self.machines = {id: one for id, one in self.machines.items() if id in named}
                for entry in entries:
                    if entry.state == MachineState.REMOVED:
                        self.machines.pop(entry.id, None)
                    else:
                        self.machines.setdefault(entry.id, MachineCapacity(entry)).entry = entry
                    if entry.free_cores is not None and entry.id in self.machines:
                        self._hear(now, entry.id, (entry.free_cores, entry.free_memory or 0.0))
            case ProbeAnswered(machine, _, _, report) | AttemptEnded(machine=machine, report=report):
                values = dict(zip(self.settings.report_fields, report, strict=False))
                if "x0" in values and "x1" in values and machine in self.machines:
                    self._hear(now, machine, (values["x0"], values["x1"]))

    def _hear(self, now: float, machine: int, free: tuple[float, float]) -> None:
        seen = self.machines[machine]
        seen.free, seen.at = free, now

    def summary(self, now: float, waiting: int, standing: int, draining: bool = False) -> CapacitySummary:
        """What to tell other sites. `waiting`: requests not placed; `standing`: tasks of ours that stand.

        A task of usual size asks for `usual_cores` and `usual_memory`; a machine that has told nothing is
        taken for an average one, and where none has, for one that shares the tasks we know of.
        """
        s = self.settings
        cores_each, memory_each = max(LEAST, s.usual_cores), max(LEAST, s.usual_memory)
        size = free = unheard = heard = 0
        for seen in self.machines.values():
            if seen.entry.state != MachineState.READY:
                continue
            cores, memory = self._whole(seen.entry)
            most = int(min(cores * s.cores_booking / cores_each, memory * s.memory_booking / memory_each))
            size += most
            if seen.free is None or now - seen.at > HEARD_S:
                unheard += most
                continue
            heard += most
            free_cores = seen.free[0] + (s.cores_booking - 1) * cores
            free_memory = seen.free[1] + (s.memory_booking - 1) * memory
            free += max(0, int(min(free_cores / cores_each, free_memory / memory_each)))
        if heard:
            free += int(unheard * free / heard)
        else:
            free = max(0, size - standing)
        left = max(0, free - waiting)
        return CapacitySummary({cls.name: left for cls in s.classes}, size, waiting, draining)

    def _whole(self, entry: Machine) -> tuple[float, float]:
        kinds = self.settings.kinds
        kind = kinds[entry.kind] if 0 <= entry.kind < len(kinds) else MachineKind("", 1.0, 1.0)
        return entry.cores or kind.cores, entry.memory or kind.memory
