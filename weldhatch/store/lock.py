"""One owner at a time for a folder, by the operating system's lock: it goes with the process that held it."""

from __future__ import annotations

import fcntl
import json
import os
from pathlib import Path


class LockHeldError(OSError):
    """Somebody else has the folder; the text says who, since when, and for what."""


class Lock:
    """Held from its making to `close`."""

    def __init__(self, path: str | Path, who: str, since: str) -> None:
        """Take the lock, or raise LockHeldError. `who` and `since` are told to those who are turned away."""
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
        """Write what others read of the owner."""
        data = json.dumps({"who": who, "since": since, "pid": os.getpid()}).encode()
        os.ftruncate(self._handle, 0)
        os.pwrite(self._handle, data, 0)

    def close(self) -> None:
        """Give the lock back; a second call does nothing."""
        if self._handle >= 0:
            os.ftruncate(self._handle, 0)
            os.close(self._handle)
            self._handle = -1


def lock_owner(path: str | Path) -> str:
    """Return who holds a lock, in words; '' where nobody does."""
    try:
        handle = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return ""
    try:
        try:
            fcntl.flock(handle, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return ""  # nobody: what stands there was left by one that was killed
        except OSError:
            pass
        try:
            owner = json.loads(os.pread(handle, 4096, 0))
            return f"{owner['who']} (process {owner['pid']}) since {owner['since']}"
        except (ValueError, KeyError, TypeError):
            return "one that has just come"
    finally:
        os.close(handle)
