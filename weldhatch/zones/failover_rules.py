"""Rules by which the failover leader proposes phase changes of a place. Pure."""

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
from weldhatch.zones.witnesses import Witnesses, WitnessGroups

FAILED_START_FRACTION = 0.2  # a return goes one step back if a larger fraction of starts fails
MIN_FAILED_STARTS = 4
MAX_STEP_LENGTH_FACTOR = 8.0
MAX_STAY_DOUBLINGS = 10  # of the minimum time away, one for each flap


@dataclass(slots=True, frozen=True)
class FailoverTiming:
    """Durations of failover decisions in seconds; the field names are keys of the settings.

    `quorum`: the minimum number of witnesses for leaving a place (1 only for a standalone dispatcher).
    """

    fresh: float = 1.0  # validity of a member's report
    confirm: float = 0.25  # a suspicion must last this long before the place is left
    calm: float = 1.0  # a suspicion is dropped after this long without a quorum
    alive: float = 1.0  # a left place must answer for this long before it returns
    stay: float = 2.0  # minimum time away; doubles with each flap
    stay_most: float = 60.0  # upper limit of the time away
    step: float = 0.5  # minimum length of a return step; all steps together last at least the warm-up time
    served: float = 60.0  # after this time in service the flaps of a place are reset
    quorum: int = 2


@dataclass(slots=True, frozen=True)
class Situation:
    """The input of a decision on one place."""

    now: float
    name: str
    place: PlaceState
    watch: PlaceWatch
    witness_groups: WitnessGroups
    zones: ZoneStates
    settings: Settings
    is_applied_by_all: Callable[[int], bool]  # up to an index of the group's log

    @property
    def age_s(self) -> float:
        """Seconds since the place entered its phase or return step."""
        return self.now - self.watch.since

    @property
    def unchanged(self) -> ZoneChange:
        """A change that changes nothing, as a base for `dataclasses.replace`."""
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
    """Determines the phase change that is due for a place."""

    def __init__(
        self, timing: FailoverTiming, witnesses: Witnesses, watches: PlaceWatches, planner: ShedPlanner
    ) -> None:
        """Use the given components, which the failover leader shares."""
        self._timing = timing
        self._witnesses = witnesses
        self._watches = watches
        self._planner = planner
        self.last_zones_kept: set[str] = set()  # reported down, but kept as the last zone in service

    def change_of(self, situation: Situation) -> ZoneChange | None:
        """Return the change that is due, or None."""
        place = situation.place
        if place.phase is Phase.LEAVING:  # also if an operator holds the place
            return self._complete_leaving(situation)
        if self._is_abandoned(situation):
            # Dispatchers inside that had not yet detected the failure when the place was left would continue
            # to start work there without coordination, and overload the place as soon as it recovers.
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
        if not situation.is_applied_by_all(place.index):
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
        """Return whether the place is a rack in service or suspected whose zone is not in service.

        Such a rack needs no phase of its own.
        """
        name = situation.name
        if not is_rack(name) or situation.place.phase not in (Phase.SERVING, Phase.SUSPECTED):
            return False
        return situation.zones.place(zone_of(name)).phase is not Phase.SERVING

    def _may_leave(self, situation: Situation) -> bool:
        """Return whether a place may be left: the last zone in service is kept, whatever the reports say."""
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
        down = situation.witness_groups.down
        up = situation.witness_groups.up
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
        # A rack is confirmed for twice as long: the failure of a zone is first visible in some of its racks.
        confirm_s = self._timing.confirm * (2 if is_rack(situation.name) else 1)
        # A suspicion of the previous leader is confirmed at once, by a third of all members: few may have
        # reported to the new leader yet.
        if watch.inherited and self._witnesses.are_third_of_members(situation.witness_groups.down):
            confirm_s = 0.0
        if self._is_down(situation, confirm_s) and self._may_leave(situation):
            return self._leave(situation, situation.place.flaps)
        undecided = not watch.down_since <= now and situation.age_s >= 2 * self._timing.calm
        if now - watch.calm_since >= self._timing.calm or undecided:
            return replace(
                situation.unchanged,
                phase=Phase.SERVING,
                reason="a false alarm",
                witnesses=situation.witness_groups.up,
            )
        return None

    def _leave(self, situation: Situation, flaps: int) -> ZoneChange:
        down = situation.witness_groups.down
        up = situation.witness_groups.up
        inside = situation.witness_groups.inside
        shed: dict[str, float] = {}
        if not is_rack(situation.name):
            shed = self._planner.initial_shed(
                situation.now, situation.name, situation.zones, situation.settings
            )
        reason = f"{len(down)} call it down, {len(up)} up"
        if inside:
            reason += f"; {len(inside)} inside go on there"
        if shed:
            fractions = ", ".join(f"{fraction:.0%} of {class_name}" for class_name, fraction in shed.items())
            reason += f"; the rest can't bear all: {fractions}"
        return replace(
            situation.unchanged,
            phase=Phase.LEAVING,
            witnesses=down,
            inside=bool(inside),
            shed=shed,
            tenants=self._planner.shed_by_tenant(situation.now, shed, situation.settings),
            flaps=flaps,
            reason=reason,
        )

    # ---- left --------------------------------------------------------------------------------------------

    def _change_of_left(self, situation: Situation) -> ZoneChange | None:
        now = situation.now
        place = situation.place
        watch = situation.watch
        stay_s = min(self._timing.stay_most, self._timing.stay * 2 ** min(MAX_STAY_DOUBLINGS, place.flaps))
        is_alive = now - watch.up_since >= self._timing.alive
        if situation.age_s >= stay_s and is_alive and situation.is_applied_by_all(place.index):
            up = situation.witness_groups.up
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
        shed = self._planner.next_shed(now, situation.name, situation.zones, settings)
        tenants = self._planner.shed_by_tenant(now, shed, settings)
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
        # The return must not end before the servers are warm: starts are not limited after it.
        step_s = max(self._timing.step, situation.settings.warm_up_us / 1e6 / RETURN_STEPS)
        if self._is_down(situation, self._timing.confirm) and self._may_leave(situation):
            return self._leave(situation, place.flaps + 1)
        sent, succeeded, failed = self._watches.starts_in_step(situation.now, situation.name, watch)
        ended = succeeded + failed
        if failed >= MIN_FAILED_STARTS and failed > FAILED_START_FRACTION * ended:
            watch.step_length_factor = min(MAX_STEP_LENGTH_FACTOR, 2 * watch.step_length_factor)
            if place.step == 1 and age_s < step_s:
                return None  # the first step has no predecessor and only lasts longer
            return self._step(situation, max(1, place.step - 1), f"{failed} of {ended} starts went wrong")
        # A step without any start gives no evidence, and continues after twice its length instead of never.
        if age_s < step_s * watch.step_length_factor * (1 if sent else 2):
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
