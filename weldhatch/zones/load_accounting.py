"""Accounts for one dispatcher's work: tasks by machine, arrival rates by class, results of starts. Pure.

The input is the events that the policy receives, so the accounting is independent of the client protocol.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from weldhatch.scheduling.events import RequestArrived, TaskAdopted

RATE_WINDOW_S = 4.0  # sliding window of the arrival rates
MAX_PENDING = 20_000  # requests not yet placed; the oldest are evicted first


@dataclass(slots=True)
class PendingRequest:
    """A request that is not placed yet."""

    class_index: int
    cores: float
    key: int


@dataclass(slots=True)
class RunningTask:
    """A running task that this dispatcher manages."""

    class_index: int
    cores: float
    key: int
    machine: int


@dataclass(slots=True)
class StartCounts:
    """Starts at one place since the dispatcher began: offers sent, offers accepted, and failures."""

    sent: int = 0
    succeeded: int = 0
    failed: int = 0


class LoadAccounting:
    """Requests and tasks of one dispatcher."""

    def __init__(self) -> None:
        """Create an empty account."""
        self._pending: dict[int, PendingRequest] = {}
        self._arrivals: dict[
            tuple[int, int], deque[tuple[float, float]]
        ] = {}  # by class and tenant: (time, cores)
        self._sums: dict[tuple[int, int], float] = {}
        self.running: dict[int, RunningTask] = {}  # by request
        self.requests_on: dict[int, set[int]] = {}  # by machine
        self.cores_on: dict[int, float] = {}  # by machine
        self.starts: dict[str, StartCounts] = {}  # by place

    def request_arrived(self, now: float, event: RequestArrived) -> None:
        """Record an admitted request."""
        self._pending[event.request] = PendingRequest(event.class_index, event.cores, event.key)
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self.work_requested(now, event.class_index, event.tenant, event.cores)

    def work_requested(self, now: float, class_index: int, tenant: int, cores: float) -> None:
        """Count the cores of new work, admitted or rejected."""
        key = class_index, tenant
        self._arrivals.setdefault(key, deque()).append((now, cores))
        self._sums[key] = self._sums.get(key, 0.0) + cores
        self._forget_old(now, key)

    def _forget_old(self, now: float, key: tuple[int, int]) -> None:
        arrivals = self._arrivals[key]
        while arrivals and now - arrivals[0][0] > RATE_WINDOW_S:
            self._sums[key] -= arrivals.popleft()[1]

    def work_rates(self, now: float) -> dict[tuple[int, int], float]:
        """Return the arrival rate of new work in cores per second, by class and tenant."""
        for key in self._arrivals:
            self._forget_old(now, key)
        return {key: max(0.0, cores) / RATE_WINDOW_S for key, cores in self._sums.items()}

    def task_adopted(self, event: TaskAdopted) -> None:
        """Record a task that already runs when this dispatcher takes it over."""
        self._run(event.request, RunningTask(event.class_index, event.cores, event.key, event.machine))

    def task_placed(self, request: int, machine: int) -> None:
        """Record that a pending request was placed and runs."""
        pending = self._pending.pop(request, None)
        if pending is not None:
            self._run(request, RunningTask(pending.class_index, pending.cores, pending.key, machine))

    def _run(self, request: int, task: RunningTask) -> None:
        self.running[request] = task
        self.requests_on.setdefault(task.machine, set()).add(request)
        self.cores_on[task.machine] = self.cores_on.get(task.machine, 0.0) + task.cores

    def task_ended(self, request: int) -> RunningTask | None:
        """Remove and return the running task of a request; None if it has none."""
        task = self.running.pop(request, None)
        if task is None:
            return None
        remaining = self.requests_on[task.machine]
        remaining.discard(request)
        self.cores_on[task.machine] -= task.cores
        if not remaining:
            del self.requests_on[task.machine]
            del self.cores_on[task.machine]
        return task

    def pending(self, request: int) -> PendingRequest | None:
        """Return a request that is not placed yet, or None."""
        return self._pending.get(request)

    def request_closed(self, request: int) -> None:
        """Remove a closed request."""
        self._pending.pop(request, None)

    def starts_at(self, place: str) -> StartCounts:
        """Return the counts of a place, for the caller to increment."""
        return self.starts.setdefault(place, StartCounts())
