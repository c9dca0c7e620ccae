"""A store that keeps its own epoch and the last known epochs of peers (`link.EpochRegistry`)."""

from __future__ import annotations

import json

from weldhatch.store.folded import EpochStore, FoldedStore


class EpochStorage(EpochStore):
    """A store that records an epoch and a token for each of its runs, and those of other stores."""

    def __init__(
        self, store: FoldedStore, epoch: int, token: str, known_epochs: dict[str, tuple[int, str]]
    ) -> None:
        """Wrap a started store. `known_epochs`: peers' epochs and tokens by name; updated in place."""
        super().__init__(store, epoch, token)
        self._known_epochs = known_epochs

    @property
    def own_epoch(self) -> tuple[int, str]:
        """Epoch and token of the current run."""
        return self.epoch, self.token

    def known_epoch(self, name: str) -> tuple[int, str]:
        """Return the last recorded epoch and token of a peer's store; (0, '') if there is none."""
        return self._known_epochs.get(name, (0, ""))

    async def record_epoch(self, name: str, epoch: int, token: str) -> None:
        """Record epoch and token of a peer's store; returns once the record is on the disk."""
        if self._known_epochs.get(name) != (epoch, token):
            await self._store.append_with_retry([json.dumps(["met", name, epoch, token]).encode()])
            self._known_epochs[name] = (epoch, token)
