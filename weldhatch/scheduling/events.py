"""Events that `Policy.handle` takes, in order. Times are those of the host program."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from typing import NamedTuple

from weldhatch.scheduling.types import ListForm, Machine, Outcome


@dataclass(slots=True, frozen=True)
class MachinesChanged:
    """An endpoint list, either in full or as changes to the previous one."""

    form: ListForm
    machines: tuple[Machine, ...] = ()
    version: int = 0


class Attempt(NamedTuple):
    """One offer of a request: the machine's list entry at that time, and when it was made (Unix us)."""

    entry: Machine
    sent_at: int


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A task to place. It must get exactly one final answer before its deadline.

    `uncertain_attempt`: the first attempt of a former run of the dispatcher that may have run.
    """

    request: int
    class_index: int
    deadline_us: int
    service: int
    cores: float
    memory: float
    key: int = 0
    tenant: int = 0
    run_us: int | None = None
    again: bool = False
    only: Container[int] | None = None  # machines that may take it; None for all
    uncertain_attempt: Attempt | None = None


@dataclass(slots=True, frozen=True)
class TaskAdopted:
    """A task that already runs on a machine and is managed by this instance from now on."""

    request: int
    class_index: int
    service: int
    cores: float
    memory: float
    machine: int
    key: int = 0
    tenant: int = 0
    run_us: int | None = None


@dataclass(slots=True, frozen=True)
class Placed:
    """A machine has accepted the task of an offer."""

    request: int
    attempt: int
    machine: int
    took_us: int


@dataclass(slots=True, frozen=True)
class Note:
    """A reported value about a running task or its machine; `topic` is a `types.Topic` or unknown."""

    request: int
    attempt: int
    machine: int
    topic: int
    value: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The outcome of an attempt, reported once; `closed` means that the request has ended as well."""

    request: int
    attempt: int
    machine: int
    outcome: Outcome
    took_us: int = 0
    reason: int = 0
    closed: bool = False
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """The caller has disconnected or given up; the request needs no answer any more."""

    request: int


@dataclass(slots=True, frozen=True)
class ProbeAnswered:
    """The result of a probe; the report has the values of `Settings.report_fields`, or is empty.

    Unsolicited load reports of machines arrive as this event too.
    """

    machine: int
    outcome: Outcome
    took_us: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The delay of a `SetTimer` has passed."""

    timer: int


Event = (
    MachinesChanged
    | RequestArrived
    | TaskAdopted
    | Placed
    | Note
    | AttemptEnded
    | RequestAbandoned
    | ProbeAnswered
    | TimerFired
)
