"""Stand-in nodes on a loopback address: the node-control protocol over HTTP, one process for a whole fleet.

    python -m weldhatch.testbed.server FLEET_FILE [--drain-s SECONDS] [--ready]

`--ready` prints a line once it listens. `POST /v1/nodes/ID/script` {"do": "fall" | "return" | "forget" |
"refuse"} is what a test or an example does to a node; real nodes have no such call.
"""

from __future__ import annotations

import argparse
import asyncio
import time

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from weldhatch import config
from weldhatch.config import fleet_file
from weldhatch.nodes.protocol import Answer, NodeOrder
from weldhatch.planning.fleet import State
from weldhatch.testbed.nodes import StandInNode

TASKS = 6  # of each node that is ready at the start


class NodeHandler(RequestHandler):
    """One node's calls."""

    def initialize(self, nodes: dict[str, StandInNode]) -> None:
        self.nodes = nodes

    def prepare(self) -> None:
        node = self.nodes.get(self.path_args[0])
        if node is None:
            self.send_error(404)
        elif not node.up and not self.request.path.endswith("/script"):
            self.request.connection.stream.close()  # as a machine without power: no answer
            self._finished = True

    def say(self, status: int, body: object) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class State_(NodeHandler):
    def get(self, name: str) -> None:
        self.say(200, self.nodes[name].node(time.time()))


class Orders(NodeHandler):
    def post(self, name: str) -> None:
        node = self.nodes[name]
        try:
            order = msgspec.json.decode(self.request.body, type=NodeOrder)
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            self.say(400, {"error": {"code": "FIELD", "message": str(fault)}})
            return
        answer: Answer = node.take(order, time.time())
        if answer.taken:
            self.say(200, {"taken": True, "node": node.node(time.time())})
        else:
            code, _, message = answer.reason.partition(": ")
            self.say(
                503 if answer.transient else 409,
                {"error": {"code": code, "message": message, "fence": node.fence}},
            )


class Script(NodeHandler):
    def post(self, name: str) -> None:
        node, tree = self.nodes[name], msgspec.json.decode(self.request.body)
        match tree.get("do"):
            case "fall":
                node.fall()
            case "return":
                node.come_back(time.time(), on=bool(tree.get("on")))
            case "forget":
                node.forget()
            case "refuse":
                node.refusing, node.refusals_left = tree.get("reason", "BUSY"), int(tree.get("times", 1))
            case _:
                self.say(400, {"error": {"code": "FIELD", "message": "do"}})
                return
        self.say(200, {"effects": [[effect.op, effect.order] for effect in node.effects]})


def serve(told: fleet_file.FleetConfig, drain_s: float) -> list[HTTPServer]:
    """Listen at every control address of the fleet; nodes that share one are told apart by their path."""
    by_address: dict[str, dict[str, StandInNode]] = {}
    for name, address in told.control.items():
        spec = told.fleet.nodes[name]
        if spec.state is State.LOST:  # the file does not say: it is on, and works
            spec = msgspec.structs.replace(spec, state=State.READY, generation=1, tasks=TASKS)
        by_address.setdefault(address, {})[name] = StandInNode.of(spec, told.fleet.pace, drain_s)
    servers = []
    for address, nodes in by_address.items():
        host, port = config.parse_endpoint("control", address)
        if not host.startswith("127."):
            raise config.ConfigError(f"control has the unusable value {address!r}: stand-ins are on loopback")
        shared = {"nodes": nodes}
        server = HTTPServer(
            Application(
                [
                    (r"/v1/nodes/([^/]+)", State_, shared),
                    (r"/v1/nodes/([^/]+)/orders", Orders, shared),
                    (r"/v1/nodes/([^/]+)/script", Script, shared),
                ],
                log_function=lambda _: None,
            )
        )
        server.listen(port, host)
        servers.append(server)
    return servers


async def main() -> None:
    parser = argparse.ArgumentParser(description="Stand-in nodes of a fleet, on loopback.")
    parser.add_argument("fleet")
    parser.add_argument("--drain-s", type=float, default=3.0)
    parser.add_argument("--ready", action="store_true")
    options = parser.parse_args()
    serve(fleet_file.fleet_config(options.fleet), options.drain_s)
    if options.ready:
        print("stand-in nodes listen", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
