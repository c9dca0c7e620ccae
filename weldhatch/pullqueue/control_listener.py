"""The base class of HTTP servers for operators' commands: a listener on loopback with few connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.net.connection import Connection
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.net.listener import Listener
from weldhatch.pullqueue.http import HttpConnection, Request

MAX_CONNECTIONS = 8


class ControlServer:
    """Owns its connections and, if it has an address, the listener. Subclasses implement `_route`."""

    def __init__(self, address: tuple[str, int] | None, log: Callable[[str], None]) -> None:
        """Listen on the address; None for no listener. Raises OSError."""
        self._log = log
        self._share = DescriptorShare(DescriptorBudget(64), MAX_CONNECTIONS)
        self._links: dict[Connection, asyncio.Task] = {}
        self.listener = Listener(address, self._share, self._accept) if address is not None else None

    def _accept(self, stream: IOStream, host: str) -> None:
        connection = Connection(stream, self._share, f"control client {host}", self._log)
        task = asyncio.get_running_loop().create_task(
            HttpConnection(connection, self._route, self._log).run()
        )
        self._links[connection] = task
        task.add_done_callback(lambda _: self._links.pop(connection, None))

    async def _route(self, request: Request) -> tuple[dict, dict[str, str]]:
        """Return the answer to a call, and its headers. Raises HttpError."""
        raise NotImplementedError

    async def end(self) -> None:
        """Flush all connections, then close them and the listener."""
        for connection in list(self._links):
            await connection.finish(0.5)
        self.abort()

    def abort(self) -> None:
        """Close the listener and all connections at once."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self._links):
            connection.close()
