"""What the core needs of the world round it, and the words that pass between them."""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from weldhatch.scheduling.actions import Action
from weldhatch.scheduling.events import Event
from weldhatch.scheduling.types import Outcome, Settings

GIVEN_UP = 16  # the cause of a set-up that is given up, and of a task that came to its end
CUT = 41  # the cause of a task that was cut, or lost with its machine
CALLED_OFF = 31  # the cause of a task that its owner ended or the dispatcher moved


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


# ---- words to a request's coroutine -----------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Answered:
    """A machine holds the task now; the description goes to the owner unchanged."""

    attempt: int
    description: str | None


@dataclass(slots=True, frozen=True)
class Ended:
    """The one end of an attempt, before the answer or after it."""

    attempt: int
    outcome: Outcome
    reason: int = 0
    report: tuple[float, ...] = ()
    cause: int = CUT


@dataclass(slots=True, frozen=True)
class Noted:
    attempt: int
    topic: int
    value: float


@dataclass(slots=True, frozen=True)
class TimeUp:
    attempt: int


@dataclass(slots=True, frozen=True)
class Overdue:
    """The owner's deadline has passed and the module has not decided."""


@dataclass(slots=True, frozen=True)
class GivenUp:
    """The owner no longer waits for its answer."""


@dataclass(slots=True, frozen=True)
class Released:
    """The owner ends a task that stands."""

    cause: int


class LetGo(Enum):
    """What giving an attempt up comes to."""

    WITHDRAWN = "it had not left: nothing ran"
    GIVEN_UP = "it is over, and may have run"
    STILL_OUT = "it goes on until its end is told"


class Teller(Protocol):
    """A request's coroutine, as the parties outside the core see it."""

    def tell(self, word: object) -> None: ...


class Owner(Protocol):
    """The one who asked. Exactly one of placed, refused and failed is called, and only once."""

    def placed(self, description: str | None) -> None: ...

    def refused(self, wait_us: int) -> None: ...

    def failed(self) -> None: ...

    def released(self, cause: int) -> None:
        """A task that stood is over; not called where the owner ended it."""

    def moved(self) -> None: ...


class Site(Protocol):
    """The machines. Every offer gets one `Ended`, unless it is given up first and does not stay out."""

    def offer(
        self, machine: int, task: Task, attempt: int, wait_us: int, teller: Teller, start_by_us: int = 0
    ) -> None:
        """An offer that waits, and has not left by `start_by_us` on the Unix clock, ends as not sent."""

    def adopt(self, machine: int, task: Task, teller: Teller) -> None:
        """The task runs there already; its end is told as that of attempt 0."""

    def give_up(self, machine: int, task: Task) -> LetGo: ...

    def release(self, machine: int, task: Task, cause: int) -> None: ...

    def move(self, machine: int, task: Task) -> None: ...

    def probe(self, machine: int, done: Callable[[Outcome, tuple[float, ...]], None]) -> None: ...


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

    def subscribe(self, on: bool) -> None: ...


class Decider(Protocol):
    """The decision module."""

    def handle(self, now: int, events: list[Event]) -> list[Action]: ...

    def settle(self, settings: Settings) -> None: ...
