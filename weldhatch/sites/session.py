"""Words between two gateways over connections that break: numbered, acknowledged, resumed. No I/O.

A session outlives its connections. Each side numbers what it sends and keeps it until the other side has
acknowledged it; after a break both say how far they have heard, and the rest is sent again, once. Where one
side has lost its memory of the session, a new one begins, and what was under way is lost: the hand-over says
again what was not confirmed.

Streams share one connection: each has a line of its own and a credit of its own, given by the receiver, and
they are sent by turns, so that none blocks another. Times are in seconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from msgspec import Struct

CREDIT = 256  # messages of a stream that may be under way; the receiver gives more as it takes them
LINE_MOST = 1024  # messages of a stream that wait for credit; more are refused, and their sender is told
ACK_EVERY = 16  # messages heard before an acknowledgement goes out by itself
ACK_S = 0.02  # or after this, if there is less to acknowledge
BEAT_S = 1.0  # a beat goes out as often: it shows that a side is there, and measures the delay
DEAD_S = 3.5  # a connection on which nothing is heard for so long is given up
STREAMS_MOST = 8


class ProtocolError(Exception):
    """The other side breaks the protocol; the text says how. The connection ends, the session may not."""


class StreamFullError(Exception):
    """A stream's line is full: nothing was taken."""


# ---- frames --------------------------------------------------------------------------------------------


class Hello(
    Struct, frozen=True, rename={"known_peer_epoch": "yours", "received": "heard", "is_new": "fresh"}
):
    """The first frame of each connection, both ways.

    `epoch`, `token`: the sender's store, which tells an older copy; `yours`: the same as last heard of the
    other side; `heard`: how far the sender has heard in that session; `fresh`: it has just begun it, and
    knows nothing of what either side said there before.
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
    """All up to `heard` were heard; `credit`: by stream, how many of its messages may be sent in all."""

    received: int
    credit: tuple[tuple[int, int], ...] = ()


class Heartbeat(Struct, frozen=True):
    """Nothing to say; `at` comes back in an echo, so that the sender learns the link's delay."""

    at: int
    echo: int = 0


Frame = Hello | Message | Ack | Heartbeat


@dataclass(slots=True)
class StreamState:
    """One stream, as its sender sees it and as its receiver does."""

    waiting: deque[bytes] = field(default_factory=deque)
    sent: int = 0  # messages of the stream that have been given a number
    send_limit: int = CREDIT  # how many of it the other side has allowed in all
    received: int = 0
    receive_limit: int = CREDIT  # how many of it we have allowed
    announced_credit: int = CREDIT  # how many of those the other side was told of


@dataclass(slots=True)
class Session:
    """One side. `send` queues, `frames` says what goes out now, `hear` takes a frame and what it brings."""

    name: str
    streams: dict[int, StreamState] = field(default_factory=dict)
    unacknowledged: deque[Message] = field(default_factory=deque)  # sent, and not acknowledged
    number: int = 0
    received: int = 0
    acked: int = 0  # how far we have acknowledged
    delay_s: float = 0.0  # one way, half of the smoothed round trip; 0 until told
    _turn: int = 0
    _to_send: deque[Message] = field(default_factory=deque)
    _owed_since: float = -1.0
    _beaten: float = 0.0
    _last: float = 0.0  # when anything was heard
    _echo: int = 0

    # ---- connections -----------------------------------------------------------------------------------

    def resume(self, now: float, received_there: int) -> None:
        """A new connection of this session: what the other side has not heard goes out again, in order.

        Raises Faulty where it claims to have heard what was never sent, or forgot what it acknowledged.
        """
        if not self.number - len(self.unacknowledged) <= received_there <= self.number:
            raise ProtocolError(
                f"the other side has heard up to {received_there}, of {self.number} that were sent"
            )
        self._acknowledged(received_there)
        self._to_send = deque(self.unacknowledged)
        self._beaten = self._last = now
        for line in self.streams.values():
            line.announced_credit = 0  # guards against a credit that went down with the old connection
        self._owed_since = now - ACK_S if self.streams else -1.0

    @property
    def fresh(self) -> bool:
        """Whether nothing was said in it yet, either way."""
        return not (self.number or self.received)

    def timed_out(self, now: float) -> bool:
        """Nothing was heard for too long: the connection is to be given up."""
        return now - self._last > DEAD_S

    # ---- sending ---------------------------------------------------------------------------------------

    def send(self, stream: int, payload: bytes) -> None:
        """Queue one message. Raises Full where its stream's line is."""
        line = self._stream(stream)
        if len(line.waiting) >= LINE_MOST:
            raise StreamFullError(f"stream {stream}: {LINE_MOST} messages wait for the other side")
        line.waiting.append(payload)

    def outgoing_frames(self, now: float, most: int = 64) -> Iterator[Frame]:
        """What goes out now, streams by turns, at most so many frames."""
        for _ in range(most):
            frame = self._next(now)
            if frame is None:
                return
            yield frame

    def _next(self, now: float) -> Frame | None:
        due = self.received - self.acked >= ACK_EVERY or now - self._owed_since >= ACK_S
        if self._owed_since >= 0 and due:
            return self._ack()
        if self._to_send:
            return self._to_send.popleft()
        streams = sorted(self.streams)
        for step in range(len(streams)):
            stream = streams[(self._turn + step) % len(streams)]
            line = self.streams[stream]
            if line.waiting and line.sent < line.send_limit:
                self._turn = (self._turn + step + 1) % len(streams)
                line.sent += 1
                self.number += 1
                message = Message(self.number, stream, line.waiting.popleft())
                self.unacknowledged.append(message)
                return message
        if self._echo or now - self._beaten >= BEAT_S:
            echo, self._echo = self._echo, 0
            asks, self._beaten = now - self._beaten >= BEAT_S, now
            return Heartbeat(int(now * 1e6) if asks else 0, echo)
        return None

    def _ack(self) -> Ack:
        """Guards against a receiver that is flooded: it allows as many more as it has taken."""
        self.acked, self._owed_since = self.received, -1.0
        credit = []
        for stream, line in self.streams.items():
            if line.received + CREDIT - line.receive_limit >= ACK_EVERY:
                line.receive_limit = line.received + CREDIT
            if line.announced_credit < line.receive_limit:
                line.announced_credit = line.receive_limit
                credit.append((stream, line.receive_limit))
        return Ack(self.received, tuple(credit))

    # ---- hearing ---------------------------------------------------------------------------------------

    def receive(self, now: float, frame: Frame) -> tuple[int, bytes] | None:
        """One frame; the message it brings, with its stream, if it is a new one. Raises Faulty."""
        self._last = now
        match frame:
            case Message(number, stream, payload):
                if number <= self.received:
                    return None  # said again after a break, and heard before it
                if number != self.received + 1:
                    raise ProtocolError(f"message {number} after {self.received}")
                line = self._stream(stream)
                if line.received >= line.receive_limit:
                    raise ProtocolError(f"stream {stream}: a message over its credit")
                line.received += 1
                self.received = number
                if self._owed_since < 0:
                    self._owed_since = now
                return stream, payload
            case Ack(received, credit):
                if received > self.number:
                    raise ProtocolError(f"message {received} is acknowledged, and {self.number} were sent")
                self._acknowledged(received)
                for stream, send_limit in credit:
                    line = self._stream(stream)
                    line.send_limit = max(line.send_limit, send_limit)
            case Heartbeat(at, echo):
                if at:
                    self._echo = at
                if echo:
                    trip = max(0.0, now - echo / 1e6) / 2
                    self.delay_s = trip if not self.delay_s else 0.8 * self.delay_s + 0.2 * trip
            case _:
                raise ProtocolError("a second hello")
        return None

    def _acknowledged(self, received: int) -> None:
        while self.unacknowledged and self.unacknowledged[0].number <= received:
            self.unacknowledged.popleft()

    def _stream(self, stream: int) -> StreamState:
        if stream not in self.streams:
            if not 0 <= stream < STREAMS_MOST:
                raise ProtocolError(f"stream {stream}: there are {STREAMS_MOST} of them")
            self.streams[stream] = StreamState()
        return self.streams[stream]


# ---- who is there --------------------------------------------------------------------------------------


def stale_store_reason(hello: Hello, known: tuple[int, str], ours: tuple[int, str]) -> str:
    """Why no work may pass: an older copy of a store on one of the sides; '' where all is well.

    `known`: epoch and token of the other side's store as we last wrote them down, (0, '') for never; `ours`:
    our own. Guards against a site that has forgotten what it lent or started: its ids would come twice.
    """
    if known[0] and (hello.epoch < known[0] or (hello.epoch == known[0] and hello.token != known[1])):
        return (
            f"site {hello.site} comes with epoch {hello.epoch}, and was at {known[0]} before: "
            "its store is an older copy"
        )
    their_epoch, their_token = hello.known_peer_epoch
    if their_epoch > ours[0] or (their_epoch == ours[0] and their_token not in ("", ours[1])):
        return (
            f"site {hello.site} knows us at epoch {their_epoch}, and we are at {ours[0]}: "
            "our store is an older copy"
        )
    return ""
