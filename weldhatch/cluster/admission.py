"""Admission check of one front: made when a request arrives, and again when a start is sent."""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.coordination.lease_holder import LeaseHolder
from weldhatch.core.ports import Task
from weldhatch.zones.failover_member import FailoverMember

DEFAULT_RETRY_AFTER_US = 1_000_000  # also the upper limit where the settings state none


class AdmissionGate:
    """Implements `core.ports.Rules` for a dispatcher of a group, from its lease and the current time."""

    def __init__(
        self,
        lease_holder: LeaseHolder,
        clock: Callable[[], float],
        name_of: Callable[[int], str],
        list_revision: Callable[[], int] = lambda: 0,
        zone_member: FailoverMember | None = None,
    ) -> None:
        """Check requests and starts by the rules that `lease_holder` holds.

        `name_of` returns the name that operators use for a machine's number. `list_revision` returns the
        revision of this dispatcher's own endpoint list. `zone_member` is set if the group uses zone failover.
        """
        self._lease_holder = lease_holder
        self._clock = clock
        self._name_of = name_of
        self._list_revision = list_revision
        self._zone_member = zone_member
        self.rejected_requests = 0
        self.stopped_starts = 0

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
        """Return None if a request may be admitted; else how long its owner should wait before a retry."""
        wait_us = DEFAULT_RETRY_AFTER_US
        if not self._refusal_reason(task.class_index, ""):
            rejection = None
            if self._zone_member is not None:
                rejection = self._zone_member.rejection(
                    self._clock(), task.class_index, task.key, task.tenant, task.cores
                )
            if rejection is None:
                return None
            wait_us = max(1, int(1e6 * rejection.retry_after_s))
        self.rejected_requests += 1
        return min(wait_us, self._max_retry_after_us())

    def _max_retry_after_us(self) -> int:
        rules = self._lease_holder.rules
        if rules is not None and rules.restricted.settings.retry_after:
            return rules.restricted.settings.max_retry_after_us
        return DEFAULT_RETRY_AFTER_US

    def start_refusal(self, class_index: int, machine: int, attempt: int = -1) -> str:
        """Return why a start may not be sent to that machine at this moment; '' if it may.

        `attempt`: the number of an attempt that is sent now if it may be; -1 for one requested earlier.
        """
        reason = self._refusal_reason(class_index, self._name_of(machine))
        if not reason and self._zone_member is not None:
            reason = self._zone_member.start_refusal(self._clock(), machine, attempt)
        self.stopped_starts += bool(reason)
        return reason
