"""The platform front of a dispatcher: event bus, servers and clients, connected to the core."""

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

SHUTDOWN_LISTEN_S = 0.7  # after SIGTERM, new requests are still served for this long
FINAL_READ_S = 0.05  # after the listener has stopped, to read the requests that were sent before
FLUSH_S = 0.5
MAX_DEADLINE_S = 3.0  # SIGKILL comes min(longest deadline, this) + SHUTDOWN_LISTEN_S after SIGTERM
SHUTDOWN_SLACK_S = 0.25  # a graceful shutdown ends this long before the SIGKILL
DRAIN_POLL_S = 0.01
BUS_DESCRIPTORS = 2  # reserved for the event bus: its connection, and the one that replaces it
MIN_CONNECTIONS = 8  # reserved for clients, and as many for servers: neither can take up the other's


class ListObserver(Protocol):
    """Follows a dispatcher's own endpoint list, for its group or for standalone zone failover."""

    rev: int  # the revision of the newest list

    def list_changed(self, topology: dict[str, Any], machines: tuple[Machine, ...]) -> None:
        """Apply one event of the list; `machines` are its targets, as the policy received them."""


class Gateway:
    """Connects the event bus, the servers and the clients to the core, and owns all their sockets."""

    def __init__(
        self,
        configuration: PlatformConfig,
        log: Callable[[str], None],
        endpoint_list: ListObserver | None = None,
        standalone_zones: StandaloneZones | None = None,
    ) -> None:
        """Listen and connect; needs a running event loop. Raises OSError if it can't listen."""
        self.endpoint_list = endpoint_list
        self._standalone_zones = standalone_zones
        self.settings = configuration.settings
        self._configuration = configuration
        self._log = log
        self.budget = DescriptorBudget(configuration.sockets, BUS_DESCRIPTORS)
        min_connections = min(MIN_CONNECTIONS, self.budget.limit // 2)
        self.driver = Driver(Policy(self.settings, configuration.seed), log)
        self._connect_platform(min_connections)
        self.core = Core(self.driver, self.servers, log)
        for event in configuration.known:
            self._handle_bus_event(event)
        # Subscribe in any case: by its settings, the policy may expect changes without a subscription, but
        # this platform delivers them only over the event bus.
        self.bus.subscribe(True)
        self._listen(min_connections)
        if standalone_zones is not None:
            self.core.rules = standalone_zones
            standalone_zones.begin(self.settings, self.driver, configuration.seed)

    def _connect_platform(self, min_connections: int) -> None:
        """Create the links to servers, the endpoint list and the event bus."""
        configuration = self._configuration
        self.servers = Servers(
            self.settings,
            DescriptorShare(self.budget, self.budget.limit - min_connections),
            configuration.dial_s,
            configuration.probe_s,
            self._load_reported,
            self._log,
        )
        self.servers_list = EndpointList(self.settings, self.servers.update, self._log)
        # The bus has reserved descriptors: without one, the endpoint list would no longer be updated while
        # clients and servers hold all others.
        bus_share = DescriptorShare(DescriptorBudget(RESERVED_DESCRIPTORS + MIN_CONNECTIONS), BUS_DESCRIPTORS)
        self.bus = EventBus(
            configuration.bus, bus_share, lambda: self.servers_list.offset, self._handle_bus_event, self._log
        )
        self.driver.site = self.servers
        self.driver.directory = self.bus

    def _listen(self, min_connections: int) -> None:
        """Accept clients. They hold at most two thirds of the descriptors; a third is left for servers."""
        max_clients = min(self._configuration.sockets * 2 // 3, self.budget.limit - min_connections)
        self._client_share = DescriptorShare(self.budget, max_clients)
        self.clients = ClientFront(self.settings, self.core, self._client_share, self._log)
        self.listener = Listener(
            self._configuration.listen, self._client_share, self.clients.accept, self._free_descriptors
        )

    def _free_descriptors(self) -> None:
        """Free a descriptor for a waiting client: a server's, unless clients hold their full share."""
        if self._client_share.is_exhausted or not self.servers.evict_idle_links():
            self.clients.free_descriptors()

    def _load_reported(self, machine: int, report: tuple[float, ...]) -> None:
        self.driver.post(ProbeAnswered(machine, Outcome.OK, 0, report))

    def _handle_bus_event(self, event: dict[str, Any]) -> None:
        if changed := self.servers_list.apply_event(event):
            self.driver.post(changed)
            if self.endpoint_list is not None:
                self.endpoint_list.list_changed(event["topology"], changed.machines)

    # ---- the interface `cluster.front_controller.Front` ----------------------------------------------------

    def apply_rules(self, settings: Settings, rules: Rules) -> None:
        """Use the settings of the group from now on; `rules` decides what may be admitted and started."""
        self.settings = settings
        self.core.rules = rules
        self.driver.reconfigure(settings)
        self.clients.reconfigure(settings)

    def name_of(self, machine: int) -> str:
        """Return the name that operators use for a machine; '' if it is unknown."""
        server = self.servers_list.servers.get(machine)
        return server.uid if server is not None else ""

    def on_connection_lost(self, callback: Callable[[int], None]) -> None:
        """Register the callback for machines whose connection was lost."""
        self.servers.connection_lost = callback

    def apply_directive(self, machine: str, state: str, fence: int, op: str) -> None:
        """Do nothing: operators' directives reach the policy through `update_machines`."""

    def update_machines(self, machines: tuple[Machine, ...]) -> None:
        """Apply machine states that the group restricts, or no longer restricts, against the own list."""
        revision = self.endpoint_list.rev if self.endpoint_list is not None else 0
        self.driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines, revision))

    # ---- configuration and shutdown ------------------------------------------------------------------------

    def reconfigure(self, configuration: PlatformConfig) -> None:
        """Apply what can change at run time: the address of the event bus, and events that were missed.

        Raises:
            ValueError: an event under the key `known` can't be read.
        """
        for event in configuration.known:
            self._handle_bus_event(event)
        self.bus.change_endpoint(configuration.bus)
        started = self._configuration
        for key, current, requested in (
            ("listen", started.listen, configuration.listen),
            ("limits.sockets", started.sockets, configuration.sockets),
            ("settings", started.settings, configuration.settings),
        ):
            if current != requested:
                self._log(f"configuration: the change of {key} takes effect after a restart")

    async def end(self) -> None:
        """Shut down gracefully: requests in flight are answered, new ones are served for SHUTDOWN_LISTEN_S.

        Clients of running tasks are served until the time is up: until a new dispatcher has started, no other
        process notifies them of a task's end. Unanswered requests have no such limit, as they would be lost.
        """
        longest_s = max(cls.deadline_us for cls in self._configuration.settings.classes) / 1e6
        end = time.monotonic() + min(longest_s, MAX_DEADLINE_S) + SHUTDOWN_LISTEN_S - SHUTDOWN_SLACK_S
        await asyncio.sleep(SHUTDOWN_LISTEN_S)
        self.clients.shutting_down = True
        self.listener.finish()
        await asyncio.sleep(FINAL_READ_S)
        while self.core.unanswered or (self.core.requests and time.monotonic() < end):
            await asyncio.sleep(DRAIN_POLL_S)
        await self.clients.finish_all(FLUSH_S)
        self.abort()

    def abort(self) -> None:
        """Close all sockets at once."""
        self.listener.close()
        self.clients.close()
        self.bus.close()
        self.servers.close()
        if self._standalone_zones is not None:
            self._standalone_zones.close()
