"""What the core needs of the world round it. The messages that pass between them are in `messages`."""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import Protocol

from weldhatch.core.messages import GiveUpResult
from weldhatch.scheduling.actions import Action
from weldhatch.scheduling.events import Event
from weldhatch.scheduling.types import Outcome, Settings


@dataclass(slots=True, frozen=True)
class Task:
    """What is asked. `label` names it to the machine; `passed_on` is the front's own, unread here."""

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
    only: Container[int] | None = None  # the machines that it may go to; None for all


class Receiver(Protocol):
    """A request's coroutine, as the parties outside the core see it."""

    def deliver(self, message: object) -> None:
        """Add a message to those that the request receives in turn."""


class Owner(Protocol):
    """Who asked: a client, a submitter or another site.

    Exactly one of placed, refused and failed is called, and only once.
    """

    def placed(self, description: str | None) -> None:
        """Final answer: the task stands; the description is the machine's own."""

    def refused(self, wait_us: int) -> None:
        """Final answer: not placed, a retry is harmless, after this time at the earliest."""

    def failed(self) -> None:
        """Final answer: not placed, with no promise about its effect."""

    def released(self, cause: int) -> None:
        """A task that stood is over; not called where the owner ended it."""

    def moved(self) -> None:
        """The task that stood is to be placed anew: the owner should ask again."""


class Site(Protocol):
    """The machines. Every offer gets one `Ended`, unless it is given up first and does not stay out."""

    def offer(
        self, machine: int, task: Task, attempt: int, wait_us: int, receiver: Receiver, start_by_us: int = 0
    ) -> None:
        """An offer that waits, and has not left by `start_by_us` on the Unix clock, ends as not sent."""

    def adopt(self, machine: int, task: Task, receiver: Receiver) -> None:
        """The task runs there already; its end is told as that of attempt 0."""

    def give_up(self, machine: int, task: Task) -> GiveUpResult:
        """Take an open offer back, as far as that still goes."""

    def release(self, machine: int, task: Task, cause: int) -> None:
        """Have a standing task ended; its end is still delivered."""

    def move(self, machine: int, task: Task) -> None:
        """Have a standing task ended because it is to run elsewhere."""

    def probe(self, machine: int, done: Callable[[Outcome, tuple[float, ...]], None]) -> None:
        """Ask a machine for its load; `done` gets the outcome and the load report."""


class Rules(Protocol):
    """What a group of dispatchers has agreed on, where there is one."""

    def away_us(self, task: Task) -> int | None:
        """None where a request may be taken up; else how long its owner should stay away."""

    def stops(self, class_index: int, machine: int, attempt: int = -1) -> str:
        """Why a start may not leave for that machine at this moment; '' where it may.

        `attempt`: the number of an attempt that goes out now if it may, and spends what it needs; -1 for one
        that was asked for before.
        """


class Directory(Protocol):
    """Where the list of machines comes from."""

    def subscribe(self, on: bool) -> None:
        """Start the subscription to lists, or end it."""


class Decider(Protocol):
    """The decision module."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one instant; return the actions to carry out, in order."""
        ...

    def reconfigure(self, settings: Settings) -> None:
        """Decide by these settings from now on."""
