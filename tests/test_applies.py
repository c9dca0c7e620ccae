"""Applies against stand-in nodes on a virtual clock: killed at each point, with failing nodes and lost
messages, overtaken, and undone."""

import asyncio
import functools

import pytest

from weldhatch.applying.journal import Journal, read_history
from weldhatch.applying.runner import Exit, Runner, observe
from weldhatch.nodes.protocol import NodeOrder
from weldhatch.planning.engine import Patience, StopReason
from weldhatch.planning.fleet import State
from weldhatch.planning.plan import Kind
from weldhatch.planning.records import Begin, StepStatus
from weldhatch.planning.undo import find_drift
from weldhatch.store.lock import LockHeldError
from weldhatch.testbed.crash_points import Points, make_plan, trial
from weldhatch.testbed.fleet import Faults, StandInWorld, small_fleet
from weldhatch.testbed.virtual import VirtualLoop, run

NO_FAULTS = {"second_drains": 0, "unreported_half_done": 0, "floors_broken": 0, "late_starts": 0}


@functools.cache
def uninterrupted_trial():
    return trial()


def test_an_apply_brings_the_fleet_to_the_planned_state():
    outcome = uninterrupted_trial()
    assert outcome.result.exit is Exit.DONE and outcome.faults == NO_FAULTS
    assert outcome.world.states() == {
        "n1": "off",
        "n2": "draining",
        "n3": "draining",
        "n4": "ready",
        "n5": "ready",
        "n6": "ready",
        "n7": "ready",
        "n8": "ready",
    }
    assert len(outcome.plan.waves) == 2


def test_an_apply_killed_at_any_point_and_resumed_ends_like_an_uninterrupted_one():
    """Enumerates the points around every write, order and answer, instead of sampling them."""
    reference = uninterrupted_trial()
    assert {
        "write: before",
        "write: half",
        "write: after",
        "sync: after",
        "order: before",
        "order: heard",
        "look",
    } == set(reference.names)
    for point in range(reference.points):
        outcome = trial(crashes=(point,))
        context = f"point {point}, {reference.names[point]}"
        assert outcome.runs == 2, context
        assert outcome.result.exit is Exit.DONE, (context, outcome.result)
        assert outcome.faults == NO_FAULTS, context
        assert outcome.world.states() == reference.world.states(), context


@pytest.mark.parametrize("first", range(0, 90, 18))
def test_an_apply_killed_again_while_resuming_ends_like_an_uninterrupted_one(first):
    for second in range(3, 60, 6):
        outcome = trial(crashes=(first, second))
        assert outcome.result.exit is Exit.DONE and outcome.faults == NO_FAULTS, (
            first,
            second,
            outcome.result,
        )
        assert outcome.world.states() == uninterrupted_trial().world.states()


def test_failing_and_returning_nodes_violate_no_invariant():
    """A short run of the trials of `python -m benchmarks.fleet`."""
    exits = set()
    for seed in range(60):
        outcome = trial(
            seed,
            undo=True,
            runs_most=4,
            crashes=(seed % 70,),
            faults=Faults(0.05, 0.05, 0.05, 0.03, 0.05, 0.02, 0.05, falls=2, span_s=25),
        )
        assert outcome.faults == NO_FAULTS, seed
        exits.add(outcome.result.exit)
        exits.add(outcome.undone and outcome.undone.exit)
    assert {Exit.DONE, Exit.STOPPED, Exit.MOVED} <= exits


def node(world, name):
    return world.nodes[name]


# ---- the result of each fault ------------------------------------------------------------------------------


def stopped_trial(why, text="", **options):
    """Run one trial that must stop for the given reason, and return its outcome."""
    outcome = trial(runs_most=1, **options)
    assert outcome.result.exit is Exit.STOPPED, outcome.result
    assert outcome.result.stopped.reason == why, outcome.result
    assert text in outcome.result.text
    assert outcome.faults == NO_FAULTS
    return outcome


def test_a_node_lost_between_plan_and_apply_is_reported_and_nothing_is_done():
    outcome = trial(runs_most=1, script=lambda world, _: node(world, "n1").fall())
    assert outcome.result.exit is Exit.MOVED
    [moved] = outcome.result.moved
    assert (moved.what, moved.planned, moved.then, moved.now) == (
        "n1",
        "drain and stop in wave 1",
        "ready, generation 1, 6 tasks",
        "no answer",
    )
    assert not any(stand_in.effects for stand_in in outcome.world.nodes.values())


def test_a_changed_node_outside_the_plan_does_not_reject_the_apply():
    def script(world, _):
        node(world, "n4").fall()
        node(world, "n4").come_back(0.0, on=True)  # a new generation; the floor holds without the node

    assert trial(runs_most=1, script=script).result.exit is Exit.DONE


def test_a_floor_broken_outside_the_plan_rejects_the_apply():
    def script(world, _):
        for name in ("n4", "n5"):
            node(world, name).fall()

    outcome = trial(runs_most=1, script=script)
    assert outcome.result.exit is Exit.MOVED and "(keep (cores 120))" in outcome.result.moved[0].what


def run_later(seconds, act):
    """Return a script that calls `act` on the world some seconds after the first run began."""

    def script(world, run):
        if not run:
            asyncio.get_running_loop().call_later(seconds, act, world)

    return script


def test_a_node_that_goes_off_while_draining_counts_as_drained():
    def act(world):
        node(world, "n1").fall()
        node(world, "n1").come_back(0.0, on=False)

    outcome = trial(runs_most=1, script=run_later(1.0, act))
    assert outcome.result.exit is Exit.DONE and outcome.faults == NO_FAULTS
    assert [effect.order for effect in node(outcome.world, "n1").effects] == ["drain"]


def test_a_silent_node_stops_the_apply_which_resumes_once_it_answers():
    outcome = stopped_trial(
        StopReason.LOST, "n1 has not answered", script=run_later(1.0, lambda world: node(world, "n1").fall())
    )

    def script(world, run):
        if not run:
            run_later(1.0, lambda world: setattr(node(world, "n1"), "up", False))(world, run)
        else:
            node(world, "n1").up = True

    outcome = trial(script=script)
    assert outcome.runs == 2 and outcome.result.exit is Exit.DONE and outcome.faults == NO_FAULTS


def test_a_node_that_returns_as_a_new_generation_is_not_drained_again():
    def act(world):
        node(world, "n1").fall()
        node(world, "n1").come_back(world.clock(), on=True)

    outcome = stopped_trial(StopReason.RETURNED, "n1 came back as generation 2", script=run_later(1.0, act))
    assert len(node(outcome.world, "n1").effects) == 1


def test_a_draining_node_that_others_set_ready_is_not_drained_again():
    def act(world):
        node(world, "n1").state = State.READY

    stopped_trial(StopReason.REVERTED, "not drained again", script=run_later(1.0, act))


def test_a_permanent_refusal_stops_the_apply_and_resuming_retries_the_order():
    def script(world, run):
        node(world, "n1").refusing, node(world, "n1").refusals_left = "REFUSED last copy here", int(not run)

    stopped_trial(StopReason.REFUSED, "last copy here", script=script)
    outcome = trial(script=script)
    assert outcome.runs == 2 and outcome.result.exit is Exit.DONE and outcome.faults == NO_FAULTS


def test_a_busy_node_is_retried_until_it_takes_its_order():
    def script(world, _):
        node(world, "n1").refusing, node(world, "n1").refusals_left = "BUSY", 3

    outcome = trial(runs_most=1, script=script)
    assert outcome.result.exit is Exit.DONE and outcome.faults == NO_FAULTS


def test_lost_orders_and_lost_or_late_answers_cause_no_second_drain():
    for faults in (Faults(lose_answer=0.4), Faults(late_answer=0.4), Faults(lose_order=0.4)):
        outcome = trial(7, faults=faults)
        assert outcome.result.exit is Exit.DONE and outcome.faults == NO_FAULTS


def test_resuming_relies_on_the_state_of_a_node_that_forgot_its_operations():
    def script(world, run):
        if run:
            node(world, "n1").forget()

    reference = uninterrupted_trial()
    after_answer = [index for index, name in enumerate(reference.names) if name == "order: heard"]
    for point in after_answer[:12]:
        outcome = trial(crashes=(point,), script=script)
        assert outcome.result.exit is Exit.DONE and outcome.faults == NO_FAULTS, point


def test_a_switched_on_node_that_goes_off_again_stops_the_apply():
    def act(world):
        node(world, "n7").fall()
        node(world, "n7").come_back(0.0, on=False)

    stopped_trial(StopReason.FELL, "n7 was switched on and went off again", script=run_later(1.0, act))


def test_a_drain_over_its_time_limit_stops_the_apply_as_late():
    stopped_trial(
        StopReason.LATE,
        "n1: drain was taken",
        script=run_later(0.5, lambda world: setattr(node(world, "n1"), "drain_s", 1e6)),
    )


def test_a_floor_broken_during_the_apply_blocks_further_drains_and_stops_it():
    def act(world):
        for name in ("n4", "n5"):
            node(world, name).fall()

    outcome = stopped_trial(StopReason.FLOOR, "(keep (cores 120))", script=run_later(1.0, act))
    assert not node(outcome.world, "n3").effects  # the second wave's drain


def test_an_unreachable_gateway_stops_the_apply_before_the_node_gets_its_order():
    def script(world, _):
        world.parties["gateway-1"].up = False

    outcome = stopped_trial(StopReason.GATEWAY, "gateway-1 did not take announce", script=script)
    assert not node(outcome.world, "n1").effects
    # The change is half done: the other gateway has the announced drain, and the journal records that.
    assert outcome.world.parties["gateway-0"].words["n1"][0] is State.DRAINING


# ---- several applies, older applies, and undo --------------------------------------------------------------


class ApplyFixture:
    """A stand-in fleet and a journal folder for tests that need several applies."""

    def __init__(self, folder):
        self.loop, self.fleet, self.folder = VirtualLoop(), small_fleet(), folder
        self.world = StandInWorld(self.fleet, self.loop)
        self.plan = make_plan('(change "one" (drain n1))', self.fleet, self.loop.clock())

    def journal(self, owner="me"):
        return Journal(self.folder, owner, self.loop.clock())

    async def apply(self, plan=None, journal=None, **options):
        used_journal = journal or self.journal()
        try:
            return await Runner(
                plan or self.plan,
                self.fleet,
                self.world,
                used_journal,
                Patience(),
                clock=self.loop.clock,
                by="me",
            ).run(**options)
        finally:
            if journal is None:
                used_journal.close()

    def run(self, main):
        return run(main, self.loop)


def test_a_concurrent_apply_is_rejected_with_the_lock_holder_in_the_error(tmp_path):
    fixture = ApplyFixture(tmp_path)
    journal = fixture.journal("the apply of spring")
    with pytest.raises(LockHeldError, match="the apply of spring"):
        fixture.journal("another")
    journal.close()
    fixture.loop.close()


def test_an_older_apply_that_resumes_after_a_newer_one_is_stopped(tmp_path):
    fixture = ApplyFixture(tmp_path)

    async def main():
        journal = fixture.journal("old")
        journal.append([Begin(apply=fixture.plan.id, at=1.0, plan=fixture.plan, fence=1, by="old")])
        # Meanwhile, the node has received an order of a newer apply with another journal.
        fixture.world.nodes["n1"].take(NodeOrder(op="x/y", order=Kind.STOP, generation=9, fence=7), 0.0)
        runner = Runner(
            fixture.plan,
            fixture.fleet,
            fixture.world,
            journal,
            Patience(),
            clock=fixture.loop.clock,
            by="old",
        )
        fleet = await observe(fixture.fleet, fixture.world)
        # Enters the loop directly, since `run` would choose a fence above those of the nodes.
        result = await runner._loop(journal.history.applies[fixture.plan.id], fleet)
        journal.close()
        return result

    result = fixture.run(main())
    assert result.exit is Exit.STOPPED and result.stopped.reason == StopReason.OVERTAKEN
    assert not fixture.world.nodes["n1"].effects


def test_a_new_fence_exceeds_the_fences_of_all_nodes(tmp_path):
    fixture = ApplyFixture(tmp_path)
    fixture.world.nodes["n1"].fence = 41
    assert fixture.run(fixture.apply()).exit is Exit.DONE
    assert fixture.world.nodes["n1"].fence == 42


def test_a_completed_plan_is_not_applied_again(tmp_path):
    fixture = ApplyFixture(tmp_path)

    async def main():
        return [await fixture.apply(), await fixture.apply()]

    first, second = fixture.run(main())
    assert first.exit is second.exit is Exit.DONE and "already" in second.text
    assert len(fixture.world.nodes["n1"].effects) == 1


def test_another_plan_is_rejected_while_an_apply_is_half_done(tmp_path):
    fixture = ApplyFixture(tmp_path)
    other = make_plan('(change "two" (drain n2))', fixture.fleet, fixture.loop.clock())

    async def main():
        fixture.world.parties["gateway-1"].up = False
        results = [await fixture.apply()]
        fixture.world.parties["gateway-1"].up = True
        results += [await fixture.apply(other), await fixture.apply(other, ignore_unfinished=True)]
        return results

    first, second, third = fixture.run(main())
    assert first.exit is Exit.STOPPED
    assert second.exit is Exit.FAULT and "stands half done at n1" in second.text
    assert third.exit is Exit.DONE


@pytest.mark.parametrize("point", range(0, 120, 9))
def test_undo_restores_the_initial_states_from_any_stop(point):
    outcome = trial(crashes=(point,), runs_most=1, undo=True)
    if outcome.undone is not None:
        assert outcome.undone.exit is Exit.DONE, outcome.undone
        states = outcome.world.states()
        assert states == {name: "off" if name in ("n7", "n8") else "ready" for name in states}
        assert not any(
            state is State.DRAINING
            for party in outcome.world.parties.values()
            for name, (state, _) in party.words.items()
            if name not in ("n7", "n8")
        )


def test_the_history_shows_each_step_of_an_interrupted_apply(tmp_path):
    fixture = ApplyFixture(tmp_path)

    async def main():
        fixture.world.faults = Faults(lose_order=1.0)
        return await fixture.apply()

    assert fixture.run(main()).exit is Exit.STOPPED
    progress = read_history(tmp_path).last
    assert progress.half_nodes == ["n1"]
    assert {state.step.kind: state.status for state in progress.steps.values()} == {
        Kind.ANNOUNCE: StepStatus.UNKNOWN,
        Kind.DRAIN: StepStatus.TODO,
    }


def test_drift_lists_nodes_that_left_their_applied_state(tmp_path):
    fixture = ApplyFixture(tmp_path)

    async def main():
        await fixture.apply()
        before = find_drift(read_history(tmp_path).last, await observe(fixture.fleet, fixture.world))
        node(fixture.world, "n1").state = State.READY
        return before, find_drift(read_history(tmp_path).last, await observe(fixture.fleet, fixture.world))

    before, after = fixture.run(main())
    assert before == []
    assert [(drifted.node, drifted.wanted) for drifted in after] == [("n1", "drain")]


def test_a_long_journal_is_compacted_and_keeps_its_fence(tmp_path, monkeypatch):
    monkeypatch.setattr("weldhatch.applying.journal.COMPACTION_RECORDS", 30)
    fixture = ApplyFixture(tmp_path)

    async def main():
        for number in range(8):
            text = f'(change "c{number}" ({"on" if number % 2 else "drain"} n1))'
            observed = await observe(fixture.fleet, fixture.world)
            assert (await fixture.apply(make_plan(text, observed, fixture.loop.clock()))).exit is Exit.DONE
        return read_history(tmp_path)

    history = fixture.run(main())
    assert len(history.applies) == 8 and history.fence == 8
    assert all(progress.ended for progress in history.applies.values())
    assert Journal(tmp_path, "x", 0.0)._log.count < 60


def test_crash_points_are_counted_from_zero():
    points = Points(1)
    assert [points.here("a"), points.here("b"), points.here("c")] == [False, True, False]
