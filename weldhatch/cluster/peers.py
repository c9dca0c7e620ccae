"""The links of one process in the group: one dialled link to each voter, one accepted link from each peer.

Each of two voters dials the other, so that a change of voters needs no agreement on which side dials.
"""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from weldhatch.cluster import codec
from weldhatch.cluster.storage import ClusterStore
from weldhatch.config import ClusterConfig
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.sites.link import Link, LinkHandlers
from weldhatch.sites.link_listener import LinkListener

LINK_TICK_S = 0.5  # interval of a link's time-out checks and acknowledgements; a group has many links
MAX_DIALLED_LINKS = 64

Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class PeerListener:
    """Callbacks with the peer's name: a dialled link is up or down, or a message was received on any link."""

    up: Callable[[str], None]
    down: Callable[[str], None]
    received: Callable[[str, codec.Message], None]


class _AcceptedLinks(dict[str, Link]):
    """Links that peers have dialled, created at their first connection; only invited peers may have one."""

    def __init__(self, is_invited: Callable[[str], bool], make_link: Callable[[str], Link]) -> None:
        """Create each link with `make_link`, for names that pass `is_invited`."""
        super().__init__()
        self._is_invited = is_invited
        self._make = make_link

    def __contains__(self, name: object) -> bool:
        """Whether there may be a link with that peer."""
        return isinstance(name, str) and self._is_invited(name)

    def __missing__(self, name: str) -> Link:
        """Create the link of a peer that connects for the first time."""
        self[name] = self._make(name)
        return self[name]

    def existing(self, name: str) -> Link | None:
        """Return the link of a peer that has connected before; None for any other."""
        return dict.get(self, name)


class PeerLinks:
    """Owns the links, the listener and the tasks that dial."""

    def __init__(
        self,
        config: ClusterConfig,
        store: ClusterStore,
        listener: PeerListener,
        log: Callable[[str], None],
        tls: tuple[ssl.SSLContext | None, ssl.SSLContext | None],
    ) -> None:
        """Listen at the configured address, if there is one. `tls`: contexts of server and client."""
        self._config = config
        self._store = store
        self._listener = listener
        self._log = log
        self._server_tls, self._client_tls = tls
        # By id(link): the name of the session, and the parts received in it.
        self._reassemblers: dict[int, tuple[str, codec.Reassembler]] = {}
        self._dialled: dict[str, Link] = {}
        self._accepted = _AcceptedLinks(self._is_invited, lambda name: self._make_link(name, dialled=False))
        self._share = DescriptorShare(DescriptorBudget(config.sockets), config.sockets)
        self._link_listener: LinkListener | None = None
        if config.listen:
            self._link_listener = LinkListener(
                config.listen, self._accepted, self._share, log, self._server_tls
            )
        self.bytes_sent = 0  # encoded messages, without the links' framing

    def _is_invited(self, name: str) -> bool:
        config = self._config
        return name != config.name and (
            name in config.voters or name in self._dialled or "*" in config.invited or name in config.invited
        )

    def _make_link(self, name: str, dialled: bool) -> Link:
        def on_up(peer: str) -> None:
            known, _ = self._reassemblers.get(id(link), ("", None))
            if known != link.session.name:  # guards against parts of a message of an earlier session
                self._reassemblers[id(link)] = (link.session.name, codec.Reassembler())
            if dialled:
                self._listener.up(peer)

        def on_payload(peer: str, stream: int, payload: bytes) -> None:
            message_bytes = self._reassemblers[id(link)][1].add(stream, payload)
            if message_bytes is not None:
                self._listener.received(peer, codec.decode(stream, message_bytes))

        on_down = self._listener.down if dialled else _ignore_down
        callbacks = LinkHandlers(on_up, on_down, on_payload)
        link = Link(self._config.name, name, self._store, callbacks, self._log_link, LINK_TICK_S)
        return link

    def _log_link(self, text: str) -> None:
        self._log(text.replace("site ", "peer ", 1) if text.startswith("site ") else text)

    def dial(self, voters: dict[str, str | Address]) -> None:
        """Dial the voters that are new, and close the dialled links to peers that are no longer voters.

        An address is a text `host:port`, or a pair.
        """
        for name in [name for name in self._dialled if name not in voters]:
            link = self._dialled.pop(name)
            self._reassemblers.pop(id(link), None)
            link.close()
            self._listener.down(name)
        for name, address in voters.items():
            if name == self._config.name or name in self._dialled or len(self._dialled) >= MAX_DIALLED_LINKS:
                continue
            # The address in the own file takes precedence: tests place a relay between two processes.
            endpoint = self._config.voters.get(name, _parse(address))
            link = self._dialled[name] = self._make_link(name, dialled=True)
            link.dial(endpoint, self._share, self._client_tls)

    def send(self, name: str, message: codec.Message) -> bool:
        """Send over a link that is up; False if there is none, or if the link refuses a part.

        A pair of voters has two links. Both prefer the one dialled by the first of them by name, so that
        acknowledgements travel with messages and the other link stays idle.
        """
        stream, data = codec.encode(message)
        links = list(self._links_with(name))
        for link in links if self._config.name < name else reversed(links):
            if link.up:
                self.bytes_sent += len(data)
                return all(link.send(stream, part) for part in codec.split(data))
        return False

    def _links_with(self, name: str) -> Iterator[Link]:
        """Yield the dialled and the accepted link with a peer, as far as they exist."""
        for link in (self._dialled.get(name), self._accepted.existing(name)):
            if link is not None:
                yield link

    def status(self) -> dict[str, dict[str, object]]:
        """Return for each peer whether a link is up, and why either's store counts as stale ('' if not)."""
        status: dict[str, dict[str, object]] = {}
        for name in sorted(self._dialled.keys() | set(self._accepted.keys())):
            links = list(self._links_with(name))
            stale_reasons = (link.stale_reason for link in links if link.stale_reason)
            status[name] = {"up": any(link.up for link in links), "doubt": next(stale_reasons, "")}
        return status

    def close(self) -> None:
        """Close all sockets and cancel all tasks at once."""
        for link in [*self._dialled.values(), *self._accepted.values()]:
            link.close()
        if self._link_listener is not None:
            self._link_listener.close()


def _parse(address: str | Address) -> Address:
    if not isinstance(address, str):
        return address
    host, _, port = address.rpartition(":")
    return host, int(port)


def _ignore_down(name: str) -> None:
    """Ignore the loss of an accepted link: only dialled links are reported to the listener."""
