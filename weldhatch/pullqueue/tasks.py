"""Submitted tasks: each submitter gets the one final answer, and may follow or end the task that stands.

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
from weldhatch.core.messages import CUT, GIVEN_UP, GivenUp, Released
from weldhatch.core.policy_driver import unix_us
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.loop_lag import LoopLag
from weldhatch.placement_request import FieldError, PlacementForm, PlacementRequest
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.admission import AdmissionQueue, Ticket, Verdict
from weldhatch.pullqueue.bot_sessions import BotSessions
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.leases import KeyLedger, KeyRejection
from weldhatch.pullqueue.machines import LeasePayload
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.pullqueue.submission import Nobody, Submitted
from weldhatch.pullqueue.workers import NOTHING, Matching, Worker, read_worker
from weldhatch.scheduling.types import Effect, RequestClass, Settings
from weldhatch.store.log import LogError

BLOB_MOST = 8 * 1024
REQUEST_ID_MOST = 100
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
        self._form = PlacementForm(settings)
        self.known: dict[str, Submitted] = {}
        self._by_request: dict[tuple[int, str], Submitted] = {}
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
        asked, answer = await self._submit(request.json(), request.who, waits=False)
        if asked is None:
            return answer, self._headers(answer)
        try:
            answer = await asyncio.shield(asked.answer)
        except asyncio.CancelledError:  # the submitter has gone
            if not asked.meta["request"]:  # and nobody can come for the answer
                self.give_up(asked)
            raise
        return answer, self._headers(answer)

    def rule(self, settings: Settings) -> None:
        """Other settings are in force from now on; classes keep their places."""
        self._settings, self._form = settings, PlacementForm(settings)

    async def begin(self, tree: dict, who: object) -> Submitted:
        """A submission that is answered with its operation at once; HttpError where it can't be taken."""
        asked, answer = await self._submit(tree, who, waits=True)
        if asked is None:  # barred: an operation that is over
            asked = self._make(0, self._tenant_of(tree, who), {"at": unix_us(), "deadline": 0, "request": ""})
            asked.state, asked.told = answer["answer"].upper(), {**answer, "name": asked.name}
            asked.answer.set_result(asked.told)
            asked.over.set()
            self.ended(asked)
        return asked

    @staticmethod
    def _headers(answer: dict) -> dict[str, str]:
        return {"Retry-After": str(math.ceil(answer["waitMs"] / 1000))} if answer.get("waitMs") else {}

    def _tenant_of(self, tree: dict, who: object) -> int:
        names = [tenant.name for tenant in self._settings.tenants]
        name = getattr(who, "tenant", "") or tree.get("tenant")
        return names.index(name) if name in names else 0

    async def _submit(self, tree: dict, who: object, waits: bool) -> tuple[Submitted | None, dict]:
        """Take one submission: the operation, or the answer to one that is barred."""
        tree = self._for(tree, who)
        setup, blob, wanted, request_id = self._read(tree)
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
        asked = self._make(setup.key, setup.tenant, meta)
        asked.fields = {name: tree[name] for name in RECORDED_FIELDS if name in tree}
        self._ledger.reserve(setup.key)
        if request_id:
            self._by_request[setup.tenant, request_id] = asked
        passed = LeasePayload(setup, blob, asked.machine_says, lambda: self._first_record(asked, blob))
        if waits or request_id:
            try:
                await self._book.append(*self._first_record(asked, blob))
            except LogError as fault:
                asked.refused(1_000_000, "the store takes nothing")
                raise HttpError(503, f"store: {fault}", "store", 1.0) from None
        task = self._task(asked.name, setup, deadline, passed, wanted)
        asked.ticket = Ticket(setup.tenant, deadline, now, setup.again)
        self._come(asked, task)
        return asked, {}

    def _for(self, tree: dict, who: object) -> dict:
        """A submitter acts for the tenant that its token names, and for no other."""
        tenant = getattr(who, "tenant", "")
        if not tenant:
            return tree
        if tree.get("tenant", tenant) not in ("", tenant):
            raise HttpError(403, "tenant: the token is for another one", "tenant")
        return {**tree, "tenant": tenant}

    def _read(self, tree: dict) -> tuple[PlacementRequest, str, Worker, str]:
        try:
            setup = self._form.read(tree)
        except FieldError as fault:
            raise HttpError(400, str(fault), fault.field) from None
        cls = self._settings.classes[setup.class_index]
        blob, request_id = tree.get("blob", ""), tree.get("requestId", "")
        if not isinstance(blob, str) or len(blob) > BLOB_MOST:
            raise HttpError(400, f"blob: a text of at most {BLOB_MOST} characters is needed", "blob")
        if not isinstance(request_id, str) or len(request_id) > REQUEST_ID_MOST:
            raise HttpError(
                400, f"requestId: a text of at most {REQUEST_ID_MOST} characters is needed", "requestId"
            )
        if setup.at:
            raise HttpError(400, "extras.at: a pull queue knows who holds a task", "extras.at")
        if not setup.key and cls.effect is not Effect.SAFE:
            raise HttpError(400, "key: tasks of this class need one", "key")
        if setup.left_us < 1000:
            raise HttpError(400, "left: at least 1 millisecond is needed", "left")
        wanted = read_worker(tree.get("requirements"), "requirements")
        return setup, blob, wanted, request_id

    def _make(self, key: int, tenant: int, meta: dict) -> Submitted:
        self._serial += 1
        name = f"tasks/{self._epoch}-{self._serial}"
        asked = self.known[name] = Submitted(self, name, key, tenant, meta)
        return asked

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

    def _first_record(self, asked: Submitted, blob: str) -> tuple[bytes, ...]:
        """A submission is in the book before the first thing that rests on it."""
        if asked.recorded:
            return ()
        asked.recorded = True
        return (durable_state.encode("asked", asked.name, asked.fields, blob, asked.meta),)

    # ---- the gate ------------------------------------------------------------------------------------------

    def _come(self, asked: Submitted, task: ports.Task) -> None:
        decision = self.admission.request_admission(asked.ticket, unix_us())
        displaced = decision.displaced
        if displaced is not None and (waiting := self._entering.pop(displaced, None)) is not None:
            waiting.set_result(False)
        if decision.verdict is Verdict.ADMITTED:
            self._arrive(asked, task)
        elif decision.verdict is Verdict.REJECTED:
            asked.ticket = None
            asked.refused(self._spread(decision.retry_after_us), "no answer would come in time")
        else:
            waiting = self._entering[asked.ticket] = asyncio.get_running_loop().create_future()
            waiting.add_done_callback(lambda told: self._called(asked, task, told))

    def _called(self, asked: Submitted, task: ports.Task, told: asyncio.Future[bool]) -> None:
        if asked.told is not None or asked.over.is_set():  # given up meanwhile
            if told.result():
                self.admission.complete(asked.ticket, unix_us())
            return
        if told.result():
            self._arrive(asked, task)
        else:
            asked.ticket = None
            asked.refused(self._spread(self.admission.retry_after_us()), "no answer would come in time")

    def _arrive(self, asked: Submitted, task: ports.Task) -> None:
        asked.life = self._core.arrive(task, asked)
        ticket = asked.ticket

        def left(_: object) -> None:
            self.admission.complete(ticket, unix_us())
            self._let_in()

        asked.answer.add_done_callback(left)

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
        asked = self.find(name, request.who)
        wait = request.seconds("x-server-timeout", self._bots.timing.poll)
        if wait and not asked.over.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asked.over.wait(), wait)
        return self._shown(asked)

    def delete(self, name: str, who: object) -> dict:
        """The submitter ends its task: the puller is told to stop it."""
        asked = self.find(name, who)
        if asked.state == "ASKED":
            raise HttpError(409, "name: no answer yet; close the submission to give the task up", "name")
        self.cancel(asked)
        return self._shown(asked)

    def cancel(self, asked: Submitted) -> None:
        """End it wherever it stands: waiting, under way, or placed."""
        if asked.state == "PLACED":
            asked.life.deliver(Released(GIVEN_UP))
            asked.ended_by_owner()
        elif asked.state == "ASKED":
            self.give_up(asked)

    def give_up(self, asked: Submitted) -> None:
        if asked.state != "ASKED":
            return
        if asked.life is not None:
            asked.life.deliver(GivenUp())
        elif asked.ticket is not None:
            self.admission.withdraw(asked.ticket)
            self._entering.pop(asked.ticket, None)
        asked.told = {
            "answer": "refused",
            "name": asked.name,
            "reason": "given up by its submitter",
            "waitMs": 0,
        }
        asked.ended_by_owner()
        if not asked.answer.done():
            asked.answer.set_result(asked.told)

    def ended(self, asked: Submitted) -> None:
        self._ledger.release(asked.key)
        self._ended.append(asked.name)
        if len(self._ended) > ENDED_KEPT:
            self.drop(self._ended.popleft())

    def drop(self, name: str) -> None:
        """It is no longer told of."""
        asked = self.known.pop(name, None)
        if asked is not None:
            self._by_request.pop((asked.tenant, asked.meta.get("request", "")), None)
            if asked.recorded:
                self._book.append_with_retry(durable_state.encode("drop", name))

    def record(self, asked: Submitted, payload: bytes) -> asyncio.Future | None:
        """What has happened to a submission; only for those that are in the book at all."""
        return self._book.append_with_retry(payload) if asked.recorded else None

    def find(self, name: str, who: object) -> Submitted:
        asked = self.known.get(name)
        tenant = getattr(who, "tenant", "")
        # Guards other tenants' tasks: their names are as unknown as those that never were.
        if asked is None or (tenant and self._settings.tenants[asked.tenant].name != tenant):
            raise HttpError(404, "name: no such task", "name")
        return asked

    @staticmethod
    def _shown(asked: Submitted) -> dict:
        return {"name": asked.name, "state": asked.state}

    async def changes(self, asked: Submitted) -> AsyncIterator[str]:
        """Each state from now to the end, the present one first; '' now and then where nothing changes."""
        last = None
        while True:
            changed = asked.changed
            if asked.state != last:
                last = asked.state
                yield last
            if asked.over.is_set():
                return
            if asked.state == last:
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
                setup, _, wanted, _ = self._read({**one.fields, "blob": one.blob})
            except HttpError as fault:
                self._log(f"store: {one.name} is left out, the settings have changed: {fault}")
                continue
            asked = self.known[one.name] = Submitted(self, one.name, setup.key, setup.tenant, one.meta)
            asked.fields = one.fields
            asked.restored(one)
            if one.meta.get("request"):
                self._by_request[setup.tenant, one.meta["request"]] = asked
            passed = LeasePayload(setup, one.blob, asked.machine_says)
            task = self._task(one.name, setup, one.meta["deadline"], passed, wanted)
            lease = state.leases.get(one.lease)
            if lease is not None:
                out += 1
                machine = self._bots.leases.restore(lease, task)
                if not one.over:
                    asked_keys.append(setup.key)
                asked.life = self._core.adopt(
                    task,
                    machine,
                    Nobody() if one.over else asked,
                    answered=one.over or one.answer is not None,
                )
            elif one.over:
                self._ended.append(one.name)
            elif one.answer is not None:  # placed, and its end did not reach the disk
                asked.released(CUT)
            else:
                anew.append((asked, task))
        self._ledger.restore(state.spent, self._bots.leases.handed_out(), asked_keys)
        for asked, task in anew:
            self._again(asked, task)
        return out, len(anew)

    def _again(self, asked: Submitted, task: ports.Task) -> None:
        """It was asked for, and never left: it goes its way if somebody may come for the answer in time."""
        now = unix_us()
        if now >= task.deadline_us or not (asked.meta.get("waits") or asked.meta.get("request")):
            asked.refused(0, "the gateway has started anew")
            return
        self._ledger.reserve(asked.key)
        asked.ticket = Ticket(asked.tenant, task.deadline_us, now)
        self._come(asked, task)
