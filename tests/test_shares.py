"""The admission queue, deadlines and requirements of the pull queue, on simulated clocks."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.pullqueue.admission import MIN_ADMITTED, AdmissionQueue, Ticket, Verdict
from weldhatch.pullqueue.deadlines import Deadlines
from weldhatch.pullqueue.workers import MatchingMachines, Worker, matches, read_worker

SECOND_US = 1_000_000


def full_queue(weights=None, max_waiting=100, rate=100, answer_time_us=10_000):
    """Return a queue at its admission limit with a known answer rate, and its admitted ticket."""
    queue = AdmissionQueue(weights or {0: 1.0}, max_waiting)
    queue.limit = 1.0
    first = Ticket(0, 99 * SECOND_US, 0)
    assert queue.request_admission(first, 0).verdict is Verdict.ADMITTED
    queue.answer_stats.answers_per_s = rate
    queue.answer_stats.answer_time_us = answer_time_us
    queue._steady_since = -10 * SECOND_US
    queue.request_admission(Ticket(0, 9999 * SECOND_US, 0), 0)  # one ticket waits
    queue._steady_since = -10 * SECOND_US
    return queue, first


def arrive(queue, tenant, deadline, now=0, again=False):
    ticket = Ticket(tenant, deadline, now, again)
    decision = queue.request_admission(ticket, now)
    return ticket, decision.verdict, decision.retry_after_us, decision.displaced


def drain(queue, count, now=0):
    """Complete admitted tickets one at a time; return the admitted and the late tickets."""
    order, late = [], []
    for _ in range(count):
        queue.admitted -= 1
        admitted, late_tickets = queue.admit_next(now)
        order += admitted
        late += late_tickets
    return order, late


def test_without_load_every_submission_is_admitted_at_once():
    queue = AdmissionQueue({0: 1.0}, 10)
    assert [arrive(queue, 0, SECOND_US)[1] for _ in range(100)] == [Verdict.ADMITTED] * 100


def test_tenants_are_admitted_by_weight_and_within_a_tenant_by_deadline():
    queue, _ = full_queue({0: 3.0, 1: 1.0})
    tickets = {
        ticket: tenant
        for n in range(12)
        for tenant in (0, 1)
        for ticket, verdict, *_ in [arrive(queue, tenant, (60 - n) * SECOND_US)]
        if verdict is Verdict.QUEUED
    }
    order, _ = drain(queue, 8)
    assert [tickets[ticket] for ticket in order].count(0) == 6
    own = [ticket.deadline for ticket in order if tickets[ticket] == 0]
    assert own == sorted(own)


def test_the_unused_share_of_a_tenant_goes_to_waiting_submissions():
    queue, _ = full_queue({0: 1.0, 1: 99.0})
    for n in range(5):
        arrive(queue, 0, (50 + n) * SECOND_US)
    assert len(drain(queue, 5)[0]) == 5


def test_a_submission_that_cannot_be_answered_in_time_is_rejected_with_a_retry_after():
    queue, _ = full_queue(rate=10)
    for _ in range(20):
        arrive(queue, 0, 60 * SECOND_US)
    _, verdict, wait, _ = arrive(queue, 0, SECOND_US)  # 21 tickets ahead at 10 a second
    assert verdict is Verdict.REJECTED and 1.5 * SECOND_US < wait < 4 * SECOND_US
    assert arrive(queue, 0, 9 * SECOND_US)[1] is Verdict.QUEUED


def test_a_ticket_that_became_late_while_waiting_is_not_admitted():
    queue, _ = full_queue(rate=1000)
    late = arrive(queue, 0, SECOND_US)[0]
    good = arrive(queue, 0, 60 * SECOND_US)[0]
    order, late_tickets = drain(queue, 1, now=2 * SECOND_US)
    assert (order, late_tickets) == ([good], [late])


def test_late_tickets_are_removed_once_the_answer_rate_is_known():
    queue, _ = full_queue(max_waiting=10_000, rate=0, answer_time_us=0)
    tickets = [arrive(queue, 0, 2 * SECOND_US)[0] for _ in range(1000)]
    assert queue.waiting == 1001 and queue.remove_late(0) == []
    queue.answer_stats.answers_per_s = 100.0
    queue.answer_stats.answer_time_us = 10_000.0
    out = queue.remove_late(0)
    assert out == tickets[-len(out) :] and 830 < len(out) < 860 and queue.waiting == 1001 - len(out)
    assert queue.remove_late(0) == []
    assert drain(queue, 1)[0] == tickets[:1]


def test_a_burst_is_not_rejected_by_the_answer_rate_measured_while_it_is_read():
    queue, _ = full_queue(max_waiting=10_000, rate=10)
    queue.update_limit(500_000)
    queue.remove_late(5 * SECOND_US)  # the loop lags: the measured answer rate is void
    assert [arrive(queue, 0, 9 * SECOND_US, 5 * SECOND_US)[1] for _ in range(200)] == [Verdict.QUEUED] * 200
    queue.update_limit(0)
    assert queue.remove_late(5 * SECOND_US + 500_000) == []
    assert len(queue.remove_late(6 * SECOND_US)) > 150


def test_a_full_queue_displaces_the_last_ticket_of_the_tenant_with_most_tickets():
    queue, _ = full_queue({0: 1.0, 1: 1.0}, max_waiting=4, rate=10_000)
    held = [arrive(queue, 0, (60 + n) * SECOND_US)[0] for n in range(4)]
    _, verdict, _, displaced = arrive(queue, 1, 60 * SECOND_US)
    assert verdict is Verdict.QUEUED and displaced is held[-1] and queue.waiting == 4
    assert arrive(queue, 0, 90 * SECOND_US)[1] is Verdict.REJECTED


def test_retries_are_limited_to_a_share_of_first_attempts_while_there_is_a_queue():
    queue, _ = full_queue(max_waiting=10_000, rate=1e9)
    arrive(queue, 0, 60 * SECOND_US)
    verdicts = [arrive(queue, 0, 60 * SECOND_US, again=True)[1] for _ in range(80)]
    assert verdicts.count(Verdict.QUEUED) == 50 and verdicts[-1] is Verdict.REJECTED
    for _ in range(4):
        arrive(queue, 0, 60 * SECOND_US)
    assert [arrive(queue, 0, 60 * SECOND_US, again=True)[1] for _ in range(3)].count(Verdict.QUEUED) == 2


def test_event_loop_lag_lowers_the_limit_until_the_loop_recovers():
    queue = AdmissionQueue({0: 1.0}, 10)
    for _ in range(60):
        queue.update_limit(200_000)
    assert queue.limit <= MIN_ADMITTED
    for _ in range(200):
        queue.update_limit(1000)
    assert queue.limit > 200  # again


@given(st.integers(0, 1 << 30))
def test_no_ticket_is_lost_or_counted_twice(seed):
    rng = random.Random(seed)
    queue = AdmissionQueue({n: rng.choice((0.1, 1.0, 5.0)) for n in range(3)}, rng.randint(1, 20))
    queue.limit = rng.randint(1, 5)
    in_flight, waiting, now = set(), set(), 0
    for _ in range(300):
        now += rng.randint(0, 100_000)
        if rng.random() < 0.5:
            ticket, verdict, _, displaced = arrive(
                queue, rng.randrange(3), now + rng.randint(1, 5 * SECOND_US), now, rng.random() < 0.3
            )
            waiting.discard(displaced)
            if verdict is not Verdict.REJECTED:
                {Verdict.ADMITTED: in_flight, Verdict.QUEUED: waiting}[verdict].add(ticket)
        elif in_flight and rng.random() < 0.7:
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


# ---- deadlines -----------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.sampled_from("set drop due".split()), st.integers(0, 5), st.integers(0, 20))))
def test_deadlines_yield_exactly_the_due_keys(steps):
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


# ---- requirements --------------------------------------------------------------------------------------


def worker(properties=(), devices=(), configs=()):
    def pairs(words):
        return [{"key": word.split("=")[0], "value": word.split("=")[1]} for word in words]

    own = [{"handle": f"d{n}", "properties": pairs(one)} for n, one in enumerate(devices)]
    return read_worker({"properties": pairs(properties), "configs": pairs(configs), "devices": own}, "worker")


@pytest.mark.parametrize(
    ("required", "expected"),
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
def test_a_machine_matches_only_if_it_meets_all_requirements(required, expected):
    machine = worker(["os=linux", "hall=a"], [["cpu=x86"], ["gpu=a"], ["gpu=b"]], ["docker=yes"])
    assert matches(machine, required) is expected
    assert (7 in MatchingMachines(required, {7: machine})) is expected
    assert 8 not in MatchingMachines(required, {7: machine})
    assert isinstance(machine, Worker)
