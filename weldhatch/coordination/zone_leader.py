"""The zone part of the leading voter: reports in, commands and quotas. `zones.failover_leader` decides."""

from __future__ import annotations

import json
from collections.abc import Callable

from weldhatch.coordination.leader import Leader
from weldhatch.coordination.messages import LeaseRequest
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_leader import FailoverLeader
from weldhatch.zones.failover_rules import FailoverTiming
from weldhatch.zones.reports import InvalidReportError, ZoneReport
from weldhatch.zones.start_quota import StartQuota

LOOK_S = 0.05  # witnesses are weighed as often
SPAN = 0.25  # of the stated time: for which a share holds. Shorter than a lease: shares lapse with it


class ZoneLeader:
    """Made anew at each election, at `now`; `term` tells its epochs of shares from those of other leaders."""

    def __init__(
        self,
        now: float,
        name: str,
        term: int,
        times: FailoverTiming,
        coordinator: Leader,
        read: Callable[[dict], Settings],
    ) -> None:
        self._now, self._name, self._times, self._coordinator = now, f"{name}.{term}", times, coordinator
        self._read = read
        self._marshal: FailoverLeader | None = None
        self._settings: tuple[int, Settings | None] = (0, None)
        self._looked = float("-inf")

    def _current(self, group: StateMachine) -> tuple[FailoverLeader, Settings] | None:
        """Nothing before a version is in force: only that names the zones."""
        if group.active is None:
            return None
        if self._settings[0] != group.active.number:
            self._settings = group.active.number, self._read(group.active.tree)
            if self._marshal is not None:
                self._marshal.quota_ledger.set_window(self._settings[1].fall_us / 1e6)
        settings = self._settings[1]
        if self._marshal is None:
            spans = self._coordinator.spans
            self._marshal = FailoverLeader(
                self._now, self._name, self._times, settings.fall_us / 1e6, SPAN * spans.stated, spans.drift
            )
        return self._marshal, settings

    def hear(self, now: float, group: StateMachine, ask: LeaseRequest) -> None:
        """A dispatcher's report. One that can't be read is of no use, and harms nobody."""
        if not ask.sight or (found := self._current(group)) is None:
            return
        try:
            report = ZoneReport.from_json(ask.sight)
        except InvalidReportError:
            return
        found[0].receive_report(now, ask.name, f"{ask.name}.{ask.epoch}.{ask.token}", report)

    def todo(self, now: float, group: StateMachine) -> list[dict]:
        """Commands that are due now."""
        if now - self._looked < LOOK_S or (found := self._current(group)) is None:
            return []
        self._looked = now
        marshal, settings = found
        marshal.set_members(group.members.keys())

        def held(index: int) -> bool:
            return not self._coordinator.waits(now, group, index, self._coordinator.spans.ground)

        return [
            {
                **one.to_tree(),
                "id": f"zone-{one.place}-{one.number}-{group.zones.number}-{one.phase.value}",
            }
            for one in marshal.due_changes(now, group.zones, settings, held)
        ]

    def shares(self, now: float, group: StateMachine, ask: LeaseRequest) -> str:
        """What one who has just been granted a lease may start on machines that return; '' for nothing."""
        if (found := self._current(group)) is None:
            return ""
        marshal, settings = found
        life = f"{ask.name}.{ask.epoch}.{ask.token}"
        shares: list[StartQuota] = marshal.quotas_for(now, life, group.zones, settings)
        return json.dumps([one.to_tree() for one in shares]) if shares else ""

    def operator(self, now: float, group: StateMachine, told: dict) -> dict:
        """An operator's word as a command for the log, or an error."""
        if (found := self._current(group)) is None:
            return {"error": "unknown", "text": "no rules are in force yet: nothing names the zones"}
        return found[0].operator_command(now, told, group.zones, found[1])

    def status(self, now: float, group: StateMachine) -> dict:
        if (found := self._current(group)) is None:
            return {}
        marshal, settings = found
        return {
            **marshal.status(now, dict.fromkeys([*settings.zones, *group.zones.entries])),
            "timeline": marshal.timeline,
        }
