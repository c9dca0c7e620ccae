"""Leader election with pre-vote: candidacy and granting votes.

Source: Ongaro 2014, sections 3.4, 4.2.3 and 9.6.
"""

from __future__ import annotations

from collections.abc import Callable

from weldhatch.consensus.messages import LogPosition, RequestVote, RequestVoteResponse, TimeoutNow
from weldhatch.consensus.records import VoteRecord
from weldhatch.consensus.rejoin import RejoinGuard
from weldhatch.consensus.store_check import StoreCheck
from weldhatch.consensus.voter_state import Role, VoterState


class Election:
    """Start elections for this voter, and answer the vote requests of others."""

    def __init__(
        self,
        state: VoterState,
        rejoin: RejoinGuard,
        store_check: StoreCheck,
        on_elected: Callable[[float], None],
    ) -> None:
        """`on_elected` is called with the time once a majority has voted for this voter."""
        self._state = state
        self._rejoin = rejoin
        self._store_check = store_check
        self._on_elected = on_elected
        self._votes: set[str] = set()

    # ---- candidacy -------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Start a pre-vote once no leader has made contact for the randomized election timeout."""
        state = self._state
        if self._may_start_election(now) and now - state.election_timer_started > state.election_timeout:
            self._start_election(now, pre_vote=True)

    def _may_start_election(self, now: float) -> bool:
        required = self._required_log(now)
        return (
            self._state.can_vote and required is not None and self._state.persistent.last_position >= required
        )

    def _required_log(self, now: float) -> LogPosition | None:
        return self._rejoin.required_log(now, self._state.name, self._state.voters)

    def _start_election(self, now: float, *, pre_vote: bool, transfer: bool = False) -> None:
        state = self._state
        persistent = state.persistent
        if self._rejoin.may_have_voted(now, persistent.term + 1):
            state.become_follower(self._rejoin.highest_term, "", now)
        state.restart_election_timer(now)
        state.leader = ""
        if pre_vote:
            state.role = Role.PRE_CANDIDATE
        else:
            state.role = Role.CANDIDATE
            state.write(VoteRecord(persistent.lineage, persistent.term + 1, state.name))
        self._votes = {state.name}
        for voter in state.voters:
            if voter != state.name:
                state.send(voter, self._request(voter, pre_vote, transfer))
        self._count_votes(now)

    def _request(self, voter: str, pre_vote: bool, transfer: bool) -> RequestVote:
        persistent = self._state.persistent
        position = persistent.last_position
        return RequestVote(
            lineage=persistent.lineage,
            term=persistent.term + pre_vote,
            last_index=position.last_index,
            last_term=position.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
            known_record_count=self._store_check.known_record_count(voter),
            record_count=persistent.record_count,
        )

    def _count_votes(self, now: float) -> None:
        state = self._state
        if not state.is_majority(self._votes):
            return
        if state.role is Role.PRE_CANDIDATE:
            self._start_election(now, pre_vote=False)
        elif state.role is Role.CANDIDATE:
            self._on_elected(now)

    def handle_response(self, now: float, name: str, response: RequestVoteResponse) -> None:
        """Count a granted vote, or become a follower when the response has a later term."""
        state = self._state
        expected_term = state.persistent.term + response.pre_vote
        role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        if response.term > state.persistent.term + (response.pre_vote and response.granted):
            state.become_follower(response.term, "", now)
        elif response.granted and state.role is role and response.term == expected_term:
            self._votes.add(name)
            self._count_votes(now)

    def handle_timeout_now(self, now: float, message: TimeoutNow) -> None:
        """Start an election without pre-vote: the leader transfers leadership to this voter."""
        state = self._state
        if (
            message.term == state.persistent.term
            and self._may_start_election(now)
            and state.role is Role.FOLLOWER
        ):
            self._start_election(now, pre_vote=False, transfer=True)

    # ---- voting ----------------------------------------------------------------------------------------

    def handle_request(self, now: float, name: str, request: RequestVote) -> None:
        """Grant or deny a vote. Ignored while a leader is alive, except as part of a transfer."""
        state = self._state
        position = LogPosition(request.last_term, request.last_index)
        self._rejoin.record_peer_position(name, 0, position)
        required = self._required_log(now)
        up_to_date = required is not None and position >= max(state.persistent.last_position, required)
        # Keeps a voter that receives nothing from the leader from ending a live leader's term and lease.
        leader_is_alive = now - state.last_leader_contact < state.timing.election_timeout or state.is_leader
        if not state.can_vote or (leader_is_alive and not request.transfer):
            return
        if request.pre_vote:
            self._answer_pre_vote(name, request, up_to_date)
        else:
            self._answer_vote(now, name, request, up_to_date)

    def _answer_pre_vote(self, name: str, request: RequestVote, up_to_date: bool) -> None:
        persistent = self._state.persistent
        granted = up_to_date and request.term > persistent.term
        # A denial carries our own term. Otherwise two voters might never elect: one with a higher term from
        # an earlier candidacy, and one that alone has all entries but never learns of that term.
        term = request.term if granted else persistent.term
        self._state.send(name, RequestVoteResponse(persistent.lineage, term, granted, pre_vote=True))

    def _answer_vote(self, now: float, name: str, request: RequestVote, up_to_date: bool) -> None:
        state = self._state
        persistent = state.persistent
        if request.term > persistent.term:
            state.become_follower(request.term, "", now)
        vote_available = persistent.voted_for == name or (
            not persistent.voted_for and not self._rejoin.may_have_voted(now, request.term)
        )
        granted = up_to_date and request.term == persistent.term and vote_available
        if granted and not persistent.voted_for:
            state.write(VoteRecord(persistent.lineage, persistent.term, name))
            state.election_timer_started = now
        response = RequestVoteResponse(
            persistent.lineage,
            persistent.term,
            granted,
            pre_vote=False,
            record_count=persistent.record_count,
        )
        state.send(name, response)
