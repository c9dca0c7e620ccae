"""The table `zones` of a pull queue's file: failover of zones, that is their evacuation and restoration."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from weldhatch.config.errors import ConfigError
from weldhatch.config.reading import Tree, check_keys, duration_s, value_of, whole_number

if TYPE_CHECKING:
    from weldhatch.zones.failover_rules import FailoverTiming

MIN_QUORUM = 2
MAX_QUORUM = 1000
MIN_DURATION_S = 0.05


@dataclass(slots=True, frozen=True)
class ZonesConfig:
    """Zone failover: agreed within the group of dispatchers, or standalone."""

    times: FailoverTiming
    standalone: bool  # key `zones.alone`: this dispatcher decides without a group


def zones_config(tree: Tree) -> ZonesConfig | None:
    """Read the table; return None if it is absent or not enabled.

    Raises:
        ConfigError: a key is unknown or can't be used, or the table `agreement` is missing.
    """
    table: Tree = value_of(tree, "zones", dict, {})
    if not table:
        return None
    # Imported only if the table is present: a server without it starts faster.
    from weldhatch.zones.failover_rules import FailoverTiming

    durations = {name: default for name, default in asdict(FailoverTiming()).items() if name != "quorum"}
    check_keys("zones", table, (*durations, "enabled", "alone", "quorum"))
    for key in ("enabled", "alone"):
        if not isinstance(table.get(key, False), bool):
            raise ConfigError(f"zones.{key} has the unusable value {table[key]!r}: true or false")
    quorum = whole_number(
        "zones.quorum",
        table.get("quorum", MIN_QUORUM),
        MIN_QUORUM,
        MAX_QUORUM,
        "a whole number from 2 on: one dispatcher alone never moves a zone",
    )
    values = {
        key: duration_s(f"zones.{key}", table.get(key, default), MIN_DURATION_S)
        for key, default in durations.items()
    }
    standalone = table.get("alone", False)
    if not table.get("enabled", True):
        return None
    if not standalone and not tree.get("agreement"):
        raise ConfigError("zones needs the table agreement (or zones.alone = true): a fleet leaves together")
    return ZonesConfig(FailoverTiming(**values, quorum=1 if standalone else quorum), standalone)
