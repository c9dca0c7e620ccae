"""One submission: the core's owner, and what is told of it by its name."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from weldhatch.core.messages import CAUSE_FINISHED
from weldhatch.core.request_lifecycle import RequestLifecycle
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.admission import Ticket


class SubmissionOwner(Protocol):
    """Who keeps submissions and their records."""

    def record(self, submission: Submission, payload: bytes) -> asyncio.Future | None: ...

    def ended(self, submission: Submission) -> None: ...


class Submission:
    """One submission: the core's owner, and an operation by its name."""

    def __init__(self, tasks: SubmissionOwner, name: str, key: int, tenant: int, meta: dict) -> None:
        self._tasks, self.name, self.key, self.tenant, self.meta = tasks, name, key, tenant, meta
        self.fields: dict = {}
        self.answer: asyncio.Future[dict] = asyncio.get_running_loop().create_future()
        self.final_answer: dict | None = None  # the answer, once there is one
        self.over = asyncio.Event()
        self.changed = asyncio.Event()  # set anew at each change of state
        self.lifecycle: RequestLifecycle | None = None
        self.ticket: Ticket | None = None
        self.state, self.cause = "ASKED", 0
        self.result: object = None
        self.message = ""
        self.bot = ""
        self.recorded = False

    # ---- what the core says --------------------------------------------------------------------------------

    def placed(self, description: str | None) -> None:
        self.state, self.bot = "PLACED", description or ""
        self._say({"answer": "placed", "name": self.name, "botId": description})

    def refused(self, wait_us: int, reason: str = "") -> None:
        self.state = "REFUSED"
        wait = {"waitMs": math.ceil(wait_us / 1000)}
        self._say({"answer": "refused", "name": self.name, **wait, **({"reason": reason} if reason else {})})
        self._end()

    def failed(self) -> None:
        self.state = "FAILED"
        self._say({"answer": "failed", "name": self.name})
        self._end()

    def released(self, cause: int) -> None:
        self.cause = cause
        self._end("DONE" if cause == CAUSE_FINISHED else "LOST")

    def moved(self) -> None:
        self._end("MOVED")

    def ended_by_owner(self) -> None:
        self._end("CANCELLED")

    def set_result(self, result: object, message: str) -> None:
        """What the machine said with the end of a lease."""
        self.result, self.message = result, message

    # ---- what follows from it ------------------------------------------------------------------------------

    def _say(self, answer: dict) -> None:
        self.final_answer = answer
        written = self._tasks.record(self, durable_state.encode("answer", self.name, answer))
        if written is None or written.done():
            self._give(answer)
        else:
            written.add_done_callback(lambda _: self._give(answer))
            # A final answer is never held back for long, also where the disk takes nothing.
            asyncio.get_running_loop().call_later(0.05, self._give, answer)

    def _give(self, answer: dict) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)
            self._news()

    def _news(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _end(self, state: str = "") -> None:
        self.state = state or self.state
        self.over.set()
        if state:
            self._tasks.record(self, durable_state.encode("end", self.name, state, self.cause, self.result))
        self._news()
        self._tasks.ended(self)

    def restore(self, one: durable_state.OperationRecord) -> None:
        """What a former gateway told of it."""
        self.state, self.cause, self.result, self.recorded = one.state, one.cause, one.result, True
        if one.answer is not None:
            self.final_answer = one.answer
            self.bot = one.answer.get("botId") or ""
            self.answer.set_result(one.answer)
        if one.over:
            self.over.set()


class Nobody:
    """The owner of a lease whose submission has its final answer: it is only waited for."""

    def placed(self, description: str | None) -> None: ...

    def refused(self, wait_us: int) -> None: ...

    def failed(self) -> None: ...

    def released(self, cause: int) -> None: ...

    def moved(self) -> None: ...
