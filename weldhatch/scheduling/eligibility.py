"""Which machines a request may be offered to: the rules of the protocol, then health and capacity."""

from __future__ import annotations

from weldhatch.scheduling.admission import Admission
from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.slow_start import SlowStart
from weldhatch.scheduling.types import Effect, Machine, MachineState, Scope


def in_same_scope(scope: Scope, known: Machine, other: Machine) -> bool:
    """Whether two machines share a scope; they do if the zone or cell of `known` is unknown (-1)."""
    return (
        scope is Scope.ALL
        or known.id == other.id
        or (scope is Scope.ZONE and (known.zone == other.zone or known.zone < 0))
        or (scope is Scope.CELL and (known.cell == other.cell or known.cell < 0))
    )


class Eligibility:
    """Filters machines for a request."""

    def __init__(
        self, context: DecisionContext, cluster: ClusterState, admission: Admission, slow_start: SlowStart
    ) -> None:
        """Filter by the protocol's rules, admission and slow start."""
        self._context = context
        self._cluster = cluster
        self._admission = admission
        self._slow_start = slow_start

    def permitted(self, request: RequestRecord, machine: MachineRecord) -> bool:
        """Whether the rules permit one more attempt of this request on this machine now."""
        context = self._context
        settings = context.settings
        request_class = request.request_class
        entry = machine.entry
        now = context.now
        if (
            request.answered
            or request.open_attempt is not None
            or len(request.attempts) >= settings.max_attempts
            or now >= request.deadline - context.answer_margin_us
            or entry.state != MachineState.READY
            or (request_class.kind >= 0 and entry.kind != request_class.kind)
            or (request.allowed_machines is not None and entry.id not in request.allowed_machines)
            or (request.uncertain_attempt is not None and not self.may_repeat(request, entry))
        ):
            return False
        if entry.born_us and not self._slow_start.allows(machine):
            return False
        return request_class.spread_over is Scope.NONE or self._keeps_spread(request, entry)

    def _keeps_spread(self, request: RequestRecord, entry: Machine) -> bool:
        """Whether the spread limit of the class leaves space for one more task in the machine's scope."""
        spread_over = request.request_class.spread_over
        count_in_scope = sum(
            count
            for other, count in self._cluster.placements.of(request.service).items()
            if in_same_scope(spread_over, other.entry, entry)
        )
        return request.request_class.spread_most > count_in_scope

    def may_repeat(self, request: RequestRecord, entry: Machine) -> bool:
        """Whether the request may be sent to this machine although an earlier attempt may have run."""
        request_class = request.request_class
        uncertain = request.uncertain_attempt
        if uncertain is None or request_class.effect is Effect.SAFE:
            return True
        window_ends = uncertain.sent_at + request_class.window_us - self._context.answer_margin_us
        return (
            request_class.effect is Effect.KEYED
            and self._context.now < window_ends
            and in_same_scope(request_class.group, uncertain.entry, entry)
        )

    def may_repeat_anywhere(self, request: RequestRecord) -> bool:
        """Whether the request may still be repeated on at least one machine that is known or may return.

        The machine of an attempt of a former run may not be listed again yet.
        """
        uncertain = request.uncertain_attempt
        if uncertain is None or (not request.attempts and self.may_repeat(request, uncertain.entry)):
            return True
        return any(self.may_repeat(request, machine.entry) for machine in self._cluster.machines.values())

    def eligible(self, request: RequestRecord, machine: MachineRecord, probed: bool) -> bool:
        """Whether the rules, health and capacity of the machine all allow the offer.

        `probed`: the probe phase is over, so that an unresponsive machine due for a recheck is excluded too.
        """
        now = self._context.now
        return (
            (not machine.unresponsive or (now >= machine.recheck_at and not probed))
            and now >= machine.draining_until
            and self.permitted(request, machine)
            and self._admission.admits(request, machine)
        )

    def none_usable(self) -> bool:
        """Whether every machine is unresponsive, draining or removed; callers then ignore those states."""
        now = self._context.now
        return all(
            machine.unresponsive
            or now < machine.draining_until
            or machine.entry.state == MachineState.REMOVED
            for machine in self._cluster.machines.values()
        )
