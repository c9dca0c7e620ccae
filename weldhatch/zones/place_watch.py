"""Tracks for one leader how long each place has had its phase and how long witnesses have agreed. Pure.

The state is not replicated. A new leader restarts all durations, so a place stays left or at its return step
a little longer after a change of leader, never shorter.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.zones.state import Phase, PlaceState
from weldhatch.zones.witnesses import Witnesses, WitnessGroups

NEVER = float("inf")


@dataclass(slots=True)
class PlaceWatch:
    """Timing of one place, in seconds of the leader's clock. A `_since` of inf means: not the case now."""

    number: int = -1  # of the last change that was processed
    phase: Phase = Phase.SERVING
    since: float = 0.0  # when this leader first saw the phase or return step
    shed_reviewed_at: float = 0.0
    down_since: float = NEVER  # a quorum reports the place down
    up_since: float = NEVER  # a quorum reports it up
    calm_since: float = NEVER  # nobody reports it down, or more report it up
    abandoned_since: float = NEVER  # no dispatcher inside reports it up
    inherited: bool = False  # the suspicion was agreed under a previous leader
    counts_at_step: dict[str, tuple[int, ...]] = field(default_factory=dict)  # starts, by incarnation
    step_length_factor: float = 1.0  # the step lasts longer after failed starts


class PlaceWatches:
    """The timing of all places that the leader has evaluated."""

    def __init__(self, now: float, fresh_s: float, witnesses: Witnesses) -> None:
        """Start at the beginning of a leader's term; reports are valid for `fresh_s` seconds."""
        self._began = now
        self._fresh_s = fresh_s
        self._witnesses = witnesses
        self._by_place: dict[str, PlaceWatch] = {}

    def update(self, now: float, name: str, place: PlaceState, witness_groups: WitnessGroups) -> PlaceWatch:
        """Update and return the timing of a place, from its agreed state and its witnesses."""
        if name not in self._by_place:
            # If the previous leader failed during a suspicion, the confirmation time does not start again:
            # members that still report the place down are sufficient.
            self._by_place[name] = PlaceWatch(inherited=place.phase is Phase.SUSPECTED)
        watch = self._by_place[name]
        if watch.number != place.number:
            watch = self._by_place[name] = self._after_change(now, name, place, watch)
        down = witness_groups.down
        up = witness_groups.up
        enough_down = self._witnesses.are_enough(now, name, down, up)
        enough_up = self._witnesses.are_enough(now, name, up, down)
        watch.down_since = _since(watch.down_since, now, enough_down)
        watch.up_since = _since(watch.up_since, now, enough_up)
        watch.calm_since = _since(watch.calm_since, now, not down or len(up) > len(down))
        watch.abandoned_since = _since(watch.abandoned_since, now, not witness_groups.inside)
        if watch.down_since <= now and now - self._began <= self._fresh_s:
            reported_s = self._witnesses.down_for_s(now, name, down)
            watch.down_since = min(watch.down_since, now - reported_s)
        return watch

    def _after_change(self, now: float, name: str, place: PlaceState, last: PlaceWatch) -> PlaceWatch:
        # A change of the shed fractions while a place is left does not restart the time away.
        still_left = place.phase is last.phase is Phase.LEFT
        return PlaceWatch(
            number=place.number,
            phase=place.phase,
            since=last.since if still_left else now,
            shed_reviewed_at=now,
            down_since=last.down_since,
            up_since=last.up_since,
            abandoned_since=last.abandoned_since,
            inherited=last.inherited and last.number < 0,
            counts_at_step=self._witnesses.start_counts(now, name),
            step_length_factor=last.step_length_factor if place.phase is Phase.RETURNING else 1.0,
        )

    def starts_in_step(self, now: float, name: str, watch: PlaceWatch) -> tuple[int, int, int]:
        """Return the starts of all members in this step: the numbers sent, succeeded and failed."""
        totals = [0, 0, 0]
        for incarnation, counts in self._witnesses.start_counts(now, name).items():
            before = watch.counts_at_step.setdefault(incarnation, counts)
            totals = [
                total + max(0, new - old) for total, new, old in zip(totals, counts, before, strict=True)
            ]
        return totals[0], totals[1], totals[2]


def _since(since: float, now: float, holds: bool) -> float:
    return min(since, now) if holds else NEVER
