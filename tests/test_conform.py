"""The conformance suite proves our own server, and its sentences are those of docs/pullqueue.md."""

import asyncio
import copy
import re
import tempfile
import unittest
from pathlib import Path

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from scenario import SETTINGS

from weldhatch import config
from weldhatch.client import Api, ApiError
from weldhatch.conform.runner import report, run
from weldhatch.conform.suite import CHECKS, Target
from weldhatch.pullqueue import bot_sessions as bots_module
from weldhatch.pullqueue.front import PullQueue
from weldhatch.scheduling.policy import Policy

ROOT = Path(__file__).parent.parent


def gateway(folder, **timing):
    tree = copy.deepcopy(SETTINGS)
    tree["extra"] |= {"cpuBooking": 1, "memBooking": 1}
    told = config.pull_queue_config(
        {
            "enabled": True,
            "listen": "127.0.0.1:0",
            "store": str(folder),
            "timing": {"settle": 0, **timing},
            "settings": tree,
        }
    )
    return PullQueue(told, Policy(told.settings, 5), lambda line: None)


def target(front):
    return Target(f"http://127.0.0.1:{front.listener.address[1]}", "east", "safe", "keyed", "unsafe")


class Ours(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.front = gateway(folder)

    async def asyncTearDown(self):
        self.front.abort()
        await asyncio.sleep(0)

    async def test_every_sentence_holds(self):
        verdicts = await run(target(self.front))
        self.assertEqual([], [one for one in verdicts if not one.holds])
        self.assertEqual(len(CHECKS), len(verdicts))
        self.assertIn(f"{len(CHECKS)} of {len(CHECKS)} sentences hold", report(verdicts, False))
        await asyncio.sleep(0)

    async def test_a_server_that_breaks_a_promise_is_found_out(self):
        """Each fault is put into our own server; the check of its sentence has to see it."""

        async def broken(number, where, name, value):
            before = getattr(where, name)
            setattr(where, name, value)
            try:
                verdicts = await run(target(self.front), number)
                self.assertFalse(verdicts[0].holds, number)
            finally:
                setattr(where, name, before)

        bots, tasks = self.front.bots, self.front.tasks
        await broken("3.1", bots.leases, "extend_lease", lambda lease: setattr(lease, "expires", 9e9))
        await broken("6.4", tasks, "_key_rejection", lambda key, cls: None)
        await broken("4.4", tasks, "_by_request", _Forgetful())
        await broken("2.8", bots_module, "apply_update_mask", lambda tree, mask: tree)


class _Forgetful(dict):
    def get(self, *_):
        return None


def test_the_sentences_marked_are_those_that_are_checked():
    text = (ROOT / "docs" / "pullqueue.md").read_text()
    marked = set(re.findall(r"^(\d+\.\d+)\* ", text, re.M))
    every = re.findall(r"^(\d+\.\d+)\*? ", text, re.M)
    assert marked == set(CHECKS)
    assert len(every) == len(set(every))


# ---- sequences that nobody thought of
# -----------------------------------------------------------------------


class Queue(RuleBasedStateMachine):
    """Machines, submitters and restarts in any order, against a model of what may be out where."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.folder = tempfile.TemporaryDirectory()
        self.tasks = {}  # by key: operation name
        self.held = {}  # by bot: leases that it holds
        self.sessions = {}
        self.started = {}  # by key of an unsafe task: how often it was begun

    def do(self, job):
        return self.loop.run_until_complete(job)

    async def call(self, *words):
        api = Api(f"http://127.0.0.1:{self.front.listener.address[1]}")
        try:
            return 200, await api.call(*words)
        except ApiError as fault:
            return fault.code, {}
        finally:
            api.close()

    async def begin(self):
        self.front = gateway(self.folder.name, lease=30, session=60, pickup=20, poll=1)

    @initialize()
    def start(self):
        self.do(self.begin())

    @rule(key=st.integers(1, 4), unsafe=st.booleans())
    def submit(self, key, unsafe):
        name = f"{key + 16 * unsafe:x}"
        code, said = self.do(
            self.call(
                "POST",
                "operations",
                {
                    "class": "unsafe" if unsafe else "keyed",
                    "left": 3000,
                    "key": name,
                    "idem": name,
                    "extras": "cores:1;memory:1;service:1",
                },
            )
        )
        assert code in (200, 409)
        if code == 200:
            self.tasks[name] = said["name"]

    @rule(bot=st.sampled_from("ab"), keep=st.booleans())
    def open(self, bot, keep):
        held = self.held.setdefault(bot, {})
        if not keep:
            held.clear()  # its process was killed, and its tasks with it
        worker = {
            "properties": [
                {"key": key, "value": value}
                for key, value in (("cores", "8"), ("memory", "8"), ("hall", "east"), ("rack", bot))
            ]
        }
        code, said = self.do(
            self.call(
                "POST",
                "botSessions",
                {"botId": bot, "worker": worker, "leases": [{"id": one, "state": "ACTIVE"} for one in held]},
            )
        )
        assert code == 200
        self.sessions[bot] = said["name"]
        self.take(bot, said)

    def take(self, bot, said):
        for lease in said["leases"]:
            if lease["state"] == "PENDING" and "payload" in lease:
                key = lease["payload"]["key"]
                assert not any(key in held.values() for held in self.held.values()), "two attempts are out"
                self.held[bot][lease["id"]] = key
                if lease["payload"]["class"] == "unsafe":
                    self.started[key] = self.started.get(key, 0) + 1
            elif lease["state"] == "CANCELLED":
                self.held[bot].pop(lease["id"], None)

    @precondition(lambda self: self.sessions)
    @rule(bot=st.sampled_from("ab"), end=st.sampled_from(["ACTIVE", "COMPLETED", "CANCELLED"]))
    def update(self, bot, end):
        if bot not in self.sessions:
            return
        listed = [{"id": one, "state": end} for one in self.held[bot]]
        code, said = self.do(self.call("PATCH", self.sessions[bot], {"leases": listed}))
        if code == 404:
            del self.sessions[bot]
            return
        assert code == 200
        if end != "ACTIVE":
            self.held[bot].clear()
        self.take(bot, said)

    @precondition(lambda self: self.tasks)
    @rule(data=st.data())
    def cancel(self, data):
        name = self.tasks[data.draw(st.sampled_from(sorted(self.tasks)))]
        code, _ = self.do(self.call("POST", f"{name}:cancel", {}))
        assert code in (200, 404)

    @rule()
    def kill(self):
        async def again():
            self.front.abort()
            await asyncio.sleep(0)
            await self.begin()

        self.do(again())

    @invariant()
    def nothing_that_must_not_start_twice_has(self):
        assert all(count == 1 for count in self.started.values()), self.started

    def teardown(self):
        async def end():
            self.front.abort()
            await asyncio.sleep(0)

        if hasattr(self, "front"):
            self.do(end())
        self.loop.close()
        self.folder.cleanup()


Queue.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestQueue = Queue.TestCase
