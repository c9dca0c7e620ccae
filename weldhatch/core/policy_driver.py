"""The one driver of the policy: batches of events in, actions routed back. No decisions."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable

from weldhatch.core.ports import Decider, Directory, Site
from weldhatch.scheduling.actions import Action, FetchList, Log, Probe, SetTimer, Subscribe
from weldhatch.scheduling.events import Event, ProbeAnswered, TimerFired
from weldhatch.scheduling.types import Outcome, Settings


def unix_us() -> int:
    """The time of the Unix clock in microseconds."""
    return time.time_ns() // 1000


class Driver:
    """Feeds the policy. Events posted while a batch is decided go into the next one: no re-entry.

    `site` and `directory` are set once they are there, before the first event.
    """

    site: Site
    directory: Directory

    def __init__(self, policy: Decider, log: Callable[[str], None]) -> None:
        """Drive this policy from the running event loop."""
        self._policy = policy
        self._log = log
        self._inbox: list[Event] = []
        self._waiting: list[asyncio.Future[None]] = []
        self._loop = asyncio.get_running_loop()
        self._receivers: dict[int, Callable[[Action], None]] = {}  # of the actions for each request
        self._last_request = 0
        self.watchers: list[Callable[[Event], None]] = []  # each gets every event that the policy gets

    def register(self, receive_action: Callable[[Action], None]) -> int:
        """A number for a new request, whose actions go to the callback until it is forgotten."""
        self._last_request += 1
        self._receivers[self._last_request] = receive_action
        return self._last_request

    def reconfigure(self, settings: Settings) -> None:
        """Other settings are in force from the next batch on."""
        self._policy.reconfigure(settings)

    def forget(self, request: int) -> None:
        """Drop actions for this request from now on."""
        self._receivers.pop(request, None)

    def post(self, *events: Event) -> None:
        """Have the events decided in the next batch, and show them to the watchers now."""
        self.post_unwatched(*events)
        for watch in self.watchers:
            for event in events:
                watch(event)

    def post_unwatched(self, *events: Event) -> None:
        """As `post`, for what the watchers have worked out themselves."""
        if not self._inbox:
            self._loop.call_soon(self._run_batch)
        self._inbox += events

    def settled(self, *events: Event) -> asyncio.Future[None]:
        """Post the events; done once all posted so far is decided and its actions have been routed."""
        self.post(*events)
        done: asyncio.Future[None] = self._loop.create_future()
        self._waiting.append(done)
        return done

    def _run_batch(self) -> None:
        events = self._inbox
        waiting = self._waiting
        self._inbox = []
        self._waiting = []
        self._decide(events)
        for done in waiting:
            if not done.done():
                done.set_result(None)

    def _decide(self, events: list[Event]) -> None:
        try:
            actions = self._policy.handle(unix_us(), events)
        except Exception:
            # One bad batch must not take the standing tasks of everyone down with the process. The
            # requests in it still get their final answer: from the policy's timers, or at the deadline.
            self._log("the policy failed on a batch: " + traceback.format_exc().replace("\n", " | "))
            return
        for action in actions:
            self._route(action)

    def _route(self, action: Action) -> None:
        match action:
            case SetTimer(after, timer):
                self._loop.call_later(after / 1e6, self.post, TimerFired(timer))
            case Probe(machine):
                self._probe(machine)
            case Subscribe(on):
                self.directory.subscribe(on)
            case FetchList():
                self.directory.subscribe(True)  # a subscription has told all there is to tell
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
