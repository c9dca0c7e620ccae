"""The decisions of weldhatch. Types: `scheduling/types.py`; records: `scheduling/cluster_state.py`.

Every request takes one path (Xie, Dong, Lu, Srikant, SIGMETRICS 2015): filter the eligible machines, draw a
few uniformly, probe each, bind to the one with the most free memory, ties split at random. The exceptions
narrow what is drawn from (`_eligible`, `_fits`, `_tier`) or follow a block; docs/design.md says when.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import replace
from itertools import islice

from weldhatch.scheduling.actions import Action, Cancel, Fail, Log, Offer, Probe, Reject, SetTimer, Subscribe
from weldhatch.scheduling.cluster_state import Holdings, Node, Request, shuffled
from weldhatch.scheduling.events import (
    AttemptEnded,
    Event,
    MachinesChanged,
    Note,
    Placed,
    ProbeAnswered,
    RequestAbandoned,
    RequestArrived,
    TaskAdopted,
    TimerFired,
)
from weldhatch.scheduling.types import (
    Effect,
    ListForm,
    Machine,
    MachineState,
    Outcome,
    Reason,
    Scope,
    Settings,
    Topic,
)

DRAWN = 2  # machines drawn for a request: the paper's d
PATIENCE = 0.1  # the part of the aim that probes are waited for; then the ledger decides
HOLD_US, HOLD_MOST_US = 40_000, 320_000  # a blocked request's first wait; it doubles up to the second
EARLY_US = 12_000  # final answers leave this long and two ticks before the deadline
STALE_US = 1_500_000  # an older report excludes nothing: else a machine once full is never probed again
MANY = 8  # allocators from which on each sees too few of a service's tasks to know where its program is,
HEARD_US = 4_000_000  # and does not probe machines that told room so lately: all their probes are priced
LIST_LAG_US, REPORT_LAG_US = 2_500_000, 400_000  # lists and reports tell the room of about this long ago
LINE = 12.0  # own open offers that a machine may have, until its refusals and starts teach better
LINE_CUT = 0.8  # what a refusal for a full line leaves of that; each start at the limit adds a little
LOW_SHARE = 0.7  # the part of it that classes below the highest priority may fill
RESERVE = 0.08  # the part of a machine's room that the least worthy class leaves to the others
# The lowest tiers of a service's first home, of its others, and of other machines without its program.
FIRST, HOME, ABSENT = 2, 4, 8
HOMES = 2  # machines that every allocator favours for a service, so that its program is there for all
COLD_OPEN = 2  # open offers of ours that a machine just back may have
KEPT = 4  # programs that a machine is thought to keep after our last task of theirs
SUSPECT_US, SUSPECT_MOST_US = 5_000_000, 40_000_000  # a failed start has its machine drawn last; doubles
ROOMY = 0.7  # under this part of the cores that a class is served in full up to, any machine is a home
STARTING = 2  # but not while so many of our tasks there have not started: without its program they wait
ANY = -1  # a suspect for any class
FAULTS = 2  # errors and broken answers, with none placed in between, that make a machine a suspect
FAULT_US = 200_000  # what fails within so long is one fault: a connection takes all that is out on it along
ERRORS_MOST = 2  # machines that answer a request with an error: it is the request, not they
REFUSED_TWICE = 2  # refusals of a request for want of room: one may be bad luck
REFUSED_US = 1_000_000  # a refusal for want of room speaks for this long
LEAVING_US = 6_000_000  # a machine that sends tasks away or takes none counts as draining for this long
OVERDUE_US = 1_000_000  # an offer open for this long, or the aim, has its machine probed
RECHECK_US, RECHECK_MOST_US = 400_000, 3_200_000  # a silent machine may be drawn again; doubles. A list too
SERVED, TIGHT = 0.9, 0.92  # a task served less, or memory fuller, than this: the machine is crowded
USE = 0.7  # the part of what tasks ask that they use, until notes tell
MASK = (1 << 64) - 1  # ranks are hashed in 64 bits
RANKED, SERVICES = 16, 1024  # the first machines by rank kept for a service, and for how many services
PROOF = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # outcomes that prove that nothing ran


class Policy:
    """Decides for one allocator. Feed it events in order; carry out the actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._random = random.Random(seed)
        self._now, self._out, self._failures, self._began = 0, [], 0, 0
        self._nodes: dict[int, Node] = {}
        self._requests: dict[int, Request] = {}
        self._held = Holdings(KEPT)
        self._timers: dict[int, tuple] = {}
        self._ranks: dict[int, tuple[int, list[Node]]] = {}  # service: list version, first machines by rank
        self._last_timer = self._listed = 0  # the list's version here
        self._use = {topic: [USE, 1.0] for topic in (Topic.CORES_USED, Topic.MEMORY_USED)}  # used and asked
        self._on = {
            MachinesChanged: self._machines_changed,
            RequestArrived: self._arrived,
            Note: self._note,
            TaskAdopted: self._adopted,
            Placed: self._was_placed,
            AttemptEnded: self._ended,
            RequestAbandoned: self._gone,
            ProbeAnswered: self._probed,
            TimerFired: self._timer_fired,
        }
        self.settle(settings)

    def settle(self, settings: Settings) -> None:
        """Decide by these settings from now on, also on requests under way; classes keep their places."""
        self._s = settings
        for r in self._requests.values():
            r.cls = settings.classes[r.kind]
        self._ranks.clear()
        self._early = EARLY_US + 2 * settings.tick_us
        self._span = settings.fall_us + 2 * self._early  # offers of one turn may arrive that much apart
        self._cold_share, self._turns = int(settings.warm_up_offers / max(1, settings.group_size)), 1
        if not self._cold_share and settings.warm_up_offers >= 2:  # more allocators than offers: by turns
            self._cold_share, self._turns = 1, -(-settings.group_size // int(settings.warm_up_offers // 2))
        for n in self._nodes.values():
            n.keep_sends(max(1, self._cold_share))
        self._many = settings.group_size >= MANY
        # By how much a crowded machine is drawn later; with many allocators, before a cold start elsewhere.
        self._crowd = 16 if settings.by_service else 3 if self._many else 6
        self._top = max(c.priority for c in settings.classes)
        worths = {c.priority_weight for c in settings.classes}
        self._cheapest = min(worths) if len(worths) > 1 else None

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one instant; return the actions to carry out at once, in order."""
        self._now, self._out = max(now, self._now), []  # a clock that goes backwards stands still
        self._began = self._began or self._now
        for event in events:
            self._on[type(event)](event)
        return self._out

    def _after(self, wait: float, call, *args) -> None:
        self._last_timer = (self._last_timer + 1) & 0xFFFFFFFF
        self._timers[self._last_timer] = (call, args)
        self._out.append(SetTimer(max(0, min(int(wait), 4_200_000_000)), self._last_timer))

    def _timer_fired(self, e: TimerFired) -> None:
        if e.timer in self._timers:
            call, args = self._timers.pop(e.timer)
            call(*args)

    def _jitter(self, wait: float) -> float:
        return wait * (0.5 + self._random.random())

    # ---- the view of machines ---------------------------------------------------------------------------

    def _uses(self) -> tuple[float, float]:  # the shares that tasks use of what they ask, as far as told
        return tuple(used / asked for used, asked in self._use.values())

    def _free_memory(self, n: Node) -> float:
        """What machines are ranked by: the memory that reports count, else the one nobody asked for."""
        if n.used.heard >= 0:
            return n.used.left(n, *self._uses())[1]
        if n.asked.heard >= 0:
            return n.asked.left(n, 1.0, 1.0)[1]
        heard = [o for o in self._nodes.values() if max(o.used.heard, o.asked.heard) >= 0]
        average = sum(self._free_memory(o) / o.memory for o in heard) / len(heard) if heard else 1.0
        return n.memory * average - n.offered[1] - n.running[1]

    def _fits(self, r: Request, n: Node) -> bool:
        """Whether the machine should take the request: its line, its last refusal, the room asked there."""
        if len(n.offers) >= n.line * (1.0 if r.cls.priority >= self._top else LOW_SHARE):
            return False
        if self._now < n.refused[0] and r.cores >= n.refused[1] and r.memory >= n.refused[2]:
            return False
        cores, memory = n.cores - n.running[0] - n.offered[0], n.memory - n.running[1] - n.offered[1]
        if self._now - n.asked.heard <= STALE_US:  # a guess from use held too much back
            cores, memory = n.asked.left(n, 1.0, 1.0)
        return self._holds(r, n, cores, memory)

    def _holds(self, r: Request, n: Node, cores: float, memory: float) -> bool:
        part = 1 - RESERVE if r.cls.priority_weight == self._cheapest else 1.0
        return (
            cores + (part * self._s.cores_booking - 1) * n.cores >= r.cores
            and memory + (part * self._s.memory_booking - 1) * n.memory >= r.memory
        )

    def _heard(self, r: Request, n: Node) -> bool:
        """Whether the machine told lately what a probe would: one that told no room is asked sooner."""
        age = self._now - self._room(n).heard
        return age <= STALE_US or (
            self._many and age <= HEARD_US and self._holds(r, n, *self._room(n).left(n, 1.0, 1.0))
        )

    def _crowded(self, r: Request, n: Node) -> bool:
        """Whether the class would be served less than in full there, its own cores counted in."""
        busy, full = self._load(r, n)
        return self._now < n.poor or (busy > r.cls.calm and busy > full)

    def _load(self, r: Request, n: Node) -> tuple[float, float]:
        """The parts of its cores and memory that would be in use with the request, where told lately.

        Where cores in use are not told, they are what its tasks ask, as far as such tasks use that. Where
        memory is the scarcer, crowded cores are let be: what is ranked by it must not be outdone.
        """
        use, use_memory = self._uses()
        busy = full = 0.0
        if self._now - n.asked.heard <= STALE_US:
            cores, memory = n.asked.left(n, 1.0, 1.0)
            busy, full = (n.cores - cores) * use / n.cores, (n.memory - memory) * use_memory / n.memory
        if self._now - n.util_at <= STALE_US:
            busy = n.util + (n.running[0] + n.offered[0] - n.util_own) * use / n.cores
        return busy + r.cores * use / n.cores, full + r.memory * use_memory / n.memory

    def _tier(self, r: Request, n: Node) -> int:
        """The lower, the sooner drawn: suspects last, then crowded machines and those without the program.

        Where the whole service is ours, following its program piles it up, so calm goes first; where several
        allocators share it, the homes spread services evenly, and the program goes first; but a roomy
        machine goes before a crowded one that has it. Guards against new machines that stay empty.
        """
        roomy = 0 < max(self._load(r, n)) < ROOMY * r.cls.calm and len(n.starting) < STARTING
        absent = n not in self._held.at(r.service)
        suspect = any(self._now < n.suspects.get(kind, (0, 0))[0] for kind in (ANY, r.kind))
        first = self._many and r.homes[:1] == [n]  # else a service starts cold at each home
        return (
            64 * (n in r.errors)
            + 32 * suspect
            + self._crowd * self._crowded(r, n)
            + (0 if not absent else FIRST if first else HOME if roomy or n in r.homes else ABSENT)
            + (self._s.prices.cross_zone > 0 and n.entry.zone != self._s.zone)
        )

    # ---- the ordinary path ------------------------------------------------------------------------------

    def _arrived(self, e: RequestArrived) -> None:
        if e.request not in self._requests:
            r = self._requests[e.request] = Request(e, self._s, e.deadline_us)
            self._after(r.deadline - self._now - self._early, self._answer, r)
            self._draw(r, r.turn)

    def _legal(self, r: Request, n: Node) -> bool:
        """The five rules, for one more attempt of this request on this machine now."""
        s, cls, entry, now = self._s, r.cls, n.entry, self._now
        if (
            r.answered
            or r.open is not None
            or len(r.sent) >= s.max_attempts
            or now >= r.deadline - self._early
            or entry.state != MachineState.READY
            or (cls.kind >= 0 and entry.kind != cls.kind)
            or (r.only is not None and entry.id not in r.only)
            or (r.maybe is not None and not self._may_repeat(r, entry))
        ):
            return False
        if entry.born_us and now < entry.born_us + s.warm_up_us and not self._cold_turn(n):
            return False
        return cls.spread_over is Scope.NONE or cls.spread_most > sum(
            count
            for o, count in self._held.at(r.service).items()
            if _together(cls.spread_over, o.entry, entry)
        )

    def _cold_turn(self, n: Node) -> bool:
        """Whether a machine that started lately may have one more offer of ours.

        Allocators that outnumber the told offers take turns, which all work out alike from its start. A
        window meets two turns: half the offers each. Harm: it could often take more than that.
        """
        turn = (self._now - n.entry.born_us) // self._span + n.entry.id
        spent = len(n.sends) == n.sends.maxlen and self._now - n.sends[0] <= self._span
        former = n.entry.born_us < self._began and self._now - self._began <= self._span  # that life sent
        return (
            not spent
            and not former
            and self._cold_share > 0
            and len(n.offers) < COLD_OPEN
            and turn % self._turns == self._s.me % self._turns
        )

    def _may_repeat(self, r: Request, entry: Machine) -> bool:
        """A request that may have run goes out again only as far as its class allows."""
        first, since = r.maybe
        return r.cls.effect is Effect.SAFE or (
            r.cls.effect is Effect.KEYED
            and self._now < since + r.cls.window_us - self._early
            and _together(r.cls.group, first, entry)
        )

    def _eligible(self, r: Request, n: Node, probed: bool) -> bool:
        return (
            (not n.silent or (self._now >= n.recheck and not probed))
            and self._now >= n.leaving
            and self._legal(r, n)
            and self._fits(r, n)
        )

    def _blind(self) -> bool:  # where all machines are silent or leave, none is left out for that
        return all(
            n.silent or self._now < n.leaving or n.entry.state == MachineState.REMOVED
            for n in self._nodes.values()
        )

    def _draw(self, r: Request, turn: int) -> None:
        """Draw from the lowest tier, looking at no more of the fleet, in random order, than that takes."""
        if r.answered or r.open is not None or turn != r.turn:
            return
        first = dict.fromkeys(self._held.at(r.service))  # machines with the program, then the homes
        if not self._s.by_service:  # else no other allocator has tasks of the service
            r.homes = self._homes(r)
            first |= dict.fromkeys(r.homes)
        found = [n for n in first if self._eligible(r, n, False)]
        good = sum(self._tier(r, n) <= HOME for n in found)
        for n in shuffled(self._nodes.values(), self._random):
            if good >= DRAWN:  # no other machine is of a lower tier
                break
            if n not in first and self._eligible(r, n, False):
                found.append(n)
                good += self._tier(r, n) <= HOME
        if not found and self._blind():
            found = [n for n in self._nodes.values() if self._legal(r, n)]
        self._random.shuffle(found)
        drawn = sorted(found, key=lambda n: self._tier(r, n))[:DRAWN]
        r.drawn, r.waiting, r.turn = [n.entry.id for n in drawn], set(), r.turn + 1
        r.hoped = max((self._tier(r, n) for n in drawn), default=0)
        if not drawn:
            self._blocked(r)
            return
        probed = self._s.may_probe and self._s.report_fields
        unheard = [n for n in drawn if probed and not self._heard(r, n)]
        r.waiting = {n.entry.id for n in unheard}
        for n in unheard:
            n.waiters[r.id] = None
            self._probe(n)
        if unheard:
            self._after(PATIENCE * r.cls.latency_objective_us, self._choose, r, r.turn)
        else:
            self._choose(r, r.turn)

    def _homes(self, r: Request) -> list[Node]:
        """The first HOMES eligible machines in the service's rendezvous order, as a full sort would give.

        Guards the cost per request: only the first RANKED by rank are worked out once a list version, and
        the whole fleet is sorted only where too few of those are eligible.
        """

        def eligible(ranked: list[Node]) -> list[Node]:
            return list(islice((n for n in ranked if self._eligible(r, n, False)), HOMES))

        listed, first = self._ranks.pop(r.service, (-1, []))
        if listed != self._listed:
            first = heapq.nsmallest(RANKED, self._nodes.values(), key=lambda n: _rank(r.service, n.entry.id))
        self._ranks[r.service] = (self._listed, first)
        if len(self._ranks) > SERVICES:  # the least lately drawn service is forgotten
            del self._ranks[next(iter(self._ranks))]
        homes = eligible(first)
        if len(homes) < HOMES and len(first) < len(self._nodes):
            homes = eligible(sorted(self._nodes.values(), key=lambda n: _rank(r.service, n.entry.id)))
        return homes

    def _choose(self, r: Request, turn: int) -> None:
        if turn != r.turn or r.answered or r.open is not None:
            return
        r.turn += 1
        nodes = [self._nodes[machine] for machine in r.drawn if machine in self._nodes]
        ready = [
            n
            for n in nodes
            if self._eligible(r, n, self._s.may_probe) or (self._blind() and self._legal(r, n))
        ]
        self._random.shuffle(ready)
        best = min(
            ready,
            default=None,
            key=lambda n: (self._tier(r, n), n.entry.id in r.waiting, -self._free_memory(n)),
        )
        if best is not None and not r.redrawn and self._tier(r, best) > max(r.hoped, HOME):
            r.redrawn = True  # probes told worse than the draw knew: it stopped looking too soon
            self._draw(r, r.turn)
        elif best is None or not self._offer(r, best):
            self._blocked(r)

    def _offer(self, r: Request, n: Node) -> bool:
        """The one gate of offers: nothing is sent that the rules do not allow at this moment."""
        if not self._legal(r, n):
            return False
        r.open = len(r.sent)
        r.sent.append((n.entry, self._now))
        n.offer(r, self._now)
        self._held.add(r.service, n)
        self._out.append(Offer(r.id, n.entry.id, 0, self._start_by(r, n)))
        if self._s.may_probe:
            self._after(max(r.cls.latency_objective_us, OVERDUE_US), self._overdue, n, r.id, r.open)
        return True

    def _start_by(self, r: Request, n: Node) -> int:
        """Until when an offer may leave that waits for its connection; 0 where the rules set no time."""
        limits = [self._now + 2 * self._early] if self._now < n.entry.born_us + self._s.warm_up_us else []
        if r.maybe is not None and r.cls.effect is Effect.KEYED:
            limits.append(r.maybe[1] + r.cls.window_us - self._early)
        return min(limits, default=0)

    # ---- what follows a block ---------------------------------------------------------------------------

    def _blocked(self, r: Request) -> None:
        """No fitting candidate, or a refusal: wait here with jitter and draw again, while that can help."""
        if (
            self._now >= r.deadline - self._early
            or len(r.sent) >= self._s.max_attempts
            or (r.maybe is not None and not any(self._may_repeat(r, n.entry) for n in self._nodes.values()))
        ):
            self._answer(r)
            return
        r.turn += 1
        wait = min(HOLD_US << min(r.holds, 8), HOLD_MOST_US)
        if r.refused >= (
            1 if r.cls.priority_weight == self._cheapest else REFUSED_TWICE
        ):  # little room anywhere
            wait = max(wait, (r.deadline - self._now) // (self._s.max_attempts - len(r.sent) + 1))
        self._after(self._jitter(wait), self._draw, r, r.turn)
        r.holds += 1

    def _answer(self, r: Request) -> None:
        """The one gate of final answers: once each, a refusal only where trying again is harmless."""
        if not r.answered and r.open is None:
            harmless = (
                r.maybe is None
                or r.cls.effect is Effect.SAFE
                or (r.cls.effect is Effect.KEYED and r.cls.group is Scope.ALL)
            )
            wait = min(REFUSED_US, self._s.max_retry_after_us) if self._s.retry_after else 0
            self._out.append(Reject(r.id, wait) if harmless else Fail(r.id))
            self._forget(r)

    def _gone(self, e: RequestAbandoned) -> None:
        if r := self._requests.get(e.request):
            self._forget(r)

    def _forget(self, r: Request) -> None:
        r.answered = True
        if r.open is None and r.placed is None:
            self._requests.pop(r.id, None)

    # ---- outcomes ---------------------------------------------------------------------------------------

    def _adopted(self, e: TaskAdopted) -> None:
        if e.request not in self._requests:
            r = self._requests[e.request] = Request(e, self._s, self._now)
            n = self._nodes.get(e.machine)
            if n is None:  # not listed yet: it counts in every place, and nothing is sent to it
                n = self._new_node(Machine(e.machine, -1, -1, -1, MachineState.REMOVED))
            r.sent, r.placed, r.answered = [(n.entry, self._now)], 0, True
            self._held.add(r.service, n)
            n.run(r, 1, self._now, LIST_LAG_US)

    def _was_placed(self, e: Placed) -> None:
        r, n = self._requests.get(e.request), self._nodes.get(e.machine)
        if r is not None and n is not None and r.open == e.attempt:
            r.open, r.placed, r.answered = None, e.attempt, True
            if len(n.offers) >= n.line - 1:
                n.line += 1 / n.line
            n.no_offer(r)
            n.run(r, 1, self._now, LIST_LAG_US)
            n.silent, n.faults = False, 0
            for failed in r.errors:  # another machine can use it: it was not the request
                if failed is not n:
                    self._suspect(failed, ANY)
            if not self._s.confirms_running:
                n.starting.add(r.id)

    def _ended(self, e: AttemptEnded) -> None:
        r, n = self._requests.get(e.request), self._nodes.get(e.machine)
        if r is None or n is None or e.attempt not in (r.open, r.placed):
            return
        self._hear(n, e.report)
        if e.reason in (Reason.DRAINED, Reason.NOT_ACCEPTING) and self._now >= n.leaving:
            n.leaving = self._now + LEAVING_US
            self._out.append(Log(f"machine {n.entry.id} sends tasks away: taken for draining"))
        if e.attempt == r.placed:
            r.placed = None
            n.starting.discard(r.id)
            n.run(r, -1, self._now, LIST_LAG_US)
        else:
            self._judge(r, n, e)
            r.open = None
            n.no_offer(r)
            r.maybe = r.maybe or (None if e.outcome in PROOF else r.sent[e.attempt])
        self._held.end(r.service, n, ran=e.outcome not in PROOF)
        if e.outcome is Outcome.ERROR and n not in r.errors:
            r.errors.append(n)
        if e.closed or r.answered:
            self._forget(r)
        elif len(r.errors) >= ERRORS_MOST:
            r.errors[0].faults = max(0, r.errors[0].faults - 1)
            self._answer(r)
        elif e.outcome is Outcome.FULL or self._now >= r.deadline - self._early:
            self._blocked(r)
        else:
            self._draw(r, r.turn)

    def _note(self, e: Note) -> None:
        r, n, sums = self._requests.get(e.request), self._nodes.get(e.machine), self._use.get(e.topic)
        poor = e.value < SERVED if e.topic == Topic.SERVED_SHARE else e.value > TIGHT
        if n is not None and e.topic == Topic.RUNS:
            n.starting.discard(e.request)
        if n is not None and poor and e.topic in (Topic.SERVED_SHARE, Topic.MACHINE_MEMORY):
            n.poor = self._now + STALE_US
        if r is not None and sums is not None:
            sums[0] = sums[0] * 0.999 + e.value
            sums[1] = sums[1] * 0.999 + (r.cores if e.topic == Topic.CORES_USED else r.memory)

    # ---- health -----------------------------------------------------------------------------------------

    def _judge(self, r: Request, n: Node, e: AttemptEnded) -> None:
        """What the end of an offer that was not placed tells of its machine."""
        untold = e.outcome is Outcome.FULL and e.reason == Reason.UNSPECIFIED
        # Guards against requests that no machine can use, and answers spoilt on their way: one tells of
        # itself, not of the machine.
        fault = (
            e.outcome in (Outcome.ERROR, Outcome.RESET) and not r.errors and self._now - n.fault_at > FAULT_US
        )
        if fault:
            n.faults, n.fault_at = n.faults + 1, self._now
        if untold or (fault and n.faults >= FAULTS):
            kind = r.kind if untold else ANY  # full without want of room may be meant for the class alone
            self._suspect(n, kind)
        elif e.outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            self._no_sign(n)
        elif e.outcome is Outcome.FULL and e.reason == Reason.QUEUE_FULL:
            n.line = max(2.0, min(n.line, len(n.offers)) * LINE_CUT)
            n.refused = (self._now + HOLD_MOST_US, 0.0, 0.0)
        elif e.outcome is Outcome.FULL and not untold:
            r.refused += 1
            n.refused = (
                self._now + REFUSED_US,
                r.cores if e.reason == Reason.NO_CORES else 0.0,
                r.memory if e.reason == Reason.NO_MEMORY else 0.0,
            )

    def _suspect(self, n: Node, kind: int) -> None:
        until, wait = n.suspects.get(kind, (0, 0))
        wait = min(2 * wait, SUSPECT_MOST_US) if self._now < until + wait else SUSPECT_US
        n.suspects[kind] = (self._now + wait, wait)

    def _no_sign(self, n: Node) -> None:
        """Silent until a draw, after a wait that doubles, has its probe answered; no timers for it."""
        again, n.silent = n.silent, True
        n.wait = min(2 * n.wait, RECHECK_MOST_US) if again else RECHECK_US
        n.recheck = self._now + self._jitter(n.wait)
        if not again:
            self._out.append(Log(f"machine {n.entry.id} is silent"))
        for request, attempt in n.offers.items() if again and self._s.may_cancel else ():
            r = self._requests[request]
            if (
                r.cls.effect is not Effect.UNSAFE
                and not r.answered
                and attempt + 1 < self._s.max_attempts
                and self._now - r.sent[attempt][1] >= RECHECK_US
            ):
                self._out.append(Cancel(request, attempt))

    def _overdue(self, n: Node, request: int, attempt: int) -> None:
        if n.offers.get(request) == attempt:
            self._probe(n)
            self._after(OVERDUE_US, self._overdue, n, request, attempt)

    def _probe(self, n: Node) -> None:
        if not n.probes:  # one probe serves all that wait for it
            n.probes += 1
            self._out.append(Probe(n.entry.id))

    def _probed(self, e: ProbeAnswered) -> None:
        if (n := self._nodes.get(e.machine)) is None:
            return
        n.probes = max(0, n.probes - 1)
        if e.outcome is Outcome.OK:
            n.silent = False
            self._hear(n, e.report)
        elif e.outcome is Outcome.FULL:
            n.refused = (self._now + HOLD_MOST_US, 0.0, 0.0)  # its line is full
        else:
            self._no_sign(n)
        waiters, n.waiters = n.waiters, {}
        for r in [self._requests[request] for request in waiters if request in self._requests]:
            if e.machine in r.waiting:
                if e.outcome is Outcome.OK:
                    r.waiting.discard(e.machine)
                if not r.waiting or e.outcome is not Outcome.OK:
                    self._choose(r, r.turn)

    def _hear(self, n: Node, report: tuple[float, ...]) -> None:
        values = dict(zip(self._s.report_fields, report, strict=False))
        if "x0" in values and "x1" in values:
            self._room(n).hear(self._now, REPORT_LAG_US, values["x0"], values["x1"], n)
        if "cpu" in values:
            n.util, n.util_own, n.util_at = values["cpu"], n.running[0] + n.offered[0], self._now

    def _room(self, n: Node):  # what the machine's reports tell
        return n.asked if self._s.reports_asked else n.used

    # ---- discovery --------------------------------------------------------------------------------------

    def _machines_changed(self, e: MachinesChanged) -> None:
        if e.form is ListForm.FAILED:
            if self._s.subscribe:
                self._after(
                    self._jitter(RECHECK_US << min(self._failures, 4)), lambda: self._out.append(Subscribe())
                )
                self._failures += 1
            return
        if e.form is ListForm.CACHED and self._s.subscribe:
            self._out.append(Subscribe())
        self._failures = 0
        named = {entry.id for entry in e.machines}
        if e.form is not ListForm.DELTA:
            for machine, n in self._nodes.items():
                if machine not in named:
                    n.entry = replace(n.entry, state=MachineState.REMOVED)
        for entry in e.machines:
            n = self._nodes.get(entry.id) or self._new_node(entry)
            if entry.born_us != n.entry.born_us:
                self._held.forget(n)
                n.restart(LINE)
            n.entry = entry
            if entry.kind < len(self._s.kinds):
                kind = self._s.kinds[entry.kind]
                n.cores, n.memory = entry.cores or kind.cores, entry.memory or kind.memory
            late = self._s.reports_asked and self._now - n.asked.heard <= STALE_US  # a report tells better
            if entry.free_cores is not None and not late:
                n.asked.hear(self._now, LIST_LAG_US, entry.free_cores, entry.free_memory, n)
        for n in [
            n
            for n in self._nodes.values()
            if not n.held
            and n.entry.state == MachineState.REMOVED
            and self._now >= n.entry.born_us + self._s.warm_up_us
        ]:  # a cold one may be listed again
            self._held.forget(n)
            del self._nodes[n.entry.id]
            self._listed += 1

    def _new_node(self, entry: Machine) -> Node:
        self._listed += 1
        return self._nodes.setdefault(entry.id, Node(entry, LINE, max(1, self._cold_share)))


def _rank(service: int, machine: int) -> int:
    """Rendezvous hashing: the same order of machines for a service at every allocator, without any talk."""
    mixed = (service * 0x9E3779B97F4A7C15 ^ machine * 0xC2B2AE3D27D4EB4F) & MASK
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & MASK
    return mixed ^ mixed >> 32


def _together(scope: Scope, a: Machine, b: Machine) -> bool:
    """Whether two machines are in one such place; an unlisted one (-1) counts in every place."""
    return (
        scope is Scope.ALL
        or a.id == b.id
        or (scope is Scope.ZONE and (a.zone == b.zone or a.zone < 0))
        or (scope is Scope.CELL and (a.cell == b.cell or a.cell < 0))
    )
