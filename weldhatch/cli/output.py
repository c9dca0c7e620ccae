"""The JSON objects that `weldhatch fleet` prints with --json; `weldhatch fleet schema` prints their schemas.

Names and docstrings of these classes are part of the printed schemas; notes on a class are
therefore comments.
"""

from __future__ import annotations

import msgspec

from weldhatch.planning.fleet import Node
from weldhatch.planning.moved import Moved
from weldhatch.planning.plan import Rest, Step, WavePlan
from weldhatch.planning.undo import Drift


class Shown(msgspec.Struct, kw_only=True):
    """Base of all objects: `schema` has the schema's name and version, `exit` the command's exit code."""

    schema: str = ""
    exit: int = 0


class FleetShown(Shown):
    fleet: str
    nodes: list[Node]
    gateways: dict[str, bool]  # by control address: whether the gateway answers


class PlanShown(Shown):
    plan: str  # the plan's id; empty if there is nothing to do
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
    stand: str  # state of the step: todo, unknown, taken, refused, done
    outcome: str = ""
    note: str = ""
    told: list[str] = []


class StatusShown(Shown):
    apply: str  # the apply's id; empty if the journal has no apply
    name: str = ""
    state: str = "none"  # one of none, running, done, stopped, interrupted
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
_SCHEMA_NAMES = {kind: f"weldhatch.fleet.{name}/1" for name, kind in SCHEMAS.items()}


def encode(shown: Shown) -> str:
    """Return an object as JSON, with the name of its schema filled in."""
    shown.schema = _SCHEMA_NAMES[type(shown)]
    return msgspec.json.encode(shown).decode()


def schema(name: str) -> dict:
    """Return the JSON Schema of an object by its name in SCHEMAS."""
    definition = msgspec.json.schema(SCHEMAS[name])
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": _SCHEMA_NAMES[SCHEMAS[name]],
        **definition,
    }
