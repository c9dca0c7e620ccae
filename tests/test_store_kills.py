"""The pull queue after a kill between two writes of its store: nothing done is forgotten or repeated."""

import asyncio
import contextlib
import json
import socket
import threading
import time
from dataclasses import replace
from datetime import datetime
from typing import ClassVar
from unittest import mock

from scenario import EVENT_TIMEOUT_S
from test_pullqueue import bot, lease, task
from test_recovery import StoredQueueScenario

from weldhatch.pullqueue import durable_state, reports
from weldhatch.store.log import MAGIC, LogError, encode_record, read_records

ANSWER_SLACK_S = 0.5  # how long after its deadline an answer may come on a busy machine
WAITING_CONNECTIONS = 30
SETTLE_S = 1.5
SLOW_WRITE_S = 0.3
POLL_S = 0.3  # how long a machine waits for a lease that must not come


class KilledBetweenWrites(StoredQueueScenario):
    """A gateway with a store that is killed after a certain record was written, and started again."""

    timing: ClassVar = {**StoredQueueScenario.timing, "settle": 0}

    async def stop_gateway(self):
        """Kill the gateway; return the records that it has written."""
        await self.gateway.storage.flush()
        self.gateway.abort()
        return read_records(self.store / "queue.log")

    def start_on(self, records, **more):
        """Start a gateway whose store holds these records."""
        numbered = [encode_record(number, record) for number, record in enumerate(records, 1)]
        (self.store / "queue.log").write_bytes(MAGIC + b"".join(numbered))
        self.start_gateway(**more)

    async def kill_after(self, kind, **more):
        """Kill the gateway as if it had died right after it wrote the last record of this kind."""
        records = await self.stop_gateway()
        kinds = [json.loads(record)[0] for record in records]
        last = len(kinds) - 1 - kinds[::-1].index(kind)
        self.start_on(records[: last + 1], **more)

    async def hand_out(self, cls, machine="p1", submitter="c1", key="a1", **more):
        """Submit an operation and have it handed out to the new machine b1; return the operation's name."""
        await self.play(f"""
            {machine} send POST botSessions | {bot("b1")}
            {machine} expect 200
            {machine} send PATCH $session X-Server-Timeout=9 | {{}}
            {submitter} send POST operations | {task(cls, key, **more)}
            {submitter} expect 200 metadata.state=ASKED
            {machine} expect 200 leases.0.state=PENDING
        """)
        return self.parties[submitter].seen["operation"]

    def slow_down_disk(self):
        """Let each write of the store take SLOW_WRITE_S."""
        log = self.gateway.storage._store._log
        append = log.append

        def append_slowly(records):
            time.sleep(SLOW_WRITE_S)
            append(records)

        log.append = append_slowly

    def stored_operations(self):
        """Return the names of the operations that are on the disk."""
        return [name.replace("tasks", "operations") for name in self.gateway.storage.state.operations]

    async def expect_nothing_for(self, machine, name, hall="east"):
        """Open a session of a machine, and check that it gets no lease."""
        await self.play(f"""
            {machine} send POST botSessions | {bot(name, hall)}
            {machine} expect 200 leases=[]
            {machine} send PATCH $session X-Server-Timeout={POLL_S} | {{}}
            {machine} expect 200 leases=[]
        """)


class EndedLeases(KilledBetweenWrites):
    """The end of a lease is written, and what follows from it is not."""

    async def test_a_short_unsafe_task_that_has_ended_is_not_handed_out_again(self):
        """Guards against review case 1: its end was written, its answer was not, and it ran a second time."""
        name = await self.hand_out("unsafe")
        ended = {"id": "$lease", "state": "COMPLETED", "result": {"files": 3}}
        await self.play(f"p1 send PATCH $session | {json.dumps({'leases': [ended]})}\np1 expect 200")
        await self.kill_after("over")
        await self.expect_nothing_for("p2", "b2")
        await self.play(f"""
            c2 send GET {name}
            c2 expect 200 done=True metadata.state=DONE metadata.answer.botId=b1 response.result.files=3
            c2 send POST tasks | {task("unsafe")}
            c2 expect 200 answer=failed
        """)

    async def test_an_unsafe_task_that_may_have_run_fails(self):
        """Guards against a second start after an error of the machine whose consequence was not written."""
        name = await self.hand_out("unsafe")
        await self.play(f"p1 send PATCH $session | {lease('COMPLETED', 13)}\np1 expect 200")
        await self.kill_after("over")
        await self.expect_nothing_for("p2", "b2")
        await self.play(f"c2 send GET {name}\nc2 expect 200 done=True metadata.state=FAILED")

    async def test_a_keyed_task_that_may_have_run_goes_only_to_the_same_hall(self):
        """Guards against the start of an import-job in a second hall while its key is known in the first."""
        await self.hand_out("keyed")
        await self.play(f"p1 send PATCH $session | {lease('COMPLETED', 13)}\np1 expect 200")
        await self.kill_after("over")
        await self.expect_nothing_for("p2", "b2", "west")
        await self.play(f"""
            p3 send POST botSessions | {bot("b3")}
            p3 expect 200
            p3 send PATCH $session X-Server-Timeout=2 | {{}}
            p3 expect 200 leases.0.state=PENDING leases.0.payload.key=a1
        """)

    async def test_a_keyed_task_that_may_have_run_fails_without_a_machine_of_its_hall(self):
        """Guards against `refused` where a retry could start the task in another hall."""
        name = await self.hand_out("keyed", left=1000)
        await self.play(f"p1 send PATCH $session | {lease('COMPLETED', 13)}\np1 expect 200")
        await self.kill_after("over")
        await self.play(f"""
            c2 send POST {name}:wait | {{"timeout": "5s"}}
            c2 expect 200 done=True metadata.state=FAILED
        """)

    async def test_a_keyed_task_that_may_have_run_fails_if_its_next_machine_declines_it_after_a_kill(self):
        """Guards against `refused` after a proof that only the last of two attempts never ran."""
        name = await self.hand_out("keyed")
        await self.play(f"""
            p1 send PATCH $session X-Server-Timeout=2 | {lease("COMPLETED", 13)}
            p1 expect 200 leases.0.state=PENDING
        """)
        again = self.parties["p1"].seen["lease"]
        await self.kill_after("handed")
        declined = json.loads(bot("b1")) | {
            "leases": [{"id": again, "state": "COMPLETED", "status": {"code": 9}}]
        }
        await self.play(f"""
            p2 send POST botSessions | {json.dumps(declined)}
            p2 expect 200
            c2 send POST {name}:wait | {{"timeout": "5s"}}
            c2 expect 200 done=True metadata.state=FAILED
        """)

    async def test_an_unsafe_task_that_was_declined_is_handed_out_again(self):
        """A machine that declines a task has not run it, so the submission goes on after a kill."""
        await self.hand_out("unsafe")
        await self.play(f"p1 send PATCH $session | {lease('COMPLETED', 9)}\np1 expect 200")
        await self.kill_after("over")
        await self.play(f"""
            p2 send POST botSessions | {bot("b2")}
            p2 expect 200
            p2 send PATCH $session X-Server-Timeout=2 | {{}}
            p2 expect 200 leases.0.state=PENDING leases.0.payload.key=a1
        """)

    async def test_a_placed_task_that_has_ended_is_not_reported_as_lost(self):
        """Guards against `LOST` without its result for a task whose machine reported its end."""
        name = await self.hand_out("unsafe")
        ended = {"id": "$lease", "state": "COMPLETED", "result": {"files": 3}}
        await self.play(f"""
            p1 send PATCH $session | {lease("ACTIVE")}
            p1 expect 200
            p1 send PATCH $session | {json.dumps({"leases": [ended]})}
            p1 expect 200
        """)
        await self.kill_after("over")
        await self.play(f"c2 send GET {name}\nc2 expect 200 metadata.state=DONE response.result.files=3")

    async def test_a_machine_is_answered_once_the_end_that_it_reported_is_stored(self):
        """Guards against a result that was confirmed to its machine and is unknown to the next gateway."""
        name = await self.hand_out("unsafe")
        ended = {"id": "$lease", "state": "COMPLETED", "result": {"files": 3}}
        self.slow_down_disk()
        with mock.patch("weldhatch.pullqueue.bot_leases.MAX_WRITE_WAIT_S", EVENT_TIMEOUT_S, create=True):
            await self.play(f"p1 send PATCH $session | {json.dumps({'leases': [ended]})}\np1 expect 200")
        written = read_records(self.store / "queue.log")
        await self.stop_gateway()
        self.start_on(written)
        await self.play(f"c2 send GET {name}\nc2 expect 200 metadata.state=DONE response.result.files=3")

    async def test_the_end_of_a_lease_in_a_store_of_the_version_before_counts_as_a_possible_run(self):
        """Such a store does not tell how a lease ended, so an unsafe task is not started again."""
        name = await self.hand_out("unsafe")
        held = self.parties["p1"].seen["lease"]
        records = await self.stop_gateway()
        handed = json.loads(records[-1])
        self.assertEqual("handed", handed[0])
        old = [*records[:-1], durable_state.encode(*handed[:6]), durable_state.encode("over", held)]
        self.start_on(old)
        await self.expect_nothing_for("p2", "b2")
        await self.play(f"c2 send GET {name}\nc2 expect 200 done=True metadata.state=FAILED")

    async def test_a_snapshot_keeps_the_ends_that_an_open_submission_depends_on(self):
        """Guards against a compaction between the end of a lease and its consequence."""
        await self.hand_out("keyed")
        await self.play(f"p1 send PATCH $session | {lease('COMPLETED', 13)}\np1 expect 200")
        records = await self.stop_gateway()
        state = durable_state.fold(records)
        [operation] = state.operations.values()
        self.assertEqual(["b1"], [ended.lease.bot for ended in operation.ended_leases])
        again = durable_state.fold(state.snapshot_records())
        self.assertEqual(state.operations, again.operations)


class HeldLeases(KilledBetweenWrites):
    """A machine still holds a lease whose submission is over."""

    async def test_the_key_of_a_deleted_operation_stays_leased_until_its_machine_has_stopped(self):
        """Guards against two attempts at once: the deletion took the lease out of the store as well."""
        name = await self.hand_out("keyed")
        await self.play(f"""
            p1 send PATCH $session | {lease("ACTIVE")}
            p1 expect 200
            c1 send POST {name}:cancel | {{}}
            c1 expect 200 metadata.state=CANCELLED
            c1 send DELETE {name}
            c1 expect 200
        """)
        held = self.parties["p1"].seen["lease"]
        for _ in range(2):
            await self.kill_after("drop")
            self.assertEqual([held], [one.id for one in self.gateway.bots.leases.handed_out()])
        await self.play(f"""
            c2 send GET {name}
            c2 expect 404
            c2 send POST tasks | {task("keyed")}
            c2 expect 200 answer=refused
            p2 send POST botSessions | {self.session_body(held, "CANCELLED")}
            p2 expect 200 leases=[]
            c2 send POST operations | {task("keyed")}
            c2 expect 200 metadata.state=ASKED
        """)
        await self.gateway.storage.flush()
        self.assertEqual([self.parties["c2"].seen["operation"]], self.stored_operations())

    async def test_a_snapshot_keeps_the_lease_of_a_deleted_operation(self):
        """Guards against a compaction while a machine holds the lease of a deleted operation."""
        name = await self.hand_out("keyed")
        await self.play(f"""
            c1 send POST {name}:cancel | {{}}
            c1 expect 200
            p1 send PATCH $session | {lease("ACTIVE")}
            p1 expect 200 leases.0.state=CANCELLED
            c1 send DELETE {name}
            c1 expect 200
        """)
        state = durable_state.fold(await self.stop_gateway())
        again = durable_state.fold(state.snapshot_records())
        self.assertEqual((state.operations, state.leases), (again.operations, again.leases))
        self.assertEqual([True], [operation.dropped for operation in again.operations.values()])

    async def check_stopped(self, kind):
        """Check that a machine that comes back after a kill is told to stop its task, and frees its key."""
        held = self.parties["p1"].seen["lease"]
        await self.kill_after(kind)
        await self.play(f"""
            p2 send POST botSessions | {self.session_body(held)}
            p2 expect 200 leases.0.state=CANCELLED
            p2 send PATCH $session | {json.dumps({"leases": [{"id": held, "state": "CANCELLED"}]})}
            p2 expect 200 leases=[]
            c2 send POST operations | {task("keyed")}
            c2 expect 200 metadata.state=ASKED
        """)

    async def test_a_cancelled_task_is_stopped_by_the_next_gateway(self):
        """Guards against a cancelled task that runs on, with its key refused, after a kill."""
        name = await self.hand_out("keyed")
        await self.play(f"""
            p1 send PATCH $session | {lease("ACTIVE")}
            p1 expect 200
            c1 send POST {name}:cancel | {{}}
            c1 expect 200 metadata.state=CANCELLED
        """)
        await self.check_stopped("stop")

    async def test_a_cancelled_task_is_stopped_although_only_its_end_was_written(self):
        """Guards against the same where the gateway dies before it has written that the lease is to stop."""
        name = await self.hand_out("keyed")
        await self.play(f"""
            p1 send PATCH $session | {lease("ACTIVE")}
            p1 expect 200
            c1 send POST {name}:cancel | {{}}
            c1 expect 200 metadata.state=CANCELLED
        """)
        await self.check_stopped("end")

    async def test_a_cancel_is_answered_once_it_is_stored(self):
        """Guards against a cancel that was answered and is unknown to the next gateway."""
        name = await self.hand_out("keyed")
        await self.play(f"p1 send PATCH $session | {lease('ACTIVE')}\np1 expect 200")
        self.slow_down_disk()
        with mock.patch("weldhatch.pullqueue.submission.MAX_WRITE_WAIT_S", EVENT_TIMEOUT_S, create=True):
            await self.play(f"c1 send POST {name}:cancel | {{}}\nc1 expect 200 metadata.state=CANCELLED")
        [operation] = self.gateway.storage.state.operations.values()
        self.assertEqual("CANCELLED", operation.state)

    async def test_a_task_whose_submitter_was_answered_failed_is_stopped_by_the_next_gateway(self):
        """Guards against a task that runs on after its deadline was answered with `failed` and a kill."""
        name = await self.hand_out("keyed", left=300)
        await self.play(f"""
            c1 send POST {name}:wait | {{"timeout": "5s"}}
            c1 expect 200 metadata.state=FAILED
        """)
        await self.check_stopped("answer")

    async def test_a_task_that_has_started_is_placed_although_its_answer_was_not_written(self):
        """Guards against `failed`, and the end of the task, at the deadline of a task that runs."""
        name = await self.hand_out("unsafe", left=1000)
        await self.play(f"p1 send PATCH $session | {lease('ACTIVE')}\np1 expect 200")
        held = self.parties["p1"].seen["lease"]
        await self.kill_after("running")
        await self.play(f"""
            p2 send POST botSessions | {self.session_body(held)}
            p2 expect 200 leases.0.state=ACTIVE
            c2 send POST {name}:wait | {{"timeout": "1.2s"}}
            c2 expect 200 done=False metadata.state=PLACED metadata.answer.botId=b1
        """)


class GivenUpSubmissions(KilledBetweenWrites):
    async def test_a_submission_that_was_given_up_has_the_same_answer_after_a_kill(self):
        """Guards against a call under its request id that is never answered: the answer was not stored."""
        body = task("unsafe", requestId="r-1")
        await self.play(f"c1 send POST operations | {body}\nc1 expect 200")
        await self.play("c1 send POST $operation:cancel | {}\nc1 expect 200 metadata.state=CANCELLED")
        await self.play(f"c1 send POST tasks | {body}\nc1 expect 200 answer=refused waitMs=0")
        await self.kill_after("end")
        await self.play(f"c2 send POST tasks | {body}\nc2 expect 200 answer=refused waitMs=0")


class FirstStarts(KilledBetweenWrites):
    """A gateway gets a store for the first time, and leases of the run before may still be out."""

    timing: ClassVar = {**KilledBetweenWrites.timing, "settle": SETTLE_S}

    async def test_a_second_start_within_the_settle_time_goes_on_waiting(self):
        """Guards against two attempts at once: only the first start on a new store waited."""
        started = time.monotonic()
        for submitter in ("c1", "c2"):
            await self.restart()
            await self.play(f"""
                {submitter} send POST operations | {task("keyed")}
                {submitter} expect 200 metadata.state=REFUSED
            """)
        await asyncio.sleep(started + SETTLE_S - time.monotonic() + 0.1)
        await self.play(f"c2 send POST operations | {task('keyed')}\nc2 expect 200 metadata.state=ASKED")

    async def test_a_store_of_the_version_before_has_settled(self):
        """Such a store does not tell when it settles; its first run did not hand out anything before."""
        records = await self.stop_gateway()
        [number, token, at] = json.loads(records[0])[1:4]
        self.start_on([durable_state.encode("epoch", number, token, at)])
        await self.play(f"c2 send POST operations | {task('keyed')}\nc2 expect 200 metadata.state=ASKED")


class PromisedLeases(KilledBetweenWrites):
    """A machine is never told a later expiry than the next gateway would know of."""

    def reconfigure(self, **timing):
        """Change durations of the running gateway, as a plan does."""
        config = self.gateway._config
        self.gateway.reconfigure(replace(config, timing=replace(config.timing, **timing)))

    def hold_disk(self):
        """Let the store's writes wait for the returned event."""
        goes_on = threading.Event()
        log = self.gateway.storage._store._log
        append = log.append
        log.append = lambda records: goes_on.wait(EVENT_TIMEOUT_S) and append(records)
        return goes_on

    async def expiry_of(self, machine, text):
        """Send a machine's update; return the expiry of its lease, as it is told it, in Unix seconds."""
        await self.play(f"{machine} send {text}")
        code, body = await self.parties[machine].received.get()
        self.assertEqual(200, code, body)
        self.parties[machine].seen["session"] = body["name"]
        return datetime.fromisoformat(body["leases"][0]["expireTime"]).timestamp()

    async def test_a_renewal_does_not_shorten_what_the_machine_was_promised(self):
        """Guards against two attempts at once: the machine is cut off and keeps to the expiry it was told."""
        await self.hand_out("keyed")
        renewal = f"PATCH $session | {lease('ACTIVE')}"
        promised = await self.expiry_of("p1", renewal)
        self.reconfigure(lease=1.0)
        self.assertGreaterEqual(await self.expiry_of("p1", renewal), promised)
        [held] = self.gateway.bots.leases.handed_out()
        self.assertGreaterEqual(held.expires, promised - 0.001)  # the machine is told milliseconds

    async def test_a_start_with_a_shorter_lease_waits_for_what_machines_were_promised(self):
        """Guards against two attempts at once after a restart with a shorter lease."""
        await self.hand_out("keyed")
        promised = await self.expiry_of("p1", f"PATCH $session | {lease('ACTIVE')}")
        for _ in range(2):
            await self.restart(lease=1.0, poll=0.3)
            [held] = self.gateway.bots.leases.handed_out()
            self.assertGreaterEqual(held.expires, promised - 0.001)

    async def test_a_longer_lease_is_promised_only_once_it_is_stored(self):
        """Guards against a promise that the next gateway does not know of."""
        await self.hand_out("keyed")
        await self.play(f"p1 send PATCH $session | {lease('ACTIVE')}\np1 expect 200")
        await self.gateway.storage.flush()
        goes_on = self.hold_disk()
        self.reconfigure(lease=300.0)
        renewal = f"PATCH $session | {lease('ACTIVE')}"
        self.assertLess(await self.expiry_of("p1", renewal) - time.time(), 100)
        goes_on.set()
        await self.gateway.storage.flush()
        self.assertGreater(await self.expiry_of("p1", renewal) - time.time(), 200)
        await self.restart()
        [held] = self.gateway.bots.leases.handed_out()
        self.assertGreater(held.expires - time.time(), 200)

    async def test_a_restored_lease_is_extended_only_once_its_renewal_is_stored(self):
        """Guards against two attempts at once: the next gateway may know only of the old expiry."""
        await self.hand_out("keyed")
        await self.play(f"p1 send PATCH $session | {lease('ACTIVE')}\np1 expect 200")
        await self.restart()
        await self.restart()
        [held] = self.gateway.bots.leases.handed_out()
        known_expiry = held.expires
        await self.gateway.storage.flush()
        goes_on = self.hold_disk()
        opened = f"POST botSessions | {self.session_body(held.id)}"
        self.assertLessEqual(await self.expiry_of("p2", opened), known_expiry)
        goes_on.set()
        await self.gateway.storage.flush()
        renewal = json.dumps({"leases": [{"id": held.id, "state": "ACTIVE"}]})
        self.assertGreater(await self.expiry_of("p2", f"PATCH $session | {renewal}"), known_expiry)


class SlowDisk(KilledBetweenWrites):
    """A gateway whose disk takes nothing until the test lets it go on."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.disk_goes_on = threading.Event()
        log = self.gateway.storage._store._log
        append = log.append

        def append_later(records):
            self.disk_goes_on.wait(EVENT_TIMEOUT_S)
            append(records)

        log.append = append_later

    async def asyncTearDown(self):
        self.disk_goes_on.set()
        await super().asyncTearDown()


class AbandonedWrites(SlowDisk):
    """A submitter disconnects while its submission is written."""

    async def lose(self, submitter):
        """Close the connection of a submitter once its submission is being written."""
        await self.until(lambda: self.gateway.tasks.known, "the submission is being written")
        await self.play(f"{submitter} close")
        await self.until(lambda: not self.gateway._links, "the submitter has disconnected")

    async def check_placed_later(self, path, body):
        await self.play(f"c1 send POST {path} | {body}")
        await self.lose("c1")
        self.disk_goes_on.set()
        await self.play(f"""
            p1 send POST botSessions | {bot("b1")}
            p1 expect 200
            p1 send PATCH $session X-Server-Timeout=9 | {{}}
            c2 send POST operations | {task("unsafe", requestId="r-1")}
            c2 expect 200
            p1 expect 200 leases.0.state=PENDING leases.0.payload.key=a1
            p1 send PATCH $session | {lease("ACTIVE")}
            p1 expect 200
            c2 send POST tasks | {task("unsafe", requestId="r-1")}
            c2 expect 200 answer=placed botId=b1
        """)

    async def test_a_task_is_placed_although_its_submitter_disconnects_while_it_is_written(self):
        """Guards against review case 3: such a submission was never asked for and had no answer."""
        await self.check_placed_later("tasks", task("unsafe", requestId="r-1"))

    async def test_an_operation_is_placed_although_its_submitter_disconnects_while_it_is_written(self):
        """Guards against review case 3 at `POST operations`."""
        await self.check_placed_later("operations", task("unsafe", requestId="r-1"))

    async def test_an_operation_of_a_batch_is_placed_although_its_submitter_disconnects(self):
        """Guards against review case 3 at `POST operations:batchSubmit`."""
        batch = json.dumps({"requests": [json.loads(task("unsafe", requestId="r-1"))]})
        await self.check_placed_later("operations:batchSubmit", batch)

    async def test_an_operation_that_nobody_can_fetch_is_given_up(self):
        """Guards against a task that starts after its submitter left without its name and a request id."""
        await self.play(f"c1 send POST operations | {task('unsafe')}")
        await self.lose("c1")
        self.disk_goes_on.set()
        await self.expect_nothing_for("p1", "b1")
        [submission] = self.gateway.tasks.known.values()
        self.assertEqual("CANCELLED", submission.state)
        await self.play(f"c2 send POST operations | {task('unsafe')}\nc2 expect 200 metadata.state=ASKED")

    async def test_an_operation_that_is_cancelled_while_it_is_written_is_not_handed_out(self):
        """Guards against a hand-out of a task whose cancellation was answered during the write."""
        await self.play(f"c1 send POST operations | {task('unsafe', requestId='r-1')}")
        await self.until(lambda: self.gateway.tasks.known, "the submission is being written")
        [name] = self.gateway.tasks.known
        name = name.replace("tasks", "operations")
        await self.play(f"c2 send POST {name}:cancel | {{}}\nc2 expect 200 metadata.state=CANCELLED")
        self.disk_goes_on.set()
        await self.play("c1 expect 200 done=True metadata.state=CANCELLED")
        await self.expect_nothing_for("p1", "b1")

    async def test_a_submission_that_the_disk_does_not_take_in_time_is_refused_at_its_deadline(self):
        """Guards against a submission without an answer for as long as the disk hangs."""
        started = time.monotonic()
        await self.play(f"""
            c1 send POST tasks | {task("unsafe", left=400, requestId="r-1")}
            c1 expect 200 answer=refused
        """)
        self.assertLess(time.monotonic() - started, 0.4 + ANSWER_SLACK_S)
        self.disk_goes_on.set()
        await self.expect_nothing_for("p1", "b1")


class Shutdowns(SlowDisk):
    """A gateway is told to end while submissions are written."""

    async def test_submissions_that_are_written_at_sigterm_are_answered(self):
        """Guards against connections that are closed without an answer: the write was not waited for."""
        body = task("unsafe", "b0", left=1500, requestId="r-0")
        batch = json.dumps({"requests": [json.loads(task("safe", f"b{n}", left=1500)) for n in (1, 2, 3)]})
        await self.play(f"c1 send POST tasks | {body}\nc2 send POST operations:batchSubmit | {batch}")
        await self.until(lambda: self.gateway.tasks._storing, "a submission is being written")
        shutdown = asyncio.create_task(self.gateway.end())
        await asyncio.sleep(0.3)
        self.disk_goes_on.set()
        await self.play("c1 expect 200 answer=refused")
        await self.play("c2 expect 200 responses.2.operation.metadata.state=ASKED")
        await asyncio.wait_for(shutdown, EVENT_TIMEOUT_S)

    async def test_submissions_that_are_unread_at_sigterm_are_answered(self):
        """Guards against a shutdown before the input of open connections was read."""
        self.disk_goes_on.set()
        await self.play("c1 send GET operations | {}\nc1 expect 200")
        await self.play("c2 send GET operations | {}\nc2 expect 200")
        await self.play(f"c1 send POST tasks | {task('unsafe', left=300, requestId='r-1')}")
        await self.play(f"c2 send POST tasks | {task('safe', 'b2', left=300)}")
        await asyncio.wait_for(self.gateway.end(), EVENT_TIMEOUT_S)
        await self.play("c1 expect 200 answer=refused\nc2 expect 200 answer=refused")

    async def test_a_submission_that_is_sent_during_the_shutdown_is_refused(self):
        """Guards against a shutdown that never ends because clients go on to submit."""
        await self.play("c1 send GET operations | {}\nc1 expect 200")
        await self.play(f"c2 send POST tasks | {task('unsafe', left=1000, requestId='r-1')}")
        await self.until(lambda: self.gateway.tasks._storing, "a submission is being written")
        shutdown = asyncio.create_task(self.gateway.end())
        await asyncio.sleep(0.3)
        await self.play(f"c1 send POST tasks | {task('safe', 'b3')}\nc1 expect 503")
        self.disk_goes_on.set()
        await self.play("c2 expect 200 answer=refused")
        await asyncio.wait_for(shutdown, EVENT_TIMEOUT_S)

    async def test_submissions_on_connections_that_wait_to_be_accepted_at_sigterm_are_answered(self):
        """Guards against a reset of connections that the system took before the shutdown began."""
        self.disk_goes_on.set()
        body = task("safe", "", left=300).encode()
        head = f"POST /v1test2/tasks HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        clients = [
            socket.create_connection(self.gateway.listener.address) for _ in range(WAITING_CONNECTIONS)
        ]
        with contextlib.ExitStack() as open_clients:
            for client in clients:
                open_clients.enter_context(client)
                client.sendall(head + body)
            await asyncio.wait_for(self.gateway.end(), EVENT_TIMEOUT_S)
            answers = [client.recv(4096) for client in clients]
        self.assertEqual({b"HTTP/1.1 200 OK"}, {answer.partition(b"\r\n")[0] for answer in answers})


class LateRenewals(KilledBetweenWrites):
    """A machine renews its lease after the expiry, and is told to stop."""

    timing: ClassVar = {"lease": 0.6, "grace": 5, "session": 60, "pickup": 1, "poll": 0.3, "settle": 0}

    async def renew_late(self):
        _, name = await self.place_task("keyed")
        [held] = self.gateway.bots.leases.handed_out()
        await self.until(lambda: time.time() > held.expires, "the lease has expired")
        await self.play(f"""
            p1 send PATCH $session | {lease("ACTIVE")}
            p1 expect 200 leases.0.state=CANCELLED
        """)
        return held.id, name

    async def check_lost(self, name):
        await self.play(f"""
            c2 send GET {name}
            c2 expect 200 state=LOST
            c2 send POST operations | {task("keyed")}
            c2 expect 200 metadata.state=ASKED
        """)

    async def test_a_task_that_was_told_to_stop_after_its_expiry_is_lost(self):
        """Guards against a task that stays PLACED, and its key refused, after its machine has stopped it."""
        _, name = await self.renew_late()
        await self.play(f"p1 send PATCH $session | {lease('CANCELLED')}\np1 expect 200 leases=[]")
        await self.check_lost(name)

    async def test_a_task_that_was_told_to_stop_after_its_expiry_is_lost_after_a_kill(self):
        """Guards against the same for a lease that the next gateway restores."""
        held, name = await self.renew_late()
        await self.kill_after("stop")
        await self.play(f"p2 send POST botSessions | {self.session_body(held, 'CANCELLED')}\np2 expect 200")
        await self.check_lost(name)


class RefusedRecords(KilledBetweenWrites):
    async def test_a_result_that_the_store_could_not_read_back_is_refused(self):
        """Guards against a store that no start can read: its record was nested too deep."""
        await self.hand_out("unsafe")
        held = self.parties["p1"].seen["lease"]
        for depth, code in ((reports.MAX_RESULT_DEPTH, 200), (reports.MAX_RESULT_DEPTH + 1, 400), (950, 400)):
            result = '{"x":' + "[" * (depth - 1) + "]" * (depth - 1) + "}"
            await self.play(
                f'p1 send PATCH $session | {{"leases": [{{"id": "{held}", "state": "ACTIVE", '
                f'"result": {result}}}]}}\n'
                f"p1 expect {code}"
            )

    async def test_a_record_that_does_not_fit_the_state_keeps_no_other_writer_waiting(self):
        """Guards against submissions that wait for ever for a write which has long been done."""
        storage = self.gateway.storage
        written = [storage.append(record) for record in (b"[]", durable_state.encode("spent", [7]))]
        await asyncio.wait_for(asyncio.gather(*written), EVENT_TIMEOUT_S)
        self.assertIn(7, storage.state.spent)
        self.assertIn("does not fit the state", " ".join(self.logged))


class FullDisk(KilledBetweenWrites):
    async def test_a_submission_whose_first_hand_out_could_not_be_written_is_stored_with_the_next(self):
        """Guards against a lease in the store without its submission, which no restart can restore."""
        log = self.gateway.storage._store._log
        append = log.append
        failures = []

        def fail_once(records):
            if not failures and any(json.loads(record)[0] == "handed" for record in records):
                failures.append(records)
                raise LogError("No space left on device")
            append(records)

        log.append = fail_once
        await self.play(f"""
            p1 send POST botSessions | {bot("b1")}
            p1 expect 200
            p1 send PATCH $session X-Server-Timeout=9 | {{}}
            c1 send POST tasks | {task("keyed")}
            p1 expect 200 leases=[]
        """)
        await self.until(lambda: not self.gateway.storage.write_error, "the store accepts records again")
        await self.play("""
            p1 send PATCH $session X-Server-Timeout=9 | {}
            p1 expect 200 leases.0.state=PENDING
        """)
        held = self.parties["p1"].seen["lease"]
        self.assertEqual(1, len(failures))
        await self.kill_after("handed")
        self.assertEqual([held], [one.id for one in self.gateway.bots.leases.handed_out()])
        await self.play(f"c2 send POST operations | {task('keyed')}\nc2 expect 409")


class EveryPrefix(KilledBetweenWrites):
    async def test_no_prefix_of_the_store_starts_an_unsafe_task_twice(self):
        """Guards every moment at which the gateway can be killed while a task is handed out and runs.

        A task that any machine was handed in the prefix must not be handed out by the next gateway.
        """
        await self.hand_out("unsafe", key="a1")
        await self.play(f"""
            p1 send PATCH $session X-Server-Timeout=9 | {lease("ACTIVE")}
            p1 expect 200
            p1 send PATCH $session X-Server-Timeout=9 | {lease("COMPLETED")}
            c1 send POST operations | {task("unsafe", "a2")}
            c1 expect 200
            p1 expect 200 leases.0.state=PENDING
            p1 send PATCH $session X-Server-Timeout=9 | {lease("COMPLETED")}
            c1 send POST operations | {task("unsafe", "a3")}
            c1 expect 200
            p1 expect 200 leases.0.state=PENDING
            p1 send PATCH $session | {lease("COMPLETED", 13)}
            p1 expect 200
        """)
        await self.until(lambda: len(self.gateway._ledger._reserved) == 0, "all three tasks are over")
        records = await self.stop_gateway()
        for count in range(1, len(records) + 1):
            state = durable_state.fold(records[:count])
            handed = {lease.operation for lease in state.leases.values()} | {
                json.loads(record)[2] for record in records[:count] if json.loads(record)[0] == "handed"
            }
            self.start_on(records[:count])
            offers = self.gateway.bots.leases
            machine = f"p{count}x"
            await self.play(f"""
                {machine} send POST botSessions | {bot("b2")}
                {machine} expect 200 leases=[]
                {machine} send PATCH $session X-Server-Timeout=0.1 | {{}}
                {machine} expect 200
            """)
            out = {lease.task.label for lease in offers.by_id.values() if lease.id not in state.leases}
            self.assertFalse(out & handed, f"after {count} records, the last {records[count - 1]!r}")
            self.gateway.abort()
        self.start_gateway()
