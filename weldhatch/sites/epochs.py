"""What a store says of itself on links, and whom it has met (`link.Epochs`): the same for every book."""

from __future__ import annotations

import json

from weldhatch.store.folded import FoldedStore


class EpochStorage:
    """A store whose records begin each run with an epoch and a token, and keep those of the others."""

    def __init__(self, store: FoldedStore, epoch: int, token: str, met: dict[str, tuple[int, str]]) -> None:
        self._store, self.epoch, self.token, self._met = store, epoch, token, met

    @property
    def own_epoch(self) -> tuple[int, str]:
        return self.epoch, self.token

    @property
    def write_error(self) -> str:
        """Why nothing new can be taken; '' while the disk takes records."""
        return self._store.write_error

    def known_epoch(self, name: str) -> tuple[int, str]:
        return self._met.get(name, (0, ""))

    async def record_epoch(self, name: str, epoch: int, token: str) -> None:
        if self._met.get(name) != (epoch, token):
            await self._store.append_with_retry([json.dumps(["met", name, epoch, token]).encode()])
            self._met[name] = (epoch, token)

    async def flush(self) -> None:
        await self._store.flush()

    def close(self) -> None:
        self._store.close()
