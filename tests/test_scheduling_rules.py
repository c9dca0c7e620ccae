"""The five rules over generated legal event sequences; and the checker itself, on runs that break them."""

import dataclasses
import os
import random
import subprocess
import sys

import pytest
from checker import Broken, Checker, Generated
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
def test_generated_sequences_keep_the_rules(variant, seed, count):
    settings = make_settings(classes=CLASSES, zones=("a", "b"), **variant)
    Generated(Policy(settings, seed), settings, seed, count=count).run(60)


@pytest.mark.parametrize(
    "warm_up_offers, group, early_s, seed",
    [(0, 3, 0, 1), (1, 5, 0, 2), (2, 9, 5, 3), (5, 12, -5, 4), (20, 21, 0, 5), (21, 4, 9, 6), (30, 70, 0, 7)],
)
def test_all_dispatchers_together_never_overload_a_machine_that_warms_up(
    warm_up_offers, group, early_s, seed
):
    """All instances at once, each with more requests than it may send; some hear late of the start."""
    base = make_settings(warm_up_offers=warm_up_offers, group_size=group, may_probe=False, max_attempts=1)
    born, rnd, sent = 100 * SECOND, random.Random(seed), []
    for me in range(group):
        driver = Driver(dataclasses.replace(base, me=me), [], seed + me)
        driver.now = born - early_s * SECOND // 10 if rnd.random() < 0.8 else born + 3 * SECOND
        driver.send(MachinesChanged(ListForm.DELTA, (Machine(77, born_us=born),)))
        for step in range(12):
            driver.wait(SECOND * 3 // 4)
            for _ in range(2):
                driver.arrive(service=step, life=SECOND // 4)
            new, driver.log = of(driver.log, Offer), []
            sent += [driver.now for _ in new]
    sent = sorted(at for at in sent if at < born + base.warm_up_us)
    for first, last in zip(sent, sent[warm_up_offers:], strict=False):
        assert last - first > base.fall_us
    assert warm_up_offers < 2 or sent  # the room of a cold machine is not left unused


def test_the_same_events_give_the_same_actions_under_any_hash_seed():
    code = (
        "import sys; sys.path[:0] = ['tests', '.']; from test_scheduling_rules import *\n"
        "s = make_settings(classes=CLASSES, zones=('a', 'b'))\n"
        "print([str(a) for a in Generated(Policy(s, 5), s, 5).run(80)])"
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


def told(checker, *entries):
    checker.event(0, MachinesChanged(ListForm.FULL, entries))
    for n in range(1, 9):
        checker.event(0, RequestArrived(n, 0, 5 * SECOND, 1, 1.0, 1.0))


@pytest.mark.parametrize(
    "entry, now, offers, fault",
    [
        (Machine(1, state=MachineState.DRAINING), SECOND, 1, "rule 3"),
        (Machine(1, born_us=1), SECOND, 5, "rule 4"),
        (Machine(1), SECOND, 2, "rule 5"),
    ],
)
def test_the_checker_sees_broken_rules(entry, now, offers, fault):
    spread = {"spread_over": Scope.MACHINE, "spread_most": 1} if fault == "rule 5" else {}
    checker = Checker(make_settings(classes=(make_class(**spread),), warm_up_offers=4))
    told(checker, entry)
    with pytest.raises(Broken, match=fault):
        checker.actions(now, [Offer(n + 1, 1) for n in range(offers)])


def test_the_checker_sees_lost_and_doubly_answered_requests():
    checker = Checker(make_settings())
    told(checker, Machine(1))
    checker.actions(SECOND, [Reject(1)])
    with pytest.raises(Broken, match="two final answers"):
        checker.actions(SECOND, [Reject(1)])
    with pytest.raises(Broken, match="an offer after the end"):
        checker.actions(SECOND, [Offer(1, 1)])
    with pytest.raises(Broken, match="no answer in time"):
        checker.overdue(6 * SECOND)


def test_one_machine_one_attempt_no_probes_no_reports():
    settings = dataclasses.replace(make_settings(), max_attempts=1, may_probe=False, report_fields=())
    driver = Driver(settings, machines(1))
    assert driver.arrive()[-1:] and any(isinstance(a, Offer) for a in driver.log)
