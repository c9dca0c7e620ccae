"""The leader's side of log replication: sending entries, and committing what a majority holds.

Source: Ongaro 2014, sections 3.5 and 3.6. One `Progress` per voter, as in etcd's raft.
"""

from __future__ import annotations

from dataclasses import dataclass

from weldhatch.consensus.effects import EntryPersisted
from weldhatch.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    EntryKind,
    InstallSnapshot,
    LogEntry,
)
from weldhatch.consensus.records import EntryRecord, SnapshotRecord
from weldhatch.consensus.store_check import StoreCheck
from weldhatch.consensus.voter_state import VoterState

MAX_ENTRIES_PER_MESSAGE = 64
SEND_SNAPSHOT = -1  # as a match index: the follower's log is of another lineage, so it needs a snapshot
NEVER = -1e9


@dataclass(slots=True)
class Progress:
    """The leader's knowledge of one voter's log."""

    next_index: int  # index of the next entry to send; 0 for a snapshot
    match_index: int = 0  # index up to which the log is known to match the leader's
    acknowledged_at: float = NEVER  # send time of the newest message that the voter answered
    sent_at: float = NEVER


class Replication:
    """Sends the log to the voters, and commits entries that a majority holds."""

    def __init__(self, state: VoterState, store_check: StoreCheck) -> None:
        """Create the state without knowledge of any voter."""
        self._state = state
        self._store_check = store_check
        self._progress: dict[str, Progress] = {}
        self.first_index_of_term = 0  # index of this leader's first entry in its term

    def begin_term(self, now: float) -> None:
        """Start as leader with a no-op entry of the new term; its commit also commits all entries before."""
        next_index = self._state.persistent.last_index + 1
        # Counting all voters as acknowledged is safe: a lease also requires the commit of our first entry.
        self._progress = {voter: Progress(next_index, acknowledged_at=now) for voter in self._state.voters}
        self.first_index_of_term = next_index
        self.append_entry(LogEntry(self._state.persistent.term, EntryKind.NO_OP))

    def progress_of(self, voter: str) -> Progress:
        """Return the progress of a voter."""
        progress = self._progress.get(voter)
        if progress is None:
            progress = self._progress[voter] = Progress(self._state.persistent.last_index + 1)
        return progress

    def is_up_to_date(self, voter: str) -> bool:
        """Whether a voter is known to have all entries."""
        return self.progress_of(voter).match_index == self._state.persistent.last_index

    def quorum_acknowledged_at(self, now: float) -> float:
        """Return the latest time such that a majority has answered messages sent at that time or later."""
        state = self._state
        acknowledged_times = sorted(
            (now if name == state.name else self.progress_of(name).acknowledged_at for name in state.voters),
            reverse=True,
        )
        return acknowledged_times[len(state.voters) // 2] if acknowledged_times else NEVER

    # ---- log -------------------------------------------------------------------------------------------

    def append_entry(self, entry: LogEntry) -> int:
        """Append an entry to the local log, and return its index."""
        index = self._state.persistent.last_index + 1
        self._state.write(EntryRecord(index, entry))
        self._state.refresh_voters()
        self._state.effects.append(EntryPersisted(index, entry.term))
        return index

    def entry_persisted(self, effect: EntryPersisted) -> None:
        """Count the local disk towards the majority for an entry that it now holds."""
        if self._state.is_leader and self._state.persistent.term_at(effect.index) == effect.term:
            progress = self.progress_of(self._state.name)
            progress.match_index = max(progress.match_index, effect.index)
            self._advance_commit()

    def compact(self, state: str, index: int) -> None:
        """Replace the log up to `index` by a snapshot: the state after that entry."""
        persistent = self._state.persistent
        if not persistent.snapshot_index < index <= self._state.applied_index:
            return
        voters = persistent.snapshot_voters
        for entry in persistent.entries[: index - persistent.snapshot_index]:
            voters = entry.data if entry.kind == EntryKind.VOTERS else voters
        self._state.write(SnapshotRecord(persistent.lineage, index, persistent.term_at(index), voters, state))

    # ---- sending ---------------------------------------------------------------------------------------

    def send_heartbeats(self, now: float) -> None:
        """Send to each voter to which nothing was sent for one heartbeat interval."""
        for voter in self._peers():
            if now - self.progress_of(voter).sent_at >= self._state.timing.heartbeat:
                self.send_entries(voter, now)

    def send_to_all(self, now: float) -> None:
        """Send each voter its missing entries at once."""
        for voter in self._peers():
            self.send_entries(voter, now)

    def _peers(self) -> list[str]:
        return [voter for voter in self._state.voters if voter != self._state.name]

    def send_entries(self, voter: str, now: float) -> None:
        """Send a voter its next missing entries, or a snapshot if they are no longer in the log."""
        persistent = self._state.persistent
        progress = self.progress_of(voter)
        progress.sent_at = now
        next_index = progress.next_index
        if next_index <= persistent.snapshot_index and (persistent.snapshot_index or not next_index):
            self._state.send(voter, self._snapshot(now))
            progress.next_index = persistent.snapshot_index + 1
            return
        entries = persistent.entries_from(next_index, MAX_ENTRIES_PER_MESSAGE)
        message = AppendEntries(
            lineage=persistent.lineage,
            term=persistent.term,
            prev_index=next_index - 1,
            prev_term=max(0, persistent.term_at(next_index - 1)),
            entries=entries,
            leader_commit=self._state.commit_index,
            sent_at=now,
            known_record_count=self._store_check.known_record_count(voter),
            record_count=persistent.record_count,
        )
        self._state.send(voter, message)
        progress.next_index = next_index + len(entries)

    def _snapshot(self, now: float) -> InstallSnapshot:
        persistent = self._state.persistent
        return InstallSnapshot(
            lineage=persistent.lineage,
            term=persistent.term,
            last_index=persistent.snapshot_index,
            last_term=persistent.snapshot_term,
            voters=persistent.snapshot_voters,
            state=persistent.snapshot_state,
            sent_at=now,
        )

    # ---- responses -------------------------------------------------------------------------------------

    def handle_response(self, now: float, name: str, response: AppendEntriesResponse) -> None:
        """Handle a response of the present term: send further entries, or retry at an earlier index."""
        progress = self.progress_of(name)
        progress.acknowledged_at = max(progress.acknowledged_at, response.sent_at)
        if not response.success:
            if response.match_index == SEND_SNAPSHOT:
                progress.next_index = 0
            else:
                progress.next_index = max(1, min(response.match_index + 1, progress.next_index))
            self.send_entries(name, now)
            return
        if response.match_index > progress.match_index:
            progress.match_index = response.match_index
            progress.next_index = max(progress.next_index, response.match_index + 1)
            self._advance_commit()
        if progress.next_index <= self._state.persistent.last_index:
            self.send_entries(name, now)

    def _advance_commit(self) -> None:
        """Commit entries of the present term that a majority has, and all before (section 3.6.2)."""
        state = self._state
        match_indexes = sorted((self.progress_of(name).match_index for name in state.voters), reverse=True)
        index = match_indexes[len(match_indexes) // 2]
        if index > state.commit_index and state.persistent.term_at(index) == state.persistent.term:
            state.commit_up_to(index)
            if state.name not in state.voters:  # the removal of this voter is now committed
                state.become_follower(state.persistent.term, "", state.last_leader_contact)
