"""The HTTP client of an apply for the control addresses of nodes and gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from weldhatch.nodes.protocol import NO_ANSWER, Answer, NodeOrder, OperatorOrder, read_node, read_refusal
from weldhatch.planning.engine import Order
from weldhatch.planning.fleet import Node, State
from weldhatch.planning.plan import Kind

MAX_CONCURRENT_CALLS = 64
MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 16 << 10
_Machines = dict[str, dict[str, dict[str, Any]]]
_MACHINES: msgspec.json.Decoder[_Machines] = msgspec.json.Decoder(_Machines)


class NodeClient:
    """Calls nodes and gateways over HTTP. The caller closes the client by `close`."""

    def __init__(self, nodes: Mapping[str, str], gateways: tuple[str, ...], answer_s: float) -> None:
        """Create the client without opening a connection.

        `nodes`: host:port of each node's control address, by node id; `gateways`: the gateways' names, which
        are host:port too; `answer_s`: the time-out for connecting, and for the whole call, in seconds.
        """
        self._nodes = nodes
        self.gateways = gateways
        self._answer_s = answer_s
        AsyncHTTPClient.configure(SimpleAsyncHTTPClient)
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_CALLS,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()

    async def _call(
        self, method: str, address: str, path: str, body: bytes | None = None
    ) -> HTTPResponse | None:
        """Return the answer, whatever its status; None if there was no HTTP answer in time."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Content-Type": "application/json"},
            connect_timeout=self._answer_s,
            request_timeout=self._answer_s,
            follow_redirects=False,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (OSError, ValueError, HTTPClientError):  # connection refused or lost, or not HTTP
            return None
        return None if answer.code == 599 else answer

    async def node(self, name: str) -> Node | None:
        """Return a node's reported state; None if it does not answer, or its answer is invalid."""
        answer = await self._call("GET", self._nodes[name], f"/v1/nodes/{name}")
        if answer is None or answer.code != 200:
            return None
        try:
            return read_node(answer.body, name)
        except (ValueError, UnicodeDecodeError):
            return None

    async def fetch_nodes(self, names: Iterable[str]) -> dict[str, Node | None]:
        """Return the reported states of nodes by id; None for a node that does not answer."""
        names = list(names)
        return dict(zip(names, await asyncio.gather(*(self.node(name) for name in names)), strict=True))

    async def draining_machines(self) -> dict[str, frozenset[str]]:
        """Return the machines that each gateway lists as draining, without gateways that do not answer."""
        answers = await asyncio.gather(*map(self._draining_at, self.gateways))
        return {
            gateway: draining
            for gateway, draining in zip(self.gateways, answers, strict=True)
            if draining is not None
        }

    async def _draining_at(self, gateway: str) -> frozenset[str] | None:
        answer = await self._call("GET", gateway, "/v1/machines")
        if answer is None or answer.code != 200:
            return None
        try:
            tree = _MACHINES.decode(answer.body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None
        machines = tree.get("machines", {})
        return frozenset(name for name, machine in machines.items() if machine.get("state") == State.DRAINING)

    async def send(self, order: Order) -> Answer:
        """Send an order to its node or gateway and return the answer."""
        step = order.step
        if order.gateway:
            state = State.DRAINING if step.kind is Kind.ANNOUNCE else State.READY
            body = msgspec.json.encode(OperatorOrder(op=order.op, state=state, fence=order.fence))
            answer = await self._call("PUT", order.gateway, f"/v1/machines/{step.node}", body)
        else:
            body = msgspec.json.encode(
                NodeOrder(op=order.op, order=step.kind, generation=step.generation, fence=order.fence)
            )
            answer = await self._call("POST", self._nodes[step.node], f"/v1/nodes/{step.node}/orders", body)
        if answer is None:
            return NO_ANSWER
        return Answer(taken=True) if answer.code == 200 else read_refusal(answer.body, answer.code)
