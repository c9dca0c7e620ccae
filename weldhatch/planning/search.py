"""Finds the waves of a change, by the greedy method and a solver, or the reason why there are none."""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from weldhatch.planning.actions import Action, Unplannable, Waves, actions
from weldhatch.planning.change import Change, TargetState
from weldhatch.planning.check import (
    Violation,
    busy_outside_plan,
    counts_toward_limit,
    find_violations,
    limit_scope,
    wave_duration_s,
)
from weldhatch.planning.fleet import Fleet
from weldhatch.planning.greedy import greedy
from weldhatch.planning.linear import SOLVERS, Program
from weldhatch.planning.model import Model

MAX_WAVES = 24  # the most waves that a solver looks for where the greedy method finds none
SOLVER_EFFORT = 2.0  # for one call on a small model, in units of about a second (see `linear.cp_sat`)
FULL_EFFORT_VARIABLES = 150  # a model with more variables gets proportionally less effort


@dataclass(slots=True, frozen=True)
class SearchResult:
    """The waves that were found, the method, and whether fewer waves are proven to be impossible."""

    waves: Waves
    method: str  # 'greedy', 'cp-sat', 'highs', or 'nothing' where no action is needed
    greedy_waves: int | None  # the number of waves of the greedy method; None if it found none
    proven: bool
    seconds: float  # the expected time of all waves, by the fleet's pace


def search(
    change: Change, fleet: Fleet, method: str = "highs", effort: float = SOLVER_EFFORT
) -> SearchResult:
    """Return the best waves. Raises Unplannable with the smallest set of conflicting statements.

    `method` is a solver's name or `greedy`. A solver's waves are checked by `check.find_violations` and used
    only if they are no worse than the greedy ones.
    """
    todo = actions(change, fleet)
    if not todo:
        if violations := find_violations(change, fleet, ()):
            raise _conflict_error(change, fleet, method, effort, violations)
        return SearchResult((), "nothing", 0, True, 0.0)
    greedy_result = greedy(change, fleet, todo)
    minimum = min_waves(change, fleet, todo)
    best, best_method = greedy_result, "greedy"
    proven = greedy_result is not None and len(greedy_result) <= minimum
    if method != "greedy" and best is None:
        best, proven = _solve(change, fleet, todo, min(len(todo), _max_waves(change)), method, effort)
        best_method = method
    elif method != "greedy" and len(best) > 1:
        if not proven:
            # A model with one wave fewer is smaller, so whether fewer waves are possible is solved first.
            better, known = _solve(change, fleet, todo, len(best) - 1, method, effort)
            best, best_method, proven = (better, method, known) if better else (best, best_method, known)
        # From here on only the duration of the waves can improve, which is worth little effort.
        quicker, _ = _solve(change, fleet, todo, len(best), method, effort / 8)
        if quicker and _cost(quicker, fleet) < _cost(best, fleet):
            best, best_method = quicker, method
    if best is None:
        raise _conflict_error(
            change, fleet, method, effort, find_violations(change, fleet, _additions_then_rest(todo))
        )
    return SearchResult(
        best,
        best_method,
        None if greedy_result is None else len(greedy_result),
        proven,
        sum(wave_duration_s(wave, fleet) for wave in best),
    )


def _cost(waves: Waves, fleet: Fleet) -> tuple[int, float]:
    return len(waves), sum(wave_duration_s(wave, fleet) for wave in waves)


def _max_waves(change: Change) -> int:
    return min([MAX_WAVES, *(within.waves for within in change.withins if within.waves)])


def _solve(
    change: Change, fleet: Fleet, todo: tuple[Action, ...], max_waves: int, method: str, effort: float
) -> tuple[Waves | None, bool]:
    """Return at most `max_waves` waves, or None, and whether the result is proven to be the best."""
    model = Model(change, fleet, todo, max_waves)
    # In a large model, a unit of effort takes longer than a second.
    fraction = min(1.0, FULL_EFFORT_VARIABLES / len(model.program.bounds))
    solution = SOLVERS[method](model.program, effort * fraction, None)
    if solution.values is None:
        return None, solution.proven
    waves = model.waves(solution.values)
    # Guards against a model that lacks a constraint: its waves are used only if the check passes.
    return (None, False) if find_violations(change, fleet, waves) else (waves, solution.proven)


def min_waves(change: Change, fleet: Fleet, todo: Iterable[Action]) -> int:
    """Return a lower bound for the number of waves, from the limits per rack, hall or fleet."""
    todo = tuple(todo)
    minimum = 1 if todo else 0
    acted = [action.node.id for action in todo]
    for limit in change.limits:
        busy = busy_outside_plan(limit, fleet, acted)
        scope_counts = Counter(
            limit_scope(limit, action.node) for action in todo if counts_toward_limit(limit, action)
        )
        for name, count in scope_counts.items():
            if (free := limit.most - busy[name]) > 0:
                minimum = max(minimum, math.ceil(count / free))
    return minimum


def _additions_then_rest(todo: tuple[Action, ...]) -> Waves:
    """Return two waves: all actions that add capacity, then all others.

    A statement that is violated at the end of these waves is violated at the end of every plan.
    """
    adds = tuple(action for action in todo if action.kind.adds_capacity)
    rest = tuple(action for action in todo if not action.kind.adds_capacity)
    return tuple(wave for wave in (adds, rest) if wave)


# ---- conflicts ---------------------------------------------------------------------------------------------


def feasible(change: Change, fleet: Fleet, method: str, effort: float) -> bool:
    """Return whether a plan was found; the cheap checks come first."""
    todo = actions(change, fleet)
    if any(
        not violation.wave
        for violation in find_violations(
            change.restricted_to([*change.goals, *change.floors, *change.spreads]),
            fleet,
            _additions_then_rest(todo),
        )
    ):
        return False
    if not todo or greedy(change, fleet, todo) is not None:
        return True
    return method != "greedy" and bool(
        _solve(change, fleet, todo, min(len(todo), _max_waves(change)), method, effort)[0]
    )


def smallest_conflict(
    statements: Sequence[object], possible: Callable[[list[object]], bool], rounds: int = 200
) -> list[object]:
    """Return a smallest set of statements that can't all hold, in their order; `possible` tests a set.

    The algorithm uses hitting sets: each conflict has a statement from the complement of each largest set
    that is possible. After `rounds` rounds, it returns a set from which no statement can be removed, but
    which may not be the smallest.
    """
    position = {id(statement): number for number, statement in enumerate(statements)}
    complements: list[set[int]] = []
    for _ in range(rounds):
        hitting_set = _smallest_hitting_set(complements, len(statements))
        chosen = [statements[index] for index in sorted(hitting_set)]
        if not possible(chosen):
            return chosen
        for statement in statements:
            if position[id(statement)] not in hitting_set and possible([*chosen, statement]):
                chosen.append(statement)
        complements.append(
            {position[id(statement)] for statement in statements}
            - {position[id(statement)] for statement in chosen}
        )
    kept = list(statements)
    for statement in list(statements):
        fewer = [other for other in kept if other is not statement]
        if not possible(fewer):
            kept = fewer
    return kept


def _smallest_hitting_set(sets: list[set[int]], count: int) -> set[int]:
    """Return the fewest numbers below `count` that hit every set; lower numbers are preferred."""
    if not sets:
        return set()
    program = Program()
    for index in range(count):
        program.goal[program.add_variable(0, 1)] = 1000 * count + index
    for members in sets:
        program.add_row(dict.fromkeys(sorted(members), 1), low=1)
    solution = SOLVERS["highs"](program, 10.0, None)
    if solution.values is None:  # at the time limit: any hitting set is correct, but may not be the smallest
        return set(itertools.chain.from_iterable({min(members)} for members in sets))
    return {index for index, value in enumerate(solution.values) if value}


def _conflict_error(
    change: Change, fleet: Fleet, method: str, effort: float, violations: list[Violation]
) -> Unplannable:
    """Return the error for a change without a plan: the smallest conflict, and one violation."""
    statements = change.statements()

    switch_on_goals = [goal for goal in change.goals if goal.want is TargetState.ON]

    def possible(kept: list[object]) -> bool:
        """Return whether statements can hold, with or without the goals that switch nodes on.

        Leaving out such a goal must not count as a relief of its own: the nodes may be on or not.
        """
        with_switch_on = [
            *(goal for goal in switch_on_goals if all(goal is not other for other in kept)),
            *kept,
        ]
        return feasible(change.restricted_to(kept), fleet, method, effort) or (
            len(with_switch_on) > len(kept)
            and feasible(change.restricted_to(with_switch_on), fleet, method, effort)
        )

    if possible(list(statements)):  # the effort was too small, or the method too weak
        return Unplannable(
            [f"no plan was found by {method} in the time given; nothing proves that there is none"]
        )
    conflict = smallest_conflict(statements, possible)
    within = change.restricted_to([*conflict, *(goal for goal in switch_on_goals if goal not in conflict)])
    figures = [
        str(violation)
        for violation in find_violations(within, fleet, _additions_then_rest(actions(within, fleet)))
    ]
    lines = [f"these {len(conflict)} exclude each other:" if len(conflict) > 1 else "this can't be:"]
    lines += [f"  {statement.line}" for statement in conflict]
    if figures or violations:
        lines.append(
            "with all else left out: " + (figures or [str(violation) for violation in violations])[0]
        )
    return Unplannable(lines, tuple(statement.line for statement in conflict))
