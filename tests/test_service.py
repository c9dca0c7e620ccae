"""The program as the platform runs it: in a process of its own, with a configuration file and signals."""

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
        await self.next_log_line("listens on")

    async def asyncTearDown(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.process._transport.close()
        for peer in (self.bus, self.server):
            peer.reset()
            peer.server.close()

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

    async def next_log_line(self, text):
        """Return the next line of the log that contains the text."""
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while text not in (line := (await self.process.stderr.readline()).decode()):
                self.assertTrue(line, f"the log ended before {text!r}")
            return line

    async def test_sighup_moves_to_a_new_event_bus_and_a_bad_file_changes_nothing(self):
        """Guards against an exit on SIGHUP, and against events lost at the change of the bus."""
        await asyncio.wait_for(self.bus.connected.wait(), EVENT_TIMEOUT_S)
        for bad_text in ("{", '{"bus": "nowhere"}', "[]"):
            self.path.write_text(bad_text)
            self.process.send_signal(signal.SIGHUP)
            await self.next_log_line("the old one stays")
        new_bus = Bus()
        await new_bus.listen()
        self.addCleanup(new_bus.server.close)
        self.addCleanup(new_bus.reset)
        new_bus.events = self.bus.events
        target = {**self.bus.events[0]["topology"]["targets"][0], "state": "draining"}
        new_bus.add([target])  # only on the new bus, and before the process connects to it
        self.configure(new_bus)
        self.process.send_signal(signal.SIGHUP)
        await self.next_log_line("configuration read again")
        self.assertIn("u-s1 draining", await self.next_log_line("event 2"))
        new_bus.add([{**target, "state": "ready"}])
        self.assertIn("u-s1 ready", await self.next_log_line("event 3"))
        self.assertIsNone(self.process.returncode)

    async def test_a_graceful_shutdown_exits_with_0(self):
        self.process.send_signal(signal.SIGTERM)
        await self.next_log_line("told to end")
        self.assertEqual(0, await asyncio.wait_for(self.process.wait(), EVENT_TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()
