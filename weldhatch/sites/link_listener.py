"""Accepts connections of other sites, identifies the site, and passes its frames to that site's link."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from typing import cast

from tornado.iostream import IOStream

from weldhatch.net.connection import Connection, MalformedMessageError
from weldhatch.net.descriptor_budget import DescriptorShare
from weldhatch.net.listener import Listener
from weldhatch.net.rate_limited_log import RateLimitedLog
from weldhatch.net.tls import accept_tls
from weldhatch.sites.link import HELLO_TIMEOUT_S, LINGER_S, Link, parse
from weldhatch.sites.session import Frame, Hello


class LinkListener:
    """Listens for other sites. A connection belongs to no link until its hello has named the site."""

    def __init__(
        self,
        address: tuple[str, int],
        links: dict[str, Link],
        share: DescriptorShare,
        log: Callable[[str], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Listen. `tls`: a peer must present the certificate of the site that its hello names.

        Raises OSError if the address can't be bound.
        """
        self._links = links
        self._share = share
        self._log = RateLimitedLog(log)
        self._tls = tls
        self._tasks: set[asyncio.Task[None]] = set()
        self.listener = Listener(address, share, self._accept)

    def _accept(self, stream: IOStream, host: str) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(stream, host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, stream: IOStream, host: str) -> None:
        """Read from one connection until it ends."""
        certified_site = ""
        if self._tls is not None:
            try:
                stream, certified_site = await accept_tls(stream, self._tls)
            except OSError as error:
                self._log(f"site at {host}: closed: {error}")
                self._share.give_back()
                return
        connection = Connection(stream, self._share, f"site at {host}", self._log)
        link: Link | None = None

        def handle(frame: object) -> None:
            nonlocal link
            if link is None:
                link = self._identify(frame, certified_site)
                connection.name = f"site {link.site}"
            link.receive(connection, cast(Frame, frame), dialled=False)

        hello_timer = asyncio.get_running_loop().call_later(
            HELLO_TIMEOUT_S, lambda: None if link is not None else connection.close()
        )
        try:
            await connection.pump(parse, handle, lambda: connection.finish(LINGER_S))
        finally:
            hello_timer.cancel()
            if link is not None:
                link.connection_ended(connection)

    def _identify(self, frame: object, certified_site: str) -> Link:
        """Return the link of the site named by the first frame. Raises MalformedMessageError."""
        if not isinstance(frame, Hello):
            raise MalformedMessageError("the first frame is not a hello")
        if frame.site not in self._links:
            raise MalformedMessageError(f"site {frame.site!r} is not configured here")
        if self._tls is not None and certified_site != frame.site:
            raise MalformedMessageError(
                f"peer claims to be site {frame.site!r}, and shows the certificate of {certified_site!r}"
            )
        return self._links[frame.site]

    def close(self) -> None:
        """Stop listening, and end all open connections."""
        self.listener.close()
        for task in self._tasks:
            task.cancel()
