"""Compares the reading of configuration with recorded results: contents of shipped files, and error texts.

Faulty inputs are derived from the files that the project ships: each key in turn is left out, or gets one of
`TRIAL_VALUES`. The record holds the text of the error, or a digest of the contents if the value is accepted;
`-` stands for a key that is left out.
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
    cluster_config,
    parse_endpoint,
    platform_config,
    pull_queue_config,
    pull_queue_leaves,
    read_json_file,
    read_pull_queue_file,
    read_toml_file,
    settings_from_json,
    settings_from_text,
    zones_config,
)
from weldhatch.config.fleet_file import fleet_config

RECORD = "pins_config.json"
ROOT = Path(__file__).parent.parent
ABSENT = object()
TRIAL_VALUES = (ABSENT, None, "x", -1, 0.25, True, [], {}, ["a"], {"a": 1})
PULL_FILES = ("examples/pullqueue.toml", "deploy/pullqueue.toml")
FLEET_FILES = ("examples/fleet.toml", "deploy/fleet.toml")

# Settings that no shipped file has in full: classes of every effect and scope, tenants, prices, extras.
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

# All tables of a pull queue's file.
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


def key_paths(tree, path=()):
    """Yield the paths of all keys of a tree, including those of tables and of lists of tables."""
    for key, value in tree.items() if isinstance(tree, dict) else enumerate(tree):
        yield (*path, key)
        if isinstance(value, dict) or (isinstance(value, list) and value and isinstance(value[0], dict)):
            yield from key_paths(value, (*path, key))


def with_value(tree, path, value):
    """Return a copy of the tree with another value at the path, or without that key."""
    copied = copy.deepcopy(tree)
    table = copied
    for key in path[:-1]:
        table = table[key]
    if value is ABSENT:
        del table[path[-1]]
    else:
        table[path[-1]] = value
    return copied


def outcome(read, *arguments):
    """Return the text of the error, or a digest of the contents that were read."""
    try:
        return "read as " + pins.digest(pins.lines(read(*arguments)))
    except Exception as error:  # of any type: the record shows which were ConfigErrors
        return f"{type(error).__name__}: {error}"


def outcomes_of_changes(tree, read):
    """Return the outcomes of all changes of a tree: by path, one for each of `TRIAL_VALUES`."""
    outcomes = {}
    for path in key_paths(tree):
        name = ".".join(map(str, path))
        outcomes[name] = {
            "-" if value is ABSENT else json.dumps(value): outcome(read, with_value(tree, path, value))
            for value in TRIAL_VALUES
        }
    for value in ("surplus", 7):
        outcomes[f"a key that is not known, {value!r}"] = outcome(read, {**tree, "surplus": value})
    return outcomes


def without_settings(tree):
    """Return the tree without `settings`, for changes of the other keys."""
    return {key: value for key, value in tree.items() if key != "settings"}


class Reader:
    """Writes trees to files of a folder and reads them; outcomes name the folder as `<folder>`."""

    def __init__(self, folder):
        self.folder = folder
        self.path = folder / "file"

    def platform(self, tree):
        self.path.write_text(json.dumps(tree))
        return platform_config({"PROXY_CONFIG": str(self.path)})

    def fleet(self, tree):
        path = self.folder / "fleet.toml"
        path.write_text(to_toml(tree))
        read = fleet_config(str(path))
        return replace(read, journal=read.journal.replace(str(self.folder), "<folder>"))

    def without_folders(self, value):
        """Return outcomes with placeholders for the paths of folders, as they are recorded."""
        text = json.dumps(value).replace(str(self.folder), "<folder>").replace(str(ROOT), "<root>")
        return json.loads(text)


def to_toml(tree):
    """Return a tree as TOML, with the text `null` for None, which TOML lacks."""

    def toml_value(value):
        if isinstance(value, dict):
            return "{" + ", ".join(f"{json.dumps(k)} = {toml_value(v)}" for k, v in value.items()) + "}"
        if isinstance(value, list):
            return "[" + ", ".join(map(toml_value, value)) + "]"
        return '"null"' if value is None else json.dumps(value)

    return "\n".join(f"{json.dumps(key)} = {toml_value(value)}" for key, value in tree.items()) + "\n"


def read_files(reader):
    """Return the contents of each shipped file as pairs of path and value."""
    contents = {}
    for name in PULL_FILES:
        tree = read_pull_queue_file(str(ROOT / name))
        contents[name] = pins.lines(pull_queue_config(tree))
        contents[f"{name} as leaves"] = pins.lines(pull_queue_leaves(tree))
    for name in FLEET_FILES:
        contents[name] = pins.lines(fleet_config(str(ROOT / name)))
    contents["examples/config.json"] = pins.lines(
        platform_config({"PROXY_CONFIG": str(ROOT / "examples/config.json")})
    )
    contents["config.json of the environment"] = pins.lines(
        platform_config(
            {
                "PROXY_CONFIG": str(ROOT / "examples/config.json"),
                "PROXY_NAME": "other",
                "PROXY_LISTEN": "127.0.0.1:9",
            }
        )
    )
    contents["settings as text"] = pins.lines(settings_from_text(SETTINGS_TEXT.encode()))
    contents["all tables"] = pins.lines(pull_queue_config({**example("pullqueue"), **ALL_TABLES}))
    return reader.without_folders(contents)


def example(name):
    """Return the tree of an example file."""
    if name == "config":
        return read_json_file(str(ROOT / "examples/config.json"))
    return read_toml_file(str(ROOT / f"examples/{name}.toml"))


def faults_of_platform(reader):
    tree = example("config")
    settings = tree["settings"]

    def read(changed_tree):
        return reader.platform({"settings": settings, **changed_tree})

    outcomes = outcomes_of_changes(without_settings(tree), read)
    for value in TRIAL_VALUES[1:]:
        outcomes[f"settings {json.dumps(value)}"] = outcome(reader.platform, {**tree, "settings": value})
        limits = {**settings, "limits": {**settings["limits"], "dialTimeoutUs": value}}
        outcomes[f"dialTimeoutUs {json.dumps(value)}"] = outcome(
            reader.platform, {**tree, "settings": limits}
        )
    outcomes["no settings"] = outcome(reader.platform, without_settings(tree))
    outcomes["no environment"] = outcome(platform_config, {})
    outcomes["no such file"] = outcome(platform_config, {"PROXY_CONFIG": str(reader.folder / "none")})
    outcomes["odd listen"] = outcome(
        platform_config, {"PROXY_CONFIG": str(ROOT / "examples/config.json"), "PROXY_LISTEN": "9"}
    )
    for text in ("", "{", "[]", "7"):
        reader.path.write_text(text)
        outcomes[f"file of {text!r}"] = outcome(platform_config, {"PROXY_CONFIG": str(reader.path)})
    return reader.without_folders(outcomes)


def faults_of_pull_queue(reader):
    tree = {**example("pullqueue"), **ALL_TABLES}
    settings = tree["settings"]
    outcomes = outcomes_of_changes(
        without_settings(tree), lambda changed_tree: pull_queue_config({"settings": settings, **changed_tree})
    )
    for value in TRIAL_VALUES[1:]:
        outcomes[f"settings {json.dumps(value)}"] = outcome(pull_queue_config, {**tree, "settings": value})
    for table in ALL_TABLES:
        for key, value in (("surplus", 1), *(extra for extra in TABLE_TRIALS.get(table, ()))):
            changed_table = {**ALL_TABLES[table], key: value}
            outcomes[f"{table}.{key} {json.dumps(value)}"] = outcome(
                pull_queue_config, {**tree, table: changed_table}
            )
    outcomes["zones without agreement"] = outcome(zones_config, {"zones": {"step": 1.0}})
    outcomes["zones off"] = outcome(zones_config, {"zones": {"enabled": False}})
    outcomes["zones alone"] = outcome(zones_config, {"zones": {"alone": True}})
    outcomes["agreement alone"] = outcome(cluster_config, {"agreement": ALL_TABLES["agreement"]})
    for text in ("", "x = ", "= 1", "[a]\n[a]"):
        path = reader.folder / "pull.toml"
        path.write_text(text)
        outcomes[f"toml of {text!r}"] = outcome(read_pull_queue_file, str(path))
    path = reader.folder / "pull.json"
    path.write_text("{")
    outcomes["broken json"] = outcome(read_pull_queue_file, str(path))
    outcomes["no such file"] = outcome(read_pull_queue_file, str(reader.folder / "none.toml"))
    return reader.without_folders(outcomes)


TABLE_TRIALS = {
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
    outcomes = outcomes_of_changes(tree, reader.fleet)
    node = tree["nodes"][0]
    for key, value in (("cores", 0), ("memory", 0.0), ("control", "x"), ("state", "odd"), ("surplus", 1)):
        changed_nodes = [{**node, key: value}, *tree["nodes"][1:]]
        outcomes[f"node {key} {value}"] = outcome(reader.fleet, {**tree, "nodes": changed_nodes})
    outcomes["twice the same node"] = outcome(reader.fleet, {**tree, "nodes": [node, node]})
    apart = [node, {**node, "id": "other", "hall": "elsewhere"}]
    outcomes["one rack in two halls"] = outcome(reader.fleet, {**tree, "nodes": apart})
    outcomes["odd gateway"] = outcome(reader.fleet, {**tree, "gateways": ["x"]})
    outcomes["no such file"] = outcome(fleet_config, str(reader.folder / "none.toml"))
    return reader.without_folders(outcomes)


def faults_of_settings(reader):
    outcomes = {"json": outcomes_of_changes(example("config")["settings"], settings_from_json)}
    for value in TRIAL_VALUES[1:]:
        outcomes[f"json {json.dumps(value)}"] = outcome(settings_from_json, value)
    texts = SETTINGS_TEXT.splitlines()
    for number, line in enumerate(texts):
        key = line.partition("=")[0]
        for value in ("", "x", "-1", "nan", "true", "1,2,3,4"):
            lines = [*texts[:number], f"{key}={value}", *texts[number + 1 :]]
            outcomes[f"{key}={value}"] = outcome(settings_from_text, "\n".join(lines).encode())
        outcomes[f"no {key}"] = outcome(
            settings_from_text, "\n".join(texts[:number] + texts[number + 1 :]).encode()
        )
    outcomes["no sign"] = outcome(settings_from_text, b"abc")
    outcomes["not utf-8"] = outcome(settings_from_text, b"\xff=1")
    return reader.without_folders(outcomes)


def endpoints(reader):
    texts = ("", ":", ":1", "a:", "a:1", "a:x", "a:65535", "a:65536", "[::1]:5", "a:-1", "a:1 ", "a:\u0661")
    return {text: outcome(parse_endpoint, "some.key", text) for text in texts}


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
    expected, outcomes = pins.load(RECORD)[part], PARTS[part](Reader(tmp_path))
    assert outcomes.keys() == expected.keys()
    for name, value in outcomes.items():
        assert value == expected[name], name


def test_the_record_has_configuration_errors_and_accepted_inputs(tmp_path):
    """Guards against a record in which all cases failed for a fault of the test itself."""
    record = json.dumps(pins.load(RECORD))
    assert ConfigError.__name__ + ": " in record and "read as " in record


if __name__ == "__main__":
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        pins.save(RECORD, {name: observe(Reader(Path(folder))) for name, observe in PARTS.items()})
