"""Connects a front to its group: applies the group's settings and state to policy, admission and machines.

Imported only if `agreement` is configured.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from weldhatch import config
from weldhatch.cluster.admission import AdmissionGate
from weldhatch.cluster.control_api import ControlApi
from weldhatch.cluster.drain_reporter import DrainReporter
from weldhatch.cluster.endpoint_list import LocalEndpointList
from weldhatch.cluster.event_log import event_logger
from weldhatch.cluster.node import ClusterNode, boot_clock
from weldhatch.cluster.zone_agent import ZoneAgent
from weldhatch.coordination import compatibility
from weldhatch.coordination.errors import IncompatibleChangeError
from weldhatch.coordination.json_types import JsonObject
from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Rules
from weldhatch.pullqueue.remote_sites import link_contexts
from weldhatch.scheduling.events import Event, MachinesChanged
from weldhatch.scheduling.types import ListForm, Machine, Settings
from weldhatch.zones.endpoint_overlay import EndpointOverlay


class Front(Protocol):
    """The interface of a front that the controller needs."""

    settings: Settings
    driver: Driver
    endpoint_list: LocalEndpointList | None  # None for a front whose machines register themselves

    def update_machines(self, machines: tuple[Machine, ...]) -> None:
        """Apply machine states that the group restricts, or no longer restricts, against the own list."""

    def apply_rules(self, settings: Settings, rules: Rules) -> None:
        """Use these settings from now on; `rules` decides what may be admitted and started."""

    def name_of(self, machine: int) -> str:
        """Return the name that operators use for a machine; '' if it is unknown."""

    def on_connection_lost(self, callback: Callable[[int], None]) -> None:
        """Register the callback for machines whose connection was lost, if the front has one to each."""

    def apply_directive(self, machine: str, state: str, fence: int, op: str) -> None:
        """Apply the group's effective state of a machine, from an operator's directive."""


class FrontController:
    """Owns this process's node of the group, its zone agent and its control API."""

    def __init__(
        self,
        agreement: config.ClusterConfig,
        tree: JsonObject,
        front: Front,
        log: Callable[[str], None],
        unix_clock: Callable[[], float],
        zones: config.ZonesConfig | None = None,
    ) -> None:
        """Join the group. Raises ConfigError.

        `tree`: the settings of this process's own file, proposed if the group has none yet. `zones` is set if
        the group uses zone failover.
        """
        self._front = front
        self._initial_tree = tree
        self._own_settings = front.settings
        self._list = front.endpoint_list
        self._announced = EndpointOverlay()  # machines that registered themselves, as the policy knows them
        contexts = link_contexts(agreement.keys, agreement.name, "agreement.keys")
        self.zone_agent = self._make_zone_agent(agreement, log) if zones is not None else None
        self.node = ClusterNode(
            agreement,
            self._read,
            self._incompatibility,
            tree,
            self._state_changed,
            log,
            event_logger(),
            contexts,
            zone_times=zones.times if zones is not None else None,
            on_quota=self._quota_received,
        )
        self._join_zone_failover()
        self._drain_reporter = self._make_drain_reporter(log)
        self._gate = self._make_gate()
        front.apply_rules(self._own_settings, self._gate)
        self.control_api = ControlApi(self.node, self._read, log, unix_clock)
        voters = len(agreement.voters)
        log(f"agreement: {agreement.name} of {voters} voters, stated time {agreement.stated} s")

    def _join_zone_failover(self) -> None:
        if self.zone_agent is not None:
            self._front.on_connection_lost(self.zone_agent.member.connection_lost)
            self.zone_agent.join(self.node, self._list.machines if self._list is not None else ())

    def _make_drain_reporter(self, log: Callable[[str], None]) -> DrainReporter | None:
        if self._list is None:
            return None
        reporter = DrainReporter(self.node, self._list, log)
        self._list.on_change = reporter.report_soon
        return reporter

    def _make_gate(self) -> AdmissionGate:
        zone_member = self.zone_agent.member if self.zone_agent is not None else None
        return AdmissionGate(
            self.node.lease_holder, boot_clock, self._front.name_of, self._list_revision, zone_member
        )

    def _make_zone_agent(self, agreement: config.ClusterConfig, log: Callable[[str], None]) -> ZoneAgent:
        if self._list is None:
            self._front.driver.watchers.append(self._record_announced_machines)
        return ZoneAgent(
            self._own_settings,
            agreement.drift,
            agreement.stated,
            self._front.driver,
            self._front.name_of,
            self._overlay_machines,
            log,
            boot_clock,
        )

    def _read(self, tree: JsonObject) -> Settings:
        """Parse a version's settings, with this process's own values of `locality`, `me` and `resolutionUs`.

        Raises ConfigError.
        """
        own = self._own_settings
        settings = config.settings_from_json(tree)
        return replace(settings, zone=own.zone, me=own.me, tick_us=own.tick_us)

    def _incompatibility(self, settings: Settings) -> str:
        """Return '' if this front can apply such settings at run time, else the key and the reason."""
        try:
            compatibility.find_changes(self._front.settings, settings)
        except IncompatibleChangeError as error:
            return str(error)
        return ""

    def _list_revision(self) -> int:
        return self._list.rev if self._list is not None else 0

    @property
    def tree(self) -> JsonObject:
        """The settings in force in the group, in the form of a settings file."""
        active = self.node.lease_holder.state_machine.active
        return active.tree if active is not None else self._initial_tree

    # ---- changes of the group's state ------------------------------------------------------------------

    def _state_changed(self) -> None:
        """Apply the replicated state as it is now: the policy uses it from its next batch of events on."""
        holder = self.node.lease_holder
        if holder.rules is not None and holder.rules.restricted.settings != self._front.settings:
            settings = holder.rules.restricted.settings
            self._front.apply_rules(settings, self._gate)
            if self.zone_agent is not None:
                self.zone_agent.member.update_settings(settings)
        for machine, directive in holder.state_machine.directives.entries.items():
            self._front.apply_directive(
                machine, directive.effective_state, directive.fence, directive.operation
            )
        if self.zone_agent is not None:
            self.zone_agent.state_changed()
        self._overlay_machines()
        if self._drain_reporter is not None:
            self._drain_reporter.report_soon()

    def _quota_received(self, quotas: str, asked_at: float) -> None:
        if self.zone_agent is not None:
            self.zone_agent.quota_received(quotas, asked_at)

    # ---- machines --------------------------------------------------------------------------------------

    def _overlay_machines(self) -> None:
        """Notify the policy of machines whose effective state is no longer the one that it knows."""
        zone_state = self._zone_state()
        if self._list is not None:
            if machines := self._list.overlaid_machines(self.node.lease_holder, zone_state):
                self._front.update_machines(machines)
        elif self.zone_agent is not None:
            announced = self._announced
            machines = announced.changes(
                announced.entries if zone_state else (),
                lambda machine: zone_state(machine.id) if zone_state else "ready",
            )
            if machines:
                self._front.driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines))

    def _zone_state(self) -> Callable[[int], str] | None:
        """Return a function that gives a machine's state by its zone; None if no zone is restricted."""
        if self.zone_agent is None:
            return None
        member = self.zone_agent.member
        if not member.zones.entries and not member.silent_zones:
            return None
        now = boot_clock()
        return lambda machine: member.effective_state(now, machine)

    def _record_announced_machines(self, event: Event) -> None:
        """Record the events by which the policy learns of machines that register themselves."""
        if isinstance(event, MachinesChanged):
            for machine in event.machines:
                self._announced.machine_listed(machine)

    # ---- shutdown --------------------------------------------------------------------------------------

    async def end(self) -> None:
        """Leave the group, so that no dispatcher waits for our lease to expire; then close."""
        await self.control_api.end()
        await self.node.end()
        self.abort()

    def abort(self) -> None:
        """Close all sockets and cancel all tasks at once."""
        if self.zone_agent is not None:
            self.zone_agent.close()
        if self._drain_reporter is not None:
            self._drain_reporter.close()
        self.control_api.abort()
        self.node.close()
