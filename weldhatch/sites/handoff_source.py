"""The lending side of a hand-over: the site that was asked, and that owes the owner its one answer. No I/O.

A transfer goes OUT, then STANDS, and is dropped with its end. CALLED_BACK and FREED wait for the end of what
nobody wants any more. Whoever carries the effects out does so in order, and none before the records that
stand before it are on the disk: each thing is written before it is said.

The right to start a task is here, or lent; never at two sites:

* an id is lent to one site, once, and never offered to another under the same id;
* while it is lent, the task is not started here, unless its class is safe;
* only `Returned` brings the right back. Time-outs, broken links and restarts do not.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

from weldhatch.scheduling.types import Effect
from weldhatch.sites import messages
from weldhatch.sites.messages import TransferId, Work

MAX_ID_SPAN = 65_536  # ids from the oldest open transfer to the newest: what the taking side has to remember
CALLED_OFF = 31  # the cause of a task that nobody waits for


class OutgoingPhase(StrEnum):
    OFFERED = "out"  # offered; the owner waits
    PLACED = "stands"  # the owner was told that it stands
    RECALLED = "called back"  # the owner has its answer, and no use for the task
    RELEASED = "freed"  # its owner has ended it


@dataclass(slots=True, frozen=True)
class OutgoingTransfer:
    """One transfer at the lending site."""

    id: TransferId
    site: str
    work: Work
    phase: OutgoingPhase = OutgoingPhase.OFFERED
    accepted: bool = False  # the other side has written it down
    cause: int = 0  # with which its owner ended it


# ---- effects, carried out in order ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """A record; on the disk before anything that follows it is done."""

    record: tuple


@dataclass(slots=True, frozen=True)
class SendMessage:
    site: str
    word: messages.ToTarget


@dataclass(slots=True, frozen=True)
class AnswerOwner:
    """The one final answer of the request that was lent: placed, refused or failed."""

    id: TransferId
    answer: str
    description: str = ""
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class ReclaimTask:
    """The right to start is here again (or was never needed), and the owner still waits: decide anew."""

    id: TransferId
    wait_us: int


@dataclass(slots=True, frozen=True)
class ReportEnd:
    """A task that stood there is over; the owner is told, unless it brought that about."""

    id: TransferId
    cause: int
    result: str = ""


SourceEffect = WriteRecord | SendMessage | AnswerOwner | ReclaimTask | ReportEnd


def exclusive_key(work: Work) -> int | None:
    """The key under which the task may run once only, over all sites; None for one that may run twice."""
    return work.key if work.key and work.effect != Effect.SAFE.name else None


class TaskBusyError(Exception):
    """The task can't be lent or started now; the text says why, and trying again later is harmless."""


@dataclass(slots=True)
class HandoffSource:
    """All transfers of one lending site. Feed it words and events; carry out what it returns, in order."""

    epoch: int
    serial: int = 0
    transfers: dict[TransferId, OutgoingTransfer] = field(
        default_factory=dict
    )  # open transfers, the oldest first
    remote_keys: dict[int, TransferId] = field(default_factory=dict)  # keys whose right to start is elsewhere
    local_keys: set[int] = field(default_factory=set)  # keys that this site's own module decides on, or runs

    # ---- what may be started here ----------------------------------------------------------------------

    def reserve_key(self, work: Work) -> None:
        """This site's module is about to decide on the task. Raises Busy where its key is not free.

        Guards against a start beside one at another site, or beside another request for the same key.
        """
        if (key := exclusive_key(work)) is not None:
            self._check_key_free(key)
            self.local_keys.add(key)

    def release_key(self, work: Work) -> None:
        """It is over here, or its request has had its answer and nothing runs."""
        self.local_keys.discard(work.key)

    def _check_key_free(self, key: int) -> None:
        if key in self.remote_keys:
            raise TaskBusyError("its key is lent to another site, or its fate there is not known")
        if key in self.local_keys:
            raise TaskBusyError("a request for its key is under way here, or its task stands")

    def offer(self, site: str, work: Work, left_us: int) -> tuple[TransferId, list[SourceEffect]]:
        """Offer a task to another site. Raises Busy where the right to start it is not here to be lent."""
        if (key := exclusive_key(work)) is not None:
            self._check_key_free(key)
        if (
            self.transfers
            and self.serial + 1 - next(iter(self.transfers))[1] >= MAX_ID_SPAN
            and next(iter(self.transfers))[0] == self.epoch
        ):
            raise TaskBusyError("too many transfers have come after one that is still open")
        self.serial += 1
        one = OutgoingTransfer((self.epoch, self.serial), site, work)
        self._put(one)
        return one.id, [
            WriteRecord(("lent", one.id, site, work)),
            SendMessage(site, messages.Offer(one.id, work, left_us)),
        ]

    def cancel_unwritten(self, id: TransferId) -> None:
        """The disk did not take the record of a transfer: it was not said, and its right is here still."""
        self._remove(self.transfers[id])

    # ---- what happens here -----------------------------------------------------------------------------

    def deadline_passed(self, id: TransferId) -> list[SourceEffect]:
        """The owner's time is over, and nothing was heard: it gets its answer, which proves nothing."""
        one = self.transfers.get(id)
        if one is None or one.phase is not OutgoingPhase.OFFERED:
            return []
        safe = one.work.effect == Effect.SAFE.name
        return [*self._recall(one), AnswerOwner(id, "refused" if safe else "failed")]

    def abandoned(self, id: TransferId) -> list[SourceEffect]:
        """The owner waits no more; none is owed an answer."""
        one = self.transfers.get(id)
        return self._recall(one) if one is not None and one.phase is OutgoingPhase.OFFERED else []

    def link_silent(self, id: TransferId) -> list[SourceEffect]:
        """The link says nothing: safe work may go out again here, and its late twin is called off."""
        one = self.transfers.get(id)
        if one is None or one.phase is not OutgoingPhase.OFFERED or one.work.effect != Effect.SAFE.name:
            return []
        return [*self._recall(one), ReclaimTask(id, 0)]

    def released(self, id: TransferId, cause: int) -> list[SourceEffect]:
        """Its owner ends a task that stands there."""
        one = self.transfers.get(id)
        if one is None or one.phase is not OutgoingPhase.PLACED:
            return []
        self._put(replace(one, phase=OutgoingPhase.RELEASED, cause=cause))
        return [WriteRecord(("freed", id, cause)), SendMessage(one.site, messages.Release(id, cause))]

    def _recall(self, one: OutgoingTransfer) -> list[SourceEffect]:
        self._put(replace(one, phase=OutgoingPhase.RECALLED))
        return [WriteRecord(("called", one.id)), SendMessage(one.site, messages.Withdraw(one.id))]

    # ---- what the other side says ----------------------------------------------------------------------

    def receive(self, site: str, word: messages.ToSource) -> list[SourceEffect]:
        """One word of a site. Words on what is over, and of sites that it was not lent to, change nothing."""
        one = self.transfers.get(word.id)
        if one is None:
            # Guards against a last word that is said for ever because `Closed` was lost.
            over = isinstance(word, messages.Returned | messages.Ended)
            return (
                [SendMessage(site, messages.Close(word.id))]
                if over and word.id <= (self.epoch, self.serial)
                else []
            )
        if one.site != site:
            return []
        match word:
            case messages.Accepted():
                self._put(replace(one, accepted=True))
                return []
            case messages.Placed(id, description):
                return self._placed(one, id, description)
            case messages.Returned(id, wait_us):
                if one.phase in (OutgoingPhase.PLACED, OutgoingPhase.RELEASED):
                    return []  # it stood: a word that can't be true takes nothing away
                effects = self._drop(one, "back")
                return [*effects, ReclaimTask(id, wait_us)] if one.phase is OutgoingPhase.OFFERED else effects
            case messages.Ended(id, cause, _, result):
                effects = self._drop(one, "over")
                if (
                    one.phase is OutgoingPhase.OFFERED
                ):  # the word that it stood was lost: it ran, that much is known
                    return [*effects, AnswerOwner(id, "failed")]
                return (
                    [*effects, ReportEnd(id, cause, result)] if one.phase is OutgoingPhase.PLACED else effects
                )
        return []

    def _placed(self, one: OutgoingTransfer, id: TransferId, description: str) -> list[SourceEffect]:
        match one.phase:
            case OutgoingPhase.OFFERED:
                self._put(replace(one, phase=OutgoingPhase.PLACED, accepted=True))
                return [WriteRecord(("stands", id)), AnswerOwner(id, "placed", description)]
            case OutgoingPhase.RECALLED:
                return [SendMessage(one.site, messages.Withdraw(id))]
            case OutgoingPhase.RELEASED:
                return [SendMessage(one.site, messages.Release(id, one.cause))]
        return []

    # ---- repeats, restarts, operators ------------------------------------------------------------------

    def unconfirmed_messages(self, site: str, left_us: dict[TransferId, int]) -> Iterator[SendMessage]:
        """What a site has not confirmed, to be said again; `left_us`: how long each owner still waits."""
        yield SendMessage(site, messages.LowWatermark(self.low_watermark))
        for one in self.transfers.values():
            if one.site != site:
                continue
            match one.phase:
                case OutgoingPhase.OFFERED if not one.accepted:
                    yield SendMessage(site, messages.Offer(one.id, one.work, max(0, left_us.get(one.id, 0))))
                case OutgoingPhase.RECALLED:
                    yield SendMessage(site, messages.Withdraw(one.id))
                case OutgoingPhase.RELEASED:
                    yield SendMessage(site, messages.Release(one.id, one.cause))

    def recover(self) -> list[SourceEffect]:
        """After a start from the store: owners of what was out have lost their gateway; it is called back.

        What stands goes on, and its end is told to whoever names it then.
        """
        effects: list[SourceEffect] = []
        for one in [one for one in self.transfers.values() if one.phase is OutgoingPhase.OFFERED]:
            effects += self._recall(one)
        return effects

    def forget_site(self, site: str) -> list[SourceEffect]:
        """An operator vouches that nothing of ours runs at a site any more: what is lent to it is over."""
        effects: list[SourceEffect] = []
        for one in [one for one in self.transfers.values() if one.site == site]:
            effects += [WriteRecord(("over", one.id))]
            self._remove(one)
            if one.phase is OutgoingPhase.OFFERED:
                effects.append(AnswerOwner(one.id, "failed"))
            elif one.phase is OutgoingPhase.PLACED:
                effects.append(ReportEnd(one.id, CALLED_OFF))
        return effects

    @property
    def low_watermark(self) -> TransferId:
        """All transfers before this are over."""
        return next(iter(self.transfers), (self.epoch, self.serial + 1))

    def count_open(self, site: str) -> int:
        """Transfers that a site holds, or may."""
        return sum(one.site == site for one in self.transfers.values())

    # ---- the table -------------------------------------------------------------------------------------

    def _put(self, one: OutgoingTransfer) -> None:
        self.transfers[one.id] = one
        if (key := exclusive_key(one.work)) is not None:
            self.remote_keys[key] = one.id

    def _remove(self, one: OutgoingTransfer) -> None:
        del self.transfers[one.id]
        if self.remote_keys.get(one.work.key) == one.id:
            del self.remote_keys[one.work.key]

    def _drop(self, one: OutgoingTransfer, record: str) -> list[SourceEffect]:
        self._remove(one)
        return [WriteRecord((record, one.id)), SendMessage(one.site, messages.Close(one.id))]

    # ---- the fold of its records -----------------------------------------------------------------------

    def apply(self, record: tuple) -> None:
        """One record of the store, in order. Raises ValueError for what is none."""
        match record:
            case ("epoch", int(epoch)):
                self.epoch, self.serial = epoch, 0
            case ("lent", (epoch, serial), str(site), Work() as work):
                self.epoch, self.serial = epoch, max(serial, self.serial if epoch == self.epoch else 0)
                self._put(OutgoingTransfer((epoch, serial), site, work))
            case ("stands" | "called" | "freed" as word, id, *rest):
                if one := self.transfers.get(id):
                    phase = {
                        "stands": OutgoingPhase.PLACED,
                        "called": OutgoingPhase.RECALLED,
                        "freed": OutgoingPhase.RELEASED,
                    }
                    accepted = one.accepted or word != "called"  # what stood has been taken
                    self._put(
                        replace(one, phase=phase[word], accepted=accepted, cause=rest[0] if rest else 0)
                    )
            case ("back" | "over", id):
                if one := self.transfers.get(id):
                    self._remove(one)
            case _:
                raise ValueError(f"a record that can't be read: {record!r}")

    def snapshot_records(self) -> Iterator[tuple]:
        """The least records that fold to the same."""
        for one in self.transfers.values():
            yield ("lent", one.id, one.site, one.work)
            match one.phase:
                case OutgoingPhase.PLACED:
                    yield ("stands", one.id)
                case OutgoingPhase.RECALLED:
                    yield ("called", one.id)
                case OutgoingPhase.RELEASED:
                    yield ("freed", one.id, one.cause)
        yield ("epoch", self.epoch)
