"""Binding: which of the drawn machines a request is offered to, and the one gate of all offers."""

from __future__ import annotations

from weldhatch.scheduling.actions import Offer
from weldhatch.scheduling.capacity import CapacityView
from weldhatch.scheduling.cluster_state import Attempt, ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.eligibility import Eligibility
from weldhatch.scheduling.health import HealthMonitor
from weldhatch.scheduling.ranking import MachineRanking
from weldhatch.scheduling.types import Effect


class Binder:
    """Binds requests to machines."""

    def __init__(
        self,
        context: DecisionContext,
        cluster: ClusterState,
        eligibility: Eligibility,
        ranking: MachineRanking,
        capacity: CapacityView,
        health: HealthMonitor,
    ) -> None:
        """Bind by these rules, this ranking and this view of capacity; `health` watches the offers."""
        self._context = context
        self._cluster = cluster
        self._eligibility = eligibility
        self._ranking = ranking
        self._capacity = capacity
        self._health = health

    def choose(self, request: RequestRecord) -> tuple[MachineRecord, int] | None:
        """The drawn machine of the lowest tier with the most free memory, and its tier; None without any.

        Of two alike, one whose probe is back goes first; other ties are split at random.
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
        """The drawn machines that the request may be offered to."""
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
        """Offer the request, if the rules allow it at this moment; tell whether they do."""
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
        """Until when an offer may leave that waits for its connection; 0 where the rules set no time."""
        context = self._context
        limits = []
        if context.now < machine.entry.born_us + context.settings.warm_up_us:
            limits.append(context.now + 2 * context.answer_margin_us)
        uncertain = request.uncertain_attempt
        if uncertain is not None and request.request_class.effect is Effect.KEYED:
            window_ends = uncertain.sent_at + request.request_class.window_us
            limits.append(window_ends - context.answer_margin_us)
        return min(limits, default=0)
