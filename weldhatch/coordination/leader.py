"""The leading voter's part in rules and leases, put together. Pure."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.coordination.activation import Activation
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.lease_grants import LeaseGrants
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.scheduling.types import Settings


class Leader:
    """What one leader remembers. Made anew at each election."""

    def __init__(
        self, timing: LeaseTiming, elected_at: float, parse_settings: Callable[[JsonObject], Settings]
    ) -> None:
        """Know of no grant. `read`: a version's settings, ConfigError (a ValueError) for none."""
        self.timing = timing
        self.grants = LeaseGrants(timing, elected_at)
        self.activation = Activation(timing, self.grants, parse_settings)
