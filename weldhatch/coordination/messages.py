"""Messages between dispatchers and the leader, and the names under which links encode their fields.

Links encode fields by name. `rename` keeps the encoded names of version 0.2.0. The order of fields is part of
the encoding, too.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class DenialKind(StrEnum):
    """Why no lease was granted: the first word of a denial's text."""

    UNKNOWN = "unknown"  # the dispatcher, or this incarnation of it, has not joined yet
    FENCED = "fenced"  # a later incarnation has joined under its name
    REFUSES = "refuses"  # the dispatcher rejects a version
    OTHER = ""

    @classmethod
    def of(cls, denial: str) -> DenialKind:
        """Return the kind of a denial's text."""
        return next(kind for kind in cls if denial.startswith(kind.value))


class LeaseRequest(
    msgspec.Struct,
    frozen=True,
    rename={
        "sent_at": "sent",
        "applied_index": "index",
        "reviewed_version": "number",
        "rejection": "fault",
        "leaving": "leaves",
        "zone_report": "sight",
    },
):
    """Requests a lease, and the part of the agreed state that the dispatcher is missing.

    `sent_at`: seconds of the dispatcher's clock, echoed in the response. `applied_index`, `digest`: the state
    that the dispatcher has. `reviewed_version`: the prepared version that it has reviewed. `rejection`: the
    key and the reason why it can't act on that version, or ''. `zone_report`: JSON of its observations of the
    zones; '' if it has reported them recently.
    """

    lineage: int
    name: str
    epoch: int
    token: str
    sent_at: float
    applied_index: int
    digest: str
    reviewed_version: int = 0
    rejection: str = ""
    leaving: bool = False
    zone_report: str = ""


class LeaseResponse(
    msgspec.Struct,
    frozen=True,
    rename={
        "sent_at": "sent",
        "denial": "why",
        "base_index": "base",
        "snapshot": "state",
        "applied_index": "index",
        "start_quotas": "shares",
    },
):
    """Answers a `LeaseRequest`, or announces committed commands without a request.

    `granted`: whether a lease from `sent_at` on is granted to a dispatcher that has the state at
    `applied_index`. `denial`: why the lease is denied. `leader`: the leader, if the sender is not the leader.
    `commands` follow `base_index`; `snapshot` replaces them if the leader no longer has all of them.
    `voters`: a JSON object of name to address. `start_quotas`: JSON of start quotas for returning machines,
    valid for a limited time from `sent_at` on.
    """

    lineage: int
    sent_at: float
    granted: bool
    denial: str
    leader: str
    base_index: int
    commands: tuple[str, ...]
    snapshot: str
    applied_index: int
    digest: str
    voters: str = ""
    start_quotas: str = ""


class CommandRequest(msgspec.Struct, frozen=True, rename={"command_id": "id"}):
    """Submits a command (JSON). The sender retries with the same id until the result arrives."""

    command_id: str
    command: str


class CommandResult(msgspec.Struct, frozen=True, rename={"command_id": "id"}):
    """Returns the result (JSON) of a command."""

    command_id: str
    result: str


GroupMessage = LeaseRequest | LeaseResponse | CommandRequest | CommandResult
