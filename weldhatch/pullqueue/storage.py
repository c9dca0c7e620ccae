"""The gateway's book: writes what `durable` folds, through the store's group commit; or nothing, without a
store."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from weldhatch.config import ConfigError
from weldhatch.pullqueue.durable_state import Durable, encode
from weldhatch.store.folded import FoldedStore


class Book:
    """The store's folder, as a pull queue keeps it. One gateway at a time."""

    def __init__(self, folder: str, now: float, say: Callable[[str], None]) -> None:
        """Raises ConfigError where the folder can't be used, is another's, or holds what can't be read."""
        self.state = Durable()
        try:
            self._store = FoldedStore(folder, "queue.log", "store", now, [self.state], say)
            self.fresh = self.state.epoch == 0
            self.state.epoch += 1
            self.state.token = secrets.token_hex(4)
            # The epoch is on the disk before the first name of it is given.
            self._store.begin([encode("epoch", self.state.epoch, self.state.token, now)], folded=True)
        except OSError as fault:
            raise ConfigError(f"store: {fault}") from None

    @property
    def epoch(self) -> str:
        return f"{self.state.epoch}.{self.state.token}"

    @property
    def full(self) -> str:
        """Why nothing new can be taken; '' while the disk takes records."""
        return self._store.full

    def may(self, *records: bytes) -> asyncio.Future:
        """What is about to happen: done once it is on the disk, LogError if it may not."""
        return self._store.may(records)

    def must(self, *records: bytes) -> asyncio.Future:
        """What has happened: written as soon as the disk takes it; the future never fails."""
        return self._store.must(records)

    async def flush(self) -> None:
        await self._store.flush()

    def close(self) -> None:
        self._store.close()


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
