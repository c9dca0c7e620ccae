"""The pull queue among several sites: how its tasks cross, and what its ledger says of those that come.

Imported only where `sites` is configured: its codec is not a part of what `run` needs.
"""

from __future__ import annotations

import ssl
import time
from collections.abc import Callable
from random import Random

import msgspec

from weldhatch.config import ConfigError, PullQueueFile
from weldhatch.core import ports
from weldhatch.core.policy_driver import Driver
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.placement_request import Setup
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.leases import Ledger
from weldhatch.pullqueue.machines import Passed
from weldhatch.pullqueue.storage import NoStorage, QueueStorage
from weldhatch.scheduling.types import Effect, Settings
from weldhatch.sites.forwarding import SiteForwarder
from weldhatch.sites.link_listener import LinkListener
from weldhatch.sites.local_site import SiteFrontEnd
from weldhatch.sites.messages import TransferId, Work
from weldhatch.sites.routing import Router
from weldhatch.sites.storage import SiteStorage

SETTLE_SPARE_S = 0.5
SOCKETS_A_SITE = 4


class Abroad(SiteFrontEnd):
    """What the sites need of this front."""

    def __init__(self, settings: Settings, ledger: Ledger, book: QueueStorage | NoStorage) -> None:
        self._settings, self._ledger, self._book = settings, ledger, book
        self._names = {cls.name: cls for cls in settings.classes}

    def names_of(self, task: ports.Task) -> tuple[str, ...]:
        passed: Passed = task.passed_on
        return msgspec.json.encode(passed.setup).decode(), passed.blob

    def guest(
        self, site: str, id: TransferId, work: Work, came_to: Callable[[str], None]
    ) -> tuple[object, object]:
        try:
            setup, blob = work.names
            read = msgspec.json.decode(setup, type=Setup)
        except (msgspec.MsgspecError, ValueError) as fault:
            raise ValueError(f"a task that can't be read: {str(fault)[:120]}") from None
        return f"crossings/{site}-{id[0]}-{id[1]}", Passed(
            read, blob, lambda result, message: came_to(msgspec.json.encode((result, message)).decode())
        )

    def came_to(self, task: ports.Task, result: str) -> None:
        try:
            value, message = msgspec.json.decode(result, type=tuple[dict | None, str])
        except (msgspec.MsgspecError, ValueError):
            return  # another site's fault: the task has ended all the same
        passed: Passed = task.passed_on
        passed.told(value, message)

    def admits(self, work: Work) -> str:
        """Guards against a start beside a request, a lease, or an earlier hand-out of this gateway's own."""
        refusal = self._ledger.refusal(work.key, self._names[work.class_name])
        return refusal.value if refusal is not None else ""

    def ran(self, work: Work) -> None:
        """It was handed out at another site: what may not start twice never goes out again here either."""
        if work.key and self._names[work.class_name].effect is Effect.UNSAFE and self._ledger.spend(work.key):
            self._book.append_with_retry(durable_state.encode("spent", [work.key]))


def link_contexts(keys: str, name: str, key: str) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """What links are served and dialled with, from a folder of keys. Raises ConfigError naming the `key`."""
    if not keys:
        return None, None
    from weldhatch.keys.folder import Folder, KeysError

    folder = Folder(keys)
    try:
        return folder.server_context(mutual=True), folder.client_context(name)
    except KeysError as fault:
        raise ConfigError(f"{key}: {fault}") from None


def build(
    told: PullQueueFile,
    settings: Settings,
    driver: Driver,
    core: Core,
    ledger: Ledger,
    book: QueueStorage | NoStorage,
    random: Random,
    log: Callable[[str], None],
) -> tuple[SiteForwarder, SiteStorage, LinkListener]:
    """The sites of this gateway, dialling and listening. Raises ConfigError, or OSError for the address."""
    sites_book = SiteStorage(told.sites.store, time.time(), log)
    names = list(told.sites.peers)
    share = DescriptorShare(DescriptorBudget(told.sockets), 2 * SOCKETS_A_SITE * len(names))
    try:
        settle = told.timing.lease + told.timing.grace + SETTLE_SPARE_S
        sites = SiteForwarder(
            told.sites.name,
            names,
            settings,
            core,
            sites_book,
            Router(names, random),
            Abroad(settings, ledger, book),
            settle,
            log,
        )
        serves, dials = link_contexts(told.sites.keys, told.sites.name, "sites.keys")
        door = LinkListener(told.sites.listen, sites.links, share, log, serves)
    except BaseException:
        sites_book.close()
        raise
    driver.watchers.append(lambda event: sites.capacity.watch(time.monotonic(), event))
    for name, endpoint in told.sites.peers.items():
        if told.sites.name < name:
            sites.links[name].dial(endpoint, share, dials)
    return sites, sites_book, door
