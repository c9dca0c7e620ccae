"""A small HTTP/1.1 server side: requests of known length in, JSON answers out."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import unquote

from weldhatch.net.connection import MESSAGE_MOST, Connection, Malformed
from weldhatch.net.ring import Ring

PIPELINED_MOST = 16
_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
            500: "Internal Server Error", 503: "Service Unavailable"}
_STATUS = {400: "INVALID_ARGUMENT", 404: "NOT_FOUND", 405: "UNIMPLEMENTED", 409: "ABORTED", 500: "INTERNAL",
           503: "UNAVAILABLE"}


class HttpError(Exception):
    """An answer that is not 200. Where a field of the request is at fault, it is named."""

    def __init__(self, code: int, message: str, field: str = "") -> None:
        super().__init__(message)
        self.code, self.field = code, field

    def body(self) -> dict:
        error: dict = {"code": self.code, "status": _STATUS[self.code], "message": str(self)}
        if self.field:
            error["details"] = [{"@type": "type.googleapis.com/google.rpc.BadRequest",
                                 "fieldViolations": [{"field": self.field, "description": str(self)}]}]
        return {"error": error}


@dataclass(slots=True)
class Request:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    closed: Callable[[], bool] = field(default=lambda: False)

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


def parse(ring: Ring) -> Request | None:
    """The next request of the ring, or None where it is not whole yet."""
    at = 0
    while True:  # the blank line that ends the head
        end = ring.find(b"\n", at)
        if end < 0:
            return None
        if ring.copy(end - at, at).strip() == b"" and at:
            break
        at = end + 1
    head = ring.copy(end).decode("latin-1").split("\n")
    first = head[0].strip().split(" ")
    if len(first) != 3 or not first[2].startswith("HTTP/1."):
        raise Malformed("a request line that can't be read")
    headers = {}
    for line in head[1:]:
        name, sign, value = line.partition(":")
        if sign:
            headers[name.strip().lower()] = value.strip()
        elif line.strip():
            raise Malformed("a header without ':'")
    if "transfer-encoding" in headers:
        raise Malformed("a body in chunks: its length must be told")
    length = headers.get("content-length", "0")
    if not length.isdecimal() or int(length) + end + 1 > MESSAGE_MOST:
        raise Malformed(f"a request over {MESSAGE_MOST} bytes or without a usable length")
    if len(ring) < end + 1 + int(length):
        return None
    ring.drop(end + 1)
    return Request(first[0].upper(), unquote(first[1].partition("?")[0]), headers, ring.take(int(length)))


def encode(code: int, body: dict, headers: dict[str, str] | None = None) -> bytes:
    data = json.dumps(body, separators=(",", ":")).encode()
    lines = [f"HTTP/1.1 {code} {_REASONS[code]}", "Content-Type: application/json",
             f"Content-Length: {len(data)}", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


Handler = Callable[[Request], Awaitable[tuple[dict, dict[str, str]]]]


class HttpLink:
    """One client's connection. Requests on it are answered one after the other, in order."""

    def __init__(self, connection: Connection, handler: Handler, log: Callable[[str], None]) -> None:
        self._connection, self._handler, self._log = connection, handler, log
        self._waiting: deque[Request] = deque()
        self._working: asyncio.Task | None = None

    async def run(self) -> None:
        try:
            await self._connection.pump(parse, self._take)
        finally:
            if self._working is not None:
                self._working.cancel()

    def _take(self, request: Request) -> None:
        request.closed = lambda: self._connection.closed
        if len(self._waiting) >= PIPELINED_MOST:
            raise Malformed("too many requests at once")
        self._waiting.append(request)
        if self._working is None:
            self._working = asyncio.get_running_loop().create_task(self._work())

    async def _work(self) -> None:
        try:
            while self._waiting:
                self._connection.send(await self._answer(self._waiting.popleft()))
        finally:
            self._working = None

    async def _answer(self, request: Request) -> bytes:
        try:
            body, headers = await self._handler(request)
            return encode(200, body, headers)
        except HttpError as error:
            return encode(error.code, error.body())
        except Exception as error:
            # Guards the other clients against a fault in one request: it is logged and answered.
            self._log(f"{request.method} {request.path}: {type(error).__name__}: {error}")
            return encode(500, HttpError(500, "an internal fault").body())
