"""Driver of the policy: passes batches of events in and routes the actions. No decisions."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable

from weldhatch.core.ports import Directory, SchedulingPolicy, Site
from weldhatch.scheduling.actions import Action, FetchList, Log, Probe, SetTimer, Subscribe
from weldhatch.scheduling.events import Event, ProbeAnswered, TimerFired
from weldhatch.scheduling.types import Outcome, Settings


def unix_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


class Driver:
    """Runs the policy. Events posted while a batch is handled go into the next batch: no re-entry.

    `site` and `directory` are set after creation, before the first event.
    """

    site: Site
    directory: Directory

    def __init__(self, policy: SchedulingPolicy, log: Callable[[str], None]) -> None:
        """Drive this policy from the running event loop."""
        self._policy = policy
        self._log = log
        self._posted: list[Event] = []
        self._flush_waiters: list[asyncio.Future[None]] = []
        self._loop = asyncio.get_running_loop()
        self._receivers: dict[int, Callable[[Action], None]] = {}  # by request id
        self._last_request = 0
        self.watchers: list[Callable[[Event], None]] = []  # called with every posted event

    def register(self, receive_action: Callable[[Action], None]) -> int:
        """Return the id of a new request; its actions go to the callback until `forget` is called."""
        self._last_request += 1
        self._receivers[self._last_request] = receive_action
        return self._last_request

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings from the next batch on."""
        self._policy.reconfigure(settings)

    def forget(self, request: int) -> None:
        """Drop actions for this request from now on."""
        self._receivers.pop(request, None)

    def post(self, *events: Event) -> None:
        """Queue the events for the next batch, and pass them to the watchers immediately."""
        self.post_unwatched(*events)
        for watch in self.watchers:
            for event in events:
                watch(event)

    def post_unwatched(self, *events: Event) -> None:
        """Queue events that come from a watcher itself, without passing them to the watchers."""
        if not self._posted:
            self._loop.call_soon(self._run_batch)
        self._posted += events

    def flush(self, *events: Event) -> asyncio.Future[None]:
        """Post the events; return a future that is done once all posted events are handled and routed."""
        self.post(*events)
        done: asyncio.Future[None] = self._loop.create_future()
        self._flush_waiters.append(done)
        return done

    def _run_batch(self) -> None:
        events = self._posted
        flush_waiters = self._flush_waiters
        self._posted = []
        self._flush_waiters = []
        self._decide(events)
        for done in flush_waiters:
            if not done.done():
                done.set_result(None)

    def _decide(self, events: list[Event]) -> None:
        try:
            actions = self._policy.handle(unix_us(), events)
        except Exception:
            # A batch that fails must not end the process and with it all running tasks. Requests of the
            # batch still get their final answer from the policy's timers or at the deadline.
            self._log("the policy failed on a batch: " + traceback.format_exc().replace("\n", " | "))
            return
        for action in actions:
            self._route(action)

    def _route(self, action: Action) -> None:
        match action:
            case SetTimer(after_us, timer):
                self._loop.call_later(after_us / 1e6, self.post, TimerFired(timer))
            case Probe(machine):
                self._probe(machine)
            case Subscribe(on):
                self.directory.subscribe(on)
            case FetchList():
                self.directory.subscribe(True)  # a running subscription has already delivered the full list
            case Log(text):
                self._log(text)
            case _:
                if receive_action := self._receivers.get(action.request):
                    receive_action(action)

    def _probe(self, machine: int) -> None:
        sent_at = unix_us()

        def answered(outcome: Outcome, report: tuple[float, ...]) -> None:
            self.post(ProbeAnswered(machine, outcome, max(0, unix_us() - sent_at), report))

        self.site.probe(machine, answered)
