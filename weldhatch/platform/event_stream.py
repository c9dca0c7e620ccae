"""A parser for server-sent events: an HTTP response head, then lines, chunked or not."""

from __future__ import annotations

from weldhatch.net.connection import MalformedMessageError
from weldhatch.net.ring_buffer import RingBuffer

MAX_LINE_BYTES = 4 * 1024 * 1024  # a complete list takes about 150 bytes per server


class EventStream:
    """Incremental parser of one HTTP response, with or without chunked transfer encoding."""

    def __init__(self) -> None:
        """Start at the response head."""
        self._in_head = True
        self._chunked = False
        self._chunk_bytes_left = 0  # bytes of the current chunk not received yet
        self._incomplete_line = b""  # received part of the last line

    def read_lines(self, ring: RingBuffer) -> list[str] | None:
        """Take the complete lines received so far; return None if the ring has no more bytes to read.

        Raises:
            MalformedMessageError: the response status is not 200, or a line or a chunk is malformed.
        """
        if self._in_head and not self._read_head(ring):
            return None
        data = self._read_chunk(ring) if self._chunked else ring.take(len(ring)) if len(ring) else None
        if data is None:
            return None
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        if len(self._incomplete_line) > MAX_LINE_BYTES:
            raise MalformedMessageError("event bus: line exceeds the maximum length")
        return [line.rstrip(b"\r").decode("utf-8", "replace") for line in lines]

    def _read_head(self, ring: RingBuffer) -> bool:
        while (end := ring.find(b"\n")) >= 0:
            line = ring.take(end + 1).strip().lower()
            if line.startswith(b"http/") and line.split()[1:2] != [b"200"]:
                raise MalformedMessageError(f"event bus: unexpected response {line.decode('latin-1')}")
            if line.startswith(b"transfer-encoding:") and b"chunked" in line:
                self._chunked = True
            if not line:
                self._in_head = False
                return True
        return False

    def _read_chunk(self, ring: RingBuffer) -> bytes | None:
        if not self._chunk_bytes_left:
            end = ring.find(b"\n")
            if end < 0:
                return None
            size = ring.take(end + 1).split(b";")[0].strip()
            try:
                self._chunk_bytes_left = int(size, 16) if size else 0
            except ValueError:
                raise MalformedMessageError(f"event bus: invalid chunk size {size!r}") from None
            return b""
        if not len(ring):
            return None
        data = ring.take(min(self._chunk_bytes_left, len(ring)))
        self._chunk_bytes_left -= len(data)
        return data
