"""The gateway's book: writes what `durable` folds, through the store's group commit; or nothing, without a
store."""

from __future__ import annotations

import asyncio
import os
import secrets
from collections.abc import Callable
from pathlib import Path

from weldhatch.config import ConfigError
from weldhatch.pullqueue.durable import Durable, encode, fold
from weldhatch.store.commit import Committer
from weldhatch.store.lock import Lock, LockHeld
from weldhatch.store.log import Log, LogError

COMPACT_FACTOR, COMPACT_OVER = 4, 20_000


class Book:
    """Owns the store's folder: its lock, its log and the thread that writes it. One gateway at a time."""

    def __init__(self, folder: str, now: float, say: Callable[[str], None]) -> None:
        """Raises ConfigError where the folder can't be used, is another's, or holds what can't be read."""
        self._folder = Path(folder)
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock = Lock(self._folder / "lock", f"a gateway (process {os.getpid()})", f"{now:.0f}")
        except (LockHeld, OSError) as fault:
            raise ConfigError(f"store: {fault}") from None
        try:
            self._log = Log(self._folder / "queue.log")
            try:
                self.state: Durable = fold(self._log.records())
            except ValueError as fault:
                raise LogError(f"{self._log.path}: {fault}") from None
            if self._log.torn is not None:
                say(f"store: the last {self._log.torn.length} bytes were no whole record: dropped")
            self.fresh = self.state.epoch == 0
            self.state.epoch += 1
            self.state.token = secrets.token_hex(4)
            # The epoch is on the disk before the first name of it is given.
            if self._log.count > COMPACT_FACTOR * self.state.size + COMPACT_OVER:
                self._log.rewrite(self.state.records())
            else:
                self._log.append([encode("epoch", self.state.epoch, self.state.token, now)])
        except OSError as fault:
            self._lock.close()
            raise ConfigError(f"store: {fault}") from None
        self._say = say
        self._committer = Committer(self._log, self.state.take, say, self._wrote)

    def _wrote(self) -> None:
        """Guards the disk against a gateway that runs for months: the log is cut down while it runs."""
        if self._log.count > COMPACT_FACTOR * self.state.size + COMPACT_OVER and self._committer.idle:
            self._say(f"store: {self._log.count} records are cut down to {self.state.size}")
            self._committer.compact(list(self.state.records()))

    @property
    def epoch(self) -> str:
        return f"{self.state.epoch}.{self.state.token}"

    @property
    def full(self) -> str:
        """Why nothing new can be taken; '' while the disk takes records."""
        return self._committer.full

    def may(self, *records: bytes) -> asyncio.Future:
        """What is about to happen: done once it is on the disk, LogError if it may not."""
        return self._committer.put(records)

    def must(self, *records: bytes) -> asyncio.Future:
        """What has happened: written as soon as the disk takes it; the future never fails."""
        return self._committer.put(records, must=True)

    async def flush(self) -> None:
        await self._committer.flush()

    def close(self) -> None:
        self._committer.close()
        self._lock.close()


class NoBook:
    """Without a store: nothing is written, and nothing is there after a restart."""

    full = ""
    fresh = True

    def __init__(self, now_ns: int) -> None:
        self.state = Durable()
        self.epoch = f"{now_ns:x}"
        self._done = asyncio.get_running_loop().create_future()
        self._done.set_result(None)

    def may(self, *records: bytes) -> asyncio.Future:
        return self._done

    must = may

    async def flush(self) -> None:
        pass

    def close(self) -> None:
        pass
