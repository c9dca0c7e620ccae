"""The pull queue's file: TOML, or the JSON file with which the process restarts after a plan is applied."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from weldhatch.config.cluster_table import ClusterConfig, cluster_config
from weldhatch.config.errors import ConfigError
from weldhatch.config.reading import (
    Endpoint,
    Tree,
    check_keys,
    duration_s,
    parse_endpoint,
    parse_loopback_endpoint,
    read_json_file,
    read_toml_file,
    value_of,
    whole_number,
)
from weldhatch.config.settings import flatten, settings_from_json
from weldhatch.config.site_table import SitesConfig, sites_config
from weldhatch.config.zone_table import ZonesConfig, zones_config
from weldhatch.scheduling.types import Settings

PULL_QUEUE_DEFAULTS: dict[str, Any] = {
    "enabled": False,
    "listen": "127.0.0.1:5090",
    "control": "",
    "ledger": "",
    "states": "",
    "store": "",
    "queue": 5000,
    "idle": 60.0,
    "connections": 256,
    "sockets": 1024,
    "remember": 100_000,
}
SECURITY_DEFAULTS: dict[str, Any] = {"keys": "", "tls": "off", "tokens": False, "calls": 1000}
TIMING_DEFAULTS = {"lease": 3.0, "grace": 0.5, "session": 15.0, "pickup": 1.0, "poll": 1.0, "settle": 3.5}
TABLES = ("timing", "settings", "security", "sites", "agreement", "zones")
COUNTS = ("connections", "sockets", "remember", "queue")
MIN_COUNT = 8
MAX_COUNT = 10_000_000
MAX_CALLS = 1_000_000
MIN_DURATION_S = 0.001
MIN_IDLE_S = 1.0


@dataclass(slots=True, frozen=True)
class PullQueueTiming:
    """The durations of the pull queue, in seconds. They have the names of their keys."""

    lease: float  # a lease expires if it is not renewed for this long; its machine must stop the task by then
    grace: float  # added after the expiry of a lease, before its task counts as stopped
    session: float  # a session without an update ends after this
    pickup: float  # an offer that no poll has fetched after this is withdrawn
    poll: float  # longest time until an update is answered
    settle: float  # no offers for this long after a start, as leases of an earlier gateway may still run


@dataclass(slots=True, frozen=True)
class SecurityConfig:
    """Authentication of the pull queue's callers, and the limit of their calls."""

    keys: str  # folder made by `weldhatch keys`
    tls: str  # '' for no TLS, 'server' or 'mutual'
    tokens: bool  # whether callers must present a token
    calls: int  # most calls in flight of one caller


@dataclass(slots=True, frozen=True)
class PullQueueConfig:
    """The validated contents of a pull queue's file, with defaults for missing keys."""

    enabled: bool
    listen: Endpoint
    control: Endpoint | None
    ledger: str
    states: str
    store: str
    queue: int
    idle: float  # seconds after which an idle connection is closed
    connections: int
    sockets: int
    remember: int
    timing: PullQueueTiming
    settings: Settings
    security: SecurityConfig
    sites: SitesConfig | None = None
    agreement: ClusterConfig | None = None
    zones: ZonesConfig | None = None


def read_pull_queue_file(path: str) -> dict[str, Any]:
    """Read the file as a tree: JSON if its name ends with `.json`, else TOML.

    Raises:
        ConfigError: the file can't be read or parsed.
    """
    return read_json_file(path) if path.endswith(".json") else read_toml_file(path)


def pull_queue_leaves(tree: Tree) -> dict[str, str]:
    """Flatten the tree of a file into keys and values, with defaults, so that two files can be compared."""
    complete = {**PULL_QUEUE_DEFAULTS, **tree, "timing": {**TIMING_DEFAULTS, **tree.get("timing", {})}}
    return dict(flatten("", complete))


def pull_queue_config(tree: Tree) -> PullQueueConfig:
    """Validate the tree of a file.

    Raises:
        ConfigError: a key is unknown, missing or can't be used.
    """
    for key in tree:
        if key not in PULL_QUEUE_DEFAULTS and key not in TABLES:
            raise ConfigError(f"{key} is no key of a pull queue's file")
    timing = _timing(tree)
    counts = {key: _count(tree, key) for key in COUNTS}
    control = parse_loopback_endpoint("control", _text(tree, "control"))
    return PullQueueConfig(
        control=control,
        ledger=_text(tree, "ledger"),
        states=_text(tree, "states"),
        store=_text(tree, "store"),
        idle=duration_s("idle", tree.get("idle", PULL_QUEUE_DEFAULTS["idle"]), MIN_IDLE_S),
        enabled=value_of(tree, "enabled", bool, PULL_QUEUE_DEFAULTS["enabled"]),
        listen=parse_endpoint("listen", _text(tree, "listen")),
        security=_security(tree),
        sites=sites_config(tree),
        agreement=cluster_config(tree),
        zones=zones_config(tree),
        **counts,
        timing=timing,
        settings=settings_from_json(value_of(tree, "settings", dict)),
    )


def _text(tree: Tree, key: str) -> str:
    default: str = PULL_QUEUE_DEFAULTS[key]
    return value_of(tree, key, str, default)


def _count(tree: Tree, key: str) -> int:
    value = tree.get(key, PULL_QUEUE_DEFAULTS[key])
    return whole_number(key, value, MIN_COUNT, MAX_COUNT, "a whole number of at least 8")


def _timing(tree: Tree) -> PullQueueTiming:
    table: Tree = value_of(tree, "timing", dict, {})
    check_keys("timing", table, TIMING_DEFAULTS)
    durations = {}
    for key, default in TIMING_DEFAULTS.items():
        minimum_s = 0 if key == "settle" else MIN_DURATION_S
        durations[key] = duration_s(f"timing.{key}", table.get(key, default), minimum_s)
    if durations["poll"] > durations["lease"] / 2:
        raise ConfigError("timing.poll has an unusable value: at most half of timing.lease")
    return PullQueueTiming(**durations)


def _security(tree: Tree) -> SecurityConfig:
    """Read the table `security`; without it, neither TLS nor tokens are used."""
    table: Tree = value_of(tree, "security", dict, {})
    check_keys("security", table, SECURITY_DEFAULTS)
    values = {**SECURITY_DEFAULTS, **table}
    for key, kind in (("keys", str), ("tls", str), ("tokens", bool)):
        if not isinstance(values[key], kind):
            raise ConfigError(f"security.{key} has the unusable value {values[key]!r}")
    if values["tls"] not in ("off", "server", "mutual"):
        raise ConfigError(f"security.tls has the unusable value {values['tls']!r}: off, server or mutual")
    if (values["tls"] != "off" or values["tokens"]) and not values["keys"]:
        raise ConfigError("security.keys is missing: the folder that `weldhatch keys init` made")
    calls = whole_number("security.calls", values["calls"], 1, MAX_CALLS, "a whole number of at least 1")
    tls = "" if values["tls"] == "off" else values["tls"]
    return SecurityConfig(values["keys"], tls, values["tokens"], calls)
