"""Messages to one coroutine, received one at a time, in the order in which they came."""

from __future__ import annotations

import asyncio
from collections import deque


class Mailbox:
    """What a request's coroutine is sent, by the policy, machines, owners and timers alike."""

    def __init__(self) -> None:
        """Start empty; needs a running event loop."""
        self._messages: deque[object] = deque()
        self._wake: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()

    def deliver(self, message: object) -> None:
        """Add a message; each is received in its turn."""
        self._messages.append(message)
        if self._wake is not None:
            if not self._wake.done():  # it is cancelled where its coroutine was ended by a close
                self._wake.set_result(None)
            self._wake = None

    async def next_message(self) -> object:
        """Wait for the next message."""
        while not self._messages:
            self._wake = self._loop.create_future()
            await self._wake
        return self._messages.popleft()
