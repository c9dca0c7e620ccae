"""The log on disk: torn tails, flipped bits, full disks and read-only folders; and the lock of a folder."""

import errno
import json
import os
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.store.lock import Lock, LockHeldError, lock_owner
from weldhatch.store.log import MAGIC, Log, LogCorruptError, LogError, RealDisk, read_records

RECORDS = [b"one", b"", b"three" * 50]


@pytest.fixture
def path(tmp_path):
    log = Log(tmp_path / "log")
    log.append(RECORDS[:1])
    log.append(RECORDS[1:])
    log.close()
    return tmp_path / "log"


def open_log(path, disk=None):
    log = Log(path, disk)
    return log, list(log.recovered_records())


def test_appended_records_are_recovered_when_the_log_is_reopened(path):
    log, records = open_log(path)
    assert records == RECORDS and log.torn_tail is None
    log.append([b"four"])
    log.close()
    assert read_records(path) == [*RECORDS, b"four"]


def test_a_truncated_log_loses_only_the_records_that_were_cut(path):
    data = path.read_bytes()
    ends = [len(MAGIC)]
    for record in RECORDS:
        ends.append(ends[-1] + 16 + len(record))
    for length in range(len(data)):
        path.write_bytes(data[:length])
        log, records = open_log(path)
        assert records == RECORDS[: sum(end <= length for end in ends[1:])]
        assert (log.torn_tail is None) == (length == 0 or length in ends)
        log.append([b"next"])
        log.close()
        assert read_records(path) == [*records, b"next"]


def test_zeros_after_the_last_record_are_a_torn_tail_and_not_a_record(path):
    path.write_bytes(path.read_bytes() + bytes(100))
    log, records = open_log(path)
    assert records == RECORDS and log.torn_tail.length == 100
    log.close()


def test_a_flipped_bit_is_reported_with_its_byte_offset_and_nothing_is_dropped(path):
    data = path.read_bytes()
    for at in range(len(data)):
        damaged = bytearray(data)
        damaged[at] ^= 1 << at % 8
        path.write_bytes(damaged)
        last = at >= len(data) - 16 - len(RECORDS[-1])
        try:
            log, records = open_log(path)
        except LogCorruptError as error:
            assert str(path) in str(error) and "byte" in str(error)
        else:  # a damaged length in the last record looks the same as a truncated record
            assert last and records == RECORDS[:-1]
            log.close()
        if not last:
            assert path.read_bytes() == damaged


class FailingDisk(RealDisk):
    """A disk that is full after `free_bytes` more bytes, and whose syncs fail if `sync_works` is false."""

    def __init__(self, free_bytes=1 << 30, sync_works=True):
        self.free_bytes, self.sync_works = free_bytes, sync_works

    def write(self, handle, data):
        if not self.free_bytes:
            raise OSError(errno.ENOSPC, "No space left on device")
        written = super().write(handle, data[: self.free_bytes])
        self.free_bytes -= written
        return written

    def sync(self, handle):
        if not self.sync_works:
            raise OSError(errno.EIO, "Input/output error")
        super().sync(handle)


@pytest.mark.parametrize("free_bytes", range(0, 60, 7))
def test_a_full_disk_fails_appends_loses_nothing_and_accepts_records_once_there_is_space(path, free_bytes):
    disk = FailingDisk()
    log, _ = open_log(path, disk)
    disk.free_bytes = free_bytes
    with pytest.raises(LogError, match="No space left on device; nothing was written"):
        log.append([b"x" * 30, b"y" * 30])
    assert read_records(path) == RECORDS
    disk.free_bytes = 1 << 20
    log.append([b"z"])
    log.close()
    assert read_records(path) == [*RECORDS, b"z"]


def test_after_a_failed_sync_appends_are_rejected_until_the_log_is_reopened(path):
    disk = FailingDisk()
    log, _ = open_log(path, disk)
    disk.sync_works = False
    with pytest.raises(LogError, match="did not confirm"):
        log.append([b"a"])
    disk.sync_works = True
    with pytest.raises(LogError, match="open the log anew"):
        log.append([b"b"])
    log.close()


def test_a_rewrite_replaces_all_records_or_none(path):
    disk = FailingDisk()
    log, _ = open_log(path, disk)
    disk.free_bytes = 20
    with pytest.raises(LogError, match="the log is unchanged"):
        log.rewrite([b"short" * 10])
    assert read_records(path) == RECORDS
    disk.free_bytes = 1 << 20
    log.rewrite([b"short"])
    log.append([b"more"])
    log.close()
    assert read_records(path) == [b"short", b"more"]


def test_nothing_is_written_to_the_old_file_after_a_rewrite_whose_folder_was_not_synced(path, monkeypatch):
    """Guards against records that are confirmed and gone at the next start: the old file has no name."""
    log, _ = open_log(path, FailingDisk())

    def refuse(folder):
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patched:
        patched.setattr("weldhatch.store.log._sync_folder", refuse)
        with pytest.raises(LogError, match="the folder did not confirm"):
            log.rewrite([b"short"])
    with pytest.raises(LogError, match="open the log anew"):
        log.append([b"more"])
    log.rewrite([b"short"])
    log.append([b"more"])
    log.close()
    assert read_records(path) == [b"short", b"more"]


def test_the_error_names_a_log_that_can_not_be_opened(tmp_path):
    with pytest.raises(LogError, match="no-such"):
        Log(tmp_path / "no-such" / "log")
    (tmp_path / "other").write_bytes(b"something else entirely")
    with pytest.raises(LogCorruptError, match="byte 0: not a weldhatch log"):
        Log(tmp_path / "other")


def test_the_error_names_a_read_only_folder(tmp_path, monkeypatch):
    def refuse(path, *_, **__):
        raise OSError(errno.EROFS, "Read-only file system", path)

    monkeypatch.setattr(os, "open", refuse)  # permission bits do not stop a test that runs as root
    with pytest.raises(LogError, match="Read-only file system; nothing was written"):
        Log(tmp_path / "log")


@given(st.lists(st.lists(st.binary(max_size=40), max_size=4), max_size=5), st.data())
def test_a_log_truncated_anywhere_recovers_a_prefix_of_its_records(batches, data):
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "log")
        log = Log(path)
        for batch in batches:
            log.append(batch)
        log.close()
        all_records = [record for batch in batches for record in batch]
        size = os.path.getsize(path)
        os.truncate(path, data.draw(st.integers(0, size)))
        reopened = Log(path)
        recovered = list(reopened.recovered_records())
        reopened.close()
        assert recovered == all_records[: len(recovered)]


def test_a_second_owner_is_rejected_and_shown_the_first_one_and_its_start(tmp_path):
    path = tmp_path / "lock"
    assert lock_owner(path) == ""
    lock = Lock(path, "an apply of spring", "noon")
    with pytest.raises(
        LockHeldError, match=rf"held by an apply of spring \(process {os.getpid()}\) since noon"
    ):
        Lock(path, "another", "later")
    lock.close()
    assert lock_owner(path) == ""
    Lock(path, "another", "later").close()


def test_a_lock_is_released_when_its_process_is_killed(tmp_path):
    path = tmp_path / "lock"
    code = (
        "import sys, os; from weldhatch.store.lock import Lock\n"
        "lock = Lock(sys.argv[1], 'gone', 'x'); os.kill(os.getpid(), 9)"
    )
    subprocess.run([sys.executable, "-c", code, str(path)], check=False)
    assert json.loads(path.read_text())["who"] == "gone"
    assert lock_owner(path) == ""
    Lock(path, "next", "y").close()
