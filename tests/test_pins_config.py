"""Configuration as recorded: what each example and deploy file is read as, and the text of every fault.

Faulty inputs are made from the files that the project ships: each key in turn is left out or given a value
that should not be there. The record holds the text of the fault, or a digest of what was read where the value
is taken; `-` stands for a key that is left out.
"""

from __future__ import annotations

import copy
import json
from dataclasses import replace
from pathlib import Path

import pins
import pytest

from weldhatch.config import (
    ConfigError,
    agreement,
    endpoint,
    fleet_file,
    json_file,
    platform,
    pull_leaves,
    pull_queue,
    pull_queue_tree,
    settings_of_json,
    settings_of_text,
    toml_file,
    zones,
)

RECORD = "pins_config.json"
ROOT = Path(__file__).parent.parent
LEFT_OUT = object()
ODD = (LEFT_OUT, None, "x", -1, 0.25, True, [], {}, ["a"], {"a": 1})
PULL_FILES = ("examples/pullqueue.toml", "deploy/pullqueue.toml")
FLEET_FILES = ("examples/fleet.toml", "deploy/fleet.toml")

# What no shipped file uses all of: classes of every effect and scope, tenants, prices, extras.
SETTINGS_TEXT = """classes.count=3
classes.0.name=first
classes.0.aimUs=600000
classes.0.hardLimitUs=8000000
classes.0.effect=read_like
classes.0.worth=2.5
classes.0.lateWorth=0.5
classes.1.aimUs=1
classes.1.hardLimitUs=2
classes.1.effect=idempotency_key
classes.1.group=cell
classes.1.dedupWindowUs=8000000
classes.2.aimUs=3
classes.2.hardLimitUs=4
classes.2.effect=non_idempotent
classes.2.group=machine
extra.sizeCores=39,61
extra.memOfKind=140.0,179.0
extra.coldSends=8
extra.cpuBooking=2
extra.memBooking=1.5
extra.listsFree=true
extra.measuredBy=used
extra.byService=1
extra.confirms=accepted
extra.makesRoom=true
extra.tellsUse=true
extra.pressureNotes=true
extra.ownerWaitUs=3000000
extra.usualCores=2
extra.usualMemory=3
extra.refusalFee=0.5
extra.shareCores=5,6
extra.promptStartS=1,2,3
extra.calmLevel=0.8
extra.fadeSpan=0.5,0.25
extra.kindByClass=-1,0,1
extra.priorityByClass=2,1
extra.spreadOver=cell,zone,silent
extra.spreadMost=3
kinds=node-std,node-big
zones=a,b
locality=1
me=4
groupSize=6
registryMode=subscribe
resolutionUs=2000
overShareWorth=0.75
limits.mostTries=3
limits.probes=true
limits.mayCancel=true
limits.secondCopies=true
limits.retryAfter=true
limits.maxRetryAfterUs=9
rules.drainGraceUs=1
rules.answerSlackUs=2
rules.mustAskInUs=3
rules.coldUs=4
rules.startCapacity=0.5
rules.tipMultiple=1.5
rules.fallUs=5
stats.how=pull
stats.fields=x0,x1,cpu
tenants.count=2
tenants.0.name=t0
tenants.0.quotaPerS=1.5
tenants.0.portion=0.25
tenants.1.name=t1
prices.crossZone=0.1
prices.fleet=0.2
prices.moves=0.3
prices.probe=0.4
prices.registryMode=0.5
prices.waste=0.6
unknown.key=ignored
"""

# A pull queue's file with every table in use.
ALL_TABLES = {
    "security": {"keys": "keys", "tls": "mutual", "tokens": True, "calls": 50},
    "sites": {
        "name": "here",
        "listen": "127.0.0.1:1",
        "store": "lent",
        "peers": {"there": "127.0.0.1:2", "beyond": "[::1]:3"},
        "keys": "keys",
    },
    "agreement": {
        "name": "g1",
        "listen": "127.0.0.1:4",
        "control": "127.0.0.1:5",
        "store": "agreed",
        "voters": {"g1": "127.0.0.1:4", "g2": "127.0.0.1:6"},
        "invited": ["g4"],
        "stated": 2.5,
        "drift": 0.01,
        "sockets": 64,
        "keys": "keys",
    },
    "zones": {"enabled": True, "alone": False, "quorum": 2},
}


def leaves(tree, path=()):
    """The paths of all keys of a tree, those of tables and of lists of tables too."""
    for key, value in tree.items() if isinstance(tree, dict) else enumerate(tree):
        yield (*path, key)
        if isinstance(value, dict) or (isinstance(value, list) and value and isinstance(value[0], dict)):
            yield from leaves(value, (*path, key))


def changed(tree, path, value):
    """A copy of the tree with another value at the path, or none."""
    copied = copy.deepcopy(tree)
    at = copied
    for key in path[:-1]:
        at = at[key]
    if value is LEFT_OUT:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return copied


def outcome(read, *arguments):
    """The text of the fault, or a digest of what was read."""
    try:
        return "read as " + pins.digest(pins.lines(read(*arguments)))
    except Exception as fault:  # also what should have been a ConfigError: the record tells
        return f"{type(fault).__name__}: {fault}"


def faults(tree, read):
    """The outcomes of all changes of a tree, by path: one for each odd value."""
    found = {}
    for path in leaves(tree):
        name = ".".join(map(str, path))
        found[name] = {
            "-" if value is LEFT_OUT else json.dumps(value): outcome(read, changed(tree, path, value))
            for value in ODD
        }
    for value in ("surplus", 7):
        found[f"a key that is not known, {value!r}"] = outcome(read, {**tree, "surplus": value})
    return found


def small(tree):
    """The tree without what `settings` holds: for changes beside them."""
    return {key: value for key, value in tree.items() if key != "settings"}


class Reader:
    """Reads trees as files of a folder; texts name the folder as `<folder>`."""

    def __init__(self, folder):
        self.folder = folder
        self.path = folder / "file"

    def platform(self, tree):
        self.path.write_text(json.dumps(tree))
        return platform({"PROXY_CONFIG": str(self.path)})

    def fleet(self, tree):
        path = self.folder / "fleet.toml"
        path.write_text(toml(tree))
        read = fleet_file(str(path))
        return replace(read, journal=read.journal.replace(str(self.folder), "<folder>"))

    def neutral(self, value):
        """Recorded outcomes without the names of folders."""
        text = json.dumps(value).replace(str(self.folder), "<folder>").replace(str(ROOT), "<root>")
        return json.loads(text)


def toml(tree):
    """A tree as TOML; no key is written for what TOML can't say."""

    def value_of(value):
        if isinstance(value, dict):
            return "{" + ", ".join(f"{json.dumps(k)} = {value_of(v)}" for k, v in value.items()) + "}"
        if isinstance(value, list):
            return "[" + ", ".join(map(value_of, value)) + "]"
        return '"null"' if value is None else json.dumps(value)

    return "\n".join(f"{json.dumps(key)} = {value_of(value)}" for key, value in tree.items()) + "\n"


def read_files(reader):
    """What each shipped file is read as, in pairs of path and value."""
    found = {}
    for name in PULL_FILES:
        tree = pull_queue_tree(str(ROOT / name))
        found[name] = pins.lines(pull_queue(tree))
        found[f"{name} as leaves"] = pins.lines(pull_leaves(tree))
    for name in FLEET_FILES:
        found[name] = pins.lines(fleet_file(str(ROOT / name)))
    found["examples/config.json"] = pins.lines(platform({"PROXY_CONFIG": str(ROOT / "examples/config.json")}))
    found["config.json of the environment"] = pins.lines(
        platform(
            {
                "PROXY_CONFIG": str(ROOT / "examples/config.json"),
                "PROXY_NAME": "other",
                "PROXY_LISTEN": "127.0.0.1:9",
            }
        )
    )
    found["settings as text"] = pins.lines(settings_of_text(SETTINGS_TEXT.encode()))
    found["all tables"] = pins.lines(pull_queue({**example("pullqueue"), **ALL_TABLES}))
    return reader.neutral(found)


def example(name):
    """The tree of an example file."""
    if name == "config":
        return json_file(str(ROOT / "examples/config.json"))
    return toml_file(str(ROOT / f"examples/{name}.toml"))


def faults_of_platform(reader):
    tree = example("config")
    settings = tree["settings"]

    def read(changed_tree):
        return reader.platform({"settings": settings, **changed_tree})

    found = faults(small(tree), read)
    for value in ODD[1:]:
        found[f"settings {json.dumps(value)}"] = outcome(reader.platform, {**tree, "settings": value})
        limits = {**settings, "limits": {**settings["limits"], "dialTimeoutUs": value}}
        found[f"dialTimeoutUs {json.dumps(value)}"] = outcome(reader.platform, {**tree, "settings": limits})
    found["no settings"] = outcome(reader.platform, small(tree))
    found["no environment"] = outcome(platform, {})
    found["no such file"] = outcome(platform, {"PROXY_CONFIG": str(reader.folder / "none")})
    found["odd listen"] = outcome(
        platform, {"PROXY_CONFIG": str(ROOT / "examples/config.json"), "PROXY_LISTEN": "9"}
    )
    for text in ("", "{", "[]", "7"):
        reader.path.write_text(text)
        found[f"file of {text!r}"] = outcome(platform, {"PROXY_CONFIG": str(reader.path)})
    return reader.neutral(found)


def faults_of_pull_queue(reader):
    tree = {**example("pullqueue"), **ALL_TABLES}
    settings = tree["settings"]
    found = faults(small(tree), lambda changed_tree: pull_queue({"settings": settings, **changed_tree}))
    for value in ODD[1:]:
        found[f"settings {json.dumps(value)}"] = outcome(pull_queue, {**tree, "settings": value})
    for table in ALL_TABLES:
        for key, value in (("surplus", 1), *(extra for extra in ODD_OF_TABLES.get(table, ()))):
            changed_table = {**ALL_TABLES[table], key: value}
            found[f"{table}.{key} {json.dumps(value)}"] = outcome(pull_queue, {**tree, table: changed_table})
    found["zones without agreement"] = outcome(zones, {"zones": {"step": 1.0}})
    found["zones off"] = outcome(zones, {"zones": {"enabled": False}})
    found["zones alone"] = outcome(zones, {"zones": {"alone": True}})
    found["agreement alone"] = outcome(agreement, {"agreement": ALL_TABLES["agreement"]})
    for text in ("", "x = ", "= 1", "[a]\n[a]"):
        path = reader.folder / "pull.toml"
        path.write_text(text)
        found[f"toml of {text!r}"] = outcome(pull_queue_tree, str(path))
    path = reader.folder / "pull.json"
    path.write_text("{")
    found["broken json"] = outcome(pull_queue_tree, str(path))
    found["no such file"] = outcome(pull_queue_tree, str(reader.folder / "none.toml"))
    return reader.neutral(found)


ODD_OF_TABLES = {
    "security": (("tls", "on"), ("keys", ""), ("calls", 0), ("calls", 10_000_000)),
    "sites": (("name", "there"), ("listen", "x"), ("peers", {"a": 7}), ("peers", {"a": "b"}), ("keys", 4)),
    "agreement": (
        ("voters", {"g1": 7}),
        ("voters", {"g1": "x"}),
        ("listen", ""),
        ("listen", "x"),
        ("control", "10.0.0.1:5"),
        ("drift", 0.5),
        ("sockets", 1),
        ("stated", 0.1),
        ("invited", [1]),
    ),
    "zones": (("quorum", 1), ("quorum", 2000), ("step", 0.01), ("step", 4000), ("alone", 1), ("stay", "x")),
}


def faults_of_fleet(reader):
    tree = example("fleet")
    tree["nodes"] = tree["nodes"][:2]
    found = faults(tree, reader.fleet)
    node = tree["nodes"][0]
    for key, value in (("cores", 0), ("memory", 0.0), ("control", "x"), ("state", "odd"), ("surplus", 1)):
        changed_nodes = [{**node, key: value}, *tree["nodes"][1:]]
        found[f"node {key} {value}"] = outcome(reader.fleet, {**tree, "nodes": changed_nodes})
    found["twice the same node"] = outcome(reader.fleet, {**tree, "nodes": [node, node]})
    apart = [node, {**node, "id": "other", "hall": "elsewhere"}]
    found["one rack in two halls"] = outcome(reader.fleet, {**tree, "nodes": apart})
    found["odd gateway"] = outcome(reader.fleet, {**tree, "gateways": ["x"]})
    found["no such file"] = outcome(fleet_file, str(reader.folder / "none.toml"))
    return reader.neutral(found)


def faults_of_settings(reader):
    found = {"json": faults(example("config")["settings"], settings_of_json)}
    for value in ODD[1:]:
        found[f"json {json.dumps(value)}"] = outcome(settings_of_json, value)
    texts = SETTINGS_TEXT.splitlines()
    for number, line in enumerate(texts):
        key = line.partition("=")[0]
        for value in ("", "x", "-1", "nan", "true", "1,2,3,4"):
            lines = [*texts[:number], f"{key}={value}", *texts[number + 1 :]]
            found[f"{key}={value}"] = outcome(settings_of_text, "\n".join(lines).encode())
        found[f"no {key}"] = outcome(
            settings_of_text, "\n".join(texts[:number] + texts[number + 1 :]).encode()
        )
    found["no sign"] = outcome(settings_of_text, b"abc")
    found["not utf-8"] = outcome(settings_of_text, b"\xff=1")
    return reader.neutral(found)


def endpoints(reader):
    texts = ("", ":", ":1", "a:", "a:1", "a:x", "a:65535", "a:65536", "[::1]:5", "a:-1", "a:1 ", "a:\u0661")
    return {text: outcome(endpoint, "some.key", text) for text in texts}


PARTS = {
    "files": read_files,
    "faults of the platform's file": faults_of_platform,
    "faults of the pull queue's file": faults_of_pull_queue,
    "faults of the fleet's file": faults_of_fleet,
    "faults of settings": faults_of_settings,
    "endpoints": endpoints,
}


@pytest.mark.parametrize("part", PARTS)
def test_configuration_is_read_as_recorded(part, tmp_path):
    expected, found = pins.load(RECORD)[part], PARTS[part](Reader(tmp_path))
    assert found.keys() == expected.keys()
    for name, value in found.items():
        assert value == expected[name], name


def test_every_fault_of_a_file_is_a_configuration_error(tmp_path):
    """Guards the record against cases that only show a fault of the test itself."""
    record = json.dumps(pins.load(RECORD))
    assert ConfigError.__name__ + ": " in record and "read as " in record


if __name__ == "__main__":
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        pins.save(RECORD, {name: observe(Reader(Path(folder))) for name, observe in PARTS.items()})
