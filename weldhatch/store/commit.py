"""Group commit: many writers, one thread that waits for the disk, and an event loop that never does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from weldhatch.store.log import Log, LogError

RETRY_DELAY_S = 0.5  # a disk that took nothing is tried again after this


class GroupCommitter:
    """Appends records to a log in the order they were put. Owns the log's thread; `close` gives both back.

    Two kinds of record: those that may fail, whose writers take back what they were about to do, and those
    that
    tell what has happened already, which are kept and written once the disk takes them again.
    """

    def __init__(
        self,
        log: Log,
        on_written: Callable[[bytes], None],
        log_line: Callable[[str], None],
        on_batch: Callable[[], None] = lambda: None,
    ) -> None:
        """`written` hears each record once it is on the disk, in order, and `wrote` each batch; `say`
        logs."""
        self._log, self._on_written, self._log_line = log, on_written, log_line
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, "store")
        self._waiting: list[tuple[bytes, asyncio.Future | None, bool]] = []
        self._busy = self._closed = False
        self._retry_timer: asyncio.TimerHandle | None = None
        self.write_error = ""  # why the disk takes nothing; '' while it does
        self._on_batch = on_batch

    def append(self, payloads: Iterable[bytes], must_succeed: bool = False) -> asyncio.Future:
        """Append; the future is done when all are on the disk, or fails with LogError where they may not be.

        `must`: these tell what has happened: they are kept until they are written, and the future never
        fails.
        """
        done = self._loop.create_future()
        entries = [[payload, None, must_succeed] for payload in payloads]
        if not entries:
            done.set_result(None)
            return done
        if self.write_error and not must_succeed:
            done.set_exception(LogError(self.write_error))
            return done
        entries[-1][1] = done
        self._waiting += map(tuple, entries)
        self._pump()
        return done

    def _pump(self) -> None:
        if self._busy or not self._waiting or self._closed or self._retry_timer is not None:
            return
        batch, self._waiting = self._waiting, []
        self._busy = True
        self._loop.run_in_executor(
            self._thread, self._log.append, [payload for payload, _, _ in batch]
        ).add_done_callback(lambda told: self._finish_batch(batch, told))

    def _finish_batch(
        self, batch: list[tuple[bytes, asyncio.Future | None, bool]], told: asyncio.Future
    ) -> None:
        self._busy = False
        fault = None if told.cancelled() else told.exception()
        if fault is None:
            if self.write_error:
                self._log_line("store: the disk takes records again")
            self.write_error = ""
            for payload, done, _ in batch:
                self._on_written(payload)
                if done is not None and not done.done():
                    done.set_result(None)
            self._on_batch()
        else:
            if not self.write_error:
                self._log_line(f"store: {fault}; new work is refused until it does")
            self.write_error = str(fault)
            kept = [entry for entry in batch if entry[2]]
            for _, done, must_succeed in batch:
                if done is not None and not must_succeed and not done.done():
                    done.set_exception(LogError(self.write_error))
            late = [entry for entry in self._waiting if not entry[2]]
            self._waiting = kept + [entry for entry in self._waiting if entry[2]]
            for _, done, _ in late:
                if done is not None and not done.done():
                    done.set_exception(LogError(self.write_error))
            if not self._closed:
                self._retry_timer = self._loop.call_later(RETRY_DELAY_S, self._retry)
        self._pump()

    def _retry(self) -> None:
        """Try what is kept; with nothing kept, an empty look whether there is room again."""
        self._retry_timer = None
        if not self._waiting:
            self._waiting.append((NO_OP_RECORD, None, True))
        self._pump()

    def compact(self, payloads: list[bytes]) -> None:
        """Put these in the place of the whole log, as `Log.rewrite` does; what is put meanwhile comes after.

        Only where nothing is being written (`idle`): the payloads have to fold to what is on the disk.
        """
        self._busy = True
        self._loop.run_in_executor(self._thread, self._log.rewrite, payloads).add_done_callback(
            self._compacted
        )

    @property
    def idle(self) -> bool:
        return not self._busy

    def _compacted(self, told: asyncio.Future) -> None:
        self._busy = False
        if not told.cancelled() and told.exception() is not None:
            self._log_line(f"store: {told.exception()}")
        self._pump()

    async def flush(self) -> None:
        """Wait until all that was put is on the disk, or the disk has refused it."""
        while (self._busy or self._waiting) and not self.write_error:
            await asyncio.sleep(0.001)

    def close(self) -> None:
        """Wait for the thread's last write, then close the log."""
        self._closed = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._thread.shutdown(wait=True)
        self._log.close()


NO_OP_RECORD = b'["probe"]'  # a record that says nothing
