"""What one dispatcher observes of each zone and rack, from how its own exchanges with machines ended. Pure.

A place is named by its zone ("zone-a") or by zone and rack ("zone-a/3"). One record is kept for each listed
machine. Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from weldhatch.zones.reports import Isolation, PlaceHealth, PlaceObservation

# What counts is the last result of each machine within the shortest span that shows enough of them. Answers
# and failures count for equally long: a zone that has just failed is not hidden by what answered before, and
# what failed once, and is hardly tried since, does not add up.
SPANS_S = (0.8, 1.6, 4.0)
FAILURE_VALID_S = 12.0  # a machine that failed is taken to fail for so long without a later answer
MIN_MACHINES = 3  # with a result, before anything is concluded about a place
DOWN_PART = 0.75  # of the machines with a result, that fail: from here on a place counts as down
DEGRADED_PART = 0.08
MAX_RACKS = 6  # that a report names: it stays under 1 KB


class ExchangeResult(Enum):
    """How one exchange with a machine ended. A rejection for want of capacity is an answer."""

    ANSWER = "answer"
    REFUSED = "refused"  # no connection: its process is not there
    SILENT = "silent"
    RESET = "reset"
    ERROR = "error"


@dataclass(slots=True)
class MachineRecord:
    """The last results of one machine."""

    zone: str
    rack: str
    answered_at: float = float("-inf")
    failed_at: float = float("-inf")
    last_failure: ExchangeResult = ExchangeResult.ANSWER

    def fails(self, now: float) -> bool:
        """Tell whether the machine is taken to fail."""
        return self.failed_at > self.answered_at and now - self.failed_at <= FAILURE_VALID_S


@dataclass(slots=True)
class PlaceCounts:
    """Machines of one place: those listed, those that answer, and those that fail."""

    listed: int = 0
    single_rack: bool = True  # all that are listed there are of one rack
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
    def is_enough(self) -> bool:
        """Whether so many have a result that anything can be concluded."""
        return self.known >= min(MIN_MACHINES, max(1, self.listed))

    @property
    def fails(self) -> bool:
        """Whether nearly all that have a result fail, and in more than one rack.

        What is true of one rack is not taken for its whole zone.
        """
        return (
            self.is_enough
            and self.failing >= DOWN_PART * self.known
            and self.failing >= min(MIN_MACHINES, self.listed)
            and (len(self.failing_racks) > 1 or self.single_rack)
        )

    def health(self) -> PlaceHealth:
        """Conclude from the counts."""
        if not self.is_enough:
            return PlaceHealth.UNKNOWN
        part = self.failing / self.known
        # Guards a small place against one stall that meets all of its machines: the policy avoids one or two
        # machines by itself, and operators can have the place left.
        if self.fails and self.listed >= MIN_MACHINES:
            return PlaceHealth.DOWN
        if part >= DOWN_PART and self.listed >= MIN_MACHINES:
            return PlaceHealth.UNKNOWN
        return PlaceHealth.DEGRADED if part >= DEGRADED_PART else PlaceHealth.HEALTHY


class Observations:
    """Results of exchanges by machine, and what they say of the places. `zones`: all that are known."""

    def __init__(self, zones: Iterable[str], own: str) -> None:
        """Begin without any result; `own`: the zone of this dispatcher."""
        self.zones = tuple(zones)
        self.own = own
        self.machines: dict[int, MachineRecord] = {}
        self._racks: dict[str, Counter[str]] = {zone: Counter() for zone in self.zones}  # listed, by place
        self._by_result: dict[int, None] = {}  # machines by their last result, the newest last
        self._counted: tuple[float, dict[str, PlaceCounts]] = (float("-inf"), {})
        self._down_since: dict[str, float] = {}  # places that look down

    def set_zones(self, zones: Iterable[str]) -> None:
        """Take the zones of another version of the settings: others may have come at the end."""
        self.zones = tuple(zones)
        for zone in self.zones:
            self._racks.setdefault(zone, Counter())

    def machine_listed(self, machine: int, zone: str, rack: str) -> None:
        """Note a machine of the endpoint list; `rack` is named with its zone. One that moved is a new one."""
        known = self.machines.get(machine)
        if known is not None and (known.zone, known.rack) == (zone, rack):
            return
        self.machine_removed(machine)
        self.machines[machine] = MachineRecord(zone, rack)
        for place in (zone, rack):
            self._racks.setdefault(place, Counter())[rack] += 1

    def machine_removed(self, machine: int) -> None:
        """Forget a machine that is listed no more."""
        known = self.machines.pop(machine, None)
        self._by_result.pop(machine, None)
        if known is not None:
            for place in (known.zone, known.rack):
                self._racks[place] -= Counter((known.rack,))

    def has_single_rack(self, zone: str) -> bool:
        """Tell whether all machines that are listed there are of one rack."""
        return len(self._racks[zone]) < 2

    def add_result(self, now: float, machine: int, result: ExchangeResult) -> None:
        """Note how an exchange with a machine ended; one that is not listed is left out."""
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
        """Strike out what has failed since then: we were stopped, and it says nothing of machines."""
        for machine, record in self.machines.items():
            if record.failed_at >= since:
                record.failed_at = float("-inf")
                if record.answered_at < since:
                    self._by_result.pop(machine, None)

    def counts(self, now: float) -> dict[str, PlaceCounts]:
        """Return the counts by place, zones and racks.

        One walk over the machines with a recent result; none if nothing is new.
        """
        if self._counted[0] == now:
            return self._counted[1]
        by_span = self._counts_by_span(now)
        counts = {
            place: next((one[place] for one in by_span if one[place].is_enough), longest)
            for place, longest in by_span[-1].items()
        }
        self._counted = now, counts
        self._down_since = {
            place: self._down_since.get(place, now)
            for place, one in counts.items()
            if one.health() is PlaceHealth.DOWN
        }
        return counts

    def _counts_by_span(self, now: float) -> list[dict[str, PlaceCounts]]:
        by_span = [
            {place: PlaceCounts(racks.total(), len(racks) < 2) for place, racks in self._racks.items()}
            for _ in SPANS_S
        ]
        for machine in reversed(self._by_result):
            record = self.machines[machine]
            age = now - max(record.answered_at, record.failed_at)
            if age > SPANS_S[-1]:
                break
            for counts, span in zip(by_span, SPANS_S, strict=True):
                if age <= span:
                    counts[record.zone].add(record)
                    counts[record.rack].add(record)
        return by_span

    def isolation(self, now: float) -> Isolation:
        """Tell whether what is observed says more of this dispatcher.

        Guards the fleet against one that can't reach anybody.
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
        if len(down) >= 2 and up == {self.own}:
            return Isolation.ZONE
        return Isolation.NONE

    def by_place(self, now: float, named: Iterable[str] = ()) -> dict[str, PlaceObservation]:
        """Return what a report says: of all zones, the racks `named`, and other racks that are down."""
        counts = self.counts(now)
        racks = [name for name in named if "/" in name and name in counts]
        racks += [
            name
            for name, one in counts.items()
            if "/" in name and name not in racks and one.health() is PlaceHealth.DOWN
        ]
        return {
            name: self._observation(now, name, counts[name]) for name in [*self.zones, *racks[:MAX_RACKS]]
        }

    def _observation(self, now: float, name: str, counts: PlaceCounts) -> PlaceObservation:
        since = self._down_since.get(name)
        down_ms = None if since is None else int(1000 * (now - since))
        return PlaceObservation(counts.health(), counts.answering, counts.failing, counts.listed, down_ms)
