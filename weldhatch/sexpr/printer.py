"""The canonical form of an S-expression file: the same items, comments included, laid out one way."""

from __future__ import annotations

from weldhatch.sexpr.reader import Atom, Comment, Form

WIDTH = 100
INDENT = "  "


def _last_line(item: Form | Atom | Comment) -> int:
    return item.end_line if isinstance(item, Form) else item.place.line


def _has_comment(form: Form) -> bool:
    return any(
        isinstance(item, Comment) or (isinstance(item, Form) and _has_comment(item)) for item in form.all
    )


def _lines(item: Form | Atom | Comment, room: int) -> list[str]:
    """The lines of one item, without indent. A form that fits stands on one line."""
    if isinstance(item, Comment):
        return [_comment(item)]
    if isinstance(item, Atom):
        return [item.text]
    if not _has_comment(item) and len(item.shown) <= room:
        return [item.shown]
    # The leading atoms stay with the bracket; from the first form or comment on, each item has its line.
    lead = 0
    first = "("
    while lead < len(item.all) and isinstance(item.all[lead], Atom):
        more = first + (" " if lead else "") + item.all[lead].text
        if lead and len(more) > room:
            break
        first, lead = more, lead + 1
    rest = item.all[lead:]
    before = item.all[lead - 1] if lead else None
    body = _block(rest, room - len(INDENT), before, first if lead else None)
    if body and body[0] is None:  # a comment that trails the leading atoms
        first, body = f"{first}  {body[1]}", body[2:]
    lines = [first, *(INDENT + line if line else "" for line in body)]
    if isinstance(item.all[-1], Comment) if item.all else False:
        return [*lines, ")"]
    return [*lines[:-1], lines[-1] + ")"]


def _comment(comment: Comment) -> str:
    text = comment.text.lstrip(";")
    marks = comment.text[: len(comment.text) - len(text)]
    return f"{marks} {text.strip()}" if text.strip() else marks


def _block(
    items: list[Form | Atom | Comment], room: int, before: Form | Atom | Comment | None, opened: str | None
) -> list[str | None]:
    """Items under one another; one blank line stays where there was one; comments behind an item stay
    there."""
    lines: list[str | None] = []
    packing = False  # atoms that follow one another share a line as far as it reaches
    for n, item in enumerate(items):
        if isinstance(item, Atom) and packing and len(f"{lines[-1]} {item.text}") <= room:
            lines[-1] += f" {item.text}"
            before = item
            continue
        packing = isinstance(item, Atom)
        gap = before is not None and item.place.line > _last_line(before) + 1
        trails = (
            isinstance(item, Comment)
            and before is not None
            and not isinstance(before, Comment)
            and item.place.line == _last_line(before)
        )
        if trails and lines and lines[-1]:
            lines[-1] = f"{lines[-1]}  {_comment(item)}"
        elif trails and opened is not None and not n:
            lines += [None, _comment(item)]
        else:
            if gap and (lines or opened is not None):
                lines.append("")
            lines += _lines(item, room)
        before = item
    return lines


def canonical(items: list[Form | Atom | Comment]) -> str:
    """The text of a file's items, as `reader.read` gives them; ends with a line feed unless empty."""
    text = "\n".join(line or "" for line in _block(items, WIDTH, None, None))
    return f"{text}\n" if text else ""
