"""The leader's side of zone failover: evaluates reports, proposes phase changes, grants start quotas. Pure.

Decisions are stored in the replicated state of the group; all other state here belongs to this leader and is
lost with it. `FailoverLeader` combines the members' reports (`witnesses`), the timing of each place
(`place_watch`), the rules (`failover_rules`), load and capacity (`shed_planner`) and the start quotas
(`start_quota`).
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
    """Processes members' reports, returns the phase changes that are due, and grants start quotas."""

    def __init__(
        self, now: float, name: str, timing: FailoverTiming, window_s: float, span_s: float, drift: float
    ) -> None:
        """Start leading at `now`, under a `name` that no other leader has.

        `window_s`: the window in which a returning machine accepts a limited number of starts; `span_s`: the
        validity of a quota; `drift`: the maximum relative difference between clock rates.
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
        """Samples over time, shown to operators."""
        return self._timeline.samples

    # ---- reports -----------------------------------------------------------------------------------------

    def receive_report(self, now: float, name: str, incarnation: str, report: ZoneReport) -> None:
        """Record a member's report; `incarnation` identifies the run of its process."""
        self._witnesses.receive_report(now, name, incarnation, report)
        self._planner.receive_report(now, report)

    def set_members(self, names: Collection[str]) -> None:
        """Set the members of the group; reports of others are discarded."""
        self._witnesses.set_members(names)

    # ---- changes -----------------------------------------------------------------------------------------

    def due_changes(
        self, now: float, zones: ZoneStates, settings: Settings, is_applied_by_all: Callable[[int], bool]
    ) -> list[ZoneChange]:
        """Return the changes that are due.

        `is_applied_by_all`: whether all dispatchers have applied the group's log up to an index.
        """
        changes: list[ZoneChange] = []
        for name in self._places(now, zones, settings):
            if zone_of(name) not in settings.zones:
                continue
            place = zones.place(name)
            witness_groups = self._witnesses.witness_groups(now, name)
            watch = self._watches.update(now, name, place, witness_groups)
            situation = Situation(now, name, place, watch, witness_groups, zones, settings, is_applied_by_all)
            change = self._rules.change_of(situation)
            if change is not None:
                changes.append(change)
        self._timeline.add_sample(now, zones)
        return changes

    def _places(self, now: float, zones: ZoneStates, settings: Settings) -> dict[str, None]:
        """Return all zones, places with an entry in the state, and places that any member reports down."""
        names = dict.fromkeys([*settings.zones, *zones.entries])
        for received in self._witnesses.fresh_reports(now):
            names |= dict.fromkeys(
                place
                for place, observation in received.report.places.items()
                if observation.health is PlaceHealth.DOWN
            )
        return names

    def operator_command(
        self, now: float, request: Mapping[str, Any], zones: ZoneStates, settings: Settings
    ) -> dict[str, Any]:
        """Convert an operator's request into a command for the log, or into {"error": ...}."""
        return self._operator_commands.command(now, request, zones, settings)

    def capacity_need(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> CapacityNeed:
        """Return the load of a zone and the free capacity of the other zones in service."""
        return self._planner.capacity_need(now, name, zones, settings)

    def initial_shed(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> dict[str, float]:
        """Return by class the fraction of new work to shed if the zone is left now."""
        return self._planner.initial_shed(now, name, zones, settings)

    # ---- quotas ------------------------------------------------------------------------------------------

    def quotas_for(
        self, now: float, incarnation: str, zones: ZoneStates, settings: Settings
    ) -> list[StartQuota]:
        """Return the start quotas of one dispatcher for machines that return."""
        quotas: list[StartQuota] = []
        zone_by_incarnation = {
            received.incarnation: received.report.zone for received in self._witnesses.fresh_reports(now)
        }
        for name, place in zones.entries.items():
            if place.phase is Phase.RETURNING:
                step = place.step
                holders = list(zone_by_incarnation)
            elif place.phase in NO_NEW_WORK and place.inside:
                # Machines may restart cold while the dispatchers inside the place continue there.
                step = 1
                holders = [
                    holder for holder, own_zone in zone_by_incarnation.items() if own_zone == zone_of(name)
                ]
            else:
                continue
            # For a left place only dispatchers inside it get quotas. During a return every dispatcher gets
            # one, even without a fresh report.
            if place.phase is Phase.RETURNING or incarnation in holders:
                starts_per_window = settings.warm_up_offers * step / RETURN_STEPS
                quota = self.quota_ledger.allocate(now, name, incarnation, starts_per_window, holders)
                if quota is not None:
                    quotas.append(quota)
        return quotas

    # ---- status for operators ----------------------------------------------------------------------------

    def status(self, now: float, names: Iterable[str]) -> dict[str, Any]:
        """Return witnesses of the named places, quotas and reports, under the keys that operators see."""
        witnesses: dict[str, dict[str, list[str]]] = {}
        for name in names:
            witness_groups = self._witnesses.witness_groups(now, name)
            witnesses[name] = {
                "down": list(witness_groups.down),
                "up": list(witness_groups.up),
                "inside": list(witness_groups.inside),
            }
        return {
            "witnesses": witnesses,
            "shares": self.quota_ledger.status(now),
            "kept_last": sorted(self._rules.last_zones_kept),
            "reports": {
                name: {
                    "age_s": round(now - received.received_at, 2),
                    "cut": received.report.isolation,
                    "zone": received.report.zone,
                }
                for name, received in self._witnesses.reports.items()
            },
        }
