"""Several processes of the platform's front: what one list of machines tells counts for all of them."""

import asyncio
import contextlib
import json
import struct
import tempfile
import time
import unittest
from pathlib import Path

import pytest
from scenario import SETTINGS, Bus, Owner, StandIn, split_message

from weldhatch.platform import server_codec
from weldhatch.testbed.process_cluster import Rig, settings, until

pytestmark = pytest.mark.fleet

STATED = 3.0
SERVICES = 40


class Machine(StandIn):
    """Takes every set-up, says when and by whom it was sent, and ends it after a moment."""

    def __init__(self):
        super().__init__()
        self.starts = []  # (monotonic seconds, the dispatcher's name)

    async def read(self, reader, writer):
        while True:
            (length,) = struct.unpack(">H", await reader.readexactly(2))
            kind, name, parameters = split_message(await reader.readexactly(length))
            if kind == server_codec.TEST:
                writer.write(server_codec.encode(server_codec.TESTED, name, {78: b"\1", 73: b"x0:40;x1:90"}))
            elif kind == server_codec.SET_UP:
                self.starts.append((time.monotonic(), f"g{parameters[68].decode()[0]}"))
                writer.write(server_codec.encode(server_codec.ANSWER, name, {79: parameters[79]}))
                writer.write(server_codec.encode(server_codec.RELEASE, name, {78: b"\x10"}))

    def since(self, at, dispatcher=""):
        return [start for start in self.starts if start[0] >= at and dispatcher in ("", start[1])]


class Platforms(Rig):
    """Each process serves the platform's front, and hears of machines on a bus of its own."""

    async def __aenter__(self):
        self.buses, self.servers, self.counts = {}, {}, {}
        for n in range(3):
            self.servers[f"s{n}"] = server = Machine()
            await server.listen()
        for name, one in self.nodes.items():
            bus = self.buses[name] = Bus()
            await bus.listen()
            bus.add([self.target(server) for server in self.servers], is_full=True, rev=1)
            path = one.folder / f"{name}-platform.json"
            path.write_text(
                json.dumps(
                    {
                        "name": name,
                        "listen": f"127.0.0.1:{one.queue}",
                        "seed": "5",
                        "limits": {"sockets": 256},
                        "bus": "%s:%d" % bus.endpoint,  # noqa: UP031
                        "known": {"offset": 1, "batch": list(bus.events)},
                        "settings": SETTINGS,
                    }
                )
            )
            one.environment = {"PROXY_CONFIG": str(path)}
            one.tree = {"enabled": False}
        await super().__aenter__()
        for n, (name, one) in enumerate(self.nodes.items()):
            owner = Owner()
            await owner.open(("127.0.0.1", one.queue))
            self._spawn(self.ask_for_work(owner, n, name))
        return self

    def target(self, server, state="ready"):
        host, port = self.servers[server].endpoint
        return {
            "uid": server,
            "endpoint": f"{host}:{port}",
            "az": "east",
            "model": "std",
            "pod_group": 1,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": 0,
        }

    async def ask_for_work(self, owner, n, name):
        self.counts[name] = 0
        while True:
            self.counts[name] += 1
            tag = f"{n}{self.counts[name]:07d}"  # the first digit of the key is the dispatcher's
            # Many services: all of one go to the machine that got its first one, whichever that was.
            service = f"{self.counts[name] % SERVICES:016x}"
            owner.send(
                "START",
                tag,
                {"key": tag, "left": "1500", "extras": f"cores:1;memory:2;service:{service}"},
                "v=0",
            )
            await asyncio.sleep(0.02)

    async def close(self):
        await super().close()
        for party in (*self.buses.values(), *self.servers.values()):
            with contextlib.suppress(OSError):  # of a connection that its process has just ended
                party.reset()
            if party.server is not None:
                party.server.close()


class Lists(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="weldhatch-rig-")
        self.addCleanup(folder.cleanup)
        self.rig = Platforms(Path(folder.name), 3, stated=STATED, tree=settings())
        self.addAsyncCleanup(self.rig.close)
        await self.rig.__aenter__()
        for name in self.rig.nodes:
            await self.works(name, 0.0)

    async def works(self, name, since, server=""):
        servers = [self.rig.servers[server]] if server else self.rig.servers.values()
        await until(lambda: any(one.since(since, name) for one in servers), 30, f"{name} starts work")

    async def test_a_drain_that_one_list_tells_counts_for_all(self):
        """The other two are behind: their buses never tell of it. One of them can't be reached either."""
        await self.drained(leader="g1")

    async def test_it_counts_for_all_also_where_the_leader_is_the_one_cut_off(self):
        """Then another one is elected first, and the lease of the one before has to run out."""
        await self.drained(leader="g2")

    async def drained(self, leader):
        rig, server = self.rig, self.rig.servers["s0"]
        for name in rig.nodes:
            await self.works(name, 0.0, "s0")

        async def leads():
            if (now := await rig.leader()) != leader:
                with contextlib.suppress(LookupError):  # one that has just been elected may not hand over yet
                    await rig.ask(now, "peers", {"hand": leader})
            return now == leader

        await until(leads, 30, f"{leader} leads")
        rig.cut("g2")
        rig.buses["g0"].add([rig.target("s0", "draining")], rev=2)
        told = time.monotonic()

        async def hears():
            return (await rig.held("g1"))["narrowed"] == 1

        await until(hears, STATED, "g1 hears of it")
        await asyncio.sleep(0.1)  # for what it had sent before, and this process has not read yet
        heard = time.monotonic()
        await asyncio.sleep(told + STATED - heard)
        await self.works("g1", told + STATED)
        self.assertEqual([start for start in server.since(heard) if start[1] != "g2"], [])
        self.assertEqual(server.since(told + STATED), [])
        self.assertEqual((await rig.held("g1"))["conflicts"], [])
        # A newer list that says ready ends it, also where the older drain is still heard.
        rig.heal()
        await rig.footing("g2", "lease")
        rig.buses["g1"].add([rig.target("s0")], rev=3)
        for name in ("g1", "g2"):
            await self.works(name, told + STATED, "s0")

    async def test_two_lists_of_one_revision_the_narrower_acts_and_operators_are_told(self):
        rig, server = self.rig, self.rig.servers["s1"]
        rig.buses["g0"].add([rig.target("s1", "draining")], rev=2)
        rig.buses["g1"].add([rig.target("s1", "ready")], rev=2)

        async def told():
            return (await rig.held("g2"))["conflicts"]

        text = await until(told, 30, "the conflict is told")
        self.assertIn("s1: draining and, by g1, ready, both in a list of revision 2", text)
        at = time.monotonic()
        await self.works("g1", at + 0.5)
        self.assertEqual(server.since(at + 0.5), [])
        self.assertIn("two lists differ", rig.nodes["g1"].logged())
