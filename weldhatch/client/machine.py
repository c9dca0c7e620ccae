"""A build machine: asks for work, runs it, and stops what it may no longer run."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from weldhatch.client.api import Api, ApiError, Backoff

SAFETY_S = 0.2  # a lease is stopped so long before its expiry: clocks and schedulers are not exact


@dataclass(slots=True, frozen=True)
class Lease:
    """One task to run."""

    id: str
    payload: dict[str, Any]
    assignment: str = ""


@dataclass(slots=True, frozen=True)
class Outcome:
    """How a task ended.

    code: google.rpc.Code, 0 for success. result: JSON for the submitter.
    """

    code: int = 0
    message: str = ""
    result: dict[str, Any] | None = None


class Declined(Exception):
    """Raised by a runner that will not begin a lease: it has never run."""

    def __init__(self, message: str = "", no_room: bool = True) -> None:
        """no_room: the machine lacks capacity now; if false, it can't run the task at all."""
        super().__init__(message)
        self.code = 8 if no_room else 9


@dataclass(slots=True)
class _HeldLease:
    lease: Lease
    state: str
    until: float  # on this machine's monotonic clock
    work: asyncio.Task[None] | None = None
    outcome: Outcome | None = None


Run = Callable[[Lease], Awaitable[Outcome]]


class BuildMachine:
    """Keeps one session; `run` is called for each lease, and cancelled where its lease ends early.

    The one rule that all else rests on: a task is stopped when its lease expires, whether or not the
    gateway can be reached.
    """

    def __init__(
        self,
        api: Api,
        bot_id: str,
        properties: dict[str, str],
        run: Run,
        *,
        poll_s: float = 1.0,
        worker: dict[str, Any] | None = None,
    ) -> None:
        """Open no session yet.

        bot_id: the machine's name. properties: what the gateway places by (cores, memory, hall, rack).
        run: called for each lease; it may raise `Declined`. poll_s: how long an update waits for work, in
        seconds. worker: further fields of the session's worker.
        """
        self._api = api
        self.bot_id = bot_id
        self._run = run
        self._poll_s = poll_s
        pairs = [{"key": key, "value": value} for key, value in properties.items()]
        self._worker = {**(worker or {}), "properties": pairs}
        self._held: dict[str, _HeldLease] = {}
        self._session = ""
        self._news = asyncio.Event()
        self._expiries: asyncio.Task[None] | None = None
        self.status = "OK"  # what the next update says; all but OK get nothing new

    @property
    def holding(self) -> tuple[str, ...]:
        """Ids of the leases that are held, in the order in which they came."""
        return tuple(self._held)

    async def serve(self) -> None:
        """Serve until cancelled; lost sessions are opened anew, with all leases that are still held.

        Raises ApiError for one that a retry can't mend.
        """
        backoff = Backoff()
        self._expiries = asyncio.ensure_future(self._watch_expiries())
        try:
            while True:
                try:
                    await self._update()
                    backoff = Backoff()
                    for _ in range(3):  # a runner that declines at once has done so before it is reported
                        await asyncio.sleep(0)
                except ApiError as fault:
                    if fault.code == 404:
                        self._session = ""
                    elif fault.code == 409:
                        continue
                    elif not fault.transient:
                        raise
                    await asyncio.sleep(backoff.next(fault.retry_s))
        finally:
            self._expiries.cancel()
            await self._stop_all()

    async def leave(self) -> None:
        """Say goodbye: nothing new comes, and what is held is left to its expiry."""
        self.status = "BOT_TERMINATING"
        with contextlib.suppress(ApiError):
            await self._update()

    async def _update(self) -> None:
        listed = [self._listed(held) for held in self._held.values()]
        begun = time.monotonic()
        busy = any(held.state == "COMPLETED" for held in self._held.values())
        wait = 0.0 if busy or self.status != "OK" else self._poll_s
        if self._session:
            call = self._api.call(
                "PATCH", self._session, {"leases": listed, "status": self.status}, wait_s=wait
            )
        else:
            call = self._api.call(
                "POST",
                "botSessions",
                {"botId": self.bot_id, "status": self.status, "leases": listed, "worker": self._worker},
            )
        said = await self._interrupted(call, wait, begun)
        if said is None:
            return
        self._session = said["name"]
        reported = {one["id"]: one["state"] for one in listed}
        for id, state in reported.items():
            if state in ("COMPLETED", "CANCELLED"):
                self._held.pop(id, None)
        for tree in said["leases"]:
            self._handle_lease(tree, begun)

    async def _interrupted(
        self, call: Awaitable[dict[str, Any]], wait: float, begun: float
    ) -> dict[str, Any] | None:
        """An update that waits for work is given up when a task ends: that is reported at once.

        The later update voids the earlier one, unless that was answered in the same moment: what its answer
        brings is taken all the same (`_late`).
        """
        self._news.clear()
        task = asyncio.ensure_future(call)
        # Guards against an exception that nobody reads, where this machine is cancelled meanwhile.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        if not wait:
            return await task
        news = asyncio.ensure_future(self._news.wait())
        try:
            await asyncio.wait([task, news], return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            task.add_done_callback(lambda done: self._late(done, begun))
            return None
        finally:
            news.cancel()

    def _late(self, done: asyncio.Future[dict[str, Any]], begun: float) -> None:
        """Guards leases that were handed out in the answer to an update that had just been given up."""
        if not done.cancelled() and done.exception() is None and done.result()["name"] == self._session:
            for tree in done.result()["leases"]:
                if tree["state"] == "PENDING":
                    self._handle_lease(tree, begun)

    @staticmethod
    def _listed(held: _HeldLease) -> dict[str, Any]:
        tree: dict[str, Any] = {"id": held.lease.id, "state": held.state}
        if held.outcome is not None:
            tree["status"] = {"code": held.outcome.code, "message": held.outcome.message}
            if held.outcome.result is not None:
                tree["result"] = held.outcome.result
        return tree

    def _handle_lease(self, tree: dict[str, Any], begun: float) -> None:
        """Handle one lease as the gateway lists it.

        Its expiry is counted from when the update was sent: never late.
        """
        held = self._held.get(tree["id"])
        if tree["state"] == "CANCELLED":
            if held is not None:
                self._stop(held)
            return
        span = max(0.0, _unix(tree["expireTime"]) - time.time())
        if held is None and tree["state"] == "PENDING" and "payload" in tree:
            held = _HeldLease(
                Lease(tree["id"], tree["payload"], tree.get("assignment", "")),
                "ACTIVE",
                time.monotonic() + span - SAFETY_S,
            )
            self._held[held.lease.id] = held
            held.work = asyncio.ensure_future(self._work(held))
            self._news.set()
        elif held is not None and held.state == "ACTIVE":
            held.until = min(begun, time.monotonic()) + span - SAFETY_S

    async def _work(self, held: _HeldLease) -> None:
        try:
            held.outcome = await self._run(held.lease)
            held.state = "COMPLETED"
        except Declined as fault:
            held.outcome = Outcome(fault.code, str(fault))
            held.state = "COMPLETED"
        except asyncio.CancelledError:
            held.state = "CANCELLED"
        except Exception as fault:
            held.outcome = Outcome(2, f"{type(fault).__name__}: {fault}")
            held.state = "COMPLETED"
        self._news.set()

    def _stop(self, held: _HeldLease) -> None:
        if held.work is not None and not held.work.done():
            held.work.cancel()
        else:
            self._held.pop(held.lease.id, None)

    async def _watch_expiries(self) -> None:
        """Stop leases that expire, also where the gateway can't be reached: a task may be elsewhere then."""
        while True:
            now = time.monotonic()
            for held in list(self._held.values()):
                if held.state == "ACTIVE" and now >= held.until:
                    self._stop(held)
            ends = [held.until for held in self._held.values() if held.state == "ACTIVE"]
            await asyncio.sleep(min([0.1, *(max(0.005, end - now) for end in ends)]))

    async def _stop_all(self) -> None:
        works = [held.work for held in self._held.values() if held.work is not None and not held.work.done()]
        for work in works:
            work.cancel()
        await asyncio.gather(*works, return_exceptions=True)


def _unix(text: str) -> float:
    return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
