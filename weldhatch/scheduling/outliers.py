"""Outlier detection: what the end of an offer that was not placed tells of its machine."""

from __future__ import annotations

from weldhatch.scheduling.cluster_state import NO_PERIOD, MachineRecord, OutlierPeriod, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.events import AttemptEnded
from weldhatch.scheduling.health import HealthMonitor
from weldhatch.scheduling.ranking import ANY_CLASS
from weldhatch.scheduling.retries import LONGEST_BACKOFF_US
from weldhatch.scheduling.types import Outcome, Reason

OUTLIER_US = 5_000_000  # a failed start has its machine drawn last for so long; doubles
LONGEST_OUTLIER_US = 40_000_000
FAULTS = 2  # errors and broken answers, with no task placed in between, that make a machine an outlier
FAULT_US = 200_000  # what fails within so long is one fault: a connection takes all that is out on it along
DECLINED_US = 1_000_000  # a refusal for want of capacity speaks for this long
LEAST_OFFER_LIMIT = 2.0
OFFER_LIMIT_CUT = 0.8  # what a refusal for a full queue leaves of the limit; each start at it adds a little


class OutlierDetector:
    """Learns from the ends of offers which machines to draw last, and how much they take."""

    def __init__(self, context: DecisionContext, health: HealthMonitor) -> None:
        """Pass on to `health` what shows that a machine does not respond."""
        self._context = context
        self._health = health

    def assess_ended_offer(self, request: RequestRecord, machine: MachineRecord, event: AttemptEnded) -> None:
        """Take the end of an offer that was not placed."""
        if event.outcome is Outcome.FULL:
            self._assess_declined(request, machine, event.reason)
        elif event.outcome in (Outcome.ERROR, Outcome.RESET):
            self._count_fault(request, machine)
        elif event.outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            self._health.mark_unresponsive(machine)

    def _assess_declined(self, request: RequestRecord, machine: MachineRecord, reason: int) -> None:
        now = self._context.now
        if reason == Reason.UNSPECIFIED:  # full without want of capacity may be meant for the class alone
            self.mark_outlier(machine, request.class_index)
        elif reason == Reason.QUEUE_FULL:
            open_offers = min(machine.offer_limit, len(machine.open_offers))
            machine.offer_limit = max(LEAST_OFFER_LIMIT, open_offers * OFFER_LIMIT_CUT)
            machine.decline(now + LONGEST_BACKOFF_US, 0.0, 0.0)
        else:
            request.declines += 1
            machine.decline(
                now + DECLINED_US,
                request.cores if reason == Reason.NO_CORES else 0.0,
                request.memory if reason == Reason.NO_MEMORY else 0.0,
            )

    def _count_fault(self, request: RequestRecord, machine: MachineRecord) -> None:
        """Count a fault, unless it may be the request's own.

        Guards against requests that no machine can use, and answers spoilt on their way: one tells of
        itself, not of the machine.
        """
        now = self._context.now
        if not request.failed_machines and now - machine.fault_at > FAULT_US:
            machine.faults += 1
            machine.fault_at = now
            if machine.faults >= FAULTS:
                self.mark_outlier(machine, ANY_CLASS)

    def mark_outlier(self, machine: MachineRecord, class_index: int) -> None:
        """Have the machine drawn last for a class; twice as long where it has hardly been taken back."""
        now = self._context.now
        until, length = machine.outlier_periods.get(class_index, NO_PERIOD)
        length = min(2 * length, LONGEST_OUTLIER_US) if now < until + length else OUTLIER_US
        machine.outlier_periods[class_index] = OutlierPeriod(now + length, length)

    def clear_failures(self, request: RequestRecord, machine: MachineRecord) -> None:
        """A machine has taken the request: it responds, and where others failed it, that was their fault."""
        machine.unresponsive = False
        machine.faults = 0
        for failed in request.failed_machines:
            if failed is not machine:
                self.mark_outlier(failed, ANY_CLASS)

    def forgive_fault(self, machine: MachineRecord) -> None:
        """Take back one fault: other machines failed the same request, so it was the request."""
        machine.faults = max(0, machine.faults - 1)
