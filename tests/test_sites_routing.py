"""Routing between sites: what goes over, what stays and why, and how a failing site is left out."""

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
    out = Router(names, Random(seed))
    for name in names:
        out.link_changed(0.0, name, True)
        out.receive_summary(0.0, name, summary, delay_s)
    return out


def test_a_task_stays_where_the_local_site_has_capacity():
    assert router().choose(0.0, WORK, ROOMY, 5.0) == KeepLocal("home has room")


def test_a_full_site_forwards_to_the_freer_of_two_sampled_and_not_always_to_one():
    r = router(6)
    r.receive_summary(0.0, "s0", CapacitySummary({"lookup": 90}, 100), 0.0)
    chosen = Counter(r.choose(0.0, WORK, FULL, 5.0) for _ in range(3000))
    assert chosen["s0"] == pytest.approx(3000 * 2 / 6, rel=0.15)  # it wins whenever it is drawn
    assert all(chosen[f"s{n}"] > 200 for n in range(1, 6))


@pytest.mark.parametrize(
    "spoil, why",
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
def test_a_site_is_not_chosen_with_a_reason(spoil, why):
    r = router(1)
    assert r.choose(0.0, WORK, FULL, 5.0) == "s0"
    spoil(r)
    assert r.choose(0.0, WORK, FULL, 5.0) == KeepLocal(f"s0: {why}")


def test_a_task_does_not_go_where_it_was():
    assert router(1).choose(0.0, WORK, FULL, 5.0, frozenset({"s0"})) == KeepLocal("s0: it was there")


def test_a_returned_task_stands_for_bigger_ones_only_and_not_for_ever():
    r = router(1)
    r.transfer_returned(0.0, "s0", WORK)
    assert r.choose(0.1, Work("lookup", "SAFE", 1, 1, 0.5, 1.0), FULL, 5.0) == "s0"
    assert r.choose(0.1 + routing.REJECTION_TTL_S, WORK, FULL, 5.0) == "s0"


def test_what_went_over_counts_until_the_site_can_have_counted_it():
    """Guards against a herd: a summary that is a second old would draw all that comes meanwhile."""
    r = router(1, summary=CapacitySummary({"lookup": 3}, 10), delay_s=0.1)
    for _ in range(3):
        assert r.choose(0.5, WORK, FULL, 5.0) == "s0"
        r.transfer_sent(0.5, "s0", WORK)
    assert r.choose(0.5, WORK, FULL, 5.0) == KeepLocal("s0: it has no room for the class")
    r.receive_summary(0.6, "s0", CapacitySummary({"lookup": 3}, 10), 0.1)  # told before they came
    assert isinstance(r.choose(0.6, WORK, FULL, 5.0), KeepLocal)
    r.receive_summary(0.9, "s0", CapacitySummary({"lookup": 2}, 10), 0.1)
    assert r.choose(0.9, WORK, FULL, 5.0) == "s0"


def test_a_failing_site_is_left_out_for_longer_each_time_and_let_back_by_steps():
    r, now, waits = router(1), 0.0, []
    for _ in range(3):
        for _ in range(routing.FAILURES_TO_EXCLUDE):
            r.transfer_failed(now, "s0")
        waits.append(r.sites["s0"].excluded_until - now)
        now = r.sites["s0"].excluded_until
    assert waits == [routing.EXCLUDE_S, 2 * routing.EXCLUDE_S, 4 * routing.EXCLUDE_S]
    r.receive_summary(now, "s0", ROOMY, 0.0)
    out = []
    for _ in range(9):
        n = 0
        while r.choose(now, WORK, FULL, 5.0) == "s0" and n < 300:
            r.transfer_sent(now, "s0", WORK)
            n += 1
        out.append(n)
        for _ in range(n):
            r.transfer_ended("s0")
            r.transfer_placed(now, "s0")
        now += routing.RAMP_STEP_S
        r.receive_summary(now, "s0", ROOMY, 0.0)
    assert out[:5] == [1, 1, 2, 4, 8] and out[-1] == 60  # all that it told
    assert r.sites["s0"].ramp_limit is None


def test_a_link_that_breaks_voids_the_summary():
    r = router(1)
    r.link_changed(1.0, "s0", False)
    r.link_changed(2.0, "s0", True)
    assert r.choose(2.0, WORK, FULL, 5.0) == KeepLocal("s0: it has told nothing lately")


def test_two_full_sites_do_not_throw_a_task_to_and_fro():
    a, b = router(1), router(1)
    tight = CapacitySummary({"lookup": 4}, 100)
    for r in (a, b):
        r.receive_summary(0.0, "s0", tight, 0.0)
    assert all(isinstance(r.choose(0.0, WORK, tight, 5.0), KeepLocal) for r in (a, b))
