"""Hand-offs from this site: maps transfers to waiting requests and delivers the targets' messages to them."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from weldhatch.core.policy_driver import unix_us
from weldhatch.core.ports import Receiver
from weldhatch.sites import messages
from weldhatch.sites.effects import EffectRunner, OwnerEffect
from weldhatch.sites.handoff_source import (
    Answer,
    AnswerOwner,
    OutgoingPhase,
    OutgoingTransfer,
    SendMessage,
    TaskBusyError,
    WriteRecord,
)
from weldhatch.sites.local_site import SiteFrontEnd
from weldhatch.sites.messages import TransferId, Work
from weldhatch.sites.routing import Router
from weldhatch.sites.storage import SiteStorage, encode_source_record
from weldhatch.store.log import LogError


@dataclass(slots=True, frozen=True)
class _WaitingRequest:
    """A request that waits for its transfer, with its deadline."""

    request: Receiver
    deadline_us: int


class OutgoingHandoffs:
    """Passes local events and target messages to the `HandoffSource`; notifies requests of the outcome."""

    def __init__(
        self, storage: SiteStorage, effects: EffectRunner, router: Router, front: SiteFrontEnd
    ) -> None:
        """Start with the transfers in the store, for which no request waits."""
        self.source = storage.source
        self._storage = storage
        self._effects = effects
        self._router = router
        self._front = front
        self._waiting: dict[TransferId, _WaitingRequest] = {}

    async def offer(self, site: str, work: Work, left_us: int, request: Receiver) -> TransferId:
        """Record a hand-off and send the offer. Raises TaskBusyError if the task can't be handed off now.

        `request` is notified of the outcome; its deadline is `left_us` from now.
        """
        work = replace(work, hops=work.hops + 1)
        id, effects = self.source.offer(site, work, left_us)
        self._waiting[id] = _WaitingRequest(request, unix_us() + left_us)
        write, *rest = effects
        assert isinstance(write, WriteRecord)
        try:
            # Not written by `effects`, which would retry: the request must learn of a write error at once.
            await self._storage.append([encode_source_record(write.record)])
        except LogError as error:
            self.source.cancel_unwritten(id)
            del self._waiting[id]
            raise TaskBusyError(f"the store can't write: {error}") from None
        self._router.transfer_sent(time.monotonic(), site, work)
        self._effects.run_source(rest)
        return id

    def deadline_passed(self, id: TransferId) -> None:
        """Answer a request whose target has not answered in time."""
        transfer = self.source.transfers.get(id)
        if transfer is not None and transfer.phase is OutgoingPhase.OFFERED:
            self._router.transfer_failed(time.monotonic(), transfer.site)
            self._effects.run_source(self.source.deadline_passed(id))

    def abandon(self, id: TransferId) -> None:
        """Recall a task whose owner gave up."""
        self._waiting.pop(id, None)
        self._effects.run_source(self.source.abandoned(id))

    def release(self, id: TransferId, cause: int) -> None:
        """End a task placed at another site, because its owner has ended it."""
        self._waiting.pop(id, None)
        self._effects.run_source(self.source.released(id, cause))

    def notify_request(self, effect: OwnerEffect) -> None:
        """Notify the waiting request of a transfer's outcome. A placed task waits for its end."""
        waiting = self._waiting.get(effect.id)
        if waiting is None:
            return
        if not (isinstance(effect, AnswerOwner) and effect.answer is Answer.PLACED):
            del self._waiting[effect.id]
        waiting.request.deliver(effect)

    def receive(self, site: str, message: messages.ToSource) -> None:
        """Handle one message of a target."""
        transfer = self.source.transfers.get(message.id)
        if transfer is not None and transfer.site == site:
            self._record_outcome(site, transfer, message)
        self._effects.run_source(self.source.receive(site, message))

    def _record_outcome(self, site: str, transfer: OutgoingTransfer, message: messages.ToSource) -> None:
        """Report the outcome in a message to the front end and the router."""
        now = time.monotonic()
        if isinstance(message, messages.Placed | messages.Ended):
            self._front.task_ran(transfer.work)
        match message:
            case messages.Placed() if transfer.phase is OutgoingPhase.OFFERED:
                self._router.transfer_placed(now, site)
            case messages.Returned():
                self._router.transfer_returned(now, site, transfer.work)
                self._router.transfer_ended(site)
            case messages.Ended():
                self._router.transfer_ended(site)

    def unconfirmed_messages(self, site: str) -> list[SendMessage]:
        """Return the messages that a target has not confirmed, to be sent again."""
        now = unix_us()
        left_us = {id: waiting.deadline_us - now for id, waiting in self._waiting.items()}
        return list(self.source.unconfirmed_messages(site, left_us))

    def reclaim_silent(self, site: str) -> None:
        """Reclaim idempotent work from a site whose link has been down for `forwarding.SILENCE_S`."""
        for id in [id for id, transfer in self.source.transfers.items() if transfer.site == site]:
            self._effects.run_source(self.source.link_silent(id))

    def forget_site(self, site: str) -> int:
        """End all transfers to a site, as an operator has confirmed; return the number of transfers ended."""
        count = self.source.count_open(site)
        self._effects.run_source(self.source.forget_site(site))
        return count
