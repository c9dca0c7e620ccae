"""The messages of a hand-off between two sites. Each may be lost, duplicated, delayed or reordered.

The field names are part of the wire format and of stored records, and so are the kind numbers in `frames`: a
field that is renamed here must keep its old name there.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# Id of a transfer, never reused by its source: the epoch of the source's store and a serial within the epoch.
TransferId = tuple[int, int]
# A hand-off record in the store: its kind as text, then its values.
HandoffRecord = tuple[Any, ...]


@dataclass(slots=True, frozen=True)
class Work:
    """A task as sent between sites: the data that the target's module and machines need.

    `cores` and `memory` are in the units of the settings. `effect` is the name of the class's `Effect`.
    """

    class_name: str
    effect: str
    key: int
    service: int
    cores: float
    memory: float
    tenant: str = ""
    names: tuple[str, ...] = ()  # opaque data of the front end
    hops: int = 0  # number of hand-offs so far, including the current one


# ---- from the source to the target ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Offer:
    """Place the task within `left_us` of receipt. Carries the right to start it, until it is returned."""

    id: TransferId
    work: Work
    left_us: int


@dataclass(slots=True, frozen=True)
class Withdraw:
    """Recall the task, whose owner no longer waits: do not start it, and end it if it is placed."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class Release:
    """The owner of a placed task has ended it, with this cause."""

    id: TransferId
    cause: int


@dataclass(slots=True, frozen=True)
class Close:
    """The target's last message on a transfer has been recorded and need not be repeated."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class LowWatermark:
    """All transfers before this id are closed at the source, and late messages about them are void."""

    id: TransferId


# ---- from the target to the source ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Accepted:
    """The target has recorded the offer, and its module decides."""

    id: TransferId


@dataclass(slots=True, frozen=True)
class Placed:
    """A machine has accepted the task; the description is the machine's own."""

    id: TransferId
    description: str


@dataclass(slots=True, frozen=True)
class Returned:
    """The task did not start at the target and never will; the source holds the right to start it again."""

    id: TransferId
    wait_us: int = 0


@dataclass(slots=True, frozen=True)
class Ended:
    """The task has ended at the target.

    `stood`: it was placed before; if false, it may have run, but no placement was reported. `result`: the
    result that its machine reported, as opaque text.
    """

    id: TransferId
    cause: int
    stood: bool
    result: str = ""


ToTarget = Offer | Withdraw | Release | Close | LowWatermark
ToSource = Accepted | Placed | Returned | Ended
