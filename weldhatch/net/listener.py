"""A listening socket that accepts only as far as the descriptor budget allows."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.net.descriptor_budget import Share

BACKLOG = 512
AGAIN_S = 0.2  # a listener that still waits for a slot asks for one again after this long
TURN = 16  # connections accepted in one turn of the loop: those that are open are served in between


class Listener:
    """Owns the listening socket. A connection that finds no slot waits in the backlog for the next one."""

    def __init__(
        self,
        address: tuple[str, int],
        share: Share,
        taken: Callable[[IOStream, str], None],
        full: Callable[[], None] = lambda: None,
    ) -> None:
        self._share, self._taken, self._full = share, taken, full
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(BACKLOG)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._open, self._paused = True, False
        self._resume()

    def _resume(self) -> None:
        self._paused = False
        if self._open:
            asyncio.get_running_loop().add_reader(self._socket.fileno(), self._ready)

    def _ready(self) -> None:
        for _ in range(TURN):
            if not self._share.take():
                self._pause()
                return
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Hand on one connection, for which a slot has been taken; False where there is none."""
        try:
            accepted, peer = self._socket.accept()
        except OSError:  # nothing left to accept, or the peer has gone again
            self._share.give_back()
            return False
        accepted.setblocking(False)
        self._taken(IOStream(accepted), peer[0])
        return True

    def _pause(self) -> None:
        """No slot is left: go on once one is free, and say so to whoever can free one."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._paused = True
        self._share.when_free(self._resume)
        self._ask()

    def _ask(self) -> None:
        """Guards against a wait without an end: what may not be closed yet may be a moment later."""
        if self._paused and self._open:
            self._full()
            asyncio.get_running_loop().call_later(AGAIN_S, self._ask)

    def finish(self) -> None:
        """Take what the system has accepted already, as far as there are slots, and listen no more.

        Guards against clients whose request is reset unread with the listening socket.
        """
        for _ in range(BACKLOG if self._open else 0):
            if not self._share.take() or not self._accept():
                break
        self.close()

    def close(self) -> None:
        if self._open:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._open = False
            self._socket.close()
