"""An integer linear program in a form independent of the solver, and the two solvers for it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

UNBOUNDED = 1 << 40  # a bound of a row that is this large or larger means no bound


@dataclass(slots=True)
class Program:
    """Minimise `goal` over integer variables within bounds, subject to rows low <= sum <= high.

    `goal` and the sums map the index of a variable to its coefficient.
    """

    bounds: list[tuple[int, int]] = field(default_factory=list)
    rows: list[tuple[dict[int, int], int, int]] = field(default_factory=list)
    goal: dict[int, int] = field(default_factory=dict)

    def add_variable(self, low: int, high: int) -> int:
        """Add a variable and return its index."""
        self.bounds.append((low, high))
        return len(self.bounds) - 1

    def add_row(self, terms: dict[int, int], low: int = -UNBOUNDED, high: int = UNBOUNDED) -> None:
        """Add a constraint: the sum of coefficient times variable lies between `low` and `high`."""
        self.rows.append((terms, low, high))


@dataclass(slots=True, frozen=True)
class Solution:
    """The result of a solver: the value of each variable, or None if no solution was found.

    `proven`: the solution is optimal, or there is provably none.
    """

    values: Sequence[int] | None
    proven: bool


Solver = Callable[[Program, float, Sequence[int] | None], Solution]


def cp_sat(program: Program, effort: float, hint: Sequence[int] | None = None) -> Solution:
    """Solve by CP-SAT of ortools.

    `effort` is a limit in the solver's deterministic time, whose unit is about a second, so that a program
    always has the same result.
    """
    from ortools.sat.python import cp_model  # slow to import, and needed only when a plan is made

    model = cp_model.CpModel()
    variables = [model.new_int_var(low, high, "") for low, high in program.bounds]
    for terms, low, high in program.rows:
        total = cp_model.LinearExpr.weighted_sum([variables[index] for index in terms], list(terms.values()))
        if low == high:
            model.add(total == low)
        elif low <= -UNBOUNDED:
            model.add(total <= high)
        elif high >= UNBOUNDED:
            model.add(total >= low)
        else:
            model.add_linear_constraint(total, low, high)
    if program.goal:
        model.minimize(
            cp_model.LinearExpr.weighted_sum(
                [variables[index] for index in program.goal], list(program.goal.values())
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
        return Solution([solver.value(variable) for variable in variables], status == cp_model.OPTIMAL)
    return Solution(None, status == cp_model.INFEASIBLE)


def highs(program: Program, effort: float, hint: Sequence[int] | None = None) -> Solution:
    """Solve by HiGHS of scipy, which takes no hint.

    `effort` limits the search nodes to 2000 for each unit, so that a program always has the same result. It
    also limits the time to 4 s for each unit.
    """
    import numpy
    from scipy.optimize import Bounds, LinearConstraint, milp
    from scipy.sparse import csr_matrix

    columns, row_starts, values, lower_limits, upper_limits = [], [0], [], [], []
    for terms, low, high in program.rows:
        columns += terms.keys()
        values += terms.values()
        row_starts.append(len(columns))
        lower_limits.append(-numpy.inf if low <= -UNBOUNDED else low)
        upper_limits.append(numpy.inf if high >= UNBOUNDED else high)
    count = len(program.bounds)
    goal = numpy.zeros(count)
    for index, weight in program.goal.items():
        goal[index] = weight
    low, high = (numpy.array([bound[n] for bound in program.bounds], dtype=float) for n in (0, 1))
    matrix = csr_matrix((values, columns, row_starts), shape=(len(program.rows), count), dtype=float)
    result = milp(
        goal,
        integrality=numpy.ones(count),
        bounds=Bounds(low, high),
        constraints=LinearConstraint(matrix, lower_limits, upper_limits) if program.rows else (),
        options={"time_limit": 4 * effort, "node_limit": int(2000 * effort), "mip_rel_gap": 0.0},
    )
    if result.x is None:
        return Solution(None, result.status == 2)
    return Solution([round(value) for value in result.x], result.status == 0)


SOLVERS: dict[str, Solver] = {"cp-sat": cp_sat, "highs": highs}
