"""A small HTTP/1.1 server side: bodies of known length or in chunks in, JSON or streams of events out."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote

from weldhatch.net.connection import Connection, MalformedMessageError
from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.pullqueue.errors import REASONS, HttpError

HEAD_MOST = 8 * 1024
HEADERS_MOST = 64
BODY_MOST = 128 * 1024
CHUNK_LINE_MOST = 256
PIPELINED_MOST = 16
PIPELINED_BYTES = 256 * 1024
OWED_S = 60.0  # for the answers that stand before a fault's
LAST_WORD_S = 1.0  # for the answer before a close to leave
_METHODS = ("GET", "POST", "PATCH", "DELETE", "PUT", "HEAD", "OPTIONS")


@dataclass(slots=True)
class Request:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    query: dict[str, str] = field(default_factory=dict)
    closed: Callable[[], bool] = field(default=lambda: False)
    last: bool = False  # the client closes after its answer
    peer: str = ""
    who: object = None  # what its token says, where tokens are asked for
    certificate: str = ""  # the name in the certificate that its connection showed

    def json(self) -> dict:
        try:
            tree = json.loads(self.body or b"{}")
        except (ValueError, RecursionError):
            raise HttpError(400, "the body is no JSON", "body") from None
        if not isinstance(tree, dict):
            raise HttpError(400, "the body is no JSON object", "body")
        return tree

    def seconds(self, header: str, most: float) -> float:
        """How long the client is ready to wait for the answer, at most so long."""
        text = self.headers.get(header, "0")
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not value >= 0:
            raise HttpError(400, f"the unusable value {text!r}", header)
        return min(value, most)


class Reader:
    """Takes requests off one connection's ring, bit by bit: a body never has to fit the ring."""

    def __init__(self, go_on: Callable[[], None] = lambda: None) -> None:
        """`go_on` is called where a client waits to be told that it may send its body."""
        self._go_on = go_on
        self._request: Request | None = None
        self._left = 0  # of a body of known length, or of a chunk
        self._chunked = self._trailers = self._line_end = False
        self._body = bytearray()

    def parse(self, ring: RingBuffer) -> Request | None:
        """The next whole request, or None. HttpError where it can't be served; reading ends with it."""
        if self._request is None and not self._head(ring):
            return None
        if self._chunked:
            if not self._chunks(ring):
                return None
        elif self._left:
            self._copy(ring)
            if self._left:
                return None
        request, self._request = self._request, None
        request.body, self._body = bytes(self._body), bytearray()
        return request

    @property
    def begun(self) -> bool:
        """A request's head has been read, and its body is not whole."""
        return self._request is not None

    def _copy(self, ring: RingBuffer) -> None:
        if count := min(self._left, len(ring)):
            self._body += ring.take(count)
            self._left -= count

    def _head(self, ring: RingBuffer) -> bool:
        data = ring.copy(min(len(ring), HEAD_MOST))
        begin = 0
        while data[begin : begin + 1] in (b"\r", b"\n") and begin < len(data):  # blank lines between requests
            begin += 1
        ends = [
            (at, length)
            for mark, length in ((b"\n\r\n", 3), (b"\n\n", 2))
            if (at := data.find(mark, begin)) >= 0
        ]
        if not ends:
            if len(ring) >= HEAD_MOST:
                raise HttpError(431, f"a head over {HEAD_MOST} bytes", "headers", last=True)
            return False
        at, length = min(ends)
        lines = data[begin:at].decode("latin-1").split("\n")
        ring.drop(at + length)
        self._request = self._first(lines)
        return True

    def _first(self, lines: list[str]) -> Request:
        words = lines[0].strip().split(" ")
        if len(words) != 3 or not words[2].startswith("HTTP/"):
            raise HttpError(400, "a request line that can't be read", "request", last=True)
        if words[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise HttpError(505, f"{words[2][:20]} is not spoken here", "request", last=True)
        if len(lines) > HEADERS_MOST + 1:
            raise HttpError(431, f"more than {HEADERS_MOST} headers", "headers", last=True)
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, sign, value = line.partition(":")
            if not sign or not name or name != name.strip():
                raise HttpError(400, "a header without ':', or folded", "headers", last=True)
            name = name.lower()
            if name in headers and name in ("content-length", "transfer-encoding", "authorization"):
                raise HttpError(400, f"{name} comes twice", name, last=True)
            headers[name] = value.strip()
        path, _, query = words[1].partition("?")
        request = Request(
            words[0].upper(),
            unquote(path),
            headers,
            b"",
            dict(parse_qsl(query, keep_blank_values=True)) if query else {},
        )
        connection = headers.get("connection", "").lower()
        request.last = "close" in connection or (words[2] == "HTTP/1.0" and "keep-alive" not in connection)
        self._measure(request, words[2])
        return request

    def _measure(self, request: Request, version: str) -> None:
        """How long the body is, before any of it is read."""
        headers = request.headers
        coding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        self._chunked, self._left = False, 0
        if coding is not None:
            # Guards against a request that two readers would take apart in two ways.
            if length is not None or version == "HTTP/1.0":
                raise HttpError(400, "a body in chunks has no content-length", "content-length", last=True)
            if coding.lower() != "chunked":
                raise HttpError(501, f"the transfer coding {coding[:40]!r}", "transfer-encoding", last=True)
            self._chunked, self._trailers = True, False
        elif length is not None:
            if not (length.isascii() and length.isdigit() and len(length) < 12):
                raise HttpError(400, f"the unusable value {length[:40]!r}", "content-length", last=True)
            self._left = int(length)
            if self._left > BODY_MOST:
                raise HttpError(413, f"a body over {BODY_MOST} bytes", "body", last=True)
        if expected := headers.get("expect"):
            if expected.lower() != "100-continue":
                raise HttpError(417, f"the unusable value {expected[:40]!r}", "expect", last=True)
            if self._chunked or self._left:
                self._go_on()

    def _chunks(self, ring: RingBuffer) -> bool:
        """Take as much of the chunks as there is; whether the body is whole, trailers passed over."""
        while True:
            if self._left:
                self._copy(ring)
                if self._left:
                    return False
                self._line_end = True  # behind the chunk
            end = ring.find(b"\n")
            if end < 0:
                if len(ring) > CHUNK_LINE_MOST:
                    raise HttpError(400, "a chunk's size that does not end", "body", last=True)
                return False
            line = ring.take(end + 1).strip()
            if self._line_end:
                self._line_end = False
                if line:
                    raise HttpError(400, "a chunk longer than its size", "body", last=True)
            elif self._trailers:
                if not line:
                    return True
            else:
                size = line.split(b";")[0].strip()
                if not size or len(size) > 8 or size.strip(b"0123456789abcdefABCDEF"):
                    raise HttpError(400, "a chunk's size that can't be read", "body", last=True)
                self._left = int(size, 16)
                if len(self._body) + self._left > BODY_MOST:
                    raise HttpError(413, f"a body over {BODY_MOST} bytes", "body", last=True)
                self._trailers = not self._left


def encode(code: int, body: object, headers: dict[str, str] | None = None) -> bytes:
    data = json.dumps(body, separators=(",", ":")).encode()
    more = "".join(f"{name}: {value}\r\n" for name, value in headers.items()) if headers else ""
    return (
        f"HTTP/1.1 {code} {REASONS[code]}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n{more}\r\n"
    ).encode() + data


def encode_error(error: HttpError) -> bytes:
    headers = {"Retry-After": str(max(1, math.ceil(error.retry_s)))} if error.retry_s else {}
    if error.code == 401:
        headers["WWW-Authenticate"] = "Bearer"
    if error.last:
        headers["Connection"] = "close"
    return encode(error.code, error.body(), headers)


@dataclass(slots=True)
class Events:
    """A stream of server-sent events in the place of a body: (name, data) pairs, until they end."""

    source: AsyncIterator[tuple[str, dict]]


Answer = tuple[object, dict[str, str]]
Handler = Callable[[Request], Awaitable[Answer | Events]]


class HttpLink:
    """One client's connection. Requests on it are answered one after the other, in order."""

    def __init__(
        self,
        connection: Connection,
        handler: Handler,
        log: Callable[[str], None],
        peer: str = "",
        certificate: str = "",
    ) -> None:
        self._certificate = certificate
        self.connection, self._handler, self._log, self._peer = connection, handler, log, peer
        self._waiting: deque[Request] = deque()
        self._bytes = 0
        self._working: asyncio.Task | None = None
        self._reader = Reader(self._go_on)
        self._owes_go_on = False
        self._fault: HttpError | None = None
        self.answered = time.monotonic()
        self.incomplete_since = 0.0  # since when the rest of a request that has begun is awaited

    @property
    def idle(self) -> bool:
        """Nothing of it is under way."""
        return self._working is None

    async def run(self) -> None:
        try:
            await self.connection.pump(self._parse, self._take, self._turn_away)
        finally:
            if self._working is not None:
                self._working.cancel()

    def _parse(self, ring: RingBuffer) -> Request | None:
        try:
            request = self._reader.parse(ring)
            if request is None and (self._reader.begun or len(ring)):
                self.incomplete_since = self.incomplete_since or time.monotonic()
            else:
                self.incomplete_since = 0.0
            return request
        except HttpError as fault:
            self._fault = fault
            raise MalformedMessageError(str(fault)) from None

    async def _turn_away(self) -> None:
        """What was asked before is answered first; then the fault, and the connection ends."""
        working = self._working
        if working is not None:
            await asyncio.wait([working], timeout=OWED_S)
        if self._fault is not None:
            self.connection.send(encode_error(self._fault))
            await self.connection.linger(LAST_WORD_S)

    def _go_on(self) -> None:
        """100 Continue, in its turn: behind the answers that are owed on this connection."""
        if self._working is None:
            self.connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        else:
            self._owes_go_on = True

    def _take(self, request: Request) -> None:
        request.closed = lambda: self.connection.closed
        request.peer, request.certificate = self._peer, self._certificate
        self._bytes += len(request.body)
        if len(self._waiting) >= PIPELINED_MOST or self._bytes > PIPELINED_BYTES:
            self._fault = HttpError(
                429, "too many requests at once on one connection", "request", 1.0, last=True
            )
            raise MalformedMessageError(str(self._fault))
        self._waiting.append(request)
        if self._working is None:
            self._working = asyncio.get_running_loop().create_task(self._work())

    async def _work(self) -> None:
        try:
            while self._waiting and not self.connection.closed:
                request = self._waiting.popleft()
                self._bytes -= len(request.body)
                await self._answer(request)
                if request.last:
                    await self.connection.finish(LAST_WORD_S)
        finally:
            self._working = None
            self.answered = time.monotonic()
            if self._owes_go_on and not self.connection.closed:
                self._owes_go_on = False
                self.connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _answer(self, request: Request) -> None:
        try:
            told = await self._handler(request)
            if isinstance(told, Events):
                await self._stream(told)
                return
            data = encode(200, *told)
        except HttpError as error:
            request.last = request.last or error.last
            data = encode_error(error)
        except Exception as error:
            # Guards the other clients against a fault in one request: it is logged and answered.
            self._log(f"{request.method} {request.path}: {type(error).__name__}: {error}")
            data = encode(500, HttpError(500, "an internal fault").body())
        if request.last:
            data = data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        self.connection.send(data)

    async def _stream(self, told: Events) -> None:
        """Server-sent events as a body in chunks; it ends where the source does, or the client goes."""
        self.connection.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        async for name, data in told.source:
            text = f"event: {name}\ndata: {json.dumps(data, separators=(',', ':'))}\n\n" if name else ":\n\n"
            part = text.encode()
            if not self.connection.send(f"{len(part):x}\r\n".encode() + part + b"\r\n"):
                return
        self.connection.send(b"0\r\n\r\n")
