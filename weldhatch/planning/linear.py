"""A linear program in whole numbers, in no solver's terms, and the two solvers that may answer it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

FREE = 1 << 40  # no bound


@dataclass(slots=True)
class Program:
    """Minimise `goal` over whole variables within bounds, subject to rows low <= sum <= high."""

    bounds: list[tuple[int, int]] = field(default_factory=list)
    rows: list[tuple[dict[int, int], int, int]] = field(default_factory=list)
    goal: dict[int, int] = field(default_factory=dict)

    def variable(self, low: int, high: int) -> int:
        self.bounds.append((low, high))
        return len(self.bounds) - 1

    def row(self, terms: dict[int, int], low: int = -FREE, high: int = FREE) -> None:
        self.rows.append((terms, low, high))


@dataclass(slots=True, frozen=True)
class Found:
    """A solver's answer: values by variable, or None; `proven` where there is no better one, or none at
    all."""

    values: Sequence[int] | None
    proven: bool


Solver = Callable[[Program, float, Sequence[int] | None], Found]


def cp_sat(program: Program, effort: float, hint: Sequence[int] | None = None) -> Found:
    """CP-SAT of ortools. `effort` is its own measure of work, about a second each: the same verdict each
    time."""
    from ortools.sat.python import cp_model  # heavy: only where a plan is made

    model = cp_model.CpModel()
    variables = [model.new_int_var(low, high, "") for low, high in program.bounds]
    for terms, low, high in program.rows:
        total = cp_model.LinearExpr.weighted_sum([variables[at] for at in terms], list(terms.values()))
        if low == high:
            model.add(total == low)
        elif low <= -FREE:
            model.add(total <= high)
        elif high >= FREE:
            model.add(total >= low)
        else:
            model.add_linear_constraint(total, low, high)
    if program.goal:
        model.minimize(
            cp_model.LinearExpr.weighted_sum(
                [variables[at] for at in program.goal], list(program.goal.values())
            )
        )
    if hint is not None:
        for variable, value in zip(variables, hint, strict=True):
            model.add_hint(variable, int(value))
    solver = cp_model.CpSolver()
    solver.parameters.num_workers = 1
    solver.parameters.random_seed = 1
    solver.parameters.max_deterministic_time = effort
    status = solver.solve(model)
    if status in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        return Found([solver.value(variable) for variable in variables], status == cp_model.OPTIMAL)
    return Found(None, status == cp_model.INFEASIBLE)


def highs(program: Program, effort: float, hint: Sequence[int] | None = None) -> Found:
    """HiGHS by scipy. It takes no hint; `effort` bounds the nodes that it looks at, so that the same program
    has the same answer, and, at four times as much, the seconds."""
    import numpy
    from scipy.optimize import Bounds, LinearConstraint, milp
    from scipy.sparse import csr_matrix

    columns, places, values, lows, tops = [], [0], [], [], []
    for terms, low, high in program.rows:
        columns += terms.keys()
        values += terms.values()
        places.append(len(columns))
        lows.append(-numpy.inf if low <= -FREE else low)
        tops.append(numpy.inf if high >= FREE else high)
    count = len(program.bounds)
    goal = numpy.zeros(count)
    for at, weight in program.goal.items():
        goal[at] = weight
    low, high = (numpy.array([bound[n] for bound in program.bounds], dtype=float) for n in (0, 1))
    matrix = csr_matrix((values, columns, places), shape=(len(program.rows), count), dtype=float)
    told = milp(
        goal,
        integrality=numpy.ones(count),
        bounds=Bounds(low, high),
        constraints=LinearConstraint(matrix, lows, tops) if program.rows else (),
        options={"time_limit": 4 * effort, "node_limit": int(2000 * effort), "mip_rel_gap": 0.0},
    )
    if told.x is None:
        return Found(None, told.status == 2)
    return Found([round(value) for value in told.x], told.status == 0)


SOLVERS: dict[str, Solver] = {"cp-sat": cp_sat, "highs": highs}
