"""What the zones package decides, sends and prints, recorded before its code was made readable.

Each part is played from seeds in a process of its own with a fixed hash seed (some sets of names are walked
in their order), and its digest is compared with `data/pins_zones.json`.

    python tests/test_pins_zones.py --record          # writes that file anew
    python tests/test_pins_zones.py PART --log FILE   # writes what a part's digest is made of
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
LOOKS = ("fine", "gray", "down", "unsure")
CUTS = ("", "cut off", "its zone is cut off")
TENANTS = ("acme", "bolt", "cogs")

# ---- what is called, by the names of today --------------------------------------------------------------


def report_text(member, now):
    """A member's report, as it is sent."""
    return member.report(now).to_json()


def receive(leader, now, name, incarnation, text):
    leader.receive_report(now, name, incarnation, ZoneReport.from_json(text))


def changes(leader, now, zones, settings, held):
    """Commands that are due, as they are sent."""
    return [one.to_tree() for one in leader.due_changes(now, zones, settings, held)]


def quota_trees(quotas):
    """As they are sent."""
    return [one.to_tree() for one in quotas]


def rejection(found):
    return None if found is None else [found.retry_after_s, found.reason]


def plain(value):
    """What can be written as JSON, in the order it has."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): plain(one) for key, one in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(map(plain, value))
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    return value


def report_of_observations(observations, now, named):
    """The part of a report that is observed, as it is sent."""
    isolation, places = observations.isolation(now).value, observations.by_place(now, named)
    tree = ZoneReport(observations.own, isolation, places).to_tree()
    return json.dumps({key: tree[key] for key in ("zone", "cut", "looks")}, separators=(",", ":"))


class Record:
    """All that a part came to, one line a step."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add(self, what: str, *values: object) -> None:
        self.lines.append(json.dumps([what, *map(plain, values)]))

    def digest(self) -> str:
        return hashlib.sha256("\n".join(self.lines).encode()).hexdigest()


def settings_of(zone=0):
    """All effects, three tenants, and more than one kind."""
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
            Tenant(name, 0.0, 0.0, part) for name, part in zip(TENANTS, (2.0, 1.0, 1.0), strict=True)
        ),
    )


def machine_of(n, state=MachineState.READY):
    return Machine(n, n % 3, n % 2, n // 3 % 3, state)


# ---- the parts ------------------------------------------------------------------------------------------


def observations(record):
    for seed in range(4):
        random, now = Random(seed), 0.0
        sight = Observations(ZONES[: 2 + seed % 2], "z0")
        for _ in range(700):
            now += random.expovariate(12.0)
            n = random.randrange(36)
            draw = random.random()
            if draw < 0.12:
                zone = random.choice(sight.zones)
                sight.machine_listed(n, zone, f"{zone}/{random.randrange(3)}")
            elif draw < 0.15:
                sight.machine_removed(n)
            elif draw < 0.16:
                sight.discard_failures(now - random.random())
            elif draw < 0.17:
                sight.set_zones(ZONES)
            else:
                bad = int(now / 4.0) % 3 == n % 3
                sight.add_result(
                    now, n, random.choice(list(ExchangeResult)[1:]) if bad else ExchangeResult.ANSWER
                )
            named = [f"z{random.randrange(4)}/{random.randrange(4)}", "z1"]
            record.add(
                "counts",
                {
                    p: [c.listed, c.answering, c.failing, c.known, c.is_enough, c.fails, c.health()]
                    for p, c in sight.counts(now).items()
                },
            )
            record.add(
                "report", now, sight.isolation(now), [sight.has_single_rack(zone) for zone in sight.zones]
            )
            record.add("sent", report_of_observations(sight, now, named))


def silence(record):
    for seed in range(4):
        random, now = Random(seed), 0.0
        hush = SilenceDetector(lambda machine: str(machine // 3 % 2))
        late = 0.02 * 4**seed
        owed = []
        for _ in range(4000):
            now += random.expovariate(60.0)
            n = random.randrange(30)
            mute = int(now / 5.0) % 4 == n % 3
            hush.request_sent(now, ZONES[n % 3], n)
            if not mute:
                owed.append((now + late * random.uniform(0.5, 1.5), n))
            elif random.random() < 0.05:
                hush.exchange_ended(ZONES[n % 3], n)
            for at, one in [one for one in owed if one[0] <= now]:
                hush.answer_received(at, ZONES[one % 3], one)
            owed = [one for one in owed if one[0] > now]
            if random.random() < 0.003:
                hush.restart_waits(now)
            record.add("silent", now, [hush.is_silent(now, zone, random.random() < 0.2) for zone in ZONES])


def quotas(record):
    for seed in range(6):
        random, now = Random(seed), 0.0
        members = {n: QuotaLease(0.02) for n in range(7)}
        ledger = QuotaLedger(0.0, "l0", 1.0, 0.5, 0.02)
        pace = (0.5, 1.5, 4.0, 9.0, 30.0, 0.0)[seed]
        for step in range(2500):
            now += random.random() * 0.03
            if random.random() < 0.003:
                ledger = QuotaLedger(now, f"l{step}", 1.0, 0.5, 0.02)
            if random.random() < 0.003:
                ledger.set_window(random.choice((0.5, 1.0, 2.0)))
            n, place = random.randrange(7), random.choice(("z1", "z2/1"))
            share = ledger.allocate(
                now, place, f"d{n}", pace, [f"d{k}" for k in range(random.randrange(1, 8))]
            )
            if share is not None:
                record.add(
                    "share", now, quota_trees([share]), [starts_allowed(share, f"m{k}") for k in range(9)]
                )
                record.add("taken", members[n].accept(share, now - random.random() * 0.1))
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
        by_class = {one.name: random.uniform(0, 30) for one in settings.classes if random.random() < 0.8}
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
        attempts, ramp, rates = RetryBudget(), MigrationRamp(), StartRates()
        tally, carried = LoadAccounting(), capacity.PeakLoad()
        for step in range(900):
            now += random.expovariate(20.0)
            place = random.choice(ZONES)
            rates.add(now, place)
            if random.random() < 0.01:
                ramp.begin(now, rates.rate(now, "z0"), rates.rate(now, "z1"))
            attempts.add_first_attempt()
            record.add(
                "budget",
                now,
                attempts.try_retry(random.random() < 0.7),
                ramp.retry_after_s(now, random.random()),
                ramp.rate(now),
                rates.rate(now, place),
            )
            tally.request_arrived(
                now, RequestArrived(step, step % 3, 0, 1, random.random() * 3, 1.0, step + 7, step % 2)
            )
            if random.random() < 0.7:
                tally.task_placed(step - random.randrange(9), random.randrange(12))
            if random.random() < 0.6:
                one = tally.task_ended(step - random.randrange(30))
                record.add("ended", one and [one.class_index, one.cores, one.key, one.machine])
            if random.random() < 0.2:
                tally.request_closed(step - random.randrange(30))
            carried.add_sample(now, place, random.uniform(0, 50))
            asked = tally.pending(step - 3)
            record.add(
                "tally",
                {str(k): v for k, v in tally.work_rates(now).items()},
                tally.cores_on,
                tally.requests_on,
                asked and [asked.class_index, asked.cores, asked.key],
                carried.peak(now, place),
            )


def agreed(record):
    for seed in range(6):
        random, zones = Random(seed), ZoneStates()
        for index in range(1, 501):
            place = random.choice((*ZONES, "z1/2", "z2/0", "z9"))
            last = zones.place(place)
            draw = random.random()
            if draw < 0.85:
                told = {
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
                        told[key] = value
                record.add("take", zones.apply(index, told, ZONES))
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
                zones.narrowest_phase("z1", "z1/2"),
                zones.another_serves("z1", ZONES),
                last.shed_part("lookup", "acme"),
            )
        text = json.dumps(zones.to_tree())
        record.add("state", text)
        assert json.dumps(ZoneStates.from_tree(json.loads(text)).to_tree()) == text


def change_of(random, zones, index):
    """A change that can follow, of a random place."""
    place = random.choice((*ZONES, "z1/2", "z0/0"))
    last = zones.place(place)
    nexts = {
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
            "phase": nexts[last.phase.value],
            "number": last.number,
            "step": random.randrange(1, 5),
            "inside": random.random() < 0.4,
            "shed": shed,
            "tenants": {"lookup": {"acme": 0.6}} if shed["lookup"] else {},
        },
        ZONES,
    )


def member(record):
    """Every kind of event, with all outcomes, at one dispatcher; what it answers to every question."""
    outcomes = list(Outcome)
    for seed in range(6):
        random, now = Random(seed), 0.0
        settings = settings_of(seed % 3)
        one = FailoverMember(
            settings, 0.02, Random(seed + 50), lambda machine: f"m{machine}", fences=seed != 5
        )
        heard = one.handle_event
        heard(now, MachinesChanged(ListForm.FULL, tuple(machine_of(n) for n in range(36))))
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
                heard(
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
                heard(now, Placed(request, 0, n, 0))
            elif draw < 0.43:
                serial += 1
                heard(now, TaskAdopted(serial, serial % 3, 1, 1.0, 1.0, n, serial))
            elif draw < 0.46:
                heard(now, Note(request, 0, n, 1, 0.5))
            elif draw < 0.6:
                heard(now, ProbeAnswered(n, outcome))
            elif draw < 0.8:
                heard(now, AttemptEnded(request, 0, n, outcome, 0, reason, random.random() < 0.6))
            elif draw < 0.82:
                heard(now, RequestAbandoned(request))
            elif draw < 0.83:
                form = random.choice(list(ListForm))
                states = [random.choice(list(MachineState)) for _ in range(36)]
                few = random.sample(range(36), 4)
                for k in range(36):  # one that is gone while it owes an answer is another matter
                    if states[k] is MachineState.REMOVED or k not in few:
                        heard(now, AttemptEnded(0, 0, k, Outcome.CANCELLED))
                heard(
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
                one.connection_lost(n)
            elif draw < 0.841:
                now += 1.0  # it was stopped
            elif draw < 0.86:
                index += 1
                change_of(random, zones, index)
                one.apply_agreed_state(now, ZoneStates.from_tree(json.loads(json.dumps(zones.to_tree()))))
            elif draw < 0.862:
                settings = settings_of(seed % 3)
                one.update_settings(settings)
            elif draw < 0.88:
                place = random.choice(("z1", "z0", "z1/2"))
                share = StartQuota(
                    place, f"e{step}", step, random.randrange(3), 3, random.randrange(1, 9), 0.5
                )
                record.add("take", one.receive_quotas([share], now - 0.01))
            else:
                for _ in range(random.choice((1, 1, 1, 8))):
                    record.add("stops", n, one.start_refusal(now, n, random.choice((-1, 0, 1, 1))))
            record.add("state", now, one.effective_state(now, n), one.phase(n))
            record.add(
                "away", rejection(one.rejection(now, step % 3, serial - 5, serial % 4, 1.0)), one.rejected
            )
            if not step % 4:
                record.add("tick", one.tick(now), one.silent_zones)
                record.add("sent", report_text(one, now))
                place, keys = one.unreported_fences()
                record.add("fences", place, keys)
                if keys and random.random() < 0.3:
                    zones.apply_fence(place, keys, "d0")


def report_of(random, now, n, truth, sums):
    """One dispatcher's report on a world in which `truth` holds, with noise; `sums` counts its starts."""
    looks = {}
    for place in (*ZONES, "z1/2"):
        look = truth[place] if random.random() < 0.985 else random.choice(LOOKS)
        looks[place] = [look, random.randrange(9), random.randrange(9), 12]
        if look == "down":
            looks[place].append(random.randrange(900))
    for place in ("z0", "z1", "z1/2"):
        row = sums.setdefault((n, place), [0, 0, 0])
        row[0] += 2
        row[1] += 2 * (truth[place] != "down")
        row[2] += truth[place] == "down" or random.random() < 0.06
    return json.dumps(
        {
            "zone": f"z{n % 3}",
            "cut": random.choice(CUTS) if random.random() < 0.04 else "",
            "looks": looks,
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
    words = ("leave", "return", "hold", "release", "other")
    for seed in range(6):
        random, now, zones = Random(seed), 0.0, ZoneStates()
        times = FailoverTiming(quorum=1) if seed == 5 else FailoverTiming(served=20.0)
        one = FailoverLeader(0.0, "l0.1", times, 1.0, 0.5, 0.02)
        truth, sums, bearers = dict.fromkeys((*ZONES, "z1/2"), "fine"), {}, range(8)
        for step in range(1000):
            now += 0.05
            if random.random() < 0.02:
                place = random.choice(list(truth))
                truth[place] = random.choice(("down", "down", *LOOKS)) if truth[place] == "fine" else "fine"
                if place == "z1":
                    truth["z1/2"] = truth["z1"]
            if random.random() < 0.004:
                one = FailoverLeader(now, f"l{step}.1", times, 1.0, 0.5, 0.02)
            if random.random() < 0.01:
                bearers = random.sample(range(8), random.randrange(4, 9))
            for n in bearers:
                if random.random() < 0.3:
                    receive(one, now, f"d{n}", f"d{n}.1.t", report_of(random, now, n, truth, sums))
                    got = one.quotas_for(now, f"d{n}.1.t", zones, settings)
                    if got:
                        record.add("shares", quota_trees(got))
            one.set_members({f"d{n}" for n in range(8)} if step % 100 else {f"d{n}" for n in range(6)})
            wait = random.random() < 0.2
            for command in changes(one, now, zones, settings, lambda index, wait=wait: not wait):
                record.add("command", command, zones.apply(zones.number + 1, command, ZONES))
            if random.random() < 0.02:
                told = {
                    "id": f"o{step}",
                    "place": random.choice((*ZONES, "z1/2", "z7")),
                    "why": "power",
                    "word": random.choice(words),
                    "despite": random.random() < 0.7,
                    "at": step,
                }
                command = one.operator_command(now, told, zones, settings)
                record.add("operator", command)
                if command.get("do") == "zone":
                    record.add("done", zones.apply(zones.number + 1, command, ZONES))
                elif command.get("do") == "zone_hold" and (not command["held"] or random.random() < 0.2):
                    record.add("done", zones.apply_hold(zones.number + 1, command))
            if not step % 10:
                record.add("status", one.status(now, [*ZONES, "z1/2"]))
                need = one.capacity_need(now, "z1", zones, settings)
                record.add(
                    "need",
                    need.carried,
                    need.free,
                    need.shortfall,
                    one.initial_shed(now, "z1", zones, settings),
                )
        record.add("timeline", one.timeline)
        record.add("state", zones.to_tree())


class RecordedRealm(Realm):
    """Writes down what each dispatcher sends, holds, probes and starts, and what the leader answers."""

    record: Record

    def _asked(self, n, told, sent, held):
        self.record.add("report", n, self.now, told, held)
        super()._asked(n, told, sent, held)

    def _answered(self, n, shares, sent, state):
        self.record.add("answer", n, self.now, quota_trees(shares), state)
        super()._answered(n, shares, sent, state)

    def _exchange(self, n, machine, request=0):
        self.record.add("exchange", n, self.now, machine, request)
        super()._exchange(n, machine, request)


def realm(record):
    def zone(one):
        one.at(2.0, lambda: one.fail_zone(1))
        one.at(6.0, lambda: one.return_zone(1))

    def kills(one):
        zone(one)
        for at in (2.4, 7.0):
            one.at(at, one.kill_leader)

    def rack(one):
        one.at(2.0, lambda: one.fail_zone(1, cell=2))
        one.at(3.0, lambda: one.liars.add(0))

    def blind(one):
        one.blind = {0: {0, 1, 2}, 1: {0, 2}, 4: {0, 2}}
        one.at(2.0, lambda: one.cut_off.update({2, 5}))
        one.at(4.0, lambda: one.fail_zone(2))

    for seed, (fault, until, silence_s) in enumerate(
        ((zone, 15.0, 0.27), (kills, 11.0, 0.27), (rack, 6.0, 0.27), (blind, 7.0, 0.27), (zone, 5.0, 1.0))
    ):
        one = RecordedRealm(
            dispatchers=7, machines=63, zones=3, racks=5, seed=seed, every_s=0.06, silence_s=silence_s
        )
        one.record = record
        fault(one)
        one.run(until)
        record.add("changes", one.changes, one.starts, one.unheard, one.peak)
        record.add("left", {str(key): at for key, at in one.left_at.items()}, one.zones.to_tree())
        record.add("timeline", one.leader.timeline)


def standalone(record):
    for seed in range(2):
        one = StandaloneFailover(realm_settings(3, 6, 12.0), FailoverTiming(), Random(seed), 0.0)
        one.member.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(machine_of(n) for n in range(30))))
        overlay = EndpointOverlay()
        for n in range(30):
            overlay.machine_listed(machine_of(n))
        now = 0.0
        for step in range(1200):
            now += 0.025
            down = () if now < 3.0 or 7.0 < now < 21.0 else (1,)
            machine = step % 30
            state, stopped = (
                one.member.effective_state(now, machine),
                one.member.start_refusal(now, machine, step % 2),
            )
            record.add("may", state, stopped)
            asked = [machine] if state == "ready" and not stopped else []
            probes, changed = one.tick(now)
            for n in [*asked, *probes]:
                outcome = Outcome.TIMEOUT if n % 3 in down else Outcome.OK
                one.member.handle_event(now, ProbeAnswered(n, outcome))
            record.add(
                "tick",
                probes,
                changed,
                [[c.place, c.phase, c.step or 0, c.reason] for c in one.changes],
            )
            one.changes.clear()
            if changed:
                news = overlay.changes(
                    range(30), lambda entry, one=one, now=now: one.member.effective_state(now, entry.id)
                )
                record.add("news", [[entry.id, entry.state] for entry in news])
        record.add("state", one.zones.to_tree())


def messages(record):
    """What crosses between a member and the leader, byte by byte."""
    settings, zones, group, now = settings_of(), ZoneStates(), StateMachine(), 0.0
    zoning = ZoneLeader(
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
        one = FailoverMember(settings_of(n % 3), 0.02, Random(n), str)
        one.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(machine_of(k) for k in range(36))))
        members.append(one)
    serial = 0
    for step in range(260):
        now += 0.05
        for n, one in enumerate(members):
            for _ in range(4):
                serial += 1
                machine = (serial * 7) % 36
                gone = machine % 3 == 1 and 1.0 < now < 4.0
                one.handle_event(now, RequestArrived(serial, serial % 3, 0, 1, 1.0, 1.0, serial, serial % 3))
                if not one.start_refusal(now, machine, 0):
                    if gone:
                        one.handle_event(
                            now,
                            AttemptEnded(serial, 0, machine, Outcome.CONNECT_FAILED, closed=True),
                        )
                    else:
                        one.handle_event(now, Placed(serial, 0, machine, 0))
                for probed in one.tick(now):
                    silent = probed % 3 == 1 and 1.0 < now < 4.0
                    one.handle_event(
                        now,
                        ProbeAnswered(probed, Outcome.TIMEOUT if silent else Outcome.OK),
                    )
            if step % 4 == n % 4:
                ask = LeaseRequest(
                    7, f"d{n}", 1, "t", now, group.index, "x", zone_report=report_text(one, now)
                )
                zoning.receive_report(now, group, ask)
                shares = zoning.start_quotas(now, group, ask)
                learn = LeaseResponse(7, now, True, "", "", 0, (), "", group.index, "x", start_quotas=shares)
                for word in (ask, learn):
                    stream, data = codec.encode(word)
                    record.add("word", stream, data.hex())
        for command in zoning.due_commands(now, group):
            record.add("command", json.dumps(command), group.apply(group.index + 1, json.dumps(command)))
            for one in members:
                one.apply_agreed_state(now, zones)
    record.add("status", json.dumps(zoning.status(now, group)))
    record.add("group", group.snapshot())


def simulation(name, *seeds):
    def part(record):
        for seed in seeds:
            result = run_scenario(seed, SCENARIOS[name])
            record.add("play", name, seed, result.digest, result.broken, result.answers, result.starts)

    return part


PARTS: dict[str, Callable[[Record], None]] = {
    one.__name__: one
    for one in (observations, silence, quotas, load, agreed, member, leader, realm, standalone, messages)
} | {f"simulation {name}": simulation(name, *((1, 7) if name == "mixed" else (2,))) for name in SCENARIOS}


def played(name: str) -> Record:
    record = Record()
    PARTS[name](record)
    return record


def in_a_process(*arguments: str) -> str:
    return subprocess.run(
        [sys.executable, __file__, *arguments],
        text=True,
        stdout=subprocess.PIPE,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    ).stdout


@pytest.mark.parametrize("name", PARTS)
def test_it_decides_and_sends_what_it_did(name):
    assert json.loads(in_a_process(name)) == json.loads(DATA.read_text())["digests"][name]


# ---- what is kept in clear: encoded names ---------------------------------------------------------------


def samples() -> dict:
    """One of each form that leaves the package, with the names that are written."""
    one = FailoverMember(settings_of(), 0.02, Random(1), str)
    one.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(machine_of(n) for n in range(36))))
    for serial in range(1, 37):
        n = serial - 1
        one.handle_event(1.0, RequestArrived(serial, n % 3, 0, 1, 2.0, 1.0, serial, n % 3))
        if n % 3 == 1:
            one.handle_event(1.0, AttemptEnded(serial, 0, n, Outcome.TIMEOUT, closed=True))
        else:
            one.handle_event(1.0, Placed(serial, 0, n, 0))
    zones = ZoneStates()
    for index, phase in enumerate(("suspected", "leaving", "left", "returning"), 1):
        zones.apply(index, {"place": "z0", "phase": phase, "number": index - 1, "step": 1}, ZONES)
    one.apply_agreed_state(1.0, zones)
    one.receive_quotas([StartQuota("z0", "g0.3.0", 0, 0, 1, 30, 0.5)], 1.0)
    one.start_refusal(1.1, 0, 0)
    one.handle_event(1.1, Placed(99, 0, 0, 0))
    one.handle_event(1.1, AttemptEnded(98, 0, 3, Outcome.ERROR, closed=True))
    leader = FailoverLeader(0.0, "g0.3", FailoverTiming(), 1.0, 0.5, 0.02)
    report = report_text(one, 1.2)
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
            word: leader.operator_command(
                1.7, {"id": "o", "place": place, "word": word, "why": "w", "at": 9}, zones, settings_of()
            )
            for word, place in (
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


def test_encoded_names_are_what_they_were():
    assert json.loads(in_a_process("--samples")) == json.loads(DATA.read_text())["samples"]


@pytest.mark.parametrize("command", ("status", "history"))
def test_the_command_line_prints_the_names_that_it_did(command):
    kept = json.loads(DATA.read_text())["samples"]
    page = {**kept["state"], "fenced": 0, "name": "g0", "footing": "lease", "seen_by_leader": kept["status"]}
    with (
        mock.patch.object(cli_zones, "group_gateway", lambda *_: SimpleNamespace(call=lambda *_: page)),
        tempfile.NamedTemporaryFile("w", suffix=".json") as file,
    ):
        as_json = CliRunner().invoke(
            root, ["zones", command, "--json", "--pullqueue", file.name], standalone_mode=False
        )
        as_text = CliRunner().invoke(
            root, ["zones", command, "--pullqueue", file.name], standalone_mode=False
        )
    assert json.loads(as_json.stdout) == (page if command == "status" else {"history": page["history"]})
    assert [as_json.return_value, as_text.return_value] == [1 if command == "status" else None] * 2
    for word in ("z0", "returning", "1/4"):
        assert word in as_text.stdout


def main(arguments: list[str]) -> None:
    if arguments[0] == "--record":
        digests = {name: json.loads(in_a_process(name)) for name in PARTS}
        kept = {"digests": digests, "samples": json.loads(in_a_process("--samples"))}
        DATA.write_text(json.dumps(kept, indent=1) + "\n")
        return
    if arguments[0] == "--samples":
        print(json.dumps(samples()))
        return
    record = played(arguments[0])
    if arguments[1:2] == ["--log"]:
        Path(arguments[2]).write_text("\n".join(record.lines) + "\n")
    print(json.dumps([len(record.lines), record.digest()]))


if __name__ == "__main__":
    main(sys.argv[1:])
