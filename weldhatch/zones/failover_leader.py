"""The leader's part: reports in, changes of zones proposed, quotas of a return handed out. Pure.

What it remembers is of this leader alone; what has been decided is the group's. It puts together the
witnesses (`witnesses`), what is remembered of each place (`place_watch`), the rules (`failover_rules`), load
and capacity (`shed_planner`), and the quotas of starts (`start_quota`).
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from weldhatch.scheduling.types import Settings
from weldhatch.zones.capacity import CapacityNeed
from weldhatch.zones.failover_rules import FailoverRules, FailoverTiming, Situation
from weldhatch.zones.operator_commands import OperatorCommands
from weldhatch.zones.place_watch import PlaceWatches
from weldhatch.zones.reports import PlaceHealth, ZoneReport
from weldhatch.zones.shed_planner import ShedPlanner
from weldhatch.zones.start_quota import QuotaLedger, StartQuota
from weldhatch.zones.state import NO_NEW_WORK, RETURN_STEPS, Phase, ZoneChange, ZoneStates, zone_of
from weldhatch.zones.timeline import Timeline
from weldhatch.zones.witnesses import Witnesses


class FailoverLeader:
    """`receive_report` takes reports, `due_changes` gives changes, `quotas_for` answers one who asks."""

    def __init__(
        self, now: float, name: str, timing: FailoverTiming, window_s: float, span_s: float, drift: float
    ) -> None:
        """Begin to lead at `now`, under a `name` that no other leader has.

        `window_s`: in which a machine just back bears its starts; `span_s`: for which a quota holds; `drift`:
        the part by which clocks may differ in rate.
        """
        self.quota_ledger = QuotaLedger(now, name, window_s, span_s, drift)
        self._witnesses = Witnesses(timing.fresh, timing.quorum)
        self._watches = PlaceWatches(now, timing.fresh, self._witnesses)
        self._planner = ShedPlanner(self._witnesses)
        self._rules = FailoverRules(timing, self._witnesses, self._watches, self._planner)
        self._operator_commands = OperatorCommands(self._planner)
        self._timeline = Timeline(now, self._witnesses, self.quota_ledger)

    @property
    def timeline(self) -> list[dict[str, Any]]:
        """Samples over time, for operators."""
        return self._timeline.samples

    # ---- reports -----------------------------------------------------------------------------------------

    def receive_report(self, now: float, name: str, incarnation: str, report: ZoneReport) -> None:
        """Take one member's report; `incarnation` names the run of its process."""
        self._witnesses.receive(now, name, incarnation, report)
        self._planner.receive(now, report)

    def set_members(self, names: Collection[str]) -> None:
        """Take who is a member: others are forgotten."""
        self._witnesses.set_members(names)

    # ---- changes -----------------------------------------------------------------------------------------

    def due_changes(
        self, now: float, zones: ZoneStates, settings: Settings, is_held_by_all: Callable[[int], bool]
    ) -> list[ZoneChange]:
        """Return the changes that are due.

        `is_held_by_all`: whether all dispatchers hold the group's state at an index of its log.
        """
        changes: list[ZoneChange] = []
        for name in self._places(now, zones, settings):
            if zone_of(name) not in settings.zones:
                continue
            place = zones.place(name)
            testimony = self._witnesses.testimony(now, name)
            watch = self._watches.update(now, name, place, testimony)
            situation = Situation(now, name, place, watch, testimony, zones, settings, is_held_by_all)
            change = self._rules.change_of(situation)
            if change is not None:
                changes.append(change)
        self._timeline.add_sample(now, zones)
        return changes

    def _places(self, now: float, zones: ZoneStates, settings: Settings) -> dict[str, None]:
        """Return all zones, places with a state of their own, and those that anybody calls down."""
        names = dict.fromkeys([*settings.zones, *zones.entries])
        for one in self._witnesses.fresh(now):
            names |= dict.fromkeys(
                place for place, seen in one.report.places.items() if seen.health is PlaceHealth.DOWN
            )
        return names

    def operator_command(
        self, now: float, request: Mapping[str, Any], zones: ZoneStates, settings: Settings
    ) -> dict[str, Any]:
        """Return an operator's request as a command for the log, or as {"error": ...}."""
        return self._operator_commands.command(now, request, zones, settings)

    def capacity_need(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> CapacityNeed:
        """Return what a zone carries beside what the zones that still serve have free."""
        return self._planner.need(now, name, zones, settings)

    def initial_shed(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> dict[str, float]:
        """Return by class the part of new work to shed where a zone is left now."""
        return self._planner.initial(now, name, zones, settings)

    # ---- quotas ------------------------------------------------------------------------------------------

    def quotas_for(
        self, now: float, incarnation: str, zones: ZoneStates, settings: Settings
    ) -> list[StartQuota]:
        """Return what one dispatcher may start on machines that return, and for how long."""
        quotas: list[StartQuota] = []
        present = {one.incarnation: one.report.zone for one in self._witnesses.fresh(now)}
        for name, place in zones.entries.items():
            if place.phase is Phase.RETURNING:
                step = place.step
                holders = list(present)
            elif place.phase in NO_NEW_WORK and place.inside:  # machines that start anew under those inside
                step = 1
                holders = [one for one, own in present.items() if own == zone_of(name)]
            else:
                continue
            # Only those inside have quotas of a left place; in a return, also one without a fresh report.
            if place.phase is Phase.RETURNING or incarnation in holders:
                pace = settings.warm_up_offers * step / RETURN_STEPS
                quota = self.quota_ledger.allocate(now, name, incarnation, pace, holders)
                if quota is not None:
                    quotas.append(quota)
        return quotas

    # ---- operators ---------------------------------------------------------------------------------------

    def status(self, now: float, names: Iterable[str]) -> dict[str, Any]:
        """Return what the leader knows of some places, under the names that operators see."""
        witnesses: dict[str, dict[str, list[str]]] = {}
        for name in names:
            testimony = self._witnesses.testimony(now, name)
            witnesses[name] = {
                "down": list(testimony.down),
                "up": list(testimony.up),
                "inside": list(testimony.inside),
            }
        return {
            "witnesses": witnesses,
            "shares": self.quota_ledger.status(now),
            "kept_last": sorted(self._rules.last_zones_kept),
            "reports": {
                name: {
                    "age_s": round(now - one.received_at, 2),
                    "cut": one.report.isolation,
                    "zone": one.report.zone,
                }
                for name, one in self._witnesses.reports.items()
            },
        }
