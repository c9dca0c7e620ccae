"""The one place where configuration is read, checked and given defaults. A fault names its key.

Three sources come here: the settings of a start message (text or nested JSON), the platform's file and
environment, and the files under `deploy/`. Nothing else in the program reads a file or the environment.
"""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from weldhatch.scheduling.types import Settings
from weldhatch.settings import ConfigError, flat, settings_of_json, settings_of_text

__all__ = ["ConfigError", "settings_of_json", "settings_of_text"]  # of `weldhatch.settings`, for all others

if TYPE_CHECKING:
    from weldhatch.planning.engine import Patience
    from weldhatch.planning.fleet import Fleet
    from weldhatch.zones.failover_rules import FailoverTiming

# ---- what the platform tells a dispatcher -----------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Platform:
    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    bus: tuple[str, int]
    known: tuple[dict, ...]
    settings: Settings
    dial_s: float
    probe_s: float


def platform(environment: Mapping[str, str]) -> Platform:
    """The platform's file, named by PROXY_CONFIG; PROXY_NAME and PROXY_LISTEN go before what it says."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is missing: it names the configuration file")
    tree = json_file(path)
    settings = settings_of_json(_key(tree, "settings", dict))
    limits = _key(tree["settings"], "limits", dict, {})
    try:
        dial_s = float(limits.get("dialTimeoutUs", 250_000)) / 1e6
    except (TypeError, ValueError):
        raise ConfigError("settings: limits.dialTimeoutUs is no number") from None
    known = _key(tree, "known", dict, {})
    batch = known.get("batch") or []
    if not isinstance(batch, list) or not all(isinstance(event, dict) for event in batch):
        raise ConfigError("known.batch is no list of events")
    seed = _key(tree, "seed", str, "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed has the unusable value {seed!r}") from None
    sockets = _key(tree, "limits", dict, {}).get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 32:
        raise ConfigError(f"limits.sockets has the unusable value {sockets!r}")
    return Platform(
        name=environment.get("PROXY_NAME") or _key(tree, "name", str, "weldhatch"),
        listen=endpoint("PROXY_LISTEN", environment["PROXY_LISTEN"])
        if environment.get("PROXY_LISTEN")
        else endpoint("listen", _key(tree, "listen", str)),
        seed=number,
        sockets=sockets,
        bus=endpoint("bus", _key(tree, "bus", str)),
        known=tuple(batch),
        settings=settings,
        dial_s=dial_s,
        probe_s=dial_s,
    )


def endpoint(key: str, text: str) -> tuple[str, int]:
    host, sign, port = text.rpartition(":")
    if not sign or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(f"{key} has the unusable value {text!r}: it should be host:port")
    return host, int(port)


def json_file(path: str) -> dict:
    try:
        with open(path, encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError, RecursionError) as fault:
        raise ConfigError(f"{path}: {fault}") from None
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: not an object")
    return tree


def _key(tree: Mapping, key: str, kind: type, default: object = ...) -> object:
    value = tree.get(key, default)
    if value is ...:
        raise ConfigError(f"{key} is missing")
    if not isinstance(value, kind):
        raise ConfigError(f"{key} has the unusable value {value!r}")
    return value


# ---- the pull queue's file --------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Timing:
    """The spans of the pull queue, in seconds."""

    lease: float  # a lease that is not renewed expires after this; its puller must have stopped by then
    grace: float  # and counts as stopped so much later
    session: float  # a session without an update is over after this
    pickup: float  # an offer that no poll picks up for so long is withdrawn
    poll: float  # an update is answered after this at the latest
    settle: float  # nothing goes out for so long after a start: leases of a former gateway may still run


@dataclass(slots=True, frozen=True)
class SecurityFile:
    keys: str  # the folder that `weldhatch keys` made
    tls: str  # '' for none, server, mutual
    tokens: bool
    calls: int  # under way at a time, of one caller


@dataclass(slots=True, frozen=True)
class SitesFile:
    """Other sites that a gateway hands work to, and takes it from."""

    name: str  # ours
    listen: tuple[str, int]
    store: str  # the folder of what was lent and taken
    peers: Mapping[str, tuple[str, int]]  # where each of the others listens
    keys: str = ""  # a folder of `weldhatch keys`, for mutual TLS on the links; '' for none


@dataclass(slots=True, frozen=True)
class AgreementFile:
    """The group of dispatchers that agree on their rules."""

    name: str  # ours, in the group
    listen: tuple[str, int] | None  # where others reach us; None: we never vote
    control: tuple[str, int] | None  # where `weldhatch rules` and `peers` reach us
    store: str
    voters: Mapping[str, tuple[str, int]]  # the first voters, and where we reach them
    invited: tuple[str, ...]  # dispatchers that may dial us, besides voters; '*' for all
    stated: float  # seconds for longer than which no two act on rules that contradict each other
    drift: float  # by what part two clocks may run apart
    sockets: int
    keys: str = ""  # a folder of `weldhatch keys`, for mutual TLS; '' for none


@dataclass(slots=True, frozen=True)
class ZonesFile:
    """Leaving zones that fail: with the others of the agreement, or `alone`."""

    times: FailoverTiming
    alone: bool


@dataclass(slots=True, frozen=True)
class PullQueueFile:
    enabled: bool
    listen: tuple[str, int]
    control: tuple[str, int] | None
    ledger: str
    states: str
    store: str
    queue: int
    idle: float
    connections: int
    sockets: int
    remember: int
    timing: Timing
    settings: Settings
    security: SecurityFile
    sites: SitesFile | None = None
    agreement: AgreementFile | None = None
    zones: ZonesFile | None = None


PULL_DEFAULTS = {
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
SECURITY_DEFAULTS = {"keys": "", "tls": "off", "tokens": False, "calls": 1000}
TIMING_DEFAULTS = {"lease": 3.0, "grace": 0.5, "session": 15.0, "pickup": 1.0, "poll": 1.0, "settle": 3.5}
TABLES = ("timing", "settings", "security", "sites", "agreement", "zones")


def pull_leaves(tree: Mapping) -> dict[str, str]:
    """A pull queue's file as its keys and values, defaults filled in: what two files can be compared by."""
    whole = {**PULL_DEFAULTS, **tree, "timing": {**TIMING_DEFAULTS, **tree.get("timing", {})}}
    return dict(flat("", whole))


def pull_queue(tree: Mapping) -> PullQueueFile:
    """The pull queue's configuration from the tree of its file. A key that is not known is a fault too."""
    for key in tree:
        if key not in PULL_DEFAULTS and key not in TABLES:
            raise ConfigError(f"{key} is no key of a pull queue's file")
    timing = _key(tree, "timing", dict, {})
    for key in timing:
        if key not in TIMING_DEFAULTS:
            raise ConfigError(f"timing.{key} is no key of a pull queue's file")
    spans = {}
    for key, default in TIMING_DEFAULTS.items():
        value = timing.get(key, default)
        spans[key] = _span(f"timing.{key}", value, 0 if key == "settle" else 0.001)
    if spans["poll"] > spans["lease"] / 2:
        raise ConfigError("timing.poll has an unusable value: at most half of timing.lease")
    counts = {}
    for key in ("connections", "sockets", "remember", "queue"):
        value = tree.get(key, PULL_DEFAULTS[key])
        if isinstance(value, bool) or not isinstance(value, int) or not 8 <= value <= 10_000_000:
            raise ConfigError(f"{key} has the unusable value {value!r}: a whole number of at least 8")
        counts[key] = value
    control = _key(tree, "control", str, PULL_DEFAULTS["control"])
    if control and not control.startswith("127."):
        raise ConfigError(f"control has the unusable value {control!r}: a loopback address is needed")
    return PullQueueFile(
        control=endpoint("control", control) if control else None,
        ledger=_key(tree, "ledger", str, PULL_DEFAULTS["ledger"]),
        states=_key(tree, "states", str, PULL_DEFAULTS["states"]),
        store=_key(tree, "store", str, PULL_DEFAULTS["store"]),
        idle=_span("idle", tree.get("idle", PULL_DEFAULTS["idle"]), 1.0),
        enabled=_key(tree, "enabled", bool, PULL_DEFAULTS["enabled"]),
        listen=endpoint("listen", _key(tree, "listen", str, PULL_DEFAULTS["listen"])),
        security=_security(tree),
        sites=_sites(tree),
        agreement=agreement(tree),
        zones=zones(tree),
        **counts,
        timing=Timing(**spans),
        settings=settings_of_json(_key(tree, "settings", dict)),
    )


def _security(tree: Mapping) -> SecurityFile:
    """Off unless asked for."""
    told = _key(tree, "security", dict, {})
    for key in told:
        if key not in SECURITY_DEFAULTS:
            raise ConfigError(f"security.{key} is no key of a pull queue's file")
    values = {**SECURITY_DEFAULTS, **told}
    for key, kind in (("keys", str), ("tls", str), ("tokens", bool)):
        if not isinstance(values[key], kind):
            raise ConfigError(f"security.{key} has the unusable value {values[key]!r}")
    if values["tls"] not in ("off", "server", "mutual"):
        raise ConfigError(f"security.tls has the unusable value {values['tls']!r}: off, server or mutual")
    if (values["tls"] != "off" or values["tokens"]) and not values["keys"]:
        raise ConfigError("security.keys is missing: the folder that `weldhatch keys init` made")
    calls = values["calls"]
    if isinstance(calls, bool) or not isinstance(calls, int) or not 1 <= calls <= 1_000_000:
        raise ConfigError(f"security.calls has the unusable value {calls!r}: a whole number of at least 1")
    tls = "" if values["tls"] == "off" else values["tls"]
    return SecurityFile(values["keys"], tls, values["tokens"], calls)


def _sites(tree: Mapping) -> SitesFile | None:
    """None without the table: a gateway of one site."""
    told = _key(tree, "sites", dict, {})
    if not told:
        return None
    for key in told:
        if key not in ("name", "listen", "store", "peers", "keys"):
            raise ConfigError(f"sites.{key} is no key of a pull queue's file")
    for key in ("name", "store"):
        if not isinstance(told.get(key), str) or not told[key]:
            raise ConfigError(f"sites.{key} is missing, or no text")
    peers, names = {}, told.get("peers")
    if not isinstance(names, dict) or not names:
        raise ConfigError("sites.peers is missing: the other sites, each with the address where it listens")
    for name, text in names.items():
        if not isinstance(text, str):
            raise ConfigError(f"sites.peers.{name} has the unusable value {text!r}: it should be host:port")
        peers[name] = endpoint(f"sites.peers.{name}", text)
    if told["name"] in peers:
        raise ConfigError(f"sites.peers.{told['name']}: this site itself is no other one")
    listen = endpoint("sites.listen", str(told.get("listen", "")))
    return SitesFile(told["name"], listen, told["store"], peers, _key(told, "keys", str, ""))


AGREEMENT_DEFAULTS = {
    "listen": "",
    "control": "",
    "stated": 2.0,
    "drift": 0.02,
    "sockets": 256,
    "keys": "",
    "invited": [],
}


def agreement(tree: Mapping) -> AgreementFile | None:
    """The table `agreement` of a pull queue's file; None without it: a dispatcher that agrees with nobody."""
    told = _key(tree, "agreement", dict, {})
    if not told:
        return None
    for key in told:
        if key not in AGREEMENT_DEFAULTS and key not in ("name", "store", "voters"):
            raise ConfigError(f"agreement.{key} is no key of a pull queue's file")
    for key in ("name", "store"):
        if not isinstance(told.get(key), str) or not told[key]:
            raise ConfigError(f"agreement.{key} is missing, or no text")
    values = {**AGREEMENT_DEFAULTS, **told}
    names, voters = told.get("voters"), {}
    if not isinstance(names, dict) or not names:
        raise ConfigError("agreement.voters is missing: each voter with the address where it listens")
    for name, text in names.items():
        if not isinstance(text, str):
            raise ConfigError(
                f"agreement.voters.{name} has the unusable value {text!r}: " "it should be host:port"
            )
        voters[name] = endpoint(f"agreement.voters.{name}", text)
    if told["name"] in voters and not values["listen"]:
        raise ConfigError("agreement.listen is missing: a voter has to be reached")
    invited = values["invited"]
    if not isinstance(invited, list) or not all(isinstance(name, str) for name in invited):
        raise ConfigError(f"agreement.invited has the unusable value {invited!r}: a list of names")
    control = _key(values, "control", str)
    if control and not control.startswith("127."):
        raise ConfigError(
            f"agreement.control has the unusable value {control!r}: a loopback address is " "needed"
        )
    drift, sockets = values["drift"], values["sockets"]
    if isinstance(drift, bool) or not isinstance(drift, int | float) or not 0 <= drift <= 0.2:
        raise ConfigError(f"agreement.drift has the unusable value {drift!r}: a part from 0 to 0.2")
    if isinstance(sockets, bool) or not isinstance(sockets, int) or not 8 <= sockets <= 100_000:
        raise ConfigError(f"agreement.sockets has the unusable value {sockets!r}: a whole number from 8 on")
    return AgreementFile(
        told["name"],
        endpoint("agreement.listen", values["listen"]) if values["listen"] else None,
        endpoint("agreement.control", control) if control else None,
        told["store"],
        voters,
        tuple(invited),
        _span("agreement.stated", values["stated"], 0.5),
        float(drift),
        sockets,
        _key(values, "keys", str),
    )


def zones(tree: Mapping) -> ZonesFile | None:
    """The table `zones` of a pull queue's file; None without it, or where it is not enabled."""
    told = _key(tree, "zones", dict, {})
    if not told:
        return None
    from weldhatch.zones.failover_leader import (
        FailoverTiming,  # only where it is used: `run` on the platform needs none of it
    )

    spans = {name: default for name, default in asdict(FailoverTiming()).items() if name != "quorum"}
    for key in told:
        if key not in spans and key not in ("enabled", "alone", "quorum"):
            raise ConfigError(f"zones.{key} is no key of a pull queue's file")
    for key in ("enabled", "alone"):
        if not isinstance(told.get(key, False), bool):
            raise ConfigError(f"zones.{key} has the unusable value {told[key]!r}: true or false")
    quorum = told.get("quorum", 2)
    if isinstance(quorum, bool) or not isinstance(quorum, int) or not 2 <= quorum <= 1000:
        raise ConfigError(
            f"zones.quorum has the unusable value {quorum!r}: a whole number from 2 on: one "
            "dispatcher alone never moves a zone"
        )
    values = {key: _span(f"zones.{key}", told.get(key, default), 0.05) for key, default in spans.items()}
    alone = told.get("alone", False)
    if not told.get("enabled", True):
        return None
    if not alone and not tree.get("agreement"):
        raise ConfigError("zones needs the table agreement (or zones.alone = true): a fleet leaves together")
    return ZonesFile(FailoverTiming(**values, quorum=1 if alone else quorum), alone)


def _span(key: str, value: object, least: float) -> float:
    """A span of seconds."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= 3600:
        raise ConfigError(f"{key} has the unusable value {value!r}: {least} to 3600 seconds")
    return float(value)


def pull_queue_tree(path: str) -> dict:
    """The file as a tree: TOML, or JSON where a restart left it so."""
    return json_file(path) if path.endswith(".json") else toml_file(path)


def toml_file(path: str) -> dict:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except (OSError, ValueError) as fault:
        raise ConfigError(f"{path}: {fault}") from None


# ---- the fleet's file, for the commands of `weldhatch fleet` ----------------------------------------------


@dataclass(slots=True, frozen=True)
class FleetFile:
    """A fleet as its file names it: the commands look at the nodes themselves for their states."""

    name: str
    journal: str  # the folder of the applies' journal
    gateways: tuple[str, ...]  # host:port of the control addresses that hear of drains
    control: dict[str, str]  # host:port of each node's control address, by its id
    fleet: Fleet
    patience: Patience


def fleet_file(path: str) -> FleetFile:
    """The fleet of a TOML file. A fault names the file and the key."""
    import msgspec  # only the commands read this file; `run` stays without it

    from weldhatch.planning.engine import Patience
    from weldhatch.planning.fleet import Fleet, Node, Pace, ServiceClass

    tree = toml_file(path)
    for key in tree:
        if key not in ("name", "journal", "gateways", "pace", "patience", "classes", "nodes"):
            raise ConfigError(f"{path}: {key} is no key of a fleet's file")

    def part(value: object, kind: type, key: str) -> object:
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as fault:
            text, _, at = str(fault).partition(" - at `$")
            raise ConfigError(f"{path}: {key}{at.rstrip('`')}: {text}") from None

    entries = tree.get("nodes", [])
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries) or not entries:
        raise ConfigError(f"{path}: nodes: a table [[nodes]] for each node is needed")
    nodes, control = [], {}
    for n, entry in enumerate(entries):
        key = f"nodes[{n}]"
        address = part(entry.get("control"), str, f"{key}.control")
        node = part({name: value for name, value in entry.items() if name != "control"}, Node, key)
        if node.id in control:
            raise ConfigError(f"{path}: {key}.id: {node.id} is named twice")
        if not node.cores > 0 or not node.memory > 0:
            raise ConfigError(f"{path}: {key}: cores and memory are more than 0")
        control[node.id] = ":".join(map(str, endpoint(f"{path}: {key}.control", address)))
        nodes.append(node)
    for rack in {node.rack for node in nodes}:
        if len({node.hall for node in nodes if node.rack == rack}) > 1:
            raise ConfigError(f"{path}: nodes: the rack {rack} stands in two halls")
    gateways = part(tree.get("gateways", []), tuple[str, ...], "gateways")
    for gateway in gateways:
        endpoint(f"{path}: gateways", gateway)
    classes = part(tree.get("classes", []), tuple[ServiceClass, ...], "classes")
    journal = part(tree.get("journal", "fleet-journal"), str, "journal")
    return FleetFile(
        name=part(tree.get("name", "fleet"), str, "name"),
        journal=os.path.join(os.path.dirname(path), journal),
        gateways=gateways,
        control=control,
        fleet=Fleet(nodes, classes, part(tree.get("pace", {}), Pace, "pace")),
        patience=part(tree.get("patience", {}), Patience, "patience"),
    )
