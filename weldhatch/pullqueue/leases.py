"""Leases, and the ledger of idempotency keys: which are reserved, leased, or must not start again."""

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
    """The state of a lease. The values in capitals are those of the HTTP interface."""

    OFFERED = "waiting"  # not handed out yet: its task has never run
    PENDING = "PENDING"  # handed out to the puller
    ACTIVE = "ACTIVE"  # the puller has started the task
    CANCELLED = "CANCELLED"  # the puller must stop the task and may not have done so yet
    ENDED = "over"


@dataclass(slots=True, eq=False)
class Lease:
    """One attempt on one build machine.

    The lease lasts until its puller reports its end, or until its expiry and the grace period have passed; a
    puller that follows the protocol has stopped the task by then.
    """

    id: str
    machine: int
    task: ports.Task
    attempt: int
    receiver: ports.Receiver
    phase: LeasePhase = LeasePhase.OFFERED
    expires: float = 0.0  # Unix seconds
    stop_cause: int = 0  # cause of the end, once the lease is cancelled


class KeyRejection(Enum):
    """The reason why a task with this key is rejected. The values are texts of the HTTP interface."""

    BUSY = "a request for this key is under way, or its task stands"
    IN_DOUBT = "an earlier lease of this key may still run"
    SPENT = "a task of this class that was handed out once never goes out again"


@dataclass(slots=True)
class KeyLedger:
    """Keys of tasks: reserved by a request, leased, or spent. Tasks without a key are not recorded."""

    capacity: int  # maximum number of keys whose tasks must not start twice
    path: str = ""  # file that keeps the spent keys over a restart; '' for none
    _reserved: set[int] = field(default_factory=set)  # a request is in flight, or its task is running
    _leased: dict[int, Lease] = field(default_factory=dict)  # handed out and not ended
    _spent: set[int] = field(default_factory=set)  # handed out once, and the task must not start twice
    _file: TextIO | None = None

    def open(self) -> None:
        """Read the keys that a former run spent, and keep the file open for writing. Raises ConfigError."""
        if not self.path:
            return
        try:
            self._file = open(self.path, "a+", encoding="ascii")  # noqa: SIM115
            self._file.seek(0)
            self._spent.update(int(line, 16) for line in self._file.read().split())
        except (OSError, ValueError) as error:
            raise ConfigError(f"ledger: {self.path}: {error}") from None

    def close(self) -> None:
        """Close the file, if there is one."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def rejection(self, key: int, request_class: RequestClass) -> KeyRejection | None:
        """Return why a task with this key is rejected now; None if it is not."""
        if not key:
            return None
        if key in self._reserved:
            return KeyRejection.BUSY
        if key in self._spent and request_class.effect is Effect.UNSAFE:
            return KeyRejection.SPENT
        return KeyRejection.IN_DOUBT if key in self._leased else None

    def is_full_for(self, request_class: RequestClass) -> bool:
        """Return whether the ledger is full for tasks that must not start twice: no key is ever evicted."""
        if request_class.effect is not Effect.UNSAFE:
            return False
        return len(self._spent) + len(self._reserved) >= self.capacity

    def reserve(self, key: int) -> None:
        """Reserve a key for a request."""
        if key:
            self._reserved.add(key)

    def release(self, key: int) -> None:
        """Release the reservation of a key once its request is over and its task has ended."""
        self._reserved.discard(key)

    def record_handout(self, lease: Lease, request_class: RequestClass) -> bool:
        """Record a lease that is about to be handed out; return whether its key becomes spent by that.

        Raises OSError if the ledger's file can't be written.
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
        """Undo the record of a lease that was not handed out, and unspend its key if it became spent then."""
        self.end(lease)
        if newly_spent:
            self._spent.discard(lease.task.key)

    def spend(self, key: int) -> bool:
        """Record the key of a task that another site handed out; return whether it was not spent before."""
        is_new = key not in self._spent
        self._spent.add(key)
        return is_new

    def end(self, lease: Lease) -> None:
        """Record the end of a lease: its task no longer runs."""
        if self._leased.get(lease.task.key) is lease:
            del self._leased[lease.task.key]

    def restore(self, spent: Iterable[int], leased: Iterable[Lease], reserved: Iterable[int]) -> None:
        """Add the keys that a store kept."""
        self._spent.update(spent)
        self._leased.update((lease.task.key, lease) for lease in leased if lease.task.key)
        self._reserved.update(key for key in reserved if key)

    def in_doubt_until(self, key: int) -> float:
        """Return when the lease of a key expires, in Unix seconds; 0 if the key is not leased."""
        lease = self._leased.get(key)
        return lease.expires if lease else 0.0
