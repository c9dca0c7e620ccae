"""Words to one coroutine, heard one at a time, in the order in which they came."""

from __future__ import annotations

import asyncio
from collections import deque


class Mailbox:
    """What a request's coroutine is told, by the module, machines, owners and timers alike."""

    def __init__(self) -> None:
        self._words: deque[object] = deque()
        self._wake: asyncio.Future | None = None
        self._loop = asyncio.get_running_loop()

    def tell(self, word: object) -> None:
        """Each word is heard in its turn."""
        self._words.append(word)
        if self._wake is not None:
            if not self._wake.done():  # it is cancelled where its coroutine was ended by a close
                self._wake.set_result(None)
            self._wake = None

    async def _next(self) -> object:
        while not self._words:
            self._wake = self._loop.create_future()
            await self._wake
        return self._words.popleft()
