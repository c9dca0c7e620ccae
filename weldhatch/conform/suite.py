"""The registry of checks, and the bench that a check uses to act as build machine and submitter."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import urlsplit

from weldhatch.client import Api, ApiError
from weldhatch.client.api import PREFIX

ANSWER_TIMEOUT_S = 20.0

Json = dict[str, Any]
_Result = TypeVar("_Result")


@dataclass(slots=True, frozen=True)
class Target:
    """The address under test, without TLS, and the names of a zone and of classes in its settings.

    safe: a class whose tasks may be repeated. keyed: a class with job keys. unsafe: a class whose tasks must
    not start twice.
    """

    url: str
    hall: str = "hall-a"
    safe: str = "match-lookup"
    keyed: str = "import-job"
    unsafe: str = "memory-writer"


Check = Callable[["Bench"], Awaitable[None]]
CHECKS: dict[str, Check] = {}


def verifies(*numbers: str) -> Callable[[Check], Check]:
    """Return a decorator that registers the check of these sentences of docs/pullqueue.md."""

    def register(check: Check) -> Check:
        for number in numbers:
            CHECKS[number] = check
        return check

    return register


def expect(condition: object, received: object = "") -> None:
    """Raise AssertionError with `received`, the unexpected value, unless `condition` is true."""
    if not condition:
        raise AssertionError(received)


class Bench:
    """A build machine, a submitter and raw connections for one check.

    `close` cancels its calls and ends its session, so that no check affects the next one.
    """

    def __init__(self, target: Target) -> None:
        """Prepare a machine with a unique name; `open` opens its session."""
        self.target = target
        self.api = Api(target.url, at_once=50)
        self.bot = f"conform-{uuid.uuid4().hex[:8]}"
        self.session = ""
        self._calls: list[asyncio.Task[Any]] = []
        split = urlsplit(target.url)
        self._address = (split.hostname, split.port)

    async def close(self) -> None:
        """Cancel all calls in flight and end the session."""
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
        if self.session:  # no lease of this check must stay active
            without_leases = {"leases": [], "status": "BOT_TERMINATING"}
            for _ in range(2):
                try:
                    await self.api.call("PATCH", self.session, without_leases)
                except ApiError:
                    break
        self.api.close()

    def start(self, call: Awaitable[_Result]) -> asyncio.Task[_Result]:
        """Start a call without waiting for it; `close` cancels it if it is still in flight."""
        task = asyncio.ensure_future(call)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        self._calls.append(task)
        return task

    # ---- as a machine --------------------------------------------------------------------------------------

    def worker(self, **more: object) -> Json:
        """Return the JSON of the session's worker; `more` adds or replaces fields."""
        properties = {
            "cores": "64",
            "memory": "256",
            "hall": self.target.hall,
            "rack": "conform",
            "conform": self.bot,
        }
        return {"properties": [{"key": key, "value": value} for key, value in properties.items()], **more}

    async def open(self, leases: list[Json] | None = None, **more: object) -> Json:
        """Open a session that lists `leases`; `more` goes into its worker. Raises ApiError."""
        body = {"botId": self.bot, "worker": self.worker(**more), "leases": leases or []}
        session: Json = await self.api.call("POST", "botSessions", body)
        self.session = session["name"]
        return session

    async def update(self, *leases: tuple[str, str], wait_s: float = 0.0, **more: object) -> Json:
        """Report the (id, state) of each lease, and wait up to `wait_s` for work. Raises ApiError."""
        reports = [{"id": name, "state": state} for name, state in leases]
        body = {"leases": reports, **more}
        session: Json = await self.api.call("PATCH", self.session, body, wait_s=wait_s)
        return session

    async def next_lease(self) -> Json:
        """Wait for the next new lease of this machine, and return it."""
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while time.monotonic() < deadline:
            session = await self.update(wait_s=0.5)
            leases: list[Json] = session["leases"]
            for lease in leases:
                if lease["state"] == "PENDING":
                    return lease
        raise AssertionError("no lease came")

    # ---- as a submitter ------------------------------------------------------------------------------------

    def task(self, cls: str = "", key: str = "", **more: object) -> Json:
        """Return the JSON of a task for this check's machine only; `more` adds or replaces fields."""
        return {
            "class": cls or self.target.safe,
            "left": 4000,
            "key": key or uuid.uuid4().hex[:16],
            "idem": "0c",
            "extras": "cores:1;memory:1;service:0000000000000007",
            "blob": "conform",
            "requirements": {"properties": [{"key": "conform", "value": self.bot}]},
            **more,
        }

    async def submit(self, task: Json) -> Json:
        """Submit a task and return the answer.

        A gateway that has just started rejects tasks while leases of a former gateway may still run. In that
        case the task is submitted again after the advised wait.
        """
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while True:
            answer: Json = await self.api.call("POST", "tasks", task, wait_s=5.0)
            if "former gateway" not in answer.get("reason", "") or time.monotonic() > deadline:
                return answer
            await asyncio.sleep(answer["waitMs"] / 1000)

    async def place_task(self, task: Json | None = None) -> tuple[str, str]:
        """Open a session and place a task on its machine; return the names of its lease and of the task."""
        await self.open()
        answer = self.start(self.submit(task or self.task()))
        lease = await self.next_lease()
        await self.update((lease["id"], "ACTIVE"))
        placed = await asyncio.wait_for(answer, ANSWER_TIMEOUT_S)
        expect(placed["answer"] == "placed", placed)
        return lease["id"], placed["name"]

    async def expect_error(self, code: int, field: str, method: str, path: str, body: object = None) -> None:
        """Make a call and expect an error with this HTTP status and invalid field."""
        try:
            await self.api.call(method, path, body)
        except ApiError as error:
            expect((error.code, error.field) == (code, field), f"{error.code} {error.field!r}: {error}")
            expect(error.status and error.message, "no status, or no message")
            return
        raise AssertionError(f"{method} {path}: answered with 200, expected {code}")

    # ---- over a raw connection -----------------------------------------------------------------------------

    async def exchange(
        self, data: bytes, count: int = 1, then_send: bytes = b"", until: int = 0
    ) -> list[tuple[int, dict[str, str], bytes]]:
        """Send bytes over a new connection; return the status, headers and body of each HTTP response.

        Reading ends after `count` responses, or after the first with the status `until`. then_send: bytes to
        send after the first response. Header names and values are in lower case.
        """
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            writer.write(data)
            responses = []
            for _ in range(count):
                head = (
                    (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), ANSWER_TIMEOUT_S))
                    .decode()
                    .split("\r\n")
                )
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                responses.append((int(head[0].split()[1]), headers, body))
                writer.write(then_send)
                then_send = b""
                if responses[-1][0] == until:
                    break
            if responses[-1][1].get("connection") == "close":
                expect(
                    await asyncio.wait_for(reader.read(), ANSWER_TIMEOUT_S) == b"",
                    "the connection stays open",
                )
            return responses
        finally:
            writer.close()


def http_request(method: str, path: str, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of one HTTP/1.1 request."""
    lines = [f"{method} {PREFIX}{path} HTTP/1.1", *headers]
    if not any("chunked" in line for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
