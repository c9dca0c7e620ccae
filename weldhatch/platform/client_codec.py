"""The clients' messages: one JSON object a line.

The names of the keys (`verb`, `tag`, `opts`, `rc`, `blob`) are the platform's and stay in this module.
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
    """One line, in either direction."""

    verb: str
    tag: str  # 16 hex digits that name the request
    fields: dict[str, Any] = field(default_factory=dict)
    cause: int | None = None
    description: str | None = None  # passed on unchanged


def parse(ring: RingBuffer) -> ClientMessage | None:
    """Take the next line from the ring; None where it is not complete yet.

    Raises:
        MalformedMessageError: the line can't be a message. One that can't become an object raises before it
            is complete, so that nothing is kept of it until its end.
    """
    if len(ring) and ring.copy(1) not in LINE_STARTS:
        raise MalformedMessageError("a line that is no object")
    end = ring.find(b"\n")
    if end < 0:
        return None
    data = ring.take(end + 1)
    try:
        return _message_from_json(json.loads(data))
    except KeyError as missing:
        raise MalformedMessageError(f"a line without {missing}") from None
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise MalformedMessageError(f"a line that can't be read: {error}") from None


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
        raise TypeError("a field of the wrong type")
    if message.cause is not None and not isinstance(message.cause, int):
        raise TypeError("rc is no whole number")
    if message.description is not None:
        if not isinstance(message.description, str):
            raise TypeError("blob is no text")
        message.description.encode()  # half a character can be written in JSON and nowhere else
    if len(bytes.fromhex(message.tag)) != TAG_BYTES:
        raise ValueError("tag is not 16 hex digits")
    return message


def encode(
    verb: str, tag: str, fields: Mapping[str, str], cause: int | None = None, description: str | None = None
) -> bytes:
    """Encode one line, with its end."""
    json_object: dict[str, Any] = {"verb": verb, "tag": tag, "opts": fields}
    if cause is not None:
        json_object["rc"] = cause
    if description is not None:
        json_object["blob"] = description
    return _encode_json(json_object).encode() + b"\n"
