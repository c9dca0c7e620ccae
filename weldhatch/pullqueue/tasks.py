"""Submitted tasks: each submitter gets the one final answer, and may follow or end the task that stands."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections.abc import Callable

from weldhatch import interface as i
from weldhatch.core import ports
from weldhatch.core.driver import unix_us
from weldhatch.core.life import Core, Life
from weldhatch.pullqueue.bots import Bots
from weldhatch.pullqueue.http import HttpError, Request
from weldhatch.pullqueue.leases import Ledger, Refusal
from weldhatch.setups import FieldError, Form

BLOB_MOST = 8 * 1024
ENDED_KEPT = 1024  # tasks that are over can still be asked for


class Submitted:
    """One submission: the core's owner."""

    def __init__(self, tasks: Tasks, id: str, key: int) -> None:
        self._tasks, self.id, self._key = tasks, id, key
        self.answer: asyncio.Future[dict] = asyncio.get_running_loop().create_future()
        self.over = asyncio.Event()
        self.life: Life | None = None
        self.state, self.cause = "ASKED", 0

    def placed(self, description: str | None) -> None:
        self.state = "PLACED"
        self._say({"answer": "placed", "name": self.id, "botId": description})

    def refused(self, wait_us: int) -> None:
        self._end("REFUSED")
        self._say({"answer": "refused", "name": self.id, "waitMs": math.ceil(wait_us / 1000)})

    def failed(self) -> None:
        self._end("FAILED")
        self._say({"answer": "failed", "name": self.id})

    def released(self, cause: int) -> None:
        self.cause = cause
        self._end("DONE" if cause == ports.GIVEN_UP else "LOST")

    def moved(self) -> None:
        self._end("MOVED")

    def ended_by_owner(self) -> None:
        self._end("CANCELLED")

    def _say(self, answer: dict) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)

    def _end(self, state: str) -> None:
        self.state = state
        self.over.set()
        self._tasks.ended(self, self._key)


class Tasks:
    """Submissions by name. The ledger decides whether a key may be asked for; the module all the rest."""

    def __init__(self, settings: i.Settings, core: Core, bots: Bots, ledger: Ledger,
                 log: Callable[[str], None]) -> None:
        self._settings, self._core, self._bots, self._ledger, self._log = settings, core, bots, ledger, log
        self._form = Form(settings)
        self._known: dict[str, Submitted] = {}
        self._ended: list[str] = []
        self._serial = 0
        self._started = time.time()
        self._epoch = f"{time.time_ns():x}"

    async def submit(self, request: Request) -> tuple[dict, dict[str, str]]:
        tree = request.json()
        try:
            setup = self._form.read(tree)
        except FieldError as fault:
            raise HttpError(400, str(fault), fault.field) from None
        cls = self._settings.classes[setup.class_index]
        blob = tree.get("blob", "")
        if not isinstance(blob, str) or len(blob) > BLOB_MOST:
            raise HttpError(400, f"blob: a text of at most {BLOB_MOST} characters is needed", "blob")
        if setup.at:
            raise HttpError(400, "extras.at: a pull queue knows who holds a task", "extras.at")
        if not setup.key and cls.effect is not i.Effect.SAFE:
            raise HttpError(400, "key: tasks of this class need one", "key")
        if setup.left_us < 1000:
            raise HttpError(400, "left: at least 1 millisecond is needed", "left")
        if answer := self._barred(setup.key, cls):
            return answer
        self._serial += 1
        name = f"tasks/{self._epoch}-{self._serial}"
        asked = self._known[name] = Submitted(self, name, setup.key)
        self._ledger.ask(setup.key)
        task = ports.Task(name, setup.class_index, setup.service, setup.cores, setup.memory,
                          unix_us() + min(setup.left_us, cls.deadline_us), setup.key, setup.tenant,
                          setup.again, (setup, blob))
        asked.life = self._core.arrive(task, asked)
        try:
            answer = await asyncio.shield(asked.answer)
        except asyncio.CancelledError:  # the submitter has gone: nobody waits for the answer
            if asked.state == "ASKED":
                asked.life.tell(ports.GivenUp())
                asked.ended_by_owner()
            raise
        wait = {"Retry-After": str(math.ceil(answer["waitMs"] / 1000))} if answer.get("waitMs") else {}
        return answer, wait

    def _barred(self, key: int, cls: i.RequestClass) -> tuple[dict, dict[str, str]] | None:
        """The answer to a key that can't go out now, whatever the module would say."""
        match self._ledger.refusal(key, cls):
            case Refusal.BUSY:
                raise HttpError(409, f"key: {Refusal.BUSY.value}", "key")
            case Refusal.SPENT:
                return {"answer": "failed", "reason": Refusal.SPENT.value}, {}
            case Refusal.IN_DOUBT:
                wait = self._ledger.doubt_ends(key) + self._bots.timing.grace - time.time()
                return self._not_yet(Refusal.IN_DOUBT.value, max(0.0, wait) + 0.1)
        if (left := self._started + self._bots.timing.settle - time.time()) > 0:
            return self._not_yet("leases of a former gateway may still run", left)
        if self._ledger.full(cls):
            raise HttpError(503, "class: no more tasks of this class can be remembered", "class")
        return None

    @staticmethod
    def _not_yet(reason: str, wait: float) -> tuple[dict, dict[str, str]]:
        return ({"answer": "refused", "reason": reason, "waitMs": math.ceil(wait * 1000)},
                {"Retry-After": str(math.ceil(wait))})

    async def get(self, name: str, request: Request) -> dict:
        asked = self._find(name)
        wait = request.seconds("x-server-timeout", self._bots.timing.poll)
        if wait and not asked.over.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asked.over.wait(), wait)
        return self._shown(asked)

    def delete(self, name: str) -> dict:
        """The submitter ends its task: the puller is told to stop it."""
        asked = self._find(name)
        if asked.state == "PLACED":
            asked.life.tell(ports.Released(ports.GIVEN_UP))
            asked.ended_by_owner()
        elif asked.state == "ASKED":
            raise HttpError(409, "name: no answer yet; close the submission to give the task up", "name")
        return self._shown(asked)

    def ended(self, asked: Submitted, key: int) -> None:
        self._ledger.answered(key)
        self._ended.append(asked.id)
        if len(self._ended) > ENDED_KEPT:
            self._known.pop(self._ended.pop(0), None)

    def _find(self, name: str) -> Submitted:
        if name not in self._known:
            raise HttpError(404, "name: no such task", "name")
        return self._known[name]

    @staticmethod
    def _shown(asked: Submitted) -> dict:
        return {"name": asked.id, "state": asked.state}
