"""Outlier detection from the outcomes of offers that were not placed."""

from __future__ import annotations

from weldhatch.scheduling.cluster_state import NO_PERIOD, MachineRecord, OutlierPeriod, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.events import AttemptEnded
from weldhatch.scheduling.health import HealthMonitor
from weldhatch.scheduling.ranking import ANY_CLASS
from weldhatch.scheduling.retries import MAX_BACKOFF_US
from weldhatch.scheduling.types import Outcome, Reason

INITIAL_OUTLIER_US = 5_000_000  # first period for which an outlier is drawn last; doubles
MAX_OUTLIER_US = 40_000_000
OUTLIER_FAULTS = 2  # errors and resets without a placed task in between that make an outlier
FAULT_MERGE_US = 200_000  # failures this close together are one fault: a lost connection fails all its offers
DECLINED_US = 1_000_000  # validity of a rejection for lack of capacity
MIN_OFFER_LIMIT = 2.0
OFFER_LIMIT_DECREASE = 0.8  # factor on open offers after a queue-full rejection; starts raise the limit again


class OutlierDetector:
    """Marks outliers and adjusts offer limits from the outcomes of offers."""

    def __init__(self, context: DecisionContext, health: HealthMonitor) -> None:
        """`health` is notified of machines that do not respond."""
        self._context = context
        self._health = health

    def assess_ended_offer(self, request: RequestRecord, machine: MachineRecord, event: AttemptEnded) -> None:
        """Assess the outcome of an offer that was not placed."""
        if event.outcome is Outcome.FULL:
            self._assess_declined(request, machine, event.reason)
        elif event.outcome in (Outcome.ERROR, Outcome.RESET):
            self._count_fault(request, machine)
        elif event.outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            self._health.mark_unresponsive(machine)

    def _assess_declined(self, request: RequestRecord, machine: MachineRecord, reason: int) -> None:
        now = self._context.now
        if reason == Reason.UNSPECIFIED:  # without a reason, the rejection may concern this class only
            self.mark_outlier(machine, request.class_index)
        elif reason == Reason.QUEUE_FULL:
            open_offers = min(machine.offer_limit, len(machine.open_offers))
            machine.offer_limit = max(MIN_OFFER_LIMIT, open_offers * OFFER_LIMIT_DECREASE)
            machine.decline(now + MAX_BACKOFF_US, 0.0, 0.0)
        else:
            request.declines += 1
            machine.decline(
                now + DECLINED_US,
                request.cores if reason == Reason.NO_CORES else 0.0,
                request.memory if reason == Reason.NO_MEMORY else 0.0,
            )

    def _count_fault(self, request: RequestRecord, machine: MachineRecord) -> None:
        """Count a fault, unless the request has failed before or the last fault is too recent.

        Guards against invalid requests, which fail on every machine, and against answers corrupted in
        transit: a single failure is no evidence against the machine.
        """
        now = self._context.now
        if not request.failed_machines and now - machine.fault_at > FAULT_MERGE_US:
            machine.faults += 1
            machine.fault_at = now
            if machine.faults >= OUTLIER_FAULTS:
                self.mark_outlier(machine, ANY_CLASS)

    def mark_outlier(self, machine: MachineRecord, class_index: int) -> None:
        """Mark the machine as an outlier for a class; a period soon after the last one is twice as long."""
        now = self._context.now
        until, length = machine.outlier_periods.get(class_index, NO_PERIOD)
        length = min(2 * length, MAX_OUTLIER_US) if now < until + length else INITIAL_OUTLIER_US
        machine.outlier_periods[class_index] = OutlierPeriod(now + length, length)

    def clear_failures(self, request: RequestRecord, machine: MachineRecord) -> None:
        """Record that the machine took the request; others that answered it with an error are outliers."""
        machine.unresponsive = False
        machine.faults = 0
        for failed in request.failed_machines:
            if failed is not machine:
                self.mark_outlier(failed, ANY_CLASS)

    def forgive_fault(self, machine: MachineRecord) -> None:
        """Remove one fault: the request failed on several machines, so the request was the cause."""
        machine.faults = max(0, machine.faults - 1)
