"""Departed clients: no attempt starts for a client that has closed its connection or cancelled its request.

The requirement: no attempt, first or further, begins more than 0.1 s after its client has left. Each test
forces one harmful order by events. Clients are plain sockets, so that they can leave while the event loop of
the dispatcher is stalled; the stand-in servers record when each offer arrives.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import time
import unittest
import unittest.mock
from collections.abc import Callable, Iterator

from scenario import SETTINGS, Scenario, Server, split_message, tag

from weldhatch import config
from weldhatch.net.connection import Connection
from weldhatch.platform import client_connection, server_codec
from weldhatch.scheduling.actions import Action
from weldhatch.scheduling.events import AttemptEnded, Event, RequestArrived

MAX_ATTEMPT_DELAY_S = 0.1  # an attempt that begins later after its client has left is a violation
LOOP_STALL_S = 0.2  # length of a stall of the event loop, which delays the reading of a close
NO_PROBES = {**SETTINGS, "limits": {**SETTINGS["limits"], "probes": False}}


class RecordingServer(Server):
    """A server that records when each offer arrives, and can withhold the answers to probes."""

    def __init__(self) -> None:
        super().__init__()
        self.arrivals: list[tuple[float, bytes]] = []
        self.probed = asyncio.Event()
        self.withheld_answers: list[Callable[[], None]] | None = None

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            (length,) = struct.unpack(">H", await reader.readexactly(2))
            kind, name, parameters = split_message(await reader.readexactly(length))
            if kind == server_codec.TEST:
                answer = server_codec.encode(server_codec.TESTED, name, {78: b"\1", 73: self.report.encode()})
                if self.withheld_answers is None:
                    writer.write(answer)
                else:
                    self.withheld_answers.append(lambda answer=answer: writer.write(answer))
                self.probed.set()
                continue
            if kind == server_codec.SET_UP:
                self.arrivals.append((time.monotonic(), name))
                if name.startswith(b"z"):  # a control task: it starts and ends at once
                    writer.write(server_codec.encode(server_codec.ANSWER, name, {79: b""}))
                    writer.write(server_codec.encode(server_codec.RELEASE, name, {78: bytes((16,))}))
                    continue
            cause = {"cause": str(parameters[78][0])} if 78 in parameters else {}
            kinds = {server_codec.SET_UP: "SET_UP", server_codec.RELEASE: "RELEASE"}
            self.received.put_nowait((kinds.get(kind, str(kind)), name, cause, ""))

    def answer_probes(self) -> None:
        withheld_answers, self.withheld_answers = self.withheld_answers or [], None
        for answer in withheld_answers:
            answer()


class Client:
    """A client on a plain socket: its actions take effect at once, even while the event loop is stalled."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.left_at: dict[bytes, float] = {}  # time of departure by the tag of each request
        self.requested: list[str] = []

    @staticmethod
    def line(name: str, verb: str, cause: int | None = None, **fields: str) -> bytes:
        message: dict = {"verb": verb, "tag": tag(name).hex(), "opts": fields}
        if cause is not None:
            message["rc"] = cause
        return json.dumps(message).encode() + b"\n"

    @classmethod
    def request_line(cls, name: str, **fields: str) -> bytes:
        """Encode a request whose deadline is long enough for any attempt that might follow to be seen."""
        usual = {"class": "safe", "left": "2500", "key": "7", "extras": "cores:1;memory:2;service:9"}
        return cls.line(name, "START", **{**usual, **fields})

    def send_request(self, name: str, before: bytes = b"", after: bytes = b"", **fields: str) -> None:
        self.requested.append(name)
        self.socket.sendall(before + self.request_line(name, **fields) + after)

    def leave(self, how: str) -> None:
        """Close, reset or half-close the connection, or cancel all requests."""
        match how:
            case "close":
                self.socket.close()
            case "reset":
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.socket.close()
            case "half-close":
                self.socket.shutdown(socket.SHUT_WR)
            case "cancel":
                self.socket.sendall(b"".join(self.line(name, "FINISH", 16) for name in self.requested))
        now = time.monotonic()
        self.left_at.update((tag(name), now) for name in self.requested)


DEPARTURES = ("close", "reset", "half-close", "cancel")


class DepartureScenario(Scenario):
    """The shared steps: clients that leave, a stalled loop, and the check for late offers."""

    server_class = RecordingServer

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.clients: list[Client] = []
        self.rounds = 0

    async def asyncTearDown(self) -> None:
        for client in self.clients:
            client.socket.close()
        await super().asyncTearDown()

    def client(self) -> Client:
        self.clients.append(Client(self.gateway.listener.address))
        return self.clients[-1]

    def recorders(self) -> list[RecordingServer]:
        return [party for party in self.parties.values() if isinstance(party, RecordingServer)]

    async def wait_until_requests_are_forgotten(self) -> None:
        await self.until(lambda: not self.gateway.core.requests, "the requests are removed")

    async def wait_past_the_limit(self) -> None:
        """Wait until any attempt that begins now would be a violation for all departed clients."""
        last_departure = max(max(client.left_at.values(), default=0.0) for client in self.clients)
        await asyncio.sleep(max(0.0, last_departure + MAX_ATTEMPT_DELAY_S + 0.02 - time.monotonic()))

    async def assert_no_late_offers(self) -> None:
        """Check, once no offer can be in transit, that none arrived too late after its client left."""
        await self.wait_until_requests_are_forgotten()
        await self.place_tasks_on_all_servers()  # on each link, all earlier offers have arrived before these
        left_at = {name: when for client in self.clients for name, when in client.left_at.items()}
        late = [
            (name, round(when - left_at[name], 3))
            for server in self.recorders()
            for when, name in server.arrivals
            if name in left_at and when > left_at[name] + MAX_ATTEMPT_DELAY_S
        ]
        self.assertEqual([], late, "offers that arrived so many seconds after their clients had left")

    @contextlib.contextmanager
    def stalled_loop(self, kind: type[Event], during: Callable[[], None]) -> Iterator[None]:
        """Stall the loop in the first batch with such an event, after the decision and a call of `during`."""
        policy, handle, stalls = self.gateway.driver._policy, self.gateway.driver._policy.handle, []

        def slow(now: int, events: list[Event]) -> list[Action]:
            actions = handle(now, events)
            if not stalls and any(isinstance(event, kind) for event in events):
                stalls.append(True)
                during()
                time.sleep(LOOP_STALL_S)
            return actions

        with unittest.mock.patch.object(policy, "handle", slow):
            yield
        self.assertTrue(stalls, "the loop was stalled")

    async def place_tasks_on_all_servers(self) -> None:
        """Place tasks that end at once, enough for each server to have received one."""
        for _ in range(4):
            self.rounds += 1
            name = f"z{self.rounds}"
            await self.play(
                f"control send START {name}\ncontrol expect STARTED {name}\ncontrol expect FINISH {name}"
            )
        await self.wait_until_requests_are_forgotten()

    async def discard_received(self) -> None:
        for server in self.recorders():
            while not server.received.empty():
                server.received.get_nowait()

    @contextlib.contextmanager
    def delayed_connects(self, on_connect: Callable[[], None] = lambda: None) -> Iterator[asyncio.Event]:
        """Delay connects until the event is set; `on_connect` is called in the iteration of their end."""
        may_connect, connect = asyncio.Event(), self.gateway.servers.connect

        async def slow(server: object) -> Connection:
            await may_connect.wait()
            connection = await connect(server)
            on_connect()
            return connection

        with unittest.mock.patch.object(self.gateway.servers, "connect", slow):
            yield may_connect

    async def link_with_waiting_offer(self, name: str) -> object:
        """Return the link on which the offer waits for the connection, its probe having timed out."""
        links = self.gateway.servers._links.values()
        await self.until(
            lambda: any(tag(name) in link.records.waiting for link in links),
            "an offer that waits for the connection",
        )
        return next(link for link in links if tag(name) in link.records.waiting)


class WhileWaiting(DepartureScenario):
    """The client leaves while its request waits, and the dispatcher has time to read the departure."""

    async def test_a_client_that_leaves_during_a_probe_gets_no_attempt(self) -> None:
        [server] = self.recorders()
        self.gateway.servers._probe_timeout_s = 5.0
        classes = [{**cls, "aimUs": 20_000_000, "hardLimitUs": 3_000_000} for cls in SETTINGS["classes"]]
        self.gateway.driver.reconfigure(config.settings_from_json({**SETTINGS, "classes": classes}))
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                server.withheld_answers = []
                server.probed.clear()
                client = self.client()
                client.send_request(f"a{n}")
                await self.until(server.probed.is_set, "a probe of the server")
                client.leave(how)
                await self.wait_past_the_limit()
                server.answer_probes()
                await self.assert_no_late_offers()
                # Until the load report expires, so that the next request probes again.
                await asyncio.sleep(1.6)

    async def test_a_client_that_leaves_during_a_backoff_gets_no_further_attempt(self) -> None:
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                client.send_request(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}\ns1 send RELEASE a{n} cause=34 topic=queue_full")
                requests = self.gateway.driver._policy._cluster.requests
                await self.until(
                    lambda requests=requests: any(r.backoffs for r in requests.values()),
                    "the backoff of the request",
                )
                client.leave(how)
                await self.assert_no_late_offers()
                await self.discard_received()

    async def test_the_end_of_an_attempt_is_not_retried_after_the_client_has_left(self) -> None:
        ends = ("s1 send RELEASE {0} cause=34", "s1 send RELEASE {0} cause=41", "s1 close")
        for n, (how, end) in enumerate((how, end) for how in DEPARTURES for end in ends):
            with self.subTest(how, end=end):
                client = self.client()
                client.send_request(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}")
                client.leave(how)
                await self.play(f"s1 expect RELEASE a{n} cause=16")
                await self.wait_past_the_limit()
                await self.play(end.format(f"a{n}"))
                await self.assert_no_late_offers()
                await self.discard_received()

    async def test_a_client_that_leaves_during_a_connect_gets_no_attempt_when_the_connection_opens(
        self,
    ) -> None:
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how), self.delayed_connects() as may_connect:
                client = self.client()
                client.send_request(f"a{n}")
                link = await self.link_with_waiting_offer(f"a{n}")
                client.leave(how)
                await self.until(lambda link=link: not link.records.in_flight, "the offer is withdrawn")
                await self.wait_past_the_limit()
                may_connect.set()
                await self.assert_no_late_offers()
                await self.discard_received()
                await self.play("s1 close")
                await self.until(lambda link=link: link.connection is None, "the end of the connection")

    async def test_a_rejected_client_gets_no_further_attempts(self) -> None:
        """A rejected client is not read until it is closed; it leaves in the meantime."""
        with unittest.mock.patch.object(client_connection, "REJECTED_CLOSE_DELAY_S", 1000.0):
            client = self.client()
            client.send_request("a1")
            await self.play("s1 expect SET_UP a1")
            client.requested.append("a2")
            client.socket.sendall(b"[]\n" + client.request_line("a2"))
            await self.until(
                lambda: any(link.is_rejected for link in self.gateway.clients.connections),
                "the client is rejected",
            )
            client.leave("close")
            await self.wait_past_the_limit()
            await self.play("s1 send RELEASE a1 cause=34")
            await self.assert_no_late_offers()
        self.assertEqual(1, sum(name == tag("a1") for _, name in self.recorders()[0].arrivals))


class WhileLoopIsStalled(DepartureScenario):
    """The client leaves while the dispatcher's event loop is stalled, so that the close is read late."""

    settings = NO_PROBES

    async def test_a_client_that_leaves_during_the_first_decision_gets_no_attempt(self) -> None:
        await self.place_tasks_on_all_servers()  # opens the connection before the timed part
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                with self.stalled_loop(RequestArrived, lambda client=client, how=how: client.leave(how)):
                    client.send_request(f"a{n}")
                    await self.until(lambda client=client: client.left_at, "the client left")
                    await self.assert_no_late_offers()
                await self.discard_received()

    async def test_a_client_that_leaves_during_a_retry_decision_gets_no_further_attempt(self) -> None:
        await self.place_tasks_on_all_servers()  # opens the connection before the timed part
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                client.send_request(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}")
                with self.stalled_loop(AttemptEnded, lambda client=client, how=how: client.leave(how)):
                    await self.play(f"s1 send RELEASE a{n} cause=41")
                    await self.until(lambda client=client: client.left_at, "the client left")
                    await self.assert_no_late_offers()
                await self.discard_received()

    async def test_a_client_that_leaves_as_its_backoff_ends_gets_no_further_attempt(self) -> None:
        """The end of the backoff and the close are processed in the same loop iteration."""
        await self.place_tasks_on_all_servers()  # opens the connection before the timed part
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                client.send_request(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}\ns1 send RELEASE a{n} cause=34 topic=no_cores")
                requests = self.gateway.driver._policy._cluster.requests
                await self.until(
                    lambda requests=requests: any(r.backoffs for r in requests.values()),
                    "the backoff of the request",
                )
                for node in self.gateway.driver._policy._cluster.machines.values():
                    node.decline(0, 0.0, 0.0)  # the machine may be selected again at once
                client.leave(how)
                time.sleep(0.5)  # stalls the loop beyond the end of the backoff
                await self.assert_no_late_offers()
                await self.discard_received()

    async def test_an_attempt_end_read_together_with_the_departure_is_not_retried(self) -> None:
        await self.place_tasks_on_all_servers()  # opens the connection before the timed part
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                client.send_request(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}")
                self.parties["s1"].send("RELEASE", f"a{n}", {"cause": "41"}, "")
                client.leave(how)
                time.sleep(LOOP_STALL_S)
                await self.assert_no_late_offers()
                await self.discard_received()

    async def test_a_client_that_leaves_as_the_connection_opens_gets_no_attempt(self) -> None:
        """The connection opens in a loop iteration in which the close is still unread."""
        for n, how in enumerate(DEPARTURES):
            client = self.client()

            def leave(client: Client = client, how: str = how) -> None:
                if not client.left_at:
                    client.leave(how)
                    time.sleep(LOOP_STALL_S)

            with self.subTest(how), self.delayed_connects(leave) as may_connect:
                client.send_request(f"a{n}")
                link = await self.link_with_waiting_offer(f"a{n}")
                may_connect.set()
                await self.until(lambda client=client: client.left_at, "the client left")
                await self.assert_no_late_offers()
                await self.discard_received()
            await self.play("s1 close")
            await self.until(lambda link=link: link.connection is None, "the end of the connection")

    async def test_a_request_and_its_departure_in_one_read_reach_no_server(self) -> None:
        """Also with 2000 lines before and after the request: the end of a pipeline is read late."""
        for n, (how, lines) in enumerate((how, lines) for how in DEPARTURES for lines in (0, 2000)):
            with self.subTest(how, lines=lines):
                client = self.client()
                await self.until(lambda: len(self.gateway.clients.connections) > 0, "a client connection")
                pipeline = client.line("p1", "NOTICE") * lines
                client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
                client.send_request(f"a{n}", pipeline, pipeline)
                client.leave(how)
                time.sleep(LOOP_STALL_S)
                await self.assert_no_late_offers()
                await self.discard_received()
        names = {name for server in self.recorders() for _, name in server.arrivals}
        self.assertFalse(names & {tag(f"a{n}") for n in range(2 * len(DEPARTURES))})

    async def test_a_client_that_stays_gets_its_attempt_after_a_loop_stall(self) -> None:
        """Messages that a client sends during the stall and that end nothing must not stop its attempt."""
        await self.place_tasks_on_all_servers()  # opens the connection before the timed part
        client = self.client()
        chatter = client.line("p1", "NOTICE")
        with self.stalled_loop(RequestArrived, lambda: client.socket.sendall(chatter)):
            client.send_request("a1")
            await self.play("s1 expect SET_UP a1\ns1 send ANSWER a1")
        client.socket.settimeout(20.0)
        self.assertIn(b"STARTED", await asyncio.to_thread(client.socket.recv, 4096))


if __name__ == "__main__":
    unittest.main()
