"""Bytes that other processes and other versions read: links, the store, the control address, a snapshot.

What is compared with was recorded from version 0.2.0 and lies under `tests/data/coordination`. It is written
anew only where a format is meant to change: `python -m tests.test_pins_coordination` in the project's root.
"""

import asyncio
import base64
import hashlib
import json
import shutil
import tempfile
from collections import deque
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

import pytest

from weldhatch import config
from weldhatch.cluster.codec import decode, encode
from weldhatch.cluster.control_api import ControlApi
from weldhatch.cluster.node import ClusterNode
from weldhatch.cluster.storage import ClusterRecords, ClusterStore
from weldhatch.consensus.effects import Commit, EntryPersisted, LoadSnapshot, Send, WriteRecord
from weldhatch.consensus.errors import BusyError
from weldhatch.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Hello,
    InstallSnapshot,
    LogEntry,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from weldhatch.consensus.persistent_state import PersistentState
from weldhatch.consensus.raft import Raft
from weldhatch.consensus.voter_state import Timing
from weldhatch.coordination import effects
from weldhatch.coordination.incarnation import Incarnation
from weldhatch.coordination.messages import CommandRequest, CommandResult, LeaseRequest, LeaseResponse
from weldhatch.coordination.node import CoordinationNode
from weldhatch.coordination.node_setup import NodeSetup
from weldhatch.coordination.state_machine import StateMachine
from weldhatch.coordination.timing import LeaseTiming
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Request
from weldhatch.store.log import Log
from weldhatch.zones.failover_rules import FailoverTiming

DATA = Path(__file__).parent / "data" / "coordination"
STEP_S = 0.02
NAMES = ("n0", "n1", "n2", "n3")
VOTERS = NAMES[:3]


def recorded(name):
    return json.loads((DATA / f"{name}.json").read_text())


def tree(most=3, effect="idempotency_key"):
    """Settings as a file has them."""
    return {
        "kinds": ["std"],
        "zones": ["a", "b"],
        "registryMode": "automatic",
        "limits": {"mostTries": 4},
        "stats": {"how": "silent"},
        "extra": {
            "sizeCores": [8],
            "memOfKind": [16.0],
            "spreadOver": ["cell", "silent", "silent"],
            "spreadMost": [most, 0, 0],
        },
        "classes": [
            {"name": "lookup", "effect": "read_like", "aimUs": 1_000_000, "hardLimitUs": 3_000_000},
            {"name": "import", "effect": effect, "aimUs": 1_000_000, "hardLimitUs": 3_000_000},
            {"name": "writer", "effect": "non_idempotent", "aimUs": 1_000_000, "hardLimitUs": 3_000_000},
        ],
    }


# ---- messages on links -----------------------------------------------------------------------------------

REPORT = '{"zone":"a","cut":"no","looks":{"a":["fine",3,0,3],"b":["down",0,9,9,1200]},"refused":0}'
SHARES = '[["b","n0.3.1",1,2,5,7,0.5]]'
MESSAGES = {
    "vote asked": RequestVote(1, 2, 3, 4, True, True, 5, 6),
    "vote asked, as by default": RequestVote(1, 2, 3, 4, False),
    "vote": RequestVoteResponse(1, 2, True, False, 3),
    "entries": AppendEntries(
        1,
        2,
        3,
        4,
        (
            LogEntry(5, "command", '{"do":"join"}'),
            LogEntry(6, "voters", '{"n0": "h:1"}'),
            LogEntry(7, "first"),
        ),
        8,
        9.25,
        10,
        11,
    ),
    "heartbeat": AppendEntries(1, 2, 3, 4, (), 5, 6.5),
    "entries answered": AppendEntriesResponse(1, 2, True, 3, 4.5, 6),
    "entries refused": AppendEntriesResponse(1, 2, False, -1, 4.5),
    "snapshot": InstallSnapshot(1, 2, 3, 4, '{"n0": "h:1"}', '{"index":3}', 5.5),
    "stand now": TimeoutNow(1, 2),
    "greeting": Hello(1, 2, 3, 4, 5, True),
    "greeting of another lineage": Hello(1, 0),
    "lease asked": LeaseRequest(1, "g1", 2, "t", 3.5, 4, "d", 5, "zones: x", True, REPORT),
    "lease asked, as by default": LeaseRequest(1, "g1", 2, "t", 3.5, 4, "d"),
    "lease granted": LeaseResponse(
        1, 2.5, True, "", "", 3, ('{"do":"x"}', ""), "", 5, "d", '{"n0": "h:1"}', SHARES
    ),
    "lease denied": LeaseResponse(1, 2.5, False, "fenced: x", "n2", 0, (), '{"index":3}', 5, "d"),
    "version proposed": CommandRequest("g1-2-t-1", '{"do":"propose","base":1,"tree":{},"why":"w","by":"x"}'),
    "drain reported": CommandRequest(
        "g1-2-t-2", '{"do":"listed","rev":4,"entries":{"s1":"draining"},"by":"g1"}'
    ),
    "zone held": CommandRequest(
        "g1-2-t-3", '{"do":"zone_word","word":"hold","place":"a","why":"w","by":"x"}'
    ),
    "result": CommandResult("g1-2-t-1", '{"ok": true, "number": 2}'),
}


def encoded_messages():
    out = {}
    for name, message in MESSAGES.items():
        stream, data = encode(message)
        out[name] = [stream, base64.b64encode(data).decode()]
    return out


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_has_the_bytes_that_were_recorded_both_ways(name):
    stream, text = recorded("messages")[name]
    assert encode(MESSAGES[name]) == (stream, base64.b64decode(text))
    assert decode(stream, base64.b64decode(text)) == MESSAGES[name]


def test_every_message_that_was_recorded_is_still_looked_at():
    assert list(recorded("messages")) == list(MESSAGES)
    kinds = {(stream, base64.b64decode(text)[1]) for stream, text in recorded("messages").values()}
    assert kinds == {(0, n) for n in range(7)} | {(1, n) for n in range(4)}


# ---- the voters alone ------------------------------------------------------------------------------------


def fields_of(effect):
    return [getattr(effect, name) for name in type(effect).__match_args__]


class Transcript:
    """Everything that processes do, in order: a digest, and the count of each kind."""

    def __init__(self):
        self._hash, self.counts = hashlib.blake2b(digest_size=16), {}

    def add(self, kind, *parts):
        self.counts[kind] = self.counts.get(kind, 0) + 1
        for part in (kind, *parts):
            data = part if isinstance(part, bytes) else json.dumps(part).encode()
            self._hash.update(len(data).to_bytes(4, "big") + data)

    def told(self):
        return {"digest": self._hash.hexdigest(), "counts": dict(sorted(self.counts.items()))}


def record_text(record):
    """A voter's record as it stands in the store, behind its first word."""
    return json.dumps(record.to_list())


class Voters:
    """Four voters, of whom the last joins late, on one clock; dice of one seed say what breaks."""

    def __init__(self, seed):
        self.random, self.now, self.transcript = Random(seed), 0.0, Transcript()
        self.disks, self.nodes = {name: [] for name in NAMES}, {}
        self.older, self.down, self.net = {}, {}, deque()
        for name in NAMES:
            self.boot(name)

    def boot(self, name):
        saved = PersistentState()
        for record in self.disks[name]:
            saved.apply_encoded(record.encode())
        node = self.nodes[name] = Raft(name, saved, Timing(), Random(self.random.getrandbits(32)), self.now)
        if not self.disks[name] and name in VOTERS:
            node.bootstrap({one: f"{one}:1" for one in VOTERS})
        for other in self.nodes:
            if other != name:
                self.nodes[other].handle_link_up(name)
                node.handle_link_up(other)

    def carry(self, name):
        node = self.nodes[name]
        while node.effects:
            effect = node.effects.pop(0)
            match effect:
                case WriteRecord(record):
                    text = record_text(record)
                    self.disks[name].append(text)
                    self.transcript.add(f"record {json.loads(text)[0]}", name, text)
                case Send(to, message):
                    stream, data = encode(message)
                    self.transcript.add(f"message {stream} {data[1]}", name, to, data)
                    self.net.append((name, to, stream, data))
                case EntryPersisted(index, term):
                    self.transcript.add("stored", name, index, term)
                    node.entry_persisted(effect)
                case Commit(index, entry):
                    self.transcript.add("commit", name, index, fields_of(entry))
                case LoadSnapshot(index, state):
                    self.transcript.add("load", name, index, state)

    def step(self):
        self.now += STEP_S
        for name, back in list(self.down.items()):
            if self.now >= back:
                del self.down[name]
                self.boot(name)
        for name, node in self.nodes.items():
            if name not in self.down:
                node.tick(self.now)
                self.carry(name)
        net, self.net = self.net, deque()
        for name, to, stream, data in net:
            fate = self.random.random()
            for _ in range(0 if to in self.down or fate < 0.03 else 2 if fate < 0.06 else 1):
                self.nodes[to].receive(self.now, name, decode(stream, data))
                self.carry(to)

    def play(self, steps):
        rnd = self.random
        for n in range(steps):
            self.step()
            if n == steps // 2:  # one goes on alone, and the others come after it
                self.nodes["n1"].recover(self.now, "n1:1")
            if n % 400 == 0:
                self.older = {name: list(disk) for name, disk in self.disks.items()}
            if rnd.random() < 0.006 and not self.down:
                name = rnd.choice(NAMES)
                self.nodes[name].effects.clear()
                if rnd.random() < 0.2:
                    self.disks[name] = list(self.older[name])
                self.down[name] = self.now + rnd.random()
            for name, node in self.nodes.items():
                if name not in self.down and node.role == "leader":
                    self.lead(node, rnd)
            self.transcript.add(
                "now",
                [(one.role, one.leader, one.commit_index, one.lost_reason) for one in self.nodes.values()],
            )
        return self.transcript.told()

    def lead(self, node, rnd):
        try:
            if rnd.random() < 0.15:
                node.propose(self.now, f"command {rnd.randrange(1000)}")
            if rnd.random() < 0.01:
                voters = {**node.voters, "n3": "n3:1"}
                for name in [rnd.choice(NAMES)] if "n3" in node.voters else ():
                    voters.pop(name, None)
                node.change_voters(self.now, voters)
            if rnd.random() < 0.005 and len(node.voters) > 1:
                node.transfer_leadership(
                    self.now, rnd.choice([one for one in node.voters if one != node.name])
                )
        except (BusyError, ValueError) as fault:
            self.transcript.add("refused", str(fault))
        if rnd.random() < 0.01 and node.applied_index:
            node.compact(f"state {node.applied_index}", node.applied_index)


SEEDS = (1, 2, 3, 4)


@pytest.mark.parametrize("seed", SEEDS)
def test_voters_do_the_same_in_the_same_order(seed):
    assert Voters(seed).play(3000) == recorded("voters")[str(seed)]


# ---- whole processes -------------------------------------------------------------------------------------


@dataclass
class Seat:
    """One process: what it has on its disk, and its clock."""

    name: str
    rate: float
    disk: list[str] = field(default_factory=list)
    epoch: int = 0
    member: CoordinationNode | None = None
    writing: list[str] | None = None
    held: tuple[int, str] = (0, "")

    def now(self, time):
        return 1000.0 + time * self.rate


class Processes:
    """Three voters and one that only asks, all under one seed; zone b fails for a while."""

    def __init__(self, seed):
        self.random, self.time, self.transcript = Random(seed), 0.0, Transcript()
        self.seats = {name: Seat(name, 1 + 0.004 * (n - 1.5)) for n, name in enumerate(NAMES)}
        self.down, self.net = {}, deque()
        for seat in self.seats.values():
            self.boot(seat)

    def boot(self, seat):
        seat.epoch, seat.writing, saved = seat.epoch + 1, None, None
        if seat.name in VOTERS:
            saved = PersistentState()
            for record in seat.disk:
                saved.apply_encoded(record.encode())

        def read(told):
            return replace(config.settings_from_json(told), zone=0)

        seat.member = CoordinationNode(
            NodeSetup(
                Incarnation(seat.name, seat.epoch, f"t{seat.epoch}"),
                LeaseTiming(),
                read,
                lambda settings: "import: not here" if settings.classes[0].spread_most == 13 else "",
                tree(),
                FailoverTiming(quorum=2),
            ),
            Random(self.random.getrandbits(32)),
            seat.now(self.time),
            saved,
            {name: f"{name}:1" for name in VOTERS} if seat.name in VOTERS and not seat.disk else None,
        )
        seat.member.set_zone_observer(lambda now: self.report(seat))
        if seat.held[1]:
            seat.member.lease_holder.restore(seat.held[1], seat.held[0])
        for other in self.seats.values():
            if other.member is not None and other is not seat:
                if other.name in VOTERS:
                    seat.member.peer_up(seat.now(self.time), other.name)
                if seat.name in VOTERS:
                    other.member.peer_up(other.now(self.time), seat.name)

    def report(self, seat):
        down = 6.0 < self.time < 12.0
        sent = int(self.time * 10)
        return json.dumps(
            {
                "zone": "a",
                "cut": "no",
                "looks": {"a": ["fine", 9, 0, 9], "b": ["down", 0, 9, 9, 300] if down else ["fine", 9, 0, 9]},
                "stands": {"a": 8.0, "b": 8.0},
                "rates": {"lookup": 3.5, "import": 1.0},
                "size": {"a": 72.0, "b": 72.0},
                "refused": 0,
                "starts": {"b": [sent, sent, 0]},
            }
        )

    def carry(self, seat):
        for effect in seat.member.take_effects():
            match effect:
                case effects.WriteRecords(records):
                    seat.writing = [record_text(record) for record in records]
                    self.transcript.add("write", seat.name, seat.writing)
                case effects.Send(to, word):
                    stream, data = encode(word)
                    self.transcript.add(f"message {stream} {data[1]}", seat.name, to, data)
                    self.net.append((seat.name, to, stream, data))
                case effects.SaveState(lineage, state):
                    seat.held = lineage, state
                    self.transcript.add("hold", seat.name, lineage, state)
                case effects.ConnectVoters(voters):
                    self.transcript.add("reach", seat.name, voters)
                case effects.CommandCompleted(id, result):
                    self.transcript.add("result", seat.name, id, result)
                case effects.LogEvent(name, fields):
                    self.transcript.add(f"event {name}", seat.name, fields)
                case effects.QuotaReceived(shares, asked):
                    self.transcript.add("shares", seat.name, shares, asked)

    def step(self):
        self.time += STEP_S
        for name, back in list(self.down.items()):
            if self.time >= back:
                del self.down[name]
                self.boot(self.seats[name])
        for seat in self.seats.values():
            if seat.name not in self.down:
                if seat.writing is not None:
                    seat.disk += seat.writing
                    seat.writing = None
                    seat.member.records_written(seat.now(self.time))
                seat.member.tick(seat.now(self.time))
                self.carry(seat)
        net, self.net = self.net, deque()
        for name, to, stream, data in net:
            fate = self.random.random()
            seat = self.seats[to]
            for _ in range(0 if to in self.down or fate < 0.02 else 2 if fate < 0.04 else 1):
                seat.member.receive(seat.now(self.time), name, decode(stream, data))
                self.carry(seat)

    def play(self, steps, crashes):
        given = commands()
        for n in range(steps):
            self.step()
            if n in given:
                name, command = given[n]
                if name not in self.down:
                    seat = self.seats[name]
                    seat.member.submit(seat.now(self.time), f"c{n}", command)
                    self.carry(seat)
            if n == steps - 200 and "n2" not in self.down:
                seat = self.seats["n2"]
                result = seat.member.recover(seat.now(self.time), "n2:1", "x", "burnt", 5.5)
                self.transcript.add("recovered", result)
                self.carry(seat)
            if crashes and n % 150 == 120 and not self.down:
                name = self.random.choice(NAMES)
                self.seats[name].member, self.seats[name].writing = None, None
                self.down[name] = self.time + 0.5
            if n % 25 == 0:
                for seat in self.seats.values():
                    if seat.member is not None:
                        now = seat.now(self.time)
                        cls = config.settings_from_json(tree()).classes[1]
                        self.transcript.add("status", seat.member.status(now))
                        self.transcript.add("seen by the leader", seat.member.leader_status(now))
                        self.transcript.add(
                            "refusal", seat.member.lease_holder.refusal_reason(now, cls, "m1", 3)
                        )
        return self.transcript.told()


def commands():
    """By step: whom it is given to, and what."""

    def propose(base, **changes):
        return {"do": "propose", "base": base, "tree": tree(**changes), "why": "w", "by": "x", "despite": []}

    listed = {"do": "listed", "rev": 3, "by": "n3"}
    word = {"do": "word", "machine": "m1", "op": "x"}
    return {
        60: ("n3", propose(1, most=5)),
        62: ("n0", propose(1, most=2)),
        110: ("n1", propose(2, effect="read_like")),
        150: ("n2", propose(3, most=13)),
        170: ("n0", {**propose(3, most=13), "despite": ["n3", "n0"]}),
        180: ("n0", {"do": "drop", "number": 5, "why": "w"}),
        190: ("n1", {**word, "state": "draining", "fence": 1}),
        200: ("n3", {**listed, "entries": {"m1": "draining", "m2": "gone"}}),
        210: ("n2", {**listed, "entries": {"m1": "ready"}, "by": "n2"}),
        220: ("n1", {**word, "state": "ready", "fence": 2}),
        230: ("n1", {**word, "state": "off", "fence": 1}),
        240: ("n0", {"do": "voters", "add": {"n3": "n3:1"}}),
        260: ("n0", {"do": "voters", "remove": ["n3"]}),
        270: ("n0", {"do": "voters", "remove": ["n1", "n2"]}),
        280: ("n3", {"do": "hand", "to": "n2"}),
        282: ("n3", {"do": "hand", "to": "nobody"}),
        290: ("n3", {"do": "status"}),
        400: ("n1", {"do": "fence", "place": "b", "keys": ["k1", "k2"], "by": "n1"}),
        700: ("n1", {"do": "zone_word", "word": "hold", "place": "b", "why": "w", "by": "x", "at": 3}),
        720: ("n1", {"do": "zone_word", "word": "release", "place": "b", "why": "w", "by": "x", "at": 4}),
        900: ("n0", {"do": "zone_word", "word": "leave", "place": "b", "why": "w", "by": "x", "at": 5}),
        1000: ("n0", {"do": "zone_word", "word": "return", "place": "b", "why": "w", "by": "x", "at": 6}),
        1010: ("n0", {"do": "zone_word", "word": "leave", "place": "c", "why": "w", "by": "x", "at": 6}),
    }


PLAYS = {"calm": (1, False), "crashes, seed 2": (2, True), "crashes, seed 3": (3, True)}


@pytest.mark.parametrize("name", PLAYS)
def test_processes_do_the_same_in_the_same_order(name):
    seed, crashes = PLAYS[name]
    assert Processes(seed).play(1400, crashes) == recorded("processes")[name]


# ---- the store -------------------------------------------------------------------------------------------

RECORDS = [  # as a voter of version 0.2.0 wrote them, with every kind of record
    '["begins", 1, "t1"]',
    '["raft", "snapshot", 0, 0, 0, "{\\"g1\\": \\"h:1\\", \\"g2\\": \\"h:2\\"}", ""]',
    '["met", "g2", 7, "t7"]',
    '["raft", "vote", 0, 1, "g1"]',
    '["raft", "entry", 1, 1, "first", ""]',
    '["raft", "entry", 2, 1, "command", "{\\"do\\":\\"join\\"}"]',
    '["raft", "entry", 3, 1, "voters", "{\\"g1\\": \\"h:1\\"}"]',
    '["held", 0, "{\\"index\\":2}"]',
    '["raft", "snapshot", 0, 2, 1, "{\\"g1\\": \\"h:1\\", \\"g2\\": \\"h:2\\"}", "{\\"index\\":2}"]',
    '["raft", "lost", "an older copy"]',
    '["raft", "writes", 9]',
    '["raft", "vote", 1, 2, ""]',
]
FOLDED = [
    '["begins", 1, "t1"]',
    '["met", "g2", 7, "t7"]',
    '["held", 0, "{\\"index\\":2}"]',
    '["raft","writes", 6]',
    '["raft","vote", 1, 2, ""]',
    '["raft","snapshot", 1, 2, 1, "{\\"g1\\": \\"h:1\\", \\"g2\\": \\"h:2\\"}", "{\\"index\\":2}"]',
    '["raft","lost", "an older copy"]',
    '["raft","entry", 3, 1, "voters", "{\\"g1\\": \\"h:1\\"}"]',
]


def test_records_of_every_kind_fold_to_the_least_that_say_the_same():
    fold = ClusterRecords()
    for record in RECORDS:
        fold.apply(record.encode())
    assert [record.decode() for record in fold.snapshot_records()] == FOLDED
    assert fold.snapshot_size == 2 + 1 + 3 + 1


@pytest.mark.parametrize(
    "bad", ["{}", "[]", '["held", 1]', '["raft"]', '["raft", "vote", 1]', '["raft", "what", 1]', "[[1]]"]
)
def test_a_record_of_no_kind_is_an_error(bad):
    with pytest.raises(ValueError):
        ClusterRecords().apply(bad.encode())


def play_store(folder):
    """One run on a store: what it finds, and then more of everything."""

    async def run():
        store = ClusterStore(str(folder), 0.0, print)
        found = {
            "fresh": store.is_fresh,
            "epoch": store.epoch,
            "held": [store.lineage, store.state],
            "met": list(store.known_epoch("g2")),
            "saved": [record_text(record) for record in store.persistent.records()],
        }
        raft = Raft("g1", store.persistent, Timing(), Random(store.epoch), 0.0)
        if store.is_fresh:
            raft.bootstrap({"g1": "h:1"})
        for n in range(5000):
            raft.tick(0.02 * n)
        if store.epoch > 1:
            raft.recover(103.0, "h:1")
        for text in ("one", "two"):
            raft.propose(103.0, text)
        for effect in [one for one in raft.effects if isinstance(one, EntryPersisted)]:
            raft.entry_persisted(effect)
        if store.epoch == 1:
            raft.change_voters(103.0, {"g1": "h:1", "g2": "h:2"})
        await store.write(
            [fields_of(effect)[0] for effect in raft.effects if isinstance(effect, WriteRecord)]
        )
        await store.record_epoch("g2", store.epoch + 4, "t5")
        store.save_state(0, json.dumps({"index": 10 * store.epoch}))
        await store.flush()
        store.close()
        return found

    found = asyncio.run(run())
    records = [record.decode() for record in Log(folder / "agreement.log").recovered_records()]
    token = '"begins", '  # what follows is the epoch and a token that is drawn anew
    return found, [one[: one.rindex(",")] if token in one else one for one in records]


def as_written(folder):
    play_store(folder)


def cut_down(folder):
    """The least records that say the same, as a store has them that has grown long."""
    play_store(folder)
    play_store(folder)
    fold, log = ClusterRecords(), Log(folder / "agreement.log")
    for record in log.recovered_records():
        fold.apply(record)
    log.rewrite(fold.snapshot_records())


STORES = {"store_as_written": as_written, "store_cut_down": cut_down}


@pytest.mark.parametrize("name", STORES)
def test_a_store_of_version_0_2_0_is_read_and_gone_on_with(name, tmp_path):
    shutil.copytree(DATA / name, tmp_path / "store")
    found, records = play_store(tmp_path / "store")
    assert recorded(name) == {"found": found, "records": records}


@pytest.mark.parametrize("name", STORES)
def test_a_new_store_holds_the_bytes_that_were_recorded(name, tmp_path):
    STORES[name](tmp_path)
    of_version = list(Log(DATA / name / "agreement.log").recovered_records())
    mine = list(Log(tmp_path / "agreement.log").recovered_records())
    assert [without_token(one) for one in mine] == [without_token(one) for one in of_version]


def without_token(record):
    return record[: record.rindex(b",")] if record.startswith(b'["begins"') else record


# ---- the state of the group ------------------------------------------------------------------------------

STATE_COMMANDS = [
    {"do": "join", "name": "g1", "epoch": 2, "token": "t2", "id": "join-g1"},
    {"do": "join", "name": "g2", "epoch": 1, "token": "t1"},
    {"do": "join", "name": "g1", "epoch": 1, "token": "t0"},
    None,
    {"do": "propose", "base": 0, "tree": tree(), "why": "first", "by": "g1", "id": "first"},
    {"do": "propose", "base": 0, "tree": tree(), "why": "busy", "by": "g1", "despite": ["g2"]},
    {"do": "activate", "number": 1, "id": "activate-1"},
    {"do": "activate", "number": 1},
    {"do": "propose", "base": 0, "tree": tree(most=1), "why": "moved", "by": "g2", "id": "moved"},
    {"do": "propose", "base": 1, "tree": tree(most=2), "why": "w", "by": "g2", "despite": ["g2"]},
    {"do": "drop", "number": 2, "why": "no"},
    {"do": "drop", "number": 2, "why": "no"},
    {"do": "propose", "base": 1, "tree": tree(most=2), "why": "w", "by": "g2", "despite": ["g2"]},
    {"do": "word", "machine": "m1", "state": "draining", "fence": 2, "op": "o1"},
    {"do": "word", "machine": "m1", "state": "ready", "fence": 3, "op": "o2"},
    {"do": "word", "machine": "m1", "state": "off", "fence": 1, "op": "o3"},
    {"do": "word", "machine": "m2", "state": "off", "fence": 1, "op": "o4"},
    {"do": "settled", "rev": 1},
    {"do": "listed", "rev": 4, "entries": {"s1": "draining", "s2": "gone", "s3": "ready"}, "by": "g1"},
    {"do": "listed", "rev": 4, "entries": {"s1": "ready"}, "by": "g2"},
    {"do": "listed", "rev": 3, "entries": {"s2": "ready"}, "by": "g2"},
    {"do": "zone", "place": "b", "phase": "suspected", "number": 0, "by": "fleet", "why": "w", "at": 1},
    {
        "do": "zone",
        "place": "b",
        "phase": "leaving",
        "number": 1,
        "shed": {"lookup": 0.5},
        "tenants": {"lookup": {"t": 0.25}},
        "witnesses": ["g1", "g2"],
        "flaps": 1,
        "inside": True,
    },
    {"do": "zone", "place": "b", "phase": "serving", "number": 2},
    {"do": "zone_hold", "place": "a", "held": True, "by": "x", "why": "w"},
    {"do": "fence", "place": "b", "keys": ["k1"], "by": "g1"},
    {"do": "fence", "place": "a", "keys": ["k1"], "by": "g1"},
    {"do": "leave", "name": "g2", "token": "other"},
    {"do": "leave", "name": "g2"},
    {"do": "recovered", "by": "x", "why": "w", "at": 1.5},
]


def play_state():
    group, out = StateMachine(), []
    for index, command in enumerate(STATE_COMMANDS, 1):
        data = json.dumps(command) if command is not None else ""
        out.append([json.dumps(group.apply(index, data)), group.digest])
    return {"applied": out, "state": group.snapshot()}


def test_the_state_of_the_group_has_the_text_that_was_recorded():
    assert play_state() == recorded("state")


def test_a_snapshot_of_version_0_2_0_is_read_and_gone_on_with():
    group = StateMachine()
    group.load(recorded("state")["state"])
    assert group.snapshot() == recorded("state")["state"]
    assert group.digest == recorded("state")["applied"][-1][1]
    told = json.loads(group.snapshot())
    del told["zones"]  # a version before them
    group.load(json.dumps(told))
    assert json.loads(group.snapshot())["zones"] == {"entries": {}, "fenced": {}, "history": [], "number": 0}
    assert json.loads(group.snapshot()) | {"zones": 0} == told | {"zones": 0}


# ---- the control address ---------------------------------------------------------------------------------

CALLS = [
    ("GET", "/v1/rules", None),
    ("GET", "/v1/rules/held", None),
    ("GET", "/v1/rules/history", None),
    ("GET", "/v1/rules/versions/1", None),
    ("GET", "/v1/rules/versions/9", None),
    ("POST", "/v1/rules/diff", {"tree": tree(most=2)}),
    ("POST", "/v1/rules/diff", {"tree": 3}),
    ("POST", "/v1/rules/diff", {"tree": {**tree(), "classes": []}}),
    ("POST", "/v1/rules/diff", {"tree": {**tree(), "classes": tree()["classes"][1:]}}),
    ("POST", "/v1/rules/propose", {"tree": tree(), "base": 0, "why": "w"}),
    ("POST", "/v1/rules/propose", {"tree": tree(), "base": True, "why": "w"}),
    ("POST", "/v1/rules/propose", {"tree": tree(), "base": 1, "why": ""}),
    ("POST", "/v1/rules/propose", {"tree": tree(), "base": 1, "why": "w", "despite": 3}),
    ("POST", "/v1/rules/propose", {"tree": tree(), "base": 1, "why": "w", "despite": ["g9"]}),
    ("POST", "/v1/rules/propose", {"tree": tree(most=2), "base": 1, "why": "w", "by": "x"}),
    ("POST", "/v1/rules/propose", {"tree": tree(most=2), "base": 1, "why": "w", "by": "x"}),
    ("POST", "/v1/rules/drop", {"number": 9, "why": "w"}),
    ("POST", "/v1/rules/drop", {"number": "9", "why": "w"}),
    ("PUT", "/v1/machines/m1", {"state": "draining", "fence": 3, "op": "o"}),
    ("PUT", "/v1/machines/m1", {"state": "ready", "fence": 1, "op": "o"}),
    ("PUT", "/v1/machines/m1", {"state": "no such", "fence": 3, "op": "o"}),
    ("GET", "/v1/machines", None),
    ("GET", "/v1/zones", None),
    ("POST", "/v1/zones", {"word": "hold", "place": "a", "why": "w", "by": "x"}),
    ("POST", "/v1/zones", {"word": "leave", "place": "c", "why": "w"}),
    ("POST", "/v1/zones", {"word": "go", "place": "a", "why": "w"}),
    ("POST", "/v1/zones", {"word": "hold", "place": "", "why": "w"}),
    ("GET", "/v1/zones", None),
    ("POST", "/v1/peers", {"add": {"g1": "127.0.0.1:1"}}),
    ("POST", "/v1/peers", {"add": {"g2": "nowhere"}}),
    ("POST", "/v1/peers", {"remove": "g1"}),
    ("POST", "/v1/peers", {"remove": "g9"}),
    ("POST", "/v1/peers", {"hand": "g9"}),
    ("POST", "/v1/peers", {}),
    ("GET", "/v1/what", None),
    ("POST", "/v1/rules/recover", {"why": "burnt", "by": "x"}),
    ("POST", "/v1/rules/recover", {"why": ""}),
    ("GET", "/v1/rules/history", None),
]


def shape(value):
    """The keys of an answer, all the way down, and the kind of each value."""
    match value:
        case dict():
            return {key: shape(one) for key, one in value.items()}
        case list():
            return [shape(one) for one in value]
    return type(value).__name__


async def call_all():
    out, events = [], []
    with tempfile.TemporaryDirectory() as folder:
        told = config.cluster_config(
            {
                "agreement": {
                    "name": "g1",
                    "listen": "127.0.0.1:0",
                    "control": "127.0.0.1:0",
                    "store": folder,
                    "voters": {"g1": "127.0.0.1:1"},
                    "stated": 1.0,
                }
            }
        )

        def read(told):
            return config.settings_from_json(told)

        agreement = ClusterNode(
            told,
            read,
            lambda settings: "",
            tree(),
            lambda: None,
            lambda text: None,
            lambda name, **fields: events.append([name, shape(fields)]),
            zone_times=FailoverTiming(quorum=1),
        )
        desk = ControlApi(agreement, read, lambda text: None, lambda: 7.0)
        try:
            end = asyncio.get_running_loop().time() + 10
            while not agreement.lease_holder.state_machine.active:
                assert asyncio.get_running_loop().time() < end
                await asyncio.sleep(0.01)
            for method, path, body in CALLS:
                try:
                    answer, headers = await desk._route(
                        Request(method, path, {}, json.dumps(body).encode() if body is not None else b"")
                    )
                    assert not headers
                    out.append([method, path, shape(json.loads(json.dumps(answer)))])
                except HttpError as fault:
                    out.append([method, path, fault.body()])
                if (method, path) == ("POST", "/v1/rules/propose") and isinstance(out[-1][2], dict):
                    number = agreement.lease_holder.state_machine.versions.last_number
                    while agreement.lease_holder.state_machine.active.number < number:
                        await asyncio.sleep(0.01)
        finally:
            desk.abort()
            agreement.close()
    names = {json.dumps(one) for one in events}
    return {"calls": out, "events": sorted(map(json.loads, names))}


def test_answers_of_the_control_address_have_the_keys_that_were_recorded():
    assert asyncio.run(call_all()) == recorded("control")


# ---- recording -------------------------------------------------------------------------------------------


def record():
    told = {
        "messages": encoded_messages(),
        "voters": {str(seed): Voters(seed).play(3000) for seed in SEEDS},
        "processes": {name: Processes(seed).play(1400, crashes) for name, (seed, crashes) in PLAYS.items()},
        "state": play_state(),
        "control": asyncio.run(call_all()),
    }
    DATA.mkdir(parents=True, exist_ok=True)
    for name, make in STORES.items():
        shutil.rmtree(DATA / name, ignore_errors=True)
        make(DATA / name)
        (DATA / name / "lock").unlink()
        with tempfile.TemporaryDirectory() as folder:
            shutil.copytree(DATA / name, Path(folder) / "store")
            found, records = play_store(Path(folder) / "store")
        told[name] = {"found": found, "records": records}
    for name, one in told.items():
        (DATA / f"{name}.json").write_text(json.dumps(one, indent=1) + "\n")


if __name__ == "__main__":
    record()
