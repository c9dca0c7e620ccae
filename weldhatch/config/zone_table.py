"""The table `zones` of a pull queue's file: how a fleet leaves zones that fail, and returns to them."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from weldhatch.config.errors import ConfigError
from weldhatch.config.reading import Tree, check_keys, duration_s, value_of, whole_number

if TYPE_CHECKING:
    from weldhatch.zones.failover_rules import FailoverTiming

QUORUM_LEAST = 2
QUORUM_MOST = 1000
DURATION_LEAST_S = 0.05


@dataclass(slots=True, frozen=True)
class ZonesConfig:
    """Failover of zones: together with the others of the cluster, or standalone."""

    times: FailoverTiming
    standalone: bool  # `zones.alone`: this dispatcher shares nothing with others


def zones_config(tree: Tree) -> ZonesConfig | None:
    """Read the table; None without it, or where it is not enabled.

    Raises:
        ConfigError: a key is unknown or can't be used, or the table `agreement` is missing.
    """
    table: Tree = value_of(tree, "zones", dict, {})
    if not table:
        return None
    from weldhatch.zones.failover_rules import FailoverTiming  # only where it is used: `run` needs none of it

    durations = {name: default for name, default in asdict(FailoverTiming()).items() if name != "quorum"}
    check_keys("zones", table, (*durations, "enabled", "alone", "quorum"))
    for key in ("enabled", "alone"):
        if not isinstance(table.get(key, False), bool):
            raise ConfigError(f"zones.{key} has the unusable value {table[key]!r}: true or false")
    quorum = whole_number(
        "zones.quorum",
        table.get("quorum", QUORUM_LEAST),
        QUORUM_LEAST,
        QUORUM_MOST,
        "a whole number from 2 on: one dispatcher alone never moves a zone",
    )
    values = {
        key: duration_s(f"zones.{key}", table.get(key, default), DURATION_LEAST_S)
        for key, default in durations.items()
    }
    standalone = table.get("alone", False)
    if not table.get("enabled", True):
        return None
    if not standalone and not tree.get("agreement"):
        raise ConfigError("zones needs the table agreement (or zones.alone = true): a fleet leaves together")
    return ZonesConfig(FailoverTiming(**values, quorum=1 if standalone else quorum), standalone)
