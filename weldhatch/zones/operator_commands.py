"""Operators' commands on places: leave, return, hold and release, checked before they enter the log. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from weldhatch.scheduling.types import Settings
from weldhatch.zones.capacity import MIN_SHED_FRACTION
from weldhatch.zones.shed_planner import ShedPlanner
from weldhatch.zones.state import (
    FLEET,
    OPERATOR,
    Phase,
    PlaceState,
    ZoneStates,
    is_rack,
    zone_of,
)

LEAVABLE_PHASES = (Phase.SERVING, Phase.SUSPECTED, Phase.RETURNING)

Tree = dict[str, Any]


class OperatorCommands:
    """Converts an operator's request into a command for the group's log, or into an error.

    Requests and commands are the JSON objects of the control API and of the log; an error is
    `{"error": code, "text": ...}`.
    """

    def __init__(self, planner: ShedPlanner) -> None:
        """Check a leave against the load and capacity known to `planner`."""
        self._planner = planner

    def command(self, now: float, request: Mapping[str, Any], zones: ZoneStates, settings: Settings) -> Tree:
        """Return the command for a request, or an error.

        The keys of `request` are id, place, word, why, and optionally at and despite.
        """
        name = request["place"]
        place = zones.place(name)
        command = {
            "do": "zone",
            "id": request["id"],
            "place": name,
            "number": place.number,
            "by": OPERATOR,
            "why": request["why"],
            "flaps": place.flaps,
            "at": request.get("at", 0),
        }
        if zone_of(name) not in settings.zones:
            return _error("unknown", f"{name}: the settings name no such zone")
        action = request["word"]
        match action:
            case "hold" | "release":
                return {**command, "do": "zone_hold", "held": action == "hold"}
            case "leave":
                error = self._leave_error(now, request, place, zones, settings)
                if error is not None:
                    return error
                shed = self._planner.initial_shed(now, name, zones, settings)
                tenants = self._planner.shed_by_tenant(now, shed, settings)
                return {**command, "phase": Phase.LEAVING.value, "shed": shed, "tenants": tenants}
            case "return":
                if place.phase is not Phase.LEFT:
                    return _error("order", f"{name} is {place.phase.value}: only what was left returns")
                returning = {"phase": Phase.RETURNING.value, "step": 1}
                return {**command, **returning, "by": FLEET, "held": False}
        return _error("unknown", f"{action}: no such word")

    def _leave_error(
        self,
        now: float,
        request: Mapping[str, Any],
        place: PlaceState,
        zones: ZoneStates,
        settings: Settings,
    ) -> Tree | None:
        """Return the error of a leave request, or None if the place may be left."""
        name = request["place"]
        if place.phase not in LEAVABLE_PHASES:
            return _error("order", f"{name} is {place.phase.value} already")
        need = self._planner.capacity_need(now, name, zones, settings)
        if request.get("despite") or is_rack(name) or need.shortfall <= MIN_SHED_FRACTION:
            return None
        return _error(
            "room",
            f"{name} carries {need.carried:.1f} cores and the rest "
            f"has {need.free:.1f} free: it can't bear {need.shortfall:.0%} of it",
        )


def _error(code: str, text: str) -> Tree:
    return {"error": code, "text": text}
