"""Plan and apply of a running gateway, with the whole program as a process."""

import asyncio
import copy
import json
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from scenario import EVENT_TIMEOUT_S, SETTINGS

from weldhatch import config
from weldhatch.pullqueue import reconfiguration

ROOT = Path(__file__).parent.parent


def free_port():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class PlansOnProcess(unittest.IsolatedAsyncioTestCase):
    """Runs `python -m weldhatch` as a separate process."""

    async def asyncSetUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.control, self.listen = (f"127.0.0.1:{free_port()}" for _ in range(2))
        self.tree = {
            "enabled": True,
            "listen": self.listen,
            "control": self.control,
            "timing": {"settle": 0},
            "settings": copy.deepcopy(SETTINGS),
        }
        self.process, self.lines = None, []

    async def asyncTearDown(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def write(self, name, **changes):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({**self.tree, **changes}))
        return str(path)

    async def start(self, path):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "weldhatch", "--pullqueue", path, cwd=ROOT, stderr=asyncio.subprocess.PIPE
        )
        await self.logs("pull queue listens")

    async def logs(self, text):
        while True:
            line = (await asyncio.wait_for(self.process.stderr.readline(), EVENT_TIMEOUT_S)).decode()
            self.assertTrue(line, f"the program ended; it logged {self.lines}")
            self.lines.append(line)
            if text in line:
                return

    async def cli(self, *words):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "weldhatch",
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        out, _ = await asyncio.wait_for(process.communicate(), EVENT_TIMEOUT_S)
        return process.returncode, out.decode()

    async def test_a_plan_is_applied_and_a_second_plan_on_its_base_is_rejected(self):
        await self.start(self.write("base"))
        target = self.write("target", connections=99, timing={"settle": 0, "lease": 4})
        code, out = await self.cli("plan", target)
        self.assertEqual(0, code, out)
        self.assertIn('~ connections: "256" -> "99"', out)
        self.assertIn('~ timing.lease: "3.0" -> "4"', out)
        self.assertIn("0 of them need a restart", out)
        code, out = await self.cli("plan", self.write("other", connections=50))
        self.assertEqual(0, code, out)
        self.assertEqual((0, "2 changes applied.\n"), await self.cli("apply", f"{target}.plan"))
        code, out = await self.cli("apply", str(self.folder / "other.json.plan"))
        self.assertEqual(2, code)
        self.assertIn("moved on", out)
        self.assertIn("No changes", (await self.cli("plan", target))[1])

    async def test_a_plan_that_fails_changes_nothing(self):
        await self.start(self.write("base"))
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            target = self.write("target", listen=address, connections=99)
            await self.cli("plan", target)
            code, out = await self.cli("apply", f"{target}.plan")
        self.assertEqual(2, code)
        self.assertIn("nothing was changed", out)
        self.assertIn("No changes", (await self.cli("plan", self.write("base")))[1])

    async def test_a_plan_that_needs_a_restart_restarts_the_gateway(self):
        await self.start(self.write("base"))
        target = self.write("target", sockets=512)
        self.assertIn('~ sockets: "1024" -> "512"  (needs a restart)', (await self.cli("plan", target))[1])
        code, out = await self.cli("apply", f"{target}.plan")
        self.assertEqual((0, "1 changes applied; the gateway starts anew.\n"), (code, out))
        await self.logs("pull queue listens")
        while "No changes" not in (await self.cli("plan", target))[1]:
            await asyncio.sleep(0.05)

    async def test_sigterm_ends_the_process_with_exit_code_0(self):
        await self.start(self.write("base"))
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(0, await asyncio.wait_for(self.process.wait(), EVENT_TIMEOUT_S))

    async def test_an_invalid_file_is_rejected_naming_the_key(self):
        for changes, key in (
            ({"timing": {"poll": 9}}, "timing.poll"),
            ({"connections": "x"}, "connections"),
            ({"listen": "x"}, "listen"),
            ({"colour": 1}, "colour"),
            ({"control": "10.0.0.1:1"}, "control"),
            ({"settings": {}}, "kinds"),
            ({"timing": {"lease": 0}}, "timing.lease"),
        ):
            code, out = await self.cli("--pullqueue", self.write("bad", **changes))
            self.assertEqual(2, code)
            self.assertIn(key, out)
            self.assertEqual(1, out.count("\n"), out)


class ConfigurationFiles(unittest.TestCase):
    def test_the_deploy_file_is_valid_and_disabled(self):
        file_config = config.pull_queue_config(config.read_toml_file(str(ROOT / "deploy" / "pullqueue.toml")))
        self.assertFalse(file_config.enabled)

    def test_explicit_defaults_are_no_change(self):
        base = {"settings": SETTINGS}
        self.assertEqual(
            [], reconfiguration.changes(base, {**base, "connections": 256, "timing": {"lease": 3.0}})
        )

    def test_an_invalid_platform_file_is_rejected_naming_the_key(self):
        good = {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "seed": "0a",
            "limits": {"sockets": 1024},
            "bus": "127.0.0.1:2",
            "known": {"offset": 0, "batch": []},
            "settings": SETTINGS,
        }
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        for key, value in (
            ("listen", "x"),
            ("seed", "xyz"),
            ("bus", 5),
            ("settings", None),
            ("limits", {"sockets": "many"}),
            ("known", {"batch": 3}),
        ):
            path.write_text(json.dumps({**good, key: value}))
            with self.assertRaisesRegex(config.ConfigError, key):
                config.platform_config({"PROXY_CONFIG": str(path)})
        path.write_text(json.dumps(good))
        self.assertEqual(10, config.platform_config({"PROXY_CONFIG": str(path)}).seed)
        with self.assertRaisesRegex(config.ConfigError, "PROXY_CONFIG"):
            config.platform_config({})


if __name__ == "__main__":
    unittest.main()
