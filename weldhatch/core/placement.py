"""The first phase of a request: from its arrival to its final answer."""

from __future__ import annotations

from weldhatch.core.attempt import Attempt, AttemptResult
from weldhatch.core.messages import DeadlinePassed, GivenUp
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_state import RequestState
from weldhatch.scheduling.actions import Fail, Offer, Reject
from weldhatch.scheduling.events import RequestAbandoned, RequestArrived
from weldhatch.scheduling.types import Outcome

DECISION_GRACE_US = (
    20_000  # the policy answers before the deadline; this long after it the core answers itself
)


async def place(request: RequestState) -> Attempt | None:
    """Carry out the policy's decisions on a request; return the attempt whose task runs, if any."""
    core = request.core
    task = request.task
    if request.is_given_up():
        request.answered = True  # given up before it was decided: the policy is not asked
        core.unanswered -= 1
        return None
    if core.rules and (retry_after_us := core.rules.retry_after_us(task)) is not None:
        request.answered = True  # not admitted by the rules of the group: the policy is not asked
        core.unanswered -= 1
        request.owner.refused(retry_after_us)
        return None
    _post_arrival(request)
    remaining_us = max(0, task.deadline_us - unix_us()) + DECISION_GRACE_US
    deadline_timer = request.deliver_after(remaining_us, DeadlinePassed())
    try:
        return await _await_decision(request)
    finally:
        deadline_timer.cancel()
        core.unanswered -= 1


def _post_arrival(request: RequestState) -> None:
    task = request.task
    request.driver.post(
        RequestArrived(
            request.id,
            task.class_index,
            task.deadline_us,
            task.service,
            task.cores,
            task.memory,
            task.key,
            task.tenant,
            None,
            task.again,
            task.only,
            task.uncertain_attempt,
        )
    )


async def _await_decision(request: RequestState) -> Attempt | None:
    """Carry out the policy's offers one after another, until a machine accepts the task or the request ends.

    Return the attempt that placed the task, or None if the request ended without one.
    """
    batch_flushed = False
    while True:
        match await request.next_message():
            case Offer() as offer:
                if await request.is_given_up_after_reading():
                    request.requeue(offer)  # not sent; `_withdraw` ends it
                    continue
                attempt = Attempt(request, offer.machine)
                result = await attempt.run(offer)
                if result is not AttemptResult.NEXT:
                    return attempt if result is AttemptResult.PLACED else None
            case DeadlinePassed() if not batch_flushed:
                # If the process was blocked past the deadline, events that are already posted are decided
                # first, so that proof that the task did not run still counts.
                batch_flushed = True
                await request.driver.flush()
                request.deliver(DeadlinePassed())
            case (Reject() | Fail() | DeadlinePassed() | GivenUp()) as conclusion:
                await _finish(request, conclusion)
                return None


async def _finish(request: RequestState, conclusion: Reject | Fail | DeadlinePassed | GivenUp) -> None:
    """Give the final answer, unless the owner gave up, and withdraw offers that the policy still made."""
    if isinstance(conclusion, DeadlinePassed):
        # The owner must get an answer in time even if the policy never decides.
        request.core.log(f"request {request.id}: the policy made no decision by the deadline")
    request.answered = True
    if isinstance(conclusion, Reject):
        request.owner.refused(conclusion.retry_after_us)
    elif not isinstance(conclusion, GivenUp):
        request.owner.failed()
    if isinstance(conclusion, DeadlinePassed | GivenUp):
        await _withdraw(request)


async def _withdraw(request: RequestState) -> None:
    """End a request that the policy has not answered.

    The batch that reports the end to the policy may also produce an offer. That offer must get an outcome, or
    the policy would count it as open for ever.
    """
    await request.driver.flush(RequestAbandoned(request.id))
    for message in request.pending():
        if isinstance(message, Offer):
            Attempt(request, message.machine).end(Outcome.NOT_SENT, closed=True)
