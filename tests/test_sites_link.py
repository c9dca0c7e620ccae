"""The link's session and frames: lost connections, repeated messages, credit, and invalid frames."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.sites import frames, messages, session
from weldhatch.sites.session import (
    Ack,
    Heartbeat,
    Hello,
    Message,
    ProtocolError,
    Session,
    StreamFullError,
    stale_store_reason,
)


def exchange_all(a, b, now, received, max_frames=1000):
    """Deliver all frames that are due, in both directions; return whether there were any."""
    any_frame = False
    for sender, receiver in ((a, b), (b, a)):
        for frame in sender.outgoing_frames(now, max_frames):
            any_frame = True
            if message := receiver.receive(now, frame):
                received[receiver.name].append(message)
    return any_frame


def session_pair():
    a, b = Session("a"), Session("b")
    a.resume(0.0, 0)
    b.resume(0.0, 0)
    return a, b, {"a": [], "b": []}


@given(st.integers(0, 10_000))
def test_each_message_arrives_once_and_in_order_when_connections_break(seed):
    """Frames are lost with their connection at any point; both sides resume from the last one received."""
    rnd, (a, b, received), now = random.Random(seed), session_pair(), 0.0
    sent = {"a": [], "b": []}
    for n in range(120):
        now += rnd.random() * 0.05
        sender, receiver = (a, b) if rnd.random() < 0.5 else (b, a)
        payload = f"{sender.name}{n}".encode()
        sender.send(0, payload)
        sent[receiver.name].append((0, payload))
        frames_out = list(sender.outgoing_frames(now))
        delivered = rnd.choice((len(frames_out), rnd.randrange(len(frames_out) + 1)))
        for frame in frames_out[:delivered]:
            if message := receiver.receive(now, frame):
                received[receiver.name].append(message)
        # The connection breaks, and frames in flight are lost.
        if delivered < len(frames_out) or rnd.random() < 0.2:
            list(a.outgoing_frames(now)), list(b.outgoing_frames(now))
            last_received = a.received, b.received
            a.resume(now, last_received[1])
            b.resume(now, last_received[0])
    last_received = a.received, b.received
    a.resume(now, last_received[1])
    b.resume(now, last_received[0])
    for _ in range(60):
        now += session.ACK_DELAY_S
        exchange_all(a, b, now, received)
    assert received == sent
    assert not a.unacknowledged and not b.unacknowledged


def test_a_stream_without_credit_does_not_block_another():
    a, b, received = session_pair()
    for n in range(session.CREDIT_MESSAGES + 50):
        a.send(0, b"bulk%d" % n)
    frames_out = list(a.outgoing_frames(0.0, 10_000))
    assert len(frames_out) == session.CREDIT_MESSAGES
    a.send(1, b"urgent")
    assert [frame.payload for frame in a.outgoing_frames(0.0)] == [b"urgent"]


def test_streams_are_sent_in_rotation():
    a, _, _ = session_pair()
    for n in range(6):
        a.send(0, b"x%d" % n)
    a.send(1, b"y")
    assert b"y" in [frame.payload for frame in a.outgoing_frames(0.0, 2)]


def test_credit_lost_with_a_connection_is_announced_again():
    a, b, received = session_pair()
    for n in range(session.CREDIT_MESSAGES + 5):
        a.send(0, b"%d" % n)
    for frame in a.outgoing_frames(0.0, 10_000):
        b.receive(0.0, frame)
    list(b.outgoing_frames(1.0))  # the acknowledgement, and the credit with it, is lost
    a.resume(2.0, b.received)
    b.resume(2.0, a.received)
    for _ in range(4):
        exchange_all(a, b, 3.0, received)
    assert b.received == session.CREDIT_MESSAGES + 5


def test_a_frame_that_violates_the_protocol_is_an_error():
    _, b, _ = session_pair()
    for n in range(session.CREDIT_MESSAGES):
        b.receive(0.0, Message(n + 1, 0, b""))
    with pytest.raises(ProtocolError, match="over its credit"):
        b.receive(0.0, Message(session.CREDIT_MESSAGES + 1, 0, b""))
    for invalid_frame in (
        Message(99_999, 0, b""),
        Ack(5),
        Message(session.CREDIT_MESSAGES + 1, 99, b""),
        Hello(1, "x", 1, "t", (0, ""), "", 0, True),
    ):
        with pytest.raises(ProtocolError):
            b.receive(0.0, invalid_frame)


def test_a_side_that_lost_the_session_state_can_not_resume():
    a, b, received = session_pair()
    for n in range(40):
        a.send(0, b"%d" % n)
    for _ in range(5):
        exchange_all(a, b, 1.0, received)
    with pytest.raises(ProtocolError, match="reports message 0 as its last received, of 40 sent"):
        a.resume(2.0, 0)
    with pytest.raises(ProtocolError, match="reports message 41 as its last received, of 40 sent"):
        a.resume(2.0, 41)


def test_sending_to_a_full_stream_queue_is_an_error():
    a, _, _ = session_pair()
    for _ in range(session.MAX_QUEUED_MESSAGES):
        a.send(2, b"")
    with pytest.raises(StreamFullError):
        a.send(2, b"")


def test_heartbeats_measure_the_delay_and_silence_ends_a_connection():
    a, b, _ = session_pair()
    (heartbeat,) = a.outgoing_frames(session.HEARTBEAT_INTERVAL_S)
    b.receive(1.2, heartbeat)
    echo = next(frame for frame in b.outgoing_frames(1.2) if isinstance(frame, Heartbeat))
    a.receive(1.4, echo)
    assert a.delay_s == pytest.approx(0.2)
    a.send(0, b"talk")  # other messages do not postpone the heartbeat that measures the delay
    assert [type(frame) for frame in a.outgoing_frames(2.1)] == [Message, Heartbeat]
    assert not a.timed_out(1.3 + session.SILENCE_TIMEOUT_S) and a.timed_out(1.5 + session.SILENCE_TIMEOUT_S)


@pytest.mark.parametrize(
    "hello, known_epoch, own_epoch, reason_part",
    [
        ((5, "x", (3, "k")), (5, "x"), (3, "k"), ""),
        ((6, "y", (3, "k")), (5, "x"), (3, "k"), ""),
        ((1, "x", (0, "")), (0, ""), (3, "k"), ""),
        ((4, "x", (3, "k")), (5, "x"), (3, "k"), "epoch 4"),
        ((5, "z", (3, "k")), (5, "x"), (3, "k"), "older copy"),
        ((5, "x", (4, "m")), (5, "x"), (3, "k"), "our store"),
        ((5, "x", (3, "m")), (5, "x"), (3, "k"), "our store"),
    ],
)
def test_an_older_copy_of_a_store_is_detected_on_both_sides(hello, known_epoch, own_epoch, reason_part):
    epoch, token, known_peer_epoch = hello
    reason = stale_store_reason(
        Hello(1, "b", epoch, token, known_peer_epoch, "", 0, True), known_epoch, own_epoch
    )
    assert (reason_part in reason) if reason_part else reason == ""


WORK = messages.Work("c", "UNSAFE", 7, 1, 0.5, 2.0, "t", ("a", "b"), 1)
FRAMES = [
    Hello(1, "a", 3, "t", (2, "u"), "s", 9, False),
    Message(1, 2, b"\0x"),
    Ack(4, ((0, 9),)),
    Heartbeat(5, 6),
]
MESSAGES = [
    messages.Offer((1, 2), WORK, 5),
    messages.Withdraw((1, 2)),
    messages.Release((1, 2), 16),
    messages.Close((1, 2)),
    messages.LowWatermark((1, 2)),
    messages.Accepted((1, 2)),
    messages.Placed((1, 2), "d"),
    messages.Returned((1, 2), 7),
    messages.Ended((1, 2), 41, True),
]


def test_frames_and_messages_are_decoded_as_they_were_encoded():
    ring = RingBuffer(64 * 1024)
    for frame in FRAMES:
        ring.put(frames.encode(frame)[:3])
        assert frames.parse(ring) is None
        ring.put(frames.encode(frame)[3:])
        assert frames.parse(ring) == frame
    assert [frames.decode_message(frames.encode_message(message)) for message in MESSAGES] == MESSAGES


@pytest.mark.parametrize(
    "record",
    [
        ("epoch", 4),
        ("lent", (1, 2), "b", WORK),
        ("taken", (1, 2), WORK),
        ("stands", (1, 2), "d"),
        ("freed", (1, 2), 16),
        ("back", (1, 2)),
        ("ended", (1, 2), 16, "r"),
        ("floor", (1, 2)),
    ],
)
def test_records_are_decoded_as_they_were_encoded(record):
    assert frames.decode_record(frames.encode_record(record)) == record


@given(st.binary(max_size=60))
def test_random_bytes_raise_no_other_error_than_the_documented_one(data):
    for decode in (frames.decode, frames.decode_message):
        try:
            decode(data)
        except ProtocolError as error:
            assert str(error)
    try:
        frames.decode_record(data)
    except ValueError as error:
        assert "can't be read" in str(error)


def test_a_frame_whose_length_exceeds_the_limit_is_an_error():
    ring = RingBuffer(1024)
    ring.put(b"\xff\xff\xff\xff")
    with pytest.raises(ProtocolError, match="exceeds the limit of"):
        frames.parse(ring)
    with pytest.raises(ValueError):
        frames.encode(Message(1, 0, bytes(frames.MAX_FRAME_BYTES)))
