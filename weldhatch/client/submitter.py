"""Submitting tasks: each gets one final answer, even if a response is lost on the network."""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlencode

from weldhatch.client.api import Api, ApiError, Backoff


@dataclass(slots=True, frozen=True)
class Task:
    """A task to submit.

    class_name: the class as the gateway's settings name it. key: the job key.
    left_s: how long the submitter waits for the answer, in seconds. idem: the idempotency key.
    """

    class_name: str
    key: str = ""
    cores: float = 1.0
    memory: float = 1.0
    service: int = 0
    left_s: float = 4.0
    tenant: str = ""
    idem: str = ""
    blob: str = ""
    requirements: dict[str, Any] = field(default_factory=dict)

    def body(self, request_id: str, again: bool, left_s: float) -> dict[str, Any]:
        """Return the JSON of one call; `again` marks the retry of a rejected task."""
        document: dict[str, Any] = {
            "class": self.class_name,
            "key": self.key,
            "left": int(left_s * 1000),
            "idem": self.idem,
            "extras": f"cores:{self.cores:g};memory:{self.memory:g};service:{self.service:016x}",
            "blob": self.blob,
            "requestId": request_id,
        }
        if self.tenant:
            document["tenant"] = self.tenant
        if self.requirements:
            document["requirements"] = self.requirements
        if again:
            document["retry"] = "1"
        return document


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a submission."""

    answer: str  # placed, refused or failed
    name: str = ""
    bot_id: str = ""
    wait_s: float = 0.0  # if refused: how long to wait before a retry
    reason: str = ""

    @property
    def placed(self) -> bool:
        """Whether a machine took the task."""
        return self.answer == "placed"


@dataclass(slots=True, frozen=True)
class Operation:
    """A submission as the gateway reports it."""

    name: str
    state: str
    done: bool
    answer: Answer | None = None
    result: object = None
    error: str = ""

    @staticmethod
    def read(tree: dict[str, Any]) -> Operation:
        """Build an operation from `tree`, the decoded JSON of the gateway."""
        answer = tree["metadata"].get("answer")
        return Operation(
            tree["name"],
            tree["metadata"]["state"],
            tree.get("done", False),
            _parse_answer(answer) if answer else None,
            tree.get("response", {}).get("result"),
            tree.get("error", {}).get("message", ""),
        )


def _parse_answer(document: dict[str, Any]) -> Answer:
    return Answer(
        document["answer"],
        document.get("name", ""),
        document.get("botId") or "",
        document.get("waitMs", 0) / 1000,
        document.get("reason", ""),
    )


class Submitter:
    """Submits tasks and queries their operations.

    Each submission carries a new request id, so that a call without a response can be repeated safely.
    """

    def __init__(self, api: Api) -> None:
        """Use the gateway of `api`, which the caller closes."""
        self._api = api

    async def submit(self, task: Task, *, again_s: float = 0.0) -> Answer:
        """Submit a task and return the final answer.

        again_s: how long a rejected task is retried, in seconds, at the intervals that the gateway advises.

        Raises ApiError if the gateway does not answer within `task.left_s`, or does not accept the task.
        """
        deadline = time.monotonic() + max(again_s, task.left_s)
        backoff = Backoff()
        is_retry = False
        while True:
            answer = await self._submit_once(task, min(task.left_s, deadline - time.monotonic()), is_retry)
            wait_s = backoff.next(answer.wait_s) if answer.answer == "refused" else 0.0
            if not again_s or answer.answer != "refused" or time.monotonic() + wait_s >= deadline:
                return answer
            await asyncio.sleep(wait_s)
            is_retry = True

    async def _submit_once(self, task: Task, left_s: float, is_retry: bool) -> Answer:
        """Make one submission; after a transient error the call is repeated under the same request id."""
        request_id = uuid.uuid4().hex
        deadline = time.monotonic() + left_s
        backoff = Backoff()
        while True:
            try:
                body = task.body(request_id, is_retry, max(0.001, deadline - time.monotonic()))
                return _parse_answer(await self._api.call("POST", "tasks", body, wait_s=left_s))
            except ApiError as error:
                wait_s = backoff.next(error.retry_s)
                if not error.transient or time.monotonic() + wait_s >= deadline:
                    raise
                await asyncio.sleep(wait_s)

    async def begin(self, task: Task, request_id: str = "") -> Operation:
        """Submit without waiting for the answer; the operation's name stays valid after a gateway restart."""
        body = task.body(request_id or uuid.uuid4().hex, False, task.left_s)
        return Operation.read(await self._api.call("POST", "operations", body))

    async def batch(self, tasks: list[Task]) -> list[Operation | ApiError]:
        """Submit several tasks in one call; return the operation or the error of each, in the same order."""
        body = {"requests": [task.body(uuid.uuid4().hex, False, task.left_s) for task in tasks]}
        batch = await self._api.call("POST", "operations:batchSubmit", body)
        return [
            Operation.read(response["operation"])
            if "operation" in response
            else ApiError(
                response["error"]["code"], response["error"]["status"], response["error"]["message"]
            )
            for response in batch["responses"]
        ]

    async def get(self, name: str) -> Operation:
        """Return the current state of the operation. Raises ApiError, with code 404 for an unknown name."""
        return Operation.read(await self._api.call("GET", name))

    async def wait(self, name: str, within_s: float) -> Operation:
        """Return the operation once it is done, or its state after `within_s` seconds."""
        deadline = time.monotonic() + within_s
        while True:
            timeout_s = max(0.0, min(30.0, deadline - time.monotonic()))
            operation = Operation.read(
                await self._api.call(
                    "POST", f"{name}:wait", {"timeout": f"{timeout_s:.3f}s"}, wait_s=timeout_s
                )
            )
            if operation.done or time.monotonic() >= deadline:
                return operation

    async def cancel(self, name: str) -> Operation:
        """Cancel the operation and return its state afterwards."""
        return Operation.read(await self._api.call("POST", f"{name}:cancel", {}))

    async def delete(self, name: str) -> None:
        """Delete the record of the operation on the gateway."""
        await self._api.call("DELETE", name)

    async def list(self, filter: str = "", page_size: int = 100) -> AsyncIterator[Operation]:
        """Yield all operations that match the filter, fetched page by page."""
        token = ""
        while True:
            query = urlencode({"filter": filter, "pageSize": page_size, "pageToken": token})
            page = await self._api.call("GET", f"operations?{query}")
            for listed in page["operations"]:
                yield Operation.read(listed)
            token = page.get("nextPageToken", "")
            if not token:
                return

    async def watch(self, name: str) -> AsyncIterator[Operation]:
        """Yield the operation in each of its states, from the current to the last, as they are streamed."""
        events: asyncio.Queue[Operation | None] = asyncio.Queue()
        buffer = b""

        def decode_events(chunk: bytes) -> None:
            nonlocal buffer
            buffer += chunk
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                for line in event.split(b"\n"):
                    if line.startswith(b"data:"):
                        events.put_nowait(Operation.read(json.loads(line[5:])))

        call = asyncio.ensure_future(
            self._api.call("GET", f"{name}:watch", wait_s=3600.0, on_data=decode_events)
        )
        call.add_done_callback(lambda _: events.put_nowait(None))
        try:
            while (event := await events.get()) is not None:
                yield event
            call.result()
        finally:
            call.cancel()
