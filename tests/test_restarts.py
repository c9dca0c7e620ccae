"""Restarted processes become ready in time, as measured by a client.

Objective: nine in ten restarted processes are ready within 10 s, that is, they answer an ECHO message.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import unittest
from pathlib import Path

import pytest
from scenario import EVENT_TIMEOUT_S, SETTINGS, Bus, tag

ROOT = Path(__file__).parent.parent
READY_TIMEOUT_S = 10.0
READY_FRACTION = 0.9  # of all restarts, that must be ready by then
MANY_SERVERS = 2000  # under `known` in a large file
CLIENTS = 40  # that retry at once while a process starts


class Restarts(unittest.IsolatedAsyncioTestCase):
    """Starts a process, then ends and restarts it under load."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "config.json"
        self.bus = Bus()
        await self.bus.listen()
        self.process: asyncio.subprocess.Process | None = None
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        self.client_tasks: list[asyncio.Task] = []

    async def asyncTearDown(self) -> None:
        for task in self.client_tasks:
            task.cancel()
        await asyncio.gather(*self.client_tasks, return_exceptions=True)
        await self.end(signal.SIGKILL)
        self.bus.reset()
        self.bus.server.close()

    def configure(self, servers: int) -> None:
        host, port = self.bus.endpoint
        targets = [
            {
                "uid": f"u-{n}",
                "endpoint": f"127.0.{n // 250}.{n % 250 + 1}:9",
                "az": "east",
                "model": "std",
                "pod_group": n // 20,
                "state": "ready",
                "capacity_hint": 1,
                "boot_ms": 0,
            }
            for n in range(servers)
        ]
        event = {"offset": 1, "topology": {"rev": 1, "all": True, "targets": targets}}
        tree = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": "5",
            "limits": {"sockets": 256},
            "bus": f"{host}:{port}",
            "known": {"offset": 1, "batch": [event]},
            "settings": SETTINGS,
        }
        self.path.write_text(json.dumps(tree))

    async def start(self) -> float:
        """Start a process; return the seconds until it was ready, or READY_TIMEOUT_S + 1 if it was not."""
        started = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "weldhatch",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PROXY_CONFIG": str(self.path)},
        )
        while time.monotonic() - started < READY_TIMEOUT_S:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                await asyncio.wait_for(self.check_echo(), 2.0)
                return time.monotonic() - started
            await asyncio.sleep(0.02)
        return READY_TIMEOUT_S + 1

    async def check_echo(self) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            message = {"verb": "ECHO", "tag": tag("t").hex(), "opts": {}, "rc": 0}
            writer.write(json.dumps(message).encode() + b"\n")
            answer = json.loads(await reader.readuntil(b"\n"))
            self.assertEqual(("ECHOED", 1), (answer["verb"], answer["rc"]))
        finally:
            writer.close()

    async def end(self, signal_number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)
            await asyncio.wait_for(self.process.wait(), EVENT_TIMEOUT_S)

    async def retry_until_cancelled(self, number: int) -> None:
        """Run a client that waits for the answer to a START, and retries once it is answered or cut off."""
        fields = {"class": "safe", "left": "2000", "key": "7", "extras": "cores:1;memory:2;service:9"}
        for n in range(1_000_000):
            writer = None
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                name = f"{number % 100:02}{n % 1_000_000:06}"
                message = {"verb": "START", "tag": tag(name).hex(), "opts": fields, "blob": "v=0"}
                writer.write(json.dumps(message).encode() + b"\n")
                await reader.readuntil(b"\n")
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(0.01)

    def check_readiness(self, times_s: list[float]) -> None:
        ready = sum(time_s <= READY_TIMEOUT_S for time_s in times_s)
        self.assertGreaterEqual(
            ready, READY_FRACTION * len(times_s), [round(time_s, 2) for time_s in times_s]
        )

    async def restart_under_load(self, signals: list[signal.Signals]) -> None:
        times_s = [await self.start()]
        self.client_tasks += [asyncio.create_task(self.retry_until_cancelled(n)) for n in range(CLIENTS)]
        for signal_number in signals:
            await self.end(signal_number)
            times_s.append(await self.start())
        self.check_readiness(times_s)

    @pytest.mark.fleet
    async def test_processes_killed_under_load_are_ready_again_in_time(self) -> None:
        self.configure(20)
        await self.restart_under_load([signal.SIGKILL] * 4)

    @pytest.mark.fleet
    async def test_processes_shut_down_under_load_are_ready_again_in_time(self) -> None:
        self.configure(20)
        await self.restart_under_load([signal.SIGTERM] * 2)

    @pytest.mark.fleet
    async def test_processes_with_a_large_endpoint_list_and_no_event_bus_are_ready_in_time(self) -> None:
        """Guards against a start that waits for the event bus, or takes too long to load a large list."""
        self.configure(MANY_SERVERS)
        self.bus.server.close()
        await self.restart_under_load([signal.SIGKILL] * 2)


if __name__ == "__main__":
    unittest.main()
