"""What the dispatchers have agreed on zones and racks: a state machine under the group's commands. Pure.

    serving -> suspected -> leaving -> left -> returning 1, 2, 3, 4 -> serving

Each change names the change that it was made on; one made on another changes nothing and says so. The encoded
names of commands and of the state are those of the first version: logs and snapshots stay readable.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

RETURN_STEPS = 4  # of a return: quarters of the pace that machines just back bear
MAX_HISTORY = 100
MAX_FENCED = 5_000  # each change of the agreed state is digested whole
MAX_WITNESSES = 16


class Phase(str, Enum):
    """Where a zone or rack stands."""

    SERVING = "serving"
    SUSPECTED = "suspected"
    LEAVING = "leaving"  # nothing new goes there, and not everybody is known to hold that
    LEFT = "left"
    RETURNING = "returning"


_FOLLOWING = {
    Phase.SERVING: {Phase.SUSPECTED, Phase.LEAVING},
    Phase.SUSPECTED: {Phase.SERVING, Phase.LEAVING},
    Phase.LEAVING: {Phase.LEFT},
    Phase.LEFT: {Phase.RETURNING, Phase.LEFT},  # LEFT again: what is shed has changed
    Phase.RETURNING: {Phase.RETURNING, Phase.LEAVING, Phase.SERVING},
}
# The later allows less.
_NARROWING = [Phase.SERVING, Phase.SUSPECTED, Phase.RETURNING, Phase.LEAVING, Phase.LEFT]
NO_NEW_WORK = (Phase.LEAVING, Phase.LEFT)
FLEET = "fleet"
OPERATOR = "operator"  # who has a place left by hand: the fleet does not bring it back by itself


def zone_of(place: str) -> str:
    """Return the zone of a place."""
    return place.partition("/")[0]


def is_rack(place: str) -> bool:
    """Tell whether a place is a rack, named as ZONE/RACK."""
    return "/" in place


@dataclass(slots=True)
class PlaceState:
    """The agreed state of one zone or rack."""

    phase: Phase = Phase.SERVING
    number: int = 0  # of the change that made it so
    index: int = 0  # of that change in the group's log
    step: int = 0  # of a return
    inside: bool = False  # dispatchers in the zone go on there: only those outside have left
    shed: dict[str, float] = field(default_factory=dict)  # by class, the part that the other zones can't take
    tenants: dict[str, dict[str, float]] = field(default_factory=dict)  # by class, each tenant's part of it
    flaps: int = 0  # times it was left again soon
    held: bool = False  # by an operator: nothing changes by itself
    decided_by: str = ""
    reason: str = ""
    witnesses: list[str] = field(default_factory=list)

    def shed_part(self, class_name: str, tenant: str = "") -> float:
        """Return the part of a tenant's new work of a class that is shed while the place is left."""
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
        """Read the encoded form. Raises KeyError, TypeError or ValueError for what is none."""
        known = {_FIELDS.get(key, key): value for key, value in tree.items()}
        return cls(**{**known, "phase": Phase(tree["phase"])})


_FIELDS = {"by": "decided_by", "why": "reason"}  # of encoded names that differ


@dataclass(slots=True, frozen=True)
class ZoneChange:
    """A change of one place, as the leader proposes it. `number`: of the change that it is made on.

    A `step`, `witnesses`, `flaps` or `held` of None is not encoded; the last two then stay as they are.
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
    at: float = 0  # when an operator said so, Unix time

    def to_tree(self) -> dict[str, Any]:
        """Return the command, with its keys in the order that they always had: logs stay the same."""
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
        """Read a command. Raises KeyError, TypeError or ValueError for what is none."""
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
    """`apply` carries a command out; `entries` holds every place that is not simply serving, or was not."""

    def __init__(self) -> None:
        """Begin with all places serving."""
        self.entries: dict[str, PlaceState] = {}
        self.history: list[dict[str, Any]] = []
        self.fenced: dict[str, list[str]] = {}  # key: [place, who says so]; may still run behind a cut
        self.number = 0  # of the last change

    def place(self, name: str) -> PlaceState:
        """Return the state of a place; one that was never changed serves."""
        return self.entries.get(name) or PlaceState()

    def narrowest_phase(self, zone: str, rack: str = "") -> tuple[Phase, str]:
        """Return the narrowest phase of a machine's zone and rack, and which of the two has it."""
        return max(
            ((self.place(name).phase, name) for name in (zone, rack) if name),
            key=lambda one: _NARROWING.index(one[0]),
        )

    def another_serves(self, zone: str, zones: Iterable[str]) -> bool:
        """Tell whether any zone but this one still takes new work."""
        return any(self.place(other).phase not in NO_NEW_WORK for other in zones if other != zone)

    # ---- commands ----------------------------------------------------------------------------------------

    def apply(self, index: int, command: Mapping[str, Any], zones: Iterable[str]) -> dict[str, Any]:
        """Carry out one change, and return its result.

        `index`: of the command in the group's log; `zones`: all that the settings name. Never are all of them
        left.
        """
        change = ZoneChange.from_tree(command)
        last = self.place(change.place)
        fault = self._fault(change, last, zones)
        if fault is not None:
            return fault
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
            self.fenced = {key: one for key, one in self.fenced.items() if one[0] != change.place}
        self._remember(change.place, {"at": change.at})
        return {"ok": True, "number": self.number, "index": index}

    def _fault(self, change: ZoneChange, last: PlaceState, zones: Iterable[str]) -> dict[str, Any] | None:
        """Return why a change can't be made; None where it can."""
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
        if change.phase is not last.phase and change.phase not in _FOLLOWING[last.phase]:
            return _error("order", f"{name} is {last.phase.value}: it can't be {change.phase.value} next")
        if change.phase is Phase.LEAVING and not is_rack(name) and not self.another_serves(zone, zones):
            return _error("last", f"{name} is the last zone that serves: it is not left")
        return None

    def apply_hold(self, index: int, command: Mapping[str, Any]) -> dict[str, Any]:
        """Hold a place for an operator, so that nothing changes by itself, or release it."""
        place = self.entries.setdefault(command["place"], PlaceState())
        self.number += 1
        place.held = command["held"]
        place.number = self.number
        place.index = index
        said = {"by": command.get("by", ""), "why": command.get("why", ""), "at": command.get("at", 0)}
        self._remember(command["place"], said)
        return {"ok": True, "number": self.number, "index": index}

    def apply_fence(self, place: str, keys: Iterable[str], reported_by: str) -> dict[str, Any]:
        """Fence tasks that may run behind a cut: nobody starts them again until that is known."""
        phase = self.place(place).phase
        if phase not in NO_NEW_WORK:
            return _error("moved", f"{place} is {phase.value}: nothing is fenced there")
        free = MAX_FENCED - len(self.fenced)
        for key in list(keys)[: max(0, free)]:
            self.fenced.setdefault(key, [place, reported_by])
        return {"ok": True, "kept": len(self.fenced)}

    def _remember(self, name: str, more: Mapping[str, Any]) -> None:
        self.history.append({"place": name, **self.entries[name].to_tree(), **more})
        del self.history[:-MAX_HISTORY]

    # ---- the state as a whole ----------------------------------------------------------------------------

    def to_tree(self) -> dict[str, Any]:
        """Return the encoded form, as snapshots and the control API have it."""
        return {
            "entries": {name: one.to_tree() for name, one in self.entries.items()},
            "history": self.history,
            "fenced": self.fenced,
            "number": self.number,
        }

    @classmethod
    def from_tree(cls, tree: Mapping[str, Any]) -> ZoneStates:
        """Read the encoded form. Raises KeyError, TypeError or ValueError for what is none."""
        states = cls()
        states.entries = {name: PlaceState.from_tree(one) for name, one in tree["entries"].items()}
        states.history = tree["history"]
        states.fenced = tree["fenced"]
        states.number = tree["number"]
        return states


def _error(code: str, text: str) -> dict[str, Any]:
    return {"error": code, "text": text}
