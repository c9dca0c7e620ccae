"""The records that the policy keeps: room, machines and requests. Bookkeeping only, no decisions."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from random import Random

from weldhatch.scheduling.events import RequestArrived, TaskAdopted
from weldhatch.scheduling.types import Machine, Settings

NEVER = -(1 << 62)


class Room:
    """Free cores and memory as last told, less what this instance has bound and offered since."""

    def __init__(self) -> None:
        self.heard, self.told, self.own = NEVER, (0.0, 0.0), (0.0, 0.0)

    def hear(self, now: int, lag: int, cores: float, memory: float, n: Node) -> None:
        self.heard, self.told, self.own = now, (cores, memory), n.running
        for until, running in reversed(n.past):
            if until <= now - lag:
                break
            self.own = running

    def left(self, n: Node, use_cores: float, use_memory: float) -> tuple[float, float]:
        return (
            self.told[0] - (n.running[0] - self.own[0] + n.offered[0]) * use_cores,
            self.told[1] - (n.running[1] - self.own[1] + n.offered[1]) * use_memory,
        )


class Node:
    """What this instance knows of one machine: its list entry, own offers and tasks, reports, health."""

    def __init__(self, entry: Machine, line: float, sends_kept: int) -> None:
        self.entry, self.cores, self.memory = entry, 1.0, 1.0
        self.offers: dict[int, int] = {}  # own open offers: request and attempt
        self.offered = self.running = (0.0, 0.0)  # cores and memory asked by own offers and tasks
        self.past: deque[tuple[int, tuple[float, float]]] = deque()  # until when `running` was what
        self.held = 0  # own attempts and running tasks there
        self.sends: deque[int] = deque(maxlen=sends_kept)  # when the last own offers went out
        self.waiters: dict[int, None] = {}  # requests that wait for a probe of this machine
        self.restart(line)

    def restart(self, line: float) -> None:
        self.asked, self.used = Room(), Room()  # room by what tasks asked, and by what they use
        self.util, self.util_own, self.util_at = 0.0, 0.0, NEVER
        self.kept: dict[int, None] = {}  # services whose program should still be there, oldest first
        self.starting: set[int] = set()  # own requests placed there that are not told to run yet
        self.silent, self.probes, self.leaving, self.line = False, 0, 0, line
        self.poor = 0  # until when told service there counts as poor
        self.wait = self.recheck = 0  # of a silent machine: the last wait, and until when
        self.suspects: dict[int, tuple[int, int]] = {}  # by class: until when, after a wait of how long
        self.faults, self.fault_at = 0, NEVER  # errors and broken answers since the last task was placed
        self.refused = (0, 0.0, 0.0)  # until when, and from which cores and memory on

    def keep_sends(self, count: int) -> None:
        self.sends = deque(self.sends, maxlen=count)

    def offer(self, r: Request, now: int) -> None:
        self.sends.append(now)
        self.offers[r.id] = r.open
        self.offered = (self.offered[0] + r.cores, self.offered[1] + r.memory)

    def no_offer(self, r: Request) -> None:
        del self.offers[r.id]
        less = (self.offered[0] - r.cores, self.offered[1] - r.memory)
        self.offered = less if self.offers else (0.0, 0.0)

    def run(self, r: Request, sign: int, now: int, lag: int) -> None:
        """A task of ours more or less; what ran up to `lag` ago is remembered."""
        self.past.append((now, self.running))
        while self.past[0][0] < now - lag:
            self.past.popleft()
        self.running = (self.running[0] + sign * r.cores, self.running[1] + sign * r.memory)


class Request:
    """One request: what it asks, the attempts made, and where on the path it stands."""

    def __init__(self, e: RequestArrived | TaskAdopted, settings: Settings, deadline: int) -> None:
        self.id, self.service, self.deadline = e.request, e.service, deadline
        self.only = getattr(e, "only", None)  # a task that is adopted has no such limit
        self.kind = e.class_index
        self.cls, self.cores, self.memory = settings.classes[e.class_index], e.cores, e.memory
        self.sent: list[tuple[Machine, int]] = []  # machine and time of each attempt
        self.open: int | None = None  # the attempt that is out
        self.placed: int | None = None  # the attempt that holds the task
        self.maybe: tuple[Machine, int] | None = None  # the first attempt that may have run
        self.refused = 0  # for want of room
        self.errors: list[Node] = []  # machines that answered with an error
        self.answered, self.holds, self.turn = False, 0, 0  # a timer of an older turn is void
        self.homes: list[Node] = []  # the first of them that are eligible
        self.drawn: list[int] = []
        self.hoped, self.redrawn = 0, False  # the worst tier drawn, as known then; drawn again once for that
        self.waiting: set[int] = set()  # drawn machines whose probe is not back


class Holdings:
    """Own attempts and running tasks by service and machine; a count of 0: its program should be kept."""

    def __init__(self, kept: int) -> None:
        self._most, self._there = kept, {}

    def at(self, service: int) -> dict[Node, int]:
        return self._there.get(service, {})

    def add(self, service: int, n: Node) -> None:
        there = self._there.setdefault(service, {})
        there[n] = there.get(n, 0) + 1
        n.held += 1

    def end(self, service: int, n: Node, ran: bool) -> None:
        n.held -= 1
        self._there[service][n] -= 1
        if not self._there[service][n]:
            if ran:
                n.kept.pop(service, None)
                n.kept[service] = None
            elif service not in n.kept:
                self._drop(service, n)
            if len(n.kept) > self._most:
                self._drop(next(iter(n.kept)), n)

    def forget(self, n: Node) -> None:
        """The machine is gone or has started anew: it keeps no program."""
        for service in list(n.kept):
            self._drop(service, n)

    def _drop(self, service: int, n: Node) -> None:
        n.kept.pop(service, None)
        if self._there[service].get(n) == 0:
            del self._there[service][n]
            if not self._there[service]:
                del self._there[service]


def shuffled(nodes: Iterable[Node], random: Random) -> Iterator[Node]:
    """The machines in random order, each worked out only when it is asked for."""
    rest = list(nodes)
    for left in range(len(rest), 0, -1):
        at = int(random.random() * left)
        yield rest[at]
        rest[at] = rest[left - 1]
