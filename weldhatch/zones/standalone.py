"""One dispatcher that shares nothing: the phases of a fleet, by its own reports alone. Pure.

What the fleet agrees on elsewhere, each concludes for itself here; of what a machine just back bears, each
takes its part of all that there are said to be.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_leader import FailoverLeader
from weldhatch.zones.failover_member import FailoverMember
from weldhatch.zones.failover_rules import FailoverTiming
from weldhatch.zones.state import ZoneChange, ZoneStates

QUOTA_SPAN_S = 0.5
LOOK_EVERY_S = 0.2
LEADER_NAME = "alone"
MEMBER_NAME = "me"


class StandaloneFailover:
    """A member and a leader in one. Call `tick`; ask `member` what may start."""

    def __init__(self, settings: Settings, timing: FailoverTiming, random: Random, now: float) -> None:
        """Begin at `now` with all places serving."""
        self._settings = settings
        self.member = FailoverMember(settings, 0.0, random, str, fences=False)
        self.zones = ZoneStates()
        self.changes: list[ZoneChange] = []  # for the log, until they are taken from here
        window_s = settings.fall_us / 1e6
        self._leader = FailoverLeader(
            now, LEADER_NAME, replace(timing, quorum=1), window_s, QUOTA_SPAN_S, 0.0
        )
        self._last_look = float("-inf")
        self._silence_changed = False  # zones have gone silent, or answer again, since the last look

    def tick(self, now: float) -> tuple[list[int], bool]:
        """Return machines to send a health check to, and whether what machines count for may have changed."""
        silent_before = self.member.silent_zones
        checks = self.member.tick(now)
        self._silence_changed |= silent_before != self.member.silent_zones
        if now - self._last_look < LOOK_EVERY_S:
            return checks, False
        self._last_look = now
        changed = self._decide(now)
        changed |= self._silence_changed
        self._silence_changed = False
        changed |= self._take_quotas(now)
        return checks, changed or bool(self.zones.entries)

    def _decide(self, now: float) -> bool:
        """Make the changes that are due; True where there was any."""
        self._leader.receive_report(now, MEMBER_NAME, MEMBER_NAME, self.member.report(now))
        before = self.zones.number
        for change in self._leader.due_changes(now, self.zones, self._settings, lambda index: True):
            result = self.zones.apply(self.zones.number + 1, change.to_tree(), self._settings.zones)
            if "ok" in result:
                self.changes.append(change)
        if self.zones.number == before:
            return False
        self.member.apply_agreed_state(now, self.zones)
        return True

    def _take_quotas(self, now: float) -> bool:
        """Take our part of all quotas; True where any is new."""
        holders = max(1, self._settings.group_size)
        position = self._settings.me % holders
        taken = False
        for quota in self._leader.quotas_for(now, MEMBER_NAME, self.zones, self._settings):
            own_part = replace(quota, position=position, holders=holders)
            taken |= self.member.receive_quotas([own_part], now)
        return taken
