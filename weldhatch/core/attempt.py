"""One attempt of a request, from its offer to its one end."""

from __future__ import annotations

from enum import Enum

from weldhatch.core.messages import Answered, Ended, GivenUp, GiveUpResult, Noted, TimeUp
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_state import RequestState
from weldhatch.scheduling.actions import Cancel, Offer
from weldhatch.scheduling.events import AttemptEnded, Note, Placed, RequestAbandoned
from weldhatch.scheduling.types import Outcome


class AttemptResult(Enum):
    """What an attempt means for its request."""

    NEXT = "it ended, and the policy decides what follows"
    OVER = "the request is over with it"
    PLACED = "the task stands"


class Attempt:
    """An attempt at one machine. Every one that is begun gets exactly one end, by `end`."""

    __slots__ = ("_request", "machine", "number", "sent_at")

    def __init__(self, request: RequestState, machine: int) -> None:
        """Count a further attempt of the request."""
        self._request = request
        self.machine = machine
        self.number = request.attempts
        self.sent_at = unix_us()
        request.attempts += 1

    async def run(self, offer: Offer) -> AttemptResult:
        """Make the offer and wait for its answer or its end."""
        request = self._request
        task = request.task
        wait_us = max(0, task.deadline_us - self.sent_at)
        if offer.give_up_us:
            wait_us = min(wait_us, offer.give_up_us)
        if (rules := request.core.rules) and rules.stops(task.class_index, self.machine, self.number):
            # Guards against rules that moved on between the decision and the send.
            self.end(Outcome.NOT_SENT)
            return AttemptResult.NEXT
        timer = request.deliver_after(wait_us, TimeUp(self.number))
        request.site.offer(self.machine, task, self.number, wait_us, request, offer.start_by_us)
        try:
            result = None
            while result is None:
                result = self._handle(await request.next_message())
            return result
        finally:
            timer.cancel()

    def _handle(self, message: object) -> AttemptResult | None:
        """Handle one message; None while the attempt goes on."""
        number = self.number
        match message:
            case Answered(attempt, description) if attempt == number:
                self._place(description)
                return AttemptResult.PLACED
            case Ended(attempt, outcome, reason, report) if attempt == number:
                self.end(outcome, reason, report)
                return AttemptResult.NEXT
            case TimeUp() | Cancel() if self._is_answer_pending():
                pass  # its answer or its end came in the same moment, and says more
            case TimeUp(attempt) if attempt == number:
                return AttemptResult.NEXT if self._let_go(Outcome.TIMEOUT) else None
            case Cancel(_, attempt) if attempt == number:
                return AttemptResult.NEXT if self._let_go(Outcome.CANCELLED) else None
            case GivenUp():
                self._request.answered = True
                self._request.driver.post(RequestAbandoned(self._request.id))
                self._let_go(Outcome.CANCELLED, closed=True)
                return AttemptResult.OVER
            case Noted(attempt, topic, value) if attempt == number:
                self.note(topic, value)
        return None

    def _place(self, description: str | None) -> None:
        request = self._request
        request.answered = True
        request.owner.placed(description)
        request.driver.post(Placed(request.id, self.number, self.machine, unix_us() - self.sent_at))

    def note(self, topic: int, value: float) -> None:
        """Pass a machine's note on the task on to the policy."""
        request = self._request
        request.driver.post(Note(request.id, self.number, self.machine, topic, value))

    def _is_answer_pending(self) -> bool:
        """Whether the attempt's answer or its end waits to be received.

        Guards proof that nothing ran against a process that was held up past the attempt's time, and a task
        that stands against a second attempt beside it.
        """
        return any(
            isinstance(message, Ended | Answered) and message.attempt == self.number
            for message in self._request.pending()
        )

    def _let_go(self, outcome: Outcome, closed: bool = False) -> bool:
        """Give the attempt up; whether that ends it.

        One that stays out at its machine still ends here at the owner's deadline, since the owner is owed
        its answer then, and the policy offers nothing after it.
        """
        task = self._request.task
        result = self._request.site.give_up(self.machine, task)
        if result is GiveUpResult.STILL_OUT and not closed and unix_us() < task.deadline_us:
            return False
        if result is GiveUpResult.WITHDRAWN:
            outcome = Outcome.CONNECT_FAILED
        self.end(outcome, closed=closed)
        return True

    def end(
        self,
        outcome: Outcome,
        reason: int = 0,
        report: tuple[float, ...] = (),
        closed: bool = False,
    ) -> None:
        """Post the one end of the attempt; `closed` where the request is over with it."""
        took_us = max(0, unix_us() - self.sent_at)
        self._request.driver.post(
            AttemptEnded(
                self._request.id, self.number, self.machine, outcome, took_us, reason, closed, report
            )
        )
