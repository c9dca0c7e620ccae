"""Hand-out of leases to their machines: the only module that sends new leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any, Protocol

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_CANCELLED
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.deadlines import Deadlines
from weldhatch.pullqueue.durable_state import LeaseEnd
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.leases import KeyLedger, Lease, LeasePhase
from weldhatch.pullqueue.machines import Bot, LeasePayload, payload_of
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.scheduling.types import Outcome, Settings
from weldhatch.store.log import LogError

MAX_REPLY_BYTES = 48 * 1024  # approximate limit of the leases in one answer; others wait for the next one
LEASE_OVERHEAD_BYTES = 512  # approximate size of a lease without its blob
INLINE_ASSIGNMENT = ("inlineAssignment", "yes")  # config of a worker that expects the payload inline


class LeaseOwner(Protocol):
    """The owner of the leases and their deadlines."""

    def extend_lease(self, lease: Lease) -> None:
        """Extend a lease to a full lease time from now."""

    def end_lease(self, lease: Lease, end: LeaseEnd, reason: int = 0) -> asyncio.Future[None]:
        """End an attempt; return the write of its end."""

    def pickup_s(self) -> float:
        """Return how long an offer waits for its machine."""

    def zone_and_rack(self, bot: Bot) -> tuple[str, str]:
        """Return the names of a machine's zone and rack."""


@dataclass(slots=True)
class _Batch:
    """The leases of one answer, and the records that must be on the disk before the answer is sent."""

    leases: list[Lease] = field(default_factory=list)
    records: list[bytes] = field(default_factory=list)
    newly_spent: set[str] = field(default_factory=set)  # ids of leases whose keys become spent by this batch
    newly_recorded: list[LeasePayload] = field(default_factory=list)  # those with their first records in it


class LeaseDispatcher:
    """Hands out leases in the answer to an update: stores them, then checks them again before the answer."""

    def __init__(
        self,
        settings: Settings,
        ledger: KeyLedger,
        storage: QueueStorage | NoStorage,
        deadlines: Deadlines,
        owner: LeaseOwner,
        log: Callable[[str], None],
        now: Callable[[], float],
    ) -> None:
        """Hand out the leases of this owner. `now`: Unix seconds."""
        self.settings = settings
        self._ledger = ledger
        self._storage = storage
        self._deadlines = deadlines
        self._owner = owner
        self._log = log
        self._now = now
        self.rules: ports.Rules | None = None  # set if a group of dispatchers agrees on its rules

    async def hand_out(
        self, bot: Bot, session: str, update_number: int, request: Request
    ) -> list[dict[str, Any]]:
        """Hand out the leases that are offered to a machine; return them as JSON.

        The hand-out is on the disk before the leases are on the wire, so that a restarted gateway knows them.
        If the write fails, the offers end as not sent. If the machine has sent a later update meanwhile,
        the leases are offered again. Raises HttpError in the latter case.
        """
        batch = self._prepare(bot)
        if not batch.leases:
            return []
        try:
            await self._storage.append(*batch.records)
        except LogError:
            for payload in batch.newly_recorded:
                payload.forget_first_records()
            for lease in batch.leases:
                if lease.phase is not LeasePhase.ENDED:
                    self._ledger.undo_handout(lease, lease.id in batch.newly_spent)
                    self._owner.end_lease(lease, LeaseEnd(Outcome.NOT_SENT))
            return []
        except asyncio.CancelledError:  # the connection of this update has closed meanwhile
            self._offer_again(bot, batch)
            raise
        if bot.session != session or bot.update_number != update_number or request.closed():
            self._offer_again(bot, batch)
            raise HttpError(409, "name: a later update of this machine has come", "name")
        return [
            self._handout_json(bot, lease)
            for lease in self._permitted(batch.leases, batch.newly_spent)
            if lease.phase in (LeasePhase.PENDING, LeasePhase.CANCELLED)
        ]

    def _prepare(self, bot: Bot) -> _Batch:
        """Mark as many offered leases as fit into one answer as handed out, and collect their records."""
        batch = _Batch()
        size = 0
        for lease in self._permitted(list(bot.offered.values())):
            payload = payload_of(lease.task)
            size += LEASE_OVERHEAD_BYTES + 2 * len(payload.blob)
            if batch.leases and size > MAX_REPLY_BYTES:
                break
            del bot.offered[lease.id]
            lease.phase = LeasePhase.PENDING
            lease.expires = 0.0  # that of the offer ends here
            self._owner.extend_lease(lease)
            if self._ledger.record_handout(lease, self.settings.classes[lease.task.class_index]):
                batch.newly_spent.add(lease.id)
                batch.records.append(durable_state.encode("spent", [lease.task.key]))
            if first_records := payload.first_records():
                batch.newly_recorded.append(payload)
                batch.records += first_records
            batch.records.append(self._handout_record(bot, lease))
            batch.leases.append(lease)
        return batch

    def _handout_record(self, bot: Bot, lease: Lease) -> bytes:
        place = [bot.cores, bot.memory, *self._owner.zone_and_rack(bot)]
        at = int(self._now() * 1e6)
        return durable_state.encode("handed", lease.id, lease.task.label, bot.id, place, lease.attempt, at)

    def _permitted(self, leases: list[Lease], newly_spent: Container[str] = ()) -> list[Lease]:
        """Return the leases that the rules allow to be handed out; end the others as not sent.

        The rules may have changed, or the process may have been suspended, while an offer waited.
        """
        permitted = []
        for lease in leases:
            if (
                self.rules is None
                or lease.phase not in (LeasePhase.OFFERED, LeasePhase.PENDING)
                or not (reason := self.rules.start_refusal(lease.task.class_index, lease.machine))
            ):
                permitted.append(lease)
                continue
            self._log(f"lease {lease.id} stays: {reason}")
            if lease.phase is LeasePhase.PENDING:
                self._undo_stored_handout(lease, lease.id in newly_spent)
            self._owner.end_lease(lease, LeaseEnd(Outcome.NOT_SENT))
        return permitted

    def _offer_again(self, bot: Bot, batch: _Batch) -> None:
        """Offer leases again that were stored but not sent, and undo the hand-out of their keys.

        Otherwise a lease would be lost with an update that its machine has abandoned, and its key would stay
        leased or spent if the offer is withdrawn later.
        """
        for lease in batch.leases:
            if lease.phase not in (LeasePhase.PENDING, LeasePhase.CANCELLED):
                continue
            self._undo_stored_handout(lease, lease.id in batch.newly_spent)
            self._storage.append_with_retry(durable_state.encode("back", lease.id))
            if lease.phase is LeasePhase.CANCELLED:
                self._owner.end_lease(lease, LeaseEnd(Outcome.NOT_SENT, CAUSE_CANCELLED))
                continue
            lease.phase = LeasePhase.OFFERED
            lease.expires = self._now() + self._owner.pickup_s()
            self._deadlines.set(("lease", lease.id), lease.expires)
            bot.offered[lease.id] = lease
        bot.changed.set()

    def _undo_stored_handout(self, lease: Lease, newly_spent: bool) -> None:
        """Undo the hand-out of a lease's key in the ledger and in the store."""
        self._ledger.undo_handout(lease, newly_spent)
        if newly_spent:
            self._storage.append_with_retry(durable_state.encode("unspent", [lease.task.key]))

    def _handout_json(self, bot: Bot, lease: Lease) -> dict[str, Any]:
        """Return a new lease as JSON; workers of an earlier API version get the payload inline too."""
        payload = self._payload_json(lease)
        lease_tree = {**lease_json(lease), "assignment": lease.task.label, "payload": payload}
        if INLINE_ASSIGNMENT in bot.worker.configs:
            lease_tree["inlineAssignment"] = payload
        return lease_tree

    @staticmethod
    def _payload_json(lease: Lease) -> dict[str, Any]:
        payload = payload_of(lease.task)
        request = payload.request
        return {
            "@type": "type.googleapis.com/weldhatch.Task",
            "class": request.class_name,
            "key": request.name,
            "idem": request.idem,
            "cores": request.cores,
            "memory": request.memory,
            "service": f"{request.service:016x}",
            "blob": payload.blob,
        }


def lease_json(lease: Lease) -> dict[str, Any]:
    """Return a lease in the JSON form of the Remote Workers API."""
    return {"id": lease.id, "state": lease.phase.value, "expireTime": rfc3339(lease.expires)}


def rfc3339(at: float) -> str:
    """Format Unix seconds as an RFC 3339 timestamp in UTC, with milliseconds."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
