"""Health of zones and racks as one dispatcher observes it, from the results of its own exchanges. Pure.

A place is a zone ("zone-a") or a rack ("zone-a/3"). One record is kept for each listed machine. Times are
seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from weldhatch.zones.reports import Isolation, PlaceHealth, PlaceObservation

# A place is judged by the last result of each machine within the shortest span that has enough results.
# Answers and failures are valid for the same time: earlier answers do not hide a zone that has just failed,
# and single failures of rarely used machines do not accumulate.
COUNTING_SPANS_S = (0.8, 1.6, 4.0)
FAILURE_VALID_S = 12.0  # a machine counts as failing for this long after a failure without a later answer
MIN_MACHINES = 3  # with a result, before the health of a place is determined
DOWN_FRACTION = 0.75  # a place is down if at least this fraction of the machines with a result fails
DEGRADED_FRACTION = 0.08
MAX_RACKS = 6  # in one report, which keeps it under 1 KB


class ExchangeResult(Enum):
    """The result of one exchange with a machine. A rejection for lack of capacity counts as an answer."""

    ANSWER = "answer"
    REFUSED = "refused"  # connection refused: the process does not run
    SILENT = "silent"  # timed out
    RESET = "reset"
    ERROR = "error"


@dataclass(slots=True)
class MachineRecord:
    """The last answer and the last failure of one machine."""

    zone: str
    rack: str
    answered_at: float = float("-inf")
    failed_at: float = float("-inf")
    last_failure: ExchangeResult = ExchangeResult.ANSWER

    def fails(self, now: float) -> bool:
        """Return whether the machine counts as failing."""
        return self.failed_at > self.answered_at and now - self.failed_at <= FAILURE_VALID_S


@dataclass(slots=True)
class PlaceCounts:
    """Numbers of listed, answering and failing machines of one place."""

    listed: int = 0
    single_rack: bool = True  # all listed machines are in one rack
    answering: int = 0
    failing: int = 0
    failing_racks: set[str] = field(default_factory=set)

    def add(self, record: MachineRecord) -> None:
        """Count one machine by its last result."""
        if record.failed_at > record.answered_at:
            self.failing += 1
            self.failing_racks.add(record.rack)
        else:
            self.answering += 1

    @property
    def known(self) -> int:
        """Machines with a result."""
        return self.answering + self.failing

    @property
    def has_enough_results(self) -> bool:
        """Whether enough machines have a result to determine the health."""
        return self.known >= min(MIN_MACHINES, max(1, self.listed))

    @property
    def fails(self) -> bool:
        """Whether nearly all machines with a result fail, in more than one rack unless there is only one.

        The failure of one rack must not count as a failure of its whole zone.
        """
        return (
            self.has_enough_results
            and self.failing >= DOWN_FRACTION * self.known
            and self.failing >= min(MIN_MACHINES, self.listed)
            and (len(self.failing_racks) > 1 or self.single_rack)
        )

    def health(self) -> PlaceHealth:
        """Return the health that follows from the counts."""
        if not self.has_enough_results:
            return PlaceHealth.UNKNOWN
        failing_fraction = self.failing / self.known
        # A place with fewer machines is never down: a single stall can affect all of them. The policy avoids
        # one or two failing machines without failover, and operators can have the place left.
        if self.fails and self.listed >= MIN_MACHINES:
            return PlaceHealth.DOWN
        if failing_fraction >= DOWN_FRACTION and self.listed >= MIN_MACHINES:
            return PlaceHealth.UNKNOWN
        return PlaceHealth.DEGRADED if failing_fraction >= DEGRADED_FRACTION else PlaceHealth.HEALTHY


class Observations:
    """Results of exchanges by machine, and the health of places. `zones`: all known zones."""

    def __init__(self, zones: Iterable[str], own: str) -> None:
        """Start without any result. `own`: the zone of this dispatcher."""
        self.zones = tuple(zones)
        self.own_zone = own
        self.machines: dict[int, MachineRecord] = {}
        self._racks: dict[str, Counter[str]] = {
            zone: Counter() for zone in self.zones
        }  # listed machines: by place, by rack
        self._by_result: dict[int, None] = {}  # machines by the time of their last result, the newest last
        self._counted: tuple[float, dict[str, PlaceCounts]] = (float("-inf"), {})
        self._down_since: dict[str, float] = {}  # places observed to be down

    def set_zones(self, zones: Iterable[str]) -> None:
        """Set the zones of a new version of the settings, which may have appended zones."""
        self.zones = tuple(zones)
        for zone in self.zones:
            self._racks.setdefault(zone, Counter())

    def machine_listed(self, machine: int, zone: str, rack: str) -> None:
        """Add a machine of the endpoint list. A machine that moved to another rack loses its results.

        `rack`: named as ZONE/RACK.
        """
        known = self.machines.get(machine)
        if known is not None and (known.zone, known.rack) == (zone, rack):
            return
        self.machine_removed(machine)
        self.machines[machine] = MachineRecord(zone, rack)
        for place in (zone, rack):
            self._racks.setdefault(place, Counter())[rack] += 1

    def machine_removed(self, machine: int) -> None:
        """Remove a machine that is no longer listed."""
        known = self.machines.pop(machine, None)
        self._by_result.pop(machine, None)
        if known is not None:
            for place in (known.zone, known.rack):
                self._racks[place] -= Counter((known.rack,))

    def has_single_rack(self, zone: str) -> bool:
        """Return whether all listed machines of a zone are in one rack."""
        return len(self._racks[zone]) < 2

    def add_result(self, now: float, machine: int, result: ExchangeResult) -> None:
        """Record the result of an exchange; results of machines that are not listed are ignored."""
        record = self.machines.get(machine)
        if record is None:
            return
        self._counted = (float("-inf"), {})
        self._by_result.pop(machine, None)
        self._by_result[machine] = None
        if result is ExchangeResult.ANSWER:
            record.answered_at = now
        else:
            record.failed_at = now
            record.last_failure = result

    def discard_failures(self, since: float) -> None:
        """Discard failures from `since` on: they were caused by a stall of this process."""
        for machine, record in self.machines.items():
            if record.failed_at >= since:
                record.failed_at = float("-inf")
                if record.answered_at < since:
                    self._by_result.pop(machine, None)

    def counts(self, now: float) -> dict[str, PlaceCounts]:
        """Return the counts by place, for zones and racks.

        Iterates once over the machines with a recent result. The counts are cached for calls with the same
        `now` until a result is added.
        """
        if self._counted[0] == now:
            return self._counted[1]
        by_span = self._counts_by_span(now)
        counts = {
            place: next((in_span[place] for in_span in by_span if in_span[place].has_enough_results), longest)
            for place, longest in by_span[-1].items()
        }
        self._counted = now, counts
        self._down_since = {
            place: self._down_since.get(place, now)
            for place, place_counts in counts.items()
            if place_counts.health() is PlaceHealth.DOWN
        }
        return counts

    def _counts_by_span(self, now: float) -> list[dict[str, PlaceCounts]]:
        by_span = [
            {place: PlaceCounts(racks.total(), len(racks) < 2) for place, racks in self._racks.items()}
            for _ in COUNTING_SPANS_S
        ]
        for machine in reversed(self._by_result):
            record = self.machines[machine]
            age = now - max(record.answered_at, record.failed_at)
            if age > COUNTING_SPANS_S[-1]:
                break
            for counts, span in zip(by_span, COUNTING_SPANS_S, strict=True):
                if age <= span:
                    counts[record.zone].add(record)
                    counts[record.rack].add(record)
        return by_span

    def isolation(self, now: float) -> Isolation:
        """Return whether this dispatcher, or its zone, is cut off according to the observed failures.

        Prevents a dispatcher that cannot reach any zone from reporting all of them down.
        """
        counts = self.counts(now)
        down = {zone for zone in self.zones if counts[zone].fails}
        up = {
            zone
            for zone in self.zones
            if counts[zone].health() in (PlaceHealth.HEALTHY, PlaceHealth.DEGRADED)
        } - down
        if len(down) >= 2 and not up:
            return Isolation.MEMBER
        if len(down) >= 2 and up == {self.own_zone}:
            return Isolation.ZONE
        return Isolation.NONE

    def by_place(self, now: float, named: Iterable[str] = ()) -> dict[str, PlaceObservation]:
        """Return the observations for a report: all zones, the racks in `named`, and other down racks."""
        counts = self.counts(now)
        racks = [name for name in named if "/" in name and name in counts]
        racks += [
            name
            for name, place_counts in counts.items()
            if "/" in name and name not in racks and place_counts.health() is PlaceHealth.DOWN
        ]
        return {
            name: self._observation(now, name, counts[name]) for name in [*self.zones, *racks[:MAX_RACKS]]
        }

    def _observation(self, now: float, name: str, counts: PlaceCounts) -> PlaceObservation:
        since = self._down_since.get(name)
        down_ms = None if since is None else int(1000 * (now - since))
        return PlaceObservation(counts.health(), counts.answering, counts.failing, counts.listed, down_ms)
