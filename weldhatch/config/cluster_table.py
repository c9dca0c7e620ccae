"""The table `agreement` of a pull queue's file: the group of dispatchers that agree on settings."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from weldhatch.config.errors import ConfigError
from weldhatch.config.reading import (
    Endpoint,
    Tree,
    check_keys,
    check_texts,
    duration_s,
    parse_endpoint,
    parse_endpoints,
    parse_loopback_endpoint,
    value_of,
    whole_number,
)

DEFAULTS: dict[str, Any] = {
    "listen": "",
    "control": "",
    "stated": 2.0,
    "drift": 0.02,
    "sockets": 256,
    "keys": "",
    "invited": [],
}
REQUIRED = ("name", "store", "voters")
MAX_CLOCK_DRIFT = 0.2
MIN_SOCKETS = 8
MAX_SOCKETS = 100_000
MIN_CONSISTENCY_BOUND_S = 0.5


@dataclass(slots=True, frozen=True)
class ClusterConfig:
    """One dispatcher's membership in its group."""

    name: str  # of this dispatcher, in the group
    listen: Endpoint | None  # address for the other dispatchers; None for a dispatcher that never votes
    control: Endpoint | None  # address for the commands `weldhatch rules` and `weldhatch peers`
    store: str  # folder of the log
    voters: Mapping[str, Endpoint]  # name and address of each initial voter
    invited: tuple[str, ...]  # dispatchers that may connect, besides voters; '*' for all
    # The consistency bound in seconds: the longest that two dispatchers may act on contradictory settings.
    stated: float
    drift: float  # greatest relative difference between the rates of two clocks
    sockets: int  # most connections at a time
    keys: str = ""  # folder made by `weldhatch keys`, for mutual TLS; '' for no TLS


def cluster_config(tree: Tree) -> ClusterConfig | None:
    """Read the table; return None if it is absent, for a dispatcher without a group.

    Raises:
        ConfigError: a key is unknown, missing or can't be used.
    """
    table: Tree = value_of(tree, "agreement", dict, {})
    if not table:
        return None
    check_keys("agreement", table, (*DEFAULTS, *REQUIRED))
    check_texts("agreement", table, ("name", "store"))
    values = {**DEFAULTS, **table}
    voters = _voters(table)
    if table["name"] in voters and not values["listen"]:
        raise ConfigError("agreement.listen is missing: a voter has to be reached")
    invited = _invited(values["invited"])
    control = parse_loopback_endpoint("agreement.control", value_of(values, "control", str))
    clock_drift = _drift(values["drift"])
    sockets = whole_number(
        "agreement.sockets", values["sockets"], MIN_SOCKETS, MAX_SOCKETS, "a whole number from 8 on"
    )
    return ClusterConfig(
        name=table["name"],
        listen=parse_endpoint("agreement.listen", values["listen"]) if values["listen"] else None,
        control=control,
        store=table["store"],
        voters=voters,
        invited=invited,
        stated=duration_s("agreement.stated", values["stated"], MIN_CONSISTENCY_BOUND_S),
        drift=clock_drift,
        sockets=sockets,
        keys=value_of(values, "keys", str),
    )


def _voters(table: Tree) -> dict[str, Endpoint]:
    addresses = table.get("voters")
    if not isinstance(addresses, dict) or not addresses:
        raise ConfigError("agreement.voters is missing: each voter with the address where it listens")
    return parse_endpoints("agreement.voters", addresses)


def _invited(value: object) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise ConfigError(f"agreement.invited has the unusable value {value!r}: a list of names")
    return tuple(value)


def _drift(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_CLOCK_DRIFT:
        raise ConfigError(
            f"agreement.drift has the unusable value {value!r}: a part from 0 to {MAX_CLOCK_DRIFT}"
        )
    return float(value)
