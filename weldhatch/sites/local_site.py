"""What the sites need of the front, and what home's core answers a request that may cross."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from weldhatch.core import ports
from weldhatch.core.messages import CALLED_OFF
from weldhatch.sites.messages import TransferId, Work


class SiteFrontEnd(Protocol):
    """What the sites need of the front whose requests cross."""

    def names_of(self, task: ports.Task) -> tuple[str, ...]:
        """What another site's front needs of a task, as text that crosses unread."""

    def guest(
        self, site: str, id: TransferId, work: Work, came_to: Callable[[str], None]
    ) -> tuple[object, object]:
        """A guest task's label, and what is passed on with it to a machine. ValueError: it can't be read.

        `came_to` is to hear, before its end, what its machine says that it has come to.
        """

    def came_to(self, task: ports.Task, result: str) -> None:
        """What a task that was lent has come to at another site; its end follows."""

    def admits(self, work: Work) -> str:
        """Why a guest task may not start here; '' where it may."""

    def ran(self, work: Work) -> None:
        """A task that was lent has run, or may have, at another site."""


# ---- words to a crossing's coroutine ----------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class LocalAnswer:
    """What home's core answered: placed, refused or failed."""

    answer: str
    description: str | None = None
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class LocalEnd:
    """A task that stood at home is over (`moved`: by a move)."""

    cause: int
    moved: bool = False


class LocalOwner:
    """The core's owner for a task that this site's core decides on: tells the crossing."""

    def __init__(self, tell: Callable[[object], None]) -> None:
        self._tell = tell

    def placed(self, description: str | None) -> None:
        self._tell(LocalAnswer("placed", description))

    def refused(self, wait_us: int) -> None:
        self._tell(LocalAnswer("refused", None, wait_us))

    def failed(self) -> None:
        self._tell(LocalAnswer("failed"))

    def released(self, cause: int) -> None:
        self._tell(LocalEnd(cause))

    def moved(self) -> None:
        self._tell(LocalEnd(CALLED_OFF, moved=True))
