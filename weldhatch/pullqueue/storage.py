"""The pull queue's store: writes what `durable_state` folds, by group commit; or nothing, without a store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldhatch.config import ConfigError
from weldhatch.pullqueue.durable_state import QueueState, encode
from weldhatch.store.folded import EpochStore, FoldedStore


class QueueStorage(EpochStore):
    """The folder of a pull queue's store. One gateway at a time."""

    def __init__(self, folder: str, now: float, log: Callable[[str], None]) -> None:
        """Open the folder and begin an epoch. `now`: Unix seconds.

        Raises ConfigError where the folder can't be used, is another's, or holds what can't be read.
        """
        self.state = QueueState()
        try:
            store = FoldedStore(folder, "queue.log", "store", now, [self.state], log)
            self.fresh = self.state.epoch == 0  # no gateway has used the folder before
            super().__init__(
                store,
                *self.begin_run(
                    store,
                    self.state.epoch,
                    lambda epoch, token: self._begin_epoch(epoch, token, now),
                    already_applied=True,
                ),
            )
        except OSError as error:
            raise ConfigError(f"store: {error}") from None

    def _begin_epoch(self, epoch: int, token: str, now: float) -> bytes:
        """Set the epoch, but do not apply its record: it would forget which leases the last run has seen."""
        self.state.epoch = epoch
        self.state.token = token
        return encode("epoch", epoch, token, now)

    @property
    def epoch_name(self) -> str:
        """The epoch as it stands in the names that this gateway gives."""
        return f"{self.epoch}.{self.token}"

    def append(self, *records: bytes) -> asyncio.Future[None]:
        """Write what is about to happen: done once it is on the disk, LogError if it may not."""
        return self._store.append(records)

    def append_with_retry(self, *records: bytes) -> asyncio.Future[None]:
        """Write what has happened, as soon as the disk takes it; the future never fails."""
        return self._store.append_with_retry(records)


class NoStorage:
    """Without a store: nothing is written, and nothing is there after a restart."""

    write_error = ""
    fresh = True

    def __init__(self, now_ns: int) -> None:
        """Name the epoch after the time, in Unix nanoseconds. Needs a running event loop."""
        self.state = QueueState()
        self.epoch_name = f"{now_ns:x}"
        self._done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._done.set_result(None)

    def append(self, *records: bytes) -> asyncio.Future[None]:
        """Forget the records; the future is done."""
        return self._done

    append_with_retry = append

    async def flush(self) -> None:
        """Return at once."""

    def close(self) -> None:
        """Do nothing."""
