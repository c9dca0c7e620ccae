"""Parses S-expressions with `grammar.lark` into forms and atoms with positions; reports all faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import TYPE_CHECKING, cast

import lark

if TYPE_CHECKING:
    _Tree = lark.Tree[lark.Token]

DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
SIZE_UNITS_GB = {"MB": 0.001, "GB": 1.0, "TB": 1000.0}
MAX_DEPTH = 60
MAX_TEXT_CHARS = 4 << 20
MAX_FILES = 64  # the top file and all includes
_ESCAPES = {'\\"': '"', "\\\\": "\\", "\\n": "\n", "\\t": "\t"}


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """A position in a file; line and column are counted from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        """Return `file:line:column`."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(slots=True, frozen=True)
class Fault:
    """One error in a text: its position, what is wrong, and what was expected instead."""

    position: Position
    message: str
    expected: str = ""

    def __str__(self) -> str:
        """Return the fault as one line for the user."""
        return f"{self.position}: {self.message}" + (f" (expected {self.expected})" if self.expected else "")


class FormError(ValueError):
    """A text with faults; `faults` holds all of them, ordered by position."""

    def __init__(self, faults: list[Fault]) -> None:
        """Sort the faults by position, without duplicates."""
        self.faults = sorted(set(faults), key=lambda fault: fault.position)
        super().__init__("\n".join(map(str, self.faults)))


@dataclass(slots=True, frozen=True)
class Atom:
    """A symbol, string, number, duration or size; `value` is in seconds for durations, in GB for sizes."""

    kind: str  # SYMBOL, STRING, NUMBER, DURATION, SIZE
    value: str | float
    text: str
    position: Position

    @property
    def one_line(self) -> str:
        """The atom as written in the file."""
        return self.text


@dataclass(slots=True, frozen=True)
class Comment:
    """A comment, with its semicolons and without trailing white space."""

    text: str
    position: Position


@dataclass(slots=True)
class Form:
    """A parenthesized form. `children` includes comments; `items` leaves them out."""

    position: Position
    end_line: int
    children: list[Form | Atom | Comment] = field(default_factory=list)

    @property
    def items(self) -> list[Form | Atom]:
        """The forms and atoms directly in the form, without comments."""
        return [item for item in self.children if not isinstance(item, Comment)]

    @property
    def head(self) -> str:
        """The symbol that begins the form, or '' if the form does not begin with a symbol."""
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
    """Return the items of a text. Raises FormError with all faults of the text.

    The parser skips text that it cannot parse and continues after it, so that users can correct all faults
    of a file in one pass.
    """
    if len(text) > MAX_TEXT_CHARS:
        raise FormError([Fault(Position(file, 1, 1), f"file is larger than {MAX_TEXT_CHARS >> 20} MiB")])
    handler = _ParseErrors(text, file)
    faults = handler.faults
    try:
        tree = _parser().parse(text, on_error=handler.handle)
    except lark.UnexpectedInput:
        # The handler recovers from all errors but the end of the file within a form. That error is reported
        # only alone, since text skipped for another fault may have contained the closing bracket.
        if not faults:
            line, column = _unclosed_bracket(text)
            faults.append(Fault(Position(file, line, column), "this '(' is never closed", "')'"))
        raise FormError(faults) from None
    except RecursionError:
        raise FormError([Fault(Position(file, 1, 1), "brackets nested too deeply")]) from None
    items = [_convert(child, file, 0, faults) for child in _subtrees(tree)]
    if faults:
        raise FormError(faults)
    return items


class _ParseErrors:
    """Collects the faults of one text and lets the parser continue after each."""

    def __init__(self, text: str, file: str) -> None:
        self._text = text
        self._file = file
        self.faults: list[Fault] = []

    def handle(self, error: lark.UnexpectedInput) -> bool:
        """Record a parser error; return whether the parser can continue."""
        if isinstance(error, lark.UnexpectedCharacters):
            self._handle_characters(error)
            return True
        if isinstance(error, lark.UnexpectedToken) and error.token.type != "$END":
            self._add(error.token.line or 1, error.token.column or 1, "unmatched ')'", "'('")
            return True
        return False

    def _handle_characters(self, error: lark.UnexpectedCharacters) -> None:
        rest = self._text[error.pos_in_stream or 0 :]
        unreadable = rest.split(None, 1)[0] if rest.split() else rest[:1]
        if unreadable[0] == '"':
            message = "string does not end on its line, or has an unknown escape"
        else:
            message = f"{unreadable[:40]!r} cannot be parsed"
        expected = "a word, a number with a known unit, a text or a bracket"
        if len(unreadable) > 1 and unreadable[0] != '"':
            units = " ".join([*DURATION_UNITS_S, *SIZE_UNITS_GB])
            expected = f"a word that begins with a letter, or a number with one of {units}"
        self._add(error.line, error.column, message, expected)
        _skip(error, unreadable)

    def _add(self, line: int, column: int, message: str, expected: str) -> None:
        self.faults.append(Fault(Position(self._file, line, column), message, expected))


def _skip(error: lark.UnexpectedCharacters, unreadable: str) -> None:
    """Advance the lexer past an invalid word, which would otherwise give one fault for each character."""
    lexer_state = error.interactive_parser.lexer_thread.state if error.interactive_parser else None
    if lexer_state is None:
        return
    word = unreadable.split("(")[0].split(")")[0] or unreadable[0]
    # Lark itself skips one character after the error handler returns.
    for character in word[:-1]:
        lexer_state.line_ctr.feed(lark.lexer.Token("SKIPPED", character), False)


def _unclosed_bracket(text: str) -> tuple[int, int]:
    """Return the line and column of the innermost bracket that is still open at the end of the text."""
    open_brackets: list[tuple[int, int]] = []
    line = column = 1
    in_string = in_comment = False
    previous = ""
    for character in text:
        if character == "\n":
            line += 1
            column = 1
            in_string = in_comment = False
            previous = ""
            continue
        if in_comment:
            pass
        elif character == '"' and not (in_string and previous == "\\"):
            in_string = not in_string
        elif not in_string:
            if character == ";":
                in_comment = True
            elif character == "(":
                open_brackets.append((line, column))
            elif character == ")" and open_brackets:
                open_brackets.pop()
        previous = "" if previous == "\\" else character
        column += 1
    return open_brackets[-1] if open_brackets else (line, column)


def _subtrees(tree: _Tree) -> list[_Tree]:
    """Return the children of a rule whose children are all rules in the grammar, never tokens."""
    return cast("list[_Tree]", tree.children)


def _convert(tree: _Tree, file: str, depth: int, faults: list[Fault]) -> Form | Atom | Comment:
    if tree.data == "form":
        position = Position(file, tree.meta.line, tree.meta.column)
        if depth > MAX_DEPTH:
            faults.append(Fault(position, "brackets nested too deeply", f"at most {MAX_DEPTH}"))
            return Form(position, tree.meta.end_line)
        return Form(
            position,
            tree.meta.end_line,
            [_convert(child, file, depth + 1, faults) for child in _subtrees(tree)],
        )
    token = cast(lark.Token, tree.children[0])
    position = Position(file, token.line or 1, token.column or 1)
    if tree.data == "comment":
        return Comment(str(token).rstrip(), position)
    return Atom(token.type, _atom_value(token), str(token), position)


def _atom_value(token: lark.Token) -> str | float:
    text = str(token)
    if token.type == "STRING":
        characters = []
        offset = 1
        while offset < len(text) - 1:
            length = 2 if text[offset] == "\\" else 1
            characters.append(_ESCAPES.get(text[offset : offset + length], text[offset : offset + length]))
            offset += length
        return "".join(characters)
    for kind, units in (("DURATION", DURATION_UNITS_S), ("SIZE", SIZE_UNITS_GB)):
        if token.type == kind:
            unit = next(unit for unit in sorted(units, key=len, reverse=True) if text.endswith(unit))
            return float(text.removesuffix(unit)) * units[unit]
    return float(text) if token.type == "NUMBER" else text


def _included_name(include: Form) -> str | None:
    """Return the file name of an `(include "FILE")` form; None if the form has any other content."""
    names = include.items[1:]
    if len(names) != 1 or not isinstance(names[0], Atom) or names[0].kind != "STRING":
        return None
    return str(names[0].value)


def _read_file(
    path: str, load: Callable[[str], str], included_at: Position | None, faults: list[Fault]
) -> list[Form | Atom | Comment]:
    """Return the items of one file; on errors, add them to `faults` and return an empty list.

    included_at: the position of the include form; None for the top file.
    """
    try:
        return read(load(path), path)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        faults.append(Fault(included_at or Position(path, 1, 1), f"{path}: {reason}"))
    except FormError as error:
        faults.extend(error.faults)
    return []


def read_with_includes(path: str, load: Callable[[str], str]) -> list[Form | Atom]:
    """Return the items of a file and of all files that it includes, in order.

    `(include "other.sets")` at the top level names a file relative to the folder of the including file.

    load: returns the text of a path, or raises OSError.

    Raises:
        FormError: has all faults of all files.
    """
    faults: list[Fault] = []
    count = 0

    def read_one(path: str, parents: tuple[str, ...], included_at: Position | None) -> list[Form | Atom]:
        nonlocal count
        items: list[Form | Atom] = []
        count += 1
        if path in parents or count > MAX_FILES:
            problem = "includes itself" if path in parents else f"exceeds the limit of {MAX_FILES} files"
            faults.append(
                Fault(
                    included_at or Position(path, 1, 1), f"{path} {problem}: {' -> '.join((*parents, path))}"
                )
            )
            return items
        for item in _read_file(path, load, included_at, faults):
            if isinstance(item, Form) and item.head == "include":
                name = _included_name(item)
                if name is not None:
                    items += read_one(str(Path(path).parent / name), (*parents, path), item.position)
                else:
                    faults.append(Fault(item.position, f"{item.one_line} names no file", '(include "FILE")'))
            elif not isinstance(item, Comment):
                items.append(item)
        return items

    all_items = read_one(path, (), None)
    if faults:
        raise FormError(faults)
    return all_items


def describe(item: Form | Atom | None) -> str:
    """Return an item as shown in fault messages; long forms are abbreviated."""
    if item is None:
        return "nothing more"
    if isinstance(item, Form):
        return item.one_line if len(item.one_line) <= 60 else f"({item.head} ...)"
    return item.text if item.kind == "STRING" else repr(item.text)
