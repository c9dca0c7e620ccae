"""The gateway's record of a build machine, and the payload of a lease."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from weldhatch.core import ports
from weldhatch.placement_request import PlacementRequest
from weldhatch.pullqueue.leases import Lease, LeasePhase
from weldhatch.pullqueue.workers import EMPTY_WORKER, Worker
from weldhatch.scheduling.types import MachineState


@dataclass(slots=True)
class LeasePayload:
    """Data of a submission that its leases need."""

    request: PlacementRequest
    blob: str  # the submitter's description of the task
    on_result: Callable[[object, str], None] = lambda result, message: None
    first_records: Callable[[], tuple[bytes, ...]] = tuple  # to be stored before the first lease is sent
    forget_first_records: Callable[[], None] = lambda: None  # called if they could not be written


def payload_of(task: ports.Task) -> LeasePayload:
    """Return the lease payload of a task that came through the pull queue."""
    return cast(LeasePayload, task.passed_on)


@dataclass(slots=True, eq=False)
class Bot:
    """A build machine. Its leases belong to the machine and outlast its sessions."""

    id: str
    machine: int  # the policy's number of the machine
    cores: float
    memory: float
    zone: int
    rack: int
    session: str = ""
    expires: float = 0.0  # expiry of the session, in Unix seconds
    last_update: float = 0.0  # Unix seconds
    state: MachineState = MachineState.REMOVED
    worker: Worker = EMPTY_WORKER
    leases: dict[str, Lease] = field(default_factory=dict)
    offered: dict[str, Lease] = field(default_factory=dict)  # leases that are not handed out yet
    stopping: dict[str, Lease] = field(default_factory=dict)  # leases that the puller has to stop
    by_task: dict[int, Lease] = field(default_factory=dict)  # leases by the identity of their task
    reserved: tuple[float, float] = (0.0, 0.0)  # cores and memory of all leases
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    update_number: int = 0  # number of the last update; older updates that still wait are void
    owner: str = ""  # name in the token that opened the session, if tokens are required

    def add(self, lease: Lease) -> None:
        """Add a lease and reserve its capacity."""
        self.leases[lease.id] = lease
        self.by_task[id(lease.task)] = lease
        self.reserved = (self.reserved[0] + lease.task.cores, self.reserved[1] + lease.task.memory)
        if lease.phase is LeasePhase.OFFERED:
            self.offered[lease.id] = lease

    def remove(self, lease: Lease) -> None:
        """Remove a lease, if the machine has it, and free its capacity."""
        if self.leases.pop(lease.id, None) is not None:
            self.by_task.pop(id(lease.task), None)
            self.offered.pop(lease.id, None)
            self.stopping.pop(lease.id, None)
            rest = (self.reserved[0] - lease.task.cores, self.reserved[1] - lease.task.memory)
            self.reserved = rest if self.leases else (0.0, 0.0)


class NullReceiver:
    """The receiver of a restored lease until the lifecycle of its request is restored."""

    def deliver(self, message: object) -> None:
        """Drop the message."""


def machine_number(bot_id: str) -> int:
    """Return the policy's number of a build machine, which is the same after each restart."""
    return int.from_bytes(hashlib.blake2b(bot_id.encode(), digest_size=6).digest(), "big")
