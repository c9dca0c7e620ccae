"""The pull queue's store: writes records of `durable_state` by group commit, or nothing without a store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from weldhatch.config import ConfigError
from weldhatch.pullqueue.durable_state import QueueState
from weldhatch.store.folded import EpochStore, FoldedStore

MAX_WRITE_WAIT_S = 0.05  # how long an answer waits for a disk that is slow or does not accept writes


class QueueStorage(EpochStore):
    """The store of a pull queue in a folder, which one gateway at a time can open."""

    def __init__(self, folder: str, now: float, log: Callable[[str], None], settle_s: float = 0.0) -> None:
        """Open the folder and begin an epoch. `now`: Unix seconds.

        In a folder that no gateway has used before, nothing may be handed out for `settle_s`, since leases of
        a gateway without it may still run. That holds over restarts.

        Raises ConfigError if the folder can't be used, is locked by another gateway or has invalid records.
        """
        self.state = QueueState()
        try:
            store = FoldedStore(folder, "queue.log", "store", now, [self.state], log)
            self.is_first_run = self.state.epoch == 0  # whether no gateway has used the folder before
            if self.is_first_run and settle_s:
                self.state.settles_at = now + settle_s
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
        """Set the epoch, but do not apply its record: that would reset which leases the last run has seen."""
        self.state.epoch = epoch
        self.state.token = token
        return self.state.epoch_record(now)

    @property
    def settles_at(self) -> float:
        """When leases that the store does not know have run out, in Unix seconds."""
        return self.state.settles_at

    @property
    def epoch_name(self) -> str:
        """The epoch as part of the names that this gateway generates."""
        return f"{self.epoch}.{self.token}"

    def append(self, *records: bytes) -> asyncio.Future[None]:
        """Write records of something that is about to happen.

        The future is done once they are on the disk, and fails with LogError if they can't be written.
        """
        return self._store.append(records)

    def append_with_retry(self, *records: bytes) -> asyncio.Future[None]:
        """Write records of something that has happened, retrying until the disk accepts them.

        The future never fails.
        """
        return self._store.append_with_retry(records)


class NoStorage:
    """The replacement for a store if none is configured: nothing is written, nothing survives a restart."""

    write_error = ""

    def __init__(self, now_ns: int, settle_s: float) -> None:
        """Use the time, in Unix nanoseconds, as the name of the epoch. Needs a running event loop.

        Each run begins without leases, so nothing may be handed out for `settle_s`.
        """
        self.settles_at = now_ns / 1e9 + settle_s
        self.state = QueueState()
        self.epoch_name = f"{now_ns:x}"
        self._done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._done.set_result(None)

    def append(self, *records: bytes) -> asyncio.Future[None]:
        """Discard the records; return a future that is done."""
        return self._done

    append_with_retry = append

    async def flush(self) -> None:
        """Return at once."""

    def close(self) -> None:
        """Do nothing."""
