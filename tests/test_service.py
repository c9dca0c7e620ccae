"""The program as the platform runs it: its own process, a configuration file, and signals."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from scenario import EVENT_TIMEOUT_S, SETTINGS, Bus, Server

ROOT = Path(__file__).parent.parent


class Service(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "config.json"
        self.bus, self.server = Bus(), Server()
        await self.bus.listen()
        await self.server.listen()
        host, port = self.server.endpoint
        self.bus.add(
            [
                {
                    "uid": "u-s1",
                    "endpoint": f"{host}:{port}",
                    "az": "east",
                    "model": "std",
                    "pod_group": 1,
                    "state": "ready",
                    "capacity_hint": 1,
                    "boot_ms": 0,
                }
            ],
            is_full=True,
        )
        self.configure(self.bus)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "weldhatch",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PROXY_CONFIG": str(self.path), "PROXY_LISTEN": "127.0.0.1:0"},
        )
        await self.logs("listens on")

    async def asyncTearDown(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.process._transport.close()
        for party in (self.bus, self.server):
            party.reset()
            party.server.close()

    def configure(self, bus):
        host, port = bus.endpoint
        self.path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "5",
                    "limits": {"sockets": 256},
                    "bus": f"{host}:{port}",
                    "known": {"offset": 1, "batch": self.bus.events[:1]},
                    "settings": SETTINGS,
                }
            )
        )

    async def logs(self, text):
        """The next line of the log that holds the text."""
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while text not in (line := (await self.process.stderr.readline()).decode()):
                self.assertTrue(line, f"the log ended before {text!r}")
            return line

    async def test_a_hangup_moves_to_the_new_bus_and_a_bad_file_changes_nothing(self):
        """Guards against ending on SIGHUP, and against events lost between two buses."""
        await asyncio.wait_for(self.bus.connected.wait(), EVENT_TIMEOUT_S)
        for bad in ("{", '{"bus": "nowhere"}', "[]"):
            self.path.write_text(bad)
            self.process.send_signal(signal.SIGHUP)
            await self.logs("the old one stays")
        new = Bus()
        await new.listen()
        self.addCleanup(new.server.close)
        self.addCleanup(new.reset)
        new.events = self.bus.events
        target = {**self.bus.events[0]["topology"]["targets"][0], "state": "draining"}
        new.add([target])  # told nowhere but on the new bus, before it is moved to
        self.configure(new)
        self.process.send_signal(signal.SIGHUP)
        await self.logs("configuration read again")
        self.assertIn("u-s1 draining", await self.logs("event 2"))
        new.add([{**target, "state": "ready"}])
        self.assertIn("u-s1 ready", await self.logs("event 3"))
        self.assertIsNone(self.process.returncode)

    async def test_a_planned_end_ends_with_0(self):
        self.process.send_signal(signal.SIGTERM)
        await self.logs("told to end")
        self.assertEqual(0, await asyncio.wait_for(self.process.wait(), EVENT_TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()
