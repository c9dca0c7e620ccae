"""What one simulation run came to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from weldhatch.simulation.faults import Fault


@dataclass(slots=True)
class Result:
    """Hold the outcome of one run.

    `broken`: invariants that did not hold, one text each; `digest`: of all that was sent and logged.
    """

    seed: int
    scenario: str
    plan: list[Fault]
    broken: list[str]
    digest: str
    invariants_checked: int = 0
    starts: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    disk_works: int = 0
    deliveries: int = 0
    kill_at: tuple[str, int] | None = None
    points: dict[str, int] = field(default_factory=dict)  # by process: writes to its disk and the wire
    lines: list[tuple[float, str, str]] = field(default_factory=list)

    def to_tree(self) -> dict[str, Any]:
        """Return what `weldhatch sim replay --json` prints."""
        return {
            "seed": self.seed,
            "scenario": self.scenario,
            "broken": self.broken,
            "digest": self.digest,
            "plan": [fault.to_tree() for fault in self.plan],
            "starts": self.starts,
            "answers": self.answers,
            "deliveries": self.deliveries,
            "disk_works": self.disk_works,
        }
