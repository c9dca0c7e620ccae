"""Interfaces between the core and its environment. The messages between them are in `messages`."""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import Protocol

from weldhatch.core.messages import GiveUpResult
from weldhatch.scheduling.actions import Action
from weldhatch.scheduling.events import Attempt, Event
from weldhatch.scheduling.types import Outcome, Settings


@dataclass(slots=True, frozen=True)
class Task:
    """A task to run. `label` names it to the machine; `passed_on` belongs to the front and is opaque here."""

    label: object
    class_index: int
    service: int
    cores: float
    memory: float
    deadline_us: int
    key: int = 0
    tenant: int = 0
    again: bool = False
    passed_on: object = None
    only: Container[int] | None = None  # machines that may take it; None for all
    uncertain_attempt: Attempt | None = None  # the first attempt of a former run that may have run


class Receiver(Protocol):
    """The message interface of a request's coroutine."""

    def deliver(self, message: object) -> None:
        """Append a message to the queue of the request."""


class Owner(Protocol):
    """The owner of a request: a client, a submitter or another site.

    Exactly one of `placed`, `refused` and `failed` is called, and only once.
    """

    def placed(self, description: str | None) -> None:
        """Final answer: the task is running; the description comes from the machine."""

    def refused(self, wait_us: int) -> None:
        """Final answer: not placed; a retry is safe and should come after `wait_us` at the earliest."""

    def failed(self) -> None:
        """Final answer: not placed, and whether the task has run is unknown."""

    def released(self, cause: int) -> None:
        """The running task has ended; not called if the owner ended it."""

    def moved(self) -> None:
        """The running task is being migrated; the owner should request it again."""


class Site(Protocol):
    """Connections to the machines.

    Every offer gets one `Ended`, except one that was given up before and is not `STILL_OPEN`.
    """

    def offer(
        self, machine: int, task: Task, attempt: int, wait_us: int, receiver: Receiver, start_by_us: int = 0
    ) -> None:
        """Send an offer. If unsent at `start_by_us` (Unix time, 0 for no limit), it ends as NOT_SENT."""

    def adopt(self, machine: int, task: Task, receiver: Receiver) -> None:
        """Follow a task that already runs on the machine; its `Ended` has attempt number 0."""

    def give_up(self, machine: int, task: Task) -> GiveUpResult:
        """Withdraw an open offer, as far as that is still possible."""

    def release(self, machine: int, task: Task, cause: int) -> None:
        """End a running task; its `Ended` is still delivered."""

    def move(self, machine: int, task: Task) -> None:
        """End a running task because it migrates to another machine."""

    def probe(self, machine: int, done: Callable[[Outcome, tuple[float, ...]], None]) -> None:
        """Ask a machine for its load; `done` is called with the outcome and the load report."""


class Rules(Protocol):
    """Rules that a group of dispatchers has agreed on."""

    def retry_after_us(self, task: Task) -> int | None:
        """Return None to admit a request, else the delay in microseconds after which its owner may retry."""

    def start_refusal(self, class_index: int, machine: int, attempt: int = -1) -> str:
        """Return why a task may not be started on the machine now, or '' if it may.

        `attempt` is the number of an attempt that is sent now if allowed, and that uses up start quota; -1
        for a start that was requested before and is still unsent.
        """


class Directory(Protocol):
    """Source of the endpoint list."""

    def subscribe(self, on: bool) -> None:
        """Start or end the subscription to endpoint lists."""


class SchedulingPolicy(Protocol):
    """The interface of the scheduling policy."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle the events of one instant; return the actions to carry out, in order."""
        ...

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings."""
