"""Health of machines: probes, unresponsive machines, overdue offers and unannounced drains."""

from __future__ import annotations

from weldhatch.scheduling.actions import Cancel, Log, Probe
from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.types import Effect, Reason

OVERDUE_US = 1_000_000  # an offer open for longer than this and the latency objective causes a probe
INITIAL_RECHECK_US = 400_000  # first delay until an unresponsive machine may be drawn; doubles
MAX_RECHECK_US = 3_200_000
DRAINING_US = 6_000_000  # a machine that evicts for a drain or accepts no tasks counts as draining this long


class HealthMonitor:
    """Probes machines and marks those that are unresponsive or drain without announcement."""

    def __init__(self, context: DecisionContext, cluster: ClusterState) -> None:
        """Keep the health of the machines in `cluster`."""
        self._context = context
        self._cluster = cluster

    def probe(self, machine: MachineRecord) -> None:
        """Ask a machine for its load, unless a probe is already outstanding."""
        if not machine.probes_in_flight:
            machine.probes_in_flight += 1
            self._context.actions.append(Probe(machine.entry.id))

    def watch_offer(self, request: RequestRecord, machine: MachineRecord, attempt: int) -> None:
        """Probe the machine if this offer stays open for too long."""
        if self._context.settings.may_probe:
            wait = max(request.request_class.latency_objective_us, OVERDUE_US)
            self._context.schedule(wait, self._check_overdue, machine, request.id, attempt)

    def _check_overdue(self, machine: MachineRecord, request: int, attempt: int) -> None:
        if machine.open_offers.get(request) == attempt:
            self.probe(machine)
            self._context.schedule(OVERDUE_US, self._check_overdue, machine, request, attempt)

    def mark_unresponsive(self, machine: MachineRecord) -> None:
        """Mark a machine that did not answer.

        The mark ends when the machine answers a probe or takes a task. No timer rechecks it: after a delay,
        which doubles each time, a request may draw it again. If it was marked already, its open offers are
        cancelled where the settings allow that.
        """
        context = self._context
        was_unresponsive = machine.unresponsive
        machine.unresponsive = True
        machine.recheck_backoff_us = (
            min(2 * machine.recheck_backoff_us, MAX_RECHECK_US) if was_unresponsive else INITIAL_RECHECK_US
        )
        machine.recheck_at = context.now + context.jitter(machine.recheck_backoff_us)
        if not was_unresponsive:
            context.actions.append(Log(f"machine {machine.entry.id} is silent"))
        elif context.settings.may_cancel:
            self._cancel_offers(machine)

    def _cancel_offers(self, machine: MachineRecord) -> None:
        """Cancel open offers whose requests can safely be repeated elsewhere."""
        context = self._context
        for request_id, attempt in machine.open_offers.items():
            request = self._cluster.requests[request_id]
            if (
                request.request_class.effect is not Effect.UNSAFE
                and not request.answered
                and attempt + 1 < context.settings.max_attempts
                and context.now - request.attempts[attempt].sent_at >= INITIAL_RECHECK_US
            ):
                context.actions.append(Cancel(request_id, attempt))

    def detect_draining(self, machine: MachineRecord, reason: int) -> None:
        """Treat a machine as draining if an outcome's reason is a drain or that it accepts no tasks."""
        context = self._context
        if reason in (Reason.DRAINED, Reason.NOT_ACCEPTING) and context.now >= machine.draining_until:
            machine.draining_until = context.now + DRAINING_US
            context.actions.append(Log(f"machine {machine.entry.id} sends tasks away: taken for draining"))
