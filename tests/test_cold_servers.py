"""Slow start of servers under several dispatchers that share nothing, over real connections.

The budget N is `extra.coldSends`: the offers that one cold server may receive within any span of
`rules.fallUs`, from all dispatchers together. Each of the `groupSize` dispatchers derives its own part of the
budget from its settings alone. The tests tolerate up to 2 * sqrt(N) + 2 offers over N, as random variation.

A cold server is one whose `boot_ms` is less than `rules.coldUs` ago. An offer counts at the time at which the
server reads it. Clocks stand still while sockets are busy (`stepped`), so that a loaded machine changes no
span.
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
REQUEST_INTERVAL_S = 0.1  # of the one client of each dispatcher
FULL, ENDED = 34, 16


def max_offers(warm_up_offers):
    return warm_up_offers + 2 * warm_up_offers**0.5 + 2


def max_within(times, span):
    """Return the greatest number of these times that lie within one span."""
    times = sorted(times)
    first = greatest = 0
    for last, at in enumerate(times):
        while at - times[first] > span:
            first += 1
        greatest = max(greatest, last + 1 - first)
    return greatest


class Machine:
    """A stand-in server that records when each offer arrives, and from which dispatcher."""

    def __init__(self, uid, cold):
        self.uid, self.cold = uid, cold
        self.arrivals = []  # time and dispatcher
        self.rejects_offers = False
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

    def peak_offers(self):
        """Return the most offers within one span of `rules.fallUs` while the server was cold."""
        started = self.boot_ms / 1e3
        return max_within((at for at, _ in self.arrivals if started <= at < started + COLD_S), FALL_S)


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
                self._send(
                    server_codec.TESTED,
                    name,
                    {server_codec.CAUSE: b"\1", server_codec.REPORT: b"x0:4000;x1:4000"},
                )
            elif kind == server_codec.SET_UP:
                self._machine.arrivals.append((time.time(), int(parameters[server_codec.NAME][:2], 16)))
                if self._machine.rejects_offers:
                    self._send(server_codec.RELEASE, name, {server_codec.CAUSE: bytes((FULL,))})
                else:
                    self._send(server_codec.ANSWER, name, {server_codec.DESCRIPTION: b""})
                    self._send(server_codec.RELEASE, name, {server_codec.CAUSE: bytes((ENDED,))})

    def _send(self, *message):
        if not self._transport.is_closing():
            self._transport.write(server_codec.encode(*message))


class Dispatcher:
    """One dispatcher with its own policy, sockets, seed and event bus, and one client that sends requests."""

    def __init__(self, me, settings, interval_s):
        self.me, self.starts, self._interval_s = me, 0, interval_s
        self.settings = config.settings_from_json({**settings, "me": me})
        self.bus, self.logged = Bus(), []

    async def start(self):
        """Start without any state, as for the first time or after a crash."""
        if self.bus.server is None:
            await self.bus.listen()
        self.starts += 1
        self.gateway = Gateway(
            config.PlatformConfig(
                f"n{self.me}",
                ("127.0.0.1", 0),
                1000 * self.starts + self.me,
                256,
                self.bus.endpoint,
                tuple(self.bus.events),
                self.settings,
                0.25,
                0.25,
            ),
            self.logged.append,
        )
        self._client = asyncio.create_task(self._send_requests())

    async def _send_requests(self):
        random = Random(self.me)
        _, writer = await asyncio.open_connection(*self.gateway.listener.address)
        await asyncio.sleep(self._interval_s * random.random())
        number = 0
        with contextlib.suppress(OSError):
            while True:
                number += 1
                fields = {
                    "left": "1500",
                    "key": f"{self.me:02x}{self.starts:02x}{number:08x}",
                    "class": "safe",
                    "extras": f"cores:1;memory:1;service:{random.getrandbits(32):016x}",
                }
                message = {"verb": "START", "tag": tag(f"{number:08x}").hex(), "opts": fields, "blob": ""}
                writer.write(json.dumps(message).encode() + b"\n")
                await asyncio.sleep(self._interval_s)

    def list_machines(self, machines, state="ready"):
        self.bus.add([machine.target(state) for machine in machines])

    def abort(self):
        self._client.cancel()
        self.gateway.abort()

    def close(self):
        self.abort()
        self.bus.reset()
        self.bus.server.close()


class Fleet:
    """Dispatchers under load, two servers that are about to start, and one that is warm."""

    def __init__(self, count, warm_up_offers, probes=True, interval_s=REQUEST_INTERVAL_S):
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
        self.dispatchers = [Dispatcher(me, settings, interval_s) for me in range(count)]
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
        """Let the cold servers have started `age_s` seconds ago."""
        for machine in self.cold:
            machine.boot_ms = int((time.time() - age_s) * 1000)

    def check(self):
        peak = max(machine.peak_offers() for machine in self.cold)
        print(
            f"{len(self.dispatchers)} dispatchers, budget {self.warm_up_offers}: "
            f"at most {peak} within the span"
        )
        assert peak <= max_offers(self.warm_up_offers)
        return peak


FLEETS = [(24, 24), (24, 60), (24, 11), (30, 30), (30, 16)]
fleets = pytest.mark.parametrize("count, warm_up_offers", FLEETS)


@fleets
def test_offers_stay_in_the_budget_if_all_dispatchers_list_the_server_at_once(count, warm_up_offers):
    async def scenario():
        async with Fleet(count, warm_up_offers) as fleet:
            fleet.boot()
            for dispatcher in fleet.dispatchers:
                dispatcher.list_machines(fleet.cold)
            await asyncio.sleep(COLD_S)
            assert fleet.check() >= warm_up_offers / 4  # the cold servers are not simply avoided

    stepped.run(scenario())


def test_offers_stay_in_the_budget_if_lists_arrive_one_by_one_and_servers_reject_all():
    """Guards against rejected offers that do not count, as their tasks are offered again at once."""

    async def scenario():
        async with Fleet(24, 24) as fleet:
            fleet.boot(age_s=1.03)  # the lists arrive about when the first span ends
            for machine in fleet.cold:
                machine.rejects_offers = True
            for dispatcher in fleet.dispatchers:
                dispatcher.list_machines(fleet.cold)
                await asyncio.sleep(0.02)
            await asyncio.sleep(COLD_S - 1.5)
            fleet.check()

    stepped.run(scenario())


def test_offers_stay_in_the_budget_if_a_server_restarts_under_its_uid():
    async def scenario():
        async with Fleet(30, 30) as fleet:
            for _ in range(2):
                fleet.boot()
                for dispatcher in fleet.dispatchers:
                    dispatcher.list_machines(fleet.cold)
                await asyncio.sleep(0.5)
            await asyncio.sleep(1.5)
            fleet.check()

    stepped.run(scenario())


def test_offers_that_wait_for_a_connection_stay_in_the_budget():
    """Guards against offers of two spans that are sent within one, as they waited for their connection."""

    async def scenario():
        async with Fleet(24, 24, probes=False, interval_s=0.03) as fleet:
            for dispatcher in fleet.dispatchers:
                connect = dispatcher.gateway.servers.connect

                async def connect_late(server, connect=connect):
                    await asyncio.sleep(0.24)  # less than the dial time-out
                    return await connect(server)

                dispatcher.gateway.servers.connect = connect_late
            fleet.boot()
            for dispatcher in fleet.dispatchers:
                dispatcher.list_machines(fleet.cold)
            await asyncio.sleep(1.5)
            fleet.check()

    stepped.run(scenario())


def test_a_server_that_is_removed_and_listed_again_keeps_its_count_of_offers():
    """Guards against offers that no longer count because the server was off the lists within the span."""

    async def scenario():
        async with Fleet(30, 30) as fleet:
            fleet.boot()
            for state in ("ready", "gone", "ready"):
                for dispatcher in fleet.dispatchers:
                    dispatcher.list_machines(fleet.cold, state)
                await asyncio.sleep(0.3)
            await asyncio.sleep(1.0)
            fleet.check()

    stepped.run(scenario())


def test_restarted_dispatchers_do_not_send_their_part_of_the_budget_twice():
    """A dispatcher that was killed does not know which offers it sent before."""

    async def scenario():
        async with Fleet(24, 24) as fleet:
            fleet.boot()
            for dispatcher in fleet.dispatchers:
                dispatcher.list_machines(fleet.cold)
            await asyncio.sleep(0.4)
            for dispatcher in fleet.dispatchers[: 24 * 7 // 10]:
                dispatcher.abort()
                await dispatcher.start()
            await asyncio.sleep(1.5)
            fleet.check()

    stepped.run(scenario())
