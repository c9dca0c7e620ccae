"""The second phase of a request: its task runs on a machine until the machine reports the end."""

from __future__ import annotations

import asyncio

from weldhatch.core.attempt import Attempt
from weldhatch.core.messages import (
    CAUSE_CANCELLED,
    CAUSE_FINISHED,
    Answered,
    DeadlinePassed,
    Ended,
    GivenUp,
    Noted,
    Released,
)
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_state import RequestState
from weldhatch.scheduling.actions import Migrate
from weldhatch.scheduling.events import TaskAdopted
from weldhatch.scheduling.types import NOTHING_RAN


def adopt(request: RequestState, machine: int) -> Attempt:
    """Adopt a task that already runs on a machine; return its attempt."""
    task = request.task
    request.driver.post(
        TaskAdopted(
            request.id,
            task.class_index,
            task.service,
            task.cores,
            task.memory,
            machine,
            task.key,
            task.tenant,
        )
    )
    request.site.adopt(machine, task, request)
    return Attempt(request, machine)


class RunningTask:
    """Follows a task to its end and reports the end to the owner, unless the owner caused it."""

    __slots__ = ("_attempt", "_deadline_timer", "_owner_informed", "_request")

    def __init__(self, request: RequestState, attempt: Attempt) -> None:
        """Follow the task of this attempt."""
        self._request = request
        self._attempt = attempt
        self._owner_informed = False  # the owner ended the task or was notified that it migrates
        self._deadline_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Handle messages until the machine reports the end of the task."""
        request = self._request
        if not request.answered:  # adopted before its final answer was given
            remaining_us = max(0, request.task.deadline_us - unix_us())
            self._deadline_timer = request.deliver_after(remaining_us, DeadlinePassed())
        over = False
        while not over:
            over = self._handle(await request.next_message())

    def _handle(self, message: object) -> bool:
        """Handle one message; return whether the task has ended."""
        number = self._attempt.number
        match message:
            case Answered(attempt, description) if attempt == number and not self._request.answered:
                self._mark_answered()
                self._request.owner.placed(description)
            case DeadlinePassed() if not self._request.answered:
                # The task may run although its owner was answered: it is cancelled, and its end awaited.
                self._mark_answered()
                self._request.owner.failed()
                self._release(CAUSE_CANCELLED)
            case Noted(attempt, topic, value) if attempt == number:
                self._attempt.note(topic, value)
            case GivenUp() if not self._owner_informed:
                # The owner gave up while the answer was on its way, and nothing else would end the task.
                self._release(CAUSE_FINISHED)
            case Released(cause) if not self._owner_informed:
                self._release(cause)
            case Migrate() if not self._owner_informed:
                self._owner_informed = True
                self._request.owner.moved()
                self._request.site.move(self._attempt.machine, self._request.task)
            case Ended(attempt) if attempt == number:
                self._end(message)
                return True
        return False

    def _release(self, cause: int) -> None:
        self._owner_informed = True
        self._request.site.release(self._attempt.machine, self._request.task, cause)

    def _end(self, ended: Ended) -> None:
        owner = self._request.owner
        self._attempt.end(ended.outcome, ended.reason, ended.report, closed=True)
        if not self._request.answered:
            self._mark_answered()
            if ended.outcome in NOTHING_RAN:
                owner.refused(0)
            else:
                owner.failed()
        elif not self._owner_informed and ended.cause != CAUSE_CANCELLED:
            owner.released(ended.cause or CAUSE_FINISHED)

    def _mark_answered(self) -> None:
        """Record the final answer of a request that was adopted without one."""
        self._request.answered = True
        self._request.core.unanswered -= 1
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
