"""Codec of the simulator's binary protocol. No decisions.

A batch consists of event records of 56 bytes and a tail for data of variable length; a reply consists of
action records of 16 bytes and a tail. All numbers are big-endian. Names of the protocol are used only in this
file, which maps them to the terms of `scheduling`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from weldhatch.config import settings_from_text
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

BATCH_HEADER = struct.Struct(">QII")  # time in microseconds, body length, record count
REPLY_HEADER = struct.Struct(">II")  # record count, body length
EVENT_SIZE = 56
ACTION_SIZE = 16
ENTRY_SIZE = 32  # size of one entry of a list of hosts
MAX_LIST_NUMBER = 15
MAX_REPORT_VALUES = 4
HOST_STATE_COUNT = 3

# Codes of event records, under the names of the protocol.
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

# Flags in the marks of a task record.
MARK_RUN_HINT = 1
MARK_RETRY = 16

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
    """A batch violates the protocol; `record` is the index of the record in the batch."""

    def __init__(self, fault: str, record: int | None = None) -> None:
        """Include the record index in the message if it is known."""
        super().__init__(fault if record is None else f"record {record}: {fault}")
        self.record = record


@dataclass(slots=True, frozen=True)
class Spawn:
    """An instance starts, with the seed and the settings of its policy."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class Retire:
    """An instance was terminated."""


InstanceEvent = Event | Spawn | Retire


class Decoder:
    """Decodes batches. Keeps the numbered lists of machines, which all instances share."""

    def __init__(self) -> None:
        """Start without lists and instances."""
        self._lists: dict[int, bytes] = {}
        self._lists_with_capacity: dict[int, bool] = {}  # instance to whether its lists include free capacity

    def events(self, body: bytes, count: int) -> Iterator[tuple[int, InstanceEvent]]:
        """Yield (instance, event) for the records of a batch; raises WireError at the first fault."""
        tail_start = count * EVENT_SIZE
        if tail_start > len(body):
            raise WireError(f"{count} records do not fit into {len(body)} bytes")
        tail = memoryview(body)[tail_start:]
        instance: int | None = None
        for number in range(count):
            start = number * EVENT_SIZE
            code = body[start]
            try:
                if code == SWITCH_TO:
                    (instance,) = _SWITCH_TO.unpack_from(body, start)
                elif code == REGISTER:
                    self._register(body, start, tail)
                else:
                    event = self._event(code, body, start, tail, instance)
                    if event is not None and instance is not None:
                        yield instance, event
            except WireError as error:
                raise WireError(str(error), number) from None
            except ValueError as error:
                raise WireError(str(error), number) from error

    def _register(self, body: bytes, start: int, tail: memoryview) -> None:
        list_number, offset, entries = _REGISTER.unpack_from(body, start)
        if list_number > MAX_LIST_NUMBER:
            raise WireError(f"list number {list_number} is over {MAX_LIST_NUMBER}")
        self._lists[list_number] = _slice(tail, offset, entries * ENTRY_SIZE)

    def _event(
        self, code: int, body: bytes, start: int, tail: memoryview, instance: int | None
    ) -> InstanceEvent | None:
        """Decode the event of a record; returns None for records that weldhatch ignores."""
        reader = _READERS.get(code)
        if reader is None and code not in (CHANGED, SPAWN, RETIRE):
            raise WireError(f"unknown event code {code}")
        if instance is None:
            raise WireError(f"event code {code} before any switch_to")
        if reader is not None:
            return reader(body, start)
        if code == CHANGED:
            return self._machines_changed(body, start, instance)
        if code == SPAWN:
            return self._spawn(body, start, tail, instance)
        return Retire()

    def _spawn(self, body: bytes, start: int, tail: memoryview, instance: int) -> Spawn:
        seed, offset, length = _SPAWN.unpack_from(body, start)
        settings = settings_from_text(_slice(tail, offset, length))
        self._lists_with_capacity[instance] = settings.lists_free
        return Spawn(seed, settings)

    def _machines_changed(self, body: bytes, start: int, instance: int) -> MachinesChanged:
        form, list_number, version = _CHANGED.unpack_from(body, start)
        if form > ListForm.FAILED:
            raise WireError(f"unknown form {form} of a list")
        if form == ListForm.FAILED:
            return MachinesChanged(ListForm(form), (), version)
        if list_number not in self._lists:
            raise WireError(f"list number {list_number} was never defined")
        has_capacity = self._lists_with_capacity.get(instance, False)
        return MachinesChanged(
            ListForm(form), tuple(_entries(self._lists[list_number], has_capacity)), version
        )


def _slice(tail: memoryview, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError(f"offset {offset} with {length} bytes is outside the tail of {len(tail)}")
    return bytes(tail[offset : offset + length])


def _entries(data: bytes, has_capacity: bool) -> Iterator[Machine]:
    for address, port, zone, cores, kind, cell, memory, state, weight, born in _ENTRY.iter_unpack(data):
        if state >= HOST_STATE_COUNT:
            raise WireError(f"unknown state {state} of a host")
        yield Machine(
            address << 16 | port,
            zone,
            kind,
            cell,
            MachineState(state),
            born,
            cores if has_capacity else None,
            memory if has_capacity else None,
            weight,
        )


def _outcome(code: int) -> Outcome:
    try:
        return Outcome(code)
    except ValueError:
        raise WireError(f"unknown outcome {code}") from None


def _report(count: int, values: Sequence[float]) -> tuple[float, ...]:
    if count > MAX_REPORT_VALUES:
        raise WireError(f"a load report of {count} values")
    return tuple(values[:count])


def _read_to_place(body: bytes, start: int) -> RequestArrived:
    request, kind, tenant, key, deadline, run, service, cores, memory, marks = _TASK.unpack_from(body, start)
    return RequestArrived(
        request,
        kind,
        deadline,
        service,
        cores,
        memory,
        key,
        tenant,
        run if marks & MARK_RUN_HINT else None,
        bool(marks & MARK_RETRY),
    )


def _read_resident(body: bytes, start: int) -> TaskAdopted:
    (request, kind, tenant, key, _, run, service, cores, memory, marks, address, port) = (
        _RESIDENT.unpack_from(body, start)
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
        run if marks & MARK_RUN_HINT else None,
    )


def _read_admitted(body: bytes, start: int) -> Placed:
    request, attempt, address, port, took = _ADMITTED.unpack_from(body, start)
    return Placed(request, attempt, address << 16 | port, took)


def _read_change(body: bytes, start: int) -> Note:
    request, address, port, topic, attempt, value = _CHANGE.unpack_from(body, start)
    return Note(request, attempt, address << 16 | port, topic, value)


def _read_report_back(body: bytes, start: int) -> AttemptEnded:
    request, took, detail, attempt, outcome, address, port, closed, count, *values = _REPORT_BACK.unpack_from(
        body, start
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


def _read_health(body: bytes, start: int) -> ProbeAnswered:
    outcome, took, address, port, count, *values = _HEALTH.unpack_from(body, start)
    return ProbeAnswered(address << 16 | port, _outcome(outcome), took, _report(count, values))


_READERS: dict[int, Callable[[bytes, int], Event | None]] = {
    PEER: lambda body, start: None,  # messages between instances are ignored, as they share no state
    HEALTH: _read_health,
    CHANGE: _read_change,
    RESIDENT: _read_resident,
    TO_PLACE: _read_to_place,
    ABANDONED: lambda body, start: RequestAbandoned(*_ONE_NUMBER.unpack_from(body, start)),
    ADMITTED: _read_admitted,
    TIMER: lambda body, start: TimerFired(*_ONE_NUMBER.unpack_from(body, start)),
    REPORT_BACK: _read_report_back,
}


def encode_reply(replies: Iterable[tuple[int, list[Action]]]) -> bytes:
    """Encode a frame with the actions of each instance, in order."""
    records: list[bytes] = []
    tail = bytearray()
    for instance, actions in replies:
        if actions:
            records.append(_INSTANCE_ACTION.pack(INSTANCE_CODE, instance))
            records.extend(_encode_action(action, tail) for action in actions)
    body = b"".join(records) + tail
    return REPLY_HEADER.pack(len(records), len(body)) + body


def encode_fault(text: str) -> bytes:
    """Encode a frame that ends the simulation with an error message."""
    tail = text.encode()
    record = _TWO_NUMBERS_ACTION.pack(FAULT_CODE, 0, len(tail))
    return REPLY_HEADER.pack(1, ACTION_SIZE + len(tail)) + record + tail


def _encode_action(action: Action, tail: bytearray) -> bytes:
    """Encode one action; log text is appended to the tail. Raises TypeError for an unknown action."""
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
