"""The gateway's book: writes what `durable` folds, through the store's group commit; or nothing, without a
store."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from weldhatch.config import ConfigError
from weldhatch.pullqueue.durable_state import QueueState, encode
from weldhatch.store.folded import FoldedStore


class QueueStorage:
    """The store's folder, as a pull queue keeps it. One gateway at a time."""

    def __init__(self, folder: str, now: float, say: Callable[[str], None]) -> None:
        """Raises ConfigError where the folder can't be used, is another's, or holds what can't be read."""
        self.state = QueueState()
        try:
            self._store = FoldedStore(folder, "queue.log", "store", now, [self.state], say)
            self.fresh = self.state.epoch == 0
            self.state.epoch += 1
            self.state.token = secrets.token_hex(4)
            # The epoch is on the disk before the first name of it is given.
            self._store.start([encode("epoch", self.state.epoch, self.state.token, now)], folded=True)
        except OSError as fault:
            raise ConfigError(f"store: {fault}") from None

    @property
    def epoch(self) -> str:
        return f"{self.state.epoch}.{self.state.token}"

    @property
    def write_error(self) -> str:
        """Why nothing new can be taken; '' while the disk takes records."""
        return self._store.write_error

    def append(self, *records: bytes) -> asyncio.Future:
        """What is about to happen: done once it is on the disk, LogError if it may not."""
        return self._store.append(records)

    def append_with_retry(self, *records: bytes) -> asyncio.Future:
        """What has happened: written as soon as the disk takes it; the future never fails."""
        return self._store.append_with_retry(records)

    async def flush(self) -> None:
        await self._store.flush()

    def close(self) -> None:
        self._store.close()


class NoStorage:
    """Without a store: nothing is written, and nothing is there after a restart."""

    write_error = ""
    fresh = True

    def __init__(self, now_ns: int) -> None:
        self.state = QueueState()
        self.epoch = f"{now_ns:x}"
        self._done = asyncio.get_running_loop().create_future()
        self._done.set_result(None)

    def append(self, *records: bytes) -> asyncio.Future:
        return self._done

    append_with_retry = append

    async def flush(self) -> None:
        pass

    def close(self) -> None:
        pass
