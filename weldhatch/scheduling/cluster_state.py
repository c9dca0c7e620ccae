"""What this dispatcher knows of machines, requests and programs. Bookkeeping only, no decisions."""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from typing import NamedTuple

from weldhatch.scheduling.events import RequestArrived, TaskAdopted
from weldhatch.scheduling.types import Machine, RequestClass, Topic

NEVER = -(1 << 62)
CACHED_PROGRAMS = 4  # programs that a machine is thought to keep after our last task of theirs
OFFER_LIMIT = 12.0  # own open offers that a machine may have, until its refusals and starts teach better
USAGE_SHARE = 0.7  # the share of what tasks request that they use, until notes tell
USAGE_DECAY = 0.999  # what one further note leaves of the weight of those before


class OutlierPeriod(NamedTuple):
    """Until when a machine counts as an outlier, and how long that period is."""

    until_us: int
    length_us: int


NO_PERIOD = OutlierPeriod(0, 0)


class Attempt(NamedTuple):
    """One offer of a request: the machine's entry then, and when the offer left."""

    entry: Machine
    sent_at: int


class ReportedCapacity:
    """Free cores and memory as last reported, less what this dispatcher has placed and offered since."""

    __slots__ = ("_own_cores", "_own_memory", "reported_at", "reported_cores", "reported_memory")

    def __init__(self) -> None:
        """Start without any report."""
        self.reported_at = NEVER
        self.reported_cores = 0.0
        self.reported_memory = 0.0
        self._own_cores = 0.0  # requested by own tasks that the report has counted in
        self._own_memory = 0.0

    def update(self, now: int, lag_us: int, cores: float, memory: float, machine: MachineRecord) -> None:
        """Take a report that tells the state of about `lag_us` ago."""
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
        """Free cores and memory now, if own tasks take these shares of what they request."""
        return (
            self.reported_cores
            - (machine.running_cores - self._own_cores + machine.offered_cores) * cores_share,
            self.reported_memory
            - (machine.running_memory - self._own_memory + machine.offered_memory) * memory_share,
        )


class MachineRecord:
    """What this dispatcher knows of one machine: list entry, own offers and tasks, reports, health."""

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
        "probes_out",
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
        """Start with nothing known but the entry; sizes come with `Settings.kinds`."""
        self.entry = entry
        self.cores = 1.0
        self.memory = 1.0
        self.open_offers: dict[int, int] = {}  # own open offers: request and attempt
        self.offered_cores = 0.0  # requested by own open offers
        self.offered_memory = 0.0
        self.running_cores = 0.0  # requested by own tasks
        self.running_memory = 0.0
        self.running_history: deque[tuple[int, float, float]] = deque()  # until when they were how much
        self.in_flight = 0  # own attempts and running tasks there
        self.offer_times: deque[int] = deque(maxlen=offer_times_kept)  # of the last own offers
        self.probe_waiters: dict[int, None] = {}  # requests that wait for a probe of this machine
        self.restart()

    def restart(self) -> None:
        """Forget what a restart of the machine ends: reports, health and cached programs."""
        self.unreserved = ReportedCapacity()  # by what tasks request
        self.unused = ReportedCapacity()  # by what tasks use
        self.utilization = 0.0  # of its cores, as reported
        self.utilization_own_cores = 0.0  # requested by own tasks and offers at that time
        self.utilization_at = NEVER
        self.cached_programs: dict[int, None] = {}  # services whose program should be there, oldest first
        self.unstarted: set[int] = set()  # own requests placed there that are not known to run yet
        self.unresponsive = False
        self.probes_out = 0
        self.draining_until = 0  # by what it answered, not by the list
        self.offer_limit = OFFER_LIMIT
        self.degraded_until = 0  # reported service there counts as poor until then
        self.recheck_backoff_us = 0.0  # the last wait of an unresponsive machine
        self.recheck_at = 0.0  # it may be drawn again from then on
        self.outlier_periods: dict[int, OutlierPeriod] = {}  # by class
        self.faults = 0  # errors and broken answers since the last task was placed
        self.fault_at = NEVER
        self.declined_until = 0  # it declined a request for want of capacity: from which sizes on, until when
        self.declined_cores = 0.0
        self.declined_memory = 0.0

    def decline(self, until: int, cores: float, memory: float) -> None:
        """Note that requests of at least this size are declined there until then."""
        self.declined_until = until
        self.declined_cores = cores
        self.declined_memory = memory

    def keep_offer_times(self, count: int) -> None:
        """Remember the times of so many offers from now on."""
        self.offer_times = deque(self.offer_times, maxlen=count)

    def add_offer(self, request: RequestRecord, attempt: int, now: int) -> None:
        """Count an offer that leaves now."""
        self.offer_times.append(now)
        self.open_offers[request.id] = attempt
        self.offered_cores += request.cores
        self.offered_memory += request.memory

    def remove_offer(self, request: RequestRecord) -> None:
        """Count an offer as no longer open; raise KeyError if it was not."""
        del self.open_offers[request.id]
        if self.open_offers:
            self.offered_cores -= request.cores
            self.offered_memory -= request.memory
        else:  # no trace of rounding stays
            self.offered_cores = 0.0
            self.offered_memory = 0.0

    def add_task(self, request: RequestRecord, now: int, kept_us: int) -> None:
        """Count a task of ours; what ran up to `kept_us` ago is remembered."""
        self._remember_running(now, kept_us)
        self.running_cores += request.cores
        self.running_memory += request.memory

    def remove_task(self, request: RequestRecord, now: int, kept_us: int) -> None:
        """Count a task of ours as ended."""
        self._remember_running(now, kept_us)
        self.running_cores -= request.cores
        self.running_memory -= request.memory

    def _remember_running(self, now: int, kept_us: int) -> None:
        history = self.running_history
        history.append((now, self.running_cores, self.running_memory))
        while history[0][0] < now - kept_us:
            history.popleft()


class RequestRecord:
    """One request: what it asks for, the attempts made, and where on its path it stands."""

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
        """Start a request of no attempts yet; `allowed_machines` is None where all are."""
        self.id = event.request
        self.service = event.service
        self.class_index = event.class_index
        self.cores = event.cores
        self.memory = event.memory
        self.request_class = request_class
        self.deadline = deadline
        self.allowed_machines = allowed_machines
        self.attempts: list[Attempt] = []
        self.open_attempt: int | None = None  # the one that is out
        self.placed_attempt: int | None = None  # the one that holds the task
        self.uncertain_attempt: Attempt | None = None  # the first one that may have run
        self.declines = 0  # for want of capacity
        self.failed_machines: list[MachineRecord] = []  # those that answered with an error
        self.answered = False
        self.backoffs = 0
        self.generation = 0  # a timer of an older one is void
        self.homes: list[MachineRecord] = []  # the first of the service's homes that are eligible
        self.drawn: list[int] = []
        self.drawn_tier = 0  # the worst that was drawn, as known then
        self.redrawn = False  # drawn again once because probes told worse
        self.awaited_probes: set[int] = set()  # drawn machines whose probe is not back


class Placements:
    """Own attempts and running tasks by service and machine; at a count of 0 the program should be cached."""

    def __init__(self) -> None:
        """Start with none."""
        self._counts: dict[int, dict[MachineRecord, int]] = {}

    def of(self, service: int) -> dict[MachineRecord, int]:
        """The machines that should have the service's program, with the count of attempts and tasks."""
        return self._counts.get(service, NO_PLACEMENTS)

    def add(self, service: int, machine: MachineRecord) -> None:
        """Count an attempt or a task."""
        counts = self._counts.setdefault(service, {})
        counts[machine] = counts.get(machine, 0) + 1
        machine.in_flight += 1

    def end(self, service: int, machine: MachineRecord, ran: bool) -> None:
        """Count it as ended; where it ran, the program stays cached for a while."""
        machine.in_flight -= 1
        self._counts[service][machine] -= 1
        if not self._counts[service][machine]:
            if ran:
                machine.cached_programs.pop(service, None)
                machine.cached_programs[service] = None
            elif service not in machine.cached_programs:
                self._drop(service, machine)
            if len(machine.cached_programs) > CACHED_PROGRAMS:
                self._drop(next(iter(machine.cached_programs)), machine)

    def forget(self, machine: MachineRecord) -> None:
        """The machine is removed or has restarted: it has no cached program."""
        for service in list(machine.cached_programs):
            self._drop(service, machine)

    def _drop(self, service: int, machine: MachineRecord) -> None:
        machine.cached_programs.pop(service, None)
        if self._counts[service].get(machine) == 0:
            del self._counts[service][machine]
            if not self._counts[service]:
                del self._counts[service]


NO_PLACEMENTS: dict[MachineRecord, int] = {}  # never written to


class UsageEstimate:
    """What share of the requested cores and memory tasks use, as a decaying average of notes."""

    def __init__(self) -> None:
        """Start with the share that is assumed until notes come."""
        self.cores_share = USAGE_SHARE
        self.memory_share = USAGE_SHARE
        self._used = {Topic.CORES_USED: USAGE_SHARE, Topic.MEMORY_USED: USAGE_SHARE}
        self._requested = {Topic.CORES_USED: 1.0, Topic.MEMORY_USED: 1.0}

    def observe(self, topic: int, used: float, request: RequestRecord) -> None:
        """Count a note on what the task of a request uses; notes of other topics are ignored."""
        if topic == Topic.CORES_USED:
            self.cores_share = self._observe(Topic.CORES_USED, used, request.cores)
        elif topic == Topic.MEMORY_USED:
            self.memory_share = self._observe(Topic.MEMORY_USED, used, request.memory)

    def _observe(self, topic: Topic, used: float, requested: float) -> float:
        self._used[topic] = self._used[topic] * USAGE_DECAY + used
        self._requested[topic] = self._requested[topic] * USAGE_DECAY + requested
        return self._used[topic] / self._requested[topic]


class ClusterState:
    """All records of one policy."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.machines: dict[int, MachineRecord] = {}
        self.requests: dict[int, RequestRecord] = {}
        self.placements = Placements()
        self.usage = UsageEstimate()
        self.list_version = 0  # rises with every machine that comes or goes

    def add_machine(self, entry: Machine, offer_times_kept: int) -> MachineRecord:
        """Start the record of a machine that is not known yet."""
        self.list_version += 1
        machine = MachineRecord(entry, offer_times_kept)
        self.machines[entry.id] = machine
        return machine

    def remove_machine(self, machine: MachineRecord) -> None:
        """Forget a machine that holds nothing of ours."""
        self.placements.forget(machine)
        del self.machines[machine.entry.id]
        self.list_version += 1

    def forget_request(self, request: RequestRecord) -> None:
        """Mark a request as answered, and forget it once nothing of it is out."""
        request.answered = True
        if request.open_attempt is None and request.placed_attempt is None:
            self.requests.pop(request.id, None)
