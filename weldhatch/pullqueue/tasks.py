"""Submission tasks: each submitter gets the one final answer, and may follow or end the task that stands.

A submission is an operation with a name. It passes the gate, then the module decides; its answer and its end
are
in the book before they are told, so that whoever comes again by name or by request id hears the same.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from random import Random

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_FINISHED, CAUSE_LOST, GivenUp, Released
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.loop_lag import LoopLag
from weldhatch.placement_request import PlacementRequest
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.admission import AdmissionQueue, Ticket, Verdict
from weldhatch.pullqueue.bot_sessions import BotSessions
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.leases import KeyLedger, KeyRejection
from weldhatch.pullqueue.machines import LeasePayload
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.pullqueue.submission import Nobody, Submission
from weldhatch.pullqueue.submission_form import SubmissionReader, for_callers_tenant
from weldhatch.pullqueue.workers import NOTHING, Matching, Worker
from weldhatch.scheduling.types import RequestClass, Settings
from weldhatch.store.log import LogError

ENDED_KEPT = 1024  # tasks that are over can still be asked for
LAG_S = 0.1  # between two looks at the loop's own delay
RECORDED_FIELDS = ("class", "left", "tenant", "key", "idem", "extras", "retry", "requirements")


class Tasks:
    """Submissions by name. The ledger decides whether a key may be asked for, the gate when, the module the
    rest."""

    def __init__(
        self,
        settings: Settings,
        core: Core,
        bots: BotSessions,
        ledger: KeyLedger,
        book: QueueStorage | NoStorage,
        queue: int,
        random: Random,
        log: Callable[[str], None],
    ) -> None:
        self._settings, self._core, self._bots, self._ledger, self._log = settings, core, bots, ledger, log
        self._book, self._random = book, random
        self._reader = SubmissionReader(settings)
        self.known: dict[str, Submission] = {}
        self._by_request: dict[tuple[int, str], Submission] = {}
        self._ended: deque[str] = deque()
        self._serial = 0
        self._started = bots.now()
        self._epoch = book.epoch_name
        self.admission = AdmissionQueue(
            {n: max(tenant.portion, 0.001) for n, tenant in enumerate(settings.tenants)} or {0: 1.0}, queue
        )
        self._entering: dict[Ticket, asyncio.Future[bool]] = {}
        self._turns = LoopLag(time.monotonic)
        self._lagging = asyncio.get_running_loop().create_task(self._watch_lag())

    def close(self) -> None:
        self._lagging.cancel()

    async def _watch_lag(self) -> None:
        """The loop's own delay, which tells how busy this process is; and those whose time is up at the
        gate."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_S)
            try:
                self.admission.update_limit(max(0.0, time.monotonic() - before - LAG_S) * 1e6)
                self._tell([], self.admission.remove_late(unix_us()))
                self._let_in()
            except Exception as fault:
                # Guards those who wait at the gate: a fault of ours in one turn must not end all later ones.
                self._log(f"the gate: {type(fault).__name__}: {fault}")

    # ---- submitting ----------------------------------------------------------------------------------------

    async def submit(self, request: Request) -> tuple[dict, dict[str, str]]:
        """One submission; the answer is the one final answer."""
        submission, answer = await self._submit(request.json(), request.who, waits=False)
        if submission is None:
            return answer, self._headers(answer)
        try:
            answer = await asyncio.shield(submission.answer)
        except asyncio.CancelledError:  # the submitter has gone
            if not submission.meta["request"]:  # and nobody can come for the answer
                self.give_up(submission)
            raise
        return answer, self._headers(answer)

    def rule(self, settings: Settings) -> None:
        """Other settings are in force from now on; classes keep their places."""
        self._settings = settings
        self._reader = SubmissionReader(settings)

    async def begin(self, tree: dict, who: object) -> Submission:
        """A submission that is answered with its operation at once; HttpError where it can't be taken."""
        submission, answer = await self._submit(tree, who, waits=True)
        if submission is None:  # barred: an operation that is over
            submission = self._make(
                0, self._reader.tenant_of(tree, who), {"at": unix_us(), "deadline": 0, "request": ""}
            )
            submission.state, submission.final_answer = (
                answer["answer"].upper(),
                {**answer, "name": submission.name},
            )
            submission.answer.set_result(submission.final_answer)
            submission.over.set()
            self.ended(submission)
        return submission

    @staticmethod
    def _headers(answer: dict) -> dict[str, str]:
        return {"Retry-After": str(math.ceil(answer["waitMs"] / 1000))} if answer.get("waitMs") else {}

    async def _submit(self, tree: dict, who: object, waits: bool) -> tuple[Submission | None, dict]:
        """Take one submission: the operation, or the answer to one that is barred."""
        tree = for_callers_tenant(tree, who)
        form = self._reader.read(tree)
        setup = form.request
        blob = form.blob
        request_id = form.request_id
        cls = self._settings.classes[setup.class_index]
        if request_id and (known := self._by_request.get((setup.tenant, request_id))):
            same = {name: tree.get(name) for name in RECORDED_FIELDS if name != "left"}
            if known.fields and same != {name: known.fields.get(name) for name in same}:
                raise HttpError(409, "requestId: another submission had it", "requestId")
            return known, {}
        if answer := self._barred(setup.key, cls):
            return None, answer
        if self._book.write_error:
            raise HttpError(503, f"store: {self._book.write_error}", "store", 1.0)
        now = unix_us()
        # In a busy loop, what is read now has stood unread for a while: its submitter counts from then.
        age = int(self._turns.age() * 1e6)
        deadline = now + max(1000, min(setup.left_us, cls.deadline_us) - age)
        meta = {
            "at": now,
            "deadline": deadline,
            "request": request_id,
            "waits": waits,
            "tenant": setup.tenant,
        }
        submission = self._make(setup.key, setup.tenant, meta)
        submission.fields = {name: tree[name] for name in RECORDED_FIELDS if name in tree}
        self._ledger.reserve(setup.key)
        if request_id:
            self._by_request[setup.tenant, request_id] = submission
        passed = LeasePayload(
            setup, blob, submission.set_result, lambda: self._first_record(submission, blob)
        )
        if waits or request_id:
            try:
                await self._book.append(*self._first_record(submission, blob))
            except LogError as fault:
                submission.refused(1_000_000, "the store takes nothing")
                raise HttpError(503, f"store: {fault}", "store", 1.0) from None
        task = self._task(submission.name, setup, deadline, passed, form.requirements)
        submission.ticket = Ticket(setup.tenant, deadline, now, setup.again)
        self._come(submission, task)
        return submission, {}

    def _make(self, key: int, tenant: int, meta: dict) -> Submission:
        self._serial += 1
        name = f"tasks/{self._epoch}-{self._serial}"
        submission = self.known[name] = Submission(self, name, key, tenant, meta)
        return submission

    def _task(
        self, name: str, setup: PlacementRequest, deadline: int, passed: LeasePayload, wanted: Worker
    ) -> ports.Task:
        only = Matching(wanted, self._bots.registry.workers) if wanted != NOTHING else None
        return ports.Task(
            name,
            setup.class_index,
            setup.service,
            setup.cores,
            setup.memory,
            deadline,
            setup.key,
            setup.tenant,
            setup.again,
            passed,
            only,
        )

    def _first_record(self, submission: Submission, blob: str) -> tuple[bytes, ...]:
        """A submission is in the book before the first thing that rests on it."""
        if submission.recorded:
            return ()
        submission.recorded = True
        return (durable_state.encode("asked", submission.name, submission.fields, blob, submission.meta),)

    # ---- the gate ------------------------------------------------------------------------------------------

    def _come(self, submission: Submission, task: ports.Task) -> None:
        decision = self.admission.request_admission(submission.ticket, unix_us())
        displaced = decision.displaced
        if displaced is not None and (waiting := self._entering.pop(displaced, None)) is not None:
            waiting.set_result(False)
        if decision.verdict is Verdict.ADMITTED:
            self._arrive(submission, task)
        elif decision.verdict is Verdict.REJECTED:
            submission.ticket = None
            submission.refused(self._spread(decision.retry_after_us), "no answer would come in time")
        else:
            waiting = self._entering[submission.ticket] = asyncio.get_running_loop().create_future()
            waiting.add_done_callback(lambda told: self._called(submission, task, told))

    def _called(self, submission: Submission, task: ports.Task, told: asyncio.Future[bool]) -> None:
        if submission.final_answer is not None or submission.over.is_set():  # given up meanwhile
            if told.result():
                self.admission.complete(submission.ticket, unix_us())
            return
        if told.result():
            self._arrive(submission, task)
        else:
            submission.ticket = None
            submission.refused(self._spread(self.admission.retry_after_us()), "no answer would come in time")

    def _arrive(self, submission: Submission, task: ports.Task) -> None:
        submission.lifecycle = self._core.arrive(task, submission)
        ticket = submission.ticket

        def left(_: object) -> None:
            self.admission.complete(ticket, unix_us())
            self._let_in()

        submission.answer.add_done_callback(left)

    def _let_in(self) -> None:
        if not self.admission.waiting:
            return
        self._tell(*self.admission.admit_next(unix_us()))

    def _tell(self, let_in: list[Ticket], late: list[Ticket]) -> None:
        for tickets, verdict in ((let_in, True), (late, False)):
            for ticket in tickets:
                if (waiting := self._entering.pop(ticket, None)) is not None and not waiting.done():
                    waiting.set_result(verdict)

    def _spread(self, wait_us: float) -> int:
        """Guards against all who were turned away coming back in the same moment."""
        most = self._settings.max_retry_after_us or 30_000_000
        return int(min(wait_us * (0.75 + 0.5 * self._random.random()), most))

    def _barred(self, key: int, cls: RequestClass) -> dict | None:
        """The answer to a key that can't go out now, whatever the module would say."""
        if self._bots.stale_reason:
            raise HttpError(503, f"store: {self._bots.stale_reason}", "store", 30.0)
        match self._ledger.rejection(key, cls):
            case KeyRejection.BUSY:
                raise HttpError(409, f"key: {KeyRejection.BUSY.value}", "key")
            case KeyRejection.SPENT:
                return {"answer": "failed", "reason": KeyRejection.SPENT.value}
            case KeyRejection.IN_DOUBT:
                wait = self._ledger.in_doubt_until(key) + self._bots.timing.grace - self._bots.now()
                return self._not_yet(KeyRejection.IN_DOUBT.value, max(0.0, wait) + 0.1)
        # With a store, all leases of a former gateway are known: only a new one lets time pass first.
        if self._book.fresh and (left := self._started + self._bots.timing.settle - self._bots.now()) > 0:
            return self._not_yet("leases of a former gateway may still run", left)
        if self._ledger.is_full_for(cls):
            raise HttpError(503, "class: no more tasks of this class can be remembered", "class")
        return None

    @staticmethod
    def _not_yet(reason: str, wait: float) -> dict:
        return {"answer": "refused", "reason": reason, "waitMs": math.ceil(wait * 1000)}

    # ---- following and ending ------------------------------------------------------------------------------

    async def get(self, name: str, request: Request) -> dict:
        submission = self.find(name, request.who)
        wait = request.seconds("x-server-timeout", self._bots.timing.poll)
        if wait and not submission.over.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(submission.over.wait(), wait)
        return self._shown(submission)

    def delete(self, name: str, who: object) -> dict:
        """The submitter ends its task: the puller is told to stop it."""
        submission = self.find(name, who)
        if submission.state == "ASKED":
            raise HttpError(409, "name: no answer yet; close the submission to give the task up", "name")
        self.cancel(submission)
        return self._shown(submission)

    def cancel(self, submission: Submission) -> None:
        """End it wherever it stands: waiting, under way, or placed."""
        if submission.state == "PLACED":
            submission.lifecycle.deliver(Released(CAUSE_FINISHED))
            submission.ended_by_owner()
        elif submission.state == "ASKED":
            self.give_up(submission)

    def give_up(self, submission: Submission) -> None:
        if submission.state != "ASKED":
            return
        if submission.lifecycle is not None:
            submission.lifecycle.deliver(GivenUp())
        elif submission.ticket is not None:
            self.admission.withdraw(submission.ticket)
            self._entering.pop(submission.ticket, None)
        submission.final_answer = {
            "answer": "refused",
            "name": submission.name,
            "reason": "given up by its submitter",
            "waitMs": 0,
        }
        submission.ended_by_owner()
        if not submission.answer.done():
            submission.answer.set_result(submission.final_answer)

    def ended(self, submission: Submission) -> None:
        self._ledger.release(submission.key)
        self._ended.append(submission.name)
        if len(self._ended) > ENDED_KEPT:
            self.drop(self._ended.popleft())

    def drop(self, name: str) -> None:
        """It is no longer told of."""
        submission = self.known.pop(name, None)
        if submission is not None:
            self._by_request.pop((submission.tenant, submission.meta.get("request", "")), None)
            if submission.recorded:
                self._book.append_with_retry(durable_state.encode("drop", name))

    def record(self, submission: Submission, payload: bytes) -> asyncio.Future | None:
        """What has happened to a submission; only for those that are in the book at all."""
        return self._book.append_with_retry(payload) if submission.recorded else None

    def find(self, name: str, who: object) -> Submission:
        submission = self.known.get(name)
        tenant = getattr(who, "tenant", "")
        # Guards other tenants' tasks: their names are as unknown as those that never were.
        if submission is None or (tenant and self._settings.tenants[submission.tenant].name != tenant):
            raise HttpError(404, "name: no such task", "name")
        return submission

    @staticmethod
    def _shown(submission: Submission) -> dict:
        return {"name": submission.name, "state": submission.state}

    async def changes(self, submission: Submission) -> AsyncIterator[str]:
        """Each state from now to the end, the present one first; '' now and then where nothing changes."""
        last = None
        while True:
            changed = submission.changed
            if submission.state != last:
                last = submission.state
                yield last
            if submission.over.is_set():
                return
            if submission.state == last:
                try:
                    await asyncio.wait_for(changed.wait(), 5.0)
                except TimeoutError:
                    yield ""

    # ---- after a restart -----------------------------------------------------------------------------------

    def restore(self) -> tuple[int, int]:
        """Take over what the store kept: submissions with their answers, and all leases that are out.

        Returns the leases that go on, and the submissions that are asked for anew.
        """
        state = self._book.state
        out, anew, asked_keys = 0, [], []
        for one in list(state.operations.values()):
            try:
                form = self._reader.read({**one.fields, "blob": one.blob})
            except HttpError as fault:
                self._log(f"store: {one.name} is left out, the settings have changed: {fault}")
                continue
            setup = form.request
            submission = self.known[one.name] = Submission(self, one.name, setup.key, setup.tenant, one.meta)
            submission.fields = one.fields
            submission.restore(one)
            if one.meta.get("request"):
                self._by_request[setup.tenant, one.meta["request"]] = submission
            passed = LeasePayload(setup, one.blob, submission.set_result)
            task = self._task(one.name, setup, one.meta["deadline"], passed, form.requirements)
            lease = state.leases.get(one.lease)
            if lease is not None:
                out += 1
                machine = self._bots.leases.restore(lease, task)
                if not one.over:
                    asked_keys.append(setup.key)
                submission.lifecycle = self._core.adopt(
                    task,
                    machine,
                    Nobody() if one.over else submission,
                    answered=one.over or one.answer is not None,
                )
            elif one.over:
                self._ended.append(one.name)
            elif one.answer is not None:  # placed, and its end did not reach the disk
                submission.released(CAUSE_LOST)
            else:
                anew.append((submission, task))
        self._ledger.restore(state.spent, self._bots.leases.handed_out(), asked_keys)
        for submission, task in anew:
            self._again(submission, task)
        return out, len(anew)

    def _again(self, submission: Submission, task: ports.Task) -> None:
        """It was asked for, and never left: it goes its way if somebody may come for the answer in time."""
        now = unix_us()
        if now >= task.deadline_us or not (submission.meta.get("waits") or submission.meta.get("request")):
            submission.refused(0, "the gateway has started anew")
            return
        self._ledger.reserve(submission.key)
        submission.ticket = Ticket(submission.tenant, task.deadline_us, now)
        self._come(submission, task)
