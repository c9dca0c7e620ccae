"""The messages of a hand-off between two sites. Each may be lost, doubled, late or overtaken by a later one.

They cross under the names of their fields, and under the numbers of their kinds in `frames`: a field that is
renamed here needs its old name there.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# A transfer's id, unique for ever at its source: the epoch of the source's store, and a serial within that.
TransferId = tuple[int, int]
# A record of a hand-off in the store: the text that says its kind, then its values.
HandoffRecord = tuple[Any, ...]


@dataclass(slots=True, frozen=True)
class Work:
    """One task as it crosses: what the target's module and machines need of it.

    `cores` and `memory` in the units of the settings; `effect` is the name of the class's `Effect`.
    """

    class_name: str
    effect: str
    key: int
    service: int
    cores: float
    memory: float
    tenant: str = ""
    names: tuple[str, ...] = ()  # what the front passes on, unread here
    hops: int = 0  # sites that it has crossed before


# ---- from the source to the target -------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Offer:
    """Place it within `left_us` of receiving this. The right to start it goes along until it is returned."""

    id: TransferId
    work: Work
    left_us: int


@dataclass(slots=True, frozen=True)
class Withdraw:
    """Nobody waits for it any more: do not start it, and end it if it stands."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class Release:
    """The owner of a task that was placed has ended it, with this cause."""

    id: TransferId
    cause: int


@dataclass(slots=True, frozen=True)
class Close:
    """The last message was received and written down: it need not be sent again."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class LowWatermark:
    """All transfers before this id are over at the source: no message of theirs means anything now."""

    id: TransferId


# ---- from the target to the source -------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Accepted:
    """The offer was written down there, and its module decides."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class Placed:
    """A machine holds it; the description is that machine's, unchanged."""

    id: TransferId
    description: str


@dataclass(slots=True, frozen=True)
class Returned:
    """It never started there and never will: the right to start it is the source's again."""

    id: TransferId
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class Ended:
    """It is over there. Not `stood`: it may have run, and nobody was notified that it was placed.

    `result`: what its machine said that the task has come to, as text that crosses unread.
    """

    id: TransferId
    cause: int
    stood: bool
    result: str = ""


ToTarget = Offer | Withdraw | Release | Close | LowWatermark
ToSource = Accepted | Placed | Returned | Ended
