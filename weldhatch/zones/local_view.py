"""What one dispatcher holds: the settings in force, the listed machines, the agreed states of zones. Pure."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.scheduling.types import Machine, Settings
from weldhatch.zones.state import NO_NEW_WORK, Phase, PlaceState, ZoneStates, zone_of


class LocalView:
    """Shared by the parts of a member, which all read it; the member alone changes it."""

    def __init__(self, settings: Settings, uid_of: Callable[[int], str]) -> None:
        """Begin without machines, and with all places serving.

        `uid_of`: what all dispatchers call a machine; '' for one that is not known.
        """
        self.settings = settings
        self.zones = ZoneStates()
        self.uid_of = uid_of
        self.own_zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self.machines: dict[int, Machine] = {}

    def zone_of(self, machine: Machine) -> str:
        """Return the name of a machine's zone; '' where the settings name none."""
        zones = self.settings.zones
        return zones[machine.zone] if 0 <= machine.zone < len(zones) else ""

    def places_of(self, machine: int) -> tuple[str, ...]:
        """Return the zone and the rack of a machine; nothing for one that is not listed."""
        known = self.machines.get(machine)
        if known is None:
            return ()
        zone = self.zone_of(known)
        return zone, f"{zone}/{known.cell}"

    def tenant_name(self, tenant: int) -> str:
        """Return a tenant's name; '' where the settings name none."""
        tenants = self.settings.tenants
        return tenants[tenant].name if 0 <= tenant < len(tenants) else ""

    def continues_inside(self, place: PlaceState, name: str) -> bool:
        """Tell whether we go on in a left place, since we are inside."""
        return place.inside and zone_of(name) == self.own_zone

    def phase(self, machine: int) -> tuple[Phase, str]:
        """Return the phase of a machine as it counts for this dispatcher, and the place that has it."""
        return self.phase_of(self.places_of(machine))

    def phase_of(self, places: tuple[str, ...]) -> tuple[Phase, str]:
        """Return the phase of a machine with these places, as `phase` does."""
        if not places:
            return Phase.SERVING, ""
        phase, name = self.zones.narrowest_phase(*places)
        if phase in NO_NEW_WORK and self.continues_inside(self.zones.place(name), name):
            return Phase.SERVING, name
        return phase, name

    def returning_place(self, machine: int) -> str:
        """Return the place of a machine that returns; '' for none."""
        phase, name = self.phase(machine)
        return name if phase is Phase.RETURNING else ""

    def is_degraded(self) -> bool:
        """Tell whether any place is not serving."""
        return any(one.phase is not Phase.SERVING for one in self.zones.entries.values())
