"""The one driver of the policy: batches of events in, actions routed back. No decisions."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable

from weldhatch.core.ports import Decider, Directory, Site
from weldhatch.scheduling.actions import Action, FetchList, Log, Probe, SetTimer, Subscribe
from weldhatch.scheduling.events import Event, ProbeAnswered, TimerFired
from weldhatch.scheduling.types import Settings


def unix_us() -> int:
    return time.time_ns() // 1000


class Driver:
    """Feeds the policy. Events posted while a batch is decided go into the next one: no re-entry."""

    def __init__(self, policy: Decider, log: Callable[[str], None]) -> None:
        self._policy, self._log = policy, log
        self._inbox: list[Event] = []
        self._waiting: list[asyncio.Future] = []
        self._loop = asyncio.get_running_loop()
        self._lives: dict[int, Callable[[Action], None]] = {}
        self._last = 0
        self.watches: list[Callable[[Event], None]] = []  # each hears every event that the module gets
        self.site: Site | None = None
        self.directory: Directory | None = None

    def register(self, decided: Callable[[Action], None]) -> int:
        """A number for a new request, whose actions go to `decided` until it is forgotten."""
        self._last += 1
        self._lives[self._last] = decided
        return self._last

    def rule(self, settings: Settings) -> None:
        """Other settings are in force from the next batch on."""
        self._policy.settle(settings)

    def forget(self, request: int) -> None:
        self._lives.pop(request, None)

    def post(self, *events: Event) -> None:
        self.tell(*events)
        for watch in self.watches:
            for event in events:
                watch(event)

    def tell(self, *events: Event) -> None:
        """As `post`, for what those who watch have worked out themselves."""
        if not self._inbox:
            self._loop.call_soon(self._run)
        self._inbox += events

    def settled(self, *events: Event) -> asyncio.Future:
        """Post the events; done once all posted so far is decided and its actions have been routed."""
        self.post(*events)
        done = self._loop.create_future()
        self._waiting.append(done)
        return done

    def _run(self) -> None:
        events, self._inbox = self._inbox, []
        waiting, self._waiting = self._waiting, []
        self._decide(events)
        for done in waiting:
            if not done.done():
                done.set_result(None)

    def _decide(self, events: list[Event]) -> None:
        try:
            actions = self._policy.handle(unix_us(), events)
        except Exception:
            # One bad batch must not take the standing tasks of everyone down with the process. The
            # requests in it still get their final answer: from the module's timers, or at the deadline.
            self._log("the policy failed on a batch: " + traceback.format_exc().replace("\n", " | "))
            return
        for action in actions:
            self._route(action)

    def _route(self, action: Action) -> None:
        match action:
            case SetTimer(after, timer):
                self._loop.call_later(after / 1e6, self.post, TimerFired(timer))
            case Probe(machine):
                sent = unix_us()
                self.site.probe(
                    machine,
                    lambda outcome, report: self.post(
                        ProbeAnswered(machine, outcome, max(0, unix_us() - sent), report)
                    ),
                )
            case Subscribe(on):
                self.directory.subscribe(on)
            case FetchList():
                self.directory.subscribe(True)  # a subscription has told all there is to tell
            case Log(text):
                self._log(text)
            case _:
                if decided := self._lives.get(action.request):
                    decided(action)
