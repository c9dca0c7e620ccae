"""Zone failover of a dispatcher without a group: connects `zones.standalone` to the clock, policy and log.

Imported only if the setting `zones.alone` is true.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Task
from weldhatch.scheduling.events import Event, MachinesChanged, ProbeAnswered
from weldhatch.scheduling.types import ListForm, Machine, Outcome, Settings
from weldhatch.zones.endpoint_overlay import EndpointOverlay
from weldhatch.zones.failover_rules import FailoverTiming
from weldhatch.zones.standalone import StandaloneFailover

TICK_S = 0.1


class StandaloneZones:
    """Implements `core.ports.Rules` with a `StandaloneFailover`, and owns the timer that drives it."""

    def __init__(self, timing: FailoverTiming, log: Callable[[str], None]) -> None:
        """Track only the endpoint list until `begin` is called."""
        self._timing = timing
        self._log = log
        self._overlay = EndpointOverlay()
        self.rev = 0

    def list_changed(self, topology: Mapping[str, Any], machines: tuple[Machine, ...]) -> None:
        """Process an update of the endpoint list, also before `begin` (implements `gateway.ListObserver`)."""
        if topology.get("all"):
            for machine_id in self._overlay.entries.keys() - {machine.id for machine in machines}:
                self._overlay.machine_removed(machine_id)
        for machine in machines:
            self._overlay.machine_listed(machine)

    def begin(self, settings: Settings, driver: Driver, seed: int) -> None:
        """Start failover with the known endpoint list, and process the policy's events from now on."""
        self._settings = settings
        self._driver = driver
        self._failover = StandaloneFailover(settings, self._timing, Random(seed), time.monotonic())
        self._handle_event(MachinesChanged(ListForm.DELTA, tuple(self._overlay.entries.values())))
        driver.watchers.append(self._handle_event)
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _handle_event(self, event: Event) -> None:
        self._failover.member.handle_event(time.monotonic(), event)

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        now = time.monotonic()
        checks, changed = self._failover.tick(now)
        site = self._driver.site
        assert site is not None  # the front has set it before `begin`
        for machine in checks:
            site.probe(machine, self._check_ended(machine))
        for change in self._failover.changes:
            step = change.step or 0
            self._log(f"zones: {change.place} is {change.phase.value}, step {step}: {change.reason}")
        self._failover.changes.clear()
        if changed:
            self._notify_policy(now)

    def _check_ended(self, machine: int) -> Callable[[Outcome, tuple[float, ...]], None]:
        """Return the callback for the result of a health check."""
        return lambda outcome, report: self._driver.post(ProbeAnswered(machine, outcome, 0, report))

    def _notify_policy(self, now: float) -> None:
        """Post to the policy the machines whose effective state has changed to draining or back to ready."""
        member = self._failover.member
        machines = self._overlay.changes(
            self._overlay.entries, lambda machine: member.effective_state(now, machine.id)
        )
        if machines:
            # `post` would deliver the event to our own watcher as an update of the endpoint list.
            self._driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines))

    # ---- core.ports.Rules --------------------------------------------------------------------------------

    def retry_after_us(self, task: Task) -> int | None:
        """Return the wait before a retry in microseconds, or None if the request is admitted."""
        rejection = self._failover.member.rejection(
            time.monotonic(), task.class_index, task.key, task.tenant, task.cores
        )
        if rejection is None:
            return None
        max_wait_us = self._settings.max_retry_after_us if self._settings.retry_after else 0
        return min(int(1e6 * rejection.retry_after_s), max_wait_us)

    def start_refusal(self, class_index: int, machine: int, attempt: int = -1) -> str:
        """Return why a start is refused, or '' if it is admitted."""
        return self._failover.member.start_refusal(time.monotonic(), machine, attempt)

    def close(self) -> None:
        """Stop the timer."""
        self._timer.cancel()
