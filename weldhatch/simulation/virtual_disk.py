"""The disks of a play: real files, and what a kill, a full disk or an older copy makes of them.

The store's thread does its work at once here and is told so later; a kill in between leaves of an append any
part, down to the byte, and of a rewrite either the old file or the new one.
"""

from __future__ import annotations

import os
import shutil
from collections.abc import Callable
from pathlib import Path
from random import Random

from weldhatch.simulation.loop import LIFE
from weldhatch.store import lock, log


class Disk:
    """One machine's: all logs under one folder. It outlives the processes there."""

    def __init__(self, folder: Path, random: Random) -> None:
        self.folder, self._random = folder, random
        folder.mkdir(parents=True, exist_ok=True)
        self.logs: list[SimLog] = []
        self.locks: list[SimLock] = []
        self.full = False
        self.slow_s = 0.0
        self.works = 0  # appends and rewrites, all told
        self._before: list[tuple[SimLog, int, bytes | None]] = []  # what is not confirmed yet

    # ---- what a log does to its file (`log.Disk`): no syncs, since a play's kill decides what was kept ----

    def write(self, handle: int, data: bytes) -> int:
        self._room()
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        self._room()

    def truncate(self, handle: int, length: int) -> None:
        os.ftruncate(handle, length)

    def _room(self) -> None:
        if self.full:
            raise OSError(28, "no space left")

    # ---- the store's thread ----------------------------------------------------------------------------

    def work(self, func: Callable, args: tuple) -> object:
        self.works += 1
        one = getattr(func, "__self__", None)
        if isinstance(one, SimLog):
            whole = Path(one.path).read_bytes() if func.__name__ == "rewrite" else None
            self._before.append((one, one.length, whole))
        else:
            self._before.append((None, 0, None))
        return func(*args)

    def takes(self) -> float:
        """How long the disk takes for it."""
        return 0.001 + 0.004 * self._random.random() + self.slow_s

    def confirmed(self) -> None:
        if self._before:
            self._before.pop(0)

    # ---- older copies ----------------------------------------------------------------------------------

    def copy(self, name: str) -> Path:
        """A copy of one store, as a backup takes it."""
        to = self.folder / f"{name}-copy-{self.works}"
        shutil.copytree(self.folder / name, to)
        return to

    def set_back(self, name: str, copy: Path) -> None:
        """The store is what it was when the copy was taken. Of a process that is not there."""
        shutil.rmtree(self.folder / name)
        copy.rename(self.folder / name)

    # ---- kills -----------------------------------------------------------------------------------------

    def killed(self) -> None:
        """What was under way may be there, in part, or not at all."""
        for one, length, whole in reversed(self._before):
            if one is None:
                continue
            if whole is not None:
                if self._random.random() < 0.5:
                    Path(one.path).write_bytes(whole)
                continue
            size = os.path.getsize(one.path)
            if size > length:
                os.truncate(one.path, self._random.randint(length, size))
        self._before.clear()
        for one in self.logs:
            one.close()
        self.logs.clear()
        self.locks.clear()


class SimLog(log.Log):
    """A log that its machine's disk knows of. Syncs are not asked of the system: kills are played."""

    def __init__(self, path: str | Path, disk: log.Disk | None = None) -> None:
        machine: Disk = LIFE.get().disk
        super().__init__(path, disk or machine)
        machine.logs.append(self)


class SimLock:
    """In the place of `store.lock.Lock`: held until its machine's process is killed, or it is closed."""

    def __init__(self, path: str | Path, who: str, since: str) -> None:
        self._machine: Disk = LIFE.get().disk
        self._path = str(path)
        if any(one._path == self._path for one in self._machine.locks):
            raise lock.LockHeldError(f"{path}: held")
        self._machine.locks.append(self)

    def close(self) -> None:
        if self in self._machine.locks:
            self._machine.locks.remove(self)
