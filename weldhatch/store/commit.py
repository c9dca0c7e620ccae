"""Group commit: many writers, one thread that waits for the disk, and an event loop that never does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from weldhatch.store.log import Log, LogError

AGAIN_S = 0.5  # a disk that took nothing is tried again after this


class Committer:
    """Appends records to a log in the order they were put. Owns the log's thread; `close` gives both back.

    Two kinds of record: those that may fail, whose writers take back what they were about to do, and those
    that
    tell what has happened already, which are kept and written once the disk takes them again.
    """

    def __init__(
        self,
        log: Log,
        written: Callable[[bytes], None],
        say: Callable[[str], None],
        wrote: Callable[[], None] = lambda: None,
    ) -> None:
        """`written` hears each record once it is on the disk, in order, and `wrote` each batch; `say`
        logs."""
        self._log, self._written, self._say = log, written, say
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, "store")
        self._waiting: list[tuple[bytes, asyncio.Future | None, bool]] = []
        self._busy = self._closed = False
        self._again: asyncio.TimerHandle | None = None
        self.full = ""  # why the disk takes nothing; '' while it does
        self._wrote = wrote

    def put(self, payloads: Iterable[bytes], must: bool = False) -> asyncio.Future:
        """Append; the future is done when all are on the disk, or fails with LogError where they may not be.

        `must`: these tell what has happened: they are kept until they are written, and the future never
        fails.
        """
        done = self._loop.create_future()
        entries = [[payload, None, must] for payload in payloads]
        if not entries:
            done.set_result(None)
            return done
        if self.full and not must:
            done.set_exception(LogError(self.full))
            return done
        entries[-1][1] = done
        self._waiting += map(tuple, entries)
        self._pump()
        return done

    def _pump(self) -> None:
        if self._busy or not self._waiting or self._closed or self._again is not None:
            return
        batch, self._waiting = self._waiting, []
        self._busy = True
        self._loop.run_in_executor(
            self._thread, self._log.append, [payload for payload, _, _ in batch]
        ).add_done_callback(lambda told: self._told(batch, told))

    def _told(self, batch: list[tuple[bytes, asyncio.Future | None, bool]], told: asyncio.Future) -> None:
        self._busy = False
        fault = None if told.cancelled() else told.exception()
        if fault is None:
            if self.full:
                self._say("store: the disk takes records again")
            self.full = ""
            for payload, done, _ in batch:
                self._written(payload)
                if done is not None and not done.done():
                    done.set_result(None)
            self._wrote()
        else:
            if not self.full:
                self._say(f"store: {fault}; new work is refused until it does")
            self.full = str(fault)
            kept = [entry for entry in batch if entry[2]]
            for _, done, must in batch:
                if done is not None and not must and not done.done():
                    done.set_exception(LogError(self.full))
            late = [entry for entry in self._waiting if not entry[2]]
            self._waiting = kept + [entry for entry in self._waiting if entry[2]]
            for _, done, _ in late:
                if done is not None and not done.done():
                    done.set_exception(LogError(self.full))
            if not self._closed:
                self._again = self._loop.call_later(AGAIN_S, self._retry)
        self._pump()

    def _retry(self) -> None:
        """Try what is kept; with nothing kept, an empty look whether there is room again."""
        self._again = None
        if not self._waiting:
            self._waiting.append((PROBE, None, True))
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
            self._say(f"store: {told.exception()}")
        self._pump()

    async def flush(self) -> None:
        """Wait until all that was put is on the disk, or the disk has refused it."""
        while (self._busy or self._waiting) and not self.full:
            await asyncio.sleep(0.001)

    def close(self) -> None:
        """Wait for the thread's last write, then close the log."""
        self._closed = True
        if self._again is not None:
            self._again.cancel()
        self._thread.shutdown(wait=True)
        self._log.close()


PROBE = b'["probe"]'  # a record that says nothing
