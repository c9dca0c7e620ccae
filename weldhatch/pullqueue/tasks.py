"""Submissions: each submitter gets one final answer, and may follow or end its running task.

A submission is an operation with a name. It passes the admission queue, then the policy places it. Its answer
is written to the store before it is sent (a slow disk delays the answer by at most 50 ms), so that a client
that retries by name or by request id gets the same answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from random import Random

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_CANCELLED, CAUSE_FINISHED, CAUSE_LOST, GivenUp, Released
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_lifecycle import Core
from weldhatch.placement_request import PlacementRequest
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.admission import AdmissionQueue, Ticket
from weldhatch.pullqueue.bot_sessions import BotSessions
from weldhatch.pullqueue.durable_state import EndedLease, OperationRecord
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.leases import KeyLedger, KeyRejection
from weldhatch.pullqueue.machines import LeasePayload, payload_of
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.pullqueue.submission import NullOwner, Submission
from weldhatch.pullqueue.submission_form import SubmissionReader, for_callers_tenant
from weldhatch.pullqueue.ticket_waiters import TicketWaiters
from weldhatch.pullqueue.workers import EMPTY_WORKER, MatchingMachines, Worker
from weldhatch.scheduling.events import Attempt
from weldhatch.scheduling.types import RequestClass, Settings
from weldhatch.store.log import LogError

MAX_ENDED_KEPT = 1024  # submissions that are over and can still be queried
UNSTORED_RETRY_US = 1_000_000  # Retry-After of a submission that could not be stored
MIN_TIME_LEFT_US = 1000  # of a submission that was received long ago
RECORDED_FIELDS = ("class", "left", "tenant", "key", "idem", "extras", "retry", "requirements")


class Tasks:
    """All submissions, by name.

    The ledger decides whether a key is accepted, the admission queue when the policy gets the request.
    """

    def __init__(
        self,
        settings: Settings,
        core: Core,
        bots: BotSessions,
        ledger: KeyLedger,
        storage: QueueStorage | NoStorage,
        queue: int,
        random: Random,
        log: Callable[[str], None],
    ) -> None:
        """Start without submissions. `queue`: the maximum number of waiting ones. Needs an event loop."""
        self._settings, self._core, self._bots, self._ledger, self._log = settings, core, bots, ledger, log
        self._storage, self._random = storage, random
        self._reader = SubmissionReader(settings)
        self.known: dict[str, Submission] = {}
        self._by_request: dict[tuple[int, str], Submission] = {}
        self._ended: deque[str] = deque()
        self._serial = 0
        self._epoch = storage.epoch_name
        shares = {n: max(tenant.portion, 0.001) for n, tenant in enumerate(settings.tenants)} or {0: 1.0}
        self._admission = TicketWaiters(AdmissionQueue(shares, queue), log)
        self._storing: set[asyncio.Task[None]] = set()  # of submissions that are not on the disk yet

    def close(self) -> None:
        """Admit nothing more; submissions that are not on the disk yet go no further."""
        self._admission.close()
        for storing in self._storing:
            storing.cancel()

    @property
    def waiting(self) -> int:
        """Number of submissions without an answer that are not in the core yet."""
        return len(self._storing) + len(self._admission)

    # ---- submitting ----------------------------------------------------------------------------------------

    async def submit(self, request: Request) -> tuple[dict, dict[str, str]]:
        """Take a submission; return its final answer and headers. Raises HttpError."""
        submission, answer = await self._submit(request.json(), request.caller, fetches_later=False)
        if submission is None:
            return answer, self._headers(answer)
        try:
            answer = await asyncio.shield(submission.answer)
        except asyncio.CancelledError:
            self.give_up_unless_fetchable(submission)
            raise
        return answer, self._headers(answer)

    def give_up_unless_fetchable(self, submission: Submission) -> None:
        """Give up a submission whose submitter has disconnected before it was told the name or the answer.

        With a request id, the submitter can ask for it again.
        """
        if not submission.meta["request"]:
            self.give_up(submission)

    def reconfigure(self, settings: Settings) -> None:
        """Replace the settings; classes keep their indices."""
        self._settings = settings
        self._reader = SubmissionReader(settings)

    async def start_operation(self, tree: dict, caller: object) -> Submission:
        """Take a submission and return it without waiting for its answer. Raises HttpError."""
        submission, answer = await self._submit(tree, caller, fetches_later=True)
        if submission is None:  # rejected by its key: shown as an operation that is over
            submission = self._create(
                0, self._reader.tenant_of(tree, caller), {"at": unix_us(), "deadline": 0, "request": ""}
            )
            submission.state, submission.final_answer = (
                answer["answer"].upper(),
                {**answer, "name": submission.name},
            )
            submission.answer.set_result(submission.final_answer)
            submission.over.set()
            self.on_end(submission)
        return submission

    @staticmethod
    def _headers(answer: dict) -> dict[str, str]:
        return {"Retry-After": str(math.ceil(answer["waitMs"] / 1000))} if answer.get("waitMs") else {}

    async def _submit(
        self, tree: dict, caller: object, fetches_later: bool
    ) -> tuple[Submission | None, dict]:
        """Take one submission; return it, or None and the answer if its key is rejected.

        Raises HttpError.
        """
        tree = for_callers_tenant(tree, caller)
        form = self._reader.read(tree)
        placement = form.request
        blob = form.blob
        request_id = form.request_id
        cls = self._settings.classes[placement.class_index]
        if request_id and (known := self._by_request.get((placement.tenant, request_id))):
            submitted = {name: tree.get(name) for name in RECORDED_FIELDS if name != "left"}
            if known.fields and submitted != {name: known.fields.get(name) for name in submitted}:
                raise HttpError(409, "requestId: another submission had it", "requestId")
            return known, {}
        if answer := self._key_rejection(placement.key, cls):
            return None, answer
        if self._storage.write_error:
            raise HttpError(503, f"store: {self._storage.write_error}", "store", 1.0)
        now = unix_us()
        # If the event loop lags, the submission was received some time ago: its deadline counts from then.
        left_us = min(placement.left_us, cls.deadline_us) - self._admission.input_age_us
        deadline = now + max(MIN_TIME_LEFT_US, left_us)
        meta = {
            "at": now,
            "deadline": deadline,
            "request": request_id,
            "waits": fetches_later,
            "tenant": placement.tenant,
        }
        submission = self._create(placement.key, placement.tenant, meta)
        submission.fields = {name: tree[name] for name in RECORDED_FIELDS if name in tree}
        self._ledger.reserve(placement.key)
        if request_id:
            self._by_request[placement.tenant, request_id] = submission
        payload = LeasePayload(
            placement,
            blob,
            submission.set_result,
            lambda: self._first_record(submission, blob),
            submission.forget_record,
        )
        task = self._task(submission.name, placement, deadline, payload, form.requirements)
        ticket = Ticket(placement.tenant, deadline, now, placement.again)
        if fetches_later or request_id:
            await self._store_and_request(submission, task, ticket)
        else:
            submission.ticket = ticket
            self._request_admission(submission, task)
        return submission, {}

    async def _store_and_request(self, submission: Submission, task: ports.Task, ticket: Ticket) -> None:
        """Request admission for a submission once it is on the disk, also if its submitter disconnects.

        A submission that nobody could fetch later is given up then. Raises HttpError.
        """
        storing = asyncio.get_running_loop().create_task(self._store_then_request(submission, task, ticket))
        self._storing.add(storing)
        storing.add_done_callback(self._storing.discard)
        try:
            await asyncio.shield(storing)
        except asyncio.CancelledError:
            self.give_up_unless_fetchable(submission)
            raise

    async def _store_then_request(self, submission: Submission, task: ports.Task, ticket: Ticket) -> None:
        records = self._first_record(submission, payload_of(task).blob)
        try:
            async with asyncio.timeout(max(0, task.deadline_us - unix_us()) / 1e6):
                await self._storage.append(*records)
        except TimeoutError:
            submission.refused(UNSTORED_RETRY_US, "the store has not taken it in time")
        except LogError as fault:
            submission.refused(UNSTORED_RETRY_US, "the store takes nothing")
            raise HttpError(503, f"store: {fault}", "store", UNSTORED_RETRY_US / 1e6) from None
        if not submission.over.is_set():  # neither refused nor given up while it was written
            submission.ticket = ticket
            self._request_admission(submission, task)

    def _create(self, key: int, tenant: int, meta: dict) -> Submission:
        self._serial += 1
        name = f"tasks/{self._epoch}-{self._serial}"
        submission = self.known[name] = Submission(self, name, key, tenant, meta)
        return submission

    def _task(
        self, name: str, placement: PlacementRequest, deadline: int, payload: LeasePayload, required: Worker
    ) -> ports.Task:
        eligible = (
            MatchingMachines(required, self._bots.registry.workers) if required != EMPTY_WORKER else None
        )
        return ports.Task(
            name,
            placement.class_index,
            placement.service,
            placement.cores,
            placement.memory,
            deadline,
            placement.key,
            placement.tenant,
            placement.again,
            payload,
            eligible,
        )

    def _first_record(self, submission: Submission, blob: str) -> tuple[bytes, ...]:
        """Return the record of a submission, once: it is stored before the first record that refers to it."""
        if submission.recorded:
            return ()
        submission.recorded = True
        return (durable_state.encode("asked", submission.name, submission.fields, blob, submission.meta),)

    # ---- admission -----------------------------------------------------------------------------------------

    def _request_admission(self, submission: Submission, task: ports.Task) -> None:
        self._admission.request(
            submission.ticket,
            lambda: self._on_admitted(submission, task),
            lambda retry_after_us: self._on_rejected(submission, retry_after_us),
        )

    def _on_admitted(self, submission: Submission, task: ports.Task) -> None:
        if submission.over.is_set():  # given up while it waited
            self._admission.complete(submission.ticket)
        else:
            self._start_lifecycle(submission, task)

    def _on_rejected(self, submission: Submission, retry_after_us: float) -> None:
        if not submission.over.is_set():
            submission.ticket = None
            submission.refused(self._add_jitter(retry_after_us), "no answer would come in time")

    def _start_lifecycle(self, submission: Submission, task: ports.Task) -> None:
        submission.lifecycle = self._core.arrive(task, submission)
        ticket = submission.ticket
        submission.answer.add_done_callback(lambda _: self._admission.complete(ticket))

    def _add_jitter(self, wait_us: float) -> int:
        """Add random jitter to a Retry-After, so that rejected clients do not all retry at the same time."""
        max_us = self._settings.max_retry_after_us or 30_000_000
        return int(min(wait_us * (0.75 + 0.5 * self._random.random()), max_us))

    def _key_rejection(self, key: int, cls: RequestClass) -> dict | None:
        """Return the answer to a key that can't be accepted now; None for one that can. Raises HttpError."""
        if self._bots.stale_reason:
            raise HttpError(503, f"store: {self._bots.stale_reason}", "store", 30.0)
        match self._ledger.rejection(key, cls):
            case KeyRejection.BUSY:
                raise HttpError(409, f"key: {KeyRejection.BUSY.value}", "key")
            case KeyRejection.SPENT:
                return {"answer": "failed", "reason": KeyRejection.SPENT.value}
            case KeyRejection.IN_DOUBT:
                wait_s = self._ledger.in_doubt_until(key) + self._bots.timing.grace - self._bots.now()
                return self._refused_answer(KeyRejection.IN_DOUBT.value, max(0.0, wait_s) + 0.1)
        # A store knows all leases of former runs that had it, so only a gateway without an earlier store has
        # to wait until leases that it doesn't know have expired.
        if (left_s := self._storage.settles_at - self._bots.now()) > 0:
            return self._refused_answer("leases of a former gateway may still run", left_s)
        if self._ledger.is_full_for(cls):
            raise HttpError(503, "class: no more tasks of this class can be remembered", "class")
        return None

    @staticmethod
    def _refused_answer(reason: str, wait_s: float) -> dict:
        return {"answer": "refused", "reason": reason, "waitMs": math.ceil(wait_s * 1000)}

    # ---- queries and cancellation --------------------------------------------------------------------------

    async def get(self, name: str, request: Request) -> dict:
        """Return the state of a submission, after waiting for its end if asked to. Raises HttpError."""
        submission = self.find(name, request.caller)
        wait_s = request.seconds("x-server-timeout", self._bots.timing.poll)
        if wait_s and not submission.over.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(submission.over.wait(), wait_s)
        return self._state_json(submission)

    async def delete(self, name: str, caller: object) -> dict:
        """End a task at its submitter's request; return its state. Raises HttpError."""
        submission = self.find(name, caller)
        if submission.state == "ASKED":
            raise HttpError(409, "name: no answer yet; close the submission to give the task up", "name")
        self.cancel(submission)
        await submission.wait_until_end_stored()
        return self._state_json(submission)

    def cancel(self, submission: Submission) -> None:
        """Cancel a submission: waiting for admission, pending in the core, or placed."""
        if submission.state == "PLACED":
            submission.lifecycle.deliver(Released(CAUSE_FINISHED))
            submission.ended_by_owner()
        elif submission.state == "ASKED":
            self.give_up(submission)

    def give_up(self, submission: Submission) -> None:
        """Give up a submission that has no answer yet, on behalf of its submitter."""
        if submission.state != "ASKED":
            return
        if submission.lifecycle is not None:
            submission.lifecycle.deliver(GivenUp())
        elif submission.ticket is not None:
            self._admission.withdraw(submission.ticket)
        submission.given_up()

    def on_end(self, submission: Submission) -> None:
        """Release the key of a submission that is over, and drop the oldest such submission if too many."""
        self._ledger.release(submission.key)
        self._ended.append(submission.name)
        if len(self._ended) > MAX_ENDED_KEPT:
            self.drop(self._ended.popleft())

    def drop(self, name: str) -> None:
        """Remove a submission, so that it can't be queried any more."""
        submission = self.known.get(name)
        if submission is not None:
            self._forget(submission)
            if submission.recorded:
                self._storage.append_with_retry(durable_state.encode("drop", name))

    def _forget(self, submission: Submission) -> None:
        del self.known[submission.name]
        self._by_request.pop((submission.tenant, submission.meta.get("request", "")), None)

    def record(self, submission: Submission, payload: bytes) -> asyncio.Future | None:
        """Store a record of a submission; None if the submission itself is not stored."""
        return self._storage.append_with_retry(payload) if submission.recorded else None

    def find(self, name: str, caller: object) -> Submission:
        """Return a submission of the caller's tenant by its name. Raises HttpError."""
        submission = self.known.get(name)
        tenant = getattr(caller, "tenant", "")
        # A task of another tenant gets the same answer as an unknown name, to hide its existence.
        if submission is None or (tenant and self._settings.tenants[submission.tenant].name != tenant):
            raise HttpError(404, "name: no such task", "name")
        return submission

    @staticmethod
    def _state_json(submission: Submission) -> dict:
        return {"name": submission.name, "state": submission.state}

    async def changes(self, submission: Submission) -> AsyncIterator[str]:
        """Yield the current state and each later one up to the end, and '' every 5 s without a change."""
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
        """Restore submissions, their answers and all leases that machines may hold from the store.

        Returns the number of restored leases, and the number of submissions that are requested again.
        """
        state = self._storage.state
        restored_leases, resubmitted, reserved_keys = 0, [], []
        for stored in list(state.operations.values()):
            try:
                form = self._reader.read({**stored.fields, "blob": stored.blob})
            except HttpError as fault:
                self._log(f"store: {stored.name} not restored, invalid under the current settings: {fault}")
                continue
            placement = form.request
            submission = self._restore_submission(stored, placement)
            payload = LeasePayload(placement, stored.blob, submission.set_result)
            task = self._task(stored.name, placement, stored.meta["deadline"], payload, form.requirements)
            if stored.uncertain is not None:
                task = replace(task, uncertain_attempt=self._attempt_on(stored.uncertain, stored))
                request_class = self._settings.classes[placement.class_index]
                submission.retry_is_unsafe = not request_class.is_repeatable
            lease = state.leases.get(stored.lease)
            if lease is not None:
                restored_leases += 1
                machine = self._bots.leases.restore(lease, task)
                if not stored.over:
                    reserved_keys.append(placement.key)
                    if lease.running and submission.final_answer is None:
                        submission.placed(lease.bot)  # the former run was about to answer so
                submission.lifecycle = self._core.adopt(
                    task,
                    machine,
                    NullOwner() if stored.over else submission,
                    answered=stored.over or submission.final_answer is not None,
                )
                if stored.over:  # its owner has ended it, or was answered failed: nothing else would stop it
                    submission.lifecycle.deliver(Released(CAUSE_CANCELLED))
            elif stored.over:
                self._ended.append(stored.name)
            elif stored.placed_and_ended is not None:
                self._end_restored(submission, stored.placed_and_ended)
            elif stored.answer is not None:  # placed, and nothing is known of its lease
                submission.released(CAUSE_LOST)
            else:
                resubmitted.append((submission, task))
            if stored.dropped:
                self._forget(submission)
        self._ledger.restore(state.spent, self._bots.leases.handed_out(), reserved_keys)
        for submission, task in resubmitted:
            self._request_again(submission, task)
        self._bots.leases.store_lease_time()
        return restored_leases, len(resubmitted)

    def _restore_submission(self, stored: OperationRecord, placement: PlacementRequest) -> Submission:
        submission = self.known[stored.name] = Submission(
            self, stored.name, placement.key, placement.tenant, stored.meta
        )
        submission.fields = stored.fields
        submission.restore(stored)
        if stored.meta.get("request"):
            self._by_request[placement.tenant, stored.meta["request"]] = submission
        return submission

    def _attempt_on(self, ended: EndedLease, stored: OperationRecord) -> Attempt:
        """Return the attempt of a lease of a former run.

        If the time of its hand-out is unknown, the time of the submission is taken, which is earlier.
        """
        machine = self._bots.registry.stored_machine(ended.lease.bot, ended.lease.place)
        return Attempt(machine, ended.lease.at or stored.meta["at"])

    @staticmethod
    def _end_restored(submission: Submission, ended: EndedLease) -> None:
        """Answer and end a submission whose lease has ended, as the former run was about to do."""
        submission.set_result(ended.end.result, ended.end.message)
        if submission.final_answer is None:
            submission.placed(ended.lease.bot)
        submission.released(ended.end.cause)

    def _request_again(self, submission: Submission, task: ports.Task) -> None:
        """Request admission again for a submission without a lease.

        It is refused if its deadline has passed, or if its submitter can't fetch the answer later.
        """
        now = unix_us()
        if now >= task.deadline_us or not (submission.meta.get("waits") or submission.meta.get("request")):
            submission.refused(0, "the gateway has started anew")
            return
        self._ledger.reserve(submission.key)
        submission.ticket = Ticket(submission.tenant, task.deadline_us, now)
        self._request_admission(submission, task)
