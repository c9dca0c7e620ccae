"""Prints S-expression files in a canonical layout that keeps all items and comments."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.sexpr.reader import Atom, Comment, Form

LINE_WIDTH = 100
INDENT = "  "


def _last_line(item: Form | Atom | Comment) -> int:
    return item.end_line if isinstance(item, Form) else item.position.line


def _has_comment(form: Form) -> bool:
    return any(
        isinstance(item, Comment) or (isinstance(item, Form) and _has_comment(item)) for item in form.children
    )


def _item_lines(item: Form | Atom | Comment, width: int) -> list[str]:
    """Return the lines of one item, without indent. A form without comments that fits takes one line."""
    if isinstance(item, Comment):
        return [_format_comment(item)]
    if isinstance(item, Atom):
        return [item.text]
    if not _has_comment(item) and len(item.one_line) <= width:
        return [item.one_line]
    # The leading atoms stay on the line of the bracket; the items after them go into an indented block.
    first_line, atom_count = _leading_atoms(item, width)
    remaining = item.children[atom_count:]
    before = item.children[atom_count - 1] if atom_count else None
    block = _format_block(remaining, width - len(INDENT), before, opened=bool(atom_count))
    if block.trailing_comment:
        first_line = f"{first_line}  {block.trailing_comment}"
    lines = [first_line, *(INDENT + line if line else "" for line in block.lines)]
    if item.children and isinstance(item.children[-1], Comment):
        return [*lines, ")"]
    return [*lines[:-1], lines[-1] + ")"]


def _leading_atoms(form: Form, width: int) -> tuple[str, int]:
    """Return the opening bracket with the atoms that fit on its line, and the number of these atoms."""
    first_line = "("
    for count, item in enumerate(form.children):
        if not isinstance(item, Atom):
            return first_line, count
        longer = first_line + (" " if count else "") + item.text
        if count and len(longer) > width:
            return first_line, count
        first_line = longer
    return first_line, len(form.children)


def _format_comment(comment: Comment) -> str:
    text = comment.text.lstrip(";")
    marks = comment.text[: len(comment.text) - len(text)]
    return f"{marks} {text.strip()}" if text.strip() else marks


@dataclass(slots=True)
class _Block:
    lines: list[str] = field(default_factory=list)
    trailing_comment: str = ""  # belongs to the line before the block


def _is_trailing_comment(item: Form | Atom | Comment, before: Form | Atom | Comment | None) -> bool:
    """Return whether `item` is a comment that follows another item on the same line."""
    if not isinstance(item, Comment) or before is None or isinstance(before, Comment):
        return False
    return item.position.line == _last_line(before)


def _format_block(
    items: list[Form | Atom | Comment], width: int, before: Form | Atom | Comment | None, opened: bool
) -> _Block:
    """Lay out items on consecutive lines.

    Runs of blank lines become one; a comment that follows an item on the same line stays on that line.

    before: the item before the first one, on a line that is not part of the block.
    opened: whether that line holds the opening bracket and at least one atom.
    """
    block = _Block()
    lines = block.lines
    packing = False  # consecutive atoms share a line up to its width
    for index, item in enumerate(items):
        if isinstance(item, Atom) and packing and len(f"{lines[-1]} {item.text}") <= width:
            lines[-1] += f" {item.text}"
            before = item
            continue
        packing = isinstance(item, Atom)
        blank_before = before is not None and item.position.line > _last_line(before) + 1
        trailing = _is_trailing_comment(item, before)
        if isinstance(item, Comment) and trailing and lines:
            lines[-1] = f"{lines[-1]}  {_format_comment(item)}"
        elif isinstance(item, Comment) and trailing and opened and not index:
            block.trailing_comment = _format_comment(item)
        else:
            if blank_before and (lines or opened):
                lines.append("")
            lines += _item_lines(item, width)
        before = item
    return block


def canonical(items: list[Form | Atom | Comment]) -> str:
    """Return the canonical text of items from `reader.read`; it ends with a line feed unless it is empty."""
    text = "\n".join(_format_block(items, LINE_WIDTH, None, opened=False).lines)
    return f"{text}\n" if text else ""
