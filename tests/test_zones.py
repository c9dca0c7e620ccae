"""What decides about zones at one dispatcher: sight, shares, room, budgets. Clocks are arguments."""

import json
import unittest
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from weldhatch import config
from weldhatch.scheduling import types as i
from weldhatch.testbed.simulated_zones import settings as realm_settings
from weldhatch.zones import capacity, load_shedding
from weldhatch.zones.failover_member import FailoverMember
from weldhatch.zones.observations import ExchangeResult, Observations
from weldhatch.zones.reports import Isolation, PlaceHealth, ZoneReport
from weldhatch.zones.retry_budget import MigrationRamp, RetryBudget
from weldhatch.zones.silence_detector import DEAF_AFTER_S, INITIAL_TIMEOUT_S, SilenceDetector
from weldhatch.zones.start_quota import QuotaLease, QuotaLedger, StartQuota, starts_allowed
from weldhatch.zones.state import ZoneStates

ZONES = ("z0", "z1", "z2")
SETTINGS = realm_settings(3, 8)
TEN = tuple(range(10))


def report(**what):
    return ZoneReport("z0", Isolation.NONE.value, **what)


class Seeing(unittest.TestCase):
    def setUp(self):
        self.sight = Observations(ZONES, "z0")
        for n in range(30):  # machine n is in zone n % 3 and one of two racks there
            self.sight.machine_listed(n, ZONES[n % 3], f"{ZONES[n % 3]}/{n // 3 % 2}")

    def signs(self, now, zone, sign, machines=TEN):
        for n in machines:
            self.sight.add_result(now, 3 * n + zone, sign)

    def looks(self, now):
        return {place: one.health() for place, one in self.sight.counts(now).items()}

    def test_a_zone_that_fails_is_down_though_it_answered_a_moment_ago(self):
        for zone in range(3):
            self.signs(1.0, zone, ExchangeResult.ANSWER)
        self.signs(2.0, 0, ExchangeResult.ANSWER)
        self.signs(2.0, 1, ExchangeResult.SILENT, range(4))
        self.signs(
            2.0, 2, ExchangeResult.REFUSED, range(2)
        )  # too few to say anything yet, the others answered lately
        looks = self.looks(2.0)
        self.assertEqual(
            [looks[zone] for zone in ZONES], [PlaceHealth.HEALTHY, PlaceHealth.DOWN, PlaceHealth.DEGRADED]
        )
        self.assertIs(self.sight.isolation(2.0), Isolation.NONE)

    def test_full_is_no_failure_and_one_in_eight_is_gray(self):
        keeper = FailoverMember(SETTINGS, 0.02, Random(1), str)
        keeper.handle_event(0.0, i.MachinesChanged(i.ListForm.FULL, tuple(i.Machine(n, 1) for n in range(8))))
        for n in range(8):
            keeper.handle_event(1.0, i.AttemptEnded(n, 0, n, i.Outcome.FULL, reason=i.Reason.NO_CORES))
        self.assertIs(keeper.observations.counts(1.0)["z1"].health(), PlaceHealth.HEALTHY)
        keeper.handle_event(1.1, i.AttemptEnded(9, 0, 3, i.Outcome.TIMEOUT))
        self.assertIs(keeper.observations.counts(1.1)["z1"].health(), PlaceHealth.DEGRADED)

    def test_a_place_of_two_machines_is_nothing_that_evidence_moves(self):
        self.sight.machine_listed(90, "z3", "z3/0")
        self.sight.machine_listed(91, "z3", "z3/1")
        for machine in (90, 91):
            self.sight.add_result(1.0, machine, ExchangeResult.SILENT)
        self.assertIs(self.looks(1.0)["z3"], PlaceHealth.DEGRADED)

    def test_one_rack_is_not_its_zone(self):
        self.signs(1.0, 1, ExchangeResult.REFUSED, range(0, 10, 2))
        self.assertIs(self.looks(1.0)["z1"], PlaceHealth.UNKNOWN)  # the other rack was not heard of
        self.assertIs(self.looks(1.0)["z1/0"], PlaceHealth.DOWN)
        self.signs(1.0, 1, ExchangeResult.ANSWER, range(1, 10, 2))
        self.assertEqual(
            (self.looks(1.0)["z1"], self.looks(1.0)["z1/1"]), (PlaceHealth.DEGRADED, PlaceHealth.HEALTHY)
        )

    def test_who_reaches_nobody_or_only_its_own_zone_blames_itself(self):
        for zone in range(3):
            self.signs(1.0, zone, ExchangeResult.SILENT)
        self.assertIs(self.sight.isolation(1.0), Isolation.MEMBER)
        self.signs(2.0, 0, ExchangeResult.ANSWER)
        for zone in (1, 2):
            self.signs(2.0, zone, ExchangeResult.SILENT)
        self.assertIs(self.sight.isolation(2.0), Isolation.ZONE)

    def test_what_failed_while_it_was_stopped_says_nothing(self):
        self.signs(1.0, 1, ExchangeResult.SILENT)
        self.sight.discard_failures(0.5)
        self.assertIs(self.looks(1.0)["z1"], PlaceHealth.UNKNOWN)

    def test_a_report_stays_under_1_kb(self):
        sight = Observations([f"zone-{n}" for n in range(6)], "zone-0")
        for n in range(1200):
            sight.machine_listed(n, f"zone-{n % 6}", f"zone-{n % 6}/{n // 6 % 40}")
            sight.add_result(1.0, n, ExchangeResult.SILENT)
        report = ZoneReport(sight.own, sight.isolation(1.0).value, sight.by_place(1.0))
        self.assertLess(len(json.dumps(report.to_tree())), 1000)


class Fair(unittest.TestCase):
    @given(
        st.floats(0.05, 0.95),
        st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.1, 100.0), min_size=1),
        st.lists(st.floats(0.1, 10.0), min_size=8, max_size=8),
    )
    def test_together_they_lose_the_part_and_nobody_within_its_share_loses_any(self, part, rates, weights):
        shares = dict(zip("abcdefgh", weights, strict=True))
        room = (1 - part) * sum(rates.values())
        kept = load_shedding.max_min_fair(rates, shares, room)
        self.assertAlmostEqual(sum(kept.values()), room, places=6)
        whole = sum(shares[name] for name in rates)
        for name, rate in rates.items():
            self.assertLessEqual(kept[name], rate + 1e-9)
            if rate <= room * shares[name] / whole:
                self.assertAlmostEqual(kept[name], rate)
        cut = [kept[name] / shares[name] for name in rates if kept[name] < rates[name] * (1 - 1e-9)]
        self.assertTrue(not cut or max(cut) - min(cut) < 1e-6 * max(cut) + 1e-9)  # the others get alike
        for name, one in load_shedding.shed_by_tenant(part, rates, shares).items():
            self.assertAlmostEqual(one, 1 - kept[name] / rates[name], delta=0.006)

    def test_shares_are_what_the_settings_give_all_tenants(self):
        some = (i.Tenant("a", 5.0, 0.4, 8.0), i.Tenant("b", 5.0, 0.6, 0.0))
        self.assertEqual(load_shedding.tenant_weights(some), {"a": 5.0, "b": 5.0})
        self.assertEqual(
            load_shedding.tenant_weights((i.Tenant("a"), i.Tenant("b", portion=1.0))), {"a": 1.0, "b": 1.0}
        )
        self.assertEqual(load_shedding.tenant_parts({"lookup": 0.5}, [], some), {})
        told = [
            report(tenant_rates={"lookup": {"a": 4.0, "nobody": 50.0}}),
            report(tenant_rates={"lookup": {"b": 4.0}}),
        ]
        self.assertEqual(
            load_shedding.tenant_parts({"lookup": 0.5, "import": 1.0}, told, some),
            {"lookup": {"a": 0.5, "b": 0.5}},
        )

    def test_a_report_names_the_greatest_rates(self):
        rates = {("lookup", f"tenant-{n}"): float(n) for n in range(40)}
        self.assertEqual(
            list(load_shedding.greatest_rates(rates)["lookup"]), [f"tenant-{n}" for n in range(39, 31, -1)]
        )


class Hushed(unittest.TestCase):
    """Machine n is in zone n % 3, in rack n // 3 % 2 there."""

    def setUp(self):
        self.hush = SilenceDetector(lambda machine: str(machine // 3 % 2))

    def talk(self, begin, end, zones=(0, 1, 2), took=0.03):
        """Each 10 ms one machine is asked, and answers after a while where its zone does."""
        now, n = begin, 0
        while now < end:
            self.hush.request_sent(now, ZONES[n % 3], n % 30)
            if n % 3 in zones:
                self.hush.answer_received(now + took, ZONES[n % 3], n % 30)
            now, n = now + 0.01, n + 1
        return [zone for zone in ZONES if self.hush.is_silent(end + took, zone, False)]

    def test_a_zone_that_says_nothing_is_known_within_a_few_answers_time(self):
        self.assertEqual(self.talk(0.0, 2.0), [])
        self.assertEqual(self.talk(2.0, 2.3, zones=(0, 2)), ["z1"])
        self.hush.answer_received(2.4, "z1", 4)  # one word is enough
        self.assertFalse(self.hush.is_silent(2.4, "z1", False))

    def test_where_answers_take_long_they_are_waited_for_longer(self):
        self.assertEqual(self.talk(0.0, 4.0, took=0.6), [])
        self.assertEqual(self.talk(4.0, 4.5, zones=(0, 2), took=0.6), [])
        self.assertEqual(self.talk(4.5, 5.6, zones=(0, 2), took=0.6), ["z1"])

    def test_one_machine_or_one_rack_is_no_zone_and_a_lone_ear_is_doubted(self):
        self.talk(0.0, 2.0)
        for machine in (1, 7, 13, 19):  # all of z1's rack 0
            self.hush.request_sent(2.0, "z1", machine)
        self.hush.answer_received(2.5, "z0", 0)
        self.assertFalse(self.hush.is_silent(2.5, "z1", False))
        self.hush.request_sent(2.5, "z1", 4)
        self.assertFalse(self.hush.is_silent(3.0, "z1", False))  # nobody else was heard lately either
        self.hush.answer_received(3.0, "z0", 0)
        self.assertTrue(self.hush.is_silent(3.0, "z1", False))
        self.assertFalse(self.hush.is_silent(3.0 + DEAF_AFTER_S + 0.1, "z1", False))

    def test_what_was_never_sent_or_has_timed_out_or_came_in_a_stall_is_not_owed(self):
        for machine in (1, 4, 7):
            self.hush.request_sent(0.0, "z1", machine)
        self.hush.exchange_ended("z1", 4)
        self.hush.answer_received(0.6, "z0", 0)
        self.assertFalse(self.hush.is_silent(0.6, "z1", False))
        self.hush.request_sent(0.0, "z1", 10)
        self.hush.restart_waits(0.6)
        self.assertFalse(self.hush.is_silent(0.7, "z1", False))
        self.hush.answer_received(0.7 + INITIAL_TIMEOUT_S, "z0", 0)
        self.assertTrue(self.hush.is_silent(0.7 + INITIAL_TIMEOUT_S, "z1", False))

    def test_a_keeper_holds_back_from_it_and_asks_several_at_once(self):
        keeper = FailoverMember(SETTINGS, 0.02, Random(1), str)
        keeper.handle_event(
            0.0,
            i.MachinesChanged(
                i.ListForm.FULL, tuple(i.Machine(n, n % 3, cell=n // 3 % 2) for n in range(30))
            ),
        )
        for n in range(30):
            self.assertEqual(keeper.start_refusal(1.0, n, 0), "")
            if n % 3 != 1:
                keeper.handle_event(1.0, i.ProbeAnswered(n, i.Outcome.OK))
        self.assertEqual(keeper.tick(1.3), [])
        keeper.handle_event(1.6, i.ProbeAnswered(0, i.Outcome.OK))
        self.assertEqual(keeper.start_refusal(1.6, 4, 0), "its zone says nothing")
        asked = keeper.tick(1.6)
        self.assertEqual((len(asked), {machine % 3 for machine in asked}), (3, {1}))
        self.assertEqual({keeper.effective_state(1.6, n) for n in range(30) if n % 3 == 1}, {"draining"})
        self.assertEqual(keeper.effective_state(1.6, 0), "ready")
        self.assertEqual(len(keeper.tick(1.7)), 0)
        keeper.handle_event(1.8, i.ProbeAnswered(4, i.Outcome.FULL))
        self.assertEqual((keeper.start_refusal(1.8, 4, 0), keeper.effective_state(1.8, 4)), ("", "ready"))


class Shares(unittest.TestCase):
    @given(st.integers(1, 40), st.integers(1, 30), st.integers(0, 5), st.text(min_size=1, max_size=8))
    def test_all_shares_together_are_the_tokens_of_each_machine(self, count, tokens, turn, uid):
        held = [
            starts_allowed(StartQuota("z1", "e", turn, mine, count, tokens, 0.5), uid)
            for mine in range(count)
        ]
        self.assertEqual(sum(held), tokens)
        self.assertLessEqual(max(held) - min(held), 1)

    def test_a_share_is_spent_once_and_only_within_its_span(self):
        purse, share = QuotaLease(0.0), StartQuota("z1", "l.0", 0, 0, 1, 2, 0.5)
        self.assertTrue(purse.accept(share, 10.0))
        self.assertEqual([purse.spend(10.1, "z1", "m") for _ in range(3)], [True, True, False])
        self.assertFalse(purse.accept(share, 10.2))  # told again
        self.assertFalse(purse.spend(10.2, "z1", "m"))
        self.assertTrue(purse.spend(10.2, "z1", "other"))
        self.assertFalse(purse.spend(10.5, "z1", "third"))  # stopped, and woken after the span
        self.assertTrue(purse.accept(StartQuota("z1", "l.1", 1, 0, 1, 2, 0.5), 12.0))
        self.assertFalse(purse.accept(StartQuota("z1", "l.0", 0, 0, 1, 2, 0.5), 11.0))  # overtaken

    def test_no_window_holds_more_than_a_machine_bears(self):
        """Dispatchers ask at random, spend at the worst moments, die, and one leader follows another."""
        for seed in range(30):
            random, window, spent = Random(seed), 1.0, []
            purses, ledger = (
                {n: QuotaLease(0.02) for n in range(7)},
                QuotaLedger(0.0, "l0", window, 0.5, 0.02),
            )
            now, pace = 0.0, random.choice((0.5, 1.5, 4.0, 9.0))
            while now < 30:
                now += random.random() * 0.05
                if random.random() < 0.005:  # the leader dies; the next one knows nothing of its shares
                    ledger = QuotaLedger(now, f"l{now}", window, 0.5, 0.02)
                n = random.randrange(7)
                share = ledger.allocate(
                    now, "z1", f"d{n}", pace, [f"d{k}" for k in range(random.randrange(1, 8))]
                )
                if share is not None:
                    purses[n].accept(share, now - random.random() * 0.1)
                for n in range(7):
                    if random.random() < 0.5:
                        while purses[n].spend(now, "z1", "m"):
                            spent.append(now)
            self.assertTrue(spent)
            most = max(sum(at <= other < at + window for other in spent) for at in spent)
            self.assertLessEqual(most, max(1, int(pace)), (seed, pace))

    def test_a_new_leader_waits_until_the_shares_of_the_last_one_have_lapsed(self):
        ledger = QuotaLedger(100.0, "l1", 1.0, 0.5, 0.02)
        self.assertIsNone(ledger.allocate(101.4, "z1", "d0", 4.0, ["d0"]))
        self.assertIsNotNone(ledger.allocate(101.6, "z1", "d0", 4.0, ["d0"]))

    def test_one_that_comes_up_in_the_middle_begins_with_none(self):
        ledger = QuotaLedger(-10.0, "l", 1.0, 0.5, 0.02)
        self.assertIsNotNone(ledger.allocate(0.0, "z1", "d0", 4.0, ["d0", "d1"]))
        self.assertIsNotNone(ledger.allocate(0.1, "z1", "d1", 4.0, ["d0", "d1"]))
        self.assertIsNone(ledger.allocate(0.1, "z1", "d2", 4.0, ["d0", "d1", "d2"]))


class Room(unittest.TestCase):
    classes = (
        i.RequestClass("lookup", 1, 1, worth=1.0),
        i.RequestClass("import", 1, 1, worth=2.0),
        i.RequestClass("writer", 1, 1, worth=5.0),
    )

    def test_what_the_rest_can_bear_is_not_turned_away(self):
        rates = {"lookup": 10.0}
        self.assertEqual(
            capacity.initial_shed_level(capacity.CapacityNeed(90.0, 100.0), rates, self.classes), 0.0
        )

    def test_the_least_worth_goes_first(self):
        need, rates = capacity.CapacityNeed(100.0, 50.0), {"lookup": 10.0, "import": 10.0, "writer": 10.0}
        self.assertAlmostEqual(need.shortfall, 0.55)
        level = capacity.initial_shed_level(need, rates, self.classes)
        shed = capacity.shed_by_class(level, self.classes)
        self.assertEqual(shed, {"lookup": 1.0, "import": 0.65})
        self.assertAlmostEqual(capacity.shed_level(shed), level)

    def test_it_is_more_where_the_rest_fills_up_and_less_where_it_has_room(self):
        levels = [capacity.next_shed_level(1.0, free, 100.0, 3) for free in (2.0, 12.0, 30.0)]
        self.assertEqual(levels, [1.25, 1.0, 0.75])
        self.assertEqual(capacity.next_shed_level(3.0, 0.0, 100.0, 3), 3.0)

    def test_one_that_lies_about_its_room_is_outvoted(self):
        told = [report(usable_cores={"z1": size}, running_cores={"z1": 1.0}) for size in (10.0, 12.0)]
        told.append(report(usable_cores={"z1": 9000.0}))
        self.assertEqual(capacity.free_capacity(told, ["z1"]), (10.0, 12.0))

    def test_a_zone_that_has_just_lost_its_tasks_still_counts_for_what_it_carried(self):
        carried = capacity.PeakLoad()
        for at, cores in ((0.0, 5.0), (1.0, 80.0), (2.0, 60.0), (3.0, 0.0)):
            carried.add_sample(at, "z1", cores)
        self.assertEqual((carried.peak(3.0, "z1"), carried.peak(7.5, "z1")), (80.0, 60.0))
        self.assertEqual(carried.peak(20.0, "z1"), 0.0)


class Budgets(unittest.TestCase):
    def test_second_attempts_are_a_share_of_first_ones_while_there_is_trouble(self):
        attempts = RetryBudget(left=0.0)
        self.assertTrue(all(attempts.try_retry(False) for _ in range(50)))
        for _ in range(10):
            attempts.add_first_attempt()
        self.assertEqual([attempts.try_retry(True) for _ in range(3)], [True, True, False])

    def test_what_moves_over_arrives_by_a_ramp(self):
        ramp, now, started = MigrationRamp(), 10.0, []
        ramp.begin(now, 20.0, 40.0)
        while now < 12.0:
            if not ramp.retry_after_s(now, 0.5):
                started.append(now)
            now += 0.005
        halves = [sum(at < 11.0 for at in started), sum(at >= 11.0 for at in started)]
        self.assertTrue(55 <= halves[0] <= 70 and 60 <= halves[1] <= 80 and halves[0] < halves[1], halves)
        self.assertEqual(ramp.retry_after_s(12.1, 0.5), 0.0)
        ramp.begin(20.0, 20.0, 40.0)
        waits = [wait for n in range(100) if (wait := ramp.retry_after_s(20.0, n / 100))]
        self.assertGreater(max(waits) - min(waits), 0.8)  # they do not come back together


def change(zones, place, phase, **more):
    zones.apply(1, {"place": place, "phase": phase, "number": zones.place(place).number, **more}, ZONES)


class Keeping(unittest.TestCase):
    def setUp(self):
        self.keeper = FailoverMember(SETTINGS, 0.02, Random(1), lambda machine: f"m{machine}")
        self.keeper.handle_event(
            0.0,
            i.MachinesChanged(
                i.ListForm.FULL, tuple(i.Machine(n, n % 3, cell=n // 3 % 2) for n in range(12))
            ),
        )
        self.zones = ZoneStates()

    def agree(self, now, *phases, **more):
        for phase in phases:
            change(self.zones, "z1", phase, **more)
        self.keeper.apply_agreed_state(
            now, ZoneStates.from_tree(json.loads(json.dumps(self.zones.to_tree())))
        )

    def place(self, now, request, machine, class_index=0, key=0):
        self.keeper.handle_event(now, i.RequestArrived(request, class_index, 0, 1, 1.0, 1.0, key))
        self.keeper.handle_event(now, i.Placed(request, 0, machine, 0))

    def test_a_left_zone_gets_nothing_and_is_looked_at(self):
        self.agree(1.0, "leaving")
        self.assertEqual(self.keeper.effective_state(1.0, 4), "draining")
        self.assertIn("leaving", self.keeper.start_refusal(1.0, 4, 0))
        self.assertEqual(self.keeper.start_refusal(1.0, 3, 0), "")
        probed = {machine for n in range(40) for machine in self.keeper.tick(1.0 + n / 10)}
        self.assertTrue(probed and all(machine % 3 == 1 for machine in probed))

    def test_a_returning_zone_gets_what_there_is_a_share_for(self):
        self.agree(1.0, "leaving", "left", "returning", step=1)
        self.assertEqual(self.keeper.effective_state(2.0, 4), "draining")
        self.keeper.receive_quotas([StartQuota("z1", "l.0", 0, 0, 1, 1, 0.5)], 2.0)
        self.assertEqual(self.keeper.effective_state(2.1, 4), "ready")
        self.assertEqual(self.keeper.start_refusal(2.1, 4, 0), "")
        self.assertEqual(self.keeper.effective_state(2.1, 4), "draining")
        self.assertIn("no share", self.keeper.start_refusal(2.1, 4, 0))
        self.assertEqual(self.keeper.start_refusal(2.1, 4, -1), "")  # asked for before: it has been spent
        self.assertIn("no share", self.keeper.start_refusal(2.6, 7, 0))  # lapsed
        self.keeper.receive_quotas([StartQuota("z1", "l.1", 1, 0, 1, 1, 0.5)], 4.0)
        self.agree(4.1, "leaving")
        self.agree(4.1, "left", "returning", step=1)
        self.assertEqual(
            self.keeper.effective_state(4.2, 7), "draining"
        )  # held from before it was left again

    def test_a_writer_that_may_run_behind_a_cut_is_fenced_and_one_on_a_dead_machine_is_not(self):
        self.place(1.0, 1, 4, 1, 0xAA)
        self.place(1.0, 2, 7, 1, 0xBB)
        self.place(1.0, 3, 3, 1, 0xCC)
        for request, machine in ((4, 10), (5, 9)):  # no answer: one there may run
            self.keeper.handle_event(1.2, i.RequestArrived(request, 1, 0, 1, 1.0, 1.0, 0xD0 + request))
            self.keeper.handle_event(1.4, i.AttemptEnded(request, 0, machine, i.Outcome.TIMEOUT))
        self.place(1.0, 6, 1, 1, 0xEE)
        self.keeper.handle_event(
            1.4, i.AttemptEnded(6, 0, 1, i.Outcome.RESET, closed=True)
        )  # given up as lost
        self.keeper.handle_event(1.5, i.ProbeAnswered(7, i.Outcome.CONNECT_FAILED))
        self.agree(2.0, "leaving")
        self.assertEqual(self.keeper.unreported_fences(), ("z1", ["aa", "d4", "ee"]))
        self.zones.apply_fence("z1", ["aa", "d4", "ee"], "d0")
        self.agree(2.1, "left")
        self.assertEqual(self.keeper.unreported_fences(), ("", []))
        self.assertIn("may still run in z1", self.keeper.rejection(2.2, 1, 0xAA).reason)
        self.assertIsNone(self.keeper.rejection(2.2, 1, 0xBB))

    def test_keyed_work_waits_out_its_window(self):
        settings = realm_settings(3, 8)
        keyed = i.RequestClass("import", 1, 1, i.Effect.KEYED, i.Scope.ZONE, 4_000_000)
        keeper = self.keeper = FailoverMember(
            i.Settings(
                **{
                    **{name: getattr(settings, name) for name in ("kinds", "zones", "group_size")},
                    "classes": (settings.classes[0], keyed),
                }
            ),
            0.02,
            Random(1),
            str,
        )
        keeper.handle_event(
            0.0, i.MachinesChanged(i.ListForm.FULL, tuple(i.Machine(n, n % 3) for n in range(6)))
        )
        self.place(1.0, 1, 4, 1, 0xAA)
        self.agree(2.0, "leaving")
        self.assertIsNotNone(keeper.rejection(5.9, 1, 0xAA))
        self.assertIsNone(keeper.rejection(6.1, 1, 0xAA))

    def test_dispatchers_inside_go_on_where_that_was_agreed_and_end_where_not(self):
        inside = FailoverMember(
            i.Settings(**{name: getattr(SETTINGS, name) for name in ("kinds", "zones", "classes")}, zone=1),
            0.02,
            Random(1),
            str,
        )
        inside.handle_event(0.0, i.MachinesChanged(i.ListForm.FULL, (i.Machine(4, 1),)))
        self.agree(1.0, "leaving", inside=True)
        inside.apply_agreed_state(1.0, self.zones)
        self.assertEqual((inside.effective_state(1.0, 4), inside.rejection(1.0, 0, 0)), ("ready", None))
        self.assertEqual(self.keeper.effective_state(1.0, 4), "draining")
        change(self.zones, "z1", "left", inside=False)
        inside.apply_agreed_state(1.1, self.zones)
        self.assertIsNone(inside.rejection(1.1, 0, 0))  # it still reaches the others, or does not know better
        inside.handle_event(1.1, i.MachinesChanged(i.ListForm.DELTA, (i.Machine(3, 0), i.Machine(5, 2))))
        for machine in (3, 5):
            inside.handle_event(1.2, i.ProbeAnswered(machine, i.Outcome.TIMEOUT))
        inside.tick(1.2)
        self.assertIn("z1 is left", inside.rejection(1.2, 0, 0).reason)

    def test_a_part_is_turned_away_where_the_rest_can_not_bear_it(self):
        self.agree(1.0, "leaving", shed={"lookup": 0.5})
        away = [self.keeper.rejection(5.0, 0, 0) for _ in range(400)]
        self.assertTrue(150 < sum(one is not None for one in away) < 250)
        self.assertIsNone(self.keeper.rejection(5.0, 1, 0))

    def test_a_tenant_in_its_share_is_not_turned_away_and_one_over_it_is_counted_whole(self):
        tenants = (i.Tenant("acme"), i.Tenant("bolt"))
        self.keeper.update_settings(replace(SETTINGS, tenants=tenants))
        self.agree(1.0, "leaving", shed={"lookup": 0.5}, tenants={"lookup": {"acme": 0.0, "bolt": 1.0}})
        self.assertEqual([self.keeper.rejection(5.0 + n / 100, 0, 0, 0, 1.0) for n in range(20)], [None] * 20)
        away = [self.keeper.rejection(5.0 + n / 100, 0, 0, 1, 1.0) for n in range(20)]
        self.assertIn("100% of bolt's lookup", away[0].reason)
        # What was turned away is asked for all the same: else its part would swing from look to look.
        self.assertEqual(self.keeper.report(5.2).tenant_rates, {"lookup": {"bolt": 5.0}})

    def test_inside_a_left_place_only_machines_known_to_be_warm_are_started_on_without_shares(self):
        inside = FailoverMember(replace(SETTINGS, zone=1), 0.02, Random(1), str)
        inside.handle_event(
            0.0, i.MachinesChanged(i.ListForm.FULL, tuple(i.Machine(n, n % 3) for n in range(12)))
        )
        for machine in (3, 4, 7, 10):
            inside.handle_event(1.0, i.ProbeAnswered(machine, i.Outcome.OK))
        self.agree(9.0, "leaving", "left", inside=True)
        inside.apply_agreed_state(9.0, self.zones)
        inside.connection_lost(4)  # no list says that its process is a new one
        inside.handle_event(9.0, i.ProbeAnswered(4, i.Outcome.OK))
        inside.handle_event(9.0, i.ProbeAnswered(10, i.Outcome.CONNECT_FAILED))
        self.assertEqual(
            [inside.effective_state(9.1, machine) for machine in (1, 4, 7, 10)],  # 1 was never heard of
            ["draining", "draining", "ready", "draining"],
        )
        self.assertIn("no share", inside.start_refusal(9.1, 4, 0))
        self.assertEqual(inside.start_refusal(9.1, 7, 0), "")
        inside.receive_quotas([StartQuota("z1", "l.0", 0, 0, 1, 1, 0.5)], 9.1)
        inside.apply_agreed_state(9.1, self.zones)  # news of something else: the share is kept
        self.assertEqual((inside.start_refusal(9.2, 4, 0), inside.effective_state(9.2, 4)), ("", "draining"))
        self.assertEqual(
            inside.effective_state(9.1 + SETTINGS.cold_us / 1e6, 4), "ready"
        )  # it is warm by now
        inside.connection_lost(3)  # in a zone that serves, that is the module's to look after
        self.assertEqual(inside.effective_state(9.2, 3), "ready")

    def test_second_attempts_stop_when_the_budget_is_spent(self):
        self.agree(1.0, "leaving")
        stopped = [self.keeper.start_refusal(1.0, 3, 1) for _ in range(30)]
        self.assertTrue(5 < sum(why == "" for why in stopped) < 15)
        self.assertIn("budget", stopped[-1])

    def test_a_class_and_a_zone_of_a_later_version_are_known(self):
        more = replace(SETTINGS, zones=(*ZONES, "z3"), classes=(*SETTINGS.classes, SETTINGS.classes[0]))
        self.keeper.update_settings(more)
        self.assertIsNone(self.keeper.rejection(1.0, 2, 0xAA))
        self.keeper.handle_event(1.0, i.MachinesChanged(i.ListForm.DELTA, (i.Machine(99, 3),)))
        self.keeper.handle_event(1.0, i.ProbeAnswered(99, i.Outcome.OK))
        self.assertIs(self.keeper.report(1.1).health("z3"), PlaceHealth.HEALTHY)

    @hypothesis_settings(max_examples=50)
    @given(
        st.lists(
            st.tuples(st.sampled_from(("arrive", "place", "end", "gone")), st.integers(0, 8)), max_size=60
        )
    )
    def test_the_tally_is_what_stands(self, events):
        keeper, standing, arrived = FailoverMember(SETTINGS, 0.02, Random(1), str), {}, set()
        keeper.handle_event(
            0.0, i.MachinesChanged(i.ListForm.FULL, tuple(i.Machine(n, n % 3) for n in range(3)))
        )
        for n, (what, request) in enumerate(events):
            match what:
                case "arrive" if request not in standing:
                    arrived.add(request)
                    keeper.handle_event(n, i.RequestArrived(request, 0, 0, 1, 1.0, 1.0))
                case "place" if request in arrived:
                    arrived.discard(request)
                    standing[request] = request % 3
                    keeper.handle_event(n, i.Placed(request, 0, request % 3, 0))
                case "end" if request in standing:
                    del standing[request]
                    keeper.handle_event(n, i.AttemptEnded(request, 0, request % 3, i.Outcome.OK, closed=True))
                case "gone" if request in arrived:
                    arrived.discard(request)
                    keeper.handle_event(n, i.RequestGone(request))
        cores = {}
        for machine in standing.values():
            cores[machine] = cores.get(machine, 0.0) + 1.0
        self.assertEqual(keeper.load.cores_on, cores)


class Configured(unittest.TestCase):
    def test_a_fault_names_its_key(self):
        group = {"agreement": {"name": "g"}}
        for table, key in (
            ({"step": "x"}, "zones.step"),
            ({"quorum": 1}, "zones.quorum"),
            ({"alone": 1}, "zones.alone"),
            ({"colour": 1}, "zones.colour"),
            ({"stay": -1}, "zones.stay"),
        ):
            with self.assertRaisesRegex(config.ConfigError, key):
                config.zones({"zones": table, **group})
        with self.assertRaisesRegex(config.ConfigError, "agreement"):
            config.zones({"zones": {"step": 1.0}})
        self.assertIsNone(config.zones({"zones": {"enabled": False}}))
        self.assertEqual(config.zones({"zones": {"alone": True}}).times.quorum, 1)
