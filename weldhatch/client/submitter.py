"""Submitting tasks: one final answer for each, also where an answer was lost on its way."""

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
    """What is asked for. `left_s`: how long its submitter waits for the answer, in seconds."""

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
        """Return the JSON of one call; `again` marks a retry of a task that was rejected."""
        tree: dict[str, Any] = {
            "class": self.class_name,
            "key": self.key,
            "left": int(left_s * 1000),
            "idem": self.idem,
            "extras": f"cores:{self.cores:g};memory:{self.memory:g};service:{self.service:016x}",
            "blob": self.blob,
            "requestId": request_id,
        }
        if self.tenant:
            tree["tenant"] = self.tenant
        if self.requirements:
            tree["requirements"] = self.requirements
        if again:
            tree["retry"] = "1"
        return tree


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer."""

    answer: str  # placed, refused, failed
    name: str = ""
    bot_id: str = ""
    wait_s: float = 0.0  # for a refusal: when to come again
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
        """Decode the gateway's JSON."""
        answer = tree["metadata"].get("answer")
        return Operation(
            tree["name"],
            tree["metadata"]["state"],
            tree.get("done", False),
            _answer(answer) if answer else None,
            tree.get("response", {}).get("result"),
            tree.get("error", {}).get("message", ""),
        )


def _answer(tree: dict[str, Any]) -> Answer:
    return Answer(
        tree["answer"],
        tree.get("name", ""),
        tree.get("botId") or "",
        tree.get("waitMs", 0) / 1000,
        tree.get("reason", ""),
    )


class Submitter:
    """Submits under request ids of its own, so that a call that got no answer can be made again."""

    def __init__(self, api: Api) -> None:
        """Submit to the gateway of `api`, which the caller closes."""
        self._api = api

    async def submit(self, task: Task, *, again_s: float = 0.0) -> Answer:
        """Submit and return the final answer.

        again_s: for so many seconds, rejections are retried as the gateway advises.

        Raises ApiError where nobody answers within the task's time, or the task can't be taken.
        """
        end = time.monotonic() + max(again_s, task.left_s)
        backoff = Backoff()
        again = False
        while True:
            answer = await self._once(task, min(task.left_s, end - time.monotonic()), again)
            wait = backoff.next(answer.wait_s) if answer.answer == "refused" else 0.0
            if not again_s or answer.answer != "refused" or time.monotonic() + wait >= end:
                return answer
            await asyncio.sleep(wait)
            again = True

    async def _once(self, task: Task, left_s: float, again: bool) -> Answer:
        """One submission under one request id, whatever happens to its calls."""
        request_id = uuid.uuid4().hex
        end = time.monotonic() + left_s
        backoff = Backoff()
        while True:
            try:
                body = task.body(request_id, again, max(0.001, end - time.monotonic()))
                return _answer(await self._api.call("POST", "tasks", body, wait_s=left_s))
            except ApiError as fault:
                wait = backoff.next(fault.retry_s)
                if not fault.transient or time.monotonic() + wait >= end:
                    raise
                await asyncio.sleep(wait)

    async def begin(self, task: Task, request_id: str = "") -> Operation:
        """Submit without waiting; the operation's name is valid also after a restart of the gateway."""
        body = task.body(request_id or uuid.uuid4().hex, False, task.left_s)
        return Operation.read(await self._api.call("POST", "operations", body))

    async def batch(self, tasks: list[Task]) -> list[Operation | ApiError]:
        """Submit several tasks in one call; return for each its operation or its error, in order."""
        body = {"requests": [task.body(uuid.uuid4().hex, False, task.left_s) for task in tasks]}
        batch = await self._api.call("POST", "operations:batchSubmit", body)
        return [
            Operation.read(one["operation"])
            if "operation" in one
            else ApiError(one["error"]["code"], one["error"]["status"], one["error"]["message"])
            for one in batch["responses"]
        ]

    async def get(self, name: str) -> Operation:
        """Return the operation as it is now. Raises ApiError, with code 404 for an unknown name."""
        return Operation.read(await self._api.call("GET", name))

    async def wait(self, name: str, within_s: float) -> Operation:
        """Return the operation once it is over, or as it is after `within_s` seconds."""
        end = time.monotonic() + within_s
        while True:
            left = max(0.0, min(30.0, end - time.monotonic()))
            operation = Operation.read(
                await self._api.call("POST", f"{name}:wait", {"timeout": f"{left:.3f}s"}, wait_s=left)
            )
            if operation.done or time.monotonic() >= end:
                return operation

    async def cancel(self, name: str) -> Operation:
        """Ask for the operation's end, and return it as it is then."""
        return Operation.read(await self._api.call("POST", f"{name}:cancel", {}))

    async def delete(self, name: str) -> None:
        """Let the gateway forget the operation."""
        await self._api.call("DELETE", name)

    async def list(self, filter: str = "", page_size: int = 100) -> AsyncIterator[Operation]:
        """Yield all operations that the filter lets through, page by page."""
        token = ""
        while True:
            query = urlencode({"filter": filter, "pageSize": page_size, "pageToken": token})
            page = await self._api.call("GET", f"operations?{query}")
            for tree in page["operations"]:
                yield Operation.read(tree)
            token = page.get("nextPageToken", "")
            if not token:
                return

    async def watch(self, name: str) -> AsyncIterator[Operation]:
        """Yield each state from now to the end, as the gateway sends them."""
        events: asyncio.Queue[Operation | None] = asyncio.Queue()
        rest = b""

        def data(part: bytes) -> None:
            nonlocal rest
            rest += part
            while b"\n\n" in rest:
                event, rest = rest.split(b"\n\n", 1)
                for line in event.split(b"\n"):
                    if line.startswith(b"data:"):
                        events.put_nowait(Operation.read(json.loads(line[5:])))

        call = asyncio.ensure_future(self._api.call("GET", f"{name}:watch", wait_s=3600.0, on_data=data))
        call.add_done_callback(lambda _: events.put_nowait(None))
        try:
            while (event := await events.get()) is not None:
                yield event
            call.result()
        finally:
            call.cancel()
