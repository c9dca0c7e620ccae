"""Retries of blocked requests: back off with jitter and draw again, or give the final answer."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.scheduling.actions import Fail, Reject
from weldhatch.scheduling.admission import Admission
from weldhatch.scheduling.cluster_state import ClusterState, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.eligibility import Eligibility

INITIAL_BACKOFF_US = 40_000  # first delay of a blocked request; doubles
MAX_BACKOFF_US = 320_000
MAX_DOUBLINGS = 8
DECLINES_BEFORE_WAIT = 2  # rejections for lack of capacity before a request waits longer; one may be chance
RETRY_AFTER_US = 1_000_000  # Retry-After of a rejection, where callers honour it

Draw = Callable[[RequestRecord, int], None]


class Retries:
    """Schedules the next draw of blocked requests and gives final answers."""

    def __init__(
        self,
        context: DecisionContext,
        cluster: ClusterState,
        eligibility: Eligibility,
        admission: Admission,
        draw: Draw,
    ) -> None:
        """`draw` is called with a request and its generation to draw machines again."""
        self._context = context
        self._cluster = cluster
        self._eligibility = eligibility
        self._admission = admission
        self._draw = draw

    def block(self, request: RequestRecord) -> None:
        """Back off after a rejection or a draw without a candidate; answer if no retry is possible."""
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
        wait = min(INITIAL_BACKOFF_US << min(request.backoffs, MAX_DOUBLINGS), MAX_BACKOFF_US)
        declines_before_wait = 1 if self._admission.is_lowest_weight(request) else DECLINES_BEFORE_WAIT
        if request.declines >= declines_before_wait:  # capacity is scarce: spread the attempts left
            wait = max(wait, (request.deadline - context.now) // (attempts_left + 1))
        context.schedule(context.jitter(wait), self._draw, request, request.generation)
        request.backoffs += 1

    def answer(self, request: RequestRecord) -> None:
        """Give the final answer if no attempt is open: a rejection where a retry is safe, else a failure."""
        if request.answered or request.open_attempt is not None:
            return
        settings = self._context.settings
        retry_is_safe = request.uncertain_attempt is None or request.request_class.is_repeatable
        wait = min(RETRY_AFTER_US, settings.max_retry_after_us) if settings.retry_after else 0
        self._context.actions.append(Reject(request.id, wait) if retry_is_safe else Fail(request.id))
        self._cluster.forget_request(request)
