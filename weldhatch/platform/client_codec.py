"""Codec of the client protocol: one JSON object per line.

The key names on the wire (`verb`, `tag`, `opts`, `rc`, `blob`) appear only in this module.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from weldhatch.net.connection import MalformedMessageError
from weldhatch.net.ring_buffer import RingBuffer

LINE_STARTS = (b"{", b" ", b"\t", b"\r", b"\n")
TAG_BYTES = 8
_encode_json = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode


@dataclass(slots=True)
class ClientMessage:
    """One line of the protocol, from or to a client."""

    verb: str
    tag: str  # request id: 16 hex digits
    fields: dict[str, Any] = field(default_factory=dict)
    cause: int | None = None
    description: str | None = None  # opaque text, forwarded unchanged


def parse(ring: RingBuffer) -> ClientMessage | None:
    """Take the next line from the ring; return None if it is not complete yet.

    Raises:
        MalformedMessageError: the line is not a valid message. A line that can't be a JSON object raises
            before it is complete, so that the rest of it is not buffered.
    """
    if len(ring) and ring.copy(1) not in LINE_STARTS:
        raise MalformedMessageError("line is not a JSON object")
    end = ring.find(b"\n")
    if end < 0:
        return None
    data = ring.take(end + 1)
    try:
        return _message_from_json(json.loads(data))
    except KeyError as missing:
        raise MalformedMessageError(f"line without the field {missing}") from None
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise MalformedMessageError(f"invalid line: {error}") from None


def _message_from_json(json_object: Any) -> ClientMessage:
    message = ClientMessage(
        json_object["verb"],
        json_object["tag"],
        json_object.get("opts") or {},
        json_object.get("rc"),
        json_object.get("blob"),
    )
    if not (
        isinstance(message.verb, str) and isinstance(message.tag, str) and isinstance(message.fields, dict)
    ):
        raise TypeError("verb, tag or opts has the wrong type")
    if message.cause is not None and not isinstance(message.cause, int):
        raise TypeError("rc is not an integer")
    if message.description is not None:
        if not isinstance(message.description, str):
            raise TypeError("blob is not a string")
        message.description.encode()  # raises on a lone surrogate, which JSON allows and UTF-8 does not
    if len(bytes.fromhex(message.tag)) != TAG_BYTES:
        raise ValueError("tag is not 16 hex digits")
    return message


def encode(
    verb: str, tag: str, fields: Mapping[str, str], cause: int | None = None, description: str | None = None
) -> bytes:
    """Encode one line, including its newline."""
    json_object: dict[str, Any] = {"verb": verb, "tag": tag, "opts": fields}
    if cause is not None:
        json_object["rc"] = cause
    if description is not None:
        json_object["blob"] = description
    return _encode_json(json_object).encode() + b"\n"
