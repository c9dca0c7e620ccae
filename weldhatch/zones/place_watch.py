"""What one leader remembers of each place: since when it has its phase, and since when witnesses agree. Pure.

It is of this leader alone. A new one begins its spans anew: a place stays left, or at its step, a little
longer, and never shorter.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.zones.state import Phase, PlaceState
from weldhatch.zones.witnesses import Testimony, Witnesses

NEVER = float("inf")


@dataclass(slots=True)
class PlaceWatch:
    """One place. Times are seconds of the leader's clock; inf where something does not hold now."""

    number: int = -1  # of the change it was seen at
    phase: Phase = Phase.SERVING
    since: float = 0.0  # when that phase, or step, was first seen here
    shed_reviewed_at: float = 0.0
    down_since: float = NEVER  # a quorum calls it down
    up_since: float = NEVER
    calm_since: float = NEVER  # nobody calls it down, or more call it up
    abandoned_since: float = NEVER  # nobody inside calls it up
    inherited: bool = False  # a suspicion that a leader before this one had agreed on
    counts_at_step: dict[str, tuple[int, ...]] = field(default_factory=dict)  # by incarnation
    stretch: float = 1.0  # of this step's length, after a step back


class PlaceWatches:
    """The watches of all places that were looked at."""

    def __init__(self, now: float, fresh_s: float, witnesses: Witnesses) -> None:
        """Begin with a leader; reports count for `fresh_s` seconds."""
        self._began = now
        self._fresh_s = fresh_s
        self._witnesses = witnesses
        self._by_place: dict[str, PlaceWatch] = {}

    def update(self, now: float, name: str, place: PlaceState, testimony: Testimony) -> PlaceWatch:
        """Bring a place's watch up to date with its agreed state and what is reported."""
        if name not in self._by_place:
            # Guards against a leader's death in the middle of a suspicion: what it had witnesses for is not
            # confirmed from the beginning again, those that call it down now, too, are enough.
            self._by_place[name] = PlaceWatch(inherited=place.phase is Phase.SUSPECTED)
        watch = self._by_place[name]
        if watch.number != place.number:
            watch = self._by_place[name] = self._after_change(now, name, place, watch)
        down = testimony.down
        up = testimony.up
        enough_down = self._witnesses.are_enough(now, name, down, up)
        enough_up = self._witnesses.are_enough(now, name, up, down)
        watch.down_since = _since(watch.down_since, now, enough_down)
        watch.up_since = _since(watch.up_since, now, enough_up)
        watch.calm_since = _since(watch.calm_since, now, not down or len(up) > len(down))
        watch.abandoned_since = _since(watch.abandoned_since, now, not testimony.inside)
        if watch.down_since <= now and now - self._began <= self._fresh_s:
            reported_s = self._witnesses.down_for_s(now, name, down)
            watch.down_since = min(watch.down_since, now - reported_s)
        return watch

    def _after_change(self, now: float, name: str, place: PlaceState, last: PlaceWatch) -> PlaceWatch:
        # What is shed may change while a place is left: that begins nothing anew.
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
            stretch=last.stretch if place.phase is Phase.RETURNING else 1.0,
        )

    def starts_in_step(self, now: float, name: str, watch: PlaceWatch) -> tuple[int, int, int]:
        """Return the starts of all members in this step: sent, succeeded and failed."""
        totals = [0, 0, 0]
        for incarnation, counts in self._witnesses.start_counts(now, name).items():
            before = watch.counts_at_step.setdefault(incarnation, counts)
            totals = [
                total + max(0, new - old) for total, new, old in zip(totals, counts, before, strict=True)
            ]
        return totals[0], totals[1], totals[2]


def _since(since: float, now: float, holds: bool) -> float:
    return min(since, now) if holds else NEVER
