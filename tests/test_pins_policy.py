"""Compares the actions of the scheduling policy on long seeded event sequences with recorded digests.

A closed-loop simulation answers the policy: its machines are healthy, silent, full, faulty or slow. All
random choices come from one seed and none from the random source of the policy. The digests cover the class,
all fields and the order of the actions in blocks; a failure names the first block that differs.
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
HEALTH = ("healthy",) * 12 + (
    "silent",
    "unconnectable",
    "queue full",
    "faulty",
    "no capacity",
    "rejects without reason",
    "slow",
    "draining",
)


def settings_of(**changes):
    """Return settings with all optional functions enabled, except for the given changes."""
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
    """Return a safe, a keyed and an unsafe class of different priorities and weights."""
    common = {"latency_objective_us": SECOND, "deadline_us": 6 * SECOND, **changes}
    return (
        RequestClass("safe", priority=2, priority_weight=5.0, calm=0.8, **common),
        RequestClass(
            "keyed", effect=Effect.KEYED, window_us=4 * SECOND, priority=1, priority_weight=2.0, **common
        ),
        RequestClass("unsafe", effect=Effect.UNSAFE, priority_weight=1.0, calm=0.6, **common),
    )


def keyed_classes():
    """Return a keyed class for each key scope, and a class for each spread scope."""
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
    """The settings of one deployment and the behaviour of its simulated machines."""

    def __init__(self, settings, **behaviour):
        self.settings = settings
        self.steps = behaviour.get("steps", 700)
        self.machines = behaviour.get("machines", 8)
        self.health_change_chance = behaviour.get("health_change_chance", 0.04)  # per step
        self.list_change_chance = behaviour.get("list_change_chance", 0.05)  # per step
        self.services = behaviour.get("services", 12)
        self.sizes = behaviour.get("sizes", ((1.0, 2.0), (2.0, 4.0), (4.0, 8.0)))
        self.gaps_us = behaviour.get("gaps_us", (1000, 20_000, 150_000))
        self.max_duration_us = behaviour.get("max_duration_us", 6 * SECOND)  # longest run time of a task
        self.reconfigurations = behaviour.get(
            "reconfigurations", ()
        )  # settings applied in turn during the run
        self.health = behaviour.get("health", HEALTH)
        self.queue_limit = behaviour.get("queue_limit", 1000)  # open offers that a machine accepts at a time
        self.restart_share = behaviour.get("restart_share", 0.3)  # fraction of list changes


def scenarios():
    """Return the scenarios by name; together they reach every branch of the scheduling package."""
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
    taking_turns = settings_of(group_size=50, me=7, warm_up_offers=8.0, max_attempts=2)
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
            replace(many, report_fields=("x0", "x1", "cpu")), machines=5, gaps_us=(500, 5000, 40_000)
        ),
        "keyed and spread": Scenario(keyed, machines=12, health_change_chance=0.2, services=6),
        "lists tell room": Scenario(lists, machines=10, list_change_chance=0.2),
        "room used": Scenario(used, machines=6, list_change_chance=0.1, gaps_us=(1000, 30_000)),
        "no probes": Scenario(no_probes, machines=7, health_change_chance=0.1, max_duration_us=2 * SECOND),
        "lines": Scenario(
            no_probes,
            machines=2,
            services=3,
            gaps_us=(500, 5000),
            sizes=((0.1, 0.1),),
            queue_limit=7,
            health_change_chance=0.0,
            list_change_chance=0.01,
        ),
        "lines probed": Scenario(
            replace(many, group_size=2),
            machines=3,
            gaps_us=(200, 3000),
            sizes=((0.1, 0.1),),
            queue_limit=5,
            health_change_chance=0.01,
        ),
        "cold by turns": Scenario(taking_turns, machines=10, list_change_chance=0.4, restart_share=0.8),
        "cold without sends": Scenario(
            replace(taking_turns, warm_up_offers=1.0, group_size=4),
            list_change_chance=0.3,
            restart_share=0.8,
            reconfigurations=(
                replace(taking_turns, warm_up_offers=3.0, group_size=2),
                replace(taking_turns, warm_up_offers=30.0),
            ),
        ),
        "errors": Scenario(
            settings_of(classes=classes, max_attempts=5),
            health=("faulty", "faulty", "healthy", "rejects without reason"),
            max_duration_us=SECOND,
            steps=500,
        ),
        "calm": Scenario(calm, machines=9, list_change_chance=0.15),
        "mostly broken": Scenario(
            settings_of(classes=classes, max_attempts=6),
            machines=3,
            health_change_chance=0.5,
            gaps_us=(20_000, 400_000),
        ),
        "few programs kept": Scenario(
            replace(single, by_service=False),
            services=400,
            machines=4,
            max_duration_us=SECOND // 2,
            gaps_us=(9000,),
        ),
        "many services": Scenario(
            replace(many, may_probe=False),
            services=1 << 40,
            machines=20,
            steps=900,
            gaps_us=(3000,),
            max_duration_us=SECOND // 4,
            sizes=((0.5, 0.5),),
        ),
        "settled anew": Scenario(
            many,
            reconfigurations=(
                replace(many, group_size=2, me=1),
                replace(
                    many,
                    classes=tuple(replace(request_class, priority_weight=1.0) for request_class in classes),
                    warm_up_offers=0.0,
                ),
                replace(many, by_service=True, subscribe=False),
                many,
            ),
        ),
    }


class SimulatedWorld:
    """Simulates the machines, tasks and clock around one policy."""

    def __init__(self, scenario, seed):
        self.scenario, self.settings = scenario, scenario.settings
        self.random = Random(seed)
        self.policy = Policy(scenario.settings, seed)
        self.digests = pins.BlockDigests(BLOCK)
        self.now = 50 * SECOND
        self.serial = self.request_count = self.action_count = 0
        self.scheduled = []  # (when, serial, event)
        self.health = {}
        self.fleet = {}
        self.attempts = {}  # request: the machine and state of each attempt
        self.arrived = {}  # request: its event
        self.over = set()
        for number in range(1, scenario.machines + 1):
            self.add_machine(number, born_us=0)

    def add_machine(self, number, born_us):
        kinds = len(self.settings.kinds)
        has_own_size = self.random.random() < 0.1
        self.fleet[number] = Machine(
            number,
            zone=number % 2,
            kind=number % (kinds + (number % 7 == 0)),  # sometimes a kind that is not in the settings
            cell=number // 3,
            born_us=born_us,
            cores=24.0 if has_own_size else 0.0,
            memory=48.0 if has_own_size else 0.0,
        )
        self.health[number] = self.random.choice(self.scenario.health)

    def schedule(self, wait, event):
        self.serial += 1
        heapq.heappush(self.scheduled, (self.now + max(1, int(wait)), self.serial, event))

    # ---- the simulation loop ----

    def run(self):
        self.send(MachinesChanged(ListForm.CACHED, self.list_entries(self.fleet)))
        for step in range(self.scenario.steps):
            self.generate_events(step)
            self.advance_to(self.now + self.random.choice(self.scenario.gaps_us))
        self.advance_to(self.now + 20 * SECOND)
        self.digests.add(f"chance after all: {self.policy._context.random.random()!r}")
        return self.digests.finish()

    def advance_to(self, end):
        while self.scheduled and self.scheduled[0][0] <= end:
            when = self.scheduled[0][0]
            events = []
            while self.scheduled and self.scheduled[0][0] <= when + self.random.choice((0, 0, 500)):
                event = heapq.heappop(self.scheduled)[2]
                if event is not None and self.apply_if_possible(event):
                    events.append(event)
            self.now = max(self.now, when)
            if events:
                self.send(*events)
        self.now = max(self.now, end)

    def apply_if_possible(self, event):
        """Return whether a scheduled event is still possible, and update the state of its attempt."""
        if isinstance(event, Placed):
            attempts_of_request = self.attempts[event.request]
            if attempts_of_request[event.attempt][1] != "open" or event.request in self.over:
                return False
            attempts_of_request[event.attempt][1] = "placed"
        elif isinstance(event, AttemptEnded):
            attempts_of_request = self.attempts[event.request]
            if attempts_of_request[event.attempt][1] == "ended":
                return False
            attempts_of_request[event.attempt][1] = "ended"
        return True

    def send(self, *events):
        clock = self.now - (3000 if self.random.random() < 0.01 else 0)  # the clock sometimes goes backwards
        for action in self.policy.handle(clock, list(events)):
            self.action_count += 1
            written = " ".join(f"{path}={text}" for path, text in pins.pairs(action))
            self.digests.add(f"{self.now} {written}")
            self.carry_out(action)

    # ---- results of the policy's actions ----

    def carry_out(self, action):
        if isinstance(action, SetTimer):
            self.schedule(action.after_us, TimerFired(action.timer))
        elif isinstance(action, Probe):
            self.answer_probe(action.machine)
        elif isinstance(action, Offer):
            self.answer_offer(action)
        elif isinstance(action, Cancel):
            self.end_attempt(2000, action.request, action.attempt, Outcome.CANCELLED)
        elif isinstance(action, Subscribe):
            form = ListForm.FAILED if self.random.random() < 0.4 else ListForm.DELTA
            self.schedule(self.random.randint(1000, 400_000), MachinesChanged(form))
        else:
            request = getattr(action, "request", None)
            if request is not None:
                self.over.add(request)

    def report(self, machine):
        """Return a load report with inexact free capacity, sometimes with fewer than all fields."""
        held = [
            self.arrived[request]
            for request, attempts_of_request in self.attempts.items()
            for where, state in attempts_of_request
            if where == machine and state == "placed"
        ]
        error = self.random.uniform(-8.0, 8.0)
        values = {
            "x0": 32.0 - sum(event.cores for event in held) + error,
            "x1": 64.0 - sum(event.memory for event in held) + error,
            "cpu": min(1.0, len(held) / 10 + self.random.random() / 4),
        }
        names = self.settings.report_fields
        kept_count = len(names) if self.random.random() < 0.9 else self.random.randint(0, len(names))
        return tuple(values[name] for name in names[:kept_count])

    def answer_probe(self, machine):
        health = self.health.get(machine, "silent")
        wait = self.random.randint(200, 3000)
        if health in ("silent", "unconnectable"):
            outcome = Outcome.TIMEOUT if health == "silent" else Outcome.CONNECT_FAILED
            self.schedule(self.random.randint(100_000, 300_000), ProbeAnswered(machine, outcome, 250_000))
        elif health == "queue full":
            self.schedule(wait, ProbeAnswered(machine, Outcome.FULL, wait))
        else:
            late = 400_000 if health == "slow" else 0
            self.schedule(wait + late, ProbeAnswered(machine, Outcome.OK, wait, self.report(machine)))

    def answer_offer(self, offer):
        attempts_of_request = self.attempts.setdefault(offer.request, [])
        attempt = len(attempts_of_request)
        attempts_of_request.append([offer.machine, "open"])
        health = self.health.get(offer.machine, "silent")
        wait = self.random.randint(300, 30_000)
        chance = self.random.random()
        open_offers = sum(
            pair == [offer.machine, "open"] for offers in self.attempts.values() for pair in offers
        )
        if open_offers > self.scenario.queue_limit:
            self.end_attempt(wait, offer.request, attempt, Outcome.FULL, Reason.QUEUE_FULL)
        elif health == "silent":
            self.end_attempt(self.random.randint(1, 3) * SECOND, offer.request, attempt, Outcome.TIMEOUT)
        elif health == "unconnectable" or chance < 0.01:
            self.end_attempt(wait, offer.request, attempt, Outcome.CONNECT_FAILED)
        elif chance < 0.02:
            self.end_attempt(wait, offer.request, attempt, Outcome.NOT_SENT)
        elif health == "queue full":
            self.end_attempt(wait, offer.request, attempt, Outcome.FULL, Reason.QUEUE_FULL)
        elif health == "faulty":
            outcome = self.random.choice((Outcome.ERROR, Outcome.RESET))
            self.end_attempt(wait, offer.request, attempt, outcome)
        elif health == "no capacity" or chance < 0.06:
            reason = self.random.choice((Reason.NO_CORES, Reason.NO_MEMORY))
            self.end_attempt(wait, offer.request, attempt, Outcome.FULL, reason)
        elif health == "rejects without reason" and chance < 0.5:
            self.end_attempt(wait, offer.request, attempt, Outcome.FULL)
        elif health == "draining":
            self.end_attempt(wait, offer.request, attempt, Outcome.FULL, Reason.NOT_ACCEPTING)
        elif chance < 0.1:
            outcome = self.random.choice(tuple(Outcome))
            reason = self.random.choice(tuple(Reason))
            self.end_attempt(wait, offer.request, attempt, outcome, reason, outcome is Outcome.OK)
        else:
            self.place_offer(offer, attempt, wait + (2_500_000 if health == "slow" else 0))

    def place_offer(self, offer, attempt, wait):
        self.schedule(wait, Placed(offer.request, attempt, offer.machine, wait))
        for _ in range(self.random.randint(0, 3)):
            topic = self.random.choice((*Topic, 99))
            note = Note(offer.request, attempt, offer.machine, topic, self.random.random() * 1.2)
            self.schedule(wait + self.random.randint(1, SECOND), note)
        duration = wait + self.random.randint(1000, self.scenario.max_duration_us)
        if self.random.random() < 0.85:
            self.end_attempt(duration, offer.request, attempt, Outcome.OK, closed=True)
        else:
            reason = self.random.choice((Reason.EVICTED, Reason.PREEMPTED, Reason.DRAINED))
            closed = self.random.random() < 0.5
            self.end_attempt(duration, offer.request, attempt, Outcome.RESET, reason, closed)

    def end_attempt(self, wait, request, attempt, outcome, reason=Reason.UNSPECIFIED, closed=False):
        machine = self.attempts[request][attempt][0]
        report = self.report(machine) if self.random.random() < 0.5 else ()
        self.schedule(
            wait, AttemptEnded(request, attempt, machine, outcome, int(wait), int(reason), closed, report)
        )

    # ---- events that the policy did not cause ----

    def generate_events(self, step):
        rng = self.random
        if rng.random() < 0.75:
            self.send(*(self.arrival() for _ in range(rng.choice((1, 1, 1, 4)))))
        if rng.random() < 0.05:
            self.adopt_task()
        if rng.random() < 0.05 and self.request_count:
            abandoned = rng.randint(1, self.request_count)
            self.over.add(abandoned)
            self.send(RequestAbandoned(abandoned))
        if rng.random() < self.scenario.health_change_chance:
            self.health[rng.choice(sorted(self.fleet))] = rng.choice(self.scenario.health)
        if rng.random() < self.scenario.list_change_chance:
            self.change_list()
        if rng.random() < 0.02:
            self.send_irrelevant_events()
        reconfigurations = self.scenario.reconfigurations
        if reconfigurations and step % 100 == 99:
            self.settings = reconfigurations[step // 100 % len(reconfigurations)]
            self.policy.reconfigure(self.settings)

    def arrival(self):
        rng = self.random
        self.request_count += 1
        index = rng.randrange(len(self.settings.classes))
        cores, memory = rng.choice(self.scenario.sizes)
        only = frozenset(rng.sample(sorted(self.fleet), 2)) if rng.random() < 0.05 else None
        self.arrived[self.request_count] = RequestArrived(
            self.request_count,
            index,
            self.now + self.settings.classes[index].deadline_us // rng.choice((1, 1, 1, 40)),
            rng.randrange(self.scenario.services),
            cores,
            memory,
            key=self.request_count,
            only=only,
        )
        return self.arrived[self.request_count]

    def adopt_task(self):
        rng = self.random
        self.request_count += 1
        machine = rng.choice([*sorted(self.fleet), 900 + rng.randrange(5)])  # sometimes an unlisted machine
        index = rng.randrange(len(self.settings.classes))
        service = rng.randrange(self.scenario.services)
        task = TaskAdopted(self.request_count, index, service, 1.0, 2.0, machine)
        self.arrived[self.request_count] = task
        self.attempts[self.request_count] = [[machine, "placed"]]
        self.over.add(self.request_count)
        self.send(task, task)  # the duplicate is ignored
        self.end_attempt(rng.randint(1000, 4 * SECOND), self.request_count, 0, Outcome.OK, closed=True)

    def list_entries(self, numbers):
        """Return the list entries of these machines, with free capacity if lists include it."""
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
        rng = self.random
        number = rng.choice([*sorted(self.fleet), 1 + rng.randrange(self.scenario.machines + 10)])
        if number not in self.fleet:
            self.add_machine(number, born_us=self.now)
        elif rng.random() < self.scenario.restart_share:
            self.fleet[number] = replace(self.fleet[number], born_us=self.now, state=MachineState.READY)
            self.health[number] = "healthy"
        else:
            state = rng.choice((*MachineState, MachineState.READY))
            self.fleet[number] = replace(self.fleet[number], state=state)
        form = rng.choice((ListForm.DELTA, ListForm.DELTA, ListForm.DELTA, ListForm.FULL, ListForm.CACHED))
        if form is ListForm.DELTA:
            self.send(MachinesChanged(form, self.list_entries([number])))
        else:
            present = [n for n, entry in self.fleet.items() if entry.state != MachineState.REMOVED]
            self.send(MachinesChanged(form, self.list_entries(present if rng.random() < 0.9 else [])))

    def send_irrelevant_events(self):
        """Send unknown, outdated and duplicate events, which the policy must ignore."""
        request = self.random.randint(1, self.request_count) if self.request_count else 1
        self.send(
            RequestAbandoned(1 << 40),
            AttemptEnded(1 << 40, 0, 1, Outcome.OK),
            AttemptEnded(request, 17, 1, Outcome.OK),
            Placed(request, 18, 1, 5),
            Note(1 << 40, 0, 1 << 40, Topic.RUNS, 1.0),
            ProbeAnswered(1 << 40, Outcome.OK),
            TimerFired(1 << 40),
            MachinesChanged(ListForm.FAILED),
        )
        if request in self.arrived:
            event = self.arrived[request]
            known = {field.name: getattr(event, field.name) for field in fields(event)}
            if "machine" not in known and request not in self.over:
                self.send(RequestArrived(**{**known, "deadline_us": self.now + SECOND}))  # a duplicate


SCENARIOS = scenarios()


def recorded_run(name):
    """Return the digests of the actions of a scenario, and the simulation after it."""
    world = SimulatedWorld(SCENARIOS[name], seed=sum(map(ord, name)))
    return world.run(), world


@pytest.mark.parametrize("name", SCENARIOS)
def test_every_action_matches_the_recorded_digests(name):
    expected = pins.load(RECORD)[name]
    found, world = recorded_run(name)
    for number, (old, new) in enumerate(zip(expected["blocks"], found, strict=False)):
        assert old == new, f"the first difference is in block {number}:\n" + "\n".join(
            world.digests.history[number]
        )
    assert (len(found), world.action_count) == (len(expected["blocks"]), expected["actions"])


if __name__ == "__main__":
    result = {}
    for scenario_name in SCENARIOS:
        blocks, world = recorded_run(scenario_name)
        result[scenario_name] = {"blocks": blocks, "actions": world.action_count}
        print(scenario_name, world.action_count, "actions")
    pins.save(RECORD, result)
