"""Reads S-expressions by `grammar.lark`: forms and atoms with places, and all faults of a text at once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import TYPE_CHECKING, cast

import lark

if TYPE_CHECKING:
    _Tree = lark.Tree[lark.Token]

DURATIONS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
SIZES = {"MB": 0.001, "GB": 1.0, "TB": 1000.0}
DEPTH_MOST = 60
TEXT_MOST = 4 << 20
INCLUDES_MOST = 64
_ESCAPES = {'\\"': '"', "\\\\": "\\", "\\n": "\n", "\\t": "\t"}


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """Where something stands: file, line and column, both counted from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        """Return `file:line:column`."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that can't be read: where, what was found, and the word that was expected there."""

    position: Position
    message: str
    expected: str = ""

    def __str__(self) -> str:
        """Return the fault on one line, as users see it."""
        return f"{self.position}: {self.message}" + (f" (expected {self.expected})" if self.expected else "")


class FormError(ValueError):
    """A text with faults: all of them, in the order of their places."""

    def __init__(self, faults: list[Fault]) -> None:
        """Keep the faults, each once, in the order of their places."""
        self.faults = sorted(set(faults), key=lambda fault: fault.position)
        super().__init__("\n".join(map(str, self.faults)))


@dataclass(slots=True, frozen=True)
class Atom:
    """A word, a text, a number, a duration (seconds) or a size (GB)."""

    kind: str  # SYMBOL, STRING, NUMBER, DURATION, SIZE
    value: str | float
    text: str
    position: Position

    @property
    def one_line(self) -> str:
        """Its text as in the file."""
        return self.text


@dataclass(slots=True, frozen=True)
class Comment:
    """A comment with its semicolons, without trailing space."""

    text: str
    position: Position


@dataclass(slots=True)
class Form:
    """One pair of brackets. `all` has the comments too, `items` has what means something."""

    position: Position
    end_line: int
    children: list[Form | Atom | Comment] = field(default_factory=list)

    @property
    def items(self) -> list[Form | Atom]:
        """What it holds, without comments."""
        return [item for item in self.children if not isinstance(item, Comment)]

    @property
    def head(self) -> str:
        """Its first word, or '' where it begins with something else."""
        first = next(iter(self.items), None)
        return str(first.value) if isinstance(first, Atom) and first.kind == "SYMBOL" else ""

    @property
    def one_line(self) -> str:
        """The form on one line, without comments."""
        return "(" + " ".join(item.one_line for item in self.items) + ")"


@cache
def _parser() -> lark.Lark:
    text = (Path(__file__).parent / "grammar.lark").read_text(encoding="utf-8")
    return lark.Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def read(text: str, file: str) -> list[Form | Atom | Comment]:
    """Return the items of a text. Raises FormError with every fault of the text.

    Errors do not end the reading: what can't be read is left out, and reading goes on behind it, so that a
    person mends a file in one go.
    """
    if len(text) > TEXT_MOST:
        raise FormError([Fault(Position(file, 1, 1), f"a file of over {TEXT_MOST >> 20} MiB")])
    handler = _ParseErrors(text, file)
    faults = handler.faults
    try:
        tree = _parser().parse(text, on_error=handler.handle)
    except lark.UnexpectedInput:  # only the end of the file can't be stepped over: a bracket is open
        if not faults:  # else the brackets that were left out with a fault would be reported again
            line, column = _unclosed(text)
            faults.append(Fault(Position(file, line, column), "this '(' is never closed", "')'"))
        raise FormError(faults) from None
    except RecursionError:
        raise FormError([Fault(Position(file, 1, 1), "brackets nested too deeply")]) from None
    items = [_item(child, file, 0, faults) for child in _trees(tree)]
    if faults:
        raise FormError(faults)
    return items


class _ParseErrors:
    """Collects the faults of one text while the parser goes on behind each."""

    def __init__(self, text: str, file: str) -> None:
        self._text = text
        self._file = file
        self.faults: list[Fault] = []

    def handle(self, error: lark.UnexpectedInput) -> bool:
        """Note an error of the parser; return whether it can go on."""
        if isinstance(error, lark.UnexpectedCharacters):
            self._handle_characters(error)
            return True
        if isinstance(error, lark.UnexpectedToken) and error.token.type != "$END":
            self._add(error.token.line or 1, error.token.column or 1, "a ')' that closes nothing", "'('")
            return True
        return False

    def _handle_characters(self, error: lark.UnexpectedCharacters) -> None:
        rest = self._text[error.pos_in_stream or 0 :]
        unreadable = rest.split(None, 1)[0] if rest.split() else rest[:1]
        if unreadable[0] == '"':
            message = "a text in quotes that does not end on its line, or has an unknown escape"
        else:
            message = f"{unreadable[:40]!r} can't be read"
        expected = "a word, a number with a known unit, a text or a bracket"
        if len(unreadable) > 1 and unreadable[0] != '"':
            units = " ".join([*DURATIONS, *SIZES])
            expected = f"a word that begins with a letter, or a number with one of {units}"
        self._add(error.line, error.column, message, expected)
        _skip(error, unreadable)

    def _add(self, line: int, column: int, message: str, expected: str) -> None:
        self.faults.append(Fault(Position(self._file, line, column), message, expected))


def _skip(error: lark.UnexpectedCharacters, unreadable: str) -> None:
    """Let the lexer go on behind a bad word, which would be reported once for each of its letters."""
    lexer_state = error.interactive_parser.lexer_thread.state if error.interactive_parser else None
    if lexer_state is None:
        return
    bare = unreadable.split("(")[0].split(")")[0] or unreadable[0]
    # The handler of lark steps over one character itself.
    for character in bare[:-1]:
        lexer_state.line_ctr.feed(lark.lexer.Token("SKIPPED", character), False)


def _unclosed(text: str) -> tuple[int, int]:
    """Line and column of the innermost bracket that stays open at the end."""
    open_at: list[tuple[int, int]] = []
    line = column = 1
    quoted = comment = False
    previous = ""
    for character in text:
        if character == "\n":
            line += 1
            column = 1
            quoted = comment = False
            previous = ""
            continue
        if comment:
            pass
        elif character == '"' and not (quoted and previous == "\\"):
            quoted = not quoted
        elif not quoted:
            if character == ";":
                comment = True
            elif character == "(":
                open_at.append((line, column))
            elif character == ")" and open_at:
                open_at.pop()
        previous = "" if previous == "\\" else character
        column += 1
    return open_at[-1] if open_at else (line, column)


def _trees(tree: _Tree) -> list[_Tree]:
    """Return the children of a rule that, by the grammar, has no bare tokens."""
    return cast("list[_Tree]", tree.children)


def _item(tree: _Tree, file: str, depth: int, faults: list[Fault]) -> Form | Atom | Comment:
    if tree.data == "form":
        position = Position(file, tree.meta.line, tree.meta.column)
        if depth > DEPTH_MOST:
            faults.append(Fault(position, "brackets nested too deeply", f"at most {DEPTH_MOST}"))
            return Form(position, tree.meta.end_line)
        return Form(
            position, tree.meta.end_line, [_item(child, file, depth + 1, faults) for child in _trees(tree)]
        )
    token = cast(lark.Token, tree.children[0])
    position = Position(file, token.line or 1, token.column or 1)
    if tree.data == "comment":
        return Comment(str(token).rstrip(), position)
    return Atom(token.type, _value(token), str(token), position)


def _value(token: lark.Token) -> str | float:
    text = str(token)
    if token.type == "STRING":
        out = []
        at = 1
        while at < len(text) - 1:
            step = 2 if text[at] == "\\" else 1
            out.append(_ESCAPES.get(text[at : at + step], text[at : at + step]))
            at += step
        return "".join(out)
    for kind, units in (("DURATION", DURATIONS), ("SIZE", SIZES)):
        if token.type == kind:
            unit = next(unit for unit in sorted(units, key=len, reverse=True) if text.endswith(unit))
            return float(text.removesuffix(unit)) * units[unit]
    return float(text) if token.type == "NUMBER" else text


def _included_name(include: Form) -> str | None:
    """Return the one file name of an `(include "FILE")`; None if it is anything else."""
    names = include.items[1:]
    if len(names) != 1 or not isinstance(names[0], Atom) or names[0].kind != "STRING":
        return None
    return str(names[0].value)


def _read_file(
    path: str, load: Callable[[str], str], at: Position | None, faults: list[Fault]
) -> list[Form | Atom | Comment]:
    """Read one file that is included `at` a place; where it can't be read, add to `faults`."""
    try:
        return read(load(path), path)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        faults.append(Fault(at or Position(path, 1, 1), f"{path}: {reason}"))
    except FormError as error:
        faults.extend(error.faults)
    return []


def read_with_includes(path: str, load: Callable[[str], str]) -> list[Form | Atom]:
    """Return the items of a file and of all that it includes, in order. Raises FormError with all faults.

    load: gives the text of a path, or raises OSError.

    `(include "other.sets")` at the top level names a file beside the one that holds it.
    """
    faults: list[Fault] = []
    count = 0

    def one(path: str, way: tuple[str, ...], at: Position | None) -> list[Form | Atom]:
        nonlocal count
        out: list[Form | Atom] = []
        count += 1
        if path in way or count > INCLUDES_MOST:
            why = "includes itself" if path in way else f"is one of over {INCLUDES_MOST} includes"
            faults.append(Fault(at or Position(path, 1, 1), f"{path} {why}: {' -> '.join((*way, path))}"))
            return out
        for item in _read_file(path, load, at, faults):
            if isinstance(item, Form) and item.head == "include":
                name = _included_name(item)
                if name is not None:
                    out += one(str(Path(path).parent / name), (*way, path), item.position)
                else:
                    faults.append(Fault(item.position, f"{item.one_line} names no file", '(include "FILE")'))
            elif not isinstance(item, Comment):
                out.append(item)
        return out

    items = one(path, (), None)
    if faults:
        raise FormError(faults)
    return items


def describe(item: Form | Atom | None) -> str:
    """Return an item as a fault names it."""
    if item is None:
        return "nothing more"
    if isinstance(item, Form):
        return item.one_line if len(item.one_line) <= 60 else f"({item.head} ...)"
    return item.text if item.kind == "STRING" else repr(item.text)
