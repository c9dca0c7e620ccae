"""One submission: the owner of a request in the core, and the state that callers can query by its name."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from weldhatch.core.messages import CAUSE_FINISHED
from weldhatch.core.request_lifecycle import RequestLifecycle
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.admission import Ticket
from weldhatch.pullqueue.storage import MAX_WRITE_WAIT_S


class SubmissionOwner(Protocol):
    """The keeper of submissions and their records."""

    def record(self, submission: Submission, payload: bytes) -> asyncio.Future | None:
        """Store a record of a submission; None if the submission is not stored."""
        ...

    def on_end(self, submission: Submission) -> None:
        """Handle the end of a submission."""
        ...


class Submission:
    """One submission: the owner of a request in the core, shown as an operation to callers."""

    def __init__(self, owner: SubmissionOwner, name: str, key: int, tenant: int, meta: dict) -> None:
        """Create a submission without an answer. `meta`: see `durable_state.OperationRecord`."""
        self._owner, self.name, self.key, self.tenant, self.meta = owner, name, key, tenant, meta
        self.fields: dict = {}
        self.answer: asyncio.Future[dict] = asyncio.get_running_loop().create_future()
        self.final_answer: dict | None = None  # the answer, once there is one
        self.over = asyncio.Event()
        self.changed = asyncio.Event()  # set, and replaced by a new event, at each change of state
        self.lifecycle: RequestLifecycle | None = None
        self.ticket: Ticket | None = None
        self.state, self.cause = "ASKED", 0
        self.result: object = None
        self.message = ""
        self.bot = ""
        self.recorded = False
        self._end_written: asyncio.Future[None] | None = None
        self.retry_is_unsafe = False  # an attempt may have run, and a retry might start the task once more

    # ---- implements the core's owner -----------------------------------------------------------------------

    def placed(self, description: str | None) -> None:
        """Answer that the task is placed on the machine with this bot id."""
        self.state, self.bot = "PLACED", description or ""
        self._set_answer({"answer": "placed", "name": self.name, "botId": description})

    def refused(self, wait_us: int, reason: str = "") -> None:
        """Answer that the request is rejected and may be retried after this time, unless that is unsafe."""
        if self.retry_is_unsafe:
            self.failed()
            return
        self.state = "REFUSED"
        wait = {"waitMs": math.ceil(wait_us / 1000)}
        self._set_answer(
            {"answer": "refused", "name": self.name, **wait, **({"reason": reason} if reason else {})}
        )
        self._end_submission()

    def failed(self) -> None:
        """Answer that the request has failed and must not be retried."""
        self.state = "FAILED"
        self._set_answer({"answer": "failed", "name": self.name})
        self._end_submission()

    def released(self, cause: int) -> None:
        """End the submission: its task has ended, completed or lost."""
        self.cause = cause
        self._end_submission("DONE" if cause == CAUSE_FINISHED else "LOST")

    def moved(self) -> None:
        """End the submission: its task runs elsewhere now."""
        self._end_submission("MOVED")

    def ended_by_owner(self) -> None:
        """End the submission: its submitter has cancelled it."""
        self._end_submission("CANCELLED")

    def given_up(self) -> None:
        """Answer and end the submission: its submitter gave it up before it had an answer."""
        self._answer_given_up()
        self.ended_by_owner()

    def _answer_given_up(self) -> None:
        """Set the answer of a submission that was given up. It follows from the state and is not stored."""
        self.final_answer = {
            "answer": "refused",
            "name": self.name,
            "reason": "given up by its submitter",
            "waitMs": 0,
        }
        if not self.answer.done():
            self.answer.set_result(self.final_answer)

    def set_result(self, result: object, message: str) -> None:
        """Set the result and message that the machine reported with the end of a lease."""
        self.result, self.message = result, message

    def forget_record(self) -> None:
        """Have the submission stored again with its next lease: its record could not be written."""
        self.recorded = False

    # ---- answer and end ------------------------------------------------------------------------------------

    def _set_answer(self, answer: dict) -> None:
        self.final_answer = answer
        written = self._owner.record(self, durable_state.encode("answer", self.name, answer))
        if written is None or written.done():
            self._deliver_answer(answer)
        else:
            written.add_done_callback(lambda _: self._deliver_answer(answer))
            asyncio.get_running_loop().call_later(MAX_WRITE_WAIT_S, self._deliver_answer, answer)

    def _deliver_answer(self, answer: dict) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)
            self._notify_change()

    def _notify_change(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_submission(self, state: str = "") -> None:
        self.state = state or self.state
        self.over.set()
        if state:
            end = durable_state.encode("end", self.name, state, self.cause, self.result)
            self._end_written = self._owner.record(self, end)
        self._notify_change()
        self._owner.on_end(self)

    async def wait_until_end_stored(self) -> None:
        """Wait until the end of the submission is on the disk, but not long."""
        if self._end_written is not None:
            await asyncio.wait([self._end_written], timeout=MAX_WRITE_WAIT_S)

    def restore(self, record: durable_state.OperationRecord) -> None:
        """Restore the state that a former run of the gateway stored."""
        self.state, self.cause, self.result, self.recorded = record.state, record.cause, record.result, True
        if record.answer is not None:
            self.final_answer = record.answer
            self.bot = record.answer.get("botId") or ""
            self.answer.set_result(record.answer)
        elif record.over:
            self._answer_given_up()
        if record.over:
            self.over.set()


class NullOwner:
    """The owner of a restored lease whose submission is already over: it ignores all messages."""

    def placed(self, description: str | None) -> None:
        """Ignore the message."""
        ...

    def refused(self, wait_us: int) -> None:
        """Ignore the message."""
        ...

    def failed(self) -> None:
        """Ignore the message."""
        ...

    def released(self, cause: int) -> None:
        """Ignore the message."""
        ...

    def moved(self) -> None:
        """Ignore the message."""
        ...
