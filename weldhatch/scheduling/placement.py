"""Steps of placing a request: draw machines, probe them, bind to one, or block."""

from __future__ import annotations

from weldhatch.scheduling.admission import Admission
from weldhatch.scheduling.binding import Binder
from weldhatch.scheduling.cluster_state import MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.health import HealthMonitor
from weldhatch.scheduling.ranking import HOME_TIER
from weldhatch.scheduling.retries import Retries
from weldhatch.scheduling.sampling import Sampler

PROBE_WAIT_SHARE = 0.1  # fraction of the latency objective that probes may take; after it old reports decide


class PlacementPath:
    """Runs the placement steps. A step of an older generation of the request does nothing."""

    def __init__(
        self,
        context: DecisionContext,
        sampler: Sampler,
        binder: Binder,
        admission: Admission,
        health: HealthMonitor,
    ) -> None:
        """Connect the steps. The policy sets `retries` afterwards, since `Retries` needs `draw`."""
        self._context = context
        self._sampler = sampler
        self._binder = binder
        self._admission = admission
        self._health = health
        self.retries: Retries

    def draw(self, request: RequestRecord, generation: int) -> None:
        """Draw machines, and probe those without a recent report."""
        if request.answered or request.open_attempt is not None or generation != request.generation:
            return
        drawn = self._sampler.draw(request)
        request.awaited_probes = set()
        request.generation += 1
        if not drawn:
            self.retries.block(request)
            return
        unreported = self._without_report(request, drawn)
        request.awaited_probes = {machine.entry.id for machine in unreported}
        for machine in unreported:
            machine.probe_waiters[request.id] = None
            self._health.probe(machine)
        if unreported:
            wait = PROBE_WAIT_SHARE * request.request_class.latency_objective_us
            self._context.schedule(wait, self.bind, request, request.generation)
        else:
            self.bind(request, request.generation)

    def _without_report(self, request: RequestRecord, drawn: list[MachineRecord]) -> list[MachineRecord]:
        settings = self._context.settings
        if not settings.may_probe or not settings.report_fields:
            return []
        return [machine for machine in drawn if not self._admission.knows_capacity(request, machine)]

    def bind(self, request: RequestRecord, generation: int) -> None:
        """Offer the request to the best drawn machine; draw once more if probes raised its tier."""
        if generation != request.generation or request.answered or request.open_attempt is not None:
            return
        request.generation += 1
        choice = self._binder.choose(request)
        if choice is None:
            self.retries.block(request)
            return
        machine, tier = choice
        if not request.redrawn and tier > max(request.drawn_tier, HOME_TIER):
            request.redrawn = True  # outdated records ended the draw too soon
            self.draw(request, request.generation)
        elif not self._binder.offer(request, machine):
            self.retries.block(request)
