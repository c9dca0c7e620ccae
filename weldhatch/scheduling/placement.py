"""The path of a request: draw, probe, bind, and what follows a block."""

from __future__ import annotations

from weldhatch.scheduling.admission import Admission
from weldhatch.scheduling.binding import Binder
from weldhatch.scheduling.cluster_state import MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.health import HealthMonitor
from weldhatch.scheduling.ranking import HOME
from weldhatch.scheduling.retries import Retries
from weldhatch.scheduling.sampling import Sampler

PROBE_PATIENCE = 0.1  # the part of the latency objective that probes are waited for; then records decide


class PlacementPath:
    """Takes requests along their path; each step is void once the request has moved on."""

    def __init__(
        self,
        context: DecisionContext,
        sampler: Sampler,
        binder: Binder,
        admission: Admission,
        health: HealthMonitor,
    ) -> None:
        """Join these steps; `retries` is set by the policy, as it draws again by this path."""
        self._context = context
        self._sampler = sampler
        self._binder = binder
        self._admission = admission
        self._health = health
        self.retries: Retries

    def draw(self, request: RequestRecord, generation: int) -> None:
        """Draw machines, and probe those that have not reported lately."""
        if request.answered or request.open_attempt is not None or generation != request.generation:
            return
        drawn = self._sampler.draw(request)
        request.awaited_probes = set()
        request.generation += 1
        if not drawn:
            self.retries.block(request)
            return
        unknown = self._without_report(request, drawn)
        request.awaited_probes = {machine.entry.id for machine in unknown}
        for machine in unknown:
            machine.probe_waiters[request.id] = None
            self._health.probe(machine)
        if unknown:
            wait = PROBE_PATIENCE * request.request_class.latency_objective_us
            self._context.schedule(wait, self.bind, request, request.generation)
        else:
            self.bind(request, request.generation)

    def _without_report(self, request: RequestRecord, drawn: list[MachineRecord]) -> list[MachineRecord]:
        settings = self._context.settings
        if not settings.may_probe or not settings.report_fields:
            return []
        return [machine for machine in drawn if not self._admission.knows_capacity(request, machine)]

    def bind(self, request: RequestRecord, generation: int) -> None:
        """Offer the request to the best of the drawn machines; draw once more where probes told worse."""
        if generation != request.generation or request.answered or request.open_attempt is not None:
            return
        request.generation += 1
        choice = self._binder.choose(request)
        if choice is None:
            self.retries.block(request)
            return
        machine, tier = choice
        if not request.redrawn and tier > max(request.drawn_tier, HOME):
            request.redrawn = True  # the draw knew too little: it stopped looking too soon
            self.draw(request, request.generation)
        elif not self._binder.offer(request, machine):
            self.retries.block(request)
