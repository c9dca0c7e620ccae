"""Scenarios of servers with malformed messages, and of servers that are added, replaced and removed."""

import asyncio
import unittest
import unittest.mock

from scenario import EVENT_TIMEOUT_S, Scenario, tag

from weldhatch.core import ports
from weldhatch.platform import health_check, server_codec, unmatched_tasks
from weldhatch.platform.endpoint_list import machine_number
from weldhatch.platform.task_names import TaskNames
from weldhatch.scheduling.types import Outcome

OFFER = "owner send START {0} class={1}\ns1 expect SET_UP {0}\n"
VALID_ANSWER = server_codec.encode(server_codec.ANSWER, tag("a1"), {server_codec.DESCRIPTION: b"v=0 s=9"})


class FaultyServers(Scenario):
    def write(self, data):
        self.parties["s1"].writers[-1].write(data)

    async def test_a_malformed_message_ends_all_open_attempts_on_its_connection(self):
        """Guards against an attempt whose record is lost through a malformed message, without an end."""
        truncated = VALID_ANSWER[:-4] + server_codec.encode(
            server_codec.TEST, tag("t1"), {server_codec.CAUSE: b"\0"}
        )
        malformed = [
            b"\xff\xf3" + VALID_ANSWER[2:],
            b"\0\4" + VALID_ANSWER[2:],
            VALID_ANSWER[:2] + b"\x7b" + VALID_ANSWER[3:],
            truncated,
            server_codec.encode(server_codec.ANSWER, tag("a1"), {}),
            server_codec.encode(server_codec.SET_UP, tag("a1"), {}),
            server_codec.encode(server_codec.ANSWER, tag("a1"), {server_codec.DESCRIPTION: b"\xb3\xfc"}),
            server_codec.encode(server_codec.ANSWER, tag("a1"), {server_codec.DESCRIPTION: b"v=0\0"}),
            server_codec.encode(server_codec.ANSWER, tag("a1"), {3: b"", server_codec.DESCRIPTION: b"v=0"}),
            server_codec.encode(server_codec.RELEASE, tag("a1"), {}),
            server_codec.encode(
                server_codec.RELEASE,
                tag("a1"),
                {server_codec.CAUSE: b"\x22", server_codec.REPORT: b"x0:nan;x1:1"},
            ),
            server_codec.encode(
                server_codec.NOTE, tag("a1"), {server_codec.TOPIC: b"cores", server_codec.FIGURE: b"nan"}
            ),
        ]
        for data in malformed:
            self.logged.clear()
            await self.play(OFFER.format("a1", "unsafe") + OFFER.format("a2", "unsafe"))
            self.write(data)
            await self.play("owner expect FINISH a1 cause=47\nowner expect FINISH a2 cause=47")
            self.assertTrue(any("closed" in text for text in self.logged), (data, self.logged))
        self.assertTrue(self.parties["owner"].received.empty())

    async def test_a_truncated_answer_closes_its_connection_before_the_deadline(self):
        await self.play(OFFER.format("a1", "unsafe"))
        self.write(VALID_ANSWER[:-4])
        await self.play("owner expect FINISH a1 cause=47")
        self.assertTrue(any("stops within a message" in text for text in self.logged), self.logged)

    async def test_attempts_ended_by_a_malformed_message_are_retried_only_in_safe_classes(self):
        await self.play(OFFER.format("a1", "safe") + OFFER.format("a2", "unsafe"))
        self.write(b"\xff\xff\xff")
        await self.play("owner expect FINISH a2 cause=47\ns1 expect SET_UP a1\ns1 send ANSWER a1 | v=0 s=9")
        await self.play("owner expect STARTED a1 | v=0 s=9")

    async def test_duplicate_answers_and_unknown_tags_are_ignored(self):
        await self.play(OFFER.format("a1", "unsafe"))
        other = server_codec.encode(server_codec.ANSWER, tag("zz"), {server_codec.DESCRIPTION: b"v=0"})
        release = server_codec.encode(server_codec.RELEASE, tag("a1"), {server_codec.CAUSE: b"\x10"})
        self.write(other + VALID_ANSWER + VALID_ANSWER)
        await self.play("owner expect STARTED a1 | v=0 s=9")
        self.write(release + VALID_ANSWER + release)
        await self.play("owner expect FINISH a1 cause=16\n" + OFFER.format("a2", "unsafe"))
        self.assertTrue(self.parties["owner"].received.empty())
        self.assertFalse(self.parties["s1"].closed.is_set())

    async def test_an_unclaimed_release_is_kept_for_a_limited_time(self):
        await self.play(OFFER.format("a1", "unsafe"))
        with unittest.mock.patch.object(unmatched_tasks, "UNCLAIMED_END_TIMEOUT_S", 0.2):
            self.write(server_codec.encode(server_codec.RELEASE, tag("zz"), {server_codec.CAUSE: b"\x10"}))
            await self.until(lambda: self.gateway.servers._unmatched.has_unclaimed, "the release is kept")
            await self.until(
                lambda: not self.gateway.servers._unmatched.has_unclaimed, "the release is dropped"
            )

    async def test_a_release_on_the_spare_connection_is_received(self):
        """Guards against spare connections closed unread: a release may arrive on any open connection."""
        await self.play(OFFER.format("a1", "unsafe") + "s1 send ANSWER a1\nowner expect STARTED a1")
        server = self.parties["s1"]
        [old] = server.writers
        server.connected.clear()
        await self.play("s1 hang")
        await asyncio.wait_for(server.connected.wait(), EVENT_TIMEOUT_S)
        [second] = [writer for writer in server.writers if writer is not old]
        second.write(server_codec.encode(server_codec.RELEASE, tag("a1"), {server_codec.CAUSE: b"\x10"}))
        await self.play("owner expect FINISH a1 cause=16")
        self.assertFalse(any("lost" in text for text in self.logged), self.logged)


class ChangingServers(Scenario):
    async def test_removed_servers_leave_no_state(self):
        await self.until(lambda: self.bus.writers, "the bus is connected")
        await self.play(OFFER.format("a1", "unsafe") + "s1 send ANSWER a1\nowner expect STARTED a1")
        target = self.target("s1")
        for n in range(5):  # five servers, one after another, at the same address
            self.bus.add([{**target, "state": "gone"}, {**target, "uid": f"u-{n}"}])
            target = {**target, "uid": f"u-{n}"}
        await self.until(lambda: self.gateway.servers_list.offset == 6, "the events are applied")
        await self.play("owner expect FINISH a1 cause=41")
        await self.until(lambda: set(self.gateway.servers._links) == {machine_number("u-4")}, "a single link")
        self.assertEqual({machine_number("u-4")}, set(self.gateway.servers_list.servers))

        def policy_has_only_the_last_server():
            """Send a list event, on which the policy drops settled machines; whether one is left."""
            self.bus.add([target])
            return set(self.gateway.driver._policy._cluster.machines) == {machine_number("u-4")}

        await self.until(policy_has_only_the_last_server, "a single machine in the policy")
        await self.play(OFFER.format("a2", "unsafe") + "s1 send ANSWER a2\nowner expect STARTED a2")

    async def test_a_process_that_ended_without_a_reset_is_detected_once_its_server_is_removed(self):
        """The connection looks open: only the health check sent on the removal shows the end."""
        await self.until(lambda: self.bus.writers, "the bus is connected")
        await self.play(OFFER.format("a1", "unsafe") + "s1 send ANSWER a1\nowner expect STARTED a1")
        server = self.parties["s1"]
        server.hung = True
        server.server.close()  # new connections are refused, and the open one is silent
        with unittest.mock.patch.object(self.gateway.servers, "quiet_limit", lambda server, now: 1e9):
            self.bus.add([self.target("s1", "gone")])
            await self.play("owner expect FINISH a1 cause=41")

    async def test_a_draining_server_may_be_quiet_for_a_shorter_time(self):
        await self.until(lambda: self.bus.writers, "the bus is connected")
        await self.play(OFFER.format("a1", "unsafe") + "s1 send ANSWER a1\nowner expect STARTED a1")
        server = self.parties["s1"]
        server.hung = True
        server.server.close()
        with unittest.mock.patch.object(health_check, "QUIET_LIMIT_S", 1e9):
            self.bus.add([self.target("s1", "draining")])
            await self.play("owner expect FINISH a1 cause=41")

    async def test_a_waiting_offer_is_not_sent_to_a_new_server_at_the_address(self):
        """Guards against an offer that is sent to another server than the one it was made for."""
        await self.until(lambda: self.bus.writers, "the bus is connected")
        gateway, delivered = self.gateway.servers, []
        names = TaskNames(tag("a1"), "unsafe", "7", "", "v=0")
        task = ports.Task("a1", 2, 9, 1.0, 1.0, 0, passed_on=names)
        receiver = unittest.mock.Mock(deliver=delivered.append)
        gateway.offer(machine_number("u-s1"), task, 0, 1_000_000, receiver)
        new = {**self.target("s1"), "uid": "u-new"}
        self.gateway._handle_bus_event(
            {"offset": 2, "topology": {"rev": 2, "targets": [self.target("s1", "draining"), new]}}
        )
        gateway.offer(machine_number("u-s1"), task, 1, 1_000_000, receiver)
        self.assertEqual(
            [(0, Outcome.CONNECT_FAILED), (1, Outcome.NOT_SENT)],
            [(end.attempt, end.outcome) for end in delivered],
        )
        gateway.give_up(machine_number("u-never"), task)
        gateway.release(machine_number("u-never"), task, 16)
        await self.play(OFFER.format("a2", "unsafe"))  # the first request that reaches the new server


if __name__ == "__main__":
    unittest.main()
