"""Many dispatchers and servers on a virtual clock: no overload, no oscillation; then each guard taken out."""

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


def realm(seed=1, **more):
    return Realm(
        **{"dispatchers": 9, "machines": 90, "zones": 3, "racks": 5, "seed": seed, "every_s": 0.03, **more}
    )


def lost_and_back(one, fails=3.0, back=8.0):
    one.at(fails, lambda: one.fail_zone(1))
    one.at(back, lambda: one.return_zone(1))


def flapping(seed, period, times=None):
    one = realm(seed, times=times)
    for n in range(int(56.0 / period)):
        one.at(3.0 + period * n, lambda: one.fail_zone(1))
        one.at(3.0 + period * (n + 0.5), lambda: one.return_zone(1))
    one.run(64.0)
    return one


def longer(leaves):
    """Away for 2 s at least after the first leave, and twice as long after each that follows."""
    return len(leaves) > 2 and all(b - a > 2.0 * 2**n for n, (a, b) in enumerate(pairwise(leaves)))


class AllGuards(unittest.TestCase):
    def test_a_zone_is_left_at_once_by_all_and_the_return_overloads_no_server(self):
        for seed in range(3):
            one = realm(seed)
            lost_and_back(one)
            one.run(25.0)
            left = [at for (_, place), at in one.left_at.items() if place == "z1"]
            self.assertEqual(len(left), 9)
            self.assertLess(max(left) - 3.0, 2.0, seed)
            self.assertLess(max(left) - min(left), 0.5, seed)
            self.assertEqual(one.oscillations({"z1": 1}), 0, one.changes)
            self.assertIs(one.zones.place("z1").phase, Phase.SERVING, one.changes)
            self.assertLessEqual(one.peak, 1.0)

    def test_leaders_that_die_at_each_state_change_nothing_of_that(self):
        for seed, kills in enumerate(((3.4, 4.0), (5.0, 9.5), (10.0, 12.0, 14.0), (8.1,))):
            one = realm(seed)
            lost_and_back(one)
            for at in kills:
                one.at(at, one.kill_leader)
            one.run(30.0)
            self.assertEqual(one.oscillations({"z1": 1}), 0, (kills, one.changes))
            self.assertIs(one.zones.place("z1").phase, Phase.SERVING, (kills, one.changes))
            self.assertLessEqual(one.peak, 1.0, kills)

    def test_what_is_no_zone_failure_moves_no_zone(self):
        def gray(one):
            for n in one.by_zone[1][::8]:
                one.machines[n].up = False

        def blind(one):
            one.blind = {0: {0, 1, 2}, 1: {0, 2}}  # one sees nothing, another only its own zone

        def lies(one):
            one.liars.add(0)

        for fault in (gray, blind, lies, lambda one: one.cut_off.update({0, 1})):
            one = realm(2)
            one.at(3.0, lambda one=one, fault=fault: fault(one))
            one.run(12.0)
            self.assertEqual(
                [name for _, name, phase, _, _ in one.changes if phase == "leaving" and "/" not in name], []
            )

    def unanswered_starts(self):
        """Starts into a zone that hears and says nothing; each is given up after a second."""
        one = realm(1, silence_s=1.0)
        lost_and_back(one)
        one.run(20.0)
        left = [at - 3.0 for (_, place), at in one.left_at.items() if place == "z1"]
        self.assertLess(max(left), 2.0)
        self.assertEqual(one.oscillations({"z1": 1}), 0, one.changes)
        return one.unheard

    def test_members_hold_back_from_a_silent_zone_before_starts_time_out(self):
        with mock.patch.object(SilenceDetector, "is_silent", lambda *_: False):
            before = self.unanswered_starts()
        self.assertLess(self.unanswered_starts(), 0.35 * before)

    def test_one_rack_is_left_without_its_zone(self):
        one = realm(3, every_s=0.01)
        one.at(3.0, lambda: one.fail_zone(1, cell=2))
        one.run(9.0)
        left = [name for _, name, phase, _, _ in one.changes if phase == "leaving"]
        self.assertEqual(left, ["z1/2"], one.changes)

    def test_a_zone_that_flaps_every_three_seconds_is_left_longer_each_time(self):
        for seed in (4, 5):
            one = flapping(seed, 6.0)
            self.assertTrue(longer(one.leaves("z1")), one.leaves("z1"))
            self.assertLessEqual(one.peak, 1.0)

    def test_a_second_zone_lost_during_the_return_of_the_first_and_then_the_third(self):
        one = realm(5)
        lost_and_back(one)
        one.at(11.0, lambda: one.fail_zone(2))
        one.at(14.0, lambda: one.fail_zone(0))  # of the three, one always stays
        one.run(17.0)
        kept = [
            zone
            for zone in one.settings.zones
            if one.zones.place(zone).phase not in (Phase.LEAVING, Phase.LEFT)
        ]
        self.assertTrue(kept)
        one.return_zone(2)
        one.return_zone(0)
        one.run(45.0)
        self.assertEqual(
            {zone: one.zones.place(zone).phase for zone in one.settings.zones},
            dict.fromkeys(one.settings.zones, Phase.SERVING),
            one.changes,
        )
        self.assertLessEqual(one.peak, 1.0)


class WithoutAGuard(unittest.TestCase):
    """Each guard is taken out once, and the realm then tells of it."""

    def peak_of(self, seeds=(0, 1), pace=0.01, **more):
        worst = 0.0
        for seed in seeds:
            one = realm(seed, every_s=pace, **more)
            lost_and_back(one)
            for at in (9.6, 10.4, 11.6):
                one.at(at, lambda one=one: one.kill_leader(0.1))
            one.run(14.0)
            worst = max(worst, one.peak)
        return worst

    def test_with_all_guards_no_server_is_overloaded(self):
        self.assertLessEqual(self.peak_of(), 1.0)

    def test_quotas_that_never_expire(self):
        with mock.patch.object(
            QuotaLease, "remaining", lambda self, now, place, uid: 1 if place in self._held else 0
        ):
            self.assertGreater(self.peak_of(seeds=(0,)), 1.0)

    def test_epochs_that_do_not_wait_for_a_window(self):
        with mock.patch.object(QuotaLedger, "epoch_length_s", 0.05):
            self.assertGreater(self.peak_of(seeds=(0, 1), pace=0.003), 1.0)

    def test_returning_without_steps_or_quotas(self):
        def straight(self, situation):
            return replace(situation.unchanged, phase=Phase.SERVING, shed={}, tenants={}, reason="at once")

        with mock.patch.object(FailoverRules, "_change_of_returning", straight):
            self.assertGreater(self.peak_of(seeds=range(1)), 1.0)

    def moved(self, fault, seconds=8.0, **more):
        one = realm(2, **more)
        one.at(3.0, lambda: fault(one))
        one.run(seconds)
        return [name for _, name, phase, _, _ in one.changes if phase == "leaving"]

    def test_one_witness_that_is_enough(self):
        with mock.patch.object(Witnesses, "are_enough", lambda self, now, place, some, others: bool(some)):
            self.assertTrue(self.moved(lambda one: one.liars.add(0)))

    def test_isolated_members_as_witnesses(self):
        def blind(one):
            one.blind = {n: {0, 1, 2} for n in range(7)}  # most of them reach nothing; it is they

        self.assertEqual(self.moved(blind), [])
        with mock.patch.object(Observations, "isolation", lambda self, now: Isolation.NONE):
            self.assertTrue(self.moved(blind))

    def test_no_longer_stay_after_each_flap(self):
        leaves = [flapping(seed, 8.0, FailoverTiming(stay_most=2.0)).leaves("z1") for seed in (4, 6)]
        self.assertFalse(all(map(longer, leaves)), leaves)

    def test_the_last_zone_not_kept(self):
        def all_down(one):
            for zone in range(3):
                one.at(3.0 + zone, lambda zone=zone: one.fail_zone(zone))

        def zones_of(names):
            return {name for name in names if "/" not in name}

        self.assertLess(len(zones_of(self.moved(all_down))), 3)
        with (
            mock.patch.object(ZoneStates, "another_serves", lambda self, zone, zones: True),
            mock.patch.object(FailoverRules, "_may_leave", lambda self, situation: True),
            mock.patch.object(Observations, "isolation", lambda self, now: Isolation.NONE),
        ):
            self.assertEqual(len(zones_of(self.moved(all_down, 12.0))), 3)
