"""Messages between two gateways over connections that break: numbered, acknowledged, resumed. No I/O.

A session outlives its connections. Each side numbers what it sends and keeps it until the other side has
acknowledged it; after a break both say how far they have received, and the rest is sent again, once. Where
one side has lost its memory of the session, a new one begins, and what was under way is lost: the hand-off
sends again what was not confirmed.

Streams share one connection: each has a queue of its own and a credit of its own, given by the receiver
(credit-based flow control, as the windows of HTTP/2, RFC 9113 5.2), and they are sent by turns, so that none
blocks another. Times are in seconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from msgspec import Struct

CREDIT_MESSAGES = 256  # messages of a stream that may be under way; the receiver gives more as it takes them
MAX_QUEUED_MESSAGES = 1024  # of a stream, that wait for credit; more are refused with an error
ACK_INTERVAL_MESSAGES = 16  # messages received before an acknowledgement goes out by itself
ACK_DELAY_S = 0.02  # or after this, if there is less to acknowledge
HEARTBEAT_INTERVAL_S = 1.0  # a heartbeat shows that a side is there, and measures the delay
SILENCE_TIMEOUT_S = 3.5  # a connection on which nothing is received for so long is given up
MAX_STREAMS = 8


class ProtocolError(Exception):
    """The other side breaks the protocol; the text says how. The connection ends, the session may not."""


class StreamFullError(Exception):
    """A stream's queue is full: nothing was taken."""


# ---- frames --------------------------------------------------------------------------------------------


class Hello(
    Struct, frozen=True, rename={"known_peer_epoch": "yours", "received": "heard", "is_new": "fresh"}
):
    """The first frame of each connection, both ways.

    `epoch`, `token`: the sender's store, which tells an older copy; `known_peer_epoch`: both as the sender
    last wrote them down of the other side; `received`: the last message of that session that it has received;
    `is_new`: it has just begun the session, and knows nothing of what either side said there before.
    """

    version: int
    site: str
    epoch: int
    token: str
    known_peer_epoch: tuple[int, str]
    session: str
    received: int
    is_new: bool


class Message(Struct, frozen=True):
    """`number` counts all messages of a session and direction from 1."""

    number: int
    stream: int
    payload: bytes


class Ack(Struct, frozen=True, rename={"received": "heard"}):
    """All up to `received` have come; `credit`: by stream, how many of its messages may be sent in all."""

    received: int
    credit: tuple[tuple[int, int], ...] = ()


class Heartbeat(Struct, frozen=True):
    """Nothing to say; `at` comes back in an echo, so that the sender learns the link's delay."""

    at: int
    echo: int = 0


Frame = Hello | Message | Ack | Heartbeat


@dataclass(slots=True)
class StreamState:
    """One stream, as its sender sees it and as its receiver does. All counts begin with the session.

    `sent`: messages that have been given a number; `send_limit`: how many the other side has allowed;
    `receive_limit`: how many we have allowed; `announced_limit`: how many of those the other side knows of.
    """

    waiting: deque[bytes] = field(default_factory=deque)
    sent: int = 0
    send_limit: int = CREDIT_MESSAGES
    received: int = 0
    receive_limit: int = CREDIT_MESSAGES
    announced_limit: int = CREDIT_MESSAGES


@dataclass(slots=True)
class Session:
    """One side: `send` queues, `outgoing_frames` gives what goes out now, `receive` takes a frame.

    `number`: the last message that was sent; `received`: the last that was received; `acknowledged`: the last
    that we have acknowledged; `delay_s`: one way, half of the smoothed round trip, 0 until it is known.
    """

    name: str
    streams: dict[int, StreamState] = field(default_factory=dict)
    unacknowledged: deque[Message] = field(default_factory=deque)
    number: int = 0
    received: int = 0
    acknowledged: int = 0
    delay_s: float = 0.0
    _next_stream_index: int = 0
    _resend_queue: deque[Message] = field(default_factory=deque)
    _ack_owed_since: float = -1.0
    _heartbeat_at: float = 0.0
    _received_at: float = 0.0  # when anything was received
    _pending_echo_us: int = 0

    # ---- connections -----------------------------------------------------------------------------------

    def resume(self, now: float, peer_received: int) -> None:
        """Go on over a new connection: what the other side has not received goes out again, in order.

        Raises ProtocolError where it claims to have received what was never sent, or has forgotten what it
        acknowledged.
        """
        if not self.number - len(self.unacknowledged) <= peer_received <= self.number:
            raise ProtocolError(
                f"the other side has heard up to {peer_received}, of {self.number} that were sent"
            )
        self._drop_acknowledged(peer_received)
        self._resend_queue = deque(self.unacknowledged)
        self._heartbeat_at = now
        self._received_at = now
        for state in self.streams.values():
            state.announced_limit = 0  # guards against a credit that got lost with the old connection
        self._ack_owed_since = now - ACK_DELAY_S if self.streams else -1.0

    @property
    def unused(self) -> bool:
        """Whether nothing was said in it yet, either way."""
        return not (self.number or self.received)

    def timed_out(self, now: float) -> bool:
        """Return whether nothing was received for too long: the connection is to be given up."""
        return now - self._received_at > SILENCE_TIMEOUT_S

    # ---- sending ---------------------------------------------------------------------------------------

    def send(self, stream: int, payload: bytes) -> None:
        """Queue one message. Raises StreamFullError where its stream's queue is full."""
        state = self._stream(stream)
        if len(state.waiting) >= MAX_QUEUED_MESSAGES:
            raise StreamFullError(f"stream {stream}: {MAX_QUEUED_MESSAGES} messages wait for the other side")
        state.waiting.append(payload)

    def outgoing_frames(self, now: float, max_frames: int = 64) -> Iterator[Frame]:
        """Return what goes out now, streams by turns, at most so many frames."""
        for _ in range(max_frames):
            frame = self._next_frame(now)
            if frame is None:
                return
            yield frame

    def _next_frame(self, now: float) -> Frame | None:
        due = (
            self.received - self.acknowledged >= ACK_INTERVAL_MESSAGES
            or now - self._ack_owed_since >= ACK_DELAY_S
        )
        if self._ack_owed_since >= 0 and due:
            return self._ack()
        if self._resend_queue:
            return self._resend_queue.popleft()
        return self._next_message() or self._heartbeat(now)

    def _next_message(self) -> Message | None:
        """Return the next message that has credit, of the stream whose turn it is."""
        streams = sorted(self.streams)
        for step in range(len(streams)):
            stream = streams[(self._next_stream_index + step) % len(streams)]
            state = self.streams[stream]
            if state.waiting and state.sent < state.send_limit:
                self._next_stream_index = (self._next_stream_index + step + 1) % len(streams)
                state.sent += 1
                self.number += 1
                message = Message(self.number, stream, state.waiting.popleft())
                self.unacknowledged.append(message)
                return message
        return None

    def _heartbeat(self, now: float) -> Heartbeat | None:
        """Return a heartbeat where one is due or owed an echo; one that is not due asks for no echo."""
        due = now - self._heartbeat_at >= HEARTBEAT_INTERVAL_S
        if not (due or self._pending_echo_us):
            return None
        echo = self._pending_echo_us
        self._pending_echo_us = 0
        self._heartbeat_at = now
        return Heartbeat(int(now * 1e6) if due else 0, echo)

    def _ack(self) -> Ack:
        """Acknowledge, and guard a receiver against a flood: it allows as many more as it has taken."""
        self.acknowledged = self.received
        self._ack_owed_since = -1.0
        credit = []
        for stream, state in self.streams.items():
            if state.received + CREDIT_MESSAGES - state.receive_limit >= ACK_INTERVAL_MESSAGES:
                state.receive_limit = state.received + CREDIT_MESSAGES
            if state.announced_limit < state.receive_limit:
                state.announced_limit = state.receive_limit
                credit.append((stream, state.receive_limit))
        return Ack(self.received, tuple(credit))

    # ---- receiving -------------------------------------------------------------------------------------

    def receive(self, now: float, frame: Frame) -> tuple[int, bytes] | None:
        """Take one frame; return its stream and payload if it is a new message. Raises ProtocolError."""
        self._received_at = now
        match frame:
            case Message(number, stream, payload):
                if number <= self.received:
                    return None  # sent again after a break, and received before it
                self._receive_message(now, number, stream)
                return stream, payload
            case Ack(received, credit):
                if received > self.number:
                    raise ProtocolError(f"message {received} is acknowledged, and {self.number} were sent")
                self._drop_acknowledged(received)
                for stream, send_limit in credit:
                    state = self._stream(stream)
                    state.send_limit = max(state.send_limit, send_limit)
            case Heartbeat(at, echo):
                if at:
                    self._pending_echo_us = at
                if echo:
                    delay_s_sample = max(0.0, now - echo / 1e6) / 2
                    self.delay_s = (
                        delay_s_sample if not self.delay_s else 0.8 * self.delay_s + 0.2 * delay_s_sample
                    )
            case _:
                raise ProtocolError("a second hello")
        return None

    def _receive_message(self, now: float, number: int, stream: int) -> None:
        if number != self.received + 1:
            raise ProtocolError(f"message {number} after {self.received}")
        state = self._stream(stream)
        if state.received >= state.receive_limit:
            raise ProtocolError(f"stream {stream}: a message over its credit")
        state.received += 1
        self.received = number
        if self._ack_owed_since < 0:
            self._ack_owed_since = now

    def _drop_acknowledged(self, received: int) -> None:
        while self.unacknowledged and self.unacknowledged[0].number <= received:
            self.unacknowledged.popleft()

    def _stream(self, stream: int) -> StreamState:
        if stream not in self.streams:
            if not 0 <= stream < MAX_STREAMS:
                raise ProtocolError(f"stream {stream}: there are {MAX_STREAMS} of them")
            self.streams[stream] = StreamState()
        return self.streams[stream]


# ---- who is there --------------------------------------------------------------------------------------


def stale_store_reason(hello: Hello, known_epoch: tuple[int, str], own_epoch: tuple[int, str]) -> str:
    """Return why no work may pass: an older copy of a store on one of the sides; '' where all is well.

    `known`: epoch and token of the other side's store as we last wrote them down, (0, '') for never; `ours`:
    our own. Guards against a site that has forgotten what it offered or started: its ids would come twice.
    """
    if known_epoch[0] and (
        hello.epoch < known_epoch[0] or (hello.epoch == known_epoch[0] and hello.token != known_epoch[1])
    ):
        return (
            f"site {hello.site} comes with epoch {hello.epoch}, and was at {known_epoch[0]} before: "
            "its store is an older copy"
        )
    their_epoch, their_token = hello.known_peer_epoch
    if their_epoch > own_epoch[0] or (their_epoch == own_epoch[0] and their_token not in ("", own_epoch[1])):
        return (
            f"site {hello.site} knows us at epoch {their_epoch}, and we are at {own_epoch[0]}: "
            "our store is an older copy"
        )
    return ""
