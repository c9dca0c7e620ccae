"""Wire format of the link: a length of four bytes, then a MessagePack pair of kind number and fields.

msgspec encodes and decodes it, and is imported only where a gateway has sites. Every frame is validated
against its type: a mismatch raises `ProtocolError`, and the connection ends with one log line. Hand-off
records of the store are encoded here as well, since they contain the same `Work`.
"""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from typing import Any, cast

import msgspec

from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.sites import messages
from weldhatch.sites.messages import HandoffRecord
from weldhatch.sites.routing import CapacitySummary
from weldhatch.sites.session import Ack, Frame, Heartbeat, Hello, Message, ProtocolError

VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 - 4  # with the length prefix, the largest message of `net.connection`
_LENGTH = Struct(">I")

_FRAME_KINDS: dict[int, type] = {1: Hello, 2: Message, 3: Ack, 4: Heartbeat}
_MESSAGE_KINDS: dict[int, type] = {
    1: messages.Offer,
    2: messages.Withdraw,
    3: messages.Release,
    4: messages.Close,
    5: messages.LowWatermark,
    6: messages.Accepted,
    7: messages.Placed,
    8: messages.Returned,
    9: messages.Ended,
}
_NUMBER_OF_FRAME = {kind: number for number, kind in _FRAME_KINDS.items()}
_NUMBER_OF_MESSAGE = {kind: number for number, kind in _MESSAGE_KINDS.items()}

_Decoders = dict[int, msgspec.msgpack.Decoder[Any]]
_FRAME_DECODERS: _Decoders = {number: msgspec.msgpack.Decoder(kind) for number, kind in _FRAME_KINDS.items()}
_MESSAGE_DECODERS: _Decoders = {
    number: msgspec.msgpack.Decoder(kind) for number, kind in _MESSAGE_KINDS.items()
}
_pack = msgspec.msgpack.Encoder().encode
_unpack = msgspec.msgpack.Decoder().decode
_unpack_pair: Callable[[bytes], tuple[int, msgspec.Raw]] = msgspec.msgpack.Decoder(
    tuple[int, msgspec.Raw]
).decode


def _decode_pair(decoders: _Decoders, data: bytes, what: str) -> object:
    try:
        number, fields = _unpack_pair(data)
        return decoders[number].decode(fields)
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError) as error:
        reason = f"{type(error).__name__}: {str(error)[:120]}"
        raise ProtocolError(f"{what} that can't be read: {reason}") from None


def encode(frame: Frame) -> bytes:
    """Return an encoded frame with its length prefix. Raises ValueError if it is too long."""
    data = _pack((_NUMBER_OF_FRAME[type(frame)], frame))
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES}")
    return _LENGTH.pack(len(data)) + data


def decode(data: bytes) -> Frame:
    """Decode a frame from bytes without the length prefix. Raises ProtocolError."""
    return cast(Frame, _decode_pair(_FRAME_DECODERS, data, "a frame"))


def parse(ring: RingBuffer) -> Frame | None:
    """Remove the next complete frame from a ring; None if there is none yet. Raises ProtocolError."""
    if len(ring) < _LENGTH.size:
        return None
    (length,) = _LENGTH.unpack(ring.copy(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise ProtocolError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
    if len(ring) < _LENGTH.size + length:
        return None
    return decode(ring.take(_LENGTH.size + length)[_LENGTH.size :])


def encode_message(message: messages.ToTarget | messages.ToSource) -> bytes:
    """Encode a hand-off message as the payload of a frame."""
    return _pack((_NUMBER_OF_MESSAGE[type(message)], message))


def decode_message(payload: bytes) -> messages.ToTarget | messages.ToSource:
    """Decode a hand-off message from a payload. Raises ProtocolError."""
    return cast("messages.ToTarget | messages.ToSource", _decode_pair(_MESSAGE_DECODERS, payload, "a word"))


def encode_summary(summary: CapacitySummary) -> bytes:
    """Encode a capacity summary as the payload of a frame."""
    return _pack([dict(summary.free), summary.size, summary.waiting, summary.draining])


def decode_summary(payload: bytes) -> CapacitySummary:
    """Decode a capacity summary from a payload. Raises ProtocolError."""
    try:
        free, size, waiting, draining = msgspec.convert(
            _unpack(payload), tuple[dict[str, int], int, int, bool]
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ProtocolError(f"a summary that can't be read: {str(error)[:120]}") from None
    return CapacitySummary(free, size, waiting, draining)


def encode_record(record: HandoffRecord) -> bytes:
    """Encode a hand-off record for the store, as a JSON array."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> HandoffRecord:
    """Decode a hand-off record. Raises ValueError if it is invalid."""
    try:
        kind, *values = msgspec.json.decode(data)
        if kind == "epoch":
            return kind, int(values[0])
        id = msgspec.convert(values[0], tuple[int, int])
        rest = [
            msgspec.convert(value, messages.Work) if isinstance(value, dict) else value
            for value in values[1:]
        ]
        return kind, id, *rest
    except (msgspec.MsgspecError, IndexError, TypeError, ValueError) as error:
        raise ValueError(f"a record that can't be read: {data[:80]!r}: {error}") from None
