"""A group of processes with the platform front: a drain in the endpoint list of one binds all of them."""

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

CONSISTENCY_BOUND_S = 3.0
SERVICES = 40


class Machine(StandIn):
    """Accepts every task, records when and from which dispatcher it came, and ends it at once."""

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


class PlatformCluster(Rig):
    """Each process serves the platform front, and receives its endpoint list from an event bus of its own."""

    async def __aenter__(self):
        self.buses, self.servers, self.counts = {}, {}, {}
        for n in range(3):
            self.servers[f"s{n}"] = server = Machine()
            await server.listen()
        for name, node in self.nodes.items():
            bus = self.buses[name] = Bus()
            await bus.listen()
            bus.add([self.target(server) for server in self.servers], is_full=True, rev=1)
            path = node.folder / f"{name}-platform.json"
            path.write_text(
                json.dumps(
                    {
                        "name": name,
                        "listen": f"127.0.0.1:{node.queue}",
                        "seed": "5",
                        "limits": {"sockets": 256},
                        "bus": "%s:%d" % bus.endpoint,  # noqa: UP031
                        "known": {"offset": 1, "batch": list(bus.events)},
                        "settings": SETTINGS,
                    }
                )
            )
            node.environment = {"PROXY_CONFIG": str(path)}
            node.tree = {"enabled": False}
        await super().__aenter__()
        for n, (name, node) in enumerate(self.nodes.items()):
            owner = Owner()
            await owner.open(("127.0.0.1", node.queue))
            self._spawn(self.send_requests(owner, n, name))
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

    async def send_requests(self, owner, n, name):
        self.counts[name] = 0
        while True:
            self.counts[name] += 1
            tag = f"{n}{self.counts[name]:07d}"  # the first digit of the key is the dispatcher's number
            # Many services, as all tasks of a service go to the machine that got its first one.
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
        for peer in (*self.buses.values(), *self.servers.values()):
            with contextlib.suppress(OSError):  # its process may have closed the connection already
                peer.reset()
            if peer.server is not None:
                peer.server.close()


class EndpointLists(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="weldhatch-rig-")
        self.addCleanup(folder.cleanup)
        self.cluster = PlatformCluster(Path(folder.name), 3, stated=CONSISTENCY_BOUND_S, tree=settings())
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.__aenter__()
        for name in self.cluster.nodes:
            await self.wait_for_start(name, 0.0)

    async def wait_for_start(self, name, since, server=""):
        servers = [self.cluster.servers[server]] if server else self.cluster.servers.values()
        await until(
            lambda: any(machine.since(since, name) for machine in servers), 30, f"{name} starts a task"
        )

    async def test_a_drain_in_one_list_binds_all_dispatchers(self):
        """The lists of the other two dispatchers never contain the drain, and g2 is cut off as well."""
        await self.check_drain(leader="g1")

    async def test_a_drain_binds_all_dispatchers_when_the_leader_is_cut_off(self):
        """Another leader has to be elected first, and the lease of the former one has to expire."""
        await self.check_drain(leader="g2")

    async def check_drain(self, leader):
        cluster, server = self.cluster, self.cluster.servers["s0"]
        for name in cluster.nodes:
            await self.wait_for_start(name, 0.0, "s0")

        async def is_leader():
            if (current := await cluster.leader()) != leader:
                with contextlib.suppress(LookupError):  # a leader that was just elected may not hand over yet
                    await cluster.ask(current, "peers", {"hand": leader})
            return current == leader

        await until(is_leader, 30, f"{leader} leads")
        cluster.cut("g2")
        cluster.buses["g0"].add([cluster.target("s0", "draining")], rev=2)
        drained = time.monotonic()

        async def g1_knows():
            return (await cluster.held("g1"))["narrowed"] == 1

        await until(g1_knows, CONSISTENCY_BOUND_S, "g1 knows of the drain")
        await asyncio.sleep(0.1)  # for starts that were sent before, and that this process has not read yet
        known = time.monotonic()
        await asyncio.sleep(drained + CONSISTENCY_BOUND_S - known)
        await self.wait_for_start("g1", drained + CONSISTENCY_BOUND_S)
        self.assertEqual([start for start in server.since(known) if start[1] != "g2"], [])
        self.assertEqual(server.since(drained + CONSISTENCY_BOUND_S), [])
        self.assertEqual((await cluster.held("g1"))["conflicts"], [])
        # A newer list with the machine as ready ends the drain, even if an older list still reports it.
        cluster.heal()
        await cluster.footing("g2", "lease")
        cluster.buses["g1"].add([cluster.target("s0")], rev=3)
        for name in ("g1", "g2"):
            await self.wait_for_start(name, drained + CONSISTENCY_BOUND_S, "s0")

    async def test_of_two_lists_of_one_revision_the_stricter_acts_and_the_conflict_is_reported(self):
        cluster, server = self.cluster, self.cluster.servers["s1"]
        cluster.buses["g0"].add([cluster.target("s1", "draining")], rev=2)
        cluster.buses["g1"].add([cluster.target("s1", "ready")], rev=2)

        async def conflicts():
            return (await cluster.held("g2"))["conflicts"]

        text = await until(conflicts, 30, "the conflict is reported")
        self.assertIn("s1: draining and, by g1, ready, both in a list of revision 2", text)
        at = time.monotonic()
        await self.wait_for_start("g1", at + 0.5)
        self.assertEqual(server.since(at + 0.5), [])
        self.assertIn("two lists differ", cluster.nodes["g1"].logged())
