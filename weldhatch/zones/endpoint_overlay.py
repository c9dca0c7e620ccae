"""Tracks which machines the policy sees as draining although the endpoint list has them as ready. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from weldhatch.scheduling.types import Machine, MachineState

READY = "ready"


class EndpointOverlay:
    """The machines of the endpoint list, and those of them that the policy was told are draining."""

    def __init__(self) -> None:
        """Create an empty overlay."""
        self.entries: dict[int, Machine] = {}
        self._draining: set[int] = set()

    def machine_listed(self, machine: Machine) -> None:
        """Record the state in the endpoint list, which was just passed to the policy."""
        self._draining.discard(machine.id)
        if machine.state is MachineState.REMOVED:
            self.entries.pop(machine.id, None)
        else:
            self.entries[machine.id] = machine

    def machine_removed(self, machine: int) -> None:
        """Remove a machine that is no longer in the endpoint list."""
        self.entries.pop(machine, None)
        self._draining.discard(machine)

    def changes(self, machines: Iterable[int], state_of: Callable[[Machine], str]) -> tuple[Machine, ...]:
        """Return the machines whose state for the policy has changed since the last call, with the new state.

        `state_of`: returns 'ready', or another state for a machine that new work must avoid.
        """
        changed: list[Machine] = []
        for machine_id in {*machines, *self._draining}:
            machine = self.entries.get(machine_id)
            if machine is None or machine.state is not MachineState.READY:
                continue
            is_draining = state_of(machine) != READY
            if is_draining is not (machine_id in self._draining):
                self._draining.symmetric_difference_update({machine_id})
                changed.append(replace(machine, state=MachineState.DRAINING) if is_draining else machine)
        return tuple(changed)
