"""Records of a voter's store, encoded as JSON arrays.

["vote", lineage, term, name]                        ["snapshot", lineage, index, term, voters, state]
["entry", index, term, kind, data]                   ["lost", why]
["writes", count]
"""

from __future__ import annotations

from dataclasses import dataclass

from weldhatch.consensus.errors import InvalidRecordError
from weldhatch.consensus.messages import LogEntry


@dataclass(slots=True, frozen=True)
class VoteRecord:
    """Present lineage and term of the voter, and its vote in that term ('' if it has not voted)."""

    lineage: int
    term: int
    voted_for: str

    def to_list(self) -> list[object]:
        """Return the JSON array of the record."""
        return ["vote", self.lineage, self.term, self.voted_for]


@dataclass(slots=True, frozen=True)
class EntryRecord:
    """A log entry. It replaces all entries from its index on."""

    index: int
    entry: LogEntry

    def to_list(self) -> list[object]:
        """Return the JSON array of the record."""
        return ["entry", self.index, self.entry.term, self.entry.kind, self.entry.data]


@dataclass(slots=True, frozen=True)
class SnapshotRecord:
    """State after the entry at `index`, which has that `term`. `voters`: a JSON object of name to address."""

    lineage: int
    index: int
    term: int
    voters: str
    state: str

    def to_list(self) -> list[object]:
        """Return the JSON array of the record."""
        return ["snapshot", self.lineage, self.index, self.term, self.voters, self.state]


@dataclass(slots=True, frozen=True)
class LostRecord:
    """Marks the store as lost, so that the voter no longer votes. The reason '' removes the mark."""

    reason: str

    def to_list(self) -> list[object]:
        """Return the JSON array of the record."""
        return ["lost", self.reason]


@dataclass(slots=True, frozen=True)
class RecordCountRecord:
    """Number of records that were ever appended to the store."""

    count: int

    def to_list(self) -> list[object]:
        """Return the JSON array of the record."""
        return ["writes", self.count]


Record = VoteRecord | EntryRecord | SnapshotRecord | LostRecord | RecordCountRecord


def record_from_list(values: list[object]) -> Record:
    """Decode the result of `to_list`. Raises InvalidRecordError for anything else."""
    match values:
        case ["vote", int(lineage), int(term), str(name)]:
            return VoteRecord(lineage, term, name)
        case ["entry", int(index), int(term), str(kind), str(data)]:
            return EntryRecord(index, LogEntry(term, kind, data))
        case ["snapshot", int(lineage), int(index), int(term), str(voters), str(state)]:
            return SnapshotRecord(lineage, index, term, voters, state)
        case ["lost", str(reason)]:
            return LostRecord(reason)
        case ["writes", int(count)]:
            return RecordCountRecord(count)
    raise InvalidRecordError(f"unknown kind of record, or wrong fields: {str(values)[:80]}")
