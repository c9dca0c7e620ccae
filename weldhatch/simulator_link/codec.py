"""The binary codec of the bench's wire. No decisions.

The wire's own names stay in this file; the rest of the library speaks the terms of `scheduling/types.py`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from weldhatch.config import settings_of_text as parse_settings
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

BATCH_HEADER = struct.Struct(">QII")
REPLY_HEADER = struct.Struct(">II")
EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 56, 16, 32

_HOST = "IH"
_SPAWN = struct.Struct(">xQII")
_TWO = struct.Struct(">xH")
_REGISTER = struct.Struct(">xHII")
_CHANGED = struct.Struct(">xBHQ")
_TASK = struct.Struct(">xIHHQQIQffH")
_RESIDENT = struct.Struct(">xIHHQQIQffH" + _HOST)
_ADMITTED = struct.Struct(">xIH" + _HOST + "I")
_CHANGE = struct.Struct(">xI" + _HOST + "BHf")
_REPORT_BACK = struct.Struct(">xIIIHB" + _HOST + "BBffff")
_HEALTH = struct.Struct(">xBI" + _HOST + "Bffff")
_ONE = struct.Struct(">xI")
_ENTRY = struct.Struct(">" + _HOST + "BfHHfBfQ")

_A_TRY = struct.Struct(">BI" + _HOST + "Ix")
_A_ID_N = struct.Struct(">BIH9x")
_A_TWO_INTS = struct.Struct(">BII7x")
_A_ID = struct.Struct(">BI11x")
_A_HOST = struct.Struct(">B" + _HOST + "9x")
_A_FLAG = struct.Struct(">BB14x")
_A_WHO = struct.Struct(">BH13x")
_A_BARE = struct.Struct(">B15x")

HINT_VALID, CAME_AGAIN = 1, 16


class WireError(Exception):
    """What was read does not follow the wire; `record` counts the batch's records from 0."""

    def __init__(self, fault: str, record: int | None = None) -> None:
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


class Decoder:
    """Reads batches. Holds the numbered lists of machines, which belong to the process, and field layouts."""

    def __init__(self) -> None:
        self._lists: dict[int, bytes] = {}
        self._lists_free: dict[int, bool] = {}

    def events(self, body: bytes, count: int) -> Iterator[tuple[int, object]]:
        """Yield (instance, event) for each record of a batch's body; raise WireError on the first fault."""
        tail_at = count * EVENT_SIZE
        if tail_at > len(body):
            raise WireError(f"{count} records do not fit into {len(body)} bytes")
        tail = memoryview(body)[tail_at:]
        who: int | None = None
        for number in range(count):
            at = number * EVENT_SIZE
            code = body[at]
            try:
                if code == 80:
                    (who,) = _TWO.unpack_from(body, at)
                elif code == 120:
                    name, offset, entries = _REGISTER.unpack_from(body, at)
                    if name > 15:
                        raise WireError(f"list number {name} is over 15")
                    self._lists[name] = _slice(tail, offset, entries * ENTRY_SIZE)
                elif code not in _READERS and code not in (70, 100, 110):
                    raise WireError(f"unknown event code {code}")
                elif who is None:
                    raise WireError(f"event code {code} before any switch_to")
                elif code == 70:
                    yield who, self._changed(body, at, who)
                elif code == 100:
                    seed, offset, length = _SPAWN.unpack_from(body, at)
                    settings = parse_settings(_slice(tail, offset, length))
                    self._lists_free[who] = settings.lists_free
                    yield who, Spawn(seed, settings)
                elif code == 110:
                    yield who, Retire()
                else:
                    event = _READERS[code](body, at)
                    if event is not None:
                        yield who, event
            except WireError as error:
                raise WireError(str(error), number) from None
            except ValueError as error:
                raise WireError(str(error), number) from error

    def _changed(self, body: bytes, at: int, who: int) -> MachinesChanged:
        form, name, version = _CHANGED.unpack_from(body, at)
        if form > ListForm.FAILED:
            raise WireError(f"unknown form {form} of a list")
        if form == ListForm.FAILED:
            return MachinesChanged(ListForm(form), (), version)
        if name not in self._lists:
            raise WireError(f"list number {name} was never defined")
        free = self._lists_free.get(who, False)
        return MachinesChanged(ListForm(form), tuple(_entries(self._lists[name], free)), version)


def _slice(tail: memoryview, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError(f"offset {offset} with {length} bytes is outside the tail of {len(tail)}")
    return bytes(tail[offset : offset + length])


def _entries(data: bytes, free: bool) -> Iterator[Machine]:
    for address, port, zone, cores, kind, cell, memory, state, weight, born in _ENTRY.iter_unpack(data):
        if state > 2:
            raise WireError(f"unknown state {state} of a host")
        yield Machine(
            address << 16 | port,
            zone,
            kind,
            cell,
            MachineState(state),
            born,
            cores if free else None,
            memory if free else None,
            weight,
        )


def _outcome(code: int) -> Outcome:
    try:
        return Outcome(code)
    except ValueError:
        raise WireError(f"unknown outcome {code}") from None


def _report(n: int, values: tuple[float, ...]) -> tuple[float, ...]:
    if n > 4:
        raise WireError(f"a load report of {n} values")
    return values[:n]


def _to_place(body: bytes, at: int) -> RequestArrived:
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


def _resident(body: bytes, at: int) -> TaskAdopted:
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


def _admitted(body: bytes, at: int) -> Placed:
    request, n, address, port, took = _ADMITTED.unpack_from(body, at)
    return Placed(request, n, address << 16 | port, took)


def _change(body: bytes, at: int) -> Note:
    request, address, port, topic, n, value = _CHANGE.unpack_from(body, at)
    return Note(request, n, address << 16 | port, topic, value)


def _report_back(body: bytes, at: int) -> AttemptEnded:
    request, took, detail, n, how, address, port, ended, size, *values = _REPORT_BACK.unpack_from(body, at)
    return AttemptEnded(
        request,
        n,
        address << 16 | port,
        _outcome(how),
        took,
        detail,
        bool(ended),
        _report(size, tuple(values)),
    )


def _health(body: bytes, at: int) -> ProbeAnswered:
    how, took, address, port, size, *values = _HEALTH.unpack_from(body, at)
    return ProbeAnswered(address << 16 | port, _outcome(how), took, _report(size, tuple(values)))


_READERS: dict[int, Callable[[bytes, int], object]] = {
    10: lambda body, at: None,  # a peer's message: weldhatch shares nothing
    20: _health,
    30: _change,
    40: _resident,
    50: _to_place,
    60: lambda body, at: RequestAbandoned(*_ONE.unpack_from(body, at)),
    90: _admitted,
    130: lambda body, at: TimerFired(*_ONE.unpack_from(body, at)),
    140: _report_back,
}


def encode_reply(replies: Iterable[tuple[int, list[Action]]]) -> bytes:
    """One frame with the actions of each instance, in order."""
    records: list[bytes] = []
    tail = bytearray()
    for who, actions in replies:
        if actions:
            records.append(_A_WHO.pack(70, who))
            records.extend(_action(action, tail) for action in actions)
    body = b"".join(records) + tail
    return REPLY_HEADER.pack(len(records), len(body)) + body


def encode_fault(text: str) -> bytes:
    """A frame that ends the day with a plain message."""
    tail = text.encode()
    return REPLY_HEADER.pack(1, ACTION_SIZE + len(tail)) + _A_TWO_INTS.pack(20, 0, len(tail)) + tail


def _action(action: Action, tail: bytearray) -> bytes:
    match action:
        case SetTimer(after, timer):
            return _A_TWO_INTS.pack(100, after, timer)
        case Probe(machine):
            return _A_HOST.pack(90, machine >> 16, machine & 0xFFFF)
        case Offer(request, machine, give_up):
            return _A_TRY.pack(60, request, machine >> 16, machine & 0xFFFF, give_up)
        case Cancel(request, attempt):
            return _A_ID_N.pack(30, request, attempt)
        case Reject(request, retry_after):
            return _A_TWO_INTS.pack(80, request, retry_after)
        case Fail(request):
            return _A_ID.pack(120, request)
        case Migrate(request):
            return _A_ID.pack(10, request)
        case Subscribe(on):
            return _A_FLAG.pack(40, on)
        case FetchList():
            return _A_BARE.pack(50)
        case Log(text):
            data = text.encode()
            offset = len(tail)
            tail += data
            return _A_TWO_INTS.pack(110, offset, len(data))
    raise TypeError(f"no action: {action!r}")
