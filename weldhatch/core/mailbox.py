"""Queue of messages to one coroutine, which receives them one at a time and in order."""

from __future__ import annotations

import asyncio
from collections import deque


class Mailbox:
    """Holds the messages that the policy, machines, owners and timers send to a request's coroutine."""

    def __init__(self) -> None:
        """Create an empty mailbox; requires a running event loop."""
        self._messages: deque[object] = deque()
        self._wake: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()

    def deliver(self, message: object) -> None:
        """Append a message and wake the coroutine."""
        self._messages.append(message)
        if self._wake is not None:
            if not self._wake.done():  # cancelled if its coroutine was cancelled on shutdown
                self._wake.set_result(None)
            self._wake = None

    async def next_message(self) -> object:
        """Wait for the next message."""
        while not self._messages:
            self._wake = self._loop.create_future()
            await self._wake
        return self._messages.popleft()
