"""The plan: ordered steps in waves, the world that they rest on, and the file that holds them.

The file is JSON of a stated version with a checksum, so one that was cut or edited by hand is not carried
out.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from weldhatch.planning.actions import Action, ActionKind, Waves
from weldhatch.planning.change import Change, Line
from weldhatch.planning.check import ready_capacity, wave_duration_s
from weldhatch.planning.fleet import Fleet, Node, Pace, ServiceClass, State
from weldhatch.planning.search import SearchResult

SCHEMA = "weldhatch.fleet.plan"
VERSION = 1


class PlanError(ValueError):
    """A plan file that can't be carried out; the text names the place."""


class Kind(StrEnum):
    """What a step does, and to whom."""

    ANNOUNCE = "announce"  # every gateway: give it nothing new
    WELCOME = "welcome"  # every gateway: it takes work
    DRAIN = "drain"  # the node
    UNDRAIN = "undrain"
    STOP = "stop"
    SWITCH_ON = "switch-on"
    AWAIT = "await"  # nobody: the node is on its way

    @property
    def at_gateways(self) -> bool:
        return self in (Kind.ANNOUNCE, Kind.WELCOME)

    @property
    def adds_capacity(self) -> bool:
        """It is on the way to taking work."""
        return self in (Kind.SWITCH_ON, Kind.AWAIT, Kind.UNDRAIN, Kind.WELCOME)

    @property
    def orders_node(self) -> bool:
        return not self.at_gateways and self is not Kind.AWAIT


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One step. `generation` is the node's when the step begins; `leads_to` what is seen when it is done."""

    id: str
    wave: int
    kind: Kind
    node: str
    generation: int
    wants: tuple[State, ...]  # states in which it may begin
    leads_to: State
    after: tuple[str, ...] = ()  # steps that are done before
    because: str = ""  # place of the statement that asks for it


class Rest(msgspec.Struct, frozen=True, kw_only=True):
    """What a floor has in one wave by the plan; wave 0 is the moment before it."""

    line: Line
    wave: int
    cores: float
    memory: float


class WavePlan(msgspec.Struct, frozen=True, kw_only=True):
    number: int
    seconds: float
    nodes: tuple[str, ...]


class Plan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    schema: str = SCHEMA
    version: int = VERSION
    fleet: str = ""  # its name
    made: float = 0.0  # Unix seconds
    undoes: str = ""  # the apply that it takes back
    way: str = ""
    greedy_waves: int | None = None
    change: Change
    classes: tuple[ServiceClass, ...]
    pace: Pace
    world: tuple[Node, ...]  # the nodes that are acted on, as they were
    waves: tuple[WavePlan, ...]
    rests: tuple[Rest, ...]
    steps: tuple[Step, ...]
    checksum: str = ""

    @property
    def id(self) -> str:
        """Its name in journals and operation ids."""
        return self.checksum[:12]

    def operation(self, step: Step) -> str:
        """The id of a step's order: the same at each repeat, so that a node knows it again."""
        return f"{self.id}/{step.id}"


def make(
    change: Change, fleet: Fleet, found: SearchResult, *, name: str, now: float, undoes: str = ""
) -> Plan:
    """The plan for the waves that were found. `now` is in Unix seconds."""
    world = tuple(sorted((action.node for wave in found.waves for action in wave), key=lambda node: node.id))
    steps = tuple(
        step
        for number, wave in enumerate(found.waves, 1)
        for action in wave
        for step in _steps(action, number)
    )
    plan = Plan(
        fleet=name,
        made=now,
        undoes=undoes,
        way=found.method,
        greedy_waves=found.greedy_waves,
        change=change,
        classes=tuple(fleet.classes.values()),
        pace=fleet.pace,
        world=world,
        steps=steps,
        rests=tuple(_rests(change, fleet, found.waves)),
        waves=tuple(
            WavePlan(
                number=number,
                seconds=wave_duration_s(wave, fleet),
                nodes=tuple(action.node.id for action in wave),
            )
            for number, wave in enumerate(found.waves, 1)
        ),
    )
    return msgspec.structs.replace(plan, checksum=checksum(plan))


_STEPS: dict[ActionKind, tuple[Kind, ...]] = {
    ActionKind.SWITCH_ON: (Kind.SWITCH_ON, Kind.WELCOME),
    ActionKind.AWAIT: (Kind.AWAIT, Kind.WELCOME),
    ActionKind.UNDRAIN: (Kind.UNDRAIN, Kind.WELCOME),
    ActionKind.WELCOME: (Kind.WELCOME,),
    ActionKind.DRAIN: (Kind.ANNOUNCE, Kind.DRAIN),
    ActionKind.DRAIN_STOP: (Kind.ANNOUNCE, Kind.DRAIN, Kind.STOP),
    ActionKind.STOP: (Kind.ANNOUNCE, Kind.STOP),
}
_SHAPES: dict[Kind, tuple[tuple[State, ...], State]] = {
    Kind.SWITCH_ON: ((State.OFF,), State.READY),
    Kind.AWAIT: ((State.WARMING, State.READY), State.READY),
    Kind.UNDRAIN: ((State.DRAINING,), State.READY),
    Kind.WELCOME: ((State.READY,), State.READY),
    Kind.ANNOUNCE: ((State.READY, State.WARMING, State.DRAINING), State.DRAINING),
    Kind.DRAIN: ((State.READY, State.WARMING), State.DRAINING),
    Kind.STOP: ((State.DRAINING,), State.OFF),
}


def _steps(action: Action, wave: int) -> Iterable[Step]:
    generation, before = action.node.generation, ()
    for kind in _STEPS[action.kind]:
        wants, leads_to = _SHAPES[kind]
        step = Step(
            id=f"w{wave}.{action.node.id}.{kind}",
            wave=wave,
            kind=kind,
            node=action.node.id,
            generation=generation,
            wants=wants,
            leads_to=leads_to,
            after=before,
            because=action.goal.line.place,
        )
        yield step
        before = (step.id,)
        if kind is Kind.SWITCH_ON:
            generation += 1


def _rests(change: Change, fleet: Fleet, waves: Waves) -> Iterable[Rest]:
    ready = {node.id: node for node in fleet.nodes.values() if node.ready}
    for number, wave in enumerate(((), *waves, ())):
        for action in wave:
            if not action.kind.adds_capacity:
                ready.pop(action.node.id, None)
        for floor in change.floors:
            cores, memory = ready_capacity(floor, ready.values(), fleet, change.survive_rack)
            yield Rest(line=floor.line, wave=number, cores=cores, memory=memory)
        for action in wave:
            if action.kind.adds_capacity:
                ready[action.node.id] = action.node


# ---- the file ----------------------------------------------------------------------------------------------


def checksum(plan: Plan) -> str:
    blank = msgspec.structs.replace(plan, checksum="")
    return hashlib.sha256(msgspec.json.encode(blank, order="deterministic")).hexdigest()


def encode(plan: Plan) -> bytes:
    return msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n"


def decode(data: bytes, path: str) -> Plan:
    """The plan of a file. Raises PlanError naming what is wrong, and where."""
    try:
        head = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise PlanError(f"{path}: this is no whole JSON file; it may have been cut: {fault}") from None
    if not isinstance(head, dict) or head.get("schema") != SCHEMA:
        raise PlanError(f"{path}: schema: this is no plan of a fleet's change")
    if head.get("version") != VERSION:
        raise PlanError(
            f"{path}: version: {head.get('version')!r}, and this program carries out version {VERSION}"
        )
    try:
        plan = msgspec.json.decode(data, type=Plan)
    except msgspec.ValidationError as fault:
        raise PlanError(f"{path}: {fault}") from None
    if plan.checksum != checksum(plan):
        raise PlanError(f"{path}: checksum: the file is not as it was written; make a new plan of the change")
    return plan
