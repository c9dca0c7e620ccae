"""Start quotas for returning machines: never used twice, even if dispatchers die or are late."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from weldhatch.zones.start_quota import QuotaLease, QuotaLedger, StartQuota, starts_allowed


class Quotas(unittest.TestCase):
    @given(st.integers(1, 40), st.integers(1, 30), st.integers(0, 5), st.text(min_size=1, max_size=8))
    def test_all_quotas_of_an_epoch_add_up_to_the_tokens_of_each_machine(
        self, count, tokens, epoch_number, uid
    ):
        starts = [
            starts_allowed(StartQuota("z1", "e", epoch_number, position, count, tokens, 0.5), uid)
            for position in range(count)
        ]
        self.assertEqual(sum(starts), tokens)
        self.assertLessEqual(max(starts) - min(starts), 1)

    def test_a_quota_is_spent_once_and_only_within_its_span(self):
        lease, quota = QuotaLease(0.0), StartQuota("z1", "l.0", 0, 0, 1, 2, 0.5)
        self.assertTrue(lease.accept(quota, 10.0))
        self.assertEqual([lease.spend(10.1, "z1", "m") for _ in range(3)], [True, True, False])
        self.assertFalse(lease.accept(quota, 10.2))  # repeated
        self.assertFalse(lease.spend(10.2, "z1", "m"))
        self.assertTrue(lease.spend(10.2, "z1", "other"))
        self.assertFalse(lease.spend(10.5, "z1", "third"))  # the process was stopped until after the span
        self.assertTrue(lease.accept(StartQuota("z1", "l.1", 1, 0, 1, 2, 0.5), 12.0))
        self.assertFalse(
            lease.accept(StartQuota("z1", "l.0", 0, 0, 1, 2, 0.5), 11.0)
        )  # requested before the last accepted quota

    def test_no_window_contains_more_starts_than_a_machine_accepts(self):
        """Dispatchers request quotas at random times and spend all of them at once, and leaders change."""
        for seed in range(30):
            random, window, spent = Random(seed), 1.0, []
            leases, ledger = (
                {n: QuotaLease(0.02) for n in range(7)},
                QuotaLedger(0.0, "l0", window, 0.5, 0.02),
            )
            now, starts_per_window = 0.0, random.choice((0.5, 1.5, 4.0, 9.0))
            while now < 30:
                now += random.random() * 0.05
                if random.random() < 0.005:  # a new leader does not know the quotas of the previous one
                    ledger = QuotaLedger(now, f"l{now}", window, 0.5, 0.02)
                n = random.randrange(7)
                quota = ledger.allocate(
                    now, "z1", f"d{n}", starts_per_window, [f"d{k}" for k in range(random.randrange(1, 8))]
                )
                if quota is not None:
                    leases[n].accept(quota, now - random.random() * 0.1)
                for n in range(7):
                    if random.random() < 0.5:
                        while leases[n].spend(now, "z1", "m"):
                            spent.append(now)
            self.assertTrue(spent)
            highest = max(sum(at <= other < at + window for other in spent) for at in spent)
            self.assertLessEqual(highest, max(1, int(starts_per_window)), (seed, starts_per_window))

    def test_a_new_leader_waits_until_the_quotas_of_the_previous_one_have_expired(self):
        ledger = QuotaLedger(100.0, "l1", 1.0, 0.5, 0.02)
        self.assertIsNone(ledger.allocate(101.4, "z1", "d0", 4.0, ["d0"]))
        self.assertIsNotNone(ledger.allocate(101.6, "z1", "d0", 4.0, ["d0"]))

    def test_a_member_that_joins_within_an_epoch_gets_no_quota(self):
        ledger = QuotaLedger(-10.0, "l", 1.0, 0.5, 0.02)
        self.assertIsNotNone(ledger.allocate(0.0, "z1", "d0", 4.0, ["d0", "d1"]))
        self.assertIsNotNone(ledger.allocate(0.1, "z1", "d1", 4.0, ["d0", "d1"]))
        self.assertIsNone(ledger.allocate(0.1, "z1", "d2", 4.0, ["d0", "d1", "d2"]))
