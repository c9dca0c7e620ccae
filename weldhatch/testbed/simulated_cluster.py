"""A group on a virtual clock: the real members, links that lose and double, disks, and clocks that drift.

A run is fixed by its faults: each is (step, kind, who). A check after every step looks at all members at
once, from outside: one value a number, nothing decided is lost, and nobody acts on rules that contradict
another's.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random

from weldhatch import config
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.records import Record
from weldhatch.coordination import compatibility, setting_rules
from weldhatch.coordination.effects import CommandCompleted, ConnectVoters, SaveState, Send, WriteRecords
from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.node import CoordinationNode
from weldhatch.coordination.node_setup import NodeSetup
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.scheduling.types import Settings

STEP_S = 0.02
KINDS = ("crash", "stop", "cut", "deaf", "lose", "double", "older", "cut_pair", "slow_disk")
SLOW_STEPS, SLOW_FOR = 14, 200  # of a disk: for each write, and for how long it is so
BACK_STEPS = {"crash": 25, "stop": 110, "cut": 110, "deaf": 110, "older": 25, "cut_pair": 110}


def settings(*, most: int = 3, effect: str = "idempotency_key", tries: int = 4) -> dict:
    """A version's settings: the limits that the checks look at."""
    return {
        "kinds": ["std"],
        "zones": ["a", "b"],
        "registryMode": "automatic",
        "limits": {"mostTries": tries},
        "stats": {"how": "silent"},
        "extra": {
            "sizeCores": [8],
            "memOfKind": [16.0],
            "spreadOver": ["cell", "silent", "silent"],
            "spreadMost": [most, 0, 0],
        },
        "classes": [
            {"name": "lookup", "effect": "read_like", "aimUs": 1_000_000, "hardLimitUs": 3_000_000},
            {"name": "import", "effect": effect, "aimUs": 1_000_000, "hardLimitUs": 3_000_000},
            {"name": "writer", "effect": "non_idempotent", "aimUs": 1_000_000, "hardLimitUs": 3_000_000},
        ],
    }


@dataclass(slots=True)
class Seat:
    """One process: its member while it runs, its disk, its clock."""

    name: str
    rate: float  # of its clock
    votes: bool
    disk: list[Record] = field(default_factory=list)
    older: list[Record] = field(default_factory=list)  # a copy of the disk
    epoch: int = 0
    member: CoordinationNode | None = None
    stopped: bool = False
    back: int = -1  # the step at which it runs again
    writing: WriteRecords | None = None
    written: int = 0  # the step at which that is on the disk
    slow_until: int = 0
    inbox: deque = field(default_factory=deque)  # what came while it was stopped
    held: tuple[int, str] = (0, "")

    def now(self, time: float) -> float:
        return 1000.0 + time * self.rate


class Contradiction(AssertionError):
    """A promise is broken; the text says which."""


class Council:
    """`step` until done. Raises Contradiction at the first step after which a promise does not hold."""

    def __init__(
        self,
        names: Iterable[str],
        voters: int = 3,
        spans: LeaseTiming | None = None,
        seed: int = 1,
        faults: Iterable[tuple[int, str, str]] = (),
    ) -> None:
        self.spans, self.random = spans or LeaseTiming(), Random(seed)
        names = list(names)
        self.voters = {name: f"{name}:1" for name in names[:voters]}
        drift = self.spans.clock_drift * 0.45  # any two differ by less than the bound
        self.seats = {
            name: Seat(name, 1 + drift * (2 * n / max(1, len(names) - 1) - 1), name in self.voters)
            for n, name in enumerate(names)
        }
        self.time, self.steps = 0.0, 0
        self.faults: dict[int, list[tuple[str, str]]] = {}
        for at, kind, who in faults:
            self.faults.setdefault(at, []).append((kind, who))
        self._net: deque[tuple[float, str, str, object]] = deque()
        self._cut: dict[tuple[str, str], int] = {}  # one way: until which step
        self._next_fate: dict[str, str] = {}
        self.decided: dict[int, str] = {}  # by lineage-free index: the digest of the state after it
        self.number: dict[int, str] = {}  # by version: its settings
        self.active: set[int] = set()
        self.results: dict[str, dict] = {}
        self.states: set[int] = set()
        self.refusing: dict[str, str] = {}  # by process: what it says of every version
        self._acts_since: dict[tuple, float] = {}
        self.contradicted_s = 0.0
        for name in names:
            self.boot(name)

    # ---- processes -------------------------------------------------------------------------------------

    def boot(self, name: str) -> None:
        seat = self.seats[name]
        seat.epoch += 1
        saved = None
        if seat.votes:
            saved = PersistentState()
            for record in seat.disk:
                saved.apply(record)
        own = config.settings_of_json(settings())

        def read(tree: dict) -> Settings:
            return replace(config.settings_of_json(tree), zone=own.zone)

        seat.member = CoordinationNode(
            NodeSetup(
                Incarnation(name, seat.epoch, f"t{seat.epoch}"),
                self.spans,
                read,
                lambda _: self.refusing.get(name, ""),
                settings(),
            ),
            Random(self.random.getrandbits(32)),
            seat.now(self.time),
            saved,
            dict(self.voters) if seat.votes and not seat.disk else None,
        )
        seat.stopped, seat.back, seat.writing = False, -1, None
        if seat.held[1]:
            seat.member.lease_holder.restore(seat.held[1], seat.held[0])
        for other in self.voters:
            if other != name:
                seat.member.peer_up(seat.now(self.time), other)
        for other in self.seats.values():
            if other.member is not None and other.name != name and name in self.voters:
                other.member.peer_up(other.now(self.time), name)

    def crash(self, name: str, older: bool = False) -> None:
        seat = self.seats[name]
        seat.member, seat.writing = None, None
        seat.inbox.clear()
        if older and seat.older:
            seat.disk = list(seat.older)
        seat.back = self.steps + BACK_STEPS["crash"]

    # ---- one step --------------------------------------------------------------------------------------

    def step(self) -> None:
        self.steps += 1
        self.time += STEP_S
        for kind, who in self.faults.get(self.steps, ()):
            self._fault(kind, who)
        for seat in self.seats.values():
            if seat.back == self.steps:
                self._back(seat)
        self._cut = {pair: until for pair, until in self._cut.items() if until > self.steps}
        for seat in self.seats.values():
            if seat.member is not None and not seat.stopped:
                if seat.writing is not None and self.steps >= seat.written:
                    self._wrote(seat)
                seat.member.tick(seat.now(self.time))
                self._carry(seat)
        self._deliver()
        if self.steps % 40 == 0:
            for seat in self.seats.values():
                seat.older = list(seat.disk)
        self._check()

    def run(self, steps: int) -> Council:
        for _ in range(steps):
            self.step()
        return self

    def _fault(self, kind: str, who: str) -> None:
        seat = self.seats[who]
        if kind in ("crash", "older"):
            if seat.member is not None:
                self.crash(who, older=kind == "older")
        elif kind == "stop":
            if seat.member is not None and not seat.stopped:
                seat.stopped, seat.back = True, self.steps + BACK_STEPS["stop"]
        elif kind == "slow_disk":
            seat.slow_until = self.steps + SLOW_FOR
        elif kind in ("lose", "double"):
            self._next_fate[who] = kind
        else:
            others = [other for other in self.seats if other != who]
            if kind == "cut_pair":
                others = [others[self.random.randrange(len(others))]]
            for other in others:
                self._cut[who, other] = self.steps + BACK_STEPS[kind]
                if kind != "deaf":
                    self._cut[other, who] = self.steps + BACK_STEPS[kind]

    def _back(self, seat: Seat) -> None:
        if seat.member is None:
            self.boot(seat.name)
        else:
            seat.stopped = False
            while seat.inbox:
                name, word = seat.inbox.popleft()
                seat.member.receive(seat.now(self.time), name, word)
            self._carry(seat)

    def _wrote(self, seat: Seat) -> None:
        records, seat.writing = seat.writing.records, None
        seat.disk += records
        seat.member.records_written(seat.now(self.time))
        self._carry(seat)

    def _carry(self, seat: Seat) -> None:
        for effect in seat.member.take_effects():
            match effect:
                case WriteRecords():
                    seat.writing = effect
                    seat.written = self.steps + (SLOW_STEPS if self.steps < seat.slow_until else 1)
                case Send(to, word):
                    self._send(seat.name, to, word)
                case SaveState(lineage, state):
                    seat.held = (lineage, state)
                case CommandCompleted(id, result):
                    self.results[id] = result
                case ConnectVoters():
                    pass

    def _send(self, name: str, to: str, word: object) -> None:
        fate = self._next_fate.pop(name, "")
        if fate == "lose" or (name, to) in self._cut or to not in self.seats:
            return
        for _ in range(2 if fate == "double" else 1):
            self._net.append((self.time + STEP_S * 0.5, name, to, word))

    def _deliver(self) -> None:
        """In the order in which it was sent: a link keeps it."""
        net, self._net = self._net, deque()
        for _, name, to, word in net:
            seat = self.seats[to]
            if seat.member is None or (name, to) in self._cut:
                continue
            if seat.stopped:
                seat.inbox.append((name, word))
                continue
            seat.member.receive(seat.now(self.time), name, word)
            self._carry(seat)

    # ---- what is asked of it ---------------------------------------------------------------------------

    def give(self, name: str, id: str, command: dict) -> None:
        seat = self.seats[name]
        if seat.member is not None and not seat.stopped:
            seat.member.submit(seat.now(self.time), id, command)
            self._carry(seat)

    def leader(self) -> str:
        return next(
            (
                seat.name
                for seat in self.seats.values()
                if seat.member is not None and seat.member.is_leader and not seat.stopped
            ),
            "",
        )

    # ---- what has to hold ------------------------------------------------------------------------------

    def _check(self) -> None:
        acts: dict[str, tuple[int, int, object]] = {}
        for seat in self.seats.values():
            member = seat.member
            if member is None:
                continue
            self._check_group(member.state_machine)
            self._check_group(member.lease_holder.state_machine)
            if not seat.stopped:
                self._note_acts(seat, acts)
        self._check_acts(acts)
        self.states.add(
            hash(
                tuple(
                    (seat.member is None, seat.stopped)
                    if seat.member is None
                    else (
                        seat.stopped,
                        seat.member.raft.role if seat.member.raft else "",
                        seat.member.raft.persistent.term if seat.member.raft else 0,
                        seat.member.lease_holder.state_machine.index,
                        seat.member.lease_holder.lease_status(seat.now(self.time)).value,
                    )
                    for seat in self.seats.values()
                )
            )
        )

    def _check_group(self, group: object) -> None:
        if not group.index:
            return
        if self.decided.setdefault(group.index, group.digest) != group.digest:
            raise Contradiction(f"step {self.steps}: two states at index {group.index}")
        for version in (group.active, group.prepared):
            if version is not None:
                text = json.dumps(version.tree, sort_keys=True)
                if self.number.setdefault(version.number, text) != text:
                    raise Contradiction(f"step {self.steps}: number {version.number} has two values")
        if group.active is not None:
            self.active.add(group.active.number)

    def _note_acts(self, seat: Seat, acts: dict) -> None:
        """What it would let start now, of each class: by which settings."""
        holder, now = seat.member.lease_holder, seat.now(self.time)
        if holder.rules is None:
            return
        told = holder.rules.restricted.settings
        for n, cls in enumerate(told.classes):
            if not holder.refusal_reason(now, cls):
                acts.setdefault(n, {})[seat.name] = (cls, told.max_attempts, holder)

    def _check_acts(self, acts: dict) -> None:
        """Two that both let a class start: by switched values, never; by limits, for the stated time."""
        contradicting = set()
        for n, by in acts.items():
            for a, (cls, _, _) in by.items():
                for b, (other, _, _) in by.items():
                    if a < b and cls != other:
                        for change in compatibility.compare_items(
                            "classes", setting_rules.CLASSES, (cls,), (other,), True
                        ):
                            if change.overlap is setting_rules.Overlap.SWITCHES:
                                raise Contradiction(
                                    f"step {self.steps}: {a} and {b} both start {cls.name}, "
                                    f"{change.key} {change.old!r} and {change.new!r}"
                                )
                            if change.overlap is not setting_rules.Overlap.FREE:
                                contradicting.add((n, a, b, change.key))
        for key in contradicting:
            since = self._acts_since.setdefault(key, self.time)
            span = self.time - since + STEP_S
            self.contradicted_s = max(self.contradicted_s, span)
            if span > self.spans.consistency_bound:
                raise Contradiction(f"step {self.steps}: {key} for {span:.2f} s")
        self._acts_since = {key: at for key, at in self._acts_since.items() if key in contradicting}


def scenario(
    faults: Iterable[tuple[int, str, str]],
    seed: int = 1,
    voters: int = 3,
    learners: int = 0,
    steps: int = 420,
    check_end: bool = True,
) -> Council:
    """Two versions after the first, one that switches and widens and one that tightens, under faults."""
    names = [f"n{n}" for n in range(voters + learners)]
    council = Council(names, voters, seed=seed, faults=faults)
    given = {80: ("p1", settings(most=5, effect="read_like")), 200: ("p2", settings(most=2))}
    while council.steps < steps or (check_end and council.steps < steps + 600 and not settled(council)):
        council.step()
        if council.steps in given:
            id, tree = given[council.steps]
            for name in names[:1] if council.seats[names[0]].member else names[1:2]:
                member = council.seats[name].member
                base = (
                    member.lease_holder.state_machine.active.number
                    if member and member.lease_holder.state_machine.active
                    else 1
                )
                council.give(name, id, {"do": "propose", "base": base, "tree": tree, "why": id, "by": "x"})
    if check_end and not settled(council):
        raise Contradiction("it did not come to one state")
    return council


def settled(council: Council) -> bool:
    """Everybody runs, has a lease, and holds the same: nobody that lost its store votes."""
    seats = list(council.seats.values())
    digests = {seat.member.lease_holder.state_machine.digest for seat in seats if seat.member is not None}
    newest = max(council.active, default=0)
    return (
        len(digests) == 1
        and all(
            seat.member is not None
            and seat.member.lease_holder.state_machine.active is not None
            and seat.member.lease_holder.state_machine.active.number == newest
            for seat in seats
        )
        and all(
            seat.member is not None
            and not seat.stopped
            and seat.member.lease_holder.lease_status(seat.now(council.time)).value == "lease"
            and seat.member.lease_holder.state_machine.prepared is None
            for seat in seats
        )
    )
