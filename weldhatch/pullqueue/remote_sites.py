"""The pull queue among several sites: encoding of forwarded tasks, and checks of incoming ones by the ledger.

Imported only if `sites` is configured, since its codec library is not among the basic requirements.
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

SETTLE_MARGIN_S = 0.5
SOCKETS_PER_SITE = 4
_REQUEST_DECODER: msgspec.json.Decoder[PlacementRequest] = msgspec.json.Decoder(PlacementRequest)
_Result = tuple[dict[str, Any] | None, str]
_RESULT_DECODER: msgspec.json.Decoder[_Result] = msgspec.json.Decoder(_Result)


class PullQueueSiteFront(SiteFrontEnd):
    """The pull queue as the front end of its site."""

    def __init__(self, settings: Settings, ledger: KeyLedger, storage: QueueStorage | NoStorage) -> None:
        """Check keys against this ledger, and write spent keys to this store."""
        self._ledger = ledger
        self._storage = storage
        self._classes = {cls.name: cls for cls in settings.classes}

    def encode_passed_on(self, task: ports.Task) -> tuple[str, ...]:
        """Return the placement request of a task and its description, for another site."""
        payload = payload_of(task)
        return msgspec.json.encode(payload.request).decode(), payload.blob

    def decode_passed_on(
        self, site: str, id: TransferId, work: Work, on_result: Callable[[str], None]
    ) -> tuple[object, object]:
        """Return the label of another site's task and the payload of its leases. Raises ValueError."""
        try:
            setup, blob = work.names
            request = _REQUEST_DECODER.decode(setup)
        except (msgspec.MsgspecError, ValueError) as error:
            raise ValueError(f"invalid task: {str(error)[:120]}") from None

        def encode_result(result: object, message: str) -> None:
            on_result(msgspec.json.encode((result, message)).decode())

        epoch, serial = id
        return f"crossings/{site}-{epoch}-{serial}", LeasePayload(request, blob, encode_result)

    def report_result(self, task: ports.Task, result: str) -> None:
        """Set the result of a task that ran at another site."""
        try:
            value, message = _RESULT_DECODER.decode(result)
        except (msgspec.MsgspecError, ValueError):
            return  # an invalid result of the other site is ignored: the task has ended nevertheless
        payload_of(task).on_result(value, message)

    def why_not_admitted(self, work: Work) -> str:
        """Return why a task of another site is rejected; '' if it is not.

        A task must not start beside a request, a lease or an earlier hand-out of this gateway with its key.
        """
        rejection = self._ledger.rejection(work.key, self._classes[work.class_name])
        return rejection.value if rejection is not None else ""

    def task_ran(self, work: Work) -> None:
        """Spend the key of a task that another site has handed out, if the task must not start twice."""
        unsafe = self._classes[work.class_name].effect is Effect.UNSAFE
        if work.key and unsafe and self._ledger.spend(work.key):
            self._storage.append_with_retry(durable_state.encode("spent", [work.key]))


def link_contexts(keys: str, name: str, key: str) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the server and client TLS contexts of links, from a folder of keys; None without a folder.

    `name`: the name of this site. `key`: the key of the settings that a ConfigError names.
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
    """Create the forwarder to other sites, its store and its listener; dial and listen.

    Raises ConfigError, or OSError if the address can't be listened on.
    """
    assert file.sites is not None, "the caller checks that other sites are configured"
    site_storage = SiteStorage(file.sites.store, time.time(), log)
    names = list(file.sites.peers)
    router = Router(names, random)
    front = PullQueueSiteFront(settings, ledger, storage)
    settle_s = file.timing.lease + file.timing.grace + SETTLE_MARGIN_S
    share = DescriptorShare(DescriptorBudget(file.sockets), 2 * SOCKETS_PER_SITE * len(names))
    try:
        sites = SiteForwarder(
            file.sites.name, names, settings, core, site_storage, router, front, settle_s, log
        )
        server_context, client_context = link_contexts(file.sites.keys, file.sites.name, "sites.keys")
        listener = LinkListener(file.sites.listen, sites.links, share, log, server_context)
    except BaseException:
        site_storage.close()
        raise
    driver.watchers.append(lambda event: sites.capacity.watch(time.monotonic(), event))
    for name, endpoint in file.sites.peers.items():
        if file.sites.name < name:  # the site whose name sorts first dials the other one
            sites.links[name].dial(endpoint, share, client_context)
    return sites, site_storage, listener
