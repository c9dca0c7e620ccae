"""What a voter wants done outside, in order.

What follows a `WriteRecord` happens once that is on the disk.
"""

from __future__ import annotations

from dataclasses import dataclass

from weldhatch.consensus.messages import LogEntry, Message
from weldhatch.consensus.records import Record


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """Append one record to the voter's store; all that follows waits until it is on the disk."""

    record: Record


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to another voter. It may be lost, doubled or late."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class EntryPersisted:
    """All entries up to `index` are on this disk: pass it to `Raft.entry_persisted`."""

    index: int
    term: int


@dataclass(slots=True, frozen=True)
class Commit:
    """Apply a decided entry. Each index comes once and in order, and is the same on every voter."""

    index: int
    entry: LogEntry


@dataclass(slots=True, frozen=True)
class LoadSnapshot:
    """Put the state of a snapshot in the place of what was applied."""

    index: int
    state: str


Effect = WriteRecord | Send | EntryPersisted | Commit | LoadSnapshot
