"""Samples of the leader's view while any place is not in service, for operators' charts. Pure."""

from __future__ import annotations

from typing import Any

from weldhatch.zones.start_quota import QuotaLedger
from weldhatch.zones.state import Phase, ZoneStates
from weldhatch.zones.witnesses import Witnesses

MAX_SAMPLES = 2_000
SAMPLE_INTERVAL_S = 0.5


class Timeline:
    """Samples with the keys that `weldhatch zones status --json` prints."""

    def __init__(self, now: float, witnesses: Witnesses, ledger: QuotaLedger) -> None:
        """Start at the beginning of a leader's term; sample times are seconds since `now`."""
        self.samples: list[dict[str, Any]] = []
        self._began = now
        self._last = float("-inf")
        self._witnesses = witnesses
        self._ledger = ledger

    def add_sample(self, now: float, zones: ZoneStates) -> None:
        """Add a sample every `SAMPLE_INTERVAL_S` while any place is not in service."""
        all_serving = all(state.phase is Phase.SERVING for state in zones.entries.values())
        if now - self._last < SAMPLE_INTERVAL_S or all_serving:
            return
        self._last = now
        fresh = [received.report for received in self._witnesses.fresh_reports(now)]
        starts: dict[str, list[int]] = {}
        for report in fresh:
            for place, counts in report.starts.items():
                sums = starts.setdefault(place, [0, 0, 0])
                starts[place] = [total + count for total, count in zip(sums, counts, strict=True)]
        self.samples.append(
            {
                "s": round(now - self._began, 2),
                "phases": {name: [state.phase.value, state.step] for name, state in zones.entries.items()},
                "starts": starts,
                "shares": {name: quotas["shares"] for name, quotas in self._ledger.status(now).items()},
                "refused": sum(report.rejected for report in fresh),
            }
        )
        del self.samples[:-MAX_SAMPLES]
