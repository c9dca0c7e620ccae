"""What a node of the group is given once, at its start."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_rules import FailoverTiming


@dataclass(slots=True, frozen=True)
class NodeSetup:
    """One process of a group.

    `read`: a version's settings with this dispatcher's own keys, ConfigError (a ValueError) for none.
    `fits`: '' where this dispatcher can act on such settings, or the key and the reason. `first_settings`:
    those that are proposed where a group has none yet. `zone_times`: where the group leaves zones that fail,
    how long it takes its time.
    """

    incarnation: Incarnation
    timing: LeaseTiming
    parse_settings: Callable[[JsonObject], Settings]
    unsupported_reason: Callable[[Settings], str]
    first_settings: JsonObject
    zone_times: FailoverTiming | None = None
