"""The canonical form of an S-expression file: the same items, comments included, laid out one way."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.sexpr.reader import Atom, Comment, Form

WIDTH = 100
INDENT = "  "


def _last_line(item: Form | Atom | Comment) -> int:
    return item.end_line if isinstance(item, Form) else item.position.line


def _has_comment(form: Form) -> bool:
    return any(
        isinstance(item, Comment) or (isinstance(item, Form) and _has_comment(item)) for item in form.children
    )


def _lines(item: Form | Atom | Comment, room: int) -> list[str]:
    """Return the lines of one item, without indent. A form that fits stands on one line."""
    if isinstance(item, Comment):
        return [_comment(item)]
    if isinstance(item, Atom):
        return [item.text]
    if not _has_comment(item) and len(item.one_line) <= room:
        return [item.one_line]
    # The leading atoms stay with the bracket; from the first form or comment on, each item has its line.
    first, lead = _leading_atoms(item, room)
    rest = item.children[lead:]
    before = item.children[lead - 1] if lead else None
    block = _block(rest, room - len(INDENT), before, opened=bool(lead))
    if block.trailing_comment:
        first = f"{first}  {block.trailing_comment}"
    lines = [first, *(INDENT + line if line else "" for line in block.lines)]
    if item.children and isinstance(item.children[-1], Comment):
        return [*lines, ")"]
    return [*lines[:-1], lines[-1] + ")"]


def _leading_atoms(form: Form, room: int) -> tuple[str, int]:
    """Return the bracket with the atoms that stay on its line, and how many they are."""
    first = "("
    for count, item in enumerate(form.children):
        if not isinstance(item, Atom):
            return first, count
        longer = first + (" " if count else "") + item.text
        if count and len(longer) > room:
            return first, count
        first = longer
    return first, len(form.children)


def _comment(comment: Comment) -> str:
    text = comment.text.lstrip(";")
    marks = comment.text[: len(comment.text) - len(text)]
    return f"{marks} {text.strip()}" if text.strip() else marks


@dataclass(slots=True)
class _Block:
    lines: list[str] = field(default_factory=list)
    trailing_comment: str = ""  # of the line in front of the block


def _trails(item: Form | Atom | Comment, before: Form | Atom | Comment | None) -> bool:
    """Return whether `item` is a comment behind another item on the same line."""
    if not isinstance(item, Comment) or before is None or isinstance(before, Comment):
        return False
    return item.position.line == _last_line(before)


def _block(
    items: list[Form | Atom | Comment], room: int, before: Form | Atom | Comment | None, opened: bool
) -> _Block:
    """Lay items out under one another.

    One blank line stays where there was one; a comment behind an item stays there.

    before: the item in front of the first one, on a line that is not part of the block.
    opened: that line begins with a bracket and atoms.
    """
    block = _Block()
    lines = block.lines
    packing = False  # atoms that follow one another share a line as far as it reaches
    for n, item in enumerate(items):
        if isinstance(item, Atom) and packing and len(f"{lines[-1]} {item.text}") <= room:
            lines[-1] += f" {item.text}"
            before = item
            continue
        packing = isinstance(item, Atom)
        gap = before is not None and item.position.line > _last_line(before) + 1
        trails = _trails(item, before)
        if isinstance(item, Comment) and trails and lines:
            lines[-1] = f"{lines[-1]}  {_comment(item)}"
        elif isinstance(item, Comment) and trails and opened and not n:
            block.trailing_comment = _comment(item)
        else:
            if gap and (lines or opened):
                lines.append("")
            lines += _lines(item, room)
        before = item
    return block


def canonical(items: list[Form | Atom | Comment]) -> str:
    """Return the text of a file's items, as `reader.read` gives them; ends with a line feed unless empty."""
    text = "\n".join(_block(items, WIDTH, None, opened=False).lines)
    return f"{text}\n" if text else ""
