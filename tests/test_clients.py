"""Scenarios of misbehaving clients: they are rejected, and other clients are served as before."""

import asyncio
import json
import unittest.mock

from scenario import Owner, Scenario, tag

from weldhatch.net import rate_limited_log
from weldhatch.platform import client_connection, client_front

REQUEST_FIELDS = {"class": "safe", "left": "1500", "key": "7", "extras": "cores:1;memory:2;service:9"}
PLACE = """
    usual send START {0} | v=0
    s1 expect SET_UP {0}
    s1 send ANSWER {0} | v=0 s=9
    usual expect STARTED {0} | v=0 s=9
"""


def line(name="b1", verb="START", blob="v=0", **fields):
    return json.dumps({"verb": verb, "tag": tag(name).hex(), "opts": fields, "blob": blob}).encode() + b"\n"


class MisbehavingClients(Scenario):
    async def connect_client(self, name, data=b""):
        self.parties[name] = party = Owner()
        await party.open(self.gateway.listener.address)
        if data:
            party.writers[0].write(data)
        return party

    async def expect_closed(self, name, data=b""):
        await self.connect_client(name, data)
        await self.play(f"{name} wait closed")

    async def test_requests_with_invalid_fields_reach_no_server(self):
        malformed = [
            {**REQUEST_FIELDS, **change}
            for change in (
                {"class": "safe_x"},
                {"left": "-5"},
                {"left": "soon"},
                {"left": ""},
                {"left": "1e9"},
                {"left": "nan"},
                {"left": 99999999999},
                {"key": "0x7"},
                {"key": "+7"},
                {"key": ""},
                {"key": "1" * 17},
                {"extras": "cores:nan;memory:2"},
                {"extras": "cores:-1;memory:2"},
                {"extras": "cores:1"},
                {"extras": "cores:1;memory:1e8;service:9"},
                {"extras": "cores:89;memory:1;service:9"},
                {"extras": "x"},
                {"extras": ["x"]},
                {"class": "keyed"},
                {"class": "keyed", "idem": "no"},
            )
        ]
        with (
            unittest.mock.patch.object(client_connection, "REJECTED_CLOSE_DELAY_S", 0.01),
            unittest.mock.patch.object(rate_limited_log, "MAX_LINES_PER_S", 1000),
        ):
            for n, fields in enumerate(malformed):
                await self.expect_closed(f"b{n}", line(**fields))
        await self.play(PLACE.format("a1"))  # the first request that reaches the server
        self.assertEqual(len(malformed), sum("invalid field" in text for text in self.logged), self.logged)

    async def test_a_running_task_is_adopted_whatever_its_client_deadline(self):
        """Guards against rejecting clients after a start: they report tasks with the longest deadline."""
        await self.play("usual send START a1 left=4294967 extras=cores:1;memory:1;service:9;at:u-s1")
        await self.until(
            lambda: self.parties["s1"].writers, "a connection is opened to receive the end of the task"
        )
        await self.play("s1 send RELEASE a1 cause=16\nusual expect FINISH a1 cause=16")

    async def test_reusing_an_open_tag_closes_only_the_second_client(self):
        await self.play("usual send START a1 | v=0\ns1 expect SET_UP a1")
        await self.expect_closed("bad", line("a1", blob="other", **REQUEST_FIELDS))
        await self.play("s1 send ANSWER a1 | v=0\nusual expect STARTED a1 | v=0")

    async def test_clients_that_send_nothing_or_part_of_a_message_are_closed(self):
        with unittest.mock.patch.object(client_connection, "COMPLETE_MESSAGE_TIMEOUT_S", 0.3):
            for name, data in (("silent", b""), ("half", line()[:40]), ("more", line(verb="ECHO") + b"{")):
                await self.expect_closed(name, data)
            await self.play(PLACE.format("a1"))

    async def test_a_line_that_cannot_be_a_message_is_rejected_before_its_end(self):
        with unittest.mock.patch.object(client_connection, "COMPLETE_MESSAGE_TIMEOUT_S", 1000.0):
            await self.expect_closed("noise", b"\xb3\xfc\xaf")  # closed at once, before the end of the line

    async def test_an_idle_connection_is_closed_unless_it_has_a_running_task(self):
        await self.play(PLACE.format("a1"))
        with unittest.mock.patch.object(client_connection, "MAX_IDLE_S", 0.3):
            await self.expect_closed("stays", line(verb="ECHO"))
            self.assertFalse(self.parties["usual"].closed.is_set())
            await self.play("s1 send RELEASE a1 cause=16\nusual expect FINISH a1\nusual wait closed")

    async def test_open_requests_beyond_the_limit_of_a_connection_are_rejected(self):
        await self.play(PLACE.format("a1") + "s1 hang")
        count = 300
        fields = {**REQUEST_FIELDS, "left": "9000"}
        client = await self.connect_client("bad", b"".join(line(f"b{n}", **fields) for n in range(count)))
        for _ in range(count - client_front.MAX_OPEN_REQUESTS):
            verb, _, fields, _ = await asyncio.wait_for(client.received.get(), 20)
            self.assertEqual(("FINISH", "42", "1000"), (verb, fields["cause"], fields["wait"]))
        [link] = [link for link in self.gateway.clients.connections if link.open_requests]
        self.assertEqual(client_front.MAX_OPEN_REQUESTS, len(link.open_requests))

    async def test_requests_cancelled_at_once_reach_no_server_and_close_the_connection(self):
        pairs = (
            line(f"b{n}", **REQUEST_FIELDS) + line(f"b{n}", "FINISH")
            for n in range(2 * client_connection.MAX_IMMEDIATE_CANCELS)
        )
        await self.expect_closed("bad", b"".join(pairs))
        await self.until(lambda: not self.gateway.core.requests, "the requests are removed")
        self.assertEqual((0, {}), (self.gateway.core.unanswered, self.gateway.clients._requests))
        self.assertFalse(self.parties["s1"].connected.is_set())  # not probed either
        await self.play(PLACE.format("a1"))

    async def test_a_client_that_closes_with_open_requests_leaves_no_state(self):
        await self.play("usual send START a1\ns1 expect SET_UP a1\nusual close\ns1 expect RELEASE a1")
        await self.until(lambda: not self.gateway.core.requests, "the request is removed")
        self.assertEqual({}, self.gateway.clients._requests)

    async def test_a_release_is_sent_to_a_client_with_requests_not_to_one_that_only_sent_echo(self):
        for n in range(8):
            await self.connect_client(f"x{n}", line(verb="ECHO"))
        await self.play(PLACE.format("a1") + PLACE.format("a2").replace("usual", "other"))
        await self.play("usual close")
        await self.until(
            lambda: len(self.gateway.clients.connections) == 9, "the end of the client's connection"
        )
        await self.play("s1 send RELEASE a1 cause=16\nother expect FINISH a1 cause=16")

    async def test_a_rejected_client_is_not_closed_at_once(self):
        """Guards against clients that reconnect as soon as they are closed."""
        with unittest.mock.patch.object(client_connection, "REJECTED_CLOSE_DELAY_S", 1000.0):
            await self.connect_client("bad", b"[]\n")
            await self.until(
                lambda: any(link.is_rejected for link in self.gateway.clients.connections),
                "the client is rejected",
            )
            await self.play(PLACE.format("a1"))
            self.assertFalse(self.parties["bad"].closed.is_set())


class ManyIdleClients(Scenario):
    sockets = 48

    async def test_silent_or_idle_clients_do_not_lock_out_a_new_client(self):
        share = self.gateway.clients._share
        with (
            unittest.mock.patch.object(client_connection, "COMPLETE_MESSAGE_TIMEOUT_S", 1000.0),
            unittest.mock.patch.object(client_connection, "MAX_IDLE_S", 1000.0),
        ):
            await self.play(PLACE.format("a1"))
            for n in range(2 * share.limit):
                party = Owner()
                self.parties[f"x{n}"] = party
                await party.open(self.gateway.listener.address)
                if n % 2:
                    party.writers[0].write(line(verb="ECHO"))
            await self.play("""
                late send START a2 | v=0
                s1 expect SET_UP a2
                s1 send ANSWER a2
                late expect STARTED a2
            """)
            self.assertFalse(self.parties["usual"].closed.is_set())
            self.assertLessEqual(self.gateway.budget.held, self.gateway.budget.limit)


if __name__ == "__main__":
    unittest.main()
