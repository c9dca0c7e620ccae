"""The leader's state for lease grants and version activation. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.coordination.activation import Activation
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.lease_grants import LeaseGrants
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.scheduling.types import Settings


class Leader:
    """Volatile state of one leadership. Created at each election."""

    def __init__(
        self, timing: LeaseTiming, elected_at: float, parse_settings: Callable[[JsonObject], Settings]
    ) -> None:
        """Create the state without grants. `parse_settings` raises ConfigError for invalid settings."""
        self.timing = timing
        self.grants = LeaseGrants(timing, elected_at)
        self.activation = Activation(timing, self.grants, parse_settings)
