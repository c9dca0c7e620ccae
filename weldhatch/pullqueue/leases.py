"""Leases and the ledger of keys: what is out, what may still run, and what may never go out again."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import TextIO

from weldhatch.config import ConfigError
from weldhatch.core import ports
from weldhatch.scheduling.types import Effect, RequestClass


class Phase(Enum):
    WAITING = "waiting"  # offered, and not handed to the puller yet: it has never run
    PENDING = "PENDING"  # handed out
    ACTIVE = "ACTIVE"  # the puller has started it
    CANCELLED = "CANCELLED"  # the puller must stop it, and may not have done so yet
    OVER = "over"


@dataclass(slots=True, eq=False)
class Lease:
    """One attempt at one build machine. It counts as out until its puller says otherwise, or until its
    expiry and the grace after that have passed, by when a puller that keeps the rules has stopped."""

    id: str
    machine: int
    task: ports.Task
    attempt: int
    receiver: ports.Receiver
    phase: Phase = Phase.WAITING
    expires: float = 0.0  # Unix seconds


class Refusal(Enum):
    """Why a key can't be taken now."""

    BUSY = "a request for this key is under way, or its task stands"
    IN_DOUBT = "an earlier lease of this key may still run"
    SPENT = "a task of this class that was handed out once never goes out again"


@dataclass(slots=True)
class Ledger:
    """Keys of tasks. A task without a key is its own."""

    remember: int
    path: str = ""  # where keys that may not start twice are kept over a restart; '' for nowhere
    _asked: set[int] = field(default_factory=set)  # a request is under way, or the task stands
    _out: dict[int, Lease] = field(default_factory=dict)  # leases that were handed out and are not over
    _spent: set[int] = field(default_factory=set)  # handed out once, of a class that may not start twice
    _file: TextIO | None = None

    def open(self) -> None:
        """Read what a former gateway handed out, and keep the file open for more."""
        if not self.path:
            return
        try:
            self._file = open(self.path, "a+", encoding="ascii")  # noqa: SIM115
            self._file.seek(0)
            self._spent.update(int(line, 16) for line in self._file.read().split())
        except (OSError, ValueError) as fault:
            raise ConfigError(f"ledger: {self.path}: {fault}") from None

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None

    def refusal(self, key: int, cls: RequestClass) -> Refusal | None:
        if not key:
            return None
        if key in self._asked:
            return Refusal.BUSY
        if key in self._spent and cls.effect is Effect.UNSAFE:
            return Refusal.SPENT
        return Refusal.IN_DOUBT if key in self._out else None

    def full(self, cls: RequestClass) -> bool:
        """No more tasks that may not start twice can be remembered: none is taken, none forgotten."""
        return cls.effect is Effect.UNSAFE and len(self._spent) + len(self._asked) >= self.remember

    def ask(self, key: int) -> None:
        if key:
            self._asked.add(key)

    def answered(self, key: int) -> None:
        """The request is over, and nothing stands for it."""
        self._asked.discard(key)

    def handed(self, lease: Lease, cls: RequestClass) -> bool:
        """A lease is about to leave; whether its key is spent with it, and was not before."""
        key = lease.task.key
        if not key:
            return False
        self._out[key] = lease
        if cls.effect is not Effect.UNSAFE or key in self._spent:
            return False
        self._spent.add(key)
        if self._file is not None:  # on the disk before it is on the wire
            self._file.write(f"{key:x}\n")
            self._file.flush()
            os.fsync(self._file.fileno())
        return True

    def spend(self, key: int) -> bool:
        """It was handed out elsewhere; whether that is news here."""
        news = key not in self._spent
        self._spent.add(key)
        return news

    def taken_back(self, lease: Lease, spent: bool) -> None:
        """It did not leave after all."""
        self.over(lease)
        if spent:
            self._spent.discard(lease.task.key)

    def restore(self, spent: Iterable[int], out: Iterable[Lease], asked: Iterable[int]) -> None:
        """What a store kept."""
        self._spent.update(spent)
        self._out.update((lease.task.key, lease) for lease in out if lease.task.key)
        self._asked.update(key for key in asked if key)

    def over(self, lease: Lease) -> None:
        if self._out.get(lease.task.key) is lease:
            del self._out[lease.task.key]

    def doubt_ends(self, key: int) -> float:
        """When the lease that is in doubt has run out, in Unix seconds."""
        lease = self._out.get(key)
        return lease.expires if lease else 0.0
