"""Nodes and gateways over HTTP, as an apply needs them. Owns its HTTP client, which `close` gives back."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from weldhatch.nodes.protocol import SILENCE, Answer, NodeOrder, Operator, read_node, read_refusal
from weldhatch.planning.engine import Order
from weldhatch.planning.fleet import Node, State
from weldhatch.planning.plan import Kind

AT_ONCE = 64
BODY_MOST = 1 << 20


class Wire:
    """Calls by HTTP to the control addresses of nodes and gateways.

    nodes: host:port of each node's control address, by its id; gateways: names, which are host:port too.
    """

    def __init__(self, nodes: Mapping[str, str], gateways: tuple[str, ...], answer_s: float) -> None:
        self._nodes, self.gateways, self._answer_s = nodes, gateways, answer_s
        AsyncHTTPClient.configure(SimpleAsyncHTTPClient)
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=AT_ONCE, max_body_size=BODY_MOST, max_header_size=16 << 10
        )

    def close(self) -> None:
        self._client.close()

    async def _call(
        self, method: str, address: str, path: str, body: bytes | None = None
    ) -> HTTPResponse | None:
        """The answer, whatever its status; None where there was none in time, or none that is HTTP."""
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
        except (OSError, ValueError, HTTPClientError):  # refused, cut off, or no HTTP
            return None
        return None if answer.code == 599 else answer

    async def node(self, name: str) -> Node | None:
        """One node as it says it is; None where it does not answer, or not with sense."""
        answer = await self._call("GET", self._nodes[name], f"/v1/nodes/{name}")
        if answer is None or answer.code != 200:
            return None
        try:
            return read_node(answer.body, name)
        except (ValueError, UnicodeDecodeError):
            return None

    async def look(self, names: Iterable[str]) -> dict[str, Node | None]:
        names = list(names)
        return dict(zip(names, await asyncio.gather(*(self.node(name) for name in names)), strict=True))

    async def held(self) -> dict[str, frozenset[str]]:
        """The machines that each gateway holds as draining; a gateway that does not answer is left out."""

        async def one(gateway: str) -> frozenset[str] | None:
            answer = await self._call("GET", gateway, "/v1/machines")
            if answer is None or answer.code != 200:
                return None
            try:
                tree = msgspec.json.decode(answer.body, type=dict[str, dict[str, dict]])
                return frozenset(
                    name
                    for name, word in tree.get("machines", {}).items()
                    if word.get("state") == State.DRAINING
                )
            except (msgspec.DecodeError, UnicodeDecodeError):
                return None

        told = await asyncio.gather(*map(one, self.gateways))
        return {name: held for name, held in zip(self.gateways, told, strict=True) if held is not None}

    async def send(self, order: Order) -> Answer:
        """One order to its node or gateway, and what came of it."""
        step = order.step
        if order.gateway:
            state = State.DRAINING if step.kind is Kind.ANNOUNCE else State.READY
            body = msgspec.json.encode(Operator(op=order.op, state=state, fence=order.fence))
            answer = await self._call("PUT", order.gateway, f"/v1/machines/{step.node}", body)
        else:
            body = msgspec.json.encode(
                NodeOrder(op=order.op, order=step.kind, generation=step.generation, fence=order.fence)
            )
            answer = await self._call("POST", self._nodes[step.node], f"/v1/nodes/{step.node}/orders", body)
        if answer is None:
            return SILENCE
        return Answer(taken=True) if answer.code == 200 else read_refusal(answer.body, answer.code)
