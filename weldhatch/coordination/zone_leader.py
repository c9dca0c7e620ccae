"""The leader's zone failover: turns zone reports into commands and start quotas. No I/O.

The decisions are made by `zones.failover_leader`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.leader import Leader
from weldhatch.coordination.messages import LeaseRequest
from weldhatch.coordination.results import error_result
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_leader import FailoverLeader
from weldhatch.zones.failover_rules import FailoverTiming
from weldhatch.zones.reports import InvalidReportError, ZoneReport
from weldhatch.zones.state import ZoneChange

REVIEW_INTERVAL_S = 0.05  # interval between reviews of the witnesses' reports
QUOTA_SPAN_FRACTION = 0.25  # of the consistency bound; shorter than a lease, so a quota never outlasts one


@dataclass(slots=True, frozen=True)
class _FailoverContext:
    """The deciding object, and the active settings."""

    failover: FailoverLeader
    settings: Settings


class ZoneLeader:
    """Zone failover of one leadership. Created at each election."""

    def __init__(
        self,
        elected_at: float,
        name: str,
        term: int,
        failover_timing: FailoverTiming,
        leader: Leader,
        parse_settings: Callable[[JsonObject], Settings],
    ) -> None:
        """Create the state without reports. `term` separates quota epochs of different leaders."""
        self._elected_at = elected_at
        self._name = f"{name}.{term}"
        self._failover_timing = failover_timing
        self._leader = leader
        self._parse_settings = parse_settings
        self._failover: FailoverLeader | None = None
        self._settings: Settings | None = None
        self._settings_number = 0
        self._reviewed_at = float("-inf")

    def _context(self, state_machine: StateMachine) -> _FailoverContext | None:
        """Return None before the first version is active, since only a version names the zones."""
        active = state_machine.active
        if active is None:
            return None
        if self._settings is None or self._settings_number != active.number:
            self._settings_number = active.number
            self._settings = self._parse_settings(active.tree)
            if self._failover is not None:
                self._failover.quota_ledger.set_window(self._settings.fall_us / 1e6)
        if self._failover is None:
            timing = self._leader.timing
            self._failover = FailoverLeader(
                self._elected_at,
                self._name,
                self._failover_timing,
                self._settings.fall_us / 1e6,
                QUOTA_SPAN_FRACTION * timing.consistency_bound,
                timing.clock_drift,
            )
        return _FailoverContext(self._failover, self._settings)

    def receive_report(self, now: float, state_machine: StateMachine, request: LeaseRequest) -> None:
        """Handle the zone report in a lease request. An invalid report is ignored."""
        if not request.zone_report or (context := self._context(state_machine)) is None:
            return
        try:
            report = ZoneReport.from_json(request.zone_report)
        except InvalidReportError:
            return
        context.failover.receive_report(now, request.name, Incarnation.of(request).label, report)

    def due_commands(self, now: float, state_machine: StateMachine) -> list[JsonObject]:
        """Return the commands that are due now."""
        if now - self._reviewed_at < REVIEW_INTERVAL_S or (context := self._context(state_machine)) is None:
            return []
        self._reviewed_at = now
        context.failover.set_members(state_machine.members.keys())

        def all_members_have(index: int) -> bool:
            return not self._leader.grants.pending(now, state_machine, index, self._leader.timing.grace)

        due = context.failover.due_changes(now, state_machine.zones, context.settings, all_members_have)
        return [{**change.to_tree(), "id": _command_id(state_machine, change)} for change in due]

    def start_quotas(self, now: float, state_machine: StateMachine, request: LeaseRequest) -> str:
        """Return start quotas (JSON) on returning machines for a new lease holder, '' if there are none."""
        if (context := self._context(state_machine)) is None:
            return ""
        label = Incarnation.of(request).label
        quotas = context.failover.quotas_for(now, label, state_machine.zones, context.settings)
        return json.dumps([quota.to_tree() for quota in quotas]) if quotas else ""

    def operator_command(self, now: float, state_machine: StateMachine, request: JsonObject) -> JsonObject:
        """Return the log command for an operator's request, or an error result."""
        if (context := self._context(state_machine)) is None:
            return error_result("unknown", "no rules are in force yet: nothing names the zones")
        return context.failover.operator_command(now, request, state_machine.zones, context.settings)

    def status(self, now: float, state_machine: StateMachine) -> JsonObject:
        """Return the leader's view of the zones, for operators."""
        if (context := self._context(state_machine)) is None:
            return {}
        names = dict.fromkeys([*context.settings.zones, *state_machine.zones.entries])
        return {**context.failover.status(now, names), "timeline": context.failover.timeline}


def _command_id(state_machine: StateMachine, change: ZoneChange) -> str:
    return f"zone-{change.place}-{change.number}-{state_machine.zones.number}-{change.phase.value}"
