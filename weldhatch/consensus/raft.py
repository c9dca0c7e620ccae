"""One voter of a replicated log: Raft with pre-vote, check-quorum, leadership transfer, snapshots. No I/O.

The voter leaves disk writes and messages in `effects`, in order. Effects after a `WriteRecord` are carried
out only once that record is on the disk. The clock (in seconds) and randomness are arguments.
"""

from __future__ import annotations

import json
from random import Random

from weldhatch.consensus.effects import Effect, EntryPersisted
from weldhatch.consensus.election import Election
from weldhatch.consensus.errors import BusyError, NotLeaderError
from weldhatch.consensus.leadership import Leadership
from weldhatch.consensus.log_follower import LogFollower
from weldhatch.consensus.membership import check_change, voters_to_json
from weldhatch.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    EntryKind,
    Hello,
    InstallSnapshot,
    LogEntry,
    LogPosition,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.records import EntryRecord, LostRecord, SnapshotRecord, VoteRecord
from weldhatch.consensus.rejoin import RejoinGuard
from weldhatch.consensus.replication import NEVER, SEND_SNAPSHOT, Replication
from weldhatch.consensus.store_check import StoreCheck
from weldhatch.consensus.voter_state import Role, Timing, VoterState

REJOIN_WAIT_ELECTION_TIMEOUTS = 20.0  # longest wait of a restarted voter for the positions of others


class Raft:
    """One voter, combined from one class per concern. It votes only while its log lists `name` as a voter."""

    def __init__(
        self, name: str, persistent: PersistentState, timing: Timing, random: Random, now: float
    ) -> None:
        """Start as a follower with the state of the store."""
        self._state = VoterState(name, persistent, timing, random.random, now)
        self._store_check = StoreCheck(self._state)
        self._rejoin = RejoinGuard(now + REJOIN_WAIT_ELECTION_TIMEOUTS * timing.election_timeout)
        if not persistent.record_count:
            self._rejoin.trust_store()
        self._replication = Replication(self._state, self._store_check)
        self._leadership = Leadership(self._state, self._replication, now)
        self._follower = LogFollower(self._state, self._rejoin)
        self._election = Election(self._state, self._rejoin, self._store_check, self._become_leader)

    # ---- state -----------------------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """Name of this voter."""
        return self._state.name

    @property
    def effects(self) -> list[Effect]:
        """Pending effects, in order. The caller removes each effect that it carries out."""
        return self._state.effects

    @property
    def persistent(self) -> PersistentState:
        """Persistent state, including records that are not yet on the disk."""
        return self._state.persistent

    @property
    def role(self) -> Role:
        """Present role of this voter."""
        return self._state.role

    @property
    def is_leader(self) -> bool:
        """Whether this voter is the leader of its present term."""
        return self._state.is_leader

    @property
    def leader(self) -> str:
        """Name of the known leader, '' if none is known."""
        return self._state.leader

    @property
    def voters(self) -> dict[str, str]:
        """Newest voters in the log, name to address."""
        return self._state.voters

    @property
    def can_vote(self) -> bool:
        """Whether this process is one of the voters and its store is sound."""
        return self._state.can_vote

    @property
    def lost_reason(self) -> str:
        """Why the store is marked as lost, '' if it is sound. A lost voter has to rejoin under a new name."""
        return self._state.lost_reason

    @property
    def commit_index(self) -> int:
        """Index of the last entry that is known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry for which a `Commit` effect was added."""
        return self._state.applied_index

    @property
    def first_index_of_term(self) -> int:
        """Index of this leader's first entry in its term."""
        return self._replication.first_index_of_term

    def leadership_guaranteed_until(self, now: float) -> float:
        """Return until when no other voter can become leader, by the local clock; -inf if unknown."""
        return self._leadership.guaranteed_until(now)

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Handle timeouts and send heartbeats. Call every few hundredths of a second."""
        self._leadership.suspend_timeouts_after_late_tick(now)
        if self._state.is_leader:
            self._leadership.tick(now)
        elif now >= self._leadership.timeouts_suspended_until:
            self._election.tick(now)

    def _become_leader(self, now: float) -> None:
        self._state.role = Role.LEADER
        self._state.leader = self._state.name
        self._leadership.begin_term()
        self._replication.begin_term(now)
        self.tick(now)

    # ---- messages --------------------------------------------------------------------------------------

    def handle_link_up(self, name: str) -> None:
        """Send a `Hello` on a new link: the known record count of the peer, and the end of our log."""
        self._send_hello(name, wants_reply=self._rejoin.is_waiting)

    def _send_hello(self, name: str, wants_reply: bool) -> None:
        persistent = self._state.persistent
        position = persistent.last_position
        hello = Hello(
            lineage=persistent.lineage,
            known_record_count=self._store_check.known_record_count(name),
            term=persistent.term,
            last_term=position.last_term,
            last_index=position.last_index,
            wants_reply=wants_reply,
        )
        self._state.send(name, hello)

    def receive(self, now: float, name: str, message: Message) -> None:
        """Handle one message from another voter."""
        if message.lineage != self._state.persistent.lineage and not self._accept_lineage(name, message):
            return
        self._store_check.receive(name, message)
        self._handle(now, name, message)

    def _accept_lineage(self, name: str, message: Message) -> bool:
        """Answer a message of another lineage, and return whether it is to be handled.

        A lineage ends with a manual recovery. Messages from voters that are still in an earlier lineage are
        void.
        """
        lineage = self._state.persistent.lineage
        if message.lineage < lineage:
            self._state.send(name, Hello(lineage, 0))
            return False
        if isinstance(message, InstallSnapshot):
            return True
        if isinstance(message, AppendEntries):
            response = AppendEntriesResponse(
                message.lineage, message.term, False, SEND_SNAPSHOT, message.sent_at
            )
            self._state.send(name, response)
        else:
            # This voter takes no part in decisions until the recovered group adds it again.
            self._state.mark_store_lost(f"{name} is of a recovery by hand that left this voter behind")
        return False

    def _handle(self, now: float, name: str, message: Message) -> None:
        match message:
            case AppendEntries():
                self._follower.handle_append(now, name, message)
            case AppendEntriesResponse():
                self._handle_append_response(now, name, message)
            case RequestVote():
                self._election.handle_request(now, name, message)
            case RequestVoteResponse():
                self._election.handle_response(now, name, message)
            case InstallSnapshot():
                self._follower.handle_snapshot(now, name, message)
            case TimeoutNow():
                self._election.handle_timeout_now(now, message)
            case Hello():
                self._rejoin.record_peer_position(
                    name, message.term, LogPosition(message.last_term, message.last_index)
                )
                if message.wants_reply:
                    self._send_hello(name, wants_reply=False)

    def _handle_append_response(self, now: float, name: str, response: AppendEntriesResponse) -> None:
        state = self._state
        if response.term > state.persistent.term:
            state.become_follower(response.term, "", now)
        elif state.is_leader and response.term == state.persistent.term:
            self._replication.handle_response(now, name, response)
            if response.success:
                self._leadership.continue_transfer(name)

    # ---- commands --------------------------------------------------------------------------------------

    def propose(self, now: float, data: str, kind: EntryKind = EntryKind.COMMAND) -> int:
        """Append one command to the log, and return its index. `Commit` follows once it is committed.

        Raises NotLeaderError, BusyError.
        """
        self._require_leader()
        if self._leadership.transferring_to:
            raise BusyError(f"leadership is being handed to {self._leadership.transferring_to}")
        index = self._replication.append_entry(LogEntry(self._state.persistent.term, kind, data))
        self._replication.send_to_all(now)
        return index

    def _require_leader(self) -> None:
        if not self._state.is_leader:
            raise NotLeaderError(self._state.leader)

    def change_voters(self, now: float, voters: dict[str, str]) -> int:
        """Add or remove one voter, and return the index of the entry.

        Raises NotLeaderError, BusyError, InvalidChangeError.
        """
        self._require_leader()
        check_change(self._state, self._replication, voters)
        index = self.propose(now, voters_to_json(voters), EntryKind.VOTERS)
        for voter in voters:
            progress = self._replication.progress_of(voter)
            if progress.acknowledged_at == NEVER:
                progress.acknowledged_at = now  # gives a new voter time to answer before check-quorum
        return index

    def transfer_leadership(self, now: float, name: str) -> None:
        """Transfer leadership to another voter. This voter steps down within an election timeout.

        Raises NotLeaderError, InvalidChangeError.
        """
        self._require_leader()
        self._leadership.transfer(now, name)

    def entry_persisted(self, effect: EntryPersisted) -> None:
        """Carry out an `EntryPersisted`: the local disk counts towards the majority."""
        self._replication.entry_persisted(effect)

    def compact(self, state: str, index: int) -> None:
        """Replace the log up to `index` by a snapshot: the state after that entry."""
        self._replication.compact(state, index)

    # ---- bootstrap and recovery ------------------------------------------------------------------------

    def bootstrap(self, voters: dict[str, str]) -> None:
        """Create a new group with these voters, name to address. Every voter has to pass the same voters."""
        self._state.write(SnapshotRecord(0, 0, 0, voters_to_json(voters), ""))
        self._state.refresh_voters()

    def recover(self, now: float, address: str) -> None:
        """Start a new lineage with this voter alone, after a permanent loss of the majority.

        `address`: address of this voter.
        """
        state = self._state
        persistent = state.persistent
        state.write(VoteRecord(persistent.lineage + 1, persistent.term + 1, state.name))
        state.write(LostRecord(""))
        self._rejoin.trust_store()
        state.commit_index = max(state.commit_index, persistent.snapshot_index)
        voters = LogEntry(persistent.term, EntryKind.VOTERS, json.dumps({state.name: address}))
        state.write(EntryRecord(persistent.last_index + 1, voters))
        state.refresh_voters()
        self._become_leader(now)
