"""The coroutine of one local owner's request, which may be forwarded to other sites."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Collection, Coroutine
from dataclasses import replace
from typing import Protocol

from weldhatch.core import ports
from weldhatch.core.mailbox import Mailbox
from weldhatch.core.messages import GivenUp, Released
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_lifecycle import Core, RequestLifecycle
from weldhatch.sites.background import BackgroundTasks, call_after
from weldhatch.sites.handoff_source import (
    Answer,
    AnswerOwner,
    HandoffSource,
    ReclaimTask,
    ReportEnd,
    TaskBusyError,
)
from weldhatch.sites.local_site import LocalAnswer, LocalEnd, LocalOwner, SiteFrontEnd
from weldhatch.sites.messages import TransferId, Work
from weldhatch.sites.outgoing import OutgoingHandoffs
from weldhatch.sites.routing import KeepLocal
from weldhatch.sites.task_translation import TaskTranslator

LOCAL_TIME_FRACTION = 0.4  # part of the time left for the local site, before other sites are tried again
MIN_SPLIT_US = 200_000  # with less time left, the local site gets all of it
SPARE_US = 30_000  # margin by which an answer of another site must arrive before the deadline
BUSY_WAIT_US = 1_000_000  # retry delay given to the owner of a task whose key is in use or in doubt

Outcome = LocalAnswer | AnswerOwner | ReclaimTask | TaskBusyError | None  # None if the owner gave up


class ForwardingSite(Protocol):
    """The interface of the site that a forwarded request uses."""

    core: Core
    front: SiteFrontEnd
    source: HandoffSource
    outgoing: OutgoingHandoffs
    translator: TaskTranslator
    background: BackgroundTasks
    draining: bool

    @property
    def log(self) -> Callable[[str], None]:
        """The function that writes a log line."""

    @property
    def site_names(self) -> Collection[str]:
        """Names of the other sites."""

    def choose(self, work: Work, left_us: int, visited: frozenset[str]) -> str | KeepLocal:
        """Return the site to forward a task to, or why it stays. `visited`: sites that have had the task."""

    def spawn_settled(self, lifecycle: RequestLifecycle, then: Callable[[], None]) -> None:
        """Call `then` once a task that was abandoned or failed can't run any more."""

    def begin_request(self, request: ForwardedRequest) -> None:
        """Register a request that has no answer yet."""

    def count_answered(self) -> None:
        """Count a request as answered."""

    def end_request(self, request: ForwardedRequest) -> None:
        """Remove a request that has ended."""


class ForwardedRequest(Mailbox):
    """A request of a local owner, which gets exactly one final answer.

    `_decide` is the only place that gives the answer, apart from the handler of internal errors in `_run`.
    """

    def __init__(self, site: ForwardingSite, task: ports.Task, owner: ports.Owner) -> None:
        """Register the request and start its asyncio task."""
        super().__init__()
        self._site = site
        self._owner = owner
        self._lifecycle: RequestLifecycle | None = None  # the latest attempt at this site
        self.task = task
        self.work = site.translator.work_of(task)
        self.answered = False
        site.begin_request(self)
        self.async_task = self._loop.create_task(self._run())

    def _left_us(self) -> int:
        return self.task.deadline_us - unix_us()

    async def _run(self) -> None:
        try:
            end_watcher = await self._decide()
            self._mark_answered()
            if end_watcher is not None:
                await end_watcher
        except Exception:
            # After an internal error the owner must still get its one final answer.
            self._site.log("internal error in a request: " + traceback.format_exc().replace("\n", " | "))
            if not self.answered:
                self._mark_answered()
                self._owner.failed()
        finally:
            self._site.end_request(self)

    def _mark_answered(self) -> None:
        if not self.answered:
            self.answered = True
            self._site.count_answered()

    # ---- from the arrival to the final answer ----------------------------------------------------------

    async def _decide(self) -> Coroutine[object, object, None] | None:
        """Answer the owner. Return a coroutine that waits for the end of a placed task; None if not placed.

        The task is forwarded to a site with free capacity. If there is none, the local site tries to place it
        for a part of the time left, and then the sites are checked again. No site gets the task twice.
        """
        # A task that is restricted to certain machines, or may have run at this site, is never forwarded.
        stays = self.task.only is not None or self.task.uncertain_attempt is not None
        visited = set(self._site.site_names) if stays else set()
        wait_us = 0
        while self._left_us() > SPARE_US:
            choice = self._site.choose(self.work, self._left_us(), frozenset(visited))
            is_last_attempt = False
            if isinstance(choice, KeepLocal):
                if self._site.draining:
                    break
                is_last_attempt = len(visited) >= len(self._site.site_names) or self._left_us() < MIN_SPLIT_US
                fraction = 1.0 if is_last_attempt else LOCAL_TIME_FRACTION
                outcome: Outcome = await self._place_locally(int(self._left_us() * fraction))
            else:
                visited.add(choice)
                outcome = await self._hand_off(choice)
            match outcome:
                case LocalAnswer(Answer.REJECTED) | ReclaimTask():
                    wait_us = max(wait_us, outcome.wait_us)
                    if is_last_attempt:
                        break
                case _:
                    return self._answer(outcome)
        self._owner.refused(wait_us)
        return None

    def _answer(self, outcome: Outcome) -> Coroutine[object, object, None] | None:
        """Give the owner its answer; return the coroutine that waits for the end of a placed task."""
        match outcome:
            case LocalAnswer(Answer.PLACED, description):
                self._owner.placed(description)
                return self._watch_local_task()
            case AnswerOwner(id, Answer.PLACED, description):
                self._owner.placed(description)
                return self._watch_remote_task(id)
            case AnswerOwner(_, Answer.REJECTED, _, wait_us):
                self._owner.refused(wait_us)
            case LocalAnswer() | AnswerOwner():
                self._owner.failed()
            case TaskBusyError():
                self._owner.refused(BUSY_WAIT_US)
            case _:
                pass  # the owner gave up and needs no answer
        return None

    async def _place_locally(self, time_limit_us: int) -> LocalAnswer | TaskBusyError | None:
        """Have this site's decision module place the task within a time limit; None if the owner gave up."""
        try:
            self._site.source.reserve_key(self.work)
        except TaskBusyError as error:
            return error
        self._lifecycle = lifecycle = self._site.core.arrive(
            replace(self.task, deadline_us=unix_us() + time_limit_us), LocalOwner(self.deliver)
        )
        while True:
            match await self.next_message():
                case LocalAnswer(answer) as local_answer:
                    if answer is Answer.REJECTED:
                        self._release_key()
                    elif answer is Answer.FAILED:  # it may still run, so its key stays reserved
                        self._site.spawn_settled(lifecycle, self._release_key)
                    return local_answer
                case GivenUp():
                    lifecycle.deliver(GivenUp())
                    self._site.spawn_settled(lifecycle, self._release_key)
                    return None

    def _release_key(self) -> None:
        self._site.source.release_key(self.work)

    async def _hand_off(self, site: str) -> AnswerOwner | ReclaimTask | TaskBusyError | None:
        """Hand the task to another site and wait for the outcome; None if the owner gave up."""
        outgoing = self._site.outgoing
        try:
            id = await outgoing.offer(site, self.work, self._left_us() - SPARE_US, self)
        except TaskBusyError as error:
            return error
        wait_s = max(0, self._left_us() - SPARE_US) / 1e6
        timer = self._loop.call_later(wait_s, outgoing.deadline_passed, id)
        try:
            while True:
                match await self.next_message():
                    case AnswerOwner() | ReclaimTask() as outcome if outcome.id == id:
                        return outcome
                    case GivenUp():
                        outgoing.abandon(id)
                        return None
        finally:
            timer.cancel()

    # ---- while the task is placed ----------------------------------------------------------------------

    async def _watch_local_task(self) -> None:
        """Wait for the end of a task that was placed at this site, then release its key."""
        assert self._lifecycle is not None
        try:
            while True:
                match await self.next_message():
                    case LocalEnd(cause, migrated):
                        if migrated:
                            self._owner.moved()
                        else:
                            self._owner.released(cause)
                        return
                    case Released(cause):
                        self._lifecycle.deliver(Released(cause))
                        await call_after(self._lifecycle, 0.0, lambda: None)
                        return
        finally:
            self._release_key()

    async def _watch_remote_task(self, id: TransferId) -> None:
        """Wait for the end of a task that was placed at another site."""
        while True:
            match await self.next_message():
                case ReportEnd(ended_id, cause, result) if ended_id == id:
                    if result:
                        self._site.front.report_result(self.task, result)
                    self._owner.released(cause)
                    return
                case Released(cause):
                    self._site.outgoing.release(id, cause)
                    return
