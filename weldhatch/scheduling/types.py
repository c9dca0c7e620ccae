"""The settings of a policy and the terms that its events and actions share. Types only, no decisions.

Times are integer microseconds on the host program's clock. Machines, requests and services are
opaque integers: the policy hands them back unchanged and reads nothing into them.
"""

from __future__ import annotations

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
    """What the endpoint list says of a machine. A removed one is no longer in the list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2

    @property
    def label(self) -> str:
        """The state's name in endpoint lists, in what the cluster has agreed on and in logs."""
        return "gone" if self is MachineState.REMOVED else self.name.lower()


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

    UNSPECIFIED = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_ACCEPTING = 4
    EVICTED = 5
    PREEMPTED = 6
    DRAINED = 7


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
    latency_objective_us: int
    deadline_us: int
    effect: Effect = Effect.SAFE
    group: Scope = Scope.ALL
    window_us: int = 0
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    start_priority_weight_s: float = 0.0
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
    hedged_requests: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    subscribe: bool = False
    tick_us: int = 1000
    drain_grace_us: int = 0
    answer_slack_us: int = 0
    poll_within_us: int = 0
    warm_up_us: int = 0
    warm_up_offers: float = 1.0
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
    preempts_tasks: bool = False
    reports_usage: bool = False
    pressure_notes: bool = False
    owner_wait_us: int = 0
    usual_cores: float = 1.0
    usual_memory: float = 1.0
    over_quota_priority_weight: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    prices: Prices = field(default_factory=Prices)


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
