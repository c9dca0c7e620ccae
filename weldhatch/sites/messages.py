"""What two sites say of one transfer. Each word may be lost, doubled, late or overtaken by a later one."""

from __future__ import annotations

from dataclasses import dataclass

# A transfer's id, unique for ever at the site that lends: its store's epoch, and a serial within that.
TransferId = tuple[int, int]


@dataclass(slots=True, frozen=True)
class Work:
    """One task as it crosses: what the taking site's module and machines need of it.

    `cores` and `memory` in the units of the settings; `effect` is the class's, as in `interface.Effect`.
    """

    class_name: str
    effect: str
    key: int
    service: int
    cores: float
    memory: float
    tenant: str = ""
    names: tuple[str, ...] = ()  # what the front passes on unread
    hops: int = 0  # sites that it has crossed before


# ---- from the lending site to the taking one ---------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Offer:
    """Place it within `left_us` of hearing this. The right to start it goes along until it is returned."""

    id: TransferId
    work: Work
    left_us: int


@dataclass(slots=True, frozen=True)
class Withdraw:
    """Nobody waits for it any more: do not start it, and end it if it stands."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class Release:
    """The owner of a task that stands has ended it, with this cause."""

    id: TransferId
    cause: int


@dataclass(slots=True, frozen=True)
class Close:
    """The last word was heard and written down: it need not be said again."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class LowWatermark:
    """All transfers before this id are over at the lending site: no word of theirs means anything now."""

    id: TransferId


# ---- from the taking site to the lending one ---------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Accepted:
    """It was written down there, and its module decides."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class Placed:
    """It stands; the description is its machine's, unchanged."""

    id: TransferId
    description: str


@dataclass(slots=True, frozen=True)
class Returned:
    """It never started there and never will: the right to start it is the lending site's again."""

    id: TransferId
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class Ended:
    """It is over there. Not `stood`: it may have run, and nobody was told that it stood.

    `result`: what its machine said that the task has come to, as text that crosses unread.
    """

    id: TransferId
    cause: int
    stood: bool
    result: str = ""


ToTarget = Offer | Withdraw | Release | Close | LowWatermark
ToSource = Accepted | Placed | Returned | Ended
