"""The journal of a fleet's applies: each record is on the disk before it takes effect."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from weldhatch.planning.records import AnyRecord, ApplyHistory, Begin, Ended, Stopped, decode, encode
from weldhatch.store.lock import Lock, lock_owner
from weldhatch.store.log import Disk, Log, LogCorruptError, read_records

LOG = "applies.log"
LOCK = "apply.lock"
COMPACTION_RECORDS = 50_000  # beyond, ended applies are cut down to their beginning and their end
KEPT_COMPLETE = 2  # the last applies stay as they are


def format_time(at: float) -> str:
    """Return Unix seconds as a person reads them."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def _records(payloads: Iterable[bytes], path: Path) -> list[AnyRecord]:
    out = []
    for number, payload in enumerate(payloads, 1):
        try:
            out.append(decode(payload))
        except msgspec.MsgspecError as error:
            raise LogCorruptError(f"{path}: record {number}: {error}") from None
    return out


def story(folder: str | Path) -> ApplyHistory:
    """Return all applies of a folder, without holding it."""
    path = Path(folder) / LOG
    return ApplyHistory(_records(read_records(path), path))


def current_applier(folder: str | Path) -> str:
    """Return who is applying just now; '' where nobody is."""
    return lock_owner(Path(folder) / LOCK)


class Journal:
    """The one writer of a folder, from its making to `close`."""

    def __init__(self, folder: str | Path, who: str, now: float, disk: Disk | None = None) -> None:
        """Take the folder and read its applies. `who`: is told to a second writer; `now`: Unix seconds.

        Raises LockHeldError for a second writer, LogError for what can't be read.
        """
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock = Lock(self.folder / LOCK, who, format_time(now))
        try:
            self._log = Log(self.folder / LOG, disk)
            self.torn_tail = self._log.torn_tail
            records = _records(self._log.recovered_records(), self.folder / LOG)
            self.story = ApplyHistory(records)
            if len(records) > COMPACTION_RECORDS:
                self._compact(records)
        except BaseException:
            self._lock.close()
            raise

    def _compact(self, records: list[AnyRecord]) -> None:
        kept = list(self.story.applies)[-KEPT_COMPLETE:]
        short = {
            name
            for name, progress in self.story.applies.items()
            if name not in kept and (progress.ended or progress.stopped)
        }
        left = [
            record
            for record in records
            if record.apply not in short or isinstance(record, Begin | Ended | Stopped)
        ]
        self._log.rewrite(map(encode, left))

    def append(self, records: Iterable[AnyRecord]) -> None:
        """Write, wait for the disk, and only then apply the records. Raises LogError: none counts then."""
        records = list(records)
        self._log.append(map(encode, records))
        for record in records:
            self.story.add(record)

    def close(self) -> None:
        """Give the log and the folder back."""
        self._log.close()
        self._lock.close()
