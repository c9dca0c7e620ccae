"""A resumable session of numbered, acknowledged messages between two gateways. No I/O.

A session outlives its connections. Each side numbers its messages and keeps them until the other side has
acknowledged them. After a break both sides exchange the last number received, and only the later messages
are sent again. If one side has lost the session's state, a new session starts and the messages in flight are
lost; the hand-off protocol repeats what was not confirmed.

Several streams share one connection. Each has its own queue and its own credit, granted by the receiver
(credit-based flow control, like the windows of HTTP/2, RFC 9113 5.2). Streams are served in rotation, so that
none blocks another. Times are in seconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from msgspec import Struct

CREDIT_MESSAGES = 256  # messages of a stream in flight; the receiver grants more as it receives them
MAX_QUEUED_MESSAGES = 1024  # per stream; `send` raises StreamFullError beyond
ACK_INTERVAL_MESSAGES = 16  # received messages after which an Ack is sent at once
ACK_DELAY_S = 0.02  # longest delay of an Ack for fewer received messages
HEARTBEAT_INTERVAL_S = 1.0  # a heartbeat shows that a side is alive, and measures the delay
SILENCE_TIMEOUT_S = 3.5  # a connection that receives nothing for so long is closed
MAX_STREAMS = 8


class ProtocolError(Exception):
    """A protocol violation by the peer. It ends the connection, but not necessarily the session."""


class StreamFullError(Exception):
    """A stream's queue is full, and the message was not queued."""


# ---- frames -----------------------------------------------------------------------------------------------


class Hello(
    Struct, frozen=True, rename={"known_peer_epoch": "yours", "received": "heard", "is_new": "fresh"}
):
    """The first frame of each connection, in both directions.

    `epoch`, `token`: identify the run of the sender's store, to detect an older copy. `known_peer_epoch`:
    epoch and token of the receiver's store, as last recorded by the sender. `received`: number of the last
    message of the session that the sender has received. `is_new`: the sender has no earlier state of the
    session.
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
    """A message of a stream. `number` counts the messages of a session in one direction from 1."""

    number: int
    stream: int
    payload: bytes


class Ack(Struct, frozen=True, rename={"received": "heard"}):
    """Acknowledges messages up to `received`. `credit`: by stream, the total number that may be sent."""

    received: int
    credit: tuple[tuple[int, int], ...] = ()


class Heartbeat(Struct, frozen=True):
    """A keep-alive. The receiver returns `at` as `echo`, from which the sender measures the delay."""

    at: int
    echo: int = 0


Frame = Hello | Message | Ack | Heartbeat


@dataclass(slots=True)
class StreamState:
    """Send and receive state of one stream. All counts are totals since the start of the session.

    `sent`: messages that have a number. `send_limit`: messages that the peer allows in total.
    `receive_limit`: messages that this side allows in total. `announced_limit`: the receive limit last sent
    to the peer.
    """

    waiting: deque[bytes] = field(default_factory=deque)
    sent: int = 0
    send_limit: int = CREDIT_MESSAGES
    received: int = 0
    receive_limit: int = CREDIT_MESSAGES
    announced_limit: int = CREDIT_MESSAGES


@dataclass(slots=True)
class Session:
    """One side of a session: `send` queues, `outgoing_frames` returns frames to send, `receive` handles one.

    `number`: number of the last message sent. `received`: of the last one received. `acknowledged`: of the
    last one acknowledged by this side. `delay_s`: one-way delay, half of the smoothed round-trip time; 0
    until it is known.
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
    _received_at: float = 0.0  # time of the last received frame
    _pending_echo_us: int = 0

    # ---- connections -----------------------------------------------------------------------------------

    def resume(self, now: float, peer_received: int) -> None:
        """Continue over a new connection: messages that the peer has not received are sent again, in order.

        Raises ProtocolError if the peer claims to have received messages that were never sent, or lacks
        messages that it had acknowledged.
        """
        if not self.number - len(self.unacknowledged) <= peer_received <= self.number:
            raise ProtocolError(
                f"the peer reports message {peer_received} as its last received, of {self.number} sent"
            )
        self._drop_acknowledged(peer_received)
        self._resend_queue = deque(self.unacknowledged)
        self._heartbeat_at = now
        self._received_at = now
        for state in self.streams.values():
            state.announced_limit = 0  # announce again: the last credit may be lost with the old connection
        self._ack_owed_since = now - ACK_DELAY_S if self.streams else -1.0

    @property
    def unused(self) -> bool:
        """Whether no message has been sent or received in this session."""
        return not (self.number or self.received)

    def timed_out(self, now: float) -> bool:
        """Return whether nothing was received for SILENCE_TIMEOUT_S; the caller closes the connection."""
        return now - self._received_at > SILENCE_TIMEOUT_S

    # ---- sending ---------------------------------------------------------------------------------------

    def send(self, stream: int, payload: bytes) -> None:
        """Queue one message. Raises StreamFullError if the stream's queue is full."""
        state = self._stream(stream)
        if len(state.waiting) >= MAX_QUEUED_MESSAGES:
            raise StreamFullError(f"stream {stream}: queue is full at {MAX_QUEUED_MESSAGES} messages")
        state.waiting.append(payload)

    def outgoing_frames(self, now: float, max_frames: int = 64) -> Iterator[Frame]:
        """Yield the frames to send now, with the streams in rotation, at most `max_frames`."""
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
        """Return the next message that has credit, with the streams in rotation; None if there is none."""
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
        """Return a heartbeat if one is due or an echo is pending; only one that is due requests an echo."""
        due = now - self._heartbeat_at >= HEARTBEAT_INTERVAL_S
        if not (due or self._pending_echo_us):
            return None
        echo = self._pending_echo_us
        self._pending_echo_us = 0
        self._heartbeat_at = now
        return Heartbeat(int(now * 1e6) if due else 0, echo)

    def _ack(self) -> Ack:
        """Return an acknowledgement that renews the credit of received messages, to bound the inflow."""
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
        """Handle one frame. Return stream and payload of a new message, else None. Raises ProtocolError."""
        self._received_at = now
        match frame:
            case Message(number, stream, payload):
                if number <= self.received:
                    return None  # sent again after a break, but received before it
                self._receive_message(now, number, stream)
                return stream, payload
            case Ack(received, credit):
                if received > self.number:
                    raise ProtocolError(f"message {received} is acknowledged, but {self.number} were sent")
                self._drop_acknowledged(received)
                for stream, send_limit in credit:
                    state = self._stream(stream)
                    state.send_limit = max(state.send_limit, send_limit)
            case Heartbeat(at, echo):
                if at:
                    self._pending_echo_us = at
                if echo:
                    delay_sample_s = max(0.0, now - echo / 1e6) / 2
                    self.delay_s = (
                        delay_sample_s if not self.delay_s else 0.8 * self.delay_s + 0.2 * delay_sample_s
                    )
            case _:
                raise ProtocolError("second hello on one connection")
        return None

    def _receive_message(self, now: float, number: int, stream: int) -> None:
        if number != self.received + 1:
            raise ProtocolError(f"message {number} received after message {self.received}")
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


# ---- store epochs -----------------------------------------------------------------------------------------


def stale_store_reason(hello: Hello, known_epoch: tuple[int, str], own_epoch: tuple[int, str]) -> str:
    """Return a text if the store of either side is an older copy, so that no work may pass; '' otherwise.

    `known_epoch`: last recorded epoch and token of the peer's store, (0, '') if there are none. `own_epoch`:
    those of this side's store. A site with an older store has lost what it offered or started, and would
    reuse transfer ids.
    """
    if known_epoch[0] and (
        hello.epoch < known_epoch[0] or (hello.epoch == known_epoch[0] and hello.token != known_epoch[1])
    ):
        return (
            f"site {hello.site} comes with epoch {hello.epoch}, and was at {known_epoch[0]} before: "
            "its store is an older copy"
        )
    peer_known_epoch, peer_known_token = hello.known_peer_epoch
    if peer_known_epoch > own_epoch[0] or (
        peer_known_epoch == own_epoch[0] and peer_known_token not in ("", own_epoch[1])
    ):
        return (
            f"site {hello.site} knows us at epoch {peer_known_epoch}, and we are at {own_epoch[0]}: "
            "our store is an older copy"
        )
    return ""
