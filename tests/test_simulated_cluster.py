"""The whole group on a virtual clock: every single fault at every moment, pairs of faults, and guards taken
out."""

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.coordination.lease_grants import LeaseGrants
from weldhatch.coordination.lease_holder import LeaseHolder, LeaseStatus
from weldhatch.coordination.machine_directives import MachineDirective
from weldhatch.testbed import simulated_cluster
from weldhatch.testbed.simulated_cluster import KINDS, Contradiction, Council, scenario, settings, settled

NAMES = ("n0", "n1", "n2")
MOMENTS = range(70, 240, 17)  # round the two proposals, at steps 80 and 200


def test_without_a_fault_both_versions_come_into_force():
    done = scenario([], learners=2)
    assert done.active == {1, 2, 3}
    assert [done.results[id]["number"] for id in ("p1", "p2")] == [2, 3]
    assert done.contradicted_s < 0.3


@pytest.mark.parametrize("kind", KINDS)
def test_every_single_fault_at_every_moment(kind):
    for who, at in itertools.product(NAMES, MOMENTS):
        scenario([(at, kind, who)])


def test_pairs_of_faults():
    """Two at a time, of which a store set back is one at the most: with both gone wrong, a majority has."""
    rnd = random.Random(5)
    for _ in range(60):
        first, second = rnd.choice(KINDS), rnd.choice([kind for kind in KINDS if kind != "older"])
        faults = [
            (rnd.choice(MOMENTS), first, rnd.choice(NAMES)),
            (rnd.choice(MOMENTS) + rnd.randrange(9), second, rnd.choice(NAMES)),
        ]
        scenario(faults, learners=1, check_end=first != "older")


@given(
    st.lists(
        st.tuples(
            st.integers(60, 320),
            st.sampled_from([k for k in KINDS if k != "older"]),
            st.sampled_from(("n0", "n1", "n2", "n3", "n4")),
        ),
        max_size=6,
    ),
    st.integers(0, 99),
)
def test_whatever_breaks_nobody_contradicts(faults, seed):
    scenario(faults, seed=seed, learners=2)


def prepared(learner="n3"):
    """A dispatcher is cut off, and stays so while a version that switches an effect comes into force."""
    done = Council([*NAMES, learner], 3)
    while not settled(done):
        done.step()
    at = done.steps + 5
    done.faults[at] = [("cut", learner)]
    done.run(6)
    done._cut = {pair: until + 400 for pair, until in done._cut.items()}
    done.give(
        "n0", "p1", {"do": "propose", "base": 1, "tree": settings(effect="read_like"), "why": "x", "by": "x"}
    )
    return done


def test_a_dispatcher_that_is_cut_off_stops_before_a_switch_comes_into_force():
    done = prepared()
    waited = 0
    while 2 not in done.active:
        done.step()
        waited += 1
        assert waited < 200
    assert waited * simulated_cluster.STEP_S > done.spans.lease * 0.7  # it waited for the lease to run out
    holder = done.seats["n3"].member.lease_holder
    assert holder.lease_status(done.seats["n3"].now(done.time)) is not LeaseStatus.VALID
    done.run(100)
    assert holder.lease_status(done.seats["n3"].now(done.time)) is LeaseStatus.EXPIRED


def test_safe_work_goes_on_without_a_lease_for_a_while_and_nothing_else():
    done = prepared()
    seat = done.seats["n3"]
    seen = set()
    for _ in range(120):
        done.step()
        holder, now = seat.member.lease_holder, seat.now(done.time)
        lookup, keyed, writer = holder.rules.restricted.settings.classes
        status = holder.lease_status(now)
        seen.add(status)
        assert (not holder.refusal_reason(now, lookup)) == (status is not LeaseStatus.EXPIRED)
        assert (
            (not holder.refusal_reason(now, keyed))
            == (not holder.refusal_reason(now, writer))
            == (status is LeaseStatus.VALID)
        )
    assert seen == set(LeaseStatus)


def test_a_stopped_process_wakes_to_no_lease():
    done = Council([*NAMES, "n3"], 3)
    while not settled(done):
        done.step()
    done.faults[done.steps + 1] = [("stop", "n3")]
    done.run(2)
    done.give(
        "n0", "p1", {"do": "propose", "base": 1, "tree": settings(effect="read_like"), "why": "x", "by": "x"}
    )
    seat = done.seats["n3"]
    seat.back += 200
    while 2 not in done.active:
        done.step()
        assert seat.stopped
    cls = seat.member.lease_holder.rules.restricted.settings.classes[1]
    assert seat.member.lease_holder.refusal_reason(
        seat.now(done.time), cls
    )  # asked before it has heard anything
    done.run(300)
    assert settled(done)


def test_one_that_refuses_drops_the_version_unless_it_may():
    done = Council([*NAMES, "n3"], 3)
    while not settled(done):
        done.step()
    done.refusing["n3"] = "classes.import.effect: not here"
    tree = settings(effect="read_like")
    done.give("n0", "p1", {"do": "propose", "base": 1, "tree": tree, "why": "x", "by": "x"})
    done.run(60)
    history = done.seats["n0"].member.state_machine.versions.history
    assert history[-1]["came"] == "dropped"
    assert "n3 refuses: classes.import.effect" in history[-1]["why"]
    done.give(
        "n0", "p2", {"do": "propose", "base": 1, "tree": tree, "why": "x", "by": "x", "despite": ["n3"]}
    )
    done.run(200)
    assert done.seats["n0"].member.state_machine.active.number == 3
    holder = done.seats["n3"].member.lease_holder
    assert holder.lease_status(done.seats["n3"].now(done.time)) is LeaseStatus.EXPIRED


def test_two_proposals_at_once_one_is_in_and_the_other_is_notified():
    done = Council(NAMES, 3)
    while not settled(done):
        done.step()
    for n, id in enumerate(("p1", "p2")):
        done.give(
            f"n{n}", id, {"do": "propose", "base": 1, "tree": settings(most=4 + n), "why": "x", "by": "x"}
        )
    done.run(60)
    assert sorted("error" in result for result in done.results.values()) == [False, True]
    assert next(result for result in done.results.values() if "error" in result)["error"] in ("busy", "moved")
    done.give("n2", "p3", {"do": "propose", "base": 1, "tree": settings(), "why": "x", "by": "x"})
    done.run(20)
    told = done.results["p3"]
    assert (told["error"], told["base"], bool(told["then"]), bool(told["now"])) == ("moved", 2, True, True)


def test_a_drain_acts_at_once_and_its_undoing_once_everybody_holds_it():
    done = Council([*NAMES, "n3"], 3)
    while not settled(done):
        done.step()

    def acts():
        return {name: seat.member.lease_holder.machine_state("m1") for name, seat in done.seats.items()}

    done.give("n0", "w1", {"do": "word", "machine": "m1", "state": "draining", "fence": 1, "op": "x"})
    done.run(10)
    assert set(acts().values()) == {"draining"}
    done.faults[done.steps + 1] = [("cut", "n3")]
    done.run(2)
    done.give("n0", "w2", {"do": "word", "machine": "m1", "state": "ready", "fence": 2, "op": "x"})
    done.run(int(done.spans.lease / simulated_cluster.STEP_S))
    assert set(acts().values()) == {"draining"}  # n3 may not know it yet, and has not run out
    done.run(100)
    assert set(acts().values()) == {"ready"}
    done.give("n1", "w3", {"do": "word", "machine": "m1", "state": "off", "fence": 1, "op": "an old apply"})
    done.run(20)
    assert done.results["w3"]["error"] == "FENCE"


def test_a_new_incarnation_under_the_same_name_fences_the_old_one():
    done = Council([*NAMES, "n3"], 3)
    while not settled(done):
        done.step()
    old = done.seats["n3"].member
    done.boot("n3")
    done.run(60)
    assert settled(done)
    seat = done.seats["n3"]
    done.seats["n3"].member, seat.member = old, old
    done.run(60)
    assert "fenced" in old.lease_holder.denial
    assert old.lease_holder.lease_status(seat.now(done.time)) is LeaseStatus.EXPIRED


@pytest.mark.parametrize(
    "owner, name, put",
    [
        (
            LeaseHolder,
            "lease_status",
            lambda self, now: LeaseStatus.VALID,
        ),  # the lease check, when a decision acts
        (LeaseGrants, "pending", lambda self, *args, **more: {}),  # the wait for all who hold a lease
        (
            LeaseHolder,
            "_derive_rules",
            lambda self, real=LeaseHolder._derive_rules: _only_active(self, real),
        ),  # the narrower
    ],
)
def test_without_a_guard_somebody_contradicts(monkeypatch, owner, name, put):
    """Each guard taken out lets two act on rules that contradict each other, and the check sees it."""
    monkeypatch.setattr(owner, name, put)
    with pytest.raises(Contradiction):
        for kind, who, at in itertools.product(
            ("cut", "stop", "deaf", "cut_pair"), ("n1", "n2", "n3"), (76, 79, 80, 81, 82, 83)
        ):
            scenario([(at, kind, who)], learners=1, check_end=False)


def _only_active(self, real):
    prepared, self.state_machine.versions.prepared = self.state_machine.versions.prepared, None
    try:
        return real(self)
    finally:
        self.state_machine.versions.prepared = prepared


def test_without_the_stricter_directive_a_machine_is_used_too_early(monkeypatch):
    monkeypatch.setattr(MachineDirective, "effective_state", property(lambda self: self.state))
    with pytest.raises(AssertionError):
        test_a_drain_acts_at_once_and_its_undoing_once_everybody_holds_it()


def test_a_leader_whose_store_comes_back_older_is_found_out():
    """It had counted itself for a majority; the one that had not been there must not elect it again."""
    scenario([(72, "crash", "n0"), (85, "older", "n2")])
