"""Owners' messages: one JSON object a line."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from weldhatch.net.connection import MalformedMessageError
from weldhatch.net.ring_buffer import RingBuffer

OPENS = (b"{", b" ", b"\t", b"\r", b"\n")
_ESCAPED = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode


@dataclass(slots=True)
class Line:
    verb: str
    tag: str
    fields: dict = field(default_factory=dict)
    cause: int | None = None
    description: str | None = None


def parse(ring: RingBuffer) -> Line | None:
    """The next line of the ring, or None where it is not whole yet."""
    if len(ring) and ring.copy(1) not in OPENS:
        raise MalformedMessageError(
            "a line that is no object"
        )  # at once: nothing is kept of it until its end
    end = ring.find(b"\n")
    if end < 0:
        return None
    data = ring.take(end + 1)
    try:
        message = json.loads(data)
        line = Line(
            message["verb"], message["tag"], message.get("opts") or {}, message.get("rc"), message.get("blob")
        )
        if not (isinstance(line.verb, str) and isinstance(line.tag, str) and isinstance(line.fields, dict)):
            raise TypeError("a field of the wrong type")
        if line.cause is not None and not isinstance(line.cause, int):
            raise TypeError("rc is no whole number")
        if line.description is not None and not isinstance(line.description, str):
            raise TypeError("blob is no text")
        if line.description is not None:
            line.description.encode()  # half a character can be written in JSON and nowhere else
        if len(bytes.fromhex(line.tag)) != 8:
            raise ValueError("tag is not 16 hex digits")
    except KeyError as missing:
        raise MalformedMessageError(f"a line without {missing}") from None
    except (ValueError, TypeError, AttributeError, RecursionError) as fault:
        raise MalformedMessageError(f"a line that can't be read: {fault}") from None
    return line


def encode(
    verb: str, tag: str, fields: dict, cause: int | None = None, description: str | None = None
) -> bytes:
    message: dict = {"verb": verb, "tag": tag, "opts": fields}
    if cause is not None:
        message["rc"] = cause
    if description is not None:
        message["blob"] = description
    return _ESCAPED(message).encode() + b"\n"
