"""Whether a history of calls could have come from one copy that does one call at a time. Pure.

Wing and Gong's search (1993) with Lowe's memory of what was tried (2017): calls that overlap may have been
carried out in any order, those that do not in theirs. A call that nobody answered may have been carried out
at any time from then on, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass

UNKNOWN = ("?",)  # nobody answered
TRIED_MOST = 200_000


@dataclass(slots=True)
class Call:
    """One call: what was asked, when, and what it came to when (seconds; inf where nobody answered)."""

    asked: tuple
    at: float
    came: tuple = UNKNOWN
    until: float = float("inf")


# From a state and a call to the states that it may leave, all that fit what it came to.
Step = Callable[[Hashable, Call], Iterable[Hashable]]


class TooMany(Exception):
    """So many orders were tried, and neither one that fits was found nor that there is none."""


def linearisable(calls: Sequence[Call], first: Hashable, step: Step) -> bool:
    """Whether one order fits. Raises TooMany."""
    calls = sorted(calls, key=lambda one: one.at)
    must = sum(1 << n for n, one in enumerate(calls) if one.came != UNKNOWN)
    tried: set[tuple[int, Hashable]] = set()
    todo = [(0, first)]
    while todo:
        done, state = todo.pop()
        if done & must == must:
            return True
        # The next one must have been asked before any other that is left had come to its end.
        ends = min(one.until for n, one in enumerate(calls) if not done >> n & 1)
        for n, one in enumerate(calls):
            if one.at > ends:
                break
            if done >> n & 1:
                continue
            for after in step(state, one):
                key = done | 1 << n, after
                if key not in tried:
                    tried.add(key)
                    todo.append(key)
        if len(tried) > TRIED_MOST:
            raise TooMany(f"{len(tried)} orders of {len(calls)} calls")
    return False


# ---- what one copy does ---------------------------------------------------------------------------------


def versions(state: tuple[int, int, int], call: Call) -> Iterable[tuple[int, int, int]]:
    """`("propose", base)` comes to `("ok", number)`, `("moved",)` or `("busy",)`.

    The state is the last number, the one in force and the one being prepared (0: none); what is prepared
    comes into force, or is dropped, by itself.
    """
    number, active, prepared = state
    now = [(number, active, prepared)]
    if prepared:
        now += [(number, prepared, 0), (number, active, 0)]
    for number, active, prepared in now:
        fits = not prepared and call.asked[1] == active
        if call.came[0] in ("ok", "?") and fits and call.came[1:] in ((), (number + 1,)):
            yield number + 1, active, number + 1
        if (call.came == ("moved",) and not prepared and not fits) or (call.came == ("busy",) and prepared):
            yield number, active, prepared


def words(state: int, call: Call) -> Iterable[int]:
    """`("word", fence)` on one machine comes to `("ok",)`, or `("FENCE", last)` where a later one was heard.

    The state is the last fence, 0 for none.
    """
    fence = call.asked[1]
    if call.came in (("ok",), UNKNOWN) and fence >= state:
        yield fence
    if call.came[0] == "FENCE" and fence < state == call.came[1]:
        yield state


def once(state: str, call: Call) -> Iterable[str]:
    """A task that may start once: `("submit", key)` comes to `("placed",)`, `("refused",)`, `("failed",)` or
    `("stands",)`, told of a key that is under way. The state is `new` or `ran`."""
    may, must = state == "new", state == "ran"
    match call.came[0]:
        case "placed" if may:
            yield "ran"
        case "refused" if may:
            yield "new"
        case "stands" if must:
            yield "ran"
        case "failed" | "?":  # it may have run, and it may have been told so of one that had
            yield state
            yield "ran"


def rows(told: Iterable[tuple[str, Hashable, Call]]) -> dict[tuple[str, Hashable], list[Call]]:
    """Calls by what they were made on: one copy each, so each can be looked at by itself."""
    out: dict[tuple[str, Hashable], list[Call]] = {}
    for kind, on, call in told:
        out.setdefault((kind, on), []).append(call)
    return out


MODELS: dict[str, tuple[Hashable, Step]] = {
    "versions": ((1, 1, 0), versions),
    "words": (0, words),
    "once": ("new", once),
}


def broken(told: Iterable[tuple[str, Hashable, Call]]) -> list[str]:
    """Histories that fit no order. `told`: the model's name, what the call was made on, and the call."""
    out = []
    for (kind, on), calls in rows(told).items():
        first, step = MODELS[kind]
        try:
            fits = linearisable(calls, first, step)
        except TooMany as fault:
            out.append(f"{kind} {on}: {fault}")
            continue
        if not fits:
            shown = "; ".join(f"{one.at:.3f}-{one.until:.3f} {one.asked} {one.came}" for one in calls)
            out.append(f"{kind} {on}: no order of these fits: {shown}")
    return out
