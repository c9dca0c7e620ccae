"""The content of a change file: goals for nodes, and constraints that hold while the change is carried out.

It is read from the forms of `weldhatch.sexpr` and checked against a fleet. A node, rack, hall, kind or class
that the fleet does not have is reported as a fault with its place in the file, all faults at once.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable
from enum import StrEnum

import msgspec

from weldhatch.planning.fleet import Fleet
from weldhatch.sexpr.reader import Atom, Fault, Form, FormError, Position, describe


class Line(msgspec.Struct, frozen=True):
    """A statement in the file's own words, and where it stands."""

    place: str
    text: str

    def __str__(self) -> str:
        """Return the statement after its place."""
        return f"{self.place}: {self.text}"


class TargetState(StrEnum):
    """The state in which a change leaves a node."""

    ON = "on"  # ready and warm
    DRAIN = "drain"  # draining, without tasks
    OFF = "off"  # drained, then switched off


class Goal(msgspec.Struct, frozen=True):
    """The target state of some nodes."""

    line: Line
    want: TargetState
    nodes: tuple[str, ...]


class Floor(msgspec.Struct, frozen=True):
    """The least ready capacity at any moment of the change: cores, and memory in GB."""

    line: Line
    hall: str  # '' means all halls
    rack: str  # '' means all racks
    cls: str  # the class whose nodes count; '' means all nodes
    cores: float
    memory: float


class Limit(msgspec.Struct, frozen=True):
    """The most nodes that may drain, or start, at the same time in each rack, each hall, or the fleet."""

    line: Line
    most: int
    doing: str  # 'draining' or 'starting'
    per: str  # 'rack', 'hall' or 'fleet'


class Spread(msgspec.Struct, frozen=True):
    """The number of tasks of one service of a class that can be placed under the class's spread rule."""

    line: Line
    cls: str
    tasks: int


class Order(msgspec.Struct, frozen=True):
    """Sets of nodes that are treated one after the other: a set is done before the next one begins."""

    line: Line
    sets: tuple[tuple[str, ...], ...]


class Within(msgspec.Struct, frozen=True):
    """The most waves, or seconds by the fleet's pace, that the whole change may take; 0 means no bound."""

    line: Line
    waves: int = 0
    seconds: float = 0.0


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """The statements of a change file, by kind."""

    name: str
    goals: tuple[Goal, ...] = ()
    floors: tuple[Floor, ...] = ()
    limits: tuple[Limit, ...] = ()
    spreads: tuple[Spread, ...] = ()
    orders: tuple[Order, ...] = ()
    withins: tuple[Within, ...] = ()
    survive_rack: bool = True  # floors also hold if the rack with the most ready capacity fails

    def target_states(self) -> dict[str, TargetState]:
        """Return the target state of each node that a goal names."""
        return {node: goal.want for goal in self.goals for node in goal.nodes}

    def statements(self) -> tuple[Goal | Floor | Limit | Spread | Order | Within, ...]:
        """Return all statements that can exclude one another, goals first."""
        return (*self.goals, *self.floors, *self.limits, *self.spreads, *self.orders, *self.withins)

    def restricted_to(self, kept: Iterable[object]) -> Change:
        """Return the change with only the statements in `kept`, which are compared by identity."""
        chosen = {id(statement) for statement in kept}
        return msgspec.structs.replace(
            self,
            **{
                name: tuple(statement for statement in getattr(self, name) if id(statement) in chosen)
                for name in ("goals", "floors", "limits", "spreads", "orders", "withins")
            },
        )


def read_change(items: list[Form | Atom], fleet: Fleet) -> Change:
    """Return the change in items of `sexpr.reader.read_with_includes`. Raises FormError with all faults."""
    return _ChangeReader(items, fleet).change


class _ChangeReader:
    """Reads the items of one file. Faults are collected; a statement that has one is left out."""

    def __init__(self, items: list[Form | Atom], fleet: Fleet) -> None:
        self._fleet, self._faults = fleet, []
        self._sets: dict[str, tuple[str, ...]] = {}
        self._statements: dict[str, list] = {
            name: [] for name in ("goals", "floors", "limits", "spreads", "orders", "withins")
        }
        self._survive_rack: bool | None = None
        self._targets: dict[str, tuple[TargetState, Position]] = {}
        name, body = self._read_body(items)
        handlers: dict[str, Callable[[Form], None]] = {
            "on": self._read_goal,
            "drain": self._read_goal,
            "off": self._read_goal,
            "replace": self._read_replace,
            "keep": self._read_keep,
            "at-most": self._read_at_most,
            "spread": self._read_spread,
            "order": self._read_order,
            "within": self._read_within,
            "survive": self._read_survive,
        }
        for form in body:
            if isinstance(form, Form) and form.head == "set":
                self._define_set(form)
        for form in body:
            if not isinstance(form, Form) or form.head not in (*handlers, "set"):
                self._add_unknown_fault(form, (*handlers, "set"))
            elif form.head != "set":
                handlers[form.head](form)
        self._check_floors()
        if self._faults:
            raise FormError(self._faults)
        self.change = Change(
            name=name,
            survive_rack=self._survive_rack is not False,
            **{key: tuple(value) for key, value in self._statements.items()},
        )

    # ---- statements ----------------------------------------------------------------------------------------

    def _read_body(self, items: list[Form | Atom]) -> tuple[str, list[Form | Atom]]:
        changes = [item for item in items if isinstance(item, Form) and item.head == "change"]
        for item in items:
            if not (isinstance(item, Form) and item.head in ("change", "set")):
                self._add_unknown_fault(item, ("change", "set", "include"))
        for extra in changes[1:]:
            self._add_fault(extra, "a second change in one file", "one (change ...)")
        if not changes:
            place = items[0].position if items else Position("the change file", 1, 1)
            raise FormError(
                [*self._faults, Fault(place, "no change stands in this file", '(change "NAME" ...)')]
            )
        parts = changes[0].items[1:]
        if not parts or not isinstance(parts[0], Atom) or parts[0].kind != "STRING":
            self._add_fault(
                changes[0], f"{describe(parts[0] if parts else None)} is no name", "a text in quotes"
            )
            name, parts = "", parts[1:] if parts and isinstance(parts[0], Atom) else parts
        else:
            name, parts = str(parts[0].value), parts[1:]
        outer_sets = [item for item in items if isinstance(item, Form) and item.head == "set"]
        return name, [*outer_sets, *parts]

    def _define_set(self, form: Form) -> None:
        parts = form.items[1:]
        if len(parts) < 2 or not isinstance(parts[0], Atom) or parts[0].kind != "SYMBOL":
            self._add_fault(form, f"{describe(form)} defines nothing", "(set NAME NODE ...)")
            return
        name = str(parts[0].value)
        if name in self._sets:
            self._add_fault(form, f"the set {name} is defined twice", "another name")
        elif name in self._fleet.nodes:
            self._add_fault(form, f"{name} is a node", "a name that no node has")
        else:
            self._sets[name] = self._select_nodes(parts[1:], form)

    def _read_goal(self, form: Form) -> None:
        self._add_goal(form, TargetState(form.head), self._select_nodes(form.items[1:], form))

    def _add_goal(self, form: Form, target: TargetState, nodes: tuple[str, ...]) -> None:
        new_nodes = []
        for node in nodes:
            before = self._targets.get(node)
            if before is not None and before[0] is not target:
                self._add_fault(
                    form,
                    f"{node} is to be {target}, and {before[0]} at line {before[1].line}",
                    "one of the two",
                )
            elif before is None:
                self._targets[node] = (target, form.position)
                new_nodes.append(node)
        if new_nodes:
            self._statements["goals"].append(Goal(self._statement_line(form), target, tuple(new_nodes)))

    def _read_replace(self, form: Form) -> None:
        """Read (replace OLD ... with NEW ...): the new nodes are warm before the old ones drain."""
        parts = form.items[1:]
        with_index = next(
            (index for index, part in enumerate(parts) if isinstance(part, Atom) and part.value == "with"), -1
        )
        if with_index < 1 or with_index == len(parts) - 1:
            self._add_fault(
                form, f"{describe(form)} does not say what by what", "(replace NODE ... with NODE ...)"
            )
            return
        old, new = (
            self._select_nodes(parts[:with_index], form),
            self._select_nodes(parts[with_index + 1 :], form),
        )
        self._add_goal(form, TargetState.ON, new)
        self._add_goal(form, TargetState.OFF, old)
        self._statements["orders"].append(Order(self._statement_line(form), (new, old)))

    def _read_keep(self, form: Form) -> None:
        given: dict[str, object] = {}
        for part in form.items[1:]:
            head = part.head if isinstance(part, Form) else ""
            if head not in ("hall", "rack", "class", "cores", "memory"):
                self._add_unknown_fault(part, ("hall", "rack", "class", "cores", "memory"))
                continue
            if head in given:
                self._add_fault(part, f"a second {head}", "one of each")
                continue
            if head in ("cores", "memory"):
                given[head] = self._read_number(part, ("NUMBER",) if head == "cores" else ("SIZE", "NUMBER"))
            else:
                given[head] = self._read_name(part, head)
        if None in given.values():
            return
        cores, memory = float(given.get("cores", 0.0)), float(given.get("memory", 0.0))
        if not cores and not memory:
            self._add_fault(form, f"{describe(form)} keeps nothing", "(cores N) or (memory SIZE)")
            return
        self._statements["floors"].append(
            Floor(
                self._statement_line(form),
                str(given.get("hall", "")),
                str(given.get("rack", "")),
                str(given.get("class", "")),
                cores,
                memory,
            )
        )

    def _read_at_most(self, form: Form) -> None:
        parts = form.items[1:]
        expected = "(at-most N draining per rack), or starting, per hall or fleet"
        words = [str(part.value) for part in parts if isinstance(part, Atom)]
        if (
            len(words) != 4
            or len(parts) != 4
            or parts[0].kind != "NUMBER"
            or words[1] not in ("draining", "starting")
            or words[2] != "per"
            or words[3] not in ("rack", "hall", "fleet")
        ):
            self._add_fault(form, f"{describe(form)} can't be read", expected)
            return
        max_nodes = parts[0].value
        if max_nodes < 0 or max_nodes != int(max_nodes):
            self._add_fault(parts[0], f"{parts[0].text} nodes", "a whole number")
            return
        self._statements["limits"].append(
            Limit(self._statement_line(form), int(max_nodes), words[1], words[3])
        )

    def _read_spread(self, form: Form) -> None:
        parts = form.items[1:]
        if (
            len(parts) != 2
            or not all(isinstance(part, Atom) for part in parts)
            or parts[0].kind != "SYMBOL"
            or parts[1].kind != "NUMBER"
        ):
            self._add_fault(form, f"{describe(form)} can't be read", "(spread CLASS TASKS)")
            return
        if not self._check_name(parts[0], "class"):
            return
        if not self._fleet.classes[str(parts[0].value)].spread_most:
            self._add_fault(
                parts[0], f"the class {parts[0].text} has no spread rule in the fleet's file", "one that has"
            )
            return
        self._statements["spreads"].append(
            Spread(self._statement_line(form), str(parts[0].value), int(parts[1].value))
        )

    def _read_order(self, form: Form) -> None:
        sets = tuple(self._select_nodes([part], form) for part in form.items[1:])
        if len(sets) < 2:
            self._add_fault(form, f"{describe(form)} orders nothing", "(order SET SET ...)")
            return
        self._statements["orders"].append(Order(self._statement_line(form), sets))

    def _read_within(self, form: Form) -> None:
        match form.items[1:]:
            case [Atom(kind="DURATION", value=seconds)] if seconds > 0:
                self._statements["withins"].append(Within(self._statement_line(form), seconds=float(seconds)))
            case [Atom(kind="NUMBER", value=waves), Atom(value="waves" | "wave")] if waves >= 1:
                self._statements["withins"].append(Within(self._statement_line(form), waves=int(waves)))
            case _:
                self._add_fault(form, f"{describe(form)} can't be read", "(within 10m) or (within 4 waves)")

    def _read_survive(self, form: Form) -> None:
        words = [part.value for part in form.items[1:] if isinstance(part, Atom)]
        if words not in (["rack"], ["nothing"]) or self._survive_rack is not None:
            self._add_fault(
                form, f"{describe(form)} can't be read, or comes twice", "(survive rack) or (survive nothing)"
            )
            return
        self._survive_rack = words == ["rack"]

    # ---- selectors, names and numbers ----------------------------------------------------------------------

    def _select_nodes(self, parts: list[Form | Atom], statement: Form) -> tuple[str, ...]:
        """Return the nodes that selectors name, in the order of the file, without duplicates."""
        selected: dict[str, None] = {}
        if not parts:
            self._add_fault(
                statement, f"{describe(statement)} names no node", "a node, or (all of rack NAME)"
            )
        for part in parts:
            if isinstance(part, Atom):
                if part.kind == "SYMBOL" and str(part.value) in self._sets:
                    selected.update(dict.fromkeys(self._sets[str(part.value)]))
                elif self._check_name(part, "node"):
                    selected[str(part.value)] = None
                continue
            selected.update(dict.fromkeys(self._select_all_of(part)))
        return tuple(selected)

    def _select_all_of(self, form: Form) -> Iterable[str]:
        expected = "(all of rack NAME), of hall, of kind, of set, or (all of fleet)"
        match [part.value if isinstance(part, Atom) else None for part in form.items]:
            case ["all", "of", "fleet"]:
                return self._fleet.nodes
            case ["all", "of", "rack" | "hall" | "kind" as what, _]:
                name = form.items[3]
                if not self._check_name(name, what):
                    return ()
                return [node.id for node in self._fleet.nodes.values() if getattr(node, what) == name.value]
            case ["all", "of", "set", name]:
                if name not in self._sets:
                    self._add_name_fault(form.items[3], "set", self._sets)
                return self._sets.get(str(name), ())
        self._add_fault(form, f"{describe(form)} names no nodes", expected)
        return ()

    def _read_name(self, form: Form, what: str) -> str | None:
        parts = form.items[1:]
        if len(parts) != 1 or not isinstance(parts[0], Atom):
            self._add_fault(form, f"{describe(form)} can't be read", f"({what} NAME)")
            return None
        return str(parts[0].value) if self._check_name(parts[0], what) else None

    def _read_number(self, form: Form, kinds: tuple[str, ...]) -> float | None:
        parts = form.items[1:]
        if (
            len(parts) != 1
            or not isinstance(parts[0], Atom)
            or parts[0].kind not in kinds
            or parts[0].value < 0
        ):
            expected = "a size such as 300GB" if "SIZE" in kinds else "a number"
            self._add_fault(
                parts[0] if parts else form,
                f"{describe(parts[0] if parts else None)} is no figure here",
                expected,
            )
            return None
        return float(parts[0].value)

    def _check_name(self, atom: Atom, what: str) -> bool:
        known = {
            "node": self._fleet.nodes,
            "rack": self._fleet.racks,
            "hall": self._fleet.halls,
            "kind": self._fleet.kinds,
            "class": self._fleet.classes,
        }[what]
        if atom.kind in ("SYMBOL", "STRING") and atom.value in known:
            return True
        self._add_name_fault(atom, what, known)
        return False

    def _add_name_fault(self, atom: Atom, what: str, known: Iterable[str]) -> None:
        similar = difflib.get_close_matches(str(atom.value), list(known), 1, 0.7)
        self._add_fault(
            atom,
            f"no {what} is named {atom.text}",
            f"one such as {similar[0]}" if similar else f"a {what} of the fleet",
        )

    def _add_unknown_fault(self, item: Form | Atom, expected: Iterable[str]) -> None:
        self._add_fault(item, f"{describe(item)} is not known here", "one of " + " ".join(expected))

    def _add_fault(self, item: Form | Atom, message: str, expected: str) -> None:
        self._faults.append(Fault(item.position, message, expected))

    @staticmethod
    def _statement_line(form: Form) -> Line:
        return Line(str(form.position), form.one_line)

    def _check_floors(self) -> None:
        """Guards against floors that exceed the capacity of all the nodes that count for them."""
        for floor in self._statements["floors"]:
            nodes = [
                node for node in self._fleet.nodes.values() if counts_for_floor(floor, node, self._fleet)
            ]
            for what, required in (("cores", floor.cores), ("memory", floor.memory)):
                available = sum(getattr(node, what) for node in nodes)
                if required > available:
                    file, line, column = floor.line.place.rsplit(":", 2)
                    self._faults.append(
                        Fault(
                            Position(file, int(line), int(column)),
                            f"{floor.line.text} asks {required:g} of {what}, and all {len(nodes)} nodes "
                            f"hold {available:g}",
                            f"at most {available:g}",
                        )
                    )


def counts_for_floor(floor: Floor, node: object, fleet: Fleet) -> bool:
    """Return whether a node's capacity counts for a floor while the node is ready."""
    return (
        (not floor.hall or node.hall == floor.hall)
        and (not floor.rack or node.rack == floor.rack)
        and (not floor.cls or fleet.classes[floor.cls].served_by(node.kind))
    )
