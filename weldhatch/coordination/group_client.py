"""A dispatcher's client of the leader: requests leases, submits commands, handles responses. No I/O."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from weldhatch.coordination.command_log import Requester
from weldhatch.coordination.effects import CommandCompleted, QuotaReceived, SaveState, Send
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.leader_duties import LeaderDuties
from weldhatch.coordination.lease_holder import NEVER, LeaseHolder, LeaseStatus
from weldhatch.coordination.messages import CommandRequest, CommandResult, LeaseResponse
from weldhatch.coordination.outbox import Outbox
from weldhatch.coordination.voter import Voter


@dataclass(slots=True)
class PendingCommand:
    """A submitted command (JSON), and when it was last sent."""

    text: str
    sent_at: float


class GroupClient:
    """Sends requests to the leader, or to all reachable voters if it is unknown or unresponsive."""

    def __init__(
        self,
        lease_holder: LeaseHolder,
        outbox: Outbox,
        voter: Voter | None,
        duties: LeaderDuties | None,
    ) -> None:
        """Create the client. `voter` and `duties` belong to this process; None if it never votes."""
        self._lease_holder = lease_holder
        self._timing = lease_holder.timing
        self._outbox = outbox
        self._voter = voter
        self._duties = duties
        self.leader = ""  # name of the known leader; '' if none is known
        self.reachable: set[str] = set()  # voters to which a link is up
        self.observe_zones: Callable[[float], str] = lambda now: ""  # JSON for a lease request
        self._commands: dict[str, PendingCommand] = {}
        self._status = LeaseStatus.EXPIRED
        self._last_request_at = NEVER

    @property
    def _is_leader(self) -> bool:
        return self._voter is not None and self._voter.raft.is_leader

    def tick(self, now: float) -> None:
        """Send requests that are due."""
        if now - self._last_request_at >= self._timing.renewal_interval:
            self.request_lease(now)
        for command_id, command in list(self._commands.items()):
            if now - command.sent_at >= 2 * self._timing.renewal_interval:
                self._send_command(now, command_id, command.text)
        self._report_status(now)

    def _report_status(self, now: float) -> None:
        """Log an event if the status of the lease has changed."""
        status = self._lease_holder.lease_status(now)
        if status is not self._status:
            before = self._status.value
            self._outbox.event("footing", before=before, now=status.value, why=self._lease_holder.denial)
            self._status = status

    # ---- leases ----------------------------------------------------------------------------------------

    def request_lease(self, now: float, leaving: bool = False) -> None:
        """Request a lease, or leave the group."""
        self._last_request_at = now
        request = self._lease_holder.request(now, leaving, self.observe_zones(now))
        if self._is_leader:
            self._outbox.send(self._outbox.name, request)
            return
        if self._voter is not None and self._voter.raft.leader:
            self.leader = self._voter.raft.leader
        silent_for = now - self._lease_holder.last_response_at
        if self.leader in self.reachable and silent_for < 2 * self._timing.renewal_interval:
            self._outbox.add(Send(self.leader, request))
            return
        for name in sorted(self.reachable):
            self._outbox.add(Send(name, request))

    def handle_response(self, now: float, name: str, response: LeaseResponse) -> None:
        """Handle a response to a lease request, or an announcement of new commands."""
        if response.voters:
            voters = json.loads(response.voters)
            if self._outbox.name not in voters:
                self._outbox.connect(voters)  # also in a former voter that has not learned of its removal
        if response.leader:
            if response.leader != self.leader:
                self.leader = response.leader
                self.request_lease(now)
            return
        self.leader = name
        if response.start_quotas:
            self._outbox.add(QuotaReceived(response.start_quotas, response.sent_at))
        self._apply_response(now, response)
        self._report_status(now)

    def _apply_response(self, now: float, response: LeaseResponse) -> None:
        holder = self._lease_holder
        before = holder.rules
        if not holder.handle_response(now, response):
            return
        self._outbox.add(SaveState(holder.lineage, holder.state_machine.snapshot()))
        self.request_lease(now)  # reports at once that this dispatcher has the new state
        rules = holder.rules
        if rules != before:
            number = rules.number if rules else 0
            self._outbox.event("acts_on", number=number, prepared=rules.prepared if rules else 0)

    # ---- commands --------------------------------------------------------------------------------------

    def submit(self, now: float, command_id: str, command: JsonObject) -> None:
        """Submit one command. It is retried until its result arrives or `forget_command` is called."""
        self._send_command(now, command_id, json.dumps({**command, "id": command_id}))

    def forget_command(self, command_id: str) -> None:
        """Stop retrying a command. It may still be carried out."""
        self._commands.pop(command_id, None)

    def handle_result(self, result: CommandResult) -> None:
        """Handle the result of a command; a repeated result is ignored."""
        if self._commands.pop(result.command_id, None) is not None:
            self._outbox.add(CommandCompleted(result.command_id, json.loads(result.result)))

    def _send_command(self, now: float, command_id: str, text: str) -> None:
        self._commands[command_id] = PendingCommand(text, now)
        if self._is_leader and self._duties is not None:
            self._duties.handle_command(now, Requester(self._outbox.name, command_id), text)
        elif self.leader in self.reachable:
            self._outbox.add(Send(self.leader, CommandRequest(command_id, text)))
        else:
            for name in sorted(self.reachable):
                self._outbox.add(Send(name, CommandRequest(command_id, text)))
