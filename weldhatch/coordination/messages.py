"""What dispatchers and the leading voter say to each other. Types only."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """A dispatcher asks for a lease, and for what it does not know yet.

    `sent`: its own clock, echoed; `index`, `digest`: what it holds; `number`: a prepared version that it
    has looked at, and `fault`: '' where it can act on it, or the key and the reason.
    """

    lineage: int
    name: str
    epoch: int
    token: str
    sent: float
    index: int
    digest: str
    number: int = 0
    fault: str = ""
    leaves: bool = False
    sight: str = (
        ""  # JSON: what it sees of the zones (`zones.failover_member`); '' where it has said it lately
    )


@dataclass(slots=True, frozen=True)
class LeaseResponse:
    """The answer. `commands` follow `base`; `state` takes their place where they are not all there.

    `granted`: a lease from `sent` on, for one who holds `index`; `why`: why there is none; `leader`: whom to
    ask instead.
    """

    lineage: int
    sent: float
    granted: bool
    why: str
    leader: str
    base: int
    commands: tuple[str, ...]
    state: str
    index: int
    digest: str
    voters: str = ""  # JSON of name to address
    shares: str = ""  # JSON: starts on machines that return, for a span from `sent` on (`zones.start_quota`)


@dataclass(slots=True, frozen=True)
class CommandRequest:
    """A command for the log, under an id of its own: said again until its result comes."""

    id: str
    command: str


@dataclass(slots=True, frozen=True)
class CommandResult:
    id: str
    result: str


GroupMessage = LeaseRequest | LeaseResponse | CommandRequest | CommandResult
