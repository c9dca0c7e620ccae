"""The source of a hand-off: the site that was asked, and that owes the owner its one answer. No I/O.

A transfer goes from OFFERED to PLACED, and is dropped with its end. RECALLED and RELEASED wait for the end of
what nobody wants any more. Whoever carries the effects out does so in order, and none before the records that
precede it are on the disk: each thing is written before it is said.

The right to start a task is here, or at one target; never at two sites:

* an id is offered to one site, and never to another under the same id;
* while the transfer is open, the task is not started here, unless its class is idempotent (`Effect.SAFE`);
* only `Returned` brings the right back. Time-outs, broken links and restarts do not.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

from weldhatch.scheduling.types import Effect
from weldhatch.sites import messages
from weldhatch.sites.messages import HandoffRecord, TransferId, Work

MAX_ID_SPAN = 65_536  # ids from the oldest open transfer to the newest: a target remembers those
CALLED_OFF = 31  # the cause of a task that nobody waits for


class OutgoingPhase(StrEnum):
    """How far a transfer has come, as its source knows; `weldhatch sites status` prints the values."""

    OFFERED = "out"  # offered; the owner waits
    PLACED = "stands"  # the owner was told that it stands
    RECALLED = "called back"  # the owner has its answer, and no use for the task
    RELEASED = "freed"  # its owner has ended it


@dataclass(slots=True, frozen=True)
class OutgoingTransfer:
    """One transfer at its source."""

    id: TransferId
    site: str
    work: Work
    phase: OutgoingPhase = OutgoingPhase.OFFERED
    accepted: bool = False  # the other side has written it down
    cause: int = 0  # with which its owner ended it


class Answer(StrEnum):
    """The final answer of a request."""

    PLACED = "placed"
    REJECTED = "refused"
    FAILED = "failed"


# ---- effects, carried out in order ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """A record; on the disk before anything that follows it is done."""

    record: HandoffRecord


@dataclass(slots=True, frozen=True)
class SendMessage:
    """A message to a site, which may be lost: it is sent again until it is confirmed."""

    site: str
    message: messages.ToTarget


@dataclass(slots=True, frozen=True)
class AnswerOwner:
    """The one final answer of the request that was handed off. `wait_us`: when its owner may come back."""

    id: TransferId
    answer: Answer
    description: str = ""
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class ReclaimTask:
    """The right to start is here again (or was never needed), and the owner still waits: decide anew."""

    id: TransferId
    wait_us: int


@dataclass(slots=True, frozen=True)
class ReportEnd:
    """A task that was placed there is over; the owner is notified, unless it brought that about."""

    id: TransferId
    cause: int
    result: str = ""


SourceEffect = WriteRecord | SendMessage | AnswerOwner | ReclaimTask | ReportEnd


def exclusive_key(work: Work) -> int | None:
    """Return the key under which the task may run once only, over all sites; None where it may run twice."""
    return work.key if work.key and work.effect != Effect.SAFE.name else None


_PHASE_OF_RECORD = {
    "stands": OutgoingPhase.PLACED,
    "called": OutgoingPhase.RECALLED,
    "freed": OutgoingPhase.RELEASED,
}


class TaskBusyError(Exception):
    """The task can't be handed off or started now; the text says why, and a later retry is harmless."""


def _records_of(transfer: OutgoingTransfer) -> Iterator[HandoffRecord]:
    """Return the least records that bring one transfer about."""
    yield ("lent", transfer.id, transfer.site, transfer.work)
    match transfer.phase:
        case OutgoingPhase.PLACED:
            yield ("stands", transfer.id)
        case OutgoingPhase.RECALLED:
            yield ("called", transfer.id)
        case OutgoingPhase.RELEASED:
            yield ("freed", transfer.id, transfer.cause)


@dataclass(slots=True)
class HandoffSource:
    """All transfers from this site. Feed it messages and events; carry out what it returns, in order.

    `transfers`: those that are open, the oldest first; `remote_keys`: keys whose right to start is at another
    site, with the transfer that holds it; `local_keys`: those on which this site's module decides, or whose
    tasks run here.
    """

    epoch: int
    serial: int = 0
    transfers: dict[TransferId, OutgoingTransfer] = field(default_factory=dict)
    remote_keys: dict[int, TransferId] = field(default_factory=dict)
    local_keys: set[int] = field(default_factory=set)

    def reserve_key(self, work: Work) -> None:
        """Take the task's key, before this site's module decides on it. Raises TaskBusyError if it is taken.

        Guards against a start beside one at another site, or beside another request for the same key.
        """
        if (key := exclusive_key(work)) is not None:
            self._check_key_free(key)
            self.local_keys.add(key)

    def release_key(self, work: Work) -> None:
        """Free the task's key: it is over here, or its request has had its answer and nothing runs."""
        self.local_keys.discard(work.key)

    def _check_key_free(self, key: int) -> None:
        if key in self.remote_keys:
            raise TaskBusyError("its key is lent to another site, or its fate there is not known")
        if key in self.local_keys:
            raise TaskBusyError("a request for its key is under way here, or its task stands")

    def offer(self, site: str, work: Work, left_us: int) -> tuple[TransferId, list[SourceEffect]]:
        """Offer a task to another site.

        Raises TaskBusyError where the right to start it is not here to be given away.
        """
        if (key := exclusive_key(work)) is not None:
            self._check_key_free(key)
        oldest_epoch, oldest_serial = self.low_watermark
        if oldest_epoch == self.epoch and self.serial + 1 - oldest_serial >= MAX_ID_SPAN:
            raise TaskBusyError("too many transfers have come after one that is still open")
        self.serial += 1
        transfer = OutgoingTransfer((self.epoch, self.serial), site, work)
        self._put(transfer)
        return transfer.id, [
            WriteRecord(("lent", transfer.id, site, work)),
            SendMessage(site, messages.Offer(transfer.id, work, left_us)),
        ]

    def cancel_unwritten(self, id: TransferId) -> None:
        """Drop a transfer whose record the disk did not take: it was not sent, its right is here still."""
        self._remove(self.transfers[id])

    # ---- what happens here -----------------------------------------------------------------------------

    def deadline_passed(self, id: TransferId) -> list[SourceEffect]:
        """Answer an owner whose time is over while nothing was received, which proves nothing."""
        transfer = self._in_phase(id, OutgoingPhase.OFFERED)
        if transfer is None:
            return []
        answer = Answer.REJECTED if transfer.work.effect == Effect.SAFE.name else Answer.FAILED
        return [*self._recall(transfer), AnswerOwner(id, answer)]

    def abandoned(self, id: TransferId) -> list[SourceEffect]:
        """Recall a transfer whose owner waits no more; none is owed an answer."""
        transfer = self.transfers.get(id)
        return (
            self._recall(transfer) if transfer is not None and transfer.phase is OutgoingPhase.OFFERED else []
        )

    def link_silent(self, id: TransferId) -> list[SourceEffect]:
        """Take idempotent work back from a site whose link is silent; its twin there is recalled."""
        transfer = self._in_phase(id, OutgoingPhase.OFFERED)
        if transfer is None or transfer.work.effect != Effect.SAFE.name:
            return []
        return [*self._recall(transfer), ReclaimTask(id, 0)]

    def released(self, id: TransferId, cause: int) -> list[SourceEffect]:
        """End a task that was placed there, because its owner does."""
        transfer = self._in_phase(id, OutgoingPhase.PLACED)
        if transfer is None:
            return []
        self._put(replace(transfer, phase=OutgoingPhase.RELEASED, cause=cause))
        return [WriteRecord(("freed", id, cause)), SendMessage(transfer.site, messages.Release(id, cause))]

    def _in_phase(self, id: TransferId, phase: OutgoingPhase) -> OutgoingTransfer | None:
        transfer = self.transfers.get(id)
        return transfer if transfer is not None and transfer.phase is phase else None

    def _recall(self, transfer: OutgoingTransfer) -> list[SourceEffect]:
        self._put(replace(transfer, phase=OutgoingPhase.RECALLED))
        return [
            WriteRecord(("called", transfer.id)),
            SendMessage(transfer.site, messages.Withdraw(transfer.id)),
        ]

    # ---- what the target says ----------------------------------------------------------------------

    def receive(self, site: str, message: messages.ToSource) -> list[SourceEffect]:
        """Take one message of a site.

        Messages on what is over, and of sites that it was not offered to, change nothing.
        """
        transfer = self.transfers.get(message.id)
        if transfer is None:
            # Guards against a last message that is sent for ever because `Close` was lost.
            is_final = isinstance(message, messages.Returned | messages.Ended)
            if is_final and message.id <= (self.epoch, self.serial):
                return [SendMessage(site, messages.Close(message.id))]
            return []
        if transfer.site != site:
            return []
        match message:
            case messages.Accepted():
                self._put(replace(transfer, accepted=True))
                return []
            case messages.Placed(id, description):
                return self._placed(transfer, id, description)
            case messages.Returned(_, wait_us):
                return self._returned(transfer, wait_us)
            case messages.Ended(_, cause, _, result):
                return self._ended(transfer, cause, result)

    def _placed(self, transfer: OutgoingTransfer, id: TransferId, description: str) -> list[SourceEffect]:
        match transfer.phase:
            case OutgoingPhase.OFFERED:
                self._put(replace(transfer, phase=OutgoingPhase.PLACED, accepted=True))
                return [WriteRecord(("stands", id)), AnswerOwner(id, Answer.PLACED, description)]
            case OutgoingPhase.RECALLED:
                return [SendMessage(transfer.site, messages.Withdraw(id))]
            case OutgoingPhase.RELEASED:
                return [SendMessage(transfer.site, messages.Release(id, transfer.cause))]
            case OutgoingPhase.PLACED:
                return []

    def _returned(self, transfer: OutgoingTransfer, wait_us: int) -> list[SourceEffect]:
        if transfer.phase in (OutgoingPhase.PLACED, OutgoingPhase.RELEASED):
            return []  # it was placed: a message that can't be true takes nothing away
        effects = self._drop(transfer, "back")
        if transfer.phase is OutgoingPhase.OFFERED:
            effects.append(ReclaimTask(transfer.id, wait_us))
        return effects

    def _ended(self, transfer: OutgoingTransfer, cause: int, result: str) -> list[SourceEffect]:
        effects = self._drop(transfer, "over")
        if transfer.phase is OutgoingPhase.OFFERED:
            # The message that it was placed got lost: it ran, that much is known.
            effects.append(AnswerOwner(transfer.id, Answer.FAILED))
        elif transfer.phase is OutgoingPhase.PLACED:
            effects.append(ReportEnd(transfer.id, cause, result))
        return effects

    # ---- repeats, restarts, operators ------------------------------------------------------------------

    def unconfirmed_messages(self, site: str, left_us: dict[TransferId, int]) -> Iterator[SendMessage]:
        """Return what a site has not confirmed, to be sent again; `left_us`: how long owners wait yet."""
        yield SendMessage(site, messages.LowWatermark(self.low_watermark))
        for transfer in self.transfers.values():
            if transfer.site != site:
                continue
            match transfer.phase:
                case OutgoingPhase.OFFERED if not transfer.accepted:
                    yield SendMessage(
                        site, messages.Offer(transfer.id, transfer.work, max(0, left_us.get(transfer.id, 0)))
                    )
                case OutgoingPhase.RECALLED:
                    yield SendMessage(site, messages.Withdraw(transfer.id))
                case OutgoingPhase.RELEASED:
                    yield SendMessage(site, messages.Release(transfer.id, transfer.cause))

    def recover(self) -> list[SourceEffect]:
        """Recall, after a start from the store, what was offered: its owners have lost their gateway.

        What was placed goes on, and its end is reported to whoever names it then.
        """
        effects: list[SourceEffect] = []
        for transfer in [
            transfer for transfer in self.transfers.values() if transfer.phase is OutgoingPhase.OFFERED
        ]:
            effects += self._recall(transfer)
        return effects

    def forget_site(self, site: str) -> list[SourceEffect]:
        """End all that a site holds: an operator vouches that nothing of ours runs there any more."""
        effects: list[SourceEffect] = []
        for transfer in [transfer for transfer in self.transfers.values() if transfer.site == site]:
            effects += [WriteRecord(("over", transfer.id))]
            self._remove(transfer)
            if transfer.phase is OutgoingPhase.OFFERED:
                effects.append(AnswerOwner(transfer.id, Answer.FAILED))
            elif transfer.phase is OutgoingPhase.PLACED:
                effects.append(ReportEnd(transfer.id, CALLED_OFF))
        return effects

    @property
    def low_watermark(self) -> TransferId:
        """The oldest open transfer, or the next one: all before it are over."""
        return next(iter(self.transfers), (self.epoch, self.serial + 1))

    def count_open(self, site: str) -> int:
        """Return how many transfers a site holds, or may."""
        return sum(transfer.site == site for transfer in self.transfers.values())

    def _put(self, transfer: OutgoingTransfer) -> None:
        self.transfers[transfer.id] = transfer
        if (key := exclusive_key(transfer.work)) is not None:
            self.remote_keys[key] = transfer.id

    def _remove(self, transfer: OutgoingTransfer) -> None:
        del self.transfers[transfer.id]
        if self.remote_keys.get(transfer.work.key) == transfer.id:
            del self.remote_keys[transfer.work.key]

    def _drop(self, transfer: OutgoingTransfer, record: str) -> list[SourceEffect]:
        self._remove(transfer)
        return [WriteRecord((record, transfer.id)), SendMessage(transfer.site, messages.Close(transfer.id))]

    # ---- the fold of its records -----------------------------------------------------------------------

    def apply(self, record: HandoffRecord) -> None:
        """Apply one record of the store, in order. Raises ValueError for what is none."""
        match record:
            case ("epoch", int(epoch)):
                self.epoch = epoch
                self.serial = 0
            case ("lent", id, str(site), Work() as work):
                epoch, serial = id
                self.serial = max(serial, self.serial if epoch == self.epoch else 0)
                self.epoch = epoch
                self._put(OutgoingTransfer(id, site, work))
            case ("stands" | "called" | "freed" as kind, id, *rest):
                if transfer := self.transfers.get(id):
                    phase = _PHASE_OF_RECORD[kind]
                    accepted = transfer.accepted or kind != "called"  # what was placed had been accepted
                    cause = rest[0] if rest else 0
                    self._put(replace(transfer, phase=phase, accepted=accepted, cause=cause))
            case ("back" | "over", id):
                if transfer := self.transfers.get(id):
                    self._remove(transfer)
            case _:
                raise ValueError(f"a record that can't be read: {record!r}")

    def snapshot_records(self) -> Iterator[HandoffRecord]:
        """Return the least records that fold to the same state."""
        for transfer in self.transfers.values():
            yield from _records_of(transfer)
        yield ("epoch", self.epoch)
