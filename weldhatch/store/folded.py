"""A locked folder with one log, from whose records a state is rebuilt, and which is compacted as it grows."""

from __future__ import annotations

import asyncio
import os
import secrets
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Protocol

from weldhatch.store.commit import GroupCommitter
from weldhatch.store.lock import Lock, LockHeldError
from weldhatch.store.log import Disk, Log, LogError

# A log is compacted when its record count exceeds COMPACTION_FACTOR times the snapshot size plus the slack.
COMPACTION_FACTOR = 4
COMPACTION_SLACK_RECORDS = 20_000


class FoldedState(Protocol):
    """A state built by applying records in order. It reflects records on the disk, not queued ones."""

    @property
    def snapshot_size(self) -> int:
        """Approximate number of records that `snapshot_records` returns."""

    def apply(self, payload: bytes) -> None:
        """Apply one record. Raises ValueError if it is invalid."""

    def snapshot_records(self) -> Iterable[bytes]:
        """Return a minimal list of records that rebuilds the same state."""


class FoldedStore:
    """Owns a store folder: its lock, its log and the writer thread. One process may open it at a time."""

    def __init__(
        self,
        folder: str | Path,
        file: str,
        name: str,
        now: float,
        states: Sequence[FoldedState],
        log_line: Callable[[str], None],
        disk: Disk | None = None,
        slack_records: int | None = None,
    ) -> None:
        """Lock the folder, creating it if needed, and apply all records of its log to each of `states`.

        The first of `states` is kept equal to what is on the disk; the others receive only the recovered
        records and then belong to the caller. `name` is the prefix of log lines. `now` is in Unix seconds and
        is shown to processes that fail to get the lock. `slack_records` overrides COMPACTION_SLACK_RECORDS.

        Raises LockHeldError or LogError (both OSError) if the folder can't be used, is locked by another
        process, or holds unreadable records.
        """
        path = Path(folder)
        self.state = states[0]
        self._name = name
        self._log_line = log_line
        self._slack_records = slack_records
        self._committer: GroupCommitter | None = None
        try:
            path.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise LockHeldError(str(error)) from None
        self._lock = Lock(path / "lock", f"a gateway (process {os.getpid()})", f"{now:.0f}")
        try:
            self._log = Log(path / file, disk)
            self._recover(states)
        except BaseException:
            self._lock.close()
            raise

    def _recover(self, states: Sequence[FoldedState]) -> None:
        """Apply the recovered records to all states. Raises LogError if a state rejects a record."""
        for record in self._log.recovered_records():
            for state in states:
                try:
                    state.apply(record)
                except ValueError as error:
                    raise LogError(f"{self._log.path}: {error}") from None
        if self._log.torn_tail is not None:
            length = self._log.torn_tail.length
            self._log_line(f"{self._name}: the last {length} bytes were no whole record: dropped")

    def start(self, records: Sequence[bytes], already_applied: bool = False) -> None:
        """Write the first records of this run, then start the writer thread.

        `already_applied`: the caller has already applied these records to the first state. Raises LogError.
        """
        try:
            if not already_applied:
                for record in records:
                    self.state.apply(record)
            if self.needs_compaction:
                self._log.rewrite(self.state.snapshot_records())
            else:
                self._log.append(records)
        except OSError:
            self._lock.close()
            raise
        self._committer = GroupCommitter(self._log, self.state.apply, self._log_line, self._compact_if_long)

    @property
    def needs_compaction(self) -> bool:
        """Whether the log has far more records than a snapshot of its state."""
        slack = COMPACTION_SLACK_RECORDS if self._slack_records is None else self._slack_records
        return self._log.count > COMPACTION_FACTOR * self.state.snapshot_size + slack

    def _compact_if_long(self) -> None:
        """Compact the log at run time, so that a gateway that runs for months does not fill the disk."""
        if self.needs_compaction and self._started_committer.idle:
            self._log_line(
                f"{self._name}: {self._log.count} records are cut down to {self.state.snapshot_size}"
            )
            self._started_committer.compact(list(self.state.snapshot_records()))

    @property
    def _started_committer(self) -> GroupCommitter:
        assert self._committer is not None, "the store was not started"
        return self._committer

    @property
    def write_error(self) -> str:
        """Why new records can't be written; '' while the disk accepts records."""
        return self._started_committer.write_error

    def append(self, records: Iterable[bytes]) -> asyncio.Future[None]:
        """Record an intended action; the future resolves once it is on the disk, or fails with LogError."""
        return self._started_committer.append(records)

    def append_with_retry(self, records: Iterable[bytes]) -> asyncio.Future[None]:
        """Record something that has happened, retrying until the disk accepts it; the future never fails."""
        return self._started_committer.append(records, must_succeed=True)

    async def flush(self) -> None:
        """Wait until all appended records are on the disk, or a write has failed."""
        await self._started_committer.flush()

    def close(self) -> None:
        """Wait for the write in progress; release the log, its thread and the lock."""
        if self._committer is not None:
            self._committer.close()
        self._lock.close()


class EpochStore:
    """A folded store in which each run has an epoch, one above that of the previous run, and a random token.

    The epoch distinguishes names created by different runs, and an older copy of the folder from the current
    one. The token distinguishes two runs that were both started from the same copy.
    """

    def __init__(self, store: FoldedStore, epoch: int, token: str) -> None:
        """Wrap a store that has been started with this epoch and token."""
        self._store = store
        self.epoch = epoch
        self.token = token

    @staticmethod
    def begin_run(
        store: FoldedStore,
        previous_epoch: int,
        first_record: Callable[[int, str], bytes],
        already_applied: bool = False,
    ) -> tuple[int, str]:
        """Start a run and return its epoch and token, which are on the disk before any name uses them.

        `first_record` receives both and returns the record that holds them. `already_applied` is passed to
        `FoldedStore.start`. Raises LogError.
        """
        epoch = previous_epoch + 1
        token = secrets.token_hex(4)
        store.start([first_record(epoch, token)], already_applied)
        return epoch, token

    @property
    def write_error(self) -> str:
        """Why new records can't be written; '' while the disk accepts records."""
        return self._store.write_error

    async def flush(self) -> None:
        """Wait until all appended records are on the disk, or a write has failed."""
        await self._store.flush()

    def close(self) -> None:
        """Wait for the write in progress and release the folder."""
        self._store.close()
