"""Messages between voters, and the names under which links encode their fields.

Source: Ongaro 2014, figure 3.1, and sections 3.10 (TimeoutNow), 5.3 (InstallSnapshot) and 9.6 (pre-vote).

Every message names the sender's `lineage`, which counts recoveries by hand: what a lineage before the last
recovery says is void. `record_count` is how many records the sender's store has taken in during all its
existence, and `known_record_count` how many the sender has been told of by the receiver: a store that is
found with fewer later has lost its end.

Links encode fields by name. `rename` keeps the encoded names of version 0.2.0; the order of fields is part of
the encoding, too.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

_RECORD_COUNTS = {"known_record_count": "seen", "record_count": "stored"}


class EntryKind(StrEnum):
    """What a log entry holds, as it is encoded."""

    COMMAND = "command"
    VOTERS = "voters"  # a change of the voters: JSON of name to address
    NO_OP = "first"  # the first entry of a term


class LogPosition(NamedTuple):
    """How far a log is: the greater is the more up-to-date (Ongaro 2014, section 3.6.1)."""

    last_term: int
    last_index: int


class LogEntry(msgspec.Struct, frozen=True):
    """One place of the log. `kind` is one of `EntryKind`."""

    term: int
    kind: str
    data: str = ""


class RequestVote(
    msgspec.Struct, frozen=True, rename={"pre_vote": "pre", "transfer": "handed", **_RECORD_COUNTS}
):
    """Ask for a vote.

    `pre_vote`: would the receiver vote for the sender? No term has begun. `transfer`: the leader has asked
    the sender to stand for election.
    """

    lineage: int
    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False
    known_record_count: int = 0
    record_count: int = 0


class RequestVoteResponse(msgspec.Struct, frozen=True, rename={"pre_vote": "pre", "record_count": "stored"}):
    """Answer a `RequestVote`."""

    lineage: int
    term: int
    granted: bool
    pre_vote: bool
    record_count: int = 0


class AppendEntries(
    msgspec.Struct, frozen=True, rename={"leader_commit": "commit", "sent_at": "sent", **_RECORD_COUNTS}
):
    """Replicate entries that follow `prev_index`; without entries it is a heartbeat.

    `sent_at`: seconds of the leader's clock, echoed in the answer.
    """

    lineage: int
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    sent_at: float
    known_record_count: int = 0
    record_count: int = 0


class AppendEntriesResponse(
    msgspec.Struct,
    frozen=True,
    rename={"success": "ok", "match_index": "match", "sent_at": "sent", "record_count": "stored"},
):
    """Answer an `AppendEntries` or `InstallSnapshot`.

    `match_index`: up to where the log is the leader's; without `success`, up to where it may be.
    """

    lineage: int
    term: int
    success: bool
    match_index: int
    sent_at: float
    record_count: int = 0


class InstallSnapshot(
    msgspec.Struct,
    frozen=True,
    rename={"last_index": "index", "last_term": "index_term", "sent_at": "sent"},
):
    """Bring a log up to date that ends before the first entry that the leader still has.

    `last_index`, `last_term`: of the last entry that `state` includes; `voters`: JSON of name to address.
    """

    lineage: int
    term: int
    last_index: int
    last_term: int
    voters: str
    state: str
    sent_at: float


class TimeoutNow(msgspec.Struct, frozen=True):
    """Transfer leadership: the receiver stands for election without waiting."""

    lineage: int
    term: int


class Hello(msgspec.Struct, frozen=True, rename={"known_record_count": "seen", "wants_reply": "asks"}):
    """Begin a new link: what the sender knows of the receiver's store, and how far its own log is.

    `wants_reply`: the sender wants to hear the same of the receiver, at once.
    """

    lineage: int
    known_record_count: int
    term: int = 0
    last_term: int = 0
    last_index: int = 0
    wants_reply: bool = False


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | TimeoutNow
    | Hello
)
