"""What a process keeps of the agreement: its own epoch, whom it has met, a voter's log, the last state.

Records are JSON arrays: ["begins", epoch, token], ["met", name, epoch, token], ["held", lineage, state], and
["raft", ...] with those of `consensus.persistent_state`.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from collections.abc import Callable, Iterator

from weldhatch.config import ConfigError
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.sites.epochs import EpochStorage
from weldhatch.store.commit import NO_OP_RECORD
from weldhatch.store.folded import FoldedStore
from weldhatch.store.log import Disk

COMPACT_OVER = 500  # records are large here: each may hold a whole state


class ClusterRecords:
    """All records, folded."""

    def __init__(self) -> None:
        self.epoch, self.token = 0, ""
        self.met: dict[str, tuple[int, str]] = {}
        self.lineage, self.state = 0, ""
        self.saved = PersistentState()

    def apply(self, payload: bytes) -> None:
        """One record. Raises ValueError for what is none."""
        if payload == NO_OP_RECORD:
            return
        try:
            word, *rest = json.loads(payload)
        except (ValueError, TypeError) as fault:
            raise ValueError(f"a record that can't be read: {payload[:80]!r}: {fault}") from None
        match word, rest:
            case "raft", [str(one), *values]:
                self.saved.apply(one, *values)
            case "begins", [int(epoch), str(token)]:
                self.epoch, self.token = epoch, token
            case "met", [str(name), int(epoch), str(token)]:
                self.met[name] = (epoch, token)
            case "held", [int(lineage), str(state)]:
                self.lineage, self.state = lineage, state
            case _:
                raise ValueError(f"a record that can't be read: {payload[:80]!r}")

    def snapshot_records(self) -> Iterator[bytes]:
        """The least records that fold to the same."""
        yield json.dumps(["begins", self.epoch, self.token]).encode()
        for name, (epoch, token) in self.met.items():
            yield json.dumps(["met", name, epoch, token]).encode()
        if self.state:
            yield json.dumps(["held", self.lineage, self.state]).encode()
        for record in self.saved.records():
            yield b'["raft",' + record[1:]

    @property
    def snapshot_size(self) -> int:
        return 2 + len(self.met) + self.saved.size


class ClusterStore(EpochStorage):
    """The folder of the agreement. Its fold of the disk is one, a voter's log in memory another."""

    def __init__(self, folder: str, now: float, say: Callable[[str], None], disk: Disk | None = None) -> None:
        """Raises ConfigError where the folder can't be used, is another's, or holds what can't be read."""
        on_disk, memory = ClusterRecords(), ClusterRecords()
        try:
            self._store = FoldedStore(
                folder, "agreement.log", "agreement", now, [on_disk, memory], say, disk, COMPACT_OVER
            )
            self.fresh = memory.epoch == 0
            begins = json.dumps(["begins", memory.epoch + 1, secrets.token_hex(4)]).encode()
            memory.apply(begins)
            self._store.start([begins])
        except OSError as fault:
            raise ConfigError(f"agreement.store: {fault}") from None
        super().__init__(self._store, memory.epoch, memory.token, memory.met)
        self.saved = memory.saved
        self.lineage, self.state = memory.lineage, memory.state

    def write(self, words: list[tuple]) -> asyncio.Future:
        """A voter's records: done once they are on the disk, however long that takes."""
        return self._store.append_with_retry([json.dumps(["raft", *word]).encode() for word in words])

    def hold(self, lineage: int, state: str) -> None:
        """The state that is acted on, for a look after a restart."""
        self._store.append_with_retry([json.dumps(["held", lineage, state]).encode()])
