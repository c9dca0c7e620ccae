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

ALLOWED_S = 0.1  # the term: what begins later after its client has gone is a break
BUSY_S = 0.2  # how long the event loop is held up where a close has to be read late
NO_PROBES = {**SETTINGS, "limits": {**SETTINGS["limits"], "probes": False}}


class RecordingServer(Server):
    """A server that notes when each set-up arrives, and can keep the answers to tests back."""

    def __init__(self) -> None:
        super().__init__()
        self.arrivals: list[tuple[float, bytes]] = []
        self.tested = asyncio.Event()
        self.kept: list[Callable[[], None]] | None = None

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            (length,) = struct.unpack(">H", await reader.readexactly(2))
            kind, name, parameters = split_message(await reader.readexactly(length))
            if kind == server_codec.TEST:
                answer = server_codec.encode(server_codec.TESTED, name, {78: b"\1", 73: self.report.encode()})
                if self.kept is None:
                    writer.write(answer)
                else:
                    self.kept.append(lambda answer=answer: writer.write(answer))
                self.tested.set()
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

    def answer_tests(self) -> None:
        kept, self.kept = self.kept or [], None
        for answer in kept:
            answer()


class Client:
    """A client on a plain socket: what it does takes effect at once, whatever the event loop does."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.left: dict[bytes, float] = {}  # when it left, by the set-up that it left behind
        self.asked: list[str] = []

    @staticmethod
    def line(name: str, verb: str, cause: int | None = None, **fields: str) -> bytes:
        message: dict = {"verb": verb, "tag": tag(name).hex(), "opts": fields}
        if cause is not None:
            message["rc"] = cause
        return json.dumps(message).encode() + b"\n"

    @classmethod
    def set_up(cls, name: str, **fields: str) -> bytes:
        """The line of a set-up whose owner waits for long enough to see any attempt that follows."""
        usual = {"class": "safe", "left": "2500", "key": "7", "extras": "cores:1;memory:2;service:9"}
        return cls.line(name, "START", **{**usual, **fields})

    def ask(self, name: str, before: bytes = b"", after: bytes = b"", **fields: str) -> None:
        self.asked.append(name)
        self.socket.sendall(before + self.set_up(name, **fields) + after)

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
                self.socket.sendall(b"".join(self.line(name, "FINISH", 16) for name in self.asked))
        now = time.monotonic()
        self.left.update((tag(name), now) for name in self.asked)


LEAVES = ("close", "reset", "half-close", "cancel")


class Departures(Scenario):
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

    async def forgotten(self) -> None:
        await self.until(lambda: not self.gateway.core.requests, "the requests were forgotten")

    async def past_the_term(self) -> None:
        """What begins from here on begins later than the term allows for those who have left."""
        last = max(max(client.left.values(), default=0.0) for client in self.clients)
        await asyncio.sleep(max(0.0, last + ALLOWED_S + 0.02 - time.monotonic()))

    async def judge(self) -> None:
        """Once nothing more can come: no set-up has arrived too late after its client left."""
        await self.forgotten()
        await self.ask_all()  # behind these, on each link, nothing of what was asked before is under way
        left = {name: when for client in self.clients for name, when in client.left.items()}
        late = [
            (name, round(when - left[name], 3))
            for server in self.recorders()
            for when, name in server.arrivals
            if name in left and when > left[name] + ALLOWED_S
        ]
        self.assertEqual([], late, "set-ups that arrived so long after their clients had gone")

    @contextlib.contextmanager
    def held_up(self, kind: type[Event], during: Callable[[], None]) -> Iterator[None]:
        """Hold the loop up in the first batch with such an event; `during` comes right after its decision."""
        policy, handle, done = self.gateway.driver._policy, self.gateway.driver._policy.handle, []

        def slow(now: int, events: list[Event]) -> list[Action]:
            actions = handle(now, events)
            if not done and any(isinstance(event, kind) for event in events):
                done.append(True)
                during()
                time.sleep(BUSY_S)
            return actions

        with unittest.mock.patch.object(policy, "handle", slow):
            yield
        self.assertTrue(done, "the loop was held up")

    async def ask_all(self) -> None:
        """Tasks that stand and are over at once, as many as it takes for each server to have had one."""
        for _ in range(4):
            self.rounds += 1
            name = f"z{self.rounds}"
            await self.play(
                f"judge send START {name}\njudge expect STARTED {name}\njudge expect FINISH {name}"
            )
        await self.forgotten()

    async def drain(self) -> None:
        for server in self.recorders():
            while not server.received.empty():
                server.received.get_nowait()

    @contextlib.contextmanager
    def dialled(self, last: Callable[[], None] = lambda: None) -> Iterator[asyncio.Event]:
        """Connections to servers come up once the event is set; `last` comes in the turn in which they do."""
        come_up, connect = asyncio.Event(), self.gateway.servers.connect

        async def slow(server: object) -> Connection:
            await come_up.wait()
            connection = await connect(server)
            last()
            return connection

        with unittest.mock.patch.object(self.gateway.servers, "connect", slow):
            yield come_up

    async def waiting_for_the_connection(self, name: str) -> object:
        """The link on which the set-up waits for the connection; its probe has been given up by then."""
        links = self.gateway.servers._links.values()
        await self.until(lambda: any(tag(name) in link.records.waiting for link in links), "the set-up waits")
        return next(link for link in links if tag(name) in link.records.waiting)


class WhileWaiting(Departures):
    """The client leaves while its request waits, and the dispatcher has the time to hear of it."""

    async def test_one_that_leaves_while_its_probes_are_awaited_is_not_sent(self) -> None:
        [server] = self.recorders()
        self.gateway.servers._probe_timeout_s = 5.0
        classes = [{**cls, "aimUs": 20_000_000, "hardLimitUs": 3_000_000} for cls in SETTINGS["classes"]]
        self.gateway.driver.reconfigure(config.settings_from_json({**SETTINGS, "classes": classes}))
        for n, how in enumerate(LEAVES):
            with self.subTest(how):
                server.kept = []
                server.tested.clear()
                client = self.client()
                client.ask(f"a{n}")
                await self.until(server.tested.is_set, "the server was probed")
                client.leave(how)
                await self.past_the_term()
                server.answer_tests()
                await self.judge()
                await asyncio.sleep(1.6)  # until what the server told is too old: the next one probes again

    async def test_one_that_leaves_while_it_waits_to_draw_again_is_not_sent_again(self) -> None:
        for n, how in enumerate(LEAVES):
            with self.subTest(how):
                client = self.client()
                client.ask(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}\ns1 send RELEASE a{n} cause=34 topic=queue_full")
                requests = self.gateway.driver._policy._cluster.requests
                await self.until(
                    lambda requests=requests: any(r.backoffs for r in requests.values()), "the request waits"
                )
                client.leave(how)
                await self.judge()
                await self.drain()

    async def test_the_end_of_an_attempt_brings_no_further_one_for_a_client_that_has_left(self) -> None:
        ends = ("s1 send RELEASE {0} cause=34", "s1 send RELEASE {0} cause=41", "s1 close")
        for n, (how, end) in enumerate((how, end) for how in LEAVES for end in ends):
            with self.subTest(how, end=end):
                client = self.client()
                client.ask(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}")
                client.leave(how)
                await self.play(f"s1 expect RELEASE a{n} cause=16")
                await self.past_the_term()
                await self.play(end.format(f"a{n}"))
                await self.judge()
                await self.drain()

    async def test_one_that_leaves_while_its_server_is_dialled_is_not_sent_when_that_comes_up(self) -> None:
        for n, how in enumerate(LEAVES):
            with self.subTest(how), self.dialled() as dial:
                client = self.client()
                client.ask(f"a{n}")
                link = await self.waiting_for_the_connection(f"a{n}")
                client.leave(how)
                await self.until(lambda link=link: not link.records.in_flight, "the set-up was taken back")
                await self.past_the_term()
                dial.set()
                await self.judge()
                await self.drain()
                await self.play("s1 close")
                await self.until(lambda link=link: link.connection is None, "the connection ended")

    async def test_a_client_that_is_turned_away_has_nothing_sent_for_it_from_then_on(self) -> None:
        """It isn't read any more until it is closed, and it leaves meanwhile."""
        with unittest.mock.patch.object(client_connection, "REJECTED_CLOSE_DELAY_S", 1000.0):
            client = self.client()
            client.ask("a1")
            await self.play("s1 expect SET_UP a1")
            client.asked.append("a2")
            client.socket.sendall(b"[]\n" + client.set_up("a2"))
            await self.until(
                lambda: any(link.is_rejected for link in self.gateway.clients.connections), "turned away"
            )
            client.leave("close")
            await self.past_the_term()
            await self.play("s1 send RELEASE a1 cause=34")
            await self.judge()
        self.assertEqual(1, sum(name == tag("a1") for _, name in self.recorders()[0].arrivals))


class WhileBusy(Departures):
    """The client leaves while the dispatcher's loop is held up: the close is read late."""

    settings = NO_PROBES

    async def test_one_that_leaves_while_its_first_attempt_is_decided_is_not_sent(self) -> None:
        await self.ask_all()  # a connection is there before anything is timed
        for n, how in enumerate(LEAVES):
            with self.subTest(how):
                client = self.client()
                with self.held_up(RequestArrived, lambda client=client, how=how: client.leave(how)):
                    client.ask(f"a{n}")
                    await self.until(lambda client=client: client.left, "it left")
                    await self.judge()
                await self.drain()

    async def test_one_that_leaves_while_its_next_attempt_is_decided_is_not_sent_again(self) -> None:
        await self.ask_all()  # a connection is there before anything is timed
        for n, how in enumerate(LEAVES):
            with self.subTest(how):
                client = self.client()
                client.ask(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}")
                with self.held_up(AttemptEnded, lambda client=client, how=how: client.leave(how)):
                    await self.play(f"s1 send RELEASE a{n} cause=41")
                    await self.until(lambda client=client: client.left, "it left")
                    await self.judge()
                await self.drain()

    async def test_one_that_leaves_as_its_wait_ends_is_not_sent_again(self) -> None:
        """The timer that ends the wait, and the close, are found in the same turn of the loop."""
        await self.ask_all()  # a connection is there before anything is timed
        for n, how in enumerate(LEAVES):
            with self.subTest(how):
                client = self.client()
                client.ask(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}\ns1 send RELEASE a{n} cause=34 topic=no_cores")
                requests = self.gateway.driver._policy._cluster.requests
                await self.until(
                    lambda requests=requests: any(r.backoffs for r in requests.values()), "the request waits"
                )
                for node in self.gateway.driver._policy._cluster.machines.values():
                    node.decline(0, 0.0, 0.0)  # the machine may be drawn again at once
                client.leave(how)
                time.sleep(0.5)  # the loop is held up past the end of the wait
                await self.judge()
                await self.drain()

    async def test_an_end_of_its_attempt_that_is_read_with_its_leaving_brings_no_further_one(self) -> None:
        await self.ask_all()  # a connection is there before anything is timed
        for n, how in enumerate(LEAVES):
            with self.subTest(how):
                client = self.client()
                client.ask(f"a{n}")
                await self.play(f"s1 expect SET_UP a{n}")
                self.parties["s1"].send("RELEASE", f"a{n}", {"cause": "41"}, "")
                client.leave(how)
                time.sleep(BUSY_S)
                await self.judge()
                await self.drain()

    async def test_one_that_leaves_as_its_server_comes_up_is_not_sent(self) -> None:
        """The connection is there in the turn in which the close is still unread."""
        for n, how in enumerate(LEAVES):
            client = self.client()

            def leave(client: Client = client, how: str = how) -> None:
                if not client.left:
                    client.leave(how)
                    time.sleep(BUSY_S)

            with self.subTest(how), self.dialled(leave) as dial:
                client.ask(f"a{n}")
                link = await self.waiting_for_the_connection(f"a{n}")
                dial.set()
                await self.until(lambda client=client: client.left, "it left")
                await self.judge()
                await self.drain()
            await self.play("s1 close")
            await self.until(lambda link=link: link.connection is None, "the connection ended")

    async def test_a_set_up_and_its_leaving_that_come_in_one_read_reach_no_server(self) -> None:
        """With hundreds of lines in between too: the end of a pipeline is read late."""
        for n, (how, lines) in enumerate((how, lines) for how in LEAVES for lines in (0, 2000)):
            with self.subTest(how, lines=lines):
                client = self.client()
                await self.until(lambda: len(self.gateway.clients.connections) > 0, "it is connected")
                pipeline = client.line("p1", "NOTICE") * lines
                client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
                client.ask(f"a{n}", pipeline, pipeline)
                client.leave(how)
                time.sleep(BUSY_S)
                await self.judge()
                await self.drain()
        names = {name for server in self.recorders() for _, name in server.arrivals}
        self.assertFalse(names & {tag(f"a{n}") for n in range(2 * len(LEAVES))})

    async def test_one_that_stays_is_sent_though_the_loop_was_held_up(self) -> None:
        """Guards the guard: what a client says meanwhile that ends nothing stops no attempt."""
        await self.ask_all()  # a connection is there before anything is timed
        client = self.client()
        chatter = client.line("p1", "NOTICE")
        with self.held_up(RequestArrived, lambda: client.socket.sendall(chatter)):
            client.ask("a1")
            await self.play("s1 expect SET_UP a1\ns1 send ANSWER a1")
        client.socket.settimeout(20.0)
        self.assertIn(b"STARTED", await asyncio.to_thread(client.socket.recv, 4096))


if __name__ == "__main__":
    unittest.main()
