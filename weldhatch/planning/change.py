"""What a change file asks for: goals for nodes, and what has to hold on the way.

Read from the forms of `weldhatch.sexpr` against a fleet; a node, rack, hall or class that the fleet does not
know is a fault of the file, with its place. All faults are told at once.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable
from enum import StrEnum

import msgspec

from weldhatch.planning.fleet import Fleet
from weldhatch.sexpr.reader import Atom, Fault, Form, FormError, Place, describe


class Line(msgspec.Struct, frozen=True):
    """A statement in the file's own words, and where it stands."""

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


class TargetState(StrEnum):
    ON = "on"  # ends ready, and warm
    DRAIN = "drain"  # ends draining, without tasks
    OFF = "off"  # drained, then stopped


class Goal(msgspec.Struct, frozen=True):
    line: Line
    want: TargetState
    nodes: tuple[str, ...]


class Floor(msgspec.Struct, frozen=True):
    """Ready capacity that has to be there at any moment: cores, and memory in GB."""

    line: Line
    hall: str  # '' for all halls
    rack: str  # '' for all racks
    cls: str  # '' for all kinds of node
    cores: float
    memory: float


class Limit(msgspec.Struct, frozen=True):
    """At most so many nodes draining, or starting, at a time in each rack, each hall, or the fleet."""

    line: Line
    most: int
    doing: str  # draining, starting
    per: str  # rack, hall, fleet


class Spread(msgspec.Struct, frozen=True):
    """So many tasks of one service of a class can be placed under the class's spread rule."""

    line: Line
    cls: str
    tasks: int


class Order(msgspec.Struct, frozen=True):
    """What happens to one set is over before the next begins."""

    line: Line
    sets: tuple[tuple[str, ...], ...]


class Within(msgspec.Struct, frozen=True):
    """The whole takes at most so many waves, or so many seconds by the fleet's pace; 0 for no such bound."""

    line: Line
    waves: int = 0
    seconds: float = 0.0


class Change(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    goals: tuple[Goal, ...] = ()
    floors: tuple[Floor, ...] = ()
    limits: tuple[Limit, ...] = ()
    spreads: tuple[Spread, ...] = ()
    orders: tuple[Order, ...] = ()
    withins: tuple[Within, ...] = ()
    survive_rack: bool = True  # floors hold also if the worst single rack falls

    def target_states(self) -> dict[str, TargetState]:
        return {node: goal.want for goal in self.goals for node in goal.nodes}

    def statements(self) -> tuple[Goal | Floor | Limit | Spread | Order | Within, ...]:
        """All that can exclude one another, goals first."""
        return (*self.goals, *self.floors, *self.limits, *self.spreads, *self.orders, *self.withins)

    def restricted_to(self, kept: Iterable[object]) -> Change:
        """The same change with some of its statements."""
        chosen = {id(one) for one in kept}
        return msgspec.structs.replace(
            self,
            **{
                name: tuple(one for one in getattr(self, name) if id(one) in chosen)
                for name in ("goals", "floors", "limits", "spreads", "orders", "withins")
            },
        )


def read_change(items: list[Form | Atom], fleet: Fleet) -> Change:
    """The change of a file's items (`sexpr.reader.read_whole`). Raises FormError with all its faults."""
    return _Reader(items, fleet).change


class _Reader:
    """Takes the file apart; faults are gathered, and what holds them is left out."""

    def __init__(self, items: list[Form | Atom], fleet: Fleet) -> None:
        self._fleet, self._faults = fleet, []
        self._sets: dict[str, tuple[str, ...]] = {}
        self._found: dict[str, list] = {
            name: [] for name in ("goals", "floors", "limits", "spreads", "orders", "withins")
        }
        self._survive: bool | None = None
        self._wanted: dict[str, tuple[TargetState, Place]] = {}
        name, body = self._body(items)
        heads: dict[str, Callable[[Form], None]] = {
            "on": self._goal,
            "drain": self._goal,
            "off": self._goal,
            "replace": self._replace,
            "keep": self._keep,
            "at-most": self._at_most,
            "spread": self._spread,
            "order": self._order,
            "within": self._within,
            "survive": self._survives,
        }
        for form in body:
            if isinstance(form, Form) and form.head == "set":
                self._define(form)
        for form in body:
            if not isinstance(form, Form) or form.head not in (*heads, "set"):
                self._unknown(form, (*heads, "set"))
            elif form.head != "set":
                heads[form.head](form)
        self._plausible()
        if self._faults:
            raise FormError(self._faults)
        self.change = Change(
            name=name,
            survive_rack=self._survive is not False,
            **{key: tuple(value) for key, value in self._found.items()},
        )

    # ---- the parts -----------------------------------------------------------------------------------------

    def _body(self, items: list[Form | Atom]) -> tuple[str, list[Form | Atom]]:
        changes = [item for item in items if isinstance(item, Form) and item.head == "change"]
        for item in items:
            if not (isinstance(item, Form) and item.head in ("change", "set")):
                self._unknown(item, ("change", "set", "include"))
        for extra in changes[1:]:
            self._fault(extra, "a second change in one file", "one (change ...)")
        if not changes:
            place = items[0].place if items else Place("the change file", 1, 1)
            raise FormError(
                [*self._faults, Fault(place, "no change stands in this file", '(change "NAME" ...)')]
            )
        parts = changes[0].items[1:]
        if not parts or not isinstance(parts[0], Atom) or parts[0].kind != "STRING":
            self._fault(changes[0], f"{describe(parts[0] if parts else None)} is no name", "a text in quotes")
            name, parts = "", parts[1:] if parts and isinstance(parts[0], Atom) else parts
        else:
            name, parts = str(parts[0].value), parts[1:]
        outer = [item for item in items if isinstance(item, Form) and item.head == "set"]
        return name, [*outer, *parts]

    def _define(self, form: Form) -> None:
        parts = form.items[1:]
        if len(parts) < 2 or not isinstance(parts[0], Atom) or parts[0].kind != "SYMBOL":
            self._fault(form, f"{describe(form)} defines nothing", "(set NAME NODE ...)")
            return
        name = str(parts[0].value)
        if name in self._sets:
            self._fault(form, f"the set {name} is defined twice", "another name")
        elif name in self._fleet.nodes:
            self._fault(form, f"{name} is a node", "a name that no node has")
        else:
            self._sets[name] = self._nodes(parts[1:], form)

    def _goal(self, form: Form) -> None:
        self._want(form, TargetState(form.head), self._nodes(form.items[1:], form))

    def _want(self, form: Form, want: TargetState, nodes: tuple[str, ...]) -> None:
        fresh = []
        for node in nodes:
            before = self._wanted.get(node)
            if before is not None and before[0] is not want:
                self._fault(
                    form,
                    f"{node} is to be {want}, and {before[0]} at line {before[1].line}",
                    "one of the two",
                )
            elif before is None:
                self._wanted[node] = (want, form.place)
                fresh.append(node)
        if fresh:
            self._found["goals"].append(Goal(self._line(form), want, tuple(fresh)))

    def _replace(self, form: Form) -> None:
        """(replace OLD ... with NEW ...): the new are warm before the old drain."""
        parts = form.items[1:]
        at = next((n for n, part in enumerate(parts) if isinstance(part, Atom) and part.value == "with"), -1)
        if at < 1 or at == len(parts) - 1:
            self._fault(
                form, f"{describe(form)} does not say what by what", "(replace NODE ... with NODE ...)"
            )
            return
        old, new = self._nodes(parts[:at], form), self._nodes(parts[at + 1 :], form)
        self._want(form, TargetState.ON, new)
        self._want(form, TargetState.OFF, old)
        self._found["orders"].append(Order(self._line(form), (new, old)))

    def _keep(self, form: Form) -> None:
        given: dict[str, object] = {}
        for part in form.items[1:]:
            head = part.head if isinstance(part, Form) else ""
            if head not in ("hall", "rack", "class", "cores", "memory"):
                self._unknown(part, ("hall", "rack", "class", "cores", "memory"))
                continue
            if head in given:
                self._fault(part, f"a second {head}", "one of each")
                continue
            if head in ("cores", "memory"):
                given[head] = self._figure(part, ("NUMBER",) if head == "cores" else ("SIZE", "NUMBER"))
            else:
                given[head] = self._known(part, head)
        if None in given.values():
            return
        cores, memory = float(given.get("cores", 0.0)), float(given.get("memory", 0.0))
        if not cores and not memory:
            self._fault(form, f"{describe(form)} keeps nothing", "(cores N) or (memory SIZE)")
            return
        self._found["floors"].append(
            Floor(
                self._line(form),
                str(given.get("hall", "")),
                str(given.get("rack", "")),
                str(given.get("class", "")),
                cores,
                memory,
            )
        )

    def _at_most(self, form: Form) -> None:
        parts = form.items[1:]
        shape = "(at-most N draining per rack), or starting, per hall or fleet"
        words = [str(part.value) for part in parts if isinstance(part, Atom)]
        if (
            len(words) != 4
            or len(parts) != 4
            or parts[0].kind != "NUMBER"
            or words[1] not in ("draining", "starting")
            or words[2] != "per"
            or words[3] not in ("rack", "hall", "fleet")
        ):
            self._fault(form, f"{describe(form)} can't be read", shape)
            return
        most = parts[0].value
        if most < 0 or most != int(most):
            self._fault(parts[0], f"{parts[0].text} nodes", "a whole number")
            return
        self._found["limits"].append(Limit(self._line(form), int(most), words[1], words[3]))

    def _spread(self, form: Form) -> None:
        parts = form.items[1:]
        if (
            len(parts) != 2
            or not all(isinstance(part, Atom) for part in parts)
            or parts[0].kind != "SYMBOL"
            or parts[1].kind != "NUMBER"
        ):
            self._fault(form, f"{describe(form)} can't be read", "(spread CLASS TASKS)")
            return
        if not self._one_of(parts[0], "class"):
            return
        if not self._fleet.classes[str(parts[0].value)].spread_most:
            self._fault(
                parts[0], f"the class {parts[0].text} has no spread rule in the fleet's file", "one that has"
            )
            return
        self._found["spreads"].append(Spread(self._line(form), str(parts[0].value), int(parts[1].value)))

    def _order(self, form: Form) -> None:
        sets = tuple(self._nodes([part], form) for part in form.items[1:])
        if len(sets) < 2:
            self._fault(form, f"{describe(form)} orders nothing", "(order SET SET ...)")
            return
        self._found["orders"].append(Order(self._line(form), sets))

    def _within(self, form: Form) -> None:
        match form.items[1:]:
            case [Atom(kind="DURATION", value=seconds)] if seconds > 0:
                self._found["withins"].append(Within(self._line(form), seconds=float(seconds)))
            case [Atom(kind="NUMBER", value=waves), Atom(value="waves" | "wave")] if waves >= 1:
                self._found["withins"].append(Within(self._line(form), waves=int(waves)))
            case _:
                self._fault(form, f"{describe(form)} can't be read", "(within 10m) or (within 4 waves)")

    def _survives(self, form: Form) -> None:
        words = [part.value for part in form.items[1:] if isinstance(part, Atom)]
        if words not in (["rack"], ["nothing"]) or self._survive is not None:
            self._fault(
                form, f"{describe(form)} can't be read, or comes twice", "(survive rack) or (survive nothing)"
            )
            return
        self._survive = words == ["rack"]

    # ---- words ---------------------------------------------------------------------------------------------

    def _nodes(self, parts: list[Form | Atom], within: Form) -> tuple[str, ...]:
        """The nodes that selectors name, in the order of the file, each once."""
        out: dict[str, None] = {}
        if not parts:
            self._fault(within, f"{describe(within)} names no node", "a node, or (all of rack NAME)")
        for part in parts:
            if isinstance(part, Atom):
                if part.kind == "SYMBOL" and str(part.value) in self._sets:
                    out.update(dict.fromkeys(self._sets[str(part.value)]))
                elif self._one_of(part, "node"):
                    out[str(part.value)] = None
                continue
            out.update(dict.fromkeys(self._selected(part)))
        return tuple(out)

    def _selected(self, form: Form) -> Iterable[str]:
        shape = "(all of rack NAME), of hall, of kind, of set, or (all of fleet)"
        match [part.value if isinstance(part, Atom) else None for part in form.items]:
            case ["all", "of", "fleet"]:
                return self._fleet.nodes
            case ["all", "of", "rack" | "hall" | "kind" as what, _]:
                name = form.items[3]
                if not self._one_of(name, what):
                    return ()
                return [node.id for node in self._fleet.nodes.values() if getattr(node, what) == name.value]
            case ["all", "of", "set", name]:
                if name not in self._sets:
                    self._unnamed(form.items[3], "set", self._sets)
                return self._sets.get(str(name), ())
        self._fault(form, f"{describe(form)} names no nodes", shape)
        return ()

    def _known(self, form: Form, what: str) -> str | None:
        parts = form.items[1:]
        if len(parts) != 1 or not isinstance(parts[0], Atom):
            self._fault(form, f"{describe(form)} can't be read", f"({what} NAME)")
            return None
        return str(parts[0].value) if self._one_of(parts[0], what) else None

    def _figure(self, form: Form, kinds: tuple[str, ...]) -> float | None:
        parts = form.items[1:]
        if (
            len(parts) != 1
            or not isinstance(parts[0], Atom)
            or parts[0].kind not in kinds
            or parts[0].value < 0
        ):
            word = "a size such as 300GB" if "SIZE" in kinds else "a number"
            self._fault(
                parts[0] if parts else form,
                f"{describe(parts[0] if parts else None)} is no figure here",
                word,
            )
            return None
        return float(parts[0].value)

    def _one_of(self, atom: Atom, what: str) -> bool:
        known = {
            "node": self._fleet.nodes,
            "rack": self._fleet.racks,
            "hall": self._fleet.halls,
            "kind": self._fleet.kinds,
            "class": self._fleet.classes,
        }[what]
        if atom.kind in ("SYMBOL", "STRING") and atom.value in known:
            return True
        self._unnamed(atom, what, known)
        return False

    def _unnamed(self, atom: Atom, what: str, known: Iterable[str]) -> None:
        near = difflib.get_close_matches(str(atom.value), list(known), 1, 0.7)
        self._fault(
            atom,
            f"no {what} is named {atom.text}",
            f"one such as {near[0]}" if near else f"a {what} of the fleet",
        )

    def _unknown(self, item: Form | Atom, heads: Iterable[str]) -> None:
        self._fault(item, f"{describe(item)} is not known here", "one of " + " ".join(heads))

    def _fault(self, item: Form | Atom, message: str, expected: str) -> None:
        self._faults.append(Fault(item.place, message, expected))

    @staticmethod
    def _line(form: Form) -> Line:
        return Line(str(form.place), form.shown)

    def _plausible(self) -> None:
        """Guards against floors that the whole of their nodes could not hold, whatever is done."""
        for floor in self._found["floors"]:
            nodes = [
                node for node in self._fleet.nodes.values() if counts_for_floor(floor, node, self._fleet)
            ]
            for what, asked in (("cores", floor.cores), ("memory", floor.memory)):
                there = sum(getattr(node, what) for node in nodes)
                if asked > there:
                    file, line, column = floor.line.place.rsplit(":", 2)
                    self._faults.append(
                        Fault(
                            Place(file, int(line), int(column)),
                            f"{floor.line.text} asks {asked:g} of {what}, and all {len(nodes)} nodes "
                            f"hold {there:g}",
                            f"at most {there:g}",
                        )
                    )


def counts_for_floor(floor: Floor, node: object, fleet: Fleet) -> bool:
    """Does a node's room count for a floor, once it is ready?"""
    return (
        (not floor.hall or node.hall == floor.hall)
        and (not floor.rack or node.rack == floor.rack)
        and (not floor.cls or fleet.classes[floor.cls].served_by(node.kind))
    )
