"""Computes the free capacity of the other zones when a zone is left, and how much new work is shed. Pure.

Quantities are cores from the members' reports: the usable cores of each zone, and the member's own tasks
there. A shed level counts classes in ascending order of priority weight: 1.3 sheds all new work of the class
with the lowest weight and 30% of the class with the next one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from weldhatch.scheduling.types import RequestClass
from weldhatch.zones.reports import ZoneReport

RESERVE_FRACTION = 0.1  # of the free capacity, kept unused: reports are late and cover few machines
MIN_SHED_FRACTION = 0.02  # nothing is shed for a smaller shortfall
MIN_SHED_LEVEL = 0.05
SHED_LEVEL_STEP = 0.25
SAMPLE_INTERVAL_S = 0.25
PEAK_WINDOW_S = 6.0  # the load of a place is its highest reported value within this window


@dataclass(slots=True, frozen=True)
class CapacityNeed:
    """Cores of the tasks that run in a place, and the free cores of the other zones."""

    carried: float
    free: float

    @property
    def shortfall(self) -> float:
        """The fraction of the carried work, 0 to 1, for which the other zones have no capacity."""
        if self.carried <= 0:
            return 0.0
        return min(1.0, max(0.0, 1.0 - self.free * (1 - RESERVE_FRACTION) / self.carried))


class PeakLoad:
    """The recent peak load of each place.

    The current load cannot be used: once a place fails, its tasks are lost and its load drops to 0.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._samples: dict[str, list[tuple[float, float]]] = {}  # by place: (time, cores), cores descending

    def add_sample(self, now: float, place: str, cores: float) -> None:
        """Record the load of a place; ignored within `SAMPLE_INTERVAL_S` of the last recorded sample."""
        last = self._samples.get(place)
        if last and now - last[-1][0] < SAMPLE_INTERVAL_S:
            return
        larger = [
            sample
            for sample in self._samples.get(place, ())
            if now - sample[0] <= PEAK_WINDOW_S and sample[1] > cores
        ]
        self._samples[place] = [*larger, (now, cores)]

    def peak(self, now: float, place: str) -> float:
        """Return the highest load of a place within `PEAK_WINDOW_S`, in cores."""
        return next((cores for at, cores in self._samples.get(place, ()) if now - at <= PEAK_WINDOW_S), 0.0)


def free_capacity(reports: Iterable[ZoneReport], zones: Iterable[str]) -> tuple[float, float]:
    """Return the free cores and the total cores of the given zones.

    The total is the median of the reported values, so that no single member can inflate it. The cores in use
    are the sum over the members of their own tasks.
    """
    known = list(reports)
    size = 0.0
    used = 0.0
    for zone in zones:
        sizes = [report.usable_cores[zone] for report in known if zone in report.usable_cores]
        if sizes:
            size += max(0.0, median(sizes))
            used += sum(report.running_cores.get(zone, 0.0) for report in known)
    return max(0.0, size - used), size


# ---- shed level ----------------------------------------------------------------------------------------


def by_priority_weight(classes: Iterable[RequestClass]) -> list[str]:
    """Return the class names in the order in which they are shed: lowest priority weight first."""
    return [cls.name for cls in sorted(classes, key=lambda cls: (cls.priority_weight, cls.priority))]


def shed_by_class(level: float, classes: Iterable[RequestClass]) -> dict[str, float]:
    """Return by class the fraction of its new work that is shed at a level."""
    names = by_priority_weight(classes)
    return {
        name: round(min(1.0, level - n), 2) for n, name in enumerate(names) if level - n >= MIN_SHED_LEVEL
    }


def shed_level(shed: Mapping[str, float]) -> float:
    """Return the level for which `shed_by_class` returns these fractions."""
    return sum(shed.values())


def initial_shed_level(
    need: CapacityNeed,
    rates: Mapping[str, float],
    classes: Iterable[RequestClass],
) -> float:
    """Return the shed level at the time when a zone is left.

    The work to shed is the shortfall as a fraction of all new work. `rates`: new work by class.
    """
    excess = need.shortfall * sum(rates.values())
    level = 0.0
    if need.shortfall < MIN_SHED_FRACTION:
        return level
    for name in by_priority_weight(classes):
        rate = rates.get(name, 0.0)
        if excess <= 0:
            break
        level += min(1.0, excess / rate) if rate > 0 else 1.0
        excess -= rate
    return level


def next_shed_level(level: float, free: float, size: float, classes: int) -> float:
    """Return the next shed level: higher if the other zones are nearly full, lower if they have capacity.

    `free` and `size`: free and total cores of the other zones; `classes`: the number of classes.
    """
    if size <= 0:
        return level
    free_fraction = free / size
    if free_fraction < RESERVE_FRACTION / 2:
        return min(float(classes), level + SHED_LEVEL_STEP)
    return max(0.0, level - SHED_LEVEL_STEP) if free_fraction > 2 * RESERVE_FRACTION else level
