"""Bytes and keys that other versions read: the link between sites, the stores of this part, printed JSON.

The recorded values under `tests/data/` were written by the version that they are named after; the tests here
only compare. `PYTHONPATH=tests:. .venv/bin/python tests/test_pins_sites.py` records anew, which is right only
where a wire or a store changes on purpose.
"""

import asyncio
import json
import os
import shutil
import tempfile
from contextlib import contextmanager
from dataclasses import astuple
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from threading import Thread
from unittest import mock

import pytest
from click.testing import CliRunner
from test_pullqueue import lease, task
from test_recovery import StoredQueueScenario

from weldhatch.applying.journal import Journal, story
from weldhatch.cli.sites import sites as sites_command
from weldhatch.net.ring_buffer import RingBuffer
from weldhatch.planning import records as apply_records
from weldhatch.pullqueue import durable_state, reconfiguration
from weldhatch.pullqueue.storage import QueueStorage
from weldhatch.sites import frames, handoff_source, handoff_target, messages
from weldhatch.sites import storage as sites_records
from weldhatch.sites.handoff_source import HandoffSource, TaskBusyError
from weldhatch.sites.handoff_target import HandoffTarget
from weldhatch.sites.messages import Work
from weldhatch.sites.routing import CapacitySummary
from weldhatch.sites.session import Ack, Heartbeat, Hello, Message, Session
from weldhatch.sites.storage import SiteState, SiteStorage
from weldhatch.store import commit, log
from weldhatch.store.lock import Lock, lock_owner
from weldhatch.testbed.crash_points import CHANGE, make_plan
from weldhatch.testbed.fleet import small_fleet
from weldhatch.testbed.multi_site import Region

DATA = Path(__file__).parent / "data"
PINS = DATA / "pins_sites.json"
STORES = DATA / "stores"

# ---- the link ---------------------------------------------------------------------------------------------

PLAIN = Work("lookup", "SAFE", 0, 0, 0.0, 0.0)
FULL = Work("writer", "UNSAFE", 2**63 + 7, 9, 0.5, 2.25, "tenant", ("setup", "blob", "é"), 1)
KEYED = Work("import", "KEYED", 8, 3, 1.5, 4.0)
ID = (7, 300)

MESSAGES = {
    "offered": messages.Offer(ID, FULL, 1_500_000),
    "offered, plain": messages.Offer((1, 1), PLAIN, 0),
    "withdrawn": messages.Withdraw(ID),
    "freed": messages.Release(ID, 16),
    "closed": messages.Close(ID),
    "floor": messages.LowWatermark(ID),
    "taken": messages.Accepted(ID),
    "stood": messages.Placed(ID, "host:1;v=0"),
    "returned": messages.Returned(ID, 250_000),
    "returned at once": messages.Returned(ID),
    "ended": messages.Ended(ID, 41, True, '[{"files": 3},""]'),
    "ended, not stood": messages.Ended(ID, 47, False),
}
FRAMES = {
    "hello": Hello(1, "a", 3, "t0ken", (2, "other"), "a.3.t0ken.1", 70_000, False),
    "hello, first": Hello(1, "b", 1, "x", (0, ""), "", 0, True),
    "message": Message(70_001, 1, b"\0\xffpayload"),
    "ack": Ack(70_000, ((0, 512), (1, 300))),
    "ack, no credit": Ack(4),
    "beat": Heartbeat(1_234_567, 89),
    "beat, no echo": Heartbeat(5),
}
SUMMARIES = {
    "summary": CapacitySummary({"lookup": 9, "writer": 70_000}, 12, 3, True),
    "summary, plain": CapacitySummary({}, 0),
}
EFFECTS = {
    handoff_source.AnswerOwner: "answer",
    handoff_source.ReclaimTask: "take back",
    handoff_source.ReportEnd: "over",
    handoff_target.StartTask: "try",
    handoff_target.AbandonTask: "give up",
    handoff_target.ReleaseTask: "free",
}


def pinned_link():
    return {
        "messages": {name: frames.encode_message(one).hex() for name, one in MESSAGES.items()},
        "frames": {name: frames.encode(one).hex() for name, one in FRAMES.items()},
        "summaries": {name: frames.encode_summary(one).hex() for name, one in SUMMARIES.items()},
        "session": session_trace(),
        "hand-off": [line for line, _ in handoff_trace()],
    }


def session_trace():
    """Two sides of one session, with a break in the middle: all that goes out, in order, as bytes."""
    here, there, out = Session("s"), Session("s"), []

    def cross(now):
        for side, other in ((here, there), (there, here)):
            for frame in side.outgoing_frames(now):
                out.append(frames.encode(frame).hex())
                other.receive(now, frame)

    here.resume(0.0, 0)
    there.resume(0.0, 0)
    for n in range(20):
        here.send(n % 2, b"m%d" % n)
    there.send(0, b"back")
    for now in (0.01, 0.05, 1.1, 1.2, 1.3):
        cross(now)
    here.send(1, b"lost")
    out += [frames.encode(frame).hex() for frame in here.outgoing_frames(1.4)]
    for side, received in ((here, there.received), (there, here.received)):
        side.resume(2.0, received)
    for now in (2.0, 2.1, 3.2):
        cross(now)
    return [*out, f"delay {here.delay_s:.3f} {there.delay_s:.3f}"]


def line_of(effect, site):
    """One effect of the hand-over as a line, and the record that it writes, if it does."""
    match effect:
        case handoff_source.WriteRecord(record):
            data = sites_records.encode_source_record(record)
            return f"write {data.decode()}", data
        case handoff_target.WriteRecord(record):
            data = sites_records.encode_target_record(site, record)
            return f"write {data.decode()}", data
        case handoff_source.SendMessage(to, message) | handoff_target.SendMessage(to, message):
            return f"say {to} {frames.encode_message(message).hex()}", None
    return f"{EFFECTS[type(effect)]} {json.dumps(astuple(effect))}", None


def handoff_trace(source=None, target=None):
    """Each way that a transfer can go, at both sides: effects as lines, in order, with their records."""
    source, target, out = source or HandoffSource(3), target or HandoffTarget("a"), []

    def add(effects):
        out.extend(line_of(effect, "a") for effect in effects)

    def lend(work, site="b"):
        id, effects = source.offer(site, work, 900_000)
        add(effects)
        return id

    def offer(id, work, **more):
        add(target.receive(messages.Offer(id, work, 900_000), **more))

    def receive(message, site="b"):
        add(source.receive(site, message))

    # placed there, ended there, closed
    one = lend(FULL)
    offer(one, FULL)
    offer(one, FULL)
    receive(messages.Accepted(one))
    add(target.placed(one, "host:1"))
    receive(messages.Placed(one, "host:1"))
    add(target.ended(one, 16, "result"))
    receive(messages.Ended(one, 16, True, "result"))
    receive(messages.Ended(one, 16, True, "result"))
    add(target.receive(messages.Close(one)))
    # refused there, and taken back
    two = lend(KEYED)
    offer(two, KEYED)
    add(target.returned(two, 5000))
    receive(messages.Returned(two, 5000))
    # ended by its owner
    three = lend(KEYED)
    offer(three, KEYED)
    add(target.placed(three, "d"))
    receive(messages.Placed(three, "d"))
    add(source.released(three, 16))
    receive(messages.Placed(three, "d"))
    add(target.receive(messages.Release(three, 16)))
    add(source.unconfirmed_messages("b", {}))
    add(target.ended(three, 16))
    receive(messages.Ended(three, 16, True))
    # the owner's time is over before anything is heard; its call-back comes first
    four = lend(FULL)
    add(source.deadline_passed(four))
    add(target.receive(messages.Withdraw(four)))
    offer(four, FULL)
    receive(messages.Returned(four))
    five = lend(PLAIN)
    offer(five, PLAIN)
    add(source.link_silent(five))
    add(target.receive(messages.Withdraw(five)))
    add(target.ended(five, 47))
    receive(messages.Ended(five, 47, False))
    # failed there, and known to have run
    six = lend(PLAIN)
    offer(six, PLAIN)
    add(target.ended(six, 47))
    receive(messages.Ended(six, 47, False))
    # called back while it is tried, and placed all the same
    seven = lend(FULL)
    offer(seven, FULL)
    add(source.abandoned(seven))
    add(target.receive(messages.Withdraw(seven)))
    add(target.placed(seven, "late"))
    receive(messages.Placed(seven, "late"))
    add(target.unconfirmed_messages())
    # left open, in each phase
    eight, nine, ten, eleven = (lend(replaced(n)) for n in range(4))
    for id, n in ((eight, 0), (nine, 1), (ten, 2)):
        offer(id, replaced(n))
        add(target.placed(id, f"d{n}"))
        receive(messages.Placed(id, f"d{n}"))
    add(source.released(nine, 16))
    twelve = lend(PLAIN, "c")
    receive(messages.Accepted(twelve), "c")
    offer((1, 1), PLAIN, draining=True)
    offer((9, 9), Work("c", "SAFE", 0, 0, 0.0, 0.0, hops=2))
    add(target.receive(messages.LowWatermark(seven)))
    add(source.unconfirmed_messages("b", {eleven: 700}))
    add(source.unconfirmed_messages("c", {}))
    add(source.forget_site("c"))
    add(source.recover())
    add(target.recover([ten]))
    for n in range(2):
        with pytest.raises(TaskBusyError):
            source.offer("b", replaced(n), 5)
    return out


def replaced(n):
    return Work("writer", "UNSAFE", 100 + n, 1, 1.0, 1.0)


@pytest.fixture(scope="module")
def pins():
    return json.loads(PINS.read_text())


@pytest.mark.parametrize("kind", ["messages", "frames", "summaries", "session", "hand-off"])
def test_what_goes_over_the_link_has_the_recorded_bytes(pins, kind):
    assert pinned_link()[kind] == pins[kind]


def test_recorded_bytes_of_the_link_come_back_as_what_they_were(pins):
    assert {
        name: frames.decode_message(bytes.fromhex(one)) for name, one in pins["messages"].items()
    } == MESSAGES
    assert {
        name: frames.decode_summary(bytes.fromhex(one)) for name, one in pins["summaries"].items()
    } == SUMMARIES
    ring = RingBuffer(64 * 1024)
    for name, one in pins["frames"].items():
        ring.put(bytes.fromhex(one))
        assert frames.parse(ring) == FRAMES[name]


def test_the_folds_of_the_recorded_hand_off_give_the_recorded_records(pins):
    fold = SiteState()
    for _, record in handoff_trace():
        if record is not None:
            fold.apply(record)
    assert [record.decode() for record in fold.snapshot_records()] == pins["hand-off, folded"]
    again = SiteState()
    for record in pins["hand-off, folded"]:
        again.apply(record.encode())
    assert list(again.snapshot_records()) == list(fold.snapshot_records())
    assert (
        again.source.transfers == fold.source.transfers
        and again.source.remote_keys == fold.source.remote_keys
    )
    assert again.targets == fold.targets


# ---- stores -----------------------------------------------------------------------------------------------


@contextmanager
def tokens(text):
    with mock.patch("secrets.token_hex", return_value=text):
        yield


async def write_sites(folder):
    """The first run of a site's store."""
    with tokens("0badcafe"):
        storage = SiteStorage(str(folder), 1000.0, print)
    await storage.record_epoch("b", 5, "feed")
    await storage.record_epoch("b", 6, "beef")
    await storage.record_epoch("c", 1, "c0de")
    await storage.append_with_retry(
        [record for _, record in handoff_trace(storage.source, storage.target("a")) if record]
    )
    await storage.flush()
    storage.close()


async def go_on_with_sites(folder):
    """The second run: what it says of the first, and the log that it leaves."""
    with tokens("12345678"):
        storage = SiteStorage(str(folder), 2000.0, print)
    report = {
        "ours": list(storage.own_epoch),
        "known": [list(storage.known_epoch(name)) for name in "abc"],
        "records": [record.decode() for record in storage.disk.snapshot_records()],
    }
    effects = [
        *storage.source.recover(),
        *storage.source.offer("c", KEYED, 5)[1],
        *storage.target("a").recover(),
    ]
    lines = [line_of(effect, "a") for effect in effects]
    await storage.append([record for _, record in lines if record])
    storage.close()
    return {**report, "effects": [line for line, _ in lines], "log": logged(folder / "sites.log")}


def logged(path):
    return [record.decode() for record in log.read_records(path)]


ASKED = {"class": "unsafe", "key": "a1", "tenant": 0, "requestId": "r-1"}
META = {"at": 1000.5, "deadline": 1003500000, "tenant": 0, "request": "r-1", "waits": True}
PLACE = [1.0, 2.0, "east", "r1"]
PLACED = {"answer": "placed", "botId": "b1", "name": "tasks/1.0badcafe-1"}
RESULT = {"files": 3}


async def write_queue(folder):
    """The first run of a pull queue's store: each kind of record, as the queue writes it."""
    with tokens("0badcafe"):
        storage = QueueStorage(str(folder), 1000.0, print)
    encode = durable_state.encode
    for n in range(1, 6):
        name = f"tasks/1.0badcafe-{n}"
        await storage.append(
            encode("asked", name, {**ASKED, "key": f"a{n}"}, "blob é", {**META, "request": f"r-{n}"})
        )
    await storage.append(
        encode("spent", [161, 162]),
        *(
            encode("handed", f"leases/1.0badcafe-{n}", f"tasks/1.0badcafe-{n}", "b1", PLACE, n)
            for n in range(1, 5)
        ),
    )
    await storage.append_with_retry(
        encode("running", "leases/1.0badcafe-1"),
        encode("answer", "tasks/1.0badcafe-1", PLACED),
        encode("running", "leases/1.0badcafe-2"),
        encode("answer", "tasks/1.0badcafe-2", {**PLACED, "name": "tasks/1.0badcafe-2"}),
        encode("over", "leases/1.0badcafe-2"),
        encode("end", "tasks/1.0badcafe-2", "DONE", 16, RESULT),
        encode("back", "leases/1.0badcafe-3"),
        encode("answer", "tasks/1.0badcafe-3", {"answer": "refused", "waitUs": 5000}),
        encode("until", "leases/1.0badcafe-4", 1030.25),
        encode("answer", "tasks/1.0badcafe-5", {"answer": "failed"}),
        encode("drop", "tasks/1.0badcafe-5"),
        encode("spent", [163]),
        commit.NO_OP_RECORD,
    )
    storage.close()


async def go_on_with_queue(folder):
    with tokens("12345678"):
        storage = QueueStorage(str(folder), 2000.0, print)
    report = {
        "epoch": storage.epoch_name,
        "fresh": storage.is_first_run,
        "operations": {name: list(astuple(one)) for name, one in storage.state.operations.items()},
        "leases": {name: list(astuple(one)) for name, one in storage.state.leases.items()},
        "spent": list(storage.state.spent),
        "size": storage.state.snapshot_size,
        "records": [record.decode() for record in storage.state.snapshot_records()],
        "later": durable_state.find_later_name(["leases/2.12345678-1", "leases/3.x-1"], 2, "12345678"),
    }
    await storage.append(durable_state.encode("seen", "leases/1.0badcafe-1"))
    await storage.append_with_retry(durable_state.encode("over", "leases/1.0badcafe-4"))
    storage.close()
    return {**report, "log": logged(folder / "queue.log")}


def write_applies(folder):
    """The first run of an apply's journal: each kind of record, a half-done apply and an ended one."""
    plan = make_plan(CHANGE, small_fleet(), 1000.0)
    first, second = plan.steps[:2]
    other = make_plan(CHANGE, small_fleet(), 1001.0)
    with mock.patch("os.getpid", return_value=77):
        journal = Journal(folder, "an apply of spring", 1000.0)
    r = apply_records
    journal.append(
        [
            r.Begin(apply=other.id, at=900.0, plan=other, fence=1, by="x"),
            r.Ended(apply=other.id, at=901.0),
            r.Begin(apply=plan.id, at=1000.0, plan=plan, fence=2, by="operator@host"),
        ]
    )
    journal.append([r.Intent(apply=plan.id, at=1001.0, step=first.id, op=plan.operation(first), fence=2)])
    journal.append(
        [
            r.Heard(apply=plan.id, at=1002.0, step=first.id, who="g1", taken=True),
            r.Heard(
                apply=plan.id, at=1002.5, step=second.id, who="n1", taken=False, reason="busy", transient=True
            ),
            r.Done(apply=plan.id, at=1003.0, step=first.id, outcome="fell", note="it fell"),
            r.Intent(apply=plan.id, at=1003.5, step=second.id, op=plan.operation(second), fence=2),
            r.Stopped(apply=plan.id, at=1004.0, reason="silent", text="node n1 is silent"),
        ]
    )
    journal.close()


def go_on_with_applies(folder):
    report = shown(story(folder))
    journal = Journal(folder, "a second apply", 2000.0)
    last = journal.story.last.plan
    report["begun"] = shown(journal.story)
    report["held by"] = lock_owner(folder / "apply.lock").replace(str(os.getpid()), "PID")
    r = apply_records
    step = last.steps[1]
    journal.append(
        [
            r.Begin(apply=last.id, at=2000.0, plan=None, fence=3, by="y"),
            r.Done(apply=last.id, at=2001.0, step=step.id, outcome="done"),
            r.Ended(apply=last.id, at=2002.0),
        ]
    )
    journal.close()
    return {**report, "after": shown(story(folder)), "log": logged(folder / "applies.log")}


def shown(report):
    return {
        name: [
            one.fence,
            one.begun_at,
            one.last_at,
            one.by,
            one.ended,
            one.stopped and one.stopped.text,
            {
                step: [state.stand, state.outcome, state.note, state.tries]
                for step, state in one.steps.items()
            },
        ]
        for name, one in report.applies.items()
    }


def within(work, seconds=20):
    """Guards against a record that no fold takes: its writer would wait for ever."""
    return lambda folder: asyncio.run(asyncio.wait_for(work(folder), seconds))


STORE_KINDS = {
    "sites": (within(write_sites), within(go_on_with_sites)),
    "queue": (within(write_queue), within(go_on_with_queue)),
    "applies": (write_applies, go_on_with_applies),
}


def files(folder):
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


@pytest.mark.parametrize("kind", STORE_KINDS)
def test_a_store_has_the_recorded_bytes(kind, tmp_path):
    STORE_KINDS[kind][0](tmp_path / "new")
    assert files(tmp_path / "new") == files(STORES / kind)


@pytest.mark.parametrize("kind", STORE_KINDS)
def test_a_recorded_store_is_opened_read_and_continued(kind, tmp_path, pins):
    folder = tmp_path / "copy"
    shutil.copytree(STORES / kind, folder)
    assert json.loads(json.dumps(STORE_KINDS[kind][1](folder))) == pins[f"store {kind}"]


def test_a_log_and_a_lock_have_the_recorded_bytes(tmp_path, pins):
    assert log_and_lock(tmp_path) == pins["log and lock"]


def log_and_lock(folder):
    one = log.Log(folder / "log")
    one.append([b"one", b"", b"\xff" * 5])
    one.append([b"two"])
    first = (folder / "log").read_bytes().hex()
    one.rewrite([b"three", b"four"])
    one.append([b"five"])
    one.close()
    with mock.patch("os.getpid", return_value=77):
        lock = Lock(folder / "lock", "an apply of spring", "noon")
    text = (folder / "lock").read_text()
    lock.close()
    return [first, (folder / "log").read_bytes().hex(), text, (folder / "lock").read_text()]


# ---- what the pull queue writes, as it runs ---------------------------------------------------------------


def shape(value):
    """The types of a value, with all keys of its objects."""
    if isinstance(value, dict):
        return {key: shape(one) for key, one in sorted(value.items())}
    return type(value).__name__


class QueueRecords(StoredQueueScenario):
    async def test_a_running_queue_writes_records_of_the_recorded_shapes(self):
        await self.place_task(requestId="r-7")
        result = json.dumps({"leases": [{"id": "$lease", "state": "COMPLETED", "result": {"files": 3}}]})
        await self.play(f"p1 send PATCH $session | {result}\np1 expect 200 leases=[]")
        await self.play(f"""
            p1 send PATCH $session X-Server-Timeout=9 | {{}}
            c2 send POST tasks | {task("safe", "b2")}
            p1 expect 200 leases.0.state=PENDING
            p1 send PATCH $session | {lease("ACTIVE")}
            c2 expect 200 answer=placed
            p1 expect 200 leases.0.state=ACTIVE
            c3 send POST tasks | {task("safe", "c3", left=200)}
            c3 expect 200 answer=refused
        """)
        held = self.parties["p1"].seen["lease"]
        await self.restart()
        await self.play(
            f"p2 send POST botSessions | {self.session_body(held)}\np2 expect 200 leases.0.state=ACTIVE"
        )
        await self.gateway.storage.flush()
        report = [json.loads(record) for record in logged(self.store / "queue.log")]
        shapes = sorted({json.dumps([one[0], *map(shape, one[1:])]) for one in report if one[0] != "probe"})
        self.recorded(shapes)

    def recorded(self, shapes):
        self.assertEqual(json.loads(PINS.read_text())["queue shapes"], shapes)


# ---- JSON of the command line -----------------------------------------------------------------------------


async def status_shape():
    """A site that has lent one task that stands and one that is in doubt, and what it took."""
    with tempfile.TemporaryDirectory() as folder:
        region = Region(Path(folder), ("a", "b"), life_s=30.0)
        await region.start({"a": 0, "b": 4})
        try:
            await region.up()
            stands = region.ask("a", 2)
            await asyncio.wait_for(stands.answered.wait(), 20)
            region.now["b"].hall.look_s = 0.5
            doubt = region.ask("a", 2, left_s=0.5)
            await region.until(lambda: len(region.now["b"].sites.incoming.tasks) == 2)
            next(iter(region.wires.values())).cut()
            await asyncio.wait_for(doubt.answered.wait(), 20)
            there = await asyncio.to_thread(lambda: region.now["b"].sites.status())
            here = region.now["a"].sites.status()
        finally:
            await region.close()
    report = here["sites"]["b"]
    (in_doubt,) = report["in_doubt"]
    return {
        "keys": [list(here), list(report), list(in_doubt)],
        "site": [here["site"], here["epoch"], here["draining"]],
        "lent": report["lent"],
        "doubt": [in_doubt["id"], in_doubt["class"], in_doubt["key"], in_doubt["phase"], in_doubt["why"]],
        "up": [report["up"], report["doubt"], report["breaks"], report["told"]],
        "there": [list(there["sites"]), shape({**there["sites"]["a"], "told": None})],
    }


def test_a_site_reports_its_status_under_the_recorded_keys(pins):
    assert asyncio.run(status_shape()) == pins["status"]


STATUS = {
    "site": "a",
    "epoch": 4,
    "draining": True,
    "sites": {
        "b": {
            "up": False,
            "doubt": "",
            "breaks": 3,
            "delay_ms": 1.5,
            "epoch": 2,
            "lent": {"stands": 2, "called back": 1},
            "taken": 5,
            "left_out_s": 12.0,
            "told": {"age_s": 1.0, "free": {"lookup": 3}, "size": 9, "waiting": 1, "draining": True},
            "in_doubt": [
                {"id": "4-9", "class": "writer", "key": "ff", "phase": "called back", "why": "down"}
            ],
        },
        "c": {
            "up": True,
            "doubt": "",
            "breaks": 0,
            "delay_ms": 0.0,
            "epoch": 1,
            "lent": {},
            "taken": 0,
            "left_out_s": 0.0,
            "told": None,
            "in_doubt": [],
        },
    },
}


class Stub(BaseHTTPRequestHandler):
    """A gateway's control address that tells what was recorded, and keeps what was sent to it."""

    sent = ()

    def do_GET(self):
        self.answer(STATUS)

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        Stub.sent = (*Stub.sent, [self.path, body])
        self.answer({"forgotten": 4, **body})

    def answer(self, tree):
        data = json.dumps(tree).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_):
        pass


def printed():
    server = HTTPServer(("127.0.0.1", 0), Stub)
    Thread(target=server.serve_forever, daemon=True).start()
    at, out, Stub.sent = f"127.0.0.1:{server.server_port}", [], ()
    for line in ("status --json", "status", "drain", "drain --undo", "forget b", "forget b --yes"):
        result = CliRunner(env={"COLUMNS": "120"}).invoke(sites_command, [*line.split(), "--control", at])
        out.append([line, result.exit_code, result.output])
    server.shutdown()
    server.server_close()
    return [out, Stub.sent]


def test_the_sites_commands_print_and_send_what_was_recorded(pins):
    assert json.loads(json.dumps(printed())) == pins["commands"]


def plan_of_settings():
    before = {"enabled": True, "listen": "127.0.0.1:1", "control": "127.0.0.1:2", "sockets": 99}
    after = {"enabled": True, "listen": "127.0.0.1:1", "control": "127.0.0.1:3", "timing": {"lease": 4}}
    for tree in (before, after):
        tree["settings"] = json.loads(json.dumps(StoredQueueScenario.settings))
    made = reconfiguration.make_plan(before, after)
    return {
        "keys": list(made),
        "changes": made["changes"],
        "base": made["base"],
        "checksum": made["checksum"],
        "rendered": reconfiguration.render(made).splitlines(),
        "moved": [list(one) for one in reconfiguration.changes_since_plan(made, after)],
    }


def test_a_plan_of_settings_has_the_recorded_keys_and_checksum(pins):
    assert json.loads(json.dumps(plan_of_settings())) == pins["plan"]


# ---- the recorder -----------------------------------------------------------------------------------------


def record_all():
    out = pinned_link()
    fold = SiteState()
    for _, record in handoff_trace():
        if record is not None:
            fold.apply(record)
    out["hand-off, folded"] = [record.decode() for record in fold.snapshot_records()]
    for kind, (write, go_on) in STORE_KINDS.items():
        shutil.rmtree(STORES / kind, ignore_errors=True)
        write(STORES / kind)
        with tempfile.TemporaryDirectory() as folder:
            shutil.copytree(STORES / kind, Path(folder) / "copy")
            out[f"store {kind}"] = go_on(Path(folder) / "copy")
    with tempfile.TemporaryDirectory() as folder:
        out["log and lock"] = log_and_lock(Path(folder))
    out["status"] = asyncio.run(status_shape())
    out["commands"] = printed()
    out["plan"] = plan_of_settings()
    with mock.patch.object(
        QueueRecords, "recorded", lambda self, shapes: out.__setitem__("queue shapes", shapes)
    ):
        result = QueueRecords("test_a_running_queue_writes_records_of_the_recorded_shapes").run()
        assert result.wasSuccessful(), result.errors + result.failures
    PINS.write_text(json.dumps(out, indent=1) + "\n")


if __name__ == "__main__":
    record_all()
