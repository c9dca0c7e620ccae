"""The HTTP/1.1 server: chunked bodies in both directions, pipelining, Expect, answers to exceeded limits."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_pullqueue import PullQueueScenario, bot, task

from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestParser


def feed(data, size, reader=None):
    """Return all requests of a byte stream that arrives in pieces of this size."""
    reader, ring, out = reader or RequestParser(), RingBuffer(18 * 1024), []
    for at in range(0, len(data), size):
        ring.put(data[at : at + size])
        while (request := reader.parse(ring)) is not None:
            out.append(request)
    return out


def chunked(body, sizes):
    parts, at = [], 0
    for size in sizes:
        part = body[at : at + size]
        if part:
            parts.append(f"{len(part):X};x=1\r\n".encode() + part + b"\r\n")
        at += size
    if body[at:]:
        parts.append(f"{len(body) - at:x}\r\n".encode() + body[at:] + b"\r\n")
    return b"".join(parts) + b"0\r\nX-Trailer: 1\r\n\r\n"


@given(st.binary(max_size=9000), st.lists(st.integers(1, 3000), max_size=6), st.integers(1, 5000))
def test_a_chunked_body_is_parsed_regardless_of_how_it_is_split(body, sizes, pieces):
    head = b"\r\nPOST /x?a=1&b= HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    plain = f"POST /y HTTP/1.1\nContent-Length: {len(body)}\n\n".encode() + body
    first, second, third = feed(head + chunked(body, sizes) + plain + plain, pieces)
    assert (first.body, first.query, second.body, third.path) == (body, {"a": "1", "b": ""}, body, "/y")


@pytest.mark.parametrize(
    ("data", "code", "field"),
    [
        (b"GET /\r\n\r\n", 400, "request"),
        (b"GET / HTTP/2\r\n\r\n", 505, "request"),
        (b"GET / HTTP/1.1\r\nX-Y z\r\n\r\n", 400, "headers"),
        (b"GET / HTTP/1.1\r\n X: y\r\n\r\n", 400, "headers"),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * MAX_HEAD_BYTES, 431, "headers"),
        (b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 70 + b"\r\n", 431, "headers"),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, "content-length"),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, "content-length"),
        (f"POST / HTTP/1.1\r\nContent-Length: {MAX_BODY_BYTES + 1}\r\n\r\n".encode(), 413, "body"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
            "content-length",
        ),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501, "transfer-encoding"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 400, "body"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", 400, "body"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", 413, "body"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1" * 300, 400, "body"),
        (b"POST / HTTP/1.1\r\nExpect: tea\r\nContent-Length: 1\r\n\r\n", 417, "expect"),
    ],
)
def test_an_invalid_request_gets_an_error_that_names_the_faulty_part(data, code, field):
    with pytest.raises(HttpError) as caught:
        feed(data, 700)
    assert (caught.value.code, caught.value.field, caught.value.closes_connection) == (code, field, True)


class RawClient:
    """A client that sends raw bytes to the gateway."""

    def __init__(self, address):
        self.address = address

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    def send(self, data):
        self.writer.write(data)

    async def answer(self):
        async with asyncio.timeout(20):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(head[0].split()[1]), headers, json.loads(body or b"null")


def encode_request(method, path, body="", *more):
    head = "".join(f"{line}\r\n" for line in (f"Content-Length: {len(body)}", *more))
    return f"{method} /v1test2/{path} HTTP/1.1\r\n{head}\r\n{body}".encode()


class HttpConnections(PullQueueScenario):
    def raw(self):
        return RawClient(self.gateway.listener.address)

    async def test_pipelined_requests_are_answered_in_order_and_the_connection_stays_open(self):
        async with self.raw() as raw:
            raw.send(
                encode_request("GET", "tasks/x")
                + encode_request("POST", "botSessions", bot("b1"))
                + encode_request("GET", "what")
            )
            codes = [(await raw.answer())[0] for _ in range(3)]
            self.assertEqual([404, 200, 404], codes)
            raw.send(encode_request("GET", "tasks/y", "", "Connection: close"))
            code, headers, _ = await raw.answer()
            self.assertEqual((404, "close"), (code, headers["connection"]))
            self.assertEqual(b"", await raw.reader.read())

    async def test_a_client_that_expects_100_continue_receives_it(self):
        body = bot("b1")
        async with self.raw() as raw:
            raw.send(
                f"POST /v1test2/botSessions HTTP/1.1\r\nExpect: 100-continue\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
            )
            self.assertEqual(100, (await raw.answer())[0])
            raw.send(body.encode())
            self.assertEqual(200, (await raw.answer())[0])

    async def test_exceeded_limits_are_answered_before_the_connection_is_closed(self):
        large = b"POST /v1test2/tasks HTTP/1.1\r\nContent-Length: 999999\r\n\r\n" + b"x" * 60000
        for data, code in (
            (large, 413),
            (b"GET / HTTP/1.1\r\nX: " + b"y" * 9000, 431),
            (b"nonsense\r\n\r\n", 400),
        ):
            async with self.raw() as raw:
                raw.send(data)
                status, headers, body = await raw.answer()
                self.assertEqual((code, "close"), (status, headers["connection"]))
                self.assertEqual(code, body["error"]["code"])
                self.assertTrue(body["error"]["details"][0]["fieldViolations"][0]["field"])
        async with self.raw() as raw:
            raw.send(encode_request("POST", "tasks", task(left=2000)) + encode_request("GET", "tasks/x") * 40)
            codes = []
            while 429 not in codes:
                codes.append((await raw.answer())[0])
            self.assertLessEqual(len(codes), 18)

    async def test_a_stalled_request_is_answered_with_408(self):
        import weldhatch.pullqueue.front as front

        before, front.INCOMPLETE_REQUEST_TIMEOUT_S = front.INCOMPLETE_REQUEST_TIMEOUT_S, 0.1
        self.addCleanup(setattr, front, "INCOMPLETE_REQUEST_TIMEOUT_S", before)
        async with self.raw() as raw:
            raw.send(b"POST /v1test2/tasks HTTP/1.1\r\nContent-Length: 10\r\n\r\n{")
            self.assertEqual(408, (await raw.answer())[0])
            self.assertEqual(b"", await raw.reader.read())

    async def test_an_idle_connection_is_closed(self):
        self.gateway._config = __import__("dataclasses").replace(self.gateway._config, idle=0.1)
        async with self.raw() as raw, asyncio.timeout(20):
            self.assertEqual(b"", await raw.reader.read())

    async def test_state_changes_are_streamed_as_chunked_events(self):
        await self.play(f"c1 send POST operations | {task()}\nc1 expect 200 metadata.state=ASKED")
        [name] = self.gateway.tasks.known
        name = name.replace("tasks/", "operations/")
        done = json.dumps({"leases": [{"id": "$lease", "state": "COMPLETED", "result": {"a": 1}}]})
        async with self.raw() as raw:
            raw.send(encode_request("GET", f"{name}:watch"))
            head = await raw.reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"text/event-stream", head)
            await self.play(f"""
                p1 send POST botSessions | {bot("b1")}
                p1 expect 200
                p1 send PATCH $session X-Server-Timeout=9 | {{}}
                p1 expect 200 leases.0.state=PENDING
                p1 send PATCH $session | {{"leases": [{{"id": "$lease", "state": "ACTIVE"}}]}}
                p1 expect 200
                p1 send PATCH $session | {done}
                p1 expect 200
            """)
            async with asyncio.timeout(20):
                text = await raw.reader.readuntil(b"\r\n0\r\n\r\n")
        states = [
            json.loads(line[6:])["metadata"]["state"]
            for line in text.decode().split("\n")
            if line.startswith("data: ")
        ]
        self.assertEqual(["ASKED", "PLACED", "DONE"], states)
