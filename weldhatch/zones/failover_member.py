"""One dispatcher's part: what it sees, what it may start where at this moment, what the leader hears. Pure.

It hears the events that the module hears, and is asked when a request comes and when a start leaves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from weldhatch.scheduling import types as i
from weldhatch.zones import load_shedding
from weldhatch.zones.load_accounting import Asked, Standing, Tally
from weldhatch.zones.observations import Cut, Sight, Sign
from weldhatch.zones.retry_budget import Attempts, Ramp, Rates
from weldhatch.zones.silence_detector import Hush
from weldhatch.zones.start_quota import Purse, Share
from weldhatch.zones.state import AWAY, Phase, Zones

PROBE_EVERY_S = 0.25  # a place that was left, or says nothing, is looked at by one probe so often
HUSH_PROBES = 3  # and by so many where it has just gone silent: their time-outs are evidence
STALL_S = 0.5  # a tick that comes so late tells of us: what failed meanwhile does too
SIZE_S = 1.0
WAIT_S = 1.0  # for an owner that is turned away, where nothing tells more
FENCE_MOST = 500  # keys that one command tells of
SIGNS = {
    i.Outcome.OK: Sign.ANSWER,
    i.Outcome.FULL: Sign.ANSWER,
    i.Outcome.ERROR: Sign.ERROR,
    i.Outcome.TIMEOUT: Sign.SILENT,
    i.Outcome.CONNECT_FAILED: Sign.REFUSED,
    i.Outcome.RESET: Sign.RESET,
}
MAYBE = (i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED)
MAYBE_S, MAYBE_MOST = 10.0, 5000
WRONG = (i.Outcome.ERROR, i.Outcome.TIMEOUT, i.Outcome.CONNECT_FAILED, i.Outcome.RESET)
EVICTED = (i.Reason.EVICTED, i.Reason.LINE_FULL)


@dataclass(slots=True, frozen=True)
class Away:
    """A request is turned away, for so long."""

    wait_s: float
    why: str


class Keeper:
    def __init__(
        self,
        settings: i.Settings,
        drift: float,
        random: Random,
        uid_of: Callable[[int], str],
        fences: bool = True,
    ) -> None:
        """`uid_of`: what all dispatchers call a machine; '' for one that is not known; `fences`: whether
        tasks that may run behind a cut are kept from a second start here, and not by their owners."""
        self._fencing = fences
        self._settings, self._random, self._uid_of = settings, random, uid_of
        self.own = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self.sight, self.tally = Sight(settings.zones, self.own), Tally()
        self.purse, self.attempts, self.ramp, self.rates = Purse(drift), Attempts(), Ramp(), Rates()
        self.hush = Hush(lambda machine: self._names(machine)[1])
        self.hushed: frozenset[str] = frozenset()  # zones that we hold back from as of the last tick
        self.zones = Zones()
        self.refused = 0
        self._machines: dict[int, i.Machine] = {}
        self._probed: dict[str, float] = {}
        self._sized: tuple[float, dict[str, float], int] = (float("-inf"), {}, 0)  # when, and of how many
        self._ticked, self._cut = float("-inf"), Cut.NO
        self._steady: dict[int, float] = {}  # machines that answer, and since when without a break
        self._away: dict[str, float] = {}  # places that we have left, and when
        self._fences: dict[str, set[str]] = {}  # by place: keys of ours to be told of
        self._maybe: dict[str, tuple[int, float]] = {}  # unsafe attempts that may have run: machine, and when
        self._windows: dict[str, float] = {}  # keyed tasks that wait out their window: key and until when

    # ---- hearing ---------------------------------------------------------------------------------------

    def heard(self, now: float, event: i.Event) -> None:
        """One event that the module gets."""
        match event:
            case i.MachinesChanged():
                self._listed(event)
            case i.RequestArrived():
                self.tally.arrived(now, event)
                self.attempts.first()
            case i.TaskAdopted():
                self.tally.adopted(event)
            case i.Placed(request, _, machine):
                self.tally.placed(request, machine)
                self._came(now, machine, Sign.ANSWER, False)
            case i.Note(_, _, machine):
                self._sign(now, machine, Sign.ANSWER)
            case i.ProbeAnswered(machine, outcome):
                if (sign := SIGNS.get(outcome)) is not None:
                    self._sign(now, machine, sign)
            case i.AttemptEnded():
                self._ended(now, event)
            case i.RequestGone(request):
                self.tally.over(request)

    def _sign(self, now: float, machine: int, sign: Sign) -> None:
        """How an exchange ended, for all that look at zones."""
        self.sight.sign(now, machine, sign)
        if sign in (Sign.REFUSED, Sign.RESET):
            self.broke(machine)
        if names := self._names(machine):
            if sign in (Sign.ANSWER, Sign.ERROR):  # an error is a word, too
                self._steady.setdefault(machine, now)
                self.hush.heard(now, names[0], machine)
            else:
                self.hush.ended(names[0], machine)

    def broke(self, machine: int) -> None:
        """A machine's connection has ended: it may be a new process, whatever lists say."""
        self._steady.pop(machine, None)

    def _listed(self, event: i.MachinesChanged) -> None:
        if event.form is i.ListForm.FAILED:
            return
        named = {machine.id for machine in event.machines}
        if event.form is not i.ListForm.DELTA:
            for machine in self._machines.keys() - named:
                self._gone(machine)
        for machine in event.machines:
            if machine.state is i.MachineState.GONE:
                self._gone(machine.id)
                continue
            self._machines[machine.id] = machine
            zone = self._zone(machine)
            self.sight.listed(machine.id, zone, f"{zone}/{machine.cell}")

    def _gone(self, machine: int) -> None:
        self._machines.pop(machine, None)
        self._steady.pop(machine, None)
        self.sight.gone(machine)

    def _zone(self, machine: i.Machine) -> str:
        zones = self._settings.zones
        return zones[machine.zone] if 0 <= machine.zone < len(zones) else ""

    def _ended(self, now: float, e: i.AttemptEnded) -> None:
        asked, stood = self.tally.asked(e.request), self.tally.ended(e.request)
        if e.outcome in (MAYBE if stood is None else (i.Outcome.RESET,)) and not e.reason:
            self._may_run(now, stood or asked, e.machine)
        if e.closed:
            self.tally.over(e.request)
        sign = SIGNS.get(e.outcome)
        if sign is None and (names := self._names(e.machine)):
            self.hush.ended(names[0], e.machine)  # called off, or never sent: no answer is owed
        if sign is None or (stood is not None and e.outcome is i.Outcome.OK):
            return
        wrong = e.outcome in WRONG or e.reason in EVICTED
        if stood is None:
            self._came(now, e.machine, sign, wrong)
        else:
            self._sign(now, e.machine, Sign.ANSWER if e.outcome is i.Outcome.FULL else sign)
            if wrong and (place := self._returning(e.machine)):
                self.tally.at(place).trouble += 1

    def _may_run(self, now: float, task: Asked | Standing | None, machine: int) -> None:
        """An unsafe task that may run, as nothing proves it does not: its answer, or its machine, is lost."""
        if task is None or not task.key:
            return
        if self._settings.classes[task.class_index].effect is i.Effect.UNSAFE:
            self._maybe[f"{task.key:x}"] = machine, now
            if len(self._maybe) > MAYBE_MOST:
                del self._maybe[next(iter(self._maybe))]

    def _came(self, now: float, machine: int, sign: Sign, wrong: bool) -> None:
        """What a start came to."""
        self._sign(now, machine, sign)
        if place := self._returning(machine):
            starts = self.tally.at(place)
            starts.trouble += wrong
            starts.ran += not wrong and sign is Sign.ANSWER

    def _returning(self, machine: int) -> str:
        phase, place = self.phase(machine)
        return place if phase is Phase.RETURNING else ""

    def settle(self, settings: i.Settings) -> None:
        """Other settings are in force: classes keep their places, and zones do."""
        self._settings = settings
        self.sight.extend(settings.zones)

    # ---- what was agreed -------------------------------------------------------------------------------

    def agreed(self, now: float, zones: Zones) -> None:
        """The group's state of zones, as it is held here now."""
        self.zones = zones
        for name, place in zones.entries.items():
            gone = place.phase in AWAY and not self._inside(place, name)
            if gone and name not in self._away:
                self._leave(now, name)
            elif not gone and self._away.pop(name, None) is not None:
                self._fences.pop(name, None)
            if gone or place.phase in (Phase.SERVING, Phase.SUSPECTED):
                self.purse.drop(name)

    def _inside(self, place: object, name: str) -> bool:
        return place.inside and name.partition("/")[0] == self.own

    def _leave(self, now: float, name: str) -> None:
        """From now on nothing new goes there. What stands there is looked after as before."""
        self._away[name] = now
        rest = sum(
            self.rates.of(now, zone) for zone in self.sight.zones if self.zones.at(zone).phase not in AWAY
        )
        self.ramp.begin(now, rest, self.rates.of(now, name))
        unsafe = set()
        for machine, requests in self.tally.by_machine.items() if self._fencing else ():
            if name not in self._names(machine) or self._proved_dead(now, machine):
                continue
            for request in requests:
                one = self.tally.standing[request]
                cls = self._settings.classes[one.class_index]
                if one.key and cls.effect is i.Effect.UNSAFE:
                    unsafe.add(f"{one.key:x}")
                elif one.key and cls.effect is i.Effect.KEYED:
                    self._windows[f"{one.key:x}"] = now + cls.window_us / 1e6
        # Guards against a start whose answer was cut off on its way: its owner settles, and comes again.
        unsafe |= {
            key
            for key, (machine, at) in self._maybe.items()
            if now - at <= MAYBE_S and name in self._names(machine) and not self._proved_dead(now, machine)
        }
        if unsafe:
            self._fences[name] = unsafe

    def _proved_dead(self, now: float, machine: int) -> bool:
        """A refused connection proves that nothing runs there any more; silence proves nothing."""
        seen = self.sight.machines.get(machine)
        return seen is not None and seen.fails(now) and seen.sign is Sign.REFUSED

    def _names(self, machine: int) -> tuple[str, ...]:
        known = self._machines.get(machine)
        if known is None:
            return ()
        zone = self._zone(known)
        return zone, f"{zone}/{known.cell}"

    def fences(self) -> tuple[str, list[str]]:
        """A place, and keys of ours that may still run there, which the group is to be told of; ('', [])."""
        for place in list(self._fences):
            news = [key for key in sorted(self._fences[place]) if key not in self.zones.fenced][:FENCE_MOST]
            if news:
                return place, news
            del self._fences[place]  # all are agreed on
        return "", []

    # ---- what may start --------------------------------------------------------------------------------

    def phase(self, machine: int) -> tuple[Phase, str]:
        """Of a machine's zone and rack, as it counts for this dispatcher."""
        names = self._names(machine)
        if not names:
            return Phase.SERVING, ""
        phase, place = self.zones.phase(*names)
        if phase in AWAY and self._inside(self.zones.at(place), place):
            return Phase.SERVING, place
        return phase, place

    def state(self, now: float, machine: int) -> str:
        """What the module should take a machine for: 'ready', or 'draining' where nothing new may go."""
        phase, place = self.phase(machine)
        if phase in AWAY or self._held_back(now, machine):
            return "draining"
        if (
            self._by_share(now, machine, phase, place)
            and self.purse.left(now, place, self._uid_of(machine)) <= 0
        ):
            return "draining"
        return "ready"

    def _by_share(self, now: float, machine: int, phase: Phase, place: str) -> bool:
        """Whether starts on a machine are taken from a share: where its place returns, and for those inside
        a left one unless it has answered for the warming time without a break.

        Guards against those who go on in a hall that is cut one way, and whose servers come back cold before
        the others hear of them: each by itself would be the first to flood them.
        """
        if phase is Phase.RETURNING:
            return True
        entry = self.zones.at(place)
        return (
            entry.phase in AWAY
            and self._inside(entry, place)
            and now - self._steady.get(machine, now) < self._settings.cold_us / 1e6
        )

    def away(
        self,
        now: float,
        class_index: int,
        key: int,
        tenant: int = 0,
        cores: float = 0.0,
    ) -> Away | None:
        """Why a request is turned away when it comes, and for how long; None where it is taken up."""
        found = self._turned_away(now, class_index, key, tenant)
        if found is not None:
            self.refused += 1
            # Guards against a tenant that seems to ask for less because it was turned away: its part would
            # swing from second to second.
            self.tally.wanted(now, class_index, tenant, cores)
        return found

    def _turned_away(self, now: float, class_index: int, key: int, tenant: int) -> Away | None:
        own = self.zones.at(self.own)
        if own.phase in AWAY and self._cut is not Cut.NO:
            # One in a left zone that still reaches the others' servers goes on for them.
            return Away(WAIT_S, f"{self.own} is left, and we are cut off: others take it")
        if self._settings.classes[class_index].effect is not i.Effect.SAFE and key:
            text = f"{key:x}"
            if text in self.zones.fenced:
                return Away(WAIT_S, f"it may still run in {self.zones.fenced[text][0]}")
            if (until := self._windows.get(text)) is not None:
                if now < until:
                    return Away(min(WAIT_S, until - now), "its window by hall is not over")
                del self._windows[text]
        name = self._settings.classes[class_index].name
        whose = self._tenant(tenant)
        part = max(
            (place.part(name, whose) for place in self.zones.entries.values() if place.phase in AWAY),
            default=0.0,
        )
        if part and self._random.random() < part:
            return Away(
                WAIT_S, f"the rest can't bear it: {part:.0%} of {whose or 'all'}'s {name} is turned " "away"
            )
        if self._away and (wait := self.ramp.wait(now, self._random.random())):
            return Away(wait, "work moves over by steps")
        return None

    def _tenant(self, tenant: int) -> str:
        tenants = self._settings.tenants
        return tenants[tenant].name if 0 <= tenant < len(tenants) else ""

    def stops(self, now: float, machine: int, attempt: int) -> str:
        """Why a start may not leave at this moment; '' where it may, which spends what it needs.

        `attempt`: -1 for one that has been asked for, and has not left yet.
        """
        phase, place = self.phase(machine)
        if phase in AWAY:
            return f"{place} is {phase.value}"
        if attempt < 0:
            return ""
        if self._held_back(now, machine):
            return "its zone says nothing"
        if attempt and not self.attempts.again(bool(self._trouble())):
            return "the budget of second attempts is spent"
        if self._by_share(now, machine, phase, place):
            if not self.purse.spend(now, place, self._uid_of(machine)):
                return f"no share of {place} is left"
            self.tally.at(place).sent += phase is Phase.RETURNING
        if names := self._names(machine):
            self.rates.add(now, names[0])
            self.hush.sent(now, names[0], machine)
        return ""

    def _held_back(self, now: float, machine: int) -> bool:
        """Whether the machine's zone has gone silent under us: by our own word alone, and until its first."""
        names = self._names(machine)
        return bool(names) and self._silent(now, names[0])

    def _silent(self, now: float, zone: str) -> bool:
        """Guards against starts that are sent into a zone while those before them are still to time out.

        What is left, or returns, goes by what was agreed; and somewhere work has to go.
        """
        return (
            self.zones.at(zone).phase in (Phase.SERVING, Phase.SUSPECTED)
            and self.hush.silent(now, zone, self.sight.one_rack(zone))
            and any(
                other != zone and other not in self.hushed and self.zones.at(other).phase not in AWAY
                for other in self.sight.zones
            )
        )

    def _trouble(self) -> list[str]:
        return [name for name, one in self.zones.entries.items() if one.phase is not Phase.SERVING]

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[int]:
        """Call every tenth of a second; machines to be probed, in places that we have left."""
        if now - self._ticked > STALL_S and self._ticked > 0:
            # Guards against a process that was stopped: all that was out has timed out at once.
            self.sight.excuse(self._ticked)
            self.hush.excuse(now)
        self._ticked, self._cut = now, self.sight.cut(now)
        before, self.hushed = (
            self.hushed,
            frozenset(zone for zone in self.sight.zones if self._silent(now, zone)),
        )
        out: list[int] = []
        for place in self._away.keys() | self.hushed:
            fresh = place in self.hushed - before and place not in self._away
            if fresh or now - self._probed.get(place, float("-inf")) >= PROBE_EVERY_S:
                self._probed[place] = now
                there = [machine for machine in self._machines if place in self._names(machine)]
                out += self._random.sample(there, min(len(there), HUSH_PROBES if fresh else 1))
        return out

    def take(self, shares: Iterable[Share], asked: float) -> bool:
        """Shares that came with an answer; whether any is new. `asked`: when it was asked, by our clock."""
        return sum(self.purse.take(share, asked) for share in shares) > 0

    def report(self, now: float) -> dict:
        """What the leader hears: under 1 KB however many machines there are."""
        out = self.sight.report(now, self.zones.entries)
        stands: dict[str, float] = {}
        for machine, cores in self.tally.cores_on.items():
            if names := self._names(machine):
                stands[names[0]] = round(stands.get(names[0], 0.0) + cores, 1)
        rates: dict[str, float] = {}
        by_tenant: dict[tuple[str, str], float] = {}
        for (class_index, tenant), rate in self.tally.rates(now).items():
            name = self._settings.classes[class_index].name
            rates[name] = rates.get(name, 0.0) + rate
            by_tenant[name, self._tenant(tenant)] = rate
        out |= {
            "stands": stands,
            "rates": {name: round(rate, 1) for name, rate in rates.items() if rate},
            "size": self._size(now),
            "refused": self.refused,
        }
        if len(self._settings.tenants) > 1:
            out["tenants"] = load_shedding.rates_told(by_tenant)
        if starts := {
            name: [one.sent, one.ran, one.trouble]
            for name, one in self.tally.starts.items()
            if self.zones.at(name).phase is not Phase.SERVING
        }:
            out["starts"] = starts
        return out

    def _size(self, now: float) -> dict[str, float]:
        """Cores that tasks may ask for in each zone, on machines that are not known to fail; as of lately."""
        if now - self._sized[0] < SIZE_S and self._sized[2] == len(self._machines):
            return self._sized[1]
        size: dict[str, float] = {}
        for machine in self._machines.values():
            if machine.state is not i.MachineState.READY or self.sight.machines[machine.id].fails(now):
                continue
            kind = self._settings.kinds[machine.kind] if machine.kind < len(self._settings.kinds) else None
            zone, cores = self._zone(machine), machine.cores or (kind.cores if kind else 1.0)
            size[zone] = size.get(zone, 0.0) + cores * self._settings.cores_booking
        self._sized = now, {zone: round(cores, 1) for zone, cores in size.items()}, len(self._machines)
        return self._sized[1]
