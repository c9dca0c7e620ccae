"""The store of a process of the group: its own epoch, its peers' epochs, a voter's Raft log, the last state.

Records are JSON arrays: ["begins", epoch, token], ["met", name, epoch, token], ["held", lineage, state], and
["raft", ...] followed by the values of a record of `consensus.records`.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from collections.abc import Callable, Iterable, Iterator

from weldhatch.config import ConfigError
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.records import Record, record_from_list
from weldhatch.sites.epochs import EpochStorage
from weldhatch.store.commit import NO_OP_RECORD
from weldhatch.store.folded import FoldedStore
from weldhatch.store.log import Disk

COMPACTION_SLACK_RECORDS = 500  # fewer than the default, as a record may hold a complete state


class InvalidClusterRecordError(ValueError):
    """A record of the store can't be read."""

    def __init__(self, payload: bytes, reason: str = "") -> None:
        """Keep the `payload` of the record."""
        text = f"unreadable record of the group's store: {payload[:80]!r}"
        super().__init__(f"{text}: {reason}" if reason else text)
        self.payload = payload


class ClusterRecords:
    """The state that the records of a store fold to."""

    def __init__(self) -> None:
        """Begin with the state of an empty store."""
        self.epoch = 0
        self.token = ""
        self.met: dict[str, tuple[int, str]] = {}  # epoch and token of each known peer, by its name
        self.lineage = 0
        self.state = ""  # the replicated state that this process applied last
        self.persistent = PersistentState()  # of the voter

    def apply(self, payload: bytes) -> None:
        """Apply one record. Raises ValueError if it can't be read."""
        if payload == NO_OP_RECORD:
            return
        try:
            kind, *values = json.loads(payload)
        except (ValueError, TypeError) as error:
            raise InvalidClusterRecordError(payload, str(error)) from None
        match kind, values:
            case "raft", _:
                self.persistent.apply(record_from_list(values))
            case "begins", [int(epoch), str(token)]:
                self.epoch = epoch
                self.token = token
            case "met", [str(name), int(epoch), str(token)]:
                self.met[name] = (epoch, token)
            case "held", [int(lineage), str(state)]:
                self.lineage = lineage
                self.state = state
            case _:
                raise InvalidClusterRecordError(payload)

    def snapshot_records(self) -> Iterator[bytes]:
        """Yield the fewest records that fold to the same state."""
        yield json.dumps(["begins", self.epoch, self.token]).encode()
        for name, (epoch, token) in self.met.items():
            yield json.dumps(["met", name, epoch, token]).encode()
        if self.state:
            yield json.dumps(["held", self.lineage, self.state]).encode()
        for record in self.persistent.records():
            yield b'["raft",' + json.dumps(record.to_list()).encode()[1:]

    @property
    def snapshot_size(self) -> int:
        """The approximate number of records that `snapshot_records` yields."""
        return 2 + len(self.met) + self.persistent.size


class ClusterStore(EpochStorage):
    """Owns the folder. Keeps two folded states: one of the records on disk, one in memory for the voter."""

    def __init__(self, folder: str, now: float, log: Callable[[str], None], disk: Disk | None = None) -> None:
        """Open the folder. `now`: Unix seconds, reported to a process that finds the folder locked.

        Raises ConfigError if the folder can't be used or is locked, or if a record is unreadable.
        """
        on_disk = ClusterRecords()
        memory = ClusterRecords()
        try:
            self._store = FoldedStore(
                folder,
                "agreement.log",
                "agreement",
                now,
                [on_disk, memory],
                log,
                disk,
                COMPACTION_SLACK_RECORDS,
            )
            self.is_fresh = memory.epoch == 0
            first = json.dumps(["begins", memory.epoch + 1, secrets.token_hex(4)]).encode()
            memory.apply(first)
            self._store.start([first])
        except OSError as error:
            raise ConfigError(f"agreement.store: {error}") from None
        super().__init__(self._store, memory.epoch, memory.token, memory.met)
        self.persistent = memory.persistent
        self.lineage = memory.lineage
        self.state = memory.state

    def write(self, records: Iterable[Record]) -> asyncio.Future[None]:
        """Write a voter's records; the future is done once they are on the disk, after retries if need be."""
        return self._store.append_with_retry(
            [json.dumps(["raft", *record.to_list()]).encode() for record in records]
        )

    def save_state(self, lineage: int, state: str) -> None:
        """Store the applied state, so that it can be restored after a restart."""
        self._store.append_with_retry([json.dumps(["held", lineage, state]).encode()])
