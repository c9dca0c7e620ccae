"""An append-only log on disk. Each record has a number and a checksum, and is synced when `append` returns.

    file    = magic records
    record  = length:4 crc:4 number:8 payload      big-endian; the CRC-32 covers number and payload

A crash can leave a last record that is truncated or consists of zeros. It is dropped when the log is opened,
and `torn_tail` reports it. A complete record that does not match its checksum can't result from a crash: the
log is then not opened, and the error names the byte offset. While the disk is full, appends fail without
losing earlier records; they succeed again once there is space.
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
_RECORD_HEADER = struct.Struct(">IIQ")
MAX_RECORD_BYTES = 64 << 20


class LogError(OSError):
    """The log can't be read or written; the text names the file, and the byte offset of unreadable data."""


class LogCorruptError(LogError):
    """The log holds data that no crash can have left, such as a complete record with a wrong checksum."""


class Disk(Protocol):
    """File operations of the log, replaced by failing ones in tests. All may raise OSError."""

    def write(self, handle: int, data: bytes | memoryview) -> int:
        """Write some of the data at the handle's position; return the number of bytes written."""

    def sync(self, handle: int) -> None:
        """Return once all written data is on the disk."""

    def truncate(self, handle: int, length: int) -> None:
        """Truncate the file to `length` bytes."""


class RealDisk:
    """The `Disk` that calls the operating system."""

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
    """An incomplete record at the end of the log."""

    offset: int
    length: int


def encode_record(number: int, payload: bytes) -> bytes:
    """Return a record in its file format. Records are numbered from 1."""
    number_bytes = number.to_bytes(8, "big")
    return _RECORD_HEADER.pack(len(payload), zlib.crc32(payload, zlib.crc32(number_bytes)), number) + payload


@dataclass(slots=True, frozen=True)
class _Content:
    """Parsed contents of a log file: complete records, their length with the magic, and a torn tail."""

    payloads: list[bytes]
    length: int
    torn_tail: TornTail | None


def _parse(data: bytes, path: str) -> _Content:
    """Parse a log's bytes. Raises LogCorruptError, with the byte offset, for damage no crash can cause."""
    if len(data) < len(MAGIC):
        if MAGIC.startswith(data):
            return _Content([], 0, TornTail(0, len(data)) if data else None)
        raise LogCorruptError(f"{path}: byte 0: not a weldhatch log")
    if not data.startswith(MAGIC):
        raise LogCorruptError(f"{path}: byte 0: not a weldhatch log, or one of another version")
    payloads: list[bytes] = []
    offset = len(MAGIC)
    while offset < len(data):
        payload = _record_at(data, offset, len(payloads) + 1)
        if payload is None:
            _check_torn(data, offset, len(payloads), path)
            return _Content(payloads, offset, TornTail(offset, len(data) - offset))
        payloads.append(payload)
        offset += _RECORD_HEADER.size + len(payload)
    return _Content(payloads, offset, None)


def _record_at(data: bytes, offset: int, number: int) -> bytes | None:
    """Return the payload of the record with this number at `offset`; None if it is incomplete or invalid."""
    body = offset + _RECORD_HEADER.size
    if body > len(data):
        return None
    length, crc, found_number = _RECORD_HEADER.unpack_from(data, offset)
    payload = data[body : body + length]
    if found_number != number or len(payload) != length:
        return None
    return payload if zlib.crc32(payload, zlib.crc32(data[offset + 8 : body])) == crc else None


def _check_torn(data: bytes, offset: int, valid_count: int, path: str) -> None:
    """Raise LogCorruptError if a crash can't explain the unreadable record at `offset`.

    `valid_count`: the number of valid records before it.
    """
    body = offset + _RECORD_HEADER.size
    if body <= len(data):
        length = _RECORD_HEADER.unpack_from(data, offset)[0]
        is_complete = length <= MAX_RECORD_BYTES and body + length <= len(data)
        if is_complete and any(data[offset:]):
            raise LogCorruptError(
                f"{path}: byte {offset}: record {valid_count + 1} does not match its checksum; "
                f"the {valid_count} records before it are valid"
            )
    if _valid_record_follows(data, offset + 1, valid_count + 1):
        raise LogCorruptError(
            f"{path}: byte {offset}: record {valid_count + 1} can't be read, and valid records follow it; "
            f"the {valid_count} records before it are valid"
        )


def _valid_record_follows(data: bytes, offset: int, min_number: int) -> bool:
    """Return whether a valid record starts within 1 MiB after `offset`.

    A record with a damaged length field looks like a torn tail, but no valid records follow a torn tail.
    """
    end = min(len(data), offset + (1 << 20))
    while offset + _RECORD_HEADER.size <= end:
        length, crc, number = _RECORD_HEADER.unpack_from(data, offset)
        if (
            min_number < number < min_number + (1 << 32)
            and length <= len(data) - offset - _RECORD_HEADER.size
        ):
            body = offset + _RECORD_HEADER.size
            if zlib.crc32(data[body : body + length], zlib.crc32(data[offset + 8 : body])) == crc:
                return True
        offset += 1
    return False


def read_records(path: str | Path) -> list[bytes]:
    """Return the complete records of a log that another process may be writing; [] if the file is missing.

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
    """An open log. Owns its file handle, which `close` releases."""

    def __init__(self, path: str | Path, disk: Disk | None = None) -> None:
        """Open or create the file and drop a torn tail. Raises LogError and LogCorruptError."""
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
        while chunk := os.read(self._handle, 1 << 20):
            data += chunk
        content = _parse(bytes(data), self.path)
        self._recovered = content.payloads
        self.torn_tail = content.torn_tail
        self.count = len(content.payloads)
        valid_length = content.length
        try:
            if valid_length < len(MAGIC):
                self._disk.truncate(self._handle, 0)
                os.lseek(self._handle, 0, os.SEEK_SET)
                self._write_all(self._handle, MAGIC)
                self._disk.sync(self._handle)
                _sync_folder(self.path)
                valid_length = len(MAGIC)
            elif self.torn_tail is not None:
                self._disk.truncate(self._handle, valid_length)
                self._disk.sync(self._handle)
        except OSError as error:
            raise LogError(f"{self.path}: {error.strerror}; nothing was written") from None
        self.length = valid_length
        self._broken = ""

    def recovered_records(self) -> Iterator[bytes]:
        """Return the records found when the log was opened; a second call returns none."""
        records = self._recovered
        self._recovered = []  # frees the memory of a long log; the records are needed only once
        return iter(records)

    def append(self, payloads: Iterable[bytes]) -> None:
        """Write these records, all or none, and return once they are on the disk.

        Raises LogError if the write fails; the log is then unchanged. If a sync or the rollback of a partial
        write fails, the state of the file is unknown, and appends are rejected until the log is reopened.
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
            # The kernel may drop dirty pages after a failed sync, and a second sync would then succeed.
            self._broken = f"the disk did not confirm what was written ({error.strerror})"
            raise LogError(f"{self.path}: {self._broken}") from None
        self.length += len(data)
        self.count += len(payloads)

    def _write_all(self, handle: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(handle, view) :]

    def _undo_partial_write(self) -> None:
        """Truncate the file to its length before a write that failed part way."""
        try:
            self._disk.truncate(self._handle, self.length)
        except OSError as error:
            self._broken = f"half a record could not be taken back ({error.strerror})"

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Atomically replace all records of the log with these.

        Raises LogError. The log is unchanged then, unless only the folder could not be synced: the new file
        may be lost with a power failure, so appends are rejected until a rewrite succeeds.
        """
        payloads = list(payloads)
        new_path = f"{self.path}.new"
        data = MAGIC + b"".join(encode_record(n, payload) for n, payload in enumerate(payloads, 1))
        try:
            handle = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise LogError(f"{new_path}: {error.strerror}; the log is unchanged") from None
        try:
            self._write_all(handle, data)
            self._disk.sync(handle)
            os.rename(new_path, self.path)
        except OSError as error:
            os.close(handle)
            Path(new_path).unlink(missing_ok=True)
            raise LogError(f"{new_path}: {error.strerror}; the log is unchanged") from None
        os.close(self._handle)
        self._handle = handle
        self.length = len(data)
        self.count = len(payloads)
        try:
            _sync_folder(self.path)
        except OSError as error:
            self._broken = f"the folder did not confirm the new file ({error.strerror})"
            raise LogError(f"{self.path}: {self._broken}") from None
        self._broken = ""

    def close(self) -> None:
        """Release the file handle; a second call does nothing."""
        if self._handle >= 0:
            os.close(self._handle)
            self._handle = -1


def _sync_folder(path: str) -> None:
    """Sync the folder of a file: a new or renamed file survives a crash only once the folder is synced."""
    handle = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
