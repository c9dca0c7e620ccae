"""What has to hold of a play, told from what machines ran and owners were answered. Pure.

Nothing that a gateway says of itself counts, but for the histories that are held against each other.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

SLIP_S = 0.3  # a start may be on its way for so long: one turn of the loop, the wire


@dataclass(slots=True)
class Start:
    """One run of a task at a machine, in seconds of the play."""

    at: float
    gateway: str
    machine: str
    class_name: str
    key: str
    idem: str
    until: float = float("inf")


@dataclass(slots=True)
class Asked:
    """One task as its owner asked for it. An answer: placed, refused, failed, stands (told so of its key), or
    unanswered."""

    at: float
    gateway: str
    class_name: str
    key: str
    answers: list[str] = field(default_factory=list)
    over: bool = False


@dataclass(slots=True, frozen=True)
class Drain:
    """An operator's word that was answered: nothing new on that machine from `at` on but for the stated
    time, until `undone`."""

    machine: str
    at: float
    undone: float


def one_answer(asked: Iterable[Asked]) -> list[str]:
    """Each that was asked for got one final answer, or was told that nobody answers."""
    return [
        f"{one.key} ({one.class_name} at {one.gateway}, {one.at:.3f}) has {len(one.answers)} answers"
        for one in asked
        if not one.over or len(one.answers) != 1
    ]


def placed_runs(asked: Iterable[Asked], starts: Iterable[Start]) -> list[str]:
    """What was answered as placed has run."""
    ran = {start.key for start in starts}
    return [
        f"{one.key} ({one.class_name} at {one.gateway}) was placed and never ran"
        for one in asked
        if one.answers == ["placed"] and one.key not in ran
    ]


def refused_never_ran(asked: Iterable[Asked], starts: Iterable[Start]) -> list[str]:
    """Of a writer, a refusal says that nothing ran."""
    ran, told = {start.key for start in starts}, {}
    for one in asked:
        if one.class_name == "writer":
            told.setdefault(one.key, set()).update(one.answers)
    return [
        f"writer {key} was refused, and ran"
        for key, answers in told.items()
        if answers == {"refused"} and key in ran
    ]


def writers_once(starts: Iterable[Start]) -> list[str]:
    """A writer never starts twice."""
    seen: dict[str, Start] = {}
    out = []
    for start in starts:
        if start.class_name != "writer":
            continue
        if (first := seen.setdefault(start.key, start)) is not start:
            out.append(
                f"writer {start.key} started at {first.at:.3f} on {first.machine} and at "
                f"{start.at:.3f} on {start.machine}"
            )
    return out


def keyed_stand_once(starts: Iterable[Start]) -> list[str]:
    """Of keyed work with one key, never two stand at a time at one gateway."""
    out, standing = [], {}
    for start in sorted((one for one in starts if one.idem), key=lambda one: one.at):
        before = standing.get((start.gateway, start.idem))
        if before is not None and before.until > start.at:
            out.append(
                f"{start.idem} stands twice at {start.at:.3f}: " f"on {before.machine} and {start.machine}"
            )
        standing[start.gateway, start.idem] = start
    return out


def drains_kept(starts: Iterable[Start], drains: Iterable[Drain], stated: float) -> list[str]:
    """Nothing new on a drained machine, longer than the stated time after the word was answered."""
    return [
        f"{start.gateway} starts {start.key} on {drain.machine}, drained {start.at - drain.at:.3f} s ago"
        for drain in drains
        for start in starts
        if start.machine == drain.machine and drain.at + stated + SLIP_S < start.at < drain.undone
    ]


def one_history(histories: Mapping[str, Iterable[Mapping]]) -> list[str]:
    """Each number of a version has come to one thing, whoever tells it."""
    values: dict[tuple, dict[str, str]] = {}
    for name, history in histories.items():
        for entry in history:
            key = entry["number"], entry["came"]
            values.setdefault(key, {})[name] = f"index {entry['index']}, by {entry['by']}"
    return [
        f"version {number} {came}: {told}"
        for (number, came), told in values.items()
        if len(set(told.values())) > 1
    ]


def kept_versions(proposed: Iterable[int], histories: Mapping[str, Iterable[Mapping]]) -> list[str]:
    """A version whose proposal was answered is known to all in the end."""
    return [
        f"version {number} was answered, and {name} knows nothing of it"
        for name, history in histories.items()
        for number in proposed
        if all(entry["number"] != number for entry in history)
    ]


def all_agree(digests: Mapping[str, tuple[int, str, str]]) -> list[str]:
    """In the end all hold one state, and have a lease."""
    out = [
        f"{name} has no lease: {footing}" for name, (_, _, footing) in digests.items() if footing != "lease"
    ]
    if len({(index, digest) for index, digest, _ in digests.values()}) > 1:
        out.append(f"they hold different states: {dict(digests)}")
    return out


def nothing_stands(starts: Iterable[Start], end: float) -> list[str]:
    """Each run has come to its end."""
    return [
        f"{start.key} has run on {start.machine} since {start.at:.3f}"
        for start in starts
        if start.until > end
    ]
