"""Messages between dispatchers and the leader, and the names under which links encode their fields.

Links encode fields by name. `rename` keeps the encoded names of version 0.2.0; the order of fields is part of
the encoding, too.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class DenialKind(StrEnum):
    """Why no lease was granted: how the text of a denial begins."""

    UNKNOWN = "unknown"  # the dispatcher, or this incarnation of it, has not joined yet
    FENCED = "fenced"  # a later incarnation has joined under its name
    REFUSES = "refuses"  # the dispatcher can't act on a version
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
    """Ask for a lease, and for what the dispatcher does not know yet.

    `sent_at`: seconds of its own clock, echoed in the answer. `applied_index`, `digest`: the state that it
    holds. `reviewed_version`: a prepared version that it has looked at, and `rejection`: '' where it can act
    on it, or the key and the reason. `zone_report`: JSON of what it observes of the zones; '' where it has
    reported that lately.
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
    """Answer a `LeaseRequest`, or bring news without one.

    `granted`: a lease from `sent_at` on, for one who holds the state at `applied_index`; `denial`: why there
    is none; `leader`: whom to ask instead. `commands` follow `base_index`; `snapshot` takes their place where
    they are not all there. `voters`: JSON of name to address. `start_quotas`: JSON of starts on machines that
    return, for a span from `sent_at` on.
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
    """Have a command (JSON) decided. Sent again under the same id until its result comes."""

    command_id: str
    command: str


class CommandResult(msgspec.Struct, frozen=True, rename={"command_id": "id"}):
    """The result (JSON) of a command."""

    command_id: str
    result: str


GroupMessage = LeaseRequest | LeaseResponse | CommandRequest | CommandResult
