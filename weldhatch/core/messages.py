"""Messages to the coroutine of one request, from machines, owners and timers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from weldhatch.scheduling.types import Outcome

# Causes of an end, as numbers on the platform's wire.
GIVEN_UP = 16  # of a request that is given up, and of a task that came to its end
CALLED_OFF = 31  # of a task that its owner ended or the dispatcher migrated
CUT = 41  # of a task that was cut off, or lost with its machine


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
    """The machine notes something on a running task; `topic` is one of `types.Topic`, or unknown."""

    attempt: int
    topic: int
    value: float


@dataclass(slots=True, frozen=True)
class TimeUp:
    """The wait for an attempt's answer is over."""

    attempt: int


@dataclass(slots=True, frozen=True)
class Overdue:
    """The owner's deadline has passed and the policy has not decided."""


@dataclass(slots=True, frozen=True)
class GivenUp:
    """The owner no longer waits for its answer."""


@dataclass(slots=True, frozen=True)
class Released:
    """The owner ends a task that stands."""

    cause: int


class GiveUpResult(Enum):
    """What giving an attempt up comes to."""

    WITHDRAWN = "it had not left: nothing ran"
    GIVEN_UP = "it is over, and may have run"
    STILL_OUT = "it goes on until its end is told"
