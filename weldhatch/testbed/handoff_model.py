"""A model of a few tasks between two sites: what may happen next, and what state follows.

The hand-off's own code runs in it; only the network, the disk and the machines are modelled. A record that
precedes a message is on the disk before the message is out, and a crash may fall between any two effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from copy import copy
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from weldhatch.sites import handoff_source, handoff_target
from weldhatch.sites.handoff_source import HandoffSource, OutgoingPhase, SourceEffect
from weldhatch.sites.handoff_target import HandoffTarget, TargetEffect
from weldhatch.sites.messages import ToSource, ToTarget, TransferId, Work

HOME = "home"  # the site of the source
AWAY = "away"  # the site of the target
Effect = SourceEffect | TargetEffect


@dataclass(slots=True)
class Faults:
    """How many of each fault one order of events may hold."""

    lost: int = 1
    doubled: int = 1
    home_crashes: int = 1
    away_crashes: int = 1

    def key(self) -> tuple[int, ...]:
        """Return the same for two states that may have the same faults yet."""
        return self.lost, self.doubled, self.home_crashes, self.away_crashes


def _source_key(source: HandoffSource) -> tuple[object, ...]:
    transfers = tuple(source.transfers.values())
    return source.epoch, source.serial, transfers, tuple(source.remote_keys.items()), tuple(source.local_keys)


def _target_key(target: HandoffTarget) -> tuple[object, ...]:
    return tuple(target.transfers.values()), tuple(target.tombstones), target.low_watermark


def _source_copy(source: HandoffSource) -> HandoffSource:
    out = copy(source)
    out.transfers = dict(source.transfers)
    out.remote_keys = dict(source.remote_keys)
    out.local_keys = set(source.local_keys)
    return out


def _target_copy(target: HandoffTarget) -> HandoffTarget:
    out = copy(target)
    out.transfers = dict(target.transfers)
    out.tombstones = dict(target.tombstones)
    return out


@dataclass(slots=True)
class World:
    """One state: both sites in memory and on disk, messages under way, tasks running, answers given.

    `there`, `here`: messages on their way to the target and to the source, in any order; `trying`: given to
    the core of the target's site, not decided; `running`: a site, and its request's number or transfer's id;
    `starts`, `answers`: how often each request was started anywhere, and what it was answered; `asked`: how
    many have come; `of`: which request a transfer is for; `departed`: requests whose owner's time is over, or
    whose gateway died; `mine`: those that the source's site decides itself; `past`: the events so far.
    """

    asks: tuple[Work, ...]
    faults: Faults
    source: HandoffSource = field(default_factory=lambda: HandoffSource(1))
    source_disk: HandoffSource = field(default_factory=lambda: HandoffSource(1))
    target: HandoffTarget = field(default_factory=lambda: HandoffTarget(HOME))
    target_disk: HandoffTarget = field(default_factory=lambda: HandoffTarget(HOME))
    there: tuple[ToTarget, ...] = ()
    here: tuple[ToSource, ...] = ()
    trying: frozenset[TransferId] = frozenset()
    running: frozenset[tuple[str, Any]] = frozenset()
    starts: tuple[int, ...] = ()
    answers: tuple[tuple[str, ...], ...] = ()
    asked: int = 0
    of: tuple[tuple[TransferId, int], ...] = ()
    departed: frozenset[int] = frozenset()
    mine: frozenset[int] = frozenset()
    past: tuple[str, ...] = ()

    def key(self) -> tuple[object, ...]:
        """Return what makes this state the same as another."""
        return (
            self.faults.key(),
            _source_key(self.source),
            _source_key(self.source_disk),
            _target_key(self.target),
            _target_key(self.target_disk),
            tuple(sorted(map(repr, self.there))),
            tuple(sorted(map(repr, self.here))),
            self.trying,
            self.running,
            self.starts,
            self.answers,
            self.asked,
            self.departed,
            self.mine,
        )

    def copied(self, event: str) -> World:
        """Return a copy to which an event is about to happen."""
        out = copy(self)
        out.faults = copy(self.faults)
        out.source = _source_copy(self.source)
        out.source_disk = _source_copy(self.source_disk)
        out.target = _target_copy(self.target)
        out.target_disk = _target_copy(self.target_disk)
        out.past = (*self.past, event)
        return out

    # ---- carrying effects out --------------------------------------------------------------------------

    def carry(self, effects: Iterable[Effect]) -> None:
        """Carry effects out in order."""
        for effect in effects:
            match effect:
                case handoff_source.WriteRecord(record):
                    self.source_disk.apply(record)
                case handoff_target.WriteRecord(record):
                    self.target_disk.apply(record)
                case handoff_source.SendMessage(_, to_target):
                    self.there = (*self.there, to_target)
                case handoff_target.SendMessage(_, to_source):
                    self.here = (*self.here, to_source)
                case _:
                    self._decide(effect)

    def _decide(self, effect: Effect) -> None:
        """Carry out an effect that an owner or a core gets; all others are events of their own."""
        match effect:
            case handoff_source.AnswerOwner(id, answer):
                self.answer(self.request(id), answer)
            case handoff_source.ReclaimTask(id):
                if self.request(id) not in self.departed:
                    self.mine |= {self.request(id)}
            case handoff_target.StartTask(_, id):
                self.trying |= {id}

    def request(self, id: TransferId) -> int:
        """Return the number of the request that a transfer is for."""
        return dict(self.of)[id]

    def answer(self, request: int, answer: str) -> None:
        """Answer an owner, unless it has gone: the front drops what comes for it."""
        if request in self.departed:
            return
        answers = list(self.answers)
        answers[request] += (answer,)
        self.answers = tuple(answers)

    def start(self, site: str, what: object, request: int) -> None:
        """Start a task at a machine of a site."""
        self.running |= {(site, what)}
        starts = list(self.starts)
        starts[request] += 1
        self.starts = tuple(starts)

    def ask(self) -> list[Effect]:
        """Let the next request come; it is handed off at once."""
        request = self.asked
        work = self.asks[request]
        self.asked += 1
        self.starts = (*self.starts, 0)
        self.answers = (*self.answers, ())
        try:
            id, effects = self.source.offer(AWAY, work, 1_000_000)
        except handoff_source.TaskBusyError:
            self.answer(request, "refused")
            return []
        self.of = (*self.of, (id, request))
        return [*effects]

    def deliver_there(self, n: int, message: ToTarget) -> list[Effect]:
        """Let a message arrive at the target."""
        self.there = self.there[:n] + self.there[n + 1 :]
        return [*self.target.receive(message)]

    def deliver_here(self, n: int, message: ToSource) -> list[Effect]:
        """Let a message arrive at the source."""
        self.here = self.here[:n] + self.here[n + 1 :]
        return [*self.source.receive(AWAY, message)]

    def place(self, id: TransferId) -> list[Effect]:
        """Let the target's module place a task."""
        self.trying -= {id}
        self.start(AWAY, id, self.request(id))
        return [*self.target.placed(id, "d")]

    def reject(self, id: TransferId) -> list[Effect]:
        """Let the target's module reject a task."""
        self.trying -= {id}
        return [*self.target.returned(id)]

    def fail(self, id: TransferId) -> list[Effect]:
        """Let a task fail at the target's site."""
        self.trying -= {id}
        return [*self.target.ended(id, 47)]

    def end_away(self, id: TransferId) -> list[Effect]:
        """Let a task end at the target's site."""
        self.running -= {(AWAY, id)}
        return [*self.target.ended(id, 16)]

    def end_home(self, request: int) -> list[Effect]:
        """Let a task end at the source's site."""
        self.running -= {(HOME, request)}
        self.source.release_key(self.asks[request])
        return []

    def decide_home(self, request: int) -> list[Effect]:
        """Let the source's site place what came back, if the right to start it is there; or reject it."""
        self.mine -= {request}
        try:
            self.source.reserve_key(self.asks[request])
        except handoff_source.TaskBusyError:
            self.answer(request, "refused")
        else:
            self.start(HOME, request, request)
            self.answer(request, "placed")
        return []

    def pass_deadline(self, id: TransferId) -> list[Effect]:
        """Let the time of a transfer's owner be over."""
        return [*self.source.deadline_passed(id)]

    def reclaim(self, id: TransferId) -> list[Effect]:
        """Let the link be silent for long."""
        return [*self.source.link_silent(id)]

    def release(self, id: TransferId) -> list[Effect]:
        """Let the owner end a task that was placed."""
        return [*self.source.released(id, 16)]

    # ---- crashes ---------------------------------------------------------------------------------------

    def crash_home(self) -> None:
        """Start the source's site anew: its owners lose their gateway, its machines keep what they run."""
        self.faults.home_crashes -= 1
        self.departed |= {n for n in range(self.asked) if not self.answers[n]}
        self.mine = frozenset()
        self.source = HandoffSource(0)
        for record in self.source_disk.snapshot_records():
            self.source.apply(record)
        self.source_disk = _source_copy(self.source)
        # What this site's own machines run is taken up again with its key before anything is asked for.
        self.source.local_keys = {
            work.key
            for site, what in self.running
            if site == HOME and handoff_source.exclusive_key(work := self.asks[what]) is not None
        }
        epoch = self.source.epoch + 1
        self.source.apply(("epoch", epoch))
        self.source_disk.apply(("epoch", epoch))
        self.carry(self.source.recover())

    def crash_away(self) -> None:
        """Start the target's site anew: it speaks again once what it started must have ended."""
        self.faults.away_crashes -= 1
        self.trying = frozenset()
        self.running = frozenset(one for one in self.running if one[0] != AWAY)
        self.target = HandoffTarget(HOME)
        for record in self.target_disk.snapshot_records():
            self.target.apply(record)
        self.target_disk = _target_copy(self.target)
        self.carry(self.target.recover())


# ---- what may come next -----------------------------------------------------------------------------------

Event = tuple[str, Callable[[World], list[Effect]]]


def events(world: World) -> Iterator[Event]:
    """Return each event that may come, with what it does; a crash may cut its effects off anywhere."""
    if world.asked < len(world.asks):
        yield f"ask {world.asked}", World.ask
    for n, message in enumerate(world.there):
        if message not in world.there[:n]:
            yield f"deliver {message}", partial(World.deliver_there, n=n, message=message)
    for n, answer in enumerate(world.here):
        if answer not in world.here[:n]:
            yield f"deliver {answer}", partial(World.deliver_here, n=n, message=answer)
    yield from _target_events(world)
    yield from _source_events(world)


def _target_events(world: World) -> Iterator[Event]:
    """Return what the other site's module and both sites' machines may do."""
    for id in world.trying:
        yield f"away places {id}", partial(World.place, id=id)
        yield f"away refuses {id}", partial(World.reject, id=id)
        yield f"away fails {id}", partial(World.fail, id=id)
    for site, what in world.running:
        if site == AWAY:
            yield f"away ends {what}", partial(World.end_away, id=what)
        else:
            yield f"home ends {what}", partial(World.end_home, request=what)


def _source_events(world: World) -> Iterator[Event]:
    """Return what owners, timers and the module of the source's site may do."""
    for id, transfer in world.source.transfers.items():
        if transfer.phase is OutgoingPhase.OFFERED:
            yield f"time up {id}", partial(World.pass_deadline, id=id)
            if transfer.work.effect == "SAFE":
                yield f"silent {id}", partial(World.reclaim, id=id)
        elif transfer.phase is OutgoingPhase.PLACED:
            yield f"freed {id}", partial(World.release, id=id)
    for request in world.mine:
        yield f"home decides {request}", partial(World.decide_home, request=request)


def successors(world: World) -> Iterator[World]:
    """Return all states that may follow."""
    for name, act in events(world):
        after = world.copied(name)
        effects = act(after)
        yield from _crashes_within(world, name, act, effects)
        after.carry(effects)
        yield after
    yield from _lost_and_doubled(world)
    if world.faults.home_crashes and world.asked:
        after = world.copied("home dies")
        after.crash_home()
        yield after
    if world.faults.away_crashes and world.target_disk.transfers:
        after = world.copied("away dies")
        after.crash_away()
        yield after


def _crashes_within(
    world: World, name: str, act: Callable[[World], list[Effect]], effects: list[Effect]
) -> Iterator[World]:
    """Return the states after a crash between any two effects of an event."""
    if not effects:
        return
    home = isinstance(effects[0], SourceEffect) and not isinstance(effects[0], handoff_source.ReportEnd)
    if not (world.faults.home_crashes if home else world.faults.away_crashes):
        return
    for done in range(1, len(effects)):
        cut = world.copied(f"{name}, and dies after {done} of {len(effects)} effects")
        cut.carry(act(cut)[:done])
        if home:
            cut.crash_home()
        else:
            cut.crash_away()
        yield cut


def _lost_and_doubled(world: World) -> Iterator[World]:
    """Return the states after the network has lost or doubled a message."""
    if world.faults.lost:
        for way in ("there", "here"):
            under_way = getattr(world, way)
            for n, message in enumerate(under_way):
                after = world.copied(f"lose {message}")
                setattr(after, way, under_way[:n] + under_way[n + 1 :])
                after.faults.lost -= 1
                yield after
    if world.faults.doubled:
        for way in ("there", "here"):
            under_way = getattr(world, way)
            for message in under_way:
                after = world.copied(f"double {message}")
                setattr(after, way, (*under_way, message))
                after.faults.doubled -= 1
                yield after
