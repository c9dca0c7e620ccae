"""Change files read against a fleet, the waves of each planning method, conflicts, and plan files. No I/O."""

import itertools

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.planning import plan as plans
from weldhatch.planning.actions import ActionKind, Unplannable, actions
from weldhatch.planning.change import read_change
from weldhatch.planning.check import find_violations
from weldhatch.planning.fleet import Fleet, Node, Pace, ServiceClass, State
from weldhatch.planning.greedy import greedy
from weldhatch.planning.moved import find_moved_floors, find_moved_nodes
from weldhatch.planning.search import search, smallest_conflict
from weldhatch.sexpr import reader
from weldhatch.testbed.fleet import small_fleet

SOLVER_NAMES = ("cp-sat", "highs")


def read_text(text, fleet=None):
    return read_change(reader.read_with_includes("f", lambda _: text), fleet or small_fleet())


def faults_of(text):
    with pytest.raises(reader.FormError) as caught:
        read_text(text)
    return [str(fault) for fault in caught.value.faults]


# ---- the change file ---------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_a_fault_in_a_change_file_is_reported_with_its_place(text, message):
    [fault] = faults_of(text)
    assert fault.startswith("f:1:" if text else "the change file")
    assert message in fault


def test_all_faults_of_a_change_file_are_reported_at_once():
    assert len(faults_of('(change "x" (on n99)\n (drain n98) (keep (rack r9) (cores 1))\n (foo))')) == 4


def test_sets_selectors_and_replacements_select_nodes():
    change = read_text(
        '(set old (all of rack r1)) (change "x" (replace old with n7) (drain (all of set old)))'.replace(
            " (drain (all of set old))", ""
        )
    )
    assert change.target_states() == {"n7": "on", "n1": "off", "n5": "off"}
    assert change.orders[0].sets == (("n7",), ("n1", "n5"))
    whole_fleet = read_text('(change "x" (drain (all of fleet)))')
    assert len(whole_fleet.target_states()) == 8


# ---- actions -----------------------------------------------------------------------------------------------


def test_a_node_in_its_target_state_needs_no_action_and_a_warming_node_is_awaited():
    nodes = dict(small_fleet().nodes)
    for name, state in (("n2", State.WARMING), ("n3", State.DRAINING), ("n4", State.DRAINING)):
        nodes[name] = msgspec.structs.replace(nodes[name], state=state)
    nodes["n5"] = msgspec.structs.replace(nodes["n5"], held=True)
    fleet = Fleet(nodes.values())
    change = read_text('(change "x" (on n1 n2 n3 n5 n7) (off n4 n8) (drain n6))', fleet)
    assert {action.node.id: action.kind for action in actions(change, fleet)} == {
        "n2": ActionKind.AWAIT,
        "n3": ActionKind.UNDRAIN,
        "n4": ActionKind.STOP,
        "n5": ActionKind.WELCOME,
        "n6": ActionKind.DRAIN,
        "n7": ActionKind.SWITCH_ON,
    }


def test_a_change_of_a_node_that_does_not_answer_is_unplannable():
    nodes = dict(small_fleet().nodes)
    nodes["n1"] = msgspec.structs.replace(nodes["n1"], state=State.LOST)
    fleet = Fleet(nodes.values())
    with pytest.raises(Unplannable, match="n1 does not answer"):
        search(read_text('(change "x" (drain n1))', fleet), fleet)


# ---- waves -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("method", ["greedy", *SOLVER_NAMES])
def test_new_nodes_are_warm_before_the_replaced_nodes_drain(method):
    fleet = small_fleet()
    found = search(read_text('(change "x" (replace n1 with n7) (keep (cores 160)))', fleet), fleet, method)
    assert [[action.node.id for action in wave] for wave in found.waves] == [["n7"], ["n1"]]


@pytest.mark.parametrize("method", ["greedy", *SOLVER_NAMES])
def test_floors_also_hold_if_the_rack_with_the_most_capacity_fails(method):
    fleet = small_fleet()  # six ready nodes of 40 cores; two of the four racks have two ready nodes
    text = '(change "x" (on n7 n8) (drain n1 n2) (keep (cores 160)))'
    found = search(read_text(text, fleet), fleet, method)
    # 240 cores are ready, 80 of them in one rack: no node may drain before the new ones are warm.
    assert [sorted(action.kind for action in wave) for wave in found.waves] == [
        ["switch-on", "switch-on"],
        ["drain", "drain"],
    ]
    assert (
        len(search(read_text(text.replace("(keep", "(survive nothing) (keep"), fleet), fleet, method).waves)
        == 1
    )


@pytest.mark.parametrize("method", ["greedy", *SOLVER_NAMES])
def test_limits_count_nodes_that_are_draining_already(method):
    nodes = dict(small_fleet().nodes)
    nodes["n5"] = msgspec.structs.replace(nodes["n5"], state=State.DRAINING)  # in rack r1, with tasks
    fleet = Fleet(nodes.values())
    with pytest.raises(Unplannable, match="at-most 1 draining per rack"):
        search(read_text('(change "x" (drain n1) (at-most 1 draining per rack))', fleet), fleet, method)
    assert (
        len(
            search(
                read_text('(change "x" (drain n1) (at-most 2 draining per rack))', fleet), fleet, method
            ).waves
        )
        == 1
    )


@pytest.mark.parametrize("method", SOLVER_NAMES)
def test_a_solver_finds_the_fewest_waves_where_greedy_drains_in_a_bad_order(method):
    """Guards against a solver that is no better than the greedy method, which drains nodes by their tasks.

    The small node drains first and leaves too little capacity for the two that could drain together.
    """
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
    change = read_text(
        '(change "x" (survive nothing) (on c0 c1) (drain a1 a2 b1 b2) (keep (cores 50))'
        " (at-most 1 starting per fleet))",
        fleet,
    )
    todo = actions(change, fleet)
    greedy_waves, found = greedy(change, fleet, todo), search(change, fleet, method)
    assert len(found.waves) <= len(greedy_waves) and not find_violations(change, fleet, found.waves)
    assert len(found.waves) == fewest_waves(change, fleet, todo, len(greedy_waves))


def fewest_waves(change, fleet, todo, max_waves):
    """Return the fewest possible waves, by exhaustive search; None if there are none."""
    for count in range(1, max_waves + 1):
        for choice in itertools.product(range(count), repeat=len(todo)):
            waves = tuple(
                tuple(action for action, wave in zip(todo, choice, strict=True) if wave == n)
                for n in range(count)
            )
            if all(waves) and not find_violations(change, fleet, waves):
                return count
    return None


@st.composite
def planning_problems(draw):
    """Return a change file's text, which may or may not be possible, and a small fleet."""
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


@given(planning_problems())
def test_each_solver_finds_a_valid_plan_with_the_fewest_waves_or_none_exists(problem):
    text, fleet = problem
    change = read_text(text, fleet)
    todo = actions(change, fleet)
    fewest = (
        fewest_waves(change, fleet, todo, len(todo))
        if todo
        else (None if find_violations(change, fleet, ()) else 0)
    )
    for method in SOLVER_NAMES:
        try:
            found = search(change, fleet, method)
        except Unplannable:
            assert fewest is None, (text, method)
            continue
        assert not find_violations(change, fleet, found.waves)
        assert len(found.waves) == fewest, (text, method)


def test_the_smallest_conflict_is_reported_with_the_text_of_its_statements():
    fleet = small_fleet()
    text = (
        '(change "x"\n (drain n1 n2)\n (drain n3)\n (drain n4)\n (keep (cores 160))\n'
        " (at-most 2 draining per rack))"
    )
    with pytest.raises(Unplannable) as caught:
        search(read_text(text, fleet), fleet)
    assert [line.text for line in caught.value.conflict] == ["(drain n1 n2)", "(keep (cores 160))"]
    assert "f:5:2: (keep (cores 160))" in str(caught.value)
    with pytest.raises(Unplannable) as caught:
        search(read_text('(change "x" (on n7) (drain n1 n2) (order n1 n2) (order n2 n1))', fleet), fleet)
    assert [line.text for line in caught.value.conflict] == [
        "(drain n1 n2)",
        "(order n1 n2)",
        "(order n2 n1)",
    ]
    with pytest.raises(Unplannable) as caught:
        search(
            read_text(
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
def test_a_smallest_conflict_is_impossible_and_no_conflict_is_smaller(conflicts):
    statements = [object() for _ in range(7)]

    def possible(kept):
        chosen = {n for n, statement in enumerate(statements) if any(statement is other for other in kept)}
        return not any(conflict <= chosen for conflict in conflicts)

    found = smallest_conflict(statements, possible)
    assert not possible(found)
    assert len(found) == min(map(len, conflicts))


# ---- the plan file -----------------------------------------------------------------------------------------


def make_plan(text='(change "x" (on n7 n8) (off n1) (drain n2) (keep (cores 120)))', fleet=None):
    fleet = fleet or small_fleet()
    change = read_text(text, fleet)
    return plans.make(change, fleet, search(change, fleet), name="toy", now=5.0)


def test_a_plan_is_unchanged_after_encoding_and_decoding():
    plan = make_plan()
    assert plans.decode(plans.encode(plan), "p") == plan
    assert [step.kind for step in plan.steps if step.node == "n1"] == ["announce", "drain", "stop"]


@pytest.mark.parametrize(
    ("corrupt", "message"),
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
def test_a_truncated_or_edited_plan_is_rejected(corrupt, message):
    with pytest.raises(plans.PlanError, match=message):
        plans.decode(corrupt(plans.encode(make_plan())), "p")


def test_only_changes_that_the_plan_depends_on_are_reported_as_moved():
    fleet, plan = small_fleet(), make_plan()
    node_ids = [node.id for node in plan.world]

    def fleet_with(name, **changes):
        return fleet.with_nodes({name: msgspec.structs.replace(fleet.nodes[name], **changes)})

    unrelated = fleet_with("n4", generation=9, tasks=77)  # not part of the plan, and still ready
    assert not find_moved_nodes(plan, unrelated, node_ids) and not find_moved_floors(
        plan, unrelated, node_ids
    )
    assert not find_moved_nodes(plan, fleet_with("n1", tasks=77), node_ids)
    [moved] = find_moved_nodes(plan, fleet_with("n1", generation=2), node_ids)
    assert str(moved) == (
        "n1: planned: drain and stop in wave 1; then: ready, generation 1, 6 tasks; "
        "now: ready, generation 2, 6 tasks"
    )
    lost_nodes = fleet.with_nodes(
        {name: msgspec.structs.replace(fleet.nodes[name], state=State.LOST) for name in ("n3", "n4")}
    )
    [moved] = find_moved_floors(plan, lost_nodes, node_ids)
    assert "(keep (cores 120))" in moved.what and "now: 40" in str(moved)
