"""Simulated operators: they drain machines and propose versions of the settings, and note what came of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from weldhatch.client.api import ApiError
from weldhatch.simulation import invariants, linearizability
from weldhatch.simulation.api import SimApi
from weldhatch.simulation.scenarios import SETTINGS
from weldhatch.simulation.world import World

Outcome = tuple[Any, ...]  # what a call came to, as `linearizability` takes it


class Operators:
    """Give commands to the control addresses of gateways, one after the other, each to a random gateway.

    `drains`: machines that were drained, and from when to when; `proposed`: numbers of accepted versions.
    All calls go into `calls`, the history that is checked for linearizability.
    """

    def __init__(
        self,
        world: World,
        random: Random,
        gateways: list[str],
        machine_count: int,
        control_address: Callable[[str], tuple[str, int]],
        calls: list[tuple[str, str, linearizability.Call]],
    ) -> None:
        """`control_address` gives that of a gateway by its name."""
        self._world = world
        self._random = random
        self._gateways = gateways
        self._machine_count = machine_count
        self._control_address = control_address
        self._calls = calls
        self.drains: list[invariants.Drain] = []
        self.proposed: list[int] = []

    async def operate(self, number: int, end: float) -> None:
        """Be one operator until `end`, in seconds of the simulation.

        Only the first operator (number 0) drains machines that work; all have commands for a machine that
        nobody knows, and propose versions.
        """
        fence = 0
        while self._world.loop.now < end:
            await asyncio.sleep(self._random.uniform(0.4, 1.5))
            gateway = self._random.choice(self._gateways)
            fence += 1
            draw = self._random.random()
            if draw < 0.4 and not number:
                await self._drain_for_a_while(gateway, fence)
            elif draw < 0.7:
                await self._set_state(gateway, "nobody", "draining", self._random.randrange(1, 30))
            else:
                await self._propose(gateway, 2 + fence % 3)

    async def _drain_for_a_while(self, gateway: str, fence: int) -> None:
        """Drain one machine, and make it ready again where that was accepted."""
        machine = f"m{self._random.randrange(self._machine_count)}"
        if await self._set_state(gateway, machine, "draining", 2 * fence) == ("ok",):
            began = self._world.loop.now
            await asyncio.sleep(self._random.uniform(0.5, 6.0))
            self.drains.append(invariants.Drain(machine, began, self._world.loop.now))
            await self._set_state(gateway, machine, "ready", 2 * fence + 1)

    async def _set_state(self, gateway: str, machine: str, state: str, fence: int) -> Outcome:
        """Command a state of one machine; what that came to."""
        outcome, _ = await self._call(
            gateway,
            "words",
            machine,
            ("word", fence),
            "PUT",
            f"machines/{machine}",
            {"state": state, "fence": fence, "op": "sim"},
        )
        return outcome

    async def _propose(self, gateway: str, attempts: int) -> None:
        """Propose settings with another limit of attempts, based on the version that the gateway has."""
        try:
            held = await SimApi(self._control_address(gateway)).call("GET", "rules/held", prefix="/v1/")
        except ApiError as error:
            self._world.say(f"operator: {error}")
            return
        if not held["number"]:
            return
        tree = {**SETTINGS, "limits": {**SETTINGS["limits"], "mostTries": attempts}}
        outcome, answer = await self._call(
            gateway,
            "versions",
            "rules",
            ("propose", held["number"]),
            "POST",
            "rules/propose",
            {"tree": tree, "base": held["number"], "why": "a play", "by": "sim"},
        )
        if outcome[0] == "ok":
            self.proposed.append(answer["number"])

    async def _call(
        self,
        gateway: str,
        kind: str,
        subject: str,
        asked: Outcome,
        method: str,
        path: str,
        body: dict[str, Any],
    ) -> tuple[Outcome, dict[str, Any]]:
        """Call a control address, and note the call in the history; what it came to, and the answer."""
        call = linearizability.Call(asked, self._world.loop.now)
        answer: dict[str, Any] = {}
        self._calls.append((kind, subject, call))
        try:
            answer = await SimApi(self._control_address(gateway)).call(method, path, body, prefix="/v1/")
            call.came = ("ok", answer["number"]) if kind == "versions" else ("ok",)
        except ApiError as error:
            self._world.say(f"operator: {error}")
            if error.code == 409:
                last = error.message.split()[0]
                call.came = (error.field, int(last)) if error.field == "FENCE" else (error.field,)
        if call.came != linearizability.UNKNOWN:
            call.until = self._world.loop.now
        return call.came, answer
