"""The voters' log under crashes, lost and doubled words, cut links and late disks: one order, whatever
breaks."""

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


class Voters:
    """Three voters on one clock; `chaos` throws dice for what breaks."""

    def __init__(self, seed=1, names=("a", "b", "c"), slow_disk=False):
        self.random, self.names, self.now, self.slow = Random(seed), list(names), 0.0, slow_disk
        self.delay = 0.0, 0.05  # of a word, at random between the two
        self.disks = {name: [] for name in names}
        self.nodes, self.net, self.down, self.cut = {}, [], {}, set()
        self.decided, self.applied, self.leaders = {}, {}, {}
        for name in self.names:
            self.boot(name)

    def boot(self, name):
        saved = PersistentState()
        for record in self.disks[name]:
            saved.apply_encoded(json.dumps(record).encode())
        node = self.nodes[name] = Raft(name, saved, Timing(), self.random, self.now)
        if not self.disks[name]:
            node.bootstrap(dict.fromkeys(self.names, ""))
        self.applied[name] = saved.snapshot_index
        for other in self.names:
            if other != name and other in self.nodes:
                self.nodes[other].handle_link_up(name)
                node.handle_link_up(other)

    def crash(self, name, back):
        self.down[name] = back
        self.nodes[name].effects.clear()

    def step(self, loss=0.0, double=0.0):
        self.now += 0.01
        for name, back in list(self.down.items()):
            if self.now > back:
                del self.down[name]
                self.boot(name)
        for name in self.names:
            if name not in self.down:
                self.nodes[name].tick(self.now)
                self.carry(name, self.random.randrange(6) if self.slow else 1000)
        due, self.net = (
            [one for one in self.net if one[0] <= self.now],
            [one for one in self.net if one[0] > self.now],
        )
        for _, name, to, message in due:
            if to in self.down or (name, to) in self.cut or self.random.random() < loss:
                continue
            for _ in range(2 if self.random.random() < double else 1):
                self.nodes[to].receive(self.now, name, message)
        leaders = [
            self.nodes[name].persistent.lineage
            for name in self.names
            if name not in self.down and self.nodes[name].leadership_guaranteed_until(self.now) > self.now
        ]
        assert len(leaders) == len(set(leaders)), leaders  # two that could both grant leases
        for name in self.names:
            if name not in self.down and self.nodes[name].role == "leader":
                saved = self.nodes[name].persistent
                assert self.leaders.setdefault((saved.lineage, saved.term), name) == name

    def carry(self, name, most):
        node = self.nodes[name]
        for _ in range(most):
            if not node.effects:
                return
            match effect := node.effects.pop(0):
                case WriteRecord(record):
                    self.disks[name].append(record.to_list())
                case Send(to, message):
                    self.net.append((self.now + self.random.uniform(*self.delay), name, to, message))
                case EntryPersisted():
                    node.entry_persisted(effect)
                case Commit(index, entry):
                    assert index == self.applied[name] + 1
                    self.applied[name] = index
                    assert self.decided.setdefault(index, entry) == entry  # one value a number
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
        raise AssertionError("nobody leads")

    def until(self, done, within=10.0):
        end = self.now + within
        while not done():
            assert self.now < end, "not within its time"
            self.step()


@pytest.mark.parametrize("seed", range(25))
def test_every_number_has_one_value_whatever_breaks(seed):
    voters = Voters(seed, slow_disk=True)
    rnd, given = voters.random, 0
    for _ in range(2500):
        if rnd.random() < 0.004 and len(voters.down) < 2:
            voters.crash(rnd.choice(voters.names), voters.now + rnd.random())
        if rnd.random() < 0.01:
            voters.cut.add(tuple(rnd.sample(voters.names, 2)))
        if rnd.random() < 0.02:
            voters.cut.clear()
        for name, node in voters.nodes.items():
            if name in voters.down or node.role != "leader":
                continue
            if rnd.random() < 0.1:
                try:
                    node.propose(voters.now, str(given))
                    given += 1
                except BusyError:
                    pass
            if rnd.random() < 0.003:
                node.transfer_leadership(voters.now, rnd.choice([one for one in voters.names if one != name]))
            if rnd.random() < 0.01 and node.applied_index:
                node.compact(str(node.applied_index), node.applied_index)
        voters.step(loss=0.02, double=0.02)
    voters.cut.clear()
    leader = voters.leader(20)
    index = leader.propose(voters.now, "the last")
    voters.until(lambda: not voters.down and all(at >= index for at in voters.applied.values()))
    assert len(voters.decided) >= 20


def test_nobody_is_elected_while_a_leader_is_received():
    """A voter that can't hear the leader, and comes back with a higher term, would end its promises."""
    voters = Voters()
    leader = voters.leader()
    other = next(name for name in voters.names if name != leader.name)
    voters.cut |= {(leader.name, other)}
    term = leader.persistent.term
    for _ in range(300):
        voters.step()
    assert leader.role == "leader"
    assert leader.persistent.term == term


def test_a_leader_without_a_majority_promises_nothing_and_steps_down():
    voters = Voters()
    leader = voters.leader()
    voters.cut |= {(a, b) for a in voters.names for b in voters.names if leader.name in (a, b)}
    voters.until(lambda: leader.role != "leader", 1.0)
    assert leader.leadership_guaranteed_until(voters.now) == float("-inf")
    with pytest.raises(NotLeaderError):
        leader.propose(voters.now, "x")


def terms(voters):
    return max(node.persistent.term for node in voters.nodes.values())


def test_one_that_stood_once_and_one_that_has_more_entries_elect():
    """The third is away: the first has the higher term and lacks an entry that the second has."""
    voters = Voters(11)
    voters.leader()
    for name, more, vote in (("a", 0, 2), ("b", 1, 0), ("c", 0, 0)):
        disk = [
            ("snapshot", 0, 0, 0, json.dumps(dict.fromkeys(voters.names, "")), ""),
            ("vote", 0, 1, "c"),
            ("entry", 1, 1, "first", ""),
        ]
        disk += [("entry", 2, 1, "command", "x")] * more + [("vote", 0, vote, "a")] * bool(vote)
        voters.disks[name] = disk
        voters.boot(name)
    voters.net, voters.decided, voters.leaders, voters.applied = [], {}, {}, dict.fromkeys(voters.names, 0)
    voters.crash("c", float("inf"))
    assert voters.leader().name == "b"


def test_a_leader_lasts_where_answers_are_late(delay=(0.12, 0.16)):
    """As on a machine with too much to do: an election more would be more to do still."""
    voters = Voters(9)
    voters.delay = delay
    voters.leader(20)
    before, end = terms(voters), voters.now + 30
    while voters.now < end:
        voters.step()
    assert terms(voters) <= before + 1


def test_voters_that_were_held_up_receive_what_waits_before_they_judge():
    voters = Voters(10)
    leader = voters.leader()
    before = terms(voters)
    for _ in range(5):
        voters.now += 1.5  # nobody ran
        end = voters.now + 2.0
        while voters.now < end:
            voters.step()
    assert (terms(voters), voters.leader()) == (before, leader)
    for name in voters.names:  # and one that is really alone is not forgiven without end
        voters.cut |= {(name, other) for other in voters.names}
    voters.now += 1.5
    voters.until(lambda: leader.role != "leader", 1.5)


def test_a_hand_over_that_comes_late_finds_no_leader_that_still_promises():
    """Guards a leader that handed over in vain: the word may still arrive, and begin another term."""
    voters = Voters()
    leader = voters.leader()
    other = next(name for name in voters.names if name != leader.name)
    voters.down[other] = float("inf")
    leader.transfer_leadership(voters.now, other)
    voters.step()
    assert leader.leadership_guaranteed_until(voters.now) == float("-inf")
    voters.until(lambda: leader.role != "leader", 1.0)


def test_leadership_is_handed_over():
    voters = Voters()
    leader = voters.leader()
    other = next(name for name in voters.names if name != leader.name)
    leader.transfer_leadership(voters.now, other)
    voters.until(lambda: voters.nodes[other].role == "leader", 1.0)
    with pytest.raises(ValueError, match="no other voter"):
        voters.nodes[other].transfer_leadership(voters.now, "nobody")


def decide(voters, count, start=0):
    for n in range(start, start + count):
        index = voters.leader().propose(voters.now, str(n))
        voters.until(lambda index=index: index in voters.decided)
    return index


def test_a_voter_far_behind_gets_a_snapshot():
    voters = Voters()
    behind = next(name for name in voters.names if name != voters.leader().name)
    voters.down[behind] = float("inf")
    index = decide(voters, 5)
    leader = voters.leader()
    leader.compact("all of it", index)
    assert not leader.persistent.entries
    voters.down[behind] = voters.now
    voters.until(lambda: voters.applied[behind] >= index)
    assert voters.nodes[behind].persistent.snapshot_state == "all of it"


def test_a_store_that_lost_its_end_votes_no_more():
    """It may have voted, or confirmed an entry, that it knows nothing of: its vote could undo what is
    decided."""
    voters = Voters()
    leader = voters.leader()
    loser = next(name for name in voters.names if name != leader.name)
    decide(voters, 3)
    voters.crash(loser, voters.now + 0.1)
    del voters.disks[loser][-2:]
    voters.until(lambda: loser not in voters.down)
    voters.until(lambda: voters.nodes[loser].lost_reason)
    assert "lost its end" in voters.nodes[loser].lost_reason
    voters.crash(leader.name, float("inf"))
    for _ in range(400):
        voters.step()
    assert voters.nodes[loser].role == "follower"  # two of three are not there: nobody decides
    voters.crash(loser, voters.now + 0.1)
    voters.until(lambda: loser not in voters.down)
    assert voters.nodes[loser].lost_reason  # it is kept on the disk


def test_voters_come_and_go_one_at_a_time():
    voters = Voters()
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
    voters.until(lambda: voters.applied["d"] >= index)
    assert voters.nodes["d"].can_vote
    gone = next(name for name in voters.names if name != voters.leader().name)
    index = voters.leader().change_voters(
        voters.now, {name: "" for name in voters.leader().voters if name != gone}
    )
    voters.until(lambda: index in voters.decided)
    assert gone not in voters.leader().voters


def test_a_leader_that_is_removed_decides_that_and_goes():
    voters = Voters()
    leader = voters.leader()
    index = leader.change_voters(voters.now, {name: "" for name in voters.names if name != leader.name})
    voters.until(lambda: index in voters.decided)
    voters.until(lambda: leader.role == "follower")
    assert voters.leader() is not leader


def test_one_goes_on_alone_by_hand_and_those_left_behind_are_void():
    voters = Voters()
    decide(voters, 3)
    survivor = next(node for name, node in voters.nodes.items() if node.role == "follower")
    others = [name for name in voters.names if name != survivor.name]
    for name in others:
        voters.crash(name, float("inf"))
    survivor.recover(voters.now, "here:1")
    voters.until(lambda: survivor.leadership_guaranteed_until(voters.now) > voters.now)
    assert list(survivor.voters) == [survivor.name]
    for name in others:  # the lost ones come back after all: nobody hears them, and they can't decide
        voters.down[name] = voters.now
    voters.nodes[others[0]].handle_link_up(survivor.name)
    voters.nodes[others[1]].handle_link_up(survivor.name)
    voters.until(lambda: all(voters.nodes[name].lost_reason for name in others))  # they hear of it, and stop
    assert survivor.role == "leader"
    index = survivor.change_voters(voters.now, {**survivor.voters, others[0]: ""})
    voters.until(lambda: voters.nodes[others[0]].persistent.lineage == 1)
    voters.until(lambda: voters.nodes[others[0]].applied_index >= index)
    assert voters.nodes[others[0]].can_vote


def forgetful(self, now, who, ask, real=Election.handle_request):
    self._state.persistent.voted_for = ""
    real(self, now, who, ask)


def many_seeds():
    for seed in range(40):
        test_every_number_has_one_value_whatever_breaks(seed)


@pytest.mark.parametrize(
    "owner, name, put, check",
    [
        (VoterState, "is_majority", lambda self, names: bool(names), many_seeds),
        (Election, "handle_request", forgetful, many_seeds),  # more than one vote a term
        (
            VoterState,
            "last_leader_contact",
            property(lambda self: float("-inf"), lambda self, value: None),
            test_nobody_is_elected_while_a_leader_is_received,
        ),
        (
            Replication,
            "quorum_acknowledged_at",
            lambda self, now: now,
            test_a_leader_without_a_majority_promises_nothing_and_steps_down,
        ),
        (VoterState, "lost_reason", property(lambda self: ""), test_a_store_that_lost_its_end_votes_no_more),
        (
            Leadership,
            "suspend_timeouts_after_late_tick",
            lambda self, now: None,
            test_voters_that_were_held_up_receive_what_waits_before_they_judge,
        ),
    ],
)
def test_without_a_guard_a_check_complains(monkeypatch, owner, name, put, check):
    """Each guard taken out breaks a promise, and the checks above do find that."""
    monkeypatch.setattr(owner, name, put, raising=False)
    with pytest.raises(AssertionError):
        check()


def test_without_patience_late_answers_bring_one_election_after_another(monkeypatch):
    monkeypatch.setattr(leadership, "CHECK_QUORUM_ELECTION_TIMEOUTS", 1.0)
    with pytest.raises(AssertionError):
        test_a_leader_lasts_where_answers_are_late()


def test_saved_records_fold_to_the_same():
    saved = PersistentState()
    for word in (
        ("snapshot", 0, 0, 0, '{"a": ""}', ""),
        ("vote", 0, 1, "a"),
        ("entry", 1, 1, "first", ""),
        ("entry", 2, 1, "command", "x"),
        ("entry", 2, 2, "command", "y"),
        ("lost", "why"),
    ):
        saved.apply(record_from_list(list(word)))
    again = PersistentState()
    for record in saved.records():
        again.apply(record)
    assert (
        again.term,
        again.voted_for,
        again.entries,
        again.lost_reason,
        again.record_count,
        again.snapshot_voters,
    ) == (
        saved.term,
        saved.voted_for,
        saved.entries,
        saved.lost_reason,
        saved.record_count,
        saved.snapshot_voters,
    )
    assert again.entries[1] == LogEntry(2, "command", "y")
    for bad in (b"[]", b'["entry", 9, 1, "command", "x"]', b'["vote", 1]', b"\xff", b'["what"]', b"7"):
        with pytest.raises(ValueError):
            again.apply_encoded(bad)
    assert replication.MAX_ENTRIES_PER_MESSAGE


def test_a_voter_that_comes_back_receives_from_enough_others_before_it_votes():
    five = ("a", "b", "c", "d", "e")
    one = RejoinGuard(10.0)
    assert one.required_log(0.0, "a", five) is None
    one.record_peer_position("b", 3, LogPosition(2, 7))
    one.record_peer_position("c", 4, LogPosition(3, 1))
    one.record_peer_position("z", 9, LogPosition(9, 9))  # no voter of ours
    assert one.required_log(1.0, "a", five) is None  # two others may be a majority's that did not count it
    one.record_peer_position("d", 4, LogPosition(1, 50))
    assert one.required_log(1.0, "a", five) == (3, 1)
    assert one.required_log(1.0, "a", ("a", "b")) == (2, 7) and one.required_log(1.0, "a", ("a",)) == (0, 0)
    assert one.required_log(1.0, "a", ("a", "b", "y")) is None  # of three, both
    assert one.may_have_voted(1.0, 4) and not one.may_have_voted(1.0, 10)
    assert one.required_log(10.0, "a", five) == (0, 0) and not one.may_have_voted(
        10.0, 4
    )  # it has waited for long enough


def older_copy_votes():
    """c is down, a leads with b; a dies, and b comes back with what it held before: whether b and c elect."""
    voters = Voters(3)
    for _ in range(400):
        voters.step()
    lead = next(name for name in voters.names if voters.nodes[name].role == "leader")
    older, away = (name for name in voters.names if name != lead)
    voters.crash(away, voters.now + 4.0)
    copy = list(voters.disks[older])
    voters.nodes[lead].propose(voters.now, "decided")
    for _ in range(200):
        voters.step()
    assert len(voters.disks[older]) > len(copy)
    voters.crash(lead, voters.now + 6.0)
    voters.crash(older, voters.now + 0.1)
    voters.disks[older] = copy
    for _ in range(500):
        voters.step()
        if any(voters.nodes[name].role == "leader" for name in (older, away) if name not in voters.down):
            return True
    return False


def test_an_older_copy_waits_for_those_who_could_report(monkeypatch):
    assert not older_copy_votes()
    monkeypatch.setattr(RejoinGuard, "required_log", lambda *_: (0, 0))
    assert older_copy_votes()


def test_who_comes_back_is_answered_at_once_and_who_is_new_asks_nobody():
    """The others' own links to it may take seconds to come up again."""
    voters = Voters(5)
    for _ in range(300):
        voters.step()
    back, other = voters.names[:2]
    assert not [say for say in voters.nodes[other].effects if isinstance(say, Send)]
    saved = PersistentState()
    for record in voters.disks[back]:
        saved.apply_encoded(json.dumps(record).encode())
    one = Raft(back, saved, Timing(), voters.random, voters.now)
    one.handle_link_up(other)
    (asked,) = [say.message for say in one.effects]
    assert asked.wants_reply
    voters.nodes[other].receive(voters.now, back, asked)
    told = voters.nodes[other].effects[-1].message
    assert (told.wants_reply, told.last_index) == (False, voters.nodes[other].persistent.last_index)
    voters.nodes[other].handle_link_up(back)
    assert not voters.nodes[other].effects[-1].message.wants_reply  # it has never been down
