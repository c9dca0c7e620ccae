"""Distributes the events of the policy to the components that observe zones. Pure."""

from __future__ import annotations

from weldhatch.scheduling.events import (
    AttemptEnded,
    Event,
    MachinesChanged,
    Note,
    Placed,
    ProbeAnswered,
    RequestAbandoned,
    RequestArrived,
    TaskAdopted,
)
from weldhatch.scheduling.types import ListForm, MachineState, Outcome, Reason
from weldhatch.zones.load_accounting import LoadAccounting
from weldhatch.zones.local_view import LocalView
from weldhatch.zones.observations import ExchangeResult, Observations
from weldhatch.zones.silence_detector import SilenceDetector
from weldhatch.zones.start_gate import StartGate
from weldhatch.zones.task_fences import TaskFences

RESULT_BY_OUTCOME = {
    Outcome.OK: ExchangeResult.ANSWER,
    Outcome.FULL: ExchangeResult.ANSWER,
    Outcome.ERROR: ExchangeResult.ERROR,
    Outcome.TIMEOUT: ExchangeResult.SILENT,
    Outcome.CONNECT_FAILED: ExchangeResult.REFUSED,
    Outcome.RESET: ExchangeResult.RESET,
}
# Outcomes of an offer, and of a running task, after which the task may still run on the machine.
LOST_OFFER_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
LOST_TASK_OUTCOMES = (Outcome.RESET,)
FAILED_OUTCOMES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)
EVICTION_REASONS = (Reason.EVICTED, Reason.QUEUE_FULL)


class ExchangeTracker:
    """Updates a member's observations, load accounting, silence detector, task fences and start gate.

    The input is the stream of events that the policy receives.
    """

    def __init__(
        self,
        view: LocalView,
        observations: Observations,
        load: LoadAccounting,
        silence: SilenceDetector,
        fences: TaskFences,
        gate: StartGate,
    ) -> None:
        """Update the given components, which the parts of a member share."""
        self._view = view
        self._observations = observations
        self._load = load
        self._silence = silence
        self._fences = fences
        self._gate = gate

    def handle_event(self, now: float, event: Event) -> None:
        """Process one event that the policy receives."""
        match event:
            case MachinesChanged():
                self._machines_changed(event)
            case RequestArrived():
                self._load.request_arrived(now, event)
                self._gate.retry_budget.add_first_attempt()
            case TaskAdopted():
                self._load.task_adopted(event)
            case Placed(request, _, machine):
                self._load.task_placed(request, machine)
                self._start_ended(now, machine, ExchangeResult.ANSWER, False)
            case Note(_, _, machine):
                self._exchange_ended(now, machine, ExchangeResult.ANSWER)
            case ProbeAnswered(machine, outcome):
                if (result := RESULT_BY_OUTCOME.get(outcome)) is not None:
                    self._exchange_ended(now, machine, result)
            case AttemptEnded():
                self._attempt_ended(now, event)
            case RequestAbandoned(request):
                self._load.request_closed(request)

    # ---- machines ----------------------------------------------------------------------------------------

    def _machines_changed(self, event: MachinesChanged) -> None:
        if event.form is ListForm.FAILED:
            return
        listed = {machine.id for machine in event.machines}
        if event.form is not ListForm.DELTA:
            for machine_id in self._view.machines.keys() - listed:
                self._machine_removed(machine_id)
        for machine in event.machines:
            if machine.state is MachineState.REMOVED:
                self._machine_removed(machine.id)
                continue
            self._view.machines[machine.id] = machine
            zone = self._view.zone_of(machine)
            self._observations.machine_listed(machine.id, zone, f"{zone}/{machine.cell}")

    def _machine_removed(self, machine: int) -> None:
        self._view.machines.pop(machine, None)
        self._gate.answering_since.pop(machine, None)
        self._observations.machine_removed(machine)

    def connection_lost(self, machine: int) -> None:
        """Treat a machine whose connection has ended as a new process, whatever the endpoint list says."""
        self._gate.answering_since.pop(machine, None)

    # ---- exchanges ---------------------------------------------------------------------------------------

    def _exchange_ended(self, now: float, machine: int, result: ExchangeResult) -> None:
        """Record the result of an exchange with a machine."""
        self._observations.add_result(now, machine, result)
        if result in (ExchangeResult.REFUSED, ExchangeResult.RESET):
            self.connection_lost(machine)
        places = self._view.places_of(machine)
        if not places:
            return
        if result in (ExchangeResult.ANSWER, ExchangeResult.ERROR):  # an error is an answer too
            self._gate.answering_since.setdefault(machine, now)
            self._silence.answer_received(now, places[0], machine)
        else:
            self._silence.exchange_ended(places[0], machine)

    def _start_ended(self, now: float, machine: int, result: ExchangeResult, failed: bool) -> None:
        self._exchange_ended(now, machine, result)
        if place := self._view.returning_place(machine):
            starts = self._load.starts_at(place)
            starts.failed += failed
            starts.succeeded += not failed and result is ExchangeResult.ANSWER

    def _attempt_ended(self, now: float, event: AttemptEnded) -> None:
        pending = self._load.pending(event.request)
        task = self._load.task_ended(event.request)
        if (
            event.outcome in (LOST_OFFER_OUTCOMES if task is None else LOST_TASK_OUTCOMES)
            and not event.reason
        ):
            self._fences.note_lost(now, task or pending, event.machine)
        if event.closed:
            self._load.request_closed(event.request)
        result = RESULT_BY_OUTCOME.get(event.outcome)
        if result is None:  # cancelled or never sent: no answer is pending
            if places := self._view.places_of(event.machine):
                self._silence.exchange_ended(places[0], event.machine)
            return
        failed = event.outcome in FAILED_OUTCOMES or event.reason in EVICTION_REASONS
        if task is None:
            self._start_ended(now, event.machine, result, failed)
        elif event.outcome is not Outcome.OK:
            self._exchange_ended(now, event.machine, result)
            if failed and (place := self._view.returning_place(event.machine)):
                self._load.starts_at(place).failed += 1
