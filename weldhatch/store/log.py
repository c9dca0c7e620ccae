"""An append-only log on disk. Each record has its number and a checksum; what is appended is on the disk.

    file    = magic records
    record  = length:4 crc:4 number:8 payload      big-endian; the CRC-32 covers number and payload

A record that was cut short by the end of its process, or never got further than zeros, is dropped when the
log is opened, and `torn_tail` says so. A record that is whole and does not match its checksum is no accident
of that kind: the log is not opened, and the error names the place. A log whose disk is full takes nothing,
loses nothing, and goes on once there is room.
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
    """What the log does to its file; tests put a failing one in its place. All may raise OSError."""

    def write(self, handle: int, data: bytes | memoryview) -> int:
        """Write some of the data at the handle's position; return how many bytes were taken."""

    def sync(self, handle: int) -> None:
        """Return once what was written is on the disk."""

    def truncate(self, handle: int, length: int) -> None:
        """Cut the file to so many bytes."""


class RealDisk:
    """The operating system's calls."""

    def write(self, handle: int, data: bytes | memoryview) -> int:
        """Call write(2)."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Call fdatasync(2)."""
        os.fdatasync(handle)

    def truncate(self, handle: int, length: int) -> None:
        """Call ftruncate(2)."""
        os.ftruncate(handle, length)


@dataclass(slots=True, frozen=True)
class TornTail:
    """The rest of a record that never became whole."""

    offset: int
    length: int


def encode_record(number: int, payload: bytes) -> bytes:
    """Return a record as it stands in the file. Records are numbered from 1."""
    counted = number.to_bytes(8, "big")
    return _HEAD.pack(len(payload), zlib.crc32(payload, zlib.crc32(counted)), number) + payload


@dataclass(slots=True, frozen=True)
class _Content:
    """What a log's file holds: its whole records, how many bytes they and the magic take, what is torn."""

    payloads: list[bytes]
    length: int
    torn_tail: TornTail | None


def _parse(data: bytes, path: str) -> _Content:
    """Read a log's bytes. Raises LogCorruptError, with the place, for what no crash leaves behind."""
    if len(data) < len(MAGIC):
        if MAGIC.startswith(data):
            return _Content([], 0, TornTail(0, len(data)) if data else None)
        raise LogCorruptError(f"{path}: byte 0: this is no log of ours")
    if not data.startswith(MAGIC):
        raise LogCorruptError(f"{path}: byte 0: this is no log of ours, or of another version")
    payloads: list[bytes] = []
    at = len(MAGIC)
    while at < len(data):
        payload = _record_at(data, at, len(payloads) + 1)
        if payload is None:
            _check_torn(data, at, len(payloads), path)
            return _Content(payloads, at, TornTail(at, len(data) - at))
        payloads.append(payload)
        at += _HEAD.size + len(payload)
    return _Content(payloads, at, None)


def _record_at(data: bytes, at: int, number: int) -> bytes | None:
    """Return the payload of the record of this number, if it stands there whole."""
    body = at + _HEAD.size
    if body > len(data):
        return None
    length, crc, found = _HEAD.unpack_from(data, at)
    payload = data[body : body + length]
    if found != number or len(payload) != length:
        return None
    return payload if zlib.crc32(payload, zlib.crc32(data[at + 8 : body])) == crc else None


def _check_torn(data: bytes, at: int, good: int, path: str) -> None:
    """Raise LogCorruptError where no crash has cut what can't be read. `good`: records before it."""
    body = at + _HEAD.size
    if body <= len(data):
        length = _HEAD.unpack_from(data, at)[0]
        whole = length <= MAX_RECORD_BYTES and body + length <= len(data)
        if whole and any(data[at:]):
            raise LogCorruptError(
                f"{path}: byte {at}: record {good + 1} does not match its checksum; "
                f"{good} records before it are good"
            )
    if _good_record_follows(data, at + 1, good + 1):
        raise LogCorruptError(
            f"{path}: byte {at}: record {good + 1} can't be read, and others follow it; "
            f"{good} records before it are good"
        )


def _good_record_follows(data: bytes, at: int, least: int) -> bool:
    """Guard against taking a damaged length for a torn end: does a good record stand anywhere behind it?"""
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
    """Return the whole records of a log that another process may be writing; none where no file is there.

    Raises LogError.
    """
    try:
        data = Path(path).read_bytes()
    except FileNotFoundError:
        return []
    except OSError as error:
        raise LogError(f"{path}: {error.strerror}") from None
    return _parse(data, str(path)).payloads


class Log:
    """One open log. Owns its file handle, which `close` gives back."""

    def __init__(self, path: str | Path, disk: Disk | None = None) -> None:
        """Open or make the file, and drop its torn end. Raises LogError, LogCorruptError with the place."""
        self.path = str(path)
        self._disk = disk or RealDisk()
        self.torn_tail: TornTail | None = None
        try:
            self._handle = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise LogError(f"{self.path}: {error.strerror}; nothing was written") from None
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
        content = _parse(bytes(data), self.path)
        self._recovered = content.payloads
        self.torn_tail = content.torn_tail
        self.count = len(content.payloads)
        good = content.length
        try:
            if good < len(MAGIC):
                self._disk.truncate(self._handle, 0)
                os.lseek(self._handle, 0, os.SEEK_SET)
                self._write_all(self._handle, MAGIC)
                self._disk.sync(self._handle)
                _sync_folder(self.path)
                good = len(MAGIC)
            elif self.torn_tail is not None:
                self._disk.truncate(self._handle, good)
                self._disk.sync(self._handle)
        except OSError as error:
            raise LogError(f"{self.path}: {error.strerror}; nothing was written") from None
        self.length = good
        self._broken = ""

    def recovered_records(self) -> Iterator[bytes]:
        """Return what was there when the log was opened; a second call gives nothing."""
        records = self._recovered
        self._recovered = []  # a log may be long, and nobody reads them twice
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
            self._write_all(self._handle, data)
        except OSError as error:
            self._undo_partial_write()
            raise LogError(f"{self.path}: {error.strerror}; nothing was written") from None
        try:
            self._disk.sync(self._handle)
        except OSError as error:
            # A failed sync may have dropped what was written, and a second one would not tell.
            self._broken = f"the disk did not confirm what was written ({error.strerror})"
            raise LogError(f"{self.path}: {self._broken}") from None
        self.length += len(data)
        self.count += len(payloads)

    def _write_all(self, handle: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(handle, view) :]

    def _undo_partial_write(self) -> None:
        """Cut off what was written of a record that did not get through."""
        try:
            self._disk.truncate(self._handle, self.length)
        except OSError as error:
            self._broken = f"half a record could not be taken back ({error.strerror})"

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Put these records in the place of all that there are: wholly, or not at all."""
        payloads = list(payloads)
        beside = f"{self.path}.new"
        data = MAGIC + b"".join(encode_record(n, payload) for n, payload in enumerate(payloads, 1))
        try:
            handle = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise LogError(f"{beside}: {error.strerror}; the log is as it was") from None
        try:
            self._write_all(handle, data)
            self._disk.sync(handle)
            os.rename(beside, self.path)
        except OSError as error:
            os.close(handle)
            Path(beside).unlink(missing_ok=True)
            raise LogError(f"{beside}: {error.strerror}; the log is as it was") from None
        _sync_folder(self.path)
        os.close(self._handle)
        self._handle = handle
        self.length = len(data)
        self.count = len(payloads)
        self._broken = ""

    def close(self) -> None:
        """Give the file handle back; a second call does nothing."""
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
