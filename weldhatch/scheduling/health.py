"""Which machines respond: probes of drawn machines, silence, and offers that stay open for long."""

from __future__ import annotations

from weldhatch.scheduling.actions import Cancel, Log, Probe
from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.types import Effect, Reason

OVERDUE_US = 1_000_000  # an offer open for this long, or the latency objective, has its machine probed
RECHECK_US = 400_000  # an unresponsive machine may be drawn again after this; doubles
LONGEST_RECHECK_US = 3_200_000
DRAINING_US = 6_000_000  # a machine that sends tasks away or takes none counts as draining for this long


class HealthMonitor:
    """Probes machines, and keeps which of them are unresponsive or drain unannounced."""

    def __init__(self, context: DecisionContext, cluster: ClusterState) -> None:
        """Watch these machines."""
        self._context = context
        self._cluster = cluster

    def probe(self, machine: MachineRecord) -> None:
        """Ask a machine for its load; one probe serves all that wait for it."""
        if not machine.probes_out:
            machine.probes_out += 1
            self._context.actions.append(Probe(machine.entry.id))

    def watch_offer(self, request: RequestRecord, machine: MachineRecord, attempt: int) -> None:
        """Have the machine probed if this offer stays open for too long."""
        if self._context.settings.may_probe:
            wait = max(request.request_class.latency_objective_us, OVERDUE_US)
            self._context.schedule(wait, self._check_overdue, machine, request.id, attempt)

    def _check_overdue(self, machine: MachineRecord, request: int, attempt: int) -> None:
        if machine.open_offers.get(request) == attempt:
            self.probe(machine)
            self._context.schedule(OVERDUE_US, self._check_overdue, machine, request, attempt)

    def mark_unresponsive(self, machine: MachineRecord) -> None:
        """Leave a machine out that gave no sign.

        It stays so until a draw, after a wait that doubles, has its probe answered; no timers for it.
        """
        context = self._context
        again = machine.unresponsive
        machine.unresponsive = True
        machine.recheck_backoff_us = (
            min(2 * machine.recheck_backoff_us, LONGEST_RECHECK_US) if again else RECHECK_US
        )
        machine.recheck_at = context.now + context.jitter(machine.recheck_backoff_us)
        if not again:
            context.actions.append(Log(f"machine {machine.entry.id} is silent"))
        elif context.settings.may_cancel:
            self._cancel_offers(machine)

    def _cancel_offers(self, machine: MachineRecord) -> None:
        """Take back what another machine may still do in time, and without harm."""
        context = self._context
        for request_id, attempt in machine.open_offers.items():
            request = self._cluster.requests[request_id]
            if (
                request.request_class.effect is not Effect.UNSAFE
                and not request.answered
                and attempt + 1 < context.settings.max_attempts
                and context.now - request.attempts[attempt].sent_at >= RECHECK_US
            ):
                context.actions.append(Cancel(request_id, attempt))

    def notice_draining(self, machine: MachineRecord, reason: int) -> None:
        """Take a machine for draining that sends tasks away or takes none."""
        context = self._context
        if reason in (Reason.DRAINED, Reason.NOT_ACCEPTING) and context.now >= machine.draining_until:
            machine.draining_until = context.now + DRAINING_US
            context.actions.append(Log(f"machine {machine.entry.id} sends tasks away: taken for draining"))
