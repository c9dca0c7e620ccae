"""The wire of the link: four bytes of length, then a MessagePack pair: the number of its kind, its fields.

Read and written by msgspec, which is imported only where a gateway has sites. Every frame is checked whole:
what does not fit its kind is `Faulty`, and the connection ends with one line in the log.
"""

from __future__ import annotations

from struct import Struct

import msgspec

from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.sites import messages
from weldhatch.sites.routing import CapacitySummary
from weldhatch.sites.session import Ack, Frame, Heartbeat, Hello, Message, ProtocolError

VERSION = 1
FRAME_MOST = 16 * 1024 - 4  # with its length, a message of `net.connection`
_LENGTH = Struct(">I")

_KINDS: dict[int, type] = {1: Hello, 2: Message, 3: Ack, 4: Heartbeat}
_WORDS: dict[int, type] = {
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
_KIND_OF = {kind: number for number, kind in _KINDS.items()}
_WORD_OF = {kind: number for number, kind in _WORDS.items()}
_KIND_READERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in _KINDS.items()}
_WORD_READERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in _WORDS.items()}
_pack, _unpack = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode
_unpack_pair = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode


def _made(readers: dict[int, msgspec.msgpack.Decoder], data: bytes, what: str) -> object:
    try:
        number, rest = _unpack_pair(data)
        return readers[number].decode(rest)
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError) as fault:
        raise ProtocolError(
            f"{what} that can't be read: {type(fault).__name__}: {str(fault)[:120]}"
        ) from None


def encode(frame: Frame) -> bytes:
    """A frame as it goes out. Raises ValueError for one that is too long."""
    data = _pack((_KIND_OF[type(frame)], frame))
    if len(data) > FRAME_MOST:
        raise ValueError(f"a frame of {len(data)} bytes; {FRAME_MOST} are the most")
    return _LENGTH.pack(len(data)) + data


def decode(data: bytes) -> Frame:
    """The frame of these bytes, without their length. Raises Faulty."""
    return _made(_KIND_READERS, data, "a frame")


def parse(ring: RingBuffer) -> Frame | None:
    """The next whole frame of a ring; None where there is none yet. Raises Faulty."""
    if len(ring) < _LENGTH.size:
        return None
    (length,) = _LENGTH.unpack(ring.copy(_LENGTH.size))
    if length > FRAME_MOST:
        raise ProtocolError(f"a frame of {length} bytes; {FRAME_MOST} are the most")
    if len(ring) < _LENGTH.size + length:
        return None
    return decode(ring.take(_LENGTH.size + length)[_LENGTH.size :])


def encode_message(word: messages.ToTarget | messages.ToSource) -> bytes:
    return _pack((_WORD_OF[type(word)], word))


def decode_message(payload: bytes) -> messages.ToTarget | messages.ToSource:
    """Raises Faulty."""
    return _made(_WORD_READERS, payload, "a word")


def encode_summary(summary: CapacitySummary) -> bytes:
    return _pack([dict(summary.free), summary.size, summary.waiting, summary.draining])


def decode_summary(payload: bytes) -> CapacitySummary:
    """Raises Faulty."""
    try:
        free, size, waiting, draining = msgspec.convert(
            _unpack(payload), tuple[dict[str, int], int, int, bool]
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as fault:
        raise ProtocolError(f"a summary that can't be read: {str(fault)[:120]}") from None
    return CapacitySummary(free, size, waiting, draining)


def encode_record(record: tuple) -> bytes:
    """A record of the hand-over for the store: a JSON array, as all its records are."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> tuple:
    """The record of these bytes. Raises ValueError for what is none."""
    try:
        word, *rest = msgspec.json.decode(data)
        if word == "epoch":
            return word, int(rest[0])
        id = msgspec.convert(rest[0], tuple[int, int])
        rest = [msgspec.convert(one, messages.Work) if isinstance(one, dict) else one for one in rest[1:]]
        return word, id, *rest
    except (msgspec.MsgspecError, IndexError, TypeError, ValueError) as fault:
        raise ValueError(f"a record that can't be read: {data[:80]!r}: {fault}") from None
