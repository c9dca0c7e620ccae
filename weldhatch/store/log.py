"""An append-only log on disk. Each record has its number and a checksum; what is appended is on the disk.

    file    = magic records
    record  = length:4 crc:4 number:8 payload      big-endian; the CRC-32 covers number and payload

A record that was cut short by the end of its process, or never got further than zeros, is dropped when the
log
is opened, and `torn` says so. A record that is whole and does not match its checksum is no accident of that
kind: the log is not opened, and the error names the place. A log whose disk is full takes nothing, loses
nothing, and goes on once there is room.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

MAGIC = b"WHLOG1\r\n"
_HEAD = struct.Struct(">IIQ")
MAX_RECORD_BYTES = 64 << 20


class LogError(OSError):
    """The log can't be read or written; the text names its file and the place."""


class LogCorruptError(LogError):
    """A record that was whole once is not as it was written."""


class Disk(Protocol):
    """What the log does to its file; tests put a failing one in its place."""

    def write(self, handle: int, data: bytes) -> int: ...

    def sync(self, handle: int) -> None: ...

    def truncate(self, handle: int, length: int) -> None: ...


class RealDisk:
    """The operating system's calls."""

    def write(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        os.fdatasync(handle)

    def truncate(self, handle: int, length: int) -> None:
        os.ftruncate(handle, length)


@dataclass(slots=True, frozen=True)
class TornTail:
    """The rest of a record that never became whole."""

    offset: int
    length: int


def encode_record(number: int, payload: bytes) -> bytes:
    counted = number.to_bytes(8, "big")
    return _HEAD.pack(len(payload), zlib.crc32(payload, zlib.crc32(counted)), number) + payload


def _parse(data: bytes, path: str) -> tuple[list[bytes], int, TornTail | None]:
    """The payloads, the length of what is good, and what is torn behind it."""
    if len(data) < len(MAGIC):
        if MAGIC.startswith(data):
            return [], 0, TornTail(0, len(data)) if data else None
        raise LogCorruptError(f"{path}: byte 0: this is no log of ours")
    if not data.startswith(MAGIC):
        raise LogCorruptError(f"{path}: byte 0: this is no log of ours, or of another version")
    out: list[bytes] = []
    at = len(MAGIC)
    while at < len(data):
        rest = data[at : at + _HEAD.size]
        if len(rest) == _HEAD.size:
            length, crc, number = _HEAD.unpack(rest)
            payload = data[at + _HEAD.size : at + _HEAD.size + length]
            if (
                number == len(out) + 1
                and len(payload) == length
                and zlib.crc32(payload, zlib.crc32(rest[8:])) == crc
            ):
                out.append(payload)
                at += _HEAD.size + length
                continue
            whole = length <= MAX_RECORD_BYTES and len(payload) == length
            if whole and any(data[at:]):
                raise LogCorruptError(
                    f"{path}: byte {at}: record {len(out) + 1} does not match its checksum; "
                    f"{len(out)} records before it are good"
                )
        if _follows(data, at + 1, len(out) + 1):
            raise LogCorruptError(
                f"{path}: byte {at}: record {len(out) + 1} can't be read, and others follow it; "
                f"{len(out)} records before it are good"
            )
        return out, at, TornTail(at, len(data) - at)
    return out, at, None


def _follows(data: bytes, at: int, least: int) -> bool:
    """Guards against taking a damaged length for a torn end: does a good record stand anywhere behind it?"""
    end = min(len(data), at + (1 << 20))
    while at + _HEAD.size <= end:
        length, crc, number = _HEAD.unpack_from(data, at)
        if least < number < least + (1 << 32) and length <= len(data) - at - _HEAD.size:
            body = at + _HEAD.size
            if zlib.crc32(data[body : body + length], zlib.crc32(data[at + 8 : body])) == crc:
                return True
        at += 1
    return False


def read_records(path: str | Path) -> list[bytes]:
    """The records of a log that another process may be writing: whole ones only. None there: none."""
    try:
        data = Path(path).read_bytes()
    except FileNotFoundError:
        return []
    except OSError as fault:
        raise LogError(f"{path}: {fault.strerror}") from None
    return _parse(data, str(path))[0]


class Log:
    """One open log. Owns its file handle, which `close` gives back."""

    def __init__(self, path: str | Path, disk: Disk | None = None) -> None:
        self.path, self._disk = str(path), disk or RealDisk()
        self.torn_tail: TornTail | None = None
        try:
            self._handle = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as fault:
            raise LogError(f"{self.path}: {fault.strerror}; nothing was written") from None
        try:
            self._open()
        except BaseException:
            os.close(self._handle)
            self._handle = -1
            raise

    def _open(self) -> None:
        data = bytearray()
        while part := os.read(self._handle, 1 << 20):
            data += part
        self._recovered, good, self.torn_tail = _parse(bytes(data), self.path)
        self.count = len(self._recovered)
        try:
            if good < len(MAGIC):
                self._disk.truncate(self._handle, 0)
                os.lseek(self._handle, 0, os.SEEK_SET)
                self._write_all(MAGIC)
                self._disk.sync(self._handle)
                _sync_folder(self.path)
                good = len(MAGIC)
            elif self.torn_tail is not None:
                self._disk.truncate(self._handle, good)
                self._disk.sync(self._handle)
        except OSError as fault:
            raise LogError(f"{self.path}: {fault.strerror}; nothing was written") from None
        self.length = good
        self._broken = ""

    def recovered_records(self) -> Iterator[bytes]:
        """What was there when the log was opened, once."""
        records, self._recovered = self._recovered, []
        return iter(records)

    def append(self, payloads: Iterable[bytes]) -> None:
        """Write these records, all or none, and return once they are on the disk.

        Raises LogError where they are not: the log is as it was before. After a disk that does not say what
        it has kept, nothing more is taken until the log is opened anew.
        """
        if self._broken:
            raise LogError(f"{self.path}: {self._broken}; open the log anew")
        payloads = list(payloads)
        if not payloads:
            return
        data = b"".join(encode_record(self.count + n, payload) for n, payload in enumerate(payloads, 1))
        try:
            os.lseek(self._handle, self.length, os.SEEK_SET)
            self._write_all(data)
        except OSError as fault:
            self._undo_partial_write()
            raise LogError(f"{self.path}: {fault.strerror}; nothing was written") from None
        try:
            self._disk.sync(self._handle)
        except OSError as fault:
            # A failed sync may have dropped what was written, and a second one would not tell.
            self._broken = f"the disk did not confirm what was written ({fault.strerror})"
            raise LogError(f"{self.path}: {self._broken}") from None
        self.length += len(data)
        self.count += len(payloads)

    def _write_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(self._handle, view) :]

    def _undo_partial_write(self) -> None:
        """What was written of a record that did not get through is cut off again."""
        try:
            self._disk.truncate(self._handle, self.length)
        except OSError as fault:
            self._broken = f"half a record could not be taken back ({fault.strerror})"

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Put these records in the place of all that there are: wholly, or not at all."""
        payloads = list(payloads)
        beside = f"{self.path}.new"
        data = MAGIC + b"".join(encode_record(n, payload) for n, payload in enumerate(payloads, 1))
        try:
            handle = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        except OSError as fault:
            raise LogError(f"{beside}: {fault.strerror}; the log is as it was") from None
        try:
            view = memoryview(data)
            while view:
                view = view[self._disk.write(handle, view) :]
            self._disk.sync(handle)
            os.rename(beside, self.path)
        except OSError as fault:
            os.close(handle)
            Path(beside).unlink(missing_ok=True)
            raise LogError(f"{beside}: {fault.strerror}; the log is as it was") from None
        _sync_folder(self.path)
        os.close(self._handle)
        self._handle, self.length, self.count, self._broken = handle, len(data), len(payloads), ""

    def close(self) -> None:
        if self._handle >= 0:
            os.close(self._handle)
            self._handle = -1


def _sync_folder(path: str) -> None:
    """A new name is only kept once its folder is on the disk."""
    handle = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
