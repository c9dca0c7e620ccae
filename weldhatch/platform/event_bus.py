"""The event bus: server-sent events over HTTP, resumed from the last event after a broken connection."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from weldhatch.net.connection import Connection, MalformedMessageError, connect
from weldhatch.net.descriptor_budget import DescriptorShare
from weldhatch.platform.event_stream import EventStream

SILENCE_TIMEOUT_S = 1.7  # the bus sends a comment each second; a longer silence is a broken connection
MIN_BACKOFF_S = 0.05  # well under 2 s, after which missed events count as delivered
MAX_BACKOFF_S = 0.4
CONNECT_TIMEOUT_S = 1.0


class EventBus:
    """One subscription: after each break a new connection resumes from the last event."""

    def __init__(
        self,
        endpoint: tuple[str, int],
        share: DescriptorShare,
        offset: Callable[[], int],
        on_event: Callable[[dict[str, Any]], None],
        log: Callable[[str], None],
    ) -> None:
        """Create without a connection; `subscribe` opens one.

        `offset` returns the number of the last processed event; `on_event` processes an event, and raises
        ValueError if it is invalid.
        """
        self._endpoint = endpoint
        self._share = share
        self._offset = offset
        self._on_event = on_event
        self._log = log
        self._task: asyncio.Task[None] | None = None
        self._connection: Connection | None = None

    def subscribe(self, on: bool) -> None:
        """Start the subscription, or end it."""
        if on and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on:
            self.close()

    def change_endpoint(self, endpoint: tuple[str, int]) -> None:
        """Reconnect to the bus at a new address at once: the old address delivers no more events.

        The new connection resumes from the last event, so that no event is missed; the numbering continues.
        """
        if endpoint == self._endpoint:
            return
        self._endpoint = endpoint
        if self._task is not None:
            self.close()
            self.subscribe(True)

    def close(self) -> None:
        """End the subscription and its connection."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._connection is not None:
            self._connection.close()

    async def _run(self) -> None:
        backoff = MIN_BACKOFF_S
        while True:
            began = time.monotonic()
            try:
                await self._read_events()
            except (OSError, TimeoutError) as error:
                self._log(f"event bus: no connection: {error or type(error).__name__}")
            else:
                self._log("event bus: the connection ended, reconnecting")
            if time.monotonic() - began > 1:
                backoff = MIN_BACKOFF_S
            await asyncio.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_S)

    async def _read_events(self) -> None:
        """Connect, and read events until the connection is closed, reset or silent for too long."""
        if not self._share.take():
            raise OSError("no descriptor is left")
        connection = await connect(self._endpoint, CONNECT_TIMEOUT_S, self._share, "event bus", self._log)
        self._connection = connection
        host, port = self._endpoint
        connection.send(
            f"GET /bus/read HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: text/event-stream\r\n"
            f"Last-Event-ID: {self._offset()}\r\n\r\n".encode()
        )
        stream = EventStream()
        data: list[str] = []

        def handle(lines: list[str]) -> None:
            for line in lines:
                if line.startswith("data:"):
                    data.append(line[5:].removeprefix(" "))
                elif not line and data:
                    text = "\n".join(data)
                    data.clear()
                    self._handle_event(text)

        watch = asyncio.get_running_loop().create_task(self._watch_for_silence(connection))
        try:
            await connection.pump(stream.read_lines, handle)
        finally:
            watch.cancel()

    async def _watch_for_silence(self, connection: Connection) -> None:
        while not connection.closed:
            silent_s = time.monotonic() - connection.last_received
            if silent_s >= SILENCE_TIMEOUT_S:
                self._log("event bus: silent, reconnecting")
                connection.close()
                return
            await asyncio.sleep(SILENCE_TIMEOUT_S - silent_s + 0.01)

    def _handle_event(self, text: str) -> None:
        try:
            event = json.loads(text)
            if not isinstance(event, dict):
                raise ValueError("event bus: event is not a JSON object")
            self._on_event(event)
        except ValueError as error:
            raise MalformedMessageError(str(error)) from None
