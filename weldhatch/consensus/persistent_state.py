"""Raft's persistent state: term, vote, log and snapshot, rebuilt by replaying the records of the store."""

from __future__ import annotations

import json
from collections.abc import Iterator

from weldhatch.consensus.errors import InvalidRecordError
from weldhatch.consensus.messages import EntryKind, LogEntry, LogPosition
from weldhatch.consensus.records import (
    EntryRecord,
    LostRecord,
    Record,
    RecordCountRecord,
    SnapshotRecord,
    VoteRecord,
    record_from_list,
)

NO_VOTERS = "{}"


class PersistentState:
    """State after all records of a voter's store. `entries[0]` has the index `snapshot_index + 1`."""

    def __init__(self) -> None:
        """Create the state of an empty store."""
        self.lineage = 0
        self.term = 0
        self.voted_for = ""  # in `term`; '' if no vote was given yet
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.snapshot_voters = NO_VOTERS  # a JSON object of name to address
        self.snapshot_state = ""
        self.entries: list[LogEntry] = []
        self.lost_reason = (
            ""  # why the store is marked as lost, so that its voter no longer votes; '' if sound
        )
        self.record_count = 0  # records ever appended, including those that compaction has removed

    def apply_encoded(self, payload: bytes) -> None:
        """Apply one record in its stored form. Raises InvalidRecordError if it can't be decoded."""
        try:
            self.apply(record_from_list(json.loads(payload)))
        except (ValueError, TypeError) as error:
            raise InvalidRecordError(f"record {payload[:80]!r} can't be decoded: {error}") from None

    def apply(self, record: Record) -> None:
        """Apply one record. Raises InvalidRecordError for an entry that leaves a gap in the log."""
        match record:
            case VoteRecord():
                self.lineage = record.lineage
                self.term = record.term
                self.voted_for = record.voted_for
            case EntryRecord():
                self._apply_entry(record)
            case SnapshotRecord():
                self._apply_snapshot(record)
            case LostRecord():
                self.lost_reason = record.reason
        self.record_count = record.count if isinstance(record, RecordCountRecord) else self.record_count + 1

    def _apply_entry(self, record: EntryRecord) -> None:
        if not self.snapshot_index < record.index <= self.last_index + 1:
            raise InvalidRecordError(
                f"entry {record.index} out of range: last {self.last_index}, snapshot {self.snapshot_index}"
            )
        del self.entries[record.index - self.snapshot_index - 1 :]
        self.entries.append(record.entry)

    def _apply_snapshot(self, record: SnapshotRecord) -> None:
        entries_follow = (
            record.lineage == self.lineage
            and self.snapshot_index <= record.index < self.last_index
            and self.term_at(record.index) == record.term
        )
        self.entries = self.entries[record.index - self.snapshot_index :] if entries_follow else []
        self.lineage = record.lineage
        self.snapshot_index = record.index
        self.snapshot_term = record.term
        self.snapshot_voters = record.voters
        self.snapshot_state = record.state

    def records(self) -> Iterator[Record]:
        """Yield a minimal list of records that rebuilds the same state."""
        records: list[Record] = [VoteRecord(self.lineage, self.term, self.voted_for)]
        if self.snapshot_index or self.snapshot_voters != NO_VOTERS:
            records.append(self._snapshot_record())
        if self.lost_reason:
            records.append(LostRecord(self.lost_reason))
        records += [
            EntryRecord(index, entry) for index, entry in enumerate(self.entries, self.snapshot_index + 1)
        ]
        yield RecordCountRecord(self.record_count - len(records))
        yield from records

    def _snapshot_record(self) -> SnapshotRecord:
        return SnapshotRecord(
            self.lineage, self.snapshot_index, self.snapshot_term, self.snapshot_voters, self.snapshot_state
        )

    @property
    def size(self) -> int:
        """Approximate number of records that `records` yields."""
        return 3 + len(self.entries)

    @property
    def last_index(self) -> int:
        """Index of the last log entry."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_position(self) -> LogPosition:
        """Term and index of the last log entry."""
        return LogPosition(self.term_at(self.last_index), self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term of an entry; -1 for an entry that was compacted or does not exist yet."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return -1

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at `index`, which has to be after the snapshot."""
        return self.entries[index - self.snapshot_index - 1]

    def entries_from(self, index: int, limit: int) -> tuple[LogEntry, ...]:
        """Return at most `limit` entries from `index` on, which has to be after the snapshot."""
        start = index - self.snapshot_index - 1
        return tuple(self.entries[start : start + limit])

    def current_voters(self) -> dict[str, str]:
        """Return the newest voters in the log, name to address; they apply before they are committed."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.VOTERS:
                return _voters_from_json(entry.data)
        return _voters_from_json(self.snapshot_voters)


def _voters_from_json(text: str) -> dict[str, str]:
    voters: dict[str, str] = json.loads(text)
    return voters
