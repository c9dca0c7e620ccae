"""Quotas of starts on machines that return: never used twice, whoever dies or is late."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from weldhatch.zones.start_quota import QuotaLease, QuotaLedger, StartQuota, starts_allowed


class Quotas(unittest.TestCase):
    @given(st.integers(1, 40), st.integers(1, 30), st.integers(0, 5), st.text(min_size=1, max_size=8))
    def test_all_quotas_together_are_the_tokens_of_each_machine(self, count, tokens, turn, uid):
        held = [
            starts_allowed(StartQuota("z1", "e", turn, mine, count, tokens, 0.5), uid)
            for mine in range(count)
        ]
        self.assertEqual(sum(held), tokens)
        self.assertLessEqual(max(held) - min(held), 1)

    def test_a_quota_is_spent_once_and_only_within_its_span(self):
        lease, share = QuotaLease(0.0), StartQuota("z1", "l.0", 0, 0, 1, 2, 0.5)
        self.assertTrue(lease.accept(share, 10.0))
        self.assertEqual([lease.spend(10.1, "z1", "m") for _ in range(3)], [True, True, False])
        self.assertFalse(lease.accept(share, 10.2))  # told again
        self.assertFalse(lease.spend(10.2, "z1", "m"))
        self.assertTrue(lease.spend(10.2, "z1", "other"))
        self.assertFalse(lease.spend(10.5, "z1", "third"))  # stopped, and woken after the span
        self.assertTrue(lease.accept(StartQuota("z1", "l.1", 1, 0, 1, 2, 0.5), 12.0))
        self.assertFalse(lease.accept(StartQuota("z1", "l.0", 0, 0, 1, 2, 0.5), 11.0))  # overtaken

    def test_no_window_holds_more_than_a_machine_bears(self):
        """Dispatchers ask at random, spend at the worst moments, die, and one leader follows another."""
        for seed in range(30):
            random, window, spent = Random(seed), 1.0, []
            leases, ledger = (
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
                    leases[n].accept(share, now - random.random() * 0.1)
                for n in range(7):
                    if random.random() < 0.5:
                        while leases[n].spend(now, "z1", "m"):
                            spent.append(now)
            self.assertTrue(spent)
            most = max(sum(at <= other < at + window for other in spent) for at in spent)
            self.assertLessEqual(most, max(1, int(pace)), (seed, pace))

    def test_a_new_leader_waits_until_the_quotas_of_the_last_one_have_expired(self):
        ledger = QuotaLedger(100.0, "l1", 1.0, 0.5, 0.02)
        self.assertIsNone(ledger.allocate(101.4, "z1", "d0", 4.0, ["d0"]))
        self.assertIsNotNone(ledger.allocate(101.6, "z1", "d0", 4.0, ["d0"]))

    def test_a_member_that_joins_within_an_epoch_gets_none(self):
        ledger = QuotaLedger(-10.0, "l", 1.0, 0.5, 0.02)
        self.assertIsNotNone(ledger.allocate(0.0, "z1", "d0", 4.0, ["d0", "d1"]))
        self.assertIsNotNone(ledger.allocate(0.1, "z1", "d1", 4.0, ["d0", "d1"]))
        self.assertIsNone(ledger.allocate(0.1, "z1", "d2", 4.0, ["d0", "d1", "d2"]))
