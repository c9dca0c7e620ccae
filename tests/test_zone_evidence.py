"""What one dispatcher concludes about zones: results of exchanges, silence. Clocks are arguments."""

import json
import unittest
from random import Random

from weldhatch.scheduling.events import AttemptEnded, MachinesChanged, ProbeAnswered
from weldhatch.scheduling.types import ListForm, Machine, Outcome, Reason
from weldhatch.testbed.simulated_zones import settings as zone_settings
from weldhatch.zones.failover_member import FailoverMember
from weldhatch.zones.observations import ExchangeResult, Observations
from weldhatch.zones.reports import Isolation, PlaceHealth, ZoneReport
from weldhatch.zones.silence_detector import INITIAL_TIMEOUT_S, OTHER_ZONES_QUIET_S, SilenceDetector

ZONES = ("z0", "z1", "z2")
SETTINGS = zone_settings(3, 8)
TEN = tuple(range(10))


class Evidence(unittest.TestCase):
    def setUp(self):
        self.observations = Observations(ZONES, "z0")
        for n in range(30):  # machine n is in zone n % 3 and one of two racks there
            self.observations.machine_listed(n, ZONES[n % 3], f"{ZONES[n % 3]}/{n // 3 % 2}")

    def results(self, now, zone, result, machines=TEN):
        for n in machines:
            self.observations.add_result(now, 3 * n + zone, result)

    def healths(self, now):
        return {place: one.health() for place, one in self.observations.counts(now).items()}

    def test_a_zone_that_fails_is_down_though_it_answered_a_moment_ago(self):
        for zone in range(3):
            self.results(1.0, zone, ExchangeResult.ANSWER)
        self.results(2.0, 0, ExchangeResult.ANSWER)
        self.results(2.0, 1, ExchangeResult.SILENT, range(4))
        self.results(
            2.0, 2, ExchangeResult.REFUSED, range(2)
        )  # too few to say anything yet, the others answered lately
        healths = self.healths(2.0)
        self.assertEqual(
            [healths[zone] for zone in ZONES], [PlaceHealth.HEALTHY, PlaceHealth.DOWN, PlaceHealth.DEGRADED]
        )
        self.assertIs(self.observations.isolation(2.0), Isolation.NONE)

    def test_full_is_no_failure_and_one_in_eight_is_degraded(self):
        member = FailoverMember(SETTINGS, 0.02, Random(1), str)
        member.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(Machine(n, 1) for n in range(8))))
        for n in range(8):
            member.handle_event(1.0, AttemptEnded(n, 0, n, Outcome.FULL, reason=Reason.NO_CORES))
        self.assertIs(member.observations.counts(1.0)["z1"].health(), PlaceHealth.HEALTHY)
        member.handle_event(1.1, AttemptEnded(9, 0, 3, Outcome.TIMEOUT))
        self.assertIs(member.observations.counts(1.1)["z1"].health(), PlaceHealth.DEGRADED)

    def test_a_place_of_two_machines_is_not_moved_by_evidence(self):
        self.observations.machine_listed(90, "z3", "z3/0")
        self.observations.machine_listed(91, "z3", "z3/1")
        for machine in (90, 91):
            self.observations.add_result(1.0, machine, ExchangeResult.SILENT)
        self.assertIs(self.healths(1.0)["z3"], PlaceHealth.DEGRADED)

    def test_one_rack_is_not_its_zone(self):
        self.results(1.0, 1, ExchangeResult.REFUSED, range(0, 10, 2))
        self.assertIs(self.healths(1.0)["z1"], PlaceHealth.UNKNOWN)  # the other rack was not heard of
        self.assertIs(self.healths(1.0)["z1/0"], PlaceHealth.DOWN)
        self.results(1.0, 1, ExchangeResult.ANSWER, range(1, 10, 2))
        self.assertEqual(
            (self.healths(1.0)["z1"], self.healths(1.0)["z1/1"]), (PlaceHealth.DEGRADED, PlaceHealth.HEALTHY)
        )

    def test_a_member_that_reaches_nobody_or_only_its_own_zone_is_isolated(self):
        for zone in range(3):
            self.results(1.0, zone, ExchangeResult.SILENT)
        self.assertIs(self.observations.isolation(1.0), Isolation.MEMBER)
        self.results(2.0, 0, ExchangeResult.ANSWER)
        for zone in (1, 2):
            self.results(2.0, zone, ExchangeResult.SILENT)
        self.assertIs(self.observations.isolation(2.0), Isolation.ZONE)

    def test_failures_while_the_process_was_stopped_are_discarded(self):
        self.results(1.0, 1, ExchangeResult.SILENT)
        self.observations.discard_failures(0.5)
        self.assertIs(self.healths(1.0)["z1"], PlaceHealth.UNKNOWN)

    def test_a_report_stays_under_1_kb(self):
        observations = Observations([f"zone-{n}" for n in range(6)], "zone-0")
        for n in range(1200):
            observations.machine_listed(n, f"zone-{n % 6}", f"zone-{n % 6}/{n // 6 % 40}")
            observations.add_result(1.0, n, ExchangeResult.SILENT)
        report = ZoneReport(
            observations.own_zone, observations.isolation(1.0).value, observations.by_place(1.0)
        )
        self.assertLess(len(json.dumps(report.to_tree())), 1000)


class Silence(unittest.TestCase):
    """Machine n is in zone n % 3, in rack n // 3 % 2 there."""

    def setUp(self):
        self.detector = SilenceDetector(lambda machine: str(machine // 3 % 2))

    def exchange(self, begin, end, zones=(0, 1, 2), took=0.03):
        """Each 10 ms one machine is asked, and answers after a while where its zone does."""
        now, n = begin, 0
        while now < end:
            self.detector.request_sent(now, ZONES[n % 3], n % 30)
            if n % 3 in zones:
                self.detector.answer_received(now + took, ZONES[n % 3], n % 30)
            now, n = now + 0.01, n + 1
        return [zone for zone in ZONES if self.detector.is_silent(end + took, zone, False)]

    def test_a_silent_zone_is_detected_within_a_few_answers_time(self):
        self.assertEqual(self.exchange(0.0, 2.0), [])
        self.assertEqual(self.exchange(2.0, 2.3, zones=(0, 2)), ["z1"])
        self.detector.answer_received(2.4, "z1", 4)  # one word is enough
        self.assertFalse(self.detector.is_silent(2.4, "z1", False))

    def test_the_timeout_follows_how_long_answers_take(self):
        self.assertEqual(self.exchange(0.0, 4.0, took=0.6), [])
        self.assertEqual(self.exchange(4.0, 4.5, zones=(0, 2), took=0.6), [])
        self.assertEqual(self.exchange(4.5, 5.6, zones=(0, 2), took=0.6), ["z1"])

    def test_one_machine_or_rack_is_no_zone_and_a_deaf_member_detects_nothing(self):
        self.exchange(0.0, 2.0)
        for machine in (1, 7, 13, 19):  # all of z1's rack 0
            self.detector.request_sent(2.0, "z1", machine)
        self.detector.answer_received(2.5, "z0", 0)
        self.assertFalse(self.detector.is_silent(2.5, "z1", False))
        self.detector.request_sent(2.5, "z1", 4)
        self.assertFalse(self.detector.is_silent(3.0, "z1", False))  # nobody else was heard lately either
        self.detector.answer_received(3.0, "z0", 0)
        self.assertTrue(self.detector.is_silent(3.0, "z1", False))
        self.assertFalse(self.detector.is_silent(3.0 + OTHER_ZONES_QUIET_S + 0.1, "z1", False))

    def test_what_was_not_sent_or_timed_out_or_came_in_a_stall_is_not_pending(self):
        for machine in (1, 4, 7):
            self.detector.request_sent(0.0, "z1", machine)
        self.detector.exchange_ended("z1", 4)
        self.detector.answer_received(0.6, "z0", 0)
        self.assertFalse(self.detector.is_silent(0.6, "z1", False))
        self.detector.request_sent(0.0, "z1", 10)
        self.detector.restart_waits(0.6)
        self.assertFalse(self.detector.is_silent(0.7, "z1", False))
        self.detector.answer_received(0.7 + INITIAL_TIMEOUT_S, "z0", 0)
        self.assertTrue(self.detector.is_silent(0.7 + INITIAL_TIMEOUT_S, "z1", False))

    def test_a_member_holds_back_from_a_silent_zone_and_sends_several_health_checks(self):
        member = FailoverMember(SETTINGS, 0.02, Random(1), str)
        member.handle_event(
            0.0,
            MachinesChanged(ListForm.FULL, tuple(Machine(n, n % 3, cell=n // 3 % 2) for n in range(30))),
        )
        for n in range(30):
            self.assertEqual(member.start_refusal(1.0, n, 0), "")
            if n % 3 != 1:
                member.handle_event(1.0, ProbeAnswered(n, Outcome.OK))
        self.assertEqual(member.tick(1.3), [])
        member.handle_event(1.6, ProbeAnswered(0, Outcome.OK))
        self.assertEqual(member.start_refusal(1.6, 4, 0), "its zone says nothing")
        asked = member.tick(1.6)
        self.assertEqual((len(asked), {machine % 3 for machine in asked}), (3, {1}))
        self.assertEqual({member.effective_state(1.6, n) for n in range(30) if n % 3 == 1}, {"draining"})
        self.assertEqual(member.effective_state(1.6, 0), "ready")
        self.assertEqual(len(member.tick(1.7)), 0)
        member.handle_event(1.8, ProbeAnswered(4, Outcome.FULL))
        self.assertEqual((member.start_refusal(1.8, 4, 0), member.effective_state(1.8, 4)), ("", "ready"))
