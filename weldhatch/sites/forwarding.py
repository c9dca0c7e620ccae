"""A gateway among several sites. It replaces the core for a front end and forwards requests to other sites.

Each request is one coroutine (`ForwardedRequest`). The request stays if this site has capacity or no other
site has; otherwise the router picks one other site at a time. If that site returns the task, this site's own
decision module may still place it. A task from another site passes through this site's core like any other
request (`IncomingTask`).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection

from weldhatch.core import ports
from weldhatch.core.request_lifecycle import Core, RequestLifecycle
from weldhatch.scheduling.types import Settings
from weldhatch.sites import frames, messages
from weldhatch.sites.background import BackgroundTasks
from weldhatch.sites.capacity import CapacityTracker
from weldhatch.sites.effects import EffectRunner
from weldhatch.sites.forwarded_request import ForwardedRequest
from weldhatch.sites.handoff_source import TaskBusyError
from weldhatch.sites.incoming import IncomingTasks
from weldhatch.sites.link import Link, LinkHandlers
from weldhatch.sites.local_site import SiteFrontEnd
from weldhatch.sites.messages import Work
from weldhatch.sites.outgoing import OutgoingHandoffs
from weldhatch.sites.routing import CapacitySummary, KeepLocal, Router
from weldhatch.sites.session import ProtocolError
from weldhatch.sites.status import SitesStatus, site_status
from weldhatch.sites.storage import SiteStorage
from weldhatch.sites.task_translation import TaskTranslator

HANDOFF_STREAM = 0  # the link's stream for hand-off messages
SUMMARY_STREAM = 1  # the link's stream for capacity summaries
SUMMARY_INTERVAL_S = 0.5
REPEAT_INTERVAL_S = 1.0  # between repeats of messages that another site has not confirmed
SILENCE_S = 0.5  # idempotent work is reclaimed from a site whose link has been down this long


class SiteForwarder:
    """Hand-offs of one gateway in both directions. Can replace a front's core (`arrive`, `adopt`)."""

    def __init__(
        self,
        name: str,
        names: list[str],
        settings: Settings,
        core: Core,
        storage: SiteStorage,
        router: Router,
        front: SiteFrontEnd,
        settle_s: float,
        log: Callable[[str], None],
    ) -> None:
        """Recall what a former gateway had offered, and start with all links down.

        `names`: the other sites. `settle_s`: how long a task may still run after it was abandoned or its
        gateway died.
        """
        self.name = name
        self.core = core
        self.storage = storage
        self.router = router
        self.front = front
        self.log = log
        self.draining = False
        self.requests: set[ForwardedRequest] = set()
        self._undecided = 0  # requests of local owners that have no answer yet
        self._settle_s = settle_s
        self._down_since: dict[str, float] = {}
        self.capacity = CapacityTracker(settings)
        self.translator = TaskTranslator(settings, front)
        self.background = BackgroundTasks()
        self.effects = EffectRunner(storage, self._send_message)
        self.source = storage.source
        self.outgoing = OutgoingHandoffs(storage, self.effects, router, front)
        self.incoming = IncomingTasks(
            core, storage, self.effects, self.translator, self.background, settle_s, log
        )
        handlers = LinkHandlers(self._link_up, self._link_down, self._receive)
        self.links = {site: Link(name, site, storage, handlers, log) for site in names}
        self._start()

    def _start(self) -> None:
        self.effects.on_owner_effect = self.outgoing.notify_request
        self.effects.on_task_effect = self.incoming.run_effect
        self.effects.run_source(self.source.recover())
        self.incoming.recover()
        self.background.spawn(self._tick())

    @property
    def site_names(self) -> Collection[str]:
        """Names of the other sites."""
        return self.links.keys()

    # ---- interface of the core -------------------------------------------------------------------------

    def arrive(self, task: ports.Task, owner: ports.Owner) -> ForwardedRequest:
        """Accept a request; its owner gets exactly one final answer."""
        return ForwardedRequest(self, task, owner)

    def adopt(
        self, task: ports.Task, machine: int, owner: ports.Owner, answered: bool = True
    ) -> RequestLifecycle:
        """Adopt a task that already runs at this site, and reserve its key until it is over."""
        work = self.translator.work_of(task)
        lifecycle = self.core.adopt(task, machine, owner, answered)
        try:
            self.source.reserve_key(work)
        except TaskBusyError as error:
            self.log(f"key {work.key:x} of a task that already runs here is not reserved: {error}")
        else:
            self.background.spawn_after(lifecycle, 0.0, lambda: self.source.release_key(work))
        return lifecycle

    @property
    def unanswered(self) -> int:
        """Number of requests without an answer, of local owners and of other sites."""
        return self._undecided + self.incoming.undecided

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings, in which the classes must keep their indexes."""
        self.capacity.settings = settings
        self.translator.reconfigure(settings)

    # ---- for requests ----------------------------------------------------------------------------------

    def begin_request(self, request: ForwardedRequest) -> None:
        """Register a request that has no answer yet."""
        self.requests.add(request)
        self._undecided += 1

    def count_answered(self) -> None:
        """Count a request as answered."""
        self._undecided -= 1

    def end_request(self, request: ForwardedRequest) -> None:
        """Remove a request that has ended."""
        self.requests.discard(request)

    def choose(self, work: Work, left_us: int, visited: frozenset[str]) -> str | KeepLocal:
        """Return the site to forward a task to, or why it stays. `visited`: sites that have had the task."""
        if self.storage.write_error:
            return KeepLocal("the store takes nothing")
        return self.router.choose(time.monotonic(), work, self.summary(), left_us / 1e6, visited)

    def summary(self) -> CapacitySummary:
        """Return this site's capacity summary for other sites."""
        return self.capacity.summary(
            time.monotonic(), self.core.unanswered, len(self.core.requests), self.draining
        )

    def spawn_settled(self, lifecycle: RequestLifecycle, then: Callable[[], None]) -> None:
        """Call `then` once a task that was abandoned or failed can't run any more."""
        self.background.spawn_after(lifecycle, self._settle_s, then)

    # ---- links -----------------------------------------------------------------------------------------

    def _send_message(self, site: str, message: messages.ToTarget | messages.ToSource) -> None:
        self.links[site].send(HANDOFF_STREAM, frames.encode_message(message))

    def _link_up(self, site: str) -> None:
        self._down_since.pop(site, None)
        self.router.link_changed(time.monotonic(), site, True)
        self._repeat_unconfirmed(site)
        self.send_summary(site)

    def _link_down(self, site: str) -> None:
        self._down_since[site] = time.monotonic()
        self.router.link_changed(time.monotonic(), site, False)

    def _receive(self, site: str, stream: int, payload: bytes) -> None:
        """Handle one message payload of a link. Raises ProtocolError."""
        if stream == SUMMARY_STREAM:
            summary = frames.decode_summary(payload)
            delay_s = self.links[site].session.delay_s
            self.router.receive_summary(time.monotonic(), site, summary, delay_s)
            return
        if stream != HANDOFF_STREAM:
            raise ProtocolError(f"unknown stream {stream}")
        message = frames.decode_message(payload)
        if isinstance(message, messages.ToTarget):
            self.incoming.receive(site, message, self.draining)
        else:
            self.outgoing.receive(site, message)

    def _repeat_unconfirmed(self, site: str) -> None:
        for to_target in self.outgoing.unconfirmed_messages(site):
            self._send_message(site, to_target.message)
        for to_source in self.storage.target(site).unconfirmed_messages():
            self._send_message(site, to_source.message)

    def send_summary(self, site: str) -> None:
        """Send this site's capacity summary to another site."""
        self.links[site].send(SUMMARY_STREAM, frames.encode_summary(self.summary()))

    async def _tick(self) -> None:
        """Send summaries and unconfirmed messages regularly; reclaim idempotent work of silent sites."""
        repeated_at = time.monotonic()
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_S / 2)
            now = time.monotonic()
            repeat = now - repeated_at >= REPEAT_INTERVAL_S
            for site, link in self.links.items():
                if link.up:
                    self.send_summary(site)
                    if repeat:
                        self._repeat_unconfirmed(site)
                elif now - self._down_since.get(site, 0.0) > SILENCE_S:
                    self.outgoing.reclaim_silent(site)
            if repeat:
                repeated_at = now

    # ---- for operators ---------------------------------------------------------------------------------

    def status(self) -> SitesStatus:
        """Return the status that `weldhatch sites status` prints: links, epochs and open transfers."""
        return {
            "site": self.name,
            "epoch": self.storage.epoch,
            "draining": self.draining,
            "sites": {
                site: site_status(site, link, self.router.sites[site], self.storage)
                for site, link in self.links.items()
            },
        }

    def forget(self, site: str) -> int:
        """End all transfers to a site, after an operator has confirmed that none of their tasks runs there.

        Return the number of transfers that ended.
        """
        return self.outgoing.forget_site(site)

    def close(self) -> None:
        """Close all sockets and cancel all asyncio tasks; accepted requests get no further answers."""
        self.effects.close()
        self.background.cancel()
        for request in self.requests:
            request.async_task.cancel()
        for link in self.links.values():
            link.close()
