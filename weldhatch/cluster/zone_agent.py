"""Zones at one front: time, events and health checks for what `zones.failover_member` decides.

No decisions here.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random

from weldhatch.cluster.node import ClusterNode, GroupUnreachableError
from weldhatch.coordination.commands import CommandKind
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.results import is_error
from weldhatch.core.policy_driver import Driver
from weldhatch.scheduling.events import MachinesChanged, ProbeAnswered
from weldhatch.scheduling.types import ListForm, Machine, Outcome, Settings
from weldhatch.zones.failover_member import FailoverMember
from weldhatch.zones.start_quota import StartQuota
from weldhatch.zones.state import Phase

TICK_S = 0.1
REPORT_INTERVAL = 0.2  # of the consistency bound: a report that stays the same is sent as often
MAX_QUOTAS = 100  # that one answer may bring


class ZoneAgent:
    """Owns the front's part in zone failover, and its timer."""

    def __init__(
        self,
        settings: Settings,
        clock_drift: float,
        consistency_bound: float,
        driver: Driver,
        uid_of: Callable[[int], str],
        on_change: Callable[[], None],
        log: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        """Begin to listen to what the policy hears. `on_change`: machines may count for more or less."""
        self.member = FailoverMember(settings, clock_drift, Random(), uid_of)
        self._driver = driver
        self._on_change = on_change
        self._log = log
        self._clock = clock
        self._consistency_bound = consistency_bound
        self._node: ClusterNode | None = None
        self._reported_at = float("-inf")
        self._silent_zones: frozenset[str] = frozenset()
        self._reported_looks: object = None
        self._last_looks: object = None
        self._fencing: asyncio.Task[None] | None = None
        driver.watchers.append(lambda event: self.member.handle_event(clock(), event))
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def join(self, node: ClusterNode, machines: tuple[Machine, ...]) -> None:
        """Take part in a group. `machines`: those that the policy heard of before we listened to it."""
        self.member.handle_event(self._clock(), MachinesChanged(ListForm.DELTA, machines))
        self._node = node
        node.coordination.set_zone_observer(self.report)

    def report(self, now: float) -> str:
        """Return what the leader is to hear with the next request (JSON); '' where it was sent lately."""
        report = self.member.report(now)
        looks = [
            report.isolation,
            {place: one.health for place, one in report.places.items()},
            report.starts,
        ]
        interval = REPORT_INTERVAL * self._consistency_bound
        if looks == self._reported_looks and now - self._reported_at < interval:
            return ""
        self._reported_looks = looks
        self._reported_at = now
        return report.to_json()

    # ---- time ------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        now = self._clock()
        for machine in self.member.tick(now):
            self._check_health(machine)
        if self._node is None:
            return
        self._ask_where_looks_change(now, self._node)
        self._update_silent_zones()
        if any(place.phase is not Phase.SERVING for place in self.member.zones.entries.values()):
            self._on_change()  # quotas lapse by time alone, and machines are reported anew
        if self._fencing is None and self.member.unreported_fences()[1]:
            self._fencing = asyncio.get_running_loop().create_task(self._fence(self._node))

    def _check_health(self, machine: int) -> None:
        def on_answer(outcome: Outcome, report: tuple[float, ...]) -> None:
            self.member.handle_event(self._clock(), ProbeAnswered(machine, outcome, 0, report))

        if self._driver.site is not None:
            self._driver.site.probe(machine, on_answer)

    def _ask_where_looks_change(self, now: float, node: ClusterNode) -> None:
        counts = self.member.observations.counts(now)
        looks = {place: counts[place].health() for place in self.member.observations.zones}
        if looks != self._last_looks:
            self._last_looks = looks
            node.request_lease()

    def _update_silent_zones(self) -> None:
        before = self._silent_zones
        self._silent_zones = self.member.silent_zones
        if before == self._silent_zones:
            return
        for zone in sorted(before ^ self._silent_zones):
            self._log(
                f"zones: {zone} says nothing: nothing new goes there from here"
                if zone in self._silent_zones
                else f"zones: {zone} is heard again"
            )
        self._on_change()

    async def _fence(self, node: ClusterNode) -> None:
        """Tell the group of tasks that may still run behind a cut."""
        try:
            while (fences := self.member.unreported_fences())[1]:
                command: JsonObject = {
                    "do": CommandKind.FENCE,
                    "place": fences[0],
                    "keys": fences[1],
                    "by": node.config.name,
                }
                result = await node.submit(command)
                if is_error(result):
                    self._log(f"zones: {result['text']}")
                    return
                await node.wait_for_index(result["index"])
                self.state_changed()
        except GroupUnreachableError:
            pass  # the next tick tries again
        finally:
            self._fencing = None

    # ---- what the group says ---------------------------------------------------------------------------

    def state_changed(self) -> None:
        """Act on the group's state: it has changed here."""
        if self._node is not None:
            self.member.apply_agreed_state(self._clock(), self._node.lease_holder.state_machine.zones)

    def quota_received(self, quotas: str, asked_at: float) -> None:
        """Take starts on machines that return (JSON), from `asked_at` on."""
        try:
            shares = [StartQuota.from_tree(share) for share in json.loads(quotas)[:MAX_QUOTAS]]
        except (ValueError, TypeError):
            self._log("zones: shares that can't be read are left")
            return
        if self.member.receive_quotas(shares, asked_at):
            self._on_change()

    def close(self) -> None:
        """Give back the timer and the task at once."""
        self._timer.cancel()
        if self._fencing is not None:
            self._fencing.cancel()
