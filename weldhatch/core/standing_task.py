"""The second phase of a request: its task stands at a machine, until the machine tells of its end."""

from __future__ import annotations

import asyncio

from weldhatch.core.attempt import Attempt
from weldhatch.core.messages import CALLED_OFF, GIVEN_UP, Answered, Ended, GivenUp, Noted, Overdue, Released
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_state import RequestState
from weldhatch.scheduling.actions import Migrate
from weldhatch.scheduling.events import TaskAdopted
from weldhatch.scheduling.types import Outcome


def adopt(request: RequestState, machine: int) -> Attempt:
    """Take a task over that runs on a machine already; its attempt."""
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


class StandingTask:
    """Follows a task to its end, which goes to the owner unless the owner brought it about."""

    __slots__ = ("_attempt", "_overdue", "_owner_knows", "_request")

    def __init__(self, request: RequestState, attempt: Attempt) -> None:
        """Follow the task that this attempt holds."""
        self._request = request
        self._attempt = attempt
        self._owner_knows = False  # of the end, or brings it about
        self._overdue: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Wait until the machine tells of the end."""
        request = self._request
        if not request.answered:  # it was adopted without its one answer
            left_us = max(0, request.task.deadline_us - unix_us())
            self._overdue = request.deliver_after(left_us, Overdue())
        over = False
        while not over:
            over = self._handle(await request.next_message())

    def _handle(self, message: object) -> bool:
        """Handle one message; whether the task is over."""
        number = self._attempt.number
        match message:
            case Answered(attempt, description) if attempt == number and not self._request.answered:
                self._note_answer()
                self._request.owner.placed(description)
            case Overdue() if not self._request.answered:
                # It may run, and nobody waits for it any more: it is called off, and its end awaited.
                self._note_answer()
                self._request.owner.failed()
                self._release(CALLED_OFF)
            case Noted(attempt, topic, value) if attempt == number:
                self._attempt.note(topic, value)
            case GivenUp() if not self._owner_knows:
                # The answer crossed the end of its owner's interest: nobody else would end the task.
                self._release(GIVEN_UP)
            case Released(cause) if not self._owner_knows:
                self._release(cause)
            case Migrate() if not self._owner_knows:
                self._owner_knows = True
                self._request.owner.moved()
                self._request.site.move(self._attempt.machine, self._request.task)
            case Ended(attempt) if attempt == number:
                self._end(message)
                return True
        return False

    def _release(self, cause: int) -> None:
        self._owner_knows = True
        self._request.site.release(self._attempt.machine, self._request.task, cause)

    def _end(self, ended: Ended) -> None:
        owner = self._request.owner
        self._attempt.end(ended.outcome, ended.reason, ended.report, closed=True)
        if not self._request.answered:
            self._note_answer()
            if ended.outcome in (Outcome.FULL, Outcome.NOT_SENT, Outcome.CONNECT_FAILED):  # it never ran
                owner.refused(0)
            else:
                owner.failed()
        elif not self._owner_knows and ended.cause != CALLED_OFF:
            owner.released(ended.cause or GIVEN_UP)

    def _note_answer(self) -> None:
        """The one answer of a request that was adopted without it."""
        self._request.answered = True
        self._request.core.unanswered -= 1
        if self._overdue is not None:
            self._overdue.cancel()
