"""One dispatcher's list of machines, beside what the group has agreed on. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.lease_holder import LeaseHolder
from weldhatch.scheduling.types import Machine, MachineState
from weldhatch.zones.endpoint_overlay import EndpointOverlay

REMOVED = "gone"
MAX_REMOVED = 5000  # machines that were removed, and that the group may not know of yet


class LocalEndpointList:
    """Receives each change of the own list; says what is news to the group, and to the policy."""

    def __init__(self) -> None:
        """Begin with an empty list."""
        self.rev = 0  # the list's revision
        self.states: dict[str, str] = {}  # by uid, as our own list says
        self._ids: dict[str, int] = {}  # of those that are not removed
        self._uids: dict[int, str] = {}
        self._overlay = EndpointOverlay()
        self.on_change: Callable[[], None] = lambda: None

    def list_changed(self, topology: JsonObject, machines: tuple[Machine, ...]) -> None:
        """Take one event of the event bus, with its targets as the policy was notified of them."""
        self.rev = max(self.rev, int(topology.get("rev") or 0))
        uids = [str(target["uid"]) for target in topology.get("targets") or ()]
        if topology.get("all"):
            for uid in self._ids.keys() - set(uids):
                self.states[uid] = REMOVED
                self._overlay.machine_removed(self._ids[uid])
                self._forget(uid)
        for uid, machine in zip(uids, machines, strict=True):
            self.states[uid] = machine.state.label
            self._ids[uid] = machine.id
            self._uids[machine.id] = uid
            self._overlay.machine_listed(machine)
            if machine.state is MachineState.REMOVED:
                self._forget(uid)
        removed = [uid for uid, state in self.states.items() if state == REMOVED]
        for uid in removed[: max(0, len(removed) - MAX_REMOVED)]:
            del self.states[uid]
        self.on_change()

    def _forget(self, uid: str) -> None:
        del self._uids[self._ids.pop(uid)]

    @property
    def machines(self) -> tuple[Machine, ...]:
        """All that our own list names and that are not removed."""
        return tuple(self._overlay.entries.values())

    def unreported(self, holder: LeaseHolder) -> dict[str, str]:
        """Return what the group should hear of our list, by uid."""
        return holder.state_machine.drain_reports.unreported(self.rev, self.states)

    def overlaid_machines(
        self, holder: LeaseHolder, zone_state: Callable[[int], str] | None = None
    ) -> tuple[Machine, ...]:
        """Return machines of which the policy should hear another state than it was notified of last.

        `zone_state`: what a machine counts as by its zone, where any zone may count for less.
        """
        machine = holder.state_machine
        if zone_state is not None:
            ids = list(self._uids)
        else:
            named = machine.drain_reports.entries.keys() | machine.directives.entries.keys()
            ids = [self._ids[uid] for uid in named if uid in self._ids]

        def effective_state(machine: Machine) -> str:
            state = holder.machine_state(self._uids[machine.id], self.rev)
            return zone_state(machine.id) if state == "ready" and zone_state is not None else state

        return self._overlay.changes(ids, effective_state)
