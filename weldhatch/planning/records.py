"""What an apply writes down, each before it takes effect, and what a journal of it comes to."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec

from weldhatch.planning.plan import Plan, Step


class Record(msgspec.Struct, frozen=True, kw_only=True, tag_field="record"):
    """Base of all records; `at` in Unix seconds."""

    apply: str  # the plan's id
    at: float


class Begin(Record, tag="begin"):
    """An apply begins, or goes on under a higher fencing number."""

    plan: Plan | None  # None where it goes on
    fence: int
    by: str


class Intent(Record, tag="intent"):
    """An order is about to leave: from here on it may have arrived."""

    step: str
    op: str
    fence: int


class Heard(Record, tag="heard"):
    """A node or a gateway has answered, or has not."""

    step: str
    who: str
    taken: bool
    reason: str = ""
    transient: bool = False


class Done(Record, tag="done"):
    """A step's effect was seen."""

    step: str
    outcome: str  # done, or fell: the node has gone down on its way, which drained it too
    note: str = ""


class Stopped(Record, tag="stopped"):
    """The apply has stopped at a safe point; going on begins with a new Begin."""

    reason: str
    text: str


class Ended(Record, tag="ended"):
    """All steps are done."""


AnyRecord = Begin | Intent | Heard | Done | Stopped | Ended
_DECODER = msgspec.json.Decoder(AnyRecord)


def encode(record: AnyRecord) -> bytes:
    return msgspec.json.encode(record)


def decode(data: bytes) -> AnyRecord:
    """Raises msgspec.ValidationError for what is no record."""
    return _DECODER.decode(data)


class StepStatus(StrEnum):
    """How far a step has come."""

    TODO = "todo"
    UNKNOWN = "unknown"  # an order may have left, and nobody has answered
    TAKEN = "taken"  # answered; its effect is not there yet
    REFUSED = "refused"
    DONE = "done"

    @property
    def is_half_done(self) -> bool:
        return self in (StepStatus.UNKNOWN, StepStatus.TAKEN, StepStatus.REFUSED)


class StepState:
    """One step, as the records tell it."""

    __slots__ = ("accepted_by", "at", "note", "outcome", "status", "step", "transient", "tries")

    def __init__(self, step: Step) -> None:
        self.step, self.status, self.outcome, self.note = step, StepStatus.TODO, "", ""
        self.accepted_by: set[str] = set()  # those who have taken it
        self.tries, self.at, self.transient = 0, 0.0, False


class Progress:
    """One apply: its plan, and how far each step has come. Fed with its records, in order."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.steps: dict[str, StepState] = {step.id: StepState(step) for step in plan.steps}
        self.fence = 0
        self.begun_at = self.last_at = 0.0
        self.by = ""
        self.stopped: Stopped | None = None
        self.ended = False

    def add(self, record: AnyRecord) -> None:
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
                state.tries, state.at = state.tries + 1, record.at
                if state.status is not StepStatus.TAKEN:
                    state.status = StepStatus.UNKNOWN
            case Heard():
                state = self.steps[record.step]
                state.note, state.transient = record.reason, record.transient
                if record.taken:
                    state.accepted_by.add(record.who)
                    if state.status is not StepStatus.DONE:
                        state.status = StepStatus.UNKNOWN if state.step.kind.at_gateways else StepStatus.TAKEN
                        state.at = record.at
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
        return {name for name, state in self.steps.items() if state.status is not StepStatus.TODO}

    @property
    def half_done(self) -> list[StepState]:
        return [state for state in self.steps.values() if state.status.is_half_done]

    @property
    def half_nodes(self) -> list[str]:
        """Nodes of which something is done, or may be, and something is not."""
        begun = {state.step.node for state in self.steps.values() if state.status is not StepStatus.TODO}
        open_ = {state.step.node for state in self.steps.values() if state.status is not StepStatus.DONE}
        return sorted(begun & open_)


class ApplyHistory:
    """All applies of a journal, oldest first."""

    def __init__(self, records: Iterable[AnyRecord] = ()) -> None:
        self.applies: dict[str, Progress] = {}
        self.fence = 0
        for record in records:
            self.add(record)

    def add(self, record: AnyRecord) -> None:
        if isinstance(record, Begin):
            self.fence = max(self.fence, record.fence)
            if record.apply not in self.applies:
                if record.plan is None:
                    return  # its beginning was compacted away
                self.applies[record.apply] = Progress(record.plan)
        if record.apply in self.applies:
            self.applies[record.apply].add(record)

    @property
    def unfinished(self) -> Progress | None:
        """The apply that is neither ended nor given up for a later one, if there is one."""
        last = self.last
        return last if last is not None and not last.ended else None

    @property
    def last(self) -> Progress | None:
        return next(reversed(self.applies.values()), None)
