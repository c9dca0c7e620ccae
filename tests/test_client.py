"""The client library against a gateway: work from submission to result, TLS, tokens, and lost answers."""

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
from weldhatch.keys.folder import Folder
from weldhatch.pullqueue.front import PullQueue
from weldhatch.scheduling.policy import Policy

PROPERTIES = {"cores": "8", "memory": "64", "hall": "east", "rack": "r1"}
WORKER = {"properties": [{"key": key, "value": value} for key, value in PROPERTIES.items()]}
NOW = datetime.datetime.now(datetime.UTC)


class Served(unittest.IsolatedAsyncioTestCase):
    """A gateway in this process, and clients of the library."""

    security: ClassVar[dict] = {}
    scheme = "http"

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.prepare()
        self.logged, self.running = [], []
        settings = json.loads(json.dumps(SETTINGS))
        settings["extra"] |= {"cpuBooking": 1, "memBooking": 1}
        settings["tenants"] = [{"name": "north", "portion": 0.5}, {"name": "south", "portion": 0.5}]
        told = config.pull_queue_config(
            {
                "enabled": True,
                "listen": "127.0.0.1:0",
                "store": str(self.folder / "store"),
                "timing": {"lease": 5, "poll": 1, "settle": 0},
                "settings": settings,
                "security": self.security,
            }
        )
        self.gateway = PullQueue(told, Policy(told.settings, 5), self.logged.append)
        self.address = f"{self.scheme}://127.0.0.1:{self.gateway.listener.address[1]}"

    def prepare(self):
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

    def machine(self, name, run, api=None, **more):
        machine = BuildMachine(api or self.api(), name, PROPERTIES, run, poll_s=1.0, **more)
        self.running.append(asyncio.ensure_future(machine.serve()))
        return machine


async def well(lease):
    return Outcome(result={"echo": lease.payload["blob"]})


class Working(Served):
    async def test_a_task_goes_from_its_submission_to_its_result(self):
        self.machine("b1", well)
        submitter = Submitter(self.api())
        operation = await submitter.begin(Task("safe", key="a1", blob="hello", left_s=3.0))
        over = await submitter.wait(operation.name, 20)
        self.assertEqual((over.state, over.result), ("DONE", {"echo": "hello"}))
        states = [one.state async for one in submitter.watch(operation.name)]
        self.assertEqual(["DONE"], states)
        await submitter.delete(operation.name)
        with self.assertRaises(ApiError) as caught:
            await submitter.get(operation.name)
        self.assertEqual((404, "name"), (caught.exception.code, caught.exception.field))

    async def test_a_machine_stops_what_its_submitter_cancels(self):
        begun, stopped = asyncio.Event(), asyncio.Event()

        async def long(lease):
            begun.set()
            try:
                await asyncio.sleep(60)
            finally:
                stopped.set()

        self.machine("b1", long)
        submitter = Submitter(self.api())
        answer = await submitter.submit(Task("unsafe", key="a1", left_s=3.0))
        self.assertTrue(answer.placed)
        async with asyncio.timeout(20):
            await begun.wait()
            name = answer.name.replace("tasks", "operations")
            self.assertEqual("CANCELLED", (await submitter.cancel(name)).state)
            await stopped.wait()

    async def test_a_machine_that_declines_or_fails_says_so(self):
        async def no(lease):
            raise Declined("no room")

        self.machine("b1", no)
        answer = await Submitter(self.api()).submit(Task("safe", key="a1", left_s=1.0))
        self.assertEqual("refused", answer.answer)

    async def test_a_machine_stops_at_the_expiry_of_its_lease_where_nobody_can_be_reached(self):
        ended = asyncio.Event()

        async def long(lease):
            try:
                await asyncio.sleep(60)
            finally:
                ended.set()

        machine = self.machine("b1", long)
        answer = await Submitter(self.api()).submit(Task("safe", key="a1", left_s=3.0))
        self.assertTrue(answer.placed)
        self.gateway.listener.close()
        for connection in list(self.gateway._links):
            connection.close()
        begun = time.monotonic()
        async with asyncio.timeout(20):
            await ended.wait()
        self.assertLess(time.monotonic() - begun, 5.1)
        self.assertTrue(machine.holding)  # and says so once it can

    async def test_batches_lists_and_filters(self):
        submitter = Submitter(self.api())
        tasks = [Task("safe", key=f"a{n}", tenant=("north", "south")[n % 2], left_s=3.0) for n in range(5)]
        told = await submitter.batch([*tasks, Task("none")])
        self.assertEqual([True] * 5 + [False], [not isinstance(one, ApiError) for one in told])
        listed = [one.name async for one in submitter.list(page_size=2)]
        self.assertEqual([one.name for one in told[:5]], listed)
        south = [one.name async for one in submitter.list("tenant = south AND state != DONE")]
        self.assertEqual([told[1].name, told[3].name], south)
        body = {"names": [told[0].name, "operations/none"]}
        api = self.api()
        said = await api.call("POST", "operations:batchCancel", body)
        self.assertEqual("CANCELLED", said["responses"][0]["operation"]["metadata"]["state"])
        self.assertEqual(404, said["responses"][1]["error"]["code"])
        page = await api.call("GET", "operations?fields=operations.name,nextPageToken&pageSize=1")
        self.assertEqual([{"name": told[0].name}], page["operations"])
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
        self.assertEqual([], [one async for one in submitter.list("state = LOST")])
        for one in told[1:5]:
            await submitter.cancel(one.name)

    async def test_requirements_filter_and_the_module_chooses_among_the_rest(self):
        ran = []

        def runner(name):
            async def run(lease):
                ran.append(name)
                return Outcome()

            return run

        plain = {"devices": [{"handle": "cpu"}]}
        gpu = {"handle": "gpu", "properties": [{"key": "gpu", "value": "a"}]}
        special = {"devices": [{"handle": "cpu"}, gpu]}
        for n in range(4):
            self.machine(f"plain{n}", runner(f"plain{n}"), worker=plain)
        self.machine("special", runner("special"), worker=special)
        submitter = Submitter(self.api())
        for n in range(6):
            asked = Task("safe", key=f"c{n}", left_s=3.0, requirements=special)
            answer = await submitter.submit(asked, again_s=15)
            self.assertEqual("special", answer.bot_id)
        self.assertEqual({"special"}, set(ran))
        nobody = {"properties": [{"key": "os", "value": "none"}]}
        self.assertEqual(
            "refused",
            (await submitter.submit(Task("safe", key="d1", left_s=0.3, requirements=nobody))).answer,
        )

    async def test_an_answer_that_was_lost_is_asked_for_again_under_its_request_id(self):
        self.machine("b1", well)
        api, cut = self.api(), []
        whole = api.call

        async def lossy(method, path, body=None, **more):
            answer = await whole(method, path, body, **more)
            if path == "tasks" and not cut:
                cut.append(answer)
                raise ApiError(0, "", "the answer was lost")
            return answer

        api.call = lossy
        answer = await Submitter(api).submit(Task("unsafe", key="a9", left_s=5.0))
        self.assertEqual(cut[0]["name"], answer.name)
        self.assertTrue(answer.placed)


class Secure(Served):
    """Mutual TLS and tokens, by `weldhatch keys` as an operator calls it."""

    scheme = "https"

    def prepare(self):
        self.keys = str(self.folder / "keys")
        with contextlib.redirect_stdout(io.StringIO()):
            for words in (
                ["init", self.keys],
                ["server", self.keys],
                ["client", self.keys, "b1"],
                ["client", self.keys, "ci"],
                ["show", self.keys],
            ):
                assert main(["keys", *words]) == 0
        self.security = {"keys": self.keys, "tls": "mutual", "tokens": True}

    def token(self, name, role, tenant="", seconds=60.0):
        return Folder(self.keys).token(name, role, tenant, time.time(), seconds)

    def shown(self, name, **more):
        return self.api(
            authority=f"{self.keys}/ca.pem",
            certificate=f"{self.keys}/clients/{name}.pem",
            key=f"{self.keys}/clients/{name}.key",
            **more,
        )

    async def test_machines_act_on_their_own_leases_and_submitters_on_their_tenants_tasks(self):
        self.machine("b1", well, self.shown("b1"))
        north, _ = self.token("ci", tokens.Role.SUBMITTER, "north")
        south, _ = self.token("ci", tokens.Role.SUBMITTER, "south")
        submitter = Submitter(self.shown("ci", token=north))
        operation = await submitter.begin(Task("safe", key="a1", blob="x", left_s=4.0))
        self.assertEqual("DONE", (await submitter.wait(operation.name, 20)).state)
        other = Submitter(self.shown("ci", token=south))
        for call in (other.get(operation.name), other.cancel(operation.name), other.delete(operation.name)):
            with self.assertRaises(ApiError) as caught:
                await call
            self.assertEqual(404, caught.exception.code)
        self.assertEqual([], [one async for one in other.list()])
        with self.assertRaises(ApiError) as caught:
            await other.begin(Task("safe", key="a2", tenant="north"))
        self.assertEqual((403, "tenant"), (caught.exception.code, caught.exception.field))
        everybody, _ = self.token("ops", tokens.Role.OPERATOR)
        listed = [one.name async for one in Submitter(self.shown("ci", token=everybody)).list()]
        self.assertEqual([operation.name], listed)

    async def refused(self, code, api, path="botSessions", bot="b1"):
        body = {"botId": bot, "worker": WORKER}
        with self.assertRaises(ApiError) as caught:
            await api.call("POST" if "/" not in path else "PATCH", path, body)
        self.assertEqual(code, caught.exception.code, caught.exception)

    async def test_nobody_and_the_wrong_ones_are_turned_away(self):
        await self.refused(0, self.api(authority=f"{self.keys}/ca.pem"))  # no certificate: no handshake
        await self.refused(403, self.shown("ci"), bot="b1")  # another machine's name
        await self.refused(401, self.shown("b1"), "tasks")
        await self.refused(401, self.shown("ci", token="nonsense"), "tasks")
        machine, _ = self.token("b1", tokens.Role.MACHINE)
        await self.refused(403, self.shown("b1", token=machine), "tasks")
        # the token is another's than the certificate
        await self.refused(403, self.shown("ci", token=machine))
        session = await self.shown("b1").call("POST", "botSessions", {"botId": "b1", "worker": WORKER})
        await self.refused(403, self.shown("ci"), session["name"])
        old, claims = self.token("ci", tokens.Role.SUBMITTER, "north", seconds=-60)
        await self.refused(401, self.shown("ci", token=old), "tasks")
        good, claims = self.token("ci", tokens.Role.SUBMITTER, "north")
        api = self.shown("ci", token=good)
        self.assertEqual([], (await api.call("GET", "operations"))["operations"])
        Folder(self.keys).revoke(claims.id, time.time())
        self.gateway.reload()
        with self.assertRaises(ApiError) as caught:
            await api.call("GET", "operations")
        self.assertEqual(401, caught.exception.code)

    async def test_one_caller_has_only_so_much_under_way_and_others_go_on(self):
        self.gateway._quotas.max_per_caller = 2
        north, _ = self.token("ci", tokens.Role.SUBMITTER, "north")
        south, _ = self.token("ci", tokens.Role.SUBMITTER, "south")
        greedy, other = (Submitter(self.shown("ci", token=token)) for token in (north, south))
        name = (await greedy.begin(Task("safe", key="a1", left_s=4.0))).name
        waiting = [asyncio.ensure_future(greedy.wait(name, 20)) for _ in range(2)]
        while self.gateway._quotas._in_flight.total() < 2:
            await asyncio.sleep(0.01)
        with self.assertRaises(ApiError) as caught:
            await greedy.get(name)
        self.assertEqual((429, 1.0), (caught.exception.code, caught.exception.retry_s))
        self.assertEqual([], [one async for one in other.list()])
        for one in waiting:
            one.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        while len(self.gateway._quotas):
            await asyncio.sleep(0.01)
        self.assertEqual(name, (await greedy.get(name)).name)

    async def test_certificates_and_keys_are_rotated_with_open_connections_kept(self):
        self.machine("b1", well, self.shown("b1"))
        earlier, _ = self.token("ci", tokens.Role.SUBMITTER, "north")
        Folder(self.keys).rotate(time.time(), 3600.0)
        Folder(self.keys).certify("gateway", ["127.0.0.1"], True, NOW, 30)
        self.gateway.reload()
        later, _ = self.token("ci", tokens.Role.SUBMITTER, "north")
        for token in (earlier, later):
            answer = await Submitter(self.shown("ci", token=token)).submit(
                Task("safe", key=f"b{len(token) % 7}", left_s=4.0), again_s=15
            )
            self.assertTrue(answer.placed)
        (Path(self.keys) / "server.pem").write_text("broken")
        with self.assertRaisesRegex(config.ConfigError, "server.pem"):
            self.gateway.reload()
        again = Submitter(self.shown("ci", token=later))
        answer = await again.submit(Task("safe", key="c1", left_s=4.0), again_s=15)
        self.assertTrue(answer.placed)


# ---- keys alone
# ----------------------------------------------------------------------------------------------


def test_tokens_end_with_their_key_and_their_time(tmp_path):
    folder = Folder(tmp_path / "keys")
    folder.begin("x", NOW)
    now = NOW.timestamp()
    token, claims = folder.token("ci", tokens.Role.SUBMITTER, "north", now, 100.0)
    assert folder.keyring().verify(token, now) == tokens.Claims(
        "ci", tokens.Role.SUBMITTER, "north", claims.id, int(claims.expires)
    )
    for later, said in ((200.0, "expired"), (-100.0, "future")):
        with pytest.raises(tokens.TokenError, match=said):
            folder.keyring().verify(token, now + later)
    folder.rotate(now, 50.0)
    assert folder.keyring().verify(token, now + 49).name == "ci"
    with pytest.raises(tokens.TokenError, match="no longer good"):
        folder.keyring().verify(token, now + 51)
    other = Folder(tmp_path / "other")
    other.begin("x", NOW)
    with pytest.raises(tokens.TokenError, match="not known here"):
        other.keyring().verify(token, now)
    head, body, signature = token.split(".")
    for spoilt in (f"{head}.{body[:-4]}AAAA.{signature}", f"{head}.{body}.AAAA", "a.b.c", ""):
        with pytest.raises(tokens.TokenError):
            folder.keyring().verify(spoilt, now)


def test_a_folder_that_can_not_be_used_is_named(tmp_path, capsys):
    with pytest.raises(KeysError, match=r"tokens.json"):
        Folder(tmp_path).keyring()
    folder = Folder(tmp_path / "keys")
    folder.begin("x", NOW)
    with pytest.raises(KeysError, match=r"ca.pem: there is an authority already"):
        folder.begin("x", NOW)
    with pytest.raises(KeysError, match="can't be a certificate's name"):
        folder.certify("../x", [], False, NOW, 1)
    (tmp_path / "keys" / "tokens.json").write_text("{")
    with pytest.raises(KeysError, match=r"tokens.json"):
        folder.keyring()
    assert main(["keys", "server", str(tmp_path / "none")]) == 2
    assert "ca.pem" in capsys.readouterr().err
    assert oct((tmp_path / "keys" / "ca.key").stat().st_mode & 0o777) == "0o600"


@pytest.mark.parametrize(
    ("told", "key"),
    [
        ({"tls": "maybe"}, "security.tls"),
        ({"tls": "server"}, "security.keys"),
        ({"colour": 1}, "security.colour"),
        ({"tokens": "yes"}, "security.tokens"),
        ({"calls": 0}, "security.calls"),
    ],
)
def test_security_that_can_not_be_used_names_its_key(told, key):
    with pytest.raises(config.ConfigError, match=key):
        config.pull_queue_config({"settings": SETTINGS, "security": told})


def test_waits_double_are_spread_and_keep_what_was_advised():
    low, high = Backoff(lambda: 0.0), Backoff(lambda: 1.0)
    assert [low.next() for _ in range(3)] == [0.1, 0.2, 0.4]
    assert [high.next(2.0) for _ in range(2)] == [2.2, 2.4]
