"""What voters say to each other. Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014.

`term` counts leaders. `lineage` counts recoveries by hand: what a lineage before the last recovery says is
void. `stored` is how many records the sender's store has taken in all its life: a store that is found
with fewer later has lost its tail.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LogEntry:
    """One place of the log. `kind`: 'command', 'voters' (data: JSON of name to address), 'first' (of a
    term)."""

    term: int
    kind: str
    data: str = ""


@dataclass(slots=True, frozen=True)
class RequestVote:
    """`pre`: would you vote for me (no term is begun)? `handed`: the leader has asked me to stand."""

    lineage: int
    term: int
    last_index: int
    last_term: int
    pre: bool
    handed: bool = False
    seen: int = 0  # how many records of the hearer's store the sender has been told of
    stored: int = 0  # how many records the sender's own store has taken in, in all its life


@dataclass(slots=True, frozen=True)
class RequestVoteResponse:
    lineage: int
    term: int
    granted: bool
    pre: bool
    stored: int = 0


@dataclass(slots=True, frozen=True)
class AppendEntries:
    """Entries after `prev_index`; none is a heartbeat. `sent`: the leader's clock, echoed."""

    lineage: int
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent: float
    seen: int = 0  # as in RequestVote
    stored: int = 0  # as there: a leader's own store may come back as an older copy, too


@dataclass(slots=True, frozen=True)
class AppendEntriesResponse:
    """`match`: how far the log is the leader's; where not `ok`, where it may be."""

    lineage: int
    term: int
    ok: bool
    match: int
    sent: float
    stored: int = 0


@dataclass(slots=True, frozen=True)
class InstallSnapshot:
    """A snapshot, for a log that ends before what the leader still has."""

    lineage: int
    term: int
    index: int
    index_term: int
    voters: str
    state: str
    sent: float


@dataclass(slots=True, frozen=True)
class TimeoutNow:
    """The leader hands over: the hearer stands for election without waiting."""

    lineage: int
    term: int


@dataclass(slots=True, frozen=True)
class Hello:
    """The first word on a new link: `seen` as in RequestVote, and how far the sender is.

    `asks`: it wants to hear the same of the other side, at once.
    """

    lineage: int
    seen: int
    term: int = 0
    last_term: int = 0
    last_index: int = 0
    asks: bool = False


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | TimeoutNow
    | Hello
)
