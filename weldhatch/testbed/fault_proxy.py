"""A wire between two sites that can be cut, held up, delayed, and cut one way: a proxy on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

CHUNK = 4096


class Wire:
    """Listens for one side and connects to the other. Owns all its connections.

    `delay_s` one way; `jitter_s` on top, drawn for each chunk without overtaking; `deaf`: directions in which
    bytes are swallowed ("to", "from") while both sides think that they are connected.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self.delay_s = self.jitter_s = 0.0
        self.deaf: set[str] = set()
        self.cut_off = False
        self._target: tuple[str, int] | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> tuple[str, int]:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address: tuple[str, int] = self._server.sockets[0].getsockname()
        return self.address

    def aim(self, target: tuple[str, int]) -> None:
        self._target = target

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.cut_off or self._target is None:
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        ways = [
            asyncio.create_task(self._pass(reader, back, "to")),
            asyncio.create_task(self._pass(there, writer, "from")),
        ]
        self._tasks |= set(ways)
        try:
            with contextlib.suppress(asyncio.CancelledError):  # at its end
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
                self._tasks.discard(way)
            for one in (writer, back):
                self._writers.discard(one)
                one.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str) -> None:
        """Chunks leave when they are due, so that a delay does not lower what the wire carries."""
        loop, line, last = asyncio.get_running_loop(), asyncio.Queue(), 0.0

        async def leave() -> None:
            while True:
                due, data = await line.get()
                if (left := due - loop.time()) > 0:
                    await asyncio.sleep(left)
                writer.write(data)
                await writer.drain()

        leaving = asyncio.create_task(leave())
        try:
            with contextlib.suppress(OSError):
                while data := await reader.read(CHUNK):
                    if way not in self.deaf:
                        last = max(last, loop.time() + self.delay_s + self.jitter_s * self._random.random())
                        line.put_nowait((last, data))
        finally:
            leaving.cancel()

    def cut(self) -> None:
        """All connections break, and none comes up until `heal`."""
        self.cut_off = True
        for writer in list(self._writers):
            writer.transport.abort()  # wherever it falls: within a frame as well

    def heal(self) -> None:
        self.cut_off = False
        self.deaf.clear()

    def close(self) -> None:
        self.cut()
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
