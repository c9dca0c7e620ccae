"""Account for one dispatcher's own work: tasks by machine, arrivals by class, what starts came to. Pure.

It follows the events that the policy gets, so it needs nothing of either front.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from weldhatch.scheduling.events import RequestArrived, TaskAdopted

RATE_WINDOW_S = 4.0  # new work is counted over so long
MAX_PENDING = 20_000  # requests remembered until they are placed; the oldest go first


@dataclass(slots=True)
class PendingRequest:
    """A request that is not placed."""

    class_index: int
    cores: float
    key: int


@dataclass(slots=True)
class RunningTask:
    """A task on a machine, in this dispatcher's care."""

    class_index: int
    cores: float
    key: int
    machine: int


@dataclass(slots=True)
class StartCounts:
    """Starts at one place since the dispatcher began: offers sent, those taken, and what went wrong."""

    sent: int = 0
    succeeded: int = 0
    failed: int = 0


class LoadAccounting:
    """Requests and tasks of one dispatcher, from the events that its policy gets."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self._pending: dict[int, PendingRequest] = {}
        self._arrivals: dict[tuple[int, int], deque[tuple[float, float]]] = {}  # by class and tenant
        self._sums: dict[tuple[int, int], float] = {}
        self.running: dict[int, RunningTask] = {}  # by request
        self.requests_on: dict[int, set[int]] = {}  # by machine
        self.cores_on: dict[int, float] = {}  # by machine, of our tasks
        self.starts: dict[str, StartCounts] = {}  # by place

    def request_arrived(self, now: float, event: RequestArrived) -> None:
        """Note a request that was admitted."""
        self._pending[event.request] = PendingRequest(event.class_index, event.cores, event.key)
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self.work_requested(now, event.class_index, event.tenant, event.cores)

    def work_requested(self, now: float, class_index: int, tenant: int, cores: float) -> None:
        """Count new work, whether it was admitted or not."""
        key = class_index, tenant
        self._arrivals.setdefault(key, deque()).append((now, cores))
        self._sums[key] = self._sums.get(key, 0.0) + cores
        self._forget_old(now, key)

    def _forget_old(self, now: float, key: tuple[int, int]) -> None:
        arrivals = self._arrivals[key]
        while arrivals and now - arrivals[0][0] > RATE_WINDOW_S:
            self._sums[key] -= arrivals.popleft()[1]

    def work_rates(self, now: float) -> dict[tuple[int, int], float]:
        """Return the cores a second of new work, by class and tenant."""
        for key in self._arrivals:
            self._forget_old(now, key)
        return {key: max(0.0, cores) / RATE_WINDOW_S for key, cores in self._sums.items()}

    def task_adopted(self, event: TaskAdopted) -> None:
        """Note a task that runs already."""
        self._run(event.request, RunningTask(event.class_index, event.cores, event.key, event.machine))

    def task_placed(self, request: int, machine: int) -> None:
        """Note that a pending request runs."""
        pending = self._pending.pop(request, None)
        if pending is not None:
            self._run(request, RunningTask(pending.class_index, pending.cores, pending.key, machine))

    def _run(self, request: int, task: RunningTask) -> None:
        self.running[request] = task
        self.requests_on.setdefault(task.machine, set()).add(request)
        self.cores_on[task.machine] = self.cores_on.get(task.machine, 0.0) + task.cores

    def task_ended(self, request: int) -> RunningTask | None:
        """Forget the task of a request, and return it; None where none ran."""
        task = self.running.pop(request, None)
        if task is None:
            return None
        others = self.requests_on[task.machine]
        others.discard(request)
        self.cores_on[task.machine] -= task.cores
        if not others:
            del self.requests_on[task.machine]
            del self.cores_on[task.machine]
        return task

    def pending(self, request: int) -> PendingRequest | None:
        """Return a request that is under way and not placed."""
        return self._pending.get(request)

    def request_closed(self, request: int) -> None:
        """Forget a request that is over."""
        self._pending.pop(request, None)

    def starts_at(self, place: str) -> StartCounts:
        """Return the counts of a place, to be added to."""
        return self.starts.setdefault(place, StartCounts())
