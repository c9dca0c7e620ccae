"""Parameters of a node that are fixed at its start."""

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
    """Parameters of one process of a group.

    `parse_settings` returns a version's settings with this dispatcher's local keys; it raises ConfigError (a
    ValueError) for invalid settings. `unsupported_reason` returns the key and the reason if this dispatcher
    can't act on such settings, or ''. `first_settings`: proposed if the group has no version yet.
    `zone_times`: timing of zone failover, None if the group does not use it.
    """

    incarnation: Incarnation
    timing: LeaseTiming
    parse_settings: Callable[[JsonObject], Settings]
    unsupported_reason: Callable[[Settings], str]
    first_settings: JsonObject
    zone_times: FailoverTiming | None = None
