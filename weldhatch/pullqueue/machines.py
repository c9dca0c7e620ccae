"""A build machine as the gateway knows it, and what a submission passes on to its leases. Records only."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

from weldhatch.placement_request import PlacementRequest
from weldhatch.pullqueue.leases import Lease, Phase
from weldhatch.pullqueue.workers import NOTHING, Worker
from weldhatch.scheduling.types import MachineState


@dataclass(slots=True)
class Passed:
    """What a submission passes on to its leases: the set-up, its description, and who hears of results."""

    setup: PlacementRequest
    blob: str
    told: Callable[[object, str], None] = lambda result, message: None
    records: Callable[[], tuple[bytes, ...]] = tuple  # what has to be on the disk before its first lease


@dataclass(slots=True, eq=False)
class Bot:
    """A build machine, by its bot id. Sessions come and go; leases are the machine's."""

    id: str
    machine: int
    cores: float
    memory: float
    hall: int
    rack: int
    session: str = ""
    expires: float = 0.0
    heard: float = 0.0
    state: MachineState = MachineState.REMOVED
    status: str = "OK"
    worker: Worker = NOTHING
    leases: dict[str, Lease] = field(default_factory=dict)
    # those of them that are offered, and not handed out
    waiting: dict[str, Lease] = field(default_factory=dict)
    stopping: dict[str, Lease] = field(default_factory=dict)  # those that the puller has to stop
    by_task: dict[int, Lease] = field(default_factory=dict)  # by the identity of their task
    asked: tuple[float, float] = (0.0, 0.0)  # cores and memory of all leases
    news: asyncio.Event = field(default_factory=asyncio.Event)
    poll: int = 0  # the number of the last update; an older one that still waits is void
    owner: str = ""  # the name in the token that opened the session, where tokens are asked for

    def add(self, lease: Lease) -> None:
        self.leases[lease.id] = self.by_task[id(lease.task)] = lease
        self.asked = (self.asked[0] + lease.task.cores, self.asked[1] + lease.task.memory)
        if lease.phase is Phase.WAITING:
            self.waiting[lease.id] = lease

    def remove(self, lease: Lease) -> None:
        if self.leases.pop(lease.id, None) is not None:
            self.by_task.pop(id(lease.task), None)
            self.waiting.pop(lease.id, None)
            self.stopping.pop(lease.id, None)
            less = (self.asked[0] - lease.task.cores, self.asked[1] - lease.task.memory)
            self.asked = less if self.leases else (0.0, 0.0)


class Deaf:
    """Hears for a lease until its life is there."""

    def tell(self, word: object) -> None:
        pass


def machine_of(bot_id: str) -> int:
    """The module's number of a build machine: the same after each restart."""
    return int.from_bytes(hashlib.blake2b(bot_id.encode(), digest_size=6).digest(), "big")
