"""The journal of a fleet's applies: each record is on disk before it takes effect."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from weldhatch.planning.records import AnyRecord, ApplyHistory, Begin, Ended, Stopped, decode, encode
from weldhatch.store.lock import Lock, lock_owner
from weldhatch.store.log import Disk, Log, LogCorruptError, read_records

LOG_FILE = "applies.log"
LOCK_FILE = "apply.lock"
COMPACTION_RECORDS = 50_000  # a longer journal is compacted when it is opened
UNCOMPACTED_APPLIES = 2  # the most recent applies keep all their records


def format_time(at: float) -> str:
    """Return a time in Unix seconds as readable UTC text."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def _decode_records(payloads: Iterable[bytes], path: Path) -> list[AnyRecord]:
    records = []
    for number, payload in enumerate(payloads, 1):
        try:
            records.append(decode(payload))
        except msgspec.MsgspecError as error:
            raise LogCorruptError(f"{path}: record {number}: {error}") from None
    return records


def read_history(folder: str | Path) -> ApplyHistory:
    """Return all applies in a journal folder, without taking its lock."""
    path = Path(folder) / LOG_FILE
    return ApplyHistory(_decode_records(read_records(path), path))


def current_applier(folder: str | Path) -> str:
    """Return the description of the process that holds the journal's lock; '' if no process holds it."""
    return lock_owner(Path(folder) / LOCK_FILE)


class Journal:
    """The only writer of a journal folder, from construction until `close`."""

    def __init__(self, folder: str | Path, owner: str, now: float, disk: Disk | None = None) -> None:
        """Lock the folder and read its applies.

        owner: describes this process in the error that a second writer gets.
        now: the current time (Unix seconds).

        Raises:
            LockHeldError: another process is writing the journal.
            LogError: the log cannot be read.
        """
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock = Lock(self.folder / LOCK_FILE, owner, format_time(now))
        try:
            self._log = Log(self.folder / LOG_FILE, disk)
            self.torn_tail = self._log.torn_tail
            records = _decode_records(self._log.recovered_records(), self.folder / LOG_FILE)
            self.history = ApplyHistory(records)
            if len(records) > COMPACTION_RECORDS:
                self._compact(records)
        except BaseException:
            self._lock.close()
            raise

    def _compact(self, records: list[AnyRecord]) -> None:
        """Reduce older applies that ended or stopped to their Begin, Ended and Stopped records."""
        recent = list(self.history.applies)[-UNCOMPACTED_APPLIES:]
        compacted = {
            apply_id
            for apply_id, progress in self.history.applies.items()
            if apply_id not in recent and (progress.ended or progress.stopped)
        }
        remaining = [
            record
            for record in records
            if record.apply not in compacted or isinstance(record, Begin | Ended | Stopped)
        ]
        self._log.rewrite(map(encode, remaining))

    def append(self, records: Iterable[AnyRecord]) -> None:
        """Write and sync the records, then apply them to the history.

        Raises LogError if the write fails; in that case, none of the records is applied.
        """
        records = list(records)
        self._log.append(map(encode, records))
        for record in records:
            self.history.add(record)

    def close(self) -> None:
        """Close the log and release the lock."""
        self._log.close()
        self._lock.close()
