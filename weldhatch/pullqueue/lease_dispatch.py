"""Leases that leave the gateway for their machines: here, and only here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container
from datetime import UTC, datetime

from weldhatch.core import ports
from weldhatch.core.messages import CALLED_OFF
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.deadlines import Deadlines
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.pullqueue.leases import Lease, Ledger, Phase
from weldhatch.pullqueue.machines import Bot, Passed
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.scheduling.types import Outcome, Settings
from weldhatch.store.log import LogError

REPLY_MOST = 48 * 1024  # what one answer hands out at the most; the rest waits for the next
INLINE = ("inlineAssignment", "yes")  # a worker's config


class Outgoing:
    """Hands leases out in the answer to an update, written first, checked last."""

    def __init__(
        self,
        settings: Settings,
        ledger: Ledger,
        book: QueueStorage | NoStorage,
        due: Deadlines,
        pickup: Callable[[], float],
        place_of: Callable[[Bot], tuple[str, str]],
        extend: Callable[[Lease], None],
        end: Callable[..., None],
        log: Callable[[str], None],
        now: Callable[[], float],
    ) -> None:
        """`pickup`: seconds; `place_of`: hall and rack by name; `extend`, `end`: of a lease, its owner's."""
        self.settings, self._ledger, self._book, self._due = settings, ledger, book, due
        self._pickup, self._place_of, self._extend, self._end = pickup, place_of, extend, end
        self._log, self._now = log, now
        self.rules: ports.Rules | None = None  # where dispatchers agree on them

    async def hand_out(self, bot: Bot, session: str, poll: int, request: Request) -> list[dict]:
        """The leases that wait for this machine leave the gateway here, and only here.

        What may not start twice is on the disk before it is on the wire; where the disk does not take it, or
        the machine has gone on meanwhile, it has not left.
        """
        out, size, records, spent = [], 0, [], set()
        for lease in self._held_back(list(bot.waiting.values())):
            passed: Passed = lease.task.passed_on
            size += 512 + 2 * len(passed.blob)
            if out and size > REPLY_MOST:
                break
            del bot.waiting[lease.id]
            lease.phase = Phase.PENDING
            self._extend(lease)
            if self._ledger.handed(lease, self.settings.classes[lease.task.class_index]):
                spent.add(lease.id)
                records.append(durable_state.encode("spent", [lease.task.key]))
            records += passed.records()
            records.append(
                durable_state.encode(
                    "handed",
                    lease.id,
                    lease.task.label,
                    bot.id,
                    [bot.cores, bot.memory, self._place_of(bot)[0], self._place_of(bot)[1]],
                    lease.attempt,
                )
            )
            out.append(lease)
        if not out:
            return []
        try:
            await self._book.append(*records)
        except LogError:
            for lease in out:
                if lease.phase is not Phase.OVER:
                    self._ledger.taken_back(lease, lease.id in spent)
                    self._end(lease, Outcome.NOT_SENT)
            return []
        except asyncio.CancelledError:  # the connection of this update has ended meanwhile
            self._wait_again(bot, out, spent)
            raise
        if bot.session != session or bot.poll != poll or request.closed():
            self._wait_again(bot, out, spent)
            raise HttpError(409, "name: a later update of this machine has come", "name")
        out = self._held_back(out, spent)
        return [self._given(bot, lease) for lease in out if lease.phase in (Phase.PENDING, Phase.CANCELLED)]

    def _held_back(self, leases: list[Lease], spent: Container[str] = ()) -> list[Lease]:
        """Those that may leave; the others end as not sent.

        Guards against rules that moved on, or a process that was stopped, while an offer waited.
        """
        may = []
        for lease in leases:
            if (
                self.rules is None
                or lease.phase not in (Phase.WAITING, Phase.PENDING)
                or not (why := self.rules.stops(lease.task.class_index, lease.machine))
            ):
                may.append(lease)
                continue
            self._log(f"lease {lease.id} stays: {why}")
            if lease.phase is Phase.PENDING:
                self._ledger.taken_back(lease, lease.id in spent)
            self._end(lease, Outcome.NOT_SENT)
        return may

    def _wait_again(self, bot: Bot, leases: list[Lease], spent: set[str]) -> None:
        """Leases that were written and have not left: offered still, their keys neither out nor spent.

        Guards against a lease that is lost with an update that its machine has given up, and against a key
        that stays taken where the offer is withdrawn then.
        """
        for lease in leases:
            if lease.phase in (Phase.PENDING, Phase.CANCELLED):
                self._ledger.taken_back(lease, lease.id in spent)
                self._book.append_with_retry(durable_state.encode("back", lease.id))
                if lease.phase is Phase.CANCELLED:
                    self._end(lease, Outcome.NOT_SENT, cause=CALLED_OFF)
                    continue
                lease.phase = Phase.WAITING
                lease.expires = self._now() + self._pickup()
                self._due.set(("lease", lease.id), lease.expires)
                bot.waiting[lease.id] = lease
        bot.news.set()

    def _given(self, bot: Bot, lease: Lease) -> dict:
        """A lease as it is handed out; machines of the API's earlier form have the payload inline as well."""
        payload = self._payload(lease)
        given = {**shown(lease), "assignment": lease.task.label, "payload": payload}
        return {**given, "inlineAssignment": payload} if INLINE in bot.worker.configs else given

    def _payload(self, lease: Lease) -> dict:
        setup, blob = lease.task.passed_on.setup, lease.task.passed_on.blob
        return {
            "@type": "type.googleapis.com/weldhatch.Task",
            "class": setup.class_name,
            "key": setup.name,
            "idem": setup.idem,
            "cores": setup.cores,
            "memory": setup.memory,
            "service": f"{setup.service:016x}",
            "blob": blob,
        }


def shown(lease: Lease) -> dict:
    return {"id": lease.id, "state": lease.phase.value, "expireTime": rfc3339(lease.expires)}


def rfc3339(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
