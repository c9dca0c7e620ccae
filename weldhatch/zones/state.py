"""The agreed state of zones and racks: a state machine driven by the commands in the group's log. Pure.

    serving -> suspected -> leaving -> left -> returning 1, 2, 3, 4 -> serving

Each change names the number of the change that it is based on; a change based on an outdated number is
rejected with an error. The encoded names of commands and state are those of the first version, so that older
logs and snapshots remain readable.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

RETURN_STEPS = 4  # each step adds a quarter of the starts that a returning machine accepts
MAX_HISTORY = 100
MAX_FENCED = 5_000  # limits the state, which is digested completely after each change
MAX_WITNESSES = 16


class Phase(str, Enum):
    """The failover phase of a zone or rack."""

    SERVING = "serving"
    SUSPECTED = "suspected"
    LEAVING = "leaving"  # takes no new work; not yet applied by all dispatchers
    LEFT = "left"
    RETURNING = "returning"


_NEXT_PHASES = {
    Phase.SERVING: {Phase.SUSPECTED, Phase.LEAVING},
    Phase.SUSPECTED: {Phase.SERVING, Phase.LEAVING},
    Phase.LEAVING: {Phase.LEFT},
    Phase.LEFT: {Phase.RETURNING, Phase.LEFT},  # LEFT again: the shed fractions have changed
    Phase.RETURNING: {Phase.RETURNING, Phase.LEAVING, Phase.SERVING},
}
# In ascending order of restriction.
_BY_RESTRICTION = [Phase.SERVING, Phase.SUSPECTED, Phase.RETURNING, Phase.LEAVING, Phase.LEFT]
NO_NEW_WORK = (Phase.LEAVING, Phase.LEFT)
FLEET = "fleet"
OPERATOR = "operator"  # a place that an operator left does not return automatically


def zone_of(place: str) -> str:
    """Return the zone of a place."""
    return place.partition("/")[0]


def is_rack(place: str) -> bool:
    """Return whether a place is a rack, named as ZONE/RACK."""
    return "/" in place


@dataclass(slots=True)
class PlaceState:
    """The agreed state of one zone or rack."""

    phase: Phase = Phase.SERVING
    number: int = 0  # of the last change
    index: int = 0  # of that change in the group's log
    step: int = 0  # of a return; 0 in other phases
    inside: bool = False  # dispatchers inside the zone continue there; only others have left
    shed: dict[str, float] = field(default_factory=dict)  # by class: fraction without capacity elsewhere
    tenants: dict[str, dict[str, float]] = field(default_factory=dict)  # by class and tenant: shed fraction
    flaps: int = 0  # number of times it was left again soon after a return
    held: bool = False  # by an operator: no automatic changes
    decided_by: str = ""
    reason: str = ""
    witnesses: list[str] = field(default_factory=list)

    def shed_fraction(self, class_name: str, tenant: str = "") -> float:
        """Return the fraction of a tenant's new work of a class that is shed while the place is left."""
        return self.tenants.get(class_name, {}).get(tenant, self.shed.get(class_name, 0.0))

    def to_tree(self) -> dict[str, Any]:
        """Return the encoded form."""
        return {
            "phase": self.phase.value,
            "number": self.number,
            "index": self.index,
            "step": self.step,
            "inside": self.inside,
            "shed": dict(self.shed),
            "tenants": {name: dict(parts) for name, parts in self.tenants.items()},
            "flaps": self.flaps,
            "held": self.held,
            "by": self.decided_by,
            "why": self.reason,
            "witnesses": list(self.witnesses),
        }

    @classmethod
    def from_tree(cls, tree: Mapping[str, Any]) -> PlaceState:
        """Read the encoded form. Raises KeyError, TypeError or ValueError if it is malformed."""
        known = {_FIELD_OF_KEY.get(key, key): value for key, value in tree.items()}
        return cls(**{**known, "phase": Phase(tree["phase"])})


_FIELD_OF_KEY = {"by": "decided_by", "why": "reason"}  # encoded keys that differ from the field names


@dataclass(slots=True, frozen=True)
class ZoneChange:
    """A change of one place, as proposed by the leader. `number`: of the change that it is based on.

    `flaps` and `held` keep their value in the state if they are None. A `step` or `witnesses` of None is left
    out of the encoded form, which counts as 0 and empty.
    """

    place: str
    number: int
    phase: Phase
    reason: str
    decided_by: str = FLEET
    step: int | None = None
    witnesses: tuple[str, ...] | None = None
    inside: bool = False
    shed: Mapping[str, float] = field(default_factory=dict)
    tenants: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    flaps: int | None = None
    held: bool | None = None
    at: float = 0  # Unix time of an operator's request

    def to_tree(self) -> dict[str, Any]:
        """Return the command. The order of its keys is fixed, so that logs are identical in all versions."""
        tree: dict[str, Any] = {
            "do": "zone",
            "place": self.place,
            "number": self.number,
            "flaps": self.flaps,
            "by": self.decided_by,
            "inside": self.inside,
            "shed": dict(self.shed),
            "tenants": {name: dict(parts) for name, parts in self.tenants.items()},
            "phase": self.phase.value,
        }
        if self.step is not None:
            tree["step"] = self.step
        reason = {"why": self.reason}
        witnesses = {} if self.witnesses is None else {"witnesses": list(self.witnesses)}
        if self.phase in (Phase.LEFT, Phase.SERVING):
            return {**tree, **reason, **witnesses}
        return {**tree, **witnesses, **reason}

    @classmethod
    def from_tree(cls, tree: Mapping[str, Any]) -> ZoneChange:
        """Read a command. Raises KeyError, TypeError or ValueError if it is malformed."""
        flaps = tree.get("flaps")
        held = tree.get("held")
        return cls(
            place=tree["place"],
            number=tree["number"],
            phase=Phase(tree["phase"]),
            reason=tree.get("why", ""),
            decided_by=tree.get("by", ""),
            step=int(tree.get("step", 0)),
            witnesses=tuple(tree.get("witnesses", ())),
            inside=bool(tree.get("inside", False)),
            shed=dict(tree.get("shed", {})),
            tenants=dict(tree.get("tenants", {})),
            flaps=None if flaps is None else int(flaps),
            held=None if held is None else bool(held),
            at=tree.get("at", 0),
        )


class ZoneStates:
    """The states of all places. `entries` contains every place that has ever been changed."""

    def __init__(self) -> None:
        """Start with all places in service."""
        self.entries: dict[str, PlaceState] = {}
        self.history: list[dict[str, Any]] = []
        self.fenced: dict[str, list[str]] = {}  # by key: [place, reporter]; the task may still run there
        self.number = 0  # of the last change

    def place(self, name: str) -> PlaceState:
        """Return the state of a place; a place that was never changed is in service."""
        return self.entries.get(name) or PlaceState()

    def most_restrictive_phase(self, zone: str, rack: str = "") -> tuple[Phase, str]:
        """Return the more restrictive phase of a machine's zone and rack, and the place that has it."""
        return max(
            ((self.place(name).phase, name) for name in (zone, rack) if name),
            key=lambda phase_of_place: _BY_RESTRICTION.index(phase_of_place[0]),
        )

    def another_serves(self, zone: str, zones: Iterable[str]) -> bool:
        """Return whether any other zone takes new work."""
        return any(self.place(other).phase not in NO_NEW_WORK for other in zones if other != zone)

    # ---- commands ----------------------------------------------------------------------------------------

    def apply(self, index: int, command: Mapping[str, Any], zones: Iterable[str]) -> dict[str, Any]:
        """Apply one change and return its result; taking the last zone out of service is an error.

        `index`: of the command in the group's log; `zones`: all zones of the settings.
        """
        change = ZoneChange.from_tree(command)
        last = self.place(change.place)
        error = self._change_error(change, last, zones)
        if error is not None:
            return error
        self.number += 1
        self.entries[change.place] = PlaceState(
            phase=change.phase,
            number=self.number,
            index=index,
            step=change.step or 0,
            inside=change.inside,
            shed=dict(change.shed),
            tenants={name: dict(parts) for name, parts in change.tenants.items()},
            flaps=last.flaps if change.flaps is None else change.flaps,
            held=last.held if change.held is None else change.held,
            decided_by=change.decided_by,
            reason=change.reason,
            witnesses=list(change.witnesses or ())[:MAX_WITNESSES],
        )
        if change.phase is Phase.SERVING:
            self.fenced = {key: fence for key, fence in self.fenced.items() if fence[0] != change.place}
        self._add_to_history(change.place, {"at": change.at})
        return {"ok": True, "number": self.number, "index": index}

    def _change_error(
        self, change: ZoneChange, last: PlaceState, zones: Iterable[str]
    ) -> dict[str, Any] | None:
        """Return the error of a change, or None if it can be applied."""
        name = change.place
        zone = zone_of(name)
        if zone not in set(zones):
            return _error("unknown", f"{name}: the settings name no such zone")
        if change.number != last.number:
            return _error(
                "moved",
                f"{name} is {last.phase.value} by change {last.number}, and this was made "
                f"on {change.number}",
            )
        if change.phase is not last.phase and change.phase not in _NEXT_PHASES[last.phase]:
            return _error("order", f"{name} is {last.phase.value}: it can't be {change.phase.value} next")
        if change.phase is Phase.LEAVING and not is_rack(name) and not self.another_serves(zone, zones):
            return _error("last", f"{name} is the last zone that serves: it is not left")
        return None

    def apply_hold(self, index: int, command: Mapping[str, Any]) -> dict[str, Any]:
        """Hold a place for an operator, which prevents automatic changes, or release it."""
        place = self.entries.setdefault(command["place"], PlaceState())
        self.number += 1
        place.held = command["held"]
        place.number = self.number
        place.index = index
        details = {"by": command.get("by", ""), "why": command.get("why", ""), "at": command.get("at", 0)}
        self._add_to_history(command["place"], details)
        return {"ok": True, "number": self.number, "index": index}

    def apply_fence(self, place: str, keys: Iterable[str], reported_by: str) -> dict[str, Any]:
        """Fence tasks that may still run behind a network partition: they are not started again meanwhile.

        The fences end when the place serves again.
        """
        phase = self.place(place).phase
        if phase not in NO_NEW_WORK:
            return _error("moved", f"{place} is {phase.value}: nothing is fenced there")
        free = MAX_FENCED - len(self.fenced)
        for key in list(keys)[: max(0, free)]:
            self.fenced.setdefault(key, [place, reported_by])
        return {"ok": True, "kept": len(self.fenced)}

    def _add_to_history(self, name: str, details: Mapping[str, Any]) -> None:
        self.history.append({"place": name, **self.entries[name].to_tree(), **details})
        del self.history[:-MAX_HISTORY]

    # ---- encoding ----------------------------------------------------------------------------------------

    def to_tree(self) -> dict[str, Any]:
        """Return the encoded form for snapshots and the control API."""
        return {
            "entries": {name: place.to_tree() for name, place in self.entries.items()},
            "history": self.history,
            "fenced": self.fenced,
            "number": self.number,
        }

    @classmethod
    def from_tree(cls, tree: Mapping[str, Any]) -> ZoneStates:
        """Read the encoded form. Raises KeyError, TypeError or ValueError if it is malformed."""
        states = cls()
        states.entries = {name: PlaceState.from_tree(entry) for name, entry in tree["entries"].items()}
        states.history = tree["history"]
        states.fenced = tree["fenced"]
        states.number = tree["number"]
        return states


def _error(code: str, text: str) -> dict[str, Any]:
    return {"error": code, "text": text}
