"""The admission queue before the policy, deadlines, and requirements: decisions on made-up clocks."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.pullqueue.admission import MIN_ADMITTED, AdmissionQueue, Ticket, Verdict
from weldhatch.pullqueue.deadlines import Deadlines
from weldhatch.pullqueue.workers import MatchingMachines, Worker, matches, read_worker

SECOND = 1_000_000


def full(weights=None, most=100, rate=100, took=10_000):
    """A queue that lets nobody straight in, and knows how fast it goes."""
    queue = AdmissionQueue(weights or {0: 1.0}, most)
    queue.limit = 1.0
    first = Ticket(0, 99 * SECOND, 0)
    assert queue.request_admission(first, 0).verdict is Verdict.ADMITTED
    queue.answer_stats.answers_per_s = rate
    queue.answer_stats.answer_time_us = took
    queue._steady_since = -10 * SECOND
    queue.request_admission(Ticket(0, 9999 * SECOND, 0), 0)  # somebody waits, and has for a while
    queue._steady_since = -10 * SECOND
    return queue, first


def come(queue, tenant, deadline, now=0, again=False):
    ticket = Ticket(tenant, deadline, now, again)
    decision = queue.request_admission(ticket, now)
    return ticket, decision.verdict, decision.retry_after_us, decision.displaced


def drain(queue, count, now=0):
    """Who is let in, one at a time."""
    order, late = [], []
    for _ in range(count):
        queue.admitted -= 1
        admitted, missed = queue.admit_next(now)
        order += admitted
        late += missed
    return order, late


def test_under_no_load_everybody_is_admitted_at_once():
    queue = AdmissionQueue({0: 1.0}, 10)
    assert [come(queue, 0, SECOND)[1] for _ in range(100)] == [Verdict.ADMITTED] * 100


def test_tenants_go_in_by_their_weights_and_by_deadline_within_one():
    queue, _ = full({0: 3.0, 1: 1.0})
    tickets = {
        ticket: tenant
        for n in range(12)
        for tenant in (0, 1)
        for ticket, verdict, *_ in [come(queue, tenant, (60 - n) * SECOND)]
        if verdict is Verdict.QUEUED
    }
    order, _ = drain(queue, 8)
    assert [tickets[ticket] for ticket in order].count(0) == 6
    own = [ticket.deadline for ticket in order if tickets[ticket] == 0]
    assert own == sorted(own)


def test_a_share_that_nobody_uses_goes_to_those_who_wait():
    queue, _ = full({0: 1.0, 1: 99.0})
    for n in range(5):
        come(queue, 0, (50 + n) * SECOND)
    assert len(drain(queue, 5)[0]) == 5


def test_one_whose_answer_could_not_come_in_time_hears_so_at_once_with_a_time_to_return():
    queue, _ = full(rate=10)
    for _ in range(20):
        come(queue, 0, 60 * SECOND)
    _, verdict, wait, _ = come(queue, 0, SECOND)  # 21 ahead at 10 a second
    assert verdict is Verdict.REJECTED and 1.5 * SECOND < wait < 4 * SECOND
    assert come(queue, 0, 9 * SECOND)[1] is Verdict.QUEUED


def test_one_that_has_become_late_is_not_admitted():
    queue, _ = full(rate=1000)
    late = come(queue, 0, SECOND)[0]
    good = come(queue, 0, 60 * SECOND)[0]
    order, missed = drain(queue, 1, now=2 * SECOND)
    assert (order, missed) == ([good], [late])


def test_when_the_pace_becomes_known_those_who_can_not_be_answered_in_time_hear_so():
    queue, _ = full(most=10_000, rate=0, took=0)
    tickets = [come(queue, 0, 2 * SECOND)[0] for _ in range(1000)]
    assert queue.waiting == 1001 and queue.remove_late(0) == []
    queue.answer_stats.answers_per_s = 100.0
    queue.answer_stats.answer_time_us = 10_000.0
    out = queue.remove_late(0)
    assert out == tickets[-len(out) :] and 830 < len(out) < 860 and queue.waiting == 1001 - len(out)
    assert queue.remove_late(0) == []
    assert drain(queue, 1)[0] == tickets[:1]


def test_a_crowd_is_not_rejected_by_the_pace_of_the_moment_in_which_it_is_read():
    queue, _ = full(most=10_000, rate=10)
    queue.update_limit(500_000)
    queue.remove_late(5 * SECOND)  # the loop lags: what was known of the pace is void
    assert [come(queue, 0, 9 * SECOND, 5 * SECOND)[1] for _ in range(200)] == [Verdict.QUEUED] * 200
    queue.update_limit(0)
    assert queue.remove_late(5 * SECOND + 500_000) == []
    assert len(queue.remove_late(6 * SECOND)) > 150


def test_a_full_queue_puts_out_the_last_of_whoever_has_most_of_it():
    queue, _ = full({0: 1.0, 1: 1.0}, most=4, rate=10_000)
    held = [come(queue, 0, (60 + n) * SECOND)[0] for n in range(4)]
    _, verdict, _, displaced = come(queue, 1, 60 * SECOND)
    assert verdict is Verdict.QUEUED and displaced is held[-1] and queue.waiting == 4
    assert come(queue, 0, 90 * SECOND)[1] is Verdict.REJECTED


def test_repeats_are_a_share_of_first_asks_while_there_is_a_queue():
    queue, _ = full(most=10_000, rate=1e9)
    come(queue, 0, 60 * SECOND)
    verdicts = [come(queue, 0, 60 * SECOND, again=True)[1] for _ in range(80)]
    assert verdicts.count(Verdict.QUEUED) == 50 and verdicts[-1] is Verdict.REJECTED
    for _ in range(4):
        come(queue, 0, 60 * SECOND)
    assert [come(queue, 0, 60 * SECOND, again=True)[1] for _ in range(3)].count(Verdict.QUEUED) == 2


def test_a_lagging_loop_lets_less_in_and_recovers():
    queue = AdmissionQueue({0: 1.0}, 10)
    for _ in range(60):
        queue.update_limit(200_000)
    assert queue.limit <= MIN_ADMITTED
    for _ in range(200):
        queue.update_limit(1000)
    assert queue.limit > 200  # again


@given(st.integers(0, 1 << 30))
def test_nobody_is_lost_and_nobody_counted_twice(seed):
    rnd = random.Random(seed)
    queue = AdmissionQueue({n: rnd.choice((0.1, 1.0, 5.0)) for n in range(3)}, rnd.randint(1, 20))
    queue.limit = rnd.randint(1, 5)
    in_flight, waiting, now = set(), set(), 0
    for _ in range(300):
        now += rnd.randint(0, 100_000)
        if rnd.random() < 0.5:
            ticket, verdict, _, displaced = come(
                queue, rnd.randrange(3), now + rnd.randint(1, 5 * SECOND), now, rnd.random() < 0.3
            )
            waiting.discard(displaced)
            if verdict is not Verdict.REJECTED:
                {Verdict.ADMITTED: in_flight, Verdict.QUEUED: waiting}[verdict].add(ticket)
        elif in_flight and rnd.random() < 0.7:
            queue.complete(in_flight.pop(), now)
            admitted, late = queue.admit_next(now)
            assert set(admitted) <= waiting and set(late) <= waiting
            waiting -= {*admitted, *late}
            in_flight |= set(admitted)
        elif waiting:
            withdrawn = waiting.pop()
            queue.withdraw(withdrawn)
        assert (queue.admitted, queue.waiting) == (len(in_flight), len(waiting))
        assert len(in_flight) <= 5


# ---- deadlines
# -----------------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.sampled_from("set drop due".split()), st.integers(0, 5), st.integers(0, 20))))
def test_deadlines_give_what_is_due_and_nothing_else(steps):
    deadlines, model = Deadlines(), {}
    for what, key, at in steps:
        if what == "set":
            deadlines.set(key, at)
            model[key] = at
        elif what == "drop":
            deadlines.drop(key)
            model.pop(key, None)
        else:
            due = {name for name, when in model.items() if when <= at}
            assert set(deadlines.due(at)) == due
            for name in due:
                del model[name]
        assert len(deadlines) == len(model)


# ---- requirements
# --------------------------------------------------------------------------------------------


def worker(properties=(), devices=(), configs=()):
    def pairs(words):
        return [{"key": word.split("=")[0], "value": word.split("=")[1]} for word in words]

    own = [{"handle": f"d{n}", "properties": pairs(one)} for n, one in enumerate(devices)]
    return read_worker({"properties": pairs(properties), "configs": pairs(configs), "devices": own}, "worker")


@pytest.mark.parametrize(
    ("wanted", "fits"),
    [
        (worker(), True),
        (worker(["os=linux"]), True),
        (worker(["os=mac"]), False),
        (worker(["os=linux", "a=b"]), False),
        (worker(configs=["docker=yes"]), True),
        (worker(configs=["docker=no"]), False),
        (worker(devices=[["cpu=x86"]]), True),
        (worker(devices=[["cpu=arm"]]), False),
        (worker(devices=[[], ["gpu=a"]]), True),
        (worker(devices=[[], ["gpu=a"], ["gpu=a"]]), False),
        (worker(devices=[[], [], ["gpu=a"]]), True),
        (worker(devices=[[], ["gpu=a"], []]), True),
    ],
)
def test_a_machine_fits_only_with_all_that_is_required(wanted, fits):
    there = worker(["os=linux", "hall=a"], [["cpu=x86"], ["gpu=a"], ["gpu=b"]], ["docker=yes"])
    assert matches(there, wanted) is fits
    assert (7 in MatchingMachines(wanted, {7: there})) is fits
    assert 8 not in MatchingMachines(wanted, {7: there})
    assert isinstance(there, Worker)
