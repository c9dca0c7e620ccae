"""The links of one process in the group: one that it dials to each voter, one for each that dials it.

Two links a pair of voters, one each way, so that nobody has to know who dials whom when voters come and go.
"""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from weldhatch.cluster import codec
from weldhatch.cluster.storage import ClusterStore
from weldhatch.config import AgreementFile
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.sites.link import Link, LinkHandlers
from weldhatch.sites.link_listener import LinkListener

TICK_S = 0.5  # a link looks as often for silence, and acknowledges: a group has many links
MAX_DIALLED = 64

Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class PeerListener:
    """What is called for links: one that we dial is up or down, or a message came, with the peer's name."""

    up: Callable[[str], None]
    down: Callable[[str], None]
    received: Callable[[str, codec.Message], None]


class _AcceptedLinks(dict[str, Link]):
    """Links of those who dial us, made when they first come: only of those whom the file invites."""

    def __init__(self, is_invited: Callable[[str], bool], make: Callable[[str], Link]) -> None:
        """Make links by `make`."""
        super().__init__()
        self._is_invited = is_invited
        self._make = make

    def __contains__(self, name: object) -> bool:
        """Whether there may be a link with that peer."""
        return isinstance(name, str) and self._is_invited(name)

    def __missing__(self, name: str) -> Link:
        """Make the link with a peer that has come."""
        self[name] = self._make(name)
        return self[name]

    def existing(self, name: str) -> Link | None:
        """Return the link with a peer that has come before."""
        return dict.get(self, name)


class PeerLinks:
    """Owns the links, the listener and the tasks that dial."""

    def __init__(
        self,
        config: AgreementFile,
        store: ClusterStore,
        listener: PeerListener,
        log: Callable[[str], None],
        tls: tuple[ssl.SSLContext | None, ssl.SSLContext | None],
    ) -> None:
        """Listen where the file says so. `tls`: contexts to serve and to dial with."""
        self._config = config
        self._store = store
        self._listener = listener
        self._log = log
        self._server_tls, self._client_tls = tls
        self._reassemblers: dict[int, tuple[str, codec.Reassembler]] = {}  # by link: of which session
        self._dialled: dict[str, Link] = {}
        self._accepted = _AcceptedLinks(self._is_invited, lambda name: self._make_link(name, dialled=False))
        self._share = DescriptorShare(DescriptorBudget(config.sockets), config.sockets)
        self._link_listener: LinkListener | None = None
        if config.listen:
            self._link_listener = LinkListener(
                config.listen, self._accepted, self._share, log, self._server_tls
            )
        self.bytes_sent = 0  # before the link's own

    def _is_invited(self, name: str) -> bool:
        config = self._config
        return name != config.name and (
            name in config.voters or name in self._dialled or "*" in config.invited or name in config.invited
        )

    def _make_link(self, name: str, dialled: bool) -> Link:
        def on_up(peer: str) -> None:
            known, _ = self._reassemblers.get(id(link), ("", None))
            if known != link.session.name:  # guards against half a message of a session that is no more
                self._reassemblers[id(link)] = (link.session.name, codec.Reassembler())
            if dialled:
                self._listener.up(peer)

        def on_payload(peer: str, stream: int, payload: bytes) -> None:
            whole = self._reassemblers[id(link)][1].add(stream, payload)
            if whole is not None:
                self._listener.received(peer, codec.decode(stream, whole))

        on_down = self._listener.down if dialled else _ignore_down
        callbacks = LinkHandlers(on_up, on_down, on_payload)
        link = Link(self._config.name, name, self._store, callbacks, self._log_link, TICK_S)
        return link

    def _log_link(self, text: str) -> None:
        self._log(text.replace("site ", "peer ", 1) if text.startswith("site ") else text)

    def dial(self, voters: dict[str, str | Address]) -> None:
        """Dial those of them that are new, and leave those that are no voters any more.

        Addresses are texts host:port, or pairs.
        """
        for name in [name for name in self._dialled if name not in voters]:
            link = self._dialled.pop(name)
            self._reassemblers.pop(id(link), None)
            link.close()
            self._listener.down(name)
        for name, address in voters.items():
            if name == self._config.name or name in self._dialled or len(self._dialled) >= MAX_DIALLED:
                continue
            # Tests and rigs put a relay between two processes: a file may say where another is reached.
            place = self._config.voters.get(name, _parse(address))
            link = self._dialled[name] = self._make_link(name, dialled=True)
            link.dial(place, self._share, self._client_tls)

    def send(self, name: str, message: codec.Message) -> bool:
        """Send over whichever link is up; False where none is.

        Two that both vote have two links: both speak on the one that the first by name dials, so that its
        acknowledgements go with what is said, and the other rests.
        """
        stream, data = codec.encode(message)
        links = list(self._links_with(name))
        for link in links if self._config.name < name else reversed(links):
            if link.up:
                self.bytes_sent += len(data)
                return all(link.send(stream, part) for part in codec.split(data))
        return False

    def _links_with(self, name: str) -> Iterator[Link]:
        """Yield the link that we dial, and the one on which we were dialled."""
        for link in (self._dialled.get(name), self._accepted.existing(name)):
            if link is not None:
                yield link

    def status(self) -> dict[str, dict[str, object]]:
        """Return of each peer whether a link is up, and what is wrong with it."""
        status: dict[str, dict[str, object]] = {}
        for name in sorted(self._dialled.keys() | set(self._accepted.keys())):
            links = list(self._links_with(name))
            doubts = (link.stale_reason for link in links if link.stale_reason)
            status[name] = {"up": any(link.up for link in links), "doubt": next(doubts, "")}
        return status

    def close(self) -> None:
        """Give back every socket and task at once."""
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
    """Of a link that others dial nobody has to hear that it went."""
