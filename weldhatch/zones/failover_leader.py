"""The leader's part: witnesses weighed, changes of zones proposed, shares of a return handed out. Pure.

What it remembers is of this leader alone; what has been decided is the group's. A new leader begins its spans
anew: a place stays left, or at its step, a little longer, and never shorter.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from weldhatch.scheduling import types as i
from weldhatch.zones import capacity, load_shedding
from weldhatch.zones.observations import Cut, Look
from weldhatch.zones.start_quota import Ledger, Share
from weldhatch.zones.state import AWAY, OPERATOR, STEPS, Phase, Place, Zones

TROUBLE, TROUBLE_LEAST = 0.2, 4  # the part of starts that go wrong, and how many, for a step back
TIMELINE_MOST = 2_000

Seen = tuple[list[str], list[str], list[str]]  # who calls a place down, up, and up from inside


@dataclass(slots=True, frozen=True)
class Times:
    """Seconds. `quorum`: witnesses without whom no place is left (1 only where there is nobody else)."""

    fresh: float = 1.0  # a report speaks for its dispatcher for so long
    confirm: float = 0.25  # a suspicion stands for so long before a place is left
    calm: float = 1.0  # or falls after so long without a quorum
    alive: float = 1.0  # a left place answers for so long before it returns
    stay: float = 2.0  # the least time away; doubles with each flap
    stay_most: float = 60.0
    step: float = 0.5  # of a return's four steps, the least; together they last for the warming time at least
    served: float = 60.0  # after so long a place has no flaps any more
    quorum: int = 2


@dataclass(slots=True)
class Watched:
    """What a leader remembers of one place."""

    number: int = -1  # the entry it was seen at
    phase: Phase = Phase.SERVING
    since: float = 0.0  # when that phase, or step, was first seen here
    shed: float = 0.0  # when what is shed was looked at last
    down: float = float("inf")  # since when a quorum has called it down
    up: float = float("inf")
    calm: float = float("inf")
    inside: float = float("inf")  # since when nobody inside calls it up
    inherited: bool = False  # a suspicion that a leader before us had agreed on
    sent: dict[str, tuple[int, int, int]] = field(default_factory=dict)  # counts at the step's beginning
    slow: float = 1.0  # by how much this step is stretched, after a step back


@dataclass(slots=True)
class Report:
    at: float
    life: str
    told: dict


class Marshal:
    """`hear` reports, `todo` gives commands, `share` answers one who asks."""

    def __init__(self, now: float, name: str, times: Times, window: float, span: float, drift: float) -> None:
        self.times = times
        self.ledger = Ledger(now, name, window, span, drift)
        self.reports: dict[str, Report] = {}
        self.timeline: list[dict] = []
        self._began, self._members = now, 0
        self._watched: dict[str, Watched] = {}
        self._carried = capacity.Carried()
        self._last_sample = float("-inf")
        self.refused_last: set[str] = set()  # places that all call down, and that are the last to serve

    # ---- hearing ---------------------------------------------------------------------------------------

    def hear(self, now: float, name: str, life: str, told: dict) -> None:
        """One dispatcher's report, as `keeper.Keeper.report` makes it."""
        self.reports[name] = Report(now, life, told)
        for place in told.get("looks", {}):
            zone = place.partition("/")[0]
            if zone == place:
                self._carried.hear(
                    now, place, sum(one.told.get("stands", {}).get(place, 0.0) for one in self._fresh(now))
                )

    def gone(self, names: Collection[str]) -> None:
        """Only members count: others are forgotten."""
        self._members = len(names)
        for name in [name for name in self.reports if name not in names]:
            del self.reports[name]

    def _fresh(self, now: float) -> list[Report]:
        return [one for one in self.reports.values() if now - one.at <= self.times.fresh]

    # ---- witnesses -------------------------------------------------------------------------------------

    def witnesses(self, now: float, place: str) -> Seen:
        """Names of those outside who call a place down, of those outside who call it up, of those inside
        who do.

        One that is cut off itself is no witness; one whose own zone is cut off is one for its zone alone.
        """
        down, up, inside = [], [], []
        zone = place.partition("/")[0]
        for name, one in self.reports.items():
            if now - one.at > self.times.fresh:
                continue
            cut, own = one.told.get("cut", ""), one.told.get("zone", "")
            if cut == Cut.SELF.value:
                continue
            looks = one.told.get("looks", {})
            look = looks.get(place, [Look.UNSURE.value])[0]
            if (
                "/" in place
                and look == Look.DOWN.value
                and looks.get(zone, [""])[0] not in (Look.FINE.value, Look.GRAY.value)
            ):
                continue  # its whole zone may be down: that is another question
            within = own == zone and "/" not in place  # of a rack, those in its zone are witnesses too
            if within or self.times.quorum == 1:
                if look in (Look.FINE.value, Look.GRAY.value):
                    (up if self.times.quorum == 1 else inside).append(name)
                elif self.times.quorum == 1 and look == Look.DOWN.value:
                    down.append(name)
            elif cut != Cut.ZONE.value:
                if look == Look.DOWN.value:
                    down.append(name)
                elif look in (Look.FINE.value, Look.GRAY.value):
                    up.append(name)
        return sorted(down), sorted(up), sorted(inside)

    def _agreed(self, now: float, place: str, some: list[str], others: list[str]) -> bool:
        """Whether `some` are enough: a quorum, a third of all that are heard outside, and two of three of
        those who say anything. Guards against one that is wrong, slow, cut off or lying."""
        zone = place.partition("/")[0]
        heard = sum(
            one.told.get("zone") != zone or "/" in place or self.times.quorum == 1 for one in self._fresh(now)
        )
        return len(some) >= self.times.quorum and 3 * len(some) >= heard and len(some) >= 2 * len(others)

    # ---- what is to be proposed ------------------------------------------------------------------------

    def todo(self, now: float, zones: Zones, settings: i.Settings, held: Callable[[int], bool]) -> list[dict]:
        """Changes that are due, each a command. `held`: whether all hold the group's state at an index."""
        out = []
        names = dict.fromkeys([*settings.zones, *zones.entries])
        for one in self._fresh(now):
            names |= dict.fromkeys(
                place for place, look in one.told.get("looks", {}).items() if look[0] == Look.DOWN.value
            )
        for name in names:
            if name.partition("/")[0] not in settings.zones:
                continue
            place, seen = zones.at(name), self.witnesses(now, name)
            watched = self._watch(now, name, place, seen)
            if (command := self._change(now, name, place, watched, seen, zones, settings, held)) is not None:
                out.append(
                    {
                        "do": "zone",
                        "place": name,
                        "number": place.number,
                        "flaps": place.flaps,
                        "by": "fleet",
                        "inside": place.inside,
                        "shed": place.shed,
                        "tenants": {} if command.get("shed") == {} else place.tenants,
                        **command,
                    }
                )
        self._sample(now, zones)
        return out

    def _watch(self, now: float, name: str, place: Place, seen: Seen) -> Watched:
        down, up, inside = seen
        # Guards against a leader's death in the middle of a suspicion: what it had witnesses for is not
        # confirmed from the beginning again, those that call it down now, too, are enough.
        if name not in self._watched:
            self._watched[name] = Watched(inherited=place.phase is Phase.SUSPECTED)
        watched = self._watched[name]
        if watched.number != place.number:
            slow = watched.slow if place.phase is Phase.RETURNING else 1.0
            # What is shed may change while it is left: that begins nothing anew.
            since = watched.since if place.phase is watched.phase is Phase.LEFT else now
            watched = self._watched[name] = Watched(
                place.number,
                place.phase,
                since,
                slow=slow,
                down=watched.down,
                up=watched.up,
                shed=now,
                inside=watched.inside,
                inherited=watched.inherited and watched.number < 0,
                sent=self._counts(now, name),
            )
        for key, so in (
            ("down", self._agreed(now, name, down, up)),
            ("up", self._agreed(now, name, up, down)),
            ("calm", not down or len(up) > len(down)),
            ("inside", not inside),
        ):
            setattr(watched, key, min(getattr(watched, key), now) if so else float("inf"))
        if watched.down <= now and now - self._began <= self.times.fresh:
            watched.down = min(watched.down, now - self._down_s(now, name, down))
        return watched

    def _down_s(self, now: float, name: str, down: list[str]) -> float:
        """For how long a third of all members, a quorum at least, have called a place down, by their own
        clocks. Guards a new leader against finding out anew what everybody knows, and the fleet against one
        that says it has known for ever."""
        told = [self.reports[one] for one in down]
        spans = sorted((now - one.at + sum(one.told["looks"][name][4:5]) / 1e3 for one in told), reverse=True)
        need = max(self.times.quorum, -(-self._members // 3))
        return spans[need - 1] if len(spans) >= need else 0.0

    def _counts(self, now: float, name: str) -> dict[str, tuple[int, int, int]]:
        return {one.life: tuple(one.told.get("starts", {}).get(name, (0, 0, 0))) for one in self._fresh(now)}

    def _change(
        self,
        now: float,
        name: str,
        place: Place,
        watched: Watched,
        seen: Seen,
        zones: Zones,
        settings: i.Settings,
        held: Callable[[int], bool],
    ) -> dict | None:
        times, age = self.times, now - watched.since
        down, up, inside = seen
        is_down = now - watched.down >= times.confirm
        if place.phase is Phase.LEAVING:  # also where an operator holds it
            if held(place.index):
                return {"phase": "left", "why": place.why, "witnesses": place.witnesses, "by": place.by}
            return None
        if place.phase is Phase.LEFT and place.inside and now - watched.inside >= times.confirm:
            # Guards against those inside who had not seen it fall yet when it was left: they would go on
            # there, each by itself, and be the first to flood it when it comes back.
            return {
                "phase": "left",
                "inside": False,
                "why": f"{place.why}, and do so no more",
                "by": place.by,
                "witnesses": place.witnesses,
            }
        if place.held:
            return None
        zone = zones.at(name.partition("/")[0]).phase
        if "/" in name and zone is not Phase.SERVING and place.phase in (Phase.SERVING, Phase.SUSPECTED):
            return None  # a rack of a zone that is looked at, left or returning needs no state of its own
        match place.phase:
            case Phase.SERVING if watched.down <= now and self._may_leave(name, zones, settings):
                flaps = 0 if age >= times.served else place.flaps
                if is_down and "/" not in name and 3 * len(down) >= self._members:
                    return self._leave(now, name, zones, settings, flaps, down, up, inside)
                return {
                    "phase": "suspected",
                    "witnesses": down,
                    "flaps": flaps,
                    "why": f"{len(down)} call it down, {len(up)} up",
                }
            case Phase.SUSPECTED:
                # A rack has to wait longer: a zone that falls shows first in some of its racks.
                confirm = times.confirm * (2 if "/" in name else 1)
                # One that has just begun to lead has heard of few: they must be a third of all there are.
                known = watched.inherited and 3 * len(down) >= self._members
                is_down = now - watched.down >= (0.0 if known else confirm)
                if is_down and self._may_leave(name, zones, settings):
                    return self._leave(now, name, zones, settings, place.flaps, down, up, inside)
                if now - watched.calm >= times.calm or (not watched.down <= now and age >= 2 * times.calm):
                    return {"phase": "serving", "why": "a false alarm", "witnesses": up}
            case Phase.LEFT if place.by != OPERATOR:
                stay = min(times.stay_most, times.stay * 2 ** min(10, place.flaps))
                if age >= stay and now - watched.up >= times.alive and held(place.index):
                    return {
                        "phase": "returning",
                        "step": 1,
                        "witnesses": up,
                        "inside": False,
                        "shed": place.shed,
                        "why": f"{len(up)} call it up, after {age:.1f} s away",
                    }
                if "/" not in name and now - watched.shed >= times.calm:
                    watched.shed = now
                    free, size = self._free(now, name, zones, settings)
                    fresh = capacity.shed_of(
                        capacity.next_level(capacity.level_of(place.shed), free, size, len(settings.classes)),
                        settings.classes,
                    )
                    tenants = self._by_tenant(now, fresh, settings)
                    if fresh != place.shed or load_shedding.moved(place.tenants, tenants):
                        return {
                            "phase": "left",
                            "shed": fresh,
                            "tenants": tenants,
                            "why": place.why,
                            "by": place.by,
                            "witnesses": place.witnesses,
                        }
            case Phase.RETURNING:
                return self._return(now, name, place, watched, zones, settings, down, up, inside, is_down)
        return None

    def _may_leave(self, name: str, zones: Zones, settings: i.Settings) -> bool:
        """The last zone that serves is kept, whatever is said of it."""
        zone = name.partition("/")[0]
        if "/" in name or zones.others(zone, settings.zones):
            self.refused_last.discard(name)
            return True
        self.refused_last.add(name)
        return False

    def _leave(
        self,
        now: float,
        name: str,
        zones: Zones,
        settings: i.Settings,
        flaps: int,
        down: list[str],
        up: list[str],
        inside: list[str],
    ) -> dict:
        shed = self.shed(now, name, zones, settings) if "/" not in name else {}
        why = f"{len(down)} call it down, {len(up)} up"
        if inside:
            why += f"; {len(inside)} inside go on there"
        if shed:
            why += "; the rest can't bear all: " + ", ".join(
                f"{part:.0%} of {cls}" for cls, part in shed.items()
            )
        return {
            "phase": "leaving",
            "witnesses": down,
            "inside": bool(inside),
            "shed": shed,
            "tenants": self._by_tenant(now, shed, settings),
            "flaps": flaps,
            "why": why,
        }

    def _return(
        self,
        now: float,
        name: str,
        place: Place,
        watched: Watched,
        zones: Zones,
        settings: i.Settings,
        down: list[str],
        up: list[str],
        inside: list[str],
        is_down: bool,
    ) -> dict | None:
        age = now - watched.since
        # Guards against a return that is over before its servers are warm: after it nothing is counted.
        step_s = max(self.times.step, settings.cold_us / 1e6 / STEPS)
        if is_down and self._may_leave(name, zones, settings):
            return self._leave(now, name, zones, settings, place.flaps + 1, down, up, inside)
        sent, ran, trouble = self._since(now, name, watched)
        if trouble >= TROUBLE_LEAST and trouble > TROUBLE * (ran + trouble):
            watched.slow = min(8.0, 2 * watched.slow)
            if place.step == 1 and age < step_s:
                return None  # it can go no slower: the step lasts longer
            return {
                "phase": "returning",
                "step": max(1, place.step - 1),
                "shed": {},
                "why": f"{trouble} of {ran + trouble} starts went wrong",
            }
        # Without any start nothing has been seen: it goes on all the same, or it would wait for ever.
        if age >= step_s * watched.slow * (1 if sent else 2):
            if place.step < STEPS:
                return {
                    "phase": "returning",
                    "step": place.step + 1,
                    "shed": {},
                    "why": f"{ran} of {ran + trouble} starts ran",
                }
            return {
                "phase": "serving",
                "shed": {},
                "why": f"{ran} of {ran + trouble} starts ran at the whole pace",
            }
        return None

    def _since(self, now: float, name: str, watched: Watched) -> tuple[int, int, int]:
        """Starts of all dispatchers in this step: sent, that ran, that went wrong."""
        out = [0, 0, 0]
        for life, counts in self._counts(now, name).items():
            before = watched.sent.setdefault(life, counts)
            out = [have + max(0, new - old) for have, new, old in zip(out, counts, before, strict=True)]
        return out[0], out[1], out[2]

    # ---- room ------------------------------------------------------------------------------------------

    def need(self, now: float, name: str, zones: Zones, settings: i.Settings) -> capacity.Need:
        """What a zone carries beside what the zones that still serve have free."""
        return capacity.Need(self._carried.most(now, name), self._free(now, name, zones, settings)[0])

    def _free(self, now: float, name: str, zones: Zones, settings: i.Settings) -> tuple[float, float]:
        """Cores that are free in all zones that serve but this one, and how many they are in all."""
        rest = [zone for zone in settings.zones if zone != name and zones.at(zone).phase not in AWAY]
        return capacity.free_in(
            [one.told for one in self._fresh(now) if one.told.get("cut") != Cut.SELF.value], rest
        )

    def shed(self, now: float, name: str, zones: Zones, settings: i.Settings) -> dict[str, float]:
        rates: dict[str, float] = {}
        for one in self._fresh(now):
            for cls, rate in one.told.get("rates", {}).items():
                rates[cls] = rates.get(cls, 0.0) + rate
        return capacity.shed_of(
            capacity.first_level(self.need(now, name, zones, settings), rates, settings.classes),
            settings.classes,
        )

    def _by_tenant(self, now: float, shed: Mapping[str, float], settings: i.Settings) -> dict:
        return load_shedding.of_shed(shed, [one.told for one in self._fresh(now)], settings.tenants)

    def operator(self, now: float, told: Mapping, zones: Zones, settings: i.Settings) -> dict:
        """An operator's word as a command, or {"error": ...}: leave, return, hold, release."""
        name, word = told["place"], told["word"]
        place = zones.at(name)
        base = {
            "do": "zone",
            "id": told["id"],
            "place": name,
            "number": place.number,
            "by": OPERATOR,
            "why": told["why"],
            "flaps": place.flaps,
            "at": told.get("at", 0),
        }
        if name.partition("/")[0] not in settings.zones:
            return {"error": "unknown", "text": f"{name}: the settings name no such zone"}
        match word:
            case "hold" | "release":
                return {**base, "do": "zone_hold", "held": word == "hold"}
            case "leave":
                if place.phase not in (Phase.SERVING, Phase.SUSPECTED, Phase.RETURNING):
                    return {"error": "order", "text": f"{name} is {place.phase.value} already"}
                need = self.need(now, name, zones, settings)
                if not told.get("despite") and "/" not in name and need.short > capacity.SHED_LEAST:
                    return {
                        "error": "room",
                        "text": f"{name} carries {need.carried:.1f} cores and the rest "
                        f"has {need.free:.1f} free: it can't bear {need.short:.0%} of it",
                    }
                shed = self.shed(now, name, zones, settings)
                return {
                    **base,
                    "phase": "leaving",
                    "shed": shed,
                    "tenants": self._by_tenant(now, shed, settings),
                }
            case "return":
                if place.phase is not Phase.LEFT:
                    return {
                        "error": "order",
                        "text": f"{name} is {place.phase.value}: only what was left returns",
                    }
                return {**base, "phase": "returning", "step": 1, "by": "fleet", "held": False}
        return {"error": "unknown", "text": f"{word}: no such word"}

    # ---- shares ----------------------------------------------------------------------------------------

    def shares(self, now: float, life: str, zones: Zones, settings: i.Settings) -> list[Share]:
        """What one dispatcher may start on machines that return, and for how long."""
        out = []
        present = {one.life: one.told.get("zone", "") for one in self._fresh(now)}
        for name, place in zones.entries.items():
            if place.phase is Phase.RETURNING:
                step, lives = place.step, list(present)
            elif place.phase in AWAY and place.inside:  # for machines that start anew under those inside
                step, lives = 1, [one for one, own in present.items() if own == name.partition("/")[0]]
            else:
                continue
            # Only those inside have shares of a left place; in a return, also one of whom no report is fresh.
            if place.phase is Phase.RETURNING or life in lives:
                share = self.ledger.ask(now, name, life, settings.cold_sends * step / STEPS, lives)
                if share is not None:
                    out.append(share)
        return out

    # ---- for operators ---------------------------------------------------------------------------------

    def _sample(self, now: float, zones: Zones) -> None:
        """Twice a second while any place is not serving: what a chart over time shows."""
        if now - self._last_sample < 0.5 or all(one.phase is Phase.SERVING for one in zones.entries.values()):
            return
        self._last_sample = now
        starts: dict[str, list[int]] = {}
        for one in self._fresh(now):
            for place, counts in one.told.get("starts", {}).items():
                have = starts.setdefault(place, [0, 0, 0])
                starts[place] = [a + b for a, b in zip(have, counts, strict=True)]
        self.timeline.append(
            {
                "s": round(now - self._began, 2),
                "phases": {name: [one.phase.value, one.step] for name, one in zones.entries.items()},
                "starts": starts,
                "shares": {name: one["shares"] for name, one in self.ledger.out(now).items()},
                "refused": sum(one.told.get("refused", 0) for one in self._fresh(now)),
            }
        )
        del self.timeline[:-TIMELINE_MOST]

    def status(self, now: float, names: Iterable[str]) -> dict:
        out = {}
        for name in names:
            down, up, inside = self.witnesses(now, name)
            out[name] = {"down": down, "up": up, "inside": inside}
        return {
            "witnesses": out,
            "shares": self.ledger.out(now),
            "kept_last": sorted(self.refused_last),
            "reports": {
                name: {
                    "age_s": round(now - one.at, 2),
                    "cut": one.told.get("cut", ""),
                    "zone": one.told.get("zone", ""),
                }
                for name, one in self.reports.items()
            },
        }
