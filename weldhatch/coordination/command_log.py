"""Commands in the replicated log: each is appended once, and its result is sent to the requester. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

from weldhatch.consensus.errors import BusyError, InvalidChangeError, NotLeaderError
from weldhatch.consensus.messages import EntryKind, LogEntry
from weldhatch.coordination.commands import CommandKind
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.messages import CommandResult
from weldhatch.coordination.outbox import Outbox
from weldhatch.coordination.results import error_result, ok_result
from weldhatch.coordination.voter import Voter

LOGGED_KEYS = (  # fields of a command that are copied into its log event
    "number",
    "machine",
    "state",
    "why",
    "by",
    "place",
    "phase",
    "step",
    "witnesses",
    "shed",
    "tenants",
    "inside",
    "flaps",
    "held",
)


@dataclass(slots=True, frozen=True)
class Requester:
    """The process that waits for the result of a command."""

    name: str
    command_id: str


class CommandLog:
    """Tracks the requesters of log entries that are not yet committed."""

    def __init__(self, outbox: Outbox) -> None:
        """Create the log without any requester."""
        self._outbox = outbox
        self._requesters: dict[str, str] = {}  # by command id: name of the requester; '' for none
        self._voter_changes: dict[int, Requester] = {}  # by log index

    def clear(self) -> None:
        """Forget all requesters: uncommitted entries may never be committed, and clients retry."""
        self._requesters.clear()
        self._voter_changes.clear()

    def forget_commands(self) -> None:
        """Forget the requesters of commands, but not those of changes of the voters."""
        self._requesters.clear()

    def append_command(self, voter: Voter, now: float, command: JsonObject, requester: str = "") -> None:
        """Append one command to the log, unless a command with its id is already in flight."""
        command_id = command["id"]
        if command_id in self._requesters:
            self._requesters[command_id] = requester or self._requesters[command_id]
            return
        try:
            voter.raft.propose(now, json.dumps(command, separators=(",", ":")))
        except (NotLeaderError, BusyError):
            return
        self._requesters[command_id] = requester
        voter.carry_out_effects()

    def change_voters(self, voter: Voter, now: float, requester: Requester, command: JsonObject) -> None:
        """Add or remove the voters that a command names."""
        if requester.command_id in (pending.command_id for pending in self._voter_changes.values()):
            return
        before = voter.raft.voters
        voters = {**before, **command.get("add", {})}
        voters = {name: address for name, address in voters.items() if name not in command.get("remove", [])}
        if voters == before:
            self.send_result(requester, ok_result(voters=voters))
            return
        try:
            self._voter_changes[voter.raft.change_voters(now, voters)] = requester
        except (NotLeaderError, BusyError, InvalidChangeError) as error:
            self.send_result(requester, error_result("refused", str(error)))
        voter.carry_out_effects()

    def send_result(self, requester: Requester, result: JsonObject) -> None:
        """Send a result to its requester."""
        self._outbox.send(requester.name, CommandResult(requester.command_id, json.dumps(result)))

    # ---- committed entries -----------------------------------------------------------------------------

    def handle_commit(self, index: int, entry: LogEntry, result: JsonObject) -> None:
        """Send the result of a committed entry to its requester, and log an event."""
        if entry.kind == EntryKind.VOTERS:
            self._handle_voters(index, json.loads(entry.data))
        elif entry.kind == EntryKind.COMMAND and entry.data:
            self._handle_command(index, json.loads(entry.data), result)

    def _handle_voters(self, index: int, voters: dict[str, str]) -> None:
        self._outbox.event("voters", voters=sorted(voters), index=index)
        requester = self._voter_changes.pop(index, None)
        if requester is not None:
            self.send_result(requester, ok_result(voters=voters))

    def _handle_command(self, index: int, command: JsonObject, result: JsonObject) -> None:
        if name := self._requesters.pop(command["id"], ""):
            self.send_result(Requester(name, command["id"]), result)
        if command["do"] in (CommandKind.JOIN, CommandKind.LEAVE):
            return
        logged = {key: value for key, value in command.items() if key in LOGGED_KEYS}
        self._outbox.event(command["do"], index=index, **logged, result=result.get("error", "ok"))
        for text in result.get("conflicts", ()):
            self._outbox.event("conflict", text=text)
