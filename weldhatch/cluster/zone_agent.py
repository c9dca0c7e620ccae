"""Zones at one front: time, events and probes for what `zones.failover_member` decides. No decisions here."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random

from weldhatch.cluster.node import ClusterNode, GroupUnreachableError
from weldhatch.core.policy_driver import Driver
from weldhatch.scheduling.events import MachinesChanged, ProbeAnswered
from weldhatch.scheduling.types import ListForm, Machine, Settings
from weldhatch.zones.failover_member import FailoverMember
from weldhatch.zones.start_quota import StartQuota
from weldhatch.zones.state import Phase

TICK_S = 0.1
TELL = 0.2  # of the stated time: what is seen is told as often where it stays the same
READ_MOST = 100  # shares that one answer may bring


class ZoneAgent:
    """Owns a keeper and its timer. `changed` hears when machines may count for more or less than before."""

    def __init__(
        self,
        settings: Settings,
        drift: float,
        stated: float,
        driver: Driver,
        uid_of: Callable[[int], str],
        changed: Callable[[], None],
        log: Callable[[str], None],
        now: Callable[[], float],
    ) -> None:
        self.keeper = FailoverMember(settings, drift, Random(), uid_of)
        self._driver, self._changed, self._log, self._now = driver, changed, log, now
        self._stated = stated
        self._agreement: ClusterNode | None = None
        self._told_at = float("-inf")
        self._hushed: frozenset[str] = frozenset()
        self._looks: object = None
        self._last_looks: object = None
        self._telling: asyncio.Task | None = None
        driver.watchers.append(lambda event: self.keeper.handle_event(now(), event))
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def join(self, agreement: ClusterNode, machines: tuple[Machine, ...]) -> None:
        """`machines`: those that the module heard of before we listened to what it hears."""
        self.keeper.handle_event(self._now(), MachinesChanged(ListForm.DELTA, machines))
        self._agreement = agreement
        agreement.member.observe_zones = self.sight

    def sight(self, now: float) -> str:
        """What the leader is to hear with the next question; '' where it was told lately."""
        report = self.keeper.report(now)
        looks = [
            report.isolation,
            {place: one.health for place, one in report.places.items()},
            report.starts,
        ]
        if looks == self._looks and now - self._told_at < TELL * self._stated:
            return ""
        self._looks, self._told_at = looks, now
        return report.to_json()

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        now = self._now()
        for machine in self.keeper.tick(now):
            self._driver.site.probe(
                machine,
                lambda outcome, report, machine=machine: self.keeper.handle_event(
                    self._now(), ProbeAnswered(machine, outcome, 0, report)
                ),
            )
        if self._agreement is None:
            return
        counts = self.keeper.observations.counts(now)
        looks = {place: counts[place].health() for place in self.keeper.observations.zones}
        if looks != self._last_looks:
            self._last_looks = looks
            self._agreement.ask()
        hushed, self._hushed = self._hushed, self.keeper.silent_zones
        if hushed != self._hushed:
            for zone in sorted(hushed ^ self._hushed):
                self._log(
                    f"zones: {zone} says nothing: nothing new goes there from here"
                    if zone in self._hushed
                    else f"zones: {zone} is heard again"
                )
            self._changed()
        if any(one.phase is not Phase.SERVING for one in self.keeper.zones.entries.values()):
            self._changed()  # shares lapse by time alone, and machines are told of anew
        if self._telling is None and self.keeper.unreported_fences()[1]:
            self._telling = asyncio.get_running_loop().create_task(self._fence())

    async def _fence(self) -> None:
        """Tell the group of tasks that may still run behind a cut."""
        try:
            while (told := self.keeper.unreported_fences())[1]:
                result = await self._agreement.command(
                    {"do": "fence", "place": told[0], "keys": told[1], "by": self._agreement.told.name}
                )
                if "error" in result:
                    self._log(f"zones: {result['text']}")
                    return
                await self._agreement.holds(result["index"])
                self.agreed()
        except GroupUnreachableError:
            pass  # the next tick tries again
        finally:
            self._telling = None

    def agreed(self) -> None:
        """The group's state has changed here."""
        self.keeper.apply_agreed_state(self._now(), self._agreement.lease_holder.state_machine.zones)

    def shared(self, shares: str, asked: float) -> None:
        try:
            told = [StartQuota.from_tree(one) for one in json.loads(shares)[:READ_MOST]]
        except (ValueError, TypeError):
            self._log("zones: shares that can't be read are left")
            return
        if self.keeper.receive_quotas(told, asked):
            self._changed()

    def close(self) -> None:
        self._timer.cancel()
        if self._telling is not None:
            self._telling.cancel()
