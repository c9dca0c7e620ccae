"""The pull queue among several sites: how its tasks cross, and what its ledger says of those that come.

Imported only where `sites` is configured: its codec is not a part of what `run` needs.
"""

from __future__ import annotations

import ssl
import time
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from weldhatch.config import ConfigError, PullQueueConfig
from weldhatch.core import ports
from weldhatch.core.policy_driver import Driver
from weldhatch.core.request_lifecycle import Core
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.placement_request import PlacementRequest
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.leases import KeyLedger
from weldhatch.pullqueue.machines import LeasePayload, payload_of
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
_SETUP: msgspec.json.Decoder[PlacementRequest] = msgspec.json.Decoder(PlacementRequest)
_Result = tuple[dict[str, Any] | None, str]
_RESULT: msgspec.json.Decoder[_Result] = msgspec.json.Decoder(_Result)


class PullQueueSiteFront(SiteFrontEnd):
    """The pull queue as the front of its site."""

    def __init__(self, settings: Settings, ledger: KeyLedger, storage: QueueStorage | NoStorage) -> None:
        """Ask this ledger, and write spent keys to this store."""
        self._ledger = ledger
        self._storage = storage
        self._classes = {cls.name: cls for cls in settings.classes}

    def encode_passed_on(self, task: ports.Task) -> tuple[str, ...]:
        """Return the placement request of a task, and its description."""
        payload = payload_of(task)
        return msgspec.json.encode(payload.request).decode(), payload.blob

    def decode_passed_on(
        self, site: str, id: TransferId, work: Work, on_result: Callable[[str], None]
    ) -> tuple[object, object]:
        """Return the label of another site's task, and what a lease of it gets. Raises ValueError."""
        try:
            setup, blob = work.names
            request = _SETUP.decode(setup)
        except (msgspec.MsgspecError, ValueError) as error:
            raise ValueError(f"a task that can't be read: {str(error)[:120]}") from None

        def encode_result(result: object, message: str) -> None:
            on_result(msgspec.json.encode((result, message)).decode())

        epoch, serial = id
        return f"crossings/{site}-{epoch}-{serial}", LeasePayload(request, blob, encode_result)

    def report_result(self, task: ports.Task, result: str) -> None:
        """Take what a task has come to at another site, as a machine here would say it."""
        try:
            value, message = _RESULT.decode(result)
        except (msgspec.MsgspecError, ValueError):
            return  # another site's fault: the task has ended all the same
        payload_of(task).on_result(value, message)

    def why_not_admitted(self, work: Work) -> str:
        """Guard against a start beside a request, a lease, or an earlier hand-out of this gateway's own."""
        rejection = self._ledger.rejection(work.key, self._classes[work.class_name])
        return rejection.value if rejection is not None else ""

    def task_ran(self, work: Work) -> None:
        """Spend the key of a task that another site has handed out, where it may not start twice."""
        unsafe = self._classes[work.class_name].effect is Effect.UNSAFE
        if work.key and unsafe and self._ledger.spend(work.key):
            self._storage.append_with_retry(durable_state.encode("spent", [work.key]))


def link_contexts(keys: str, name: str, key: str) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return what links are served and dialled with, from a folder of keys; None without a folder.

    `name`: of this site. Raises ConfigError naming the `key` of the settings.
    """
    if not keys:
        return None, None
    from weldhatch.keys.errors import KeysError
    from weldhatch.keys.folder import KeyFolder

    folder = KeyFolder(keys)
    try:
        return folder.server_context(mutual=True), folder.client_context(name)
    except KeysError as error:
        raise ConfigError(f"{key}: {error}") from None


def build(
    file: PullQueueConfig,
    settings: Settings,
    driver: Driver,
    core: Core,
    ledger: KeyLedger,
    storage: QueueStorage | NoStorage,
    random: Random,
    log: Callable[[str], None],
) -> tuple[SiteForwarder, SiteStorage, LinkListener]:
    """Return the sites of this gateway, dialling and listening, their store and their listener.

    Raises ConfigError, or OSError for the address.
    """
    assert file.sites is not None, "the caller looks whether there are other sites"
    site_storage = SiteStorage(file.sites.store, time.time(), log)
    names = list(file.sites.peers)
    router = Router(names, random)
    front = PullQueueSiteFront(settings, ledger, storage)
    settle_s = file.timing.lease + file.timing.grace + SETTLE_SPARE_S
    share = DescriptorShare(DescriptorBudget(file.sockets), 2 * SOCKETS_A_SITE * len(names))
    try:
        sites = SiteForwarder(
            file.sites.name, names, settings, core, site_storage, router, front, settle_s, log
        )
        serves, dials = link_contexts(file.sites.keys, file.sites.name, "sites.keys")
        listener = LinkListener(file.sites.listen, sites.links, share, log, serves)
    except BaseException:
        site_storage.close()
        raise
    driver.watchers.append(lambda event: sites.capacity.watch(time.monotonic(), event))
    for name, endpoint in file.sites.peers.items():
        if file.sites.name < name:  # of two sites the one whose name sorts first dials
            sites.links[name].dial(endpoint, share, dials)
    return sites, site_storage, listener
