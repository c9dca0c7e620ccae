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
from weldhatch.sites.epochs import EpochBook
from weldhatch.sites.frames import decode_record, encode_record
from weldhatch.sites.handoff_source import Lender
from weldhatch.sites.handoff_target import Taker
from weldhatch.store.commit import PROBE
from weldhatch.store.folded import FoldedStore


class Fold:
    """All records, folded."""

    def __init__(self) -> None:
        self.epoch, self.token = 0, ""
        self.met: dict[str, tuple[int, str]] = {}
        self.lender = Lender(0)
        self.takers: dict[str, Taker] = {}

    def take(self, payload: bytes) -> None:
        """One record. Raises ValueError for what is none."""
        if payload == PROBE:
            return
        try:
            kind, *rest = msgspec.json.decode(payload)
        except (msgspec.MsgspecError, ValueError, TypeError) as fault:
            raise ValueError(f"a record that can't be read: {payload[:80]!r}: {fault}") from None
        match kind, rest:
            case "begins", [int(epoch), str(token)]:
                self.epoch, self.token = epoch, token
                self.lender.take(("epoch", epoch))
            case "met", [str(site), int(epoch), str(token)]:
                self.met[site] = (epoch, token)
            case "lender", [*record]:
                self.lender.take(decode_record(msgspec.json.encode(record)))
            case "taker", [str(site), *record]:
                self.taker(site).take(decode_record(msgspec.json.encode(record)))
            case _:
                raise ValueError(f"a record that can't be read: {payload[:80]!r}")

    def taker(self, site: str) -> Taker:
        return self.takers.setdefault(site, Taker(site))

    def records(self) -> Iterator[bytes]:
        """The least records that fold to the same."""
        for record in self.lender.records():
            if record[0] != "epoch":
                yield lent(record)
        for site, taker in self.takers.items():
            for record in taker.records():
                yield taken(site, record)
        for site, (epoch, token) in self.met.items():
            yield msgspec.json.encode(("met", site, epoch, token))
        yield msgspec.json.encode(("begins", self.epoch, self.token))

    @property
    def size(self) -> int:
        """About how many records `records` gives."""
        return (
            2
            + 2 * len(self.lender.lent)
            + len(self.met)
            + sum(3 * len(one.taken) + len(one.tombs) for one in self.takers.values())
        )


def lent(record: tuple) -> bytes:
    return b'["lender",' + encode_record(record)[1:]


def taken(site: str, record: tuple) -> bytes:
    return msgspec.json.encode(("taker", site))[:-1] + b"," + encode_record(record)[1:]


class SitesBook(EpochBook):
    """The sites' folder: a fold of what is on the disk, and one that runs ahead of it."""

    def __init__(self, folder: str, now: float, say: Callable[[str], None]) -> None:
        """Raises ConfigError where the folder can't be used, is another's, or holds what can't be read."""
        disk, memory = Fold(), Fold()
        try:
            self._store = FoldedStore(folder, "sites.log", "sites", now, [disk, memory], say)
            begins = msgspec.json.encode(("begins", memory.epoch + 1, secrets.token_hex(4)))
            memory.take(begins)
            self._store.begin([begins])  # on the disk before the first id of it is given
        except OSError as fault:
            raise ConfigError(f"sites.store: {fault}") from None
        super().__init__(self._store, memory.epoch, memory.token, memory.met)
        self.disk = disk
        self.lender, self.takers, self.taker = memory.lender, memory.takers, memory.taker

    def may(self, records: list[bytes]) -> asyncio.Future:
        """What is about to happen: done once it is on the disk, LogError if it may not."""
        return self._store.may(records)

    def must(self, records: list[bytes]) -> asyncio.Future:
        """What has happened: written as soon as the disk takes it; the future never fails."""
        return self._store.must(records)
