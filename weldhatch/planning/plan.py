"""The plan: ordered steps in waves, the node states that they assume, and the plan file.

The file is JSON with a schema version and a checksum; a truncated or edited file is rejected.

`weldhatch fleet schema` prints the docstrings of `Kind`, `Step` and `Rest` and the names of these classes.
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
    """A plan file that can't be carried out; the message names the file and the place."""


class Kind(StrEnum):
    """What a step does, and to whom."""

    ANNOUNCE = "announce"  # notifies every gateway that the node takes no new work
    WELCOME = "welcome"  # notifies every gateway that the node takes work
    DRAIN = "drain"  # orders the node, as do the next three
    UNDRAIN = "undrain"
    STOP = "stop"
    SWITCH_ON = "switch-on"
    AWAIT = "await"  # sends no order: the node is warming up already

    @property
    def at_gateways(self) -> bool:
        """Whether the step's order goes to the gateways."""
        return self in (Kind.ANNOUNCE, Kind.WELCOME)

    @property
    def adds_capacity(self) -> bool:
        """Whether the step brings the node closer to taking work."""
        return self in (Kind.SWITCH_ON, Kind.AWAIT, Kind.UNDRAIN, Kind.WELCOME)

    @property
    def orders_node(self) -> bool:
        """Whether the step's order goes to the node."""
        return not self.at_gateways and self is not Kind.AWAIT


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One step. `generation` is the node's when the step begins; `leads_to` what is seen when it is done."""

    id: str
    wave: int
    kind: Kind
    node: str
    generation: int
    wants: tuple[State, ...]  # the states of the node in which the step may begin
    leads_to: State
    after: tuple[str, ...] = ()  # the ids of the steps that have to be done before
    because: str = ""  # the place of the statement in the change file that requires the step


class Rest(msgspec.Struct, frozen=True, kw_only=True):
    """What a floor has in one wave by the plan; wave 0 is the moment before it."""

    line: Line
    wave: int
    cores: float
    memory: float


class WavePlan(msgspec.Struct, frozen=True, kw_only=True):  # noqa: D101 - it would change the printed schema
    number: int
    seconds: float
    nodes: tuple[str, ...]


class Plan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The content of a plan file."""

    schema: str = SCHEMA
    version: int = VERSION
    fleet: str = ""  # the fleet's name
    made: float = 0.0  # Unix seconds
    undoes: str = ""  # the id of the apply that the plan undoes, if any
    way: str = ""  # the planning method that found the waves
    greedy_waves: int | None = None  # the number of waves of the greedy method; None if it found none
    change: Change
    classes: tuple[ServiceClass, ...]
    pace: Pace
    world: tuple[Node, ...]  # the nodes that the plan acts on, as observed when it was made
    waves: tuple[WavePlan, ...]
    rests: tuple[Rest, ...]
    steps: tuple[Step, ...]
    checksum: str = ""

    @property
    def id(self) -> str:
        """The plan's name in journals and operation ids."""
        return self.checksum[:12]

    def operation(self, step: Step) -> str:
        """Return the operation id of a step's order; retries use the same id, so nodes can deduplicate."""
        return f"{self.id}/{step.id}"


def make(
    change: Change, fleet: Fleet, found: SearchResult, *, name: str, now: float, undoes: str = ""
) -> Plan:
    """Return the plan for the waves that were found. `name`: the fleet's name; `now`: Unix seconds."""
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


_STEP_KINDS: dict[ActionKind, tuple[Kind, ...]] = {
    ActionKind.SWITCH_ON: (Kind.SWITCH_ON, Kind.WELCOME),
    ActionKind.AWAIT: (Kind.AWAIT, Kind.WELCOME),
    ActionKind.UNDRAIN: (Kind.UNDRAIN, Kind.WELCOME),
    ActionKind.WELCOME: (Kind.WELCOME,),
    ActionKind.DRAIN: (Kind.ANNOUNCE, Kind.DRAIN),
    ActionKind.DRAIN_STOP: (Kind.ANNOUNCE, Kind.DRAIN, Kind.STOP),
    ActionKind.STOP: (Kind.ANNOUNCE, Kind.STOP),
}
_STATES_BEFORE_AND_AFTER: dict[Kind, tuple[tuple[State, ...], State]] = {
    Kind.SWITCH_ON: ((State.OFF,), State.READY),
    Kind.AWAIT: ((State.WARMING, State.READY), State.READY),
    Kind.UNDRAIN: ((State.DRAINING,), State.READY),
    Kind.WELCOME: ((State.READY,), State.READY),
    Kind.ANNOUNCE: ((State.READY, State.WARMING, State.DRAINING), State.DRAINING),
    Kind.DRAIN: ((State.READY, State.WARMING), State.DRAINING),
    Kind.STOP: ((State.DRAINING,), State.OFF),
}


def _steps(action: Action, wave: int) -> Iterable[Step]:
    generation, predecessors = action.node.generation, ()
    for kind in _STEP_KINDS[action.kind]:
        wants, leads_to = _STATES_BEFORE_AND_AFTER[kind]
        step = Step(
            id=f"w{wave}.{action.node.id}.{kind}",
            wave=wave,
            kind=kind,
            node=action.node.id,
            generation=generation,
            wants=wants,
            leads_to=leads_to,
            after=predecessors,
            because=action.goal.line.place,
        )
        yield step
        predecessors = (step.id,)
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
    """Return the SHA-256 of the plan with an empty checksum, in hexadecimal digits."""
    unsigned = msgspec.structs.replace(plan, checksum="")
    return hashlib.sha256(msgspec.json.encode(unsigned, order="deterministic")).hexdigest()


def encode(plan: Plan) -> bytes:
    """Return the content of a plan file."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n"


def decode(data: bytes, path: str) -> Plan:
    """Return the plan in a file's data. Raises PlanError, which names `path` and the faulty key."""
    try:
        content = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PlanError(f"{path}: this is no whole JSON file; it may have been cut: {error}") from None
    if not isinstance(content, dict) or content.get("schema") != SCHEMA:
        raise PlanError(f"{path}: schema: this is no plan of a fleet's change")
    if content.get("version") != VERSION:
        raise PlanError(
            f"{path}: version: {content.get('version')!r}, and this program carries out version {VERSION}"
        )
    try:
        plan = msgspec.json.decode(data, type=Plan)
    except msgspec.ValidationError as error:
        raise PlanError(f"{path}: {error}") from None
    if plan.checksum != checksum(plan):
        raise PlanError(f"{path}: checksum: the file is not as it was written; make a new plan of the change")
    return plan
