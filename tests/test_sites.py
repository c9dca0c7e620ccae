"""Several sites on loopback with broken links and restarts.

The tests check that each request gets one answer and one end, that no key runs twice at a time, and that all
transfers are closed.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from weldhatch.core.messages import GivenUp, Released
from weldhatch.sites import session
from weldhatch.sites.handoff_source import OutgoingPhase
from weldhatch.sites.handoff_target import IncomingPhase
from weldhatch.sites.routing import CapacitySummary
from weldhatch.testbed.multi_site import Region

LOOKUP, IMPORT, WRITER = range(3)


class TwoSites(unittest.IsolatedAsyncioTestCase):
    machines = (0, 4)  # site a has no machines, so all its tasks are forwarded
    names = ("a", "b")
    life_s = 30.0

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.logged = []
        self.region = Region(Path(folder.name), self.names, life_s=self.life_s, log=self.logged.append)
        await self.region.start(dict(zip(self.names, self.machines, strict=True)))
        await self.region.up()
        self.wire = next(iter(self.region.wires.values()))

    async def asyncTearDown(self):
        await self.region.close()

    async def answered(self, owner):
        await asyncio.wait_for(owner.answered.wait(), 20)
        return owner.answers[0]

    def outgoing_phases(self, site="a"):
        return [transfer.phase for transfer in self.region.now[site].sites.source.transfers.values()]

    def incoming_phases(self, site="b", source="a"):
        return [transfer.phase for transfer in self.region.now[site].book.target(source).transfers.values()]


class Forwarding(TwoSites):
    async def test_a_task_without_local_capacity_is_placed_at_the_other_site_and_its_end_is_reported(self):
        owner = self.region.ask("a", WRITER)
        self.assertEqual("placed", await self.answered(owner))
        self.assertRegex(owner.description, "m[1-4]")
        self.assertEqual([OutgoingPhase.PLACED], self.outgoing_phases())
        self.region.now["b"].hall.end_all()
        await asyncio.wait_for(owner.over.wait(), 20)
        self.assertEqual(1, owner.ends)
        await self.region.settled()

    async def test_an_owners_release_is_relayed_and_its_machine_stops(self):
        owner = self.region.ask("a", IMPORT)
        await self.answered(owner)
        owner.life.deliver(Released(16))
        await self.region.until(lambda: not self.region.now["b"].hall.busy)
        await self.region.settled()
        self.assertEqual(0, owner.ends)  # the owner ended the task itself

    async def test_an_owner_that_gives_up_leaves_nothing_running(self):
        self.region.now["b"].hall.look_s = 0.3
        owner = self.region.ask("a", WRITER)
        await self.region.until(lambda: IncomingPhase.PLACING in self.incoming_phases())
        owner.life.deliver(GivenUp())
        await self.region.settled()
        self.assertEqual([], owner.answers)
        self.assertEqual(0, sum(self.region.tally.running.values()))

    async def test_a_request_for_a_key_at_the_other_site_is_rejected_until_its_task_has_ended(self):
        first = self.region.ask("a", WRITER, key=9)
        self.assertEqual("placed", await self.answered(first))
        self.assertEqual("refused", await self.answered(self.region.ask("a", WRITER, key=9)))
        self.region.now["b"].hall.end_all()
        await asyncio.wait_for(first.over.wait(), 20)
        await self.region.settled()
        self.assertEqual("placed", await self.answered(self.region.ask("a", WRITER, key=9)))
        self.assertEqual([], self.region.tally.doubled)

    async def test_a_draining_site_accepts_no_new_task_and_keeps_placed_ones(self):
        owner = self.region.ask("a", WRITER)
        await self.answered(owner)
        self.region.now["b"].sites.draining = True
        self.assertEqual("refused", await self.answered(self.region.ask("a", LOOKUP, left_s=0.5)))
        self.assertEqual(1, self.region.now["b"].hall.busy)


class BrokenLinks(TwoSites):
    async def test_a_task_offered_before_a_link_cut_starts_at_most_once_and_is_answered(self):
        """The link is cut between an offer and its answer: a non-idempotent task is answered as failed."""
        self.region.now["b"].hall.look_s = 0.2
        owner = self.region.ask("a", WRITER, left_s=1.0)
        await self.region.until(lambda: IncomingPhase.PLACING in self.incoming_phases())
        self.wire.cut()
        self.assertEqual("failed", await self.answered(owner))
        self.assertEqual([OutgoingPhase.RECALLED], self.outgoing_phases())
        retry = self.region.ask("a", WRITER, key=owner.task.key)
        self.assertEqual("refused", await self.answered(retry))  # its key is in doubt
        self.wire.heal()
        await self.region.settled()
        self.assertLessEqual(self.region.tally.starts[owner.task.key], 1)
        self.assertEqual([], self.region.tally.doubled)

    async def test_a_lost_answer_is_received_after_the_link_is_restored(self):
        self.wire.deaf.add("from")  # a dials b; what b sends is lost
        owner = self.region.ask("a", WRITER, left_s=8.0)
        await self.region.until(lambda: self.region.now["b"].hall.busy)
        self.wire.heal()
        self.wire.cut()
        self.wire.heal()
        self.assertEqual("placed", await self.answered(owner))
        self.assertEqual(1, self.region.tally.starts[owner.task.key])

    async def test_idempotent_work_is_reclaimed_from_a_silent_site_and_its_copy_recalled(self):
        self.region.now["b"].hall.look_s = 0.1
        owner = self.region.ask("a", LOOKUP, left_s=8.0)
        await self.region.until(lambda: IncomingPhase.PLACING in self.incoming_phases())
        self.wire.cut()
        self.region.give_machines("a", 2)
        self.assertEqual("placed", await self.answered(owner))
        self.assertEqual(1, self.region.now["a"].hall.busy)
        self.wire.heal()
        await self.region.until(lambda: not self.region.now["b"].hall.busy and not self.outgoing_phases())

    async def test_a_site_that_receives_nothing_is_disconnected_and_gets_no_tasks(self):
        """Messages are lost in both directions, then in one; either way the silent connection is closed."""
        with (
            mock.patch.object(session, "SILENCE_TIMEOUT_S", 0.3),
            mock.patch.object(session, "HEARTBEAT_INTERVAL_S", 0.05),
        ):
            self.wire.deaf = {"to", "from"}
            await self.region.until(
                lambda: not any(
                    link.up for site in self.region.now.values() for link in site.sites.links.values()
                )
            )
            self.assertEqual("refused", await self.answered(self.region.ask("a", WRITER, left_s=0.5)))
            self.wire.heal()
            await self.region.up()
            self.wire.deaf = {"to"}
            await self.region.until(lambda: not self.region.now["b"].sites.links["a"].up)
            self.wire.heal()
        await self.region.up()
        self.assertEqual("placed", await self.answered(self.region.ask("a", WRITER)))


class Restarts(TwoSites):
    async def test_a_restarted_site_ends_a_task_of_another_site_once_and_its_key_is_freed(self):
        owner = self.region.ask("a", WRITER)
        await self.answered(owner)
        self.region.kill("b")
        self.region.begin("b")
        await asyncio.wait_for(owner.over.wait(), 20)
        self.assertEqual(1, owner.ends)
        await self.region.settled()
        self.assertEqual("placed", await self.answered(self.region.ask("a", WRITER, key=owner.task.key)))
        self.assertEqual([], self.region.tally.doubled)

    async def test_a_site_restarted_before_an_answer_recalls_its_offers(self):
        self.region.now["b"].hall.look_s = 0.2
        owner = self.region.ask("a", WRITER)
        await self.region.until(lambda: IncomingPhase.PLACING in self.incoming_phases())
        self.region.kill("a")
        self.region.begin("a", 0)
        self.assertEqual([OutgoingPhase.RECALLED], self.outgoing_phases())
        await self.region.settled()
        self.assertLessEqual(self.region.tally.starts[owner.task.key], 1)

    async def test_with_an_older_copy_of_a_store_no_work_passes_in_either_direction(self):
        import shutil

        region = self.region
        await self.answered(region.ask("a", WRITER))
        region.kill("b")
        copy = Path(str(region.folder / "b") + ".old")
        shutil.copytree(region.folder / "b", copy)
        for _ in range(2):
            region.begin("b")
            await region.up()
            region.kill("b")
        shutil.rmtree(region.folder / "b")
        copy.rename(region.folder / "b")
        region.begin("b")
        await region.until(lambda: region.now["a"].sites.links["b"].stale_reason)
        await region.until(lambda: region.now["b"].sites.links["a"].stale_reason)
        self.assertEqual("refused", await self.answered(region.ask("a", WRITER, left_s=0.5)))
        self.assertIn("older copy", " ".join(self.logged))


class ThreeSites(TwoSites):
    names = ("a", "b", "c")
    machines = (0, 0, 0)

    async def test_a_task_that_no_site_can_place_is_forwarded_within_its_hops_and_rejected(self):
        """All sites report capacity that they lack: the task is not sent in a loop, and is answered once."""
        for site in self.region.now.values():
            site.sites.summary = lambda: CapacitySummary({"lookup": 9, "import": 9, "writer": 9}, 100)
            for peer in site.sites.links:
                site.sites.send_summary(peer)
        owner = self.region.ask("a", WRITER, left_s=1.5)
        self.assertEqual("refused", await self.answered(owner))
        await self.region.settled()
        self.assertEqual(["refused"], owner.answers)


class RepeatedFaults(TwoSites):
    machines = (2, 4)
    life_s = 0.1

    async def test_with_repeated_cuts_and_kills_tasks_end_at_most_once_and_no_key_runs_twice(self):
        rnd, region = Random(5), self.region
        for n in range(300):
            if n % 60 == 30:
                self.wire.cut()
            if n % 60 == 45:
                self.wire.heal()
            if n % 100 == 70:
                site = rnd.choice("ab")
                region.kill(site)
                region.begin(site, self.machines["ab".index(site)])
            site = rnd.choice(sorted(region.now))
            region.ask(site, rnd.randrange(3), left_s=0.8)
            if n % 5 == 0:
                await asyncio.sleep(0.02)
        self.wire.heal()
        await region.settled()
        counts = region.counts()
        self.assertEqual(0, counts["several"])
        self.assertEqual(region.died, counts["none"])
        self.assertGreater(counts["placed"], 100)
        self.assertEqual([], [key for key in region.tally.doubled if region.runs_once(key)])
        self.assertTrue(all(owner.ends <= 1 for owner in region.owners))
