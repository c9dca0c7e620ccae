"""Checks runs of events and actions against the five rules of the simulator protocol.

The checker is written from the protocol specification and shares no code with the policy. `GeneratedRun`
produces legal event sequences to check: each action of the policy gets a random legal answer. It models no
machines and measures nothing.
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

NOT_RUN_OUTCOMES = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}


class RuleViolation(AssertionError):
    pass


class Checker:
    """Tracks the events and actions of one policy and raises RuleViolation when an action breaks a rule."""

    def __init__(self, settings):
        self.settings = settings
        self.machines, self.leaving_since, self.offers_to = {}, {}, {}
        self.requests, self.attempts, self.held = {}, {}, {}

    def handle_event(self, now, event):
        if isinstance(event, MachinesChanged) and event.form is not ListForm.FAILED:
            listed_ids = {entry.id for entry in event.machines}
            if event.form is not ListForm.DELTA:
                for unlisted_id in self.machines.keys() - listed_ids:
                    self.leaving_since.setdefault(unlisted_id, now)
            for entry in event.machines:
                self.machines[entry.id] = entry
                if entry.state == MachineState.READY:
                    self.leaving_since.pop(entry.id, None)
                else:
                    self.leaving_since.setdefault(entry.id, now)
        elif isinstance(event, RequestArrived):
            self.requests[event.request] = {"arrival": event, "answers": 0, "over": False, "placed": False}
        elif isinstance(event, TaskAdopted):
            self.requests[event.request] = {"arrival": event, "answers": 1, "over": False, "placed": True}
            self.held[event.request, 0] = (event.service, event.machine)
            self.attempts[event.request] = [(event.machine, now, None)]
        elif isinstance(event, Placed):
            record = self.requests[event.request]
            record["answers"] += 1
            record["placed"] = True
        elif isinstance(event, AttemptEnded):
            machine, sent_at, _ = self.attempts[event.request][event.attempt]
            self.attempts[event.request][event.attempt] = (machine, sent_at, event.outcome)
            self.held.pop((event.request, event.attempt), None)
            if event.closed:
                record = self.requests[event.request]
                record["answers"] += not record["placed"] and not record["over"]
                record["over"] = True
        elif isinstance(event, RequestAbandoned):
            self.requests[event.request]["over"] = True

    def check_actions(self, now, actions):
        for action in actions:
            if isinstance(action, Offer):
                self.check_offer(now, action)
            elif isinstance(action, Reject | Fail):
                self.check_final_answer(action)
            elif isinstance(action, Cancel):
                self.require(self.settings.may_cancel, "cancel although cancelling is not allowed")
                self.require(
                    action.attempt < len(self.attempts.get(action.request, ())),
                    "cancel of an attempt that does not exist",
                )
            elif isinstance(action, Probe):
                self.require(self.settings.may_probe, "probe although probing is not allowed")
                self.require(action.machine in self.machines, "probe of a machine that was never listed")

    @staticmethod
    def require(condition, violation):
        if not condition:
            raise RuleViolation(violation)

    def attempts_that_may_have_run(self, request):
        return [attempt for attempt in self.attempts.get(request, ()) if attempt[2] not in NOT_RUN_OUTCOMES]

    def check_offer(self, now, action):
        record = self.requests[action.request]
        request_class, attempts = (
            self.settings.classes[record["arrival"].class_index],
            self.attempts.setdefault(action.request, []),
        )
        self.require(
            not record["over"] and not record["placed"] and not record["answers"],
            "rule 1: offer after the final answer or the end",
        )
        self.require(len(attempts) < self.settings.max_attempts, "more attempts than max_attempts")
        self.require(all(attempt[2] is not None for attempt in attempts), "rule 2: two open attempts")
        uncertain_attempts = self.attempts_that_may_have_run(action.request)
        if uncertain_attempts and request_class.effect is Effect.UNSAFE:
            raise RuleViolation("rule 2: repeated offer of an unsafe request that may have run")
        if uncertain_attempts and request_class.effect is Effect.KEYED:
            first_entry, new_entry = self.machines[uncertain_attempts[0][0]], self.machines[action.machine]
            in_same_group = {
                Scope.ALL: True,
                Scope.ZONE: first_entry.zone == new_entry.zone,
                Scope.CELL: first_entry.cell == new_entry.cell,
            }[request_class.group]
            self.require(in_same_group, "rule 2: repeated offer of a keyed request outside its group")
            self.require(
                now <= uncertain_attempts[0][1] + request_class.window_us,
                "rule 2: repeated offer of a keyed request after its window",
            )
        self.require(action.machine in self.machines, "offer to a machine that was never listed")
        leaving_at = self.leaving_since.get(action.machine)
        self.require(
            leaving_at is None or now <= leaving_at + self.settings.drain_grace_us,
            "rule 3: offer to a draining or removed machine",
        )
        started_at = self.machines[action.machine].born_us
        offer_times = self.offers_to.setdefault(action.machine, [])
        offer_times.append(now)
        if started_at and now < started_at + self.settings.warm_up_us:
            recent_offers = sum(1 for sent_at in offer_times if sent_at > now - self.settings.fall_us)
            share = self.settings.warm_up_offers / self.settings.group_size
            if share < 1 and self.settings.warm_up_offers >= 2:
                share = 1  # dispatchers take turns; another test checks the sum over all of them
            self.require(recent_offers <= share, "rule 4: too many offers to a machine that is warming up")
        attempts.append((action.machine, now, None))
        self.held[action.request, len(attempts) - 1] = (record["arrival"].service, action.machine)
        if request_class.spread_over is not Scope.NONE:
            target = self.machines[action.machine]
            tasks_in_scope = [
                other
                for service, other in self.held.values()
                if service == record["arrival"].service
                and (
                    other == action.machine
                    or (
                        other in self.machines
                        and (
                            (
                                request_class.spread_over is Scope.CELL
                                and self.machines[other].cell == target.cell
                            )
                            or (
                                request_class.spread_over is Scope.ZONE
                                and self.machines[other].zone == target.zone
                            )
                        )
                    )
                )
            ]
            self.require(len(tasks_in_scope) <= request_class.spread_most, "rule 5: spread limit exceeded")

    def check_final_answer(self, action):
        record = self.requests[action.request]
        self.require(not record["over"] and not record["answers"], "rule 1: two final answers")
        record["answers"], record["over"] = 1, True
        request_class = self.settings.classes[record["arrival"].class_index]
        if isinstance(action, Reject) and self.attempts_that_may_have_run(action.request):
            retry_is_safe = request_class.effect is Effect.SAFE or (
                request_class.effect is Effect.KEYED and request_class.group is Scope.ALL
            )
            self.require(retry_is_safe, "rule 2: rejection although a retry is not safe")

    def check_overdue(self, now):
        for record in self.requests.values():
            if (
                not record["over"]
                and not record["answers"]
                and now > record["arrival"].deadline_us + self.settings.answer_slack_us
            ):
                raise RuleViolation("rule 1: no final answer by the deadline")


class GeneratedRun:
    """Runs one policy on a legal event sequence; all random choices come from one seed."""

    def __init__(self, policy, settings, seed, zones=2, count=7):
        self.policy, self.settings, self.random, self.checker = (
            policy,
            settings,
            random.Random(seed),
            Checker(settings),
        )
        self.now, self.scheduled, self.serial, self.last_request = 50_000_000, [], 0, 0
        self.fleet = {n: Machine(n, n % zones, n % len(settings.kinds), n // 3) for n in range(1, count + 1)}
        self.open_attempts, self.trace = {}, []

    def schedule(self, wait, event):
        self.serial += 1
        self.scheduled.append((self.now + max(1, int(wait)), self.serial, event))

    def with_capacity(self, entry):
        return Machine(
            entry.id,
            entry.zone,
            entry.kind,
            entry.cell,
            entry.state,
            entry.born_us,
            *(
                (self.random.uniform(-9, 30), self.random.uniform(-9, 60))
                if self.settings.lists_free
                else (None, None)
            ),
        )

    def run(self, steps):
        self.deliver(
            MachinesChanged(
                ListForm.CACHED, tuple(self.with_capacity(entry) for entry in self.fleet.values())
            )
        )
        for _ in range(steps):
            self.generate_events()
            self.advance_to(self.now + self.random.choice((2000, 30_000, 300_000)))
        self.advance_to(self.now + 15_000_000)
        self.checker.check_overdue(self.now)
        return self.trace

    def advance_to(self, end):
        while True:
            next_item = min((item for item in self.scheduled if item[0] <= end), default=None)
            if next_item is None:
                self.now = max(self.now, end)
                return
            self.scheduled.remove(next_item)
            self.now = max(self.now, next_item[0])
            if self.is_legal(next_item[2]):
                self.deliver(next_item[2])

    def is_legal(self, event):
        if isinstance(event, Placed):
            return (
                self.open_attempts.get((event.request, event.attempt)) == "open"
                and not self.checker.requests[event.request]["over"]
            )
        if isinstance(event, AttemptEnded):
            return (event.request, event.attempt) in self.open_attempts
        if isinstance(event, RequestAbandoned):
            return not self.checker.requests[event.request]["over"]
        return True

    def deliver(self, event):
        if isinstance(event, Placed):
            self.open_attempts[event.request, event.attempt] = "placed"
        elif isinstance(event, AttemptEnded):
            placed = self.open_attempts.pop((event.request, event.attempt)) == "placed"
            over = placed or self.checker.requests[event.request]["over"] or (event.outcome is Outcome.OK)
            outcome = Outcome.RESET if placed and event.outcome in NOT_RUN_OUTCOMES else event.outcome
            event = AttemptEnded(
                event.request,
                event.attempt,
                event.machine,
                outcome,
                event.took_us,
                event.reason,
                over,
                event.report,
            )
        self.checker.handle_event(self.now, event)
        actions = self.policy.handle(self.now, [event])
        self.trace += actions
        self.checker.check_actions(self.now, actions)
        self.checker.check_overdue(self.now)
        for action in actions:
            self.answer_action(action)

    def random_report(self):
        return (
            tuple(self.random.uniform(-5, 40) for _ in self.settings.report_fields)
            if self.random.random() < 0.9
            else ()
        )

    def answer_action(self, action):
        roll, rng = self.random.random(), self.random
        if isinstance(action, SetTimer):
            self.schedule(action.after_us, TimerFired(action.timer))
        elif isinstance(action, Probe):
            outcome = rng.choice((Outcome.OK,) * 5 + (Outcome.TIMEOUT, Outcome.FULL))
            self.schedule(
                rng.uniform(300, 300_000),
                ProbeAnswered(
                    action.machine, outcome, 500, self.random_report() if outcome is Outcome.OK else ()
                ),
            )
        elif isinstance(action, Subscribe):
            form = ListForm.FAILED if roll < 0.3 else ListForm.DELTA
            self.schedule(rng.uniform(1000, 500_000), MachinesChanged(form))
        elif isinstance(action, Offer):
            attempt = len(self.checker.attempts[action.request]) - 1
            self.open_attempts[action.request, attempt] = "open"
            deadline = self.checker.requests[action.request]["arrival"].deadline_us - self.now
            wait = rng.uniform(1000, 3_000_000)
            if roll < 0.45:
                self.schedule(wait, Placed(action.request, attempt, action.machine, int(wait)))
                self.schedule(
                    wait + rng.uniform(1000, 8_000_000),
                    AttemptEnded(
                        action.request,
                        attempt,
                        action.machine,
                        rng.choice((Outcome.OK, Outcome.RESET)),
                        0,
                        rng.choice((0, 5, 6, 7)),
                    ),
                )
            elif roll < 0.9:
                outcome = rng.choice(
                    (
                        Outcome.ERROR,
                        Outcome.FULL,
                        Outcome.FULL,
                        Outcome.CONNECT_FAILED,
                        Outcome.RESET,
                        Outcome.NOT_SENT,
                    )
                )
                self.schedule(
                    wait / 6,
                    AttemptEnded(action.request, attempt, action.machine, outcome, 0, rng.randrange(5)),
                )
            self.schedule(deadline, AttemptEnded(action.request, attempt, action.machine, Outcome.TIMEOUT))
        elif isinstance(action, Cancel):
            machine = self.checker.attempts[action.request][action.attempt][0]
            self.schedule(1000, AttemptEnded(action.request, action.attempt, machine, Outcome.CANCELLED))

    def generate_events(self):
        rng = self.random
        roll = rng.random()
        if roll < 0.6:
            for _ in range(rng.choice((1, 1, 5))):
                self.last_request += 1
                index = rng.randrange(len(self.settings.classes))
                self.deliver(
                    RequestArrived(
                        self.last_request,
                        index,
                        self.now + self.settings.classes[index].deadline_us,
                        rng.randrange(3) * 10 + index,
                        rng.choice((0.5, 2.0, 8.0)),
                        rng.choice((1.0, 4.0, 20.0)),
                        self.last_request,
                        0,
                        None,
                    )
                )
        elif roll < 0.7:
            self.last_request += 1
            index, machine = rng.randrange(len(self.settings.classes)), rng.choice(sorted(self.fleet))
            self.open_attempts[self.last_request, 0] = "placed"
            self.deliver(
                TaskAdopted(self.last_request, index, rng.randrange(3) * 10 + index, 1.0, 1.0, machine)
            )
            self.schedule(
                rng.uniform(1000, 9_000_000), AttemptEnded(self.last_request, 0, machine, Outcome.OK)
            )
        elif roll < 0.75 and self.last_request:
            abandoned = RequestAbandoned(rng.randint(1, self.last_request))
            if self.is_legal(abandoned):
                self.deliver(abandoned)
        else:
            entry = rng.choice(list(self.fleet.values()))
            state = rng.choice(list(MachineState))
            started_at = (
                self.now
                if state is MachineState.READY and entry.state is not MachineState.READY
                else entry.born_us
            )
            self.fleet[entry.id] = Machine(entry.id, entry.zone, entry.kind, entry.cell, state, started_at)
            if rng.random() < 0.7:
                self.deliver(MachinesChanged(ListForm.DELTA, (self.with_capacity(self.fleet[entry.id]),)))
            else:
                self.deliver(
                    MachinesChanged(
                        ListForm.FULL,
                        tuple(
                            self.with_capacity(other)
                            for other in self.fleet.values()
                            if other.state is not MachineState.REMOVED
                        ),
                    )
                )
