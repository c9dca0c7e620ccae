"""Many dispatchers and servers on a virtual clock: zone failover causes no overload and no oscillation.

`WithoutAProtection` disables each protection once and checks that the simulation detects the effect.
"""

import unittest
from dataclasses import replace
from itertools import pairwise
from unittest import mock

from weldhatch.testbed.simulated_zones import Realm
from weldhatch.zones.failover_rules import FailoverRules, FailoverTiming
from weldhatch.zones.observations import Observations
from weldhatch.zones.reports import Isolation
from weldhatch.zones.silence_detector import SilenceDetector
from weldhatch.zones.start_quota import QuotaLease, QuotaLedger
from weldhatch.zones.state import Phase, ZoneStates
from weldhatch.zones.witnesses import Witnesses


def simulation(seed=1, **options):
    return Realm(
        **{"dispatchers": 9, "machines": 90, "zones": 3, "racks": 5, "seed": seed, "every_s": 0.03, **options}
    )


def fail_and_recover(sim, fails=3.0, back=8.0):
    sim.at(fails, lambda: sim.fail_zone(1))
    sim.at(back, lambda: sim.return_zone(1))


def flapping(seed, period, times=None):
    sim = simulation(seed, times=times)
    for n in range(int(56.0 / period)):
        sim.at(3.0 + period * n, lambda: sim.fail_zone(1))
        sim.at(3.0 + period * (n + 0.5), lambda: sim.return_zone(1))
    sim.run(64.0)
    return sim


def are_times_away_doubling(leaves):
    """Return whether the intervals between leaves exceed 2 s, 4 s, 8 s and so on."""
    return len(leaves) > 2 and all(b - a > 2.0 * 2**n for n, (a, b) in enumerate(pairwise(leaves)))


class AllProtections(unittest.TestCase):
    def test_all_dispatchers_leave_a_failed_zone_and_the_return_overloads_no_server(self):
        for seed in range(3):
            sim = simulation(seed)
            fail_and_recover(sim)
            sim.run(25.0)
            left = [at for (_, place), at in sim.left_at.items() if place == "z1"]
            self.assertEqual(len(left), 9)
            self.assertLess(max(left) - 3.0, 2.0, seed)
            self.assertLess(max(left) - min(left), 0.5, seed)
            self.assertEqual(sim.oscillations({"z1": 1}), 0, sim.changes)
            self.assertIs(sim.zones.place("z1").phase, Phase.SERVING, sim.changes)
            self.assertLessEqual(sim.peak, 1.0)

    def test_leader_failures_in_any_phase_cause_no_overload_and_no_oscillation(self):
        for seed, kills in enumerate(((3.4, 4.0), (5.0, 9.5), (10.0, 12.0, 14.0), (8.1,))):
            sim = simulation(seed)
            fail_and_recover(sim)
            for at in kills:
                sim.at(at, sim.kill_leader)
            sim.run(30.0)
            self.assertEqual(sim.oscillations({"z1": 1}), 0, (kills, sim.changes))
            self.assertIs(sim.zones.place("z1").phase, Phase.SERVING, (kills, sim.changes))
            self.assertLessEqual(sim.peak, 1.0, kills)

    def test_faults_that_are_no_zone_failure_leave_no_zone(self):
        def gray(sim):
            for n in sim.by_zone[1][::8]:
                sim.machines[n].up = False

        def blind(sim):
            sim.blind = {0: {0, 1, 2}, 1: {0, 2}}  # one reaches no zone, another only its own

        def lies(sim):
            sim.liars.add(0)

        for fault in (gray, blind, lies, lambda sim: sim.cut_off.update({0, 1})):
            sim = simulation(2)
            sim.at(3.0, lambda sim=sim, fault=fault: fault(sim))
            sim.run(12.0)
            self.assertEqual(
                [name for _, name, phase, _, _ in sim.changes if phase == "leaving" and "/" not in name], []
            )

    def unanswered_starts(self):
        """Return the number of starts sent to a failed zone, where each times out after one second."""
        sim = simulation(1, silence_s=1.0)
        fail_and_recover(sim)
        sim.run(20.0)
        left = [at - 3.0 for (_, place), at in sim.left_at.items() if place == "z1"]
        self.assertLess(max(left), 2.0)
        self.assertEqual(sim.oscillations({"z1": 1}), 0, sim.changes)
        return sim.unheard

    def test_members_withhold_starts_from_a_silent_zone_before_starts_time_out(self):
        with mock.patch.object(SilenceDetector, "is_silent", lambda *_: False):
            before = self.unanswered_starts()
        self.assertLess(self.unanswered_starts(), 0.35 * before)

    def test_a_failed_rack_is_left_without_its_zone(self):
        sim = simulation(3, every_s=0.01)
        sim.at(3.0, lambda: sim.fail_zone(1, cell=2))
        sim.run(9.0)
        left = [name for _, name, phase, _, _ in sim.changes if phase == "leaving"]
        self.assertEqual(left, ["z1/2"], sim.changes)

    def test_each_flap_of_a_zone_doubles_the_time_away(self):
        for seed in (4, 5):
            sim = flapping(seed, 6.0)
            self.assertTrue(are_times_away_doubling(sim.leaves("z1")), sim.leaves("z1"))
            self.assertLessEqual(sim.peak, 1.0)

    def test_one_zone_stays_in_service_if_the_others_fail_during_a_return(self):
        sim = simulation(5)
        fail_and_recover(sim)
        sim.at(11.0, lambda: sim.fail_zone(2))
        sim.at(14.0, lambda: sim.fail_zone(0))  # one of the three must stay in service
        sim.run(17.0)
        kept = [
            zone
            for zone in sim.settings.zones
            if sim.zones.place(zone).phase not in (Phase.LEAVING, Phase.LEFT)
        ]
        self.assertTrue(kept)
        sim.return_zone(2)
        sim.return_zone(0)
        sim.run(45.0)
        self.assertEqual(
            {zone: sim.zones.place(zone).phase for zone in sim.settings.zones},
            dict.fromkeys(sim.settings.zones, Phase.SERVING),
            sim.changes,
        )
        self.assertLessEqual(sim.peak, 1.0)


class WithoutAProtection(unittest.TestCase):
    """Each test disables one protection; the simulation must show overload or wrong decisions."""

    def peak_load(self, seeds=(0, 1), start_interval_s=0.01, **options):
        highest = 0.0
        for seed in seeds:
            sim = simulation(seed, every_s=start_interval_s, **options)
            fail_and_recover(sim)
            for at in (9.6, 10.4, 11.6):
                sim.at(at, lambda sim=sim: sim.kill_leader(0.1))
            sim.run(14.0)
            highest = max(highest, sim.peak)
        return highest

    def test_with_all_protections_no_server_is_overloaded(self):
        self.assertLessEqual(self.peak_load(), 1.0)

    def test_without_expiry_of_quotas_a_server_is_overloaded(self):
        with mock.patch.object(
            QuotaLease, "remaining", lambda self, now, place, uid: 1 if place in self._held else 0
        ):
            self.assertGreater(self.peak_load(seeds=(0,)), 1.0)

    def test_without_a_window_between_epochs_a_server_is_overloaded(self):
        with mock.patch.object(QuotaLedger, "epoch_length_s", 0.05):
            self.assertGreater(self.peak_load(seeds=(0, 1), start_interval_s=0.003), 1.0)

    def test_without_return_steps_and_quotas_a_server_is_overloaded(self):
        def return_at_once(self, situation):
            return replace(situation.unchanged, phase=Phase.SERVING, shed={}, tenants={}, reason="at once")

        with mock.patch.object(FailoverRules, "_change_of_returning", return_at_once):
            self.assertGreater(self.peak_load(seeds=range(1)), 1.0)

    def left_places(self, fault, seconds=8.0, **options):
        sim = simulation(2, **options)
        sim.at(3.0, lambda: fault(sim))
        sim.run(seconds)
        return [name for _, name, phase, _, _ in sim.changes if phase == "leaving"]

    def test_if_one_witness_is_sufficient_a_healthy_zone_is_left(self):
        with mock.patch.object(
            Witnesses, "are_enough", lambda self, now, place, witnesses, opposed: bool(witnesses)
        ):
            self.assertTrue(self.left_places(lambda sim: sim.liars.add(0)))

    def test_with_isolated_members_as_witnesses_a_healthy_zone_is_left(self):
        def blind(sim):
            # All zones are healthy, but these members do not reach them.
            sim.blind = {n: {0, 1, 2} for n in range(7)}

        self.assertEqual(self.left_places(blind), [])
        with mock.patch.object(Observations, "isolation", lambda self, now: Isolation.NONE):
            self.assertTrue(self.left_places(blind))

    def test_with_a_limited_time_away_flaps_do_not_double_it(self):
        leaves = [flapping(seed, 8.0, FailoverTiming(stay_most=2.0)).leaves("z1") for seed in (4, 6)]
        self.assertFalse(all(map(are_times_away_doubling, leaves)), leaves)

    def test_without_keeping_the_last_zone_all_zones_are_left(self):
        def all_down(sim):
            for zone in range(3):
                sim.at(3.0 + zone, lambda zone=zone: sim.fail_zone(zone))

        def zones_of(names):
            return {name for name in names if "/" not in name}

        self.assertLess(len(zones_of(self.left_places(all_down))), 3)
        with (
            mock.patch.object(ZoneStates, "another_serves", lambda self, zone, zones: True),
            mock.patch.object(FailoverRules, "_may_leave", lambda self, situation: True),
            mock.patch.object(Observations, "isolation", lambda self, now: Isolation.NONE),
        ):
            self.assertEqual(len(zones_of(self.left_places(all_down, 12.0))), 3)
