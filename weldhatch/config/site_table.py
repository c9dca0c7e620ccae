"""The table `sites` of a pull queue's file: the sites with which a gateway exchanges tasks by hand-off."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from weldhatch.config.errors import ConfigError
from weldhatch.config.reading import (
    Endpoint,
    Tree,
    check_keys,
    check_texts,
    parse_endpoint,
    parse_endpoints,
    value_of,
)

KEYS = ("name", "listen", "store", "peers", "keys")


@dataclass(slots=True, frozen=True)
class SitesConfig:
    """This site and the other sites."""

    name: str  # of this site
    listen: Endpoint
    store: str  # folder of the records of hand-offs, as source and as target
    peers: Mapping[str, Endpoint]  # name and address of each other site
    keys: str = ""  # folder made by `weldhatch keys`, for mutual TLS on the links; '' for no TLS


def sites_config(tree: Tree) -> SitesConfig | None:
    """Read the table; return None if it is absent, for a gateway without other sites.

    Raises:
        ConfigError: a key is unknown, missing or can't be used.
    """
    table: Tree = value_of(tree, "sites", dict, {})
    if not table:
        return None
    check_keys("sites", table, KEYS)
    check_texts("sites", table, ("name", "store"))
    addresses = table.get("peers")
    if not isinstance(addresses, dict) or not addresses:
        raise ConfigError("sites.peers is missing: the other sites, each with the address where it listens")
    peers = parse_endpoints("sites.peers", addresses)
    if table["name"] in peers:
        raise ConfigError(f"sites.peers.{table['name']}: this site itself is no other one")
    listen = parse_endpoint("sites.listen", str(table.get("listen", "")))
    return SitesConfig(table["name"], listen, table["store"], peers, value_of(table, "keys", str, ""))
