"""Two pull queues as two sites, with a submitter at one and a build machine at the other."""

import asyncio
import datetime
import json
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import ClassVar

import pytest
from click.testing import CliRunner
from scenario import SETTINGS, Client, Scenario
from test_operators import directive
from test_pullqueue import bot, lease, task

from weldhatch import config
from weldhatch.cli.sites import sites
from weldhatch.config import ConfigError
from weldhatch.keys.folder import KeyFolder
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.pullqueue import remote_sites
from weldhatch.pullqueue.control import Control
from weldhatch.pullqueue.front import PullQueue
from weldhatch.scheduling.policy import Policy
from weldhatch.sites import frames
from weldhatch.sites.handoff_source import OutgoingPhase
from weldhatch.sites.link import Link
from weldhatch.sites.session import Hello

PLAIN = {"name": "a", "listen": "127.0.0.1:0", "store": "s", "peers": {"b": "127.0.0.1:1"}}


class RemoteSites(Scenario):
    new_party_class = Client
    timing: ClassVar = {"lease": 30, "grace": 0.2, "session": 60, "pickup": 10, "poll": 10, "settle": 0}

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.parties, self.logged = {}, []
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.b = self.begin("b", {"a": "127.0.0.1:1"})  # a dials, since its name sorts first
        host, port = self.b._site_listener.listener.address
        self.a = self.begin("a", {"b": f"{host}:{port}"})
        await self.up()

    async def up(self):
        await self.until(lambda: self.a.sites.links["b"].up and self.b.sites.links["a"].up, "the link is up")

    async def asyncTearDown(self):
        self.gateway = self.a
        self.b.abort()
        await super().asyncTearDown()

    def begin(self, name, peers, **more):
        settings = json.loads(json.dumps(SETTINGS))
        settings["extra"] |= {"cpuBooking": 1, "memBooking": 1}
        settings_file = config.pull_queue_config(
            {
                "enabled": True,
                "listen": "127.0.0.1:0",
                "store": str(self.folder / f"queue-{name}"),
                "timing": self.timing,
                "settings": settings,
                "sites": {
                    "name": name,
                    "listen": "127.0.0.1:0",
                    "store": str(self.folder / name),
                    "peers": peers,
                    **more,
                },
            }
        )
        return PullQueue(settings_file, Policy(settings_file.settings, 5), self.logged.append)

    async def at(self, gateway, text):
        self.gateway = gateway
        await self.play(text)

    async def place_remotely(self, cls="unsafe", key="a1"):
        """Submit a task at a that is placed at b."""
        await self.at(self.b, f"p1 send POST botSessions | {bot('b1')}\np1 expect 200")
        await self.until(
            lambda: (summary := self.a.sites.router.sites["b"].summary) and summary.free["safe"],
            "a has received b's summary",
        )
        await self.at(self.b, "p1 send PATCH $session X-Server-Timeout=9 | {}")
        await self.at(self.a, f"c1 send POST tasks | {task(cls, key, left=4000)}")
        await self.at(
            self.b,
            f"""
            p1 expect 200 leases.0.state=PENDING leases.0.payload.key={key} leases.0.payload.blob=v=0
            p1 send PATCH $session | {lease("ACTIVE")}
            p1 expect 200 leases.0.state=ACTIVE
        """,
        )
        await self.at(self.a, "c1 expect 200 answer=placed")

    async def test_a_task_submitted_here_runs_at_a_machine_there_and_its_end_is_reported_here(self):
        await self.place_remotely()
        await self.at(self.b, f"p1 send PATCH $session | {lease('COMPLETED')}\np1 expect 200 leases=[]")
        await self.at(self.a, "c1 send GET $task X-Server-Timeout=9\nc1 expect 200 state=DONE")

    async def test_the_result_of_a_task_there_is_reported_here(self):
        await self.place_remotely("safe")
        ended = json.dumps({"leases": [{"id": "$lease", "state": "COMPLETED", "result": {"files": 3}}]})
        await self.at(self.b, f"p1 send PATCH $session | {ended}\np1 expect 200 leases=[]")
        name = self.parties["c1"].seen["task"].replace("tasks", "operations")
        await self.at(self.a, f"c1 send POST {name}:wait | {{}}")
        await self.at(self.a, "c1 expect 200 done=True response.result.files=3")

    async def test_the_key_of_an_ended_non_idempotent_task_can_not_be_used_again_at_either_site(self):
        await self.place_remotely()
        await self.at(self.b, f"p1 send PATCH $session | {lease('COMPLETED')}\np1 expect 200 leases=[]")
        await self.at(self.a, "c1 send GET $task X-Server-Timeout=9\nc1 expect 200 state=DONE")
        await self.at(self.a, f"c1 send POST tasks | {task('unsafe')}\nc1 expect 200 answer=failed")
        await self.at(self.b, f"c2 send POST tasks | {task('unsafe')}\nc2 expect 200 answer=failed")

    async def test_a_request_there_for_the_key_of_a_forwarded_task_is_rejected(self):
        await self.place_remotely("keyed")
        await self.at(self.b, f"c2 send POST tasks | {task('keyed')}\nc2 expect 200 answer=refused")

    async def test_a_submitter_ends_a_task_at_the_other_site(self):
        await self.place_remotely("safe")
        await self.at(self.a, "c1 send DELETE $task | {}\nc1 expect 200")
        await self.at(
            self.b,
            "p1 send PATCH $session X-Server-Timeout=9 | "
            + json.dumps({"leases": [{"id": "$lease", "state": "ACTIVE"}]}),
        )
        await self.at(self.b, "p1 expect 200 leases.0.state=CANCELLED")

    async def test_a_site_drained_by_an_apply_while_an_offer_is_in_flight_starts_nothing(self):
        """The drain command is the one that an apply sends to the gateway before it drains a node."""
        await self.at(self.b, f"p1 send POST botSessions | {bot('b1')}\np1 expect 200")
        await self.until(
            lambda: (summary := self.a.sites.router.sites["b"].summary) and summary.free["safe"],
            "a has received b's summary",
        )
        await self.at(self.a, f"c1 send POST tasks | {task(left=1500)}")
        await self.until(lambda: self.b.sites.incoming.tasks, "b has accepted the offer")
        self.b.set_directive(directive("b1"))
        await self.at(self.b, "p1 send PATCH $session X-Server-Timeout=1 | {}\np1 expect 200 leases=[]")
        await self.at(self.a, "c1 expect 200 answer=refused")
        await self.until(
            lambda: not self.a.sites.source.transfers and not self.b.sites.incoming.tasks,
            "all transfers are closed",
        )

    async def weldhatch(self, *arguments):
        """Run `weldhatch sites` against a's control address, as a separate process would."""
        control = Control({}, ("127.0.0.1", 0), self.a, lambda tree: None, self.logged.append, time.time)
        host, port = control.listener.address
        try:
            return await asyncio.to_thread(
                CliRunner().invoke, sites, [*arguments, "--control", f"{host}:{port}"]
            )
        finally:
            control.abort()

    async def test_sites_status_reports_open_transfers_and_exits_with_0_without_a_fault(self):
        await self.place_remotely()
        result = await self.weldhatch("status", "--json")
        site_status = json.loads(result.output)["sites"]["b"]
        self.assertEqual((0, True, {"stands": 1}), (result.exit_code, site_status["up"], site_status["lent"]))
        shown = await self.weldhatch("status")
        self.assertIn("site a, epoch 1", shown.output)

    async def test_sites_status_reports_a_link_that_is_down_and_a_task_in_doubt_and_exits_with_1(self):
        await self.place_remotely()
        self.b.abort()
        await self.until(lambda: not self.a.sites.links["b"].up, "the link is down")
        (transfer,) = self.a.sites.source.transfers.values()
        self.a.sites.source.transfers[transfer.id] = replace(transfer, phase=OutgoingPhase.RECALLED)
        result = await self.weldhatch("status")
        self.assertEqual(1, result.exit_code)
        self.assertIn("in doubt at b: 1-1, unsafe key a1: its link is down", result.output.replace("\n", " "))

    async def test_an_operator_drains_a_site_and_forgets_another_one_only_with_confirmation(self):
        await self.place_remotely()
        self.assertIn("nothing new", (await self.weldhatch("drain")).output)
        self.assertTrue(self.a.sites.draining)
        await self.weldhatch("drain", "--undo")
        self.assertFalse(self.a.sites.draining)
        self.assertEqual(2, (await self.weldhatch("forget", "b")).exit_code)
        self.assertEqual(1, len(self.a.sites.source.transfers))
        self.assertIn("1 transfers to b are over", (await self.weldhatch("forget", "b", "--yes")).output)
        self.assertFalse(self.a.sites.source.transfers)
        result = await self.weldhatch("forget", "nowhere", "--yes")
        self.assertIn("no site is named 'nowhere'", str(result.exception))


class RemoteSitesWithTls(RemoteSites):
    """The same tests over TLS, with certificates of one authority for both sites."""

    async def asyncSetUp(self):
        self.keys = Path(self.enterContext(tempfile.TemporaryDirectory()))
        folder, now = KeyFolder(self.keys), datetime.datetime.now(datetime.UTC)
        folder.initialize("sites", now)
        folder.issue_certificate("gateway", ["127.0.0.1"], True, now, 10)
        for name in ("a", "b", "c"):
            folder.issue_certificate(name, [], False, now, 10)
        await super().asyncSetUp()

    def begin(self, name, peers, **more):
        return super().begin(name, peers, keys=str(self.keys), **more)

    async def test_a_site_with_the_certificate_of_another_site_is_rejected(self):
        folder = KeyFolder(self.keys)
        link = self.a.sites.links["b"]
        link.close()
        share = DescriptorShare(DescriptorBudget(64), 8)
        wrong_link = Link("a", "b", self.a._site_storage, link._handlers, self.logged.append)
        wrong_link.dial(self.b._site_listener.listener.address, share, folder.client_context("c"))
        await self.until(lambda: "shows the certificate of 'c'" in " ".join(self.logged), "it is rejected")
        self.assertFalse(self.b.sites.links["a"].up)
        wrong_link.close()

    async def test_a_site_without_a_certificate_is_rejected(self):
        self.a.sites.links["b"].close()
        await self.until(lambda: not self.b.sites.links["a"].up, "the link is down")
        held = self.b._site_listener._share.held
        _, writer = await asyncio.open_connection(*self.b._site_listener.listener.address)
        writer.write(frames.encode(Hello(1, "a", 9, "t", (0, ""), "s", 0, True)))
        await self.until(lambda: "no TLS" in " ".join(self.logged), "it is rejected")
        await self.until(lambda: self.b._site_listener._share.held == held, "its descriptor is given back")
        writer.close()


def test_the_error_names_a_missing_certificate(tmp_path):
    settings_file = config.pull_queue_config(
        {
            "enabled": True,
            "listen": "127.0.0.1:0",
            "settings": SETTINGS,
            "sites": {**PLAIN, "store": str(tmp_path / "s"), "keys": str(tmp_path)},
        }
    )
    with pytest.raises(ConfigError, match=r"sites.keys: .*server.pem"):
        remote_sites.link_contexts(settings_file.sites.keys, settings_file.sites.name, "sites.keys")


@pytest.mark.parametrize(
    "change, key",
    [
        ({"name": ""}, "sites.name"),
        ({"store": 5}, "sites.store"),
        ({"listen": "x"}, "sites.listen"),
        ({"peers": {}}, "sites.peers"),
        ({"peers": {"b": "nowhere"}}, "sites.peers.b"),
        ({"peers": {"a": "127.0.0.1:1"}}, "sites.peers.a"),
        ({"peers": {"b": 7}}, "sites.peers.b"),
        ({"hops": 3}, "sites.hops"),
        ({"keys": 3}, "keys"),
    ],
)
def test_the_error_names_an_invalid_key(change, key):
    tree = {"enabled": True, "settings": SETTINGS, "sites": {**PLAIN, **change}}
    with pytest.raises(ConfigError, match=key):
        config.pull_queue_config(tree)
