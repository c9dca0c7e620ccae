"""Records of machines, requests and cached programs, as this dispatcher knows them. No decisions."""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from typing import NamedTuple

from weldhatch.scheduling.events import Attempt, RequestArrived, TaskAdopted
from weldhatch.scheduling.types import Machine, RequestClass, Topic

NEVER = -(1 << 62)
MAX_CACHED_PROGRAMS = 4  # programs assumed to stay cached on a machine after their last own task
INITIAL_OFFER_LIMIT = 12.0  # own open offers per machine, adjusted by queue-full rejections and by starts
DEFAULT_USAGE_SHARE = 0.7  # used share of requested resources, until usage notes arrive
USAGE_DECAY = 0.999  # factor on the weight of earlier notes for each new note


class OutlierPeriod(NamedTuple):
    """A period during which a machine counts as an outlier: its end and its length."""

    until_us: int
    length_us: int


NO_PERIOD = OutlierPeriod(0, 0)


class ReportedCapacity:
    """Free cores and memory as last reported, minus own placements and offers since then."""

    __slots__ = ("_own_cores", "_own_memory", "reported_at", "reported_cores", "reported_memory")

    def __init__(self) -> None:
        """Start without any report."""
        self.reported_at = NEVER
        self.reported_cores = 0.0
        self.reported_memory = 0.0
        self._own_cores = 0.0  # requested by own tasks that the report already includes
        self._own_memory = 0.0

    def update(self, now: int, lag_us: int, cores: float, memory: float, machine: MachineRecord) -> None:
        """Record a report that describes the machine as of about `lag_us` ago."""
        self.reported_at = now
        self.reported_cores = cores
        self.reported_memory = memory
        self._own_cores = machine.running_cores
        self._own_memory = machine.running_memory
        for until, running_cores, running_memory in reversed(machine.running_history):
            if until <= now - lag_us:
                break
            self._own_cores = running_cores
            self._own_memory = running_memory

    def remaining(
        self, machine: MachineRecord, cores_share: float, memory_share: float
    ) -> tuple[float, float]:
        """Return free cores and memory now, if own tasks use these shares of what they request."""
        return (
            self.reported_cores
            - (machine.running_cores - self._own_cores + machine.offered_cores) * cores_share,
            self.reported_memory
            - (machine.running_memory - self._own_memory + machine.offered_memory) * memory_share,
        )


class MachineRecord:
    """State of one machine: list entry, own offers and tasks, reports and health."""

    __slots__ = (
        "cached_programs",
        "cores",
        "declined_cores",
        "declined_memory",
        "declined_until",
        "degraded_until",
        "draining_until",
        "entry",
        "fault_at",
        "faults",
        "in_flight",
        "memory",
        "offer_limit",
        "offer_times",
        "offered_cores",
        "offered_memory",
        "open_offers",
        "outlier_periods",
        "probe_waiters",
        "probes_in_flight",
        "recheck_at",
        "recheck_backoff_us",
        "running_cores",
        "running_history",
        "running_memory",
        "unreserved",
        "unresponsive",
        "unstarted",
        "unused",
        "utilization",
        "utilization_at",
        "utilization_own_cores",
    )

    def __init__(self, entry: Machine, offer_times_kept: int) -> None:
        """Create a record from a list entry; the size is set later from the entry or `Settings.kinds`."""
        self.entry = entry
        self.cores = 1.0
        self.memory = 1.0
        self.open_offers: dict[int, int] = {}  # request id to attempt number
        self.offered_cores = 0.0  # requested by own open offers
        self.offered_memory = 0.0
        self.running_cores = 0.0  # requested by own tasks
        self.running_memory = 0.0
        self.running_history: deque[tuple[int, float, float]] = deque()  # (end time, cores, memory)
        self.in_flight = 0  # own open offers and running tasks
        self.offer_times: deque[int] = deque(maxlen=offer_times_kept)  # times of the last own offers
        self.probe_waiters: dict[int, None] = {}  # ids of requests that wait for a probe result
        self.restart()

    def restart(self) -> None:
        """Reset what a restart of the machine invalidates: reports, health and cached programs."""
        self.unreserved = ReportedCapacity()  # capacity not requested by tasks
        self.unused = ReportedCapacity()  # capacity not used by tasks
        self.utilization = 0.0  # fraction of cores in use, as reported
        self.utilization_own_cores = 0.0  # requested by own tasks and offers at the time of that report
        self.utilization_at = NEVER
        self.cached_programs: dict[int, None] = {}  # services whose program should be cached, oldest first
        self.unstarted: set[int] = set()  # ids of placed requests not yet reported as running
        self.unresponsive = False
        self.probes_in_flight = 0
        self.draining_until = 0  # inferred from its answers; drains in the list are in `entry`
        self.offer_limit = INITIAL_OFFER_LIMIT
        self.degraded_until = 0  # until then it counts as overloaded because of a task note
        self.recheck_backoff_us = 0.0  # last recheck delay of an unresponsive machine
        self.recheck_at = 0.0  # an unresponsive machine may be drawn from then on
        self.outlier_periods: dict[int, OutlierPeriod] = {}  # by class index, or ANY_CLASS
        self.faults = 0  # errors and resets since the last placed task
        self.fault_at = NEVER
        self.declined_until = 0  # requests of at least the declined size are not offered until then
        self.declined_cores = 0.0
        self.declined_memory = 0.0

    def decline(self, until: int, cores: float, memory: float) -> None:
        """Offer no requests of at least this size until the given time."""
        self.declined_until = until
        self.declined_cores = cores
        self.declined_memory = memory

    def keep_offer_times(self, count: int) -> None:
        """Set the number of offer times that are kept."""
        self.offer_times = deque(self.offer_times, maxlen=count)

    def add_offer(self, request: RequestRecord, attempt: int, now: int) -> None:
        """Record an offer made now."""
        self.offer_times.append(now)
        self.open_offers[request.id] = attempt
        self.offered_cores += request.cores
        self.offered_memory += request.memory

    def remove_offer(self, request: RequestRecord) -> None:
        """Record that an offer is no longer open; raises KeyError if it was not open."""
        del self.open_offers[request.id]
        if self.open_offers:
            self.offered_cores -= request.cores
            self.offered_memory -= request.memory
        else:  # drops accumulated rounding errors
            self.offered_cores = 0.0
            self.offered_memory = 0.0

    def add_task(self, request: RequestRecord, now: int, retention_us: int) -> None:
        """Record an own task as running; keeps a history of the last `retention_us`."""
        self._remember_running(now, retention_us)
        self.running_cores += request.cores
        self.running_memory += request.memory

    def remove_task(self, request: RequestRecord, now: int, retention_us: int) -> None:
        """Record an own task as ended."""
        self._remember_running(now, retention_us)
        self.running_cores -= request.cores
        self.running_memory -= request.memory

    def _remember_running(self, now: int, retention_us: int) -> None:
        history = self.running_history
        history.append((now, self.running_cores, self.running_memory))
        while history[0][0] < now - retention_us:
            history.popleft()


class RequestRecord:
    """State of one request: its requirements, its attempts and its current draw."""

    __slots__ = (
        "allowed_machines",
        "answered",
        "attempts",
        "awaited_probes",
        "backoffs",
        "class_index",
        "cores",
        "deadline",
        "declines",
        "drawn",
        "drawn_tier",
        "failed_machines",
        "generation",
        "homes",
        "id",
        "memory",
        "open_attempt",
        "placed_attempt",
        "redrawn",
        "request_class",
        "service",
        "uncertain_attempt",
    )

    def __init__(
        self,
        event: RequestArrived | TaskAdopted,
        request_class: RequestClass,
        deadline: int,
        allowed_machines: Container[int] | None = None,
    ) -> None:
        """Create a request without attempts; `allowed_machines` of None allows all machines."""
        self.id = event.request
        self.service = event.service
        self.class_index = event.class_index
        self.cores = event.cores
        self.memory = event.memory
        self.request_class = request_class
        self.deadline = deadline
        self.allowed_machines = allowed_machines
        self.attempts: list[Attempt] = []
        self.open_attempt: int | None = None  # number of the attempt without an outcome
        self.placed_attempt: int | None = None  # number of the attempt whose task is running
        self.uncertain_attempt: Attempt | None = None  # the first attempt that may have run
        self.declines = 0  # rejections for lack of capacity
        self.failed_machines: list[MachineRecord] = []  # machines that answered with an error
        self.answered = False
        self.backoffs = 0
        self.generation = 0  # timers of an older generation are ignored
        self.homes: list[MachineRecord] = []  # eligible homes of the service
        self.drawn: list[int] = []
        self.drawn_tier = 0  # highest tier among the drawn machines, at the time of the draw
        self.redrawn = False  # a second draw was made because probes raised the tier
        self.awaited_probes: set[int] = set()  # drawn machines with an outstanding probe


class Placements:
    """Counts own attempts and running tasks by service and machine.

    A count of 0 means that the service's program should still be cached on the machine.
    """

    def __init__(self) -> None:
        """Start without placements."""
        self._counts: dict[int, dict[MachineRecord, int]] = {}

    def of(self, service: int) -> dict[MachineRecord, int]:
        """Return the machines that should have the service's program, with their counts."""
        return self._counts.get(service, NO_PLACEMENTS)

    def add(self, service: int, machine: MachineRecord) -> None:
        """Add one attempt or task."""
        counts = self._counts.setdefault(service, {})
        counts[machine] = counts.get(machine, 0) + 1
        machine.in_flight += 1

    def end(self, service: int, machine: MachineRecord, ran: bool) -> None:
        """Remove one attempt or task; `ran` means that the program is now cached on the machine."""
        machine.in_flight -= 1
        self._counts[service][machine] -= 1
        if not self._counts[service][machine]:
            if ran:
                machine.cached_programs.pop(service, None)
                machine.cached_programs[service] = None
            elif service not in machine.cached_programs:
                self._drop(service, machine)
            if len(machine.cached_programs) > MAX_CACHED_PROGRAMS:
                self._drop(next(iter(machine.cached_programs)), machine)

    def forget(self, machine: MachineRecord) -> None:
        """Drop the cached programs of a machine that was removed or has restarted."""
        for service in list(machine.cached_programs):
            self._drop(service, machine)

    def _drop(self, service: int, machine: MachineRecord) -> None:
        machine.cached_programs.pop(service, None)
        if self._counts[service].get(machine) == 0:
            del self._counts[service][machine]
            if not self._counts[service]:
                del self._counts[service]


NO_PLACEMENTS: dict[MachineRecord, int] = {}  # shared, never modified


class UsageEstimate:
    """Share of requested cores and memory that tasks use, as a decaying average of usage notes."""

    def __init__(self) -> None:
        """Start with the default share."""
        self.cores_share = DEFAULT_USAGE_SHARE
        self.memory_share = DEFAULT_USAGE_SHARE
        self._used = {Topic.CORES_USED: DEFAULT_USAGE_SHARE, Topic.MEMORY_USED: DEFAULT_USAGE_SHARE}
        self._requested = {Topic.CORES_USED: 1.0, Topic.MEMORY_USED: 1.0}

    def observe(self, topic: int, used: float, request: RequestRecord) -> None:
        """Add a usage note of a request's task; other topics are ignored."""
        if topic == Topic.CORES_USED:
            self.cores_share = self._observe(Topic.CORES_USED, used, request.cores)
        elif topic == Topic.MEMORY_USED:
            self.memory_share = self._observe(Topic.MEMORY_USED, used, request.memory)

    def _observe(self, topic: Topic, used: float, requested: float) -> float:
        self._used[topic] = self._used[topic] * USAGE_DECAY + used
        self._requested[topic] = self._requested[topic] * USAGE_DECAY + requested
        return self._used[topic] / self._requested[topic]


class ClusterState:
    """All machine and request records of one policy."""

    def __init__(self) -> None:
        """Start without records."""
        self.machines: dict[int, MachineRecord] = {}
        self.requests: dict[int, RequestRecord] = {}
        self.placements = Placements()
        self.usage = UsageEstimate()
        self.list_version = 0  # incremented when a machine is added or removed

    def add_machine(self, entry: Machine, offer_times_kept: int) -> MachineRecord:
        """Create the record of a new machine."""
        self.list_version += 1
        machine = MachineRecord(entry, offer_times_kept)
        self.machines[entry.id] = machine
        return machine

    def remove_machine(self, machine: MachineRecord) -> None:
        """Delete the record of a machine without own offers or tasks."""
        self.placements.forget(machine)
        del self.machines[machine.entry.id]
        self.list_version += 1

    def forget_request(self, request: RequestRecord) -> None:
        """Mark a request as answered, and delete it if it has no open attempt and no running task."""
        request.answered = True
        if request.open_attempt is None and request.placed_attempt is None:
            self.requests.pop(request.id, None)
