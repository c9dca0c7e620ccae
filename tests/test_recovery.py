"""The pull queue over a restart: leases continue, answers are repeated, corrupt stores are rejected."""

import asyncio
import contextlib
import json
import random
import shutil
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import ClassVar

from scenario import SETTINGS, Client, Scenario
from test_pullqueue import Run, bot, lease, task, violations

from weldhatch import config
from weldhatch.client import Api, ApiError, BuildMachine, Outcome, Submitter, Task
from weldhatch.pullqueue import durable_state
from weldhatch.pullqueue.front import PullQueue
from weldhatch.scheduling.policy import Policy
from weldhatch.store import folded
from weldhatch.store.log import Log, LogError


class StoredQueueScenario(Scenario):
    """A gateway with a store; `restart` kills it and starts the next one on the same folder."""

    new_party_class = Client
    timing: ClassVar = {"lease": 30, "grace": 0.2, "session": 60, "pickup": 10, "poll": 10, "settle": 0}

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.parties, self.logged = {}, []
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.store = self.folder / "store"
        self.start_gateway()

    def start_gateway(self, **more):
        settings = json.loads(json.dumps(SETTINGS))
        settings["extra"] |= {"cpuBooking": 1, "memBooking": 1}
        file_config = config.pull_queue_config(
            {
                "enabled": True,
                "listen": "127.0.0.1:0",
                "store": str(self.store),
                "timing": {**self.timing, **more},
                "settings": settings,
            }
        )
        self.gateway = PullQueue(file_config, Policy(file_config.settings, 5), self.logged.append)

    async def restart(self, **more):
        await self.gateway.storage.flush()
        self.gateway.abort()
        self.start_gateway(**more)

    async def place_task(self, cls="unsafe", key="a1", **more):
        await self.play(f"""
            p1 send POST botSessions | {bot("b1")}
            p1 expect 200
            p1 send PATCH $session X-Server-Timeout=9 | {{}}
            c1 send POST tasks | {task(cls, key, **more)}
            p1 expect 200 leases.0.state=PENDING
            p1 send PATCH $session | {lease("ACTIVE")}
            c1 expect 200 answer=placed
            p1 expect 200 leases.0.state=ACTIVE
        """)
        return self.parties["p1"].seen["lease"], self.parties["c1"].seen["task"]

    def session_body(self, held, state="ACTIVE"):
        return json.dumps({**json.loads(bot("b1")), "leases": [{"id": held, "state": state}]})


class Restarts(StoredQueueScenario):
    async def test_a_lease_survives_a_restart_and_its_end_is_reported_under_the_old_name(self):
        held, name = await self.place_task()
        await self.restart()
        await self.play(f"""
            c2 send GET {name}
            c2 expect 200 state=PLACED
            p2 send POST botSessions | {self.session_body(held)}
            p2 expect 200 leases.0.id={held} leases.0.state=ACTIVE
            c2 send POST tasks | {task("unsafe")}
            c2 expect 409
            p2 send PATCH $session | {json.dumps({"leases": [{"id": held, "state": "COMPLETED",
                                                             "result": {"files": 3}}]})}
            p2 expect 200 leases=[]
            c2 send GET {name.replace("tasks", "operations")}
            c2 expect 200 done=True response.result.files=3
            c2 send POST tasks | {task("unsafe")}
            c2 expect 200 answer=failed
        """)
        self.assertIn("1 leases go on", " ".join(self.logged))

    async def test_a_key_stays_spent_over_two_restarts(self):
        held, _ = await self.place_task()
        await self.play(f"p1 send PATCH $session | {lease('COMPLETED')}\np1 expect 200")
        await self.restart()
        await self.restart()
        await self.play(f"c3 send POST tasks | {task('unsafe')}\nc3 expect 200 answer=failed")
        assert held not in self.gateway.storage.state.leases

    async def test_a_restored_gateway_hands_out_leases_without_the_settle_time(self):
        """The `settle` time applies only to the first start with a store."""
        held, _ = await self.place_task()
        holding = json.dumps({"leases": [{"id": held, "state": "ACTIVE"}]})
        await self.restart(settle=30)
        await self.play(f"""
            p2 send POST botSessions | {self.session_body(held)}
            p2 expect 200 leases.0.state=ACTIVE
            c2 send POST tasks | {task(key="b2")}
            p2 send PATCH $session X-Server-Timeout=9 | {holding}
            p2 expect 200 leases.1.state=PENDING leases.1.payload.key=b2
        """)

    async def test_a_restored_lease_that_is_never_renewed_ends_at_its_expiry(self):
        await self.restart(lease=0.5, poll=0.2)
        _, name = await self.place_task("safe")
        await self.restart(lease=0.5, poll=0.2)
        await self.play(
            f"c2 send POST {name.replace('tasks', 'operations')}:wait | {json.dumps({'timeout': '15s'})}\n"
            "c2 expect 200 done=True metadata.state=LOST error.code=10"
        )

    async def test_a_lease_cancelled_during_the_restart_is_reported_as_lost(self):
        held, name = await self.place_task("safe")
        await self.restart()
        await self.play(f"""
            p2 send POST botSessions | {self.session_body(held, "CANCELLED")}
            p2 expect 200 leases=[]
            c2 send GET {name}
            c2 expect 200 state=LOST
        """)

    async def test_a_lease_that_starts_after_the_restart_is_answered_by_the_next_run(self):
        await self.play(f"""
            p1 send POST botSessions | {bot("b1")}
            p1 expect 200
            p1 send PATCH $session X-Server-Timeout=9 | {{}}
            c1 send POST tasks | {task("unsafe", requestId="r-1")}
            p1 expect 200 leases.0.state=PENDING
        """)
        held = self.parties["p1"].seen["lease"]
        await self.restart()
        await self.play(f"c2 send POST tasks | {task('unsafe', requestId='r-1')}")
        await self.play(f"""
            p2 send POST botSessions | {self.session_body(held)}
            p2 expect 200 leases.0.state=ACTIVE
            c2 expect 200 answer=placed botId=b1
        """)

    async def test_a_retry_with_the_same_request_id_gets_the_same_answer(self):
        _, name = await self.place_task(requestId="r-7")
        await self.play(
            f"c2 send POST tasks | {task('unsafe', requestId='r-7')}\nc2 expect 200 answer=placed name={name}"
        )
        await self.restart()
        await self.play(f"""
            c3 send POST tasks | {task("unsafe", requestId="r-7")}
            c3 expect 200 answer=placed name={name}
            c3 send POST tasks | {task("safe", "ff", requestId="r-7")}
            c3 expect 409 error.details.0.fieldViolations.0.field=requestId
        """)

    async def test_a_submission_without_a_lease_is_requested_again_if_its_answer_can_be_fetched(self):
        await self.play(
            f"c1 send POST operations | {task('unsafe')}\nc1 expect 200 done=False metadata.state=ASKED"
        )
        await self.restart()
        await self.play(f"""
            p2 send POST botSessions | {bot("b1")}
            p2 expect 200
            p2 send PATCH $session X-Server-Timeout=9 | {{}}
            p2 expect 200 leases.0.state=PENDING leases.0.payload.key=a1
        """)

    async def test_a_late_end_of_the_lease_of_an_answered_submission_frees_its_key(self):
        await self.play(f"""
            p1 send POST botSessions | {bot("b1")}
            p1 expect 200
            p1 send PATCH $session X-Server-Timeout=9 | {{}}
            c1 send POST tasks | {task("keyed", left=300)}
            p1 expect 200 leases.0.state=PENDING
            c1 expect 200 answer=failed
        """)
        held = self.parties["p1"].seen["lease"]
        await self.restart()
        await self.play(f"""
            c2 send POST tasks | {task("keyed")}
            c2 expect 200 answer=refused
            p2 send POST botSessions | {self.session_body(held, "CANCELLED")}
            p2 expect 200
            c2 send POST tasks | {task("keyed")}
            p2 send PATCH $session X-Server-Timeout=9 | {{}}
            p2 expect 200 leases.0.state=PENDING
        """)

    async def test_restarts_do_not_keep_the_lease_of_a_dead_machine_alive(self):
        """A restart extends only leases that were renewed in the last epoch. Otherwise repeated restarts
        would extend the lease of a dead machine without end."""
        await self.place_task("safe")
        await self.restart(lease=1.0, poll=0.3)
        [first] = [lease.expires for lease in self.gateway.bots.leases.handed_out()]
        for _ in range(3):
            await self.restart(lease=1.0, poll=0.3)
            [restored] = [lease.expires for lease in self.gateway.bots.leases.handed_out()]
            self.assertEqual(first, restored)
        held = self.gateway.bots.leases.handed_out()[0].id
        await self.play(
            f"p2 send POST botSessions | {self.session_body(held)}\np2 expect 200 leases.0.state=ACTIVE"
        )
        await self.restart(lease=1.0, poll=0.3)
        [later] = [lease.expires for lease in self.gateway.bots.leases.handed_out()]
        self.assertGreater(later, first)

    async def test_a_stored_lease_that_was_not_sent_leaves_its_key_unused(self):
        """The machine disconnects while the record of the lease is written, and the submitter then gives the
        task up. The key would stay spent, although the task never ran."""
        original_append, written = self.gateway.storage.append, asyncio.Event()

        def append_slowly(*records):
            done = asyncio.get_running_loop().create_future()

            async def later():
                await original_append(*records)
                written.set()
                await self.parties["p1"].closed.wait()
                await self.until(
                    lambda: not self.gateway._links or len(self.gateway._links) == 1, "p1 has disconnected"
                )
                done.set_result(None)

            self.job = asyncio.ensure_future(later())
            return done

        await self.play(f"p1 send POST botSessions | {bot('b1')}\np1 expect 200")
        await self.play("p1 send PATCH $session X-Server-Timeout=9 | {}")
        self.gateway.storage.append = append_slowly
        await self.play(f"c1 send POST tasks | {task('unsafe')}")
        await asyncio.wait_for(written.wait(), 20)
        await self.play("p1 close\np1 wait closed")
        await self.until(lambda: self.job.done(), "the record is written")
        await self.play("c1 close")
        await self.until(lambda: not self.gateway.core.requests, "the task was given up")
        self.gateway.storage.append = original_append
        await self.gateway.storage.flush()
        assert not self.gateway._ledger._leased and not self.gateway._ledger._spent
        assert not self.gateway.storage.state.leases
        await self.restart()  # nor is the key spent for the next gateway
        await self.play(f"c2 send POST operations | {task('unsafe')}\nc2 expect 200 metadata.state=ASKED")


class StoreFaults(StoredQueueScenario):
    async def test_an_older_copy_of_the_store_hands_out_no_lease(self):
        copy = self.folder / "copy"
        await self.gateway.storage.flush()
        shutil.copytree(self.store, copy)
        await self.restart()
        held, _ = await self.place_task()
        self.gateway.abort()
        shutil.rmtree(self.store)
        copy.rename(self.store)
        self.start_gateway()
        await self.play(f"""
            p2 send POST botSessions | {self.session_body(held)}
            p2 expect 503 error.details.0.fieldViolations.0.field=store
            p2 send POST botSessions | {bot("b2")}
            p2 expect 503
            c2 send POST tasks | {task("unsafe")}
            c2 expect 503
        """)
        self.assertIn("older copy", " ".join(self.logged))

    async def test_a_session_name_of_a_later_epoch_reveals_an_older_store(self):
        await self.play("p1 send PATCH botSessions/99.abcd-1 | {}\np1 expect 503")

    async def test_a_second_gateway_on_the_same_store_is_rejected(self):
        with self.assertRaisesRegex(config.ConfigError, "store: .*held by a gateway"):
            self.start_gateway()

    async def test_the_lease_of_a_torn_record_is_cancelled(self):
        """The last record is torn, as by a crash. Its lease was not sent, since records are written first."""
        held, _ = await self.place_task("safe")
        await self.gateway.storage.flush()
        self.gateway.abort()
        path = self.store / "queue.log"
        data = path.read_bytes()
        at = data.rindex(b'["handed"') - 16
        path.write_bytes(data[: at + 20])
        self.start_gateway()
        await self.play(
            f"p2 send POST botSessions | {self.session_body(held)}\np2 expect 200 leases.0.state=CANCELLED"
        )
        self.assertIn("no whole record", " ".join(self.logged))

    async def test_a_flipped_bit_prevents_the_start_and_its_position_is_named(self):
        await self.place_task("safe")
        await self.gateway.storage.flush()
        self.gateway.abort()
        path = self.store / "queue.log"
        data = bytearray(path.read_bytes())
        data[60] ^= 4
        path.write_bytes(data)
        with self.assertRaisesRegex(config.ConfigError, r"store: .*queue.log: byte \d+"):
            self.start_gateway()
        path.write_bytes(b"WHLOG1\r\n")
        self.start_gateway()

    async def test_a_full_disk_rejects_new_work_without_losing_existing_work(self):
        held, name = await self.place_task("safe")
        log, original_append = self.gateway.storage._store._log, Log.append

        def fail_append(payloads):
            raise LogError("No space left on device")

        log.append = fail_append
        p1 = json.dumps({"leases": [{"id": held, "state": "ACTIVE"}]})
        await self.play(
            f"c2 send POST tasks | {task('unsafe', 'b2', left=400)}\np1 send PATCH $session "
            f"X-Server-Timeout=9 | {p1}\n"
            "p1 expect 200 leases.0.state=ACTIVE\nc2 expect 200 answer=refused"
        )
        assert 0xB2 not in self.gateway._ledger._spent  # the lease was never sent
        await self.play(f"""
            c2 send POST tasks | {task("unsafe", "b3")}
            c2 expect 503 error.details.0.fieldViolations.0.field=store
            p1 send PATCH $session | {lease("COMPLETED")}
            p1 expect 200
            c2 send GET {name}
            c2 expect 200 state=DONE
        """)
        log.append = lambda payloads: original_append(log, payloads)
        await self.until(lambda: not self.gateway.storage.write_error, "the store accepts records again")
        await self.restart()
        await self.play(f"c3 send GET {name}\nc3 expect 200 state=DONE")


class Compaction(StoredQueueScenario):
    async def test_the_log_is_compacted_while_the_gateway_serves(self):
        before = folded.COMPACTION_SLACK_RECORDS, folded.COMPACTION_FACTOR
        folded.COMPACTION_SLACK_RECORDS, folded.COMPACTION_FACTOR = 30, 1
        try:
            held, name = await self.place_task()
            for n in range(40):
                await self.play(f"c2 send POST operations | {task(key=f'c{n}')}\nc2 expect 200")
                await self.play(
                    "c2 send POST $operation:cancel | {}\nc2 expect 200".replace(
                        "$operation", list(self.gateway.tasks.known)[-1].replace("tasks", "operations")
                    )
                )
                await self.play(
                    "c2 send DELETE $operation | {}\nc2 expect 200".replace(
                        "$operation", list(self.gateway.tasks.known)[-1].replace("tasks", "operations")
                    )
                )
            await self.gateway.storage.flush()
            self.assertLess(self.gateway.storage._store._log.count, 80)
        finally:
            folded.COMPACTION_SLACK_RECORDS, folded.COMPACTION_FACTOR = before
        self.assertIn("cut down", " ".join(self.logged))
        await self.restart()
        await self.play(f"c3 send GET {name}\nc3 expect 200 state=PLACED")
        assert held in self.gateway.storage.state.leases


class StateFolding(Scenario):
    async def asyncSetUp(self):
        pass

    async def asyncTearDown(self):
        pass

    async def test_a_snapshot_folds_to_the_same_state(self):
        state = durable_state.QueueState()
        for record in (
            ("epoch", 3, "ab", 0),
            ("asked", "tasks/1", {"class": "safe"}, "b", {"at": 1}),
            ("asked", "tasks/2", {}, "", {}),
            ("handed", "l1", "tasks/1", "b1", [1, 2, "h", "r"], 0),
            ("running", "l1"),
            ("answer", "tasks/1", {"answer": "placed"}),
            ("spent", [1, 2]),
            ("answer", "tasks/2", {"answer": "failed"}),
            ("handed", "l2", "tasks/2", "b1", [], 0),
            ("over", "l2"),
            ("probe",),
            ("end", "tasks/1", "DONE", 16, {"x": 1}),
        ):
            state.apply(durable_state.encode(*record))
        again = durable_state.fold(state.snapshot_records())
        self.assertEqual(
            (state.operations.keys(), state.leases.keys(), state.spent),
            (again.operations.keys(), again.leases.keys(), again.spent),
        )
        for name, one in state.operations.items():
            self.assertEqual(
                (one.state, one.answer, one.over, one.result, one.lease if one.lease == "l1" else ""),
                (
                    again.operations[name].state,
                    again.operations[name].answer,
                    again.operations[name].over,
                    again.operations[name].result,
                    again.operations[name].lease,
                ),
            )
        for bad in (b"{", b"[]", b'["what"]', b'["asked"]', b"7"):
            with self.assertRaises(ValueError):
                state.apply(bad)

    async def test_names_of_later_epochs_are_recognized(self):
        self.assertEqual((7, "3fa0"), durable_state.epoch_of("leases/7.3fa0-12"))
        self.assertIsNone(durable_state.epoch_of("leases/18c2-12"))
        self.assertEqual("", durable_state.find_later_name(["leases/7.aa-1", "x", "leases/8.bb-1"], 8, "bb"))
        self.assertEqual("leases/8.cc-1", durable_state.find_later_name(["leases/8.cc-1"], 8, "bb"))
        self.assertEqual("leases/9.bb-1", durable_state.find_later_name(["leases/9.bb-1"], 8, "bb"))


class RandomKills(StoredQueueScenario):
    """Machines and the gateway are killed again and again at random times; the machines' records are checked
    for second starts and overlapping runs."""

    timing: ClassVar = {"lease": 1.2, "grace": 0.3, "session": 5, "pickup": 1, "poll": 0.3, "settle": 0}
    runs_wanted = 200

    async def test_random_kills_cause_no_second_start_and_no_second_answer(self):
        rng, runs, answers, kills = random.Random(7), [], {}, Counter()
        self.fixed = self.gateway.listener.address
        address = f"http://127.0.0.1:{self.fixed[1]}"
        done = asyncio.Event()

        async def run(lease, hall):
            own = Run(lease.payload["key"], lease.payload["class"], hall, time.time())
            runs.append(own)
            try:
                await asyncio.sleep(rng.choice((0.02, 0.1, 0.5)))
                return Outcome()
            finally:
                own.ended = time.time()

        async def machine(n):
            hall = ("east", "west")[n % 2]
            while not done.is_set():
                async with Api(address) as api:
                    one = BuildMachine(
                        api,
                        f"b{n}",
                        {"cores": "8", "memory": "64", "hall": hall, "rack": f"r{n}"},
                        lambda lease: run(lease, hall),
                        poll_s=0.3,
                    )
                    serving = asyncio.ensure_future(one.serve())
                    await asyncio.wait([serving], timeout=rng.uniform(0.2, 5.0))
                    serving.cancel()  # killed: its tasks stop without a report
                    await asyncio.gather(serving, return_exceptions=True)
                    kills["machine"] += 1

        async def submitter(n):
            async with Api(address) as api:
                submitter, serial = Submitter(api), 0
                while not done.is_set():
                    serial += 1
                    asked = Task(
                        rng.choice(("safe", "keyed", "unsafe")),
                        key=f"{n:x}{serial:04x}",
                        left_s=rng.choice((0.5, 1.5)),
                    )
                    with contextlib.suppress(ApiError):  # no answer in time
                        answer = await submitter.submit(asked)
                        if answer.name:
                            self.assertEqual(answer.answer, answers.setdefault(answer.name, answer.answer))

        async def killer():
            while not done.is_set():
                await asyncio.sleep(rng.uniform(0.05, 1.6))
                self.gateway.abort()  # records that are not written yet are lost
                await asyncio.sleep(rng.choice((0.0, 0.1, 0.4)))
                self.start_gateway()
                kills["gateway"] += 1

        jobs = [
            asyncio.ensure_future(job)
            for job in (*(machine(n) for n in range(6)), *(submitter(n) for n in range(12)), killer())
        ]
        async with asyncio.timeout(120):
            while len(runs) < self.runs_wanted or kills["gateway"] < 10:
                failed = [job for job in jobs if job.done() and job.exception()]
                self.assertFalse(failed, failed)
                await asyncio.sleep(0.05)
        done.set()
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
        self.assertEqual([], violations(runs))
        self.assertGreaterEqual(kills["machine"], 6)
        self.assertFalse([line for line in self.logged if "fault" in line or "failed on" in line])

    def start_gateway(self, **more):
        listen = "127.0.0.1:{}".format(self.fixed[1] if hasattr(self, "fixed") else 0)
        settings = json.loads(json.dumps(SETTINGS))
        settings["extra"] |= {"cpuBooking": 1, "memBooking": 1}
        file_config = config.pull_queue_config(
            {
                "enabled": True,
                "listen": listen,
                "store": str(self.store),
                "timing": {**self.timing, **more},
                "settings": settings,
            }
        )
        self.gateway = PullQueue(file_config, Policy(file_config.settings, 5), self.logged.append)
