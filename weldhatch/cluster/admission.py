"""The gate before the decisions of one front: asked when a request comes, and again when a start leaves."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.coordination.lease_holder import LeaseHolder
from weldhatch.core.ports import Task
from weldhatch.scheduling.types import Settings
from weldhatch.zones.failover_member import FailoverMember

WAIT_US = 1_000_000  # for an owner that is turned away; settings may bound it


class AdmissionGate:
    """What the core and the fronts ask (`core.ports.Rules`). The holder knows, and the clock tells."""

    def __init__(
        self,
        holder: LeaseHolder,
        now: Callable[[], float],
        name_of: Callable[[int], str],
        rev: Callable[[], int] = lambda: 0,
    ) -> None:
        """`name_of`: what operators call the machine of that number; `rev`: of our own list of machines."""
        self._holder, self._now, self._name_of, self._rev = holder, now, name_of, rev
        self.refused = self.stopped = 0
        self.keeper: FailoverMember | None = None  # where the group leaves zones that fail

    def _refusal(self, class_index: int, machine: str) -> str:
        rules = self._holder.rules
        if rules is None or class_index >= len(rules.narrow.settings.classes):
            return "no rules are in force here" if rules is None else "its class is not in force yet"
        cls = rules.narrow.settings.classes[class_index]
        return self._holder.refusal_reason(self._now(), cls, machine, self._rev())

    def away_us(self, task: Task) -> int | None:
        wait = WAIT_US
        if not self._refusal(task.class_index, ""):
            away = None
            if self.keeper is not None:
                away = self.keeper.rejection(self._now(), task.class_index, task.key, task.tenant, task.cores)
            if away is None:
                return None
            wait = max(1, int(1e6 * away.retry_after_s))
        self.refused += 1
        told: Settings | None = self._holder.rules and self._holder.rules.narrow.settings
        most = told.max_retry_after_us if told is not None and told.retry_after else WAIT_US
        return min(wait, most)

    def stops(self, class_index: int, machine: int, attempt: int = -1) -> str:
        why = self._refusal(class_index, self._name_of(machine))
        if not why and self.keeper is not None:
            why = self.keeper.start_refusal(self._now(), machine, attempt)
        self.stopped += bool(why)
        return why
