"""Detection of a store that has lost its tail or was replaced by an older copy.

Other voters remember how many records the store had.
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
    """Compares the record count of the local store with the counts that other voters remember of it."""

    def __init__(self, state: VoterState) -> None:
        """Create the check without knowledge of other stores."""
        self._state = state
        self._counts: dict[str, int] = {}

    def known_record_count(self, name: str) -> int:
        """Return the highest record count that a voter has reported of its store."""
        return self._counts.get(name, 0)

    def receive(self, name: str, message: Message) -> None:
        """Record the count of the sender's store, and mark our own store as lost if it has shrunk."""
        # Candidates and leaders report their counts, too: a leader counts its own store towards a majority.
        # If it restarted with an older copy, no other voter would otherwise know how many records it had.
        counting_messages = RequestVoteResponse | AppendEntriesResponse | RequestVote | AppendEntries
        if isinstance(message, counting_messages) and message.record_count:
            self._counts[name] = max(self.known_record_count(name), message.record_count)
        record_count = self._state.persistent.record_count
        # Checked before the message is handled: new records would raise the count and hide the loss.
        if (
            isinstance(message, RequestVote | AppendEntries | Hello)
            and message.known_record_count > record_count
        ):
            self._state.mark_store_lost(
                f"{name} has been told of {message.known_record_count} records of this store, it holds "
                f"{record_count}: it has lost its end, or is an older copy"
            )
