"""Checks the five protocol rules on generated event sequences, and the checker on runs that break them."""

import dataclasses
import os
import random
import subprocess
import sys

import pytest
from checker import Checker, GeneratedRun, RuleViolation
from conftest import SECOND, Driver, machines, make_class, make_settings, of
from hypothesis import given
from hypothesis import strategies as st

from weldhatch import (
    Effect,
    ListForm,
    Machine,
    MachinesChanged,
    MachineState,
    Offer,
    Policy,
    Prices,
    Reject,
    RequestArrived,
    Scope,
)

CLASSES = (
    make_class(name="safe", spread_over=Scope.MACHINE, spread_most=1, priority_weight=1.0),
    make_class(
        name="keyed",
        effect=Effect.KEYED,
        group=Scope.CELL,
        window_us=2 * SECOND,
        priority=1,
        spread_over=Scope.CELL,
        spread_most=3,
        priority_weight=5.0,
    ),
    make_class(name="unsafe", effect=Effect.UNSAFE, deadline_us=8 * SECOND, priority_weight=2.0),
    make_class(name="keyed anywhere", effect=Effect.KEYED, group=Scope.ALL, window_us=4 * SECOND),
    make_class(
        name="zoned",
        effect=Effect.KEYED,
        group=Scope.ZONE,
        window_us=SECOND,
        spread_over=Scope.ZONE,
        spread_most=2,
    ),
)
VARIANTS = st.fixed_dictionaries(
    {
        "may_probe": st.booleans(),
        "may_cancel": st.booleans(),
        "subscribe": st.booleans(),
        "lists_free": st.booleans(),
        "reports_asked": st.booleans(),
        "max_attempts": st.sampled_from((1, 2, 3, 6)),
        "warm_up_offers": st.sampled_from((2, 8, 30)),
        "report_fields": st.sampled_from(((), ("x0", "x1", "cpu"), ("cpu",), ("active", "waiting"))),
        "group_size": st.sampled_from((1, 3, 200)),
        "prices": st.sampled_from((Prices(), Prices(cross_zone=0.1, fleet=0.1))),
    }
)


@given(VARIANTS, st.integers(0, 2**32), st.sampled_from((1, 3, 7)))
def test_generated_sequences_break_no_rule(variant, seed, machine_count):
    settings = make_settings(classes=CLASSES, zones=("a", "b"), **variant)
    GeneratedRun(Policy(settings, seed), settings, seed, count=machine_count).run(60)


@pytest.mark.parametrize(
    "warm_up_offers, group_size, early_ds, seed",
    [(0, 3, 0, 1), (1, 5, 0, 2), (2, 9, 5, 3), (5, 12, -5, 4), (20, 21, 0, 5), (21, 4, 9, 6), (30, 70, 0, 7)],
)
def test_all_dispatchers_together_stay_within_the_offer_limit_of_a_warming_machine(
    warm_up_offers, group_size, early_ds, seed
):
    """Guards against a sum of offers over the limit of a machine that is warming up.

    Each dispatcher gets more requests than it may offer, and some learn late that the machine has started.
    """
    base = make_settings(
        warm_up_offers=warm_up_offers, group_size=group_size, may_probe=False, max_attempts=1
    )
    started_at, rng, sent = 100 * SECOND, random.Random(seed), []
    for me in range(group_size):
        driver = Driver(dataclasses.replace(base, me=me), [], seed + me)
        driver.now = started_at - early_ds * SECOND // 10 if rng.random() < 0.8 else started_at + 3 * SECOND
        driver.send(MachinesChanged(ListForm.DELTA, (Machine(77, born_us=started_at),)))
        for step in range(12):
            driver.wait(SECOND * 3 // 4)
            for _ in range(2):
                driver.arrive(service=step, life=SECOND // 4)
            offers, driver.log = of(driver.log, Offer), []
            sent += [driver.now for _ in offers]
    sent = sorted(sent_at for sent_at in sent if sent_at < started_at + base.warm_up_us)
    for first, last in zip(sent, sent[warm_up_offers:], strict=False):
        assert last - first > base.fall_us
    assert warm_up_offers < 2 or sent  # a warming machine does get offers


def test_the_same_events_give_the_same_actions_under_every_hash_seed():
    code = (
        "import sys; sys.path[:0] = ['tests', '.']; from test_scheduling_rules import *\n"
        "s = make_settings(classes=CLASSES, zones=('a', 'b'))\n"
        "print([str(a) for a in GeneratedRun(Policy(s, 5), s, 5).run(80)])"
    )
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    runs = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=root,
            check=True,
            capture_output=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(runs) == 1 and len(runs.pop()) > 1000


def start_with(checker, *entries):
    checker.handle_event(0, MachinesChanged(ListForm.FULL, entries))
    for n in range(1, 9):
        checker.handle_event(0, RequestArrived(n, 0, 5 * SECOND, 1, 1.0, 1.0))


@pytest.mark.parametrize(
    "entry, now, offer_count, rule",
    [
        (Machine(1, state=MachineState.DRAINING), SECOND, 1, "rule 3"),
        (Machine(1, born_us=1), SECOND, 5, "rule 4"),
        (Machine(1), SECOND, 2, "rule 5"),
    ],
)
def test_the_checker_reports_offers_that_break_a_rule(entry, now, offer_count, rule):
    spread = {"spread_over": Scope.MACHINE, "spread_most": 1} if rule == "rule 5" else {}
    checker = Checker(make_settings(classes=(make_class(**spread),), warm_up_offers=4))
    start_with(checker, entry)
    with pytest.raises(RuleViolation, match=rule):
        checker.check_actions(now, [Offer(n + 1, 1) for n in range(offer_count)])


def test_the_checker_reports_missing_answers_second_answers_and_late_offers():
    checker = Checker(make_settings())
    start_with(checker, Machine(1))
    checker.check_actions(SECOND, [Reject(1)])
    with pytest.raises(RuleViolation, match="rule 1: two final answers"):
        checker.check_actions(SECOND, [Reject(1)])
    with pytest.raises(RuleViolation, match="rule 1: offer after the final answer or the end"):
        checker.check_actions(SECOND, [Offer(1, 1)])
    with pytest.raises(RuleViolation, match="rule 1: no final answer by the deadline"):
        checker.check_overdue(6 * SECOND)


def test_one_machine_without_probes_reports_or_retries_gets_the_offer():
    settings = dataclasses.replace(make_settings(), max_attempts=1, may_probe=False, report_fields=())
    driver = Driver(settings, machines(1))
    assert driver.arrive()[-1:] and any(isinstance(a, Offer) for a in driver.log)
