"""Compares decisions, messages and output of the zones package with recorded ones (`data/pins_zones.json`).

Guards against unintended changes of behaviour or of encoded names. Each part runs with fixed random seeds in
a separate process with a fixed hash seed, since the iteration order of some sets of names matters. The digest
of its steps is compared with the recorded one.

    python tests/test_pins_zones.py --record          # records the file again
    python tests/test_pins_zones.py PART --log FILE   # writes the steps of a part to a file
"""

import hashlib
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from pathlib import Path
from random import Random
from types import SimpleNamespace
from unittest import mock

import pytest
from click.testing import CliRunner

sys.path.insert(0, str(Path(__file__).parent.parent))

from weldhatch.cli import zones as cli_zones
from weldhatch.cli.main import root
from weldhatch.cluster import codec
from weldhatch.coordination.leader import Leader
from weldhatch.coordination.messages import LeaseRequest, LeaseResponse
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.coordination.zone_leader import ZoneLeader
from weldhatch.scheduling.events import (
    AttemptEnded,
    MachinesChanged,
    Note,
    Placed,
    ProbeAnswered,
    RequestAbandoned,
    RequestArrived,
    TaskAdopted,
)
from weldhatch.scheduling.types import (
    Effect,
    ListForm,
    Machine,
    MachineKind,
    MachineState,
    Outcome,
    Reason,
    RequestClass,
    Scope,
    Tenant,
)
from weldhatch.simulation.scenario_runner import run_scenario
from weldhatch.simulation.scenarios import SCENARIOS
from weldhatch.testbed.simulated_zones import Realm
from weldhatch.testbed.simulated_zones import settings as realm_settings
from weldhatch.zones import capacity, load_shedding
from weldhatch.zones.endpoint_overlay import EndpointOverlay
from weldhatch.zones.failover_leader import FailoverLeader
from weldhatch.zones.failover_member import FailoverMember
from weldhatch.zones.failover_rules import FailoverTiming
from weldhatch.zones.load_accounting import LoadAccounting
from weldhatch.zones.observations import ExchangeResult, Observations
from weldhatch.zones.reports import ZoneReport
from weldhatch.zones.retry_budget import MigrationRamp, RetryBudget, StartRates
from weldhatch.zones.silence_detector import SilenceDetector
from weldhatch.zones.standalone import StandaloneFailover
from weldhatch.zones.start_quota import (
    QuotaLease,
    QuotaLedger,
    StartQuota,
    starts_allowed,
    token_offset,
)
from weldhatch.zones.state import Phase, ZoneStates

DATA = Path(__file__).parent / "data" / "pins_zones.json"
ZONES = ("z0", "z1", "z2")
HEALTHS = ("fine", "gray", "down", "unsure")
ISOLATIONS = ("", "cut off", "its zone is cut off")
TENANTS = ("acme", "bolt", "cogs")

# ---- calls of the package -------------------------------------------------------------------------------


def report_text(member, now):
    """Return a member's report as it is sent."""
    return member.report(now).to_json()


def receive(leader, now, name, incarnation, text):
    leader.receive_report(now, name, incarnation, ZoneReport.from_json(text))


def changes(leader, now, zones, settings, held):
    """Return the due commands as they are sent."""
    return [change.to_tree() for change in leader.due_changes(now, zones, settings, held)]


def quota_trees(quotas):
    """Return quotas as they are sent."""
    return [quota.to_tree() for quota in quotas]


def rejection(found):
    return None if found is None else [found.retry_after_s, found.reason]


def json_value(value):
    """Convert a value to JSON types; the order is kept, and sets are sorted."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): json_value(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(map(json_value, value))
    if isinstance(value, list | tuple):
        return [json_value(item) for item in value]
    return value


def report_of_observations(observations, now, named):
    """Return the observations in a report as they are sent."""
    isolation, places = observations.isolation(now).value, observations.by_place(now, named)
    tree = ZoneReport(observations.own_zone, isolation, places).to_tree()
    return json.dumps({key: tree[key] for key in ("zone", "cut", "looks")}, separators=(",", ":"))


class Record:
    """The steps of a part, one line each."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add(self, label: str, *values: object) -> None:
        self.lines.append(json.dumps([label, *map(json_value, values)]))

    def digest(self) -> str:
        return hashlib.sha256("\n".join(self.lines).encode()).hexdigest()


def settings_of(zone=0):
    """Return settings with all effects, three tenants and two machine kinds."""
    classes = (
        RequestClass("lookup", 700_000, 1_500_000),
        RequestClass("import", 700_000, 1_500_000, Effect.KEYED, Scope.ALL, 3_000_000, 2.0),
        RequestClass("writer", 700_000, 1_500_000, Effect.UNSAFE, Scope.ALL, 0, 5.0),
    )
    base = realm_settings(3, 8, 9.0)
    return replace(
        base,
        classes=classes,
        zone=zone,
        kinds=(MachineKind("std", 40.0, 40.0), MachineKind("big", 80.0, 80.0)),
        tenants=tuple(
            Tenant(name, 0.0, 0.0, portion) for name, portion in zip(TENANTS, (2.0, 1.0, 1.0), strict=True)
        ),
    )


def machine_of(n, state=MachineState.READY):
    return Machine(n, n % 3, n % 2, n // 3 % 3, state)


# ---- the parts ------------------------------------------------------------------------------------------


def observations(record):
    for seed in range(4):
        random, now = Random(seed), 0.0
        observed = Observations(ZONES[: 2 + seed % 2], "z0")
        for _ in range(700):
            now += random.expovariate(12.0)
            n = random.randrange(36)
            draw = random.random()
            if draw < 0.12:
                zone = random.choice(observed.zones)
                observed.machine_listed(n, zone, f"{zone}/{random.randrange(3)}")
            elif draw < 0.15:
                observed.machine_removed(n)
            elif draw < 0.16:
                observed.discard_failures(now - random.random())
            elif draw < 0.17:
                observed.set_zones(ZONES)
            else:
                bad = int(now / 4.0) % 3 == n % 3
                observed.add_result(
                    now, n, random.choice(list(ExchangeResult)[1:]) if bad else ExchangeResult.ANSWER
                )
            named = [f"z{random.randrange(4)}/{random.randrange(4)}", "z1"]
            record.add(
                "counts",
                {
                    p: [c.listed, c.answering, c.failing, c.known, c.has_enough_results, c.fails, c.health()]
                    for p, c in observed.counts(now).items()
                },
            )
            record.add(
                "report",
                now,
                observed.isolation(now),
                [observed.has_single_rack(zone) for zone in observed.zones],
            )
            record.add("sent", report_of_observations(observed, now, named))


def silence(record):
    for seed in range(4):
        random, now = Random(seed), 0.0
        detector = SilenceDetector(lambda machine: str(machine // 3 % 2))
        response_s = 0.02 * 4**seed
        pending = []
        for _ in range(4000):
            now += random.expovariate(60.0)
            n = random.randrange(30)
            is_silent = int(now / 5.0) % 4 == n % 3
            detector.request_sent(now, ZONES[n % 3], n)
            if not is_silent:
                pending.append((now + response_s * random.uniform(0.5, 1.5), n))
            elif random.random() < 0.05:
                detector.exchange_ended(ZONES[n % 3], n)
            for at, machine in [answer for answer in pending if answer[0] <= now]:
                detector.answer_received(at, ZONES[machine % 3], machine)
            pending = [answer for answer in pending if answer[0] > now]
            if random.random() < 0.003:
                detector.restart_waits(now)
            record.add(
                "silent", now, [detector.is_silent(now, zone, random.random() < 0.2) for zone in ZONES]
            )


def quotas(record):
    for seed in range(6):
        random, now = Random(seed), 0.0
        members = {n: QuotaLease(0.02) for n in range(7)}
        ledger = QuotaLedger(0.0, "l0", 1.0, 0.5, 0.02)
        starts_per_window = (0.5, 1.5, 4.0, 9.0, 30.0, 0.0)[seed]
        for step in range(2500):
            now += random.random() * 0.03
            if random.random() < 0.003:
                ledger = QuotaLedger(now, f"l{step}", 1.0, 0.5, 0.02)
            if random.random() < 0.003:
                ledger.set_window(random.choice((0.5, 1.0, 2.0)))
            n, place = random.randrange(7), random.choice(("z1", "z2/1"))
            quota = ledger.allocate(
                now, place, f"d{n}", starts_per_window, [f"d{k}" for k in range(random.randrange(1, 8))]
            )
            if quota is not None:
                record.add(
                    "share", now, quota_trees([quota]), [starts_allowed(quota, f"m{k}") for k in range(9)]
                )
                record.add("taken", members[n].accept(quota, now - random.random() * 0.1))
            n, uid = random.randrange(7), f"m{random.randrange(9)}"
            record.add(
                "spend",
                members[n].remaining(now, place, uid),
                members[n].spend(now, place, uid),
                members[n].next_expiry(now),
            )
            if random.random() < 0.01:
                members[n].revoke(place)
            if not step % 50:
                record.add("out", ledger.status(now))
    record.add("rank", [token_offset(f"m{n}") for n in range(20)])


def load(record):
    settings = settings_of()
    for seed in range(150):
        random = Random(seed)
        rates = {name: random.uniform(0.0, 30.0) for name in (*TENANTS, "none") if random.random() < 0.8}
        record.add("weights", load_shedding.tenant_weights(settings.tenants))
        record.add(
            "borne",
            load_shedding.max_min_fair(
                rates, load_shedding.tenant_weights(settings.tenants), random.uniform(0, 60)
            ),
        )
        record.add("parts", load_shedding.shed_by_tenant(random.random(), rates, {"acme": 2.0}))
        need = capacity.CapacityNeed(random.uniform(0, 80), random.uniform(0, 80))
        by_class = {cls.name: random.uniform(0, 30) for cls in settings.classes if random.random() < 0.8}
        level = capacity.initial_shed_level(need, by_class, settings.classes)
        shed = capacity.shed_by_class(level, settings.classes)
        size = random.uniform(0, 90)
        record.add(
            "level",
            need.shortfall,
            level,
            shed,
            capacity.shed_level(shed),
            capacity.next_shed_level(level, random.uniform(0, size), size, 3),
        )
    for seed in range(4):
        random, now = Random(seed), 0.0
        budget, ramp, rates = RetryBudget(), MigrationRamp(), StartRates()
        accounting, peaks = LoadAccounting(), capacity.PeakLoad()
        for step in range(900):
            now += random.expovariate(20.0)
            place = random.choice(ZONES)
            rates.add(now, place)
            if random.random() < 0.01:
                ramp.begin(now, rates.rate(now, "z0"), rates.rate(now, "z1"))
            budget.add_first_attempt()
            record.add(
                "budget",
                now,
                budget.try_retry(random.random() < 0.7),
                ramp.retry_after_s(now, random.random()),
                ramp.rate(now),
                rates.rate(now, place),
            )
            accounting.request_arrived(
                now, RequestArrived(step, step % 3, 0, 1, random.random() * 3, 1.0, step + 7, step % 2)
            )
            if random.random() < 0.7:
                accounting.task_placed(step - random.randrange(9), random.randrange(12))
            if random.random() < 0.6:
                task = accounting.task_ended(step - random.randrange(30))
                record.add("ended", task and [task.class_index, task.cores, task.key, task.machine])
            if random.random() < 0.2:
                accounting.request_closed(step - random.randrange(30))
            peaks.add_sample(now, place, random.uniform(0, 50))
            request = accounting.pending(step - 3)
            record.add(
                "tally",
                {str(k): v for k, v in accounting.work_rates(now).items()},
                accounting.cores_on,
                accounting.requests_on,
                request and [request.class_index, request.cores, request.key],
                peaks.peak(now, place),
            )


def agreed(record):
    for seed in range(6):
        random, zones = Random(seed), ZoneStates()
        for index in range(1, 501):
            place = random.choice((*ZONES, "z1/2", "z2/0", "z9"))
            last = zones.place(place)
            draw = random.random()
            if draw < 0.85:
                command = {
                    "place": place,
                    "phase": random.choice(list(Phase)).value,
                    "number": last.number - (random.random() < 0.05),
                }
                for key, value in (
                    ("step", random.randrange(5)),
                    ("inside", random.random() < 0.5),
                    ("shed", {"lookup": 0.4}),
                    ("tenants", {"lookup": {"acme": 0.9}}),
                    ("flaps", random.randrange(4)),
                    ("held", random.random() < 0.2),
                    ("by", "fleet"),
                    ("why", "so"),
                    ("at", index),
                    ("witnesses", [f"d{n}" for n in range(random.randrange(20))]),
                ):
                    if random.random() < 0.5:
                        command[key] = value
                record.add("take", zones.apply(index, command, ZONES))
            elif draw < 0.92:
                record.add(
                    "hold",
                    zones.apply_hold(index, {"place": place, "held": random.random() < 0.3, "why": "w"}),
                )
            else:
                keys = [f"{random.randrange(99):x}" for _ in range(5)]
                record.add("fence", zones.apply_fence(place, keys, "g1"))
            record.add(
                "phase",
                zones.most_restrictive_phase("z1", "z1/2"),
                zones.another_serves("z1", ZONES),
                last.shed_fraction("lookup", "acme"),
            )
        text = json.dumps(zones.to_tree())
        record.add("state", text)
        assert json.dumps(ZoneStates.from_tree(json.loads(text)).to_tree()) == text


def change_of(random, zones, index):
    """Apply a valid change of a random place."""
    place = random.choice((*ZONES, "z1/2", "z0/0"))
    last = zones.place(place)
    next_phases = {
        "serving": "suspected",
        "suspected": random.choice(("leaving", "serving")),
        "leaving": "left",
        "left": random.choice(("left", "returning")),
        "returning": random.choice(("returning", "serving", "leaving")),
    }
    shed = {"lookup": random.choice((0.0, 0.3, 1.0))}
    return zones.apply(
        index,
        {
            "place": place,
            "phase": next_phases[last.phase.value],
            "number": last.number,
            "step": random.randrange(1, 5),
            "inside": random.random() < 0.4,
            "shed": shed,
            "tenants": {"lookup": {"acme": 0.6}} if shed["lookup"] else {},
        },
        ZONES,
    )


def member(record):
    """One dispatcher: all kinds of events with all outcomes, and the results of all queries."""
    outcomes = list(Outcome)
    for seed in range(6):
        random, now = Random(seed), 0.0
        settings = settings_of(seed % 3)
        failover_member = FailoverMember(
            settings, 0.02, Random(seed + 50), lambda machine: f"m{machine}", fences=seed != 5
        )
        handle = failover_member.handle_event
        handle(now, MachinesChanged(ListForm.FULL, tuple(machine_of(n) for n in range(36))))
        zones, index, serial = ZoneStates(), 0, 0
        for step in range(1500):
            now += random.expovariate(40.0)
            n = random.randrange(38)
            bad = int(now / 4.0) % 4 == n % 3
            outcome = random.choice(outcomes) if bad or random.random() < 0.05 else outcomes[0]
            reason = random.choice(list(Reason)) if random.random() < 0.1 else 0
            request = serial - random.randrange(40)
            draw = random.random()
            if draw < 0.3:
                serial += 1
                handle(
                    now,
                    RequestArrived(
                        serial,
                        serial % 3,
                        0,
                        1,
                        random.random() * 3,
                        1.0,
                        serial if random.random() < 0.8 else 0,
                        serial % 4,
                    ),
                )
            elif draw < 0.4:
                handle(now, Placed(request, 0, n, 0))
            elif draw < 0.43:
                serial += 1
                handle(now, TaskAdopted(serial, serial % 3, 1, 1.0, 1.0, n, serial))
            elif draw < 0.46:
                handle(now, Note(request, 0, n, 1, 0.5))
            elif draw < 0.6:
                handle(now, ProbeAnswered(n, outcome))
            elif draw < 0.8:
                handle(now, AttemptEnded(request, 0, n, outcome, 0, reason, random.random() < 0.6))
            elif draw < 0.82:
                handle(now, RequestAbandoned(request))
            elif draw < 0.83:
                form = random.choice(list(ListForm))
                states = [random.choice(list(MachineState)) for _ in range(36)]
                few = random.sample(range(36), 4)
                for k in range(36):  # a removed machine must not have a pending answer
                    if states[k] is MachineState.REMOVED or k not in few:
                        handle(now, AttemptEnded(0, 0, k, Outcome.CANCELLED))
                handle(
                    now,
                    MachinesChanged(
                        form,
                        tuple(
                            machine_of(k, states[k])
                            for k in range(36)
                            if form is not ListForm.DELTA or k in few
                        ),
                    ),
                )
            elif draw < 0.84:
                failover_member.connection_lost(n)
            elif draw < 0.841:
                now += 1.0  # the process was stopped
            elif draw < 0.86:
                index += 1
                change_of(random, zones, index)
                failover_member.apply_agreed_state(
                    now, ZoneStates.from_tree(json.loads(json.dumps(zones.to_tree())))
                )
            elif draw < 0.862:
                settings = settings_of(seed % 3)
                failover_member.update_settings(settings)
            elif draw < 0.88:
                place = random.choice(("z1", "z0", "z1/2"))
                quota = StartQuota(
                    place, f"e{step}", step, random.randrange(3), 3, random.randrange(1, 9), 0.5
                )
                record.add("take", failover_member.receive_quotas([quota], now - 0.01))
            else:
                for _ in range(random.choice((1, 1, 1, 8))):
                    record.add(
                        "stops", n, failover_member.start_refusal(now, n, random.choice((-1, 0, 1, 1)))
                    )
            record.add("state", now, failover_member.effective_state(now, n), failover_member.phase(n))
            record.add(
                "away",
                rejection(failover_member.rejection(now, step % 3, serial - 5, serial % 4, 1.0)),
                failover_member.rejected,
            )
            if not step % 4:
                record.add("tick", failover_member.tick(now), failover_member.silent_zones)
                record.add("sent", report_text(failover_member, now))
                place, keys = failover_member.unreported_fences()
                record.add("fences", place, keys)
                if keys and random.random() < 0.3:
                    zones.apply_fence(place, keys, "d0")


def report_of(random, now, n, truth, sums):
    """Return a dispatcher's report on places with health `truth`, with noise; `sums` counts its starts."""
    observations_by_place = {}
    for place in (*ZONES, "z1/2"):
        health = truth[place] if random.random() < 0.985 else random.choice(HEALTHS)
        observations_by_place[place] = [health, random.randrange(9), random.randrange(9), 12]
        if health == "down":
            observations_by_place[place].append(random.randrange(900))
    for place in ("z0", "z1", "z1/2"):
        counts = sums.setdefault((n, place), [0, 0, 0])
        counts[0] += 2
        counts[1] += 2 * (truth[place] != "down")
        counts[2] += truth[place] == "down" or random.random() < 0.06
    return json.dumps(
        {
            "zone": f"z{n % 3}",
            "cut": random.choice(ISOLATIONS) if random.random() < 0.04 else "",
            "looks": observations_by_place,
            "stands": {zone: round(random.uniform(0, 40), 1) for zone in ZONES},
            "rates": {"lookup": round(random.uniform(0, 9), 1), "import": 2.0, "writer": 1.0},
            "size": {zone: 160.0 for zone in ZONES if random.random() < 0.95},
            "refused": int(now),
            "tenants": {"lookup": {name: round(random.uniform(0, 4), 1) for name in TENANTS}},
            "starts": {place: sums[n, place] for place in ("z0", "z1", "z1/2")},
        }
    )


def leader(record):
    settings = settings_of()
    actions = ("leave", "return", "hold", "release", "other")
    for seed in range(6):
        random, now, zones = Random(seed), 0.0, ZoneStates()
        timing = FailoverTiming(quorum=1) if seed == 5 else FailoverTiming(served=20.0)
        failover_leader = FailoverLeader(0.0, "l0.1", timing, 1.0, 0.5, 0.02)
        truth, sums, reporters = dict.fromkeys((*ZONES, "z1/2"), "fine"), {}, range(8)
        for step in range(1000):
            now += 0.05
            if random.random() < 0.02:
                place = random.choice(list(truth))
                truth[place] = random.choice(("down", "down", *HEALTHS)) if truth[place] == "fine" else "fine"
                if place == "z1":
                    truth["z1/2"] = truth["z1"]
            if random.random() < 0.004:
                failover_leader = FailoverLeader(now, f"l{step}.1", timing, 1.0, 0.5, 0.02)
            if random.random() < 0.01:
                reporters = random.sample(range(8), random.randrange(4, 9))
            for n in reporters:
                if random.random() < 0.3:
                    receive(
                        failover_leader, now, f"d{n}", f"d{n}.1.t", report_of(random, now, n, truth, sums)
                    )
                    quotas = failover_leader.quotas_for(now, f"d{n}.1.t", zones, settings)
                    if quotas:
                        record.add("shares", quota_trees(quotas))
            failover_leader.set_members(
                {f"d{n}" for n in range(8)} if step % 100 else {f"d{n}" for n in range(6)}
            )
            is_pending = random.random() < 0.2
            for command in changes(
                failover_leader, now, zones, settings, lambda index, is_pending=is_pending: not is_pending
            ):
                record.add("command", command, zones.apply(zones.number + 1, command, ZONES))
            if random.random() < 0.02:
                request = {
                    "id": f"o{step}",
                    "place": random.choice((*ZONES, "z1/2", "z7")),
                    "why": "power",
                    "word": random.choice(actions),
                    "despite": random.random() < 0.7,
                    "at": step,
                }
                command = failover_leader.operator_command(now, request, zones, settings)
                record.add("operator", command)
                if command.get("do") == "zone":
                    record.add("done", zones.apply(zones.number + 1, command, ZONES))
                elif command.get("do") == "zone_hold" and (not command["held"] or random.random() < 0.2):
                    record.add("done", zones.apply_hold(zones.number + 1, command))
            if not step % 10:
                record.add("status", failover_leader.status(now, [*ZONES, "z1/2"]))
                need = failover_leader.capacity_need(now, "z1", zones, settings)
                record.add(
                    "need",
                    need.carried,
                    need.free,
                    need.shortfall,
                    failover_leader.initial_shed(now, "z1", zones, settings),
                )
        record.add("timeline", failover_leader.timeline)
        record.add("state", zones.to_tree())


class RecordedRealm(Realm):
    """Records what each dispatcher sends, applies, checks and starts, and the responses of the leader."""

    record: Record

    def _asked(self, n, report, sent, applied):
        self.record.add("report", n, self.now, report, applied)
        super()._asked(n, report, sent, applied)

    def _answered(self, n, quotas, sent, state):
        self.record.add("answer", n, self.now, quota_trees(quotas), state)
        super()._answered(n, quotas, sent, state)

    def _exchange(self, n, machine, request=0):
        self.record.add("exchange", n, self.now, machine, request)
        super()._exchange(n, machine, request)


def realm(record):
    def zone(sim):
        sim.at(2.0, lambda: sim.fail_zone(1))
        sim.at(6.0, lambda: sim.return_zone(1))

    def kills(sim):
        zone(sim)
        for at in (2.4, 7.0):
            sim.at(at, sim.kill_leader)

    def rack(sim):
        sim.at(2.0, lambda: sim.fail_zone(1, cell=2))
        sim.at(3.0, lambda: sim.liars.add(0))

    def blind(sim):
        sim.blind = {0: {0, 1, 2}, 1: {0, 2}, 4: {0, 2}}
        sim.at(2.0, lambda: sim.cut_off.update({2, 5}))
        sim.at(4.0, lambda: sim.fail_zone(2))

    for seed, (fault, until, silence_s) in enumerate(
        ((zone, 15.0, 0.27), (kills, 11.0, 0.27), (rack, 6.0, 0.27), (blind, 7.0, 0.27), (zone, 5.0, 1.0))
    ):
        sim = RecordedRealm(
            dispatchers=7, machines=63, zones=3, racks=5, seed=seed, every_s=0.06, silence_s=silence_s
        )
        sim.record = record
        fault(sim)
        sim.run(until)
        record.add("changes", sim.changes, sim.starts, sim.unheard, sim.peak)
        record.add("left", {str(key): at for key, at in sim.left_at.items()}, sim.zones.to_tree())
        record.add("timeline", sim.leader.timeline)


def standalone(record):
    for seed in range(2):
        failover = StandaloneFailover(realm_settings(3, 6, 12.0), FailoverTiming(), Random(seed), 0.0)
        failover.member.handle_event(
            0.0, MachinesChanged(ListForm.FULL, tuple(machine_of(n) for n in range(30)))
        )
        overlay = EndpointOverlay()
        for n in range(30):
            overlay.machine_listed(machine_of(n))
        now = 0.0
        for step in range(1200):
            now += 0.025
            down = () if now < 3.0 or 7.0 < now < 21.0 else (1,)
            machine = step % 30
            state, refusal = (
                failover.member.effective_state(now, machine),
                failover.member.start_refusal(now, machine, step % 2),
            )
            record.add("may", state, refusal)
            started = [machine] if state == "ready" and not refusal else []
            checks, changed = failover.tick(now)
            for n in [*started, *checks]:
                outcome = Outcome.TIMEOUT if n % 3 in down else Outcome.OK
                failover.member.handle_event(now, ProbeAnswered(n, outcome))
            record.add(
                "tick",
                checks,
                changed,
                [
                    [change.place, change.phase, change.step or 0, change.reason]
                    for change in failover.changes
                ],
            )
            failover.changes.clear()
            if changed:
                machines = overlay.changes(
                    range(30),
                    lambda entry, failover=failover, now=now: failover.member.effective_state(now, entry.id),
                )
                record.add("news", [[entry.id, entry.state] for entry in machines])
        record.add("state", failover.zones.to_tree())


def messages(record):
    """The encoded messages between members and the leader."""
    settings, zones, group, now = settings_of(), ZoneStates(), StateMachine(), 0.0
    zone_leader = ZoneLeader(
        0.0,
        "g0",
        3,
        FailoverTiming(),
        Leader(LeaseTiming(), 0.0, lambda tree: settings),
        lambda tree: settings,
    )
    for index, command in enumerate(
        (
            *({"do": "join", "name": f"d{n}", "epoch": 1, "token": "t"} for n in range(6)),
            {"do": "propose", "base": 0, "tree": {"zones": list(ZONES)}, "why": "", "by": ""},
            {"do": "activate", "number": 1},
        ),
        1,
    ):
        group.apply(index, json.dumps({**command, "id": str(index)}))
    zones = group.zones
    members = []
    for n in range(6):
        failover_member = FailoverMember(settings_of(n % 3), 0.02, Random(n), str)
        failover_member.handle_event(
            0.0, MachinesChanged(ListForm.FULL, tuple(machine_of(k) for k in range(36)))
        )
        members.append(failover_member)
    serial = 0
    for step in range(260):
        now += 0.05
        for n, failover_member in enumerate(members):
            for _ in range(4):
                serial += 1
                machine = (serial * 7) % 36
                is_down = machine % 3 == 1 and 1.0 < now < 4.0
                failover_member.handle_event(
                    now, RequestArrived(serial, serial % 3, 0, 1, 1.0, 1.0, serial, serial % 3)
                )
                if not failover_member.start_refusal(now, machine, 0):
                    if is_down:
                        failover_member.handle_event(
                            now,
                            AttemptEnded(serial, 0, machine, Outcome.CONNECT_FAILED, closed=True),
                        )
                    else:
                        failover_member.handle_event(now, Placed(serial, 0, machine, 0))
                for checked in failover_member.tick(now):
                    silent = checked % 3 == 1 and 1.0 < now < 4.0
                    failover_member.handle_event(
                        now,
                        ProbeAnswered(checked, Outcome.TIMEOUT if silent else Outcome.OK),
                    )
            if step % 4 == n % 4:
                request = LeaseRequest(
                    7, f"d{n}", 1, "t", now, group.index, "x", zone_report=report_text(failover_member, now)
                )
                zone_leader.receive_report(now, group, request)
                quotas = zone_leader.start_quotas(now, group, request)
                response = LeaseResponse(
                    7, now, True, "", "", 0, (), "", group.index, "x", start_quotas=quotas
                )
                for message in (request, response):
                    stream, data = codec.encode(message)
                    record.add("word", stream, data.hex())
        for command in zone_leader.due_commands(now, group):
            record.add("command", json.dumps(command), group.apply(group.index + 1, json.dumps(command)))
            for failover_member in members:
                failover_member.apply_agreed_state(now, zones)
    record.add("status", json.dumps(zone_leader.status(now, group)))
    record.add("group", group.snapshot())


def simulation(name, *seeds):
    def part(record):
        for seed in seeds:
            result = run_scenario(seed, SCENARIOS[name])
            record.add("play", name, seed, result.digest, result.broken, result.answers, result.starts)

    return part


PARTS: dict[str, Callable[[Record], None]] = {
    part.__name__: part
    for part in (observations, silence, quotas, load, agreed, member, leader, realm, standalone, messages)
} | {f"simulation {name}": simulation(name, *((1, 7) if name == "mixed" else (2,))) for name in SCENARIOS}


def record_of(name: str) -> Record:
    record = Record()
    PARTS[name](record)
    return record


def run_in_process(*arguments: str) -> str:
    return subprocess.run(
        [sys.executable, __file__, *arguments],
        text=True,
        stdout=subprocess.PIPE,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    ).stdout


@pytest.mark.parametrize("name", PARTS)
def test_decisions_and_messages_match_the_recorded_digest(name):
    assert json.loads(run_in_process(name)) == json.loads(DATA.read_text())["digests"][name]


# ---- encoded names --------------------------------------------------------------------------------------


def samples() -> dict:
    """Return one sample of each encoded form that leaves the package."""
    failover_member = FailoverMember(settings_of(), 0.02, Random(1), str)
    failover_member.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(machine_of(n) for n in range(36))))
    for serial in range(1, 37):
        n = serial - 1
        failover_member.handle_event(1.0, RequestArrived(serial, n % 3, 0, 1, 2.0, 1.0, serial, n % 3))
        if n % 3 == 1:
            failover_member.handle_event(1.0, AttemptEnded(serial, 0, n, Outcome.TIMEOUT, closed=True))
        else:
            failover_member.handle_event(1.0, Placed(serial, 0, n, 0))
    zones = ZoneStates()
    for index, phase in enumerate(("suspected", "leaving", "left", "returning"), 1):
        zones.apply(index, {"place": "z0", "phase": phase, "number": index - 1, "step": 1}, ZONES)
    failover_member.apply_agreed_state(1.0, zones)
    failover_member.receive_quotas([StartQuota("z0", "g0.3.0", 0, 0, 1, 30, 0.5)], 1.0)
    failover_member.start_refusal(1.1, 0, 0)
    failover_member.handle_event(1.1, Placed(99, 0, 0, 0))
    failover_member.handle_event(1.1, AttemptEnded(98, 0, 3, Outcome.ERROR, closed=True))
    leader = FailoverLeader(0.0, "g0.3", FailoverTiming(), 1.0, 0.5, 0.02)
    report = report_text(failover_member, 1.2)
    for n in range(3):
        receive(leader, 1.7, f"d{n}", f"d{n}.1.t", report)
    down = json.loads(report)
    for n in range(3, 6):
        receive(leader, 1.7, f"d{n}", f"d{n}.1.t", json.dumps({**down, "zone": "z2"}))
    commands = changes(leader, 1.7, zones, settings_of(), lambda index: True)
    return {
        "report": json.loads(report),
        "quotas": [quota_trees(leader.quotas_for(1.8, f"d{n}.1.t", zones, settings_of())) for n in range(3)],
        "commands": commands,
        "operator": {
            action: leader.operator_command(
                1.7, {"id": "o", "place": place, "word": action, "why": "w", "at": 9}, zones, settings_of()
            )
            for action, place in (
                ("leave", "z1"),
                ("hold", "z1"),
                ("release", "z0"),
                ("return", "z0"),
                ("x", "z1"),
            )
        },
        "state": zones.to_tree(),
        "status": {**leader.status(1.7, ZONES), "timeline": leader.timeline},
    }


def test_encoded_names_match_the_recorded_samples():
    assert json.loads(run_in_process("--samples")) == json.loads(DATA.read_text())["samples"]


@pytest.mark.parametrize("command", ("status", "history"))
def test_the_command_line_prints_the_recorded_names(command):
    recorded = json.loads(DATA.read_text())["samples"]
    status = {
        **recorded["state"],
        "fenced": 0,
        "name": "g0",
        "footing": "lease",
        "seen_by_leader": recorded["status"],
    }
    with (
        mock.patch.object(cli_zones, "group_gateway", lambda *_: SimpleNamespace(call=lambda *_: status)),
        tempfile.NamedTemporaryFile("w", suffix=".json") as file,
    ):
        as_json = CliRunner().invoke(
            root, ["zones", command, "--json", "--pullqueue", file.name], standalone_mode=False
        )
        as_text = CliRunner().invoke(
            root, ["zones", command, "--pullqueue", file.name], standalone_mode=False
        )
    assert json.loads(as_json.stdout) == (status if command == "status" else {"history": status["history"]})
    assert [as_json.return_value, as_text.return_value] == [1 if command == "status" else None] * 2
    for text in ("z0", "returning", "1/4"):
        assert text in as_text.stdout


def main(arguments: list[str]) -> None:
    if arguments[0] == "--record":
        digests = {name: json.loads(run_in_process(name)) for name in PARTS}
        recorded = {"digests": digests, "samples": json.loads(run_in_process("--samples"))}
        DATA.write_text(json.dumps(recorded, indent=1) + "\n")
        return
    if arguments[0] == "--samples":
        print(json.dumps(samples()))
        return
    record = record_of(arguments[0])
    if arguments[1:2] == ["--log"]:
        Path(arguments[2]).write_text("\n".join(record.lines) + "\n")
    print(json.dumps([len(record.lines), record.digest()]))


if __name__ == "__main__":
    main(sys.argv[1:])
