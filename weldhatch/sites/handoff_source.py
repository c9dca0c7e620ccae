"""The source of a hand-off: the site that received the request and must answer its owner once. No I/O.

A transfer goes from OFFERED to PLACED, and is removed when its task has ended. In RECALLED and RELEASED the
owner no longer needs the task, and the source waits for its end. Effects are executed in order, and none
before the records that precede it are on the disk: a state change is durable before any message about it.

The right to start a task is held by the source or by one target, never by two sites:

* a transfer id is offered to one site only;
* while the transfer is open, the task is not started here, unless its class is idempotent (`Effect.SAFE`);
* only `Returned` gives the right back to the source; time-outs, broken links and restarts do not.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

from weldhatch.scheduling.types import Effect
from weldhatch.sites import messages
from weldhatch.sites.messages import HandoffRecord, TransferId, Work

MAX_ID_SPAN = 65_536  # ids from the oldest open transfer to the newest; bounds what a target must remember
CALLED_OFF = 31  # the cause of the end of a task that is no longer needed


class OutgoingPhase(StrEnum):
    """State of a transfer at its source; `weldhatch sites status` prints the values."""

    OFFERED = "out"  # offered; the owner waits for an answer
    PLACED = "stands"  # the owner was notified that the task is placed
    RECALLED = "called back"  # the owner has its answer or gave up, and does not need the task
    RELEASED = "freed"  # the owner has ended the task


@dataclass(slots=True, frozen=True)
class OutgoingTransfer:
    """A transfer at its source."""

    id: TransferId
    site: str
    work: Work
    phase: OutgoingPhase = OutgoingPhase.OFFERED
    accepted: bool = False  # the target has recorded the offer
    cause: int = 0  # the cause given by the owner that ended the task


class Answer(StrEnum):
    """The final answer of a request."""

    PLACED = "placed"
    REJECTED = "refused"
    FAILED = "failed"


# ---- effects, carried out in order ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """Write a record, which must be on the disk before any later effect is executed."""

    record: HandoffRecord


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a site. It may be lost, and is repeated until it is confirmed."""

    site: str
    message: messages.ToTarget


@dataclass(slots=True, frozen=True)
class AnswerOwner:
    """Give the owner of a handed-off request its final answer. `wait_us`: delay before a retry."""

    id: TransferId
    answer: Answer
    description: str = ""
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class ReclaimTask:
    """Decide again on a task that was returned or is idempotent, and whose owner still waits."""

    id: TransferId
    wait_us: int


@dataclass(slots=True, frozen=True)
class ReportEnd:
    """Notify the owner that a task placed at another site has ended; not sent if the owner ended the task."""

    id: TransferId
    cause: int
    result: str = ""


SourceEffect = WriteRecord | SendMessage | AnswerOwner | ReclaimTask | ReportEnd


def exclusive_key(work: Work) -> int | None:
    """Return the key under which only one task may run across all sites; None if the task may run twice."""
    return work.key if work.key and work.effect != Effect.SAFE.name else None


_PHASE_OF_RECORD = {
    "stands": OutgoingPhase.PLACED,
    "called": OutgoingPhase.RECALLED,
    "freed": OutgoingPhase.RELEASED,
}


class TaskBusyError(Exception):
    """The task can't be handed off or started now; the text gives the reason. A later retry is safe."""


def _records_of(transfer: OutgoingTransfer) -> Iterator[HandoffRecord]:
    """Return a minimal list of records that rebuilds one transfer."""
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
    """State machine of all transfers from this site. Execute the effects that its methods return, in order.

    `transfers`: open transfers, the oldest first. `remote_keys`: keys whose right to start may be held by
    another site, with the transfer that carries it. `local_keys`: keys on which this site's module decides,
    or whose tasks run here.
    """

    epoch: int
    serial: int = 0
    transfers: dict[TransferId, OutgoingTransfer] = field(default_factory=dict)
    remote_keys: dict[int, TransferId] = field(default_factory=dict)
    local_keys: set[int] = field(default_factory=set)

    def reserve_key(self, work: Work) -> None:
        """Reserve the task's key before this site's module decides on it. Raises TaskBusyError if in use.

        Prevents a start while another site or another request holds the same key.
        """
        if (key := exclusive_key(work)) is not None:
            self._check_key_free(key)
            self.local_keys.add(key)

    def release_key(self, work: Work) -> None:
        """Release the task's key once the task has ended here, or was not placed and nothing of it runs."""
        self.local_keys.discard(work.key)

    def _check_key_free(self, key: int) -> None:
        if key in self.remote_keys:
            raise TaskBusyError("its key is held by another site, or the outcome there is unknown")
        if key in self.local_keys:
            raise TaskBusyError("a request for its key is in progress here, or its task is running")

    def offer(self, site: str, work: Work, left_us: int) -> tuple[TransferId, list[SourceEffect]]:
        """Offer a task to another site.

        Raises TaskBusyError if this site does not hold the right to start the task, or if the transfer ids
        in use would span more than MAX_ID_SPAN.
        """
        if (key := exclusive_key(work)) is not None:
            self._check_key_free(key)
        oldest_epoch, oldest_serial = self.low_watermark
        if oldest_epoch == self.epoch and self.serial + 1 - oldest_serial >= MAX_ID_SPAN:
            raise TaskBusyError("too many transfers since the oldest one that is still open")
        self.serial += 1
        transfer = OutgoingTransfer((self.epoch, self.serial), site, work)
        self._put(transfer)
        return transfer.id, [
            WriteRecord(("lent", transfer.id, site, work)),
            SendMessage(site, messages.Offer(transfer.id, work, left_us)),
        ]

    def cancel_unwritten(self, id: TransferId) -> None:
        """Drop a transfer whose record could not be written. It was not sent: this site keeps the right."""
        self._remove(self.transfers[id])

    # ---- local events ----------------------------------------------------------------------------------

    def deadline_passed(self, id: TransferId) -> list[SourceEffect]:
        """Answer an owner whose deadline passed without an answer of the target, and recall the task.

        The task may still have run there: only an idempotent one is answered as rejected, others as failed.
        """
        transfer = self._in_phase(id, OutgoingPhase.OFFERED)
        if transfer is None:
            return []
        answer = Answer.REJECTED if transfer.work.effect == Effect.SAFE.name else Answer.FAILED
        return [*self._recall(transfer), AnswerOwner(id, answer)]

    def abandoned(self, id: TransferId) -> list[SourceEffect]:
        """Recall a transfer whose owner gave up and needs no answer."""
        transfer = self.transfers.get(id)
        return (
            self._recall(transfer) if transfer is not None and transfer.phase is OutgoingPhase.OFFERED else []
        )

    def link_silent(self, id: TransferId) -> list[SourceEffect]:
        """Reclaim an idempotent task from a site whose link is silent, and recall the copy there."""
        transfer = self._in_phase(id, OutgoingPhase.OFFERED)
        if transfer is None or transfer.work.effect != Effect.SAFE.name:
            return []
        return [*self._recall(transfer), ReclaimTask(id, 0)]

    def released(self, id: TransferId, cause: int) -> list[SourceEffect]:
        """End a task placed at another site, because its owner has ended it."""
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

    # ---- messages of the target ------------------------------------------------------------------------

    def receive(self, site: str, message: messages.ToSource) -> list[SourceEffect]:
        """Handle one message of a site.

        Messages about closed transfers, or from a site that was not offered the task, change no state.
        """
        transfer = self.transfers.get(message.id)
        if transfer is None:
            # If `Close` was lost, the target repeats its last message until it gets another one.
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
            return []  # the task was placed, so the message is wrong; a placed task can't be returned
        effects = self._drop(transfer, "back")
        if transfer.phase is OutgoingPhase.OFFERED:
            effects.append(ReclaimTask(transfer.id, wait_us))
        return effects

    def _ended(self, transfer: OutgoingTransfer, cause: int, result: str) -> list[SourceEffect]:
        effects = self._drop(transfer, "over")
        if transfer.phase is OutgoingPhase.OFFERED:
            # `Placed` was lost, and the task may have run.
            effects.append(AnswerOwner(transfer.id, Answer.FAILED))
        elif transfer.phase is OutgoingPhase.PLACED:
            effects.append(ReportEnd(transfer.id, cause, result))
        return effects

    # ---- repeats, restarts, operators ------------------------------------------------------------------

    def unconfirmed_messages(self, site: str, left_us: dict[TransferId, int]) -> Iterator[SendMessage]:
        """Return the messages that a site has not confirmed. `left_us`: time left of the waiting owners."""
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
        """After a restart, recall all offered transfers, since their owners have lost the former gateway.

        Placed tasks continue to run; their ends are received but have no waiting owner.
        """
        effects: list[SourceEffect] = []
        for transfer in [
            transfer for transfer in self.transfers.values() if transfer.phase is OutgoingPhase.OFFERED
        ]:
            effects += self._recall(transfer)
        return effects

    def forget_site(self, site: str) -> list[SourceEffect]:
        """End all transfers to a site, after an operator has confirmed that no task of them runs there."""
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
        """Id of the oldest open transfer, or else the next id: all transfers before it are closed."""
        return next(iter(self.transfers), (self.epoch, self.serial + 1))

    def count_open(self, site: str) -> int:
        """Return the number of open transfers to a site."""
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

    # ---- recovery from records -------------------------------------------------------------------------

    def apply(self, record: HandoffRecord) -> None:
        """Apply one record of the store; call in order. Raises ValueError if the record is invalid."""
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
                    accepted = transfer.accepted or kind != "called"  # a placed task had been accepted
                    cause = rest[0] if rest else 0
                    self._put(replace(transfer, phase=phase, accepted=accepted, cause=cause))
            case ("back" | "over", id):
                if transfer := self.transfers.get(id):
                    self._remove(transfer)
            case _:
                raise ValueError(f"a record that can't be read: {record!r}")

    def snapshot_records(self) -> Iterator[HandoffRecord]:
        """Return a minimal list of records that rebuilds the same state."""
        for transfer in self.transfers.values():
            yield from _records_of(transfer)
        yield ("epoch", self.epoch)
