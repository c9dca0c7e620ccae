"""Several real processes agree on their rules while links are cut, processes stopped and stores lost.

What they did is judged from what stand-in machines were handed, and when (`testbed.rule_conflict_checker`).
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

STATED = 3.0
SLIP_S = 0.3  # from the check to the machine: one turn of the loop, the wire, and this test's own delay
HOLD = 30.0


class Fleet(unittest.IsolatedAsyncioTestCase):
    async def rig(self, count=3, **more):
        folder = tempfile.TemporaryDirectory(prefix="weldhatch-rig-")
        self.addCleanup(folder.cleanup)
        one = Rig(Path(folder.name), count, stated=STATED, **more)
        self.addAsyncCleanup(one.close)
        self.one = await one.__aenter__()
        return self.one

    def machines(self, hold, count=2):
        for n in range(count):
            self.one.machine(f"m{n}", f"r{n}", hold)

    async def some(self, count, **wanted):
        await until(lambda: len(self.one.since(0, **wanted)) >= count, 15, f"{count} starts {wanted}")


class Words(Fleet):
    async def test_a_drain_counts_for_all_within_the_stated_time(self):
        """One is cut off, and one is stopped with offers that wait: it wakes to no lease, and hands none
        out."""
        rig = await self.rig(5)
        self.machines(0.2)
        rig.load(0.03)
        for name in rig.nodes:
            await self.some(10, gateway=name)
        machine = rig.busiest()
        rig.cut("g3")
        rig.stop("g4")
        at = time.monotonic()
        await rig.word("g1", machine, "draining", 1)
        answered = time.monotonic()
        await asyncio.sleep(STATED + 0.3 - (answered - at))
        rig.wake("g4")
        woken = time.monotonic()
        await until(lambda: rig.since(woken + 0.2, gateway="g4"), 30, "g4 works again")
        spans = rule_conflict_checker.drained(rig.starts, machine, answered)
        self.assertLess(rule_conflict_checker.last(spans), STATED, spans)
        self.assertFalse(rig.since(answered + STATED, gateway="g3"))
        rig.heal()
        healed = time.monotonic()
        await until(lambda: rig.since(healed, gateway="g3"), 30, "g3 works again")
        self.assertFalse(rig.since(healed, machine=machine))
        # Undone: once everybody holds it, all use the machine again.
        await rig.word("g2", machine, "ready", 2)
        await until(lambda: rig.since(healed, machine=machine), 30, "it is used again")


class Versions(Fleet):
    async def test_a_limit_that_tightens_and_one_that_widens(self):
        rig = await self.rig(4, tree=settings(extra__spreadMost=[6, 0, 0]))
        rig.machine("m0", "r0", HOLD)
        rig.load(0.05)
        for name in rig.nodes:
            await self.some(6, gateway=name)
        # Widening: g3 is cut off, and may act on the narrower one until its lease has run out.
        rig.cut("g3")
        cut = time.monotonic()
        number = await rig.propose("g0", settings(extra__spreadMost=[9, 0, 0]))
        await rig.active("g0", number)
        await until(lambda: len(rig.since(cut, gateway="g0")) >= 3, 30, "the wider one acts")
        wider = rule_conflict_checker.beyond(rig.starts, rule_conflict_checker.Limit("machine", 6), cut)
        self.assertGreater(min(wider), 0.6 * STATED, wider)  # not before g3's common ground had run out
        self.assertEqual(
            rule_conflict_checker.beyond(rig.starts, rule_conflict_checker.Limit("machine", 9), cut), []
        )
        self.assertEqual(len(rig.since(0, gateway="g3")), 6)
        # Tightening: whoever hears of it acts on it at once; g3 comes back to the newest.
        rig.heal()
        at = time.monotonic()
        number = await rig.propose("g1", settings(extra__spreadMost=[7, 0, 0]))
        await asyncio.gather(*(rig.active(name, number) for name in rig.nodes))
        late = rule_conflict_checker.beyond(
            rig.starts, rule_conflict_checker.Limit("machine", 7), at + SLIP_S
        )
        self.assertLess(rule_conflict_checker.last(late), STATED)

    async def test_a_switch_is_never_acted_on_both_ways(self):
        """From two a machine to two a rack: a stopped process wakes with offers that only the old rules
        let go."""
        tree = settings(extra__spreadMost=[2, 0, 0])
        rig = await self.rig(4, tree=tree)
        for n in range(3):
            rig.machine(f"m{n}", "r0", 0.4)
        rig.load(0.04)
        for name in rig.nodes:
            await self.some(12, gateway=name)
        rig.stop("g3")
        tree = settings(extra__spreadMost=[2, 0, 0], extra__spreadOver=["cell", "silent", "silent"])
        number = await rig.propose("g0", tree)
        await rig.active("g1", number)
        active = time.monotonic()
        rig.wake("g3")
        await until(lambda: rig.since(active + 0.5, gateway="g3"), 30, "g3 works again")
        old = rule_conflict_checker.beyond(
            rig.since(active - 1.0), rule_conflict_checker.Limit("cell", 2), active + SLIP_S
        )
        self.assertEqual(old, [])
        # And while it was prepared, nobody started anything of that class under either.
        told = [one for one in rig.since(active - 1.0) if one.at < active - SLIP_S]
        self.assertEqual(told, [])

    async def test_a_refused_key_is_named_and_nothing_changes(self):
        rig = await self.rig(3)
        tree = settings()
        tree["classes"] = tree["classes"][1:]
        with self.assertRaisesRegex(LookupError, "classes: items may be added at the end"):
            await rig.propose("g0", tree)
        with self.assertRaisesRegex(LookupError, r"limits.mostTries has the unusable value 'x'"):
            await rig.propose("g0", settings(limits__mostTries="x"))
        with self.assertRaisesRegex(LookupError, "despite: no dispatcher is named 'g9'"):
            await rig.propose("g0", settings(), despite=["g9"])
        first = asyncio.gather(
            *(
                rig.propose(name, settings(limits__mostTries=n), base=1)
                for n, name in enumerate(("g0", "g1"), 2)
            ),
            return_exceptions=True,
        )
        told = await first
        self.assertEqual(sorted(type(one).__name__ for one in told), ["LookupError", "int"])
        await rig.active("g2", 2)
        moved = "version 2 is in force.*\n  limits.mostTries: 4 then, . now"
        with self.assertRaisesRegex(LookupError, moved):
            await rig.propose("g2", settings(limits__mostTries=1), base=1)
        self.assertEqual((await rig.held("g1"))["number"], 2)

    async def test_a_plan_applied_at_one_gateway_becomes_a_version_of_all(self):
        rig = await self.rig(3)
        gateway = reconfiguration.ControlClient(("127.0.0.1", rig.nodes["g1"].control))
        now = await asyncio.to_thread(gateway.applied)
        plan = reconfiguration.make_plan(now, {**now, "settings": settings(limits__mostTries=2)})
        told = await asyncio.to_thread(gateway.apply, plan)
        self.assertEqual((told["applied"], told["version"], told["restarting"]), (1, 2, False))
        await asyncio.gather(*(rig.active(name, 2) for name in rig.nodes))
        other = reconfiguration.ControlClient(("127.0.0.1", rig.nodes["g2"].control))
        then = await asyncio.to_thread(other.applied)
        self.assertEqual(then["settings"]["limits"]["mostTries"], 2)
        both = {**then, "queue": 100, "settings": settings(limits__mostTries=3)}
        with self.assertRaisesRegex(reconfiguration.Refused, "plan them apart"):
            await asyncio.to_thread(other.apply, reconfiguration.make_plan(then, both))


class Voters(Fleet):
    async def test_leaders_that_are_killed_at_each_stage_lose_no_version(self):
        # An import whose machine is slow to take it is called off after its aim, and may have run by then:
        # with no time to spare, a test process that stalls would make it fail.
        calm = {"classes__1__aimUs": 2_500_000}
        rig = await self.rig(5, tree=settings(**calm))
        self.machines(0.2)
        counts = rig.load(0.2, "import", left=2.9)
        await self.some(10)
        for n in range(2):
            leader = await rig.leader()
            others = [name for name in rig.voters if name != leader]
            tree = settings(limits__mostTries=n + 1, **calm)
            proposed = asyncio.ensure_future(rig.propose(others[0], tree))
            await asyncio.sleep(0.004 * n)
            await rig.kill(leader)
            with contextlib.suppress(LookupError, OSError):
                number = await proposed  # said again to the next leader: it is decided once
                await rig.active(others[0], number)
            await rig.leader(others)
            await rig.start(leader)
            await rig.footing(leader, "lease")
            told = {(await rig.held(name))["digest"] for name in rig.nodes}
            self.assertEqual(len(told), 1)
        self.assertEqual((await rig.held("g4"))["number"], 3)
        await until(lambda: counts["placed"] > 30, 30, "work goes on")
        killed = set(rig.voters)  # what one that is killed had under way may have run
        self.assertEqual([one for one in rig.failures if one[0] not in killed], [])
        for name in rig.nodes:
            self.assertNotIn("Traceback", rig.nodes[name].logged())

    async def test_with_one_voter_down_everything_goes_on_and_with_two_only_what_is_certain(self):
        rig = await self.rig(4)
        self.machines(0.2)
        rig.load(0.1, "lookup")
        rig.load(0.1, "writer", service=2)
        await self.some(8, class_name="writer")
        leader = await rig.leader()
        followers = [name for name in rig.voters if name != leader]
        await rig.kill(followers[0])
        number = await rig.propose("g3", settings(limits__mostTries=2))
        await rig.active("g3", number)
        at = time.monotonic()
        await until(lambda: rig.since(at, class_name="writer", gateway="g3"), 30, "writers start")
        await rig.kill(followers[1])
        await asyncio.gather(*(rig.lapsed(name) for name in (leader, "g3")))
        ground = time.monotonic()
        await asyncio.gather(*(rig.footing(name, "nothing new") for name in (leader, "g3")))
        nothing = time.monotonic()
        self.assertFalse(rig.since(ground + SLIP_S, class_name="writer"))
        with self.assertRaisesRegex(LookupError, "no leader took it"):
            await rig.propose("g3", settings())
        self.assertFalse(rig.since(nothing + SLIP_S))
        # The two are lost for good: an operator has the third go on alone, and it is seen for ever after.
        await rig.ask(leader, "rules/recover", {"why": "two machines burnt", "by": "ops"})
        await rig.footing("g3", "lease")
        await until(lambda: rig.since(nothing + 1, class_name="writer", gateway="g3"), 30, "writers start")
        told = (await rig.held("g3"))["recoveries"]
        self.assertEqual([one["why"] for one in told], ["two machines burnt"])
        # One of those left behind comes back after all, and decides nothing until it is taken in.
        await rig.start(followers[0])
        await until(lambda: "left this voter behind" in rig.nodes[followers[0]].logged(), 30, "it hears")
        one = rig.nodes[followers[0]]
        await rig.ask(leader, "peers", {"add": {one.name: f"127.0.0.1:{one.link}"}})
        await rig.footing(one.name, "lease")
        self.assertEqual((await rig.held(one.name))["lost"], "")

    async def test_a_store_that_is_an_older_copy_or_lost_does_not_vote(self):
        rig = await self.rig(4)
        followers = [name for name in rig.voters if name != await rig.leader()]
        copy = rig.copy_store(followers[0])
        for n in range(3):
            await rig.active("g3", await rig.propose("g3", settings(limits__mostTries=n + 1)))
        await rig.kill(followers[0])
        rig.set_back(followers[0], copy)
        await rig.start(followers[0])
        await until(lambda: '"agreement.lost"' in rig.nodes[followers[0]].logged(), 30, "it is found out")
        await rig.footing(followers[0], "lease")  # as a dispatcher it goes on, by what the others say
        self.assertEqual((await rig.held(followers[0]))["number"], 4)
        await rig.kill(followers[1])
        rig.lose_store(followers[1])
        await rig.start(followers[1])
        await until(lambda: "store is an older copy" in rig.nodes[followers[1]].logged(), 30, "it is too")
        self.assertEqual((await rig.held(followers[1]))["footing"], "nothing new")

    async def test_two_processes_under_one_name(self):
        rig = await self.rig(4)
        twin = rig.nodes["g3"]
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
            await until(lambda: "older copy" in log.read_text(), 30, "it is fenced off")
        finally:
            process.kill()
            await process.wait()
        self.assertEqual((await rig.held("g3"))["footing"], "lease")

    async def test_voters_come_go_and_hand_over(self):
        rig = await self.rig(4)
        newcomer = rig.nodes["g3"]
        told = await rig.ask("g0", "peers", {"add": {"g3": f"127.0.0.1:{newcomer.link}"}})
        self.assertEqual(sorted(told["voters"]), ["g0", "g1", "g2", "g3"])
        await until(lambda: "g3" in newcomer.logged(), 30, "it hears")
        leader = await rig.leader([*rig.voters, "g3"])
        gone = next(name for name in rig.voters if name != leader)
        told = await rig.ask("g3", "peers", {"remove": gone})
        self.assertEqual(len(told["voters"]), 3)
        await rig.ask("g3", "peers", {"hand": "g3"})
        await until(lambda: '"agreement.leads"' in newcomer.logged(), 30, "it leads")
        await rig.active("g0", await rig.propose("g0", settings(limits__mostTries=2)))
        self.assertEqual(await rig.end("g3"), 0)  # a planned end hands leadership on, and leaves
        await rig.active("g0", await rig.propose("g0", settings(limits__mostTries=3)))
        self.assertNotIn("g3", (await rig.held("g0"))["members"])

    async def test_a_disk_that_takes_nothing_silences_its_voter_alone(self):
        rig = await self.rig(3)
        leader = await rig.leader()
        rig.nodes[leader].send(signal.SIGSTOP)  # as one whose disk hangs
        others = [name for name in rig.voters if name != leader]
        await rig.leader(others)
        number = await rig.propose(others[0], settings(limits__mostTries=2))
        await rig.active(others[1], number)
        rig.wake(leader)
        await rig.active(leader, number)
        await rig.footing(leader, "lease")
