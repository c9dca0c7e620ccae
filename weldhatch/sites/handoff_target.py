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
from weldhatch.sites.messages import Id, Work

HOPS_MOST = 2  # sites that a task crosses; then it is returned, not passed on
LOST, CALLED_OFF = 41, 31  # causes: lost with its gateway, and called off


class Taking(StrEnum):
    TRIED = "tried"  # written down, and the module decides
    CALLED_BACK = "called back"  # nobody waits for it any more, and its end is awaited
    STANDS = "stands"
    ENDING = "ending"  # it stands, and was told to end
    RETURNED = "returned"
    ENDED = "ended"


OPEN = (Taking.TRIED, Taking.CALLED_BACK, Taking.STANDS, Taking.ENDING)


@dataclass(slots=True, frozen=True)
class Borrowed:
    """One transfer at the taking site."""

    id: Id
    work: Work | None  # None where only the call-back of it has come
    phase: Taking = Taking.TRIED
    description: str = ""
    cause: int = 0
    stood: bool = False
    result: str = ""


# ---- effects, carried out in order ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Write:
    """A record; on the disk before anything that follows it is done."""

    record: tuple


@dataclass(slots=True, frozen=True)
class Say:
    site: str
    word: messages.ToLender


@dataclass(slots=True, frozen=True)
class Try:
    """Hand the task to this site's core, as a request with so much time left."""

    site: str
    id: Id
    work: Work
    left_us: int


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Tell the core that nobody waits for the answer; it tells by `given_back` or `ended` what came of it."""

    site: str
    id: Id


@dataclass(slots=True, frozen=True)
class Free:
    """End the task that stands here, with this cause."""

    site: str
    id: Id
    cause: int


TakerEffect = Write | Say | Try | GiveUp | Free


@dataclass(slots=True)
class Taker:
    """All transfers from one other site. Feed it words and events; carry out what it returns, in order."""

    site: str
    taken: dict[Id, Borrowed] = field(default_factory=dict)
    tombs: dict[Id, None] = field(default_factory=dict)  # closed ones that the floor has not passed
    floor: Id = (0, 0)
    newest: Id = (0, 0)  # the latest id that was seen: proof of what the other side has lent

    # ---- what the other side says ----------------------------------------------------------------------

    def hear(self, word: messages.ToTaker, draining: bool = False) -> list[TakerEffect]:
        """One word of the lending site. `draining`: this site takes nothing new."""
        if isinstance(word, messages.Floor):
            return self._passed(word.id)
        if word.id > self.newest:
            self.newest = word.id
        one = self.taken.get(word.id)
        match word:
            case messages.Offered(id, work, left_us):
                if one is not None:
                    return self._last_word(one)
                if id < self.floor or id in self.tombs:
                    return []  # over at both sides: a copy of the offer that was long under way
                if draining or work.hops >= HOPS_MOST or left_us <= 0:
                    return self._give_back(Borrowed(id, work), 0)
                self.taken[id] = Borrowed(id, work)
                return [
                    Write(("taken", id, work)),
                    Say(self.site, messages.Taken(id)),
                    Try(self.site, id, work, left_us),
                ]
            case messages.Withdrawn(id):
                return self._withdrawn(one, id)
            case messages.Freed(id, cause):
                if one is not None and one.phase is Taking.STANDS:
                    self.taken[id] = replace(one, phase=Taking.ENDING)
                    return [Free(self.site, id, cause)]
                return self._withdrawn(one, id)
            case messages.Closed(id):
                if one is None or one.phase in OPEN:
                    return []  # only what has had its last word can be closed
                self._bury(id)
                return [Write(("closed", id))]
        return []

    def _withdrawn(self, one: Borrowed | None, id: Id) -> list[TakerEffect]:
        if one is None:
            if id < self.floor or id in self.tombs:
                return []
            return self._give_back(Borrowed(id, None), 0)  # its offer, if it still comes, finds it returned
        match one.phase:
            case Taking.TRIED:
                self.taken[id] = replace(one, phase=Taking.CALLED_BACK)
                return [GiveUp(self.site, id)]
            case Taking.STANDS:
                self.taken[id] = replace(one, phase=Taking.ENDING)
                return [Free(self.site, id, CALLED_OFF)]
            case Taking.RETURNED | Taking.ENDED:
                return self._last_word(one)
        return []

    def _passed(self, floor: Id) -> list[TakerEffect]:
        """Nothing before the floor is open at the lending site: no entry or tombstone is needed for it."""
        if floor <= self.floor:
            return []
        self.floor = floor
        done = [id for id, one in self.taken.items() if id < floor and one.phase not in OPEN]
        for id in done:
            del self.taken[id]
        while self.tombs and (oldest := min(self.tombs)) < floor:
            del self.tombs[oldest]
        effects: list[TakerEffect] = [Write(("floor", floor))]
        for one in [one for id, one in self.taken.items() if id < floor]:
            effects += self._withdrawn(one, one.id)  # forgotten there, while it still goes on here
        return effects

    # ---- what happens here -----------------------------------------------------------------------------

    def stands(self, id: Id, description: str) -> list[TakerEffect]:
        """The module placed it, and its machine holds it."""
        one = self.taken.get(id)
        if one is None or one.phase not in (Taking.TRIED, Taking.CALLED_BACK):
            return []
        ending = one.phase is Taking.CALLED_BACK
        one = self.taken[id] = replace(
            one, phase=Taking.ENDING if ending else Taking.STANDS, description=description, stood=True
        )
        wrote = Write(("stands", id, description))
        return (
            [wrote, Free(self.site, id, CALLED_OFF)]
            if ending
            else [wrote, Say(self.site, messages.Stood(id, description))]
        )

    def given_back(self, id: Id, wait_us: int = 0) -> list[TakerEffect]:
        """The module refused it: nothing ran. Only a core that vouches for that may call this."""
        one = self.taken.get(id)
        if one is None or one.phase not in (Taking.TRIED, Taking.CALLED_BACK):
            return []
        return self._give_back(one, wait_us)

    def _give_back(self, one: Borrowed, wait_us: int) -> list[TakerEffect]:
        self.taken[one.id] = replace(one, phase=Taking.RETURNED)
        return [Write(("returned", one.id)), Say(self.site, messages.Returned(one.id, wait_us))]

    def ended(self, id: Id, cause: int, result: str = "") -> list[TakerEffect]:
        """It is over: after it stood, with what it has come to; or failed, where it may have run."""
        one = self.taken.get(id)
        if one is None or one.phase not in OPEN:
            return []
        one = self.taken[id] = replace(one, phase=Taking.ENDED, cause=cause, result=result)
        return [Write(("ended", id, cause, result)), *self._last_word(one)]

    # ---- repeats and restarts --------------------------------------------------------------------------

    def repeat(self) -> Iterator[Say]:
        """What the lending site has not confirmed, to be said again, as after a broken link."""
        for one in self.taken.values():
            if one.phase is not Taking.TRIED and one.phase is not Taking.CALLED_BACK:
                yield from self._last_word(one)

    def _last_word(self, one: Borrowed) -> list[TakerEffect]:
        """Where it is now, said again."""
        match one.phase:
            case Taking.TRIED | Taking.CALLED_BACK:
                return [Say(self.site, messages.Taken(one.id))]
            case Taking.STANDS | Taking.ENDING:
                return [Say(self.site, messages.Stood(one.id, one.description))]
            case Taking.RETURNED:
                return [Say(self.site, messages.Returned(one.id))]
        return [Say(self.site, messages.Ended(one.id, one.cause, one.stood, one.result))]

    def restarted(self, ids: Iterable[Id] | None = None) -> list[TakerEffect]:
        """After a start from the store, once nothing that was started before it can run any more.

        What was being tried may have run, and what stood is lost with its gateway: both have ended, and are
        not returned. `ids`: what was there at the start; None for all.
        """
        effects: list[TakerEffect] = []
        for id in list(self.taken if ids is None else ids):
            effects += self.ended(id, LOST)
        return effects

    # ---- the table -------------------------------------------------------------------------------------

    def _bury(self, id: Id) -> None:
        del self.taken[id]
        if id >= self.floor:
            self.tombs[id] = None

    # ---- the fold of its records -----------------------------------------------------------------------

    def take(self, record: tuple) -> None:
        """One record of the store, in order. Raises ValueError for what is none."""
        match record:
            case ("taken", id, Work() as work):
                self.taken[id] = Borrowed(id, work)
            case ("stands", id, str(description)):
                if one := self.taken.get(id):
                    self.taken[id] = replace(one, phase=Taking.STANDS, description=description, stood=True)
            case ("returned", id):
                one = self.taken.get(id) or Borrowed(id, None)
                self.taken[id] = replace(one, phase=Taking.RETURNED)
            case ("ended", id, int(cause), str(result)):
                if one := self.taken.get(id):
                    self.taken[id] = replace(one, phase=Taking.ENDED, cause=cause, result=result)
            case ("closed", id):
                if id in self.taken:
                    self._bury(id)
                else:
                    self.tombs[id] = None
            case ("floor", id):
                self.floor = max(self.floor, id)
                self.taken = {at: one for at, one in self.taken.items() if at >= id or one.phase in OPEN}
                self.tombs = {at: None for at in self.tombs if at >= id}
                return
            case _:
                raise ValueError(f"a record that can't be read: {record!r}")
        self.newest = max(self.newest, record[1])

    def records(self) -> Iterator[tuple]:
        """The least records that fold to the same."""
        yield ("floor", self.floor)
        for one in self.taken.values():
            if one.work is not None:
                yield ("taken", one.id, one.work)
            if one.stood:
                yield ("stands", one.id, one.description)
            if one.phase is Taking.RETURNED:
                yield ("returned", one.id)
            elif one.phase is Taking.ENDED:
                yield ("ended", one.id, one.cause, one.result)
        for id in self.tombs:
            yield ("closed", id)
