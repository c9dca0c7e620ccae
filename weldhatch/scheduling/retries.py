"""What follows a block: wait with jitter and draw again, or give the final answer."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.scheduling.actions import Fail, Reject
from weldhatch.scheduling.admission import Admission
from weldhatch.scheduling.cluster_state import ClusterState, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.eligibility import Eligibility
from weldhatch.scheduling.types import Effect, Scope

BACKOFF_US = 40_000  # a blocked request's first wait; it doubles
LONGEST_BACKOFF_US = 320_000
MOST_DOUBLINGS = 8
DECLINES_BEFORE_WAIT = 2  # refusals of a request for want of capacity: one may be bad luck
RETRY_AFTER_US = 1_000_000  # the time to stay away that a rejection tells, where callers heed one

Draw = Callable[[RequestRecord, int], None]


class Retries:
    """Decides when a blocked request is drawn again, and gives final answers."""

    def __init__(
        self,
        context: DecisionContext,
        cluster: ClusterState,
        eligibility: Eligibility,
        admission: Admission,
        draw: Draw,
    ) -> None:
        """Call `draw` with the request and its generation to draw it again."""
        self._context = context
        self._cluster = cluster
        self._eligibility = eligibility
        self._admission = admission
        self._draw = draw

    def block(self, request: RequestRecord) -> None:
        """No fitting candidate, or a refusal: draw again after a while, as long as that can help."""
        context = self._context
        attempts_left = context.settings.max_attempts - len(request.attempts)
        if (
            context.now >= request.deadline - context.answer_margin_us
            or attempts_left <= 0
            or not self._eligibility.may_repeat_anywhere(request)
        ):
            self.answer(request)
            return
        request.generation += 1
        wait = min(BACKOFF_US << min(request.backoffs, MOST_DOUBLINGS), LONGEST_BACKOFF_US)
        patience = 1 if self._admission.is_least_weighty(request) else DECLINES_BEFORE_WAIT
        if request.declines >= patience:  # little capacity anywhere
            wait = max(wait, (request.deadline - context.now) // (attempts_left + 1))
        context.schedule(context.jitter(wait), self._draw, request, request.generation)
        request.backoffs += 1

    def answer(self, request: RequestRecord) -> None:
        """Give the one final answer, while no attempt is out: a rejection only where retries are harmless."""
        if request.answered or request.open_attempt is not None:
            return
        settings = self._context.settings
        request_class = request.request_class
        harmless = (
            request.uncertain_attempt is None
            or request_class.effect is Effect.SAFE
            or (request_class.effect is Effect.KEYED and request_class.group is Scope.ALL)
        )
        wait = min(RETRY_AFTER_US, settings.max_retry_after_us) if settings.retry_after else 0
        self._context.actions.append(Reject(request.id, wait) if harmless else Fail(request.id))
        self._cluster.forget_request(request)
