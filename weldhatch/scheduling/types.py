"""The interface of weldhatch: settings, events and actions. Types only, no decisions.

Times are integer microseconds on the host program's clock. Machines, requests and services are
opaque integers: the policy hands them back unchanged and reads nothing into them.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What repeating a request can do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """A set of machines: all of them, one zone, one cell, one machine, or no limit at all."""

    NONE = "none"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class MachineState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListForm(IntEnum):
    """How a list of machines was come by; FAILED carries none."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    """How an attempt ended. Only FULL, CONNECT_FAILED and NOT_SENT prove that nothing ran."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class Reason(IntEnum):
    """Why an attempt ended so, where the machine tells."""

    NOT_TOLD = 0
    NO_CORES = 1
    NO_MEMORY = 2
    LINE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    PUSHED_OUT = 6
    SENT_AWAY = 7


class Topic(IntEnum):
    """What a note on a task tells."""

    RUNS = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVED_SHARE = 4
    MACHINE_MEMORY = 5


@dataclass(slots=True, frozen=True)
class RequestClass:
    name: str
    aim_us: int
    deadline_us: int
    effect: Effect = Effect.SAFE
    group: Scope = Scope.ALL
    window_us: int = 0
    worth: float = 1.0
    late_worth: float = 0.0
    start_worth_s: float = 0.0
    calm: float = 1.0
    fade: float = 1.0
    kind: int = -1
    priority: int = 0
    spread_over: Scope = Scope.NONE
    spread_most: int = 0


@dataclass(slots=True, frozen=True)
class MachineKind:
    name: str
    cores: float
    memory: float


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    quota_per_s: float = 0.0
    portion: float = 0.0
    cores: float = 0.0


@dataclass(slots=True, frozen=True)
class Prices:
    cross_zone: float = 0.0
    fleet: float = 0.0
    moves: float = 0.0
    probe: float = 0.0
    discovery: float = 0.0
    waste: float = 0.0
    refusal: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What one policy instance is told at its start. An optional field left out has the default here."""

    classes: tuple[RequestClass, ...]
    kinds: tuple[MachineKind, ...]
    zone: int = 0
    zones: tuple[str, ...] = ("",)
    me: int = 0
    group_size: int = 1
    max_attempts: int = 1
    may_probe: bool = True
    may_cancel: bool = True
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    subscribe: bool = False
    tick_us: int = 1000
    drain_grace_us: int = 0
    answer_slack_us: int = 0
    must_ask_us: int = 0
    cold_us: int = 0
    cold_sends: float = 1.0
    start_capacity: float = 1.0
    tip_multiple: float = 1.0
    fall_us: int = 1_000_000
    cores_booking: float = 1.0
    memory_booking: float = 1.0
    lists_free: bool = False
    reports_asked: bool = True
    report_fields: tuple[str, ...] = ()
    by_service: bool = False
    confirms_running: bool = True
    makes_room: bool = False
    tells_use: bool = False
    pressure_notes: bool = False
    owner_wait_us: int = 0
    usual_cores: float = 1.0
    usual_memory: float = 1.0
    over_share_worth: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    prices: Prices = field(default_factory=Prices)


# ---- events ---------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Machine:
    """One entry of a list of machines; the free room is None where lists do not tell it."""

    id: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: MachineState = MachineState.READY
    born_us: int = 0
    free_cores: float | None = None
    free_memory: float | None = None
    weight: float = 1.0
    cores: float = 0.0  # its own size, where it is not that of its kind
    memory: float = 0.0


@dataclass(slots=True, frozen=True)
class MachinesChanged:
    form: ListForm
    machines: tuple[Machine, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A task to place. It is owed exactly one final answer before its deadline."""

    request: int
    class_index: int
    deadline_us: int
    service: int
    cores: float
    memory: float
    key: int = 0
    tenant: int = 0
    run_us: int | None = None
    again: bool = False
    only: Container[int] | None = None  # the machines that it may go to; None for all


@dataclass(slots=True, frozen=True)
class TaskAdopted:
    """A task that already runs on a machine and is in this instance's care from now on."""

    request: int
    class_index: int
    service: int
    cores: float
    memory: float
    machine: int
    key: int = 0
    tenant: int = 0
    run_us: int | None = None


@dataclass(slots=True, frozen=True)
class Placed:
    request: int
    attempt: int
    machine: int
    took_us: int


@dataclass(slots=True, frozen=True)
class Note:
    request: int
    attempt: int
    machine: int
    topic: int
    value: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one outcome of an attempt; `closed` tells that the request is over with it."""

    request: int
    attempt: int
    machine: int
    outcome: Outcome
    took_us: int = 0
    reason: int = 0
    closed: bool = False
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestGone:
    request: int


@dataclass(slots=True, frozen=True)
class ProbeAnswered:
    """The result of one probe; the report holds the values of `Settings.report_fields`, or nothing.

    A report that a machine gave when the module asked for none comes as this too.
    """

    machine: int
    outcome: Outcome
    took_us: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class TimerFired:
    timer: int


# ---- actions --------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Offer:
    """Offer a request to a machine; attempts count from 0. No time-out (0) means until the deadline.

    An offer that has not left by `start_by_us` must not leave any more; 0 where it may at any time.
    """

    request: int
    machine: int
    give_up_us: int = 0
    start_by_us: int = 0


@dataclass(slots=True, frozen=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not placed, and trying again is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: not placed, with no promise about its effect."""

    request: int


@dataclass(slots=True, frozen=True)
class Move:
    request: int


@dataclass(slots=True, frozen=True)
class Probe:
    machine: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    after_us: int
    timer: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    pass


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Event = (
    MachinesChanged
    | RequestArrived
    | TaskAdopted
    | Placed
    | Note
    | AttemptEnded
    | RequestGone
    | ProbeAnswered
    | TimerFired
)
Action = Offer | Cancel | Refuse | Fail | Move | Probe | SetTimer | Subscribe | FetchList | Log
