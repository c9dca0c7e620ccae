"""Membership changes: one voter is added or removed at a time. Source: Ongaro 2014, section 4.1."""

from __future__ import annotations

import json

from weldhatch.consensus.errors import BusyError, InvalidChangeError
from weldhatch.consensus.messages import EntryKind
from weldhatch.consensus.replication import Replication
from weldhatch.consensus.voter_state import VoterState


def voters_to_json(voters: dict[str, str]) -> str:
    """Encode voters, name to address, for a log entry."""
    return json.dumps(voters, sort_keys=True)


def check_change(state: VoterState, replication: Replication, voters: dict[str, str]) -> None:
    """Check that the leader may switch to these voters now. Raises InvalidChangeError, BusyError."""
    if len(voters.keys() ^ state.voters.keys()) > 1:
        raise InvalidChangeError("voters come and go one at a time: any two majorities have to overlap")
    if not voters:
        raise InvalidChangeError("the last voter can't go")
    # Guards against two leaders that each change the voters without learning of the other's change.
    uncommitted = state.persistent.entries[state.commit_index - state.persistent.snapshot_index :]
    if state.commit_index < replication.first_index_of_term or any(
        entry.kind == EntryKind.VOTERS for entry in uncommitted
    ):
        raise BusyError("the change before it is not decided yet")
