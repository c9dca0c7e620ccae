"""The replicated log under crashes, lost and duplicated messages, cut links and slow disks.

All voters have to commit the same entries in the same order.
"""

import json
from random import Random

import pytest

from weldhatch.consensus import leadership, replication
from weldhatch.consensus.effects import Commit, EntryPersisted, LoadSnapshot, Send, WriteRecord
from weldhatch.consensus.election import Election
from weldhatch.consensus.errors import BusyError, NotLeaderError
from weldhatch.consensus.leadership import Leadership
from weldhatch.consensus.messages import LogEntry, LogPosition
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.raft import Raft
from weldhatch.consensus.records import record_from_list
from weldhatch.consensus.rejoin import RejoinGuard
from weldhatch.consensus.replication import Replication
from weldhatch.consensus.voter_state import Timing, VoterState


class VoterGroup:
    """Three voters on one simulated clock, with their disks and links. All randomness comes from `seed`."""

    def __init__(self, seed=1, names=("a", "b", "c"), slow_disk=False):
        self.random, self.names, self.now, self.slow_disk = Random(seed), list(names), 0.0, slow_disk
        self.delay = 0.0, 0.05  # shortest and longest delay of a message, in seconds
        self.disks = {name: [] for name in names}
        self.nodes, self.in_flight, self.down, self.cut_links = {}, [], {}, set()
        self.committed, self.applied, self.leaders = {}, {}, {}
        for name in self.names:
            self.boot(name)

    def boot(self, name):
        persistent = PersistentState()
        for record in self.disks[name]:
            persistent.apply_encoded(json.dumps(record).encode())
        node = self.nodes[name] = Raft(name, persistent, Timing(), self.random, self.now)
        if not self.disks[name]:
            node.bootstrap(dict.fromkeys(self.names, ""))
        self.applied[name] = persistent.snapshot_index
        for other in self.names:
            if other != name and other in self.nodes:
                self.nodes[other].handle_link_up(name)
                node.handle_link_up(other)

    def crash(self, name, restart_at):
        self.down[name] = restart_at
        self.nodes[name].effects.clear()

    def step(self, loss=0.0, duplicate=0.0):
        self.now += 0.01
        for name, restart_at in list(self.down.items()):
            if self.now > restart_at:
                del self.down[name]
                self.boot(name)
        for name in self.names:
            if name not in self.down:
                self.nodes[name].tick(self.now)
                self.carry_out_effects(name, self.random.randrange(6) if self.slow_disk else 1000)
        due, self.in_flight = (
            [delivery for delivery in self.in_flight if delivery[0] <= self.now],
            [delivery for delivery in self.in_flight if delivery[0] > self.now],
        )
        for _, name, to, message in due:
            if to in self.down or (name, to) in self.cut_links or self.random.random() < loss:
                continue
            for _ in range(2 if self.random.random() < duplicate else 1):
                self.nodes[to].receive(self.now, name, message)
        leaders = [
            self.nodes[name].persistent.lineage
            for name in self.names
            if name not in self.down and self.nodes[name].leadership_guaranteed_until(self.now) > self.now
        ]
        assert len(leaders) == len(set(leaders)), leaders  # at most one voter may grant leases
        for name in self.names:
            if name not in self.down and self.nodes[name].role == "leader":
                persistent = self.nodes[name].persistent
                assert self.leaders.setdefault((persistent.lineage, persistent.term), name) == name

    def carry_out_effects(self, name, limit):
        node = self.nodes[name]
        for _ in range(limit):
            if not node.effects:
                return
            match effect := node.effects.pop(0):
                case WriteRecord(record):
                    self.disks[name].append(record.to_list())
                case Send(to, message):
                    self.in_flight.append((self.now + self.random.uniform(*self.delay), name, to, message))
                case EntryPersisted():
                    node.entry_persisted(effect)
                case Commit(index, entry):
                    assert index == self.applied[name] + 1
                    self.applied[name] = index
                    assert self.committed.setdefault(index, entry) == entry  # one entry per index
                case LoadSnapshot(index, _):
                    self.applied[name] = index

    def leader(self, within=10.0):
        end = self.now + within
        while self.now < end:
            for name in self.names:
                node = self.nodes[name]
                if name not in self.down and node.leadership_guaranteed_until(self.now) > self.now:
                    return node
            self.step()
        raise AssertionError("no leader was elected in time")

    def run_until(self, condition, within=10.0):
        end = self.now + within
        while not condition():
            assert self.now < end, "the condition did not become true in time"
            self.step()


@pytest.mark.parametrize("seed", range(25))
def test_each_log_index_has_one_entry_under_any_faults(seed):
    voters = VoterGroup(seed, slow_disk=True)
    rng, proposed = voters.random, 0
    for _ in range(2500):
        if rng.random() < 0.004 and len(voters.down) < 2:
            voters.crash(rng.choice(voters.names), voters.now + rng.random())
        if rng.random() < 0.01:
            voters.cut_links.add(tuple(rng.sample(voters.names, 2)))
        if rng.random() < 0.02:
            voters.cut_links.clear()
        for name, node in voters.nodes.items():
            if name in voters.down or node.role != "leader":
                continue
            if rng.random() < 0.1:
                try:
                    node.propose(voters.now, str(proposed))
                    proposed += 1
                except BusyError:
                    pass
            if rng.random() < 0.003:
                node.transfer_leadership(
                    voters.now, rng.choice([other for other in voters.names if other != name])
                )
            if rng.random() < 0.01 and node.applied_index:
                node.compact(str(node.applied_index), node.applied_index)
        voters.step(loss=0.02, duplicate=0.02)
    voters.cut_links.clear()
    leader = voters.leader(20)
    index = leader.propose(voters.now, "the last")
    voters.run_until(lambda: not voters.down and all(applied >= index for applied in voters.applied.values()))
    assert len(voters.committed) >= 20


def test_a_partitioned_voter_does_not_replace_a_live_leader():
    """A voter that receives nothing from the leader starts elections. If it won votes, its higher term
    would depose the leader and end the leader's lease early."""
    voters = VoterGroup()
    leader = voters.leader()
    other = next(name for name in voters.names if name != leader.name)
    voters.cut_links |= {(leader.name, other)}
    term = leader.persistent.term
    for _ in range(300):
        voters.step()
    assert leader.role == "leader"
    assert leader.persistent.term == term


def test_a_leader_without_a_majority_loses_its_lease_and_steps_down():
    voters = VoterGroup()
    leader = voters.leader()
    voters.cut_links |= {(a, b) for a in voters.names for b in voters.names if leader.name in (a, b)}
    voters.run_until(lambda: leader.role != "leader", 1.0)
    assert leader.leadership_guaranteed_until(voters.now) == float("-inf")
    with pytest.raises(NotLeaderError):
        leader.propose(voters.now, "x")


def highest_term(voters):
    return max(node.persistent.term for node in voters.nodes.values())


def test_a_voter_with_a_higher_term_and_one_with_a_longer_log_elect_a_leader():
    """One voter has a higher term but lacks an entry that the second has; the third is down. Without the term
    in a denied pre-vote, the two would never elect a leader."""
    voters = VoterGroup(11)
    voters.leader()
    for name, extra_entries, vote_term in (("a", 0, 2), ("b", 1, 0), ("c", 0, 0)):
        disk = [
            ("snapshot", 0, 0, 0, json.dumps(dict.fromkeys(voters.names, "")), ""),
            ("vote", 0, 1, "c"),
            ("entry", 1, 1, "first", ""),
        ]
        disk += [("entry", 2, 1, "command", "x")] * extra_entries + [("vote", 0, vote_term, "a")] * bool(
            vote_term
        )
        voters.disks[name] = disk
        voters.boot(name)
    voters.in_flight, voters.committed, voters.leaders, voters.applied = (
        [],
        {},
        {},
        dict.fromkeys(voters.names, 0),
    )
    voters.crash("c", float("inf"))
    assert voters.leader().name == "b"


def test_late_responses_do_not_depose_the_leader(delay=(0.12, 0.16)):
    """On an overloaded machine responses are late; an election would add to the load."""
    voters = VoterGroup(9)
    voters.delay = delay
    voters.leader(20)
    before, end = highest_term(voters), voters.now + 30
    while voters.now < end:
        voters.step()
    assert highest_term(voters) <= before + 1


def test_paused_voters_handle_unread_messages_before_timeouts_fire():
    voters = VoterGroup(10)
    leader = voters.leader()
    before = highest_term(voters)
    for _ in range(5):
        voters.now += 1.5  # no voter ran during this time
        end = voters.now + 2.0
        while voters.now < end:
            voters.step()
    assert (highest_term(voters), voters.leader()) == (before, leader)
    for name in voters.names:  # a leader that is really isolated still steps down
        voters.cut_links |= {(name, other) for other in voters.names}
    voters.now += 1.5
    voters.run_until(lambda: leader.role != "leader", 1.5)


def test_a_transfer_that_times_out_ends_the_lease_and_the_leadership():
    """After a transfer without effect, a late TimeoutNow may still start an election in a new term."""
    voters = VoterGroup()
    leader = voters.leader()
    other = next(name for name in voters.names if name != leader.name)
    voters.down[other] = float("inf")
    leader.transfer_leadership(voters.now, other)
    voters.step()
    assert leader.leadership_guaranteed_until(voters.now) == float("-inf")
    voters.run_until(lambda: leader.role != "leader", 1.0)


def test_leadership_is_transferred():
    voters = VoterGroup()
    leader = voters.leader()
    other = next(name for name in voters.names if name != leader.name)
    leader.transfer_leadership(voters.now, other)
    voters.run_until(lambda: voters.nodes[other].role == "leader", 1.0)
    with pytest.raises(ValueError, match="no other voter"):
        voters.nodes[other].transfer_leadership(voters.now, "nobody")


def commit_commands(voters, count, start=0):
    for n in range(start, start + count):
        index = voters.leader().propose(voters.now, str(n))
        voters.run_until(lambda index=index: index in voters.committed)
    return index


def test_a_voter_far_behind_gets_a_snapshot():
    voters = VoterGroup()
    behind = next(name for name in voters.names if name != voters.leader().name)
    voters.down[behind] = float("inf")
    index = commit_commands(voters, 5)
    leader = voters.leader()
    leader.compact("all of it", index)
    assert not leader.persistent.entries
    voters.down[behind] = voters.now
    voters.run_until(lambda: voters.applied[behind] >= index)
    assert voters.nodes[behind].persistent.snapshot_state == "all of it"


def test_a_voter_whose_store_lost_its_tail_stops_voting():
    """The lost records may include a vote or an acknowledged entry; a further vote of this voter could undo
    committed entries."""
    voters = VoterGroup()
    leader = voters.leader()
    damaged = next(name for name in voters.names if name != leader.name)
    commit_commands(voters, 3)
    voters.crash(damaged, voters.now + 0.1)
    del voters.disks[damaged][-2:]
    voters.run_until(lambda: damaged not in voters.down)
    voters.run_until(lambda: voters.nodes[damaged].lost_reason)
    assert "lost its end" in voters.nodes[damaged].lost_reason
    voters.crash(leader.name, float("inf"))
    for _ in range(400):
        voters.step()
    assert voters.nodes[damaged].role == "follower"  # no majority is left
    voters.crash(damaged, voters.now + 0.1)
    voters.run_until(lambda: damaged not in voters.down)
    assert voters.nodes[damaged].lost_reason  # the mark is on the disk


def test_voters_are_added_and_removed_one_at_a_time():
    voters = VoterGroup()
    leader = voters.leader()
    with pytest.raises(ValueError, match="one at a time"):
        leader.change_voters(voters.now, {"a": "", "x": "", "y": "", "b": "", "c": ""})
    voters.names.append("d")
    voters.disks["d"] = []
    voters.nodes["d"] = Raft("d", PersistentState(), Timing(), voters.random, voters.now)
    voters.applied["d"] = 0
    index = leader.change_voters(voters.now, {**leader.voters, "d": ""})
    with pytest.raises(BusyError, match="not decided"):
        leader.change_voters(voters.now, {name: "" for name in voters.names if name != "a"})
    voters.run_until(lambda: voters.applied["d"] >= index)
    assert voters.nodes["d"].can_vote
    removed = next(name for name in voters.names if name != voters.leader().name)
    index = voters.leader().change_voters(
        voters.now, {name: "" for name in voters.leader().voters if name != removed}
    )
    voters.run_until(lambda: index in voters.committed)
    assert removed not in voters.leader().voters


def test_a_removed_leader_commits_its_removal_and_steps_down():
    voters = VoterGroup()
    leader = voters.leader()
    index = leader.change_voters(voters.now, {name: "" for name in voters.names if name != leader.name})
    voters.run_until(lambda: index in voters.committed)
    voters.run_until(lambda: leader.role == "follower")
    assert voters.leader() is not leader


def test_a_manual_recovery_voids_the_voters_left_behind():
    voters = VoterGroup()
    commit_commands(voters, 3)
    survivor = next(node for name, node in voters.nodes.items() if node.role == "follower")
    others = [name for name in voters.names if name != survivor.name]
    for name in others:
        voters.crash(name, float("inf"))
    survivor.recover(voters.now, "here:1")
    voters.run_until(lambda: survivor.leadership_guaranteed_until(voters.now) > voters.now)
    assert list(survivor.voters) == [survivor.name]
    for name in others:  # the lost voters return; they must not take part in decisions
        voters.down[name] = voters.now
    voters.nodes[others[0]].handle_link_up(survivor.name)
    voters.nodes[others[1]].handle_link_up(survivor.name)
    # The lost voters learn of the recovery and stop voting.
    voters.run_until(lambda: all(voters.nodes[name].lost_reason for name in others))
    assert survivor.role == "leader"
    index = survivor.change_voters(voters.now, {**survivor.voters, others[0]: ""})
    voters.run_until(lambda: voters.nodes[others[0]].persistent.lineage == 1)
    voters.run_until(lambda: voters.nodes[others[0]].applied_index >= index)
    assert voters.nodes[others[0]].can_vote


def handle_request_without_vote_record(self, now, name, request, real=Election.handle_request):
    """Forgets an earlier vote, so that a voter grants more than one vote per term."""
    self._state.persistent.voted_for = ""
    real(self, now, name, request)


def run_many_seeds():
    for seed in range(40):
        test_each_log_index_has_one_entry_under_any_faults(seed)


@pytest.mark.parametrize(
    "owner, name, replacement, check",
    [
        (VoterState, "is_majority", lambda self, names: bool(names), run_many_seeds),
        (Election, "handle_request", handle_request_without_vote_record, run_many_seeds),
        (
            VoterState,
            "last_leader_contact",
            property(lambda self: float("-inf"), lambda self, value: None),
            test_a_partitioned_voter_does_not_replace_a_live_leader,
        ),
        (
            Replication,
            "quorum_acknowledged_at",
            lambda self, now: now,
            test_a_leader_without_a_majority_loses_its_lease_and_steps_down,
        ),
        (
            VoterState,
            "lost_reason",
            property(lambda self: ""),
            test_a_voter_whose_store_lost_its_tail_stops_voting,
        ),
        (
            Leadership,
            "suspend_timeouts_after_late_tick",
            lambda self, now: None,
            test_paused_voters_handle_unread_messages_before_timeouts_fire,
        ),
    ],
)
def test_disabling_a_guard_fails_its_check(monkeypatch, owner, name, replacement, check):
    """Each guard is necessary: with the guard disabled, the test that covers it fails."""
    monkeypatch.setattr(owner, name, replacement, raising=False)
    with pytest.raises(AssertionError):
        check()


def test_a_short_check_quorum_timeout_causes_repeated_elections(monkeypatch):
    monkeypatch.setattr(leadership, "CHECK_QUORUM_ELECTION_TIMEOUTS", 1.0)
    with pytest.raises(AssertionError):
        test_late_responses_do_not_depose_the_leader()


def test_replaying_compacted_records_gives_the_same_state():
    original = PersistentState()
    for record in (
        ("snapshot", 0, 0, 0, '{"a": ""}', ""),
        ("vote", 0, 1, "a"),
        ("entry", 1, 1, "first", ""),
        ("entry", 2, 1, "command", "x"),
        ("entry", 2, 2, "command", "y"),
        ("lost", "why"),
    ):
        original.apply(record_from_list(list(record)))
    replayed = PersistentState()
    for record in original.records():
        replayed.apply(record)
    assert (
        replayed.term,
        replayed.voted_for,
        replayed.entries,
        replayed.lost_reason,
        replayed.record_count,
        replayed.snapshot_voters,
    ) == (
        original.term,
        original.voted_for,
        original.entries,
        original.lost_reason,
        original.record_count,
        original.snapshot_voters,
    )
    assert replayed.entries[1] == LogEntry(2, "command", "y")
    for bad in (b"[]", b'["entry", 9, 1, "command", "x"]', b'["vote", 1]', b"\xff", b'["what"]', b"7"):
        with pytest.raises(ValueError):
            replayed.apply_encoded(bad)
    assert replication.MAX_ENTRIES_PER_MESSAGE


def test_a_restarted_voter_waits_for_enough_positions_before_it_votes():
    five = ("a", "b", "c", "d", "e")
    guard = RejoinGuard(10.0)
    assert guard.required_log(0.0, "a", five) is None
    guard.record_peer_position("b", 3, LogPosition(2, 7))
    guard.record_peer_position("c", 4, LogPosition(3, 1))
    guard.record_peer_position("z", 9, LogPosition(9, 9))  # not one of the voters
    # A majority that includes this voter may contain neither of the two.
    assert guard.required_log(1.0, "a", five) is None
    guard.record_peer_position("d", 4, LogPosition(1, 50))
    assert guard.required_log(1.0, "a", five) == (3, 1)
    assert guard.required_log(1.0, "a", ("a", "b")) == (2, 7) and guard.required_log(1.0, "a", ("a",)) == (
        0,
        0,
    )
    assert guard.required_log(1.0, "a", ("a", "b", "y")) is None  # of three voters, both others are needed
    assert guard.may_have_voted(1.0, 4) and not guard.may_have_voted(1.0, 10)
    # The time limit has passed.
    assert guard.required_log(10.0, "a", five) == (0, 0) and not guard.may_have_voted(10.0, 4)


def outdated_store_elects_leader():
    """One voter is down while the other two commit an entry. Then the leader crashes, and the follower
    restarts with an older copy of its store. Return whether the two voters that are up elect a leader."""
    voters = VoterGroup(3)
    for _ in range(400):
        voters.step()
    leader = next(name for name in voters.names if voters.nodes[name].role == "leader")
    follower, absent = (name for name in voters.names if name != leader)
    voters.crash(absent, voters.now + 4.0)
    copy = list(voters.disks[follower])
    voters.nodes[leader].propose(voters.now, "decided")
    for _ in range(200):
        voters.step()
    assert len(voters.disks[follower]) > len(copy)
    voters.crash(leader, voters.now + 6.0)
    voters.crash(follower, voters.now + 0.1)
    voters.disks[follower] = copy
    for _ in range(500):
        voters.step()
        if any(voters.nodes[name].role == "leader" for name in (follower, absent) if name not in voters.down):
            return True
    return False


def test_a_voter_with_an_outdated_store_waits_for_other_positions(monkeypatch):
    assert not outdated_store_elects_leader()
    monkeypatch.setattr(RejoinGuard, "required_log", lambda *_: (0, 0))
    assert outdated_store_elects_leader()


def test_a_restarted_voter_asks_for_a_reply_and_a_new_one_does_not():
    """A restarted voter needs the positions of the others at once, but their own links to it may take seconds
    to come up again."""
    voters = VoterGroup(5)
    for _ in range(300):
        voters.step()
    restarted, other = voters.names[:2]
    assert not [effect for effect in voters.nodes[other].effects if isinstance(effect, Send)]
    persistent = PersistentState()
    for record in voters.disks[restarted]:
        persistent.apply_encoded(json.dumps(record).encode())
    voter = Raft(restarted, persistent, Timing(), voters.random, voters.now)
    voter.handle_link_up(other)
    (hello,) = [effect.message for effect in voter.effects]
    assert hello.wants_reply
    voters.nodes[other].receive(voters.now, restarted, hello)
    reply = voters.nodes[other].effects[-1].message
    assert (reply.wants_reply, reply.last_index) == (False, voters.nodes[other].persistent.last_index)
    voters.nodes[other].handle_link_up(restarted)
    assert not voters.nodes[other].effects[-1].message.wants_reply  # it was never down
