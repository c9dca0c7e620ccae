"""Messages to the coroutine of one request, from machines, owners and timers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from weldhatch.scheduling.types import Outcome

# Causes of the end of a task, as numbers in the platform's protocol.
CAUSE_FINISHED = 16  # the task finished, or the request was given up
CAUSE_CANCELLED = 31  # the owner ended the task, or the dispatcher migrated it
CAUSE_LOST = 41  # the task was interrupted, or lost with its machine


@dataclass(slots=True, frozen=True)
class Answered:
    """A machine has taken the task; the description is forwarded to the owner unchanged."""

    attempt: int
    description: str | None


@dataclass(slots=True, frozen=True)
class Ended:
    """The outcome of an attempt, delivered once, before or after its answer."""

    attempt: int
    outcome: Outcome
    reason: int = 0
    report: tuple[float, ...] = ()
    cause: int = CAUSE_LOST


@dataclass(slots=True, frozen=True)
class Noted:
    """A value that a machine reports about a running task; `topic` is a `types.Topic` or unknown."""

    attempt: int
    topic: int
    value: float


@dataclass(slots=True, frozen=True)
class AttemptTimedOut:
    """The time-out of an attempt has passed."""

    attempt: int


@dataclass(slots=True, frozen=True)
class DeadlinePassed:
    """The owner's deadline has passed without a final answer."""


@dataclass(slots=True, frozen=True)
class GivenUp:
    """The owner no longer waits for the answer."""


@dataclass(slots=True, frozen=True)
class Released:
    """The owner ends its running task."""

    cause: int


class GiveUpResult(Enum):
    """Result of giving up an attempt."""

    WITHDRAWN = "not sent: the task did not run"
    GIVEN_UP = "ended: the task may have run"
    STILL_OPEN = "still open until its outcome is reported"
