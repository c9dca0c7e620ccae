"""How long a leader leads: its lease, check-quorum, leadership transfer.

Source: Ongaro 2014, sections 6.2 (check-quorum), 6.4.1 (lease) and 3.10 (transfer).
"""

from __future__ import annotations

from weldhatch.consensus.errors import InvalidChangeError
from weldhatch.consensus.messages import TimeoutNow
from weldhatch.consensus.replication import Replication
from weldhatch.consensus.voter_state import VoterState

CHECK_QUORUM_ELECTION_TIMEOUTS = (
    2.0  # election timeouts without a majority's answer, after which a leader steps down
)
LATE_TICK_FRACTION = (
    0.5  # of an election timeout: a tick that comes so late tells of this process, not of others
)


class Leadership:
    """Step down in time, and promise no longer than is sure."""

    def __init__(self, state: VoterState, replication: Replication, now: float) -> None:
        """Judge by answers that `replication` has heard."""
        self._state = state
        self._replication = replication
        self._transferring_to = ""
        self._transfer_started = 0.0
        self._ticked_at = now
        self.timeouts_suspended_until = now  # before then, that nothing was heard proves nothing

    @property
    def transferring_to(self) -> str:
        """To whom leadership is being transferred; '' for nobody."""
        return self._transferring_to

    def begin_term(self) -> None:
        """Nothing of a former leadership goes on."""
        self._transferring_to = ""

    def suspend_timeouts_after_late_tick(self, now: float) -> None:
        """Let what waits unread be heard before silence counts; for a heartbeat, and not without end.

        Guards against a process that was held up: a leader's messages, or answers to its own, may wait
        unread, and that the clock has run on meanwhile proves nothing.
        """
        timing = self._state.timing
        was_late = now - self._ticked_at > LATE_TICK_FRACTION * timing.election_timeout
        self._ticked_at = now
        if was_late and now - self.timeouts_suspended_until > timing.election_timeout:
            self.timeouts_suspended_until = now + timing.heartbeat

    def tick(self, now: float) -> None:
        """Send heartbeats, or step down.

        What a leader promises ends by `guaranteed_until` alone, so it may wait for answers that are late:
        on a machine with too much to do, one that steps down at once brings another election, which is more
        to do still.
        """
        state = self._state
        timeout = state.timing.election_timeout
        transfer_timed_out = self._transferring_to and now - self._transfer_started > timeout
        quorum_lost = (
            now - self._replication.quorum_acknowledged_at(now) > CHECK_QUORUM_ELECTION_TIMEOUTS * timeout
        )
        if transfer_timed_out or (quorum_lost and now >= self.timeouts_suspended_until):
            # One that transferred to a voter that did not stand in time may still be replaced by a late
            # message, so it does not lead on either.
            state.become_follower(state.persistent.term, "", now)
            state.election_timer_started = now
        else:
            self._replication.send_heartbeats(now)

    def guaranteed_until(self, now: float) -> float:
        """Return until when no other can lead, by this clock; -inf where that is not known.

        Guards what a leader promises: a majority heard from it after a time that it knows, and none of them
        votes for another until an election timeout after that.
        """
        state = self._state
        is_current = state.commit_index >= self._replication.first_index_of_term
        if not state.is_leader or self._transferring_to or not is_current:
            return float("-inf")
        span = state.timing.election_timeout * (1 - state.timing.clock_drift)
        return self._replication.quorum_acknowledged_at(now) + span

    def transfer(self, now: float, name: str) -> None:
        """Have another voter stand for election once it holds all entries. Raises InvalidChangeError."""
        if name == self._state.name or name not in self._state.voters:
            raise InvalidChangeError(f"{name!r} is no other voter")
        self._transferring_to = name
        self._transfer_started = now
        if not self.continue_transfer(name):
            self._replication.send_entries(name, now)

    def continue_transfer(self, name: str) -> bool:
        """Tell the voter to stand if leadership is being transferred to it and it holds all entries."""
        if self._transferring_to != name or not self._replication.is_up_to_date(name):
            return False
        persistent = self._state.persistent
        self._state.send(name, TimeoutNow(persistent.lineage, persistent.term))
        return True
