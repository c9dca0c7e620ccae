"""What all concerns of one voter share: its store, its role, its voters and the effects it wants."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum

from weldhatch.consensus.effects import Commit, Effect, Send, WriteRecord
from weldhatch.consensus.messages import Message
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.records import LostRecord, Record, VoteRecord


class Role(StrEnum):
    """What a voter is at present, as operators see it."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asks"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Spans in seconds. `clock_drift`: by what part the clocks of two processes may run apart."""

    heartbeat: float = 0.1
    election_timeout: float = 0.4  # at random up to twice as long
    clock_drift: float = 0.02


class VoterState:
    """One voter. Clock values are seconds of this process's own clock."""

    def __init__(
        self,
        name: str,
        persistent: PersistentState,
        timing: Timing,
        random_fraction: Callable[[], float],
        now: float,
    ) -> None:
        """Start as a follower with what the store holds. `draw`: a random number of [0, 1)."""
        self.name = name
        self.persistent = persistent
        self.timing = timing
        self._random_fraction = random_fraction
        self.effects: list[Effect] = []
        self.role = Role.FOLLOWER
        self.leader = ""  # the name of the one that is known
        self.voters = persistent.current_voters()  # name to address
        self.commit_index = persistent.snapshot_index
        self.applied_index = persistent.snapshot_index
        # Guards a leader's lease: a voter that has just started may have forgotten that it heard one.
        self.last_leader_contact = now
        self.election_timer_started = now
        self.election_timeout = self._random_election_timeout()

    def _random_election_timeout(self) -> float:
        return self.timing.election_timeout * (1 + self._random_fraction())

    def restart_election_timer(self, now: float) -> None:
        """Wait for a newly drawn time before the next election."""
        self.election_timer_started = now
        self.election_timeout = self._random_election_timeout()

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads, as far as it knows."""
        return self.role is Role.LEADER

    @property
    def lost_reason(self) -> str:
        """Why it votes no more: its store is not what it was. It comes back under a new name."""
        return self.persistent.lost_reason

    @property
    def can_vote(self) -> bool:
        """Whether it is one of the voters and its store is sound."""
        return self.name in self.voters and not self.lost_reason

    def is_majority(self, names: Collection[str]) -> bool:
        """Whether the voters among `names` are more than half of all."""
        return len(set(names) & self.voters.keys()) * 2 > len(self.voters)

    def write(self, record: Record) -> None:
        """Take a record into the store in memory, and want it on the disk."""
        self.persistent.apply(record)
        self.effects.append(WriteRecord(record))

    def send(self, to: str, message: Message) -> None:
        """Want a message sent."""
        self.effects.append(Send(to, message))

    def refresh_voters(self) -> None:
        """The log has changed: act on the newest voters in it."""
        self.voters = self.persistent.current_voters()

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Follow `leader`, or nobody yet (''), in a term that is not before our own."""
        if term > self.persistent.term:
            self.write(VoteRecord(self.persistent.lineage, term, ""))
        self.role = Role.FOLLOWER
        self.leader = leader
        if leader:
            self.last_leader_contact = now
            self.restart_election_timer(now)

    def mark_store_lost(self, reason: str) -> None:
        """Vote no more, and remember so."""
        if not self.lost_reason:
            self.write(LostRecord(reason))
            self.role = Role.FOLLOWER
            self.leader = ""

    def commit_up_to(self, index: int) -> None:
        """Take all entries up to `index` for decided, and want them applied."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            self.effects.append(Commit(self.applied_index, self.persistent.entry_at(self.applied_index)))
