"""Work of the leader's process: grants leases, appends due commands, answers requests. No I/O."""

from __future__ import annotations

import json

import msgspec

from weldhatch.consensus.errors import InvalidChangeError, NotLeaderError
from weldhatch.consensus.messages import EntryKind, LogEntry
from weldhatch.coordination import commands
from weldhatch.coordination.command_log import CommandLog, Requester
from weldhatch.coordination.commands import RequestKind
from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.leader import Leader
from weldhatch.coordination.messages import (
    CommandResult,
    DenialKind,
    LeaseRequest,
    LeaseResponse,
)
from weldhatch.coordination.node_setup import NodeSetup
from weldhatch.coordination.outbox import Outbox
from weldhatch.coordination.results import error_result, is_error, ok_result
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.voter import Voter
from weldhatch.coordination.zone_leader import ZoneLeader

REJOIN_INTERVAL_S = 0.5
NEVER = float("-inf")


class LeaderDuties:
    """The leader's work. `leader` and `zone_leader` are None while the local voter does not lead."""

    def __init__(self, setup: NodeSetup, voter: Voter, log: CommandLog, outbox: Outbox) -> None:
        """Create the duties of that voter."""
        self._setup = setup
        self._voter = voter
        self._raft = voter.raft
        self._log = log
        self._outbox = outbox
        self.leader: Leader | None = None
        self.zone_leader: ZoneLeader | None = None
        self._joining: dict[Incarnation, float] = {}

    @property
    def state_machine(self) -> StateMachine:
        """The state machine of the local voter."""
        return self._voter.state_machine

    # ---- leadership ------------------------------------------------------------------------------------

    def update(self, now: float) -> None:
        """Follow changes of leadership, and append commands that are due."""
        if not self._raft.is_leader:
            self._end_leadership()
            return
        if self.leader is None:
            self.leader = self._begin_leadership(now)
        if now < self.may_grant_until(now):
            self._append_due_commands(now, self.leader)

    def _end_leadership(self) -> None:
        if self.leader is not None:
            self.leader = None
            self.zone_leader = None
            self._log.clear()
            self._outbox.event("leads_no_more", term=self._raft.persistent.term, leader=self._raft.leader)

    def _begin_leadership(self, now: float) -> Leader:
        setup = self._setup
        leader = Leader(setup.timing, now, setup.parse_settings)
        term = self._raft.persistent.term
        if setup.zone_times is not None:
            self.zone_leader = ZoneLeader(
                now, self._raft.name, term, setup.zone_times, leader, setup.parse_settings
            )
        self._outbox.event("leads", term=term)
        return leader

    def _append_due_commands(self, now: float, leader: Leader) -> None:
        if not self.state_machine.versions.last_number and self.state_machine.members:
            self._append_command(now, commands.propose_first(self._setup.first_settings, self._raft.name))
        for command in leader.activation.due_commands(now, self.state_machine):
            command_id = f"{command['do']}-{command.get('number', command.get('rev'))}"
            self._append_command(now, {**command, "id": command_id})
        if self.zone_leader is not None:
            for command in self.zone_leader.due_commands(now, self.state_machine):
                self._append_command(now, command)

    def _append_command(self, now: float, command: JsonObject, requester: str = "") -> None:
        self._log.append_command(self._voter, now, command, requester)

    def may_grant_until(self, now: float) -> float:
        """Return until when the leader may grant leases and activate versions; -inf if it may not.

        A new leader with a slow disk may not yet have applied all entries that earlier leaders committed. It
        would grant leases on rules that other members have already replaced.
        """
        is_behind = self.state_machine.index < self._raft.first_index_of_term
        return NEVER if is_behind else self._raft.leadership_guaranteed_until(now)

    def handle_commit(self, index: int, entry: LogEntry) -> None:
        """Announce a committed command to all members, which confirm it with their next lease request."""
        if self.leader is None:
            return
        data = entry.data if entry.kind == EntryKind.COMMAND else ""
        self.leader.grants.record_commit(index, data)
        if self._raft.is_leader:
            announcement = LeaseResponse(
                lineage=self._raft.persistent.lineage,
                sent_at=0.0,
                granted=False,
                denial="",
                leader="",
                base_index=index - 1,
                commands=(data,),
                snapshot="",
                applied_index=self.state_machine.index,
                digest=self.state_machine.digest,
                voters=json.dumps(self._raft.voters),
            )
            for name in self.state_machine.members:
                self._outbox.send(name, announcement)

    # ---- leases ----------------------------------------------------------------------------------------

    def handle_lease_request(self, now: float, name: str, request: LeaseRequest) -> None:
        """Answer a lease request. Only a leader whose leadership is guaranteed grants a lease."""
        if self.leader is None or not self._raft.is_leader:
            self._redirect_to_leader(name, request)
        elif request.leaving:
            self._append_command(now, commands.leave(request))
        else:
            self._answer_lease_request(now, name, request, self.leader)

    def _redirect_to_leader(self, name: str, request: LeaseRequest) -> None:
        if self._raft.leader in ("", self._raft.name):
            return
        response = LeaseResponse(
            lineage=self._raft.persistent.lineage,
            sent_at=request.sent_at,
            granted=False,
            denial="",
            leader=self._raft.leader,
            base_index=0,
            commands=(),
            snapshot="",
            applied_index=0,
            digest="",
            voters=json.dumps(self._raft.voters),
        )
        self._outbox.send(name, response)

    def _answer_lease_request(self, now: float, name: str, request: LeaseRequest, leader: Leader) -> None:
        state_machine = self.state_machine
        lineage = self._raft.persistent.lineage
        response = leader.grants.answer(now, state_machine, request, lineage, self.may_grant_until(now))
        if DenialKind.of(response.denial) is DenialKind.UNKNOWN:
            self._join(now, request)
        quotas = ""
        if self.zone_leader is not None:
            self.zone_leader.receive_report(now, self.state_machine, request)
            if response.granted:
                quotas = self.zone_leader.start_quotas(now, self.state_machine, request)
        voters = json.dumps(self._raft.voters)
        self._outbox.send(name, msgspec.structs.replace(response, voters=voters, start_quotas=quotas))
        self.update(now)

    def _join(self, now: float, request: LeaseRequest) -> None:
        incarnation = Incarnation.of(request)
        if now - self._joining.get(incarnation, NEVER) > REJOIN_INTERVAL_S:
            self._joining[incarnation] = now
            self._append_command(now, commands.join(request))

    # ---- commands --------------------------------------------------------------------------------------

    def handle_command(self, now: float, requester: Requester, text: str) -> None:
        """Handle a command from a dispatcher. A process that does not lead ignores it; the sender retries."""
        if not self._raft.is_leader:
            return
        results = self.state_machine.results
        if requester.command_id in results:
            result = json.dumps(results[requester.command_id])
            self._outbox.send(requester.name, CommandResult(requester.command_id, result))
            return
        command = json.loads(text)
        match command["do"]:
            case RequestKind.CHANGE_VOTERS:
                self._log.change_voters(self._voter, now, requester, command)
            case RequestKind.STATUS:
                self._log.send_result(requester, self.status(now))
            case RequestKind.OPERATE_ZONE:
                self._operate_zone(now, requester, command)
            case RequestKind.TRANSFER_LEADERSHIP:
                self._transfer_leadership(now, requester, command["to"])
            case _:
                self._append_command(now, command, requester.name)

    def _operate_zone(self, now: float, requester: Requester, request: JsonObject) -> None:
        """Handle an operator's zone command: the leader checks it against its reports, then appends it."""
        command = error_result("off", "zones: this group does not leave zones; see its file")
        if self.zone_leader is not None:
            command = self.zone_leader.operator_command(now, self.state_machine, request)
        if is_error(command):
            self._log.send_result(Requester(requester.name, request["id"]), command)
        else:
            self._append_command(now, command, requester.name)

    def _transfer_leadership(self, now: float, requester: Requester, to: str) -> None:
        try:
            self._raft.transfer_leadership(now, to)
            self._log.send_result(requester, ok_result())
        except (NotLeaderError, InvalidChangeError) as error:
            self._log.send_result(requester, error_result("refused", str(error)))
        self._voter.carry_out_effects()

    # ---- operators -------------------------------------------------------------------------------------

    def recover(self, now: float, address: str, by: str, reason: str, unix_time: float) -> JsonObject:
        """Start a new lineage with the local voter alone, after an operator gave up the other voters."""
        self.leader = None
        self._log.forget_commands()
        self._raft.recover(now, address)
        self._voter.carry_out_effects()
        self.update(now)
        lineage = self._raft.persistent.lineage
        self._append_command(now, commands.recovered(lineage, by, reason, unix_time))
        self._outbox.event("recovered", by=by, why=reason, lineage=lineage)
        return ok_result(lineage=lineage)

    def status(self, now: float) -> JsonObject:
        """Return the leader's view: state of each member, and members that a prepared version waits for."""
        leader = self.leader
        if leader is None:
            return {}
        state_machine = self.state_machine
        try:
            pending = leader.activation.pending(now, state_machine)
        except ValueError as error:
            pending = {"": str(error)}
        zones = self.zone_leader.status(now, state_machine) if self.zone_leader is not None else None
        return {
            "members": self._member_status(now, leader),
            "waits": pending,
            "index": state_machine.index,
            "zones": zones,
            "sure_s": round(max(0.0, self.may_grant_until(now) - now), 3),
        }

    def _member_status(self, now: float, leader: Leader) -> JsonObject:
        members = {}
        for name, member in self.state_machine.members.items():
            grant = leader.grants.entries.get(Incarnation(name, member.epoch, member.token))
            members[name] = {
                "epoch": member.epoch,
                "index": grant.applied_index if grant else 0,
                "granted_s": round(now - grant.granted_at, 3) if grant else None,
                "fault": grant.rejection if grant else "",
            }
        return members
