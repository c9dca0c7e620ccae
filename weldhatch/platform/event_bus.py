"""The event bus: server-sent events over one HTTP connection, taken up again where they broke off."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

from weldhatch.net.connection import Connection, MalformedMessageError, connect
from weldhatch.net.descriptor_budget import DescriptorShare
from weldhatch.net.ring_buffer import RingBuffer

QUIET_S = 1.7  # a comment comes each second: no byte for so long means a broken connection
AGAIN_S, AGAIN_MOST_S = 0.05, 0.4  # waits between connects; what broke off counts as told after 2 s
CONNECT_S = 1.0
LINE_MOST = 4 * 1024 * 1024  # bytes of one line: a whole list has about 150 for each server


class Stream:
    """The parser of one response: its head, then lines, in chunks or not."""

    def __init__(self) -> None:
        self._head, self._chunked, self._left = True, False, 0
        self._line = b""

    def lines(self, ring: RingBuffer) -> list[str] | None:
        """The whole lines that have come; None where there are no more bytes to read now."""
        if self._head and not self._read_head(ring):
            return None
        data = self._chunk(ring) if self._chunked else ring.take(len(ring)) if len(ring) else None
        if data is None:
            return None
        *whole, self._line = (self._line + data).split(b"\n")
        if len(self._line) > LINE_MOST:
            raise MalformedMessageError("event bus: an endless line")
        return [line.rstrip(b"\r").decode("utf-8", "replace") for line in whole]

    def _read_head(self, ring: RingBuffer) -> bool:
        while (end := ring.find(b"\n")) >= 0:
            line = ring.take(end + 1).strip().lower()
            if line.startswith(b"http/") and line.split()[1:2] != [b"200"]:
                raise MalformedMessageError(f"event bus: answered {line.decode('latin-1')}")
            if line.startswith(b"transfer-encoding:") and b"chunked" in line:
                self._chunked = True
            if not line:
                self._head = False
                return True
        return False

    def _chunk(self, ring: RingBuffer) -> bytes | None:
        if not self._left:
            end = ring.find(b"\n")
            if end < 0:
                return None
            size = ring.take(end + 1).split(b";")[0].strip()
            try:
                self._left = int(size, 16) if size else 0
            except ValueError:
                raise MalformedMessageError(f"event bus: a chunk of size {size!r}") from None
            return b""
        if not len(ring):
            return None
        data = ring.take(min(self._left, len(ring)))
        self._left -= len(data)
        return data


class Bus:
    """Keeps one subscription; every break is followed by a new connection from the last event on."""

    def __init__(
        self,
        endpoint: tuple[str, int],
        share: DescriptorShare,
        offset: Callable[[], int],
        take: Callable[[dict], None],
        log: Callable[[str], None],
    ) -> None:
        self._endpoint, self._share, self._offset = endpoint, share, offset
        self._take, self._log = take, log
        self._task: asyncio.Task | None = None
        self._connection: Connection | None = None

    def subscribe(self, on: bool) -> None:
        if on and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on:
            self.close()

    def move(self, endpoint: tuple[str, int]) -> None:
        """The bus has a new address: the old one tells nothing more, so it is left at once.

        The new one is asked from the last event on, so what came between is told and the numbers go on.
        """
        if endpoint == self._endpoint:
            return
        self._endpoint = endpoint
        if self._task is not None:
            self.close()
            self.subscribe(True)

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._connection is not None:
            self._connection.close()

    async def _run(self) -> None:
        again = AGAIN_S
        while True:
            began = time.monotonic()
            try:
                await self._follow()
            except (OSError, TimeoutError) as error:
                self._log(f"event bus: no connection: {error or type(error).__name__}")
            else:
                self._log("event bus: the connection ended, connecting anew")
            if time.monotonic() - began > 1:
                again = AGAIN_S
            await asyncio.sleep(again)
            again = min(2 * again, AGAIN_MOST_S)

    async def _follow(self) -> None:
        """One connection from its request to its end, which comes as an end, a reset or silence."""
        if not self._share.take():
            raise OSError("no descriptor is left")
        link = await connect(self._endpoint, CONNECT_S, self._share, "event bus", self._log)
        self._connection = link
        host, port = self._endpoint
        link.send(
            f"GET /bus/read HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: text/event-stream\r\n"
            f"Last-Event-ID: {self._offset()}\r\n\r\n".encode()
        )
        stream, data = Stream(), []

        def handle(lines: list[str]) -> None:
            for line in lines:
                if line.startswith("data:"):
                    data.append(line[5:].removeprefix(" "))
                elif not line and data:
                    text = "\n".join(data)
                    data.clear()
                    self._event(text)

        watch = asyncio.get_running_loop().create_task(self._watch(link))
        try:
            await link.pump(stream.lines, handle)
        finally:
            watch.cancel()

    async def _watch(self, link: Connection) -> None:
        while not link.closed:
            quiet = time.monotonic() - link.last_received
            if quiet >= QUIET_S:
                self._log("event bus: silent, connecting anew")
                link.close()
                return
            await asyncio.sleep(QUIET_S - quiet + 0.01)

    def _event(self, text: str) -> None:
        try:
            event = json.loads(text)
            if not isinstance(event, dict):
                raise ValueError("event bus: an event that is no object")
            self._take(event)
        except ValueError as fault:
            raise MalformedMessageError(str(fault)) from None
