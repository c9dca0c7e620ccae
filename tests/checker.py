"""The five rules and the faults, worded from the wire page alone: judges a run of events and actions.

Shares no code with the policy. `Generated` makes legal event sequences to judge: whatever the policy sends
is answered in some legal way picked at random; it models no machine and measures nothing.
"""

from __future__ import annotations

import random

from weldhatch.scheduling.actions import Cancel, Fail, Offer, Probe, Reject, SetTimer, Subscribe
from weldhatch.scheduling.events import (
    AttemptEnded,
    MachinesChanged,
    Placed,
    ProbeAnswered,
    RequestAbandoned,
    RequestArrived,
    TaskAdopted,
    TimerFired,
)
from weldhatch.scheduling.types import Effect, ListForm, Machine, MachineState, Outcome, Scope

PROOFS = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}


class Broken(AssertionError):
    pass


class Checker:
    def __init__(self, settings):
        self.s = settings
        self.machines, self.told_leaving, self.offers_to = {}, {}, {}
        self.requests, self.attempts, self.held = {}, {}, {}

    def event(self, now, e):
        if isinstance(e, MachinesChanged) and e.form is not ListForm.FAILED:
            named = {m.id for m in e.machines}
            if e.form is not ListForm.DELTA:
                for old in self.machines.keys() - named:
                    self.told_leaving.setdefault(old, now)
            for m in e.machines:
                self.machines[m.id] = m
                if m.state == MachineState.READY:
                    self.told_leaving.pop(m.id, None)
                else:
                    self.told_leaving.setdefault(m.id, now)
        elif isinstance(e, RequestArrived):
            self.requests[e.request] = {"e": e, "answers": 0, "over": False, "placed": False}
        elif isinstance(e, TaskAdopted):
            self.requests[e.request] = {"e": e, "answers": 1, "over": False, "placed": True}
            self.held[e.request, 0] = (e.service, e.machine)
            self.attempts[e.request] = [(e.machine, now, None)]
        elif isinstance(e, Placed):
            r = self.requests[e.request]
            r["answers"] += 1
            r["placed"] = True
        elif isinstance(e, AttemptEnded):
            machine, at, _ = self.attempts[e.request][e.attempt]
            self.attempts[e.request][e.attempt] = (machine, at, e.outcome)
            self.held.pop((e.request, e.attempt), None)
            if e.closed:
                r = self.requests[e.request]
                r["answers"] += not r["placed"] and not r["over"]
                r["over"] = True
        elif isinstance(e, RequestAbandoned):
            self.requests[e.request]["over"] = True

    def actions(self, now, actions):
        for a in actions:
            if isinstance(a, Offer):
                self.offer(now, a)
            elif isinstance(a, Reject | Fail):
                self.final(a)
            elif isinstance(a, Cancel):
                self.need(self.s.may_cancel, "cancel where it is not allowed")
                self.need(a.attempt < len(self.attempts.get(a.request, ())), "cancel of no attempt")
            elif isinstance(a, Probe):
                self.need(self.s.may_probe, "probe where it is not allowed")
                self.need(a.machine in self.machines, "probe of a machine never listed")

    @staticmethod
    def need(ok, what):
        if not ok:
            raise Broken(what)

    def maybe(self, request):
        return [x for x in self.attempts.get(request, ()) if x[2] not in PROOFS]

    def offer(self, now, a):
        r = self.requests[a.request]
        cls, tries = self.s.classes[r["e"].class_index], self.attempts.setdefault(a.request, [])
        self.need(not r["over"] and not r["placed"] and not r["answers"], "rule 1: an offer after the end")
        self.need(len(tries) < self.s.max_attempts, "more attempts than allowed")
        self.need(all(x[2] is not None for x in tries), "rule 2: two attempts out")
        maybe = self.maybe(a.request)
        if maybe and cls.effect is Effect.UNSAFE:
            raise Broken("rule 2: an unsafe request that may have run is sent again")
        if maybe and cls.effect is Effect.KEYED:
            first, new = self.machines[maybe[0][0]], self.machines[a.machine]
            same = {
                Scope.ALL: True,
                Scope.ZONE: first.zone == new.zone,
                Scope.CELL: first.cell == new.cell,
            }[cls.group]
            self.need(same, "rule 2: a keyed request leaves its group")
            self.need(now <= maybe[0][1] + cls.window_us, "rule 2: a keyed request after its window")
        self.need(a.machine in self.machines, "an offer to a machine never listed")
        leaving = self.told_leaving.get(a.machine)
        self.need(leaving is None or now <= leaving + self.s.drain_grace_us, "rule 3: an offer to a drain")
        born = self.machines[a.machine].born_us
        sent = self.offers_to.setdefault(a.machine, [])
        sent.append(now)
        if born and now < born + self.s.warm_up_us:
            recent = sum(1 for at in sent if at > now - self.s.fall_us)
            share = self.s.warm_up_offers / self.s.group_size
            if share < 1 and self.s.warm_up_offers >= 2:
                share = 1  # by turns: the sum over all instances has a test of its own
            self.need(recent <= share, "rule 4: a cold machine pushed over")
        tries.append((a.machine, now, None))
        self.held[a.request, len(tries) - 1] = (r["e"].service, a.machine)
        if cls.spread_over is not Scope.NONE:
            here = self.machines[a.machine]
            there = [
                m
                for service, m in self.held.values()
                if service == r["e"].service
                and (
                    m == a.machine
                    or (
                        m in self.machines
                        and (
                            (cls.spread_over is Scope.CELL and self.machines[m].cell == here.cell)
                            or (cls.spread_over is Scope.ZONE and self.machines[m].zone == here.zone)
                        )
                    )
                )
            ]
            self.need(len(there) <= cls.spread_most, "rule 5: spread not kept")

    def final(self, a):
        r = self.requests[a.request]
        self.need(not r["over"] and not r["answers"], "rule 1: two final answers")
        r["answers"], r["over"] = 1, True
        cls = self.s.classes[r["e"].class_index]
        if isinstance(a, Reject) and self.maybe(a.request):
            ok = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Scope.ALL)
            self.need(ok, "rule 2: a refusal where trying again can harm")

    def overdue(self, now):
        for r in self.requests.values():
            if not r["over"] and not r["answers"] and now > r["e"].deadline_us + self.s.answer_slack_us:
                raise Broken("rule 1: no answer in time")


class Generated:
    """A legal sequence of events around one policy; every choice comes from one seed."""

    def __init__(self, policy, settings, seed, zones=2, count=7):
        self.p, self.s, self.random, self.check = policy, settings, random.Random(seed), Checker(settings)
        self.now, self.due, self.serial, self.ids = 50_000_000, [], 0, 0
        self.fleet = {n: Machine(n, n % zones, n % len(settings.kinds), n // 3) for n in range(1, count + 1)}
        self.alive, self.trace = {}, []

    def at(self, wait, event):
        self.serial += 1
        self.due.append((self.now + max(1, int(wait)), self.serial, event))

    def room(self, m):
        return Machine(
            m.id,
            m.zone,
            m.kind,
            m.cell,
            m.state,
            m.born_us,
            *(
                (self.random.uniform(-9, 30), self.random.uniform(-9, 60))
                if self.s.lists_free
                else (None, None)
            ),
        )

    def run(self, steps):
        self.play(MachinesChanged(ListForm.CACHED, tuple(self.room(m) for m in self.fleet.values())))
        for _ in range(steps):
            self.disturb()
            self.until(self.now + self.random.choice((2000, 30_000, 300_000)))
        self.until(self.now + 15_000_000)
        self.check.overdue(self.now)
        return self.trace

    def until(self, end):
        while True:
            first = min((d for d in self.due if d[0] <= end), default=None)
            if first is None:
                self.now = max(self.now, end)
                return
            self.due.remove(first)
            self.now = max(self.now, first[0])
            if self.legal(first[2]):
                self.play(first[2])

    def legal(self, e):
        if isinstance(e, Placed):
            return (
                self.alive.get((e.request, e.attempt)) == "open"
                and not self.check.requests[e.request]["over"]
            )
        if isinstance(e, AttemptEnded):
            return (e.request, e.attempt) in self.alive
        if isinstance(e, RequestAbandoned):
            return not self.check.requests[e.request]["over"]
        return True

    def play(self, e):
        if isinstance(e, Placed):
            self.alive[e.request, e.attempt] = "placed"
        elif isinstance(e, AttemptEnded):
            placed = self.alive.pop((e.request, e.attempt)) == "placed"
            over = placed or self.check.requests[e.request]["over"] or (e.outcome is Outcome.OK)
            outcome = Outcome.RESET if placed and e.outcome in PROOFS else e.outcome
            e = AttemptEnded(e.request, e.attempt, e.machine, outcome, e.took_us, e.reason, over, e.report)
        self.check.event(self.now, e)
        actions = self.p.handle(self.now, [e])
        self.trace += actions
        self.check.actions(self.now, actions)
        self.check.overdue(self.now)
        for a in actions:
            self.answer(a)

    def report(self):
        return (
            tuple(self.random.uniform(-5, 40) for _ in self.s.report_fields)
            if self.random.random() < 0.9
            else ()
        )

    def answer(self, a):
        r, rnd = self.random.random(), self.random
        if isinstance(a, SetTimer):
            self.at(a.after_us, TimerFired(a.timer))
        elif isinstance(a, Probe):
            outcome = rnd.choice((Outcome.OK,) * 5 + (Outcome.TIMEOUT, Outcome.FULL))
            self.at(
                rnd.uniform(300, 300_000),
                ProbeAnswered(a.machine, outcome, 500, self.report() if outcome is Outcome.OK else ()),
            )
        elif isinstance(a, Subscribe):
            form = ListForm.FAILED if r < 0.3 else ListForm.DELTA
            self.at(rnd.uniform(1000, 500_000), MachinesChanged(form))
        elif isinstance(a, Offer):
            attempt = len(self.check.attempts[a.request]) - 1
            self.alive[a.request, attempt] = "open"
            deadline = self.check.requests[a.request]["e"].deadline_us - self.now
            wait = rnd.uniform(1000, 3_000_000)
            if r < 0.45:
                self.at(wait, Placed(a.request, attempt, a.machine, int(wait)))
                self.at(
                    wait + rnd.uniform(1000, 8_000_000),
                    AttemptEnded(
                        a.request,
                        attempt,
                        a.machine,
                        rnd.choice((Outcome.OK, Outcome.RESET)),
                        0,
                        rnd.choice((0, 5, 6, 7)),
                    ),
                )
            elif r < 0.9:
                outcome = rnd.choice(
                    (
                        Outcome.ERROR,
                        Outcome.FULL,
                        Outcome.FULL,
                        Outcome.CONNECT_FAILED,
                        Outcome.RESET,
                        Outcome.NOT_SENT,
                    )
                )
                self.at(wait / 6, AttemptEnded(a.request, attempt, a.machine, outcome, 0, rnd.randrange(5)))
            self.at(deadline, AttemptEnded(a.request, attempt, a.machine, Outcome.TIMEOUT))
        elif isinstance(a, Cancel):
            machine = self.check.attempts[a.request][a.attempt][0]
            self.at(1000, AttemptEnded(a.request, a.attempt, machine, Outcome.CANCELLED))

    def disturb(self):
        rnd = self.random
        r = rnd.random()
        if r < 0.6:
            for _ in range(rnd.choice((1, 1, 5))):
                self.ids += 1
                index = rnd.randrange(len(self.s.classes))
                self.play(
                    RequestArrived(
                        self.ids,
                        index,
                        self.now + self.s.classes[index].deadline_us,
                        rnd.randrange(3) * 10 + index,
                        rnd.choice((0.5, 2.0, 8.0)),
                        rnd.choice((1.0, 4.0, 20.0)),
                        self.ids,
                        0,
                        None,
                    )
                )
        elif r < 0.7:
            self.ids += 1
            index, machine = rnd.randrange(len(self.s.classes)), rnd.choice(sorted(self.fleet))
            self.alive[self.ids, 0] = "placed"
            self.play(TaskAdopted(self.ids, index, rnd.randrange(3) * 10 + index, 1.0, 1.0, machine))
            self.at(rnd.uniform(1000, 9_000_000), AttemptEnded(self.ids, 0, machine, Outcome.OK))
        elif r < 0.75 and self.ids:
            gone = RequestAbandoned(rnd.randint(1, self.ids))
            if self.legal(gone):
                self.play(gone)
        else:
            m = rnd.choice(list(self.fleet.values()))
            state = rnd.choice(list(MachineState))
            born = (
                self.now if state is MachineState.READY and m.state is not MachineState.READY else m.born_us
            )
            self.fleet[m.id] = Machine(m.id, m.zone, m.kind, m.cell, state, born)
            if rnd.random() < 0.7:
                self.play(MachinesChanged(ListForm.DELTA, (self.room(self.fleet[m.id]),)))
            else:
                self.play(
                    MachinesChanged(
                        ListForm.FULL,
                        tuple(
                            self.room(x) for x in self.fleet.values() if x.state is not MachineState.REMOVED
                        ),
                    )
                )
