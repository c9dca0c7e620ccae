"""Leases, and the ledger of keys: what is leased, what may still run, and what may never start again."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import TextIO

from weldhatch.config import ConfigError
from weldhatch.core import ports
from weldhatch.scheduling.types import Effect, RequestClass


class LeasePhase(Enum):
    """How far a lease has come. The values in capitals are those of the HTTP interface."""

    OFFERED = "waiting"  # not handed to the puller yet: it has never run
    PENDING = "PENDING"  # handed out
    ACTIVE = "ACTIVE"  # the puller has started it
    CANCELLED = "CANCELLED"  # the puller must stop it, and may not have done so yet
    ENDED = "over"


@dataclass(slots=True, eq=False)
class Lease:
    """One attempt at one build machine.

    It counts as leased until its puller says otherwise, or until its expiry and the grace after that have
    passed, by when a puller that keeps the rules has stopped.
    """

    id: str
    machine: int
    task: ports.Task
    attempt: int
    receiver: ports.Receiver
    phase: LeasePhase = LeasePhase.OFFERED
    expires: float = 0.0  # Unix seconds


class KeyRejection(Enum):
    """Why a key can't be taken now. The values are texts of the HTTP interface."""

    BUSY = "a request for this key is under way, or its task stands"
    IN_DOUBT = "an earlier lease of this key may still run"
    SPENT = "a task of this class that was handed out once never goes out again"


@dataclass(slots=True)
class KeyLedger:
    """Keys of tasks: reserved by a request, leased, or spent. A task without a key is its own."""

    capacity: int  # keys that may not start twice, at the most
    path: str = ""  # where keys that may not start twice are kept over a restart; '' for nowhere
    _reserved: set[int] = field(default_factory=set)  # a request is in flight, or the task stands
    _leased: dict[int, Lease] = field(default_factory=dict)  # handed out, and not ended
    _spent: set[int] = field(default_factory=set)  # handed out once, of a class that may not start twice
    _file: TextIO | None = None

    def open(self) -> None:
        """Read what a former gateway handed out, and keep the file open for more. Raises ConfigError."""
        if not self.path:
            return
        try:
            self._file = open(self.path, "a+", encoding="ascii")  # noqa: SIM115
            self._file.seek(0)
            self._spent.update(int(line, 16) for line in self._file.read().split())
        except (OSError, ValueError) as error:
            raise ConfigError(f"ledger: {self.path}: {error}") from None

    def close(self) -> None:
        """Close the file, where there is one."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def rejection(self, key: int, request_class: RequestClass) -> KeyRejection | None:
        """Return why a task with this key can't be taken now; None where it can."""
        if not key:
            return None
        if key in self._reserved:
            return KeyRejection.BUSY
        if key in self._spent and request_class.effect is Effect.UNSAFE:
            return KeyRejection.SPENT
        return KeyRejection.IN_DOUBT if key in self._leased else None

    def is_full_for(self, request_class: RequestClass) -> bool:
        """Tell whether no more tasks that may not start twice can be remembered: none is forgotten."""
        if request_class.effect is not Effect.UNSAFE:
            return False
        return len(self._spent) + len(self._reserved) >= self.capacity

    def reserve(self, key: int) -> None:
        """Reserve a key for a request."""
        if key:
            self._reserved.add(key)

    def release(self, key: int) -> None:
        """Release a key: its request is over, and nothing stands for it."""
        self._reserved.discard(key)

    def record_handout(self, lease: Lease, request_class: RequestClass) -> bool:
        """Record a lease that is about to leave; return whether its key is spent by that.

        Raises OSError where the ledger's file can't be written.
        """
        key = lease.task.key
        if not key:
            return False
        self._leased[key] = lease
        if request_class.effect is not Effect.UNSAFE or key in self._spent:
            return False
        self._spent.add(key)
        if self._file is not None:  # on the disk before it is on the wire
            self._file.write(f"{key:x}\n")
            self._file.flush()
            os.fsync(self._file.fileno())
        return True

    def undo_handout(self, lease: Lease, newly_spent: bool) -> None:
        """Take a lease back that did not leave, and its key if it was spent by that."""
        self.end(lease)
        if newly_spent:
            self._spent.discard(lease.task.key)

    def spend(self, key: int) -> bool:
        """Record a key that was handed out elsewhere; return whether it was not spent before."""
        is_new = key not in self._spent
        self._spent.add(key)
        return is_new

    def end(self, lease: Lease) -> None:
        """Record the end of a lease: its key is no longer in doubt."""
        if self._leased.get(lease.task.key) is lease:
            del self._leased[lease.task.key]

    def restore(self, spent: Iterable[int], leased: Iterable[Lease], reserved: Iterable[int]) -> None:
        """Take over what a store kept."""
        self._spent.update(spent)
        self._leased.update((lease.task.key, lease) for lease in leased if lease.task.key)
        self._reserved.update(key for key in reserved if key)

    def in_doubt_until(self, key: int) -> float:
        """Return when the lease of a key expires, in Unix seconds; 0 where it is not leased."""
        lease = self._leased.get(key)
        return lease.expires if lease else 0.0
