"""The target of a hand-off: the site that was offered a task, whose own module places it. No I/O.

A transfer goes from PLACING to PLACED, and ends as RETURNED (it never started here) or ENDED. Its last
message is repeated until the source confirms that it has recorded it; after that only the transfer id is
kept, as a tombstone, until the source's low watermark has passed it. Effects are executed in order, and none
before the records that precede it are on the disk.

Guarantees:

* an id is placed once: duplicate, late or reordered offers find the id's entry, its tombstone, or the
  watermark;
* a recall that arrives before its offer leaves an entry, so that the offer is answered with `Returned`;
* `Returned` is sent only if the task did not run and never will: the module rejected it, or was never asked
  to place it;
* after a restart, a transfer that was being placed may have run: it ends, and is never returned.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

from weldhatch.sites import messages
from weldhatch.sites.messages import HandoffRecord, TransferId, Work

MAX_HOPS = 2  # a task is returned, not placed, from this many hand-offs on
LOST_WITH_GATEWAY = 41  # the cause of the end of a task whose gateway died
CALLED_OFF = 31  # the cause of the end of a task that is no longer needed


class IncomingPhase(StrEnum):
    """State of a transfer at its target."""

    PLACING = "tried"  # recorded; the module decides
    RECALLED = "called back"  # recalled by the source; the module has not finished yet
    PLACED = "stands"
    ENDING = "ending"  # placed, and asked to end
    RETURNED = "returned"
    ENDED = "ended"


OPEN_PHASES = (IncomingPhase.PLACING, IncomingPhase.RECALLED, IncomingPhase.PLACED, IncomingPhase.ENDING)


@dataclass(slots=True, frozen=True)
class IncomingTransfer:
    """A transfer at its target."""

    id: TransferId
    work: Work | None  # None if only the recall of the transfer has arrived
    phase: IncomingPhase = IncomingPhase.PLACING
    description: str = ""
    cause: int = 0
    was_placed: bool = False
    result: str = ""


# ---- effects, carried out in order ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """Write a record, which must be on the disk before any later effect is executed."""

    record: HandoffRecord


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to the source. It may be lost, and is repeated until it is confirmed."""

    site: str
    message: messages.ToSource


@dataclass(slots=True, frozen=True)
class StartTask:
    """Hand the task to this site's core, as a request with `left_us` until its deadline."""

    site: str
    id: TransferId
    work: Work
    left_us: int


@dataclass(slots=True, frozen=True)
class AbandonTask:
    """Notify the core that the owner gave up; the outcome is reported by `returned` or `ended`."""

    site: str
    id: TransferId


@dataclass(slots=True, frozen=True)
class ReleaseTask:
    """End the task that is placed here, with this cause."""

    site: str
    id: TransferId
    cause: int


TargetEffect = WriteRecord | SendMessage | StartTask | AbandonTask | ReleaseTask


@dataclass(slots=True)
class HandoffTarget:
    """State machine of all transfers from one site. Execute the effects that its methods return, in order.

    `tombstones`: closed transfers that the source's low watermark has not passed. `newest`: the highest id
    received, which proves that the source has offered transfers up to it.
    """

    site: str
    transfers: dict[TransferId, IncomingTransfer] = field(default_factory=dict)
    tombstones: dict[TransferId, None] = field(default_factory=dict)
    low_watermark: TransferId = (0, 0)
    newest: TransferId = (0, 0)

    # ---- messages of the source ------------------------------------------------------------------------

    def receive(self, message: messages.ToTarget, draining: bool = False) -> list[TargetEffect]:
        """Handle one message of the source. `draining`: this site accepts no new tasks."""
        if isinstance(message, messages.LowWatermark):
            return self._advance_watermark(message.id)
        if message.id > self.newest:
            self.newest = message.id
        transfer = self.transfers.get(message.id)
        match message:
            case messages.Offer(id, work, left_us):
                return self._offered(transfer, id, work, left_us, draining)
            case messages.Withdraw(id):
                return self._withdraw(transfer, id)
            case messages.Release(id, cause):
                if transfer is not None and transfer.phase is IncomingPhase.PLACED:
                    self.transfers[id] = replace(transfer, phase=IncomingPhase.ENDING)
                    return [ReleaseTask(self.site, id, cause)]
                return self._withdraw(transfer, id)
            case messages.Close(id):
                if transfer is None or transfer.phase in OPEN_PHASES:
                    return []  # a transfer is closed only after its last message
                self._close(id)
                return [WriteRecord(("closed", id))]

    def _offered(
        self, transfer: IncomingTransfer | None, id: TransferId, work: Work, left_us: int, draining: bool
    ) -> list[TargetEffect]:
        if transfer is not None:
            return [self._current_message(transfer)]
        if id < self.low_watermark or id in self.tombstones:
            return []  # closed at both sides; this is a late copy of the offer
        if draining or work.hops >= MAX_HOPS or left_us <= 0:
            return self._return_task(IncomingTransfer(id, work), 0)
        self.transfers[id] = IncomingTransfer(id, work)
        return [
            WriteRecord(("taken", id, work)),
            SendMessage(self.site, messages.Accepted(id)),
            StartTask(self.site, id, work, left_us),
        ]

    def _withdraw(self, transfer: IncomingTransfer | None, id: TransferId) -> list[TargetEffect]:
        if transfer is None:
            if id < self.low_watermark or id in self.tombstones:
                return []
            # If the offer arrives later, it is answered with `Returned`.
            return self._return_task(IncomingTransfer(id, None), 0)
        match transfer.phase:
            case IncomingPhase.PLACING:
                self.transfers[id] = replace(transfer, phase=IncomingPhase.RECALLED)
                return [AbandonTask(self.site, id)]
            case IncomingPhase.PLACED:
                self.transfers[id] = replace(transfer, phase=IncomingPhase.ENDING)
                return [ReleaseTask(self.site, id, CALLED_OFF)]
            case IncomingPhase.RETURNED | IncomingPhase.ENDED:
                return [self._current_message(transfer)]
        return []

    def _advance_watermark(self, low_watermark: TransferId) -> list[TargetEffect]:
        """Forget closed transfers before the watermark and withdraw open ones; the source closed all."""
        if low_watermark <= self.low_watermark:
            return []
        self.low_watermark = low_watermark
        closed_ids = [
            id
            for id, transfer in self.transfers.items()
            if id < low_watermark and transfer.phase not in OPEN_PHASES
        ]
        for id in closed_ids:
            del self.transfers[id]
        while self.tombstones and (oldest := min(self.tombstones)) < low_watermark:
            del self.tombstones[oldest]
        effects: list[TargetEffect] = [WriteRecord(("floor", low_watermark))]
        for transfer in [transfer for id, transfer in self.transfers.items() if id < low_watermark]:
            effects += self._withdraw(transfer, transfer.id)  # still open here, though closed at the source
        return effects

    # ---- local events ----------------------------------------------------------------------------------

    def placed(self, id: TransferId, description: str) -> list[TargetEffect]:
        """Handle the placement of the task by the module; its machine has accepted it."""
        transfer = self.transfers.get(id)
        if transfer is None or transfer.phase not in (IncomingPhase.PLACING, IncomingPhase.RECALLED):
            return []
        ending = transfer.phase is IncomingPhase.RECALLED
        transfer = self.transfers[id] = replace(
            transfer,
            phase=IncomingPhase.ENDING if ending else IncomingPhase.PLACED,
            description=description,
            was_placed=True,
        )
        record_effect = WriteRecord(("stands", id, description))
        if ending:
            return [record_effect, ReleaseTask(self.site, id, CALLED_OFF)]
        return [record_effect, SendMessage(self.site, messages.Placed(id, description))]

    def returned(self, id: TransferId, wait_us: int = 0) -> list[TargetEffect]:
        """Handle the rejection of the task by the module. The task must not have run."""
        transfer = self.transfers.get(id)
        if transfer is None or transfer.phase not in (IncomingPhase.PLACING, IncomingPhase.RECALLED):
            return []
        return self._return_task(transfer, wait_us)

    def _return_task(self, transfer: IncomingTransfer, wait_us: int) -> list[TargetEffect]:
        self.transfers[transfer.id] = replace(transfer, phase=IncomingPhase.RETURNED)
        return [
            WriteRecord(("returned", transfer.id)),
            SendMessage(self.site, messages.Returned(transfer.id, wait_us)),
        ]

    def ended(self, id: TransferId, cause: int, result: str = "") -> list[TargetEffect]:
        """Handle the end of the task: a placed task with its result, or a failed one that may have run."""
        transfer = self.transfers.get(id)
        if transfer is None or transfer.phase not in OPEN_PHASES:
            return []
        transfer = self.transfers[id] = replace(
            transfer, phase=IncomingPhase.ENDED, cause=cause, result=result
        )
        return [WriteRecord(("ended", id, cause, result)), self._current_message(transfer)]

    # ---- repeats and restarts --------------------------------------------------------------------------

    def unconfirmed_messages(self) -> Iterator[SendMessage]:
        """Return the messages that the source has not confirmed, to be sent again."""
        for transfer in self.transfers.values():
            if transfer.phase is not IncomingPhase.PLACING and transfer.phase is not IncomingPhase.RECALLED:
                yield self._current_message(transfer)

    def _current_message(self, transfer: IncomingTransfer) -> SendMessage:
        """Return the message that reports the current phase of a transfer."""
        match transfer.phase:
            case IncomingPhase.PLACING | IncomingPhase.RECALLED:
                return SendMessage(self.site, messages.Accepted(transfer.id))
            case IncomingPhase.PLACED | IncomingPhase.ENDING:
                return SendMessage(self.site, messages.Placed(transfer.id, transfer.description))
            case IncomingPhase.RETURNED:
                return SendMessage(self.site, messages.Returned(transfer.id))
            case IncomingPhase.ENDED:
                end = messages.Ended(transfer.id, transfer.cause, transfer.was_placed, transfer.result)
                return SendMessage(self.site, end)

    def recover(self, ids: Iterable[TransferId] | None = None) -> list[TargetEffect]:
        """End the transfers of a former gateway, once none of their tasks can run any more.

        Tasks that were being placed may have run, and placed tasks were lost with the gateway: both end, and
        are not returned. `ids`: the transfers found at the start; None for all.
        """
        effects: list[TargetEffect] = []
        for id in list(self.transfers if ids is None else ids):
            effects += self.ended(id, LOST_WITH_GATEWAY)
        return effects

    # ---- the table -------------------------------------------------------------------------------------

    def _close(self, id: TransferId) -> None:
        del self.transfers[id]
        if id >= self.low_watermark:
            self.tombstones[id] = None

    # ---- recovery from records -------------------------------------------------------------------------

    def apply(self, record: HandoffRecord) -> None:
        """Apply one record of the store; call in order. Raises ValueError if the record is invalid."""
        match record:
            case ("taken", id, Work() as work):
                self.transfers[id] = IncomingTransfer(id, work)
            case ("stands", id, str(description)):
                if transfer := self.transfers.get(id):
                    self.transfers[id] = replace(
                        transfer, phase=IncomingPhase.PLACED, description=description, was_placed=True
                    )
            case ("returned", id):
                transfer = self.transfers.get(id) or IncomingTransfer(id, None)
                self.transfers[id] = replace(transfer, phase=IncomingPhase.RETURNED)
            case ("ended", id, int(cause), str(result)):
                if transfer := self.transfers.get(id):
                    self.transfers[id] = replace(
                        transfer, phase=IncomingPhase.ENDED, cause=cause, result=result
                    )
            case ("closed", id):
                if id in self.transfers:
                    self._close(id)
                else:
                    self.tombstones[id] = None
            case ("floor", id):
                self.low_watermark = max(self.low_watermark, id)
                self.transfers = {
                    other_id: transfer
                    for other_id, transfer in self.transfers.items()
                    if other_id >= id or transfer.phase in OPEN_PHASES
                }
                self.tombstones = {other_id: None for other_id in self.tombstones if other_id >= id}
                return
            case _:
                raise ValueError(f"a record that can't be read: {record!r}")
        self.newest = max(self.newest, record[1])

    def snapshot_records(self) -> Iterator[HandoffRecord]:
        """Return a minimal list of records that rebuilds the same state."""
        yield ("floor", self.low_watermark)
        for transfer in self.transfers.values():
            if transfer.work is not None:
                yield ("taken", transfer.id, transfer.work)
            if transfer.was_placed:
                yield ("stands", transfer.id, transfer.description)
            if transfer.phase is IncomingPhase.RETURNED:
                yield ("returned", transfer.id)
            elif transfer.phase is IncomingPhase.ENDED:
                yield ("ended", transfer.id, transfer.cause, transfer.result)
        for id in self.tombstones:
            yield ("closed", id)
