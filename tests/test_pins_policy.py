"""Every action of the decision module over long seeded sequences of events, compared with recorded digests.

A closed-loop world answers what the policy does: probes and offers meet machines that are well, silent, full,
broken or slow. All choices come from one seed, and none from the policy's own source of chance. The digests
cover each action's class, all its fields and the order, by block of actions; a failure names the first block.
"""

from __future__ import annotations

import heapq
from dataclasses import fields, replace
from random import Random

import pins
import pytest

from weldhatch import (
    AttemptEnded,
    Cancel,
    Effect,
    ListForm,
    Machine,
    MachineKind,
    MachinesChanged,
    MachineState,
    Note,
    Offer,
    Outcome,
    Placed,
    Policy,
    Prices,
    Probe,
    ProbeAnswered,
    Reason,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    Scope,
    SetTimer,
    Settings,
    Subscribe,
    TaskAdopted,
    TimerFired,
    Topic,
)

RECORD = "pins_policy.json"
BLOCK = 250  # actions in one digest
SECOND = 1_000_000
HEALTH = ("well",) * 12 + (
    "silent",
    "unconnectable",
    "line full",
    "broken",
    "no room",
    "mute",
    "slow",
    "leaving",
)


def settings_of(**changes):
    """Settings with everything on, unless changed."""
    values = {
        "classes": (RequestClass("only", latency_objective_us=SECOND, deadline_us=5 * SECOND),),
        "kinds": (MachineKind("std", 32.0, 64.0),),
        "max_attempts": 3,
        "tick_us": 2000,
        "warm_up_us": 10 * SECOND,
        "warm_up_offers": 8.0,
        "fall_us": 2 * SECOND,
        "report_fields": ("x0", "x1", "cpu"),
    }
    return Settings(**{**values, **changes})


def three_classes(**changes):
    """A safe, a keyed and an unsafe class of different priority and worth."""
    common = {"latency_objective_us": SECOND, "deadline_us": 6 * SECOND, **changes}
    return (
        RequestClass("safe", priority=2, priority_weight=5.0, calm=0.8, **common),
        RequestClass(
            "keyed", effect=Effect.KEYED, window_us=4 * SECOND, priority=1, priority_weight=2.0, **common
        ),
        RequestClass("unsafe", effect=Effect.UNSAFE, priority_weight=1.0, calm=0.6, **common),
    )


def keyed_classes():
    """A keyed class for each group in which its keys are known, and one for each kind of spread."""
    scopes = (Scope.MACHINE, Scope.CELL, Scope.ZONE, Scope.ALL)
    keyed = tuple(
        RequestClass(
            f"keyed-{scope.value}", SECOND // 2, 4 * SECOND, Effect.KEYED, group=scope, window_us=2 * SECOND
        )
        for scope in scopes
    )
    spread = tuple(
        RequestClass(f"spread-{scope.value}", SECOND, 3 * SECOND, spread_over=scope, spread_most=2 + n)
        for n, scope in enumerate(scopes)
    )
    return keyed + spread


class Scenario:
    """One deployment and the way its world behaves."""

    def __init__(self, settings, **world):
        self.settings = settings
        self.steps = world.get("steps", 700)
        self.machines = world.get("machines", 8)
        self.trouble = world.get("trouble", 0.04)  # the chance per step that a machine changes its health
        self.churn = world.get("churn", 0.05)  # the chance per step of a new list
        self.services = world.get("services", 12)
        self.sizes = world.get("sizes", ((1.0, 2.0), (2.0, 4.0), (4.0, 8.0)))
        self.gap_us = world.get("gap_us", (1000, 20_000, 150_000))
        self.stay_us = world.get("stay_us", 6 * SECOND)  # the most that a task runs
        self.resettle = world.get("resettle", ())  # settings taken over in turn on the way
        self.health = world.get("health", HEALTH)
        self.line = world.get("line", 1000)  # open offers that a machine takes at a time
        self.restarts = world.get("restarts", 0.3)  # the part of list changes that restart a machine


def scenarios():
    """The deployments by name; together they reach every branch of the decisions."""
    classes = three_classes()
    many = settings_of(
        classes=classes,
        group_size=16,
        me=3,
        max_attempts=4,
        warm_up_offers=40,
        retry_after=True,
        max_retry_after_us=3 * SECOND,
        subscribe=True,
        cores_booking=2.0,
        memory_booking=2.0,
        report_fields=("x0", "x1"),
        zones=("a", "b"),
        prices=Prices(cross_zone=0.1),
    )
    keyed = settings_of(classes=keyed_classes(), max_attempts=4, zones=("a", "b"))
    lists = settings_of(
        classes=(replace(classes[0], kind=0), replace(classes[1], kind=1), classes[2]),
        kinds=(MachineKind("std", 16.0, 64.0), MachineKind("big", 48.0, 96.0)),
        lists_free=True,
        report_fields=(),
    )
    used = settings_of(classes=classes, reports_asked=False, lists_free=True, report_fields=("x1", "x0"))
    no_probes = settings_of(classes=classes, may_probe=False, may_cancel=False, subscribe=True)
    turns = settings_of(group_size=50, me=7, warm_up_offers=8.0, max_attempts=2)
    calm = settings_of(
        classes=three_classes(latency_objective_us=3 * SECOND, deadline_us=9 * SECOND),
        by_service=True,
        confirms_running=False,
        cores_booking=1.5,
    )
    single = settings_of(group_size=1, by_service=True, retry_after=True)
    return {
        "single": Scenario(single),
        "many allocators": Scenario(many, machines=30, services=40, sizes=((2.0, 4.0), (6.0, 12.0))),
        "many and crowded": Scenario(
            replace(many, report_fields=("x0", "x1", "cpu")), machines=5, gap_us=(500, 5000, 40_000)
        ),
        "keyed and spread": Scenario(keyed, machines=12, trouble=0.2, services=6),
        "lists tell room": Scenario(lists, machines=10, churn=0.2),
        "room used": Scenario(used, machines=6, churn=0.1, gap_us=(1000, 30_000)),
        "no probes": Scenario(no_probes, machines=7, trouble=0.1, stay_us=2 * SECOND),
        "lines": Scenario(
            no_probes,
            machines=2,
            services=3,
            gap_us=(500, 5000),
            sizes=((0.1, 0.1),),
            line=7,
            trouble=0.0,
            churn=0.01,
        ),
        "lines probed": Scenario(
            replace(many, group_size=2),
            machines=3,
            gap_us=(200, 3000),
            sizes=((0.1, 0.1),),
            line=5,
            trouble=0.01,
        ),
        "cold by turns": Scenario(turns, machines=10, churn=0.4, restarts=0.8),
        "cold without sends": Scenario(
            replace(turns, warm_up_offers=1.0, group_size=4),
            churn=0.3,
            restarts=0.8,
            resettle=(replace(turns, warm_up_offers=3.0, group_size=2), replace(turns, warm_up_offers=30.0)),
        ),
        "errors": Scenario(
            settings_of(classes=classes, max_attempts=5),
            health=("broken", "broken", "well", "mute"),
            stay_us=SECOND,
            steps=500,
        ),
        "calm": Scenario(calm, machines=9, churn=0.15),
        "mostly broken": Scenario(
            settings_of(classes=classes, max_attempts=6), machines=3, trouble=0.5, gap_us=(20_000, 400_000)
        ),
        "few programs kept": Scenario(
            replace(single, by_service=False), services=400, machines=4, stay_us=SECOND // 2, gap_us=(9000,)
        ),
        "many services": Scenario(
            replace(many, may_probe=False),
            services=1 << 40,
            machines=20,
            steps=900,
            gap_us=(3000,),
            stay_us=SECOND // 4,
            sizes=((0.5, 0.5),),
        ),
        "settled anew": Scenario(
            many,
            resettle=(
                replace(many, group_size=2, me=1),
                replace(
                    many, classes=tuple(replace(c, priority_weight=1.0) for c in classes), warm_up_offers=0.0
                ),
                replace(many, by_service=True, subscribe=False),
                many,
            ),
        ),
    }


class World:
    """Machines, tasks and a clock round one policy; all that is not the policy is played here."""

    def __init__(self, scenario, seed):
        self.scenario, self.settings = scenario, scenario.settings
        self.random = Random(seed)
        self.policy = Policy(scenario.settings, seed)
        self.digests = pins.BlockDigests(BLOCK)
        self.now = 50 * SECOND
        self.serial = self.requests = self.actions = 0
        self.due = []  # (when, serial, event)
        self.health = {}
        self.fleet = {}
        self.attempts = {}  # request: the machine and state of each attempt
        self.arrived = {}  # request: its event
        self.over = set()
        for number in range(1, scenario.machines + 1):
            self.add_machine(number, born_us=0)

    def add_machine(self, number, born_us):
        kinds = len(self.settings.kinds)
        own = self.random.random() < 0.1
        self.fleet[number] = Machine(
            number,
            zone=number % 2,
            kind=number % (kinds + (number % 7 == 0)),  # now and then of a kind that is not told
            cell=number // 3,
            born_us=born_us,
            cores=24.0 if own else 0.0,
            memory=48.0 if own else 0.0,
        )
        self.health[number] = self.random.choice(self.scenario.health)

    def later(self, wait, event):
        self.serial += 1
        heapq.heappush(self.due, (self.now + max(1, int(wait)), self.serial, event))

    # ---- the run ----

    def run(self):
        self.send(MachinesChanged(ListForm.CACHED, self.listed(self.fleet)))
        for step in range(self.scenario.steps):
            self.disturb(step)
            self.until(self.now + self.random.choice(self.scenario.gap_us))
        self.until(self.now + 20 * SECOND)
        self.digests.add(f"chance after all: {self.policy._context.random.random()!r}")
        return self.digests.finish()

    def until(self, end):
        while self.due and self.due[0][0] <= end:
            when = self.due[0][0]
            events = []
            while self.due and self.due[0][0] <= when + self.random.choice((0, 0, 500)):
                event = heapq.heappop(self.due)[2]
                if event is not None and self.holds(event):
                    events.append(event)
            self.now = max(self.now, when)
            if events:
                self.send(*events)
        self.now = max(self.now, end)

    def holds(self, event):
        """Whether a planned event still can happen; it marks what it changes."""
        if isinstance(event, Placed):
            states = self.attempts[event.request]
            if states[event.attempt][1] != "open" or event.request in self.over:
                return False
            states[event.attempt][1] = "placed"
        elif isinstance(event, AttemptEnded):
            states = self.attempts[event.request]
            if states[event.attempt][1] == "ended":
                return False
            states[event.attempt][1] = "ended"
        return True

    def send(self, *events):
        clock = self.now - (3000 if self.random.random() < 0.01 else 0)  # now and then it goes backwards
        for action in self.policy.handle(clock, list(events)):
            self.actions += 1
            written = " ".join(f"{path}={text}" for path, text in pins.pairs(action))
            self.digests.add(f"{self.now} {written}")
            self.carry_out(action)

    # ---- what the policy's actions bring ----

    def carry_out(self, action):
        if isinstance(action, SetTimer):
            self.later(action.after_us, TimerFired(action.timer))
        elif isinstance(action, Probe):
            self.probed(action.machine)
        elif isinstance(action, Offer):
            self.offered(action)
        elif isinstance(action, Cancel):
            self.end(2000, action.request, action.attempt, Outcome.CANCELLED)
        elif isinstance(action, Subscribe):
            form = ListForm.FAILED if self.random.random() < 0.4 else ListForm.DELTA
            self.later(self.random.randint(1000, 400_000), MachinesChanged(form))
        else:
            request = getattr(action, "request", None)
            if request is not None:
                self.over.add(request)

    def report(self, machine):
        """What the machine reports: its room, roughly; now and then less than all fields."""
        held = [
            self.arrived[request]
            for request, states in self.attempts.items()
            for where, state in states
            if where == machine and state == "placed"
        ]
        rough = self.random.uniform(-8.0, 8.0)
        told = {
            "x0": 32.0 - sum(event.cores for event in held) + rough,
            "x1": 64.0 - sum(event.memory for event in held) + rough,
            "cpu": min(1.0, len(held) / 10 + self.random.random() / 4),
        }
        names = self.settings.report_fields
        kept = len(names) if self.random.random() < 0.9 else self.random.randint(0, len(names))
        return tuple(told[name] for name in names[:kept])

    def probed(self, machine):
        health = self.health.get(machine, "silent")
        wait = self.random.randint(200, 3000)
        if health in ("silent", "unconnectable"):
            outcome = Outcome.TIMEOUT if health == "silent" else Outcome.CONNECT_FAILED
            self.later(self.random.randint(100_000, 300_000), ProbeAnswered(machine, outcome, 250_000))
        elif health == "line full":
            self.later(wait, ProbeAnswered(machine, Outcome.FULL, wait))
        else:
            late = 400_000 if health == "slow" else 0
            self.later(wait + late, ProbeAnswered(machine, Outcome.OK, wait, self.report(machine)))

    def offered(self, offer):
        states = self.attempts.setdefault(offer.request, [])
        attempt = len(states)
        states.append([offer.machine, "open"])
        health = self.health.get(offer.machine, "silent")
        wait = self.random.randint(300, 30_000)
        chance = self.random.random()
        out = sum(pair == [offer.machine, "open"] for pairs in self.attempts.values() for pair in pairs)
        if out > self.scenario.line:
            self.end(wait, offer.request, attempt, Outcome.FULL, Reason.QUEUE_FULL)
        elif health == "silent":
            self.end(self.random.randint(1, 3) * SECOND, offer.request, attempt, Outcome.TIMEOUT)
        elif health == "unconnectable" or chance < 0.01:
            self.end(wait, offer.request, attempt, Outcome.CONNECT_FAILED)
        elif chance < 0.02:
            self.end(wait, offer.request, attempt, Outcome.NOT_SENT)
        elif health == "line full":
            self.end(wait, offer.request, attempt, Outcome.FULL, Reason.QUEUE_FULL)
        elif health == "broken":
            outcome = self.random.choice((Outcome.ERROR, Outcome.RESET))
            self.end(wait, offer.request, attempt, outcome)
        elif health == "no room" or chance < 0.06:
            reason = self.random.choice((Reason.NO_CORES, Reason.NO_MEMORY))
            self.end(wait, offer.request, attempt, Outcome.FULL, reason)
        elif health == "mute" and chance < 0.5:
            self.end(wait, offer.request, attempt, Outcome.FULL)
        elif health == "leaving":
            self.end(wait, offer.request, attempt, Outcome.FULL, Reason.NOT_ACCEPTING)
        elif chance < 0.1:
            outcome = self.random.choice(tuple(Outcome))
            reason = self.random.choice(tuple(Reason))
            self.end(wait, offer.request, attempt, outcome, reason, outcome is Outcome.OK)
        else:
            self.placed(offer, attempt, wait + (2_500_000 if health == "slow" else 0))

    def placed(self, offer, attempt, wait):
        self.later(wait, Placed(offer.request, attempt, offer.machine, wait))
        for _ in range(self.random.randint(0, 3)):
            topic = self.random.choice((*Topic, 99))
            note = Note(offer.request, attempt, offer.machine, topic, self.random.random() * 1.2)
            self.later(wait + self.random.randint(1, SECOND), note)
        stay = wait + self.random.randint(1000, self.scenario.stay_us)
        if self.random.random() < 0.85:
            self.end(stay, offer.request, attempt, Outcome.OK, closed=True)
        else:
            reason = self.random.choice((Reason.EVICTED, Reason.PREEMPTED, Reason.DRAINED))
            closed = self.random.random() < 0.5
            self.end(stay, offer.request, attempt, Outcome.RESET, reason, closed)

    def end(self, wait, request, attempt, outcome, reason=Reason.UNSPECIFIED, closed=False):
        machine = self.attempts[request][attempt][0]
        report = self.report(machine) if self.random.random() < 0.5 else ()
        self.later(
            wait, AttemptEnded(request, attempt, machine, outcome, int(wait), int(reason), closed, report)
        )

    # ---- what happens by itself ----

    def disturb(self, step):
        rnd = self.random
        if rnd.random() < 0.75:
            self.send(*(self.arrival() for _ in range(rnd.choice((1, 1, 1, 4)))))
        if rnd.random() < 0.05:
            self.adopt()
        if rnd.random() < 0.05 and self.requests:
            gone = rnd.randint(1, self.requests)
            self.over.add(gone)
            self.send(RequestAbandoned(gone))
        if rnd.random() < self.scenario.trouble:
            self.health[rnd.choice(sorted(self.fleet))] = rnd.choice(self.scenario.health)
        if rnd.random() < self.scenario.churn:
            self.change_list()
        if rnd.random() < 0.02:
            self.unhelpful()
        turns = self.scenario.resettle
        if turns and step % 100 == 99:
            self.settings = turns[step // 100 % len(turns)]
            self.policy.reconfigure(self.settings)

    def arrival(self):
        rnd = self.random
        self.requests += 1
        index = rnd.randrange(len(self.settings.classes))
        cores, memory = rnd.choice(self.scenario.sizes)
        only = frozenset(rnd.sample(sorted(self.fleet), 2)) if rnd.random() < 0.05 else None
        self.arrived[self.requests] = RequestArrived(
            self.requests,
            index,
            self.now + self.settings.classes[index].deadline_us // rnd.choice((1, 1, 1, 40)),
            rnd.randrange(self.scenario.services),
            cores,
            memory,
            key=self.requests,
            only=only,
        )
        return self.arrived[self.requests]

    def adopt(self):
        rnd = self.random
        self.requests += 1
        machine = rnd.choice([*sorted(self.fleet), 900 + rnd.randrange(5)])  # also one that is not listed
        index = rnd.randrange(len(self.settings.classes))
        service = rnd.randrange(self.scenario.services)
        task = TaskAdopted(self.requests, index, service, 1.0, 2.0, machine)
        self.arrived[self.requests] = task
        self.attempts[self.requests] = [[machine, "placed"]]
        self.over.add(self.requests)
        self.send(task, task)  # the second one changes nothing
        self.end(rnd.randint(1000, 4 * SECOND), self.requests, 0, Outcome.OK, closed=True)

    def listed(self, numbers):
        """The entries of these machines, with free room where lists tell it."""
        if not self.settings.lists_free:
            return tuple(self.fleet[number] for number in numbers)
        return tuple(
            replace(
                self.fleet[number],
                free_cores=self.random.uniform(-9.0, 30.0),
                free_memory=self.random.uniform(-9.0, 60.0),
            )
            for number in numbers
        )

    def change_list(self):
        rnd = self.random
        number = rnd.choice([*sorted(self.fleet), 1 + rnd.randrange(self.scenario.machines + 10)])
        if number not in self.fleet:
            self.add_machine(number, born_us=self.now)
        elif rnd.random() < self.scenario.restarts:
            self.fleet[number] = replace(self.fleet[number], born_us=self.now, state=MachineState.READY)
            self.health[number] = "well"
        else:
            state = rnd.choice((*MachineState, MachineState.READY))
            self.fleet[number] = replace(self.fleet[number], state=state)
        form = rnd.choice((ListForm.DELTA, ListForm.DELTA, ListForm.DELTA, ListForm.FULL, ListForm.CACHED))
        if form is ListForm.DELTA:
            self.send(MachinesChanged(form, self.listed([number])))
        else:
            here = [n for n, entry in self.fleet.items() if entry.state != MachineState.REMOVED]
            self.send(MachinesChanged(form, self.listed(here if rnd.random() < 0.9 else [])))

    def unhelpful(self):
        """What a policy has no use for must not move it."""
        some = self.random.randint(1, self.requests) if self.requests else 1
        self.send(
            RequestAbandoned(1 << 40),
            AttemptEnded(1 << 40, 0, 1, Outcome.OK),
            AttemptEnded(some, 17, 1, Outcome.OK),
            Placed(some, 18, 1, 5),
            Note(1 << 40, 0, 1 << 40, Topic.RUNS, 1.0),
            ProbeAnswered(1 << 40, Outcome.OK),
            TimerFired(1 << 40),
            MachinesChanged(ListForm.FAILED),
        )
        if some in self.arrived:
            event = self.arrived[some]
            known = {field.name: getattr(event, field.name) for field in fields(event)}
            if "machine" not in known and some not in self.over:
                self.send(RequestArrived(**{**known, "deadline_us": self.now + SECOND}))  # a second time


SCENARIOS = scenarios()


def recorded_run(name):
    """The digests of one scenario's actions, and the world after it."""
    world = World(SCENARIOS[name], seed=sum(map(ord, name)))
    return world.run(), world


@pytest.mark.parametrize("name", SCENARIOS)
def test_every_action_is_as_recorded(name):
    expected = pins.load(RECORD)[name]
    found, world = recorded_run(name)
    for number, (old, new) in enumerate(zip(expected["blocks"], found, strict=False)):
        assert old == new, f"the first difference is in block {number}:\n" + "\n".join(
            world.digests.history[number]
        )
    assert (len(found), world.actions) == (len(expected["blocks"]), expected["actions"])


if __name__ == "__main__":
    result = {}
    for scenario_name in SCENARIOS:
        blocks, played = recorded_run(scenario_name)
        result[scenario_name] = {"blocks": blocks, "actions": played.actions}
        print(scenario_name, played.actions, "actions")
    pins.save(RECORD, result)
