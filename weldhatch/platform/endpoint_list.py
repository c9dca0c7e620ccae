"""The list of machines, merged from the events of the event bus: uids, addresses and numbers."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from weldhatch.scheduling.events import MachinesChanged
from weldhatch.scheduling.types import ListForm, Machine, MachineState, Settings

_STATES = {"ready": MachineState.READY, "draining": MachineState.DRAINING, "gone": MachineState.REMOVED}


@dataclass(slots=True, frozen=True)
class Server:
    """A machine, identified by its uid: an address may be reused by another machine, a uid never is."""

    machine: int
    uid: str
    endpoint: tuple[str, int]
    state: MachineState
    boot_ms: int
    zone: int = 0
    cell: int = 0


def machine_number(uid: str) -> int:
    """Return the machine's number for the policy, equal at all dispatchers so that homes agree."""
    return int.from_bytes(hashlib.blake2b(uid.encode(), digest_size=6).digest(), "big")


class EndpointList:
    """Converts bus events into list events for the policy, and keeps each machine's latest address."""

    def __init__(
        self, settings: Settings, changed: Callable[[list[Server]], None], log: Callable[[str], None]
    ) -> None:
        """Start with an empty list; `changed` is called with the servers of each event."""
        self._zones = {name: n for n, name in enumerate(settings.zones)}
        self._kinds = {kind.name: n for n, kind in enumerate(settings.kinds)}
        self._cells: dict[object, int] = {}
        self._changed = changed
        self._log = log
        self.servers: dict[int, Server] = {}
        self.offset = 0

    def apply_event(self, event: dict[str, Any]) -> MachinesChanged | None:
        """Apply a bus event; return None if it is outdated. Raises ValueError if it is invalid."""
        try:
            offset = int(event["offset"])
            if offset <= self.offset:
                return None
            topology = event["topology"]
            is_full_list = bool(topology.get("all"))
            entries = [self._parse_target(target) for target in topology.get("targets") or ()]
            version = int(topology.get("rev") or 0)
        except (KeyError, TypeError, AttributeError) as fault:
            raise ValueError(f"event bus: invalid event: {fault!r}") from None
        is_first_event = not self.offset
        servers = [server for server, _ in entries]
        if is_full_list:
            named = {server.machine for server in servers}
            servers += [
                replace(old, state=MachineState.REMOVED)
                for old in self.servers.values()
                if old.machine not in named
            ]
        self.servers.update((server.machine, server) for server in servers)
        self._changed(servers)
        for server in servers:  # a removed machine that returns is reported as new
            if server.state == MachineState.REMOVED:
                self.servers.pop(server.machine, None)
        self.offset = offset
        names = ", ".join(f"{server.uid} {server.state.label}" for server in servers)
        self._log(f"event bus: event {offset}: {names}")
        list_form = (
            ListForm.CACHED
            if is_first_event and is_full_list
            else ListForm.FULL
            if is_full_list
            else ListForm.DELTA
        )
        return MachinesChanged(list_form, tuple(machine for _, machine in entries), version)

    def _parse_target(self, target: dict[str, Any]) -> tuple[Server, Machine]:
        uid = str(target["uid"])
        state = _STATES[target["state"]]
        boot_ms = int(target.get("boot_ms") or 0)
        number = machine_number(uid)
        host, _, port = str(target.get("endpoint") or ":0").rpartition(":")
        cell = target.get("pod_group")
        cell = cell if isinstance(cell, int) else self._cells.setdefault(cell, len(self._cells))
        zone_name: Any = target.get("az")
        kind_name: Any = target.get("model")
        zone = self._zones.get(zone_name, 0)
        kind = self._kinds.get(kind_name, 0)
        if zone_name not in self._zones or kind_name not in self._kinds:
            self._log(f"event bus: {uid} has an unknown zone or kind")
        machine = Machine(
            number, zone, kind, cell, state, boot_ms * 1000, weight=float(target.get("capacity_hint") or 1)
        )
        return Server(number, uid, (host, int(port)), state, boot_ms, zone, cell), machine
