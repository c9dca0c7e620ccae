"""Plans load shedding while a zone is left, from the load and capacity in the members' reports. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from weldhatch.scheduling.types import Settings
from weldhatch.zones import capacity, load_shedding
from weldhatch.zones.reports import Isolation, ZoneReport
from weldhatch.zones.state import NO_NEW_WORK, ZoneStates, is_rack
from weldhatch.zones.witnesses import Witnesses


class ShedPlanner:
    """The load of each zone, the free capacity of the others, and the fractions of new work to shed."""

    def __init__(self, witnesses: Witnesses) -> None:
        """Use the reports in `witnesses`."""
        self._witnesses = witnesses
        self._peaks = capacity.PeakLoad()

    def receive_report(self, now: float, report: ZoneReport) -> None:
        """Record the load of all members in the zones that the report names."""
        for place in report.places:
            if not is_rack(place):
                running = [received.report.running_cores for received in self._witnesses.fresh_reports(now)]
                self._peaks.add_sample(now, place, sum(cores.get(place, 0.0) for cores in running))

    def capacity_need(
        self, now: float, name: str, zones: ZoneStates, settings: Settings
    ) -> capacity.CapacityNeed:
        """Return the load of a zone and the free capacity of the other zones in service."""
        return capacity.CapacityNeed(
            self._peaks.peak(now, name), self._free_capacity(now, name, zones, settings)[0]
        )

    def _free_capacity(
        self, now: float, name: str, zones: ZoneStates, settings: Settings
    ) -> tuple[float, float]:
        """Return the free cores and the total cores of the other zones that take new work."""
        other_zones = [
            zone for zone in settings.zones if zone != name and zones.place(zone).phase not in NO_NEW_WORK
        ]
        fresh = [received.report for received in self._witnesses.fresh_reports(now)]
        return capacity.free_capacity(
            [report for report in fresh if report.isolation != Isolation.MEMBER], other_zones
        )

    def initial_shed(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> dict[str, float]:
        """Return by class the fraction of new work to shed if the zone is left now."""
        rates: dict[str, float] = {}
        for received in self._witnesses.fresh_reports(now):
            for class_name, rate in received.report.work_rates.items():
                rates[class_name] = rates.get(class_name, 0.0) + rate
        level = capacity.initial_shed_level(
            self.capacity_need(now, name, zones, settings), rates, settings.classes
        )
        return capacity.shed_by_class(level, settings.classes)

    def next_shed(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> dict[str, float]:
        """Return by class the fraction of new work to shed from now on, while the zone is left."""
        free, size = self._free_capacity(now, name, zones, settings)
        last = capacity.shed_level(zones.place(name).shed)
        level = capacity.next_shed_level(last, free, size, len(settings.classes))
        return capacity.shed_by_class(level, settings.classes)

    def shed_by_tenant(
        self, now: float, shed: Mapping[str, float], settings: Settings
    ) -> dict[str, dict[str, float]]:
        """Return by class the fraction of each tenant's new work to shed."""
        fresh = [received.report for received in self._witnesses.fresh_reports(now)]
        return load_shedding.tenant_shed_fractions(shed, fresh, settings.tenants)
