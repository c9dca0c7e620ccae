"""Capacity of the other zones when one is left, load shedding by class and tenant, retries and migration."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from weldhatch.scheduling.types import RequestClass, Tenant
from weldhatch.zones import capacity, load_shedding
from weldhatch.zones.reports import Isolation, ZoneReport
from weldhatch.zones.retry_budget import MigrationRamp, RetryBudget


def report(**fields):
    return ZoneReport("z0", Isolation.NONE.value, **fields)


class FairShedding(unittest.TestCase):
    @given(
        st.floats(0.05, 0.95),
        st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.1, 100.0), min_size=1),
        st.lists(st.floats(0.1, 10.0), min_size=8, max_size=8),
    )
    def test_the_fraction_is_shed_in_total_and_nothing_of_a_tenant_within_its_share(
        self, fraction, rates, weights
    ):
        weight_by_tenant = dict(zip("abcdefgh", weights, strict=True))
        capacity_left = (1 - fraction) * sum(rates.values())
        granted = load_shedding.max_min_fair(rates, weight_by_tenant, capacity_left)
        self.assertAlmostEqual(sum(granted.values()), capacity_left, places=6)
        total_weight = sum(weight_by_tenant[name] for name in rates)
        for name, rate in rates.items():
            self.assertLessEqual(granted[name], rate + 1e-9)
            if rate <= capacity_left * weight_by_tenant[name] / total_weight:
                self.assertAlmostEqual(granted[name], rate)
        limited = [
            granted[name] / weight_by_tenant[name]
            for name in rates
            if granted[name] < rates[name] * (1 - 1e-9)
        ]
        # All limited tenants get the same rate for their weight.
        self.assertTrue(not limited or max(limited) - min(limited) < 1e-6 * max(limited) + 1e-9)
        for name, shed in load_shedding.shed_by_tenant(fraction, rates, weight_by_tenant).items():
            self.assertAlmostEqual(shed, 1 - granted[name] / rates[name], delta=0.006)

    def test_weights_are_the_first_quantity_that_the_settings_define_for_all_tenants(self):
        tenants = (Tenant("a", 5.0, 0.4, 8.0), Tenant("b", 5.0, 0.6, 0.0))
        self.assertEqual(load_shedding.tenant_weights(tenants), {"a": 5.0, "b": 5.0})
        self.assertEqual(
            load_shedding.tenant_weights((Tenant("a"), Tenant("b", portion=1.0))), {"a": 1.0, "b": 1.0}
        )
        self.assertEqual(load_shedding.tenant_shed_fractions({"lookup": 0.5}, [], tenants), {})
        reports = [
            report(tenant_rates={"lookup": {"a": 4.0, "nobody": 50.0}}),
            report(tenant_rates={"lookup": {"b": 4.0}}),
        ]
        self.assertEqual(
            load_shedding.tenant_shed_fractions({"lookup": 0.5, "import": 1.0}, reports, tenants),
            {"lookup": {"a": 0.5, "b": 0.5}},
        )

    def test_a_report_contains_the_highest_rates(self):
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

    def test_nothing_is_shed_if_the_other_zones_have_capacity(self):
        rates = {"lookup": 10.0}
        self.assertEqual(
            capacity.initial_shed_level(capacity.CapacityNeed(90.0, 100.0), rates, self.classes), 0.0
        )

    def test_the_class_with_the_lowest_priority_weight_is_shed_first(self):
        need, rates = capacity.CapacityNeed(100.0, 50.0), {"lookup": 10.0, "import": 10.0, "writer": 10.0}
        self.assertAlmostEqual(need.shortfall, 0.55)
        level = capacity.initial_shed_level(need, rates, self.classes)
        shed = capacity.shed_by_class(level, self.classes)
        self.assertEqual(shed, {"lookup": 1.0, "import": 0.65})
        self.assertAlmostEqual(capacity.shed_level(shed), level)

    def test_the_shed_level_rises_if_the_other_zones_fill_up_and_falls_if_they_have_capacity(self):
        levels = [capacity.next_shed_level(1.0, free, 100.0, 3) for free in (2.0, 12.0, 30.0)]
        self.assertEqual(levels, [1.25, 1.0, 0.75])
        self.assertEqual(capacity.next_shed_level(3.0, 0.0, 100.0, 3), 3.0)

    def test_a_wrong_capacity_report_of_one_member_does_not_change_the_median(self):
        reports = [report(usable_cores={"z1": size}, running_cores={"z1": 1.0}) for size in (10.0, 12.0)]
        reports.append(report(usable_cores={"z1": 9000.0}))
        self.assertEqual(capacity.free_capacity(reports, ["z1"]), (10.0, 12.0))

    def test_a_zone_that_has_just_lost_its_tasks_counts_with_its_peak_load(self):
        peaks = capacity.PeakLoad()
        for at, cores in ((0.0, 5.0), (1.0, 80.0), (2.0, 60.0), (3.0, 0.0)):
            peaks.add_sample(at, "z1", cores)
        self.assertEqual((peaks.peak(3.0, "z1"), peaks.peak(7.5, "z1")), (80.0, 60.0))
        self.assertEqual(peaks.peak(20.0, "z1"), 0.0)


class RetriesAndMigration(unittest.TestCase):
    def test_retries_are_limited_to_a_ratio_of_first_attempts_while_degraded(self):
        budget = RetryBudget(remaining=0.0)
        self.assertTrue(all(budget.try_retry(False) for _ in range(50)))
        for _ in range(10):
            budget.add_first_attempt()
        self.assertEqual([budget.try_retry(True) for _ in range(3)], [True, True, False])

    def test_migrating_work_is_limited_by_a_ramp_and_retries_are_spread(self):
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
        self.assertGreater(max(waits) - min(waits), 0.8)  # retries are spread over time
