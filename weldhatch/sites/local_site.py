"""What the sites need of the front, and what this site's core answers a request that may cross."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from weldhatch.core import ports
from weldhatch.core.messages import CAUSE_CANCELLED
from weldhatch.sites.handoff_source import Answer
from weldhatch.sites.messages import TransferId, Work


class SiteFrontEnd(Protocol):
    """What the sites need of the front whose requests cross."""

    def encode_passed_on(self, task: ports.Task) -> tuple[str, ...]:
        """Return what another site's front needs of a task, as text that crosses unread."""

    def decode_passed_on(
        self, site: str, id: TransferId, work: Work, on_result: Callable[[str], None]
    ) -> tuple[object, object]:
        """Return the label of another site's task, and what is passed on with it to a machine.

        `on_result` is to be told, before its end, what its machine says that it has come to.

        Raises ValueError where the task can't be read.
        """

    def report_result(self, task: ports.Task, result: str) -> None:
        """Take what a task has come to at another site; its end follows."""

    def why_not_admitted(self, work: Work) -> str:
        """Return why another site's task may not start here; '' where it may."""

    def task_ran(self, work: Work) -> None:
        """Take note that a task has run, or may have, at another site."""


# ---- events of a request's coroutine ----------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class LocalAnswer:
    """What this site's core has answered. `wait_us`: when the owner may come back."""

    answer: Answer
    description: str | None = None
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class LocalEnd:
    """A task that was placed at this site is over; `migrated`: by a migration to another machine."""

    cause: int
    migrated: bool = False


class LocalOwner:
    """The core's owner for a task that this site's core decides on: tells the request's coroutine."""

    def __init__(self, notify: Callable[[object], None]) -> None:
        """Tell `notify` what the core says."""
        self._notify = notify

    def placed(self, description: str | None) -> None:
        """Report that a machine holds the task."""
        self._notify(LocalAnswer(Answer.PLACED, description))

    def refused(self, wait_us: int) -> None:
        """Report that the core has rejected it."""
        self._notify(LocalAnswer(Answer.REJECTED, None, wait_us))

    def failed(self) -> None:
        """Report that it failed: it may have run, and may still."""
        self._notify(LocalAnswer(Answer.FAILED))

    def released(self, cause: int) -> None:
        """Report that it is over."""
        self._notify(LocalEnd(cause))

    def moved(self) -> None:
        """Report that it is over by a migration."""
        self._notify(LocalEnd(CAUSE_CANCELLED, migrated=True))
