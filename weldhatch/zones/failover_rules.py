"""When a place changes its phase: the rules that the failover leader proposes changes by. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from weldhatch.scheduling.types import Settings
from weldhatch.zones import load_shedding
from weldhatch.zones.place_watch import PlaceWatch, PlaceWatches
from weldhatch.zones.shed_planner import ShedPlanner
from weldhatch.zones.state import (
    OPERATOR,
    RETURN_STEPS,
    Phase,
    PlaceState,
    ZoneChange,
    ZoneStates,
    is_rack,
    zone_of,
)
from weldhatch.zones.witnesses import Testimony, Witnesses

FAILED_PART = 0.2  # of the starts of a step: from here on it goes one step back
MIN_FAILED = 4
MAX_STRETCH = 8.0
MAX_DOUBLINGS = 10  # of the stay, by flaps


@dataclass(slots=True, frozen=True)
class FailoverTiming:
    """How long the leader takes its time, in seconds; the names are keys of the settings.

    `quorum`: witnesses without whom no place is left (1 only where there is nobody else).
    """

    fresh: float = 1.0  # a report speaks for its member for so long
    confirm: float = 0.25  # a suspicion stands for so long before a place is left
    calm: float = 1.0  # or falls after so long without a quorum
    alive: float = 1.0  # a left place answers for so long before it returns
    stay: float = 2.0  # the least time away; doubles with each flap
    stay_most: float = 60.0
    step: float = 0.5  # of a return's steps, the least; together they last for the warm-up time at least
    served: float = 60.0  # after so long a place has no flaps any more
    quorum: int = 2


@dataclass(slots=True, frozen=True)
class Situation:
    """All that a decision on one place rests on."""

    now: float
    name: str
    place: PlaceState
    watch: PlaceWatch
    testimony: Testimony
    zones: ZoneStates
    settings: Settings
    is_held_by_all: Callable[[int], bool]  # whether all dispatchers hold the group's state at an index

    @property
    def age_s(self) -> float:
        """For how long the place has had its phase, or step."""
        return self.now - self.watch.since

    @property
    def unchanged(self) -> ZoneChange:
        """A change that leaves all as it is, to be replaced in part."""
        return ZoneChange(
            place=self.name,
            number=self.place.number,
            phase=self.place.phase,
            reason=self.place.reason,
            inside=self.place.inside,
            shed=self.place.shed,
            tenants=self.place.tenants,
            flaps=self.place.flaps,
        )


class FailoverRules:
    """`change_of` returns the change that is due for a place."""

    def __init__(
        self, timing: FailoverTiming, witnesses: Witnesses, watches: PlaceWatches, planner: ShedPlanner
    ) -> None:
        """Decide from what these hold."""
        self._timing = timing
        self._witnesses = witnesses
        self._watches = watches
        self._planner = planner
        self.last_zones_kept: set[str] = set()  # places that all call down, and that are the last to serve

    def change_of(self, situation: Situation) -> ZoneChange | None:
        """Return the change that is due; None where none is."""
        place = situation.place
        if place.phase is Phase.LEAVING:  # also where an operator holds it
            return self._complete_leaving(situation)
        if self._is_abandoned(situation):
            # Guards against those inside who had not seen it fail yet when it was left: they would go on
            # there, each by itself, and be the first to overload it when it comes back.
            return replace(
                situation.unchanged,
                phase=Phase.LEFT,
                inside=False,
                reason=f"{place.reason}, and do so no more",
                decided_by=place.decided_by,
                witnesses=tuple(place.witnesses),
            )
        if place.held or self._is_covered_by_zone(situation):
            return None
        match place.phase:
            case Phase.SERVING:
                return self._change_of_serving(situation)
            case Phase.SUSPECTED:
                return self._change_of_suspected(situation)
            case Phase.LEFT if place.decided_by != OPERATOR:
                return self._change_of_left(situation)
            case Phase.RETURNING:
                return self._change_of_returning(situation)
        return None

    # ---- leaving -----------------------------------------------------------------------------------------

    def _complete_leaving(self, situation: Situation) -> ZoneChange | None:
        place = situation.place
        if not situation.is_held_by_all(place.index):
            return None
        return replace(
            situation.unchanged,
            phase=Phase.LEFT,
            decided_by=place.decided_by,
            witnesses=tuple(place.witnesses),
        )

    def _is_abandoned(self, situation: Situation) -> bool:
        place = situation.place
        return (
            place.phase is Phase.LEFT
            and place.inside
            and situation.now - situation.watch.abandoned_since >= self._timing.confirm
        )

    def _is_covered_by_zone(self, situation: Situation) -> bool:
        """Tell whether a rack's zone is suspected, left or returning: it needs no state of its own then."""
        name = situation.name
        if not is_rack(name) or situation.place.phase not in (Phase.SERVING, Phase.SUSPECTED):
            return False
        return situation.zones.place(zone_of(name)).phase is not Phase.SERVING

    def _may_leave(self, situation: Situation) -> bool:
        """Keep the last zone that serves, whatever is said of it."""
        name = situation.name
        if is_rack(name) or situation.zones.another_serves(zone_of(name), situation.settings.zones):
            self.last_zones_kept.discard(name)
            return True
        self.last_zones_kept.add(name)
        return False

    def _is_down(self, situation: Situation, confirm_s: float) -> bool:
        return situation.now - situation.watch.down_since >= confirm_s

    def _change_of_serving(self, situation: Situation) -> ZoneChange | None:
        if not situation.watch.down_since <= situation.now or not self._may_leave(situation):
            return None
        down = situation.testimony.down
        up = situation.testimony.up
        flaps = 0 if situation.age_s >= self._timing.served else situation.place.flaps
        if (
            self._is_down(situation, self._timing.confirm)
            and not is_rack(situation.name)
            and self._witnesses.are_third_of_members(down)
        ):
            return self._leave(situation, flaps)
        return replace(
            situation.unchanged,
            phase=Phase.SUSPECTED,
            witnesses=down,
            flaps=flaps,
            reason=f"{len(down)} call it down, {len(up)} up",
        )

    def _change_of_suspected(self, situation: Situation) -> ZoneChange | None:
        now = situation.now
        watch = situation.watch
        # A rack has to wait longer: a zone that fails shows first in some of its racks.
        confirm_s = self._timing.confirm * (2 if is_rack(situation.name) else 1)
        # A new leader has reports of few: they must be a third of all members.
        if watch.inherited and self._witnesses.are_third_of_members(situation.testimony.down):
            confirm_s = 0.0
        if self._is_down(situation, confirm_s) and self._may_leave(situation):
            return self._leave(situation, situation.place.flaps)
        undecided = not watch.down_since <= now and situation.age_s >= 2 * self._timing.calm
        if now - watch.calm_since >= self._timing.calm or undecided:
            return replace(
                situation.unchanged,
                phase=Phase.SERVING,
                reason="a false alarm",
                witnesses=situation.testimony.up,
            )
        return None

    def _leave(self, situation: Situation, flaps: int) -> ZoneChange:
        down = situation.testimony.down
        up = situation.testimony.up
        inside = situation.testimony.inside
        shed: dict[str, float] = {}
        if not is_rack(situation.name):
            shed = self._planner.initial(situation.now, situation.name, situation.zones, situation.settings)
        reason = f"{len(down)} call it down, {len(up)} up"
        if inside:
            reason += f"; {len(inside)} inside go on there"
        if shed:
            parts = ", ".join(f"{part:.0%} of {class_name}" for class_name, part in shed.items())
            reason += f"; the rest can't bear all: {parts}"
        return replace(
            situation.unchanged,
            phase=Phase.LEAVING,
            witnesses=down,
            inside=bool(inside),
            shed=shed,
            tenants=self._planner.by_tenant(situation.now, shed, situation.settings),
            flaps=flaps,
            reason=reason,
        )

    # ---- away --------------------------------------------------------------------------------------------

    def _change_of_left(self, situation: Situation) -> ZoneChange | None:
        now = situation.now
        place = situation.place
        watch = situation.watch
        stay_s = min(self._timing.stay_most, self._timing.stay * 2 ** min(MAX_DOUBLINGS, place.flaps))
        is_alive = now - watch.up_since >= self._timing.alive
        if situation.age_s >= stay_s and is_alive and situation.is_held_by_all(place.index):
            up = situation.testimony.up
            return replace(
                situation.unchanged,
                phase=Phase.RETURNING,
                step=1,
                witnesses=up,
                inside=False,
                tenants=place.tenants if place.shed else {},
                reason=f"{len(up)} call it up, after {situation.age_s:.1f} s away",
            )
        if not is_rack(situation.name) and now - watch.shed_reviewed_at >= self._timing.calm:
            watch.shed_reviewed_at = now
            return self._review_shed(situation)
        return None

    def _review_shed(self, situation: Situation) -> ZoneChange | None:
        now = situation.now
        place = situation.place
        settings = situation.settings
        shed = self._planner.following(now, situation.name, situation.zones, settings)
        tenants = self._planner.by_tenant(now, shed, settings)
        if shed == place.shed and not load_shedding.differs(place.tenants, tenants):
            return None
        return replace(
            situation.unchanged,
            phase=Phase.LEFT,
            shed=shed,
            tenants=tenants,
            decided_by=place.decided_by,
            witnesses=tuple(place.witnesses),
        )

    # ---- returning ---------------------------------------------------------------------------------------

    def _change_of_returning(self, situation: Situation) -> ZoneChange | None:
        place = situation.place
        watch = situation.watch
        age_s = situation.age_s
        # Guards against a return that is over before its servers are warm: after it nothing is counted.
        step_s = max(self._timing.step, situation.settings.warm_up_us / 1e6 / RETURN_STEPS)
        if self._is_down(situation, self._timing.confirm) and self._may_leave(situation):
            return self._leave(situation, place.flaps + 1)
        sent, succeeded, failed = self._watches.starts_in_step(situation.now, situation.name, watch)
        ended = succeeded + failed
        if failed >= MIN_FAILED and failed > FAILED_PART * ended:
            watch.stretch = min(MAX_STRETCH, 2 * watch.stretch)
            if place.step == 1 and age_s < step_s:
                return None  # it can go no slower: the step lasts longer
            return self._step(situation, max(1, place.step - 1), f"{failed} of {ended} starts went wrong")
        # Without any start nothing has been seen: it goes on all the same, or it would wait for ever.
        if age_s < step_s * watch.stretch * (1 if sent else 2):
            return None
        if place.step < RETURN_STEPS:
            return self._step(situation, place.step + 1, f"{succeeded} of {ended} starts ran")
        return replace(
            situation.unchanged,
            phase=Phase.SERVING,
            shed={},
            tenants={},
            reason=f"{succeeded} of {ended} starts ran at the whole pace",
        )

    def _step(self, situation: Situation, step: int, reason: str) -> ZoneChange:
        return replace(
            situation.unchanged, phase=Phase.RETURNING, step=step, shed={}, tenants={}, reason=reason
        )
