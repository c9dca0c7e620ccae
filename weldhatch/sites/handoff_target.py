"""The taking side of a hand-over: the site that was offered a task, whose own module places it. No I/O.

A transfer is TRIED, then STANDS, and ends as RETURNED (it never started here) or ENDED. Its last word is
said until the other side has written it down; then only its id is kept, until the other side's floor has
passed it. Whoever carries the effects out does so in order, and none before the records that stand before it
are on the disk.

What guards what:

* an id is tried once: a doubled, late or overtaken offer meets the id's entry, its tombstone, or the floor;
* a call-back that overtakes its offer leaves a tombstone, so that the offer finds the task returned;
* `Returned` is said only where nothing ran and nothing will: by the module's refusal, or for what was never
  tried;
* after a start from the store, what was being tried may have run: it ends, and is never returned.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

from weldhatch.sites import messages
from weldhatch.sites.messages import TransferId, Work

MAX_HOPS = 2  # sites that a task crosses; then it is returned, not passed on
LOST_WITH_GATEWAY, CALLED_OFF = 41, 31  # causes: lost with its gateway, and called off


class IncomingPhase(StrEnum):
    PLACING = "tried"  # written down, and the module decides
    RECALLED = "called back"  # nobody waits for it any more, and its end is awaited
    PLACED = "stands"
    ENDING = "ending"  # it stands, and was told to end
    RETURNED = "returned"
    ENDED = "ended"


OPEN_PHASES = (IncomingPhase.PLACING, IncomingPhase.RECALLED, IncomingPhase.PLACED, IncomingPhase.ENDING)


@dataclass(slots=True, frozen=True)
class IncomingTransfer:
    """One transfer at the taking site."""

    id: TransferId
    work: Work | None  # None where only the call-back of it has come
    phase: IncomingPhase = IncomingPhase.PLACING
    description: str = ""
    cause: int = 0
    stood: bool = False
    result: str = ""


# ---- effects, carried out in order ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """A record; on the disk before anything that follows it is done."""

    record: tuple


@dataclass(slots=True, frozen=True)
class SendMessage:
    site: str
    word: messages.ToSource


@dataclass(slots=True, frozen=True)
class StartTask:
    """Hand the task to this site's core, as a request with so much time left."""

    site: str
    id: TransferId
    work: Work
    left_us: int


@dataclass(slots=True, frozen=True)
class AbandonTask:
    """Tell the core that nobody waits for the answer; it tells by `given_back` or `ended` what came of it."""

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
    """All transfers from one other site. Feed it words and events; carry out what it returns, in order."""

    site: str
    transfers: dict[TransferId, IncomingTransfer] = field(default_factory=dict)
    tombstones: dict[TransferId, None] = field(
        default_factory=dict
    )  # closed ones that the floor has not passed
    low_watermark: TransferId = (0, 0)
    newest: TransferId = (0, 0)  # the latest id that was seen: proof of what the other side has lent

    # ---- what the other side says ----------------------------------------------------------------------

    def receive(self, word: messages.ToTarget, draining: bool = False) -> list[TargetEffect]:
        """One word of the lending site. `draining`: this site takes nothing new."""
        if isinstance(word, messages.LowWatermark):
            return self._advance_watermark(word.id)
        if word.id > self.newest:
            self.newest = word.id
        one = self.transfers.get(word.id)
        match word:
            case messages.Offer(id, work, left_us):
                if one is not None:
                    return self._last_word(one)
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
            case messages.Withdraw(id):
                return self._withdraw(one, id)
            case messages.Release(id, cause):
                if one is not None and one.phase is IncomingPhase.PLACED:
                    self.transfers[id] = replace(one, phase=IncomingPhase.ENDING)
                    return [ReleaseTask(self.site, id, cause)]
                return self._withdraw(one, id)
            case messages.Close(id):
                if one is None or one.phase in OPEN_PHASES:
                    return []  # only what has had its last word can be closed
                self._close(id)
                return [WriteRecord(("closed", id))]
        return []

    def _withdraw(self, one: IncomingTransfer | None, id: TransferId) -> list[TargetEffect]:
        if one is None:
            if id < self.low_watermark or id in self.tombstones:
                return []
            return self._return_task(
                IncomingTransfer(id, None), 0
            )  # its offer, if it still comes, finds it returned
        match one.phase:
            case IncomingPhase.PLACING:
                self.transfers[id] = replace(one, phase=IncomingPhase.RECALLED)
                return [AbandonTask(self.site, id)]
            case IncomingPhase.PLACED:
                self.transfers[id] = replace(one, phase=IncomingPhase.ENDING)
                return [ReleaseTask(self.site, id, CALLED_OFF)]
            case IncomingPhase.RETURNED | IncomingPhase.ENDED:
                return self._last_word(one)
        return []

    def _advance_watermark(self, low_watermark: TransferId) -> list[TargetEffect]:
        """Nothing before the floor is open at the lending site: no entry or tombstone is needed for it."""
        if low_watermark <= self.low_watermark:
            return []
        self.low_watermark = low_watermark
        done = [
            id for id, one in self.transfers.items() if id < low_watermark and one.phase not in OPEN_PHASES
        ]
        for id in done:
            del self.transfers[id]
        while self.tombstones and (oldest := min(self.tombstones)) < low_watermark:
            del self.tombstones[oldest]
        effects: list[TargetEffect] = [WriteRecord(("floor", low_watermark))]
        for one in [one for id, one in self.transfers.items() if id < low_watermark]:
            effects += self._withdraw(one, one.id)  # forgotten there, while it still goes on here
        return effects

    # ---- what happens here -----------------------------------------------------------------------------

    def placed(self, id: TransferId, description: str) -> list[TargetEffect]:
        """The module placed it, and its machine holds it."""
        one = self.transfers.get(id)
        if one is None or one.phase not in (IncomingPhase.PLACING, IncomingPhase.RECALLED):
            return []
        ending = one.phase is IncomingPhase.RECALLED
        one = self.transfers[id] = replace(
            one,
            phase=IncomingPhase.ENDING if ending else IncomingPhase.PLACED,
            description=description,
            stood=True,
        )
        wrote = WriteRecord(("stands", id, description))
        return (
            [wrote, ReleaseTask(self.site, id, CALLED_OFF)]
            if ending
            else [wrote, SendMessage(self.site, messages.Placed(id, description))]
        )

    def returned(self, id: TransferId, wait_us: int = 0) -> list[TargetEffect]:
        """The module refused it: nothing ran. Only a core that vouches for that may call this."""
        one = self.transfers.get(id)
        if one is None or one.phase not in (IncomingPhase.PLACING, IncomingPhase.RECALLED):
            return []
        return self._return_task(one, wait_us)

    def _return_task(self, one: IncomingTransfer, wait_us: int) -> list[TargetEffect]:
        self.transfers[one.id] = replace(one, phase=IncomingPhase.RETURNED)
        return [WriteRecord(("returned", one.id)), SendMessage(self.site, messages.Returned(one.id, wait_us))]

    def ended(self, id: TransferId, cause: int, result: str = "") -> list[TargetEffect]:
        """It is over: after it stood, with what it has come to; or failed, where it may have run."""
        one = self.transfers.get(id)
        if one is None or one.phase not in OPEN_PHASES:
            return []
        one = self.transfers[id] = replace(one, phase=IncomingPhase.ENDED, cause=cause, result=result)
        return [WriteRecord(("ended", id, cause, result)), *self._last_word(one)]

    # ---- repeats and restarts --------------------------------------------------------------------------

    def unconfirmed_messages(self) -> Iterator[SendMessage]:
        """What the lending site has not confirmed, to be said again, as after a broken link."""
        for one in self.transfers.values():
            if one.phase is not IncomingPhase.PLACING and one.phase is not IncomingPhase.RECALLED:
                yield from self._last_word(one)

    def _last_word(self, one: IncomingTransfer) -> list[TargetEffect]:
        """Where it is now, said again."""
        match one.phase:
            case IncomingPhase.PLACING | IncomingPhase.RECALLED:
                return [SendMessage(self.site, messages.Accepted(one.id))]
            case IncomingPhase.PLACED | IncomingPhase.ENDING:
                return [SendMessage(self.site, messages.Placed(one.id, one.description))]
            case IncomingPhase.RETURNED:
                return [SendMessage(self.site, messages.Returned(one.id))]
        return [SendMessage(self.site, messages.Ended(one.id, one.cause, one.stood, one.result))]

    def recover(self, ids: Iterable[TransferId] | None = None) -> list[TargetEffect]:
        """After a start from the store, once nothing that was started before it can run any more.

        What was being tried may have run, and what stood is lost with its gateway: both have ended, and are
        not returned. `ids`: what was there at the start; None for all.
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

    def apply(self, record: tuple) -> None:
        """One record of the store, in order. Raises ValueError for what is none."""
        match record:
            case ("taken", id, Work() as work):
                self.transfers[id] = IncomingTransfer(id, work)
            case ("stands", id, str(description)):
                if one := self.transfers.get(id):
                    self.transfers[id] = replace(
                        one, phase=IncomingPhase.PLACED, description=description, stood=True
                    )
            case ("returned", id):
                one = self.transfers.get(id) or IncomingTransfer(id, None)
                self.transfers[id] = replace(one, phase=IncomingPhase.RETURNED)
            case ("ended", id, int(cause), str(result)):
                if one := self.transfers.get(id):
                    self.transfers[id] = replace(one, phase=IncomingPhase.ENDED, cause=cause, result=result)
            case ("closed", id):
                if id in self.transfers:
                    self._close(id)
                else:
                    self.tombstones[id] = None
            case ("floor", id):
                self.low_watermark = max(self.low_watermark, id)
                self.transfers = {
                    at: one for at, one in self.transfers.items() if at >= id or one.phase in OPEN_PHASES
                }
                self.tombstones = {at: None for at in self.tombstones if at >= id}
                return
            case _:
                raise ValueError(f"a record that can't be read: {record!r}")
        self.newest = max(self.newest, record[1])

    def snapshot_records(self) -> Iterator[tuple]:
        """The least records that fold to the same."""
        yield ("floor", self.low_watermark)
        for one in self.transfers.values():
            if one.work is not None:
                yield ("taken", one.id, one.work)
            if one.stood:
                yield ("stands", one.id, one.description)
            if one.phase is IncomingPhase.RETURNED:
                yield ("returned", one.id)
            elif one.phase is IncomingPhase.ENDED:
                yield ("ended", one.id, one.cause, one.result)
        for id in self.tombstones:
            yield ("closed", id)
