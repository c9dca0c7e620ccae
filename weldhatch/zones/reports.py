"""Zone reports of members to the failover leader, and their encoding. Pure.

Only this module knows the encoded names, and `ZoneReport.from_json` is the only reader. The names are those
of the first version, so that members and leaders of different versions understand each other.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MAX_PLACES = 100  # read from one report
MAX_TENANT_CLASSES = 16  # classes with rates by tenant, read from one report


class PlaceHealth(str, Enum):
    """The health of a place as one member observes it."""

    HEALTHY = "fine"
    DEGRADED = "gray"  # "gray failure": the policy ejects the failing machines, the place is not left
    DOWN = "down"
    UNKNOWN = "unsure"


class Isolation(str, Enum):
    """Whether a member attributes observed failures to itself or its zone."""

    NONE = ""
    MEMBER = "cut off"  # it gets no answer from any zone
    ZONE = "its zone is cut off"  # its own zone answers, but none of two or more others


class InvalidReportError(ValueError):
    """A zone report that cannot be decoded."""


@dataclass(slots=True, frozen=True)
class PlaceObservation:
    """One place in a report: its health and its numbers of answering, failing and listed machines.

    `down_ms`: for how many milliseconds the place has been observed down; None if it is not.
    """

    health: PlaceHealth
    answering: int = 0
    failing: int = 0
    listed: int = 0
    down_ms: int | None = None

    def to_tree(self) -> list[str | int]:
        """Return the encoded form: a list, without the last entry if the place is not down."""
        tree: list[str | int] = [self.health.value, self.answering, self.failing, self.listed]
        return tree if self.down_ms is None else [*tree, self.down_ms]

    @classmethod
    def from_tree(cls, tree: Any) -> PlaceObservation:
        """Read the encoded form; a health value that this version does not know becomes UNKNOWN.

        Raises IndexError, TypeError, ValueError or OverflowError if the tree is malformed.
        """
        text = str(tree[0])
        counts = [int(count) for count in tree[1:]]
        known = {health.value: health for health in PlaceHealth}
        return cls(known.get(text, PlaceHealth.UNKNOWN), *counts[:4])


@dataclass(slots=True, frozen=True)
class ZoneReport:
    """One member's report. Loads are in cores, rates in cores per second.

    `isolation` is a value of `Isolation`; a value unknown to this version counts as NONE.
    """

    zone: str
    isolation: str
    places: Mapping[str, PlaceObservation] = field(default_factory=dict)
    running_cores: Mapping[str, float] = field(default_factory=dict)  # by zone, of the member's own tasks
    work_rates: Mapping[str, float] = field(default_factory=dict)  # by class
    usable_cores: Mapping[str, float] = field(default_factory=dict)  # by zone
    rejected: int = 0
    tenant_rates: Mapping[str, Mapping[str, float]] | None = None  # by class and tenant; None without tenants
    starts: Mapping[str, tuple[int, ...]] = field(default_factory=dict)  # by place: sent, succeeded, failed

    def health(self, place: str) -> PlaceHealth:
        """Return the health of a place; UNKNOWN if the report does not contain it."""
        observation = self.places.get(place)
        return observation.health if observation is not None else PlaceHealth.UNKNOWN

    def to_tree(self) -> dict[str, Any]:
        """Return the encoded form, with the keys in the order in which they are written."""
        tree: dict[str, Any] = {
            "zone": self.zone,
            "cut": self.isolation,
            "looks": {place: observation.to_tree() for place, observation in self.places.items()},
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
        """Return the report as JSON text, as it is sent."""
        return json.dumps(self.to_tree(), separators=(",", ":"))

    @classmethod
    def from_json(cls, text: str) -> ZoneReport:
        """Read a received JSON text. Raises InvalidReportError if it is not a valid report."""
        try:
            return cls.from_tree(json.loads(text))
        except (ValueError, KeyError, TypeError, AttributeError, IndexError, OverflowError) as error:
            raise InvalidReportError(f"invalid zone report: {error!r}") from None

    @classmethod
    def from_tree(cls, tree: Any) -> ZoneReport:
        """Read the encoded form.

        Raises ValueError, KeyError, TypeError, AttributeError, IndexError or OverflowError if it is
        malformed.
        """
        places = list(tree["looks"].items())[:MAX_PLACES]
        return cls(
            zone=str(tree["zone"]),
            isolation=str(tree["cut"]),
            places={str(place): PlaceObservation.from_tree(observation) for place, observation in places},
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
    """Return a number, or raise ValueError if it is not finite: it would corrupt sums over all reports."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{number} is not a finite number")
    return number
