"""The first phase of a request: from its arrival to its final answer."""

from __future__ import annotations

from weldhatch.core.attempt import Attempt, AttemptResult
from weldhatch.core.messages import GivenUp, Overdue
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_state import RequestState
from weldhatch.scheduling.actions import Fail, Offer, Reject
from weldhatch.scheduling.events import RequestAbandoned, RequestArrived
from weldhatch.scheduling.types import Outcome

OVERDUE_US = 20_000  # the policy answers before the deadline; so long after it, the core does


async def place(request: RequestState) -> Attempt | None:
    """Ask the policy, offer where it says, answer what it decides; the attempt that holds the task."""
    core = request.core
    task = request.task
    if request.is_given_up():
        request.answered = True  # taken back in the moment it came: the policy has nothing to decide
        core.unanswered -= 1
        return None
    if core.rules and (away_us := core.rules.away_us(task)) is not None:
        request.answered = True  # no rules that are sure let it start: nothing for the policy to decide
        core.unanswered -= 1
        request.owner.refused(away_us)
        return None
    _post_arrival(request)
    left_us = max(0, task.deadline_us - unix_us()) + OVERDUE_US
    overdue = request.deliver_after(left_us, Overdue())
    try:
        return await _await_decision(request)
    finally:
        overdue.cancel()
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
        )
    )


async def _await_decision(request: RequestState) -> Attempt | None:
    """Carry out offers until one is placed, or until the request is over otherwise."""
    batch_settled = False
    while True:
        match await request.next_message():
            case Offer() as offer:
                if await request.is_given_up_by_now():
                    request.put_back(offer)  # `_withdraw` ends it: it never left
                    continue
                attempt = Attempt(request, offer.machine)
                result = await attempt.run(offer)
                if result is not AttemptResult.NEXT:
                    return attempt if result is AttemptResult.PLACED else None
            case Overdue() if not batch_settled:
                # Guards against a process that was held up past the deadline: what the policy was
                # sent in the same moment it decides first, so proof that nothing ran still counts.
                batch_settled = True
                await request.driver.settled()
                request.deliver(Overdue())
            case (Reject() | Fail() | Overdue() | GivenUp()) as end:
                await _finish(request, end)
                return None


async def _finish(request: RequestState, end: Reject | Fail | Overdue | GivenUp) -> None:
    """Give the final answer, where one is owed, and take back what is under way without it."""
    if isinstance(end, Overdue):
        # Guards against a policy that never decides: the owner is owed an answer in time.
        request.core.log(f"request {request.id}: no decision by the deadline")
    request.answered = True
    if isinstance(end, Reject):
        request.owner.refused(end.retry_after_us)
    elif not isinstance(end, GivenUp):
        request.owner.failed()
    if isinstance(end, Overdue | GivenUp):
        await _withdraw(request)


async def _withdraw(request: RequestState) -> None:
    """The request is over without the policy's decision.

    Guards against an offer decided in the batch that also told of the end: unless it gets its end too, the
    policy counts it as out for ever.
    """
    await request.driver.settled(RequestAbandoned(request.id))
    for message in request.pending():
        if isinstance(message, Offer):
            Attempt(request, message.machine).end(Outcome.NOT_SENT, closed=True)
