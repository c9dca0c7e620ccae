"""Encodings that other processes and other versions read: links, the store, the control address, snapshots.

The expected values were recorded from version 0.2.0 and are stored in `tests/data/coordination`. They are
recorded again only for an intended change of a format: `python -m tests.test_pins_coordination` in the
project's root.
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
    """Settings in the form of a settings file."""
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

ZONE_REPORT = '{"zone":"a","cut":"no","looks":{"a":["fine",3,0,3],"b":["down",0,9,9,1200]},"refused":0}'
START_QUOTAS = '[["b","n0.3.1",1,2,5,7,0.5]]'
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
    "lease asked": LeaseRequest(1, "g1", 2, "t", 3.5, 4, "d", 5, "zones: x", True, ZONE_REPORT),
    "lease asked, as by default": LeaseRequest(1, "g1", 2, "t", 3.5, 4, "d"),
    "lease granted": LeaseResponse(
        1, 2.5, True, "", "", 3, ('{"do":"x"}', ""), "", 5, "d", '{"n0": "h:1"}', START_QUOTAS
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
    encoded = {}
    for name, message in MESSAGES.items():
        stream, data = encode(message)
        encoded[name] = [stream, base64.b64encode(data).decode()]
    return encoded


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_encodes_to_and_decodes_from_its_recorded_bytes(name):
    stream, text = recorded("messages")[name]
    assert encode(MESSAGES[name]) == (stream, base64.b64decode(text))
    assert decode(stream, base64.b64decode(text)) == MESSAGES[name]


def test_every_recorded_message_is_compared():
    assert list(recorded("messages")) == list(MESSAGES)
    kinds = {(stream, base64.b64decode(text)[1]) for stream, text in recorded("messages").values()}
    assert kinds == {(0, n) for n in range(7)} | {(1, n) for n in range(4)}


# ---- voters ----------------------------------------------------------------------------------------------


def fields_of(effect):
    return [getattr(effect, name) for name in type(effect).__match_args__]


class Transcript:
    """All effects of the processes, in order, as one digest, and the number of effects of each kind."""

    def __init__(self):
        self._hash, self.counts = hashlib.blake2b(digest_size=16), {}

    def add(self, kind, *parts):
        self.counts[kind] = self.counts.get(kind, 0) + 1
        for part in (kind, *parts):
            data = part if isinstance(part, bytes) else json.dumps(part).encode()
            self._hash.update(len(data).to_bytes(4, "big") + data)

    def summary(self):
        return {"digest": self._hash.hexdigest(), "counts": dict(sorted(self.counts.items()))}


def record_text(record):
    """Encodes a voter's record as in the store, without the leading kind "raft"."""
    return json.dumps(record.to_list())


class VoterGroup:
    """Four voters on one simulated clock; the last one joins later. One seed fixes all faults."""

    def __init__(self, seed):
        self.random, self.now, self.transcript = Random(seed), 0.0, Transcript()
        self.disks, self.nodes = {name: [] for name in NAMES}, {}
        self.older_disks, self.down, self.in_flight = {}, {}, deque()
        for name in NAMES:
            self.start(name)

    def start(self, name):
        persistent = PersistentState()
        for record in self.disks[name]:
            persistent.apply_encoded(record.encode())
        node = self.nodes[name] = Raft(
            name, persistent, Timing(), Random(self.random.getrandbits(32)), self.now
        )
        if not self.disks[name] and name in VOTERS:
            node.bootstrap({voter: f"{voter}:1" for voter in VOTERS})
        for other in self.nodes:
            if other != name:
                self.nodes[other].handle_link_up(name)
                node.handle_link_up(other)

    def carry_out_effects(self, name):
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
                    self.in_flight.append((name, to, stream, data))
                case EntryPersisted(index, term):
                    self.transcript.add("stored", name, index, term)
                    node.entry_persisted(effect)
                case Commit(index, entry):
                    self.transcript.add("commit", name, index, fields_of(entry))
                case LoadSnapshot(index, state):
                    self.transcript.add("load", name, index, state)

    def step(self):
        self.now += STEP_S
        for name, restart_at in list(self.down.items()):
            if self.now >= restart_at:
                del self.down[name]
                self.start(name)
        for name, node in self.nodes.items():
            if name not in self.down:
                node.tick(self.now)
                self.carry_out_effects(name)
        in_flight, self.in_flight = self.in_flight, deque()
        for name, to, stream, data in in_flight:
            draw = self.random.random()
            for _ in range(0 if to in self.down or draw < 0.03 else 2 if draw < 0.06 else 1):
                self.nodes[to].receive(self.now, name, decode(stream, data))
                self.carry_out_effects(to)

    def run(self, steps):
        rng = self.random
        for n in range(steps):
            self.step()
            if n == steps // 2:  # n1 recovers alone; the others join its lineage
                self.nodes["n1"].recover(self.now, "n1:1")
            if n % 400 == 0:
                self.older_disks = {name: list(disk) for name, disk in self.disks.items()}
            if rng.random() < 0.006 and not self.down:
                name = rng.choice(NAMES)
                self.nodes[name].effects.clear()
                if rng.random() < 0.2:
                    self.disks[name] = list(self.older_disks[name])
                self.down[name] = self.now + rng.random()
            for name, node in self.nodes.items():
                if name not in self.down and node.role == "leader":
                    self.propose_changes(node, rng)
            self.transcript.add(
                "now",
                [
                    (node.role, node.leader, node.commit_index, node.lost_reason)
                    for node in self.nodes.values()
                ],
            )
        return self.transcript.summary()

    def propose_changes(self, node, rng):
        try:
            if rng.random() < 0.15:
                node.propose(self.now, f"command {rng.randrange(1000)}")
            if rng.random() < 0.01:
                voters = {**node.voters, "n3": "n3:1"}
                for name in [rng.choice(NAMES)] if "n3" in node.voters else ():
                    voters.pop(name, None)
                node.change_voters(self.now, voters)
            if rng.random() < 0.005 and len(node.voters) > 1:
                node.transfer_leadership(
                    self.now, rng.choice([voter for voter in node.voters if voter != node.name])
                )
        except (BusyError, ValueError) as error:
            self.transcript.add("refused", str(error))
        if rng.random() < 0.01 and node.applied_index:
            node.compact(f"state {node.applied_index}", node.applied_index)


SEEDS = (1, 2, 3, 4)


@pytest.mark.parametrize("seed", SEEDS)
def test_voters_produce_the_recorded_effects_in_order(seed):
    assert VoterGroup(seed).run(3000) == recorded("voters")[str(seed)]


# ---- processes -------------------------------------------------------------------------------------------


@dataclass
class SimulatedProcess:
    """One process with its disk and its clock."""

    name: str
    clock_rate: float
    disk: list[str] = field(default_factory=list)
    epoch: int = 0
    node: CoordinationNode | None = None
    writing: list[str] | None = None
    saved_state: tuple[int, str] = (0, "")

    def now(self, time):
        return 1000.0 + time * self.clock_rate


class ProcessGroup:
    """Three voters and one process that never votes. Zone b fails for a while; one seed fixes all faults."""

    def __init__(self, seed):
        self.random, self.time, self.transcript = Random(seed), 0.0, Transcript()
        self.processes = {name: SimulatedProcess(name, 1 + 0.004 * (n - 1.5)) for n, name in enumerate(NAMES)}
        self.down, self.in_flight = {}, deque()
        for process in self.processes.values():
            self.start(process)

    def start(self, process):
        process.epoch, process.writing, persistent = process.epoch + 1, None, None
        if process.name in VOTERS:
            persistent = PersistentState()
            for record in process.disk:
                persistent.apply_encoded(record.encode())

        def parse_settings(tree):
            return replace(config.settings_from_json(tree), zone=0)

        process.node = CoordinationNode(
            NodeSetup(
                Incarnation(process.name, process.epoch, f"t{process.epoch}"),
                LeaseTiming(),
                parse_settings,
                lambda settings: "import: not here" if settings.classes[0].spread_most == 13 else "",
                tree(),
                FailoverTiming(quorum=2),
            ),
            Random(self.random.getrandbits(32)),
            process.now(self.time),
            persistent,
            {name: f"{name}:1" for name in VOTERS} if process.name in VOTERS and not process.disk else None,
        )
        process.node.set_zone_observer(lambda now: self.report(process))
        if process.saved_state[1]:
            process.node.lease_holder.restore(process.saved_state[1], process.saved_state[0])
        for other in self.processes.values():
            if other.node is not None and other is not process:
                if other.name in VOTERS:
                    process.node.peer_up(process.now(self.time), other.name)
                if process.name in VOTERS:
                    other.node.peer_up(other.now(self.time), process.name)

    def report(self, process):
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

    def carry_out_effects(self, process):
        for effect in process.node.take_effects():
            match effect:
                case effects.WriteRecords(records):
                    process.writing = [record_text(record) for record in records]
                    self.transcript.add("write", process.name, process.writing)
                case effects.Send(to, message):
                    stream, data = encode(message)
                    self.transcript.add(f"message {stream} {data[1]}", process.name, to, data)
                    self.in_flight.append((process.name, to, stream, data))
                case effects.SaveState(lineage, state):
                    process.saved_state = lineage, state
                    self.transcript.add("hold", process.name, lineage, state)
                case effects.ConnectVoters(voters):
                    self.transcript.add("reach", process.name, voters)
                case effects.CommandCompleted(command_id, result):
                    self.transcript.add("result", process.name, command_id, result)
                case effects.LogEvent(name, fields):
                    self.transcript.add(f"event {name}", process.name, fields)
                case effects.QuotaReceived(quotas, asked_at):
                    self.transcript.add("shares", process.name, quotas, asked_at)

    def step(self):
        self.time += STEP_S
        for name, restart_at in list(self.down.items()):
            if self.time >= restart_at:
                del self.down[name]
                self.start(self.processes[name])
        for process in self.processes.values():
            if process.name not in self.down:
                if process.writing is not None:
                    process.disk += process.writing
                    process.writing = None
                    process.node.records_written(process.now(self.time))
                process.node.tick(process.now(self.time))
                self.carry_out_effects(process)
        in_flight, self.in_flight = self.in_flight, deque()
        for name, to, stream, data in in_flight:
            draw = self.random.random()
            process = self.processes[to]
            for _ in range(0 if to in self.down or draw < 0.02 else 2 if draw < 0.04 else 1):
                process.node.receive(process.now(self.time), name, decode(stream, data))
                self.carry_out_effects(process)

    def run(self, steps, crashes):
        scheduled = commands()
        for n in range(steps):
            self.step()
            if n in scheduled:
                name, command = scheduled[n]
                if name not in self.down:
                    process = self.processes[name]
                    process.node.submit(process.now(self.time), f"c{n}", command)
                    self.carry_out_effects(process)
            if n == steps - 200 and "n2" not in self.down:
                process = self.processes["n2"]
                result = process.node.recover(process.now(self.time), "n2:1", "x", "burnt", 5.5)
                self.transcript.add("recovered", result)
                self.carry_out_effects(process)
            if crashes and n % 150 == 120 and not self.down:
                name = self.random.choice(NAMES)
                self.processes[name].node, self.processes[name].writing = None, None
                self.down[name] = self.time + 0.5
            if n % 25 == 0:
                for process in self.processes.values():
                    if process.node is not None:
                        now = process.now(self.time)
                        request_class = config.settings_from_json(tree()).classes[1]
                        self.transcript.add("status", process.node.status(now))
                        self.transcript.add("seen by the leader", process.node.leader_status(now))
                        self.transcript.add(
                            "refusal", process.node.lease_holder.refusal_reason(now, request_class, "m1", 3)
                        )
        return self.transcript.summary()


def commands():
    """Commands by step: the process that submits the command, and the command."""

    def propose(base, **changes):
        return {"do": "propose", "base": base, "tree": tree(**changes), "why": "w", "by": "x", "despite": []}

    drain_report = {"do": "listed", "rev": 3, "by": "n3"}
    directive = {"do": "word", "machine": "m1", "op": "x"}
    return {
        60: ("n3", propose(1, most=5)),
        62: ("n0", propose(1, most=2)),
        110: ("n1", propose(2, effect="read_like")),
        150: ("n2", propose(3, most=13)),
        170: ("n0", {**propose(3, most=13), "despite": ["n3", "n0"]}),
        180: ("n0", {"do": "drop", "number": 5, "why": "w"}),
        190: ("n1", {**directive, "state": "draining", "fence": 1}),
        200: ("n3", {**drain_report, "entries": {"m1": "draining", "m2": "gone"}}),
        210: ("n2", {**drain_report, "entries": {"m1": "ready"}, "by": "n2"}),
        220: ("n1", {**directive, "state": "ready", "fence": 2}),
        230: ("n1", {**directive, "state": "off", "fence": 1}),
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


RUNS = {"calm": (1, False), "crashes, seed 2": (2, True), "crashes, seed 3": (3, True)}


@pytest.mark.parametrize("name", RUNS)
def test_processes_produce_the_recorded_effects_in_order(name):
    seed, crashes = RUNS[name]
    assert ProcessGroup(seed).run(1400, crashes) == recorded("processes")[name]


# ---- the store -------------------------------------------------------------------------------------------

RECORDS = [  # written by a voter of version 0.2.0, with every kind of record
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
COMPACTED_RECORDS = [
    '["begins", 1, "t1"]',
    '["met", "g2", 7, "t7"]',
    '["held", 0, "{\\"index\\":2}"]',
    '["raft","writes", 6]',
    '["raft","vote", 1, 2, ""]',
    '["raft","snapshot", 1, 2, 1, "{\\"g1\\": \\"h:1\\", \\"g2\\": \\"h:2\\"}", "{\\"index\\":2}"]',
    '["raft","lost", "an older copy"]',
    '["raft","entry", 3, 1, "voters", "{\\"g1\\": \\"h:1\\"}"]',
]


def test_records_of_every_kind_are_compacted_to_the_expected_records():
    cluster_records = ClusterRecords()
    for record in RECORDS:
        cluster_records.apply(record.encode())
    assert [record.decode() for record in cluster_records.snapshot_records()] == COMPACTED_RECORDS
    assert cluster_records.snapshot_size == 2 + 1 + 3 + 1


@pytest.mark.parametrize(
    "bad", ["{}", "[]", '["held", 1]', '["raft"]', '["raft", "vote", 1]', '["raft", "what", 1]', "[[1]]"]
)
def test_an_unknown_or_incomplete_record_is_an_error(bad):
    with pytest.raises(ValueError):
        ClusterRecords().apply(bad.encode())


def use_store(directory):
    """Opens a store, notes its contents, and appends records of every kind."""

    async def run():
        store = ClusterStore(str(directory), 0.0, print)
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
        for effect in [effect for effect in raft.effects if isinstance(effect, EntryPersisted)]:
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
    records = [record.decode() for record in Log(directory / "agreement.log").recovered_records()]
    token = '"begins", '  # followed by the epoch and a random token
    return found, [record[: record.rindex(",")] if token in record else record for record in records]


def write_store(directory):
    use_store(directory)


def write_compacted_store(directory):
    """Writes a store and compacts it, as happens with a long store."""
    use_store(directory)
    use_store(directory)
    cluster_records, log = ClusterRecords(), Log(directory / "agreement.log")
    for record in log.recovered_records():
        cluster_records.apply(record)
    log.rewrite(cluster_records.snapshot_records())


STORES = {"store_as_written": write_store, "store_cut_down": write_compacted_store}


@pytest.mark.parametrize("name", STORES)
def test_a_store_of_version_0_2_0_can_be_read_and_extended(name, tmp_path):
    shutil.copytree(DATA / name, tmp_path / "store")
    found, records = use_store(tmp_path / "store")
    assert recorded(name) == {"found": found, "records": records}


@pytest.mark.parametrize("name", STORES)
def test_a_new_store_contains_the_recorded_bytes(name, tmp_path):
    STORES[name](tmp_path)
    recorded_records = list(Log(DATA / name / "agreement.log").recovered_records())
    new_records = list(Log(tmp_path / "agreement.log").recovered_records())
    assert [without_random_token(record) for record in new_records] == [
        without_random_token(record) for record in recorded_records
    ]


def without_random_token(record):
    return record[: record.rindex(b",")] if record.startswith(b'["begins"') else record


# ---- the replicated state --------------------------------------------------------------------------------

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


def apply_state_commands():
    group, applied = StateMachine(), []
    for index, command in enumerate(STATE_COMMANDS, 1):
        data = json.dumps(command) if command is not None else ""
        applied.append([json.dumps(group.apply(index, data)), group.digest])
    return {"applied": applied, "state": group.snapshot()}


def test_the_replicated_state_has_the_recorded_results_and_digests():
    assert apply_state_commands() == recorded("state")


def test_a_snapshot_of_version_0_2_0_can_be_loaded():
    group = StateMachine()
    group.load(recorded("state")["state"])
    assert group.snapshot() == recorded("state")["state"]
    assert group.digest == recorded("state")["applied"][-1][1]
    state = json.loads(group.snapshot())
    del state["zones"]  # as in a version without zones
    group.load(json.dumps(state))
    assert json.loads(group.snapshot())["zones"] == {"entries": {}, "fenced": {}, "history": [], "number": 0}
    assert json.loads(group.snapshot()) | {"zones": 0} == state | {"zones": 0}


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
    """The keys of an answer, at all levels, and the type of each value."""
    match value:
        case dict():
            return {key: shape(item) for key, item in value.items()}
        case list():
            return [shape(item) for item in value]
    return type(value).__name__


async def call_all():
    calls, events = [], []
    with tempfile.TemporaryDirectory() as directory:
        cluster_config = config.cluster_config(
            {
                "agreement": {
                    "name": "g1",
                    "listen": "127.0.0.1:0",
                    "control": "127.0.0.1:0",
                    "store": directory,
                    "voters": {"g1": "127.0.0.1:1"},
                    "stated": 1.0,
                }
            }
        )

        def parse_settings(tree):
            return config.settings_from_json(tree)

        cluster_node = ClusterNode(
            cluster_config,
            parse_settings,
            lambda settings: "",
            tree(),
            lambda: None,
            lambda text: None,
            lambda name, **fields: events.append([name, shape(fields)]),
            zone_times=FailoverTiming(quorum=1),
        )
        control_api = ControlApi(cluster_node, parse_settings, lambda text: None, lambda: 7.0)
        try:
            end = asyncio.get_running_loop().time() + 10
            while not cluster_node.lease_holder.state_machine.active:
                assert asyncio.get_running_loop().time() < end
                await asyncio.sleep(0.01)
            for method, path, body in CALLS:
                try:
                    answer, headers = await control_api._route(
                        Request(method, path, {}, json.dumps(body).encode() if body is not None else b"")
                    )
                    assert not headers
                    calls.append([method, path, shape(json.loads(json.dumps(answer)))])
                except HttpError as error:
                    calls.append([method, path, error.body()])
                if (method, path) == ("POST", "/v1/rules/propose") and isinstance(calls[-1][2], dict):
                    number = cluster_node.lease_holder.state_machine.versions.last_number
                    while cluster_node.lease_holder.state_machine.active.number < number:
                        await asyncio.sleep(0.01)
        finally:
            control_api.abort()
            cluster_node.close()
    distinct_events = {json.dumps(event) for event in events}
    return {"calls": calls, "events": sorted(map(json.loads, distinct_events))}


def test_answers_on_the_control_address_have_the_recorded_keys():
    assert asyncio.run(call_all()) == recorded("control")


# ---- recording -------------------------------------------------------------------------------------------


def record():
    recorded_data = {
        "messages": encoded_messages(),
        "voters": {str(seed): VoterGroup(seed).run(3000) for seed in SEEDS},
        "processes": {name: ProcessGroup(seed).run(1400, crashes) for name, (seed, crashes) in RUNS.items()},
        "state": apply_state_commands(),
        "control": asyncio.run(call_all()),
    }
    DATA.mkdir(parents=True, exist_ok=True)
    for name, make in STORES.items():
        shutil.rmtree(DATA / name, ignore_errors=True)
        make(DATA / name)
        (DATA / name / "lock").unlink()
        with tempfile.TemporaryDirectory() as directory:
            shutil.copytree(DATA / name, Path(directory) / "store")
            found, records = use_store(Path(directory) / "store")
        recorded_data[name] = {"found": found, "records": records}
    for name, data in recorded_data.items():
        (DATA / f"{name}.json").write_text(json.dumps(data, indent=1) + "\n")


if __name__ == "__main__":
    record()
