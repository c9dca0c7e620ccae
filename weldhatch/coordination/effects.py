"""What a member wants done outside, in order. Types only."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.consensus import messages
from weldhatch.coordination.messages import Word


@dataclass(slots=True, frozen=True)
class Write:
    """Records of the voter: call `wrote` once they are on the disk. One `Write` is out at a time."""

    words: tuple[tuple, ...]


@dataclass(slots=True, frozen=True)
class Say:
    to: str
    word: messages.Message | Word


@dataclass(slots=True, frozen=True)
class Hold:
    """What is acted on has changed; the state, for a look after a restart."""

    lineage: int
    state: str


@dataclass(slots=True, frozen=True)
class Reach:
    """Who votes, and where: processes to be reached."""

    voters: dict[str, str]


@dataclass(slots=True, frozen=True)
class Came:
    """The result of a command that was given here, by its id."""

    id: str
    result: dict


@dataclass(slots=True, frozen=True)
class Event:
    """For the log."""

    name: str
    fields: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Shared:
    """Starts on machines that return, from `asked` on, by our own clock."""

    shares: str
    asked: float


Out = Write | Say | Hold | Reach | Came | Event | Shared
