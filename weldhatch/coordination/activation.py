"""The leader's decisions to activate or drop a version and to settle machine directives. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from weldhatch.coordination import commands, compatibility
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.lease_grants import LeaseGrants
from weldhatch.coordination.settings_versions import SettingsVersion
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.scheduling.types import Settings


@dataclass(slots=True, frozen=True)
class Difference:
    """Changes from the active to the prepared version."""

    changes: list[compatibility.Change]
    affects_safe_work: bool


class Activation:
    """Activates a version once no member can act on rules that contradict it. Created at each election."""

    def __init__(
        self, timing: LeaseTiming, grants: LeaseGrants, parse_settings: Callable[[JsonObject], Settings]
    ) -> None:
        """Create the state. `parse_settings` raises ConfigError (a ValueError) for invalid settings."""
        self._timing = timing
        self._grants = grants
        self._parse_settings = parse_settings
        self._differences: dict[tuple[int, int], Difference] = {}

    def _difference(self, active: SettingsVersion | None, prepared: SettingsVersion) -> Difference:
        """Raises IncompatibleChangeError or ConfigError for a version that no running member can adopt."""
        if active is None:
            return Difference([], affects_safe_work=True)
        key = active.number, prepared.number
        if key not in self._differences:
            old = self._parse_settings(active.tree)
            new = self._parse_settings(prepared.tree)
            changes = compatibility.find_changes(old, new)
            difference = Difference(changes, compatibility.affects_safe_work(changes, old, new))
            self._differences = {key: difference}
        return self._differences[key]

    def pending(self, now: float, state_machine: StateMachine) -> dict[str, str]:
        """Return the members for which the prepared version waits, name to reason.

        Raises IncompatibleChangeError or ConfigError (both ValueError) for a version that no running member
        can adopt.
        """
        prepared = state_machine.prepared
        if prepared is None:
            return {}
        difference = self._difference(state_machine.active, prepared)
        # Members apply a tightening change as soon as they receive it, so grace periods need not expire.
        widens = state_machine.active is None or compatibility.needs_all_members(difference.changes)
        in_grace = difference.affects_safe_work and widens
        span = self._timing.grace if in_grace else self._timing.lease
        index = state_machine.versions.prepared_at
        return self._grants.pending(now, state_machine, index, span, prepared.number)

    def due_commands(self, now: float, state_machine: StateMachine) -> list[JsonObject]:
        """Return the commands that are due now, without their ids."""
        due: list[JsonObject] = []
        if state_machine.prepared is not None:
            due += self._decide_on_prepared(now, state_machine, state_machine.prepared.number)
        unsettled = state_machine.directives.unsettled
        if unsettled:
            index = self._grants.last_directive_index(state_machine)
            if not self._grants.pending(now, state_machine, index, self._timing.grace):
                due.append(commands.settle_directives(unsettled))
        return due

    def _decide_on_prepared(self, now: float, state_machine: StateMachine, number: int) -> list[JsonObject]:
        rejections = self._grants.rejections(state_machine)
        if rejections:
            name, reason = next(iter(rejections.items()))
            return [commands.drop(number, f"{name} refuses: {reason}")]
        try:
            return [] if self.pending(now, state_machine) else [commands.activate(number)]
        except ValueError as error:
            return [commands.drop(number, str(error))]
