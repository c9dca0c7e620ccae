"""What a policy is told, in order and with the time of the host program: `Policy.handle` takes these."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from weldhatch.scheduling.types import ListForm, Machine, Outcome


@dataclass(slots=True, frozen=True)
class MachinesChanged:
    """A list of machines: the changes to the one before, or all of it."""

    form: ListForm
    machines: tuple[Machine, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A task to place. It is owed exactly one final answer before its deadline."""

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
    only: Container[int] | None = None  # the machines that it may go to; None for all


@dataclass(slots=True, frozen=True)
class TaskAdopted:
    """A task that already runs on a machine and is in this instance's care from now on."""

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
    """A machine has taken the task of an offer."""

    request: int
    attempt: int
    machine: int
    took_us: int


@dataclass(slots=True, frozen=True)
class Note:
    """Something about a running task or its machine; `topic` is one of `types.Topic`, or unknown."""

    request: int
    attempt: int
    machine: int
    topic: int
    value: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one outcome of an attempt; `closed` tells that the request is over with it."""

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
    """The caller has gone away or given up: no answer is owed any more."""

    request: int


@dataclass(slots=True, frozen=True)
class ProbeAnswered:
    """The result of one probe; the report holds the values of `Settings.report_fields`, or nothing.

    A report that a machine gave when the module asked for none comes as this too.
    """

    machine: int
    outcome: Outcome
    took_us: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The wait of a `SetTimer` is over."""

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
