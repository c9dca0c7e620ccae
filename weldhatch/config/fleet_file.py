"""The fleet's file, for the commands of `weldhatch fleet`: TOML."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from weldhatch.config.errors import ConfigError
from weldhatch.config.reading import Tree, parse_endpoint, read_toml_file
from weldhatch.planning.engine import Patience
from weldhatch.planning.fleet import Fleet, Node, Pace, ServiceClass

Value = TypeVar("Value")

KEYS = ("name", "journal", "gateways", "pace", "patience", "classes", "nodes")


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """A fleet as its file names it: the commands ask the nodes themselves for their states."""

    name: str
    journal: str  # the folder of the applies' journal
    gateways: tuple[str, ...]  # host:port of the control addresses that are notified of drains
    control: dict[str, str]  # host:port of each node's control address, by its id
    fleet: Fleet
    patience: Patience


def fleet_config(path: str) -> FleetConfig:
    """Read the fleet of a TOML file.

    Raises:
        ConfigError: names the file, and the key that is unknown, missing or can't be used.
    """
    tree = read_toml_file(path)
    for key in tree:
        if key not in KEYS:
            raise ConfigError(f"{path}: {key} is no key of a fleet's file")
    nodes, control = _nodes(path, tree)
    _check_racks(path, nodes)
    gateways = _part(path, "gateways", tree.get("gateways", []), tuple[str, ...])
    for gateway in gateways:
        parse_endpoint(f"{path}: gateways", gateway)
    classes = _part(path, "classes", tree.get("classes", []), tuple[ServiceClass, ...])
    journal = _part(path, "journal", tree.get("journal", "fleet-journal"), str)
    return FleetConfig(
        name=_part(path, "name", tree.get("name", "fleet"), str),
        journal=os.path.join(os.path.dirname(path), journal),
        gateways=gateways,
        control=control,
        fleet=Fleet(nodes, classes, _part(path, "pace", tree.get("pace", {}), Pace)),
        patience=_part(path, "patience", tree.get("patience", {}), Patience),
    )


def _part(path: str, key: str, value: object, kind: type[Value]) -> Value:
    """Convert one part of the tree; an error names the file and the key."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise ConfigError(f"{path}: {key}{place.rstrip('`')}: {text}") from None


def _nodes(path: str, tree: Tree) -> tuple[list[Node], dict[str, str]]:
    """Return the nodes, and the control address of each by its id."""
    entries = tree.get("nodes", [])
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries) or not entries:
        raise ConfigError(f"{path}: nodes: a table [[nodes]] for each node is needed")
    nodes: list[Node] = []
    control: dict[str, str] = {}
    for index, entry in enumerate(entries):
        node, address = _node(path, f"nodes[{index}]", entry)
        if node.id in control:
            raise ConfigError(f"{path}: nodes[{index}].id: {node.id} is named twice")
        if not node.cores > 0 or not node.memory > 0:
            raise ConfigError(f"{path}: nodes[{index}]: cores and memory are more than 0")
        host, port = parse_endpoint(f"{path}: nodes[{index}].control", address)
        control[node.id] = f"{host}:{port}"
        nodes.append(node)
    return nodes, control


def _node(path: str, key: str, entry: dict[str, Any]) -> tuple[Node, str]:
    address = _part(path, f"{key}.control", entry.get("control"), str)
    fields = {name: value for name, value in entry.items() if name != "control"}
    return _part(path, key, fields, Node), address


def _check_racks(path: str, nodes: list[Node]) -> None:
    for rack in {node.rack for node in nodes}:
        if len({node.hall for node in nodes if node.rack == rack}) > 1:
            raise ConfigError(f"{path}: nodes: the rack {rack} stands in two halls")
