"""Functions that all formats share: they read files as trees, and validate the value of a key."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Container, Mapping
from typing import Any, TypeVar

from weldhatch.config.errors import ConfigError

Value = TypeVar("Value")
Tree = Mapping[str, Any]  # a parsed file, or one of its tables
Endpoint = tuple[str, int]  # host, port

MAX_DURATION_S = 3600


def parse_endpoint(key: str, text: str) -> Endpoint:
    """Parse `host:port`.

    Raises:
        ConfigError: the text is not of this form; the error names `key`.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(f"{key} has the unusable value {text!r}: it should be host:port")
    return host, int(port)


def parse_loopback_endpoint(key: str, text: str) -> Endpoint | None:
    """Parse the `host:port` of a control address, which must be on loopback; return None for an empty text.

    Raises:
        ConfigError: the address is not on loopback, or not of this form.
    """
    if not text:
        return None
    if not text.startswith("127."):
        raise ConfigError(f"{key} has the unusable value {text!r}: a loopback address is needed")
    return parse_endpoint(key, text)


def parse_endpoints(key: str, addresses: Mapping[str, object]) -> dict[str, Endpoint]:
    """Parse a table with a `host:port` for each name.

    Raises:
        ConfigError: an address can't be used; the error names `key` and the name.
    """
    endpoints = {}
    for name, text in addresses.items():
        if not isinstance(text, str):
            raise ConfigError(f"{key}.{name} has the unusable value {text!r}: it should be host:port")
        endpoints[name] = parse_endpoint(f"{key}.{name}", text)
    return endpoints


def read_json_file(path: str) -> dict[str, Any]:
    """Read a JSON file that holds an object.

    Raises:
        ConfigError: the file can't be read, is no JSON, or holds something else.
    """
    try:
        with open(path, encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: not an object")
    return tree


def read_toml_file(path: str) -> dict[str, Any]:
    """Read a TOML file.

    Raises:
        ConfigError: the file can't be read, or is no TOML.
    """
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def value_of(tree: Tree, key: str, kind: type[Value], default: Value | None = None) -> Value:
    """Return the value under `key`, or `default` if the key is absent.

    Raises:
        ConfigError: the key is absent and has no default, or its value is not of `kind`.
    """
    if key not in tree:
        if default is None:
            raise ConfigError(f"{key} is missing")
        return default
    value = tree[key]
    if not isinstance(value, kind):
        raise ConfigError(f"{key} has the unusable value {value!r}")
    return value


def whole_number(key: str, value: object, minimum: int, maximum: int, expected: str) -> int:
    """Validate a whole number from `minimum` to `maximum`; the text of the error ends with `expected`.

    Raises:
        ConfigError: the value is not a whole number, or outside the range.
    """
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ConfigError(f"{key} has the unusable value {value!r}: {expected}")
    return value


def duration_s(key: str, value: object, minimum_s: float) -> float:
    """Validate a duration from `minimum_s` to one hour, in seconds.

    Raises:
        ConfigError: the value is not a number, or outside the range.
    """
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not minimum_s <= value <= MAX_DURATION_S
    ):
        raise ConfigError(f"{key} has the unusable value {value!r}: {minimum_s} to {MAX_DURATION_S} seconds")
    return float(value)


def check_keys(table: str, tree: Tree, known: Container[str]) -> None:
    """Reject unknown keys, as they are probably misspelt.

    Raises:
        ConfigError: names the first unknown key, with its table.
    """
    for key in tree:
        if key not in known:
            raise ConfigError(f"{table}.{key} is no key of a pull queue's file")


def check_texts(table: str, tree: Tree, keys: tuple[str, ...]) -> None:
    """Check that each of `keys` has a text that is not empty.

    Raises:
        ConfigError: names the first key that is missing, empty or not a text.
    """
    for key in keys:
        if not isinstance(tree.get(key), str) or not tree[key]:
            raise ConfigError(f"{table}.{key} is missing, or no text")
