"""Settings of a policy, and the types that its events and actions share. No decisions.

Times are integer microseconds on the host program's clock; cores are counted in cores, memory in the unit of
the settings (GB on the platform). Machines, requests and services are identified by opaque integers, which
the policy returns unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """Effect of a repeated request. SAFE is idempotent; KEYED is idempotent within its window and scope."""

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
    """State of a machine in the endpoint list. A removed machine is no longer listed."""

    REMOVED = 0
    READY = 1
    DRAINING = 2

    @property
    def label(self) -> str:
        """The name of the state in endpoint lists, in replicated state and in logs."""
        return "gone" if self is MachineState.REMOVED else self.name.lower()


class ListForm(IntEnum):
    """Kind of an endpoint list: changes, full, from a cache, or FAILED without entries."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    """Outcome of an attempt. Only FULL, CONNECT_FAILED and NOT_SENT prove that the task did not run."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


NOTHING_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # outcomes that prove it


class Reason(IntEnum):
    """Reason of an outcome, if the machine gives one."""

    UNSPECIFIED = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_ACCEPTING = 4
    EVICTED = 5
    PREEMPTED = 6
    DRAINED = 7


class Topic(IntEnum):
    """Subject of a note on a task."""

    RUNS = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVED_SHARE = 4
    MACHINE_MEMORY = 5


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: latency objective, effect of repetition, priority and spread."""

    name: str
    latency_objective_us: int
    deadline_us: int  # from arrival to the final answer
    effect: Effect = Effect.SAFE
    group: Scope = Scope.ALL  # machines that share the key of a KEYED request
    window_us: int = 0  # how long after the first attempt the key is known
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    start_priority_weight_s: float = 0.0
    calm: float = 1.0  # fraction of a machine's cores in use up to which the class is served in full
    fade: float = 1.0  # further fraction over which its service falls to zero
    kind: int = -1  # the only kind of machine that serves it; -1 for any
    priority: int = 0  # higher priorities are served first
    spread_over: Scope = Scope.NONE  # each scope of this type holds at most `spread_most` tasks of a service
    spread_most: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be repeated anywhere after an attempt that may have run."""
        return self.effect is Effect.SAFE or (self.effect is Effect.KEYED and self.group is Scope.ALL)


@dataclass(slots=True, frozen=True)
class MachineKind:
    """A kind of machine and its size."""

    name: str
    cores: float
    memory: float


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quotas."""

    name: str
    quota_per_s: float = 0.0  # task starts per second
    portion: float = 0.0
    cores: float = 0.0


@dataclass(slots=True, frozen=True)
class Prices:
    """Prices of resources in the unit of the deployment; 0 means free."""

    cross_zone: float = 0.0
    fleet: float = 0.0
    moves: float = 0.0
    probe: float = 0.0
    discovery: float = 0.0
    waste: float = 0.0
    refusal: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """Configuration of one policy instance. Optional fields that are left out have the defaults here."""

    classes: tuple[RequestClass, ...]
    kinds: tuple[MachineKind, ...]
    zone: int = 0  # zone of this dispatcher, as an index into `zones`
    zones: tuple[str, ...] = ("",)
    me: int = 0  # index of this dispatcher within the group
    group_size: int = 1
    max_attempts: int = 1
    may_probe: bool = True
    may_cancel: bool = True
    hedged_requests: bool = False
    retry_after: bool = False  # callers honour Retry-After
    max_retry_after_us: int = 0
    subscribe: bool = False  # endpoint lists are sent only after a `Subscribe`
    tick_us: int = 1000  # the resolution of the host program's timers
    drain_grace_us: int = 0
    answer_slack_us: int = 0
    poll_within_us: int = 0
    warm_up_us: int = 0  # time after its start during which a machine is warming up
    warm_up_offers: float = 1.0  # offers of all dispatchers to a warming machine within any `fall_us`
    start_capacity: float = 1.0
    tip_multiple: float = 1.0
    fall_us: int = 1_000_000
    cores_booking: float = 1.0  # overbooking factor: requested cores per core of a machine
    memory_booking: float = 1.0
    lists_free: bool = False  # endpoint lists include free capacity
    reports_asked: bool = True  # load reports count requested resources, not used ones
    report_fields: tuple[str, ...] = ()  # x0: free cores, x1: free memory, cpu: cores in use, 0 to 1
    by_service: bool = False  # one dispatcher gets all requests of a service
    confirms_running: bool = True  # `Placed` means that the task runs, not only that it was accepted
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
    """An entry of an endpoint list; free capacity is None if lists do not include it."""

    id: int
    zone: int = 0  # index into `Settings.zones`
    kind: int = 0  # index into `Settings.kinds`
    cell: int = 0
    state: MachineState = MachineState.READY
    born_us: int = 0  # start time; 0 if unknown
    free_cores: float | None = None
    free_memory: float | None = None
    weight: float = 1.0
    cores: float = 0.0  # its own size, if different from its kind; 0 otherwise
    memory: float = 0.0
