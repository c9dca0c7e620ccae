"""The target of a hand-off: the site that was offered a task, whose own module places it. No I/O.

A transfer goes from PLACING to PLACED, and ends as RETURNED (it never started here) or ENDED. Its last
message is sent until the source has written it down; then only its id is kept, as a tombstone, until the
source's low watermark has passed it. Whoever carries the effects out does so in order, and none before the
records that precede it are on the disk.

What guards what:

* an id is placed once: a doubled, late or overtaken offer meets the id's entry, its tombstone, or the
  watermark;
* a recall that overtakes its offer leaves an entry, so that the offer finds the task returned;
* `Returned` is sent only where nothing ran and nothing will: by the module's rejection, or for what it was
  never asked to place;
* after a start from the store, what was being placed may have run: it ends, and is never returned.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

from weldhatch.sites import messages
from weldhatch.sites.messages import HandoffRecord, TransferId, Work

MAX_HOPS = 2  # sites that a task crosses; then it is returned, not passed on
LOST_WITH_GATEWAY = 41  # the cause of a task that was lost with its gateway
CALLED_OFF = 31  # the cause of a task that nobody waits for


class IncomingPhase(StrEnum):
    """How far a transfer has come, as its target knows."""

    PLACING = "tried"  # written down, and the module decides
    RECALLED = "called back"  # nobody waits for it any more, and its end is awaited
    PLACED = "stands"
    ENDING = "ending"  # it stands, and was told to end
    RETURNED = "returned"
    ENDED = "ended"


OPEN_PHASES = (IncomingPhase.PLACING, IncomingPhase.RECALLED, IncomingPhase.PLACED, IncomingPhase.ENDING)


@dataclass(slots=True, frozen=True)
class IncomingTransfer:
    """One transfer at its target."""

    id: TransferId
    work: Work | None  # None where only the call-back of it has come
    phase: IncomingPhase = IncomingPhase.PLACING
    description: str = ""
    cause: int = 0
    was_placed: bool = False
    result: str = ""


# ---- effects, carried out in order ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """A record; on the disk before anything that follows it is done."""

    record: HandoffRecord


@dataclass(slots=True, frozen=True)
class SendMessage:
    """A message to the source, which may be lost: it is sent again until it is confirmed."""

    site: str
    message: messages.ToSource


@dataclass(slots=True, frozen=True)
class StartTask:
    """Hand the task to this site's core, as a request with so much time left."""

    site: str
    id: TransferId
    work: Work
    left_us: int


@dataclass(slots=True, frozen=True)
class AbandonTask:
    """Tell the core that nobody waits for the answer; it tells by `returned` or `ended` what came of it."""

    site: str
    id: TransferId


@dataclass(slots=True, frozen=True)
class ReleaseTask:
    """End the task that stands here, with this cause."""

    site: str
    id: TransferId
    cause: int


TargetEffect = WriteRecord | SendMessage | StartTask | AbandonTask | ReleaseTask


@dataclass(slots=True)
class HandoffTarget:
    """All transfers from one other site. Feed it messages and events; carry out what it returns, in order.

    `tombstones`: closed transfers that the source's low watermark has not passed; `newest`: the latest id
    that was seen, proof of what the source has offered.
    """

    site: str
    transfers: dict[TransferId, IncomingTransfer] = field(default_factory=dict)
    tombstones: dict[TransferId, None] = field(default_factory=dict)
    low_watermark: TransferId = (0, 0)
    newest: TransferId = (0, 0)

    # ---- what the source says ----------------------------------------------------------------------

    def receive(self, message: messages.ToTarget, draining: bool = False) -> list[TargetEffect]:
        """Take one message of the source. `draining`: this site takes nothing new."""
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
                    return []  # only what has had its last message can be closed
                self._close(id)
                return [WriteRecord(("closed", id))]

    def _offered(
        self, transfer: IncomingTransfer | None, id: TransferId, work: Work, left_us: int, draining: bool
    ) -> list[TargetEffect]:
        if transfer is not None:
            return [self._current_message(transfer)]
        if id < self.low_watermark or id in self.tombstones:
            return []  # over at both sides: a copy of the offer that was long under way
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
            # Its offer, if it still comes, finds it returned.
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
        """Forget what is over before the watermark: nothing before it is open at the source."""
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
            effects += self._withdraw(transfer, transfer.id)  # forgotten there, while it still goes on here
        return effects

    # ---- what happens here -----------------------------------------------------------------------------

    def placed(self, id: TransferId, description: str) -> list[TargetEffect]:
        """Report that the module has placed the task, and its machine holds it."""
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
        """Report that the module has rejected it; only for a core that is sure that nothing ran."""
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
        """Report that it is over: after it was placed, with its result; or failed, where it may have run."""
        transfer = self.transfers.get(id)
        if transfer is None or transfer.phase not in OPEN_PHASES:
            return []
        transfer = self.transfers[id] = replace(
            transfer, phase=IncomingPhase.ENDED, cause=cause, result=result
        )
        return [WriteRecord(("ended", id, cause, result)), self._current_message(transfer)]

    # ---- repeats and restarts --------------------------------------------------------------------------

    def unconfirmed_messages(self) -> Iterator[SendMessage]:
        """Return what the source has not confirmed, to be sent again, as after a broken link."""
        for transfer in self.transfers.values():
            if transfer.phase is not IncomingPhase.PLACING and transfer.phase is not IncomingPhase.RECALLED:
                yield self._current_message(transfer)

    def _current_message(self, transfer: IncomingTransfer) -> SendMessage:
        """Return the message that says where a transfer is now."""
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
        """End what a former gateway had here, once nothing that it started can run any more.

        What was being placed may have run, and what was placed is lost with its gateway: both have ended, and
        are not returned. `ids`: what was there at the start; None for all.
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

    # ---- the fold of its records -----------------------------------------------------------------------

    def apply(self, record: HandoffRecord) -> None:
        """Apply one record of the store, in order. Raises ValueError for what is none."""
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
        """Return the least records that fold to the same state."""
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
