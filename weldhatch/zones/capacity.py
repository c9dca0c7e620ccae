"""What the rest can bear when a zone is left, and what has to be turned away so that it does. Pure.

Figures are cores, from dispatchers' reports: the size of each zone as they see it, and their own tasks there.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from weldhatch.scheduling import types as i

SPARE = 0.1  # the part of the free room that is not counted on: it is told late, and from a few machines
SHED_LEAST = 0.02  # less is not worth turning anybody away for
LEVEL_LEAST, LEVEL_STEP = 0.05, 0.25
SAMPLE_S = 0.25
CARRIED_S = 6.0  # a zone is taken to carry the most that it was told to within so long


@dataclass(slots=True, frozen=True)
class Need:
    """`carried`: cores of the tasks that a place holds; `free`: what the rest has for them."""

    carried: float
    free: float

    @property
    def short(self) -> float:
        """The part of the carried work for which the rest has no room."""
        if self.carried <= 0:
            return 0.0
        return min(1.0, max(0.0, 1.0 - self.free * (1 - SPARE) / self.carried))


class Carried:
    """The most that each place was told to carry lately: after it fails its tasks are lost, and it holds
    nothing."""

    def __init__(self) -> None:
        self._told: dict[str, list[tuple[float, float]]] = {}

    def hear(self, now: float, place: str, cores: float) -> None:
        if (last := self._told.get(place)) and now - last[-1][0] < SAMPLE_S:
            return
        told = [one for one in self._told.get(place, ()) if now - one[0] <= CARRIED_S and one[1] > cores]
        self._told[place] = [*told, (now, cores)]  # falling: the first is the most

    def most(self, now: float, place: str) -> float:
        return next((cores for at, cores in self._told.get(place, ()) if now - at <= CARRIED_S), 0.0)


def free_in(reports: Iterable[Mapping], zones: Iterable[str]) -> tuple[float, float]:
    """Cores of those zones that are free, and all of them. The size is the median of what is told, so
    that one can't lie it up; what is taken is the sum of their own tasks."""
    told = list(reports)
    size = taken = 0.0
    for zone in zones:
        values = [one["size"][zone] for one in told if zone in one.get("size", {})]
        if values:
            size += max(0.0, median(values))
            taken += sum(one.get("stands", {}).get(zone, 0.0) for one in told)
    return max(0.0, size - taken), size


# ---- what is turned away --------------------------------------------------------------------------------


def by_worth(classes: Iterable[i.RequestClass]) -> list[str]:
    """The least worth first: those go first where not all can be borne."""
    return [cls.name for cls in sorted(classes, key=lambda cls: (cls.worth, cls.priority))]


def shed_of(level: float, classes: Iterable[i.RequestClass]) -> dict[str, float]:
    """By class, the part of its new work to turn away. Level 1.3: all of the least worth, 30% of the next."""
    names = by_worth(classes)
    return {name: round(min(1.0, level - n), 2) for n, name in enumerate(names) if level - n >= LEVEL_LEAST}


def level_of(shed: Mapping[str, float]) -> float:
    return sum(shed.values())


def first_level(need: Need, rates: Mapping[str, float], classes: Iterable[i.RequestClass]) -> float:
    """Where a zone is left: what the rest can't bear of what it carried, as a part of all new work."""
    over, level = need.short * sum(rates.values()), 0.0
    if need.short < SHED_LEAST:
        return 0.0
    for name in by_worth(classes):
        rate = rates.get(name, 0.0)
        if over <= 0:
            break
        level += min(1.0, over / rate) if rate > 0 else 1.0
        over -= rate
    return level


def next_level(level: float, free: float, size: float, classes: int) -> float:
    """While it is left: more where the rest fills up, less where it has room again."""
    if size <= 0:
        return level
    part = free / size
    if part < SPARE / 2:
        return min(float(classes), level + LEVEL_STEP)
    return max(0.0, level - LEVEL_STEP) if part > 2 * SPARE else level
