"""A whole group on a virtual clock: single faults at many steps, pairs of faults, and disabled guards."""

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
FAULT_STEPS = range(70, 240, 17)  # around the two proposals, at steps 80 and 200


def test_without_faults_both_versions_are_activated():
    group = scenario([], learners=2)
    assert group.active == {1, 2, 3}
    assert [group.results[id]["number"] for id in ("p1", "p2")] == [2, 3]
    assert group.contradicted_s < 0.3


@pytest.mark.parametrize("kind", KINDS)
def test_a_single_fault_at_any_step_keeps_the_group_consistent(kind):
    for process, step in itertools.product(NAMES, FAULT_STEPS):
        scenario([(step, kind, process)])


def test_pairs_of_faults_keep_the_group_consistent():
    """At most one of the two faults is an outdated store: two of them would be a majority of the voters."""
    rng = random.Random(5)
    for _ in range(60):
        first, second = rng.choice(KINDS), rng.choice([kind for kind in KINDS if kind != "older"])
        faults = [
            (rng.choice(FAULT_STEPS), first, rng.choice(NAMES)),
            (rng.choice(FAULT_STEPS) + rng.randrange(9), second, rng.choice(NAMES)),
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
def test_random_faults_cause_no_contradiction(faults, seed):
    scenario(faults, seed=seed, learners=2)


def group_with_cut_off_dispatcher(learner="n3"):
    """Return a group with a proposal that switches an effect, and with one dispatcher cut off."""
    group = Council([*NAMES, learner], 3)
    while not settled(group):
        group.step()
    step = group.steps + 5
    group.faults[step] = [("cut", learner)]
    group.run(6)
    group._cut = {pair: until + 400 for pair, until in group._cut.items()}
    group.give(
        "n0", "p1", {"do": "propose", "base": 1, "tree": settings(effect="read_like"), "why": "x", "by": "x"}
    )
    return group


def test_a_cut_off_dispatcher_stops_before_a_switch_is_activated():
    group = group_with_cut_off_dispatcher()
    waited = 0
    while 2 not in group.active:
        group.step()
        waited += 1
        assert waited < 200
    assert waited * simulated_cluster.STEP_S > group.spans.lease * 0.7  # the activation waited for the lease
    holder = group.seats["n3"].member.lease_holder
    assert holder.lease_status(group.seats["n3"].now(group.time)) is not LeaseStatus.VALID
    group.run(100)
    assert holder.lease_status(group.seats["n3"].now(group.time)) is LeaseStatus.EXPIRED


def test_only_safe_work_continues_during_the_grace_period():
    group = group_with_cut_off_dispatcher()
    seat = group.seats["n3"]
    seen = set()
    for _ in range(120):
        group.step()
        holder, now = seat.member.lease_holder, seat.now(group.time)
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


def test_a_resumed_process_has_no_lease():
    group = Council([*NAMES, "n3"], 3)
    while not settled(group):
        group.step()
    group.faults[group.steps + 1] = [("stop", "n3")]
    group.run(2)
    group.give(
        "n0", "p1", {"do": "propose", "base": 1, "tree": settings(effect="read_like"), "why": "x", "by": "x"}
    )
    seat = group.seats["n3"]
    seat.back += 200
    while 2 not in group.active:
        group.step()
        assert seat.stopped
    request_class = seat.member.lease_holder.rules.restricted.settings.classes[1]
    # The process has not yet handled any message.
    assert seat.member.lease_holder.refusal_reason(seat.now(group.time), request_class)
    group.run(300)
    assert settled(group)


def test_a_rejected_version_is_dropped_unless_the_member_may_refuse_it():
    group = Council([*NAMES, "n3"], 3)
    while not settled(group):
        group.step()
    group.refusing["n3"] = "classes.import.effect: not here"
    tree = settings(effect="read_like")
    group.give("n0", "p1", {"do": "propose", "base": 1, "tree": tree, "why": "x", "by": "x"})
    group.run(60)
    history = group.seats["n0"].member.state_machine.versions.history
    assert history[-1]["came"] == "dropped"
    assert "n3 refuses: classes.import.effect" in history[-1]["why"]
    group.give(
        "n0", "p2", {"do": "propose", "base": 1, "tree": tree, "why": "x", "by": "x", "despite": ["n3"]}
    )
    group.run(200)
    assert group.seats["n0"].member.state_machine.active.number == 3
    holder = group.seats["n3"].member.lease_holder
    assert holder.lease_status(group.seats["n3"].now(group.time)) is LeaseStatus.EXPIRED


def test_of_two_concurrent_proposals_one_is_accepted_and_the_other_rejected():
    group = Council(NAMES, 3)
    while not settled(group):
        group.step()
    for n, id in enumerate(("p1", "p2")):
        group.give(
            f"n{n}", id, {"do": "propose", "base": 1, "tree": settings(most=4 + n), "why": "x", "by": "x"}
        )
    group.run(60)
    assert sorted("error" in result for result in group.results.values()) == [False, True]
    assert next(result for result in group.results.values() if "error" in result)["error"] in (
        "busy",
        "moved",
    )
    group.give("n2", "p3", {"do": "propose", "base": 1, "tree": settings(), "why": "x", "by": "x"})
    group.run(20)
    rejection = group.results["p3"]
    assert (rejection["error"], rejection["base"], bool(rejection["then"]), bool(rejection["now"])) == (
        "moved",
        2,
        True,
        True,
    )


def test_a_drain_applies_at_once_and_its_end_only_once_every_member_has_it():
    group = Council([*NAMES, "n3"], 3)
    while not settled(group):
        group.step()

    def machine_states():
        return {name: seat.member.lease_holder.machine_state("m1") for name, seat in group.seats.items()}

    group.give("n0", "w1", {"do": "word", "machine": "m1", "state": "draining", "fence": 1, "op": "x"})
    group.run(10)
    assert set(machine_states().values()) == {"draining"}
    group.faults[group.steps + 1] = [("cut", "n3")]
    group.run(2)
    group.give("n0", "w2", {"do": "word", "machine": "m1", "state": "ready", "fence": 2, "op": "x"})
    group.run(int(group.spans.lease / simulated_cluster.STEP_S))
    # n3 may lack the new directive, and its lease has not expired.
    assert set(machine_states().values()) == {"draining"}
    group.run(100)
    assert set(machine_states().values()) == {"ready"}
    group.give("n1", "w3", {"do": "word", "machine": "m1", "state": "off", "fence": 1, "op": "an old apply"})
    group.run(20)
    assert group.results["w3"]["error"] == "FENCE"


def test_a_new_incarnation_under_the_same_name_fences_the_old_one():
    group = Council([*NAMES, "n3"], 3)
    while not settled(group):
        group.step()
    old = group.seats["n3"].member
    group.boot("n3")
    group.run(60)
    assert settled(group)
    seat = group.seats["n3"]
    group.seats["n3"].member, seat.member = old, old
    group.run(60)
    assert "fenced" in old.lease_holder.denial
    assert old.lease_holder.lease_status(seat.now(group.time)) is LeaseStatus.EXPIRED


@pytest.mark.parametrize(
    "owner, name, replacement",
    [
        # The check of the lease when a start is sent.
        (LeaseHolder, "lease_status", lambda self, now: LeaseStatus.VALID),
        # The wait for all members that may have a lease.
        (LeaseGrants, "pending", lambda self, *args, **more: {}),
        # The restriction to the stricter of two versions.
        (
            LeaseHolder,
            "_derive_rules",
            lambda self, real=LeaseHolder._derive_rules: _rules_of_active_version(self, real),
        ),
    ],
)
def test_disabling_a_guard_causes_a_contradiction(monkeypatch, owner, name, replacement):
    """Each guard is necessary: without it, two dispatchers act on contradictory rules."""
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(Contradiction):
        for kind, process, step in itertools.product(
            ("cut", "stop", "deaf", "cut_pair"), ("n1", "n2", "n3"), (76, 79, 80, 81, 82, 83)
        ):
            scenario([(step, kind, process)], learners=1, check_end=False)


def _rules_of_active_version(self, real):
    prepared, self.state_machine.versions.prepared = self.state_machine.versions.prepared, None
    try:
        return real(self)
    finally:
        self.state_machine.versions.prepared = prepared


def test_without_the_stricter_directive_a_machine_is_used_too_early(monkeypatch):
    monkeypatch.setattr(MachineDirective, "effective_state", property(lambda self: self.state))
    with pytest.raises(AssertionError):
        test_a_drain_applies_at_once_and_its_end_only_once_every_member_has_it()


def test_an_outdated_store_of_the_leader_is_detected():
    """The leader counted its own store towards a majority. After a restart with an older copy, the voter that
    was down at that time must not elect it again."""
    scenario([(72, "crash", "n0"), (85, "older", "n2")])
