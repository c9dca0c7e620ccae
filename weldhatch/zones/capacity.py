"""Decide what the other zones can take when a zone is left, and how much new work is shed for that. Pure.

Figures are cores, from the members' reports: the size of each zone as they see it, and their own tasks there.
A shed level counts classes by their priority weight: 1.3 is all of the least, and 30% of the next.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from weldhatch.scheduling.types import RequestClass
from weldhatch.zones.reports import ZoneReport

RESERVE = 0.1  # the part of the free capacity not counted on: reported late, and by a few machines
MIN_SHED = 0.02  # a smaller shortfall is not worth rejecting anybody for
MIN_LEVEL = 0.05
LEVEL_STEP = 0.25
SAMPLE_S = 0.25
PEAK_S = 6.0  # a zone is taken to carry the most that was reported within so long


@dataclass(slots=True, frozen=True)
class CapacityNeed:
    """Cores of the tasks that a place carries, and the cores that the other zones have free for them."""

    carried: float
    free: float

    @property
    def shortfall(self) -> float:
        """The part of the carried work, 0 to 1, for which the other zones have no capacity."""
        if self.carried <= 0:
            return 0.0
        return min(1.0, max(0.0, 1.0 - self.free * (1 - RESERVE) / self.carried))


class PeakLoad:
    """The most that each place carried lately: once it fails its tasks are lost, and it carries nothing."""

    def __init__(self) -> None:
        """Begin without any sample."""
        self._samples: dict[str, list[tuple[float, float]]] = {}  # falling: the first is the peak

    def add_sample(self, now: float, place: str, cores: float) -> None:
        """Take what a place carries now; more often than each `SAMPLE_S` it is left out."""
        last = self._samples.get(place)
        if last and now - last[-1][0] < SAMPLE_S:
            return
        larger = [one for one in self._samples.get(place, ()) if now - one[0] <= PEAK_S and one[1] > cores]
        self._samples[place] = [*larger, (now, cores)]

    def peak(self, now: float, place: str) -> float:
        """Return the most cores that a place carried within `PEAK_S`."""
        return next((cores for at, cores in self._samples.get(place, ()) if now - at <= PEAK_S), 0.0)


def free_capacity(reports: Iterable[ZoneReport], zones: Iterable[str]) -> tuple[float, float]:
    """Return the free cores of those zones, and all of their cores.

    The size is the median of what is reported, so that no single member can inflate it; what is in use is the
    sum of their own tasks.
    """
    known = list(reports)
    size = 0.0
    used = 0.0
    for zone in zones:
        sizes = [one.usable_cores[zone] for one in known if zone in one.usable_cores]
        if sizes:
            size += max(0.0, median(sizes))
            used += sum(one.running_cores.get(zone, 0.0) for one in known)
    return max(0.0, size - used), size


# ---- how much is shed -----------------------------------------------------------------------------------


def by_priority_weight(classes: Iterable[RequestClass]) -> list[str]:
    """Return class names, the least weight first: those are shed first."""
    return [cls.name for cls in sorted(classes, key=lambda cls: (cls.priority_weight, cls.priority))]


def shed_by_class(level: float, classes: Iterable[RequestClass]) -> dict[str, float]:
    """Return by class the part of its new work to shed at a level."""
    names = by_priority_weight(classes)
    return {name: round(min(1.0, level - n), 2) for n, name in enumerate(names) if level - n >= MIN_LEVEL}


def shed_level(shed: Mapping[str, float]) -> float:
    """Return the level that `shed_by_class` made these parts of."""
    return sum(shed.values())


def initial_shed_level(
    need: CapacityNeed,
    rates: Mapping[str, float],
    classes: Iterable[RequestClass],
) -> float:
    """Return the level at which a zone is left: its shortfall, as a part of all new work by `rates`."""
    excess = need.shortfall * sum(rates.values())
    level = 0.0
    if need.shortfall < MIN_SHED:
        return level
    for name in by_priority_weight(classes):
        rate = rates.get(name, 0.0)
        if excess <= 0:
            break
        level += min(1.0, excess / rate) if rate > 0 else 1.0
        excess -= rate
    return level


def next_shed_level(level: float, free: float, size: float, classes: int) -> float:
    """Return the next level: more where the other zones fill up, less where they have capacity."""
    if size <= 0:
        return level
    part = free / size
    if part < RESERVE / 2:
        return min(float(classes), level + LEVEL_STEP)
    return max(0.0, level - LEVEL_STEP) if part > 2 * RESERVE else level
