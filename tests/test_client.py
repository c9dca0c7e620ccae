"""The client library against a gateway: submission to result, lost responses, TLS, tokens and quotas."""

import asyncio
import contextlib
import datetime
import io
import json
import tempfile
import time
import unittest
from pathlib import Path
from typing import ClassVar

import pytest
from scenario import SETTINGS

from weldhatch import config
from weldhatch.__main__ import main
from weldhatch.client import Api, ApiError, BuildMachine, Declined, Outcome, Submitter, Task
from weldhatch.client.api import Backoff
from weldhatch.keys import tokens
from weldhatch.keys.errors import KeysError
from weldhatch.keys.folder import KeyFolder
from weldhatch.pullqueue.front import PullQueue
from weldhatch.scheduling.policy import Policy

PROPERTIES = {"cores": "8", "memory": "64", "hall": "east", "rack": "r1"}
WORKER = {"properties": [{"key": key, "value": value} for key, value in PROPERTIES.items()]}
NOW = datetime.datetime.now(datetime.UTC)


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a gateway in this process, and provides clients of the library."""

    security: ClassVar[dict] = {}
    scheme = "http"

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.prepare_security()
        self.logged, self.running = [], []
        settings = json.loads(json.dumps(SETTINGS))
        settings["extra"] |= {"cpuBooking": 1, "memBooking": 1}
        settings["tenants"] = [{"name": "north", "portion": 0.5}, {"name": "south", "portion": 0.5}]
        queue_config = config.pull_queue_config(
            {
                "enabled": True,
                "listen": "127.0.0.1:0",
                "store": str(self.folder / "store"),
                "timing": {"lease": 5, "poll": 1, "settle": 0},
                "settings": settings,
                "security": self.security,
            }
        )
        self.gateway = PullQueue(queue_config, Policy(queue_config.settings, 5), self.logged.append)
        self.address = f"{self.scheme}://127.0.0.1:{self.gateway.listener.address[1]}"

    def prepare_security(self):
        pass

    async def asyncTearDown(self):
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
        self.gateway.abort()

    def api(self, **more):
        api = Api(self.address, **more)
        self.addCleanup(api.close)
        return api

    def start_machine(self, name, run, api=None, **more):
        machine = BuildMachine(api or self.api(), name, PROPERTIES, run, poll_s=1.0, **more)
        self.running.append(asyncio.ensure_future(machine.serve()))
        return machine


async def echo(lease):
    return Outcome(result={"echo": lease.payload["blob"]})


class SubmittersAndMachines(GatewayTestCase):
    async def test_the_result_of_a_task_reaches_its_submitter(self):
        self.start_machine("b1", echo)
        submitter = Submitter(self.api())
        operation = await submitter.begin(Task("safe", key="a1", blob="hello", left_s=3.0))
        final = await submitter.wait(operation.name, 20)
        self.assertEqual((final.state, final.result), ("DONE", {"echo": "hello"}))
        states = [watched.state async for watched in submitter.watch(operation.name)]
        self.assertEqual(["DONE"], states)
        await submitter.delete(operation.name)
        with self.assertRaises(ApiError) as caught:
            await submitter.get(operation.name)
        self.assertEqual((404, "name"), (caught.exception.code, caught.exception.field))

    async def test_a_machine_stops_a_task_that_its_submitter_cancels(self):
        started, stopped = asyncio.Event(), asyncio.Event()

        async def run_long(lease):
            started.set()
            try:
                await asyncio.sleep(60)
            finally:
                stopped.set()

        self.start_machine("b1", run_long)
        submitter = Submitter(self.api())
        answer = await submitter.submit(Task("unsafe", key="a1", left_s=3.0))
        self.assertTrue(answer.placed)
        async with asyncio.timeout(20):
            await started.wait()
            name = answer.name.replace("tasks", "operations")
            self.assertEqual("CANCELLED", (await submitter.cancel(name)).state)
            await stopped.wait()

    async def test_a_task_that_its_machine_declines_is_rejected(self):
        async def decline(lease):
            raise Declined("no room")

        self.start_machine("b1", decline)
        answer = await Submitter(self.api()).submit(Task("safe", key="a1", left_s=1.0))
        self.assertEqual("refused", answer.answer)

    async def test_a_machine_stops_a_task_before_its_lease_expires_while_the_gateway_is_unreachable(self):
        stopped = asyncio.Event()

        async def run_long(lease):
            try:
                await asyncio.sleep(60)
            finally:
                stopped.set()

        machine = self.start_machine("b1", run_long)
        answer = await Submitter(self.api()).submit(Task("safe", key="a1", left_s=3.0))
        self.assertTrue(answer.placed)
        self.gateway.listener.close()
        for connection in list(self.gateway._links):
            connection.close()
        disconnected_at = time.monotonic()
        async with asyncio.timeout(20):
            await stopped.wait()
        self.assertLess(time.monotonic() - disconnected_at, 5.1)
        self.assertTrue(machine.holding)  # the lease stays listed until the gateway has received its end

    async def test_operations_are_submitted_in_batches_and_listed_by_page_and_filter(self):
        submitter = Submitter(self.api())
        tasks = [Task("safe", key=f"a{n}", tenant=("north", "south")[n % 2], left_s=3.0) for n in range(5)]
        batch = await submitter.batch([*tasks, Task("none")])
        self.assertEqual([True] * 5 + [False], [not isinstance(item, ApiError) for item in batch])
        listed = [operation.name async for operation in submitter.list(page_size=2)]
        self.assertEqual([operation.name for operation in batch[:5]], listed)
        south = [operation.name async for operation in submitter.list("tenant = south AND state != DONE")]
        self.assertEqual([batch[1].name, batch[3].name], south)
        body = {"names": [batch[0].name, "operations/none"]}
        api = self.api()
        cancelled = await api.call("POST", "operations:batchCancel", body)
        self.assertEqual("CANCELLED", cancelled["responses"][0]["operation"]["metadata"]["state"])
        self.assertEqual(404, cancelled["responses"][1]["error"]["code"])
        page = await api.call("GET", "operations?fields=operations.name,nextPageToken&pageSize=1")
        self.assertEqual([{"name": batch[0].name}], page["operations"])
        for query, field in (
            ("filter=x", "filter"),
            ("filter=state%20%3D", "filter"),
            ("pageSize=0", "pageSize"),
            ("pageToken=%21", "pageToken"),
            ("fields=a%20b", "fields"),
            ("filter=state%3DX%20OR%20state%3DY", "filter"),
        ):
            with self.assertRaises(ApiError) as caught:
                await api.call("GET", f"operations?{query}")
            self.assertEqual((400, field), (caught.exception.code, caught.exception.field), query)
        self.assertEqual([], [lost async for lost in submitter.list("state = LOST")])
        for operation in batch[1:5]:
            await submitter.cancel(operation.name)

    async def test_a_task_with_requirements_runs_only_on_a_machine_that_meets_them(self):
        machines_run = []

        def recorder(name):
            async def run(lease):
                machines_run.append(name)
                return Outcome()

            return run

        plain = {"devices": [{"handle": "cpu"}]}
        gpu = {"handle": "gpu", "properties": [{"key": "gpu", "value": "a"}]}
        special = {"devices": [{"handle": "cpu"}, gpu]}
        for n in range(4):
            self.start_machine(f"plain{n}", recorder(f"plain{n}"), worker=plain)
        self.start_machine("special", recorder("special"), worker=special)
        submitter = Submitter(self.api())
        for n in range(6):
            task = Task("safe", key=f"c{n}", left_s=3.0, requirements=special)
            answer = await submitter.submit(task, again_s=15)
            self.assertEqual("special", answer.bot_id)
        self.assertEqual({"special"}, set(machines_run))
        unmet = {"properties": [{"key": "os", "value": "none"}]}
        self.assertEqual(
            "refused",
            (await submitter.submit(Task("safe", key="d1", left_s=0.3, requirements=unmet))).answer,
        )

    async def test_a_submission_whose_response_is_lost_is_repeated_under_its_request_id(self):
        self.start_machine("b1", echo)
        api, lost = self.api(), []
        call = api.call

        async def lossy_call(method, path, body=None, **more):
            answer = await call(method, path, body, **more)
            if path == "tasks" and not lost:
                lost.append(answer)
                raise ApiError(0, "", "the response was lost")
            return answer

        api.call = lossy_call
        answer = await Submitter(api).submit(Task("unsafe", key="a9", left_s=5.0))
        self.assertEqual(lost[0]["name"], answer.name)
        self.assertTrue(answer.placed)


class MutualTlsAndTokens(GatewayTestCase):
    """A gateway with mutual TLS and tokens, whose files `weldhatch keys` creates as for an operator."""

    scheme = "https"

    def prepare_security(self):
        self.keys = str(self.folder / "keys")
        with contextlib.redirect_stdout(io.StringIO()):
            for arguments in (
                ["init", self.keys],
                ["server", self.keys],
                ["client", self.keys, "b1"],
                ["client", self.keys, "ci"],
                ["show", self.keys],
            ):
                assert main(["keys", *arguments]) == 0
        self.security = {"keys": self.keys, "tls": "mutual", "tokens": True}

    def token(self, name, role, tenant="", seconds=60.0):
        return KeyFolder(self.keys).issue_token(name, role, tenant, time.time(), seconds)

    def api_with_certificate(self, name, **more):
        return self.api(
            authority=f"{self.keys}/ca.pem",
            certificate=f"{self.keys}/clients/{name}.pem",
            key=f"{self.keys}/clients/{name}.key",
            **more,
        )

    async def test_a_submitter_reaches_only_the_tasks_of_its_own_tenant(self):
        self.start_machine("b1", echo, self.api_with_certificate("b1"))
        north, _ = self.token("ci", tokens.Role.SUBMITTER, "north")
        south, _ = self.token("ci", tokens.Role.SUBMITTER, "south")
        submitter = Submitter(self.api_with_certificate("ci", token=north))
        operation = await submitter.begin(Task("safe", key="a1", blob="x", left_s=4.0))
        self.assertEqual("DONE", (await submitter.wait(operation.name, 20)).state)
        other = Submitter(self.api_with_certificate("ci", token=south))
        for call in (other.get(operation.name), other.cancel(operation.name), other.delete(operation.name)):
            with self.assertRaises(ApiError) as caught:
                await call
            self.assertEqual(404, caught.exception.code)
        self.assertEqual([], [visible async for visible in other.list()])
        with self.assertRaises(ApiError) as caught:
            await other.begin(Task("safe", key="a2", tenant="north"))
        self.assertEqual((403, "tenant"), (caught.exception.code, caught.exception.field))
        operator, _ = self.token("ops", tokens.Role.OPERATOR)
        listed = [
            visible.name
            async for visible in Submitter(self.api_with_certificate("ci", token=operator)).list()
        ]
        self.assertEqual([operation.name], listed)

    async def assert_call_fails(self, code, api, path="botSessions", bot="b1"):
        body = {"botId": bot, "worker": WORKER}
        with self.assertRaises(ApiError) as caught:
            await api.call("POST" if "/" not in path else "PATCH", path, body)
        self.assertEqual(code, caught.exception.code, caught.exception)

    async def test_calls_without_valid_credentials_are_rejected(self):
        # Without a client certificate the TLS handshake fails.
        await self.assert_call_fails(0, self.api(authority=f"{self.keys}/ca.pem"))
        await self.assert_call_fails(403, self.api_with_certificate("ci"), bot="b1")  # another machine's name
        await self.assert_call_fails(401, self.api_with_certificate("b1"), "tasks")
        await self.assert_call_fails(401, self.api_with_certificate("ci", token="nonsense"), "tasks")
        machine, _ = self.token("b1", tokens.Role.MACHINE)
        await self.assert_call_fails(403, self.api_with_certificate("b1", token=machine), "tasks")
        # The token and the certificate name different clients.
        await self.assert_call_fails(403, self.api_with_certificate("ci", token=machine))
        session = await self.api_with_certificate("b1").call(
            "POST", "botSessions", {"botId": "b1", "worker": WORKER}
        )
        await self.assert_call_fails(403, self.api_with_certificate("ci"), session["name"])
        old, claims = self.token("ci", tokens.Role.SUBMITTER, "north", seconds=-60)
        await self.assert_call_fails(401, self.api_with_certificate("ci", token=old), "tasks")
        good, claims = self.token("ci", tokens.Role.SUBMITTER, "north")
        api = self.api_with_certificate("ci", token=good)
        self.assertEqual([], (await api.call("GET", "operations"))["operations"])
        KeyFolder(self.keys).revoke(claims.id, time.time())
        self.gateway.reload()
        with self.assertRaises(ApiError) as caught:
            await api.call("GET", "operations")
        self.assertEqual(401, caught.exception.code)

    async def test_a_caller_at_its_limit_of_calls_in_flight_gets_429_and_others_are_served(self):
        self.gateway._quotas.max_per_caller = 2
        north, _ = self.token("ci", tokens.Role.SUBMITTER, "north")
        south, _ = self.token("ci", tokens.Role.SUBMITTER, "south")
        limited, other = (Submitter(self.api_with_certificate("ci", token=token)) for token in (north, south))
        name = (await limited.begin(Task("safe", key="a1", left_s=4.0))).name
        waiting = [asyncio.ensure_future(limited.wait(name, 20)) for _ in range(2)]
        while self.gateway._quotas._in_flight.total() < 2:
            await asyncio.sleep(0.01)
        with self.assertRaises(ApiError) as caught:
            await limited.get(name)
        self.assertEqual((429, 1.0), (caught.exception.code, caught.exception.retry_s))
        self.assertEqual([], [visible async for visible in other.list()])
        for call in waiting:
            call.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        while len(self.gateway._quotas):
            await asyncio.sleep(0.01)
        self.assertEqual(name, (await limited.get(name)).name)

    async def test_clients_keep_working_while_certificates_and_token_keys_are_rotated(self):
        self.start_machine("b1", echo, self.api_with_certificate("b1"))
        earlier, _ = self.token("ci", tokens.Role.SUBMITTER, "north")
        KeyFolder(self.keys).rotate(time.time(), 3600.0)
        KeyFolder(self.keys).issue_certificate("gateway", ["127.0.0.1"], True, NOW, 30)
        self.gateway.reload()
        later, _ = self.token("ci", tokens.Role.SUBMITTER, "north")
        for token in (earlier, later):
            answer = await Submitter(self.api_with_certificate("ci", token=token)).submit(
                Task("safe", key=f"b{len(token) % 7}", left_s=4.0), again_s=15
            )
            self.assertTrue(answer.placed)
        (Path(self.keys) / "server.pem").write_text("broken")
        with self.assertRaisesRegex(config.ConfigError, "server.pem"):
            self.gateway.reload()
        submitter = Submitter(self.api_with_certificate("ci", token=later))
        answer = await submitter.submit(Task("safe", key="c1", left_s=4.0), again_s=15)
        self.assertTrue(answer.placed)


# ---- keys and settings, without a gateway


def test_a_token_is_invalid_outside_its_time_and_after_the_retirement_of_its_key(tmp_path):
    folder = KeyFolder(tmp_path / "keys")
    folder.initialize("x", NOW)
    now = NOW.timestamp()
    token, claims = folder.issue_token("ci", tokens.Role.SUBMITTER, "north", now, 100.0)
    assert folder.keyring().verify(token, now) == tokens.Claims(
        "ci", tokens.Role.SUBMITTER, "north", claims.id, int(claims.expires)
    )
    for offset_s, message in ((200.0, "expired"), (-100.0, "future")):
        with pytest.raises(tokens.TokenError, match=message):
            folder.keyring().verify(token, now + offset_s)
    folder.rotate(now, 50.0)
    assert folder.keyring().verify(token, now + 49).name == "ci"
    with pytest.raises(tokens.TokenError, match="no longer good"):
        folder.keyring().verify(token, now + 51)
    other = KeyFolder(tmp_path / "other")
    other.initialize("x", NOW)
    with pytest.raises(tokens.TokenError, match="not known here"):
        other.keyring().verify(token, now)
    head, body, signature = token.split(".")
    for forged in (f"{head}.{body[:-4]}AAAA.{signature}", f"{head}.{body}.AAAA", "a.b.c", ""):
        with pytest.raises(tokens.TokenError):
            folder.keyring().verify(forged, now)


def test_an_error_about_an_unusable_keys_folder_names_the_file(tmp_path, capsys):
    with pytest.raises(KeysError, match=r"tokens.json"):
        KeyFolder(tmp_path).keyring()
    folder = KeyFolder(tmp_path / "keys")
    folder.initialize("x", NOW)
    with pytest.raises(KeysError, match=r"ca.pem: there is an authority already"):
        folder.initialize("x", NOW)
    with pytest.raises(KeysError, match="can't be a certificate's name"):
        folder.issue_certificate("../x", [], False, NOW, 1)
    (tmp_path / "keys" / "tokens.json").write_text("{")
    with pytest.raises(KeysError, match=r"tokens.json"):
        folder.keyring()
    assert main(["keys", "server", str(tmp_path / "none")]) == 2
    assert "ca.pem" in capsys.readouterr().err
    assert oct((tmp_path / "keys" / "ca.key").stat().st_mode & 0o777) == "0o600"


@pytest.mark.parametrize(
    ("security", "key"),
    [
        ({"tls": "maybe"}, "security.tls"),
        ({"tls": "server"}, "security.keys"),
        ({"colour": 1}, "security.colour"),
        ({"tokens": "yes"}, "security.tokens"),
        ({"calls": 0}, "security.calls"),
    ],
)
def test_an_error_about_invalid_security_settings_names_their_key(security, key):
    with pytest.raises(config.ConfigError, match=key):
        config.pull_queue_config({"settings": SETTINGS, "security": security})


def test_backoff_doubles_with_jitter_on_top_of_the_advised_wait():
    least, most = Backoff(lambda: 0.0), Backoff(lambda: 1.0)
    assert [least.next() for _ in range(3)] == [0.1, 0.2, 0.4]
    assert [most.next(2.0) for _ in range(2)] == [2.2, 2.4]
