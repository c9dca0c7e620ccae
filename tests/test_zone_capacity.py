"""What the other zones can take when one is left, whose work is shed, and how the rest migrates."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from weldhatch.scheduling.types import RequestClass, Tenant
from weldhatch.zones import capacity, load_shedding
from weldhatch.zones.reports import Isolation, ZoneReport
from weldhatch.zones.retry_budget import MigrationRamp, RetryBudget


def report(**what):
    return ZoneReport("z0", Isolation.NONE.value, **what)


class FairShedding(unittest.TestCase):
    @given(
        st.floats(0.05, 0.95),
        st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.1, 100.0), min_size=1),
        st.lists(st.floats(0.1, 10.0), min_size=8, max_size=8),
    )
    def test_tenants_together_lose_the_part_and_none_within_its_share_loses_any(self, part, rates, weights):
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

    def test_weights_are_what_the_settings_give_all_tenants(self):
        some = (Tenant("a", 5.0, 0.4, 8.0), Tenant("b", 5.0, 0.6, 0.0))
        self.assertEqual(load_shedding.tenant_weights(some), {"a": 5.0, "b": 5.0})
        self.assertEqual(
            load_shedding.tenant_weights((Tenant("a"), Tenant("b", portion=1.0))), {"a": 1.0, "b": 1.0}
        )
        self.assertEqual(load_shedding.tenant_shed_fractions({"lookup": 0.5}, [], some), {})
        told = [
            report(tenant_rates={"lookup": {"a": 4.0, "nobody": 50.0}}),
            report(tenant_rates={"lookup": {"b": 4.0}}),
        ]
        self.assertEqual(
            load_shedding.tenant_shed_fractions({"lookup": 0.5, "import": 1.0}, told, some),
            {"lookup": {"a": 0.5, "b": 0.5}},
        )

    def test_a_report_names_the_greatest_rates(self):
        rates = {("lookup", f"tenant-{n}"): float(n) for n in range(40)}
        self.assertEqual(
            list(load_shedding.highest_rates(rates)["lookup"]), [f"tenant-{n}" for n in range(39, 31, -1)]
        )


class Capacity(unittest.TestCase):
    classes = (
        RequestClass("lookup", 1, 1, priority_weight=1.0),
        RequestClass("import", 1, 1, priority_weight=2.0),
        RequestClass("writer", 1, 1, priority_weight=5.0),
    )

    def test_what_the_other_zones_can_take_is_not_shed(self):
        rates = {"lookup": 10.0}
        self.assertEqual(
            capacity.initial_shed_level(capacity.CapacityNeed(90.0, 100.0), rates, self.classes), 0.0
        )

    def test_the_least_priority_weight_is_shed_first(self):
        need, rates = capacity.CapacityNeed(100.0, 50.0), {"lookup": 10.0, "import": 10.0, "writer": 10.0}
        self.assertAlmostEqual(need.shortfall, 0.55)
        level = capacity.initial_shed_level(need, rates, self.classes)
        shed = capacity.shed_by_class(level, self.classes)
        self.assertEqual(shed, {"lookup": 1.0, "import": 0.65})
        self.assertAlmostEqual(capacity.shed_level(shed), level)

    def test_the_level_rises_where_the_others_fill_up_and_falls_where_they_are_free(self):
        levels = [capacity.next_shed_level(1.0, free, 100.0, 3) for free in (2.0, 12.0, 30.0)]
        self.assertEqual(levels, [1.25, 1.0, 0.75])
        self.assertEqual(capacity.next_shed_level(3.0, 0.0, 100.0, 3), 3.0)

    def test_a_member_that_lies_about_capacity_is_outvoted(self):
        told = [report(usable_cores={"z1": size}, running_cores={"z1": 1.0}) for size in (10.0, 12.0)]
        told.append(report(usable_cores={"z1": 9000.0}))
        self.assertEqual(capacity.free_capacity(told, ["z1"]), (10.0, 12.0))

    def test_a_zone_that_has_just_lost_its_tasks_counts_for_its_peak(self):
        peaks = capacity.PeakLoad()
        for at, cores in ((0.0, 5.0), (1.0, 80.0), (2.0, 60.0), (3.0, 0.0)):
            peaks.add_sample(at, "z1", cores)
        self.assertEqual((peaks.peak(3.0, "z1"), peaks.peak(7.5, "z1")), (80.0, 60.0))
        self.assertEqual(peaks.peak(20.0, "z1"), 0.0)


class RetriesAndMigration(unittest.TestCase):
    def test_retries_are_a_share_of_first_attempts_while_degraded(self):
        attempts = RetryBudget(remaining=0.0)
        self.assertTrue(all(attempts.try_retry(False) for _ in range(50)))
        for _ in range(10):
            attempts.add_first_attempt()
        self.assertEqual([attempts.try_retry(True) for _ in range(3)], [True, True, False])

    def test_migrating_work_arrives_by_a_ramp(self):
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
