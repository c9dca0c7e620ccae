"""Exclusive ownership of a folder through flock(2); the lock is released when the owning process ends."""

from __future__ import annotations

import fcntl
import json
import os
from pathlib import Path


class LockHeldError(OSError):
    """Another process holds the lock, or the lock file can't be opened; the text says which."""


class Lock:
    """A lock that is held from construction until `close`."""

    def __init__(self, path: str | Path, who: str, since: str) -> None:
        """Take the lock, or raise LockHeldError. Processes that fail to get it see `who` and `since`."""
        self._path = str(path)
        try:
            self._handle = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise LockHeldError(f"{self._path}: {error.strerror}; nothing was done") from None
        try:
            fcntl.flock(self._handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            owner = lock_owner(self._path)
            os.close(self._handle)
            self._handle = -1
            raise LockHeldError(f"{self._path}: held by {owner}") from None
        self.describe_owner(who, since)

    def describe_owner(self, who: str, since: str) -> None:
        """Write the owner's description into the lock file, where `lock_owner` reads it."""
        data = json.dumps({"who": who, "since": since, "pid": os.getpid()}).encode()
        os.ftruncate(self._handle, 0)
        os.pwrite(self._handle, data, 0)

    def close(self) -> None:
        """Release the lock; a second call does nothing."""
        if self._handle >= 0:
            os.ftruncate(self._handle, 0)
            os.close(self._handle)
            self._handle = -1


def lock_owner(path: str | Path) -> str:
    """Return a description of the lock's owner; '' if the lock is free."""
    try:
        handle = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return ""
    try:
        try:
            fcntl.flock(handle, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return ""  # the lock is free; a killed owner left its description behind
        except OSError:
            pass
        try:
            owner = json.loads(os.pread(handle, 4096, 0))
            return f"{owner['who']} (process {owner['pid']}) since {owner['since']}"
        except (ValueError, KeyError, TypeError):
            return "a process that has not written its description yet"
    finally:
        os.close(handle)
