"""The sites' book: what a site lent, what it took, and which epochs of other sites it has met, on the disk.

Records are JSON arrays: ["begins", epoch, token], ["met", site, epoch, token], ["lender", ...] and
["taker", site, ...], the last two as the hand-over's own. What is in memory runs ahead of the disk; the fold
here holds what is on it, from which the log is cut down while it is written.
"""

from __future__ import annotations

import asyncio
import os
import secrets
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from weldhatch.config import ConfigError
from weldhatch.sites.frames import decode_record, encode_record
from weldhatch.sites.lending import Lender
from weldhatch.sites.taking import Taker
from weldhatch.store.commit import PROBE, Committer
from weldhatch.store.lock import Lock, LockHeld
from weldhatch.store.log import Log, LogError

COMPACT_FACTOR, COMPACT_OVER = 4, 20_000


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
        return 2 + 2 * len(self.lender.lent) + len(self.met) + sum(
            3 * len(one.taken) + len(one.tombs) for one in self.takers.values())


def lent(record: tuple) -> bytes:
    return b'["lender",' + encode_record(record)[1:]


def taken(site: str, record: tuple) -> bytes:
    return msgspec.json.encode(("taker", site))[:-1] + b"," + encode_record(record)[1:]


class SitesBook:
    """Owns the folder: its lock, its log, the thread that writes it. One gateway at a time."""

    def __init__(self, folder: str, now: float, say: Callable[[str], None]) -> None:
        """Raises ConfigError where the folder can't be used, is another's, or holds what can't be read."""
        path = Path(folder)
        try:
            path.mkdir(parents=True, exist_ok=True)
            self._lock = Lock(path / "lock", f"a gateway (process {os.getpid()})", f"{now:.0f}")
        except (LockHeld, OSError) as fault:
            raise ConfigError(f"sites.store: {fault}") from None
        try:
            self._log = Log(path / "sites.log")
            self.disk, memory = Fold(), Fold()
            for record in self._log.records():
                for fold in (self.disk, memory):
                    try:
                        fold.take(record)
                    except ValueError as fault:
                        raise LogError(f"{self._log.path}: {fault}") from None
            if self._log.torn is not None:
                say(f"sites: the last {self._log.torn.length} bytes were no whole record: dropped")
            begins = msgspec.json.encode(("begins", memory.epoch + 1, secrets.token_hex(4)))
            self._log.append([begins])  # on the disk before the first id of it is given
        except OSError as fault:
            self._lock.close()
            raise ConfigError(f"sites.store: {fault}") from None
        for fold in (self.disk, memory):
            fold.take(begins)
        self._say, self._met = say, memory.met
        self.epoch, self.token = memory.epoch, memory.token
        self.lender, self.takers, self.taker = memory.lender, memory.takers, memory.taker
        self._committer = Committer(self._log, self.disk.take, say, self._wrote)

    def _wrote(self) -> None:
        """Guards the disk against a gateway that runs for months."""
        if self._log.count > COMPACT_FACTOR * self.disk.size + COMPACT_OVER and self._committer.idle:
            self._say(f"sites: {self._log.count} records are cut down to {self.disk.size}")
            self._committer.compact(list(self.disk.records()))

    @property
    def ours(self) -> tuple[int, str]:
        return self.epoch, self.token

    @property
    def full(self) -> str:
        """Why nothing new can be lent or taken; '' while the disk takes records."""
        return self._committer.full

    def known(self, site: str) -> tuple[int, str]:
        return self._met.get(site, (0, ""))

    async def met(self, site: str, epoch: int, token: str) -> None:
        if self._met.get(site) != (epoch, token):
            await self.must([msgspec.json.encode(("met", site, epoch, token))])
            self._met[site] = (epoch, token)

    def may(self, records: list[bytes]) -> asyncio.Future:
        """What is about to happen: done once it is on the disk, LogError if it may not."""
        return self._committer.put(records)

    def must(self, records: list[bytes]) -> asyncio.Future:
        """What has happened: written as soon as the disk takes it; the future never fails."""
        return self._committer.put(records, must=True)

    async def flush(self) -> None:
        await self._committer.flush()

    def close(self) -> None:
        self._committer.close()
        self._lock.close()
