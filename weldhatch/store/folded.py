"""A folder with one log of records that fold to a state: locked, written by a thread, compacted in time."""

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

COMPACTION_FACTOR = 4  # a log is compacted when it has so many times the records that its state needs,
COMPACTION_SLACK_RECORDS = 20_000  # and so many more


class FoldedState(Protocol):
    """A state that records bring about. It holds what is on the disk, not what is under way."""

    @property
    def snapshot_size(self) -> int:
        """About how many records `snapshot_records` gives."""

    def apply(self, payload: bytes) -> None:
        """Apply one record. Raises ValueError for what is none."""

    def snapshot_records(self) -> Iterable[bytes]:
        """Return the least records that fold to the same state."""


class FoldedStore:
    """Owns the folder: its lock, its log, the thread that writes it. One process at a time."""

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
        """Lock the folder, made if need be, and apply all records of its log to each of `states`.

        The first of `states` is kept as the disk is; the others are applied to once and then the caller's.
        `name` begins what is logged; `now`: Unix seconds, told to those whom the lock turns away;
        `slack_records`: how many records more than it needs the log may have.

        Raises LockHeldError or LogError (both OSError) where the folder can't be used, is another's, or holds
        what can't be read.
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
        """Apply what the log holds. Raises LogError for a record that a state can't read."""
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
        """Write the first records of this run before anything else; then the thread begins.

        `already_applied`: the caller has applied them to the first state already. Raises LogError.
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
        """Whether the log has many more records than its state needs."""
        slack = COMPACTION_SLACK_RECORDS if self._slack_records is None else self._slack_records
        return self._log.count > COMPACTION_FACTOR * self.state.snapshot_size + slack

    def _compact_if_long(self) -> None:
        """Guard the disk against a gateway that runs for months: the log is compacted while it runs."""
        if self.needs_compaction and self._running.idle:
            self._log_line(
                f"{self._name}: {self._log.count} records are cut down to {self.state.snapshot_size}"
            )
            self._running.compact(list(self.state.snapshot_records()))

    @property
    def _running(self) -> GroupCommitter:
        assert self._committer is not None, "the store was not started"
        return self._committer

    @property
    def write_error(self) -> str:
        """Why nothing new can be taken; '' while the disk takes records."""
        return self._running.write_error

    def append(self, records: Iterable[bytes]) -> asyncio.Future[None]:
        """Write what is about to happen: done once it is on the disk, LogError if it may not."""
        return self._running.append(records)

    def append_with_retry(self, records: Iterable[bytes]) -> asyncio.Future[None]:
        """Write what has happened, as soon as the disk takes it; the future never fails."""
        return self._running.append(records, must_succeed=True)

    async def flush(self) -> None:
        """Wait until all that was appended is on the disk, or the disk has refused it."""
        await self._running.flush()

    def close(self) -> None:
        """Wait for the last write; give back the log, its thread and the lock."""
        if self._committer is not None:
            self._committer.close()
        self._lock.close()


class EpochStore:
    """A folded store each of whose runs has an epoch, one more than the run before, and a random token.

    The epoch tells names that different runs give apart, and an older copy of the folder from the folder
    itself; the token tells two runs apart that were both started from one such copy.
    """

    def __init__(self, store: FoldedStore, epoch: int, token: str) -> None:
        """Wrap a store that was started with this epoch and token."""
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
        """Start a run and return its epoch and token; they are on the disk before a name is made of them.

        `first_record` gets both and returns the record that holds them; `already_applied` as in
        `FoldedStore.start`. Raises LogError.
        """
        epoch = previous_epoch + 1
        token = secrets.token_hex(4)
        store.start([first_record(epoch, token)], already_applied)
        return epoch, token

    @property
    def write_error(self) -> str:
        """Why nothing new can be taken; '' while the disk takes records."""
        return self._store.write_error

    async def flush(self) -> None:
        """Wait until all that was appended is on the disk, or the disk has refused it."""
        await self._store.flush()

    def close(self) -> None:
        """Wait for the last write, and give the folder back."""
        self._store.close()
