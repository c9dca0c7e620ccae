"""The checks: each plays build machine and submitter against an address, and holds one numbered sentence."""

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

LONG_S = 20.0

Json = dict[str, Any]
_Result = TypeVar("_Result")


@dataclass(slots=True, frozen=True)
class Target:
    """What is checked: an address without TLS, and the names that its settings give classes and halls."""

    url: str
    hall: str = "hall-a"
    safe: str = "match-lookup"
    keyed: str = "import-job"
    unsafe: str = "memory-writer"


Check = Callable[["Bench"], Awaitable[None]]
CHECKS: dict[str, Check] = {}


def holds(*numbers: str) -> Callable[[Check], Check]:
    """Register a check as the one of these sentences of docs/pullqueue.md."""

    def keep(check: Check) -> Check:
        for number in numbers:
            CHECKS[number] = check
        return check

    return keep


def expect(truth: object, said: object = "") -> None:
    """Raise AssertionError with what was received unless `truth` holds."""
    if not truth:
        raise AssertionError(said)


class Bench:
    """A machine, a submitter and a raw connection, for one check.

    Nothing of one check is left for the next.
    """

    def __init__(self, target: Target) -> None:
        """Prepare a machine with a name of its own; no session is opened yet."""
        self.target = target
        self.api = Api(target.url, at_once=50)
        self.bot = f"conform-{uuid.uuid4().hex[:8]}"
        self.session = ""
        self._jobs: list[asyncio.Task[Any]] = []
        split = urlsplit(target.url)
        self._address = (split.hostname, split.port)

    async def close(self) -> None:
        """Cancel what is under way and end the session."""
        for job in self._jobs:
            job.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)
        if self.session:  # leave nothing standing
            with_none = {"leases": [], "status": "BOT_TERMINATING"}
            for _ in range(2):
                try:
                    await self.api.call("PATCH", self.session, with_none)
                except ApiError:
                    break
        self.api.close()

    def later(self, job: Awaitable[_Result]) -> asyncio.Task[_Result]:
        """Start a call without waiting for it; it is cancelled at the latest by `close`."""
        task = asyncio.ensure_future(job)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        self._jobs.append(task)
        return task

    # ---- as a machine --------------------------------------------------------------------------------------

    def worker(self, **more: object) -> Json:
        """Return the worker of the session; `more` adds or replaces fields."""
        pairs = {
            "cores": "64",
            "memory": "256",
            "hall": self.target.hall,
            "rack": "conform",
            "conform": self.bot,
        }
        return {"properties": [{"key": key, "value": value} for key, value in pairs.items()], **more}

    async def open(self, leases: list[Json] | None = None, **more: object) -> Json:
        """Open a session that lists `leases`; `more` goes into its worker. Raises ApiError."""
        body = {"botId": self.bot, "worker": self.worker(**more), "leases": leases or []}
        said: Json = await self.api.call("POST", "botSessions", body)
        self.session = said["name"]
        return said

    async def update(self, *leases: tuple[str, str], wait_s: float = 0.0, **more: object) -> Json:
        """Update the session with (id, state) of each lease, and wait `wait_s` for work. Raises ApiError."""
        listed = [{"id": name, "state": state} for name, state in leases]
        body = {"leases": listed, **more}
        said: Json = await self.api.call("PATCH", self.session, body, wait_s=wait_s)
        return said

    async def lease(self) -> Json:
        """Wait for the next lease that is handed to this machine, and return it."""
        end = time.monotonic() + LONG_S
        while time.monotonic() < end:
            said = await self.update(wait_s=0.5)
            leases: list[Json] = said["leases"]
            for lease in leases:
                if lease["state"] == "PENDING":
                    return lease
        raise AssertionError("no lease came")

    # ---- as a submitter ------------------------------------------------------------------------------------

    def task(self, cls: str = "", key: str = "", **more: object) -> Json:
        """Return a task that only this check's machine can take."""
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
        """Submit and return the answer; a gateway that has just been started lets time pass first."""
        end = time.monotonic() + LONG_S
        while True:
            answer: Json = await self.api.call("POST", "tasks", task, wait_s=5.0)
            if "former gateway" not in answer.get("reason", "") or time.monotonic() > end:
                return answer
            await asyncio.sleep(answer["waitMs"] / 1000)

    async def standing(self, task: Json | None = None) -> tuple[str, str]:
        """Place a task on this check's machine; return the names of its lease and of the task."""
        await self.open()
        answer = self.later(self.submit(task or self.task()))
        lease = await self.lease()
        await self.update((lease["id"], "ACTIVE"))
        placed = await asyncio.wait_for(answer, LONG_S)
        expect(placed["answer"] == "placed", placed)
        return lease["id"], placed["name"]

    async def fault(self, code: int, field: str, method: str, path: str, body: object = None) -> None:
        """Make a call and expect this error, with the field at fault."""
        try:
            await self.api.call(method, path, body)
        except ApiError as fault:
            expect((fault.code, fault.field) == (code, field), f"{fault.code} {fault.field!r}: {fault}")
            expect(fault.status and fault.message, "no status, or no message")
            return
        raise AssertionError(f"{method} {path}: answered with 200, expected {code}")

    # ---- as plain bytes ------------------------------------------------------------------------------------

    async def raw(
        self, data: bytes, count: int = 1, more: bytes = b"", until: int = 0
    ) -> list[tuple[int, dict[str, str], bytes]]:
        """Send bytes and read `count` answers, or until one has the code `until`.

        more: goes out after the first answer. Returns code, headers (lower case) and body of each.
        """
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            writer.write(data)
            out = []
            for _ in range(count):
                head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LONG_S)).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                out.append((int(head[0].split()[1]), headers, body))
                writer.write(more)
                more = b""
                if out[-1][0] == until:
                    break
            if out[-1][1].get("connection") == "close":
                expect(await asyncio.wait_for(reader.read(), LONG_S) == b"", "the connection stays open")
            return out
        finally:
            writer.close()


def ask(method: str, path: str, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of one HTTP/1.1 request."""
    lines = [f"{method} {PREFIX}{path} HTTP/1.1", *headers]
    if not any("chunked" in line for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
