"""What the module was told of machines in place of our own list: it hears each difference once. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from weldhatch.scheduling import types as i


class Narrowed:
    """Machines of our own list, and those among them that count for less here."""

    def __init__(self) -> None:
        self.entries: dict[int, i.Machine] = {}
        self._narrowed: set[int] = set()

    def heard(self, machine: i.Machine) -> None:
        """The module has just been told what our own list says."""
        self._narrowed.discard(machine.id)
        if machine.state is i.MachineState.GONE:
            self.entries.pop(machine.id, None)
        else:
            self.entries[machine.id] = machine

    def gone(self, machine: int) -> None:
        self.entries.pop(machine, None)
        self._narrowed.discard(machine)

    def news(self, machines: Iterable[int], acts: Callable[[i.Machine], str]) -> tuple[i.Machine, ...]:
        """Those of which the module should hear another state than it was told last, with that state."""
        out = []
        for id in {*machines, *self._narrowed}:
            machine = self.entries.get(id)
            if machine is None or machine.state is not i.MachineState.READY:
                continue
            narrow = acts(machine) != "ready"
            if narrow is not (id in self._narrowed):
                self._narrowed.symmetric_difference_update({id})
                out.append(replace(machine, state=i.MachineState.DRAINING) if narrow else machine)
        return tuple(out)
