"""Codec of the server protocol: length, type, task tag (8 bytes), and parameters by code."""

from __future__ import annotations

import math
import re
import struct
from dataclasses import dataclass, field

from weldhatch.net.connection import MAX_MESSAGE_BYTES, MalformedMessageError
from weldhatch.net.ring_buffer import RingBuffer

# Message types, under the names that the protocol gives them. Plain integers, for fast comparison.
SET_UP = 1
PROGRESS = 6
ANSWER = 9
RELEASE = 12
RELEASE_HEARD = 16
NOTE = 44
MOVE = 51
TEST = 52
TESTED = 53

# Parameter codes.
CLASS = 64
LEFT = 65
NAME = 68
TOPIC = 71
REPORT = 73
FIGURE = 76
KEY = 77
CAUSE = 78
DESCRIPTION = 79

TYPES = frozenset((SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, NOTE, MOVE, TEST, TESTED))
CODES = range(64, 80)

_LENGTH = struct.Struct(">H")
_HEADER = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
_CONTROL_CHARACTERS = re.compile("[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")


@dataclass(slots=True)
class Message:
    """One message: its type, the tag of its task, and the encoded parameters by code."""

    type: int
    tag: bytes
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int:
        """The cause code; raises MalformedMessageError if it is missing."""
        value = self.parameters.get(CAUSE, b"")
        if len(value) != 1:
            raise MalformedMessageError(f"a message of type {self.type} without a cause")
        return value[0]

    def text(self, code: int) -> str:
        """Return a parameter as text, '' if missing; raises MalformedMessageError if it is not UTF-8."""
        return self._text(code, self.parameters.get(code, b""))

    @property
    def description(self) -> str:
        """The description; text with control characters is rejected.

        Such text results from a truncated message that runs into the next one.
        """
        if DESCRIPTION not in self.parameters:
            raise MalformedMessageError(f"a message of type {self.type} without a description")
        text = self._text(DESCRIPTION, self.parameters[DESCRIPTION])
        if _CONTROL_CHARACTERS.search(text):
            raise MalformedMessageError("a description with control characters")
        return text

    def report(self, fields: tuple[str, ...]) -> tuple[float, ...]:
        """Return the figures of the load report in the order of `fields`, or () if one is missing.

        Raises:
            MalformedMessageError: a figure is not a finite number.
        """
        text = self.text(REPORT)
        if not text:
            return ()
        values = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
        if not all(name in values for name in fields):
            return ()
        return tuple(finite_number(values[name]) for name in fields)

    @staticmethod
    def _text(code: int, value: bytes) -> str:
        try:
            return value.decode()
        except UnicodeDecodeError:
            raise MalformedMessageError(f"parameter {code} is no text") from None


def parse(ring: RingBuffer) -> Message | None:
    """Take the next message from the ring; return None if it is not complete yet.

    Raises:
        MalformedMessageError: the bytes are not a valid message.
    """
    if len(ring) < 2:
        return None
    (length,) = _LENGTH.unpack(ring.copy(2))
    if length < 9 or length > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"a message of {length} bytes")
    if len(ring) > 2 and (kind := ring.copy(1, 2)[0]) not in TYPES:
        # Raised before the message is complete, so that the rest of it is not buffered.
        raise MalformedMessageError(f"a message of unknown type {kind}")
    if len(ring) < 2 + length:
        return None
    data = ring.take(2 + length)
    _, kind, tag = _HEADER.unpack_from(data)
    parameters = {}
    position = _HEADER.size
    while position < len(data):
        if position + 3 > len(data):
            raise MalformedMessageError("parameter header is truncated")
        code, size = _PARAMETER.unpack_from(data, position)
        position += 3
        if position + size > len(data):
            raise MalformedMessageError(f"parameter {code} is truncated")
        if code in parameters or code not in CODES:
            raise MalformedMessageError(f"parameter {code} is unknown or repeated")
        parameters[code] = data[position : position + size]
        position += size
    return Message(kind, tag, parameters)


def finite_number(text: str) -> float:
    """Parse a figure of a note or a load report; raises MalformedMessageError unless it is finite."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise MalformedMessageError(f"figure is not a finite number: {text!r}")
    return value


def encode(kind: int, tag: bytes, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encode a message; the parameters keep their order."""
    parts = [b""]
    for code, value in (parameters or {}).items():
        parts += (_PARAMETER.pack(code, len(value)), value)
    body = b"".join(parts)
    return _HEADER.pack(9 + len(body), kind, tag) + body
