"""Samples of what the leader sees while any place is not serving, for operators' charts. Pure."""

from __future__ import annotations

from typing import Any

from weldhatch.zones.start_quota import QuotaLedger
from weldhatch.zones.state import Phase, ZoneStates
from weldhatch.zones.witnesses import Witnesses

MAX_SAMPLES = 2_000
EVERY_S = 0.5


class Timeline:
    """Samples under the names that `weldhatch zones status --json` prints."""

    def __init__(self, now: float, witnesses: Witnesses, ledger: QuotaLedger) -> None:
        """Begin with a leader; samples count seconds from `now`."""
        self.samples: list[dict[str, Any]] = []
        self._began = now
        self._last = float("-inf")
        self._witnesses = witnesses
        self._ledger = ledger

    def add_sample(self, now: float, zones: ZoneStates) -> None:
        """Take a sample each half second while any place is not serving."""
        calm = all(one.phase is Phase.SERVING for one in zones.entries.values())
        if now - self._last < EVERY_S or calm:
            return
        self._last = now
        fresh = [one.report for one in self._witnesses.fresh(now)]
        starts: dict[str, list[int]] = {}
        for report in fresh:
            for place, counts in report.starts.items():
                sums = starts.setdefault(place, [0, 0, 0])
                starts[place] = [total + count for total, count in zip(sums, counts, strict=True)]
        self.samples.append(
            {
                "s": round(now - self._began, 2),
                "phases": {name: [one.phase.value, one.step] for name, one in zones.entries.items()},
                "starts": starts,
                "shares": {name: one["shares"] for name, one in self._ledger.status(now).items()},
                "refused": sum(report.rejected for report in fresh),
            }
        )
        del self.samples[:-MAX_SAMPLES]
