"""Applies against stand-in nodes on a virtual clock: killed at every point, lied to, overtaken, and
undone."""

import asyncio
import functools

import pytest

from weldhatch.applying.journal import Journal, story
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

NONE = {"second_drains": 0, "unreported_half_done": 0, "floors_broken": 0, "late_starts": 0}


@functools.cache
def undisturbed():
    return trial()


def test_an_apply_brings_the_fleet_where_its_change_says():
    out = undisturbed()
    assert out.result.exit is Exit.DONE and out.faults == NONE
    assert out.world.states() == {
        "n1": "off",
        "n2": "draining",
        "n3": "draining",
        "n4": "ready",
        "n5": "ready",
        "n6": "ready",
        "n7": "ready",
        "n8": "ready",
    }
    assert len(out.plan.waves) == 2


def test_killed_at_every_point_and_run_again_it_ends_as_if_undisturbed():
    """Every write, every order, every answer: enumerated, not sampled."""
    plain = undisturbed()
    assert {
        "write: before",
        "write: half",
        "write: after",
        "sync: after",
        "order: before",
        "order: heard",
        "look",
    } == set(plain.names)
    for point in range(plain.points):
        out = trial(crashes=(point,))
        where = f"point {point}, {plain.names[point]}"
        assert out.runs == 2, where
        assert out.result.exit is Exit.DONE, (where, out.result)
        assert out.faults == NONE, where
        assert out.world.states() == plain.world.states(), where


@pytest.mark.parametrize("first", range(0, 90, 18))
def test_killed_again_while_it_goes_on(first):
    for second in range(3, 60, 6):
        out = trial(crashes=(first, second))
        assert out.result.exit is Exit.DONE and out.faults == NONE, (first, second, out.result)
        assert out.world.states() == undisturbed().world.states()


def test_nodes_that_fall_lie_dead_and_return_break_nothing():
    """The short form of `python -m benchmarks.fleet`."""
    ends = set()
    for seed in range(60):
        out = trial(
            seed,
            undo=True,
            runs_most=4,
            crashes=(seed % 70,),
            faults=Faults(0.05, 0.05, 0.05, 0.03, 0.05, 0.02, 0.05, falls=2, span_s=25),
        )
        assert out.faults == NONE, seed
        ends.add(out.result.exit)
        ends.add(out.undone and out.undone.exit)
    assert {Exit.DONE, Exit.STOPPED, Exit.MOVED} <= ends


def node(world, name):
    return world.nodes[name]


# ---- each fault has its stated outcome
# -----------------------------------------------------------------------


def stopped(why, text="", **options):
    out = trial(runs_most=1, **options)
    assert out.result.exit is Exit.STOPPED, out.result
    assert out.result.stopped.reason == why, out.result
    assert text in out.result.text
    assert out.faults == NONE
    return out


def test_a_node_that_falls_between_plan_and_apply_is_told_three_ways_and_nothing_is_done():
    out = trial(runs_most=1, script=lambda world, _: node(world, "n1").fall())
    assert out.result.exit is Exit.MOVED
    [moved] = out.result.moved
    assert (moved.what, moved.planned, moved.then, moved.now) == (
        "n1",
        "drain and stop in wave 1",
        "ready, generation 1, 6 tasks",
        "no answer",
    )
    assert not any(one.effects for one in out.world.nodes.values())


def test_a_world_that_moved_elsewhere_is_no_reason_to_refuse():
    def script(world, _):
        node(world, "n4").fall()
        node(world, "n4").come_back(0.0, on=True)  # another generation, and the floor holds without it

    assert trial(runs_most=1, script=script).result.exit is Exit.DONE


def test_a_floor_that_others_took_away_is_a_reason_to_refuse():
    def script(world, _):
        for name in ("n4", "n5"):
            node(world, name).fall()

    out = trial(runs_most=1, script=script)
    assert out.result.exit is Exit.MOVED and "(keep (cores 120))" in out.result.moved[0].what


def later(seconds, act):
    """A script that does something to the world a while after the apply began."""

    def script(world, run):
        if not run:
            asyncio.get_running_loop().call_later(seconds, act, world)

    return script


def test_a_node_that_falls_while_it_drains_is_drained_by_that():
    def act(world):
        node(world, "n1").fall()
        node(world, "n1").come_back(0.0, on=False)

    out = trial(runs_most=1, script=later(1.0, act))
    assert out.result.exit is Exit.DONE and out.faults == NONE
    assert [effect.order for effect in node(out.world, "n1").effects] == ["drain"]


def test_a_node_that_goes_silent_stops_the_apply_and_it_goes_on_when_it_answers():
    out = stopped(
        StopReason.LOST, "n1 has not answered", script=later(1.0, lambda world: node(world, "n1").fall())
    )

    def script(world, run):
        if not run:
            later(1.0, lambda world: setattr(node(world, "n1"), "up", False))(world, run)
        else:
            node(world, "n1").up = True

    out = trial(script=script)
    assert out.runs == 2 and out.result.exit is Exit.DONE and out.faults == NONE


def test_a_node_that_comes_back_as_another_generation_is_not_drained_again():
    def act(world):
        node(world, "n1").fall()
        node(world, "n1").come_back(world.clock(), on=True)

    out = stopped(StopReason.RETURNED, "n1 came back as generation 2", script=later(1.0, act))
    assert len(node(out.world, "n1").effects) == 1


def test_a_node_that_someone_made_ready_again_is_not_drained_again():
    def act(world):
        node(world, "n1").state = State.READY

    stopped(StopReason.REVERTED, "not drained again", script=later(1.0, act))


def test_a_node_that_refuses_for_good_stops_it_and_is_asked_again_under_the_same_operation():
    def script(world, run):
        node(world, "n1").refusing, node(world, "n1").refusals_left = "REFUSED last copy here", int(not run)

    stopped(StopReason.REFUSED, "last copy here", script=script)
    out = trial(script=script)
    assert out.runs == 2 and out.result.exit is Exit.DONE and out.faults == NONE


def test_a_node_that_is_busy_is_asked_again_after_waits_that_double():
    def script(world, _):
        node(world, "n1").refusing, node(world, "n1").refusals_left = "BUSY", 3

    out = trial(runs_most=1, script=script)
    assert out.result.exit is Exit.DONE and out.faults == NONE


def test_lost_answers_and_late_ones_are_no_second_drain():
    for faults in (Faults(lose_answer=0.4), Faults(late_answer=0.4), Faults(lose_order=0.4)):
        out = trial(7, faults=faults)
        assert out.result.exit is Exit.DONE and out.faults == NONE


def test_a_node_that_forgets_its_operations_is_seen_to_be_so_already():
    def script(world, run):
        if run:
            node(world, "n1").forget()

    plain = undisturbed()
    heard = [n for n, name in enumerate(plain.names) if name == "order: heard"]
    for point in heard[:12]:
        out = trial(crashes=(point,), script=script)
        assert out.result.exit is Exit.DONE and out.faults == NONE, point


def test_a_switched_on_node_that_goes_off_again_stops_it():
    def act(world):
        node(world, "n7").fall()
        node(world, "n7").come_back(0.0, on=False)

    stopped(StopReason.FELL, "n7 was switched on and went off again", script=later(1.0, act))


def test_a_drain_that_does_not_end_stops_it_as_late():
    stopped(
        StopReason.LATE,
        "n1: drain was taken",
        script=later(0.5, lambda world: setattr(node(world, "n1"), "drain_s", 1e6)),
    )


def test_a_floor_that_would_break_half_way_holds_the_drains_back_and_stops():
    def act(world):
        for name in ("n4", "n5"):
            node(world, name).fall()

    out = stopped(StopReason.FLOOR, "(keep (cores 120))", script=later(1.0, act))
    assert not node(out.world, "n3").effects  # the second wave's drain


def test_a_gateway_that_does_not_take_the_drain_stops_it_before_the_node_is_told():
    def script(world, _):
        world.parties["gateway-1"].up = False

    out = stopped(StopReason.GATEWAY, "gateway-1 did not take announce", script=script)
    assert not node(out.world, "n1").effects
    assert out.world.parties["gateway-0"].words["n1"][0] is State.DRAINING  # half done, and reported


# ---- two of them, old ones, and the way back
# -----------------------------------------------------------------


class Stage:
    """A world and a journal folder for tests that need more than one apply."""

    def __init__(self, folder):
        self.loop, self.fleet, self.folder = VirtualLoop(), small_fleet(), folder
        self.world = StandInWorld(self.fleet, self.loop)
        self.plan = make_plan('(change "one" (drain n1))', self.fleet, self.loop.clock())

    def journal(self, who="me"):
        return Journal(self.folder, who, self.loop.clock())

    async def apply(self, plan=None, journal=None, **options):
        own = journal or self.journal()
        try:
            return await Runner(
                plan or self.plan,
                self.fleet,
                self.world,
                own,
                Patience(),
                clock=self.loop.clock,
                by="me",
            ).run(**options)
        finally:
            if journal is None:
                own.close()

    def run(self, main):
        return run(main, self.loop)


def test_a_second_apply_at_once_is_refused_and_told_who_holds_the_lock(tmp_path):
    stage = Stage(tmp_path)
    journal = stage.journal("the apply of spring")
    with pytest.raises(LockHeldError, match="the apply of spring"):
        stage.journal("another")
    journal.close()
    stage.loop.close()


def test_an_older_apply_that_wakes_up_late_can_not_act(tmp_path):
    stage = Stage(tmp_path)

    async def main():
        held = stage.journal("old")
        held.append([Begin(apply=stage.plan.id, at=1.0, plan=stage.plan, fence=1, by="old")])
        # A newer one, from another folder, has been heard by the node meanwhile.
        stage.world.nodes["n1"].take(NodeOrder(op="x/y", order=Kind.STOP, generation=9, fence=7), 0.0)
        runner = Runner(
            stage.plan, stage.fleet, stage.world, held, Patience(), clock=stage.loop.clock, by="old"
        )
        fleet = await observe(stage.fleet, stage.world)
        out = await runner._loop(held.story.applies[stage.plan.id], fleet)  # it never looked for fences
        held.close()
        return out

    out = stage.run(main())
    assert out.exit is Exit.STOPPED and out.stopped.reason == StopReason.OVERTAKEN
    assert not stage.world.nodes["n1"].effects


def test_a_new_fence_is_above_all_that_nodes_have_heard(tmp_path):
    stage = Stage(tmp_path)
    stage.world.nodes["n1"].fence = 41
    assert stage.run(stage.apply()).exit is Exit.DONE
    assert stage.world.nodes["n1"].fence == 42


def test_a_plan_that_was_applied_is_not_applied_again(tmp_path):
    stage = Stage(tmp_path)

    async def main():
        return [await stage.apply(), await stage.apply()]

    first, second = stage.run(main())
    assert first.exit is second.exit is Exit.DONE and "already" in second.text
    assert len(stage.world.nodes["n1"].effects) == 1


def test_another_plan_is_refused_while_one_stands_half_done(tmp_path):
    stage = Stage(tmp_path)
    other = make_plan('(change "two" (drain n2))', stage.fleet, stage.loop.clock())

    async def main():
        stage.world.parties["gateway-1"].up = False
        results = [await stage.apply()]
        stage.world.parties["gateway-1"].up = True
        results += [await stage.apply(other), await stage.apply(other, over=True)]
        return results

    first, second, third = stage.run(main())
    assert first.exit is Exit.STOPPED
    assert second.exit is Exit.FAULT and "stands half done at n1" in second.text
    assert third.exit is Exit.DONE


@pytest.mark.parametrize("point", range(0, 120, 9))
def test_undo_brings_back_what_was_from_wherever_it_stopped(point):
    out = trial(crashes=(point,), runs_most=1, undo=True)
    if out.undone is not None:
        assert out.undone.exit is Exit.DONE, out.undone
        states = out.world.states()
        assert states == {name: "off" if name in ("n7", "n8") else "ready" for name in states}
        assert not any(
            state is State.DRAINING
            for party in out.world.parties.values()
            for name, (state, _) in party.words.items()
            if name not in ("n7", "n8")
        )


def test_status_tells_each_step_of_an_apply_that_was_cut_off(tmp_path):
    stage = Stage(tmp_path)

    async def main():
        stage.world.faults = Faults(lose_order=1.0)
        return await stage.apply()

    assert stage.run(main()).exit is Exit.STOPPED
    progress = story(tmp_path).last
    assert progress.half_nodes == ["n1"]
    assert {state.step.kind: state.status for state in progress.steps.values()} == {
        Kind.ANNOUNCE: StepStatus.UNKNOWN,
        Kind.DRAIN: StepStatus.TODO,
    }


def test_drift_names_what_is_no_longer_as_it_was_left(tmp_path):
    stage = Stage(tmp_path)

    async def main():
        await stage.apply()
        before = find_drift(story(tmp_path).last, await observe(stage.fleet, stage.world))
        node(stage.world, "n1").state = State.READY
        return before, find_drift(story(tmp_path).last, await observe(stage.fleet, stage.world))

    before, after = stage.run(main())
    assert before == []
    assert [(one.node, one.wanted) for one in after] == [("n1", "drain")]


def test_a_journal_of_many_applies_is_cut_down_and_keeps_its_fence(tmp_path, monkeypatch):
    monkeypatch.setattr("weldhatch.applying.journal.COMPACTION_RECORDS", 30)
    stage = Stage(tmp_path)

    async def main():
        for n in range(8):
            text = f'(change "c{n}" ({"on" if n % 2 else "drain"} n1))'
            seen = await observe(stage.fleet, stage.world)
            assert (await stage.apply(make_plan(text, seen, stage.loop.clock()))).exit is Exit.DONE
        return story(tmp_path)

    told = stage.run(main())
    assert len(told.applies) == 8 and told.fence == 8
    assert all(progress.ended for progress in told.applies.values())
    assert Journal(tmp_path, "x", 0.0)._log.count < 60


def test_points_are_counted_from_nought():
    points = Points(1)
    assert [points.here("a"), points.here("b"), points.here("c")] == [False, True, False]
