"""One dispatcher's list of machines, beside what the group has agreed on. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.coordination.lease_holder import LeaseHolder
from weldhatch.scheduling.types import Machine, MachineState
from weldhatch.zones.endpoint_overlay import EndpointOverlay

GONE_MOST = 5000  # machines that went, and that the group may not know of yet


class LocalEndpointList:
    """Hears each change of the own list; says what is news to the group, and what the module should hear."""

    def __init__(self) -> None:
        self.rev = 0
        self.states: dict[str, str] = {}  # by uid, as our own list says
        self._ids: dict[str, int] = {}  # of those that are not gone
        self._uids: dict[int, str] = {}
        self._told = EndpointOverlay()
        self.changed: Callable[[], None] = lambda: None

    def heard(self, topology: dict, machines: tuple[Machine, ...]) -> None:
        """One event of the bus, with its targets as the module was told of them."""
        self.rev = max(self.rev, int(topology.get("rev") or 0))
        uids = [str(target["uid"]) for target in topology.get("targets") or ()]
        if topology.get("all"):
            for uid in self._ids.keys() - set(uids):
                self.states[uid] = "gone"
                self._told.machine_removed(self._ids[uid])
                self._forget(uid)
        for uid, machine in zip(uids, machines, strict=True):
            self.states[uid] = machine.state.label
            self._ids[uid], self._uids[machine.id] = machine.id, uid
            self._told.machine_listed(machine)
            if machine.state is MachineState.REMOVED:
                self._forget(uid)
        gone = [uid for uid, state in self.states.items() if state == "gone"]
        for uid in gone[: max(0, len(gone) - GONE_MOST)]:
            del self.states[uid]
        self.changed()

    def _forget(self, uid: str) -> None:
        del self._uids[self._ids.pop(uid)]

    @property
    def machines(self) -> tuple[Machine, ...]:
        """All that our own list names and that are not gone."""
        return tuple(self._told.entries.values())

    def news(self, holder: LeaseHolder) -> dict[str, str]:
        """What the group should hear of our list."""
        return holder.state_machine.lists.news(self.rev, self.states)

    def narrow(self, holder: LeaseHolder, zoned: Callable[[int], str] | None = None) -> tuple[Machine, ...]:
        """Machines of which the module should hear another state than it was told last.

        `zoned`: what a machine counts as by its zone, where any zone may count for less.
        """
        group = holder.state_machine
        if zoned is not None:
            ids = list(self._uids)
        else:
            ids = [
                self._ids[uid] for uid in group.lists.entries.keys() | group.words.keys() if uid in self._ids
            ]

        def acts(machine: Machine) -> str:
            state = holder.machine_state(self._uids[machine.id], self.rev)
            return zoned(machine.id) if state == "ready" and zoned is not None else state

        return self._told.changes(ids, acts)
