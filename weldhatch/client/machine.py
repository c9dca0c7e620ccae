"""A build machine: polls a gateway for leases, runs their tasks, and stops a task whose lease has ended."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from weldhatch.client.api import Api, ApiError, Backoff

# A task is stopped this long before its lease expires, to allow for clock drift and scheduling delays.
LEASE_SAFETY_MARGIN_S = 0.2


@dataclass(slots=True, frozen=True)
class Lease:
    """The right to run one task for a limited time.

    id: the name of the lease. payload: the task as submitted. assignment: the name of the task.
    """

    id: str
    payload: dict[str, Any]
    assignment: str = ""


@dataclass(slots=True, frozen=True)
class Outcome:
    """How a task ended.

    code: a google.rpc.Code, 0 for success. result: a JSON object for the submitter.
    """

    code: int = 0
    message: str = ""
    result: dict[str, Any] | None = None


class Declined(Exception):
    """Raised by the `run` callback if it does not start the task of a lease: the task has not run at all."""

    def __init__(self, message: str = "", no_room: bool = True) -> None:
        """Choose the error code of the lease.

        no_room: true if the machine lacks capacity at present, false if it can never run this task.
        """
        super().__init__(message)
        self.code = 8 if no_room else 9


@dataclass(slots=True)
class _HeldLease:
    lease: Lease
    state: str
    stop_at: float  # when the task is stopped, on this machine's monotonic clock
    run_task: asyncio.Task[None] | None = None
    outcome: Outcome | None = None


LeaseRunner = Callable[[Lease], Awaitable[Outcome]]


class BuildMachine:
    """Keeps one session with a gateway, and calls `run` for each lease.

    A call whose lease ends early is cancelled.

    A task is always stopped before its lease expires, whether or not the gateway can be reached. The gateway
    relies on this: after the expiry it may start the task on another machine.
    """

    def __init__(
        self,
        api: Api,
        bot_id: str,
        properties: dict[str, str],
        run: LeaseRunner,
        *,
        poll_s: float = 1.0,
        worker: dict[str, Any] | None = None,
    ) -> None:
        """Prepare the machine; `serve` opens its session.

        bot_id: the machine's name. properties: the properties by which the gateway places tasks (cores,
        memory, hall, rack). run: called for each lease; it may raise `Declined`. poll_s: how long an update
        waits for work, in seconds. worker: further fields of the session's worker.
        """
        self._api = api
        self.bot_id = bot_id
        self._run = run
        self._poll_s = poll_s
        pairs = [{"key": key, "value": value} for key, value in properties.items()]
        self._worker = {**(worker or {}), "properties": pairs}
        self._held: dict[str, _HeldLease] = {}
        self._session = ""
        self._lease_changed = asyncio.Event()  # set when a lease begins and when a task ends
        self._expiry_task: asyncio.Task[None] | None = None
        self.status = "OK"  # sent with the next update; the gateway gives new leases only for OK

    @property
    def holding(self) -> tuple[str, ...]:
        """Ids of the leases that this machine holds, in the order of arrival."""
        return tuple(self._held)

    async def serve(self) -> None:
        """Serve until cancelled.

        A session that the gateway no longer knows is replaced by a new one that lists all held leases.
        Raises ApiError for an error that is not transient.
        """
        backoff = Backoff()
        self._expiry_task = asyncio.ensure_future(self._stop_expired())
        try:
            while True:
                try:
                    await self._update()
                    backoff = Backoff()
                    # Lets a runner that declines immediately do so before the next update reports its lease.
                    for _ in range(3):
                        await asyncio.sleep(0)
                except ApiError as error:
                    if error.code == 404:
                        self._session = ""
                    elif error.code == 409:
                        continue
                    elif not error.transient:
                        raise
                    await asyncio.sleep(backoff.next(error.retry_s))
        finally:
            self._expiry_task.cancel()
            await self._stop_all()

    async def leave(self) -> None:
        """Report BOT_TERMINATING: the gateway gives no new leases, and held leases are left to expire."""
        self.status = "BOT_TERMINATING"
        with contextlib.suppress(ApiError):
            await self._update()

    async def _update(self) -> None:
        reports = [self._lease_report(held) for held in self._held.values()]
        sent_at = time.monotonic()
        unreported = any(held.state == "COMPLETED" for held in self._held.values())
        wait_s = 0.0 if unreported or self.status != "OK" else self._poll_s
        if self._session:
            call = self._api.call(
                "PATCH", self._session, {"leases": reports, "status": self.status}, wait_s=wait_s
            )
        else:
            call = self._api.call(
                "POST",
                "botSessions",
                {"botId": self.bot_id, "status": self.status, "leases": reports, "worker": self._worker},
            )
        session = await self._await_update(call, wait_s, sent_at)
        if session is None:
            return
        self._session = session["name"]
        reported = {report["id"]: report["state"] for report in reports}
        for id, state in reported.items():
            if state in ("COMPLETED", "CANCELLED"):
                self._held.pop(id, None)
        for listed in session["leases"]:
            self._handle_lease(listed, sent_at)

    async def _await_update(
        self, call: Awaitable[dict[str, Any]], wait_s: float, sent_at: float
    ) -> dict[str, Any] | None:
        """Return the session that an update is answered with, or None if a lease changes during the wait.

        In that case the next update reports the change immediately, and the gateway aborts the earlier one.
        If the earlier update was answered at the same moment, `_accept_late_leases` handles its response.
        """
        self._lease_changed.clear()
        task = asyncio.ensure_future(call)
        # Retrieves the exception of a call whose awaiting task was cancelled; asyncio would log it otherwise.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        if not wait_s:
            return await task
        change = asyncio.ensure_future(self._lease_changed.wait())
        try:
            await asyncio.wait([task, change], return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            task.add_done_callback(lambda done: self._accept_late_leases(done, sent_at))
            return None
        finally:
            change.cancel()

    def _accept_late_leases(self, done: asyncio.Future[dict[str, Any]], sent_at: float) -> None:
        """Start the new leases in the response to an abandoned update, which would be lost otherwise."""
        if not done.cancelled() and done.exception() is None and done.result()["name"] == self._session:
            for listed in done.result()["leases"]:
                if listed["state"] == "PENDING":
                    self._handle_lease(listed, sent_at)

    @staticmethod
    def _lease_report(held: _HeldLease) -> dict[str, Any]:
        report: dict[str, Any] = {"id": held.lease.id, "state": held.state}
        if held.outcome is not None:
            report["status"] = {"code": held.outcome.code, "message": held.outcome.message}
            if held.outcome.result is not None:
                report["result"] = held.outcome.result
        return report

    def _handle_lease(self, listed: dict[str, Any], sent_at: float) -> None:
        """Start, renew or stop one lease, as the gateway lists it.

        A renewed lease counts from the time when the update was sent, so that its task is never stopped late.
        """
        held = self._held.get(listed["id"])
        if listed["state"] == "CANCELLED":
            if held is not None:
                self._stop(held)
            return
        remaining_s = max(0.0, _unix_time(listed["expireTime"]) - time.time())
        if held is None and listed["state"] == "PENDING" and "payload" in listed:
            held = _HeldLease(
                Lease(listed["id"], listed["payload"], listed.get("assignment", "")),
                "ACTIVE",
                time.monotonic() + remaining_s - LEASE_SAFETY_MARGIN_S,
            )
            self._held[held.lease.id] = held
            held.run_task = asyncio.ensure_future(self._run_lease(held))
            self._lease_changed.set()
        elif held is not None and held.state == "ACTIVE":
            held.stop_at = min(sent_at, time.monotonic()) + remaining_s - LEASE_SAFETY_MARGIN_S

    async def _run_lease(self, held: _HeldLease) -> None:
        try:
            held.outcome = await self._run(held.lease)
            held.state = "COMPLETED"
        except Declined as error:
            held.outcome = Outcome(error.code, str(error))
            held.state = "COMPLETED"
        except asyncio.CancelledError:
            held.state = "CANCELLED"
        except Exception as error:
            held.outcome = Outcome(2, f"{type(error).__name__}: {error}")
            held.state = "COMPLETED"
        self._lease_changed.set()

    def _stop(self, held: _HeldLease) -> None:
        if held.run_task is not None and not held.run_task.done():
            held.run_task.cancel()
        else:
            self._held.pop(held.lease.id, None)

    async def _stop_expired(self) -> None:
        """Stop each task shortly before its lease expires, even while the gateway can't be reached.

        After the expiry the gateway may start the task on another machine.
        """
        while True:
            now = time.monotonic()
            for held in list(self._held.values()):
                if held.state == "ACTIVE" and now >= held.stop_at:
                    self._stop(held)
            stop_times = [held.stop_at for held in self._held.values() if held.state == "ACTIVE"]
            await asyncio.sleep(min([0.1, *(max(0.005, stop_at - now) for stop_at in stop_times)]))

    async def _stop_all(self) -> None:
        run_tasks = [
            held.run_task
            for held in self._held.values()
            if held.run_task is not None and not held.run_task.done()
        ]
        for run_task in run_tasks:
            run_task.cancel()
        await asyncio.gather(*run_tasks, return_exceptions=True)


def _unix_time(text: str) -> float:
    return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
