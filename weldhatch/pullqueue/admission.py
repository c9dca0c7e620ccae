"""Admission of submissions to the policy: who is admitted, in which order, who is rejected. No I/O.

Under no load everybody is admitted at once. Beyond an adaptive limit, submissions wait in a bounded queue:
tenants by weighted fair queueing, and within a tenant by deadline. One whose answer could not come in time is
rejected without delay, with the time after which there should be capacity.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

LEAST_ADMITTED = 24
MOST_ADMITTED = 256
LAG_HIGH_US = 60_000  # lag of the event loop above which the limit falls
LAG_LOW_US = 20_000  # and below which it rises
STEADY_US = 1_000_000
LAG_COUNTED_US = 250_000  # of a long lag: the next turn of the loop is shorter
SMOOTHING = 0.05
RESERVE = 1.25  # an answer is expected to take so many times what the last ones took
RETRY_SHARE = 0.5  # retries a tenant may have for each first attempt, while there is a queue
RETRY_BURST = 50.0
LEAST_RETRY_AFTER_US = 200_000.0
MOST_RETRY_AFTER_US = 30_000_000.0


class Verdict(Enum):
    """What becomes of a submission that arrives."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REJECTED = "rejected"


@dataclass(slots=True, eq=False)
class Ticket:
    """One submission that asks for admission. Times in Unix microseconds."""

    tenant: int
    deadline: int
    arrived: int
    is_retry: bool = False
    admitted_at: int = 0
    removed: bool = False  # it has left the queue without having been admitted


@dataclass(slots=True, frozen=True)
class Decision:
    """The verdict on one ticket, and what follows from it."""

    verdict: Verdict
    retry_after_us: int = 0  # of a rejection
    displaced: Ticket | None = None  # who lost its place in the full queue to this one


_ADMITTED = Decision(Verdict.ADMITTED)


@dataclass(slots=True)
class _TenantQueue:
    """What one tenant has waiting."""

    weight: float
    virtual_start: float = 0.0  # of its next ticket
    heap: list[tuple[int, int, Ticket]] = field(default_factory=list)  # by deadline, then arrival
    waiting: int = 0
    retries: float = RETRY_BURST


class AnswerPace:
    """How fast answers come, smoothed exponentially."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self.answer_time_us = 0.0  # from admission to the answer
        self.answers_per_s = 0.0
        self._last_answer = 0

    def record_answer(self, ticket: Ticket, now: int) -> None:
        """Count the answer to an admitted ticket."""
        took = max(0, now - ticket.admitted_at)
        if self.answer_time_us:
            self.answer_time_us += SMOOTHING * (took - self.answer_time_us)
        else:
            self.answer_time_us += took
        if self._last_answer:
            gap = max(1, now - self._last_answer) / 1e6
            share = min(1.0, gap)  # the rate over about the last second
            if self.answers_per_s:
                self.answers_per_s = self.answers_per_s * (1 - share) + share / gap
            else:
                self.answers_per_s = 1 / max(gap, 0.001)
        self._last_answer = now

    def wait_us(self, ahead: int) -> float:
        """Return how long it takes until so many ahead are admitted; 0 where the pace is not known."""
        return ahead / self.answers_per_s * 1e6 if self.answers_per_s > 0 else 0.0


class AdmissionQueue:
    """The one place where submissions wait before the policy."""

    def __init__(self, weights: Mapping[int, float], most_waiting: int) -> None:
        """Admit tenants by these weights, by tenant index and all above 0."""
        self._queues = {tenant: _TenantQueue(weight) for tenant, weight in weights.items()}
        self._most_waiting = most_waiting
        self._virtual_time = 0.0
        self._serial = 0
        self.admitted = 0  # and not answered yet
        self.waiting = 0
        self.limit = float(MOST_ADMITTED)
        self.pace = AnswerPace()
        self._lag_us = 0.0
        self._steady_since = 0

    def request_admission(self, ticket: Ticket, now: int) -> Decision:
        """Decide on a ticket that arrives."""
        queue = self._queue_of(ticket.tenant)
        if not ticket.is_retry:
            queue.retries = min(RETRY_BURST, queue.retries + RETRY_SHARE)
        if self.admitted < self.limit and not self.waiting:
            self._admit(ticket, now)
            return _ADMITTED
        if ticket.is_retry:
            # Guards first attempts against a storm of retries: a tenant's retries are a share of its firsts.
            if queue.retries < 1:
                return self._reject()
            queue.retries -= 1
        if not self.waiting:
            self._steady_since = now
        wait_us = self.pace.wait_us(self._ahead(queue)) if self._is_pace_steady(now) else 0.0
        if now + (wait_us + self.pace.answer_time_us) * RESERVE > ticket.deadline:
            return self._reject()
        displaced = None
        if self.waiting >= self._most_waiting:
            displaced = self._last_of_greediest()
            if displaced is None or (
                displaced.tenant == ticket.tenant and displaced.deadline <= ticket.deadline
            ):
                return self._reject()
            self.withdraw(displaced)
        self._enqueue(queue, ticket)
        return Decision(Verdict.QUEUED, displaced=displaced)

    def admit_next(self, now: int) -> tuple[list[Ticket], list[Ticket]]:
        """Return who is admitted now, and who is removed since its answer would come too late."""
        admitted: list[Ticket] = []
        late: list[Ticket] = []
        while self.waiting and self.admitted < self.limit:
            queue = min(
                (queue for queue in self._queues.values() if queue.waiting),
                key=lambda queue: queue.virtual_start,
            )
            ticket = heapq.heappop(queue.heap)[2]
            if ticket.removed:
                continue
            queue.waiting -= 1
            self.waiting -= 1
            if now + self.pace.answer_time_us > ticket.deadline:
                ticket.removed = True
                late.append(ticket)
                continue
            self._virtual_time = max(self._virtual_time, queue.virtual_start)
            queue.virtual_start += 1 / queue.weight
            self._admit(ticket, now)
            admitted.append(ticket)
        return admitted, late

    def remove_late(self, now: int) -> list[Ticket]:
        """Remove and return those who wait and, by the present pace, will not be answered in time.

        Guards against telling thousands at their deadline what is plain long before. Until the pace is known,
        only those whose time is as good as up are removed.
        """
        if self._lag_us > LAG_HIGH_US:
            self._steady_since = now
        if not self.waiting:
            return []
        steady = self._is_pace_steady(now)
        late: list[Ticket] = []
        active = sum(queue.weight for queue in self._queues.values() if queue.waiting)
        for queue in self._queues.values():
            ahead = 0
            remaining = []
            for entry in sorted(queue.heap):
                ticket = entry[2]
                if ticket.removed:
                    continue
                wait_us = min(self._lag_us, LAG_COUNTED_US)
                if steady:
                    wait_us = self.pace.wait_us(int(ahead * active / queue.weight))
                wait_us += self.pace.answer_time_us
                if now + wait_us * RESERVE > ticket.deadline:
                    ticket.removed = True
                    late.append(ticket)
                else:
                    ahead += 1
                    remaining.append(entry)
            queue.heap = remaining
            queue.waiting = len(remaining)
        self.waiting -= len(late)
        return late

    def withdraw(self, ticket: Ticket) -> None:
        """Remove one that waits: displaced, or given up."""
        if not ticket.removed and not ticket.admitted_at:
            ticket.removed = True
            self._queue_of(ticket.tenant).waiting -= 1
            self.waiting -= 1

    def complete(self, ticket: Ticket, now: int) -> None:
        """Note that one that was admitted has its answer."""
        self.admitted -= 1
        self.pace.record_answer(ticket, now)

    def update_limit(self, lag_us: float) -> None:
        """Lower the limit while the event loop lags, else raise it; called a few times a second."""
        self._lag_us = lag_us
        if lag_us > LAG_HIGH_US:
            self.limit = max(LEAST_ADMITTED, min(self.limit, self.admitted + 1) * 0.85)
        elif lag_us < LAG_LOW_US:
            self.limit = min(MOST_ADMITTED, self.limit + 4)

    def retry_after_us(self) -> int:
        """Return when there should be capacity again: what waits now has been admitted."""
        wait_us = min(self.pace.wait_us(self.waiting + 1), MOST_RETRY_AFTER_US)
        return int(max(LEAST_RETRY_AFTER_US, wait_us))

    def _queue_of(self, tenant: int) -> _TenantQueue:
        return self._queues.setdefault(tenant, _TenantQueue(1.0))

    def _reject(self) -> Decision:
        return Decision(Verdict.REJECTED, self.retry_after_us())

    def _admit(self, ticket: Ticket, now: int) -> None:
        self.admitted += 1
        ticket.admitted_at = now

    def _enqueue(self, queue: _TenantQueue, ticket: Ticket) -> None:
        self._serial += 1
        if not queue.waiting:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
        heapq.heappush(queue.heap, (ticket.deadline, self._serial, ticket))
        queue.waiting += 1
        self.waiting += 1

    def _is_pace_steady(self, now: int) -> bool:
        """Tell whether there has been a queue for a while, and a loop that did not lag.

        Guards against turning a crowd away by the pace of the moment in which it is read: nothing else is
        done then, and what follows is much faster.
        """
        return self.pace.answers_per_s > 0 and now - self._steady_since >= STEADY_US

    def _ahead(self, queue: _TenantQueue) -> int:
        """Estimate how many are admitted before the last of a queue: its own, and the others' by weight."""
        active = sum(other.weight for other in self._queues.values() if other.waiting or other is queue)
        own = queue.waiting + 1
        return min(self.waiting + 1, int(own * active / queue.weight) + 1)

    def _last_of_greediest(self) -> Ticket | None:
        """Return the last by deadline of the tenant that has most waiting for its weight."""
        queue = max(
            (queue for queue in self._queues.values() if queue.waiting),
            key=lambda queue: queue.waiting / queue.weight,
            default=None,
        )
        if queue is None:
            return None
        return max((entry for entry in queue.heap if not entry[2].removed), key=lambda entry: entry[:2])[2]
