"""The settings of a policy and the terms that its events and actions share. Types only, no decisions.

Times are integer microseconds on the host program's clock; cores are counted in cores, memory in the unit of
the settings (GB on the platform). Machines, requests and services are opaque integers: the policy hands them
back unchanged and reads nothing into them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What repeating a request can do. SAFE and KEYED are idempotent, KEYED within its window and scope."""

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
    """Why an attempt ended so, where the machine says."""

    UNSPECIFIED = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_ACCEPTING = 4
    EVICTED = 5
    PREEMPTED = 6
    DRAINED = 7


class Topic(IntEnum):
    """What a note on a task is about."""

    RUNS = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVED_SHARE = 4
    MACHINE_MEMORY = 5


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its objective, what repeating one can do, its priority and its spread."""

    name: str
    latency_objective_us: int
    deadline_us: int  # from arrival to the final answer
    effect: Effect = Effect.SAFE
    group: Scope = Scope.ALL  # where the key of a KEYED request is known
    window_us: int = 0  # for how long after its first attempt
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    start_priority_weight_s: float = 0.0
    calm: float = 1.0  # the share of a machine's cores in use up to which the class is served in full
    fade: float = 1.0  # over this further share its service falls to nothing
    kind: int = -1  # the one kind of machine that serves it; -1 for any
    priority: int = 0  # the higher, the sooner served
    spread_over: Scope = Scope.NONE  # no such scope holds more than `spread_most` tasks of one service
    spread_most: int = 0


@dataclass(slots=True, frozen=True)
class MachineKind:
    """A kind of machine and its size."""

    name: str
    cores: float
    memory: float


@dataclass(slots=True, frozen=True)
class Tenant:
    """Who requests are counted for, with its quotas."""

    name: str
    quota_per_s: float = 0.0  # starts a second
    portion: float = 0.0
    cores: float = 0.0


@dataclass(slots=True, frozen=True)
class Prices:
    """What the deployment is charged for, in its own unit; 0 where something is free."""

    cross_zone: float = 0.0
    fleet: float = 0.0
    moves: float = 0.0
    probe: float = 0.0
    discovery: float = 0.0
    waste: float = 0.0
    refusal: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What one policy instance is configured with. An optional field left out has the default here."""

    classes: tuple[RequestClass, ...]
    kinds: tuple[MachineKind, ...]
    zone: int = 0  # where this dispatcher is, as an index of `zones`
    zones: tuple[str, ...] = ("",)
    me: int = 0  # this dispatcher's number among `group_size`
    group_size: int = 1
    max_attempts: int = 1
    may_probe: bool = True
    may_cancel: bool = True
    hedged_requests: bool = False
    retry_after: bool = False  # callers heed a time to stay away
    max_retry_after_us: int = 0
    subscribe: bool = False  # lists come only after a `Subscribe`
    tick_us: int = 1000  # the resolution of the host program's timers
    drain_grace_us: int = 0
    answer_slack_us: int = 0
    poll_within_us: int = 0
    warm_up_us: int = 0  # for so long after its start a machine is warming up
    warm_up_offers: float = 1.0  # it may have so many offers of all dispatchers together in any `fall_us`
    start_capacity: float = 1.0
    tip_multiple: float = 1.0
    fall_us: int = 1_000_000
    cores_booking: float = 1.0  # tasks may request so many times a machine's cores
    memory_booking: float = 1.0
    lists_free: bool = False  # lists tell free capacity
    reports_asked: bool = True  # load reports count what tasks request, not what they use
    report_fields: tuple[str, ...] = ()  # x0: free cores, x1: free memory, cpu: cores in use, 0 to 1
    by_service: bool = False  # all requests of a service come to one dispatcher
    confirms_running: bool = True  # `Placed` tells that the task runs, not only that it was accepted
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
    """One entry of a list of machines; the free capacity is None where lists do not tell it."""

    id: int
    zone: int = 0  # an index of `Settings.zones`
    kind: int = 0  # an index of `Settings.kinds`
    cell: int = 0
    state: MachineState = MachineState.READY
    born_us: int = 0  # when it started; 0 where that is not known
    free_cores: float | None = None
    free_memory: float | None = None
    weight: float = 1.0
    cores: float = 0.0  # its own size, where it is not that of its kind
    memory: float = 0.0
