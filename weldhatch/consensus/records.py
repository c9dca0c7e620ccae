"""Records of a voter's store, and their encoding as JSON arrays.

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
    """The lineage and term that the voter is in, and for whom it voted there ('': nobody yet)."""

    lineage: int
    term: int
    voted_for: str

    def to_list(self) -> list[object]:
        """Return the record as it is encoded."""
        return ["vote", self.lineage, self.term, self.voted_for]


@dataclass(slots=True, frozen=True)
class EntryRecord:
    """An entry of the log. It replaces all from its index on."""

    index: int
    entry: LogEntry

    def to_list(self) -> list[object]:
        """Return the record as it is encoded."""
        return ["entry", self.index, self.entry.term, self.entry.kind, self.entry.data]


@dataclass(slots=True, frozen=True)
class SnapshotRecord:
    """The state after the entry `index`, which had that `term`. `voters`: JSON of name to address."""

    lineage: int
    index: int
    term: int
    voters: str
    state: str

    def to_list(self) -> list[object]:
        """Return the record as it is encoded."""
        return ["snapshot", self.lineage, self.index, self.term, self.voters, self.state]


@dataclass(slots=True, frozen=True)
class LostRecord:
    """The voter votes no more, for this reason; '' takes that back."""

    reason: str

    def to_list(self) -> list[object]:
        """Return the record as it is encoded."""
        return ["lost", self.reason]


@dataclass(slots=True, frozen=True)
class RecordCountRecord:
    """How many records the store has taken in during all its existence."""

    count: int

    def to_list(self) -> list[object]:
        """Return the record as it is encoded."""
        return ["writes", self.count]


Record = VoteRecord | EntryRecord | SnapshotRecord | LostRecord | RecordCountRecord


def record_from_list(values: list[object]) -> Record:
    """Decode what `to_list` gave. Raises InvalidRecordError for anything else."""
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
    raise InvalidRecordError(f"a record of no known kind: {str(values)[:80]}")
