"""One front under the rules of a group: what the group agrees on reaches the module, the gate and the lists.

Imported only where `agreement` is configured.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import structlog

from weldhatch import config
from weldhatch.cluster.admission import AdmissionGate
from weldhatch.cluster.control_api import ControlApi
from weldhatch.cluster.endpoint_list import LocalEndpointList
from weldhatch.cluster.node import ClusterNode, GroupUnreachableError, boot_clock
from weldhatch.cluster.zone_agent import ZoneAgent
from weldhatch.coordination import compatibility
from weldhatch.coordination.lease_holder import LeaseStatus
from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Rules
from weldhatch.pullqueue.remote_sites import link_contexts
from weldhatch.scheduling.events import Event, MachinesChanged
from weldhatch.scheduling.types import ListForm, Machine, Settings
from weldhatch.zones.endpoint_overlay import EndpointOverlay


class Front(Protocol):
    """What a governor needs of a front."""

    settings: Settings
    driver: Driver
    endpoint_list: LocalEndpointList | None  # of a front whose machines come by lists

    def update_machines(self, machines: tuple[Machine, ...]) -> None:
        """Machines that count for less, or for more again, than the front's own list said last."""

    def apply_rules(self, settings: Settings, rules: Rules) -> None:
        """Decide by these settings from now on, as far as `rules` lets anything start."""

    def name_of(self, machine: int) -> str:
        """What operators call a machine; '' for one that is not known."""

    def on_break(self, broke: Callable[[int], None]) -> None:
        """Tell it of machines whose connection has ended, where they have one of their own."""

    def apply_directive(self, machine: str, state: str, fence: int, op: str) -> None:
        """What the group acts on for a machine, by operators' words."""


def event_logger(stream: object = None) -> Callable[..., None]:
    """Structured log lines, one JSON object each."""
    logger = structlog.wrap_logger(
        structlog.PrintLogger(stream or sys.stderr),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
    )
    return lambda event, **fields: logger.info(f"agreement.{event}", **fields)


class FrontController:
    """Owns the process's part in the agreement and its control address."""

    def __init__(
        self,
        told: config.AgreementFile,
        tree: dict,
        front: Front,
        log: Callable[[str], None],
        unix: Callable[[], float],
        zones: config.ZonesFile | None = None,
    ) -> None:
        """`tree`: the settings of this process's own file, proposed where a group has none yet; `zones`:
        where the group leaves zones that fail."""
        self._front, self._log, own = front, log, front.settings

        def read(tree: dict) -> Settings:
            settings = config.settings_of_json(tree)
            return replace(settings, zone=own.zone, me=own.me, tick_us=own.tick_us)

        def fits(settings: Settings) -> str:
            try:
                compatibility.find_changes(front.settings, settings)
            except compatibility.IncompatibleChangeError as unfit:
                return str(unfit)
            return ""

        contexts = link_contexts(told.keys, told.name, "agreement.keys")
        self._roll, self.zone_agent, self._known = front.endpoint_list, None, EndpointOverlay()
        if zones is not None:
            if self._roll is None:
                front.driver.watchers.append(self._listed)
            self.zone_agent = ZoneAgent(
                own, told.drift, told.stated, front.driver, front.name_of, self._narrow, log, boot_clock
            )
        self.node = ClusterNode(
            told,
            read,
            fits,
            tree,
            self._changed,
            log,
            event_logger(),
            contexts,
            zones=zones.times if zones is not None else None,
            shared=self.zone_agent.shared if self.zone_agent is not None else lambda shares, asked: None,
        )
        if self.zone_agent is not None:
            front.on_break(self.zone_agent.keeper.connection_lost)
            self.zone_agent.join(self.node, self._roll.machines if self._roll is not None else ())
        rev = (lambda: self._roll.rev) if self._roll is not None else (lambda: 0)
        self._gate = AdmissionGate(self.node.lease_holder, boot_clock, front.name_of, rev)
        self._gate.keeper = self.zone_agent.keeper if self.zone_agent is not None else None
        self._telling: asyncio.Task | None = None
        if self._roll is not None:
            self._roll.changed = self._tell
        self._first = tree
        front.apply_rules(own, self._gate)
        self.control_api = ControlApi(self.node, read, log, unix)
        log(f"agreement: {told.name} of {len(told.voters)} voters, stated time {told.stated} s")

    @property
    def tree(self) -> dict:
        """The settings in force in the group, as a file has them."""
        active = self.node.lease_holder.state_machine.active
        return active.tree if active is not None else self._first

    def _changed(self) -> None:
        """Something else is held: the module decides by it from its next batch on."""
        rules = self.node.lease_holder.rules
        if rules is not None and rules.narrow.settings != self._front.settings:
            self._front.apply_rules(rules.narrow.settings, self._gate)
            if self.zone_agent is not None:
                self.zone_agent.keeper.update_settings(rules.narrow.settings)
        for machine, word in self.node.lease_holder.state_machine.words.items():
            self._front.apply_directive(machine, word.acts, word.fence, word.op)
        if self.zone_agent is not None:
            self.zone_agent.agreed()
        self._narrow()
        if self._roll is not None:
            self._tell()

    def _narrow(self) -> None:
        """Tell the module of machines that count for less, or for more again, than our list says."""
        zoned, keeper, now = (
            None,
            self.zone_agent.keeper if self.zone_agent is not None else None,
            boot_clock(),
        )
        if keeper is not None and (keeper.zones.entries or keeper.silent_zones):

            def zoned(machine: int) -> str:
                return keeper.effective_state(now, machine)

        if self._roll is not None:
            if machines := self._roll.narrow(self.node.lease_holder, zoned):
                self._front.update_machines(machines)
        elif keeper is not None:
            known = self._known
            if machines := known.changes(
                known.entries if zoned else (), lambda machine: zoned(machine.id) if zoned else "ready"
            ):
                self._front.driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines))

    def _listed(self, event: Event) -> None:
        """What the module hears of machines that make themselves known."""
        if isinstance(event, MachinesChanged):
            for machine in event.machines:
                self._known.machine_listed(machine)

    def _tell(self) -> None:
        """Our own list has news for the group: told once at a time, and again once the group is heard."""
        holder = self.node.lease_holder
        if (
            self._telling is None
            and holder.lease_status(boot_clock()) is LeaseStatus.VALID
            and self._roll.news(holder)
        ):
            self._telling = asyncio.get_running_loop().create_task(self._tell_all())

    async def _tell_all(self) -> None:
        try:
            while news := self._roll.news(self.node.lease_holder):
                rev = self._roll.rev
                result = await self.node.command(
                    {"do": "listed", "rev": rev, "entries": news, "by": self.node.told.name}
                )
                for text in result.get("conflicts", ()):
                    self._log(f"agreement: two lists differ: {text}")
                await self.node.holds(result["index"])
        except GroupUnreachableError:
            pass  # no leader: what is held next, or a lease, brings us here again
        finally:
            self._telling = None

    async def end(self) -> None:
        await self.control_api.end()
        await self.node.end()
        self.abort()

    def abort(self) -> None:
        if self.zone_agent is not None:
            self.zone_agent.close()
        if self._telling is not None:
            self._telling.cancel()
        self.control_api.abort()
        self.node.close()
