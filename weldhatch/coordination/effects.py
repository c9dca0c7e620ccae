"""Effects of a node: the I/O that its caller carries out, in order."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.consensus.messages import Message
from weldhatch.consensus.records import Record
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.messages import GroupMessage


@dataclass(slots=True, frozen=True)
class WriteRecords:
    """Append records to the voter's store, then call `records_written` once they are on the disk.

    At most one `WriteRecords` is in progress at a time.
    """

    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to another process. The link may lose, duplicate or delay it."""

    to: str
    message: Message | GroupMessage


@dataclass(slots=True, frozen=True)
class SaveState:
    """Save the changed state that this process acts on, to be shown after a restart."""

    lineage: int
    state: str


@dataclass(slots=True, frozen=True)
class ConnectVoters:
    """Maintain links to these voters, name to address."""

    voters: dict[str, str]


@dataclass(slots=True, frozen=True)
class CommandCompleted:
    """The result of a command that this process submitted."""

    command_id: str
    result: JsonObject


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write an event to the log."""

    name: str
    fields: JsonObject = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class QuotaReceived:
    """Start quotas for returning machines (JSON), valid from `asked_at` on, in seconds of the local clock."""

    quotas: str
    asked_at: float


Effect = WriteRecords | Send | SaveState | ConnectVoters | CommandCompleted | LogEvent | QuotaReceived
