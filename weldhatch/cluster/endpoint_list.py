"""One dispatcher's own endpoint list, combined with the group's replicated state of machines. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.lease_holder import LeaseHolder
from weldhatch.scheduling.types import Machine, MachineState
from weldhatch.zones.endpoint_overlay import EndpointOverlay

REMOVED = "gone"
MAX_REMOVED = 5000  # removed machines that are kept, as the group may not know yet that they are removed


class LocalEndpointList:
    """Follows each change of the own list; finds what the group and the policy have not been notified of."""

    def __init__(self) -> None:
        """Begin with an empty list."""
        self.rev = 0  # the list's revision
        self.states: dict[str, str] = {}  # by uid, as in the own list
        self._ids: dict[str, int] = {}  # by uid, of machines that are not removed
        self._uids: dict[int, str] = {}
        self._overlay = EndpointOverlay()
        self.on_change: Callable[[], None] = lambda: None

    def list_changed(self, topology: JsonObject, machines: tuple[Machine, ...]) -> None:
        """Apply one event of the event bus; `machines` are its targets, as the policy received them."""
        self.rev = max(self.rev, int(topology.get("rev") or 0))
        uids = [str(target["uid"]) for target in topology.get("targets") or ()]
        if topology.get("all"):
            for uid in self._ids.keys() - set(uids):
                self.states[uid] = REMOVED
                self._overlay.machine_removed(self._ids[uid])
                self._remove_id(uid)
        for uid, machine in zip(uids, machines, strict=True):
            self.states[uid] = machine.state.label
            self._ids[uid] = machine.id
            self._uids[machine.id] = uid
            self._overlay.machine_listed(machine)
            if machine.state is MachineState.REMOVED:
                self._remove_id(uid)
        removed = [uid for uid, state in self.states.items() if state == REMOVED]
        for uid in removed[: max(0, len(removed) - MAX_REMOVED)]:
            del self.states[uid]
        self.on_change()

    def _remove_id(self, uid: str) -> None:
        del self._uids[self._ids.pop(uid)]

    @property
    def machines(self) -> tuple[Machine, ...]:
        """The machines of the own list that are not removed."""
        return tuple(self._overlay.entries.values())

    def unreported(self, holder: LeaseHolder) -> dict[str, str]:
        """Return the machine states of the own list that should be reported to the group, by uid."""
        return holder.state_machine.drain_reports.unreported(self.rev, self.states)

    def overlaid_machines(
        self, holder: LeaseHolder, zone_state: Callable[[int], str] | None = None
    ) -> tuple[Machine, ...]:
        """Return the machines whose effective state differs from the one the policy was last notified of.

        `zone_state` returns the state that a machine has because of its zone; None if no zone is restricted.
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
