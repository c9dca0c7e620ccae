"""Cold servers under all dispatchers together, which share nothing: real connections, judged at the servers.

The budget N is what the settings allow: `extra.coldSends` set-ups that reach one cold server within any span
of `rules.fallUs`, from all dispatchers together. Each of `groupSize` dispatchers works out its own part of it
from its settings alone. Beyond N only 2 x root of N + 2 are put down to chance.

A cold server is one that started less than `rules.coldUs` ago by its `boot_ms`. A set-up counts at the time
at which it is read at the server. Clocks stand still while sockets are busy (`stepped`), so that a loaded
machine changes no span.
"""

import asyncio
import contextlib
import json
import struct
import time
from random import Random

import pytest
import stepped
from scenario import SETTINGS, Bus, split_message, tag

from weldhatch import config
from weldhatch.gateway import Gateway
from weldhatch.platform import server_codec

FALL_S, COLD_S = 1.0, 2.5
EVERY_S = 0.1  # one owner asks its dispatcher for a task each so often
FULL, ENDED = 34, 16


def allowed(warm_up_offers):
    return warm_up_offers + 2 * warm_up_offers**0.5 + 2


def most_within(times, span):
    """The most of these times that lie within one span."""
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > span:
            first += 1
        most = max(most, last + 1 - first)
    return most


class Machine:
    """A stand-in server: notes when each set-up arrives and from which dispatcher."""

    def __init__(self, uid, cold):
        self.uid, self.cold = uid, cold
        self.arrived = []  # time and dispatcher
        self.refuses = False
        self.boot_ms = 0

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: MachineConnection(self), "127.0.0.1", 0)
        self.host, self.port = self.server.sockets[0].getsockname()

    def target(self, state="ready"):
        return {
            "uid": self.uid,
            "endpoint": f"{self.host}:{self.port}",
            "az": "east",
            "model": "std",
            "pod_group": 1,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": self.boot_ms,
        }

    def worst(self):
        """The most set-ups within one span of `rules.fallUs` while it was cold."""
        began = self.boot_ms / 1e3
        return most_within((at for at, _ in self.arrived if began <= at < began + COLD_S), FALL_S)


class MachineConnection(asyncio.Protocol):
    def __init__(self, machine):
        self._machine, self._data = machine, b""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._data += data
        while len(self._data) >= 2:
            (length,) = struct.unpack_from(">H", self._data)
            if len(self._data) < 2 + length:
                return
            kind, name, parameters = split_message(self._data[2 : 2 + length])
            self._data = self._data[2 + length :]
            if kind == server_codec.TEST:
                self._say(
                    server_codec.TESTED,
                    name,
                    {server_codec.CAUSE: b"\1", server_codec.REPORT: b"x0:4000;x1:4000"},
                )
            elif kind == server_codec.SET_UP:
                self._machine.arrived.append((time.time(), int(parameters[server_codec.NAME][:2], 16)))
                if self._machine.refuses:
                    self._say(server_codec.RELEASE, name, {server_codec.CAUSE: bytes((FULL,))})
                else:
                    self._say(server_codec.ANSWER, name, {server_codec.DESCRIPTION: b""})
                    self._say(server_codec.RELEASE, name, {server_codec.CAUSE: bytes((ENDED,))})

    def _say(self, *message):
        if not self._transport.is_closing():
            self._transport.write(server_codec.encode(*message))


class Dispatcher:
    """One dispatcher with its own policy, sockets, seed and bus, and the one owner that asks it for tasks."""

    def __init__(self, me, settings, every_s):
        self.me, self.lives, self._every_s = me, 0, every_s
        self.settings = config.settings_from_json({**settings, "me": me})
        self.bus, self.logged = Bus(), []

    async def start(self):
        """From nothing, as at a first start or after a crash."""
        if self.bus.server is None:
            await self.bus.listen()
        self.lives += 1
        self.gateway = Gateway(
            config.PlatformConfig(
                f"n{self.me}",
                ("127.0.0.1", 0),
                1000 * self.lives + self.me,
                256,
                self.bus.endpoint,
                tuple(self.bus.events),
                self.settings,
                0.25,
                0.25,
            ),
            self.logged.append,
        )
        self._asking = asyncio.create_task(self._ask())

    async def _ask(self):
        random = Random(self.me)
        _, writer = await asyncio.open_connection(*self.gateway.listener.address)
        await asyncio.sleep(self._every_s * random.random())
        number = 0
        with contextlib.suppress(OSError):
            while True:
                number += 1
                fields = {
                    "left": "1500",
                    "key": f"{self.me:02x}{self.lives:02x}{number:08x}",
                    "class": "safe",
                    "extras": f"cores:1;memory:1;service:{random.getrandbits(32):016x}",
                }
                message = {"verb": "START", "tag": tag(f"{number:08x}").hex(), "opts": fields, "blob": ""}
                writer.write(json.dumps(message).encode() + b"\n")
                await asyncio.sleep(self._every_s)

    def told(self, machines, state="ready"):
        self.bus.add([machine.target(state) for machine in machines])

    def abort(self):
        self._asking.cancel()
        self.gateway.abort()

    def close(self):
        self.abort()
        self.bus.reset()
        self.bus.server.close()


class Fleet:
    """Dispatchers under load, two servers that are about to start and one that has run for long."""

    def __init__(self, count, warm_up_offers, probes=True, every_s=EVERY_S):
        settings = {
            **SETTINGS,
            "groupSize": count,
            "extra": {
                **SETTINGS["extra"],
                "sizeCores": [4000],
                "memOfKind": [4000.0],
                "coldSends": warm_up_offers,
            },
            "limits": {**SETTINGS["limits"], "probes": probes},
            "rules": {**SETTINGS["rules"], "coldUs": int(COLD_S * 1e6), "fallUs": int(FALL_S * 1e6)},
        }
        self.warm_up_offers = warm_up_offers
        self.dispatchers = [Dispatcher(me, settings, every_s) for me in range(count)]
        self.cold = [Machine("c1", True), Machine("c2", True)]
        self.warm = Machine("w1", False)

    async def __aenter__(self):
        for machine in (*self.cold, self.warm):
            await machine.listen()
        for dispatcher in self.dispatchers:
            await dispatcher.bus.listen()
            dispatcher.bus.add([self.warm.target()], is_full=True)
            await dispatcher.start()
        await asyncio.sleep(0.3)  # under load before any server starts
        return self

    async def __aexit__(self, *_):
        for dispatcher in self.dispatchers:
            dispatcher.close()
        for machine in (*self.cold, self.warm):
            machine.server.close()

    def boot(self, age_s=0.0):
        """The cold servers started so long ago."""
        for machine in self.cold:
            machine.boot_ms = int((time.time() - age_s) * 1000)

    def check(self):
        worst = max(machine.worst() for machine in self.cold)
        print(
            f"{len(self.dispatchers)} dispatchers, budget {self.warm_up_offers}: "
            f"at most {worst} within the span"
        )
        assert worst <= allowed(self.warm_up_offers)
        return worst


FLEETS = [(24, 24), (24, 60), (24, 11), (30, 30), (30, 16)]
fleets = pytest.mark.parametrize("count, warm_up_offers", FLEETS)


@fleets
def test_all_are_told_of_the_start_at_once(count, warm_up_offers):
    async def play():
        async with Fleet(count, warm_up_offers) as fleet:
            fleet.boot()
            for dispatcher in fleet.dispatchers:
                dispatcher.told(fleet.cold)
            await asyncio.sleep(COLD_S)
            assert fleet.check() >= warm_up_offers / 4  # the servers are not just left alone

    stepped.run(play())


def test_lists_come_at_another_time_to_each_and_the_servers_refuse_all():
    """A refused set-up counts too, and its task is offered again at once."""

    async def play():
        async with Fleet(24, 24) as fleet:
            fleet.boot(age_s=1.03)  # the lists come about the end of a first turn
            for machine in fleet.cold:
                machine.refuses = True
            for dispatcher in fleet.dispatchers:
                dispatcher.told(fleet.cold)
                await asyncio.sleep(0.02)
            await asyncio.sleep(COLD_S - 1.5)
            fleet.check()

    stepped.run(play())


def test_a_server_starts_again_under_its_uid():
    async def play():
        async with Fleet(30, 30) as fleet:
            for _ in range(2):
                fleet.boot()
                for dispatcher in fleet.dispatchers:
                    dispatcher.told(fleet.cold)
                await asyncio.sleep(0.5)
            await asyncio.sleep(1.5)
            fleet.check()

    stepped.run(play())


def test_connections_that_come_up_late_bring_no_two_shares_together():
    """A set-up waits for its connection: what two spans allow must not leave within one."""

    async def play():
        async with Fleet(24, 24, probes=False, every_s=0.03) as fleet:
            for dispatcher in fleet.dispatchers:
                connect = dispatcher.gateway.servers.connect

                async def late(server, connect=connect):
                    await asyncio.sleep(0.24)  # less than a dial may take
                    return await connect(server)

                dispatcher.gateway.servers.connect = late
            fleet.boot()
            for dispatcher in fleet.dispatchers:
                dispatcher.told(fleet.cold)
            await asyncio.sleep(1.5)
            fleet.check()

    stepped.run(play())


def test_a_server_that_leaves_the_lists_and_comes_back_has_not_started_again():
    """What a dispatcher sent it within the span still counts, though the dispatcher's lists lacked it."""

    async def play():
        async with Fleet(30, 30) as fleet:
            fleet.boot()
            for state in ("ready", "gone", "ready"):
                for dispatcher in fleet.dispatchers:
                    dispatcher.told(fleet.cold, state)
                await asyncio.sleep(0.3)
            await asyncio.sleep(1.0)
            fleet.check()

    stepped.run(play())


def test_dispatchers_that_start_anew_do_not_send_their_share_twice():
    """A dispatcher that was killed does not know what it sent in its former life."""

    async def play():
        async with Fleet(24, 24) as fleet:
            fleet.boot()
            for dispatcher in fleet.dispatchers:
                dispatcher.told(fleet.cold)
            await asyncio.sleep(0.4)
            for dispatcher in fleet.dispatchers[: 24 * 7 // 10]:
                dispatcher.abort()
                await dispatcher.start()
            await asyncio.sleep(1.5)
            fleet.check()

    stepped.run(play())
