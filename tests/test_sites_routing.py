"""Routing between sites: which tasks are forwarded, why others stay, and how a failing site is excluded."""

from collections import Counter
from random import Random

import pytest

from weldhatch.sites import routing
from weldhatch.sites.messages import Work
from weldhatch.sites.routing import CapacitySummary, KeepLocal, Router

WORK = Work("lookup", "SAFE", 1, 1, 1.0, 2.0)
FULL, ROOMY = CapacitySummary({"lookup": 0}, 100, waiting=9), CapacitySummary({"lookup": 60}, 100)


def router(count=2, seed=3, summary=ROOMY, delay_s=0.0):
    names = [f"s{n}" for n in range(count)]
    result = Router(names, Random(seed))
    for name in names:
        result.link_changed(0.0, name, True)
        result.receive_summary(0.0, name, summary, delay_s)
    return result


def test_a_task_stays_where_the_local_site_has_capacity():
    assert router().choose(0.0, WORK, ROOMY, 5.0) == KeepLocal("home has room")


def test_a_full_site_forwards_to_the_freer_of_two_sampled_and_not_always_to_one():
    r = router(6)
    r.receive_summary(0.0, "s0", CapacitySummary({"lookup": 90}, 100), 0.0)
    chosen = Counter(r.choose(0.0, WORK, FULL, 5.0) for _ in range(3000))
    assert chosen["s0"] == pytest.approx(3000 * 2 / 6, rel=0.15)  # chosen whenever it is sampled
    assert all(chosen[f"s{n}"] > 200 for n in range(1, 6))


@pytest.mark.parametrize(
    "make_unfit, reason",
    [
        (lambda r: r.link_changed(0.0, "s0", False), "its link is down"),
        (
            lambda r: r.receive_summary(0.0, "s0", CapacitySummary({"lookup": 0}, 100), 0.0),
            "it has no room for the class",
        ),
        (
            lambda r: r.receive_summary(0.0, "s0", CapacitySummary({"lookup": 9}, 100, draining=True), 0.0),
            "it is drained",
        ),
        (lambda r: r.receive_summary(-9.0, "s0", ROOMY, 0.0), "it has told nothing lately"),
        (lambda r: r.receive_summary(0.0, "s0", ROOMY, 3.0), "it is too far for the time left"),
        (lambda r: r.transfer_returned(0.0, "s0", WORK), "it returned such a task lately"),
        (
            lambda r: [r.transfer_failed(0.0, "s0") for _ in range(routing.FAILURES_TO_EXCLUDE)],
            "it failed lately",
        ),
        (
            lambda r: [r.transfer_sent(0.0, "s0", Work("other", "SAFE", 1, 1, 1.0, 2.0)) for _ in range(75)],
            "enough is out there",
        ),
    ],
)
def test_an_unfit_site_is_not_chosen_and_the_reason_is_given(make_unfit, reason):
    r = router(1)
    assert r.choose(0.0, WORK, FULL, 5.0) == "s0"
    make_unfit(r)
    assert r.choose(0.0, WORK, FULL, 5.0) == KeepLocal(f"s0: {reason}")


def test_a_task_is_not_forwarded_to_a_site_that_had_it():
    assert router(1).choose(0.0, WORK, FULL, 5.0, frozenset({"s0"})) == KeepLocal("s0: it was there")


def test_a_returned_task_excludes_only_tasks_as_large_and_for_a_limited_time():
    r = router(1)
    r.transfer_returned(0.0, "s0", WORK)
    assert r.choose(0.1, Work("lookup", "SAFE", 1, 1, 0.5, 1.0), FULL, 5.0) == "s0"
    assert r.choose(0.1 + routing.REJECTION_TTL_S, WORK, FULL, 5.0) == "s0"


def test_forwarded_tasks_are_subtracted_until_a_summary_can_include_them():
    """Without this, a summary that is a second old would attract all tasks that arrive meanwhile."""
    r = router(1, summary=CapacitySummary({"lookup": 3}, 10), delay_s=0.1)
    for _ in range(3):
        assert r.choose(0.5, WORK, FULL, 5.0) == "s0"
        r.transfer_sent(0.5, "s0", WORK)
    assert r.choose(0.5, WORK, FULL, 5.0) == KeepLocal("s0: it has no room for the class")
    r.receive_summary(0.6, "s0", CapacitySummary({"lookup": 3}, 10), 0.1)  # sent before the tasks arrived
    assert isinstance(r.choose(0.6, WORK, FULL, 5.0), KeepLocal)
    r.receive_summary(0.9, "s0", CapacitySummary({"lookup": 2}, 10), 0.1)
    assert r.choose(0.9, WORK, FULL, 5.0) == "s0"


def test_a_failing_site_is_excluded_for_longer_each_time_and_readmitted_by_a_ramp():
    r, now, exclusions = router(1), 0.0, []
    for _ in range(3):
        for _ in range(routing.FAILURES_TO_EXCLUDE):
            r.transfer_failed(now, "s0")
        exclusions.append(r.sites["s0"].excluded_until - now)
        now = r.sites["s0"].excluded_until
    assert exclusions == [routing.EXCLUDE_S, 2 * routing.EXCLUDE_S, 4 * routing.EXCLUDE_S]
    r.receive_summary(now, "s0", ROOMY, 0.0)
    forwarded = []
    for _ in range(9):
        n = 0
        while r.choose(now, WORK, FULL, 5.0) == "s0" and n < 300:
            r.transfer_sent(now, "s0", WORK)
            n += 1
        forwarded.append(n)
        for _ in range(n):
            r.transfer_ended("s0")
            r.transfer_placed(now, "s0")
        now += routing.RAMP_STEP_S
        r.receive_summary(now, "s0", ROOMY, 0.0)
    assert forwarded[:5] == [1, 1, 2, 4, 8] and forwarded[-1] == 60  # its reported free capacity
    assert r.sites["s0"].ramp_limit is None


def test_a_broken_link_discards_the_summary():
    r = router(1)
    r.link_changed(1.0, "s0", False)
    r.link_changed(2.0, "s0", True)
    assert r.choose(2.0, WORK, FULL, 5.0) == KeepLocal("s0: it has told nothing lately")


def test_two_nearly_full_sites_do_not_forward_tasks_to_each_other():
    a, b = router(1), router(1)
    nearly_full = CapacitySummary({"lookup": 4}, 100)
    for r in (a, b):
        r.receive_summary(0.0, "s0", nearly_full, 0.0)
    assert all(isinstance(r.choose(0.0, WORK, nearly_full, 5.0), KeepLocal) for r in (a, b))
