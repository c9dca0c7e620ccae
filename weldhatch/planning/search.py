"""Finds the waves of a change: greedy first, a solver to better it, and why there are none."""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from weldhatch.planning.actions import Action, UnplannableError, Waves, actions
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

WAVES_MOST = 24  # where greedy finds nothing, a solver looks no further than this
EFFORT = 2.0  # of one call of a solver, on a small model
VARIABLES = 150  # a model with more of them gets less in proportion


@dataclass(slots=True, frozen=True)
class SearchResult:
    """The waves found, by whom, and whether fewer are proven to be impossible."""

    waves: Waves
    method: str  # nothing, greedy, cp-sat, highs
    greedy_waves: int | None
    proven: bool
    seconds: float  # by the fleet's pace


def search(change: Change, fleet: Fleet, way: str = "highs", effort: float = EFFORT) -> SearchResult:
    """The best waves. Raises Unplannable with the smallest set of statements that exclude each other.

    `way` is a solver's name or `greedy`. A solver's waves are checked by `check.breaks` and taken only where
    they are no worse than the greedy ones.
    """
    todo = actions(change, fleet)
    if not todo:
        if broken := find_violations(change, fleet, ()):
            raise _impossible(change, fleet, way, effort, broken)
        return SearchResult((), "nothing", 0, True, 0.0)
    plain = greedy(change, fleet, todo)
    least = least_waves(change, fleet, todo)
    best, used = plain, "greedy"
    proven = plain is not None and len(plain) <= least
    if way != "greedy" and best is None:
        best, proven = _solve(change, fleet, todo, min(len(todo), _most(change)), way, effort)
        used = way
    elif way != "greedy" and len(best) > 1:
        if not proven:
            # Are fewer waves possible at all? Without the last wave the question is a smaller one.
            better, known = _solve(change, fleet, todo, len(best) - 1, way, effort)
            best, used, proven = (better, way, known) if better else (best, used, known)
        # With no fewer waves to be had, only time can be won, and little is spent on that.
        quicker, _ = _solve(change, fleet, todo, len(best), way, effort / 8)
        if quicker and _worth(quicker, fleet) < _worth(best, fleet):
            best, used = quicker, way
    if best is None:
        raise _impossible(change, fleet, way, effort, find_violations(change, fleet, _all_then_all(todo)))
    return SearchResult(
        best,
        used,
        None if plain is None else len(plain),
        proven,
        sum(wave_duration_s(wave, fleet) for wave in best),
    )


def _worth(waves: Waves, fleet: Fleet) -> tuple[int, float]:
    return len(waves), sum(wave_duration_s(wave, fleet) for wave in waves)


def _most(change: Change) -> int:
    return min([WAVES_MOST, *(within.waves for within in change.withins if within.waves)])


def _solve(
    change: Change, fleet: Fleet, todo: tuple[Action, ...], most: int, way: str, effort: float
) -> tuple[Waves | None, bool]:
    """Waves, at most so many, or None; and whether that answer is proven."""
    model = Model(change, fleet, todo, most)
    # A large model gets less of it: its work is slower than a second each.
    share = min(1.0, VARIABLES / len(model.program.bounds))
    found = SOLVERS[way](model.program, effort * share, None)
    if found.values is None:
        return None, found.proven
    waves = model.waves(found.values)
    # Guards against a model that says less than the checks: its waves are not taken on trust.
    return (None, False) if find_violations(change, fleet, waves) else (waves, found.proven)


def least_waves(change: Change, fleet: Fleet, todo: Iterable[Action]) -> int:
    """No plan has fewer waves: by the limits, each place takes so many a wave."""
    todo = tuple(todo)
    least = 1 if todo else 0
    acted = [action.node.id for action in todo]
    for limit in change.limits:
        busy = busy_outside_plan(limit, fleet, acted)
        here = Counter(
            limit_scope(limit, action.node) for action in todo if counts_toward_limit(limit, action)
        )
        for name, count in here.items():
            if (room := limit.most - busy[name]) > 0:
                least = max(least, math.ceil(count / room))
    return least


def _all_then_all(todo: tuple[Action, ...]) -> Waves:
    """What adds room in one wave, all else in the next: where even its end breaks something, all plans do."""
    adds = tuple(action for action in todo if action.kind.adds_capacity)
    rest = tuple(action for action in todo if not action.kind.adds_capacity)
    return tuple(wave for wave in (adds, rest) if wave)


# ---- why there is none -------------------------------------------------------------------------------------


def feasible(change: Change, fleet: Fleet, way: str, effort: float) -> bool:
    """Is there any plan? The cheap answers come first."""
    todo = actions(change, fleet)
    if any(
        not broken.wave
        for broken in find_violations(
            change.restricted_to([*change.goals, *change.floors, *change.spreads]), fleet, _all_then_all(todo)
        )
    ):
        return False
    if not todo or greedy(change, fleet, todo) is not None:
        return True
    return way != "greedy" and bool(
        _solve(change, fleet, todo, min(len(todo), _most(change)), way, effort)[0]
    )


def smallest_conflict(
    statements: Sequence[object], possible: Callable[[list[object]], bool], rounds: int = 200
) -> list[object]:
    """A smallest set of statements that can't all hold, in their order; `possible` tells of any set.

    By hitting sets: what is left out of each largest possible set has to be hit by every conflict. After so
    many rounds a set is returned from which nothing can be left out.
    """
    order = {id(one): n for n, one in enumerate(statements)}
    missed: list[set[int]] = []
    for _ in range(rounds):
        core = _hit(missed, len(statements))
        chosen = [statements[at] for at in sorted(core)]
        if not possible(chosen):
            return chosen
        for one in statements:
            if order[id(one)] not in core and possible([*chosen, one]):
                chosen.append(one)
        missed.append({order[id(one)] for one in statements} - {order[id(one)] for one in chosen})
    kept = list(statements)
    for one in list(statements):
        fewer = [other for other in kept if other is not one]
        if not possible(fewer):
            kept = fewer
    return kept


def _hit(missed: list[set[int]], count: int) -> set[int]:
    """The fewest numbers that hit every set; the earlier ones where that is a tie."""
    if not missed:
        return set()
    program = Program()
    for at in range(count):
        program.goal[program.variable(0, 1)] = 1000 * count + at
    for one in missed:
        program.row(dict.fromkeys(sorted(one), 1), low=1)
    found = SOLVERS["highs"](program, 10.0, None)
    if found.values is None:  # out of time: any hitting set goes on being right, only not smallest
        return set(itertools.chain.from_iterable({min(one)} for one in missed))
    return {at for at, value in enumerate(found.values) if value}


def _impossible(
    change: Change, fleet: Fleet, way: str, effort: float, broken: list[Violation]
) -> UnplannableError:
    """The error for a change that can't be: the smallest conflict, and what it comes to in figures."""
    statements = change.statements()

    helps = [goal for goal in change.goals if goal.want is TargetState.ON]

    def possible(kept: list[object]) -> bool:
        """Leaving out what switches on is no relief of itself: those nodes may still be on, or not."""
        with_all = [*(goal for goal in helps if all(goal is not one for one in kept)), *kept]
        return feasible(change.restricted_to(kept), fleet, way, effort) or (
            len(with_all) > len(kept) and feasible(change.restricted_to(with_all), fleet, way, effort)
        )

    if possible(list(statements)):  # only the time given was too short, or the way too plain
        return UnplannableError(
            [f"no plan was found by {way} in the time given; nothing proves that there is none"]
        )
    conflict = smallest_conflict(statements, possible)
    within = change.restricted_to([*conflict, *(goal for goal in helps if goal not in conflict)])
    figures = [str(one) for one in find_violations(within, fleet, _all_then_all(actions(within, fleet)))]
    lines = [f"these {len(conflict)} exclude each other:" if len(conflict) > 1 else "this can't be:"]
    lines += [f"  {one.line}" for one in conflict]
    if figures or broken:
        lines.append("with all else left out: " + (figures or [str(one) for one in broken])[0])
    return UnplannableError(lines, tuple(one.line for one in conflict))
