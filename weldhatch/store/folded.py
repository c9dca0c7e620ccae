"""A folder with one log of records that fold to a state: locked, written by a thread, cut down in time."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Protocol

from weldhatch.store.commit import GroupCommitter
from weldhatch.store.lock import Lock, LockHeldError
from weldhatch.store.log import Disk, Log, LogError

COMPACTION_FACTOR, COMPACTION_SLACK_RECORDS = 4, 20_000


class FoldedState(Protocol):
    """A state that records bring about. It holds what is on the disk, not what is under way."""

    @property
    def snapshot_size(self) -> int:
        """About how many records `records` gives."""

    def apply(self, payload: bytes) -> None:
        """One record. Raises ValueError for what is none."""

    def snapshot_records(self) -> Iterable[bytes]:
        """The least records that fold to the same."""


class FoldedStore:
    """Owns the folder: its lock, its log, the thread that writes it. One gateway at a time.

    Raises LockHeld or LogError (both OSError) where the folder can't be used, is another's, or holds what
    can't be read.
    """

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
        """The first of `folds` is kept as the disk is; the others are folded once and then the caller's.

        `name` begins what is logged; `now`: Unix seconds, told to those whom the lock turns away;
        `over`: how many records more than it needs the log may have.
        """
        path = Path(folder)
        self.state, self._name, self._log_line, self._slack_records = states[0], name, log_line, slack_records
        try:
            path.mkdir(parents=True, exist_ok=True)
        except OSError as fault:
            raise LockHeldError(str(fault)) from None
        self._lock = Lock(path / "lock", f"a gateway (process {os.getpid()})", f"{now:.0f}")
        try:
            self._log = Log(path / file, disk)
            for record in self._log.recovered_records():
                for state in states:
                    try:
                        state.apply(record)
                    except ValueError as fault:
                        raise LogError(f"{self._log.path}: {fault}") from None
            if self._log.torn_tail is not None:
                log_line(f"{name}: the last {self._log.torn_tail.length} bytes were no whole record: dropped")
        except BaseException:
            self._lock.close()
            raise
        self._committer: GroupCommitter | None = None

    def start(self, records: Sequence[bytes], folded: bool = False) -> None:
        """The first records of this run are on the disk before anything else is; then the thread begins.

        `folded`: the caller has taken them into the first fold already. Raises LogError.
        """
        try:
            if not folded:
                for record in records:
                    self.state.apply(record)
            if self.needs_compaction:
                self._log.rewrite(self.state.snapshot_records())
            else:
                self._log.append(records)
        except OSError:
            self._lock.close()
            raise
        self._committer = GroupCommitter(self._log, self.state.apply, self._log_line, self._on_batch)

    @property
    def needs_compaction(self) -> bool:
        slack_records = COMPACTION_SLACK_RECORDS if self._slack_records is None else self._slack_records
        return self._log.count > COMPACTION_FACTOR * self.state.snapshot_size + slack_records

    def _on_batch(self) -> None:
        """Guards the disk against a gateway that runs for months: the log is cut down while it runs."""
        if self.needs_compaction and self._committer.idle:
            self._log_line(
                f"{self._name}: {self._log.count} records are cut down to {self.state.snapshot_size}"
            )
            self._committer.compact(list(self.state.snapshot_records()))

    @property
    def write_error(self) -> str:
        """Why nothing new can be taken; '' while the disk takes records."""
        return self._committer.write_error

    def append(self, records: Iterable[bytes]) -> asyncio.Future:
        """What is about to happen: done once it is on the disk, LogError if it may not."""
        return self._committer.append(records)

    def append_with_retry(self, records: Iterable[bytes]) -> asyncio.Future:
        """What has happened: written as soon as the disk takes it; the future never fails."""
        return self._committer.append(records, must_succeed=True)

    async def flush(self) -> None:
        await self._committer.flush()

    def close(self) -> None:
        if self._committer is not None:
            self._committer.close()
        self._lock.close()
