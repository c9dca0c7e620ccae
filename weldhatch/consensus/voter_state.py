"""State that all concerns of one voter share: store, role, voters and pending effects."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum

from weldhatch.consensus.effects import Commit, Effect, Send, WriteRecord
from weldhatch.consensus.messages import Message
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.records import LostRecord, Record, VoteRecord


class Role(StrEnum):
    """Present role of a voter; the values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asks"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Durations in seconds. `clock_drift`: largest relative difference between two processes' clock rates."""

    heartbeat: float = 0.1
    election_timeout: float = 0.4  # minimum; randomized up to twice as long
    clock_drift: float = 0.02


class VoterState:
    """Shared state of one voter. Times are seconds of the local clock."""

    def __init__(
        self,
        name: str,
        persistent: PersistentState,
        timing: Timing,
        random_fraction: Callable[[], float],
        now: float,
    ) -> None:
        """Start as a follower with the state of the store. `random_fraction` returns a number in [0, 1)."""
        self.name = name
        self.persistent = persistent
        self.timing = timing
        self._random_fraction = random_fraction
        self.effects: list[Effect] = []
        self.role = Role.FOLLOWER
        self.leader = ""  # name of the known leader; '' if none is known
        self.voters = persistent.current_voters()  # name to address
        self.commit_index = persistent.snapshot_index
        self.applied_index = persistent.snapshot_index
        # Protects a leader's lease: before its restart, this voter may have acknowledged a live leader.
        self.last_leader_contact = now
        self.election_timer_started = now
        self.election_timeout = self._random_election_timeout()

    def _random_election_timeout(self) -> float:
        return self.timing.election_timeout * (1 + self._random_fraction())

    def restart_election_timer(self, now: float) -> None:
        """Restart the election timer with a new randomized timeout."""
        self.election_timer_started = now
        self.election_timeout = self._random_election_timeout()

    @property
    def is_leader(self) -> bool:
        """Whether this voter is the leader of its present term."""
        return self.role is Role.LEADER

    @property
    def lost_reason(self) -> str:
        """Why the store is marked as lost, '' if it is sound. A lost voter has to rejoin under a new name."""
        return self.persistent.lost_reason

    @property
    def can_vote(self) -> bool:
        """Whether this process is one of the voters and its store is sound."""
        return self.name in self.voters and not self.lost_reason

    def is_majority(self, names: Collection[str]) -> bool:
        """Whether `names` contains more than half of the voters."""
        return len(set(names) & self.voters.keys()) * 2 > len(self.voters)

    def write(self, record: Record) -> None:
        """Apply a record to the state in memory, and add an effect that writes it to the disk."""
        self.persistent.apply(record)
        self.effects.append(WriteRecord(record))

    def send(self, to: str, message: Message) -> None:
        """Add an effect that sends a message."""
        self.effects.append(Send(to, message))

    def refresh_voters(self) -> None:
        """Use the newest voters in the log, after a change of the log."""
        self.voters = self.persistent.current_voters()

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Become a follower in `term`, which is not before the present one. `leader` is '' while unknown."""
        if term > self.persistent.term:
            self.write(VoteRecord(self.persistent.lineage, term, ""))
        self.role = Role.FOLLOWER
        self.leader = leader
        if leader:
            self.last_leader_contact = now
            self.restart_election_timer(now)

    def mark_store_lost(self, reason: str) -> None:
        """Mark the store as lost, also on the disk, so that this voter no longer votes."""
        if not self.lost_reason:
            self.write(LostRecord(reason))
            self.role = Role.FOLLOWER
            self.leader = ""

    def commit_up_to(self, index: int) -> None:
        """Commit all entries up to `index`, and add effects that apply them."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            self.effects.append(Commit(self.applied_index, self.persistent.entry_at(self.applied_index)))
