"""What a member wants done outside, in order. Types only."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.consensus import messages
from weldhatch.coordination.messages import GroupMessage


@dataclass(slots=True, frozen=True)
class WriteRecords:
    """Records of the voter: call `wrote` once they are on the disk. One `WriteRecords` is out at a time."""

    words: tuple[tuple, ...]


@dataclass(slots=True, frozen=True)
class Send:
    to: str
    word: messages.Message | GroupMessage


@dataclass(slots=True, frozen=True)
class SaveState:
    """What is acted on has changed; the state, for a look after a restart."""

    lineage: int
    state: str


@dataclass(slots=True, frozen=True)
class ConnectVoters:
    """Who votes, and where: processes to be reached."""

    voters: dict[str, str]


@dataclass(slots=True, frozen=True)
class CommandCompleted:
    """The result of a command that was given here, by its id."""

    id: str
    result: dict


@dataclass(slots=True, frozen=True)
class LogEvent:
    """For the log."""

    name: str
    fields: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class QuotaReceived:
    """Starts on machines that return, from `asked` on, by our own clock."""

    shares: str
    asked: float


Effect = WriteRecords | Send | SaveState | ConnectVoters | CommandCompleted | LogEvent | QuotaReceived
