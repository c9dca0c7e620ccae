"""Weigh what members report of a place: who is a witness, and when witnesses are enough. Pure."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from weldhatch.zones.reports import Isolation, PlaceHealth, ZoneReport
from weldhatch.zones.state import is_rack, zone_of

UP = (PlaceHealth.HEALTHY, PlaceHealth.DEGRADED)


@dataclass(slots=True, frozen=True)
class ReceivedReport:
    """A member's last report, and when it came. `incarnation` names the run of its process."""

    received_at: float
    incarnation: str
    report: ZoneReport


@dataclass(slots=True, frozen=True)
class Testimony:
    """Names of those who call a place down, who call it up, and who do so from inside. Sorted."""

    down: tuple[str, ...]
    up: tuple[str, ...]
    inside: tuple[str, ...]


class Witnesses:
    """The members' last reports, and what they say together."""

    def __init__(self, fresh_s: float, quorum: int) -> None:
        """Take for how many seconds a report counts, and how many witnesses are needed at least."""
        self.reports: dict[str, ReceivedReport] = {}  # by member
        self.members = 0  # of the group, whether they report or not
        self._fresh_s = fresh_s
        self._quorum = quorum

    def receive(self, now: float, name: str, incarnation: str, report: ZoneReport) -> None:
        """Take a member's report in place of its last one."""
        self.reports[name] = ReceivedReport(now, incarnation, report)

    def set_members(self, names: Collection[str]) -> None:
        """Forget the reports of those who are no members."""
        self.members = len(names)
        for name in [name for name in self.reports if name not in names]:
            del self.reports[name]

    def fresh(self, now: float) -> list[ReceivedReport]:
        """Return the reports that still speak for their members."""
        return [one for one in self.reports.values() if now - one.received_at <= self._fresh_s]

    def testimony(self, now: float, place: str) -> Testimony:
        """Return who says what of a place.

        A member that is cut off itself is no witness; one whose zone is cut off is one for its zone alone.
        """
        down: list[str] = []
        up: list[str] = []
        inside: list[str] = []
        for name, one in self.reports.items():
            if now - one.received_at > self._fresh_s or one.report.isolation == Isolation.MEMBER:
                continue
            health = one.report.health(place)
            if is_rack(place) and health is PlaceHealth.DOWN and one.report.health(zone_of(place)) not in UP:
                continue  # its whole zone may be down: that is another question
            within = one.report.zone == zone_of(place) and not is_rack(place)  # of a rack, all are witnesses
            if self._quorum == 1 or not within:
                if self._quorum > 1 and one.report.isolation == Isolation.ZONE:
                    continue
                if health is PlaceHealth.DOWN:
                    down.append(name)
                elif health in UP:
                    up.append(name)
            elif health in UP:
                inside.append(name)
        return Testimony(tuple(sorted(down)), tuple(sorted(up)), tuple(sorted(inside)))

    def are_enough(
        self, now: float, place: str, witnesses: Collection[str], opposed: Collection[str]
    ) -> bool:
        """Tell whether `witnesses` are enough to believe.

        They are a quorum, a third of all that are heard outside, and two of three of those who say anything.
        Guards against one that is wrong, slow, cut off or lying.
        """
        outside = sum(
            one.report.zone != zone_of(place) or is_rack(place) or self._quorum == 1
            for one in self.fresh(now)
        )
        return (
            len(witnesses) >= self._quorum
            and 3 * len(witnesses) >= outside
            and len(witnesses) >= 2 * len(opposed)
        )

    def are_third_of_members(self, witnesses: Collection[str]) -> bool:
        """Tell whether `witnesses` are a third of all members, of whom some may not have reported yet."""
        return 3 * len(witnesses) >= self.members

    def down_for_s(self, now: float, place: str, down: Collection[str]) -> float:
        """Return for how long a third of all members, a quorum at least, have called a place down.

        Each by its own clock. Guards a new leader against finding out anew what everybody knows, and the
        fleet against one that says it has known for ever.
        """
        received = [self.reports[name] for name in down]
        spans = sorted(
            (now - one.received_at + (one.report.places[place].down_ms or 0) / 1e3 for one in received),
            reverse=True,
        )
        needed = max(self._quorum, -(-self.members // 3))
        return spans[needed - 1] if len(spans) >= needed else 0.0

    def start_counts(self, now: float, place: str) -> dict[str, tuple[int, ...]]:
        """Return the counts of starts there, sent, succeeded and failed, by incarnation."""
        return {one.incarnation: one.report.starts.get(place, (0, 0, 0)) for one in self.fresh(now)}
