"""A small HTTP/1.1 server: request bodies of known length or chunked, answers in JSON or event streams."""

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

MAX_HEAD_BYTES = 8 * 1024
MAX_HEADERS = 64
MAX_BODY_BYTES = 128 * 1024
MAX_CHUNK_LINE_BYTES = 256
MAX_PIPELINED_REQUESTS = 16
MAX_PIPELINED_BYTES = 256 * 1024
PENDING_ANSWERS_TIMEOUT_S = 60.0  # for requests received before a malformed one
LAST_ANSWER_TIMEOUT_S = 1.0  # for sending the answer before a close
_METHODS = ("GET", "POST", "PATCH", "DELETE", "PUT", "HEAD", "OPTIONS")


@dataclass(slots=True)
class Request:
    """One HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    query: dict[str, str] = field(default_factory=dict)
    closed: Callable[[], bool] = field(default=lambda: False)
    closes_connection: bool = False  # the connection is closed after the answer
    peer: str = ""
    caller: object = None  # claims of the caller's token, if callers are authenticated
    certificate: str = ""  # name in the client certificate of the connection

    def json(self) -> dict:
        """Return the body as a JSON object. Raises HttpError."""
        try:
            tree = json.loads(self.body or b"{}")
        except (ValueError, RecursionError):
            raise HttpError(400, "the body is no JSON", "body") from None
        if not isinstance(tree, dict):
            raise HttpError(400, "the body is no JSON object", "body")
        return tree

    def seconds(self, header: str, max_s: float) -> float:
        """Return the wait in seconds that a header asks for, at most `max_s`. Raises HttpError."""
        text = self.headers.get(header, "0")
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not value >= 0:
            raise HttpError(400, f"the unusable value {text!r}", header)
        return min(value, max_s)


class RequestParser:
    """Parses requests incrementally from a connection's ring buffer; a body may exceed the ring."""

    def __init__(self, send_continue: Callable[[], None] = lambda: None) -> None:
        """`send_continue` is called for a client that waits for `100 Continue` before it sends its body."""
        self._send_continue = send_continue
        self._request: Request | None = None
        self._bytes_left = 0  # bytes left of a body of known length, or of a chunk
        self._chunked = self._trailers = self._line_end = False
        self._body = bytearray()

    def parse(self, ring: RingBuffer) -> Request | None:
        """Return the next complete request, or None.

        Raises HttpError for a request that can't be served; nothing can be parsed after that.
        """
        if self._request is None and not self._read_head(ring):
            return None
        if self._chunked:
            if not self._read_chunks(ring):
                return None
        elif self._bytes_left:
            self._read_body(ring)
            if self._bytes_left:
                return None
        request, self._request = self._request, None
        request.body, self._body = bytes(self._body), bytearray()
        return request

    @property
    def body_incomplete(self) -> bool:
        """Whether the head of a request has been read and its body is incomplete."""
        return self._request is not None

    def _read_body(self, ring: RingBuffer) -> None:
        if count := min(self._bytes_left, len(ring)):
            self._body += ring.take(count)
            self._bytes_left -= count

    def _read_head(self, ring: RingBuffer) -> bool:
        data = ring.copy(min(len(ring), MAX_HEAD_BYTES))
        begin = 0
        while data[begin : begin + 1] in (b"\r", b"\n") and begin < len(data):  # skips blank lines
            begin += 1
        ends = [
            (position, length)
            for mark, length in ((b"\n\r\n", 3), (b"\n\n", 2))
            if (position := data.find(mark, begin)) >= 0
        ]
        if not ends:
            if len(ring) >= MAX_HEAD_BYTES:
                raise HttpError(431, f"a head over {MAX_HEAD_BYTES} bytes", "headers", closes_connection=True)
            return False
        position, length = min(ends)
        lines = data[begin:position].decode("latin-1").split("\n")
        ring.drop(position + length)
        self._request = self._parse_head(lines)
        return True

    def _parse_head(self, lines: list[str]) -> Request:
        parts = lines[0].strip().split(" ")
        if len(parts) != 3 or not parts[2].startswith("HTTP/"):
            raise HttpError(400, "a request line that can't be read", "request", closes_connection=True)
        if parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise HttpError(505, f"{parts[2][:20]} is not spoken here", "request", closes_connection=True)
        if len(lines) > MAX_HEADERS + 1:
            raise HttpError(431, f"more than {MAX_HEADERS} headers", "headers", closes_connection=True)
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, sign, value = line.partition(":")
            if not sign or not name or name != name.strip():
                raise HttpError(400, "a header without ':', or folded", "headers", closes_connection=True)
            name = name.lower()
            if name in headers and name in ("content-length", "transfer-encoding", "authorization"):
                raise HttpError(400, f"{name} comes twice", name, closes_connection=True)
            headers[name] = value.strip()
        path, _, query = parts[1].partition("?")
        request = Request(
            parts[0].upper(),
            unquote(path),
            headers,
            b"",
            dict(parse_qsl(query, keep_blank_values=True)) if query else {},
        )
        connection = headers.get("connection", "").lower()
        request.closes_connection = "close" in connection or (
            parts[2] == "HTTP/1.0" and "keep-alive" not in connection
        )
        self._set_body_length(request, parts[2])
        return request

    def _set_body_length(self, request: Request, version: str) -> None:
        """Determine the length of the body before any of it is read."""
        headers = request.headers
        coding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        self._chunked, self._bytes_left = False, 0
        if coding is not None:
            # Rejects request smuggling: a request that two parsers would delimit differently.
            if length is not None or version == "HTTP/1.0":
                raise HttpError(
                    400, "a body in chunks has no content-length", "content-length", closes_connection=True
                )
            if coding.lower() != "chunked":
                raise HttpError(
                    501, f"the transfer coding {coding[:40]!r}", "transfer-encoding", closes_connection=True
                )
            self._chunked, self._trailers = True, False
        elif length is not None:
            if not (length.isascii() and length.isdigit() and len(length) < 12):
                raise HttpError(
                    400, f"the unusable value {length[:40]!r}", "content-length", closes_connection=True
                )
            self._bytes_left = int(length)
            if self._bytes_left > MAX_BODY_BYTES:
                raise HttpError(413, f"a body over {MAX_BODY_BYTES} bytes", "body", closes_connection=True)
        if expected := headers.get("expect"):
            if expected.lower() != "100-continue":
                raise HttpError(
                    417, f"the unusable value {expected[:40]!r}", "expect", closes_connection=True
                )
            if self._chunked or self._bytes_left:
                self._send_continue()

    def _read_chunks(self, ring: RingBuffer) -> bool:
        """Read the chunks received so far, skip trailers; return whether the body is complete."""
        while True:
            if self._bytes_left:
                self._read_body(ring)
                if self._bytes_left:
                    return False
                self._line_end = True  # the line end after the chunk follows
            end = ring.find(b"\n")
            if end < 0:
                if len(ring) > MAX_CHUNK_LINE_BYTES:
                    raise HttpError(400, "a chunk's size that does not end", "body", closes_connection=True)
                return False
            line = ring.take(end + 1).strip()
            if self._line_end:
                self._line_end = False
                if line:
                    raise HttpError(400, "a chunk longer than its size", "body", closes_connection=True)
            elif self._trailers:
                if not line:
                    return True
            else:
                size = line.split(b";")[0].strip()
                if not size or len(size) > 8 or size.strip(b"0123456789abcdefABCDEF"):
                    raise HttpError(400, "a chunk's size that can't be read", "body", closes_connection=True)
                self._bytes_left = int(size, 16)
                if len(self._body) + self._bytes_left > MAX_BODY_BYTES:
                    raise HttpError(
                        413, f"a body over {MAX_BODY_BYTES} bytes", "body", closes_connection=True
                    )
                self._trailers = not self._bytes_left


def encode(code: int, body: object, headers: dict[str, str] | None = None) -> bytes:
    """Encode an answer with a JSON body."""
    data = json.dumps(body, separators=(",", ":")).encode()
    extra_headers = "".join(f"{name}: {value}\r\n" for name, value in headers.items()) if headers else ""
    return (
        f"HTTP/1.1 {code} {REASONS[code]}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n{extra_headers}\r\n"
    ).encode() + data


def encode_error(error: HttpError) -> bytes:
    """Encode an error answer."""
    headers = {"Retry-After": str(max(1, math.ceil(error.retry_s)))} if error.retry_s else {}
    if error.code == 401:
        headers["WWW-Authenticate"] = "Bearer"
    if error.closes_connection:
        headers["Connection"] = "close"
    return encode(error.code, error.body(), headers)


@dataclass(slots=True)
class EventStream:
    """A stream of server-sent events as the body of an answer: pairs of event name and data."""

    source: AsyncIterator[tuple[str, dict]]


Answer = tuple[object, dict[str, str]]
Handler = Callable[[Request], Awaitable[Answer | EventStream]]


class HttpConnection:
    """One client's connection. Its requests are answered one at a time, in order."""

    def __init__(
        self,
        connection: Connection,
        handler: Handler,
        log: Callable[[str], None],
        peer: str = "",
        certificate: str = "",
    ) -> None:
        """Serve a connection with this handler. `certificate`: the name in the client certificate."""
        self._certificate = certificate
        self.connection, self._handler, self._log, self._peer = connection, handler, log, peer
        self._waiting: deque[Request] = deque()
        self._bytes = 0
        self._worker: asyncio.Task | None = None
        self._parser = RequestParser(self._send_continue)
        self._continue_pending = False
        self._error: HttpError | None = None
        self.last_answered = time.monotonic()
        self.incomplete_since = 0.0  # monotonic time since which a partly received request is incomplete

    @property
    def idle(self) -> bool:
        """Whether no request is being answered."""
        return self._worker is None

    async def run(self) -> None:
        """Answer requests until the connection ends."""
        try:
            await self.connection.pump(self._parse, self._enqueue, self._reject_malformed)
        finally:
            if self._worker is not None:
                self._worker.cancel()

    def _parse(self, ring: RingBuffer) -> Request | None:
        try:
            request = self._parser.parse(ring)
            if request is None and (self._parser.body_incomplete or len(ring)):
                self.incomplete_since = self.incomplete_since or time.monotonic()
            else:
                self.incomplete_since = 0.0
            return request
        except HttpError as error:
            self._error = error
            raise MalformedMessageError(str(error)) from None

    async def _reject_malformed(self) -> None:
        """Finish the requests received before a malformed one, then send its error and close."""
        worker = self._worker
        if worker is not None:
            await asyncio.wait([worker], timeout=PENDING_ANSWERS_TIMEOUT_S)
        if self._error is not None:
            self.connection.send(encode_error(self._error))
            await self.connection.linger(LAST_ANSWER_TIMEOUT_S)

    def _send_continue(self) -> None:
        """Send `100 Continue`, after the answers to earlier requests on this connection."""
        if self._worker is None:
            self.connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        else:
            self._continue_pending = True

    def _enqueue(self, request: Request) -> None:
        request.closed = lambda: self.connection.closed
        request.peer, request.certificate = self._peer, self._certificate
        self._bytes += len(request.body)
        if len(self._waiting) >= MAX_PIPELINED_REQUESTS or self._bytes > MAX_PIPELINED_BYTES:
            self._error = HttpError(
                429, "too many requests at once on one connection", "request", 1.0, closes_connection=True
            )
            raise MalformedMessageError(str(self._error))
        self._waiting.append(request)
        if self._worker is None:
            self._worker = asyncio.get_running_loop().create_task(self._answer_waiting())

    async def _answer_waiting(self) -> None:
        try:
            while self._waiting and not self.connection.closed:
                request = self._waiting.popleft()
                self._bytes -= len(request.body)
                await self._answer(request)
                if request.closes_connection:
                    await self.connection.finish(LAST_ANSWER_TIMEOUT_S)
        finally:
            self._worker = None
            self.last_answered = time.monotonic()
            if self._continue_pending and not self.connection.closed:
                self._continue_pending = False
                self.connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _answer(self, request: Request) -> None:
        try:
            answer = await self._handler(request)
            if isinstance(answer, EventStream):
                await self._stream(answer)
                return
            data = encode(200, *answer)
        except HttpError as error:
            request.closes_connection = request.closes_connection or error.closes_connection
            data = encode_error(error)
        except Exception as error:
            # An internal error in one request must not affect other clients: it is logged and answered.
            self._log(f"{request.method} {request.path}: {type(error).__name__}: {error}")
            data = encode(500, HttpError(500, "an internal fault").body())
        if request.closes_connection:
            data = data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        self.connection.send(data)

    async def _stream(self, answer: EventStream) -> None:
        """Send server-sent events as a chunked body until the source ends or the client disconnects."""
        self.connection.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        async for name, data in answer.source:
            text = f"event: {name}\ndata: {json.dumps(data, separators=(',', ':'))}\n\n" if name else ":\n\n"
            part = text.encode()
            if not self.connection.send(f"{len(part):x}\r\n".encode() + part + b"\r\n"):
                return
        self.connection.send(b"0\r\n\r\n")
