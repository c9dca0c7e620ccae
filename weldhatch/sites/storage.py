"""The sites' book: what a site lent, what it took, and which epochs of other sites it has met, on the disk.

Records are JSON arrays: ["begins", epoch, token], ["met", site, epoch, token], ["lender", ...] and
["taker", site, ...], the last two as the hand-over's own. What is in memory runs ahead of the disk; the fold
here holds what is on it, from which the log is cut down while it is written.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterator

import msgspec

from weldhatch.config import ConfigError
from weldhatch.sites.epochs import EpochStorage
from weldhatch.sites.frames import decode_record, encode_record
from weldhatch.sites.handoff_source import HandoffSource
from weldhatch.sites.handoff_target import HandoffTarget
from weldhatch.store.commit import NO_OP_RECORD
from weldhatch.store.folded import FoldedStore


class SiteState:
    """All records, folded."""

    def __init__(self) -> None:
        self.epoch, self.token = 0, ""
        self.met: dict[str, tuple[int, str]] = {}
        self.source = HandoffSource(0)
        self.targets: dict[str, HandoffTarget] = {}

    def apply(self, payload: bytes) -> None:
        """One record. Raises ValueError for what is none."""
        if payload == NO_OP_RECORD:
            return
        try:
            kind, *rest = msgspec.json.decode(payload)
        except (msgspec.MsgspecError, ValueError, TypeError) as fault:
            raise ValueError(f"a record that can't be read: {payload[:80]!r}: {fault}") from None
        match kind, rest:
            case "begins", [int(epoch), str(token)]:
                self.epoch, self.token = epoch, token
                self.source.apply(("epoch", epoch))
            case "met", [str(site), int(epoch), str(token)]:
                self.met[site] = (epoch, token)
            case "lender", [*record]:
                self.source.apply(decode_record(msgspec.json.encode(record)))
            case "taker", [str(site), *record]:
                self.target(site).apply(decode_record(msgspec.json.encode(record)))
            case _:
                raise ValueError(f"a record that can't be read: {payload[:80]!r}")

    def target(self, site: str) -> HandoffTarget:
        return self.targets.setdefault(site, HandoffTarget(site))

    def snapshot_records(self) -> Iterator[bytes]:
        """The least records that fold to the same."""
        for record in self.source.snapshot_records():
            if record[0] != "epoch":
                yield encode_source_record(record)
        for site, target in self.targets.items():
            for record in target.snapshot_records():
                yield encode_target_record(site, record)
        for site, (epoch, token) in self.met.items():
            yield msgspec.json.encode(("met", site, epoch, token))
        yield msgspec.json.encode(("begins", self.epoch, self.token))

    @property
    def snapshot_size(self) -> int:
        """About how many records `records` gives."""
        return (
            2
            + 2 * len(self.source.transfers)
            + len(self.met)
            + sum(3 * len(one.transfers) + len(one.tombstones) for one in self.targets.values())
        )


def encode_source_record(record: tuple) -> bytes:
    return b'["lender",' + encode_record(record)[1:]


def encode_target_record(site: str, record: tuple) -> bytes:
    return msgspec.json.encode(("taker", site))[:-1] + b"," + encode_record(record)[1:]


class SiteStorage(EpochStorage):
    """The sites' folder: a fold of what is on the disk, and one that runs ahead of it."""

    def __init__(self, folder: str, now: float, say: Callable[[str], None]) -> None:
        """Raises ConfigError where the folder can't be used, is another's, or holds what can't be read."""
        disk, memory = SiteState(), SiteState()
        try:
            self._store = FoldedStore(folder, "sites.log", "sites", now, [disk, memory], say)
            begins = msgspec.json.encode(("begins", memory.epoch + 1, secrets.token_hex(4)))
            memory.apply(begins)
            self._store.start([begins])  # on the disk before the first id of it is given
        except OSError as fault:
            raise ConfigError(f"sites.store: {fault}") from None
        super().__init__(self._store, memory.epoch, memory.token, memory.met)
        self.disk = disk
        self.source, self.targets, self.target = memory.source, memory.targets, memory.target

    def append(self, records: list[bytes]) -> asyncio.Future:
        """What is about to happen: done once it is on the disk, LogError if it may not."""
        return self._store.append(records)

    def append_with_retry(self, records: list[bytes]) -> asyncio.Future:
        """What has happened: written as soon as the disk takes it; the future never fails."""
        return self._store.append_with_retry(records)
