"""Which requests a dispatcher rejects when they arrive, by the state of the zones. Pure."""

from __future__ import annotations

from collections.abc import Callable, Collection

from weldhatch.scheduling.types import Effect
from weldhatch.zones.load_accounting import LoadAccounting
from weldhatch.zones.local_view import LocalView
from weldhatch.zones.reports import Isolation
from weldhatch.zones.request_rejection import RETRY_AFTER_S, Rejection
from weldhatch.zones.retry_budget import MigrationRamp
from weldhatch.zones.state import NO_NEW_WORK
from weldhatch.zones.task_fences import TaskFences


class RequestAdmission:
    """Load shedding, fenced keys, and the pace at which work migrates to the other zones."""

    def __init__(
        self,
        view: LocalView,
        load: LoadAccounting,
        fences: TaskFences,
        ramp: MigrationRamp,
        draw: Callable[[], float],
    ) -> None:
        """Shed by `draw`, which returns uniform numbers of 0 to 1."""
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
        """Return why a request is rejected; None where it is admitted.

        `isolation`: of this dispatcher as of the last tick; `left_places`: those that it has left.
        """
        found = (
            self._isolated(isolation)
            or self._fenced(now, class_index, key)
            or self._shed(class_index, tenant)
            or self._migrating(now, left_places)
        )
        if found is not None:
            self.rejected += 1
            # Guards against a tenant that seems to ask for less because it was rejected: its part would
            # swing from second to second.
            self._load.work_requested(now, class_index, tenant, cores)
        return found

    def _isolated(self, isolation: Isolation) -> Rejection | None:
        own = self._view.own_zone
        if self._view.zones.place(own).phase in NO_NEW_WORK and isolation is not Isolation.NONE:
            # One in a left zone that still reaches the servers of others goes on for them.
            return Rejection(RETRY_AFTER_S, f"{own} is left, and we are cut off: others take it")
        return None

    def _fenced(self, now: float, class_index: int, key: int) -> Rejection | None:
        if key and self._view.settings.classes[class_index].effect is not Effect.SAFE:
            return self._fences.rejection(now, key)
        return None

    def _shed(self, class_index: int, tenant: int) -> Rejection | None:
        class_name = self._view.settings.classes[class_index].name
        tenant_name = self._view.tenant_name(tenant)
        part = max(
            (
                place.shed_part(class_name, tenant_name)
                for place in self._view.zones.entries.values()
                if place.phase in NO_NEW_WORK
            ),
            default=0.0,
        )
        if part and self._draw() < part:
            whose = tenant_name or "all"
            return Rejection(
                RETRY_AFTER_S, f"the rest can't bear it: {part:.0%} of {whose}'s {class_name} is turned away"
            )
        return None

    def _migrating(self, now: float, left_places: Collection[str]) -> Rejection | None:
        if not left_places:
            return None
        wait_s = self._ramp.retry_after_s(now, self._draw())
        return Rejection(wait_s, "work moves over by steps") if wait_s else None
