"""Clients that leave: nothing starts for one that has closed its connection or taken its request back.

The term: an attempt, first or further, that begins more than 0.1 s after its client has gone is a break. Each
test forces one bad order by events. Clients are plain sockets, so that they can leave while the event loop
of the dispatcher is held up; the stand-in servers note when each set-up arrives.
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

MAX_ATTEMPT_DELAY_S = 0.1  # the term: what begins later after its client has gone is a break
LOOP_STALL_S = 0.2  # how long the event loop is held up where a close has to be read late
NO_PROBES = {**SETTINGS, "limits": {**SETTINGS["limits"], "probes": False}}


class RecordingServer(Server):
    """A server that notes when each set-up arrives, and can keep the answers to tests back."""

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
                if name.startswith(b"z"):  # the judge's: it stands, and is over
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
    """A client on a plain socket: what it does takes effect at once, whatever the event loop does."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.left_at: dict[bytes, float] = {}  # when it left, by the set-up that it left behind
        self.requested: list[str] = []

    @staticmethod
    def line(name: str, verb: str, cause: int | None = None, **fields: str) -> bytes:
        message: dict = {"verb": verb, "tag": tag(name).hex(), "opts": fields}
        if cause is not None:
            message["rc"] = cause
        return json.dumps(message).encode() + b"\n"

    @classmethod
    def request_line(cls, name: str, **fields: str) -> bytes:
        """The line of a set-up whose owner waits for long enough to see any attempt that follows."""
        usual = {"class": "safe", "left": "2500", "key": "7", "extras": "cores:1;memory:2;service:9"}
        return cls.line(name, "START", **{**usual, **fields})

    def send_request(self, name: str, before: bytes = b"", after: bytes = b"", **fields: str) -> None:
        self.requested.append(name)
        self.socket.sendall(before + self.request_line(name, **fields) + after)

    def leave(self, how: str) -> None:
        """Close, reset or half-close the connection, or take back each set-up that was asked for."""
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
    """The shared steps: clients that leave, a loop that is held up, and the verdict."""

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
        await self.until(lambda: not self.gateway.core.requests, "the requests were forgotten")

    async def wait_past_the_limit(self) -> None:
        """What begins from here on begins later than the term allows for those who have left."""
        last_departure = max(max(client.left_at.values(), default=0.0) for client in self.clients)
        await asyncio.sleep(max(0.0, last_departure + MAX_ATTEMPT_DELAY_S + 0.02 - time.monotonic()))

    async def assert_no_late_offers(self) -> None:
        """Once nothing more can come: no set-up has arrived too late after its client left."""
        await self.wait_until_requests_are_forgotten()
        await (
            self.place_tasks_on_all_servers()
        )  # behind these, on each link, nothing of what was asked before is under way
        left_at = {name: when for client in self.clients for name, when in client.left_at.items()}
        late = [
            (name, round(when - left_at[name], 3))
            for server in self.recorders()
            for when, name in server.arrivals
            if name in left_at and when > left_at[name] + MAX_ATTEMPT_DELAY_S
        ]
        self.assertEqual([], late, "set-ups that arrived so long after their clients had gone")

    @contextlib.contextmanager
    def stalled_loop(self, kind: type[Event], during: Callable[[], None]) -> Iterator[None]:
        """Hold the loop up in the first batch with such an event; `during` comes right after its decision."""
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
        self.assertTrue(stalls, "the loop was held up")

    async def place_tasks_on_all_servers(self) -> None:
        """Tasks that stand and are over at once, as many as it takes for each server to have had one."""
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
        """Connections to servers come up once the event is set; `last` comes in the turn in which they do."""
        may_connect, connect = asyncio.Event(), self.gateway.servers.connect

        async def slow(server: object) -> Connection:
            await may_connect.wait()
            connection = await connect(server)
            on_connect()
            return connection

        with unittest.mock.patch.object(self.gateway.servers, "connect", slow):
            yield may_connect

    async def link_with_waiting_offer(self, name: str) -> object:
        """The link on which the set-up waits for the connection; its probe has been given up by then."""
        links = self.gateway.servers._links.values()
        await self.until(lambda: any(tag(name) in link.records.waiting for link in links), "the set-up waits")
        return next(link for link in links if tag(name) in link.records.waiting)


class WhileWaiting(DepartureScenario):
    """The client leaves while its request waits, and the dispatcher has the time to hear of it."""

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
                await self.until(server.probed.is_set, "the server was probed")
                client.leave(how)
                await self.wait_past_the_limit()
                server.answer_probes()
                await self.assert_no_late_offers()
                await asyncio.sleep(1.6)  # until what the server told is too old: the next one probes again

    async def test_a_client_that_leaves_during_a_backoff_gets_no_further_attempt(self) -> None:
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                client.send_request(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}\ns1 send RELEASE a{n} cause=34 topic=queue_full")
                requests = self.gateway.driver._policy._cluster.requests
                await self.until(
                    lambda requests=requests: any(r.backoffs for r in requests.values()), "the request waits"
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
                await self.until(lambda link=link: not link.records.in_flight, "the set-up was taken back")
                await self.wait_past_the_limit()
                may_connect.set()
                await self.assert_no_late_offers()
                await self.discard_received()
                await self.play("s1 close")
                await self.until(lambda link=link: link.connection is None, "the connection ended")

    async def test_a_rejected_client_gets_no_further_attempts(self) -> None:
        """It isn't read any more until it is closed, and it leaves meanwhile."""
        with unittest.mock.patch.object(client_connection, "REJECTED_CLOSE_DELAY_S", 1000.0):
            client = self.client()
            client.send_request("a1")
            await self.play("s1 expect SET_UP a1")
            client.requested.append("a2")
            client.socket.sendall(b"[]\n" + client.request_line("a2"))
            await self.until(
                lambda: any(link.is_rejected for link in self.gateway.clients.connections), "turned away"
            )
            client.leave("close")
            await self.wait_past_the_limit()
            await self.play("s1 send RELEASE a1 cause=34")
            await self.assert_no_late_offers()
        self.assertEqual(1, sum(name == tag("a1") for _, name in self.recorders()[0].arrivals))


class WhileLoopIsStalled(DepartureScenario):
    """The client leaves while the dispatcher's loop is held up: the close is read late."""

    settings = NO_PROBES

    async def test_a_client_that_leaves_during_the_first_decision_gets_no_attempt(self) -> None:
        await self.place_tasks_on_all_servers()  # a connection is there before anything is timed
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                with self.stalled_loop(RequestArrived, lambda client=client, how=how: client.leave(how)):
                    client.send_request(f"a{n}")
                    await self.until(lambda client=client: client.left_at, "it left")
                    await self.assert_no_late_offers()
                await self.discard_received()

    async def test_a_client_that_leaves_during_a_retry_decision_gets_no_further_attempt(self) -> None:
        await self.place_tasks_on_all_servers()  # a connection is there before anything is timed
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                client.send_request(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}")
                with self.stalled_loop(AttemptEnded, lambda client=client, how=how: client.leave(how)):
                    await self.play(f"s1 send RELEASE a{n} cause=41")
                    await self.until(lambda client=client: client.left_at, "it left")
                    await self.assert_no_late_offers()
                await self.discard_received()

    async def test_a_client_that_leaves_as_its_backoff_ends_gets_no_further_attempt(self) -> None:
        """The timer that ends the wait, and the close, are found in the same turn of the loop."""
        await self.place_tasks_on_all_servers()  # a connection is there before anything is timed
        for n, how in enumerate(DEPARTURES):
            with self.subTest(how):
                client = self.client()
                client.send_request(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}\ns1 send RELEASE a{n} cause=34 topic=no_cores")
                requests = self.gateway.driver._policy._cluster.requests
                await self.until(
                    lambda requests=requests: any(r.backoffs for r in requests.values()), "the request waits"
                )
                for node in self.gateway.driver._policy._cluster.machines.values():
                    node.decline(0, 0.0, 0.0)  # the machine may be drawn again at once
                client.leave(how)
                time.sleep(0.5)  # the loop is held up past the end of the wait
                await self.assert_no_late_offers()
                await self.discard_received()

    async def test_an_attempt_end_read_together_with_the_departure_is_not_retried(self) -> None:
        await self.place_tasks_on_all_servers()  # a connection is there before anything is timed
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
        """The connection is there in the turn in which the close is still unread."""
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
                await self.until(lambda client=client: client.left_at, "it left")
                await self.assert_no_late_offers()
                await self.discard_received()
            await self.play("s1 close")
            await self.until(lambda link=link: link.connection is None, "the connection ended")

    async def test_a_request_and_its_departure_in_one_read_reach_no_server(self) -> None:
        """With hundreds of lines in between too: the end of a pipeline is read late."""
        for n, (how, lines) in enumerate((how, lines) for how in DEPARTURES for lines in (0, 2000)):
            with self.subTest(how, lines=lines):
                client = self.client()
                await self.until(lambda: len(self.gateway.clients.connections) > 0, "it is connected")
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
        """Guards the guard: what a client says meanwhile that ends nothing stops no attempt."""
        await self.place_tasks_on_all_servers()  # a connection is there before anything is timed
        client = self.client()
        chatter = client.line("p1", "NOTICE")
        with self.stalled_loop(RequestArrived, lambda: client.socket.sendall(chatter)):
            client.send_request("a1")
            await self.play("s1 expect SET_UP a1\ns1 send ANSWER a1")
        client.socket.settimeout(20.0)
        self.assertIn(b"STARTED", await asyncio.to_thread(client.socket.recv, 4096))


if __name__ == "__main__":
    unittest.main()
