"""A leader's term in office: leader lease, check-quorum, leadership transfer.

Source: Ongaro 2014, sections 6.2 (check-quorum), 6.4.1 (lease) and 3.10 (transfer).
"""

from __future__ import annotations

from weldhatch.consensus.errors import InvalidChangeError
from weldhatch.consensus.messages import TimeoutNow
from weldhatch.consensus.replication import Replication
from weldhatch.consensus.voter_state import VoterState

CHECK_QUORUM_ELECTION_TIMEOUTS = 2.0  # a leader without answers from a majority for this long steps down
LATE_TICK_FRACTION = 0.5  # of an election timeout: a tick this late means that this process was held up


class Leadership:
    """Decides when a leader steps down, and how long its leader lease holds."""

    def __init__(self, state: VoterState, replication: Replication, now: float) -> None:
        """Create the state of a leadership. Leases depend on the answers that `replication` has received."""
        self._state = state
        self._replication = replication
        self._transferring_to = ""
        self._transfer_started = 0.0
        self._ticked_at = now
        self.timeouts_suspended_until = now  # until then, missing messages are no evidence of a fault

    @property
    def transferring_to(self) -> str:
        """The voter to which leadership is being transferred; '' for none."""
        return self._transferring_to

    def begin_term(self) -> None:
        """Reset the state of earlier terms."""
        self._transferring_to = ""

    def suspend_timeouts_after_late_tick(self, now: float) -> None:
        """Suspend election and check-quorum timeouts for one heartbeat after a late tick.

        A process that was held up may have unread messages from the leader, or unread answers to its own;
        these have to be handled before a timeout may fire. The suspension is not repeated within an election
        timeout, so that repeated late ticks can't postpone the timeouts indefinitely.
        """
        timing = self._state.timing
        was_late = now - self._ticked_at > LATE_TICK_FRACTION * timing.election_timeout
        self._ticked_at = now
        if was_late and now - self.timeouts_suspended_until > timing.election_timeout:
            self.timeouts_suspended_until = now + timing.heartbeat

    def tick(self, now: float) -> None:
        """Send heartbeats, or step down.

        The leader lease ends by `guaranteed_until` alone, so the leader can afford to wait for late answers.
        On an overloaded machine, stepping down early would cause another election and thus more load.
        """
        state = self._state
        timeout = state.timing.election_timeout
        transfer_timed_out = self._transferring_to and now - self._transfer_started > timeout
        quorum_lost = (
            now - self._replication.quorum_acknowledged_at(now) > CHECK_QUORUM_ELECTION_TIMEOUTS * timeout
        )
        if transfer_timed_out or (quorum_lost and now >= self.timeouts_suspended_until):
            # After a transfer that timed out, a late TimeoutNow may still start an election, so the leader
            # steps down in that case, too.
            state.become_follower(state.persistent.term, "", now)
            state.election_timer_started = now
        else:
            self._replication.send_heartbeats(now)

    def guaranteed_until(self, now: float) -> float:
        """Return until when no other voter can become leader, by the local clock; -inf if unknown.

        A majority has received a message that was sent at a known time or later, and none of these voters
        grants a vote until an election timeout after that.
        """
        state = self._state
        is_current = state.commit_index >= self._replication.first_index_of_term
        if not state.is_leader or self._transferring_to or not is_current:
            return float("-inf")
        span = state.timing.election_timeout * (1 - state.timing.clock_drift)
        return self._replication.quorum_acknowledged_at(now) + span

    def transfer(self, now: float, name: str) -> None:
        """Have another voter start an election once it has all entries. Raises InvalidChangeError."""
        if name == self._state.name or name not in self._state.voters:
            raise InvalidChangeError(f"{name!r} is no other voter")
        self._transferring_to = name
        self._transfer_started = now
        if not self.continue_transfer(name):
            self._replication.send_entries(name, now)

    def continue_transfer(self, name: str) -> bool:
        """Send TimeoutNow if leadership is being transferred to the voter and it has all entries."""
        if self._transferring_to != name or not self._replication.is_up_to_date(name):
            return False
        persistent = self._state.persistent
        self._state.send(name, TimeoutNow(persistent.lineage, persistent.term))
        return True
