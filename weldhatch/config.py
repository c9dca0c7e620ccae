"""The one place where configuration is read, checked and given defaults. A fault names its key.

Three sources come here: the settings of a start message (text or nested JSON), the platform's file and
environment, and the files under `deploy/`. Nothing else in the program reads a file or the environment.
"""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from weldhatch import interface as i

if TYPE_CHECKING:
    from weldhatch.planning.engine import Patience
    from weldhatch.planning.fleet import Fleet

# ---- settings -------------------------------------------------------------------------------------------

_EFFECTS = {"read_like": i.Effect.SAFE, "idempotency_key": i.Effect.KEYED, "non_idempotent": i.Effect.UNSAFE}
_SCOPES = {"silent": i.Scope.NONE, "machine": i.Scope.MACHINE, "cell": i.Scope.CELL, "zone": i.Scope.ZONE,
           "all": i.Scope.ALL}
_BOOLS = {"true": True, "false": False, "1": True, "0": False}


class ConfigError(ValueError):
    """A configuration that can't be used; the text names the faulty key."""


class _Values:
    """The path=value pairs of a start message; a fault names its key."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def get(self, key: str, convert: Callable[[str], object], default: object = ...) -> object:
        if key not in self._pairs:
            if default is ...:
                raise ConfigError(f"settings: {key} is missing")
            return default
        return self._converted(key, self._pairs[key], convert)

    def list(self, key: str, convert: Callable[[str], object], default: object = ...) -> list:
        if key not in self._pairs and default is not ...:
            return default
        text = self.get(key, str)
        return [self._converted(key, part, convert) for part in text.split(",")] if text else []

    def item(self, key: str, index: int, convert: Callable[[str], object], default: object) -> object:
        """The value of one class in a list that has one for each; the last serves for the rest."""
        values = self.list(key, convert, [])
        return values[min(index, len(values) - 1)] if values else default

    def _converted(self, key: str, text: str, convert: Callable[[str], object]) -> object:
        try:
            return convert(text)
        except (ValueError, KeyError):
            raise ConfigError(f"settings: {key} has the unusable value {text!r}") from None


def _number(text: str) -> float:
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


def _count(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def _positive(text: str) -> float:
    value = _number(text)
    if value <= 0:
        raise ValueError(text)
    return value


def settings_of_text(data: bytes) -> i.Settings:
    """The settings of the simulator's start message: path=value lines."""
    try:
        text = data.decode()
    except UnicodeDecodeError:
        raise ConfigError("settings: the text is not UTF-8") from None
    pairs = {}
    for line in text.splitlines():
        if line:
            path, sign, value = line.partition("=")
            if not sign:
                raise ConfigError(f"settings: no '=' in {line!r}")
            pairs[path] = value
    return settings_of(pairs)


def settings_of_json(tree: object) -> i.Settings:
    """The same settings as nested JSON, as a real dispatcher gets them."""
    if not isinstance(tree, dict):
        raise ConfigError("settings: not an object")
    return settings_of(dict(_flat("", tree)))


def _flat(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Nested JSON as path=value pairs; a list of objects also has its length, under .count."""
    if isinstance(value, dict):
        for key, part in value.items():
            yield from _flat(f"{path}.{key}" if path else key, part)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        yield f"{path}.count", str(len(value))
        for n, part in enumerate(value):
            yield from _flat(f"{path}.{n}", part)
    elif isinstance(value, list):
        yield path, ",".join(map(_plain, value))
    elif value is not None:
        yield path, _plain(value)


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(",", "_")


def settings_of(pairs: Mapping[str, str]) -> i.Settings:
    """Settings by path. Unknown keys are ignored; a fault is a ConfigError naming the key."""
    values = _Values(pairs)
    get = values.get
    yes = _BOOLS.__getitem__
    kinds = values.list("kinds", str)
    cores = values.list("extra.sizeCores", _positive)
    memory = values.list("extra.memOfKind", _positive)
    for key, sizes in (("extra.sizeCores", cores), ("extra.memOfKind", memory)):
        if len(sizes) < len(kinds):
            raise ConfigError(f"settings: {key} has {len(sizes)} values for {len(kinds)} kinds")
    classes = tuple(_class(values, index) for index in range(get("classes.count", _count)))
    if not classes:
        raise ConfigError("settings: classes.count has the unusable value '0'")
    quota = values.list("extra.shareCores", _number, [])
    tenants = tuple(
        i.Tenant(get(f"tenants.{n}.name", str, ""), get(f"tenants.{n}.quotaPerS", _number, 0.0),
                 get(f"tenants.{n}.portion", _number, 0.0), quota[n] if n < len(quota) else 0.0)
        for n in range(get("tenants.count", _count, 0)))
    return i.Settings(
        classes=classes,
        kinds=tuple(map(i.MachineKind, kinds, cores, memory)),
        zone=get("locality", _count, 0),
        zones=tuple(values.list("zones", str, [""])),
        me=get("me", _count, 0),
        group_size=max(1, get("groupSize", _count, 1)),
        max_attempts=get("limits.mostTries", _count),
        may_probe=get("limits.probes", yes, False),
        may_cancel=get("limits.mayCancel", yes, False),
        second_copies=get("limits.secondCopies", yes, False),
        retry_after=get("limits.retryAfter", yes, False),
        max_retry_after_us=get("limits.maxRetryAfterUs", _count, 0),
        subscribe=get("registryMode", {"automatic": False, "subscribe": True}.__getitem__),
        tick_us=get("resolutionUs", _count, 1000),
        drain_grace_us=get("rules.drainGraceUs", _count, 0),
        answer_slack_us=get("rules.answerSlackUs", _count, 0),
        must_ask_us=get("rules.mustAskInUs", _count, 0),
        cold_us=get("rules.coldUs", _count, 0),
        cold_sends=get("extra.coldSends", _number, 1.0),
        start_capacity=get("rules.startCapacity", _number, 1.0),
        tip_multiple=get("rules.tipMultiple", _number, 1.0),
        fall_us=get("rules.fallUs", _count, 1_000_000),
        cores_booking=get("extra.cpuBooking", _positive, 1.0),
        memory_booking=get("extra.memBooking", _positive, 1.0),
        lists_free=get("extra.listsFree", yes, False),
        reports_asked=get("extra.measuredBy", {"asked": True, "used": False}.__getitem__, True),
        report_fields=() if get("stats.how", str, "silent") == "silent" else
        tuple(values.list("stats.fields", str, [])),
        by_service=get("extra.byService", yes, False),
        confirms_running=get("extra.confirms", {"running": True, "accepted": False}.__getitem__, True),
        makes_room=get("extra.makesRoom", yes, False),
        tells_use=get("extra.tellsUse", yes, False),
        pressure_notes=get("extra.pressureNotes", yes, False),
        owner_wait_us=get("extra.ownerWaitUs", _count, 0),
        usual_cores=get("extra.usualCores", _positive, 1.0),
        usual_memory=get("extra.usualMemory", _positive, 1.0),
        over_share_worth=get("overShareWorth", _number, 1.0),
        tenants=tenants,
        prices=i.Prices(
            cross_zone=get("prices.crossZone", _number, 0.0),
            fleet=get("prices.fleet", _number, 0.0),
            moves=get("prices.moves", _number, 0.0),
            probe=get("prices.probe", _number, 0.0),
            discovery=get("prices.registryMode", _number, 0.0),
            waste=get("prices.waste", _number, 0.0),
            refusal=get("extra.refusalFee", _number, 0.0),
        ),
    )


def _class(values: _Values, index: int) -> i.RequestClass:
    at = f"classes.{index}."
    get, item = values.get, values.item
    return i.RequestClass(
        name=get(at + "name", str, ""),
        aim_us=get(at + "aimUs", _count),
        deadline_us=get(at + "hardLimitUs", _count),
        effect=get(at + "effect", _EFFECTS.__getitem__),
        group=get(at + "group", _SCOPES.__getitem__, i.Scope.ALL),
        window_us=get(at + "dedupWindowUs", _count, 0),
        worth=get(at + "worth", _number, 1.0),
        late_worth=get(at + "lateWorth", _number, 0.0),
        start_worth_s=item("extra.promptStartS", index, _number, 0.0),
        calm=item("extra.calmLevel", index, _number, 1.0),
        fade=item("extra.fadeSpan", index, _number, 1.0),
        kind=item("extra.kindByClass", index, int, -1),
        priority=item("extra.priorityByClass", index, int, 0),
        spread_over=item("extra.spreadOver", index, _SCOPES.__getitem__, i.Scope.NONE),
        spread_most=item("extra.spreadMost", index, _count, 0),
    )


# ---- what the platform tells a dispatcher -----------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Platform:
    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    bus: tuple[str, int]
    known: tuple[dict, ...]
    settings: i.Settings
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
        listen=endpoint("PROXY_LISTEN", environment["PROXY_LISTEN"]) if environment.get("PROXY_LISTEN")
        else endpoint("listen", _key(tree, "listen", str)),
        seed=number, sockets=sockets, bus=endpoint("bus", _key(tree, "bus", str)),
        known=tuple(batch), settings=settings, dial_s=dial_s, probe_s=dial_s)


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
    settings: i.Settings
    security: SecurityFile
    sites: SitesFile | None = None


PULL_DEFAULTS = {"enabled": False, "listen": "127.0.0.1:5090", "control": "", "ledger": "",
                 "states": "", "store": "", "queue": 5000, "idle": 60.0, "connections": 256,
                 "sockets": 1024, "remember": 100_000}
SECURITY_DEFAULTS = {"keys": "", "tls": "off", "tokens": False, "calls": 1000}
TIMING_DEFAULTS = {"lease": 3.0, "grace": 0.5, "session": 15.0, "pickup": 1.0, "poll": 1.0, "settle": 3.5}


def pull_leaves(tree: Mapping) -> dict[str, str]:
    """A pull queue's file as its keys and values, defaults filled in: what two files can be compared by."""
    whole = {**PULL_DEFAULTS, **tree, "timing": {**TIMING_DEFAULTS, **tree.get("timing", {})}}
    return dict(_flat("", whole))


def pull_queue(tree: Mapping) -> PullQueueFile:
    """The pull queue's configuration from the tree of its file. A key that is not known is a fault too."""
    for key in tree:
        if key not in PULL_DEFAULTS and key not in ("timing", "settings", "security", "sites"):
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
        security=_security(tree), sites=_sites(tree),
        **counts, timing=Timing(**spans), settings=settings_of_json(_key(tree, "settings", dict)))


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
        journal=os.path.join(os.path.dirname(path), journal), gateways=gateways, control=control,
        fleet=Fleet(nodes, classes, part(tree.get("pace", {}), Pace, "pace")),
        patience=part(tree.get("patience", {}), Patience, "patience"))
