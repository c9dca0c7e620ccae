"""What one dispatcher sees of each zone and rack, from how its own exchanges with machines ended. Pure.

A place is named by its zone ("hall-a") or by zone and rack ("hall-a/3"). One record a listed machine is kept.
Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

# What counts is the last sign of each machine within the shortest span that tells of enough of them. Answers
# and failures count for equally long: a zone that has just gone is not hidden by what answered before, and
# what failed once, and is hardly tried since, does not add up.
SPANS_S = (0.8, 1.6, 4.0)
KEEP_S = 12.0  # a machine that failed is taken to fail for so long, where nothing was heard of it since
LEAST = 3  # machines that must have been heard of before anything is said of a place
DOWN = 0.75  # the share of the heard machines that fail, from which on a place counts as down
GRAY = 0.08
RACKS_MOST = 6  # that a report names: it stays under 1 KB


class Sign(Enum):
    """How one exchange with a machine ended. A refusal for want of room is an answer."""

    ANSWER = "answer"
    REFUSED = "refused"  # no connection: its process is not there
    SILENT = "silent"
    RESET = "reset"
    ERROR = "error"


class Look(Enum):
    FINE = "fine"
    GRAY = "gray"  # some fail, most answer: for the module's own suspects, no reason to leave
    DOWN = "down"
    UNSURE = "unsure"


class Cut(Enum):
    """Where a dispatcher looks for the fault in itself."""

    NO = ""
    SELF = "cut off"  # no zone answers it
    ZONE = "its zone is cut off"  # its own zone answers, and none of two or more others


@dataclass(slots=True)
class Seen:
    """One machine."""

    zone: str
    rack: str
    good: float = float("-inf")
    bad: float = float("-inf")
    sign: Sign = Sign.ANSWER  # of the last failure

    def fails(self, now: float) -> bool:
        return self.bad > self.good and now - self.bad <= KEEP_S


@dataclass(slots=True)
class Counts:
    """Of one place: machines listed, that answer, that fail."""

    listed: int = 0
    one_rack: bool = True  # only one is listed there
    good: int = 0
    failing: int = 0
    failing_racks: set[str] = field(default_factory=set)

    def add(self, seen: Seen) -> None:
        if seen.bad > seen.good:
            self.failing += 1
            self.failing_racks.add(seen.rack)
        else:
            self.good += 1

    @property
    def heard(self) -> int:
        return self.good + self.failing

    @property
    def enough(self) -> bool:
        return self.heard >= min(LEAST, max(1, self.listed))

    @property
    def fails(self) -> bool:
        """Whether nearly all that was heard of lately fails, and in more than one rack: what is true of one
        rack is not taken for its whole zone."""
        return (
            self.enough
            and self.failing >= DOWN * self.heard
            and self.failing >= min(LEAST, self.listed)
            and (len(self.failing_racks) > 1 or self.one_rack)
        )

    def look(self) -> Look:
        if not self.enough:
            return Look.UNSURE
        share = self.failing / self.heard
        # Guards a small place against one stall that meets all of its machines: the module avoids one or two
        # machines by itself, and operators can have the place left.
        if self.fails and self.listed >= LEAST:
            return Look.DOWN
        if share >= DOWN and self.listed >= LEAST:
            return Look.UNSURE
        return Look.GRAY if share >= GRAY else Look.FINE


class Sight:
    """Feed it `listed`, `gone` and `sign`; ask for `counts`."""

    def __init__(self, zones: Iterable[str], own: str) -> None:
        self.zones, self.own = tuple(zones), own
        self.machines: dict[int, Seen] = {}
        self._places: dict[str, Counter[str]] = {zone: Counter() for zone in self.zones}  # racks listed there
        self._heard: dict[int, None] = {}  # machines by their last sign, the newest last
        self._counted: tuple[float, dict[str, Counts]] = (float("-inf"), {})
        self._down: dict[str, float] = {}  # places that look down, and since when

    def extend(self, zones: Iterable[str]) -> None:
        """Other zones may have come at the end."""
        self.zones = tuple(zones)
        for zone in self.zones:
            self._places.setdefault(zone, Counter())

    def listed(self, machine: int, zone: str, rack: str) -> None:
        known = self.machines.get(machine)
        if known is not None and (known.zone, known.rack) == (zone, rack):
            return
        self.gone(machine)
        self.machines[machine] = Seen(zone, rack)
        for place in (zone, rack):
            self._places.setdefault(place, Counter())[rack] += 1

    def gone(self, machine: int) -> None:
        known = self.machines.pop(machine, None)
        self._heard.pop(machine, None)
        if known is not None:
            for place in (known.zone, known.rack):
                self._places[place] -= Counter((known.rack,))

    def one_rack(self, zone: str) -> bool:
        """Whether all machines that are listed there are of one rack."""
        return len(self._places[zone]) < 2

    def sign(self, now: float, machine: int, sign: Sign) -> None:
        seen = self.machines.get(machine)
        if seen is None:
            return
        self._counted = (float("-inf"), {})
        self._heard.pop(machine, None)
        self._heard[machine] = None
        if sign is Sign.ANSWER:
            seen.good = now
        else:
            seen.bad, seen.sign = now, sign

    def excuse(self, since: float) -> None:
        """We were stopped, or held up: what has failed since then tells of us, and not of machines."""
        for machine, seen in self.machines.items():
            if seen.bad >= since:
                seen.bad = float("-inf")
                if seen.good < since:
                    self._heard.pop(machine, None)

    def counts(self, now: float) -> dict[str, Counts]:
        """By place, zones and racks. One walk over the machines heard lately; none if nothing is new."""
        if self._counted[0] == now:
            return self._counted[1]
        spans = [
            {place: Counts(racks.total(), len(racks) < 2) for place, racks in self._places.items()}
            for _ in SPANS_S
        ]
        for machine in reversed(self._heard):
            seen = self.machines[machine]
            age = now - max(seen.good, seen.bad)
            if age > SPANS_S[-1]:
                break
            for out, span in zip(spans, SPANS_S, strict=True):
                if age <= span:
                    out[seen.zone].add(seen)
                    out[seen.rack].add(seen)
        out = {
            place: next((one[place] for one in spans if one[place].enough), last)
            for place, last in spans[-1].items()
        }
        self._counted = now, out
        self._down = {
            place: self._down.get(place, now) for place, one in out.items() if one.look() is Look.DOWN
        }
        return out

    def cut(self, now: float) -> Cut:
        """Whether what it sees tells of itself. Guards the fleet against one that can't reach anybody."""
        counts = self.counts(now)
        down = {zone for zone in self.zones if counts[zone].fails}
        up = {zone for zone in self.zones if counts[zone].look() in (Look.FINE, Look.GRAY)} - down
        if len(down) >= 2 and not up:
            return Cut.SELF
        if len(down) >= 2 and up == {self.own}:
            return Cut.ZONE
        return Cut.NO

    def report(self, now: float, named: Iterable[str] = ()) -> dict:
        """Looks by place, for the leader: all zones, racks that are down, and the racks `named`.

        Each is the look, machines that answer, that fail, that are listed, and where it is down for how many
        milliseconds it has been so.
        """
        counts = self.counts(now)
        racks = [name for name in named if "/" in name and name in counts]
        racks += [
            name
            for name, one in counts.items()
            if "/" in name and name not in racks and one.look() is Look.DOWN
        ]
        out = {}
        for name in [*self.zones, *racks[:RACKS_MOST]]:
            one = counts[name]
            out[name] = [one.look().value, one.good, one.failing, one.listed]
            if (since := self._down.get(name)) is not None:
                out[name].append(int(1000 * (now - since)))
        return {"zone": self.own, "cut": self.cut(now).value, "looks": out}
