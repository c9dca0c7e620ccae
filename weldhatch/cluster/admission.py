"""The gate before the decisions of one front: asked when a request comes, and again when a start leaves."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.coordination.lease_holder import LeaseHolder
from weldhatch.core.ports import Task
from weldhatch.zones.failover_member import FailoverMember

DEFAULT_WAIT_US = 1_000_000  # for an owner whose request is rejected; settings may bound it


class AdmissionGate:
    """What the core and the fronts ask (`core.ports.Rules`). The lease holder knows, and the clock tells."""

    def __init__(
        self,
        lease_holder: LeaseHolder,
        clock: Callable[[], float],
        name_of: Callable[[int], str],
        list_revision: Callable[[], int] = lambda: 0,
        zone_member: FailoverMember | None = None,
    ) -> None:
        """Ask `lease_holder`.

        `name_of`: what operators call the machine of that number; `list_revision`: of our own list of
        machines; `zone_member`: where the group leaves zones that fail.
        """
        self._lease_holder = lease_holder
        self._clock = clock
        self._name_of = name_of
        self._list_revision = list_revision
        self._zone_member = zone_member
        self.rejected = 0  # requests
        self.stopped = 0  # starts

    def _refusal_reason(self, class_index: int, machine: str) -> str:
        rules = self._lease_holder.rules
        if rules is None:
            return "no rules are in force here"
        classes = rules.restricted.settings.classes
        if class_index >= len(classes):
            return "its class is not in force yet"
        return self._lease_holder.refusal_reason(
            self._clock(), classes[class_index], machine, self._list_revision()
        )

    def retry_after_us(self, task: Task) -> int | None:
        """Return None where a request may be taken up; else how long its owner should stay away."""
        wait = DEFAULT_WAIT_US
        if not self._refusal_reason(task.class_index, ""):
            away = None
            if self._zone_member is not None:
                away = self._zone_member.rejection(
                    self._clock(), task.class_index, task.key, task.tenant, task.cores
                )
            if away is None:
                return None
            wait = max(1, int(1e6 * away.retry_after_s))
        self.rejected += 1
        return min(wait, self._longest_wait_us())

    def _longest_wait_us(self) -> int:
        rules = self._lease_holder.rules
        if rules is not None and rules.restricted.settings.retry_after:
            return rules.restricted.settings.max_retry_after_us
        return DEFAULT_WAIT_US

    def start_refusal(self, class_index: int, machine: int, attempt: int = -1) -> str:
        """Return why a start may not leave for that machine at this moment; '' where it may.

        `attempt`: the number of an attempt that goes out now if it may; -1 for one that was asked for before.
        """
        reason = self._refusal_reason(class_index, self._name_of(machine))
        if not reason and self._zone_member is not None:
            reason = self._zone_member.start_refusal(self._clock(), machine, attempt)
        self.stopped += bool(reason)
        return reason
