"""Zone failover at one front: the timer, events and health checks round the pure `zones.failover_member`.

All decisions are made there.
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
REPORT_INTERVAL_FRACTION = 0.2  # of the consistency bound: interval of reports while nothing changes
MAX_QUOTAS = 100  # in one answer of the leader


class ZoneAgent:
    """Runs zone failover at one front: passes events and timer ticks to `FailoverMember`, which decides.

    It sends the health checks that the member asks for, and passes the member's reports to the group.
    """

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
        """Follow the policy's events from now on. `on_change`: effective states of machines may change."""
        self.member = FailoverMember(settings, clock_drift, Random(), uid_of)
        self._driver = driver
        self._on_change = on_change
        self._log = log
        self._clock = clock
        self._consistency_bound = consistency_bound
        self._node: ClusterNode | None = None
        self._reported_at = float("-inf")
        self._silent_zones: frozenset[str] = frozenset()
        self._reported_summary: object = None
        self._last_health: object = None
        self._fencing: asyncio.Task[None] | None = None
        driver.watchers.append(lambda event: self.member.handle_event(clock(), event))
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def join(self, node: ClusterNode, machines: tuple[Machine, ...]) -> None:
        """Join the group. `machines`: those that the policy knew before this agent followed its events."""
        self.member.handle_event(self._clock(), MachinesChanged(ListForm.DELTA, machines))
        self._node = node
        node.coordination.set_zone_observer(self.report)

    def report(self, now: float) -> str:
        """Return the report (JSON) to the leader for the next lease request; '' if it was sent recently."""
        report = self.member.report(now)
        health_summary = [
            report.isolation,
            {place: observation.health for place, observation in report.places.items()},
            report.starts,
        ]
        interval = REPORT_INTERVAL_FRACTION * self._consistency_bound
        if health_summary == self._reported_summary and now - self._reported_at < interval:
            return ""
        self._reported_summary = health_summary
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
        self._request_lease_on_health_change(now, self._node)
        self._update_silent_zones()
        if any(place.phase is not Phase.SERVING for place in self.member.zones.entries.values()):
            self._on_change()  # quotas expire with time, and then machines change their effective state
        if self._fencing is None and self.member.unreported_fences()[1]:
            self._fencing = asyncio.get_running_loop().create_task(self._fence(self._node))

    def _check_health(self, machine: int) -> None:
        def on_answer(outcome: Outcome, report: tuple[float, ...]) -> None:
            self.member.handle_event(self._clock(), ProbeAnswered(machine, outcome, 0, report))

        if self._driver.site is not None:
            self._driver.site.probe(machine, on_answer)

    def _request_lease_on_health_change(self, now: float, node: ClusterNode) -> None:
        counts = self.member.observations.counts(now)
        health_summary = {place: counts[place].health() for place in self.member.observations.zones}
        if health_summary != self._last_health:
            self._last_health = health_summary
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
        """Report to the group the tasks that may still run in an unreachable place, to have them fenced."""
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
            pass  # the next tick retries
        finally:
            self._fencing = None

    # ---- changes of the group's state ------------------------------------------------------------------

    def state_changed(self) -> None:
        """Apply the group's replicated state of the zones after a change."""
        if self._node is not None:
            self.member.apply_agreed_state(self._clock(), self._node.lease_holder.state_machine.zones)

    def quota_received(self, quotas: str, asked_at: float) -> None:
        """Apply start quotas (JSON) for zones that are being restored, requested at `asked_at`."""
        try:
            start_quotas = [StartQuota.from_tree(quota) for quota in json.loads(quotas)[:MAX_QUOTAS]]
        except (ValueError, TypeError):
            self._log("zones: malformed start quotas from the leader are ignored")
            return
        if self.member.receive_quotas(start_quotas, asked_at):
            self._on_change()

    def close(self) -> None:
        """Cancel the timer and the fencing task at once."""
        self._timer.cancel()
        if self._fencing is not None:
            self._fencing.cancel()
