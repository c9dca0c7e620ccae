"""Entry point of the scheduling policy: takes events in order and returns the actions to carry out.

Every request is placed in the same steps (Xie, Dong, Lu, Srikant, SIGMETRICS 2015): filter the eligible
machines, draw a few uniformly, probe each, and bind to the one with the most free memory, ties at random. The
parts are modules of this package that share a `DecisionContext` and a `ClusterState`; see docs/design.md.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from weldhatch.scheduling.actions import Action
from weldhatch.scheduling.admission import Admission
from weldhatch.scheduling.binding import Binder
from weldhatch.scheduling.capacity import LIST_LAG_US, STALE_US, CapacityView
from weldhatch.scheduling.cluster_state import ClusterState, MachineRecord, RequestRecord
from weldhatch.scheduling.context import DecisionContext
from weldhatch.scheduling.discovery import Discovery
from weldhatch.scheduling.eligibility import Eligibility
from weldhatch.scheduling.events import (
    Attempt,
    AttemptEnded,
    Event,
    MachinesChanged,
    Note,
    Placed,
    ProbeAnswered,
    RequestAbandoned,
    RequestArrived,
    TaskAdopted,
    TimerFired,
)
from weldhatch.scheduling.health import HealthMonitor
from weldhatch.scheduling.outliers import OutlierDetector
from weldhatch.scheduling.placement import PlacementPath
from weldhatch.scheduling.ranking import MachineRanking
from weldhatch.scheduling.retries import MAX_BACKOFF_US, Retries
from weldhatch.scheduling.sampling import Sampler
from weldhatch.scheduling.slow_start import SlowStart
from weldhatch.scheduling.types import NOTHING_RAN, Machine, MachineState, Outcome, Settings, Topic

MAX_FAILED_MACHINES = 2  # after errors on this many machines the request itself is taken to be invalid
FULL_SERVICE_SHARE = 0.9  # a task note of a smaller served share shows an overloaded machine
HIGH_MEMORY_SHARE = 0.92  # as does a note of a larger share of machine memory in use


class Policy:
    """The scheduling policy of one dispatcher. Events and actions must both be processed in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the parts of the policy; the same seed and events give the same actions."""
        self._context = DecisionContext(settings, random.Random(seed))
        self._cluster = ClusterState()
        self._capacity = CapacityView(self._context, self._cluster)
        self._admission = Admission(self._context, self._capacity)
        self._slow_start = SlowStart(self._context, self._cluster)
        self._eligibility = Eligibility(self._context, self._cluster, self._admission, self._slow_start)
        self._ranking = MachineRanking(self._context, self._cluster, self._capacity)
        self._health = HealthMonitor(self._context, self._cluster)
        self._outliers = OutlierDetector(self._context, self._health)
        self._discovery = Discovery(self._context, self._cluster, self._slow_start)
        self._sampler = Sampler(self._context, self._cluster, self._eligibility, self._ranking)
        binder = Binder(
            self._context, self._cluster, self._eligibility, self._ranking, self._capacity, self._health
        )
        self._path = PlacementPath(self._context, self._sampler, binder, self._admission, self._health)
        self._retries = Retries(
            self._context, self._cluster, self._eligibility, self._admission, self._path.draw
        )
        self._path.retries = self._retries
        self._handlers: dict[type, Callable[[Any], None]] = {
            MachinesChanged: self._discovery.handle_machines_changed,
            RequestArrived: self._handle_request_arrived,
            Note: self._handle_note,
            TaskAdopted: self._handle_task_adopted,
            Placed: self._handle_placed,
            AttemptEnded: self._handle_attempt_ended,
            RequestAbandoned: self._handle_request_abandoned,
            ProbeAnswered: self._handle_probe_answered,
            TimerFired: self._handle_timer_fired,
        }

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings, also to open requests. The order of the classes must not change."""
        self._context.reconfigure(settings)
        for request in self._cluster.requests.values():
            request.request_class = settings.classes[request.class_index]
        for part in (self._sampler, self._slow_start, self._ranking, self._admission):
            part.reconfigure()

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Handle the events of one instant; return the actions to carry out immediately and in order."""
        self._context.begin_batch(now)
        handlers = self._handlers
        for event in events:
            handlers[type(event)](event)
        return self._context.actions

    def _handle_timer_fired(self, event: TimerFired) -> None:
        self._context.fire(event.timer)

    def _handle_request_arrived(self, event: RequestArrived) -> None:
        if event.request in self._cluster.requests:
            return
        context = self._context
        request_class = context.settings.classes[event.class_index]
        request = RequestRecord(event, request_class, event.deadline_us, event.only)
        request.uncertain_attempt = event.uncertain_attempt
        self._cluster.requests[event.request] = request
        wait = request.deadline - context.now - context.answer_margin_us
        context.schedule(wait, self._retries.answer, request)
        self._path.draw(request, request.generation)

    def _handle_request_abandoned(self, event: RequestAbandoned) -> None:
        request = self._cluster.requests.get(event.request)
        if request is not None:
            self._cluster.forget_request(request)

    def _handle_task_adopted(self, event: TaskAdopted) -> None:
        if event.request in self._cluster.requests:
            return
        now = self._context.now
        request_class = self._context.settings.classes[event.class_index]
        request = RequestRecord(event, request_class, now)
        self._cluster.requests[event.request] = request
        machine = self._cluster.machines.get(event.machine)
        if machine is None:  # not listed yet: counts in every zone and cell, and gets no offers
            machine = self._discovery.add(Machine(event.machine, -1, -1, -1, MachineState.REMOVED))
        request.attempts = [Attempt(machine.entry, now)]
        request.placed_attempt = 0
        request.answered = True
        self._cluster.placements.add(request.service, machine)
        machine.add_task(request, now, LIST_LAG_US)

    def _handle_placed(self, event: Placed) -> None:
        request = self._cluster.requests.get(event.request)
        machine = self._cluster.machines.get(event.machine)
        if request is None or machine is None or request.open_attempt != event.attempt:
            return
        request.open_attempt = None
        request.placed_attempt = event.attempt
        request.answered = True
        # A placed offer raises the limit if the open offers, including this one, are within one of the limit.
        if len(machine.open_offers) >= machine.offer_limit - 1:
            machine.offer_limit += 1 / machine.offer_limit
        machine.remove_offer(request)
        machine.add_task(request, self._context.now, LIST_LAG_US)
        self._outliers.clear_failures(request, machine)
        if not self._context.settings.confirms_running:
            machine.unstarted.add(request.id)

    def _handle_attempt_ended(self, event: AttemptEnded) -> None:
        request = self._cluster.requests.get(event.request)
        machine = self._cluster.machines.get(event.machine)
        if request is None or machine is None:
            return
        if event.attempt not in (request.open_attempt, request.placed_attempt):
            return
        self._capacity.receive_report(machine, event.report)
        self._health.detect_draining(machine, event.reason)
        if event.attempt == request.placed_attempt:
            request.placed_attempt = None
            machine.unstarted.discard(request.id)
            machine.remove_task(request, self._context.now, LIST_LAG_US)
        else:
            self._end_offer(request, machine, event)
        self._cluster.placements.end(request.service, machine, ran=event.outcome not in NOTHING_RAN)
        if event.outcome is Outcome.ERROR and machine not in request.failed_machines:
            request.failed_machines.append(machine)
        self._decide_next_step(request, event)

    def _end_offer(self, request: RequestRecord, machine: MachineRecord, event: AttemptEnded) -> None:
        self._outliers.assess_ended_offer(request, machine, event)
        request.open_attempt = None
        machine.remove_offer(request)
        if request.uncertain_attempt is None and event.outcome not in NOTHING_RAN:
            request.uncertain_attempt = request.attempts[event.attempt]

    def _decide_next_step(self, request: RequestRecord, event: AttemptEnded) -> None:
        """Continue a request after one of its attempts has ended: close, answer, back off or draw again."""
        context = self._context
        if event.closed or request.answered:
            self._cluster.forget_request(request)
        elif len(request.failed_machines) >= MAX_FAILED_MACHINES:
            self._outliers.forgive_fault(request.failed_machines[0])
            self._retries.answer(request)
        elif event.outcome is Outcome.FULL or context.now >= request.deadline - context.answer_margin_us:
            self._retries.block(request)
        else:
            self._path.draw(request, request.generation)

    def _handle_note(self, event: Note) -> None:
        request = self._cluster.requests.get(event.request)
        machine = self._cluster.machines.get(event.machine)
        if machine is not None:
            if event.topic == Topic.RUNS:
                machine.unstarted.discard(event.request)
            if (event.topic == Topic.SERVED_SHARE and event.value < FULL_SERVICE_SHARE) or (
                event.topic == Topic.MACHINE_MEMORY and event.value > HIGH_MEMORY_SHARE
            ):
                machine.degraded_until = self._context.now + STALE_US
        if request is not None:
            self._cluster.usage.observe(event.topic, event.value, request)

    def _handle_probe_answered(self, event: ProbeAnswered) -> None:
        machine = self._cluster.machines.get(event.machine)
        if machine is None:
            return
        machine.probes_in_flight = max(0, machine.probes_in_flight - 1)
        answered = event.outcome is Outcome.OK
        if answered:
            machine.unresponsive = False
            self._capacity.receive_report(machine, event.report)
        elif event.outcome is Outcome.FULL:  # the queue of the machine is full
            machine.decline(self._context.now + MAX_BACKOFF_US, 0.0, 0.0)
        else:
            self._health.mark_unresponsive(machine)
        waiters = machine.probe_waiters
        machine.probe_waiters = {}
        requests = self._cluster.requests
        for request in [requests[waiter] for waiter in waiters if waiter in requests]:
            if event.machine in request.awaited_probes:
                if answered:
                    request.awaited_probes.discard(event.machine)
                if not request.awaited_probes or not answered:
                    self._path.bind(request, request.generation)
