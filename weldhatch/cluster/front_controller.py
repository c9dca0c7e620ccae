"""One front under the rules of a group: what the group agrees on reaches the policy, the gate and the lists.

Imported only where `agreement` is configured.
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
    """What a controller needs of a front."""

    settings: Settings
    driver: Driver
    endpoint_list: LocalEndpointList | None  # of a front whose machines come by lists

    def update_machines(self, machines: tuple[Machine, ...]) -> None:
        """Take machines that count for less, or for more again, than the front's own list said last."""

    def apply_rules(self, settings: Settings, rules: Rules) -> None:
        """Decide by these settings from now on, as far as `rules` lets anything start."""

    def name_of(self, machine: int) -> str:
        """Return what operators call a machine; '' for one that is not known."""

    def on_break(self, broke: Callable[[int], None]) -> None:
        """Notify of machines whose connection has ended, where they have one of their own."""

    def apply_directive(self, machine: str, state: str, fence: int, op: str) -> None:
        """Take what the group acts on for a machine, as operators said."""


class FrontController:
    """Owns the process's part in the group and its control address."""

    def __init__(
        self,
        agreement: config.AgreementFile,
        tree: JsonObject,
        front: Front,
        log: Callable[[str], None],
        unix_clock: Callable[[], float],
        zones: config.ZonesFile | None = None,
    ) -> None:
        """Join the group. Raises ConfigError.

        `tree`: the settings of this process's own file, proposed where a group has none yet. `zones`: where
        the group leaves zones that fail.
        """
        self._front = front
        self._first_tree = tree
        self._own_settings = front.settings
        self._list = front.endpoint_list
        self._announced = EndpointOverlay()  # machines that made themselves known, as the policy knows them
        contexts = link_contexts(agreement.keys, agreement.name, "agreement.keys")
        self.zone_agent = self._make_zone_agent(agreement, log) if zones is not None else None
        self.node = ClusterNode(
            agreement,
            self._read,
            self._fits,
            tree,
            self._state_changed,
            log,
            event_logger(),
            contexts,
            zone_times=zones.times if zones is not None else None,
            on_quota=self._quota_received,
        )
        self._join_zones()
        self._drain_reporter = self._make_drain_reporter(log)
        self._gate = self._make_gate()
        front.apply_rules(self._own_settings, self._gate)
        self.control_api = ControlApi(self.node, self._read, log, unix_clock)
        voters = len(agreement.voters)
        log(f"agreement: {agreement.name} of {voters} voters, stated time {agreement.stated} s")

    def _join_zones(self) -> None:
        if self.zone_agent is not None:
            self._front.on_break(self.zone_agent.member.connection_lost)
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

    def _make_zone_agent(self, agreement: config.AgreementFile, log: Callable[[str], None]) -> ZoneAgent:
        if self._list is None:
            self._front.driver.watchers.append(self._note_machines)
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
        """Return a version's settings with this process's own keys. Raises ConfigError."""
        own = self._own_settings
        settings = config.settings_of_json(tree)
        return replace(settings, zone=own.zone, me=own.me, tick_us=own.tick_us)

    def _fits(self, settings: Settings) -> str:
        """Return '' where this front can act on such settings, or the key and the reason."""
        try:
            compatibility.find_changes(self._front.settings, settings)
        except IncompatibleChangeError as error:
            return str(error)
        return ""

    def _list_revision(self) -> int:
        return self._list.rev if self._list is not None else 0

    @property
    def tree(self) -> JsonObject:
        """The settings in force in the group, as a file has them."""
        active = self.node.lease_holder.state_machine.active
        return active.tree if active is not None else self._first_tree

    # ---- what the group says ---------------------------------------------------------------------------

    def _state_changed(self) -> None:
        """Act on what is held now: the policy decides by it from its next batch on."""
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
        """Notify the policy of machines that count for less, or for more again, than our list says."""
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
        """Return what tells as what a machine counts by its zone; None where no zone counts for less."""
        if self.zone_agent is None:
            return None
        member = self.zone_agent.member
        if not member.zones.entries and not member.silent_zones:
            return None
        now = boot_clock()
        return lambda machine: member.effective_state(now, machine)

    def _note_machines(self, event: Event) -> None:
        """Note what the policy hears of machines that make themselves known."""
        if isinstance(event, MachinesChanged):
            for machine in event.machines:
                self._announced.machine_listed(machine)

    # ---- the end ---------------------------------------------------------------------------------------

    async def end(self) -> None:
        """Leave the group, so that nobody waits for our lease; then close."""
        await self.control_api.end()
        await self.node.end()
        self.abort()

    def abort(self) -> None:
        """Give back every socket and task at once."""
        if self.zone_agent is not None:
            self.zone_agent.close()
        if self._drain_reporter is not None:
            self._drain_reporter.close()
        self.control_api.abort()
        self.node.close()
