"""Admission control in front of the policy: which submissions are admitted, queued or rejected. No I/O.

Below an adaptive limit on unanswered submissions, each submission is admitted at once. Above the limit,
submissions wait in a bounded queue: weighted fair queueing between tenants, earliest deadline first within a
tenant. A submission that cannot be answered by its deadline is rejected immediately, with the time after
which capacity is expected.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

MIN_ADMITTED = 24
MAX_ADMITTED = 256
LAG_HIGH_US = 60_000  # event-loop lag above which the admission limit falls
LAG_LOW_US = 20_000  # event-loop lag below which the admission limit rises
RATE_STEADY_US = 1_000_000
MAX_COUNTED_LAG_US = 250_000  # a longer lag counts as this much, since the next turn of the loop is shorter
SMOOTHING_FACTOR = 0.05
EXPECTED_TIME_FACTOR = 1.25  # safety factor on the estimated time until an answer
RETRIES_PER_FIRST_ATTEMPT = 0.5  # limits the retries of each tenant while there is a queue
MAX_RETRY_CREDIT = 50.0
MIN_RETRY_AFTER_US = 200_000.0
MAX_RETRY_AFTER_US = 30_000_000.0


class Verdict(Enum):
    """The result of a request for admission."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REJECTED = "rejected"


@dataclass(slots=True, eq=False)
class Ticket:
    """The request of one submission for admission. Times are in Unix microseconds."""

    tenant: int
    deadline: int
    arrived: int
    is_retry: bool = False
    admitted_at: int = 0
    removed: bool = False  # the ticket left the queue without being admitted


@dataclass(slots=True, frozen=True)
class Decision:
    """The verdict on one ticket and its consequences."""

    verdict: Verdict
    retry_after_us: int = 0  # set only for a rejection
    displaced: Ticket | None = None  # the ticket that was removed from the full queue for this one


_ADMITTED = Decision(Verdict.ADMITTED)


@dataclass(slots=True)
class _TenantQueue:
    """The waiting tickets of one tenant."""

    weight: float
    virtual_start: float = 0.0  # virtual start time of the tenant's next ticket
    heap: list[tuple[int, int, Ticket]] = field(default_factory=list)  # ordered by deadline, then arrival
    waiting: int = 0
    retry_credit: float = MAX_RETRY_CREDIT


class AnswerStatistics:
    """The rate and the latency of answers, smoothed exponentially."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.answer_time_us = 0.0  # time from admission to the answer
        self.answers_per_s = 0.0
        self._last_answer = 0

    def record_answer(self, ticket: Ticket, now: int) -> None:
        """Count the answer to an admitted ticket."""
        took = max(0, now - ticket.admitted_at)
        if self.answer_time_us:
            self.answer_time_us += SMOOTHING_FACTOR * (took - self.answer_time_us)
        else:
            self.answer_time_us += took
        if self._last_answer:
            gap = max(1, now - self._last_answer) / 1e6
            share = min(1.0, gap)  # averages the rate over about the last second
            if self.answers_per_s:
                self.answers_per_s = self.answers_per_s * (1 - share) + share / gap
            else:
                self.answers_per_s = 1 / max(gap, 0.001)
        self._last_answer = now

    def wait_us(self, ahead: int) -> float:
        """Return the time in which `ahead` tickets are admitted; 0 if the rate is not known yet."""
        return ahead / self.answers_per_s * 1e6 if self.answers_per_s > 0 else 0.0


class AdmissionQueue:
    """The queue in which submissions wait for the policy."""

    def __init__(self, weights: Mapping[int, float], max_waiting: int) -> None:
        """Create an empty queue. `weights`: priority weight by tenant index, each above 0."""
        self._queues = {tenant: _TenantQueue(weight) for tenant, weight in weights.items()}
        self._max_waiting = max_waiting
        self._virtual_time = 0.0
        self._serial = 0
        self.admitted = 0  # tickets that are admitted and not answered yet
        self.waiting = 0
        self.limit = float(MAX_ADMITTED)
        self.answer_stats = AnswerStatistics()
        self._lag_us = 0.0
        self._steady_since = 0

    def request_admission(self, ticket: Ticket, now: int) -> Decision:
        """Decide on a ticket that has just arrived."""
        queue = self._queue_of(ticket.tenant)
        if not ticket.is_retry:
            queue.retry_credit = min(MAX_RETRY_CREDIT, queue.retry_credit + RETRIES_PER_FIRST_ATTEMPT)
        if self.admitted < self.limit and not self.waiting:
            self._admit(ticket, now)
            return _ADMITTED
        if ticket.is_retry:
            # Protects first attempts from a storm of retries: retries are limited to a fraction of them.
            if queue.retry_credit < 1:
                return self._reject()
            queue.retry_credit -= 1
        if not self.waiting:
            self._steady_since = now
        wait_us = self.answer_stats.wait_us(self._ahead(queue)) if self._is_rate_steady(now) else 0.0
        if now + (wait_us + self.answer_stats.answer_time_us) * EXPECTED_TIME_FACTOR > ticket.deadline:
            return self._reject()
        displaced = None
        if self.waiting >= self._max_waiting:
            displaced = self._last_of_largest_queue()
            if displaced is None or (
                displaced.tenant == ticket.tenant and displaced.deadline <= ticket.deadline
            ):
                return self._reject()
            self.withdraw(displaced)
        self._enqueue(queue, ticket)
        return Decision(Verdict.QUEUED, displaced=displaced)

    def admit_next(self, now: int) -> tuple[list[Ticket], list[Ticket]]:
        """Return the tickets admitted now and those removed because their answer would be too late."""
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
            if now + self.answer_stats.answer_time_us > ticket.deadline:
                ticket.removed = True
                late.append(ticket)
                continue
            self._virtual_time = max(self._virtual_time, queue.virtual_start)
            queue.virtual_start += 1 / queue.weight
            self._admit(ticket, now)
            admitted.append(ticket)
        return admitted, late

    def remove_late(self, now: int) -> list[Ticket]:
        """Remove and return waiting tickets that, at the current rate, will not be answered in time.

        This rejects them early instead of thousands at once at their deadline. Until the rate is known, only
        tickets that are about to reach their deadline are removed.
        """
        if self._lag_us > LAG_HIGH_US:
            self._steady_since = now
        if not self.waiting:
            return []
        steady = self._is_rate_steady(now)
        late: list[Ticket] = []
        active = sum(queue.weight for queue in self._queues.values() if queue.waiting)
        for queue in self._queues.values():
            ahead = 0
            remaining = []
            for entry in sorted(queue.heap):
                ticket = entry[2]
                if ticket.removed:
                    continue
                wait_us = min(self._lag_us, MAX_COUNTED_LAG_US)
                if steady:
                    wait_us = self.answer_stats.wait_us(int(ahead * active / queue.weight))
                wait_us += self.answer_stats.answer_time_us
                if now + wait_us * EXPECTED_TIME_FACTOR > ticket.deadline:
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
        """Remove a waiting ticket that was displaced or given up."""
        if not ticket.removed and not ticket.admitted_at:
            ticket.removed = True
            self._queue_of(ticket.tenant).waiting -= 1
            self.waiting -= 1

    def complete(self, ticket: Ticket, now: int) -> None:
        """Record that an admitted ticket has its answer."""
        self.admitted -= 1
        self.answer_stats.record_answer(ticket, now)

    def update_limit(self, lag_us: float) -> None:
        """Lower the limit if the event loop lags, raise it if it does not. Called several times a second."""
        self._lag_us = lag_us
        if lag_us > LAG_HIGH_US:
            self.limit = max(MIN_ADMITTED, min(self.limit, self.admitted + 1) * 0.85)
        elif lag_us < LAG_LOW_US:
            self.limit = min(MAX_ADMITTED, self.limit + 4)

    def retry_after_us(self) -> int:
        """Return the estimated time until all tickets that wait now are admitted."""
        wait_us = min(self.answer_stats.wait_us(self.waiting + 1), MAX_RETRY_AFTER_US)
        return int(max(MIN_RETRY_AFTER_US, wait_us))

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

    def _is_rate_steady(self, now: int) -> bool:
        """Return whether there has been a queue, and no event-loop lag, for `RATE_STEADY_US`.

        While a burst of submissions is being read, nothing else is processed, so the answer rate measured
        then is far too low to reject submissions by.
        """
        return self.answer_stats.answers_per_s > 0 and now - self._steady_since >= RATE_STEADY_US

    def _ahead(self, queue: _TenantQueue) -> int:
        """Estimate how many tickets of all tenants are admitted before a new last ticket of this queue."""
        active = sum(other.weight for other in self._queues.values() if other.waiting or other is queue)
        own = queue.waiting + 1
        return min(self.waiting + 1, int(own * active / queue.weight) + 1)

    def _last_of_largest_queue(self) -> Ticket | None:
        """Return the ticket with the latest deadline of the tenant with the most tickets for its weight."""
        queue = max(
            (queue for queue in self._queues.values() if queue.waiting),
            key=lambda queue: queue.waiting / queue.weight,
            default=None,
        )
        if queue is None:
            return None
        return max((entry for entry in queue.heap if not entry[2].removed), key=lambda entry: entry[:2])[2]
