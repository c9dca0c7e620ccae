"""The conformance suite against our own gateway, and random calls against a model of the pull queue."""

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


def start_gateway(folder, **timing):
    queue_settings = copy.deepcopy(SETTINGS)
    queue_settings["extra"] |= {"cpuBooking": 1, "memBooking": 1}
    queue_config = config.pull_queue_config(
        {
            "enabled": True,
            "listen": "127.0.0.1:0",
            "store": str(folder),
            "timing": {"settle": 0, **timing},
            "settings": queue_settings,
        }
    )
    return PullQueue(queue_config, Policy(queue_config.settings, 5), lambda line: None)


def target_of(gateway):
    return Target(f"http://127.0.0.1:{gateway.listener.address[1]}", "east", "safe", "keyed", "unsafe")


class ConformanceOfOurGateway(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.gateway = start_gateway(folder)

    async def asyncTearDown(self):
        self.gateway.abort()
        await asyncio.sleep(0)

    async def test_every_sentence_holds(self):
        verdicts = await run(target_of(self.gateway))
        self.assertEqual([], [verdict for verdict in verdicts if not verdict.holds])
        self.assertEqual(len(CHECKS), len(verdicts))
        self.assertIn(f"{len(CHECKS)} of {len(CHECKS)} sentences hold", report(verdicts, False))
        await asyncio.sleep(0)

    async def test_the_check_of_a_sentence_fails_if_the_gateway_violates_it(self):
        """Guards against checks that always pass: each defect is patched into our own gateway."""

        async def assert_detected(number, patched, attribute, defect):
            original = getattr(patched, attribute)
            setattr(patched, attribute, defect)
            try:
                verdicts = await run(target_of(self.gateway), number)
                self.assertFalse(verdicts[0].holds, number)
            finally:
                setattr(patched, attribute, original)

        bots, tasks = self.gateway.bots, self.gateway.tasks
        await assert_detected(
            "3.1", bots.leases, "extend_lease", lambda lease: setattr(lease, "expires", 9e9)
        )
        await assert_detected("6.4", tasks, "_key_rejection", lambda key, cls: None)
        await assert_detected("4.4", tasks, "_by_request", _DictWithoutLookup())
        await assert_detected("2.8", bots_module, "apply_update_mask", lambda tree, mask: tree)


class _DictWithoutLookup(dict):
    def get(self, *_):
        return None


def test_every_marked_sentence_of_the_page_has_a_check_and_no_other_has():
    text = (ROOT / "docs" / "pullqueue.md").read_text()
    marked = set(re.findall(r"^(\d+\.\d+)\* ", text, re.M))
    numbers = re.findall(r"^(\d+\.\d+)\*? ", text, re.M)
    assert marked == set(CHECKS)
    assert len(numbers) == len(set(numbers))


# ---- random sequences of calls and restarts


class PullQueueSequences(RuleBasedStateMachine):
    """Machines, submitters and gateway restarts in any order, against a model of the leases that are held."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.folder = tempfile.TemporaryDirectory()
        self.tasks = {}  # operation name by job key
        self.held = {}  # by bot: the job key of each lease that it holds
        self.sessions = {}  # session name by bot
        self.starts = {}  # number of starts by job key, of unsafe tasks

    def run_coroutine(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def call(self, *arguments):
        api = Api(f"http://127.0.0.1:{self.gateway.listener.address[1]}")
        try:
            return 200, await api.call(*arguments)
        except ApiError as error:
            return error.code, {}
        finally:
            api.close()

    async def start_gateway(self):
        self.gateway = start_gateway(self.folder.name, lease=30, session=60, pickup=20, poll=1)

    @initialize()
    def start(self):
        self.run_coroutine(self.start_gateway())

    @rule(key=st.integers(1, 4), unsafe=st.booleans())
    def submit(self, key, unsafe):
        job_key = f"{key + 16 * unsafe:x}"
        code, operation = self.run_coroutine(
            self.call(
                "POST",
                "operations",
                {
                    "class": "unsafe" if unsafe else "keyed",
                    "left": 3000,
                    "key": job_key,
                    "idem": job_key,
                    "extras": "cores:1;memory:1;service:1",
                },
            )
        )
        assert code in (200, 409)
        if code == 200:
            self.tasks[job_key] = operation["name"]

    @rule(bot=st.sampled_from("ab"), keep=st.booleans())
    def open_session(self, bot, keep):
        held = self.held.setdefault(bot, {})
        if not keep:
            held.clear()  # the bot's process was killed together with its tasks
        worker = {
            "properties": [
                {"key": key, "value": value}
                for key, value in (("cores", "8"), ("memory", "8"), ("hall", "east"), ("rack", bot))
            ]
        }
        code, session = self.run_coroutine(
            self.call(
                "POST",
                "botSessions",
                {
                    "botId": bot,
                    "worker": worker,
                    "leases": [{"id": lease, "state": "ACTIVE"} for lease in held],
                },
            )
        )
        assert code == 200
        self.sessions[bot] = session["name"]
        self.handle_leases(bot, session)

    def handle_leases(self, bot, session):
        for lease in session["leases"]:
            if lease["state"] == "PENDING" and "payload" in lease:
                job_key = lease["payload"]["key"]
                assert not any(
                    job_key in held.values() for held in self.held.values()
                ), "two attempts of one task are running"
                self.held[bot][lease["id"]] = job_key
                if lease["payload"]["class"] == "unsafe":
                    self.starts[job_key] = self.starts.get(job_key, 0) + 1
            elif lease["state"] == "CANCELLED":
                self.held[bot].pop(lease["id"], None)

    @precondition(lambda self: self.sessions)
    @rule(bot=st.sampled_from("ab"), state=st.sampled_from(["ACTIVE", "COMPLETED", "CANCELLED"]))
    def update_session(self, bot, state):
        if bot not in self.sessions:
            return
        reports = [{"id": lease, "state": state} for lease in self.held[bot]]
        code, session = self.run_coroutine(self.call("PATCH", self.sessions[bot], {"leases": reports}))
        if code == 404:
            del self.sessions[bot]
            return
        assert code == 200
        if state != "ACTIVE":
            self.held[bot].clear()
        self.handle_leases(bot, session)

    @precondition(lambda self: self.tasks)
    @rule(data=st.data())
    def cancel(self, data):
        name = self.tasks[data.draw(st.sampled_from(sorted(self.tasks)))]
        code, _ = self.run_coroutine(self.call("POST", f"{name}:cancel", {}))
        assert code in (200, 404)

    @rule()
    def kill_and_restart_gateway(self):
        async def restart():
            self.gateway.abort()
            await asyncio.sleep(0)
            await self.start_gateway()

        self.run_coroutine(restart())

    @invariant()
    def no_unsafe_task_starts_twice(self):
        assert all(count == 1 for count in self.starts.values()), self.starts

    def teardown(self):
        async def stop():
            self.gateway.abort()
            await asyncio.sleep(0)

        if hasattr(self, "gateway"):
            self.run_coroutine(stop())
        self.loop.close()
        self.folder.cleanup()


PullQueueSequences.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestPullQueueSequences = PullQueueSequences.TestCase
