"""The sites' store on disk: outgoing and incoming transfers, and the known epochs of other sites.

Records are JSON arrays: ["begins", epoch, token], ["met", site, epoch, token], ["lender", ...] for a record
of a `HandoffSource`, and ["taker", site, ...] for one of a `HandoffTarget`. The state in memory is ahead of
the disk; a second state tracks what is on the disk, and is the source of compaction at run time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import msgspec

from weldhatch.config import ConfigError
from weldhatch.sites.epochs import EpochStorage
from weldhatch.sites.frames import decode_record, encode_record
from weldhatch.sites.handoff_source import HandoffSource
from weldhatch.sites.handoff_target import HandoffTarget
from weldhatch.sites.messages import HandoffRecord
from weldhatch.store.commit import NO_OP_RECORD
from weldhatch.store.folded import FoldedStore


class SiteState:
    """The state rebuilt from all records of a site's store."""

    def __init__(self) -> None:
        """Start without transfers and known epochs."""
        self.epoch = 0
        self.token = ""
        self.known_epochs: dict[str, tuple[int, str]] = {}
        self.source = HandoffSource(0)
        self.targets: dict[str, HandoffTarget] = {}

    def apply(self, payload: bytes) -> None:
        """Apply one record. Raises ValueError if it is invalid."""
        if payload == NO_OP_RECORD:
            return
        try:
            kind, *rest = msgspec.json.decode(payload)
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            raise ValueError(f"a record that can't be read: {payload[:80]!r}: {error}") from None
        match kind, rest:
            case "begins", [int(epoch), str(token)]:
                self.begin_epoch(epoch, token)
            case "met", [str(site), int(epoch), str(token)]:
                self.known_epochs[site] = (epoch, token)
            case "lender", [*record]:
                self.source.apply(decode_record(msgspec.json.encode(record)))
            case "taker", [str(site), *record]:
                self.target(site).apply(decode_record(msgspec.json.encode(record)))
            case _:
                raise ValueError(f"a record that can't be read: {payload[:80]!r}")

    def begin_epoch(self, epoch: int, token: str) -> bytes:
        """Set epoch and token of a run, and return the record for them."""
        self.epoch = epoch
        self.token = token
        self.source.apply(("epoch", epoch))
        return msgspec.json.encode(("begins", epoch, token))

    def target(self, site: str) -> HandoffTarget:
        """Return the incoming transfers of a site."""
        return self.targets.setdefault(site, HandoffTarget(site))

    def snapshot_records(self) -> Iterator[bytes]:
        """Return a minimal list of records that rebuilds the same state."""
        for record in self.source.snapshot_records():
            if record[0] != "epoch":
                yield encode_source_record(record)
        for site, target in self.targets.items():
            for record in target.snapshot_records():
                yield encode_target_record(site, record)
        for site, (epoch, token) in self.known_epochs.items():
            yield msgspec.json.encode(("met", site, epoch, token))
        yield msgspec.json.encode(("begins", self.epoch, self.token))

    @property
    def snapshot_size(self) -> int:
        """Approximate number of records that `snapshot_records` returns."""
        taken = sum(3 * len(target.transfers) + len(target.tombstones) for target in self.targets.values())
        return 2 + 2 * len(self.source.transfers) + len(self.known_epochs) + taken


def encode_source_record(record: HandoffRecord) -> bytes:
    """Encode a record of an outgoing transfer for the log."""
    return b'["lender",' + encode_record(record)[1:]


def encode_target_record(site: str, record: HandoffRecord) -> bytes:
    """Encode a record of an incoming transfer from a site for the log."""
    return msgspec.json.encode(("taker", site))[:-1] + b"," + encode_record(record)[1:]


class SiteStorage(EpochStorage):
    """The sites' store folder, with one state as on the disk and one in memory that is ahead of it."""

    def __init__(self, folder: str, now: float, log: Callable[[str], None]) -> None:
        """Open the folder and start a new epoch. `now`: Unix seconds.

        Raises ConfigError if the folder can't be used, is locked by another process, or holds unreadable
        records.
        """
        self.disk = SiteState()
        memory = SiteState()
        try:
            store = FoldedStore(folder, "sites.log", "sites", now, [self.disk, memory], log)
            # The epoch is on the disk before any transfer id uses it.
            epoch, token = self.begin_run(store, memory.epoch, memory.begin_epoch)
        except OSError as error:
            raise ConfigError(f"sites.store: {error}") from None
        super().__init__(store, epoch, token, memory.known_epochs)
        self.source = memory.source
        self.targets = memory.targets
        self.target = memory.target

    def append(self, records: list[bytes]) -> asyncio.Future[None]:
        """Record an intended action; the future resolves once it is on the disk, or fails with LogError."""
        return self._store.append(records)

    def append_with_retry(self, records: list[bytes]) -> asyncio.Future[None]:
        """Record something that has happened, retrying until the disk accepts it; the future never fails."""
        return self._store.append_with_retry(records)
