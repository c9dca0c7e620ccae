"""The event bus: server-sent events over one HTTP connection, taken up again where they broke off."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from weldhatch.net.connection import Connection, MalformedMessageError, connect
from weldhatch.net.descriptor_budget import DescriptorShare
from weldhatch.platform.event_stream import EventStream

SILENCE_TIMEOUT_S = 1.7  # a comment comes each second: no byte for so long means a broken connection
MIN_BACKOFF_S = 0.05  # the first wait between connects; what broke off counts as reported after 2 s
MAX_BACKOFF_S = 0.4
CONNECT_TIMEOUT_S = 1.0


class EventBus:
    """Keeps one subscription; every break is followed by a new connection from the last event on."""

    def __init__(
        self,
        endpoint: tuple[str, int],
        share: DescriptorShare,
        offset: Callable[[], int],
        on_event: Callable[[dict[str, Any]], None],
        log: Callable[[str], None],
    ) -> None:
        """Subscribe later, by `subscribe`.

        `offset` returns the number of the last event taken; `take` gets each event, and raises ValueError
        where it can't be read.
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
        """Follow the bus to a new address: the old one tells nothing more, so it is left at once.

        The new one is asked from the last event on, so what came between is told and the numbers go on.
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
                self._log("event bus: the connection ended, connecting anew")
            if time.monotonic() - began > 1:
                backoff = MIN_BACKOFF_S
            await asyncio.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_S)

    async def _read_events(self) -> None:
        """One connection from its request to its end, which comes as an end, a reset or silence."""
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
                self._log("event bus: silent, connecting anew")
                connection.close()
                return
            await asyncio.sleep(SILENCE_TIMEOUT_S - silent_s + 0.01)

    def _handle_event(self, text: str) -> None:
        try:
            event = json.loads(text)
            if not isinstance(event, dict):
                raise ValueError("event bus: an event that is no object")
            self._on_event(event)
        except ValueError as error:
            raise MalformedMessageError(str(error)) from None
