"""What a node wants done outside, in order. Types only."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.consensus.messages import Message
from weldhatch.consensus.records import Record
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.messages import GroupMessage


@dataclass(slots=True, frozen=True)
class WriteRecords:
    """Write records of the voter, and call `records_written` once they are on the disk.

    One `WriteRecords` is out at a time.
    """

    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to another process. It may be lost, doubled or late."""

    to: str
    message: Message | GroupMessage


@dataclass(slots=True, frozen=True)
class SaveState:
    """Keep the state that is acted on, for a look after a restart: it has changed."""

    lineage: int
    state: str


@dataclass(slots=True, frozen=True)
class ConnectVoters:
    """Keep links to these voters, name to address."""

    voters: dict[str, str]


@dataclass(slots=True, frozen=True)
class CommandCompleted:
    """The result of a command that was submitted here."""

    command_id: str
    result: JsonObject


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Log an event."""

    name: str
    fields: JsonObject = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class QuotaReceived:
    """Starts on machines that return (JSON), from `asked_at` on, in seconds of our own clock."""

    quotas: str
    asked_at: float


Effect = WriteRecords | Send | SaveState | ConnectVoters | CommandCompleted | LogEvent | QuotaReceived
