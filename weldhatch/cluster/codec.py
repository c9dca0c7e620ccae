"""Messages of the group on a link's streams: MessagePack, in parts where they are long.

    part = follows:1 payload     follows is 1 for a part that others follow, 0 for the last

A stream brings each part once and in order while its session lives; where a new one has begun, what was half
received is dropped (`Reassembler.clear`), and whoever sent it sends it again.
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

# The place of a kind in its tuple is its number on the wire.
_KINDS: dict[int, tuple[type, ...]] = {
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
_NUMBERS = {kind: (stream, number) for stream, kinds in _KINDS.items() for number, kind in enumerate(kinds)}
_DECODERS: dict[tuple[int, int], msgspec.msgpack.Decoder[Message]] = {
    place: msgspec.msgpack.Decoder(kind) for kind, place in _NUMBERS.items()
}
_encode = msgspec.msgpack.Encoder().encode
_decode_pair: Callable[[bytes], tuple[int, msgspec.Raw]] = msgspec.msgpack.Decoder(
    tuple[int, msgspec.Raw]
).decode


def encode(message: Message) -> tuple[int, bytes]:
    """Return the stream of a message, and its bytes."""
    stream, number = _NUMBERS[type(message)]
    return stream, _encode((number, message))


def decode(stream: int, data: bytes) -> Message:
    """Decode what `encode` gave. Raises ProtocolError for what is no message of this stream."""
    try:
        number, rest = _decode_pair(data)
        return _DECODERS[stream, number].decode(rest)
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError) as error:
        raise ProtocolError(
            f"a word that can't be read: {type(error).__name__}: {str(error)[:120]}"
        ) from None


def split(data: bytes) -> Iterator[bytes]:
    """Yield the parts of a message."""
    for at in range(0, len(data), PART_BYTES):
        yield (b"\1" if at + PART_BYTES < len(data) else b"\0") + data[at : at + PART_BYTES]


class Reassembler:
    """What has come of long messages, by stream."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self._received: dict[int, bytearray] = {}

    def add(self, stream: int, part: bytes) -> bytes | None:
        """Add one part; the whole message once it is there.

        Raises ProtocolError for what is no part, or too much.
        """
        if not part or part[0] > 1:
            raise ProtocolError("a part that begins with neither 0 nor 1")
        received = self._received.setdefault(stream, bytearray())
        received += part[1:]
        if len(received) > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a word of over {MAX_MESSAGE_BYTES} bytes")
        if part[0]:
            return None
        del self._received[stream]
        return bytes(received)

    def clear(self) -> None:
        """Drop what is not complete."""
        self._received.clear()
