"""Whether a machine should take a request: its open offers, its last refusal, the capacity booked there."""

from __future__ import annotations

from weldhatch.scheduling.capacity import STALE_US, TRUSTED_US, CapacityView
from weldhatch.scheduling.cluster_state import MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext

LOW_PRIORITY_SHARE = 0.7  # the part of the offer limit that classes below the highest priority may fill
RESERVED_SHARE = 0.08  # the part of a machine's capacity that the least weighty class leaves to the others


class Admission:
    """Admits requests to machines, as far as their capacity is known here."""

    def __init__(self, context: DecisionContext, capacity: CapacityView) -> None:
        """Admit by the capacity that this view tells."""
        self._context = context
        self._capacity = capacity
        self.reconfigure()

    def reconfigure(self) -> None:
        """Work out from the classes which priority is the highest and which weight the least."""
        classes = self._context.settings.classes
        weights = {request_class.priority_weight for request_class in classes}
        self._highest_priority = max(request_class.priority for request_class in classes)
        self._least_weight = min(weights) if len(weights) > 1 else None

    def is_least_weighty(self, request: RequestRecord) -> bool:
        """Whether the request is of the class that gives way to all others."""
        return request.request_class.priority_weight == self._least_weight

    def admits(self, request: RequestRecord, machine: MachineRecord) -> bool:
        """Whether the machine should be offered the request."""
        full_limit = request.request_class.priority >= self._highest_priority
        if len(machine.open_offers) >= machine.offer_limit * (1.0 if full_limit else LOW_PRIORITY_SHARE):
            return False
        now = self._context.now
        if (
            now < machine.declined_until
            and request.cores >= machine.declined_cores
            and request.memory >= machine.declined_memory
        ):
            return False
        if now - machine.unreserved.reported_at <= STALE_US:
            cores, memory = machine.unreserved.remaining(machine, 1.0, 1.0)
        else:  # a guess from usage held too much back
            cores = machine.cores - machine.running_cores - machine.offered_cores
            memory = machine.memory - machine.running_memory - machine.offered_memory
        return self.fits(request, machine, cores, memory)

    def fits(self, request: RequestRecord, machine: MachineRecord, cores: float, memory: float) -> bool:
        """Whether the request fits into so much free capacity, overbooked as the settings allow."""
        settings = self._context.settings
        part = 1 - RESERVED_SHARE if self.is_least_weighty(request) else 1.0
        return (
            cores + (part * settings.cores_booking - 1) * machine.cores >= request.cores
            and memory + (part * settings.memory_booking - 1) * machine.memory >= request.memory
        )

    def knows_capacity(self, request: RequestRecord, machine: MachineRecord) -> bool:
        """Whether the machine told lately what a probe would; one that told no capacity is asked sooner."""
        reported = self._capacity.reported(machine)
        age = self._context.now - reported.reported_at
        return age <= STALE_US or (
            self._context.many_dispatchers
            and age <= TRUSTED_US
            and self.fits(request, machine, *reported.remaining(machine, 1.0, 1.0))
        )
