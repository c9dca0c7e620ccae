"""The front end's interface for hand-offs, and the core's answers to requests that may be forwarded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_CANCELLED
from weldhatch.sites.handoff_source import Answer
from weldhatch.sites.messages import TransferId, Work


class SiteFrontEnd(Protocol):
    """The interface that hand-offs need of the front end whose requests are forwarded."""

    def encode_passed_on(self, task: ports.Task) -> tuple[str, ...]:
        """Return the data that another site's front end needs for a task, as opaque text."""

    def decode_passed_on(
        self, site: str, id: TransferId, work: Work, on_result: Callable[[str], None]
    ) -> tuple[object, object]:
        """Return the label of another site's task, and the data passed with it to a machine.

        `on_result` must be called with the result that the machine reports, before the task's end.

        Raises ValueError if the task can't be decoded.
        """

    def report_result(self, task: ports.Task, result: str) -> None:
        """Receive the result of a task at another site; the task's end is reported afterwards."""

    def why_not_admitted(self, work: Work) -> str:
        """Return why another site's task may not start here; '' if it may."""

    def task_ran(self, work: Work) -> None:
        """Note that a task has run or may have run at another site."""


# ---- events for a request's coroutine ---------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class LocalAnswer:
    """The answer of this site's core. `wait_us`: delay before the owner may retry."""

    answer: Answer
    description: str | None = None
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class LocalEnd:
    """The end of a task that was placed at this site. `migrated`: it migrated to another machine."""

    cause: int
    migrated: bool = False


class LocalOwner:
    """The owner passed to this site's core; turns the core's calls into events for a request's coroutine."""

    def __init__(self, notify: Callable[[object], None]) -> None:
        """Pass the events to `notify`."""
        self._notify = notify

    def placed(self, description: str | None) -> None:
        """Report that a machine has accepted the task."""
        self._notify(LocalAnswer(Answer.PLACED, description))

    def refused(self, wait_us: int) -> None:
        """Report that the core has rejected the request."""
        self._notify(LocalAnswer(Answer.REJECTED, None, wait_us))

    def failed(self) -> None:
        """Report a failure: the task may have run, and may still run."""
        self._notify(LocalAnswer(Answer.FAILED))

    def released(self, cause: int) -> None:
        """Report that the task has ended."""
        self._notify(LocalEnd(cause))

    def moved(self) -> None:
        """Report that the task has ended by a migration."""
        self._notify(LocalEnd(CAUSE_CANCELLED, migrated=True))
