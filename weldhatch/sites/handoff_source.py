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
from weldhatch.sites.messages import Id, Work

SPAN_MOST = 65_536  # ids from the oldest open transfer to the newest: what the taking side has to remember
CALLED_OFF = 31  # the cause of a task that nobody waits for


class Lending(StrEnum):
    OUT = "out"  # offered; the owner waits
    STANDS = "stands"  # the owner was told that it stands
    CALLED_BACK = "called back"  # the owner has its answer, and no use for the task
    FREED = "freed"  # its owner has ended it


@dataclass(slots=True, frozen=True)
class Lent:
    """One transfer at the lending site."""

    id: Id
    site: str
    work: Work
    phase: Lending = Lending.OUT
    taken: bool = False  # the other side has written it down
    cause: int = 0  # with which its owner ended it


# ---- effects, carried out in order ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Write:
    """A record; on the disk before anything that follows it is done."""

    record: tuple


@dataclass(slots=True, frozen=True)
class Say:
    site: str
    word: messages.ToTaker


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer of the request that was lent: placed, refused or failed."""

    id: Id
    answer: str
    description: str = ""
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class TakeBack:
    """The right to start is here again (or was never needed), and the owner still waits: decide anew."""

    id: Id
    wait_us: int


@dataclass(slots=True, frozen=True)
class Over:
    """A task that stood there is over; the owner is told, unless it brought that about."""

    id: Id
    cause: int
    result: str = ""


LenderEffect = Write | Say | Answer | TakeBack | Over


def guarded(work: Work) -> int | None:
    """The key under which the task may run once only, over all sites; None for one that may run twice."""
    return work.key if work.key and work.effect != Effect.SAFE.name else None


class Busy(Exception):
    """The task can't be lent or started now; the text says why, and trying again later is harmless."""


@dataclass(slots=True)
class Lender:
    """All transfers of one lending site. Feed it words and events; carry out what it returns, in order."""

    epoch: int
    serial: int = 0
    lent: dict[Id, Lent] = field(default_factory=dict)  # open transfers, the oldest first
    keys: dict[int, Id] = field(default_factory=dict)  # keys whose right to start is elsewhere
    here: set[int] = field(default_factory=set)  # keys that this site's own module decides on, or runs

    # ---- what may be started here ----------------------------------------------------------------------

    def begin(self, work: Work) -> None:
        """This site's module is about to decide on the task. Raises Busy where its key is not free.

        Guards against a start beside one at another site, or beside another request for the same key.
        """
        if (key := guarded(work)) is not None:
            self._check(key)
            self.here.add(key)

    def end(self, work: Work) -> None:
        """It is over here, or its request has had its answer and nothing runs."""
        self.here.discard(work.key)

    def _check(self, key: int) -> None:
        if key in self.keys:
            raise Busy("its key is lent to another site, or its fate there is not known")
        if key in self.here:
            raise Busy("a request for its key is under way here, or its task stands")

    def lend(self, site: str, work: Work, left_us: int) -> tuple[Id, list[LenderEffect]]:
        """Offer a task to another site. Raises Busy where the right to start it is not here to be lent."""
        if (key := guarded(work)) is not None:
            self._check(key)
        if (
            self.lent
            and self.serial + 1 - next(iter(self.lent))[1] >= SPAN_MOST
            and next(iter(self.lent))[0] == self.epoch
        ):
            raise Busy("too many transfers have come after one that is still open")
        self.serial += 1
        one = Lent((self.epoch, self.serial), site, work)
        self._put(one)
        return one.id, [
            Write(("lent", one.id, site, work)),
            Say(site, messages.Offered(one.id, work, left_us)),
        ]

    def never_left(self, id: Id) -> None:
        """The disk did not take the record of a transfer: it was not said, and its right is here still."""
        self._remove(self.lent[id])

    # ---- what happens here -----------------------------------------------------------------------------

    def time_up(self, id: Id) -> list[LenderEffect]:
        """The owner's time is over, and nothing was heard: it gets its answer, which proves nothing."""
        one = self.lent.get(id)
        if one is None or one.phase is not Lending.OUT:
            return []
        safe = one.work.effect == Effect.SAFE.name
        return [*self._call_back(one), Answer(id, "refused" if safe else "failed")]

    def given_up(self, id: Id) -> list[LenderEffect]:
        """The owner waits no more; none is owed an answer."""
        one = self.lent.get(id)
        return self._call_back(one) if one is not None and one.phase is Lending.OUT else []

    def silent(self, id: Id) -> list[LenderEffect]:
        """The link says nothing: safe work may go out again here, and its late twin is called off."""
        one = self.lent.get(id)
        if one is None or one.phase is not Lending.OUT or one.work.effect != Effect.SAFE.name:
            return []
        return [*self._call_back(one), TakeBack(id, 0)]

    def freed(self, id: Id, cause: int) -> list[LenderEffect]:
        """Its owner ends a task that stands there."""
        one = self.lent.get(id)
        if one is None or one.phase is not Lending.STANDS:
            return []
        self._put(replace(one, phase=Lending.FREED, cause=cause))
        return [Write(("freed", id, cause)), Say(one.site, messages.Freed(id, cause))]

    def _call_back(self, one: Lent) -> list[LenderEffect]:
        self._put(replace(one, phase=Lending.CALLED_BACK))
        return [Write(("called", one.id)), Say(one.site, messages.Withdrawn(one.id))]

    # ---- what the other side says ----------------------------------------------------------------------

    def hear(self, site: str, word: messages.ToLender) -> list[LenderEffect]:
        """One word of a site. Words on what is over, and of sites that it was not lent to, change nothing."""
        one = self.lent.get(word.id)
        if one is None:
            # Guards against a last word that is said for ever because `Closed` was lost.
            over = isinstance(word, messages.Returned | messages.Ended)
            return (
                [Say(site, messages.Closed(word.id))] if over and word.id <= (self.epoch, self.serial) else []
            )
        if one.site != site:
            return []
        match word:
            case messages.Taken():
                self._put(replace(one, taken=True))
                return []
            case messages.Stood(id, description):
                return self._stood(one, id, description)
            case messages.Returned(id, wait_us):
                if one.phase in (Lending.STANDS, Lending.FREED):
                    return []  # it stood: a word that can't be true takes nothing away
                effects = self._drop(one, "back")
                return [*effects, TakeBack(id, wait_us)] if one.phase is Lending.OUT else effects
            case messages.Ended(id, cause, _, result):
                effects = self._drop(one, "over")
                if one.phase is Lending.OUT:  # the word that it stood was lost: it ran, that much is known
                    return [*effects, Answer(id, "failed")]
                return [*effects, Over(id, cause, result)] if one.phase is Lending.STANDS else effects
        return []

    def _stood(self, one: Lent, id: Id, description: str) -> list[LenderEffect]:
        match one.phase:
            case Lending.OUT:
                self._put(replace(one, phase=Lending.STANDS, taken=True))
                return [Write(("stands", id)), Answer(id, "placed", description)]
            case Lending.CALLED_BACK:
                return [Say(one.site, messages.Withdrawn(id))]
            case Lending.FREED:
                return [Say(one.site, messages.Freed(id, one.cause))]
        return []

    # ---- repeats, restarts, operators ------------------------------------------------------------------

    def repeat(self, site: str, left_us: dict[Id, int]) -> Iterator[Say]:
        """What a site has not confirmed, to be said again; `left_us`: how long each owner still waits."""
        yield Say(site, messages.Floor(self.floor))
        for one in self.lent.values():
            if one.site != site:
                continue
            match one.phase:
                case Lending.OUT if not one.taken:
                    yield Say(site, messages.Offered(one.id, one.work, max(0, left_us.get(one.id, 0))))
                case Lending.CALLED_BACK:
                    yield Say(site, messages.Withdrawn(one.id))
                case Lending.FREED:
                    yield Say(site, messages.Freed(one.id, one.cause))

    def restarted(self) -> list[LenderEffect]:
        """After a start from the store: owners of what was out have lost their gateway; it is called back.

        What stands goes on, and its end is told to whoever names it then.
        """
        effects: list[LenderEffect] = []
        for one in [one for one in self.lent.values() if one.phase is Lending.OUT]:
            effects += self._call_back(one)
        return effects

    def forget(self, site: str) -> list[LenderEffect]:
        """An operator vouches that nothing of ours runs at a site any more: what is lent to it is over."""
        effects: list[LenderEffect] = []
        for one in [one for one in self.lent.values() if one.site == site]:
            effects += [Write(("over", one.id))]
            self._remove(one)
            if one.phase is Lending.OUT:
                effects.append(Answer(one.id, "failed"))
            elif one.phase is Lending.STANDS:
                effects.append(Over(one.id, CALLED_OFF))
        return effects

    @property
    def floor(self) -> Id:
        """All transfers before this are over."""
        return next(iter(self.lent), (self.epoch, self.serial + 1))

    def out(self, site: str) -> int:
        """Transfers that a site holds, or may."""
        return sum(one.site == site for one in self.lent.values())

    # ---- the table -------------------------------------------------------------------------------------

    def _put(self, one: Lent) -> None:
        self.lent[one.id] = one
        if (key := guarded(one.work)) is not None:
            self.keys[key] = one.id

    def _remove(self, one: Lent) -> None:
        del self.lent[one.id]
        if self.keys.get(one.work.key) == one.id:
            del self.keys[one.work.key]

    def _drop(self, one: Lent, record: str) -> list[LenderEffect]:
        self._remove(one)
        return [Write((record, one.id)), Say(one.site, messages.Closed(one.id))]

    # ---- the fold of its records -----------------------------------------------------------------------

    def take(self, record: tuple) -> None:
        """One record of the store, in order. Raises ValueError for what is none."""
        match record:
            case ("epoch", int(epoch)):
                self.epoch, self.serial = epoch, 0
            case ("lent", (epoch, serial), str(site), Work() as work):
                self.epoch, self.serial = epoch, max(serial, self.serial if epoch == self.epoch else 0)
                self._put(Lent((epoch, serial), site, work))
            case ("stands" | "called" | "freed" as word, id, *rest):
                if one := self.lent.get(id):
                    phase = {"stands": Lending.STANDS, "called": Lending.CALLED_BACK, "freed": Lending.FREED}
                    heard = one.taken or word != "called"  # what stood has been taken
                    self._put(replace(one, phase=phase[word], taken=heard, cause=rest[0] if rest else 0))
            case ("back" | "over", id):
                if one := self.lent.get(id):
                    self._remove(one)
            case _:
                raise ValueError(f"a record that can't be read: {record!r}")

    def records(self) -> Iterator[tuple]:
        """The least records that fold to the same."""
        for one in self.lent.values():
            yield ("lent", one.id, one.site, one.work)
            match one.phase:
                case Lending.STANDS:
                    yield ("stands", one.id)
                case Lending.CALLED_BACK:
                    yield ("called", one.id)
                case Lending.FREED:
                    yield ("freed", one.id, one.cause)
        yield ("epoch", self.epoch)
