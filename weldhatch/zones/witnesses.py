"""Evaluates the members' reports on a place: who is a witness, and how many are sufficient. Pure."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from weldhatch.zones.reports import Isolation, PlaceHealth, ZoneReport
from weldhatch.zones.state import is_rack, zone_of

UP_HEALTHS = (PlaceHealth.HEALTHY, PlaceHealth.DEGRADED)


@dataclass(slots=True, frozen=True)
class ReceivedReport:
    """A member's last report and its time of receipt. `incarnation` identifies the run of its process."""

    received_at: float
    incarnation: str
    report: ZoneReport


@dataclass(slots=True, frozen=True)
class WitnessGroups:
    """Sorted names of the members that report a place down, that report it up, and that do so from inside."""

    down: tuple[str, ...]
    up: tuple[str, ...]
    inside: tuple[str, ...]


class Witnesses:
    """The members' last reports, and conclusions from all of them."""

    def __init__(self, fresh_s: float, quorum: int) -> None:
        """`fresh_s`: validity of a report in seconds; `quorum`: minimum number of witnesses."""
        self.reports: dict[str, ReceivedReport] = {}  # by member
        self.members = 0  # of the group, with or without a report
        self._fresh_s = fresh_s
        self._quorum = quorum

    def receive_report(self, now: float, name: str, incarnation: str, report: ZoneReport) -> None:
        """Replace a member's last report."""
        self.reports[name] = ReceivedReport(now, incarnation, report)

    def set_members(self, names: Collection[str]) -> None:
        """Set the members of the group, and discard the reports of others."""
        self.members = len(names)
        for name in [name for name in self.reports if name not in names]:
            del self.reports[name]

    def fresh_reports(self, now: float) -> list[ReceivedReport]:
        """Return the reports that are still valid."""
        return [received for received in self.reports.values() if now - received.received_at <= self._fresh_s]

    def witness_groups(self, now: float, place: str) -> WitnessGroups:
        """Return which members report a place down, up, or up from inside.

        A member that is cut off itself is ignored. A member whose zone is cut off counts only for its zone.
        """
        down: list[str] = []
        up: list[str] = []
        inside: list[str] = []
        for name, received in self.reports.items():
            if now - received.received_at > self._fresh_s or received.report.isolation == Isolation.MEMBER:
                continue
            health = received.report.health(place)
            if (
                is_rack(place)
                and health is PlaceHealth.DOWN
                and received.report.health(zone_of(place)) not in UP_HEALTHS
            ):
                continue  # the whole zone may be down, which is decided separately
            # Members in a zone only count as inside. For a rack, all members are witnesses.
            is_inside = received.report.zone == zone_of(place) and not is_rack(place)
            if self._quorum == 1 or not is_inside:
                if self._quorum > 1 and received.report.isolation == Isolation.ZONE:
                    continue
                if health is PlaceHealth.DOWN:
                    down.append(name)
                elif health in UP_HEALTHS:
                    up.append(name)
            elif health in UP_HEALTHS:
                inside.append(name)
        return WitnessGroups(tuple(sorted(down)), tuple(sorted(up)), tuple(sorted(inside)))

    def are_enough(
        self, now: float, place: str, witnesses: Collection[str], opposed: Collection[str]
    ) -> bool:
        """Return whether `witnesses` are sufficient for a decision.

        They must be a quorum, at least a third of all reporting members outside the place, and at least twice
        as many as `opposed`. This tolerates single members that are wrong, slow, cut off or lying.
        """
        outside = sum(
            received.report.zone != zone_of(place) or is_rack(place) or self._quorum == 1
            for received in self.fresh_reports(now)
        )
        return (
            len(witnesses) >= self._quorum
            and 3 * len(witnesses) >= outside
            and len(witnesses) >= 2 * len(opposed)
        )

    def are_third_of_members(self, witnesses: Collection[str]) -> bool:
        """Return whether `witnesses` are a third of all members, including those without a report."""
        return 3 * len(witnesses) >= self.members

    def down_for_s(self, now: float, place: str, down: Collection[str]) -> float:
        """Return for how long a third of all members, and at least a quorum, have reported a place down.

        Durations are measured by the members' own clocks. A new leader thus need not wait for a confirmation
        that the members have already observed, and a single member that reports a long duration has no
        effect.
        """
        received = [self.reports[name] for name in down]
        spans = sorted(
            (now - last.received_at + (last.report.places[place].down_ms or 0) / 1e3 for last in received),
            reverse=True,
        )
        needed = max(self._quorum, -(-self.members // 3))
        return spans[needed - 1] if len(spans) >= needed else 0.0

    def start_counts(self, now: float, place: str) -> dict[str, tuple[int, ...]]:
        """Return by incarnation the numbers of starts in a place: sent, succeeded and failed."""
        return {
            received.incarnation: received.report.starts.get(place, (0, 0, 0))
            for received in self.fresh_reports(now)
        }
