"""One attempt of a request, from its offer to its outcome."""

from __future__ import annotations

from enum import Enum

from weldhatch.core.messages import Answered, AttemptTimedOut, Ended, GivenUp, GiveUpResult, Noted
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_state import RequestState
from weldhatch.scheduling.actions import Cancel, Offer
from weldhatch.scheduling.events import AttemptEnded, Note, Placed, RequestAbandoned
from weldhatch.scheduling.types import Outcome


class AttemptResult(Enum):
    """How a request continues after an attempt was answered or has ended."""

    NEXT = "it ended, and the policy decides what follows"
    OVER = "the request is over with it"
    PLACED = "the task stands"


class Attempt:
    """An attempt of a request on one machine. Every attempt gets exactly one outcome, posted by `end`."""

    __slots__ = ("_request", "machine", "number", "sent_at")

    def __init__(self, request: RequestState, machine: int) -> None:
        """Create the next attempt of the request and number it."""
        self._request = request
        self.machine = machine
        self.number = request.attempts
        self.sent_at = unix_us()
        request.attempts += 1

    async def run(self, offer: Offer) -> AttemptResult:
        """Send the offer and wait for its answer or its outcome."""
        request = self._request
        task = request.task
        wait_us = max(0, task.deadline_us - self.sent_at)
        if offer.give_up_us:
            wait_us = min(wait_us, offer.give_up_us)
        if (rules := request.core.rules) and rules.start_refusal(task.class_index, self.machine, self.number):
            # The rules may have changed between the decision and the send.
            self.end(Outcome.NOT_SENT)
            return AttemptResult.NEXT
        timer = request.deliver_after(wait_us, AttemptTimedOut(self.number))
        request.site.offer(self.machine, task, self.number, wait_us, request, offer.start_by_us)
        try:
            result = None
            while result is None:
                result = self._handle(await request.next_message())
            return result
        finally:
            timer.cancel()

    def _handle(self, message: object) -> AttemptResult | None:
        """Handle one message; returns None while the attempt stays open."""
        number = self.number
        match message:
            case Answered(attempt, description) if attempt == number:
                self._place(description)
                return AttemptResult.PLACED
            case Ended(attempt, outcome, reason, report) if attempt == number:
                self.end(outcome, reason, report)
                return AttemptResult.NEXT
            case AttemptTimedOut() | Cancel() if self._is_answer_pending():
                pass  # its answer or outcome is already queued and takes precedence
            case AttemptTimedOut(attempt) if attempt == number:
                return AttemptResult.NEXT if self._give_up(Outcome.TIMEOUT) else None
            case Cancel(_, attempt) if attempt == number:
                return AttemptResult.NEXT if self._give_up(Outcome.CANCELLED) else None
            case GivenUp():
                self._request.answered = True
                self._request.driver.post(RequestAbandoned(self._request.id))
                self._give_up(Outcome.CANCELLED, closed=True)
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
        """Forward a machine's note about the task to the policy."""
        request = self._request
        request.driver.post(Note(request.id, self.number, self.machine, topic, value))

    def _is_answer_pending(self) -> bool:
        """Whether the answer or the outcome of the attempt is queued but not yet received.

        If the process was blocked past the attempt's time-out, the queued message still decides. Otherwise
        proof that the task did not run would be lost, or a second attempt would start beside a running task.
        """
        return any(
            isinstance(message, Ended | Answered) and message.attempt == self.number
            for message in self._request.pending()
        )

    def _give_up(self, outcome: Outcome, closed: bool = False) -> bool:
        """Give up the attempt; return whether it has ended.

        An attempt that stays open at its machine still ends here at the owner's deadline, because the owner
        must get its answer then and the policy makes no offer after it.
        """
        task = self._request.task
        result = self._request.site.give_up(self.machine, task)
        if result is GiveUpResult.STILL_OPEN and not closed and unix_us() < task.deadline_us:
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
        """Post the outcome of the attempt; `closed` means that the request has ended as well."""
        took_us = max(0, unix_us() - self.sent_at)
        self._request.driver.post(
            AttemptEnded(
                self._request.id, self.number, self.machine, outcome, took_us, reason, closed, report
            )
        )
