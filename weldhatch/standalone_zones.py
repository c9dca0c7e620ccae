"""Zones where dispatchers share nothing: one front, its clock and its log round `zones.standalone`.

Imported only where `zones.alone` is set.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

from weldhatch.core.policy_driver import Driver
from weldhatch.core.ports import Task
from weldhatch.scheduling.events import Event, MachinesChanged, ProbeAnswered
from weldhatch.scheduling.types import ListForm, Machine, Settings
from weldhatch.zones.endpoint_overlay import Narrowed
from weldhatch.zones.failover_leader import Times
from weldhatch.zones.standalone import Solitary

TICK_S = 0.1


class Alone:
    """What the core asks (`core.ports.Rules`), and the timer that drives it. Owns the timer."""

    def __init__(self, times: Times, log: Callable[[str], None]) -> None:
        self._times, self._log = times, log
        self._told, self.rev = Narrowed(), 0

    def heard(self, topology: dict, machines: tuple[Machine, ...]) -> None:
        """One event of the list, as the module is told of it; also before `begin` (`serving.Roll`)."""
        if topology.get("all"):
            for machine in self._told.entries.keys() - {one.id for one in machines}:
                self._told.gone(machine)
        for machine in machines:
            self._told.heard(machine)

    def begin(self, settings: Settings, driver: Driver, seed: int) -> None:
        """Hear what the module hears, from now on."""
        self._settings, self._driver = settings, driver
        self._solitary = Solitary(settings, self._times, Random(seed), time.monotonic())
        self._heard(MachinesChanged(ListForm.DELTA, tuple(self._told.entries.values())))
        driver.watchers.append(self._heard)
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _heard(self, event: Event) -> None:
        self._solitary.keeper.heard(time.monotonic(), event)

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        now = time.monotonic()
        probes, changed = self._solitary.tick(now)
        for machine in probes:
            self._driver.site.probe(
                machine,
                lambda outcome, report, machine=machine: self._driver.post(
                    ProbeAnswered(machine, outcome, 0, report)
                ),
            )
        for one in self._solitary.changes:
            self._log(f"zones: {one['place']} is {one['phase']}, step {one.get('step', 0)}: {one['why']}")
        self._solitary.changes.clear()
        if changed:
            self._narrow(now)

    def _narrow(self, now: float) -> None:
        """The module hears of machines that count for less here, and of those that count again."""
        keeper = self._solitary.keeper
        machines = self._told.news(self._told.entries, lambda machine: keeper.state(now, machine.id))
        if machines:
            # Not through `post`, which would have us hear it as our own list's word.
            self._driver.post_unwatched(MachinesChanged(ListForm.DELTA, machines))

    # ---- what the core asks ----------------------------------------------------------------------------

    def away_us(self, task: Task) -> int | None:
        away = self._solitary.keeper.away(
            time.monotonic(), task.class_index, task.key, task.tenant, task.cores
        )
        if away is None:
            return None
        most = self._settings.max_retry_after_us if self._settings.retry_after else 0
        return min(int(1e6 * away.wait_s), most)

    def stops(self, class_index: int, machine: int, attempt: int = -1) -> str:
        return self._solitary.keeper.stops(time.monotonic(), machine, attempt)

    def close(self) -> None:
        self._timer.cancel()
