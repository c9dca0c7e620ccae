"""Plan what is shed while a zone is left, from what the members report of load and capacity. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from weldhatch.scheduling.types import Settings
from weldhatch.zones import capacity, load_shedding
from weldhatch.zones.reports import Isolation, ZoneReport
from weldhatch.zones.state import NO_NEW_WORK, ZoneStates, is_rack
from weldhatch.zones.witnesses import Witnesses


class ShedPlanner:
    """What each zone carries, what the others have free, and the parts of new work to shed for that."""

    def __init__(self, witnesses: Witnesses) -> None:
        """Read the reports that `witnesses` hold."""
        self._witnesses = witnesses
        self._peaks = capacity.PeakLoad()

    def receive(self, now: float, report: ZoneReport) -> None:
        """Take what all members carry in the zones that a report has just named."""
        for place in report.places:
            if not is_rack(place):
                running = [one.report.running_cores for one in self._witnesses.fresh(now)]
                self._peaks.add_sample(now, place, sum(cores.get(place, 0.0) for cores in running))

    def need(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> capacity.CapacityNeed:
        """Return what a zone carries beside what the zones that still serve have free."""
        return capacity.CapacityNeed(self._peaks.peak(now, name), self._free(now, name, zones, settings)[0])

    def _free(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> tuple[float, float]:
        """Return the free cores of all zones that serve but this one, and all of their cores."""
        rest = [
            zone for zone in settings.zones if zone != name and zones.place(zone).phase not in NO_NEW_WORK
        ]
        fresh = [one.report for one in self._witnesses.fresh(now)]
        return capacity.free_capacity([one for one in fresh if one.isolation != Isolation.MEMBER], rest)

    def initial(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> dict[str, float]:
        """Return by class the part to shed where a zone is left now."""
        rates: dict[str, float] = {}
        for one in self._witnesses.fresh(now):
            for class_name, rate in one.report.work_rates.items():
                rates[class_name] = rates.get(class_name, 0.0) + rate
        level = capacity.initial_shed_level(self.need(now, name, zones, settings), rates, settings.classes)
        return capacity.shed_by_class(level, settings.classes)

    def following(self, now: float, name: str, zones: ZoneStates, settings: Settings) -> dict[str, float]:
        """Return by class the part to shed from now on, while a zone is left."""
        free, size = self._free(now, name, zones, settings)
        last = capacity.shed_level(zones.place(name).shed)
        level = capacity.next_shed_level(last, free, size, len(settings.classes))
        return capacity.shed_by_class(level, settings.classes)

    def by_tenant(
        self, now: float, shed: Mapping[str, float], settings: Settings
    ) -> dict[str, dict[str, float]]:
        """Return by class each tenant's part of what is shed."""
        fresh = [one.report for one in self._witnesses.fresh(now)]
        return load_shedding.tenant_parts(shed, fresh, settings.tenants)
