"""The links of one process in the agreement: one that it dials to each voter, one for each that dials it.

Two links a pair of voters, one each way, so that nobody has to know who dials whom when voters come and go.
"""

from __future__ import annotations

import ssl
from collections.abc import Callable

from weldhatch.cluster import codec
from weldhatch.cluster.storage import ClusterStore
from weldhatch.config import AgreementFile
from weldhatch.consensus.messages import Message
from weldhatch.coordination.messages import GroupMessage
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.sites.link import Link, LinkHandlers
from weldhatch.sites.link_listener import LinkListener

LOOK_S = 0.5  # a link looks as often for silence, and acknowledges: a group has many links
DIALLED_MOST = 64


class _Invited(dict):
    """Links of those who dial us, made when they first come: only of those whom the file invites."""

    def __init__(self, invited: Callable[[str], bool], make: Callable[[str], Link]) -> None:
        super().__init__()
        self._invited, self._make = invited, make

    def __contains__(self, name: object) -> bool:
        return isinstance(name, str) and self._invited(name)

    def __missing__(self, name: str) -> Link:
        self[name] = self._make(name)
        return self[name]


class PeerLinks:
    """Owns the links, the door and the tasks that dial."""

    def __init__(
        self,
        told: AgreementFile,
        book: ClusterStore,
        up: Callable[[str], None],
        down: Callable[[str], None],
        heard: Callable[[str, Message | GroupMessage], None],
        log: Callable[[str], None],
        tls: tuple[ssl.SSLContext | None, ssl.SSLContext | None],
    ) -> None:
        """`up`, `down`: a link that we dial; `heard`: one word, with the name of who said it."""
        self._told, self._book, self._up, self._heard, self._log = told, book, up, heard, log
        self._down = down
        self._serves, self._dials = tls
        self._parts: dict[int, tuple[str, codec.Reassembler]] = {}
        self.out: dict[str, Link] = {}
        self.came = _Invited(self._invited, lambda name: self._link(name, dialled=False))
        self._share = DescriptorShare(DescriptorBudget(told.sockets), told.sockets)
        self._door = (
            LinkListener(told.listen, self.came, self._share, log, self._serves) if told.listen else None
        )
        self.sent = 0  # bytes, before the link's own

    def _invited(self, name: str) -> bool:
        told = self._told
        return name != told.name and (
            name in told.voters or name in self.out or "*" in told.invited or name in told.invited
        )

    def _link(self, name: str, dialled: bool) -> Link:
        def rise(site: str) -> None:
            known, parts = self._parts.get(id(link), ("", None))
            if known != link.session.name:  # guards against half a word of a session that is no more
                self._parts[id(link)] = (link.session.name, codec.Reassembler())
            if dialled:
                self._up(site)

        def hear(site: str, stream: int, payload: bytes) -> None:
            whole = self._parts[id(link)][1].add(stream, payload)
            if whole is not None:
                self._heard(site, codec.decode(stream, whole))

        handlers = LinkHandlers(rise, self._down if dialled else _silent, hear)
        link = Link(self._told.name, name, self._book, handlers, self._say, LOOK_S)
        return link

    def _say(self, text: str) -> None:
        self._log(text.replace("site ", "peer ", 1) if text.startswith("site ") else text)

    def dial(self, voters: dict[str, str | tuple[str, int]]) -> None:
        """Dial those of them that are new, and leave those that are no voters any more."""
        for name in [name for name in self.out if name not in voters]:
            link = self.out.pop(name)
            self._parts.pop(id(link), None)
            link.close()
            self._down(name)
        for name, address in voters.items():
            if name == self._told.name or name in self.out or len(self.out) >= DIALLED_MOST:
                continue
            if isinstance(address, str):
                host, _, port = address.rpartition(":")
                address = (host, int(port))
            # Tests and rigs put a relay between two processes: a file may say where another is reached.
            address = self._told.voters.get(name, address)
            link = self.out[name] = self._link(name, dialled=True)
            link.dial(address, self._share, self._dials)

    def say(self, name: str, word: Message | GroupMessage) -> bool:
        """Send over whichever link is up; False where none is.

        Two that both vote have two links: both speak on the one that the first by name dials, so that its
        acknowledgements go with what is said, and the other rests.
        """
        stream, data = codec.encode(word)
        links = self.out.get(name), dict.get(self.came, name)
        for link in links if self._told.name < name else reversed(links):
            if link is not None and link.up:
                self.sent += len(data)
                return all(link.send(stream, part) for part in codec.split(data))
        return False

    def reached(self) -> dict[str, dict]:
        """Each peer: is a link up, and what is wrong with it."""
        names = self.out.keys() | set(self.came.keys())
        return {
            name: {
                "up": any(
                    link is not None and link.up for link in (self.out.get(name), dict.get(self.came, name))
                ),
                "doubt": next(
                    (
                        link.stale_reason
                        for link in (self.out.get(name), dict.get(self.came, name))
                        if link is not None and link.stale_reason
                    ),
                    "",
                ),
            }
            for name in sorted(names)
        }

    def close(self) -> None:
        for link in [*self.out.values(), *self.came.values()]:
            link.close()
        if self._door is not None:
            self._door.close()


def _silent(name: str) -> None:
    """Of a link that others dial nobody has to hear that it went."""
