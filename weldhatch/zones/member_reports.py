"""Builds the reports of one member to the leader: under 1 KB for any number of machines. Pure."""

from __future__ import annotations

from weldhatch.scheduling.types import Machine, MachineState
from weldhatch.zones.load_accounting import LoadAccounting
from weldhatch.zones.load_shedding import highest_rates
from weldhatch.zones.local_view import LocalView
from weldhatch.zones.observations import Observations
from weldhatch.zones.reports import ZoneReport
from weldhatch.zones.state import Phase

USABLE_CORES_VALID_S = 1.0  # how long the sum over all machines is cached


class MemberReports:
    """Builds reports from a member's observations and load accounting."""

    def __init__(self, view: LocalView, observations: Observations, load: LoadAccounting) -> None:
        """Use the given components, which the parts of a member share."""
        self._view = view
        self._observations = observations
        self._load = load
        self._usable: dict[str, float] = {}
        self._usable_at = float("-inf")
        self._usable_machine_count = 0  # of listed machines when `_usable` was computed

    def report(self, now: float, rejected: int) -> ZoneReport:
        """Return the current report. `rejected`: the number of requests rejected so far."""
        work_rates, by_tenant = self._work_rates(now)
        has_tenants = len(self._view.settings.tenants) > 1
        return ZoneReport(
            zone=self._observations.own_zone,
            isolation=self._observations.isolation(now).value,
            places=self._observations.by_place(now, self._view.zones.entries),
            running_cores=self._running_cores(),
            work_rates={name: round(rate, 1) for name, rate in work_rates.items() if rate},
            usable_cores=self._usable_cores(now),
            rejected=rejected,
            tenant_rates=highest_rates(by_tenant) if has_tenants else None,
            starts={
                name: (counts.sent, counts.succeeded, counts.failed)
                for name, counts in self._load.starts.items()
                if self._view.zones.place(name).phase is not Phase.SERVING
            },
        )

    def _running_cores(self) -> dict[str, float]:
        cores_in: dict[str, float] = {}
        for machine, cores in self._load.cores_on.items():
            if places := self._view.places_of(machine):
                cores_in[places[0]] = round(cores_in.get(places[0], 0.0) + cores, 1)
        return cores_in

    def _work_rates(self, now: float) -> tuple[dict[str, float], dict[tuple[str, str], float]]:
        """Return the arrival rates of new work by class, and by class and tenant."""
        rates: dict[str, float] = {}
        by_tenant: dict[tuple[str, str], float] = {}
        for (class_index, tenant), rate in self._load.work_rates(now).items():
            name = self._view.settings.classes[class_index].name
            rates[name] = rates.get(name, 0.0) + rate
            by_tenant[name, self._view.tenant_name(tenant)] = rate
        return rates, by_tenant

    def _usable_cores(self, now: float) -> dict[str, float]:
        """Return by zone the cores that tasks may reserve, on ready machines that are not known to fail."""
        machines = self._view.machines
        if now - self._usable_at < USABLE_CORES_VALID_S and self._usable_machine_count == len(machines):
            return self._usable
        usable: dict[str, float] = {}
        booking = self._view.settings.cores_booking
        for machine in machines.values():
            if machine.state is not MachineState.READY:
                continue
            if self._observations.machines[machine.id].fails(now):
                continue
            zone = self._view.zone_of(machine)
            usable[zone] = usable.get(zone, 0.0) + self._cores_of(machine) * booking
        self._usable = {zone: round(cores, 1) for zone, cores in usable.items()}
        self._usable_at = now
        self._usable_machine_count = len(machines)
        return self._usable

    def _cores_of(self, machine: Machine) -> float:
        kinds = self._view.settings.kinds
        kind = kinds[machine.kind] if machine.kind < len(kinds) else None
        return machine.cores or (kind.cores if kind else 1.0)
