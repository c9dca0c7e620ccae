"""Calls of the pull queue and of control addresses over a play's wires."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from tornado.iostream import StreamClosedError

from weldhatch.client.api import PREFIX, Api, ApiError, _error
from weldhatch.net.connection import connect


class Nobody:
    """A slot of no budget."""

    def give_back(self) -> None:
        pass


class SimApi(Api):
    """Calls over the play's wires: one connection a call."""

    def __init__(self, endpoint: tuple[str, int]) -> None:
        self.address, self._endpoint = f"{endpoint[0]}:{endpoint[1]}", endpoint

    def close(self) -> None:
        pass

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        wait_s: float = 0.0,
        headers: dict[str, str] | None = None,
        on_data: Callable[[bytes], None] | None = None,
        prefix: str = PREFIX,
    ) -> Any:
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {prefix}{path} HTTP/1.1\r\nHost: sim\r\nConnection: close\r\n"
            f"Content-Length: {len(data)}\r\n"
        )
        if wait_s:
            head += f"X-Server-Timeout: {wait_s:g}\r\n"
        try:
            async with asyncio.timeout(wait_s + 10.0):
                code, tree = await self._exchange(head.encode() + b"\r\n" + data)
        except (OSError, TimeoutError, StreamClosedError) as fault:
            raise ApiError(0, "", f"{type(fault).__name__}") from None
        if code != 200:
            raise _error(code, tree)
        return tree

    async def _exchange(self, request: bytes) -> tuple[int, Any]:
        connection = await connect(self._endpoint, 5.0, Nobody(), "sim", lambda text: None)
        stream = connection._stream
        try:
            stream.write(request)
            got, room = b"", bytearray(64 * 1024)
            while True:
                count = await stream.read_into(memoryview(room), partial=True)
                got += room[:count]
                head, mark, rest = got.partition(b"\r\n\r\n")
                if not mark:
                    continue
                lines = head.decode("latin-1").split("\r\n")
                length = next(
                    int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length")
                )
                if len(rest) >= length:
                    return int(lines[0].split(" ")[1]), json.loads(rest[:length] or b"{}")
        finally:
            connection.close()
