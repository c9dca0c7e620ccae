"""`run`: wires the parts together, heeds signals, and serves until it is told to end. No command line
here."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from weldhatch import config
from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Rules
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.descriptor_budget import RESERVED, DescriptorBudget, DescriptorShare
from weldhatch.net.listener import Listener
from weldhatch.platform.client_front import Owners
from weldhatch.platform.endpoint_list import Fleet
from weldhatch.platform.event_bus import Bus
from weldhatch.platform.servers import Servers
from weldhatch.pullqueue.control import Control
from weldhatch.pullqueue.front import PullQueue
from weldhatch.scheduling.events import MachinesChanged, ProbeAnswered
from weldhatch.scheduling.policy import Policy
from weldhatch.scheduling.types import ListForm, Machine, Outcome, Settings

if TYPE_CHECKING:
    from weldhatch.standalone_zones import StandaloneZones

LISTEN_ON_S = 0.7  # after SIGTERM requests keep coming for so long, and are served
LAST_READ_S = 0.05  # what had been written to us when we ceased to listen is read and answered
FLUSH_S = 0.5
DEADLINE_MOST_S = 3.0  # SIGKILL comes LISTEN_ON_S after the longest deadline, counted as this where longer
SPARE_S = 0.25  # a planned end is over so long before that
BUS_SLOTS = 2  # descriptors that nothing but the event bus may take: a connection, and the next one
LEAST_SLOTS = 8  # connections that clients have at least, and servers: the others may not take these
ANSWER_S = 0.2  # a plan that asks for a restart is answered before it


def log(text: str) -> None:
    print(f"{time.time():.3f} {text}", file=sys.stderr, flush=True)


class ListObserver(Protocol):
    """What a group of dispatchers wants to hear of each one's list."""

    rev: int

    def list_changed(self, topology: dict, machines: tuple[Machine, ...]) -> None: ...


class Gateway:
    """The platform's front on the core, from the first byte to the last answer."""

    def __init__(
        self,
        told: config.Platform,
        log: Callable[[str], None],
        endpoint_list: ListObserver | None = None,
        alone: StandaloneZones | None = None,
    ) -> None:
        """`endpoint_list`: hears the list of machines too, where dispatchers agree on what it says, or
        where we leave zones that fail `alone`."""
        self.endpoint_list, self._alone = endpoint_list, alone
        settings = self.settings = told.settings
        self._started, self._log = told, log
        budget = self.budget = DescriptorBudget(told.sockets, BUS_SLOTS)
        least = min(LEAST_SLOTS, budget.most // 2)
        self.driver = Driver(Policy(settings, told.seed), log)
        self.servers = Servers(
            settings,
            DescriptorShare(budget, budget.most - least),
            told.dial_s,
            told.probe_s,
            self._reported,
            log,
        )
        self.fleet = Fleet(settings, self.servers.changed, log)
        # Guards against a list that nobody brings up to date: whatever clients and servers hold, the bus has
        # its own.
        discovery = DescriptorShare(DescriptorBudget(RESERVED + LEAST_SLOTS), BUS_SLOTS)
        self.bus = Bus(told.bus, discovery, lambda: self.fleet.offset, self._told, log)
        self.driver.site, self.driver.directory = self.servers, self.bus
        self.core = Core(self.driver, self.servers, log)
        for event in told.known:
            self._told(event)
        # Guards against a module that does not ask: its settings may say that changes come by
        # themselves, and here they come only to those who read the bus.
        self.bus.subscribe(True)
        # Owners keep at most a third of the descriptors and others may come on top; whatever they do, a
        # third is left for the servers.
        share = self._clients = DescriptorShare(budget, min(told.sockets * 2 // 3, budget.most - least))
        self.owners = Owners(settings, self.core, share, log)
        self.listener = Listener(told.listen, share, self.owners.taken, self._make_room)
        if alone is not None:
            self.core.rules = alone
            alone.begin(settings, self.driver, told.seed)

    def _make_room(self) -> None:
        """A client waits for a descriptor: where clients hold less than their part, servers give one back."""
        if self._clients.is_exhausted or not self.servers.make_room():
            self.owners.make_room()

    def _reported(self, machine: int, report: tuple[float, ...]) -> None:
        self.driver.post(ProbeAnswered(machine, Outcome.OK, 0, report))

    def _told(self, event: dict) -> None:
        if changed := self.fleet.take(event):
            self.driver.post(changed)
            if self.endpoint_list is not None:
                self.endpoint_list.list_changed(event["topology"], changed.machines)

    def apply_rules(self, settings: Settings, rules: Rules) -> None:
        """Decide by settings that a group has agreed on, as far as `rules` lets anything start."""
        self.settings, self.core.rules = settings, rules
        self.driver.reconfigure(settings)
        self.owners.rule(settings)

    def name_of(self, machine: int) -> str:
        server = self.fleet.servers.get(machine)
        return server.uid if server is not None else ""

    def on_break(self, broke: Callable[[int], None]) -> None:
        self.servers.broke = broke

    def apply_directive(self, machine: str, state: str, fence: int, op: str) -> None:
        """Words reach the module with the list of machines, by `update_machines`."""

    def update_machines(self, machines: tuple[Machine, ...]) -> None:
        """Machines that count for less, or for more again, than our own list said last."""
        self.driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines, self.endpoint_list.rev))

    def reconfigure(self, told: config.Platform) -> None:
        """Take over what can change while it runs: the address of the event bus, and events we missed."""
        for event in told.known:
            self._told(event)
        self.bus.move(told.bus)
        for key, now, then in (
            ("listen", self._started.listen, told.listen),
            ("limits.sockets", self._started.sockets, told.sockets),
            ("settings", self._started.settings, told.settings),
        ):
            if now != then:
                self._log(f"configuration: {key} has changed, which takes a restart")

    async def end(self) -> None:
        """A planned end: whatever was taken is answered, and what still comes is served for its span.

        Tasks that stand are looked after for as long as there is: until a new dispatcher is there, nobody
        else tells their owners that they are over. What is unanswered then is waited for, as it would be
        lost otherwise.
        """
        longest = max(cls.deadline_us for cls in self._started.settings.classes) / 1e6
        end = time.monotonic() + min(longest, DEADLINE_MOST_S) + LISTEN_ON_S - SPARE_S
        await asyncio.sleep(LISTEN_ON_S)
        self.owners.ending = True
        self.listener.finish()
        await asyncio.sleep(LAST_READ_S)
        while self.core.unanswered or (self.core.requests and time.monotonic() < end):
            await asyncio.sleep(0.01)
        await self.owners.finish_all(FLUSH_S)
        self.abort()

    def abort(self) -> None:
        """Give back every socket at once."""
        self.listener.close()
        self.owners.close()
        self.bus.close()
        self.servers.close()
        if self._alone is not None:
            self._alone.close()


class Running:
    """The fronts of this process, from their start to their planned end."""

    def __init__(self, pull_file: str) -> None:
        tree = config.pull_queue_tree(pull_file) if os.path.exists(pull_file) else {}
        pull = config.pull_queue(tree) if tree else None
        self.stop, self.next_tree, self.fronts = asyncio.Event(), None, []
        self._gateway: Gateway | None = None
        # Before anything says that it listens: guards against a signal that comes on that word and, with
        # nobody to hear it yet, ends the process at once and with what it has just taken.
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        control: Control | None = None
        if "PROXY_CONFIG" in os.environ or pull is None or not pull.enabled:
            told, endpoint_list, alone = config.platform(os.environ), None, None
            if pull is not None and pull.agreement is not None:
                from weldhatch.cluster.endpoint_list import LocalEndpointList

                endpoint_list = LocalEndpointList()
            elif pull is not None and pull.zones is not None:
                from weldhatch.standalone_zones import StandaloneZones

                endpoint_list = alone = StandaloneZones(pull.zones.times, log)
            self._gateway = Gateway(told, log, endpoint_list, alone)
            self.fronts.append(self._gateway)
            log(f"{told.name} listens on {told.listen[0]}:{told.listen[1]}")
        if pull is not None and pull.enabled:
            front = PullQueue(pull, Policy(pull.settings, random.getrandbits(64)), log)
            self.fronts.append(front)
            log(f"pull queue listens on {pull.listen[0]}:{pull.listen[1]}")
            if pull.control is not None:
                control = Control(tree, pull.control, front, self.restart, log, time.time)
                self.fronts.append(control)
        self.front_controller = None
        if pull is not None and pull.agreement is not None:
            from weldhatch.cluster.front_controller import (
                FrontController,  # imported only where dispatchers agree
            )

            settings = (
                config.json_file(os.environ["PROXY_CONFIG"])["settings"]
                if self._gateway is not None
                else tree["settings"]
            )
            zones = pull.zones if pull.zones is not None and not pull.zones.alone else None
            self.front_controller = FrontController(
                pull.agreement, settings, self.fronts[0], log, time.time, zones
            )
            if control is not None:
                control.governor = self.front_controller

    def restart(self, tree: dict) -> None:
        self.next_tree = tree
        asyncio.get_running_loop().call_later(ANSWER_S, self.stop.set)

    def reload(self) -> None:
        """SIGHUP: read the platform's file again. One that can't be used is logged, and the old one stays."""
        for front in self.fronts:
            if isinstance(front, PullQueue):
                try:
                    front.reload()
                except config.ConfigError as fault:
                    log(f"keys not taken over, the old ones stay: {fault}")
                else:
                    log("pull queue: keys read again; its settings are changed by plan and apply")
        if self._gateway is None:
            return
        try:
            self._gateway.reconfigure(config.platform(os.environ))
        except ValueError as fault:  # a ConfigError, or an event under `known` that can't be read
            log(f"configuration not taken over, the old one stays: {fault}")
        else:
            log("configuration read again")

    async def end(self) -> None:
        await asyncio.gather(*(front.end() for front in self.fronts))
        if self.front_controller is not None:  # last: what is still answered needs its lease
            await self.front_controller.end()


async def serve(pull_file: str) -> dict | None:
    """Serve until told to end; the configuration to start anew with, where a plan asked for that."""
    running = Running(pull_file)
    gc.collect()
    gc.freeze()
    await running.stop.wait()
    log("told to end")
    await running.end()
    log("ended")
    return running.next_tree


def run(pull_file: str) -> None:
    tree = asyncio.run(serve(pull_file))
    if tree is not None:
        folder = tempfile.mkdtemp(prefix="weldhatch-")
        path = os.path.join(folder, "applied.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(tree, file)
        os.execv(sys.executable, [sys.executable, "-m", "weldhatch", "--pullqueue", path])
