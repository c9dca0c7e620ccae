"""Admission of requests to machines, by open offers, recent rejections and reserved capacity."""

from __future__ import annotations

from weldhatch.scheduling.capacity import STALE_US, TRUSTED_US, CapacityView
from weldhatch.scheduling.cluster_state import MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext

LOW_PRIORITY_SHARE = 0.7  # fraction of the offer limit open to classes below the highest priority
RESERVED_SHARE = 0.08  # fraction of a machine's capacity that the class of least weight must leave free


class Admission:
    """Decides whether a machine can take a request, as far as its capacity is known."""

    def __init__(self, context: DecisionContext, capacity: CapacityView) -> None:
        """Take free capacity from `capacity`."""
        self._context = context
        self._capacity = capacity
        self.reconfigure()

    def reconfigure(self) -> None:
        """Recompute the highest priority and the lowest weight of all classes."""
        classes = self._context.settings.classes
        weights = {request_class.priority_weight for request_class in classes}
        self._highest_priority = max(request_class.priority for request_class in classes)
        self._lowest_weight = min(weights) if len(weights) > 1 else None

    def is_lowest_weight(self, request: RequestRecord) -> bool:
        """Whether the request's class has the lowest priority weight, where the weights differ."""
        return request.request_class.priority_weight == self._lowest_weight

    def admits(self, request: RequestRecord, machine: MachineRecord) -> bool:
        """Whether the offer limit, recent rejections and free capacity allow offering the request here."""
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
        else:  # without a recent report, an estimate from usage would reject too much
            cores = machine.cores - machine.running_cores - machine.offered_cores
            memory = machine.memory - machine.running_memory - machine.offered_memory
        return self.fits(request, machine, cores, memory)

    def fits(self, request: RequestRecord, machine: MachineRecord, cores: float, memory: float) -> bool:
        """Whether the request fits into this free capacity, with overbooking as configured."""
        settings = self._context.settings
        bookable_share = 1 - RESERVED_SHARE if self.is_lowest_weight(request) else 1.0
        return (
            cores + (bookable_share * settings.cores_booking - 1) * machine.cores >= request.cores
            and memory + (bookable_share * settings.memory_booking - 1) * machine.memory >= request.memory
        )

    def knows_capacity(self, request: RequestRecord, machine: MachineRecord) -> bool:
        """Whether a recent report makes a probe unnecessary.

        With many dispatchers an older report also counts, if it shows enough free capacity for the request.
        """
        reported = self._capacity.reported(machine)
        age = self._context.now - reported.reported_at
        return age <= STALE_US or (
            self._context.many_dispatchers
            and age <= TRUSTED_US
            and self.fits(request, machine, *reported.remaining(machine, 1.0, 1.0))
        )
