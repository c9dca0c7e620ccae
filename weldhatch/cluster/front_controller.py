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
from weldhatch.cluster.admission import Gate
from weldhatch.cluster.control_api import Desk
from weldhatch.cluster.endpoint_list import Roll
from weldhatch.cluster.node import Agreement, Unreached, clock
from weldhatch.cluster.zone_agent import Zoner
from weldhatch.coordination import compatibility
from weldhatch.coordination.lease_holder import Footing
from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Rules
from weldhatch.pullqueue.remote_sites import link_contexts
from weldhatch.scheduling.events import Event, MachinesChanged
from weldhatch.scheduling.types import ListForm, Machine, Settings
from weldhatch.zones.endpoint_overlay import Narrowed


class Front(Protocol):
    """What a governor needs of a front."""

    settings: Settings
    driver: Driver
    roll: Roll | None  # of a front whose machines come by lists

    def listed(self, machines: tuple[Machine, ...]) -> None:
        """Machines that count for less, or for more again, than the front's own list said last."""

    def rule(self, settings: Settings, rules: Rules) -> None:
        """Decide by these settings from now on, as far as `rules` lets anything start."""

    def name_of(self, machine: int) -> str:
        """What operators call a machine; '' for one that is not known."""

    def on_break(self, broke: Callable[[int], None]) -> None:
        """Tell it of machines whose connection has ended, where they have one of their own."""

    def agreed(self, machine: str, state: str, fence: int, op: str) -> None:
        """What the group acts on for a machine, by operators' words."""


def events(stream: object = None) -> Callable[..., None]:
    """Structured log lines, one JSON object each."""
    logger = structlog.wrap_logger(
        structlog.PrintLogger(stream or sys.stderr),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
    )
    return lambda event, **fields: logger.info(f"agreement.{event}", **fields)


class Governor:
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
                compatibility.changes(front.settings, settings)
            except compatibility.Unfit as unfit:
                return str(unfit)
            return ""

        contexts = link_contexts(told.keys, told.name, "agreement.keys")
        self._roll, self.zoner, self._known = front.roll, None, Narrowed()
        if zones is not None:
            if self._roll is None:
                front.driver.watchers.append(self._listed)
            self.zoner = Zoner(
                own, told.drift, told.stated, front.driver, front.name_of, self._narrow, log, clock
            )
        self.agreement = Agreement(
            told,
            read,
            fits,
            tree,
            self._changed,
            log,
            events(),
            contexts,
            zones=zones.times if zones is not None else None,
            shared=self.zoner.shared if self.zoner is not None else lambda shares, asked: None,
        )
        if self.zoner is not None:
            front.on_break(self.zoner.keeper.broke)
            self.zoner.join(self.agreement, self._roll.machines if self._roll is not None else ())
        rev = (lambda: self._roll.rev) if self._roll is not None else (lambda: 0)
        self._gate = Gate(self.agreement.holder, clock, front.name_of, rev)
        self._gate.keeper = self.zoner.keeper if self.zoner is not None else None
        self._telling: asyncio.Task | None = None
        if self._roll is not None:
            self._roll.changed = self._tell
        self._first = tree
        front.rule(own, self._gate)
        self.desk = Desk(self.agreement, read, log, unix)
        log(f"agreement: {told.name} of {len(told.voters)} voters, stated time {told.stated} s")

    @property
    def tree(self) -> dict:
        """The settings in force in the group, as a file has them."""
        active = self.agreement.holder.group.active
        return active.tree if active is not None else self._first

    def _changed(self) -> None:
        """Something else is held: the module decides by it from its next batch on."""
        rules = self.agreement.holder.rules
        if rules is not None and rules.narrow.settings != self._front.settings:
            self._front.rule(rules.narrow.settings, self._gate)
            if self.zoner is not None:
                self.zoner.keeper.settle(rules.narrow.settings)
        for machine, word in self.agreement.holder.group.words.items():
            self._front.agreed(machine, word.acts, word.fence, word.op)
        if self.zoner is not None:
            self.zoner.agreed()
        self._narrow()
        if self._roll is not None:
            self._tell()

    def _narrow(self) -> None:
        """Tell the module of machines that count for less, or for more again, than our list says."""
        zoned, keeper, now = None, self.zoner.keeper if self.zoner is not None else None, clock()
        if keeper is not None and (keeper.zones.entries or keeper.hushed):

            def zoned(machine: int) -> str:
                return keeper.state(now, machine)

        if self._roll is not None:
            if machines := self._roll.narrow(self.agreement.holder, zoned):
                self._front.listed(machines)
        elif keeper is not None:
            known = self._known
            if machines := known.news(
                known.entries if zoned else (), lambda machine: zoned(machine.id) if zoned else "ready"
            ):
                self._front.driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines))

    def _listed(self, event: Event) -> None:
        """What the module hears of machines that make themselves known."""
        if isinstance(event, MachinesChanged):
            for machine in event.machines:
                self._known.heard(machine)

    def _tell(self) -> None:
        """Our own list has news for the group: told once at a time, and again once the group is heard."""
        holder = self.agreement.holder
        if self._telling is None and holder.footing(clock()) is Footing.LEASE and self._roll.news(holder):
            self._telling = asyncio.get_running_loop().create_task(self._tell_all())

    async def _tell_all(self) -> None:
        try:
            while news := self._roll.news(self.agreement.holder):
                rev = self._roll.rev
                result = await self.agreement.command(
                    {"do": "listed", "rev": rev, "entries": news, "by": self.agreement.told.name}
                )
                for text in result.get("conflicts", ()):
                    self._log(f"agreement: two lists differ: {text}")
                await self.agreement.holds(result["index"])
        except Unreached:
            pass  # no leader: what is held next, or a lease, brings us here again
        finally:
            self._telling = None

    async def end(self) -> None:
        await self.desk.end()
        await self.agreement.end()
        self.abort()

    def abort(self) -> None:
        if self.zoner is not None:
            self.zoner.close()
        if self._telling is not None:
            self._telling.cancel()
        self.desk.abort()
        self.agreement.close()
