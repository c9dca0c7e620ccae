"""A listening socket that accepts only as far as the descriptor budget allows."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.net.descriptor_budget import DescriptorShare

BACKLOG = 512
SLOT_RETRY_INTERVAL_S = 0.2  # a listener that still waits for a slot asks for one again after this long
MAX_ACCEPTED_PER_ITERATION = (
    16  # in one iteration of the loop: connections that are open are served in between
)


class Listener:
    """Owns the listening socket. A connection that finds no slot waits in the backlog for the next one."""

    def __init__(
        self,
        address: tuple[str, int],
        share: DescriptorShare,
        on_accept: Callable[[IOStream, str], None],
        on_exhausted: Callable[[], None] = lambda: None,
    ) -> None:
        """Listen at `address`, and hand each connection on to `taken` with its peer's address.

        `full`: called while connections wait and no slot is left, for whoever can free one.
        """
        self._share = share
        self._on_accept = on_accept
        self._on_exhausted = on_exhausted
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(BACKLOG)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._is_open = True
        self._is_paused = False
        self._resume()

    def _resume(self) -> None:
        self._is_paused = False
        if self._is_open:
            asyncio.get_running_loop().add_reader(self._socket.fileno(), self._accept_ready)

    def _accept_ready(self) -> None:
        for _ in range(MAX_ACCEPTED_PER_ITERATION):
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
        self._on_accept(IOStream(accepted), peer[0])
        return True

    def _pause(self) -> None:
        """Go on once a slot is free, and say so to whoever can free one."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._is_paused = True
        self._share.when_free(self._resume)
        self._ask_for_slot()

    def _ask_for_slot(self) -> None:
        """Ask again and again: what may not be closed yet may be a moment later."""
        if self._is_paused and self._is_open:
            self._on_exhausted()
            asyncio.get_running_loop().call_later(SLOT_RETRY_INTERVAL_S, self._ask_for_slot)

    def finish(self) -> None:
        """Take what the system has accepted already, as far as there are slots, and listen no more.

        Guards against clients whose request is reset unread with the listening socket.
        """
        for _ in range(BACKLOG if self._is_open else 0):
            if not self._share.take() or not self._accept():
                break
        self.close()

    def close(self) -> None:
        """Listen no more. What the system has accepted and nobody has taken is reset."""
        if self._is_open:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._is_open = False
            self._socket.close()
