"""Effects of a voter: the I/O that its caller carries out, in order.

Effects after a `WriteRecord` are carried out only once that record is on the disk.
"""

from __future__ import annotations

from dataclasses import dataclass

from weldhatch.consensus.messages import LogEntry, Message
from weldhatch.consensus.records import Record


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """Append one record to the voter's store; later effects wait until the record is on the disk."""

    record: Record


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to another voter. The link may lose, duplicate or delay it."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class EntryPersisted:
    """All entries up to `index` are on the local disk. The caller passes this to `Raft.entry_persisted`."""

    index: int
    term: int


@dataclass(slots=True, frozen=True)
class Commit:
    """Apply a committed entry. Indexes arrive once, in order, with the same entry on every voter."""

    index: int
    entry: LogEntry


@dataclass(slots=True, frozen=True)
class LoadSnapshot:
    """Replace the applied state by the state of a snapshot."""

    index: int
    state: str


Effect = WriteRecord | Send | EntryPersisted | Commit | LoadSnapshot
