"""The platform's front on the core, from the first byte to the last answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from weldhatch.config import PlatformConfig
from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Rules
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.descriptor_budget import RESERVED_DESCRIPTORS, DescriptorBudget, DescriptorShare
from weldhatch.net.listener import Listener
from weldhatch.platform.client_front import ClientFront
from weldhatch.platform.endpoint_list import EndpointList
from weldhatch.platform.event_bus import EventBus
from weldhatch.platform.servers import Servers
from weldhatch.scheduling.events import MachinesChanged, ProbeAnswered
from weldhatch.scheduling.policy import Policy
from weldhatch.scheduling.types import ListForm, Machine, Outcome, Settings

if TYPE_CHECKING:
    from weldhatch.standalone_zones import StandaloneZones

LISTEN_ON_S = 0.7  # after SIGTERM requests keep coming for so long, and are served
LAST_READ_S = 0.05  # what had been sent when the listener stopped is read and answered
FLUSH_S = 0.5
DEADLINE_MOST_S = 3.0  # SIGKILL comes LISTEN_ON_S after the longest deadline, counted as this where longer
SHUTDOWN_SLACK_S = 0.25  # a planned shutdown is over so long before that
DRAIN_POLL_S = 0.01
BUS_SLOTS = 2  # descriptors that nothing but the event bus may take: a connection, and the next one
LEAST_SLOTS = 8  # connections that clients have at least, and servers: the others may not take these


class ListObserver(Protocol):
    """Follows a dispatcher's own endpoint list, where dispatchers agree on it or failover is standalone."""

    rev: int  # the revision of the newest list

    def list_changed(self, topology: dict[str, Any], machines: tuple[Machine, ...]) -> None:
        """Take one event of the list, with its targets as the policy was notified of them."""


class Gateway:
    """Puts the event bus, the servers, the clients and the core together. Owns all their sockets."""

    def __init__(
        self,
        configuration: PlatformConfig,
        log: Callable[[str], None],
        endpoint_list: ListObserver | None = None,
        standalone_zones: StandaloneZones | None = None,
    ) -> None:
        """Listen and connect at once; needs a running event loop. Raises OSError where it can't listen."""
        self.endpoint_list = endpoint_list
        self._standalone_zones = standalone_zones
        self.settings = configuration.settings
        self._configuration = configuration
        self._log = log
        self.budget = DescriptorBudget(configuration.sockets, BUS_SLOTS)
        least = min(LEAST_SLOTS, self.budget.limit // 2)
        self.driver = Driver(Policy(self.settings, configuration.seed), log)
        self._connect_platform(least)
        self.core = Core(self.driver, self.servers, log)
        for event in configuration.known:
            self._bus_event(event)
        # The policy may not ask for lists: its settings may say that changes come by themselves, and on this
        # platform they come only to those who read the bus.
        self.bus.subscribe(True)
        self._listen(least)
        if standalone_zones is not None:
            self.core.rules = standalone_zones
            standalone_zones.begin(self.settings, self.driver, configuration.seed)

    def _connect_platform(self, least: int) -> None:
        """Make the servers' links, the endpoint list and the event bus."""
        configuration = self._configuration
        self.servers = Servers(
            self.settings,
            DescriptorShare(self.budget, self.budget.limit - least),
            configuration.dial_s,
            configuration.probe_s,
            self._load_reported,
            self._log,
        )
        self.servers_list = EndpointList(self.settings, self.servers.update, self._log)
        # Whatever clients and servers hold, the bus has descriptors of its own: else nobody would bring the
        # list up to date.
        bus_share = DescriptorShare(DescriptorBudget(RESERVED_DESCRIPTORS + LEAST_SLOTS), BUS_SLOTS)
        self.bus = EventBus(
            configuration.bus, bus_share, lambda: self.servers_list.offset, self._bus_event, self._log
        )
        self.driver.site = self.servers
        self.driver.directory = self.bus

    def _listen(self, least: int) -> None:
        """Accept clients. They hold at most two thirds of the descriptors; a third is left for servers."""
        most = min(self._configuration.sockets * 2 // 3, self.budget.limit - least)
        self._client_share = DescriptorShare(self.budget, most)
        self.clients = ClientFront(self.settings, self.core, self._client_share, self._log)
        self.listener = Listener(
            self._configuration.listen, self._client_share, self.clients.accept, self._free_descriptors
        )

    def _free_descriptors(self) -> None:
        """Make place for a client that waits: servers give a descriptor back where clients hold few."""
        if self._client_share.is_exhausted or not self.servers.evict_idle_links():
            self.clients.free_descriptors()

    def _load_reported(self, machine: int, report: tuple[float, ...]) -> None:
        self.driver.post(ProbeAnswered(machine, Outcome.OK, 0, report))

    def _bus_event(self, event: dict[str, Any]) -> None:
        if changed := self.servers_list.apply_event(event):
            self.driver.post(changed)
            if self.endpoint_list is not None:
                self.endpoint_list.list_changed(event["topology"], changed.machines)

    # ---- what a cluster's controller asks (`cluster.front_controller.Front`) -------------------------------

    def apply_rules(self, settings: Settings, rules: Rules) -> None:
        """Decide by settings that a group has agreed on, as far as `rules` lets anything start."""
        self.settings = settings
        self.core.rules = rules
        self.driver.reconfigure(settings)
        self.clients.reconfigure(settings)

    def name_of(self, machine: int) -> str:
        """Return what operators call a machine; '' for one that is not known."""
        server = self.servers_list.servers.get(machine)
        return server.uid if server is not None else ""

    def on_break(self, broke: Callable[[int], None]) -> None:
        """Notify of machines whose connection has ended."""
        self.servers.connection_lost = broke

    def apply_directive(self, machine: str, state: str, fence: int, op: str) -> None:
        """Do nothing: directives reach the policy with the list of machines, by `update_machines`."""

    def update_machines(self, machines: tuple[Machine, ...]) -> None:
        """Take machines that count for less, or for more again, than the own list said last."""
        revision = self.endpoint_list.rev if self.endpoint_list is not None else 0
        self.driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines, revision))

    # ---- configuration and shutdown ------------------------------------------------------------------------

    def reconfigure(self, configuration: PlatformConfig) -> None:
        """Take over what can change while it runs: the address of the event bus, and events missed.

        Raises:
            ValueError: an event under `known` can't be read.
        """
        for event in configuration.known:
            self._bus_event(event)
        self.bus.change_endpoint(configuration.bus)
        started = self._configuration
        for key, now, then in (
            ("listen", started.listen, configuration.listen),
            ("limits.sockets", started.sockets, configuration.sockets),
            ("settings", started.settings, configuration.settings),
        ):
            if now != then:
                self._log(f"configuration: {key} has changed, which takes a restart")

    async def end(self) -> None:
        """Shut down gracefully: what was taken is answered, and what still comes is served for its span.

        Running tasks are looked after for as long as there is: until a new dispatcher is there, nobody else
        notifies their clients of an end. Requests without an answer are waited for, as they would be lost.
        """
        longest_s = max(cls.deadline_us for cls in self._configuration.settings.classes) / 1e6
        end = time.monotonic() + min(longest_s, DEADLINE_MOST_S) + LISTEN_ON_S - SHUTDOWN_SLACK_S
        await asyncio.sleep(LISTEN_ON_S)
        self.clients.shutting_down = True
        self.listener.finish()
        await asyncio.sleep(LAST_READ_S)
        while self.core.unanswered or (self.core.requests and time.monotonic() < end):
            await asyncio.sleep(DRAIN_POLL_S)
        await self.clients.finish_all(FLUSH_S)
        self.abort()

    def abort(self) -> None:
        """Give back every socket at once."""
        self.listener.close()
        self.clients.close()
        self.bus.close()
        self.servers.close()
        if self._standalone_zones is not None:
            self._standalone_zones.close()
