"""Zones where dispatchers share nothing: one front, its clock and its log round `zones.standalone`.

Imported only where `zones.alone` is set.
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
    """What the core asks (`core.ports.Rules`), and the timer that drives it. Owns the timer."""

    def __init__(self, timing: FailoverTiming, log: Callable[[str], None]) -> None:
        """Wait for `begin`; until then only the endpoint list is followed."""
        self._timing = timing
        self._log = log
        self._overlay = EndpointOverlay()
        self.rev = 0

    def list_changed(self, topology: Mapping[str, Any], machines: tuple[Machine, ...]) -> None:
        """Take one event of the list, as the policy got it; also before `begin` (`server.ListObserver`)."""
        if topology.get("all"):
            for machine_id in self._overlay.entries.keys() - {one.id for one in machines}:
                self._overlay.machine_removed(machine_id)
        for machine in machines:
            self._overlay.machine_listed(machine)

    def begin(self, settings: Settings, driver: Driver, seed: int) -> None:
        """Follow what the policy gets, from now on."""
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
        """Return what is called with the result of a health check."""
        return lambda outcome, report: self._driver.post(ProbeAnswered(machine, outcome, 0, report))

    def _notify_policy(self, now: float) -> None:
        """Tell the policy of machines that count as draining here, and of those that count as ready again."""
        member = self._failover.member
        machines = self._overlay.changes(
            self._overlay.entries, lambda machine: member.effective_state(now, machine.id)
        )
        if machines:
            # Not through `post`, which would have us take it for our own list's event.
            self._driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines))

    # ---- what the core asks ------------------------------------------------------------------------------

    def retry_after_us(self, task: Task) -> int | None:
        """Return the wait before a retry in microseconds; None where a request is admitted."""
        rejection = self._failover.member.rejection(
            time.monotonic(), task.class_index, task.key, task.tenant, task.cores
        )
        if rejection is None:
            return None
        longest_us = self._settings.max_retry_after_us if self._settings.retry_after else 0
        return min(int(1e6 * rejection.retry_after_s), longest_us)

    def start_refusal(self, class_index: int, machine: int, attempt: int = -1) -> str:
        """Return why a start may not leave now; '' where it may."""
        return self._failover.member.start_refusal(time.monotonic(), machine, attempt)

    def close(self) -> None:
        """Stop the timer."""
        self._timer.cancel()
