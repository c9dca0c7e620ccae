"""What a store says of itself on links, and whom it has met (`link.EpochRegistry`)."""

from __future__ import annotations

import json

from weldhatch.store.folded import EpochStore, FoldedStore


class EpochStorage(EpochStore):
    """A store whose records begin each run with an epoch and a token, and keep those of the others."""

    def __init__(
        self, store: FoldedStore, epoch: int, token: str, known_epochs: dict[str, tuple[int, str]]
    ) -> None:
        """Wrap a store that was started. `met`: epoch and token by name, as its records have them; kept."""
        super().__init__(store, epoch, token)
        self._known_epochs = known_epochs

    @property
    def own_epoch(self) -> tuple[int, str]:
        """Epoch and token of this run."""
        return self.epoch, self.token

    def known_epoch(self, name: str) -> tuple[int, str]:
        """Return epoch and token of another's store, as last written down; (0, '') for never."""
        return self._known_epochs.get(name, (0, ""))

    async def record_epoch(self, name: str, epoch: int, token: str) -> None:
        """Write down what another's store says of itself; done once it is on the disk."""
        if self._known_epochs.get(name) != (epoch, token):
            await self._store.append_with_retry([json.dumps(["met", name, epoch, token]).encode()])
            self._known_epochs[name] = (epoch, token)
