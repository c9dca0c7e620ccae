"""The configuration with which the platform starts a dispatcher: a JSON file and environment variables."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from weldhatch.config.errors import ConfigError
from weldhatch.config.reading import Endpoint, Tree, parse_endpoint, read_json_file, value_of
from weldhatch.config.settings import settings_from_json
from weldhatch.scheduling.types import Settings

MIN_SOCKETS = 32
DEFAULT_SOCKETS = 1024
DEFAULT_DIAL_TIMEOUT_US = 250_000


@dataclass(slots=True, frozen=True)
class PlatformConfig:
    """The configuration of one dispatcher of the platform."""

    name: str
    listen: Endpoint
    seed: int
    sockets: int  # most file descriptors that the process may hold
    bus: Endpoint  # of the event bus
    known: tuple[dict[str, Any], ...]  # events of the bus up to the start, under the key `known`
    settings: Settings
    dial_s: float  # time-out of a connection attempt to a server
    probe_s: float  # time-out of a probe


def platform_config(environment: Mapping[str, str]) -> PlatformConfig:
    """Read the file that PROXY_CONFIG names; PROXY_NAME and PROXY_LISTEN take precedence over its keys.

    Raises:
        ConfigError: a variable or key is missing or can't be used.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is missing: it names the configuration file")
    tree = read_json_file(path)
    settings = settings_from_json(value_of(tree, "settings", dict))
    dial_timeout_s = _dial_timeout_s(tree["settings"])
    known_events = _known_events(tree)
    seed = _seed(tree)
    sockets = _sockets(tree)
    return PlatformConfig(
        name=environment.get("PROXY_NAME") or value_of(tree, "name", str, "weldhatch"),
        listen=_listen(environment, tree),
        seed=seed,
        sockets=sockets,
        bus=parse_endpoint("bus", value_of(tree, "bus", str)),
        known=known_events,
        settings=settings,
        dial_s=dial_timeout_s,
        probe_s=dial_timeout_s,
    )


def _dial_timeout_s(settings: Tree) -> float:
    limits: Tree = value_of(settings, "limits", dict, {})
    try:
        return float(limits.get("dialTimeoutUs", DEFAULT_DIAL_TIMEOUT_US)) / 1e6
    except (TypeError, ValueError):
        raise ConfigError("settings: limits.dialTimeoutUs is no number") from None


def _known_events(tree: Tree) -> tuple[dict[str, Any], ...]:
    batch = value_of(tree, "known", dict, {}).get("batch") or []
    if not isinstance(batch, list) or not all(isinstance(event, dict) for event in batch):
        raise ConfigError("known.batch is no list of events")
    return tuple(batch)


def _seed(tree: Tree) -> int:
    text = value_of(tree, "seed", str, "0")
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed has the unusable value {text!r}") from None


def _sockets(tree: Tree) -> int:
    sockets = value_of(tree, "limits", dict, {}).get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets has the unusable value {sockets!r}")
    return sockets


def _listen(environment: Mapping[str, str], tree: Tree) -> Endpoint:
    if environment.get("PROXY_LISTEN"):
        return parse_endpoint("PROXY_LISTEN", environment["PROXY_LISTEN"])
    return parse_endpoint("listen", value_of(tree, "listen", str))
