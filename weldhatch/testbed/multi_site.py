"""Several sites in one process: real cores, modules, hand-overs and links on loopback, machines in memory.

Between every two sites runs a `Wire`. Owners ask at any site and keep what they were told; `Tally` keeps what
ran.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_CANCELLED
from weldhatch.core.policy_driver import Driver, unix_us
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.scheduling.events import MachinesChanged
from weldhatch.scheduling.policy import Policy
from weldhatch.scheduling.types import Effect, ListForm, MachineKind, RequestClass, Scope, Settings
from weldhatch.sites.forwarding import SiteForwarder
from weldhatch.sites.link_listener import LinkListener
from weldhatch.sites.messages import TransferId, Work
from weldhatch.sites.routing import Router
from weldhatch.sites.storage import SiteStorage
from weldhatch.testbed.fault_proxy import Wire
from weldhatch.testbed.in_memory_machines import Hall, Tally


def settings(cores: float = 8.0, deadline_s: float = 3.0, owner_wait_s: float = 0.1) -> Settings:
    """Three classes, one of each effect; a machine bears what it has."""
    us = int(deadline_s * 1e6)
    return Settings(
        classes=(
            RequestClass("lookup", us // 5, us, Effect.SAFE),
            RequestClass("import", us // 5, us, Effect.KEYED, group=Scope.ZONE, window_us=8_000_000),
            RequestClass("writer", us // 5, us, Effect.UNSAFE),
        ),
        kinds=(MachineKind("std", cores, 2 * cores),),
        max_attempts=4,
        report_fields=("x0", "x1"),
        warm_up_offers=8,
        owner_wait_us=int(owner_wait_s * 1e6),
        retry_after=True,
        max_retry_after_us=1_000_000,
    )


class PlainFront:
    """A front that passes nothing on, and has no ledger of its own."""

    def encode_passed_on(self, task: ports.Task) -> tuple[str, ...]:
        return ("x",)

    def decode_passed_on(
        self, site: str, id: TransferId, work: Work, on_result: Callable[[str], None]
    ) -> tuple[object, object]:
        return f"{site}-{id[0]}-{id[1]}", work.names

    def report_result(self, task: ports.Task, result: str) -> None:
        pass

    def why_not_admitted(self, work: Work) -> str:
        return ""

    def task_ran(self, work: Work) -> None:
        pass


class Owner:
    """One request: all that it was told."""

    def __init__(self, task: ports.Task) -> None:
        self.task = task
        self.answers: list[str] = []
        self.description: str | None = None
        self.ends = 0
        self.asked, self.took = time.monotonic(), 0.0
        self.answered, self.over = asyncio.Event(), asyncio.Event()
        self.life: ports.Receiver | None = None

    def _told(self, answer: str) -> None:
        self.answers.append(answer)
        self.took = time.monotonic() - self.asked
        self.answered.set()

    def placed(self, description: str | None) -> None:
        self.description = description
        self._told("placed")

    def refused(self, wait_us: int) -> None:
        self._told("refused")
        self.over.set()

    def failed(self) -> None:
        self._told("failed")
        self.over.set()

    def released(self, cause: int) -> None:
        self.ends += 1
        self.over.set()

    def moved(self) -> None:
        self.released(CAUSE_CANCELLED)


@dataclass(slots=True)
class SiteNow:
    """One gateway, from its start to its death."""

    sites: SiteForwarder
    hall: Hall
    book: SiteStorage
    door: LinkListener
    driver: Driver


@dataclass
class Region:
    """All sites. `folder` holds their stores."""

    folder: Path
    names: tuple[str, ...] = ("a", "b")
    machines: int = 4
    seed: int = 1
    life_s: float = 0.2
    told: Settings = field(default_factory=settings)
    log: Callable[[str], None] = lambda text: None
    settle_s: float = 0.1

    def __post_init__(self) -> None:
        self.random, self.tally = Random(self.seed), Tally()
        self.now: dict[str, SiteNow] = {}
        self.wires = {pair: Wire(Random(self.seed)) for pair in itertools.combinations(sorted(self.names), 2)}
        self.owners: list[Owner] = []
        self.died = 0  # requests whose gateway died before their answer
        self._keys = itertools.count(1)

    async def start(self, machines: dict[str, int] | None = None) -> None:
        ends = {pair: await wire.start() for pair, wire in self.wires.items()}
        self._ends = ends
        for name in self.names:
            self.begin(name, (machines or {}).get(name, self.machines))

    def begin(self, name: str, machines: int | None = None) -> SiteNow:
        """Start one site's gateway on its store, as after a crash."""
        machines = self.machines if machines is None else machines
        hall = Hall(machines, self.told.kinds[0].cores, self.life_s, self.tally, self.random)
        driver = Driver(Policy(self.told, self.random.getrandbits(32)), self.log)
        driver.site = hall
        core = Core(driver, hall, self.log)
        book = SiteStorage(str(self.folder / name), time.time(), self.log)
        others = [other for other in self.names if other != name]
        sites = SiteForwarder(
            name,
            others,
            self.told,
            core,
            book,
            Router(others, Random(self.random.random())),
            PlainFront(),
            self.settle_s,
            self.log,
        )
        driver.watchers.append(lambda event: sites.capacity.watch(time.monotonic(), event))
        driver.post(MachinesChanged(ListForm.CACHED, hall.entries()))
        budget = DescriptorBudget(400)
        door = LinkListener(("127.0.0.1", 0), sites.links, DescriptorShare(budget, 200), self.log)
        for pair, wire in self.wires.items():
            if name == pair[0]:
                sites.links[pair[1]].dial(self._ends[pair], DescriptorShare(budget, 4))
            elif name == pair[1]:
                wire.aim(door.listener.address)
        self.now[name] = SiteNow(sites, hall, book, door, driver)
        return self.now[name]

    def kill(self, name: str) -> None:
        """The gateway dies: nothing more is said or written, and its machines stop what they ran for it."""
        one = self.now.pop(name)
        self.died += sum(not request.answered for request in one.sites.requests)
        one.hall.die()
        one.sites.close()
        one.door.close()
        one.book.close()

    async def up(self, within: float = 10.0) -> None:
        """Wait until all links stand and each site has heard of the others' room."""
        await self.until(
            lambda: all(
                link.up and one.sites.router.sites[site].summary is not None
                for one in self.now.values()
                for site, link in one.sites.links.items()
            ),
            within,
        )

    async def until(self, condition: Callable[[], bool], within: float = 20.0) -> None:
        end = time.monotonic() + within
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError("it never came to that")
            await asyncio.sleep(0.01)

    def ask(self, site: str, kind: int = 0, key: int = 0, left_s: float = 2.0, cores: float = 1.0) -> Owner:
        key = key or next(self._keys)
        owner = Owner(
            ports.Task(f"t{key}", kind, key % 7, cores, 2 * cores, unix_us() + int(left_s * 1e6), key)
        )
        self.owners.append(owner)
        owner.life = self.now[site].sites.arrive(owner.task, owner)
        return owner

    async def settled(self, within: float = 30.0) -> None:
        """Wait until nothing is lent, taken or running any more."""
        await self.until(
            lambda: not any(
                one.sites.source.transfers or one.sites.incoming.tasks or one.sites.requests or one.hall.busy
                for one in self.now.values()
            ),
            within,
        )

    def give_machines(self, site: str, count: int) -> None:
        """A site without machines gets some."""
        one = self.now[site]
        one.hall.free = dict.fromkeys(range(1, count + 1), one.hall.cores)
        one.driver.post(MachinesChanged(ListForm.FULL, one.hall.entries()))

    def runs_once(self, key: int) -> bool:
        """Whether a key's task may not run twice."""
        return any(
            owner.task.key == key and self.told.classes[owner.task.class_index].effect is not Effect.SAFE
            for owner in self.owners
        )

    def counts(self) -> Counter[str]:
        """Answers of all owners: by answer, `none` and `several`."""
        return Counter(
            "none" if not owner.answers else "several" if len(owner.answers) > 1 else owner.answers[0]
            for owner in self.owners
        )

    async def close(self) -> None:
        for name in list(self.now):
            self.kill(name)
        for wire in self.wires.values():
            wire.close()
        await asyncio.sleep(0)
