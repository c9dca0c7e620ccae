"""The follower's side of log replication and snapshot transfer. Source: Ongaro 2014, sections 3.5 and 5."""

from __future__ import annotations

from weldhatch.consensus.effects import LoadSnapshot
from weldhatch.consensus.messages import AppendEntries, AppendEntriesResponse, InstallSnapshot
from weldhatch.consensus.records import EntryRecord, LostRecord, SnapshotRecord, VoteRecord
from weldhatch.consensus.rejoin import RejoinGuard
from weldhatch.consensus.voter_state import Role, VoterState


class LogFollower:
    """Accepts entries and snapshots from the leader."""

    def __init__(self, state: VoterState, rejoin: RejoinGuard) -> None:
        """Create the follower of the voter with this state."""
        self._state = state
        self._rejoin = rejoin

    # ---- entries ---------------------------------------------------------------------------------------

    def handle_append(self, now: float, name: str, message: AppendEntries) -> None:
        """Append entries if the log before them matches the leader's, and advance the commit index."""
        state = self._state
        persistent = state.persistent
        if message.term < persistent.term:
            self._reject(name, message, match_index=0)
            return
        state.become_follower(message.term, name, now)
        previous = message.prev_index
        if previous > persistent.snapshot_index and persistent.term_at(previous) != message.prev_term:
            self._reject(name, message, match_index=min(persistent.last_index, previous - 1))
            return
        match_index = self._append_entries(message)
        self._acknowledge(name, match_index, message.sent_at)
        state.commit_up_to(min(message.leader_commit, match_index))

    def _append_entries(self, message: AppendEntries) -> int:
        persistent = self._state.persistent
        index = message.prev_index
        for entry in message.entries:
            index += 1
            if index <= persistent.snapshot_index:
                continue  # covered by our snapshot, so already committed
            if persistent.term_at(index) != entry.term:
                self._state.write(EntryRecord(index, entry))
                self._state.refresh_voters()
        return index

    def _reject(self, name: str, message: AppendEntries, match_index: int) -> None:
        persistent = self._state.persistent
        response = AppendEntriesResponse(
            persistent.lineage, persistent.term, False, match_index, message.sent_at
        )
        self._state.send(name, response)

    def _acknowledge(self, name: str, match_index: int, sent_at: float) -> None:
        persistent = self._state.persistent
        response = AppendEntriesResponse(
            persistent.lineage, persistent.term, True, match_index, sent_at, persistent.record_count
        )
        self._state.send(name, response)

    # ---- snapshots -------------------------------------------------------------------------------------

    def handle_snapshot(self, now: float, name: str, message: InstallSnapshot) -> None:
        """Replace the log by a snapshot, which may belong to a later lineage."""
        state = self._state
        if message.lineage > state.persistent.lineage:
            self._join_lineage(now, name, message)
        elif message.term >= state.persistent.term:
            state.become_follower(message.term, name, now)
            if message.last_index > state.commit_index:
                self._write_snapshot(message)
                self._load_snapshot(name, message)
            else:
                self._acknowledge(name, state.commit_index, message.sent_at)

    def _join_lineage(self, now: float, name: str, message: InstallSnapshot) -> None:
        state = self._state
        state.role = Role.FOLLOWER
        state.leader = name
        state.last_leader_contact = now
        state.election_timer_started = now
        self._write_snapshot(message)
        self._rejoin.trust_store()
        if state.lost_reason:
            state.write(LostRecord(""))  # votes given in the earlier lineage are void
        self._load_snapshot(name, message)

    def _write_snapshot(self, message: InstallSnapshot) -> None:
        state = self._state
        state.write(
            SnapshotRecord(
                message.lineage, message.last_index, message.last_term, message.voters, message.state
            )
        )
        if message.term > state.persistent.term:
            state.write(VoteRecord(message.lineage, message.term, ""))

    def _load_snapshot(self, name: str, message: InstallSnapshot) -> None:
        state = self._state
        state.refresh_voters()
        state.commit_index = message.last_index
        state.applied_index = message.last_index
        state.effects.append(LoadSnapshot(message.last_index, message.state))
        self._acknowledge(name, message.last_index, message.sent_at)
