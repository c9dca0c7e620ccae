"""The checks: each plays build machine and submitter against an address, and holds one numbered sentence."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

from weldhatch.client import Api, ApiError
from weldhatch.client.api import PREFIX

LONG_S = 20.0


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
    """This check is what stands behind these sentences of docs/pullqueue.md."""

    def keep(check: Check) -> Check:
        for number in numbers:
            CHECKS[number] = check
        return check

    return keep


def expect(truth: object, said: object = "") -> None:
    if not truth:
        raise AssertionError(said)


class Bench:
    """A machine, a submitter and a raw connection, for one check. Nothing of one check is left for the
    next."""

    def __init__(self, target: Target) -> None:
        self.target, self.api = target, Api(target.url, at_once=50)
        self.bot = f"conform-{uuid.uuid4().hex[:8]}"
        self.session = ""
        self._jobs: list[asyncio.Task] = []
        split = urlsplit(target.url)
        self._address = (split.hostname, split.port)

    async def close(self) -> None:
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

    def later(self, job: Awaitable) -> asyncio.Task:
        task = asyncio.ensure_future(job)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        self._jobs.append(task)
        return task

    # ---- as a machine --------------------------------------------------------------------------------------

    def worker(self, **more: object) -> dict:
        pairs = {
            "cores": "64",
            "memory": "256",
            "hall": self.target.hall,
            "rack": "conform",
            "conform": self.bot,
        }
        return {"properties": [{"key": key, "value": value} for key, value in pairs.items()], **more}

    async def open(self, leases: list | None = None, **more: object) -> dict:
        body = {"botId": self.bot, "worker": self.worker(**more), "leases": leases or []}
        said = await self.api.call("POST", "botSessions", body)
        self.session = said["name"]
        return said

    async def update(self, *leases: tuple[str, str], wait_s: float = 0.0, **more: object) -> dict:
        listed = [{"id": name, "state": state} for name, state in leases]
        return await self.api.call("PATCH", self.session, {"leases": listed, **more}, wait_s=wait_s)

    async def lease(self) -> dict:
        """The next lease that is handed to this machine."""
        end = time.monotonic() + LONG_S
        while time.monotonic() < end:
            said = await self.update(wait_s=0.5)
            for lease in said["leases"]:
                if lease["state"] == "PENDING":
                    return lease
        raise AssertionError("no lease came")

    # ---- as a submitter ------------------------------------------------------------------------------------

    def task(self, cls: str = "", key: str = "", **more: object) -> dict:
        """A task that only this check's machine can take."""
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

    async def submit(self, task: dict) -> dict:
        """The answer; a gateway that has just been started lets time pass first."""
        end = time.monotonic() + LONG_S
        while True:
            answer = await self.api.call("POST", "tasks", task, wait_s=5.0)
            if "former gateway" not in answer.get("reason", "") or time.monotonic() > end:
                return answer
            await asyncio.sleep(answer["waitMs"] / 1000)

    async def standing(self, task: dict | None = None) -> tuple[str, str]:
        """A task that stands at this check's machine: lease and task."""
        await self.open()
        answer = self.later(self.submit(task or self.task()))
        lease = await self.lease()
        await self.update((lease["id"], "ACTIVE"))
        told = await asyncio.wait_for(answer, LONG_S)
        expect(told["answer"] == "placed", told)
        return lease["id"], told["name"]

    async def fault(self, code: int, field: str, method: str, path: str, body: object = None) -> None:
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
    ) -> list[tuple[int, dict, bytes]]:
        """Send bytes and read so many answers, or until one has the code `until`; `more` goes out after the
        first of them."""
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
    lines = [f"{method} {PREFIX}{path} HTTP/1.1", *headers]
    if not any("chunked" in line for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
