"""A listening socket that accepts connections only within the descriptor budget."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream

from weldhatch.net.descriptor_budget import DescriptorShare

BACKLOG = 512
SLOT_RETRY_INTERVAL_S = 0.2  # interval at which a listener that waits for a slot asks for one again
MAX_ACCEPTED_PER_ITERATION = 16  # so that open connections are served in between


class Listener:
    """Owns the listening socket. While no slot is free, connections wait in the backlog."""

    def __init__(
        self,
        address: tuple[str, int],
        share: DescriptorShare,
        on_accept: Callable[[IOStream, str], None],
        on_exhausted: Callable[[], None] = lambda: None,
    ) -> None:
        """Listen at `address`, and pass each connection to `on_accept` with its peer's IP address.

        `on_exhausted` is called repeatedly while connections wait and no slot is left: it may free one.
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
        """Accept one connection, for which a slot has been taken; return False if none is pending."""
        try:
            accepted, peer = self._socket.accept()
        except OSError:  # no connection is pending, or its peer has already left
            self._share.give_back()
            return False
        accepted.setblocking(False)
        self._on_accept(IOStream(accepted), peer[0])
        return True

    def _pause(self) -> None:
        """Stop accepting until a slot is returned, and ask for one to be freed."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._is_paused = True
        self._share.when_free(self._resume)
        self._ask_for_slot()

    def _ask_for_slot(self) -> None:
        """Ask at an interval: a connection that can't be closed yet may be closable later."""
        if self._is_paused and self._is_open:
            self._on_exhausted()
            asyncio.get_running_loop().call_later(SLOT_RETRY_INTERVAL_S, self._ask_for_slot)

    def finish(self) -> None:
        """Accept the connections pending in the backlog, as far as slots allow, and stop listening.

        Closing the listening socket resets pending connections: their requests would be lost unread.
        """
        for _ in range(BACKLOG if self._is_open else 0):
            if not self._share.take() or not self._accept():
                break
        self.close()

    def close(self) -> None:
        """Stop listening. Connections that are still pending in the backlog are reset."""
        if self._is_open:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._is_open = False
            self._socket.close()
