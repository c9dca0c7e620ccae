"""Zone failover of a dispatcher without a group: phases by its own reports alone. Pure.

Each dispatcher decides for itself. Of the starts that a returning machine accepts, it uses its fraction for
the number of dispatchers in the settings (`group_size`).
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
DECISION_INTERVAL_S = 0.2
LEADER_NAME = "alone"
MEMBER_NAME = "me"


class StandaloneFailover:
    """A member and a leader in one process. Call `tick` periodically; `member` admits starts and requests."""

    def __init__(self, settings: Settings, timing: FailoverTiming, random: Random, now: float) -> None:
        """Start at `now` with all places in service."""
        self._settings = settings
        self.member = FailoverMember(settings, 0.0, random, str, fences=False)
        self.zones = ZoneStates()
        self.changes: list[ZoneChange] = []  # for the log; the caller clears the list
        window_s = settings.fall_us / 1e6
        self._leader = FailoverLeader(
            now, LEADER_NAME, replace(timing, quorum=1), window_s, QUOTA_SPAN_S, 0.0
        )
        self._last_decision = float("-inf")
        self._silence_changed = False  # a zone has gone silent, or answers again, since the last decision

    def tick(self, now: float) -> tuple[list[int], bool]:
        """Return the machines to check, and whether the effective state of machines may have changed."""
        silent_before = self.member.silent_zones
        checks = self.member.tick(now)
        self._silence_changed |= silent_before != self.member.silent_zones
        if now - self._last_decision < DECISION_INTERVAL_S:
            return checks, False
        self._last_decision = now
        changed = self._decide(now)
        changed |= self._silence_changed
        self._silence_changed = False
        changed |= self._receive_quotas(now)
        return checks, changed or bool(self.zones.entries)

    def _decide(self, now: float) -> bool:
        """Apply the changes that are due; return True if there was any."""
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

    def _receive_quotas(self, now: float) -> bool:
        """Accept this dispatcher's part of all start quotas; return True if any is new."""
        holders = max(1, self._settings.group_size)
        position = self._settings.me % holders
        received = False
        for quota in self._leader.quotas_for(now, MEMBER_NAME, self.zones, self._settings):
            own_part = replace(quota, position=position, holders=holders)
            received |= self.member.receive_quotas([own_part], now)
        return received
