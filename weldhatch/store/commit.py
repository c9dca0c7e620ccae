"""Group commit: batches the records of many writers on one disk thread, so the event loop never blocks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from weldhatch.store.log import Log, LogError

RETRY_DELAY_S = 0.5  # delay before records that failed to write are retried
NO_OP_RECORD = b'["probe"]'  # changes no state; written to find out whether the disk accepts records again


@dataclass(slots=True)
class _Entry:
    """A queued record. `done` is set on the last record of an append and resolves with the whole append."""

    payload: bytes
    must_succeed: bool
    done: asyncio.Future[None] | None = None

    def resolve(self) -> None:
        if self.done is not None and not self.done.done():
            self.done.set_result(None)

    def fail(self, reason: str) -> None:
        if self.done is not None and not self.done.done():
            self.done.set_exception(LogError(reason))


class GroupCommitter:
    """Appends records to a log in the order of the `append` calls; each write takes all queued records.

    Owns the log and its thread; `close` releases both. There are two kinds of records. A record that may fail
    announces an action, and its writer cancels the action if the write fails. A record that must succeed
    reports something that has already happened: it is kept in the queue until the disk accepts it.
    """

    def __init__(
        self,
        log: Log,
        on_written: Callable[[bytes], None],
        log_line: Callable[[str], None],
        on_batch: Callable[[], None] = lambda: None,
    ) -> None:
        """Start with an empty queue. Needs a running event loop.

        `on_written` receives each record in order once it is on the disk. `on_batch` is called after each
        written batch. `log_line` receives a line when writes start to fail and when they succeed again.
        """
        self._log = log
        self._on_written = on_written
        self._log_line = log_line
        self._on_batch = on_batch
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, "store")
        self._waiting: list[_Entry] = []
        self._busy = False
        self._closed = False
        self._retry_timer: asyncio.TimerHandle | None = None
        self.write_error = ""  # why the last write failed; '' while writes succeed

    def append(self, payloads: Iterable[bytes], must_succeed: bool = False) -> asyncio.Future[None]:
        """Queue records; the future resolves when all of them are on the disk.

        The future fails with LogError if the records could not be written. With `must_succeed` it never
        fails: the records stay queued until the disk accepts them.
        """
        done: asyncio.Future[None] = self._loop.create_future()
        entries = [_Entry(payload, must_succeed) for payload in payloads]
        if not entries:
            done.set_result(None)
            return done
        if self.write_error and not must_succeed:
            done.set_exception(LogError(self.write_error))
            return done
        entries[-1].done = done
        self._waiting += entries
        self._write_next()
        return done

    @property
    def idle(self) -> bool:
        """Whether no write or compaction is in progress."""
        return not self._busy

    def _write_next(self) -> None:
        """Write all queued records as one batch, unless a write is in progress or a retry is scheduled."""
        if self._busy or not self._waiting or self._closed or self._retry_timer is not None:
            return
        batch = self._waiting
        self._waiting = []
        self._busy = True
        self._loop.run_in_executor(
            self._thread, self._log.append, [entry.payload for entry in batch]
        ).add_done_callback(lambda outcome: self._finish_batch(batch, outcome))

    def _finish_batch(self, batch: list[_Entry], outcome: asyncio.Future[None]) -> None:
        self._busy = False
        error = None if outcome.cancelled() else outcome.exception()
        if error is None:
            self._batch_written(batch)
        else:
            self._batch_failed(batch, error)
        self._write_next()

    def _batch_written(self, batch: list[_Entry]) -> None:
        if self.write_error:
            self._log_line("store: the disk accepts records again")
        self.write_error = ""
        for entry in batch:
            try:
                self._on_written(entry.payload)
            except Exception as error:
                # The record is on the disk, and no writer may wait for ever because of another's record.
                self._log_line(f"store: a written record does not fit the state: {error!r}")
            entry.resolve()
        self._on_batch()

    def _batch_failed(self, batch: list[_Entry], error: BaseException) -> None:
        """Fail the records that may fail; keep the others in order and schedule a retry for them."""
        if not self.write_error:
            self._log_line(f"store: {error}; new work is refused until it does")
        self.write_error = str(error)
        entries = batch + self._waiting
        self._waiting = [entry for entry in entries if entry.must_succeed]
        for entry in entries:
            if not entry.must_succeed:
                entry.fail(self.write_error)
        if not self._closed:
            self._retry_timer = self._loop.call_later(RETRY_DELAY_S, self._retry)

    def _retry(self) -> None:
        """Write the kept records, or a no-op record if there are none, to test whether the disk works."""
        self._retry_timer = None
        if not self._waiting:
            self._waiting.append(_Entry(NO_OP_RECORD, must_succeed=True))
        self._write_next()

    def compact(self, payloads: list[bytes]) -> None:
        """Replace the log's contents with these records (`Log.rewrite`); later appends follow them.

        Call only while `idle`: the payloads must rebuild exactly the state that is on the disk.
        """
        self._busy = True
        self._loop.run_in_executor(self._thread, self._log.rewrite, payloads).add_done_callback(
            self._finish_compaction
        )

    def _finish_compaction(self, outcome: asyncio.Future[None]) -> None:
        self._busy = False
        if not outcome.cancelled() and outcome.exception() is not None:
            self._log_line(f"store: {outcome.exception()}")
        self._write_next()

    async def flush(self) -> None:
        """Wait until all appended records are on the disk, or a write has failed."""
        while (self._busy or self._waiting) and not self.write_error:
            await asyncio.sleep(0.001)

    def close(self) -> None:
        """Wait for the write in progress, then close the log. Blocks for as long as that write takes."""
        self._closed = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._thread.shutdown(wait=True)
        self._log.close()
