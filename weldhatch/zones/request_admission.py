"""Rejects arriving requests depending on the state of the zones. Pure."""

from __future__ import annotations

from collections.abc import Callable, Collection

from weldhatch.scheduling.types import Effect
from weldhatch.zones.load_accounting import LoadAccounting
from weldhatch.zones.local_view import LocalView
from weldhatch.zones.reports import Isolation
from weldhatch.zones.request_rejection import DEFAULT_RETRY_AFTER_S, Rejection
from weldhatch.zones.retry_budget import MigrationRamp
from weldhatch.zones.state import NO_NEW_WORK
from weldhatch.zones.task_fences import TaskFences


class RequestAdmission:
    """Rejects requests because of isolation, fenced keys, load shedding and the migration ramp."""

    def __init__(
        self,
        view: LocalView,
        load: LoadAccounting,
        fences: TaskFences,
        ramp: MigrationRamp,
        draw: Callable[[], float],
    ) -> None:
        """`draw` returns uniformly distributed random numbers in [0, 1)."""
        self.rejected = 0
        self._view = view
        self._load = load
        self._fences = fences
        self._ramp = ramp
        self._draw = draw

    def rejection(
        self,
        now: float,
        class_index: int,
        key: int,
        tenant: int,
        cores: float,
        isolation: Isolation,
        left_places: Collection[str],
    ) -> Rejection | None:
        """Return why a request is rejected, or None if it is admitted.

        `isolation`: of this dispatcher as of the last tick; `left_places`: the places that it has left.
        """
        found = (
            self._isolation_rejection(isolation)
            or self._fence_rejection(now, class_index, key)
            or self._shed_rejection(class_index, tenant)
            or self._migration_rejection(now, left_places)
        )
        if found is not None:
            self.rejected += 1
            # Rejected work counts as demand as well. Otherwise the demand of a tenant would appear lower
            # after each rejection, and its fraction to shed would oscillate.
            self._load.work_requested(now, class_index, tenant, cores)
        return found

    def _isolation_rejection(self, isolation: Isolation) -> Rejection | None:
        own = self._view.own_zone
        if self._view.zones.place(own).phase in NO_NEW_WORK and isolation is not Isolation.NONE:
            # A dispatcher in a left zone that still reaches the servers of other zones is not isolated, and
            # continues to place requests there.
            return Rejection(DEFAULT_RETRY_AFTER_S, f"{own} is left, and we are cut off: others take it")
        return None

    def _fence_rejection(self, now: float, class_index: int, key: int) -> Rejection | None:
        if key and self._view.settings.classes[class_index].effect is not Effect.SAFE:
            return self._fences.rejection(now, key)
        return None

    def _shed_rejection(self, class_index: int, tenant: int) -> Rejection | None:
        class_name = self._view.settings.classes[class_index].name
        tenant_name = self._view.tenant_name(tenant)
        fraction = max(
            (
                place.shed_fraction(class_name, tenant_name)
                for place in self._view.zones.entries.values()
                if place.phase in NO_NEW_WORK
            ),
            default=0.0,
        )
        if fraction and self._draw() < fraction:
            tenant_text = tenant_name or "all"
            return Rejection(
                DEFAULT_RETRY_AFTER_S,
                f"the rest can't bear it: {fraction:.0%} of {tenant_text}'s {class_name} is turned away",
            )
        return None

    def _migration_rejection(self, now: float, left_places: Collection[str]) -> Rejection | None:
        if not left_places:
            return None
        wait_s = self._ramp.retry_after_s(now, self._draw())
        return Rejection(wait_s, "work moves over by steps") if wait_s else None
