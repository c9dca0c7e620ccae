"""Machines of one site in memory: what `core.ports.Site` wants, with capacity, and a count of every start.

No socket: the core, the module and the sites round it are the real ones.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_CANCELLED, CAUSE_FINISHED, Answered, Ended, GiveUpResult
from weldhatch.scheduling.types import Machine, Outcome, Reason


@dataclass(slots=True)
class Tally:
    """What ran, over all sites: kept outside the gateways, which may die."""

    starts: Counter[int] = field(default_factory=Counter)  # by key
    running: Counter[int] = field(default_factory=Counter)
    doubled: list[int] = field(default_factory=list)  # keys that ran twice at one time

    def begin(self, key: int) -> None:
        self.starts[key] += 1
        self.running[key] += 1
        if self.running[key] > 1:
            self.doubled.append(key)

    def end(self, key: int) -> None:
        self.running[key] -= 1


@dataclass(slots=True)
class Running:
    task: ports.Task
    attempt: int
    machine: int
    receiver: ports.Receiver
    timer: asyncio.TimerHandle | None = None


class Hall:
    """A site's machines. An offer is answered after `look_s`; a task lives for a drawn time."""

    def __init__(
        self, machines: int, cores: float, life_s: float, tally: Tally, random: Random, look_s: float = 0.005
    ) -> None:
        self.machines, self.cores, self.life_s, self.look_s = machines, cores, life_s, look_s
        self._tally, self._random = tally, random
        self.free = dict.fromkeys(range(1, machines + 1), cores)
        self._out: dict[int, Running] = {}  # by the identity of the task
        self._stands: dict[int, Running] = {}
        self.dead = False

    def entries(self) -> tuple[Machine, ...]:
        return tuple(Machine(n, cell=n // 4) for n in self.free)

    @property
    def busy(self) -> int:
        """Tasks that run."""
        return len(self._stands)

    def end_all(self) -> None:
        """All that runs comes to its end."""
        for one in list(self._stands.values()):
            self._end(one, Outcome.OK, CAUSE_FINISHED)

    def die(self) -> None:
        """The gateway is gone, and the machines stop what they ran for it, as leases run out."""
        self.dead = True
        for one in [*self._out.values(), *self._stands.values()]:
            if one.timer is not None:
                one.timer.cancel()
        for one in self._stands.values():
            self._tally.end(one.task.key)
        self._out.clear()
        self._stands.clear()

    # ---- ports.Site ----------------------------------------------------------------------------------------

    def offer(
        self,
        machine: int,
        task: ports.Task,
        attempt: int,
        wait_us: int,
        receiver: ports.Receiver,
        start_by_us: int = 0,
    ) -> None:
        if self.dead:
            return
        one = self._out[id(task)] = Running(task, attempt, machine, receiver)
        one.timer = asyncio.get_running_loop().call_later(self.look_s, self._look, one)

    def _look(self, one: Running) -> None:
        del self._out[id(one.task)]
        if self.free[one.machine] < one.task.cores:
            one.receiver.deliver(Ended(one.attempt, Outcome.FULL, Reason.NO_CORES))
            return
        self.free[one.machine] -= one.task.cores
        self._stands[id(one.task)] = one
        self._tally.begin(one.task.key)
        one.receiver.deliver(Answered(one.attempt, f"m{one.machine}"))
        life = self.life_s * (0.5 + self._random.random())
        one.timer = asyncio.get_running_loop().call_later(life, self._end, one, Outcome.OK, CAUSE_FINISHED)

    def _end(self, one: Running, outcome: Outcome, cause: int) -> None:
        if self._stands.pop(id(one.task), None) is None:
            return
        one.timer.cancel()
        self.free[one.machine] += one.task.cores
        self._tally.end(one.task.key)
        one.receiver.deliver(Ended(one.attempt, outcome, cause=cause))

    def adopt(self, machine: int, task: ports.Task, receiver: ports.Receiver) -> None:
        receiver.deliver(Ended(0, Outcome.RESET))

    def give_up(self, machine: int, task: ports.Task) -> GiveUpResult:
        if one := self._out.pop(id(task), None):
            one.timer.cancel()
            return GiveUpResult.WITHDRAWN
        return GiveUpResult.GIVEN_UP

    def release(self, machine: int, task: ports.Task, cause: int) -> None:
        if one := self._stands.get(id(task)):
            self._end(one, Outcome.CANCELLED, cause)

    def move(self, machine: int, task: ports.Task) -> None:
        self.release(machine, task, CAUSE_CANCELLED)

    def probe(self, machine: int, done: Callable[[Outcome, tuple[float, ...]], None]) -> None:
        done(Outcome.OK, (self.free[machine], 2 * self.free[machine]))
