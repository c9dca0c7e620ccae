"""What the policy was told of machines instead of our own endpoint list: each difference once. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from weldhatch.scheduling.types import Machine, MachineState

READY = "ready"


class EndpointOverlay:
    """Machines of our own list, and those among them that count as draining here."""

    def __init__(self) -> None:
        """Begin with an empty list."""
        self.entries: dict[int, Machine] = {}
        self._draining: set[int] = set()

    def machine_listed(self, machine: Machine) -> None:
        """Note what the policy has just been told, as our own list says it."""
        self._draining.discard(machine.id)
        if machine.state is MachineState.REMOVED:
            self.entries.pop(machine.id, None)
        else:
            self.entries[machine.id] = machine

    def machine_removed(self, machine: int) -> None:
        """Forget a machine that our own list names no more."""
        self.entries.pop(machine, None)
        self._draining.discard(machine)

    def changes(self, machines: Iterable[int], state_of: Callable[[Machine], str]) -> tuple[Machine, ...]:
        """Return those machines of which the policy should be told another state than last time, with that.

        `state_of`: what a machine counts as here, 'ready' or another state.
        """
        changed: list[Machine] = []
        for machine_id in {*machines, *self._draining}:
            machine = self.entries.get(machine_id)
            if machine is None or machine.state is not MachineState.READY:
                continue
            drains = state_of(machine) != READY
            if drains is not (machine_id in self._draining):
                self._draining.symmetric_difference_update({machine_id})
                changed.append(replace(machine, state=MachineState.DRAINING) if drains else machine)
        return tuple(changed)
