"""The ring buffer compared with plain bytes, parsers on input in pieces, the log limit and the budget."""

import asyncio
import socket
import unittest.mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhatch.net.connection import Connection, MalformedMessageError, connect
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.net.rate_limited_log import MAX_LINES_PER_S, RateLimitedLog
from weldhatch.net.ring_buffer import INITIAL_SIZE_BYTES, RingBuffer
from weldhatch.platform import client_codec, event_stream, server_codec
from weldhatch.pullqueue import http

STEPS = st.lists(st.one_of(st.binary(max_size=12), st.integers(0, 12)), max_size=60)


@given(STEPS)
def test_a_ring_behaves_like_plain_bytes(steps):
    ring, plain = RingBuffer(16), b""
    for step in steps:
        if isinstance(step, bytes):
            fits = len(plain) + len(step) <= 16
            assert ring.put(step) is fits
            plain += step if fits else b""
        else:
            count = min(step, len(plain))
            assert ring.take(count) == plain[:count]
            plain = plain[count:]
        assert len(ring) == len(plain) and ring.copy(len(plain)) == plain
        assert plain.startswith(bytes(ring.front())) and bool(ring.front()) == bool(plain)
        assert bool(ring.free_space()) == (len(plain) < 16)
        for start in range(len(plain) + 1):
            assert ring.find(b"\0", start) == plain.find(b"\0", start)


def test_a_ring_allocates_on_demand_and_frees_its_memory_when_empty():
    """Guards against hundreds of nearly silent connections that each hold a ring at full capacity."""
    ring = RingBuffer(128 * 1024)
    assert len(ring.free_space()) == INITIAL_SIZE_BYTES
    assert ring.put(b"x" * 100_000) and len(ring) == 100_000
    assert ring.take(100_000) == b"x" * 100_000
    assert len(ring.free_space()) == INITIAL_SIZE_BYTES


def parse_in_pieces(parse, data, size, capacity=4096):
    ring, messages = RingBuffer(capacity), []
    ring.put(bytes(capacity - 7))  # so that the messages wrap around the end of the ring
    ring.drop(capacity - 7)
    for at in range(0, len(data), size):
        assert ring.put(data[at : at + size])
        while (message := parse(ring)) is not None:
            messages.append(message)
    assert not len(ring)
    return messages


@pytest.mark.parametrize("size", [1, 2, 7, 4000])
def test_messages_are_parsed_from_pieces_of_any_size(size):
    parameters = {server_codec.CLASS: b"safe", server_codec.DESCRIPTION: b"v=0\r\n" * 9}
    one = server_codec.encode(server_codec.SET_UP, b"12345678", parameters)
    two = server_codec.encode(server_codec.TEST, b"abcdefgh", {server_codec.CAUSE: b"\1"})
    first, second = parse_in_pieces(server_codec.parse, one + two, size)
    assert (first.type, first.tag, first.text(server_codec.DESCRIPTION)) == (1, b"12345678", "v=0\r\n" * 9)
    assert second.cause == 1
    line = client_codec.encode("START", "9b1f03aa5c7e2d41", {"left": "5"}, None, "a\r\nb\u00e9")
    [read] = parse_in_pieces(client_codec.parse, line, size)
    assert (read.verb, read.fields, read.description) == ("START", {"left": "5"}, "a\r\nb\u00e9")
    http_request = b"POST /v1test2/tasks?x=1 HTTP/1.1\r\nContent-Length: 2\r\nX-A:  b \r\n\r\n{}"
    [request, _] = parse_in_pieces(http.RequestParser().parse, http_request * 2, size)
    assert (request.method, request.path, request.headers["x-a"], request.body) == (
        "POST",
        "/v1test2/tasks",
        "b",
        b"{}",
    )


@pytest.mark.parametrize("size", [1, 3, 4000])
@pytest.mark.parametrize("chunked", [False, True])
def test_bus_lines_are_parsed_with_and_without_chunked_encoding(size, chunked):
    body = b": hello\n\nid: 2\ndata: {}\n\n"
    if chunked:
        parts = [body[:5], body[5:]]
        body = b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts)
    head = b"HTTP/1.1 200 OK\r\n" + b"Transfer-Encoding: chunked\r\n" * chunked + b"\r\n"
    lines = [
        line
        for batch in parse_in_pieces(event_stream.EventStream().read_lines, head + body, size)
        for line in batch
    ]
    assert lines == [": hello", "", "id: 2", "data: {}", ""]


@pytest.mark.parametrize(
    "parse, data",
    [
        (server_codec.parse, b"\0\5\1123"),
        (server_codec.parse, b"\0\x0b\1" + b"12345678" + b"\x40\0"),
        (server_codec.parse, b"\0\x0c\1" + b"12345678" + b"\x40\0\1"),
        (client_codec.parse, b"null\n"),
        (client_codec.parse, b"{}\n"),
        (client_codec.parse, b'{"verb":"START","tag":"9b1f03aa5c7e2d41","blob":"\\ud800"}\n'),
        (client_codec.parse, b'{"verb":1,"tag":"9b1f03aa5c7e2d41"}\n'),
        (client_codec.parse, b'{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","rc":"x"}\n'),
        (event_stream.EventStream().read_lines, b"HTTP/1.1 503 No\r\n\r\n"),
    ],
)
def test_invalid_input_raises_malformed_message_error(parse, data):
    ring = RingBuffer(1024)
    ring.put(data)
    with pytest.raises(MalformedMessageError):
        parse(ring)


def test_a_flood_of_log_lines_is_suppressed():
    lines = []
    log = RateLimitedLog(lines.append)
    with unittest.mock.patch("time.monotonic", return_value=1.5):
        for n in range(500):
            log(f"line {n}")
    with unittest.mock.patch("time.monotonic", return_value=2.5):
        log("later")
    assert (
        lines[-2:] == [f"{500 - MAX_LINES_PER_S} log lines were suppressed", "later"]
        and len(lines) == MAX_LINES_PER_S + 2
    )


def test_a_share_stays_within_its_limit_and_the_budget():
    budget = DescriptorBudget(24 + 10)
    share, other, woken = DescriptorShare(budget, 6), DescriptorShare(budget, 9), []
    assert [share.take() for _ in range(7)] == [True] * 6 + [False]
    assert [other.take() for _ in range(5)] == [True] * 4 + [False]
    other.when_free(lambda: woken.append("other"))
    share.give_back()
    assert woken == ["other"] and other.take() and budget.held == budget.limit


def read_after(end):
    """Return what a peer that reads late gets after `end` was called on a connection with unsent bytes."""

    async def run():
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        share = DescriptorBudget(100)
        share.take()
        connection = await connect(listening.getsockname(), 5.0, share, "one", lambda text: None)
        accepted, _ = listening.accept()
        while connection.unsent < 20_000:  # the kernel accepts no more; the rest is in the send buffer
            assert connection.send(b"x" * 10_000)
            await asyncio.sleep(0)
        end(connection)
        accepted.settimeout(5.0)
        try:
            while accepted.recv(65536):
                pass
            return "all bytes sent"
        except ConnectionResetError:
            return "a reset"
        finally:
            accepted.close()
            listening.close()

    return asyncio.run(run())


def test_an_aborted_connection_resets_and_discards_unsent_data():
    assert read_after(Connection.close) == "all bytes sent"
    assert read_after(Connection.abort) == "a reset"
