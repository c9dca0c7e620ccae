"""Operators' directives for build machines: a draining one gets no new lease, also after restarts."""

import asyncio
import json
import tempfile
from pathlib import Path

import pytest
from scenario import SETTINGS, Scenario
from test_pullqueue import PullQueueScenario, bot, lease, task

from weldhatch import config
from weldhatch.pullqueue.control import Control
from weldhatch.pullqueue.front import PullQueue
from weldhatch.pullqueue.operator_states import Directive, OperatorDirectives, WordError, read_directive
from weldhatch.scheduling.policy import Policy
from weldhatch.scheduling.types import MachineState


def directive(machine="b1", state="draining", fence=3):
    return Directive(machine, state, fence, "op", 1.0)


def test_the_stricter_of_both_states_counts():
    operators = OperatorDirectives()
    own = (MachineState.READY, MachineState.DRAINING, MachineState.REMOVED)
    assert [operators.effective_state("b1", state) for state in own] == list(own)
    operators.set(directive())
    assert [operators.effective_state("b1", state) for state in own] == [
        MachineState.DRAINING,
        MachineState.DRAINING,
        MachineState.REMOVED,
    ]
    operators.set(directive(state="off"))
    assert {operators.effective_state("b1", state) for state in own} == {MachineState.REMOVED}


def test_a_late_directive_of_an_older_apply_is_refused_and_a_repeat_changes_nothing():
    operators = OperatorDirectives()
    assert operators.check(directive())
    operators.set(directive())
    assert not operators.check(directive())
    with pytest.raises(WordError, match="3 has been heard, this is 2") as caught:
        operators.check(directive(state="ready", fence=2))
    assert (caught.value.code, caught.value.fence) == ("FENCE", 3)
    assert operators.check(directive(state="ready", fence=4))


@pytest.mark.parametrize(
    ("tree", "field"),
    [
        ({}, "state"),
        ({"state": "gone", "fence": 1}, "state"),
        ({"state": "ready"}, "fence"),
        ({"state": "ready", "fence": True}, "fence"),
        ({"state": "ready", "fence": -1}, "fence"),
        ({"state": "ready", "fence": 1, "op": 5}, "op"),
    ],
)
def test_an_invalid_directive_is_refused_naming_the_field(tree, field):
    with pytest.raises(WordError) as caught:
        read_directive("b1", tree, 0.0)
    assert caught.value.field == field


def test_directives_are_restored_from_their_records():
    first, second = OperatorDirectives(), OperatorDirectives()
    first.set(directive())
    second.restore(one.encode() for one in first.directives.values())
    assert second.directives == first.directives
    with pytest.raises(ValueError, match="unusable state"):
        second.restore([json.dumps(["b", "up", 1, "", 0.0]).encode()])


class Draining(PullQueueScenario):
    async def test_offers_to_a_drained_machine_are_placed_on_another_machine(self):
        await self.play(f"p1 send POST botSessions | {bot('b1')}\np1 expect 200")
        await self.play(f"c1 send POST tasks | {task()}")
        b1 = self.gateway.bots.registry.bots["b1"]
        await self.until(lambda: b1.leases, "the task is offered")
        self.gateway.set_directive(directive())
        assert not b1.leases
        await self.play(f"""
            p2 send POST botSessions | {bot("b2")}
            p2 expect 200
            p1 send PATCH $session | {{}}
            p1 expect 200 leases=[]
            p2 send PATCH $session X-Server-Timeout=9 | {{}}
            p2 expect 200 leases.0.state=PENDING
        """)

    async def test_a_draining_machine_keeps_its_leases_and_gets_no_new_ones_after_a_reconnect(self):
        await self.place_task()
        self.gateway.set_directive(directive())
        again = json.loads(bot("b1"))
        again["leases"] = [{"id": self.parties["p1"].seen["lease"], "state": "ACTIVE"}]
        holding = json.dumps({"leases": again["leases"]})
        await self.play(f"""
            p2 send POST botSessions | {json.dumps(again)}
            p2 expect 200 leases.0.state=ACTIVE
            p2 send PATCH $session X-Server-Timeout=1 | {holding}
            c2 send POST tasks | {task(key="b2", left=300)}
            c2 expect 200 answer=refused
            p2 expect 200 leases.0.state=ACTIVE
        """)
        assert len(self.gateway.bots.registry.bots["b1"].leases) == 1
        self.gateway.set_directive(directive(state="ready", fence=4))
        await self.play(f"""
            c2 send POST tasks | {task(key="b3")}
            p2 send PATCH $session X-Server-Timeout=9 | {json.dumps({"leases": again["leases"]})}
            p2 expect 200 leases.1.state=PENDING leases.1.payload.key=b3
        """)


class StoredDirectives(Scenario):
    """Directives are stored, and a restarted gateway restores them before it hands out leases."""

    new_party_class = PullQueueScenario.new_party_class

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.parties, self.logged = {}, []
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.start_gateway()

    def start_gateway(self):
        settings = json.loads(json.dumps(SETTINGS))
        settings["extra"] |= {"cpuBooking": 1, "memBooking": 1}
        file_config = config.pull_queue_config(
            {
                "enabled": True,
                "listen": "127.0.0.1:0",
                "states": str(self.folder / "states"),
                "timing": {"settle": 0},
                "settings": settings,
            }
        )
        self.gateway = PullQueue(file_config, Policy(file_config.settings, 5), self.logged.append)

    async def test_a_drain_survives_a_restart_of_the_gateway(self):
        self.gateway.set_directive(directive())
        self.gateway.set_directive(directive("b9", "off"))
        self.gateway.abort()
        self.start_gateway()
        await self.play(f"""
            p1 send POST botSessions | {bot("b1")}
            p1 expect 200
            p1 send PATCH $session X-Server-Timeout=1 | {{}}
            c1 send POST tasks | {task(left=300)}
            c1 expect 200 answer=refused
            p1 expect 200 leases=[]
        """)
        self.gateway.set_directive(directive(state="ready", fence=4))
        await self.play(f"""
            c1 send POST tasks | {task(key="a2")}
            p1 send PATCH $session X-Server-Timeout=9 | {{}}
            p1 expect 200 leases.0.state=PENDING
            p1 send PATCH $session | {lease("ACTIVE")}
            c1 expect 200 answer=placed
        """)

    async def test_a_directive_that_is_not_stored_is_not_in_force(self):
        self.gateway._directive_log._broken = "the disk is gone"
        with self.assertRaises(OSError):
            self.gateway.set_directive(directive())
        assert not self.gateway.operators.directives

    async def test_a_corrupt_directive_file_prevents_the_start(self):
        self.gateway.set_directive(directive())
        self.gateway.set_directive(directive("b2"))
        self.gateway.abort()
        data = bytearray((self.folder / "states").read_bytes())
        data[40] ^= 1
        (self.folder / "states").write_bytes(data)
        with self.assertRaisesRegex(config.ConfigError, "states: .*byte 8"):
            self.start_gateway()

    async def test_the_control_address_accepts_and_lists_directives(self):
        control = Control(
            {}, ("127.0.0.1", 0), self.gateway, lambda tree: None, self.logged.append, lambda: 7.0
        )
        self.addAsyncCleanup(control.end)

        async def call(method, path, body=""):
            reader, writer = await asyncio.open_connection(*control.listener.address)
            writer.write(f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split()[0])
            tree = json.loads(await reader.readexactly(length))
            writer.close()
            return int(head.split()[1]), tree

        drain = json.dumps({"state": "draining", "fence": 3, "op": "x"})
        self.assertEqual(200, (await call("PUT", "/v1/machines/b1", drain))[0])
        code, tree = await call(
            "PUT", "/v1/machines/b1", json.dumps({"state": "ready", "fence": 2, "op": "y"})
        )
        self.assertEqual((409, "FENCE", 3), (code, tree["error"]["code"], tree["error"]["fence"]))
        code, tree = await call("PUT", "/v1/machines/b1", "{}")
        self.assertEqual((400, "FIELD"), (code, tree["error"]["code"]))
        code, tree = await call("GET", "/v1/machines")
        self.assertEqual({"b1": {"state": "draining", "fence": 3, "op": "x", "since": 7.0}}, tree["machines"])
        self.gateway._directive_log._broken = "full"
        self.assertEqual(503, (await call("PUT", "/v1/machines/b2", drain))[0])
