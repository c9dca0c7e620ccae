"""One dispatcher's observations of zones and its silence detection, with the time passed as an argument."""

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
TEN_MACHINES = tuple(range(10))


class ZoneObservations(unittest.TestCase):
    def setUp(self):
        self.observations = Observations(ZONES, "z0")
        for n in range(30):  # machine n is in zone n % 3, in one of two racks
            self.observations.machine_listed(n, ZONES[n % 3], f"{ZONES[n % 3]}/{n // 3 % 2}")

    def add_results(self, now, zone, result, machines=TEN_MACHINES):
        for n in machines:
            self.observations.add_result(now, 3 * n + zone, result)

    def healths(self, now):
        return {place: counts.health() for place, counts in self.observations.counts(now).items()}

    def test_a_failing_zone_is_down_although_it_answered_shortly_before(self):
        for zone in range(3):
            self.add_results(1.0, zone, ExchangeResult.ANSWER)
        self.add_results(2.0, 0, ExchangeResult.ANSWER)
        self.add_results(2.0, 1, ExchangeResult.SILENT, range(4))
        self.add_results(
            2.0, 2, ExchangeResult.REFUSED, range(2)
        )  # two failures are too few: other machines of the zone answered recently
        healths = self.healths(2.0)
        self.assertEqual(
            [healths[zone] for zone in ZONES], [PlaceHealth.HEALTHY, PlaceHealth.DOWN, PlaceHealth.DEGRADED]
        )
        self.assertIs(self.observations.isolation(2.0), Isolation.NONE)

    def test_a_full_machine_is_no_failure_and_one_failing_machine_in_eight_degrades_a_zone(self):
        member = FailoverMember(SETTINGS, 0.02, Random(1), str)
        member.handle_event(0.0, MachinesChanged(ListForm.FULL, tuple(Machine(n, 1) for n in range(8))))
        for n in range(8):
            member.handle_event(1.0, AttemptEnded(n, 0, n, Outcome.FULL, reason=Reason.NO_CORES))
        self.assertIs(member.observations.counts(1.0)["z1"].health(), PlaceHealth.HEALTHY)
        member.handle_event(1.1, AttemptEnded(9, 0, 3, Outcome.TIMEOUT))
        self.assertIs(member.observations.counts(1.1)["z1"].health(), PlaceHealth.DEGRADED)

    def test_failures_never_mark_a_place_of_two_machines_down(self):
        self.observations.machine_listed(90, "z3", "z3/0")
        self.observations.machine_listed(91, "z3", "z3/1")
        for machine in (90, 91):
            self.observations.add_result(1.0, machine, ExchangeResult.SILENT)
        self.assertIs(self.healths(1.0)["z3"], PlaceHealth.DEGRADED)

    def test_a_failing_rack_does_not_mark_its_zone_down(self):
        self.add_results(1.0, 1, ExchangeResult.REFUSED, range(0, 10, 2))
        self.assertIs(self.healths(1.0)["z1"], PlaceHealth.UNKNOWN)  # no result from the other rack
        self.assertIs(self.healths(1.0)["z1/0"], PlaceHealth.DOWN)
        self.add_results(1.0, 1, ExchangeResult.ANSWER, range(1, 10, 2))
        self.assertEqual(
            (self.healths(1.0)["z1"], self.healths(1.0)["z1/1"]), (PlaceHealth.DEGRADED, PlaceHealth.HEALTHY)
        )

    def test_a_member_that_reaches_no_zone_or_only_its_own_is_isolated(self):
        for zone in range(3):
            self.add_results(1.0, zone, ExchangeResult.SILENT)
        self.assertIs(self.observations.isolation(1.0), Isolation.MEMBER)
        self.add_results(2.0, 0, ExchangeResult.ANSWER)
        for zone in (1, 2):
            self.add_results(2.0, zone, ExchangeResult.SILENT)
        self.assertIs(self.observations.isolation(2.0), Isolation.ZONE)

    def test_failures_while_the_process_was_stopped_are_discarded(self):
        self.add_results(1.0, 1, ExchangeResult.SILENT)
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


class SilenceDetection(unittest.TestCase):
    """Machine n is in zone n % 3 and in rack n // 3 % 2 of that zone."""

    def setUp(self):
        self.detector = SilenceDetector(lambda machine: str(machine // 3 % 2))

    def exchange(self, begin, end, zones=(0, 1, 2), took=0.03):
        """Send a request every 10 ms, answered in `zones` after `took` seconds. Return the silent zones."""
        now, n = begin, 0
        while now < end:
            self.detector.request_sent(now, ZONES[n % 3], n % 30)
            if n % 3 in zones:
                self.detector.answer_received(now + took, ZONES[n % 3], n % 30)
            now, n = now + 0.01, n + 1
        return [zone for zone in ZONES if self.detector.is_silent(end + took, zone, False)]

    def test_a_silent_zone_is_detected_within_a_few_response_times(self):
        self.assertEqual(self.exchange(0.0, 2.0), [])
        self.assertEqual(self.exchange(2.0, 2.3, zones=(0, 2)), ["z1"])
        self.detector.answer_received(2.4, "z1", 4)  # one answer is enough
        self.assertFalse(self.detector.is_silent(2.4, "z1", False))

    def test_the_timeout_adapts_to_the_response_time(self):
        self.assertEqual(self.exchange(0.0, 4.0, took=0.6), [])
        self.assertEqual(self.exchange(4.0, 4.5, zones=(0, 2), took=0.6), [])
        self.assertEqual(self.exchange(4.5, 5.6, zones=(0, 2), took=0.6), ["z1"])

    def test_a_silent_rack_is_no_silent_zone_and_a_member_without_any_answers_detects_nothing(self):
        self.exchange(0.0, 2.0)
        for machine in (1, 7, 13, 19):  # all of z1's rack 0
            self.detector.request_sent(2.0, "z1", machine)
        self.detector.answer_received(2.5, "z0", 0)
        self.assertFalse(self.detector.is_silent(2.5, "z1", False))
        self.detector.request_sent(2.5, "z1", 4)
        self.assertFalse(self.detector.is_silent(3.0, "z1", False))  # no other zone answered recently either
        self.detector.answer_received(3.0, "z0", 0)
        self.assertTrue(self.detector.is_silent(3.0, "z1", False))
        self.assertFalse(self.detector.is_silent(3.0 + OTHER_ZONES_QUIET_S + 0.1, "z1", False))

    def test_unsent_and_timed_out_requests_are_not_pending_and_a_stall_restarts_all_waits(self):
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

    def test_a_member_withholds_starts_from_a_silent_zone_and_sends_several_health_checks(self):
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
        checked = member.tick(1.6)
        self.assertEqual((len(checked), {machine % 3 for machine in checked}), (3, {1}))
        self.assertEqual({member.effective_state(1.6, n) for n in range(30) if n % 3 == 1}, {"draining"})
        self.assertEqual(member.effective_state(1.6, 0), "ready")
        self.assertEqual(len(member.tick(1.7)), 0)
        member.handle_event(1.8, ProbeAnswered(4, Outcome.FULL))
        self.assertEqual((member.start_refusal(1.8, 4, 0), member.effective_state(1.8, 4)), ("", "ready"))
