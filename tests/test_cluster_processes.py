"""A group of real processes agrees on settings while links are cut, processes stopped and stores lost.

The tests check which tasks the stand-in machines received, and when (`testbed.rule_conflict_checker`).
"""

import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
import unittest
from pathlib import Path

import pytest

from weldhatch.pullqueue import reconfiguration
from weldhatch.testbed import rule_conflict_checker
from weldhatch.testbed.process_cluster import Rig, settings, until

pytestmark = pytest.mark.fleet

CONSISTENCY_BOUND_S = 3.0
DELIVERY_SLACK_S = 0.3  # from a dispatcher's check until this test notes the start: event loops, network
TASK_DURATION_S = 30.0


class ClusterTestCase(unittest.IsolatedAsyncioTestCase):
    async def start_cluster(self, count=3, **options):
        folder = tempfile.TemporaryDirectory(prefix="weldhatch-rig-")
        self.addCleanup(folder.cleanup)
        cluster = Rig(Path(folder.name), count, stated=CONSISTENCY_BOUND_S, **options)
        self.addAsyncCleanup(cluster.close)
        self.cluster = await cluster.__aenter__()
        return self.cluster

    def add_machines(self, duration_s, count=2):
        for n in range(count):
            self.cluster.machine(f"m{n}", f"r{n}", duration_s)

    async def wait_for_starts(self, count, **wanted):
        await until(lambda: len(self.cluster.since(0, **wanted)) >= count, 15, f"{count} starts {wanted}")


class OperatorDirectives(ClusterTestCase):
    async def test_a_drain_binds_every_dispatcher_within_the_consistency_bound(self):
        """Guards against starts on a drained machine by a dispatcher that is cut off, and by one that was
        stopped with offers waiting: after it wakes, its lease has expired and it must make no offer."""
        cluster = await self.start_cluster(5)
        self.add_machines(0.2)
        cluster.load(0.03)
        for name in cluster.nodes:
            await self.wait_for_starts(10, gateway=name)
        machine = cluster.busiest()
        cluster.cut("g3")
        cluster.stop("g4")
        at = time.monotonic()
        await cluster.word("g1", machine, "draining", 1)
        answered = time.monotonic()
        await asyncio.sleep(CONSISTENCY_BOUND_S + 0.3 - (answered - at))
        cluster.wake("g4")
        woken = time.monotonic()
        await until(lambda: cluster.since(woken + 0.2, gateway="g4"), 30, "g4 starts tasks again")
        spans = rule_conflict_checker.drained(cluster.starts, machine, answered)
        self.assertLess(rule_conflict_checker.last(spans), CONSISTENCY_BOUND_S, spans)
        self.assertFalse(cluster.since(answered + CONSISTENCY_BOUND_S, gateway="g3"))
        cluster.heal()
        healed = time.monotonic()
        await until(lambda: cluster.since(healed, gateway="g3"), 30, "g3 starts tasks again")
        self.assertFalse(cluster.since(healed, machine=machine))
        # The drain is undone: once all dispatchers know it, the machine is used again.
        await cluster.word("g2", machine, "ready", 2)
        await until(lambda: cluster.since(healed, machine=machine), 30, "the machine is used again")


class Versions(ClusterTestCase):
    async def test_a_widened_limit_waits_for_old_leases_and_a_tightened_one_acts_within_the_bound(self):
        cluster = await self.start_cluster(4, tree=settings(extra__spreadMost=[6, 0, 0]))
        cluster.machine("m0", "r0", TASK_DURATION_S)
        cluster.load(0.05)
        for name in cluster.nodes:
            await self.wait_for_starts(6, gateway=name)
        # Widening: g3 is cut off, and may act on the narrower limit until its lease has expired.
        cluster.cut("g3")
        cut = time.monotonic()
        number = await cluster.propose("g0", settings(extra__spreadMost=[9, 0, 0]))
        await cluster.active("g0", number)
        await until(lambda: len(cluster.since(cut, gateway="g0")) >= 3, 30, "the wider limit is in use")
        wider = rule_conflict_checker.beyond(cluster.starts, rule_conflict_checker.Limit("machine", 6), cut)
        # Not before g3's grace period, which follows its lease, has ended.
        self.assertGreater(min(wider), 0.6 * CONSISTENCY_BOUND_S, wider)
        self.assertEqual(
            rule_conflict_checker.beyond(cluster.starts, rule_conflict_checker.Limit("machine", 9), cut), []
        )
        self.assertEqual(len(cluster.since(0, gateway="g3")), 6)
        # Tightening: each dispatcher acts on the new limit once it knows it; g3 gets the newest version.
        cluster.heal()
        at = time.monotonic()
        number = await cluster.propose("g1", settings(extra__spreadMost=[7, 0, 0]))
        await asyncio.gather(*(cluster.active(name, number) for name in cluster.nodes))
        late = rule_conflict_checker.beyond(
            cluster.starts, rule_conflict_checker.Limit("machine", 7), at + DELIVERY_SLACK_S
        )
        self.assertLess(rule_conflict_checker.last(late), CONSISTENCY_BOUND_S)

    async def test_a_switch_is_never_acted_on_both_ways(self):
        """The limit changes from two tasks a machine to two a rack. Guards against a stopped process that
        wakes with waiting offers that only the old rules allow."""
        tree = settings(extra__spreadMost=[2, 0, 0])
        cluster = await self.start_cluster(4, tree=tree)
        for n in range(3):
            cluster.machine(f"m{n}", "r0", 0.4)
        cluster.load(0.04)
        for name in cluster.nodes:
            await self.wait_for_starts(12, gateway=name)
        cluster.stop("g3")
        tree = settings(extra__spreadMost=[2, 0, 0], extra__spreadOver=["cell", "silent", "silent"])
        number = await cluster.propose("g0", tree)
        await cluster.active("g1", number)
        active = time.monotonic()
        cluster.wake("g3")
        await until(lambda: cluster.since(active + 0.5, gateway="g3"), 30, "g3 starts tasks again")
        old = rule_conflict_checker.beyond(
            cluster.since(active - 1.0), rule_conflict_checker.Limit("cell", 2), active + DELIVERY_SLACK_S
        )
        self.assertEqual(old, [])
        # While the version was prepared, no dispatcher started a task of that class under either rule.
        early = [start for start in cluster.since(active - 1.0) if start.at < active - DELIVERY_SLACK_S]
        self.assertEqual(early, [])

    async def test_a_rejected_proposal_names_its_key_and_changes_nothing(self):
        cluster = await self.start_cluster(3)
        tree = settings()
        tree["classes"] = tree["classes"][1:]
        with self.assertRaisesRegex(LookupError, "classes: items may be added at the end"):
            await cluster.propose("g0", tree)
        with self.assertRaisesRegex(LookupError, r"limits.mostTries has the unusable value 'x'"):
            await cluster.propose("g0", settings(limits__mostTries="x"))
        with self.assertRaisesRegex(LookupError, "despite: no dispatcher is named 'g9'"):
            await cluster.propose("g0", settings(), despite=["g9"])
        proposals = asyncio.gather(
            *(
                cluster.propose(name, settings(limits__mostTries=n), base=1)
                for n, name in enumerate(("g0", "g1"), 2)
            ),
            return_exceptions=True,
        )
        results = await proposals
        self.assertEqual(sorted(type(result).__name__ for result in results), ["LookupError", "int"])
        await cluster.active("g2", 2)
        outdated = "version 2 is in force.*\n  limits.mostTries: 4 then, . now"
        with self.assertRaisesRegex(LookupError, outdated):
            await cluster.propose("g2", settings(limits__mostTries=1), base=1)
        self.assertEqual((await cluster.held("g1"))["number"], 2)

    async def test_a_plan_applied_at_one_gateway_becomes_a_version_of_all(self):
        cluster = await self.start_cluster(3)
        gateway = reconfiguration.ControlClient(("127.0.0.1", cluster.nodes["g1"].control))
        applied = await asyncio.to_thread(gateway.applied)
        plan = reconfiguration.make_plan(applied, {**applied, "settings": settings(limits__mostTries=2)})
        result = await asyncio.to_thread(gateway.apply, plan)
        self.assertEqual((result["applied"], result["version"], result["restarting"]), (1, 2, False))
        await asyncio.gather(*(cluster.active(name, 2) for name in cluster.nodes))
        other = reconfiguration.ControlClient(("127.0.0.1", cluster.nodes["g2"].control))
        now_applied = await asyncio.to_thread(other.applied)
        self.assertEqual(now_applied["settings"]["limits"]["mostTries"], 2)
        both = {**now_applied, "queue": 100, "settings": settings(limits__mostTries=3)}
        with self.assertRaisesRegex(reconfiguration.Refused, "plan them apart"):
            await asyncio.to_thread(other.apply, reconfiguration.make_plan(now_applied, both))


class Voters(ClusterTestCase):
    async def test_leaders_that_are_killed_at_each_stage_lose_no_version(self):
        # An import that its machine accepts late is cancelled after its latency objective, and may have run
        # by then. The objective is long, so that a stall of the test process does not make an import fail.
        long_objective = {"classes__1__aimUs": 2_500_000}
        cluster = await self.start_cluster(5, tree=settings(**long_objective))
        self.add_machines(0.2)
        counts = cluster.load(0.2, "import", left=2.9)
        await self.wait_for_starts(10)
        for n in range(2):
            leader = await cluster.leader()
            others = [name for name in cluster.voters if name != leader]
            tree = settings(limits__mostTries=n + 1, **long_objective)
            proposed = asyncio.ensure_future(cluster.propose(others[0], tree))
            await asyncio.sleep(0.004 * n)
            await cluster.kill(leader)
            with contextlib.suppress(LookupError, OSError):
                number = await proposed  # retried at the next leader, and decided once
                await cluster.active(others[0], number)
            await cluster.leader(others)
            await cluster.start(leader)
            await cluster.footing(leader, "lease")
            digests = {(await cluster.held(name))["digest"] for name in cluster.nodes}
            self.assertEqual(len(digests), 1)
        self.assertEqual((await cluster.held("g4"))["number"], 3)
        await until(lambda: counts["placed"] > 30, 30, "tasks are still placed")
        killed = set(cluster.voters)  # a task in flight at a process that is killed may have run
        self.assertEqual([failure for failure in cluster.failures if failure[0] not in killed], [])
        for name in cluster.nodes:
            self.assertNotIn("Traceback", cluster.nodes[name].logged())

    async def test_one_voter_down_changes_nothing_and_two_down_stop_all_starts_until_a_recovery(self):
        cluster = await self.start_cluster(4)
        self.add_machines(0.2)
        cluster.load(0.1, "lookup")
        cluster.load(0.1, "writer", service=2)
        await self.wait_for_starts(8, class_name="writer")
        leader = await cluster.leader()
        followers = [name for name in cluster.voters if name != leader]
        await cluster.kill(followers[0])
        number = await cluster.propose("g3", settings(limits__mostTries=2))
        await cluster.active("g3", number)
        at = time.monotonic()
        await until(lambda: cluster.since(at, class_name="writer", gateway="g3"), 30, "writers start")
        await cluster.kill(followers[1])
        await asyncio.gather(*(cluster.lapsed(name) for name in (leader, "g3")))
        lapsed = time.monotonic()
        await asyncio.gather(*(cluster.footing(name, "nothing new") for name in (leader, "g3")))
        expired = time.monotonic()
        self.assertFalse(cluster.since(lapsed + DELIVERY_SLACK_S, class_name="writer"))
        with self.assertRaisesRegex(LookupError, "no leader took it"):
            await cluster.propose("g3", settings())
        self.assertFalse(cluster.since(expired + DELIVERY_SLACK_S))
        # The two are lost permanently: an operator makes the third the only voter, which stays on record.
        await cluster.ask(leader, "rules/recover", {"why": "two machines burnt", "by": "ops"})
        await cluster.footing("g3", "lease")
        await until(
            lambda: cluster.since(expired + 1, class_name="writer", gateway="g3"), 30, "writers start"
        )
        recoveries = (await cluster.held("g3"))["recoveries"]
        self.assertEqual([recovery["why"] for recovery in recoveries], ["two machines burnt"])
        # One of the lost voters returns after all, and has no vote until it is added again.
        await cluster.start(followers[0])
        await until(
            lambda: "left this voter behind" in cluster.nodes[followers[0]].logged(), 30, "it is notified"
        )
        node = cluster.nodes[followers[0]]
        await cluster.ask(leader, "peers", {"add": {node.name: f"127.0.0.1:{node.link}"}})
        await cluster.footing(node.name, "lease")
        self.assertEqual((await cluster.held(node.name))["lost"], "")

    async def test_a_voter_with_an_older_or_lost_store_does_not_vote(self):
        cluster = await self.start_cluster(4)
        followers = [name for name in cluster.voters if name != await cluster.leader()]
        copy = cluster.copy_store(followers[0])
        for n in range(3):
            await cluster.active("g3", await cluster.propose("g3", settings(limits__mostTries=n + 1)))
        await cluster.kill(followers[0])
        cluster.set_back(followers[0], copy)
        await cluster.start(followers[0])
        await until(
            lambda: '"agreement.lost"' in cluster.nodes[followers[0]].logged(),
            30,
            "the older copy is detected",
        )
        # As a dispatcher, the process still serves, with the state of the other voters.
        await cluster.footing(followers[0], "lease")
        self.assertEqual((await cluster.held(followers[0]))["number"], 4)
        await cluster.kill(followers[1])
        cluster.lose_store(followers[1])
        await cluster.start(followers[1])
        await until(
            lambda: "store is an older copy" in cluster.nodes[followers[1]].logged(),
            30,
            "the lost store is detected",
        )
        self.assertEqual((await cluster.held(followers[1]))["footing"], "nothing new")

    async def test_a_second_process_under_the_same_name_is_fenced_off(self):
        cluster = await self.start_cluster(4)
        twin = cluster.nodes["g3"]
        tree = json.loads(twin.file.read_text())
        tree["listen"] = tree["control"] = "127.0.0.1:0"
        tree["agreement"] |= {"listen": "", "control": "", "store": str(twin.folder / "twin")}
        path = twin.folder / "twin.json"
        path.write_text(json.dumps(tree))
        with open(twin.folder / "twin.log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "weldhatch",
                "--pullqueue",
                str(path),
                stderr=log,
                cwd=Path(__file__).parent.parent,
            )
        try:
            log = twin.folder / "twin.log"
            await until(lambda: "older copy" in log.read_text(), 30, "the second process is fenced off")
        finally:
            process.kill()
            await process.wait()
        self.assertEqual((await cluster.held("g3"))["footing"], "lease")

    async def test_voters_can_be_added_and_removed_and_leadership_handed_over(self):
        cluster = await self.start_cluster(4)
        newcomer = cluster.nodes["g3"]
        change = await cluster.ask("g0", "peers", {"add": {"g3": f"127.0.0.1:{newcomer.link}"}})
        self.assertEqual(sorted(change["voters"]), ["g0", "g1", "g2", "g3"])
        await until(lambda: "g3" in newcomer.logged(), 30, "the new voter is notified")
        leader = await cluster.leader([*cluster.voters, "g3"])
        removed = next(name for name in cluster.voters if name != leader)
        change = await cluster.ask("g3", "peers", {"remove": removed})
        self.assertEqual(len(change["voters"]), 3)
        await cluster.ask("g3", "peers", {"hand": "g3"})
        await until(lambda: '"agreement.leads"' in newcomer.logged(), 30, "the new voter leads")
        await cluster.active("g0", await cluster.propose("g0", settings(limits__mostTries=2)))
        # A graceful shutdown hands leadership over and leaves the group.
        self.assertEqual(await cluster.end("g3"), 0)
        await cluster.active("g0", await cluster.propose("g0", settings(limits__mostTries=3)))
        self.assertNotIn("g3", (await cluster.held("g0"))["members"])

    async def test_a_voter_with_a_hanging_disk_does_not_stop_the_others(self):
        cluster = await self.start_cluster(3)
        leader = await cluster.leader()
        cluster.nodes[leader].send(signal.SIGSTOP)  # stands for a hanging disk
        others = [name for name in cluster.voters if name != leader]
        await cluster.leader(others)
        number = await cluster.propose(others[0], settings(limits__mostTries=2))
        await cluster.active(others[1], number)
        cluster.wake(leader)
        await cluster.active(leader, number)
        await cluster.footing(leader, "lease")
