"""The records of an apply, each written before it takes effect, and the state that they add up to."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec

from weldhatch.planning.plan import Plan, Step


class Record(msgspec.Struct, frozen=True, kw_only=True, tag_field="record"):
    """Base of all records; `at` is in Unix seconds."""

    apply: str  # the plan's id
    at: float


class Begin(Record, tag="begin"):
    """An apply begins, or is resumed under a higher fencing number."""

    plan: Plan | None  # None if the apply is resumed
    fence: int
    by: str  # the operator


class Intent(Record, tag="intent"):
    """An order is about to be sent: from now on it may have been received."""

    step: str
    op: str
    fence: int


class Heard(Record, tag="heard"):
    """The answer of a node or gateway to an order, or the lack of one."""

    step: str
    who: str  # the node or gateway
    taken: bool  # whether the order was accepted
    reason: str = ""  # why it was refused; empty if no answer came
    transient: bool = False  # whether the same order may be accepted later


class Done(Record, tag="done"):
    """The effect of a step was observed."""

    step: str
    outcome: str  # 'done', or 'fell': the node went off before the step was done, so that it is drained too
    note: str = ""


class Stopped(Record, tag="stopped"):
    """The apply has stopped at a safe point; it is resumed with a new Begin."""

    reason: str
    text: str


class Ended(Record, tag="ended"):
    """All steps are done."""


AnyRecord = Begin | Intent | Heard | Done | Stopped | Ended
_DECODER = msgspec.json.Decoder(AnyRecord)


def encode(record: AnyRecord) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode(data: bytes) -> AnyRecord:
    """Return the record in the data. Raises msgspec.DecodeError, or its subclass ValidationError."""
    return _DECODER.decode(data)


class StepStatus(StrEnum):
    """The progress of a step."""

    TODO = "todo"
    UNKNOWN = "unknown"  # an order may have been sent and has not been answered
    TAKEN = "taken"  # the order was accepted; its effect has not been observed yet
    REFUSED = "refused"
    DONE = "done"

    @property
    def is_half_done(self) -> bool:
        """Whether the step has begun and is not done."""
        return self in (StepStatus.UNKNOWN, StepStatus.TAKEN, StepStatus.REFUSED)


class StepState:
    """The state of one step by the records of its apply.

    `last_event_at` is the Unix time in seconds of the last order or its acceptance; for an await step, of the
    first observation of the warming node.
    """

    __slots__ = ("accepted_by", "last_event_at", "note", "outcome", "status", "step", "transient", "tries")

    def __init__(self, step: Step) -> None:
        """Create the state of a step that has not begun."""
        self.step, self.status, self.outcome, self.note = step, StepStatus.TODO, "", ""
        self.accepted_by: set[str] = set()  # nodes and gateways that accepted the order
        self.tries, self.last_event_at, self.transient = 0, 0.0, False


class Progress:
    """One apply: its plan and the state of each step, built from the records in order."""

    def __init__(self, plan: Plan) -> None:
        """Create the state of an apply without records."""
        self.plan = plan
        self.steps: dict[str, StepState] = {step.id: StepState(step) for step in plan.steps}
        self.fence = 0
        self.begun_at = self.last_at = 0.0
        self.by = ""
        self.stopped: Stopped | None = None
        self.ended = False

    def add(self, record: AnyRecord) -> None:
        """Update the state by one record."""
        self.last_at = record.at
        match record:
            case Begin():
                self.begun_at = self.begun_at or record.at
                self.fence, self.by, self.stopped = record.fence, record.by, None
                for state in self.steps.values():
                    if state.status is StepStatus.REFUSED:
                        # A resumed apply sends the order again under the same operation id.
                        state.status, state.transient = StepStatus.UNKNOWN, True
            case Intent():
                state = self.steps[record.step]
                state.tries, state.last_event_at = state.tries + 1, record.at
                if state.status is not StepStatus.TAKEN:
                    state.status = StepStatus.UNKNOWN
            case Heard():
                state = self.steps[record.step]
                state.note, state.transient = record.reason, record.transient
                if record.taken:
                    state.accepted_by.add(record.who)
                    if state.status is not StepStatus.DONE:
                        state.status = StepStatus.UNKNOWN if state.step.kind.at_gateways else StepStatus.TAKEN
                        state.last_event_at = record.at
                elif state.status is StepStatus.UNKNOWN and record.reason and not state.step.kind.at_gateways:
                    state.status = StepStatus.REFUSED
            case Done():
                state = self.steps[record.step]
                state.status, state.outcome, state.note = StepStatus.DONE, record.outcome, record.note
            case Stopped():
                self.stopped = record
            case Ended():
                self.ended = True

    @property
    def begun_steps(self) -> set[str]:
        """The ids of the steps for which an order may have been sent, or that are done."""
        return {name for name, state in self.steps.items() if state.status is not StepStatus.TODO}

    @property
    def half_done(self) -> list[StepState]:
        """The steps that have begun and are not done."""
        return [state for state in self.steps.values() if state.status.is_half_done]

    @property
    def half_nodes(self) -> list[str]:
        """The nodes with at least one step that has begun and at least one that is not done."""
        begun = {state.step.node for state in self.steps.values() if state.status is not StepStatus.TODO}
        unfinished = {state.step.node for state in self.steps.values() if state.status is not StepStatus.DONE}
        return sorted(begun & unfinished)


class ApplyHistory:
    """All applies of a journal, oldest first."""

    def __init__(self, records: Iterable[AnyRecord] = ()) -> None:
        """Build the state of the applies from the records of a journal."""
        self.applies: dict[str, Progress] = {}
        self.fence = 0
        for record in records:
            self.add(record)

    def add(self, record: AnyRecord) -> None:
        """Update the state of the record's apply; a record of an unknown apply is ignored."""
        if isinstance(record, Begin):
            self.fence = max(self.fence, record.fence)
            if record.apply not in self.applies:
                if record.plan is None:
                    return  # the first Begin of the apply was removed by compaction
                self.applies[record.apply] = Progress(record.plan)
        if record.apply in self.applies:
            self.applies[record.apply].add(record)

    @property
    def unfinished(self) -> Progress | None:
        """The latest apply if it has not ended, else None."""
        last = self.last
        return last if last is not None and not last.ended else None

    @property
    def last(self) -> Progress | None:
        """The apply that began last, None if there is none."""
        return next(reversed(self.applies.values()), None)
