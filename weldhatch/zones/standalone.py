"""One dispatcher that shares nothing: the same evidence and states as a fleet, by its own word alone. Pure.

What the fleet agrees on elsewhere, each concludes for itself here; of what a machine just back bears, each
takes its part of all that there are told to be.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

from weldhatch.scheduling import types as i
from weldhatch.zones.failover_leader import Marshal, Times
from weldhatch.zones.failover_member import Keeper
from weldhatch.zones.state import Zones

SPAN_S = 0.5
EVERY_S = 0.2


class Solitary:
    """`tick` it; ask its `keeper` what may start."""

    def __init__(self, settings: i.Settings, times: Times, random: Random, now: float) -> None:
        self._settings = settings
        self.keeper = Keeper(settings, 0.0, random, str, fences=False)
        self.zones = Zones()
        self.changes: list[dict] = []  # for the log, until they are taken from here
        self._marshal = Marshal(now, "alone", replace(times, quorum=1), settings.fall_us / 1e6, SPAN_S, 0.0)
        self._looked = float("-inf")
        self._hushed = False  # zones have gone silent, or speak again, since the last look

    def tick(self, now: float) -> tuple[list[int], bool]:
        """Machines to be probed, and whether what machines count for may have changed."""
        hushed = self.keeper.hushed
        probes = self.keeper.tick(now)
        self._hushed |= hushed != self.keeper.hushed
        if now - self._looked < EVERY_S:
            return probes, False
        self._looked = now
        self._marshal.hear(now, "me", "me", self.keeper.report(now))
        before = self.zones.number
        for command in self._marshal.todo(now, self.zones, self._settings, lambda index: True):
            if "ok" in self.zones.take(self.zones.number + 1, command, self._settings.zones):
                self.changes.append(command)
        if self.zones.number != before:
            self.keeper.agreed(now, self.zones)
        count = max(1, self._settings.group_size)
        new, self._hushed = self._hushed, False
        for share in self._marshal.shares(now, "me", self.zones, self._settings):
            new |= self.keeper.take([replace(share, mine=self._settings.me % count, count=count)], now)
        return probes, new or self.zones.number != before or bool(self.zones.entries)
