"""When a version comes into force, and when directives are settled: the leader decides. Pure."""

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
    """What the prepared version changes."""

    changes: list[compatibility.Change]
    affects_safe_work: bool


class Activation:
    """Wait until nobody can act on rules that contradict the next ones. Made anew at each election."""

    def __init__(
        self, timing: LeaseTiming, grants: LeaseGrants, parse_settings: Callable[[JsonObject], Settings]
    ) -> None:
        """Judge by `grants`. `read`: a version's settings, ConfigError (a ValueError) for none."""
        self._timing = timing
        self._grants = grants
        self._parse_settings = parse_settings
        self._differences: dict[tuple[int, int], Difference] = {}

    def _difference(self, active: SettingsVersion | None, prepared: SettingsVersion) -> Difference:
        """Raise IncompatibleChangeError, or ConfigError, for a version that nobody can move to."""
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

    def pending(self, now: float, machine: StateMachine) -> dict[str, str]:
        """Return what the prepared version waits for, name to reason; nothing where it waits for nobody.

        Raises IncompatibleChangeError, or ConfigError (both ValueError), for one that nobody can move to.
        """
        prepared = machine.prepared
        if prepared is None:
            return {}
        difference = self._difference(machine.active, prepared)
        # What tightens is acted on by whoever hears of it: then only the answers are waited for.
        widens = machine.active is None or compatibility.needs_all_members(difference.changes)
        in_grace = difference.affects_safe_work and widens
        span = self._timing.grace if in_grace else self._timing.lease
        index = machine.versions.prepared_at
        return self._grants.pending(now, machine, index, span, prepared.number)

    def due_commands(self, now: float, machine: StateMachine) -> list[JsonObject]:
        """Return commands that are due now, without their ids."""
        due: list[JsonObject] = []
        if machine.prepared is not None:
            due += self._decide_on_prepared(now, machine, machine.prepared.number)
        unsettled = machine.directives.unsettled
        if unsettled:
            index = self._grants.last_directive_index(machine)
            if not self._grants.pending(now, machine, index, self._timing.grace):
                due.append(commands.settle_directives(unsettled))
        return due

    def _decide_on_prepared(self, now: float, machine: StateMachine, number: int) -> list[JsonObject]:
        rejections = self._grants.rejections(machine)
        if rejections:
            name, reason = next(iter(rejections.items()))
            return [commands.drop(number, f"{name} refuses: {reason}")]
        try:
            return [] if self.pending(now, machine) else [commands.activate(number)]
        except ValueError as error:
            return [commands.drop(number, str(error))]
