"""Change files against a fleet, waves by every way, and what excludes each other. No I/O."""

import itertools

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.planning import plan as plans
from weldhatch.planning.actions import ActionKind, UnplannableError, actions
from weldhatch.planning.change import read_change
from weldhatch.planning.check import find_violations
from weldhatch.planning.fleet import Fleet, Node, Pace, ServiceClass, State
from weldhatch.planning.greedy import greedy
from weldhatch.planning.moved import find_moved_floors, find_moved_nodes
from weldhatch.planning.search import search, smallest_conflict
from weldhatch.sexpr import reader
from weldhatch.testbed.fleet import small_fleet

WAYS = ("cp-sat", "highs")


def read(text, fleet=None):
    return read_change(reader.read_whole("f", lambda _: text), fleet or small_fleet())


def faults(text):
    with pytest.raises(reader.FormError) as caught:
        read(text)
    return [str(fault) for fault in caught.value.faults]


# ---- the change file ---------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('(change "x" (drain n99))', "f:1:20: no node is named n99"),
        ('(change "x" (drain (all of rack r77)))', "no rack is named r77"),
        ('(change "x" (keep (hall hall-x) (cores 1)))', "no hall is named hall-x"),
        ('(change "x" (on n1) (drain n1))', "n1 is to be drain, and on at line 1"),
        ('(change "x" (keep (cores 9999)))', "asks 9999 of cores, and all 8 nodes hold 320"),
        ('(change "x" (keep (hall hall-a)))', "keeps nothing"),
        ('(change "x" (keep (cores 3GB)))', "'3GB' is no figure here (expected a number)"),
        ('(change "x" (at-most 1.5 draining per rack))', "a whole number"),
        ('(change "x" (at-most 2 draining))', "expected (at-most N draining per rack)"),
        ('(change "x" (spread lookup 3))', "no class is named lookup"),
        ('(change "x" (within 3GB))', "expected (within 10m) or (within 4 waves)"),
        ('(change "x" (replace n1 n2))', "does not say what by what"),
        ('(change "x" (order n1))', "orders nothing"),
        ("(change x (drain n1))", "is no name"),
        ('(change "x" (dren n1))', "(dren n1) is not known here"),
        ('(change "x") (change "y")', "a second change"),
        ('(set a n1) (set a n2) (change "x" (on a))', "defined twice"),
        ("", "no change stands in this file"),
    ],
)
def test_what_a_change_file_says_wrong_is_named_with_its_place(text, said):
    [fault] = faults(text)
    assert fault.startswith("f:1:" if text else "the change file")
    assert said in fault


def test_all_faults_of_a_change_are_told_at_once():
    assert len(faults('(change "x" (on n99)\n (drain n98) (keep (rack r9) (cores 1))\n (foo))')) == 4


def test_sets_selectors_and_replacements_name_nodes():
    change = read(
        '(set old (all of rack r1)) (change "x" (replace old with n7) (drain (all of set old)))'.replace(
            " (drain (all of set old))", ""
        )
    )
    assert change.target_states() == {"n7": "on", "n1": "off", "n5": "off"}
    assert change.orders[0].sets == (("n7",), ("n1", "n5"))
    everyone = read('(change "x" (drain (all of fleet)))')
    assert len(everyone.target_states()) == 8


# ---- actions -----------------------------------------------------------------------------------------------


def test_what_is_as_wanted_needs_nothing_and_what_is_under_way_is_awaited():
    nodes = dict(small_fleet().nodes)
    for name, state in (("n2", State.WARMING), ("n3", State.DRAINING), ("n4", State.DRAINING)):
        nodes[name] = msgspec.structs.replace(nodes[name], state=state)
    nodes["n5"] = msgspec.structs.replace(nodes["n5"], held=True)
    fleet = Fleet(nodes.values())
    change = read('(change "x" (on n1 n2 n3 n5 n7) (off n4 n8) (drain n6))', fleet)
    assert {action.node.id: action.kind for action in actions(change, fleet)} == {
        "n2": ActionKind.AWAIT,
        "n3": ActionKind.UNDRAIN,
        "n4": ActionKind.STOP,
        "n5": ActionKind.WELCOME,
        "n6": ActionKind.DRAIN,
        "n7": ActionKind.SWITCH_ON,
    }


def test_a_node_that_does_not_answer_can_not_be_planned_for():
    nodes = dict(small_fleet().nodes)
    nodes["n1"] = msgspec.structs.replace(nodes["n1"], state=State.LOST)
    fleet = Fleet(nodes.values())
    with pytest.raises(UnplannableError, match="n1 does not answer"):
        search(read('(change "x" (drain n1))', fleet), fleet)


# ---- waves -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("way", ["greedy", *WAYS])
def test_new_nodes_are_warm_before_what_they_replace_drains(way):
    fleet = small_fleet()
    found = search(read('(change "x" (replace n1 with n7) (keep (cores 160)))', fleet), fleet, way)
    assert [[action.node.id for action in wave] for wave in found.waves] == [["n7"], ["n1"]]


@pytest.mark.parametrize("way", ["greedy", *WAYS])
def test_floors_hold_also_if_the_worst_rack_falls(way):
    fleet = small_fleet()  # six ready nodes of 40 cores; two racks of four have two ready ones
    text = '(change "x" (on n7 n8) (drain n1 n2) (keep (cores 160)))'
    found = search(read(text, fleet), fleet, way)
    # 240 cores are ready and one rack holds 80 of them: nothing may drain before the new ones are warm.
    assert [sorted(action.kind for action in wave) for wave in found.waves] == [
        ["switch-on", "switch-on"],
        ["drain", "drain"],
    ]
    assert len(search(read(text.replace("(keep", "(survive nothing) (keep"), fleet), fleet, way).waves) == 1


@pytest.mark.parametrize("way", ["greedy", *WAYS])
def test_limits_count_those_who_drain_already(way):
    nodes = dict(small_fleet().nodes)
    nodes["n5"] = msgspec.structs.replace(nodes["n5"], state=State.DRAINING)  # rack r1, with tasks
    fleet = Fleet(nodes.values())
    with pytest.raises(UnplannableError, match="at-most 1 draining per rack"):
        search(read('(change "x" (drain n1) (at-most 1 draining per rack))', fleet), fleet, way)
    assert (
        len(search(read('(change "x" (drain n1) (at-most 2 draining per rack))', fleet), fleet, way).waves)
        == 1
    )


@pytest.mark.parametrize("way", WAYS)
def test_a_solver_finds_fewer_waves_where_greedy_begins_with_the_wrong_ones(way):
    """Greedy drains by tasks; the small node first leaves no room for the two that would fit together."""
    sizes = {"a1": 10, "a2": 40, "b1": 30, "b2": 20}
    nodes = [
        Node(id=name, hall="h", rack=f"r{n}", kind="k", cores=size, memory=1, state=State.READY, tasks=n)
        for n, (name, size) in enumerate(sizes.items())
    ]
    nodes += [
        Node(id=f"c{n}", hall="h", rack=f"s{n}", kind="k", cores=50, memory=1, state=State.OFF)
        for n in range(2)
    ]
    fleet = Fleet(nodes, (), Pace())
    change = read(
        '(change "x" (survive nothing) (on c0 c1) (drain a1 a2 b1 b2) (keep (cores 50))'
        " (at-most 1 starting per fleet))",
        fleet,
    )
    todo = actions(change, fleet)
    plain, found = greedy(change, fleet, todo), search(change, fleet, way)
    assert len(found.waves) <= len(plain) and not find_violations(change, fleet, found.waves)
    assert len(found.waves) == best(change, fleet, todo, len(plain))


def best(change, fleet, todo, most):
    """The fewest waves there are, by trying all."""
    for count in range(1, most + 1):
        for choice in itertools.product(range(count), repeat=len(todo)):
            waves = tuple(
                tuple(action for action, wave in zip(todo, choice, strict=True) if wave == n)
                for n in range(count)
            )
            if all(waves) and not find_violations(change, fleet, waves):
                return count
    return None


@st.composite
def problems(draw):
    """Small fleets with changes that may or may not be possible."""
    count = draw(st.integers(3, 5))
    nodes = [
        Node(
            id=f"n{n}",
            hall=draw(st.sampled_from(["a", "b"])) + "",
            rack=f"r{draw(st.integers(0, 2))}",
            kind="k",
            cores=draw(st.sampled_from([10, 20, 30])),
            memory=draw(st.sampled_from([1, 2])),
            state=draw(st.sampled_from([State.READY, State.READY, State.OFF])),
            tasks=draw(st.integers(0, 3)),
        )
        for n in range(count)
    ]
    fleet = Fleet(nodes, [ServiceClass(name="c", spread_most=1)], Pace(warm_s=2, drain_s=5, order_s=1))
    parts = [
        f"({draw(st.sampled_from(['drain', 'off', 'on']))} n{n})" for n in range(count) if draw(st.booleans())
    ]
    top = sum(node.cores for node in nodes)
    if draw(st.booleans()):
        parts.append(f"(keep (cores {draw(st.integers(1, int(top)))}))")
    if draw(st.booleans()):
        parts.append(
            f"(at-most {draw(st.integers(1, 2))} draining per {draw(st.sampled_from(['rack', 'fleet']))})"
        )
    if draw(st.booleans()):
        parts.append(f"(spread c {draw(st.integers(1, 2))})")
    if draw(st.booleans()):
        parts.append(f"(order n{draw(st.integers(0, 1))} n2)")
    if draw(st.booleans()):
        parts.append(f"(within {draw(st.integers(1, 3))} waves)")
    return f'(change "x" {" ".join(parts)})', fleet


@given(problems())
def test_every_way_holds_what_has_to_hold_and_a_solver_is_best(problem):
    text, fleet = problem
    change = read(text, fleet)
    todo = actions(change, fleet)
    fewest = (
        best(change, fleet, todo, len(todo)) if todo else (None if find_violations(change, fleet, ()) else 0)
    )
    for way in WAYS:
        try:
            found = search(change, fleet, way)
        except UnplannableError:
            assert fewest is None, (text, way)
            continue
        assert not find_violations(change, fleet, found.waves)
        assert len(found.waves) == fewest, (text, way)


def test_the_smallest_set_that_excludes_each_other_is_named_in_the_files_words():
    fleet = small_fleet()
    text = (
        '(change "x"\n (drain n1 n2)\n (drain n3)\n (drain n4)\n (keep (cores 160))\n'
        " (at-most 2 draining per rack))"
    )
    with pytest.raises(UnplannableError) as caught:
        search(read(text, fleet), fleet)
    assert [line.text for line in caught.value.conflict] == ["(drain n1 n2)", "(keep (cores 160))"]
    assert "f:5:2: (keep (cores 160))" in str(caught.value)
    with pytest.raises(UnplannableError) as caught:
        search(read('(change "x" (on n7) (drain n1 n2) (order n1 n2) (order n2 n1))', fleet), fleet)
    assert [line.text for line in caught.value.conflict] == [
        "(drain n1 n2)",
        "(order n1 n2)",
        "(order n2 n1)",
    ]
    with pytest.raises(UnplannableError) as caught:
        search(
            read(
                '(change "x" (drain n1 n5) (at-most 1 draining per rack) (within 1 waves) (within 1h))', fleet
            ),
            fleet,
        )
    assert [line.text for line in caught.value.conflict] == [
        "(drain n1 n5)",
        "(at-most 1 draining per rack)",
        "(within 1 waves)",
    ]


@given(st.lists(st.sets(st.integers(0, 6), min_size=1), min_size=1, max_size=6))
def test_a_smallest_conflict_is_one_and_none_is_smaller(conflicts):
    statements = [object() for _ in range(7)]

    def possible(kept):
        chosen = {n for n, one in enumerate(statements) if any(one is other for other in kept)}
        return not any(conflict <= chosen for conflict in conflicts)

    found = smallest_conflict(statements, possible)
    assert not possible(found)
    assert len(found) == min(map(len, conflicts))


# ---- the plan file -----------------------------------------------------------------------------------------


def made(text='(change "x" (on n7 n8) (off n1) (drain n2) (keep (cores 120)))', fleet=None):
    fleet = fleet or small_fleet()
    change = read(text, fleet)
    return plans.make(change, fleet, search(change, fleet), name="toy", now=5.0)


def test_a_plan_file_comes_back_as_it_was():
    plan = made()
    assert plans.decode(plans.encode(plan), "p") == plan
    assert [step.kind for step in plan.steps if step.node == "n1"] == ["announce", "drain", "stop"]


@pytest.mark.parametrize(
    ("spoil", "said"),
    [
        (lambda data: data[:-40], "cut"),
        (lambda data: data.replace(b'"version": 1', b'"version": 2'), "version"),
        (lambda data: data.replace(b'"n1"', b'"n3"'), "checksum"),
        (lambda data: b"[]", "no plan"),
        (lambda data: data.replace(b'"wave": 1', b'"wave": "x"', 1), r"Expected `int`, got `str` - at `\$"),
        (lambda data: b"\xff\xfe", "cut"),
        (lambda data: data.replace(b'"way"', b'"wey"', 1), "unknown field"),
    ],
)
def test_a_plan_that_was_cut_or_edited_is_refused(spoil, said):
    with pytest.raises(plans.PlanError, match=said):
        plans.decode(spoil(plans.encode(made())), "p")


def test_only_what_the_plan_rests_on_can_move():
    fleet, plan = small_fleet(), made()
    every = [node.id for node in plan.world]

    def now(name, **changes):
        return fleet.with_nodes({name: msgspec.structs.replace(fleet.nodes[name], **changes)})

    aside = now("n4", generation=9, tasks=77)  # not acted on, and as ready as it was
    assert not find_moved_nodes(plan, aside, every) and not find_moved_floors(plan, aside, every)
    assert not find_moved_nodes(plan, now("n1", tasks=77), every)
    [moved] = find_moved_nodes(plan, now("n1", generation=2), every)
    assert str(moved) == (
        "n1: planned: drain and stop in wave 1; then: ready, generation 1, 6 tasks; "
        "now: ready, generation 2, 6 tasks"
    )
    gone = fleet.with_nodes(
        {name: msgspec.structs.replace(fleet.nodes[name], state=State.LOST) for name in ("n3", "n4")}
    )
    [moved] = find_moved_floors(plan, gone, every)
    assert "(keep (cores 120))" in moved.what and "now: 40" in str(moved)
