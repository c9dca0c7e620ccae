"""Find out that a voter's store has lost its end, or is an older copy.

Others know how many records it had.
"""

from __future__ import annotations

from weldhatch.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Hello,
    Message,
    RequestVote,
    RequestVoteResponse,
)
from weldhatch.consensus.voter_state import VoterState


class StoreCheck:
    """Compare counts of records: those that others tell of our store with its own."""

    def __init__(self, state: VoterState) -> None:
        """Know of no other voter's store yet."""
        self._state = state
        self._counts: dict[str, int] = {}

    def known_record_count(self, name: str) -> int:
        """Return the most records of its store that a voter has told of."""
        return self._counts.get(name, 0)

    def receive(self, name: str, message: Message) -> None:
        """Note what a voter tells of its store, and distrust our own where it holds less than it once did."""
        # Of candidates and leaders, too. Guards against one that decides, counting its own store, and comes
        # back with an older one: nobody else would know what it had.
        counted = RequestVoteResponse | AppendEntriesResponse | RequestVote | AppendEntries
        if isinstance(message, counted) and message.record_count:
            self._counts[name] = max(self.known_record_count(name), message.record_count)
        record_count = self._state.persistent.record_count
        # Before anything is taken from it: what fills the store up again would hide that it is.
        if (
            isinstance(message, RequestVote | AppendEntries | Hello)
            and message.known_record_count > record_count
        ):
            self._state.mark_store_lost(
                f"{name} has been told of {message.known_record_count} records of this store, it holds "
                f"{record_count}: it has lost its end, or is an older copy"
            )
