"""What the commands print with --json: one object with its schema's name. `weldhatch fleet schema` has the
schemas."""

from __future__ import annotations

import msgspec

from weldhatch.planning.fleet import Node
from weldhatch.planning.moved import Moved
from weldhatch.planning.plan import Rest, Step, WavePlan
from weldhatch.planning.undo import Drift


class Shown(msgspec.Struct, kw_only=True):
    """Base of all: `schema` is the name and the version, `exit` what the command ends with."""

    schema: str = ""
    exit: int = 0


class FleetShown(Shown):
    fleet: str
    nodes: list[Node]
    gateways: dict[str, bool]  # whether each answers


class PlanShown(Shown):
    plan: str  # its id; '' where nothing is to do
    file: str
    way: str
    waves: list[WavePlan]
    steps: list[Step]
    rests: list[Rest]
    greedy_waves: int | None = None
    seconds: float = 0.0


class ApplyShown(Shown):
    apply: str
    text: str
    moved: list[Moved] = []
    reason: str = ""
    half_done: list[str] = []


class StepShown(msgspec.Struct, kw_only=True):
    step: str
    node: str
    wave: int
    stand: str  # todo, unknown, taken, refused, done
    outcome: str = ""
    note: str = ""
    told: list[str] = []


class StatusShown(Shown):
    apply: str  # '' where there is none
    name: str = ""
    state: str = "none"  # none, running, done, stopped, interrupted
    begun: float = 0.0
    last: float = 0.0
    fence: int = 0
    by: str = ""
    holder: str = ""
    reason: str = ""
    text: str = ""
    half_done: list[str] = []
    steps: list[StepShown] = []


class HistoryEntry(msgspec.Struct, kw_only=True):
    apply: str
    name: str
    state: str
    begun: float
    last: float
    by: str
    done: int
    steps: int
    undoes: str = ""


class HistoryShown(Shown):
    applies: list[HistoryEntry]


class DriftShown(Shown):
    apply: str
    drift: list[Drift]
    unfinished: bool = False


class FaultShown(Shown):
    error: str
    lines: list[str]


class SettingsChange(msgspec.Struct, kw_only=True, rename={"old": "from", "new": "to"}):
    key: str
    old: str | None
    new: str | None
    restart: bool


class SettingsShown(Shown):
    file: str
    changes: list[SettingsChange]


SCHEMAS: dict[str, type[Shown]] = {
    "show": FleetShown,
    "plan": PlanShown,
    "apply": ApplyShown,
    "status": StatusShown,
    "history": HistoryShown,
    "drift": DriftShown,
    "fault": FaultShown,
    "settings": SettingsShown,
}
_NAMES = {kind: f"weldhatch.fleet.{name}/1" for name, kind in SCHEMAS.items()}


def encode(shown: Shown) -> str:
    shown.schema = _NAMES[type(shown)]
    return msgspec.json.encode(shown).decode()


def schema(name: str) -> dict:
    """The JSON Schema of what a command prints."""
    told = msgspec.json.schema(SCHEMAS[name])
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": _NAMES[SCHEMAS[name]], **told}
