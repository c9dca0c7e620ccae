"""The log on disk: torn ends, flipped bits, full disks and read-only folders; and the lock of a folder."""

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


def opened(path, disk=None):
    log = Log(path, disk)
    return log, list(log.recovered_records())


def test_what_was_appended_comes_back(path):
    log, records = opened(path)
    assert records == RECORDS and log.torn_tail is None
    log.append([b"four"])
    log.close()
    assert read_records(path) == [*RECORDS, b"four"]


def test_an_end_that_was_cut_anywhere_loses_only_what_was_cut(path):
    data = path.read_bytes()
    ends = [len(MAGIC)]
    for record in RECORDS:
        ends.append(ends[-1] + 16 + len(record))
    for length in range(len(data)):
        path.write_bytes(data[:length])
        log, records = opened(path)
        assert records == RECORDS[: sum(end <= length for end in ends[1:])]
        assert (log.torn_tail is None) == (length == 0 or length in ends)
        log.append([b"next"])
        log.close()
        assert read_records(path) == [*records, b"next"]


def test_zeros_behind_the_end_are_torn_and_not_a_record(path):
    path.write_bytes(path.read_bytes() + bytes(100))
    log, records = opened(path)
    assert records == RECORDS and log.torn_tail.length == 100
    log.close()


def test_a_flipped_bit_is_reported_with_its_place_and_nothing_is_dropped(path):
    data = path.read_bytes()
    for at in range(len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 1 << at % 8
        path.write_bytes(spoilt)
        last = at >= len(data) - 16 - len(RECORDS[-1])
        try:
            log, records = opened(path)
        except LogCorruptError as fault:
            assert str(path) in str(fault) and "byte" in str(fault)
        else:  # only a length at the very end can't be told from a record that was cut
            assert last and records == RECORDS[:-1]
            log.close()
        if not last:
            assert path.read_bytes() == spoilt


class BadDisk(RealDisk):
    """Full after so many bytes; or one that does not confirm."""

    def __init__(self, room=1 << 30, syncs=True):
        self.room, self.syncs = room, syncs

    def write(self, handle, data):
        if not self.room:
            raise OSError(errno.ENOSPC, "No space left on device")
        done = super().write(handle, data[: self.room])
        self.room -= done
        return done

    def sync(self, handle):
        if not self.syncs:
            raise OSError(errno.EIO, "Input/output error")
        super().sync(handle)


@pytest.mark.parametrize("room", range(0, 60, 7))
def test_a_full_disk_takes_nothing_loses_nothing_and_goes_on_once_there_is_room(path, room):
    disk = BadDisk()
    log, _ = opened(path, disk)
    disk.room = room
    with pytest.raises(LogError, match="No space left on device; nothing was written"):
        log.append([b"x" * 30, b"y" * 30])
    assert read_records(path) == RECORDS
    disk.room = 1 << 20
    log.append([b"z"])
    log.close()
    assert read_records(path) == [*RECORDS, b"z"]


def test_a_disk_that_does_not_confirm_ends_the_log_until_it_is_opened_anew(path):
    disk = BadDisk()
    log, _ = opened(path, disk)
    disk.syncs = False
    with pytest.raises(LogError, match="did not confirm"):
        log.append([b"a"])
    disk.syncs = True
    with pytest.raises(LogError, match="open the log anew"):
        log.append([b"b"])
    log.close()


def test_a_rewrite_is_whole_or_not_at_all(path):
    disk = BadDisk()
    log, _ = opened(path, disk)
    disk.room = 20
    with pytest.raises(LogError, match="as it was"):
        log.rewrite([b"short" * 10])
    assert read_records(path) == RECORDS
    disk.room = 1 << 20
    log.rewrite([b"short"])
    log.append([b"more"])
    log.close()
    assert read_records(path) == [b"short", b"more"]


def test_what_can_not_be_opened_is_named(tmp_path):
    with pytest.raises(LogError, match="no-such"):
        Log(tmp_path / "no-such" / "log")
    (tmp_path / "other").write_bytes(b"something else entirely")
    with pytest.raises(LogCorruptError, match="byte 0: this is no log of ours"):
        Log(tmp_path / "other")


def test_a_read_only_folder_is_named(tmp_path, monkeypatch):
    def refuse(path, *_, **__):
        raise OSError(errno.EROFS, "Read-only file system", path)

    monkeypatch.setattr(os, "open", refuse)  # as root, permission bits would not stop us
    with pytest.raises(LogError, match="Read-only file system; nothing was written"):
        Log(tmp_path / "log")


@given(st.lists(st.lists(st.binary(max_size=40), max_size=4), max_size=5), st.data())
def test_batches_come_back_as_a_prefix_whatever_is_cut(batches, data):
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "log")
        log = Log(path)
        for batch in batches:
            log.append(batch)
        log.close()
        whole = [record for batch in batches for record in batch]
        size = os.path.getsize(path)
        os.truncate(path, data.draw(st.integers(0, size)))
        again = Log(path)
        found = list(again.recovered_records())
        again.close()
        assert found == whole[: len(found)]


def test_a_second_owner_is_rejected_and_shown_who_since_when(tmp_path):
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


def test_a_lock_goes_with_its_process(tmp_path):
    path = tmp_path / "lock"
    code = (
        "import sys, os; from weldhatch.store.lock import Lock\n"
        "lock = Lock(sys.argv[1], 'gone', 'x'); os.kill(os.getpid(), 9)"
    )
    subprocess.run([sys.executable, "-c", code, str(path)], check=False)
    assert json.loads(path.read_text())["who"] == "gone"
    assert lock_owner(path) == ""
    Lock(path, "next", "y").close()
