"""A dispatcher's current settings, listed machines and agreed states of zones. Pure."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.scheduling.types import Machine, Settings
from weldhatch.zones.state import NO_NEW_WORK, Phase, PlaceState, ZoneStates, zone_of


class LocalView:
    """State shared by the components of a member.

    All components read it. `FailoverMember` replaces the settings and the zone states, and `ExchangeTracker`
    updates the machines.
    """

    def __init__(self, settings: Settings, uid_of: Callable[[int], str]) -> None:
        """Start without machines and with all places in service.

        `uid_of`: returns the name of a machine that all dispatchers use, or '' if it is unknown.
        """
        self.settings = settings
        self.zones = ZoneStates()
        self.uid_of = uid_of
        self.own_zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self.machines: dict[int, Machine] = {}

    def zone_of(self, machine: Machine) -> str:
        """Return the name of a machine's zone, or '' if the settings do not define it."""
        zones = self.settings.zones
        return zones[machine.zone] if 0 <= machine.zone < len(zones) else ""

    def places_of(self, machine: int) -> tuple[str, ...]:
        """Return the zone and the rack of a machine; empty if the machine is not listed."""
        listed = self.machines.get(machine)
        if listed is None:
            return ()
        zone = self.zone_of(listed)
        return zone, f"{zone}/{listed.cell}"

    def tenant_name(self, tenant: int) -> str:
        """Return a tenant's name, or '' if the settings do not define it."""
        tenants = self.settings.tenants
        return tenants[tenant].name if 0 <= tenant < len(tenants) else ""

    def continues_inside(self, place: PlaceState, name: str) -> bool:
        """Return whether this dispatcher may continue in a left place because it is in the same zone."""
        return place.inside and zone_of(name) == self.own_zone

    def phase(self, machine: int) -> tuple[Phase, str]:
        """Return the phase of a machine that applies to this dispatcher, and the place that has it."""
        return self.phase_of(self.places_of(machine))

    def phase_of(self, places: tuple[str, ...]) -> tuple[Phase, str]:
        """Return the same as `phase`, for a machine in the given zone and rack."""
        if not places:
            return Phase.SERVING, ""
        phase, name = self.zones.most_restrictive_phase(*places)
        if phase in NO_NEW_WORK and self.continues_inside(self.zones.place(name), name):
            return Phase.SERVING, name
        return phase, name

    def returning_place(self, machine: int) -> str:
        """Return the returning place of a machine, or '' if its place is not returning."""
        phase, name = self.phase(machine)
        return name if phase is Phase.RETURNING else ""

    def is_degraded(self) -> bool:
        """Return whether any place is not in service."""
        return any(place.phase is not Phase.SERVING for place in self.zones.entries.values())
