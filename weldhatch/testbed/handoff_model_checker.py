"""Every order of events of a few tasks between two sites: words lost, doubled and overtaken, crashes, ends.

A model in the sense of model checking: from one state all events that could come next are tried, each state
once (breadth first), and the promises are checked in each. The hand-over's own code runs in it; only the
network, the disk and the machines are modelled. A record that stands before a word is on the disk before the
word is out, and a crash may fall between any two effects.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from copy import copy
from dataclasses import dataclass, field

from weldhatch.sites import handoff_source, handoff_target
from weldhatch.sites.handoff_source import HandoffSource, OutgoingPhase
from weldhatch.sites.handoff_target import HandoffTarget, IncomingPhase
from weldhatch.sites.messages import TransferId, Work

HOME, AWAY = "home", "away"


class Broken(AssertionError):
    """A promise that does not hold, with the events that led there."""


@dataclass(slots=True)
class Faults:
    """How many of each fault one order of events may hold."""

    lost: int = 1
    doubled: int = 1
    home_crashes: int = 1
    away_crashes: int = 1

    def key(self) -> tuple:
        return self.lost, self.doubled, self.home_crashes, self.away_crashes


@dataclass(slots=True)
class World:
    """One state: both sites in memory and on disk, words under way, tasks running, answers given."""

    asks: tuple[Work, ...]
    faults: Faults
    source: HandoffSource = field(default_factory=lambda: HandoffSource(1))
    source_disk: HandoffSource = field(default_factory=lambda: HandoffSource(1))
    target: HandoffTarget = field(default_factory=lambda: HandoffTarget(HOME))
    target_disk: HandoffTarget = field(default_factory=lambda: HandoffTarget(HOME))
    there: tuple = ()  # words on their way to the taking site, in any order
    here: tuple = ()  # to the lending site
    trying: frozenset[TransferId] = frozenset()  # given to the core of the taking site, not decided
    running: frozenset[tuple[str, object]] = frozenset()  # a site, and the request's number or transfer's id
    starts: tuple[int, ...] = ()  # how often each request was started, anywhere
    answers: tuple[tuple[str, ...], ...] = ()  # what each request was answered
    asked: int = 0  # requests that have come
    of: tuple[tuple[TransferId, int], ...] = ()  # which request a transfer is for
    gone: frozenset[int] = frozenset()  # requests whose owner's time is over, or whose gateway died
    mine: frozenset[int] = frozenset()  # requests that the lending site decides itself
    past: tuple[str, ...] = ()

    def key(self) -> tuple:
        def source(one: HandoffSource) -> tuple:
            return (
                one.epoch,
                one.serial,
                tuple(one.transfers.values()),
                tuple(one.remote_keys.items()),
                tuple(one.local_keys),
            )

        def target(one: HandoffTarget) -> tuple:
            return tuple(one.transfers.values()), tuple(one.tombstones), one.low_watermark

        return (
            self.faults.key(),
            source(self.source),
            source(self.source_disk),
            target(self.target),
            target(self.target_disk),
            tuple(sorted(map(repr, self.there))),
            tuple(sorted(map(repr, self.here))),
            self.trying,
            self.running,
            self.starts,
            self.answers,
            self.asked,
            self.gone,
            self.mine,
        )

    def copied(self, event: str) -> World:
        out = copy(self)
        out.faults = copy(self.faults)
        for name in ("source", "source_disk"):
            one = copy(getattr(self, name))
            one.transfers, one.remote_keys, one.local_keys = (
                dict(one.transfers),
                dict(one.remote_keys),
                set(one.local_keys),
            )
            setattr(out, name, one)
        for name in ("target", "target_disk"):
            one = copy(getattr(self, name))
            one.transfers, one.tombstones = dict(one.transfers), dict(one.tombstones)
            setattr(out, name, one)
        out.past = (*self.past, event)
        return out

    # ---- carrying effects out --------------------------------------------------------------------------

    def carry(self, effects: list, upto: int | None = None) -> None:
        """Carry effects out in order; `upto`: the process dies after so many."""
        for effect in effects[:upto]:
            match effect:
                case handoff_source.WriteRecord(record):
                    self.source_disk.apply(record)
                case handoff_target.WriteRecord(record):
                    self.target_disk.apply(record)
                case handoff_source.SendMessage(_, word):
                    self.there = (*self.there, word)
                case handoff_target.SendMessage(_, word):
                    self.here = (*self.here, word)
                case handoff_source.AnswerOwner(id, answer):
                    self.answer(self.request(id), answer)
                case handoff_source.ReclaimTask(id):
                    if self.request(id) not in self.gone:
                        self.mine |= {self.request(id)}
                case handoff_target.StartTask(_, id):
                    self.trying |= {id}
                case handoff_target.AbandonTask() | handoff_target.ReleaseTask() | handoff_source.ReportEnd():
                    pass  # what follows is an event of its own
        if upto is not None:
            return

    def request(self, id: TransferId) -> int:
        return dict(self.of)[id]

    def answer(self, request: int, answer: str) -> None:
        if request in self.gone:
            return  # its owner has gone: the front drops what comes for it
        told = list(self.answers)
        told[request] += (answer,)
        self.answers = tuple(told)

    def start(self, site: str, what: object, request: int) -> None:
        self.running |= {(site, what)}
        starts = list(self.starts)
        starts[request] += 1
        self.starts = tuple(starts)

    # ---- what may come next ----------------------------------------------------------------------------

    def events(self) -> Iterator[tuple[str, Callable[[World], list]]]:
        """Each event that may come, with what it does; a crash may cut its effects off anywhere."""
        if self.asked < len(self.asks):
            yield f"ask {self.asked}", World._ask
        for n, word in enumerate(self.there):
            if word not in self.there[:n]:
                yield f"deliver {word}", lambda w, n=n, word=word: w._deliver_there(n, word)
        for n, word in enumerate(self.here):
            if word not in self.here[:n]:
                yield f"deliver {word}", lambda w, n=n, word=word: w._deliver_here(n, word)
        for id in self.trying:
            yield f"away places {id}", lambda w, id=id: w._places(id)
            yield f"away refuses {id}", lambda w, id=id: w._refuses(id)
            yield f"away fails {id}", lambda w, id=id: w._fails(id)
        for site, what in self.running:
            if site == AWAY:
                yield f"away ends {what}", lambda w, what=what: w._away_ends(what)
            else:
                yield f"home ends {what}", lambda w, what=what: w._home_ends(what)
        for id, one in self.source.transfers.items():
            if one.phase is OutgoingPhase.OFFERED:
                yield f"time up {id}", lambda w, id=id: w.source.deadline_passed(id)
                if one.work.effect == "SAFE":
                    yield f"silent {id}", lambda w, id=id: w.source.link_silent(id)
            elif one.phase is OutgoingPhase.PLACED:
                yield f"freed {id}", lambda w, id=id: w.source.released(id, 16)
        for request in self.mine:
            yield f"home decides {request}", lambda w, request=request: w._home_decides(request)

    def _ask(self) -> list:
        request, work = self.asked, self.asks[self.asked]
        self.asked += 1
        self.starts, self.answers = (*self.starts, 0), (*self.answers, ())
        try:
            id, effects = self.source.offer(AWAY, work, 1_000_000)
        except handoff_source.TaskBusyError:
            self.answer(request, "refused")
            return []
        self.of = (*self.of, (id, request))
        return effects

    def _deliver_there(self, n: int, word: object) -> list:
        self.there = self.there[:n] + self.there[n + 1 :]
        return self.target.receive(word)

    def _deliver_here(self, n: int, word: object) -> list:
        self.here = self.here[:n] + self.here[n + 1 :]
        return self.source.receive(AWAY, word)

    def _places(self, id: TransferId) -> list:
        self.trying -= {id}
        self.start(AWAY, id, self.request(id))
        return self.target.placed(id, "d")

    def _refuses(self, id: TransferId) -> list:
        self.trying -= {id}
        return self.target.returned(id)

    def _fails(self, id: TransferId) -> list:
        self.trying -= {id}
        return self.target.ended(id, 47)

    def _away_ends(self, id: TransferId) -> list:
        self.running -= {(AWAY, id)}
        return self.target.ended(id, 16)

    def _home_ends(self, request: int) -> list:
        self.running -= {(HOME, request)}
        self.source.release_key(self.asks[request])
        return []

    def _home_decides(self, request: int) -> list:
        """The home site's module places what came back, if the right to start it is there; or refuses."""
        self.mine -= {request}
        try:
            self.source.reserve_key(self.asks[request])
        except handoff_source.TaskBusyError:
            self.answer(request, "refused")
        else:
            self.start(HOME, request, request)
            self.answer(request, "placed")
        return []

    # ---- faults ----------------------------------------------------------------------------------------

    def next(self) -> Iterator[World]:
        """All states that may follow."""
        for name, do in self.events():
            after = self.copied(name)
            effects = do(after)
            for died in range(len(effects)) if effects else ():
                home = isinstance(
                    effects[0],
                    handoff_source.WriteRecord
                    | handoff_source.SendMessage
                    | handoff_source.AnswerOwner
                    | handoff_source.ReclaimTask,
                )
                if (self.faults.home_crashes if home else self.faults.away_crashes) and died:
                    cut = self.copied(f"{name}, and dies after {died} of {len(effects)} effects")
                    cut.carry(do(cut), died)
                    cut._home_crashes() if home else cut._away_crashes()
                    yield cut
            after.carry(effects)
            yield after
        if self.faults.lost:
            for way in ("there", "here"):
                for n, word in enumerate(getattr(self, way)):
                    after = self.copied(f"lose {word}")
                    setattr(after, way, getattr(self, way)[:n] + getattr(self, way)[n + 1 :])
                    after.faults.lost -= 1
                    yield after
        if self.faults.doubled:
            for way in ("there", "here"):
                for word in getattr(self, way):
                    after = self.copied(f"double {word}")
                    setattr(after, way, (*getattr(self, way), word))
                    after.faults.doubled -= 1
                    yield after
        if self.faults.home_crashes and self.asked:
            after = self.copied("home dies")
            after._home_crashes()
            yield after
        if self.faults.away_crashes and self.target_disk.transfers:
            after = self.copied("away dies")
            after._away_crashes()
            yield after

    def _home_crashes(self) -> None:
        """Its owners lose their gateway, and what it ran itself is looked after by its machines."""
        self.faults.home_crashes -= 1
        self.gone |= {n for n in range(self.asked) if not self.answers[n]}
        self.mine = frozenset()
        fresh = HandoffSource(0)
        for record in self.source_disk.snapshot_records():
            fresh.apply(record)
        self.source, self.source_disk = fresh, copy(fresh)
        self.source_disk.transfers, self.source_disk.remote_keys = (
            dict(fresh.transfers),
            dict(fresh.remote_keys),
        )
        self.source_disk.local_keys = set()
        # What this site's own machines run is taken up again with its key before anything is asked for.
        self.source.local_keys = {
            work.key
            for site, what in self.running
            if site == HOME and handoff_source.exclusive_key(work := self.asks[what]) is not None
        }
        for one in (self.source, self.source_disk):
            one.apply(("epoch", fresh.epoch + 1 if one is fresh else self.source.epoch))
        self.carry(self.source.recover())

    def _away_crashes(self) -> None:
        """What it started runs on at its machines; it speaks again once that must have ended."""
        self.faults.away_crashes -= 1
        self.trying = frozenset()
        self.running = frozenset(one for one in self.running if one[0] != AWAY)
        fresh = HandoffTarget(HOME)
        for record in self.target_disk.snapshot_records():
            fresh.apply(record)
        self.target, self.target_disk = fresh, copy(fresh)
        self.target_disk.transfers, self.target_disk.tombstones = (
            dict(fresh.transfers),
            dict(fresh.tombstones),
        )
        self.carry(self.target.recover())

    # ---- promises --------------------------------------------------------------------------------------

    def check(self) -> None:
        """What holds in every state. Raises Broken."""
        for request, told in enumerate(self.answers):
            if len(told) > 1:
                self.broken(f"request {request} got {told}")
        for request, count in enumerate(self.starts):
            if self.asks[request].effect != "SAFE" and count > 1:
                self.broken(f"request {request}, which may not start twice, did")
        keys = [
            work.key
            for site, what in self.running
            if (work := self.asks[what if site == HOME else self.request(what)]).effect != "SAFE"
        ]
        if len(keys) != len(set(keys)):
            self.broken(f"two copies of one key run: {sorted(map(str, self.running))}")

    def settled(self) -> World:
        """The same after the link has healed: both sides repeat, and all that runs comes to its end."""
        after = self.copied("the link heals")
        after.asked = len(after.asks) if after.asked else 0
        after.starts += (0,) * (len(after.asks) - len(after.starts))
        after.answers += (("unasked",),) * (len(after.asks) - len(after.answers))
        for _ in range(8):
            after.carry(list(after.source.unconfirmed_messages(AWAY, {})))
            after.carry(list(after.target.unconfirmed_messages()))
            while after.there or after.here or after.trying or after.mine:
                if after.there:
                    after.carry(after._deliver_there(0, after.there[0]))
                elif after.here:
                    after.carry(after._deliver_here(0, after.here[0]))
                elif after.trying:
                    after.carry(after._refuses(min(after.trying)))
                else:
                    after.carry(after._home_decides(min(after.mine)))
                after.check()
            for site, what in sorted(after.running, key=str):
                after.carry(after._away_ends(what) if site == AWAY else after._home_ends(what))
        return after

    def check_settled(self) -> None:
        after = self.settled()
        if after.source.transfers or after.source.remote_keys:
            after.broken(f"still lent after all has settled: {list(after.source.transfers.values())}")
        if open := [
            one for one in after.target.transfers.values() if one.phase in handoff_target.OPEN_PHASES
        ]:
            after.broken(f"still taken after all has settled: {open}")
        for request, told in enumerate(after.answers):
            if len(told) != 1 and request not in after.gone:
                after.broken(f"request {request} got {told or 'no answer'}")

    def broken(self, what: str) -> None:
        raise Broken(what + "\n  " + "\n  ".join(self.past))


def explore(asks: tuple[Work, ...], faults: Faults, most: int = 10_000_000) -> int:
    """Try every order of events; how many states there are. Raises Broken, with the shortest way there.

    Raises OverflowError past `most` states: then not every order was tried.
    """
    first = World(asks, faults)
    seen, line = {first.key()}, deque([first])
    while line:
        world = line.popleft()
        world.check()
        if not (world.there or world.here or world.trying or world.mine):
            world.check_settled()  # all others lead to such states, by words that are heard or lost
        for after in world.next():
            if (key := hash(after.key())) not in seen:
                seen.add(key)
                line.append(after)
                if len(seen) > most:
                    raise OverflowError(f"more than {most} states")
    return len(seen)


__all__ = ["AWAY", "HOME", "Broken", "Faults", "IncomingPhase", "World", "explore"]
