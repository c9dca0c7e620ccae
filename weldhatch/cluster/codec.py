"""The words of the agreement as messages of a link's streams: MessagePack, in parts where they are long.

    part = first:1 payload     first is 1 for a part that others follow, 0 for the last

A stream brings each part once and in order while its session lives; where a new one has begun, what was half
heard is dropped (`Reassembler.clear`), and whoever said it says it again.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from weldhatch.consensus import messages
from weldhatch.coordination import messages as coordination_messages
from weldhatch.sites.session import ProtocolError

PART = 8 * 1024
WHOLE_MOST = 4 << 20
RAFT, WORDS = 0, 1  # streams of a link

_RAFT = (
    messages.RequestVote,
    messages.RequestVoteResponse,
    messages.AppendEntries,
    messages.AppendEntriesResponse,
    messages.InstallSnapshot,
    messages.TimeoutNow,
    messages.Hello,
)
_WORDS = (
    coordination_messages.LeaseRequest,
    coordination_messages.LeaseResponse,
    coordination_messages.CommandRequest,
    coordination_messages.CommandResult,
)
_KINDS = {RAFT: _RAFT, WORDS: _WORDS}
_NUMBER = {kind: (stream, number) for stream, kinds in _KINDS.items() for number, kind in enumerate(kinds)}
_READERS = {at: msgspec.msgpack.Decoder(kind) for kind, at in _NUMBER.items()}
_pack = msgspec.msgpack.Encoder().encode
_pair = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode


def encode(word: messages.Message | coordination_messages.GroupMessage) -> tuple[int, bytes]:
    """The stream of a word, and its bytes."""
    stream, number = _NUMBER[type(word)]
    return stream, _pack((number, word))


def decode(stream: int, data: bytes) -> messages.Message | coordination_messages.GroupMessage:
    """Raises Faulty for what is no word of this stream."""
    try:
        number, rest = _pair(data)
        return _READERS[stream, number].decode(rest)
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError) as fault:
        raise ProtocolError(
            f"a word that can't be read: {type(fault).__name__}: {str(fault)[:120]}"
        ) from None


def split(data: bytes) -> Iterator[bytes]:
    for at in range(0, len(data), PART):
        yield (b"\1" if at + PART < len(data) else b"\0") + data[at : at + PART]


class Reassembler:
    """What has come of a long word, by stream."""

    def __init__(self) -> None:
        self._held: dict[int, bytearray] = {}

    def add(self, stream: int, part: bytes) -> bytes | None:
        """One part; the whole once it is there. Raises Faulty for what is none, or too much."""
        if not part or part[0] > 1:
            raise ProtocolError("a part that begins with neither 0 nor 1")
        held = self._held.setdefault(stream, bytearray())
        held += part[1:]
        if len(held) > WHOLE_MOST:
            raise ProtocolError(f"a word of over {WHOLE_MOST} bytes")
        if part[0]:
            return None
        del self._held[stream]
        return bytes(held)

    def clear(self) -> None:
        self._held.clear()
