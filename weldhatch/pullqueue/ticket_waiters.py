"""Submissions that wait for admission: the event loop around an `AdmissionQueue`, which has no I/O."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from weldhatch.core.policy_driver import unix_us
from weldhatch.net.loop_lag import LoopLag
from weldhatch.pullqueue.admission import AdmissionQueue, Ticket, Verdict

LAG_CHECK_INTERVAL_S = 0.1  # interval of measuring the event loop's lag


class TicketWaiters:
    """Calls the owners of tickets once they are admitted or rejected.

    The lag of the event loop is the measure of this process's load: it sets the admission limit.
    """

    def __init__(self, queue: AdmissionQueue, log: Callable[[str], None]) -> None:
        """Decide by this queue. Needs an event loop, whose lag is measured until `close`."""
        self._queue = queue
        self._log = log
        self._waiting: dict[Ticket, asyncio.Future[bool]] = {}
        self._loop_lag = LoopLag(time.monotonic)
        self._lag_task = asyncio.get_running_loop().create_task(self._watch_lag())

    def close(self) -> None:
        """Stop measuring the event loop's lag."""
        self._lag_task.cancel()

    def __len__(self) -> int:
        """Return the number of tickets that wait."""
        return len(self._waiting)

    @property
    def input_age_us(self) -> int:
        """How long ago input that is read now may have been received, in microseconds."""
        return int(self._loop_lag.age() * 1e6)

    def request(
        self, ticket: Ticket, on_admitted: Callable[[], None], on_rejected: Callable[[float], None]
    ) -> None:
        """Request admission; one of the callbacks is called, now or later, unless the ticket is withdrawn.

        `on_rejected` receives the delay in microseconds after which its owner may retry.
        """
        decision = self._queue.request_admission(ticket, unix_us())
        if decision.displaced is not None:
            self._resolve([decision.displaced], admitted=False)
        if decision.verdict is Verdict.ADMITTED:
            on_admitted()
        elif decision.verdict is Verdict.REJECTED:
            on_rejected(decision.retry_after_us)
        else:
            waiting = self._waiting[ticket] = asyncio.get_running_loop().create_future()
            waiting.add_done_callback(
                lambda outcome: on_admitted()
                if outcome.result()
                else on_rejected(self._queue.retry_after_us())
            )

    def withdraw(self, ticket: Ticket) -> None:
        """Withdraw a ticket whose owner has given up."""
        self._queue.withdraw(ticket)
        self._waiting.pop(ticket, None)

    def complete(self, ticket: Ticket) -> None:
        """Free the place of an admitted ticket, and admit those that wait for it."""
        self._queue.complete(ticket, unix_us())
        self._admit_waiting()

    async def _watch_lag(self) -> None:
        """Adapt the admission limit to the event loop's lag, and reject tickets that are late."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            try:
                self._queue.update_limit(max(0.0, time.monotonic() - before - LAG_CHECK_INTERVAL_S) * 1e6)
                self._resolve(self._queue.remove_late(unix_us()), admitted=False)
                self._admit_waiting()
            except Exception as fault:
                # An internal error in one iteration must not stop the admission of waiting submissions.
                self._log(f"admission queue: internal error: {type(fault).__name__}: {fault}")

    def _admit_waiting(self) -> None:
        if self._queue.waiting:
            admitted, late = self._queue.admit_next(unix_us())
            self._resolve(admitted, admitted=True)
            self._resolve(late, admitted=False)

    def _resolve(self, tickets: list[Ticket], admitted: bool) -> None:
        for ticket in tickets:
            waiting = self._waiting.pop(ticket, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(admitted)
