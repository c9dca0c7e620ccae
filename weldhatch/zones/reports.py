"""What a member reports of zones to the failover leader, and its encoded form. Pure.

The only module that knows the encoded names. They are those of the first version: members and leaders of two
versions understand each other, and `ZoneReport.from_json` is the only reader.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MAX_PLACES = 100  # that are read of one report
MAX_TENANT_CLASSES = 16  # classes of which rates by tenant are read


class PlaceHealth(str, Enum):
    """What one member concludes about a place."""

    HEALTHY = "fine"
    DEGRADED = "gray"  # some fail, most answer ("gray failure"): the policy's outliers, no reason to leave
    DOWN = "down"
    UNKNOWN = "unsure"


class Isolation(str, Enum):
    """Where a member looks for the fault in itself."""

    NONE = ""
    MEMBER = "cut off"  # no zone answers it
    ZONE = "its zone is cut off"  # its own zone answers, and none of two or more others


class InvalidReportError(ValueError):
    """A report that can't be read."""


@dataclass(slots=True, frozen=True)
class PlaceObservation:
    """One place in a report: its health, and machines that answer, that fail, and that are listed.

    `down_ms`: for how many milliseconds it has looked down; None where it does not.
    """

    health: PlaceHealth
    answering: int = 0
    failing: int = 0
    listed: int = 0
    down_ms: int | None = None

    def to_tree(self) -> list[str | int]:
        """Return the encoded form: a list, the last entry left out where the place is not down."""
        tree: list[str | int] = [self.health.value, self.answering, self.failing, self.listed]
        return tree if self.down_ms is None else [*tree, self.down_ms]

    @classmethod
    def from_tree(cls, tree: Any) -> PlaceObservation:
        """Read the encoded form; a health that this version does not know is UNKNOWN.

        Raises IndexError, TypeError, ValueError or OverflowError for what is none.
        """
        text = str(tree[0])
        counts = [int(one) for one in tree[1:]]
        known = {one.value: one for one in PlaceHealth}
        return cls(known.get(text, PlaceHealth.UNKNOWN), *counts[:4])


@dataclass(slots=True, frozen=True)
class ZoneReport:
    """One member's report. Cores and cores a second; counts of starts are sent, succeeded and failed.

    `isolation` is a text of `Isolation`; any other one comes from another version and counts as none.
    """

    zone: str
    isolation: str
    places: Mapping[str, PlaceObservation] = field(default_factory=dict)
    running_cores: Mapping[str, float] = field(default_factory=dict)  # by zone, of the member's own tasks
    work_rates: Mapping[str, float] = field(default_factory=dict)  # by class
    usable_cores: Mapping[str, float] = field(default_factory=dict)  # by zone
    rejected: int = 0
    tenant_rates: Mapping[str, Mapping[str, float]] | None = None  # by class and tenant; None for no tenants
    starts: Mapping[str, tuple[int, ...]] = field(default_factory=dict)  # by place

    def health(self, place: str) -> PlaceHealth:
        """Return the health of a place; UNKNOWN where the report does not name it."""
        found = self.places.get(place)
        return found.health if found is not None else PlaceHealth.UNKNOWN

    def to_tree(self) -> dict[str, Any]:
        """Return the encoded form, with its keys in the order in which they are written."""
        tree: dict[str, Any] = {
            "zone": self.zone,
            "cut": self.isolation,
            "looks": {place: one.to_tree() for place, one in self.places.items()},
            "stands": dict(self.running_cores),
            "rates": dict(self.work_rates),
            "size": dict(self.usable_cores),
            "refused": self.rejected,
        }
        if self.tenant_rates is not None:
            tree["tenants"] = {name: dict(rates) for name, rates in self.tenant_rates.items()}
        if self.starts:
            tree["starts"] = {place: list(counts) for place, counts in self.starts.items()}
        return tree

    def to_json(self) -> str:
        """Return the text that is sent."""
        return json.dumps(self.to_tree(), separators=(",", ":"))

    @classmethod
    def from_json(cls, text: str) -> ZoneReport:
        """Read a text that was sent. Raises InvalidReportError for what is no report."""
        try:
            return cls.from_tree(json.loads(text))
        except (ValueError, KeyError, TypeError, AttributeError, IndexError, OverflowError) as error:
            raise InvalidReportError(f"a report that can't be read: {error!r}") from None

    @classmethod
    def from_tree(cls, tree: Any) -> ZoneReport:
        """Read the encoded form.

        Raises ValueError, KeyError, TypeError, AttributeError, IndexError or OverflowError for what is none.
        """
        places = list(tree["looks"].items())[:MAX_PLACES]
        return cls(
            zone=str(tree["zone"]),
            isolation=str(tree["cut"]),
            places={str(place): PlaceObservation.from_tree(one) for place, one in places},
            running_cores=_numbers(tree.get("stands", {})),
            work_rates=_numbers(tree.get("rates", {})),
            usable_cores=_numbers(tree.get("size", {})),
            rejected=int(tree.get("refused", 0)),
            tenant_rates={
                str(name): _numbers(rates)
                for name, rates in list(tree.get("tenants", {}).items())[:MAX_TENANT_CLASSES]
            },
            starts={
                str(place): tuple(int(count) for count in counts)[:3]
                for place, counts in tree.get("starts", {}).items()
            },
        )


def _numbers(tree: Mapping[str, Any]) -> dict[str, float]:
    return {str(name): _number(value) for name, value in tree.items()}


def _number(value: Any) -> float:
    """Raise ValueError for what is no finite number: one report would spoil the sums of all."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{number} is no finite number")
    return number
