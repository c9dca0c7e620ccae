"""The binary codec of the simulator's wire. No decisions.

A batch holds records of 56 bytes, then a tail with what does not fit into them; a reply likewise, of 16
bytes each. All numbers are big-endian. The wire's own names stay in this file, which maps them to the terms
of `scheduling`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from weldhatch.config import settings_of_text
from weldhatch.scheduling.actions import (
    Action,
    Cancel,
    Fail,
    FetchList,
    Log,
    Migrate,
    Offer,
    Probe,
    Reject,
    SetTimer,
    Subscribe,
)
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
    TimerFired,
)
from weldhatch.scheduling.types import ListForm, Machine, MachineState, Outcome, Settings

BATCH_HEADER = struct.Struct(">QII")  # the time in microseconds, the length of the body, the count of records
REPLY_HEADER = struct.Struct(">II")  # the count of records, the length of the body
EVENT_SIZE = 56
ACTION_SIZE = 16
ENTRY_SIZE = 32  # of a list of hosts
LAST_LIST_NUMBER = 15
MOST_REPORT_VALUES = 4
HOST_STATES = 3

# Codes of event records, by the wire's names.
PEER = 10
HEALTH = 20
CHANGE = 30
RESIDENT = 40
TO_PLACE = 50
ABANDONED = 60
CHANGED = 70
SWITCH_TO = 80
ADMITTED = 90
SPAWN = 100
RETIRE = 110
REGISTER = 120
TIMER = 130
REPORT_BACK = 140

_HOST = "IH"  # address and port
_SPAWN = struct.Struct(">xQII")
_SWITCH_TO = struct.Struct(">xH")
_REGISTER = struct.Struct(">xHII")
_CHANGED = struct.Struct(">xBHQ")
_TASK = struct.Struct(">xIHHQQIQffH")
_RESIDENT = struct.Struct(">xIHHQQIQffH" + _HOST)
_ADMITTED = struct.Struct(">xIH" + _HOST + "I")
_CHANGE = struct.Struct(">xI" + _HOST + "BHf")
_REPORT_BACK = struct.Struct(">xIIIHB" + _HOST + "BBffff")
_HEALTH = struct.Struct(">xBI" + _HOST + "Bffff")
_ONE_NUMBER = struct.Struct(">xI")
_ENTRY = struct.Struct(">" + _HOST + "BfHHfBfQ")

# Marks of a task.
HINT_VALID = 1
CAME_AGAIN = 16

_OFFER_ACTION = struct.Struct(">BI" + _HOST + "Ix")
_ATTEMPT_ACTION = struct.Struct(">BIH9x")
_TWO_NUMBERS_ACTION = struct.Struct(">BII7x")
_REQUEST_ACTION = struct.Struct(">BI11x")
_HOST_ACTION = struct.Struct(">B" + _HOST + "9x")
_FLAG_ACTION = struct.Struct(">BB14x")
_INSTANCE_ACTION = struct.Struct(">BH13x")
_BARE_ACTION = struct.Struct(">B15x")

# Codes of action records.
MIGRATE_CODE = 10
FAULT_CODE = 20
CANCEL_CODE = 30
SUBSCRIBE_CODE = 40
FETCH_LIST_CODE = 50
OFFER_CODE = 60
INSTANCE_CODE = 70
REJECT_CODE = 80
PROBE_CODE = 90
SET_TIMER_CODE = 100
LOG_CODE = 110
FAIL_CODE = 120


class WireError(Exception):
    """What was read does not follow the wire; `record` counts the batch's records from 0."""

    def __init__(self, fault: str, record: int | None = None) -> None:
        """Name the fault, and the record where it is known."""
        super().__init__(fault if record is None else f"record {record}: {fault}")
        self.record = record


@dataclass(slots=True, frozen=True)
class Spawn:
    """An instance starts: the seed and the settings of its policy."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class Retire:
    """An instance was killed."""


InstanceEvent = Event | Spawn | Retire


class Decoder:
    """Reads batches. Keeps the numbered lists of machines, which belong to the process."""

    def __init__(self) -> None:
        """Start with no list and no instance."""
        self._lists: dict[int, bytes] = {}
        self._lists_with_capacity: dict[int, bool] = {}  # by instance

    def events(self, body: bytes, count: int) -> Iterator[tuple[int, InstanceEvent]]:
        """Yield (instance, event) for each record of a batch's body; raise WireError on the first fault."""
        tail_at = count * EVENT_SIZE
        if tail_at > len(body):
            raise WireError(f"{count} records do not fit into {len(body)} bytes")
        tail = memoryview(body)[tail_at:]
        instance: int | None = None
        for number in range(count):
            at = number * EVENT_SIZE
            code = body[at]
            try:
                if code == SWITCH_TO:
                    (instance,) = _SWITCH_TO.unpack_from(body, at)
                elif code == REGISTER:
                    self._register(body, at, tail)
                else:
                    event = self._event(code, body, at, tail, instance)
                    if event is not None and instance is not None:
                        yield instance, event
            except WireError as error:
                raise WireError(str(error), number) from None
            except ValueError as error:
                raise WireError(str(error), number) from error

    def _register(self, body: bytes, at: int, tail: memoryview) -> None:
        name, offset, entries = _REGISTER.unpack_from(body, at)
        if name > LAST_LIST_NUMBER:
            raise WireError(f"list number {name} is over {LAST_LIST_NUMBER}")
        self._lists[name] = _slice(tail, offset, entries * ENTRY_SIZE)

    def _event(
        self, code: int, body: bytes, at: int, tail: memoryview, instance: int | None
    ) -> InstanceEvent | None:
        """One event of an instance; None for a record that weldhatch has no use for."""
        reader = _READERS.get(code)
        if reader is None and code not in (CHANGED, SPAWN, RETIRE):
            raise WireError(f"unknown event code {code}")
        if instance is None:
            raise WireError(f"event code {code} before any switch_to")
        if reader is not None:
            return reader(body, at)
        if code == CHANGED:
            return self._machines_changed(body, at, instance)
        if code == SPAWN:
            return self._spawn(body, at, tail, instance)
        return Retire()

    def _spawn(self, body: bytes, at: int, tail: memoryview, instance: int) -> Spawn:
        seed, offset, length = _SPAWN.unpack_from(body, at)
        settings = settings_of_text(_slice(tail, offset, length))
        self._lists_with_capacity[instance] = settings.lists_free
        return Spawn(seed, settings)

    def _machines_changed(self, body: bytes, at: int, instance: int) -> MachinesChanged:
        form, name, version = _CHANGED.unpack_from(body, at)
        if form > ListForm.FAILED:
            raise WireError(f"unknown form {form} of a list")
        if form == ListForm.FAILED:
            return MachinesChanged(ListForm(form), (), version)
        if name not in self._lists:
            raise WireError(f"list number {name} was never defined")
        with_capacity = self._lists_with_capacity.get(instance, False)
        return MachinesChanged(ListForm(form), tuple(_entries(self._lists[name], with_capacity)), version)


def _slice(tail: memoryview, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError(f"offset {offset} with {length} bytes is outside the tail of {len(tail)}")
    return bytes(tail[offset : offset + length])


def _entries(data: bytes, with_capacity: bool) -> Iterator[Machine]:
    for address, port, zone, cores, kind, cell, memory, state, weight, born in _ENTRY.iter_unpack(data):
        if state >= HOST_STATES:
            raise WireError(f"unknown state {state} of a host")
        yield Machine(
            address << 16 | port,
            zone,
            kind,
            cell,
            MachineState(state),
            born,
            cores if with_capacity else None,
            memory if with_capacity else None,
            weight,
        )


def _outcome(code: int) -> Outcome:
    try:
        return Outcome(code)
    except ValueError:
        raise WireError(f"unknown outcome {code}") from None


def _report(count: int, values: Sequence[float]) -> tuple[float, ...]:
    if count > MOST_REPORT_VALUES:
        raise WireError(f"a load report of {count} values")
    return tuple(values[:count])


def _read_to_place(body: bytes, at: int) -> RequestArrived:
    request, kind, tenant, key, deadline, run, service, cores, memory, marks = _TASK.unpack_from(body, at)
    return RequestArrived(
        request,
        kind,
        deadline,
        service,
        cores,
        memory,
        key,
        tenant,
        run if marks & HINT_VALID else None,
        bool(marks & CAME_AGAIN),
    )


def _read_resident(body: bytes, at: int) -> TaskAdopted:
    (request, kind, tenant, key, _, run, service, cores, memory, marks, address, port) = (
        _RESIDENT.unpack_from(body, at)
    )
    return TaskAdopted(
        request,
        kind,
        service,
        cores,
        memory,
        address << 16 | port,
        key,
        tenant,
        run if marks & HINT_VALID else None,
    )


def _read_admitted(body: bytes, at: int) -> Placed:
    request, attempt, address, port, took = _ADMITTED.unpack_from(body, at)
    return Placed(request, attempt, address << 16 | port, took)


def _read_change(body: bytes, at: int) -> Note:
    request, address, port, topic, attempt, value = _CHANGE.unpack_from(body, at)
    return Note(request, attempt, address << 16 | port, topic, value)


def _read_report_back(body: bytes, at: int) -> AttemptEnded:
    request, took, detail, attempt, outcome, address, port, closed, count, *values = _REPORT_BACK.unpack_from(
        body, at
    )
    return AttemptEnded(
        request,
        attempt,
        address << 16 | port,
        _outcome(outcome),
        took,
        detail,
        bool(closed),
        _report(count, values),
    )


def _read_health(body: bytes, at: int) -> ProbeAnswered:
    outcome, took, address, port, count, *values = _HEALTH.unpack_from(body, at)
    return ProbeAnswered(address << 16 | port, _outcome(outcome), took, _report(count, values))


_READERS: dict[int, Callable[[bytes, int], Event | None]] = {
    PEER: lambda body, at: None,  # a peer's message: weldhatch shares nothing
    HEALTH: _read_health,
    CHANGE: _read_change,
    RESIDENT: _read_resident,
    TO_PLACE: _read_to_place,
    ABANDONED: lambda body, at: RequestAbandoned(*_ONE_NUMBER.unpack_from(body, at)),
    ADMITTED: _read_admitted,
    TIMER: lambda body, at: TimerFired(*_ONE_NUMBER.unpack_from(body, at)),
    REPORT_BACK: _read_report_back,
}


def encode_reply(replies: Iterable[tuple[int, list[Action]]]) -> bytes:
    """One frame with the actions of each instance, in order."""
    records: list[bytes] = []
    tail = bytearray()
    for instance, actions in replies:
        if actions:
            records.append(_INSTANCE_ACTION.pack(INSTANCE_CODE, instance))
            records.extend(_encode_action(action, tail) for action in actions)
    body = b"".join(records) + tail
    return REPLY_HEADER.pack(len(records), len(body)) + body


def encode_fault(text: str) -> bytes:
    """A frame that ends the day with a plain message."""
    tail = text.encode()
    record = _TWO_NUMBERS_ACTION.pack(FAULT_CODE, 0, len(tail))
    return REPLY_HEADER.pack(1, ACTION_SIZE + len(tail)) + record + tail


def _encode_action(action: Action, tail: bytearray) -> bytes:
    """The record of one action; text is added to the tail. Raise TypeError for what is no action."""
    if isinstance(action, Log):
        data = action.text.encode()
        offset = len(tail)
        tail += data
        return _TWO_NUMBERS_ACTION.pack(LOG_CODE, offset, len(data))
    writer = _WRITERS.get(type(action))
    if writer is None:
        raise TypeError(f"no action: {action!r}")
    return writer(action)


def _write_offer(action: Offer) -> bytes:
    host = (action.machine >> 16, action.machine & 0xFFFF)
    return _OFFER_ACTION.pack(OFFER_CODE, action.request, *host, action.give_up_us)


_WRITERS: dict[type, Callable[[Any], bytes]] = {
    SetTimer: lambda action: _TWO_NUMBERS_ACTION.pack(SET_TIMER_CODE, action.after_us, action.timer),
    Probe: lambda action: _HOST_ACTION.pack(PROBE_CODE, action.machine >> 16, action.machine & 0xFFFF),
    Offer: _write_offer,
    Cancel: lambda action: _ATTEMPT_ACTION.pack(CANCEL_CODE, action.request, action.attempt),
    Reject: lambda action: _TWO_NUMBERS_ACTION.pack(REJECT_CODE, action.request, action.retry_after_us),
    Fail: lambda action: _REQUEST_ACTION.pack(FAIL_CODE, action.request),
    Migrate: lambda action: _REQUEST_ACTION.pack(MIGRATE_CODE, action.request),
    Subscribe: lambda action: _FLAG_ACTION.pack(SUBSCRIBE_CODE, action.on),
    FetchList: lambda action: _BARE_ACTION.pack(FETCH_LIST_CODE),
}
