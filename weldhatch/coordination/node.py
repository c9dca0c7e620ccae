"""One process of a group: its voter, its duties while it is the leader, and its lease holder. No I/O.

The node leaves its I/O in `effects`, in order. Effects of the voter after a `WriteRecords` are held back
until `records_written` is called.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from weldhatch.consensus.messages import LogEntry, Message
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.raft import Raft
from weldhatch.consensus.voter_state import Timing
from weldhatch.coordination.command_log import CommandLog, Requester
from weldhatch.coordination.effects import Effect
from weldhatch.coordination.group_client import GroupClient
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.leader_duties import LeaderDuties
from weldhatch.coordination.lease_holder import LeaseHolder
from weldhatch.coordination.messages import (
    CommandRequest,
    CommandResult,
    GroupMessage,
    LeaseRequest,
    LeaseResponse,
)
from weldhatch.coordination.node_setup import NodeSetup
from weldhatch.coordination.node_status import status_of
from weldhatch.coordination.outbox import Outbox
from weldhatch.coordination.results import error_result
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.voter import Voter


class CoordinationNode:
    """Receives time and messages from its caller, which carries out `effects`. No method waits."""

    def __init__(
        self,
        setup: NodeSetup,
        random: Random,
        now: float,
        persistent: PersistentState | None,
        first_voters: dict[str, str] | None = None,
    ) -> None:
        """Start one process.

        `persistent`: the state of the voter's store, None for a process that never votes. `first_voters`:
        name to address, to create a new group.
        """
        self.name = setup.incarnation.name
        self._outbox = Outbox(self.name)
        self.lease_holder = LeaseHolder(
            setup.incarnation, setup.timing, setup.parse_settings, setup.unsupported_reason
        )
        self._empty_state = StateMachine()  # for a process that never votes
        self._log = CommandLog(self._outbox)
        self._voter: Voter | None = None
        self._duties: LeaderDuties | None = None
        if persistent is not None:
            lease_timing = setup.timing
            timing = Timing(lease_timing.heartbeat, lease_timing.election_timeout, lease_timing.clock_drift)
            raft = Raft(self.name, persistent, timing, random, now)
            if first_voters is not None:
                raft.bootstrap(first_voters)
            self._voter = Voter(raft, self._outbox, self._handle_commit)
            self._duties = LeaderDuties(setup, self._voter, self._log, self._outbox)
            self._voter.carry_out_effects()
        self._client = GroupClient(self.lease_holder, self._outbox, self._voter, self._duties)

    # ---- state -----------------------------------------------------------------------------------------

    @property
    def effects(self) -> list[Effect]:
        """Pending effects, in order."""
        return self._outbox.effects

    def take_effects(self) -> list[Effect]:
        """Remove and return all pending effects, in order."""
        effects = self._outbox.effects
        self._outbox.effects = []
        return effects

    @property
    def raft(self) -> Raft | None:
        """The local voter, None for a process that never votes."""
        return self._voter.raft if self._voter is not None else None

    @property
    def is_leader(self) -> bool:
        """Whether the local voter is the leader of its present term."""
        return self._voter is not None and self._voter.raft.is_leader

    @property
    def leader_name(self) -> str:
        """Name of the known leader, '' if none is known."""
        if self.is_leader:
            return self.name
        return (self._voter.raft.leader if self._voter is not None else "") or self._client.leader

    @property
    def state_machine(self) -> StateMachine:
        """The state machine of the local voter; empty in a process that never votes."""
        return self._voter.state_machine if self._voter is not None else self._empty_state

    def set_zone_observer(self, observe: Callable[[float], str]) -> None:
        """Send the result of `observe` (JSON) with each lease request."""
        self._client.observe_zones = observe

    # ---- events ----------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Handle timeouts and due requests. Call every few hundredths of a second."""
        if self._voter is not None and self._voter.accepts_input:
            self._voter.tick(now)
            self._update_duties(now)
        self._client.tick(now)
        self._handle_own_messages(now)

    def _update_duties(self, now: float) -> None:
        if self._duties is not None:
            self._duties.update(now)

    def records_written(self, now: float) -> None:
        """Continue after the `WriteRecords` in progress has reached the disk."""
        if self._voter is not None:
            self._voter.records_written()
        self._update_duties(now)
        self._handle_own_messages(now)

    def peer_up(self, now: float, name: str) -> None:
        """Start to use a new link to a voter."""
        self._client.reachable.add(name)
        if self._voter is not None:
            self._voter.raft.handle_link_up(name)
            self._voter.carry_out_effects()
        self._client.request_lease(now)
        self._handle_own_messages(now)

    def peer_down(self, name: str) -> None:
        """Stop using the link to a voter: it is down."""
        self._client.reachable.discard(name)

    def receive(self, now: float, name: str, message: Message | GroupMessage) -> None:
        """Handle one message from another process."""
        if not isinstance(message, Message):
            self._handle(now, name, message)
        elif self._voter is not None and self._voter.accepts_input:
            self._voter.receive(now, name, message)
            self._update_duties(now)
        self._handle_own_messages(now)

    def _handle_own_messages(self, now: float) -> None:
        while self._outbox.to_self:
            self._handle(now, self.name, self._outbox.to_self.popleft())

    def _handle(self, now: float, name: str, message: GroupMessage) -> None:
        match message:
            case LeaseRequest():
                if self._duties is not None and message.name == name:
                    self._duties.handle_lease_request(now, name, message)
            case LeaseResponse():
                self._client.handle_response(now, name, message)
            case CommandRequest(command_id, command):
                if self._duties is not None:
                    self._duties.handle_command(now, Requester(name, command_id), command)
            case CommandResult():
                self._client.handle_result(message)

    def _handle_commit(self, index: int, entry: LogEntry, result: JsonObject) -> None:
        self._log.handle_commit(index, entry, result)
        if self._duties is not None:
            self._duties.handle_commit(index, entry)

    # ---- requests --------------------------------------------------------------------------------------

    def request_lease(self, now: float, leaving: bool = False) -> None:
        """Request a lease at once, or leave the group."""
        self._client.request_lease(now, leaving)

    def submit(self, now: float, command_id: str, command: JsonObject) -> None:
        """Submit one command. A `CommandCompleted` effect carries its result.

        The command is retried until then, or until `forget_command` is called.
        """
        self._client.submit(now, command_id, command)
        self._handle_own_messages(now)

    def forget_command(self, command_id: str) -> None:
        """Stop retrying a command. It may still be carried out."""
        self._client.forget_command(command_id)

    def recover(self, now: float, address: str, by: str, reason: str, unix_time: float) -> JsonObject:
        """Start a new lineage with this voter alone, after an operator gave up the other voters.

        `address`: address of this voter. `unix_time`: Unix seconds, shown to operators.
        """
        if self._duties is None:
            return error_result("refused", "only a voter can be recovered: this process listens nowhere")
        return self._duties.recover(now, address, by, reason, unix_time)

    def leader_status(self, now: float) -> JsonObject:
        """Return the leader's view of the members; {} in a process that does not lead."""
        return self._duties.status(now) if self._duties is not None else {}

    def status(self, now: float) -> JsonObject:
        """Return the state and the lease of this process, for operators."""
        return status_of(self.lease_holder, self.raft, self.leader_name, now)
