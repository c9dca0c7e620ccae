"""Messages of the group on a link's streams: encoded as MessagePack, and split into parts if they are long.

    part = follows:1 payload     follows is 1 if more parts of the message follow, 0 for the last one

Within a session, a stream delivers each part once and in order. After a new session has begun, an incomplete
message is dropped (`Reassembler.clear`), and its sender sends it again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from weldhatch.consensus import messages as raft_messages
from weldhatch.coordination import messages as group_messages
from weldhatch.sites.session import ProtocolError

PART_BYTES = 8 * 1024
MAX_MESSAGE_BYTES = 4 << 20
RAFT_STREAM = 0
GROUP_STREAM = 1

Message = raft_messages.Message | group_messages.GroupMessage

# The index of a type in its tuple is its number on the wire.
_MESSAGE_TYPES: dict[int, tuple[type, ...]] = {
    RAFT_STREAM: (
        raft_messages.RequestVote,
        raft_messages.RequestVoteResponse,
        raft_messages.AppendEntries,
        raft_messages.AppendEntriesResponse,
        raft_messages.InstallSnapshot,
        raft_messages.TimeoutNow,
        raft_messages.Hello,
    ),
    GROUP_STREAM: (
        group_messages.LeaseRequest,
        group_messages.LeaseResponse,
        group_messages.CommandRequest,
        group_messages.CommandResult,
    ),
}
_TYPE_NUMBERS = {
    kind: (stream, number) for stream, kinds in _MESSAGE_TYPES.items() for number, kind in enumerate(kinds)
}
_DECODERS: dict[tuple[int, int], msgspec.msgpack.Decoder[Message]] = {
    wire_id: msgspec.msgpack.Decoder(kind) for kind, wire_id in _TYPE_NUMBERS.items()
}
_encode = msgspec.msgpack.Encoder().encode
_decode_pair: Callable[[bytes], tuple[int, msgspec.Raw]] = msgspec.msgpack.Decoder(
    tuple[int, msgspec.Raw]
).decode


def encode(message: Message) -> tuple[int, bytes]:
    """Return the stream that carries a message, and its encoded bytes."""
    stream, number = _TYPE_NUMBERS[type(message)]
    return stream, _encode((number, message))


def decode(stream: int, data: bytes) -> Message:
    """Decode the bytes of a message (see `encode`). Raises ProtocolError if it is none of this stream."""
    try:
        number, payload = _decode_pair(data)
        return _DECODERS[stream, number].decode(payload)
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError) as error:
        raise ProtocolError(f"malformed group message: {type(error).__name__}: {str(error)[:120]}") from None


def split(data: bytes) -> Iterator[bytes]:
    """Yield the parts of an encoded message."""
    for offset in range(0, len(data), PART_BYTES):
        yield (b"\1" if offset + PART_BYTES < len(data) else b"\0") + data[offset : offset + PART_BYTES]


class Reassembler:
    """Puts the parts of long messages together, one message at a time on each stream."""

    def __init__(self) -> None:
        """Begin with no parts."""
        self._received: dict[int, bytearray] = {}

    def add(self, stream: int, part: bytes) -> bytes | None:
        """Add one part; return the message if this part completes it, else None.

        Raises ProtocolError for a malformed part, or a message over MAX_MESSAGE_BYTES.
        """
        if not part or part[0] > 1:
            raise ProtocolError("malformed part of a group message: it begins with neither 0 nor 1")
        received = self._received.setdefault(stream, bytearray())
        received += part[1:]
        if len(received) > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a group message of more than {MAX_MESSAGE_BYTES} bytes")
        if part[0]:
            return None
        del self._received[stream]
        return bytes(received)

    def clear(self) -> None:
        """Drop incomplete messages."""
        self._received.clear()
