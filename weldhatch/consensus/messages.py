"""Messages between voters, and the names under which links encode their fields.

Source: Ongaro 2014, figure 3.1, and sections 3.10 (TimeoutNow), 5.3 (InstallSnapshot) and 9.6 (pre-vote).

Every message carries the sender's `lineage`, the number of manual recoveries. Messages from a lineage before
the receiver's are void. `record_count` is the number of records that were ever appended to the sender's
store. `known_record_count` is the highest count that the sender has received from the receiver: a store that
has fewer records later has lost its tail.

Links encode fields by name. `rename` keeps the encoded names of version 0.2.0. The order of fields is part of
the encoding, too.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

_RECORD_COUNTS = {"known_record_count": "seen", "record_count": "stored"}


class EntryKind(StrEnum):
    """Kind of a log entry, as encoded."""

    COMMAND = "command"
    VOTERS = "voters"  # a change of the voters: a JSON object of name to address
    NO_OP = "first"  # the first entry of a term


class LogPosition(NamedTuple):
    """End of a log. The greater position is the more up-to-date log (Ongaro 2014, section 3.6.1)."""

    last_term: int
    last_index: int


class LogEntry(msgspec.Struct, frozen=True):
    """One log entry. `kind` is an `EntryKind`."""

    term: int
    kind: str
    data: str = ""


class RequestVote(
    msgspec.Struct, frozen=True, rename={"pre_vote": "pre", "transfer": "handed", **_RECORD_COUNTS}
):
    """Requests a vote.

    `pre_vote`: asks whether the receiver would grant a vote, without starting a term. `transfer`: the
    election is part of a leadership transfer that the leader started.
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
    """Answers a `RequestVote`."""

    lineage: int
    term: int
    granted: bool
    pre_vote: bool
    record_count: int = 0


class AppendEntries(
    msgspec.Struct, frozen=True, rename={"leader_commit": "commit", "sent_at": "sent", **_RECORD_COUNTS}
):
    """Replicates the entries that follow `prev_index`; without entries, the message is a heartbeat.

    `sent_at`: seconds of the leader's clock, echoed in the response.
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
    """Answers an `AppendEntries` or `InstallSnapshot`.

    `match_index`: the index up to which the log matches the leader's; without `success`, the highest index at
    which the logs may match, or `replication.SEND_SNAPSHOT`.
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
    """Transfers a snapshot to a voter whose log ends before the first entry that the leader still has.

    `last_index`, `last_term`: index and term of the last entry that `state` includes. `voters`: a JSON object
    of name to address.
    """

    lineage: int
    term: int
    last_index: int
    last_term: int
    voters: str
    state: str
    sent_at: float


class TimeoutNow(msgspec.Struct, frozen=True):
    """Transfers leadership: the receiver starts an election without waiting for its election timeout."""

    lineage: int
    term: int


class Hello(msgspec.Struct, frozen=True, rename={"known_record_count": "seen", "wants_reply": "asks"}):
    """First message on a new link: the known record count of the receiver, and the end of the sender's log.

    `wants_reply`: the receiver answers with its own `Hello` at once.
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
