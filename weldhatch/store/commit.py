"""Group commit: many writers, one thread that waits for the disk, and an event loop that never does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from weldhatch.store.log import Log, LogError

RETRY_DELAY_S = 0.5  # until records that the disk did not take are tried again
NO_OP_RECORD = (
    b'["probe"]'  # a record without effect, written to learn whether there is room on the disk again
)


@dataclass(slots=True)
class _Entry:
    """A record that waits to be written; `done` is the future of the last record of an append."""

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
    """Appends records to a log in the order in which they were put; each write takes all that wait.

    Owns the log and its thread; `close` gives both back. There are two kinds of record. Those that may fail
    announce something: their writers take back what they were about to do. Those that must succeed report
    what has happened already: they are kept, and written once the disk takes them again.
    """

    def __init__(
        self,
        log: Log,
        on_written: Callable[[bytes], None],
        log_line: Callable[[str], None],
        on_batch: Callable[[], None] = lambda: None,
    ) -> None:
        """Start without a batch. Needs a running event loop.

        `on_written` receives each record once it is on the disk, in order; `on_batch` is called after each
        batch; `log_line` gets a line where the disk begins or ceases to fail.
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
        self.write_error = ""  # why the disk takes nothing; '' while it does

    def append(self, payloads: Iterable[bytes], must_succeed: bool = False) -> asyncio.Future[None]:
        """Queue records; the future is done when all are on the disk.

        It fails with LogError where they may not be written. With `must_succeed` it never fails: the records
        are kept until the disk takes them.
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
        """Whether the thread writes nothing."""
        return not self._busy

    def _write_next(self) -> None:
        """Give all that waits to the thread as one batch, unless it is at work or a retry is due."""
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
            self._log_line("store: the disk takes records again")
        self.write_error = ""
        for entry in batch:
            self._on_written(entry.payload)
            entry.resolve()
        self._on_batch()

    def _batch_failed(self, batch: list[_Entry], error: BaseException) -> None:
        """Fail the records that may, keep the others in their order, and try these again later."""
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
        """Write what was kept; with nothing kept, a record without effect shows whether there is room."""
        self._retry_timer = None
        if not self._waiting:
            self._waiting.append(_Entry(NO_OP_RECORD, must_succeed=True))
        self._write_next()

    def compact(self, payloads: list[bytes]) -> None:
        """Put these records in the place of the whole log (`Log.rewrite`); what is appended comes after.

        To be called only while `idle`: the payloads have to fold to the state that is on the disk.
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
        """Wait until all that was appended is on the disk, or the disk has refused it."""
        while (self._busy or self._waiting) and not self.write_error:
            await asyncio.sleep(0.001)

    def close(self) -> None:
        """Wait for the thread's last write, then close the log. Blocks for as long as that write takes."""
        self._closed = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._thread.shutdown(wait=True)
        self._log.close()
