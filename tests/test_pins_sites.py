"""Wire bytes, store records and JSON keys that other versions read must match the recorded ones.

Covers the link between sites, the stores of sites, pull queue and applies, and printed JSON. The tests
compare with the values under `tests/data/`, which an earlier version has written.
`PYTHONPATH=tests:. .venv/bin/python tests/test_pins_sites.py` records all values again, which is valid only
if a wire format or a store format changes on purpose.
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

from weldhatch.applying.journal import Journal, read_history
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
        "messages": {name: frames.encode_message(message).hex() for name, message in MESSAGES.items()},
        "frames": {name: frames.encode(frame).hex() for name, frame in FRAMES.items()},
        "summaries": {name: frames.encode_summary(summary).hex() for name, summary in SUMMARIES.items()},
        "session": session_trace(),
        "hand-off": [line for line, _ in handoff_trace()],
    }


def session_trace():
    """Return all frames, as hex in order, that two sides of a session send before and after a break."""
    here, there, lines = Session("s"), Session("s"), []

    def cross(now):
        for side, other in ((here, there), (there, here)):
            for frame in side.outgoing_frames(now):
                lines.append(frames.encode(frame).hex())
                other.receive(now, frame)

    here.resume(0.0, 0)
    there.resume(0.0, 0)
    for n in range(20):
        here.send(n % 2, b"m%d" % n)
    there.send(0, b"back")
    for now in (0.01, 0.05, 1.1, 1.2, 1.3):
        cross(now)
    here.send(1, b"lost")
    lines += [frames.encode(frame).hex() for frame in here.outgoing_frames(1.4)]
    for side, received in ((here, there.received), (there, here.received)):
        side.resume(2.0, received)
    for now in (2.0, 2.1, 3.2):
        cross(now)
    return [*lines, f"delay {here.delay_s:.3f} {there.delay_s:.3f}"]


def effect_line(effect, site):
    """Return an effect of a hand-off as a line of text, and the record that it writes, or None."""
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
    """Run transfers through all outcomes at both sides; return the effects as lines, with their records."""
    source, target, lines = source or HandoffSource(3), target or HandoffTarget("a"), []

    def add(effects):
        lines.extend(effect_line(effect, "a") for effect in effects)

    def offer_task(work, site="b"):
        id, effects = source.offer(site, work, 900_000)
        add(effects)
        return id

    def offer(id, work, **more):
        add(target.receive(messages.Offer(id, work, 900_000), **more))

    def receive(message, site="b"):
        add(source.receive(site, message))

    # placed and ended at the target, then closed
    ended_id = offer_task(FULL)
    offer(ended_id, FULL)
    offer(ended_id, FULL)
    receive(messages.Accepted(ended_id))
    add(target.placed(ended_id, "host:1"))
    receive(messages.Placed(ended_id, "host:1"))
    add(target.ended(ended_id, 16, "result"))
    receive(messages.Ended(ended_id, 16, True, "result"))
    receive(messages.Ended(ended_id, 16, True, "result"))
    add(target.receive(messages.Close(ended_id)))
    # rejected by the target and returned
    returned_id = offer_task(KEYED)
    offer(returned_id, KEYED)
    add(target.returned(returned_id, 5000))
    receive(messages.Returned(returned_id, 5000))
    # ended by the owner
    released_id = offer_task(KEYED)
    offer(released_id, KEYED)
    add(target.placed(released_id, "d"))
    receive(messages.Placed(released_id, "d"))
    add(source.released(released_id, 16))
    receive(messages.Placed(released_id, "d"))
    add(target.receive(messages.Release(released_id, 16)))
    add(source.unconfirmed_messages("b", {}))
    add(target.ended(released_id, 16))
    receive(messages.Ended(released_id, 16, True))
    # the owner's deadline passes without an answer, and the recall arrives before the offer
    expired_id = offer_task(FULL)
    add(source.deadline_passed(expired_id))
    add(target.receive(messages.Withdraw(expired_id)))
    offer(expired_id, FULL)
    receive(messages.Returned(expired_id))
    reclaimed_id = offer_task(PLAIN)
    offer(reclaimed_id, PLAIN)
    add(source.link_silent(reclaimed_id))
    add(target.receive(messages.Withdraw(reclaimed_id)))
    add(target.ended(reclaimed_id, 47))
    receive(messages.Ended(reclaimed_id, 47, False))
    # failed at the target after it may have run
    failed_id = offer_task(PLAIN)
    offer(failed_id, PLAIN)
    add(target.ended(failed_id, 47))
    receive(messages.Ended(failed_id, 47, False))
    # recalled while the target is placing it, and placed nevertheless
    recalled_id = offer_task(FULL)
    offer(recalled_id, FULL)
    add(source.abandoned(recalled_id))
    add(target.receive(messages.Withdraw(recalled_id)))
    add(target.placed(recalled_id, "late"))
    receive(messages.Placed(recalled_id, "late"))
    add(target.unconfirmed_messages())
    # left open in each phase
    open_placed_id, open_released_id, open_lost_id, open_offered_id = (
        offer_task(unsafe_work(n)) for n in range(4)
    )
    for id, n in ((open_placed_id, 0), (open_released_id, 1), (open_lost_id, 2)):
        offer(id, unsafe_work(n))
        add(target.placed(id, f"d{n}"))
        receive(messages.Placed(id, f"d{n}"))
    add(source.released(open_released_id, 16))
    open_accepted_id = offer_task(PLAIN, "c")
    receive(messages.Accepted(open_accepted_id), "c")
    offer((1, 1), PLAIN, draining=True)
    offer((9, 9), Work("c", "SAFE", 0, 0, 0.0, 0.0, hops=2))
    add(target.receive(messages.LowWatermark(recalled_id)))
    add(source.unconfirmed_messages("b", {open_offered_id: 700}))
    add(source.unconfirmed_messages("c", {}))
    add(source.forget_site("c"))
    add(source.recover())
    add(target.recover([open_lost_id]))
    for n in range(2):
        with pytest.raises(TaskBusyError):
            source.offer("b", unsafe_work(n), 5)
    return lines


def unsafe_work(n):
    return Work("writer", "UNSAFE", 100 + n, 1, 1.0, 1.0)


@pytest.fixture(scope="module")
def pins():
    return json.loads(PINS.read_text())


@pytest.mark.parametrize("kind", ["messages", "frames", "summaries", "session", "hand-off"])
def test_the_link_sends_the_recorded_bytes(pins, kind):
    assert pinned_link()[kind] == pins[kind]


def test_recorded_bytes_of_the_link_are_decoded_to_the_original_values(pins):
    assert {
        name: frames.decode_message(bytes.fromhex(data)) for name, data in pins["messages"].items()
    } == MESSAGES
    assert {
        name: frames.decode_summary(bytes.fromhex(data)) for name, data in pins["summaries"].items()
    } == SUMMARIES
    ring = RingBuffer(64 * 1024)
    for name, data in pins["frames"].items():
        ring.put(bytes.fromhex(data))
        assert frames.parse(ring) == FRAMES[name]


def test_the_state_rebuilt_from_the_hand_off_has_the_recorded_snapshot(pins):
    state = SiteState()
    for _, record in handoff_trace():
        if record is not None:
            state.apply(record)
    assert [record.decode() for record in state.snapshot_records()] == pins["hand-off, folded"]
    rebuilt = SiteState()
    for record in pins["hand-off, folded"]:
        rebuilt.apply(record.encode())
    assert list(rebuilt.snapshot_records()) == list(state.snapshot_records())
    assert (
        rebuilt.source.transfers == state.source.transfers
        and rebuilt.source.remote_keys == state.source.remote_keys
    )
    assert rebuilt.targets == state.targets


# ---- stores -----------------------------------------------------------------------------------------------


@contextmanager
def fixed_token(text):
    with mock.patch("secrets.token_hex", return_value=text):
        yield


async def write_sites_store(folder):
    """Write a site's store in a first run."""
    with fixed_token("0badcafe"):
        storage = SiteStorage(str(folder), 1000.0, print)
    await storage.record_epoch("b", 5, "feed")
    await storage.record_epoch("b", 6, "beef")
    await storage.record_epoch("c", 1, "c0de")
    await storage.append_with_retry(
        [record for _, record in handoff_trace(storage.source, storage.target("a")) if record]
    )
    await storage.flush()
    storage.close()


async def continue_sites_store(folder):
    """Open the store in a second run; return its recovered state, effects and log."""
    with fixed_token("12345678"):
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
    lines = [effect_line(effect, "a") for effect in effects]
    await storage.append([record for _, record in lines if record])
    storage.close()
    return {**report, "effects": [line for line, _ in lines], "log": read_log(folder / "sites.log")}


def read_log(path):
    return [record.decode() for record in log.read_records(path)]


ASKED = {"class": "unsafe", "key": "a1", "tenant": 0, "requestId": "r-1"}
META = {"at": 1000.5, "deadline": 1003500000, "tenant": 0, "request": "r-1", "waits": True}
PLACE = [1.0, 2.0, "east", "r1"]
PLACED = {"answer": "placed", "botId": "b1", "name": "tasks/1.0badcafe-1"}
RESULT = {"files": 3}


async def write_queue_store(folder):
    """Write a pull queue's store in a first run, with each kind of record as the queue writes it."""
    with fixed_token("0badcafe"):
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


async def continue_queue_store(folder):
    with fixed_token("12345678"):
        storage = QueueStorage(str(folder), 2000.0, print)
    report = {
        "epoch": storage.epoch_name,
        "fresh": storage.is_first_run,
        "operations": {
            name: list(astuple(operation)) for name, operation in storage.state.operations.items()
        },
        "leases": {name: list(astuple(lease)) for name, lease in storage.state.leases.items()},
        "spent": list(storage.state.spent),
        "size": storage.state.snapshot_size,
        "records": [record.decode() for record in storage.state.snapshot_records()],
        "later": durable_state.find_later_name(["leases/2.12345678-1", "leases/3.x-1"], 2, "12345678"),
    }
    await storage.append(durable_state.encode("seen", "leases/1.0badcafe-1"))
    await storage.append_with_retry(durable_state.encode("over", "leases/1.0badcafe-4"))
    storage.close()
    return {**report, "log": read_log(folder / "queue.log")}


def write_apply_journal(folder):
    """Write an apply journal in a first run: each kind of record, with a half-done apply and an ended one."""
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


def continue_apply_journal(folder):
    report = apply_report(read_history(folder))
    journal = Journal(folder, "a second apply", 2000.0)
    last = journal.history.last.plan
    report["begun"] = apply_report(journal.history)
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
    return {**report, "after": apply_report(read_history(folder)), "log": read_log(folder / "applies.log")}


def apply_report(report):
    return {
        name: [
            apply.fence,
            apply.begun_at,
            apply.last_at,
            apply.by,
            apply.ended,
            apply.stopped and apply.stopped.text,
            {
                step: [state.status, state.outcome, state.note, state.tries]
                for step, state in apply.steps.items()
            },
        ]
        for name, apply in report.applies.items()
    }


def with_time_limit(work, seconds=20):
    """Limit the time of a store's writer, which would wait for ever if a record could not be applied."""
    return lambda folder: asyncio.run(asyncio.wait_for(work(folder), seconds))


STORE_KINDS = {
    "sites": (with_time_limit(write_sites_store), with_time_limit(continue_sites_store)),
    "queue": (with_time_limit(write_queue_store), with_time_limit(continue_queue_store)),
    "applies": (write_apply_journal, continue_apply_journal),
}


def file_contents(folder):
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


@pytest.mark.parametrize("kind", STORE_KINDS)
def test_a_store_has_the_recorded_bytes(kind, tmp_path):
    STORE_KINDS[kind][0](tmp_path / "new")
    assert file_contents(tmp_path / "new") == file_contents(STORES / kind)


@pytest.mark.parametrize("kind", STORE_KINDS)
def test_a_recorded_store_is_recovered_and_extended(kind, tmp_path, pins):
    folder = tmp_path / "copy"
    shutil.copytree(STORES / kind, folder)
    assert json.loads(json.dumps(STORE_KINDS[kind][1](folder))) == pins[f"store {kind}"]


def test_a_log_and_a_lock_have_the_recorded_bytes(tmp_path, pins):
    assert log_and_lock(tmp_path) == pins["log and lock"]


def log_and_lock(folder):
    test_log = log.Log(folder / "log")
    test_log.append([b"one", b"", b"\xff" * 5])
    test_log.append([b"two"])
    first_bytes = (folder / "log").read_bytes().hex()
    test_log.rewrite([b"three", b"four"])
    test_log.append([b"five"])
    test_log.close()
    with mock.patch("os.getpid", return_value=77):
        lock = Lock(folder / "lock", "an apply of spring", "noon")
    text = (folder / "lock").read_text()
    lock.close()
    return [first_bytes, (folder / "log").read_bytes().hex(), text, (folder / "lock").read_text()]


# ---- records of a running pull queue ----------------------------------------------------------------------


def shape(value):
    """Return the type names of a value, with all keys of its objects."""
    if isinstance(value, dict):
        return {key: shape(member) for key, member in sorted(value.items())}
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
        report = [json.loads(record) for record in read_log(self.store / "queue.log")]
        shapes = sorted(
            {json.dumps([record[0], *map(shape, record[1:])]) for record in report if record[0] != "probe"}
        )
        self.recorded(shapes)

    def recorded(self, shapes):
        self.assertEqual(json.loads(PINS.read_text())["queue shapes"], shapes)


# ---- JSON of the command line -----------------------------------------------------------------------------


async def status_shape():
    """Return the status of a site with one placed and one doubtful outgoing transfer, and of its target."""
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


class RecordingServer(BaseHTTPRequestHandler):
    """A gateway's control address that returns the fixed status, and stores the requests sent to it."""

    sent = ()

    def do_GET(self):
        self.answer(STATUS)

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        RecordingServer.sent = (*RecordingServer.sent, [self.path, body])
        self.answer({"forgotten": 4, **body})

    def answer(self, tree):
        data = json.dumps(tree).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_):
        pass


def run_commands():
    server = HTTPServer(("127.0.0.1", 0), RecordingServer)
    Thread(target=server.serve_forever, daemon=True).start()
    address, results, RecordingServer.sent = f"127.0.0.1:{server.server_port}", [], ()
    for line in ("status --json", "status", "drain", "drain --undo", "forget b", "forget b --yes"):
        result = CliRunner(env={"COLUMNS": "120"}).invoke(
            sites_command, [*line.split(), "--control", address]
        )
        results.append([line, result.exit_code, result.output])
    server.shutdown()
    server.server_close()
    return [results, RecordingServer.sent]


def test_the_sites_commands_print_and_send_what_was_recorded(pins):
    assert json.loads(json.dumps(run_commands())) == pins["commands"]


def settings_plan():
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
        "moved": [list(move) for move in reconfiguration.changes_since_plan(made, after)],
    }


def test_a_plan_of_settings_has_the_recorded_keys_and_checksum(pins):
    assert json.loads(json.dumps(settings_plan())) == pins["plan"]


# ---- the recorder -----------------------------------------------------------------------------------------


def record_all():
    pins = pinned_link()
    state = SiteState()
    for _, record in handoff_trace():
        if record is not None:
            state.apply(record)
    pins["hand-off, folded"] = [record.decode() for record in state.snapshot_records()]
    for kind, (write, continue_store) in STORE_KINDS.items():
        shutil.rmtree(STORES / kind, ignore_errors=True)
        write(STORES / kind)
        with tempfile.TemporaryDirectory() as folder:
            shutil.copytree(STORES / kind, Path(folder) / "copy")
            pins[f"store {kind}"] = continue_store(Path(folder) / "copy")
    with tempfile.TemporaryDirectory() as folder:
        pins["log and lock"] = log_and_lock(Path(folder))
    pins["status"] = asyncio.run(status_shape())
    pins["commands"] = run_commands()
    pins["plan"] = settings_plan()
    with mock.patch.object(
        QueueRecords, "recorded", lambda self, shapes: pins.__setitem__("queue shapes", shapes)
    ):
        result = QueueRecords("test_a_running_queue_writes_records_of_the_recorded_shapes").run()
        assert result.wasSuccessful(), result.errors + result.failures
    PINS.write_text(json.dumps(pins, indent=1) + "\n")


if __name__ == "__main__":
    record_all()
