"""Binding: chooses the sampled machine that a request is offered to. All offers are made here."""

from __future__ import annotations

from weldhatch.scheduling.actions import Offer
from weldhatch.scheduling.capacity import CapacityView
from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.eligibility import Eligibility
from weldhatch.scheduling.events import Attempt
from weldhatch.scheduling.health import HealthMonitor
from weldhatch.scheduling.ranking import MachineRanking
from weldhatch.scheduling.types import Effect


class Binder:
    """Chooses a machine for a request and makes the offer."""

    def __init__(
        self,
        context: DecisionContext,
        cluster: ClusterState,
        eligibility: Eligibility,
        ranking: MachineRanking,
        capacity: CapacityView,
        health: HealthMonitor,
    ) -> None:
        """Choose by eligibility, tier and free memory; `health` monitors the open offers."""
        self._context = context
        self._cluster = cluster
        self._eligibility = eligibility
        self._ranking = ranking
        self._capacity = capacity
        self._health = health

    def choose(self, request: RequestRecord) -> tuple[MachineRecord, int] | None:
        """Return the best drawn machine and its tier, or None if no drawn machine is eligible.

        Order: lowest tier, then machines whose probe is not outstanding, then most free memory. Ties are
        broken at random.
        """
        ready = self._ready(request)
        self._context.random.shuffle(ready)
        best = None
        best_key: tuple[int, bool, float] | None = None
        for machine in ready:
            key = (
                self._ranking.tier(request, machine),
                machine.entry.id in request.awaited_probes,
                -self._capacity.free_memory(machine),
            )
            if best_key is None or key < best_key:
                best = machine
                best_key = key
        return None if best is None or best_key is None else (best, best_key[0])

    def _ready(self, request: RequestRecord) -> list[MachineRecord]:
        """Return the drawn machines that the request may be offered to."""
        eligibility = self._eligibility
        machines = self._cluster.machines
        probed = self._context.settings.may_probe
        drawn = [machines[machine] for machine in request.drawn if machine in machines]
        return [
            machine
            for machine in drawn
            if eligibility.eligible(request, machine, probed)
            or (eligibility.none_usable() and eligibility.permitted(request, machine))
        ]

    def offer(self, request: RequestRecord, machine: MachineRecord) -> bool:
        """Offer the request if the rules permit it now; return whether the offer was made."""
        if not self._eligibility.permitted(request, machine):
            return False
        context = self._context
        attempt = len(request.attempts)
        request.open_attempt = attempt
        request.attempts.append(Attempt(machine.entry, context.now))
        machine.add_offer(request, attempt, context.now)
        self._cluster.placements.add(request.service, machine)
        context.actions.append(Offer(request.id, machine.entry.id, 0, self._start_by(request, machine)))
        self._health.watch_offer(request, machine, attempt)
        return True

    def _start_by(self, request: RequestRecord, machine: MachineRecord) -> int:
        """Return the latest time at which the offer may be sent, or 0 for no limit.

        An offer may wait for its connection. To a machine that is warming up it must be sent within twice the
        answer margin, as slow start assumes; for a keyed request that may have run, within the key's window.
        """
        context = self._context
        limits = []
        if context.now < machine.entry.born_us + context.settings.warm_up_us:
            limits.append(context.now + 2 * context.answer_margin_us)
        uncertain = request.uncertain_attempt
        if uncertain is not None and request.request_class.effect is Effect.KEYED:
            window_ends = uncertain.sent_at + request.request_class.window_us
            limits.append(window_ends - context.answer_margin_us)
        return min(limits, default=0)
