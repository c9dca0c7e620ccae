"""Zone failover of a dispatcher without a group: it decides by its own observations."""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from random import Random

from scenario import EVENT_TIMEOUT_S, SETTINGS, Owner, Scenario

from weldhatch import config
from weldhatch.gateway import Gateway
from weldhatch.scheduling.events import MachinesChanged, ProbeAnswered
from weldhatch.scheduling.types import ListForm, Machine, MachineState, Outcome
from weldhatch.standalone_zones import StandaloneZones
from weldhatch.testbed.process_cluster import until
from weldhatch.testbed.simulated_zones import settings as zone_settings
from weldhatch.zones.failover_rules import FailoverTiming
from weldhatch.zones.standalone import StandaloneFailover
from weldhatch.zones.state import Phase


class StandaloneDecisions(unittest.TestCase):
    """With a virtual clock, ten machines in each of three zones, and one start every 20 ms."""

    def run_until(self, standalone, now, end, down=()):
        member = standalone.member
        n = 0
        while now < end:
            now, n = now + 0.02, n + 1
            machine = n % 30
            if standalone.member.effective_state(
                now, machine
            ) == "ready" and not standalone.member.start_refusal(now, machine, 0):
                self.starts.append((now, machine))
                outcome = Outcome.TIMEOUT if machine % 3 in down else Outcome.OK
                member.handle_event(now, ProbeAnswered(machine, outcome))
            checks, _ = standalone.tick(now)
            for machine in checks:
                outcome = Outcome.TIMEOUT if machine % 3 in down else Outcome.OK
                member.handle_event(now, ProbeAnswered(machine, outcome))
        return now

    def test_a_failed_zone_is_left_by_own_observations_and_a_return_gets_a_fraction_of_the_starts(self):
        self.starts = []
        standalone = StandaloneFailover(zone_settings(3, 6, 12.0), FailoverTiming(), Random(1), 0.0)
        standalone.member.handle_event(
            0.0,
            MachinesChanged(ListForm.FULL, tuple(Machine(n, n % 3, cell=n // 3 % 2) for n in range(30))),
        )
        now = self.run_until(standalone, 0.0, 3.0)
        now = self.run_until(standalone, now, 6.0, down=(1,))
        self.assertIs(standalone.zones.place("z1").phase, Phase.LEFT)
        self.assertEqual([machine for at, machine in self.starts if at > 5.0 and machine % 3 == 1], [])
        recovered_at = now = self.run_until(standalone, now, 9.0)
        self.assertIs(standalone.zones.place("z1").phase, Phase.RETURNING)
        now = self.run_until(standalone, now, 11.0)
        returning = [machine for at, machine in self.starts if recovered_at < at and machine % 3 == 1]
        # Six dispatchers and a quarter of 12 starts for each machine: half a start each on ten machines.
        self.assertTrue(0 < len(returning) <= 10, returning)
        self.run_until(standalone, now, 40.0)
        self.assertIs(standalone.zones.place("z1").phase, Phase.SERVING)


class GatewayWithStandaloneZones(Scenario):
    servers = 6  # s1 to s3 in zone east, s4 to s6 in zone west

    async def start(self):
        zones = StandaloneZones(FailoverTiming(quorum=1), self.logged.append)
        self.gateway = Gateway(
            config.PlatformConfig(
                "n0",
                ("127.0.0.1", 0),
                5,
                self.sockets,
                self.bus.endpoint,
                tuple(self.bus.events),
                config.settings_from_json(SETTINGS),
                0.25,
                0.25,
            ),
            self.logged.append,
            zones,
            zones,
        )

    def target(self, name, state="ready"):
        target = super().target(name, state)
        return {**target, "az": "west" if int(name[1:]) > 3 else "east", "pod_group": int(name[1:]) % 2}

    async def test_a_zone_whose_servers_refuse_connections_is_left_and_returns(self):
        owner = self.parties["owner"] = Owner()
        await owner.open(self.gateway.listener.address)
        requests = 0

        async def send_requests():
            nonlocal requests
            while True:
                requests += 1
                owner.send(
                    "START",
                    f"t{requests:06d}",
                    {
                        "key": f"{requests:x}",
                        "left": "1500",
                        "extras": f"cores:1;memory:2;service:{requests % 30:016x}",
                    },
                    "v=0",
                )
                await asyncio.sleep(0.02)

        task = asyncio.create_task(send_requests())
        try:
            for name in ("s4", "s5", "s6"):
                party = self.parties[name]
                party.server.close()
                party.reset()
            await until(
                lambda: any("west is leaving" in text for text in self.logged),
                EVENT_TIMEOUT_S,
                "west is left",
            )
            await until(
                lambda: all(
                    node.entry.state is not MachineState.READY  # with the next batch of events to the policy
                    for node in self.gateway.driver._policy._cluster.machines.values()
                    if node.entry.zone == 1
                ),
                EVENT_TIMEOUT_S,
                "the policy avoids west",
            )
            for name in ("s4", "s5", "s6"):
                await self.parties[name].listen(self.parties[name].endpoint)
            await until(
                lambda: any("west is returning" in text for text in self.logged),
                EVENT_TIMEOUT_S,
                "west returns",
            )
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


class CommandLine(unittest.TestCase):
    def test_an_invalid_zone_setting_ends_the_program_with_one_line(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "queue.json"
            path.write_text(
                json.dumps({"enabled": False, "zones": {"alone": True, "stay": "long"}, "settings": SETTINGS})
            )
            completed = subprocess.run(
                [sys.executable, "-m", "weldhatch", "--pullqueue", str(path)],
                text=True,
                capture_output=True,
                env={**os.environ, "PROXY_CONFIG": "none"},
                check=False,
            )
        self.assertEqual((completed.returncode, completed.stderr.count("\n")), (2, 1))
        self.assertIn("zones.stay", completed.stderr)
