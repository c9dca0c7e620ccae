"""The replicated state machine: the state on which a group of dispatchers has agreed. No I/O.

Commands are JSON objects in the order of the replicated log. Every dispatcher applies the same commands and
reaches the same state, which `digest` verifies. A command that can't be carried out changes nothing, and its
result contains the reason.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass

from weldhatch.coordination.commands import CommandKind
from weldhatch.coordination.drain_reports import DrainReports
from weldhatch.coordination.errors import UnknownCommandError
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.machine_directives import MachineDirective, MachineDirectives
from weldhatch.coordination.results import error_result, ok_result
from weldhatch.coordination.settings_versions import SettingsVersion, SettingsVersions
from weldhatch.zones.state import ZoneStates

MAX_RESULTS = 200  # results that are kept, so that a retried command is carried out only once


@dataclass(slots=True, frozen=True)
class GroupMember:
    """Incarnation of a member. `epoch` and `token` come from its store and differ between incarnations."""

    epoch: int
    token: str


class StateMachine:
    """The state after the commands that `apply` received. `index`: log index of the last one."""

    def __init__(self) -> None:
        """Create an empty state."""
        self.index = 0
        self.members: dict[str, GroupMember] = {}
        self.versions = SettingsVersions()
        self.directives = MachineDirectives()
        self.drain_reports = DrainReports()
        self.zones = ZoneStates()  # zones and racks that are evacuated or being restored
        self.recoveries: list[JsonObject] = []
        self.results: dict[str, JsonObject] = {}
        self._digest = ""

    @property
    def active(self) -> SettingsVersion | None:
        """The active version of the settings."""
        return self.versions.active

    @property
    def prepared(self) -> SettingsVersion | None:
        """The version that is being prepared."""
        return self.versions.prepared

    # ---- commands --------------------------------------------------------------------------------------

    def apply(self, index: int, data: str) -> JsonObject:
        """Apply one command. The result is {"ok": True, ...} or {"error": code, "text": ...}.

        Raises UnknownCommandError.
        """
        self.index = index
        self._digest = ""
        if not data:
            return ok_result()
        command = json.loads(data)
        command_id = command.get("id", "")
        if command_id and command_id in self.results:
            return self.results[command_id]  # a retry by a client that did not receive the result
        handler = _HANDLERS.get(command["do"])
        if handler is None:
            raise UnknownCommandError(command["do"])
        result = handler(self, command)
        if command_id:
            self.results[command_id] = result
            while len(self.results) > MAX_RESULTS:
                del self.results[next(iter(self.results))]
        return result

    def _join(self, command: JsonObject) -> JsonObject:
        name = command["name"]
        known = self.members.get(name)
        if known is not None and known.epoch > command["epoch"]:
            return error_result("fenced", f"{name}: a later life of it has joined, epoch {known.epoch}")
        self.members[name] = GroupMember(command["epoch"], command["token"])
        return ok_result()

    def _leave(self, command: JsonObject) -> JsonObject:
        name = command["name"]
        known = self.members.get(name)
        if known is None or (command.get("token") and known.token != command["token"]):
            return error_result("unknown", f"{name}: no such member")
        del self.members[name]
        return ok_result()

    def _settle_directives(self, command: JsonObject) -> JsonObject:
        self.directives.settle(command["rev"])
        return ok_result()

    def _report_drains(self, command: JsonObject) -> JsonObject:
        """Merge restrictions, and ends of restrictions, from one dispatcher's endpoint list."""
        before = len(self.drain_reports.conflicts)
        self.drain_reports.merge(command["rev"], command["entries"], command["by"])
        return ok_result(index=self.index, conflicts=self.drain_reports.conflicts[before:])

    def _change_zone(self, command: JsonObject) -> JsonObject:
        """Change the phase of a zone, as decided by the leader from its witnesses or by an operator."""
        names = self.active.tree.get("zones", []) if self.active else []
        return self.zones.apply(self.index, command, names)

    def _fence(self, command: JsonObject) -> JsonObject:
        """Record the keys of tasks that may still run in a place that their dispatcher has left."""
        result = self.zones.apply_fence(command["place"], command["keys"], command["by"])
        return {**result, "index": self.index}

    def _recovered(self, command: JsonObject) -> JsonObject:
        """Record a manual recovery. Recoveries are kept permanently and shown to operators."""
        recovery = {key: command[key] for key in ("by", "why", "at")}
        self.recoveries.append({**recovery, "index": self.index})
        return ok_result()

    # ---- snapshots -------------------------------------------------------------------------------------

    def snapshot(self) -> str:
        """Return the whole state as JSON. The names of the keys are those of version 0.2.0."""
        versions = self.versions
        return json.dumps(
            {
                "index": self.index,
                "members": {
                    name: {"epoch": member.epoch, "token": member.token}
                    for name, member in self.members.items()
                },
                "active": versions.active.to_tree() if versions.active else None,
                "prepared": versions.prepared.to_tree() if versions.prepared else None,
                "prepared_at": versions.prepared_at,
                "number": versions.last_number,
                "trees": {str(number): tree for number, tree in versions.trees.items()},
                "history": versions.history,
                "words": {name: directive.to_tree() for name, directive in self.directives.entries.items()},
                "rev": self.directives.revision,
                "unsettled": self.directives.unsettled,
                "recoveries": self.recoveries,
                "lists": self.drain_reports.to_tree(),
                "zones": self.zones.to_tree(),
                "results": list(self.results.items()),
            },
            sort_keys=True,
            separators=(",", ":"),
        )

    def load(self, snapshot: str) -> None:
        """Load the result of `snapshot`. Raises ValueError, KeyError or TypeError for anything else."""
        tree = json.loads(snapshot)
        self.index = tree["index"]
        self.members = {
            name: GroupMember(member["epoch"], member["token"]) for name, member in tree["members"].items()
        }
        self.versions = _versions_from_tree(tree)
        self.directives.entries = {
            name: MachineDirective.from_tree(encoded) for name, encoded in tree["words"].items()
        }
        self.directives.revision = tree["rev"]
        self.directives.unsettled = tree["unsettled"]
        self.drain_reports = DrainReports.from_tree(tree["lists"])
        # Snapshots of versions without zones lack the key.
        self.zones = ZoneStates.from_tree(tree["zones"]) if "zones" in tree else ZoneStates()
        self.recoveries = tree["recoveries"]
        self.results = dict(tree["results"])  # pairs, the oldest first
        self._digest = ""

    @property
    def digest(self) -> str:
        """Hash of the state. It is the same on all dispatchers at one index, unless there is a fault."""
        if not self._digest:
            self._digest = hashlib.blake2b(self.snapshot().encode(), digest_size=8).hexdigest()
        return self._digest


_HANDLERS: dict[str, Callable[[StateMachine, JsonObject], JsonObject]] = {
    CommandKind.JOIN: StateMachine._join,
    CommandKind.LEAVE: StateMachine._leave,
    CommandKind.PROPOSE: lambda state_machine, command: state_machine.versions.propose(
        state_machine.index, command
    ),
    CommandKind.ACTIVATE: lambda state_machine, command: state_machine.versions.activate(
        state_machine.index, command
    ),
    CommandKind.DROP: lambda state_machine, command: state_machine.versions.drop(
        state_machine.index, command
    ),
    CommandKind.DIRECT_MACHINE: lambda state_machine, command: state_machine.directives.apply_command(
        command
    ),
    CommandKind.SETTLE_DIRECTIVES: StateMachine._settle_directives,
    CommandKind.REPORT_DRAINS: StateMachine._report_drains,
    CommandKind.CHANGE_ZONE: StateMachine._change_zone,
    CommandKind.HOLD_ZONE: lambda state_machine, command: state_machine.zones.apply_hold(
        state_machine.index, command
    ),
    CommandKind.FENCE: StateMachine._fence,
    CommandKind.RECOVERED: StateMachine._recovered,
}


def _versions_from_tree(tree: JsonObject) -> SettingsVersions:
    versions = SettingsVersions()
    versions.active = SettingsVersion.from_tree(tree["active"]) if tree["active"] else None
    versions.prepared = SettingsVersion.from_tree(tree["prepared"]) if tree["prepared"] else None
    versions.prepared_at = tree["prepared_at"]
    versions.last_number = tree["number"]
    versions.trees = {int(number): settings for number, settings in tree["trees"].items()}
    versions.history = tree["history"]
    return versions
