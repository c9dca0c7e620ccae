"""Races between two events in the platform's front, forced into the harmful order.

Each test enforces its order by events: bytes written in one iteration of the event loop are read together in
the next one, and a connect is delayed until the event that has to precede it. docs/races.md lists all orders
that were examined.
"""

import asyncio
import errno
import socket
import time
import unittest.mock

from scenario import EVENT_TIMEOUT_S, SETTINGS, Bus, Owner, Scenario, Server, tag
from test_clients import REQUEST_FIELDS, line

from weldhatch import gateway as gateway_module
from weldhatch.core.messages import AttemptTimedOut
from weldhatch.net import connection
from weldhatch.net.descriptor_budget import DescriptorBudget, DescriptorShare
from weldhatch.platform import client_connection
from weldhatch.platform.server_link import ServerLink
from weldhatch.platform.silence_check import MAX_BUSY_EXTENSIONS
from weldhatch.scheduling.actions import Cancel

PLACE = """
    owner send START a1 class=keyed idem=5c | v=0
    s1 expect SET_UP a1 | v=0
    s1 send ANSWER a1 | v=0 s=9
    owner expect STARTED a1
"""
RUNNING_ON = "extras=cores:1;memory:1;service:9;at:u-{0}"


class Races(Scenario):
    def hold_connects(self, refuse=()):
        """Delay connects to servers until `connect_gate` is set; the first raise the errors in `refuse`."""
        real, faults = self.gateway.servers.connect, list(refuse)
        self.connect_gate, self.connect_started = asyncio.Event(), asyncio.Event()

        async def connect(server):
            self.connect_started.set()
            await self.connect_gate.wait()
            if faults:
                raise faults.pop(0)
            return await real(server)

        self.gateway.servers.connect = connect

    def link(self, name="s1"):
        """Return the gateway's link to a server."""
        return next(link for link in self.gateway.servers._links.values() if link.server.uid == f"u-{name}")

    async def asyncTearDown(self):
        for party in self.parties.values():  # connections closed by the gateway need no reset
            party.writers = [writer for writer in party.writers if not writer.is_closing()]
        await super().asyncTearDown()

    async def wait_for_message(self, *queues):
        """Wait until one of these queues holds a message."""
        await self.until(lambda: any(not queue.empty() for queue in queues), "a message")


class CrossingAnswers(Races):
    """A server's answer is read in the same loop iteration as the event that ends the attempt."""

    async def cancel_with(self, *writes):
        await self.play("owner send START a1 class=keyed idem=5c\ns1 expect SET_UP a1")
        actions = {
            "answer": lambda: self.parties["s1"].send("ANSWER", "a1", {}, "v=0"),
            "end": lambda: self.parties["owner"].send("FINISH", "a1", {"cause": "16"}, ""),
        }
        for action in writes:  # within one loop iteration
            actions[action]()
        # Messages on the connection are in order: the release of a1 must precede the offer of a2.
        await self.play("owner send START a2 class=safe\ns1 expect RELEASE a1\ns1 expect SET_UP a2")

    async def test_a_task_answered_just_before_its_cancellation_is_released(self):
        await self.cancel_with("answer", "end")

    async def test_a_task_answered_just_after_its_cancellation_is_released(self):
        await self.cancel_with("end", "answer")

    async def cross_with_answer(self, crossing_message):
        """Deliver a message to the request just before the server's answer, in the same loop iteration."""
        handle = ServerLink._handle

        def crossing(link, message):
            if message.tag == tag("a1") and self.lifecycles:
                self.lifecycles.pop().deliver(crossing_message)
            handle(link, message)

        self.lifecycles = []
        with unittest.mock.patch.object(ServerLink, "_handle", crossing):
            await self.play("owner send START a1 class=keyed idem=5c\ns1 expect SET_UP a1")
            self.lifecycles = list(self.gateway.core.requests)
            await self.play("s1 send ANSWER a1 | v=0 s=9")
            server, owner = self.parties["s1"], self.parties["owner"]
            await self.wait_for_message(server.received, owner.received)
        if server.received.empty():  # the answer took precedence
            self.assertEqual("STARTED", owner.received.get_nowait()[0])
        else:  # the task was released at its server before any other message
            self.assertEqual(("RELEASE", tag("a1")), server.received.get_nowait()[:2])

    async def test_an_attempt_cancelled_as_its_answer_arrives_is_not_repeated(self):
        await self.cross_with_answer(Cancel(1, 0))

    async def test_an_attempt_timed_out_as_its_answer_arrives_is_not_repeated(self):
        await self.cross_with_answer(AttemptTimedOut(0))

    async def test_an_answer_and_its_release_in_one_read_are_relayed_in_order(self):
        await self.play("owner send START a1\ns1 expect SET_UP a1")
        server = self.parties["s1"]
        server.send("ANSWER", "a1", {}, "v=0")
        server.send("RELEASE", "a1", {"cause": "16"}, "")
        await self.play("owner expect STARTED a1\nowner expect FINISH a1 cause=16")
        await self.until(lambda: not self.gateway.core.requests, "the request is removed")

    async def test_a_late_answer_of_a_cancelled_attempt_is_not_taken_for_the_next_attempt(self):
        """Attempts of one request at one server have the same tag on the wire."""
        await self.play("owner send START a1\ns1 expect SET_UP a1")
        [lifecycle] = self.gateway.core.requests
        lifecycle.deliver(Cancel(lifecycle.id, 0))
        await self.play("s1 expect RELEASE a1 cause=16")
        server, owner = self.parties["s1"], self.parties["owner"]
        await self.wait_for_message(server.received, owner.received)
        if server.received.empty():
            return  # no further attempt was made at this server
        await self.play("""
            s1 expect SET_UP a1
            s1 send ANSWER a1 | v=first
            s1 send RELEASE a1 cause=31
            s1 send ANSWER a1 | v=second
            owner expect STARTED a1
            owner send START a2
            s1 expect SET_UP a2
            s1 send RELEASE a1 cause=16
            s1 send ANSWER a2
            owner expect FINISH a1
            owner expect STARTED a2
        """)


class SlowConnects(Races):
    async def test_a_client_that_leaves_during_a_connect_gets_no_attempt(self):
        self.hold_connects()
        await self.play("owner send START a1")
        await self.until(self.connect_started.is_set, "a connect to the server")
        await self.until(lambda: self.link().records.probes, "a waiting probe")
        await self.until(lambda: self.link().records.in_flight, "an offer that waits for the connection")
        await self.play("owner close")
        await self.until(lambda: not self.gateway.core.requests, "the request is removed")
        self.connect_gate.set()
        await self.play("owner2 send START a2\ns1 expect SET_UP a2")

    async def test_a_release_request_survives_a_failed_connect(self):
        await self.play(PLACE)
        self.hold_connects(refuse=[TimeoutError()])
        await self.play("s1 close")
        await self.until(self.connect_started.is_set, "the reconnect for the running task")
        await self.play("owner send FINISH a1 cause=16")
        await self.until(
            lambda: self.link().records.running[tag("a1")].end_request, "the release waits for the connection"
        )
        self.connect_gate.set()
        await self.until(lambda: self.parties["s1"].writers, "the second connect succeeds")
        await self.play("owner send START a2\ns1 expect RELEASE a1\ns1 expect SET_UP a2")

    async def test_a_release_request_lost_with_its_connection_is_repeated(self):
        """The server may not have read the release request before the reset, so its task may still run."""
        await self.play(PLACE + "owner send FINISH a1 cause=16\ns1 expect RELEASE a1")
        server = self.parties["s1"]
        server.connected.clear()
        server.reset()
        await self.until(server.connected.is_set, "the reconnect for the running task")
        await self.play("owner send START a2\ns1 expect RELEASE a1\ns1 expect SET_UP a2")

    async def assert_task_survives(self, name="a1"):
        """The link reconnects, and the client is notified of an end only when the server sends one."""
        server, owner = self.parties["s1"], self.parties["owner"]
        await self.until(
            lambda: server.writers or not owner.received.empty(), "a reconnect, or a notification of loss"
        )
        self.assertTrue(owner.received.empty(), f"reported as lost: {self.logged[-1]}")
        await self.play(f"s1 send RELEASE {name} cause=16\nowner expect FINISH {name} cause=16")

    async def test_a_task_survives_the_reset_of_a_new_connection(self):
        """The reset of an accepted connection is not a refused connect: the server is alive."""
        await self.play(PLACE)
        real, resets = connection.IOStream.connect, []
        accepting = self.parties["s1"].server.sockets[0]._sock

        def connect(stream, address):
            """Connect; the first connection is reset before the next loop iteration."""
            up = real(stream, address)
            if not resets:
                accepted, _ = accepting.accept()
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, connection.NO_LINGER)
                accepted.close()
                resets.append(address)
            return up

        with unittest.mock.patch.object(connection.IOStream, "connect", connect):
            await self.play("s1 close")
            await self.until(lambda: resets, "the reset of a new connection")
            await self.assert_task_survives()

    async def test_a_task_survives_two_slow_connects_in_a_row(self):
        """A connect may take up to 1 s, and an end may be reported up to 8 s late."""
        await self.play(PLACE)
        self.hold_connects(refuse=[TimeoutError(), TimeoutError()])
        self.connect_gate.set()
        await self.play("s1 close")
        await self.assert_task_survives()

    async def test_a_waiting_offer_is_not_sent_to_an_outdated_address(self):
        self.hold_connects()
        await self.play("owner send START a1")
        await self.until(self.connect_started.is_set, "a connect to the server")
        old, new = self.parties["s1"], Server()
        await new.listen()
        self.parties["new"] = new
        host, port = new.endpoint
        self.bus.add([{**self.target("s1"), "endpoint": f"{host}:{port}"}])
        await self.until(lambda: self.gateway.servers_list.offset == 2, "the new address is applied")
        self.connect_gate.set()
        await self.wait_for_message(old.received, new.received)
        self.assertTrue(old.received.empty(), "an offer was sent to the old address")


class ReachabilityChecks(Races):
    async def test_a_reachability_check_leaves_a_newer_connection_open(self):
        await self.play("owner send START a1 class=unsafe\ns1 expect SET_UP a1\ns1 hang")
        link, server = self.link(), self.parties["s1"]
        link.silence._busy_extensions = MAX_BUSY_EXTENSIONS  # the next extension drops the silent connection
        real, connects, connect_gate = self.gateway.servers.connect, [], asyncio.Event()

        async def connect(target):
            connects.append(target)
            if len(connects) == 1:  # the connect of the reachability check
                await connect_gate.wait()
            return await real(target)

        self.gateway.servers.connect = connect
        await self.until(lambda: connects, "the connect of the reachability check")
        server.reset()
        server.hung = False
        await self.play(
            "owner expect FINISH a1 cause=47\nowner send START a2 class=unsafe\ns1 expect SET_UP a2"
        )
        connect_gate.set()
        await self.until(lambda: not link.silence.is_checking, "the end of the reachability check")
        await self.play("s1 send ANSWER a2\nowner expect STARTED a2")


class DepartedClients(Races):
    async def test_a_client_that_closed_before_it_was_accepted_gets_no_attempt(self):
        """The request and the close are both pending in the kernel when the connection is accepted."""
        for n, linger in enumerate((None, connection.NO_LINGER)):
            client = socket.create_connection(self.gateway.listener.address)
            client.sendall(line(f"a{n}", **REQUEST_FIELDS))
            if linger:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            client.close()
        await self.play("owner send START b1\ns1 expect SET_UP b1")
        await self.until(lambda: len(self.gateway.core.requests) == 1, "the other requests are removed")
        self.assertTrue(self.parties["s1"].received.empty())

    async def test_a_request_and_its_cancellation_in_one_read_make_no_attempt(self):
        self.parties["owner"] = owner = Owner()
        await owner.open(self.gateway.listener.address)
        owner.writers[0].write(line("a1", **REQUEST_FIELDS) + line("a1", "FINISH"))
        await self.play("owner send START b1\ns1 expect SET_UP b1")
        await self.until(lambda: len(self.gateway.core.requests) == 1, "the cancelled request is removed")


DEDUP_WINDOW_S = 0.2
SHORT_WINDOW = {
    **SETTINGS,
    "classes": [
        {**cls, "dedupWindowUs": int(1e6 * DEDUP_WINDOW_S)} if cls["name"] == "keyed" else cls
        for cls in SETTINGS["classes"]
    ],
}


class ShortWindow(Races):
    servers = 2
    settings = SHORT_WINDOW

    async def test_a_retry_that_waits_for_a_connect_is_not_sent_after_the_window(self):
        """Time limits are 50 ms longer on sockets: this connect succeeds 60 ms after the window, in time."""
        await self.play("owner send START a1 left=900 class=keyed idem=5c")
        servers = [self.parties["s1"], self.parties["s2"]]
        await self.wait_for_message(*(server.received for server in servers))
        over = time.monotonic() + DEDUP_WINDOW_S + 0.06
        for server in servers:
            while not server.received.empty():
                server.received.get_nowait()
        self.hold_connects()
        for server in servers:
            server.reset()
        owner = self.parties["owner"]
        await self.until(
            lambda: self.connect_started.is_set() or not owner.received.empty(),
            "a connect for the retry, or the final answer",
        )
        await asyncio.sleep(max(0.0, over - time.monotonic()))
        self.connect_gate.set()
        await self.wait_for_message(owner.received, *(server.received for server in servers))
        late = [server.received.get_nowait()[0] for server in servers if not server.received.empty()]
        self.assertEqual([], late, "an attempt after the deduplication window")
        self.assertEqual("FINISH", owner.received.get_nowait()[0])


class Discovery(Races):
    async def test_a_full_list_of_a_large_fleet_is_applied(self):
        await self.until(lambda: self.bus.writers, "the bus is connected")
        first_target = {**self.target("s1"), "boot_ms": 0}
        fleet = [
            {
                **first_target,
                "uid": f"s-{n:08x}",
                "endpoint": f"127.0.{n // 200 + 1}.{n % 200 + 1}:5080",
                "state": "draining",
            }
            for n in range(600)
        ]
        self.bus.add([first_target, *fleet], is_full=True)
        await self.until(
            lambda: self.gateway.servers_list.offset == 2 or any("closed" in text for text in self.logged),
            "the list is applied, or the connection is closed",
        )
        self.assertEqual(2, self.gateway.servers_list.offset, [text[:200] for text in self.logged])

    async def test_an_event_with_a_duplicate_server_is_applied(self):
        await self.until(lambda: self.bus.writers, "the bus is connected")
        removed = self.target("s1", "gone")
        self.bus.add([removed, removed])
        nodes = self.gateway.driver._policy._cluster.machines
        await self.until(lambda: not nodes, "the policy has removed the server")

    async def test_a_new_bus_address_during_a_connect_leaks_no_connection_and_no_slot(self):
        await self.until(lambda: self.bus.writers, "the bus is connected")
        share, new = self.gateway.bus._share, Bus()
        await new.listen()
        self.parties["new"] = new
        new.events = self.bus.events
        new.add([self.target("s1", "draining")])
        real, connect_started = connection.IOStream.connect, asyncio.Event()

        async def never(stream, address):
            connect_started.set()
            await asyncio.Event().wait()

        with unittest.mock.patch.object(connection.IOStream, "connect", never):
            self.bus.reset()
            await self.until(connect_started.is_set, "a connect to the old address")
            connection.IOStream.connect = real
            self.gateway.bus.change_endpoint(new.endpoint)
        await self.until(lambda: self.gateway.servers_list.offset == 2, "the event of the new bus is applied")
        self.assertEqual(1, share.held)

    async def test_a_socket_that_cannot_be_created_returns_its_slot(self):
        """The bus has two slots: two leaked ones would leave it without any."""
        share = DescriptorShare(DescriptorBudget(64), 2)
        self.assertTrue(share.take())
        fault = OSError(errno.EMFILE, "too many open files")
        with (
            unittest.mock.patch.object(connection.socket, "socket", side_effect=fault),
            self.assertRaises(OSError),
        ):
            await connection.connect(("127.0.0.1", 9), 0.1, share, "event bus", self.logged.append)
        self.assertEqual(0, share.held)

    async def test_a_task_on_a_server_listed_later_is_not_reported_lost(self):
        """After a restart, clients may report their tasks before the list of machines is current."""
        self.parties["s2"] = server = Server()
        await server.listen()
        await self.play(f"""
            owner send START b1 {RUNNING_ON.format("s2")}
            owner send ECHO t0 cause=0
            owner expect ECHOED t0
            bus send s2=ready
        """)
        owner = self.parties["owner"]
        await self.until(
            lambda: server.writers or not owner.received.empty(), "a connection, or a notification of loss"
        )
        await self.play("s2 send RELEASE b1 cause=16\nowner expect FINISH b1 cause=16")


class FewDescriptors(Races):
    """20 descriptors beside those of the bus: at most 12 for links to servers and 12 for clients."""

    servers = 11
    sockets = 46
    client_count = 12  # beside the owner; more than there are descriptors for

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.until(lambda: self.bus.writers, "the bus is connected")
        names = [f"s{n}" for n in range(1, self.servers + 1)]
        for name in names:
            await self.play(f"owner send START b-{name} {RUNNING_ON.format(name)}")
        await self.until(
            lambda: all(self.parties[name].writers for name in names), "connections to all servers"
        )

    async def connect_clients(self, text):
        """Connect `client_count` clients at once, for which there are not enough descriptors."""
        for n in range(self.client_count):
            await self.play(text.format(n))
        await self.play("owner send ECHO t9\nowner expect ECHOED t9")  # the listener has accepted what it can

    async def test_a_returning_bus_gets_a_descriptor_whatever_clients_and_servers_hold(self):
        """Events missed while the bus is down count as delivered after 4 s."""
        self.bus.server.close()
        self.bus.reset()
        await self.until(lambda: not self.gateway.bus._share.held, "the bus returned its descriptor")
        await self.connect_clients("idle{0} send ECHO t0")
        self.bus.connected.clear()
        await self.bus.listen(self.bus.endpoint)
        try:
            await asyncio.wait_for(self.bus.connected.wait(), 4)
        except TimeoutError:
            self.fail(f"the bus got no connection within 4 s; log: {self.logged[-1]}")

    async def test_tasks_on_a_server_without_a_descriptor_are_not_reported_lost(self):
        server, owner, refused = self.parties["s1"], self.parties["owner"], []
        real = self.gateway.servers.connect

        async def connect(server):
            try:
                return await real(server)
            except (TimeoutError, OSError):
                refused.append(server.uid)
                raise

        self.gateway.servers.connect = connect
        # The last clients wait in the backlog and get the descriptor that the link returns. Each client has a
        # task, so that none is evicted.
        await self.connect_clients(f"next{{0}} send START c{{0}} {RUNNING_ON.format('s2')}")
        await self.play("s1 close")
        await self.until(
            lambda: len(refused) > 3 or not owner.received.empty() or server.writers,
            "a reconnect, several failures for lack of a descriptor, or a notification of loss",
        )
        self.assertTrue(owner.received.empty(), f"reported as lost: {self.logged[-1]}")
        for n in range(self.client_count):
            await self.play(f"next{n} close")
        await self.until(lambda: server.writers, "the reconnect for the running task")
        await self.play("s1 send RELEASE b-s1 cause=16\nowner expect FINISH b-s1 cause=16")


class PartialRequests(Races):
    async def send_half_a_request(self):
        """Connect a client that sends half of its first request; return it, its link and the other half."""
        self.parties["owner"] = owner = Owner()
        await owner.open(self.gateway.listener.address)
        data = line("a1", **REQUEST_FIELDS)
        owner.writers[0].write(data[:40])
        await self.until(
            lambda: any(link.connection.incomplete_since for link in self.gateway.clients.connections),
            "the first half is read",
        )
        [link] = self.gateway.clients.connections
        return owner, link, data[40:]

    async def assert_request_completes(self, owner, link, rest):
        self.assertFalse(link.connection.closed, "closed although a message has just begun")
        owner.writers[0].write(rest)
        await self.play("s1 expect SET_UP a1")

    async def test_a_partial_request_is_not_closed_as_silent(self):
        owner, link, rest = await self.send_half_a_request()
        link.last_used -= (
            client_connection.COMPLETE_MESSAGE_TIMEOUT_S + 0.1
        )  # simulates a connection that is older than the limit
        self.gateway.clients.sweep(time.monotonic())
        await self.assert_request_completes(owner, link, rest)

    async def test_a_partial_request_is_not_evicted(self):
        owner, link, rest = await self.send_half_a_request()
        link.last_used -= 2 * client_connection.SWEEP_INTERVAL_S
        self.gateway.clients.free_descriptors()
        await self.assert_request_completes(owner, link, rest)


class Releases(Races):
    async def test_a_release_waits_for_its_client_and_is_not_sent_to_one_without_requests(self):
        await self.play(PLACE)
        self.parties["silent"] = silent = Owner()
        reader, writer = await asyncio.open_connection(
            *self.gateway.listener.address, local_addr=("127.0.0.9", 0)
        )
        silent.task = asyncio.create_task(silent.serve(reader, writer))
        await self.until(lambda: len(self.gateway.clients.connections) == 2, "the silent client is connected")
        await self.play("owner close")
        await self.until(
            lambda: len(self.gateway.clients.connections) == 1, "the end of the owner's connection"
        )
        await self.play("s1 send RELEASE a1 cause=16")
        await self.until(lambda: not self.gateway.core.requests, "the end of the task is received")
        await self.play("owner2 send ECHO t0\nowner2 expect FINISH a1 cause=16")
        self.assertTrue(silent.received.empty())


class Cancellations(Races):
    async def test_occasional_cancellations_do_not_close_the_connection(self):
        """Only frequent cancellations count: a long-lived connection may cancel many requests in total."""
        with unittest.mock.patch.object(
            client_connection, "IMMEDIATE_CANCEL_WINDOW_S", 0.0
        ):  # no two cancellations fall within the window
            for n in range(2 * client_connection.MAX_IMMEDIATE_CANCELS):
                await self.play(f"owner send START b{n}\nowner send FINISH b{n} cause=16")
            await self.play("owner send START a1\nowner send ECHO t0\nowner expect ECHOED t0")
            self.assertFalse([text for text in self.logged if "requests cancelled" in text], self.logged)

    async def test_a_rejection_that_crosses_a_cancellation_is_not_sent(self):
        await self.play("owner send START a1\ns1 expect SET_UP a1")
        [request] = self.gateway.clients._requests.values()
        request.abandon()
        request.refused(0)
        await self.play("owner send ECHO t0\nowner expect ECHOED t0")


class GracefulShutdown(Races):
    async def test_pending_connections_are_answered_when_listening_ends(self):
        """More clients than one accept batch, each with a request written before listening ends."""
        loop, sockets = asyncio.get_running_loop(), []
        fields = {**REQUEST_FIELDS, "left": "300"}
        with unittest.mock.patch.object(gateway_module, "SHUTDOWN_LISTEN_S", 0):
            shutdown = asyncio.create_task(self.gateway.end())
            for n in range(40):
                client = socket.create_connection(self.gateway.listener.address)
                self.addCleanup(client.close)
                client.sendall(line(f"a{n}", **fields))
                client.setblocking(False)
                sockets.append(client)
            answers = []
            for client in sockets:
                try:
                    answers.append(await asyncio.wait_for(loop.sock_recv(client, 4096), EVENT_TIMEOUT_S))
                except ConnectionResetError:
                    answers.append(b"")
        await asyncio.wait_for(shutdown, EVENT_TIMEOUT_S)
        self.assertEqual(40, sum(b"FINISH" in answer for answer in answers), "answered requests")

    async def test_a_request_received_before_the_connections_close_is_answered(self):
        await self.play("owner send ECHO t0\nowner expect ECHOED t0")
        owner, finish_all = self.parties["owner"], self.gateway.clients.finish_all

        async def send_request_first(within):
            owner.send("START", "a1", {}, "v=0")  # received by the kernel, not read yet
            await finish_all(within)

        self.gateway.clients.finish_all = send_request_first
        with unittest.mock.patch.object(gateway_module, "SHUTDOWN_LISTEN_S", 0):
            await asyncio.wait_for(self.gateway.end(), EVENT_TIMEOUT_S)
        await asyncio.wait_for(owner.closed.wait(), EVENT_TIMEOUT_S)
        self.assertFalse(owner.received.empty(), "closed without an answer")
        self.assertEqual("FINISH", owner.received.get_nowait()[0])


if __name__ == "__main__":
    unittest.main()
