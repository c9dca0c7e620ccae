"""A control address: a few connections on loopback, one route of calls. What it serves is its heirs'."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.net.connection import Connection
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.net.listener import Listener
from weldhatch.pullqueue.http import HttpLink, Request

CONNECTIONS = 8


class Counter:
    """Owns its connections and, where it has an address, the listener."""

    def __init__(self, address: tuple[str, int] | None, log: Callable[[str], None]) -> None:
        self._log = log
        self._share = DescriptorShare(DescriptorBudget(64), CONNECTIONS)
        self._links: dict[Connection, asyncio.Task] = {}
        self.listener = Listener(address, self._share, self._taken) if address is not None else None

    def _taken(self, stream: IOStream, host: str) -> None:
        connection = Connection(stream, self._share, f"control client {host}", self._log)
        task = asyncio.get_running_loop().create_task(HttpLink(connection, self._route, self._log).run())
        self._links[connection] = task
        task.add_done_callback(lambda _: self._links.pop(connection, None))

    async def _route(self, request: Request) -> tuple[dict, dict[str, str]]:
        """One call: its answer and headers. Raises HttpError."""
        raise NotImplementedError

    async def end(self) -> None:
        for connection in list(self._links):
            await connection.finish(0.5)
        self.abort()

    def abort(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for connection in list(self._links):
            connection.close()
