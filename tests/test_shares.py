"""The gate before the module, deadlines, and requirements: decisions on made-up clocks."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.pullqueue.admission import INSIDE_LEAST, Gate, Ticket, Verdict
from weldhatch.pullqueue.deadlines import Deadlines
from weldhatch.pullqueue.workers import Matching, Worker, matches, read_worker

SECOND = 1_000_000


def full(weights=None, most=100, rate=100, took=10_000):
    """A gate that lets nobody straight in, and knows how fast it goes."""
    gate = Gate(weights or {0: 1.0}, most)
    gate.limit = 1.0
    first = Ticket(0, 99 * SECOND, 0)
    assert gate.come(first, 0)[0] is Verdict.IN
    gate._rate, gate._took_us = rate, took
    gate._steady_since = -10 * SECOND
    gate.come(Ticket(0, 9999 * SECOND, 0), 0)  # somebody waits, and has for a while
    gate._steady_since = -10 * SECOND
    return gate, first


def come(gate, tenant, deadline, now=0, again=False):
    ticket = Ticket(tenant, deadline, now, again)
    return ticket, *gate.come(ticket, now)


def drain(gate, count, now=0):
    """Who is let in, one at a time."""
    order, late = [], []
    for _ in range(count):
        gate.inside -= 1
        let_in, missed = gate.next(now)
        order += let_in
        late += missed
    return order, late


def test_under_no_load_everybody_goes_straight_in():
    gate = Gate({0: 1.0}, 10)
    assert [come(gate, 0, SECOND)[1] for _ in range(100)] == [Verdict.IN] * 100


def test_tenants_go_in_by_their_weights_and_by_deadline_within_one():
    gate, _ = full({0: 3.0, 1: 1.0})
    tickets = {
        ticket: tenant
        for n in range(12)
        for tenant in (0, 1)
        for ticket, verdict, *_ in [come(gate, tenant, (60 - n) * SECOND)]
        if verdict is Verdict.WAIT
    }
    order, _ = drain(gate, 8)
    assert [tickets[ticket] for ticket in order].count(0) == 6
    own = [ticket.deadline for ticket in order if tickets[ticket] == 0]
    assert own == sorted(own)


def test_a_share_that_nobody_uses_goes_to_those_who_wait():
    gate, _ = full({0: 1.0, 1: 99.0})
    for n in range(5):
        come(gate, 0, (50 + n) * SECOND)
    assert len(drain(gate, 5)[0]) == 5


def test_one_whose_answer_could_not_come_in_time_hears_so_at_once_with_a_time_to_return():
    gate, _ = full(rate=10)
    for _ in range(20):
        come(gate, 0, 60 * SECOND)
    _, verdict, wait, _ = come(gate, 0, SECOND)  # 21 ahead at 10 a second
    assert verdict is Verdict.REFUSED and 1.5 * SECOND < wait < 4 * SECOND
    assert come(gate, 0, 9 * SECOND)[1] is Verdict.WAIT


def test_one_that_has_become_late_is_not_let_in():
    gate, _ = full(rate=1000)
    late = come(gate, 0, SECOND)[0]
    good = come(gate, 0, 60 * SECOND)[0]
    order, missed = drain(gate, 1, now=2 * SECOND)
    assert (order, missed) == ([good], [late])


def test_when_the_pace_becomes_known_those_who_can_not_be_answered_in_time_hear_so():
    gate, _ = full(most=10_000, rate=0, took=0)
    tickets = [come(gate, 0, 2 * SECOND)[0] for _ in range(1000)]
    assert gate.waiting == 1001 and gate.trim(0) == []
    gate._rate, gate._took_us = 100.0, 10_000.0
    out = gate.trim(0)
    assert out == tickets[-len(out) :] and 830 < len(out) < 860 and gate.waiting == 1001 - len(out)
    assert gate.trim(0) == []
    assert drain(gate, 1)[0] == tickets[:1]


def test_a_crowd_is_not_turned_away_by_the_pace_of_the_moment_in_which_it_is_read():
    gate, _ = full(most=10_000, rate=10)
    gate.lag(500_000)
    gate.trim(5 * SECOND)  # the loop lags: what was known of the pace is void
    assert [come(gate, 0, 9 * SECOND, 5 * SECOND)[1] for _ in range(200)] == [Verdict.WAIT] * 200
    gate.lag(0)
    assert gate.trim(5 * SECOND + 500_000) == []
    assert len(gate.trim(6 * SECOND)) > 150


def test_a_full_queue_puts_out_the_last_of_whoever_has_most_of_it():
    gate, _ = full({0: 1.0, 1: 1.0}, most=4, rate=10_000)
    held = [come(gate, 0, (60 + n) * SECOND)[0] for n in range(4)]
    _, verdict, _, put_out = come(gate, 1, 60 * SECOND)
    assert verdict is Verdict.WAIT and put_out is held[-1] and gate.waiting == 4
    assert come(gate, 0, 90 * SECOND)[1] is Verdict.REFUSED


def test_repeats_are_a_share_of_first_asks_while_there_is_a_queue():
    gate, _ = full(most=10_000, rate=1e9)
    come(gate, 0, 60 * SECOND)
    verdicts = [come(gate, 0, 60 * SECOND, again=True)[1] for _ in range(80)]
    assert verdicts.count(Verdict.WAIT) == 50 and verdicts[-1] is Verdict.REFUSED
    for _ in range(4):
        come(gate, 0, 60 * SECOND)
    assert [come(gate, 0, 60 * SECOND, again=True)[1] for _ in range(3)].count(Verdict.WAIT) == 2


def test_a_lagging_loop_lets_less_in_and_recovers():
    gate = Gate({0: 1.0}, 10)
    for _ in range(60):
        gate.lag(200_000)
    assert gate.limit <= INSIDE_LEAST
    for _ in range(200):
        gate.lag(1000)
    assert gate.limit > 200  # again


@given(st.integers(0, 1 << 30))
def test_nobody_is_lost_and_nobody_counted_twice(seed):
    rnd = random.Random(seed)
    gate = Gate({n: rnd.choice((0.1, 1.0, 5.0)) for n in range(3)}, rnd.randint(1, 20))
    gate.limit = rnd.randint(1, 5)
    inside, waiting, now = set(), set(), 0
    for _ in range(300):
        now += rnd.randint(0, 100_000)
        if rnd.random() < 0.5:
            ticket, verdict, _, put_out = come(
                gate, rnd.randrange(3), now + rnd.randint(1, 5 * SECOND), now, rnd.random() < 0.3
            )
            waiting.discard(put_out)
            if verdict is not Verdict.REFUSED:
                {Verdict.IN: inside, Verdict.WAIT: waiting}[verdict].add(ticket)
        elif inside and rnd.random() < 0.7:
            gate.leave(inside.pop(), now)
            let_in, late = gate.next(now)
            assert set(let_in) <= waiting and set(late) <= waiting
            waiting -= {*let_in, *late}
            inside |= set(let_in)
        elif waiting:
            gone = waiting.pop()
            gate.leave_queue(gone)
        assert (gate.inside, gate.waiting) == (len(inside), len(waiting))
        assert len(inside) <= 5


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
    assert (7 in Matching(wanted, {7: there})) is fits
    assert 8 not in Matching(wanted, {7: there})
    assert isinstance(there, Worker)
