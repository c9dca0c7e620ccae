"""One play: gateways, build machines and owners under the faults of a plan; then what it came to."""

from __future__ import annotations

import asyncio
import json
import shutil
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from tornado.iostream import StreamClosedError

from weldhatch import config
from weldhatch.agreement.governor import Governor
from weldhatch.agreement.node import clock as boot_clock
from weldhatch.client.api import PREFIX, Api, ApiError, _error
from weldhatch.client.machine import BuildMachine, Lease, Outcome
from weldhatch.client.submitter import Submitter, Task
from weldhatch.net.connection import connect
from weldhatch.policy import Policy
from weldhatch.pullqueue.front import PullQueue
from weldhatch.sim import faults, promises
from weldhatch.sim.faults import DRIFT, LEAP_S, Fault
from weldhatch.sim.loop import Stalled
from weldhatch.sim.plain import PLAIN
from weldhatch.sim.world import World

STATED = 2.0
CALM_S = 1.5  # nothing breaks for so long at first
AGAIN_S = 0.3  # one that was killed at a point comes up again after so long
HOLD_S = (0.1, 1.2)
SLOW_S = 0.15
SETTINGS = {**PLAIN, "limits": {**PLAIN["limits"], "mostTries": 3}}


@dataclass(slots=True, frozen=True)
class Scenario:
    """Sizes of a play; what breaks comes from the seed, or is given."""

    name: str = "mixed"
    gateways: int = 3
    machines: int = 3
    tasks: int = 24
    faults_most: int = 6
    storm_s: float = 9.0  # things break for so long
    heal_s: float = 12.0  # and then all is well again
    again: bool = False  # owners come again with the same key: unanswered, or while the task stands
    words: bool = True  # operators drain machines and propose versions meanwhile


SCENARIOS = {one.name: one for one in (
    Scenario(),
    Scenario("five", gateways=5, machines=4, tasks=30, faults_most=8),
    Scenario("queue", gateways=1, machines=3, tasks=30, words=False),
    Scenario("again", gateways=1, machines=3, tasks=30, words=False, again=True),
    Scenario("short", machines=2, tasks=6, faults_most=0, storm_s=1.5, heal_s=10.0, again=True),
    Scenario("alone", gateways=1, machines=2, tasks=9, faults_most=0, storm_s=1.5, heal_s=10.0, words=False,
             again=True),
    Scenario("calm", faults_most=0))}


@dataclass(slots=True)
class Result:
    """`broken`: promises that did not hold, each in words; `digest`: of all that was sent and logged."""

    seed: int
    scenario: str
    plan: list[Fault]
    broken: list[str]
    digest: str
    promises: int = 0
    starts: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    disk_works: int = 0
    deliveries: int = 0
    kill_at: tuple[str, int] | None = None
    points: dict[str, int] = field(default_factory=dict)  # by process: writes to its disk and the wire
    lines: list[tuple[float, str, str]] = field(default_factory=list)

    def to_tree(self) -> dict:
        return {"seed": self.seed, "scenario": self.scenario, "broken": self.broken, "digest": self.digest,
                "plan": [fault.to_tree() for fault in self.plan], "starts": self.starts,
                "answers": self.answers, "deliveries": self.deliveries, "disk_works": self.disk_works}


class Nobody:
    """A slot of no budget."""

    def give_back(self) -> None:
        pass


class SimApi(Api):
    """Calls over the play's wires: one connection a call."""

    def __init__(self, endpoint: tuple[str, int]) -> None:
        self.address, self._endpoint = f"{endpoint[0]}:{endpoint[1]}", endpoint

    def close(self) -> None:
        pass

    async def call(self, method: str, path: str, body: Any = None, *, wait_s: float = 0.0,
                   headers: dict[str, str] | None = None,
                   on_data: Callable[[bytes], None] | None = None, prefix: str = PREFIX) -> Any:
        data = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {prefix}{path} HTTP/1.1\r\nHost: sim\r\nConnection: close\r\n" \
               f"Content-Length: {len(data)}\r\n"
        if wait_s:
            head += f"X-Server-Timeout: {wait_s:g}\r\n"
        try:
            async with asyncio.timeout(wait_s + 10.0):
                code, tree = await self._exchange(head.encode() + b"\r\n" + data)
        except (OSError, TimeoutError, StreamClosedError) as fault:
            raise ApiError(0, "", f"{type(fault).__name__}") from None
        if code != 200:
            raise _error(code, tree)
        return tree

    async def _exchange(self, request: bytes) -> tuple[int, Any]:
        connection = await connect(self._endpoint, 5.0, Nobody(), "sim", lambda text: None)
        stream = connection._stream
        try:
            stream.write(request)
            got, room = b"", bytearray(64 * 1024)
            while True:
                count = await stream.read_into(memoryview(room), partial=True)
                got += room[:count]
                head, mark, rest = got.partition(b"\r\n\r\n")
                if not mark:
                    continue
                lines = head.decode("latin-1").split("\r\n")
                length = next(int(line.split(":")[1]) for line in lines
                              if line.lower().startswith("content-length"))
                if len(rest) >= length:
                    return int(lines[0].split(" ")[1]), json.loads(rest[:length] or b"{}")
        finally:
            connection.close()


class Play:
    """Owns the world's processes: gateways g0.., machines m0.., owners o0.., and one operator."""

    def __init__(self, world: World, scenario: Scenario, plan: list[Fault]) -> None:
        self.world, self.scenario, self.plan = world, scenario, plan
        self.random = Random(world.random.getrandbits(64))
        self.names = [f"g{n}" for n in range(scenario.gateways)]
        self.voters = self.names[:3] if len(self.names) < 5 else self.names
        self.governors: dict[str, Governor] = {}
        self.starts: list[promises.Start] = []
        self.asked: list[promises.Asked] = []
        self.drains: list[promises.Drain] = []
        self.proposed: list[int] = []
        self.revived = float("-inf")

    # ---- processes -------------------------------------------------------------------------------------

    def _endpoint(self, name: str, what: int) -> tuple[str, int]:
        return "127.0.0.1", 10_000 + 10 * int(name[1:]) + what

    def _tree(self, name: str) -> dict:
        folder = self.world.folder / name

        def at(name: str, what: int) -> str:
            return "{}:{}".format(*self._endpoint(name, what))

        tree = {
            "enabled": True, "listen": at(name, 0), "store": str(folder / "queue"),
            "timing": {"lease": 3.0, "grace": 0.2, "session": 6.0, "pickup": 1.0, "poll": 0.4, "settle": 0},
            "settings": SETTINGS}
        if len(self.names) > 1:
            tree["agreement"] = {
                "name": name, "listen": at(name, 1), "control": at(name, 2),
                "store": str(folder / "agreement"), "voters": {one: at(one, 1) for one in self.voters},
                "invited": ["*"], "stated": STATED}
        return tree

    def gateway(self, name: str) -> None:
        """As `serving.Running` does it, in a process of the play."""
        tree, world = self._tree(name), self.world
        pull = config.pull_queue(tree)

        def begin() -> None:
            policy = Policy(pull.settings, world.dice().getrandbits(64))
            front = PullQueue(pull, policy, world.say)
            if pull.agreement is not None:
                self.governors[name] = Governor(pull.agreement, tree["settings"], front, world.say,
                                                lambda: world.loop.now, None)

        world.start(name, begin)

    def machine(self, name: str) -> None:
        def begin() -> None:
            for gateway in self.names:
                async def run(lease: Lease, gateway: str = gateway) -> Outcome:
                    told = lease.payload
                    start = promises.Start(self.world.loop.now, gateway, name, told["class"], told["key"],
                                           told.get("idem") or "")
                    self.starts.append(start)
                    self.world.say(f"starts {told['class']} {told['key']} of {gateway}")
                    try:
                        await asyncio.sleep(self.random.uniform(*HOLD_S))
                    finally:
                        start.until = self.world.loop.now
                    return Outcome()

                properties = {"cores": "400", "memory": "400", "rack": name,
                              "hall": "hall-a" if int(name[1:]) % 2 else "hall-b"}
                machine = BuildMachine(SimApi(self._endpoint(gateway, 0)), name, properties, run, poll_s=0.4)
                self.world.loop.create_task(machine.serve())

        self.world.start(name, begin)

    async def _ask(self, n: int, at: float) -> None:
        await asyncio.sleep(at)
        gateway = self.random.choice(self.names)
        class_name = ("lookup", "writer", "import")[n % 3]
        key = f"{n + 1:016x}"
        task = Task(class_name, key=key, cores=0.1, memory=0.1, service=n % 4, left_s=2.0,
                    idem=f"i{n}" if class_name == "import" else "")
        for _ in range(3):
            asked = promises.Asked(self.world.loop.now, gateway, class_name, key)
            self.asked.append(asked)
            try:
                answer = await Submitter(SimApi(self._endpoint(gateway, 0))).submit(task)
                asked.answers.append(answer.answer)
            except ApiError:
                asked.answers.append("unanswered")
            asked.over = True
            self.world.say(f"{class_name} {key} at {gateway}: {asked.answers[-1]}")
            lost, stands = (asked.answers == [one] for one in ("unanswered", "placed"))
            if not self.scenario.again or not (lost or (stands and self.random.random() < 0.3)):
                return
            await asyncio.sleep(self.random.uniform(0.01, 0.8))

    # ---- operators -------------------------------------------------------------------------------------

    async def _operate(self) -> None:
        """Drains and versions, one after the other, each at whichever gateway."""
        fence = 0
        while self.world.loop.now < CALM_S + self.scenario.storm_s:
            await asyncio.sleep(self.random.uniform(0.4, 1.5))
            api = SimApi(self._endpoint(self.random.choice(self.names), 2))
            machine = f"m{self.random.randrange(self.scenario.machines)}"
            fence += 1
            try:
                if self.random.random() < 0.5:
                    await api.call("PUT", f"machines/{machine}", {
                        "state": "draining", "fence": 2 * fence, "op": "sim"}, prefix="/v1/")
                    at = self.world.loop.now
                    await asyncio.sleep(self.random.uniform(0.5, 6.0))
                    self.drains.append(promises.Drain(machine, at, self.world.loop.now))
                    await api.call("PUT", f"machines/{machine}", {
                        "state": "ready", "fence": 2 * fence + 1, "op": "sim"}, prefix="/v1/")
                else:
                    base = (await api.call("GET", "rules/held", prefix="/v1/"))["number"]
                    tree = {**SETTINGS, "limits": {**SETTINGS["limits"], "mostTries": 2 + fence % 3}}
                    told = await api.call("POST", "rules/propose", {
                        "tree": tree, "base": base, "why": "a play", "by": "sim"}, prefix="/v1/")
                    self.proposed.append(told["number"])
            except ApiError as fault:
                self.world.say(f"operator: {fault}")

    # ---- faults ----------------------------------------------------------------------------------------

    async def _throw(self, fault: Fault) -> None:
        world, name = self.world, fault.who
        await asyncio.sleep(max(0.0, fault.at - world.loop.now))
        world.say(f"fault: {fault.kind} {name} {fault.other} for {fault.span} s")
        life, disk = world.lives[name], world.disks[name]
        cut = faults.ways(fault, [*world.lives])
        match fault.kind:
            case "kill":
                world.kill(name)
            case "stop":
                world.stop(name)
            case "slow disk":
                disk.slow_s = SLOW_S
            case "full disk":
                disk.full = True
            case "fast clock":
                life.run_at(world.loop.now, 1 + DRIFT)
            case "slow clock":
                life.run_at(world.loop.now, 1 - DRIFT)
            case "wall clock":
                life.ahead = LEAP_S
        world.wires.cut(cut)
        await asyncio.sleep(fault.span)
        world.wires.heal(cut)
        disk.slow_s, disk.full = 0.0, False
        if fault.kind.endswith("clock"):  # of the process that is there now: the machine's clocks
            life = world.lives[name]
            life.ahead = 0.0
            life.run_at(world.loop.now, 1.0)
        self._mend(name)

    def _mend(self, name: str) -> None:
        self.world.wake(name)
        if not self.world.alive(name):
            self.gateway(name)

    async def _revive(self) -> None:
        """One that was killed at a point comes back, also where that was in its last turns."""
        name, _ = self.world.kill_at
        while self.world.alive(name):
            await asyncio.sleep(0.05)
        await asyncio.sleep(AGAIN_S)
        self.revived = self.world.loop.now
        self._mend(name)

    # ---- the whole -------------------------------------------------------------------------------------

    async def run(self) -> None:
        scenario, loop = self.scenario, self.world.loop
        for name in self.names:
            self.gateway(name)
        for n in range(scenario.machines):
            self.machine(f"m{n}")
        await asyncio.sleep(CALM_S)
        owners = self.world.start("o0", lambda: None)
        tasks = [self.world.spawn(owners, self._ask(n, self.random.uniform(0.0, scenario.storm_s)))
                 for n in range(scenario.tasks)]
        if scenario.words and len(self.names) > 1:
            self.world.spawn(self.world.start("x0", lambda: None), self._operate())
        for fault in self.plan:
            loop.create_task(self._throw(fault))
        reviving = loop.create_task(self._revive()) if self.world.kill_at else None
        end = CALM_S + scenario.storm_s
        await asyncio.sleep(scenario.storm_s + max([0.0, *(one.at + one.span - end for one in self.plan)]))
        self.world.wires.heal(set(self.world.wires.cuts))
        for name in self.names:
            self._mend(name)
        await asyncio.sleep(scenario.heal_s)
        if reviving is not None:
            reviving.cancel()
            if loop.now - self.revived < scenario.heal_s:  # it was killed late, and needs as long to heal
                await asyncio.sleep(scenario.heal_s)
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise task.exception()

    def check(self) -> tuple[list[str], int]:
        """Promises that are broken, and how many were looked at."""
        held = {name: one.agreement.holder for name, one in self.governors.items()}
        looked = [
            promises.one_answer(self.asked), promises.placed_runs(self.asked, self.starts),
            promises.refused_never_ran(self.asked, self.starts), promises.writers_once(self.starts),
            promises.keyed_stand_once(self.starts),
            promises.drains_kept(self.starts, self.drains, STATED),
            promises.one_history({name: one.group.history for name, one in held.items()}),
            promises.kept_versions(self.proposed, {name: one.group.history for name, one in held.items()}),
            promises.nothing_stands(self.starts, self.world.loop.now),
            [f"nobody caught: {text}" for text in self.world.faults],
            [f"{name} says: {text}" for _, name, text in self.world.lines if "Traceback" in text]]
        digests = {}
        for name, one in held.items():
            digests[name] = self.world.inside(self.world.lives[name], lambda one=one: (
                one.group.index, one.group.digest, one.footing(boot_clock()).value))
        if digests:
            looked.append(promises.all_agree(digests))
        return [text for texts in looked for text in texts], len(looked)


def plan_of(seed: int, scenario: Scenario) -> list[Fault]:
    """What a seed throws."""
    if not scenario.faults_most:
        return []
    names = [f"g{n}" for n in range(scenario.gateways)]
    random = Random(f"plan {seed}")
    return faults.draw(random, names, CALM_S, CALM_S + scenario.storm_s, scenario.faults_most)


def play(seed: int, scenario: Scenario, plan: Iterable[Fault] | None = None,
         kill_at: tuple[str, int] | None = None) -> Result:
    """One seed, one run. `kill_at`: a process is killed at its n-th write to its disk or the wire, or after
    it."""
    chosen = plan_of(seed, scenario) if plan is None else list(plan)
    folder = Path(tempfile.mkdtemp(prefix="weldhatch-sim-"))
    try:
        with World(seed, folder) as world:
            world.kill_at = kill_at
            one, broken, looked = Play(world, scenario, chosen), [], 0
            try:
                world.loop.run_until_complete(one.run())
                broken, looked = one.check()
            except Stalled as fault:
                broken = [f"Stalled: {fault}"]
            answers: dict[str, int] = {}
            for asked in one.asked:
                for answer in asked.answers:
                    answers[answer] = answers.get(answer, 0) + 1
            return Result(seed, scenario.name, chosen, broken, world.digest, looked, len(one.starts), answers,
                          sum(disk.works for disk in world.disks.values()), world.deliveries,
                          kill_at, dict(world.points), world.lines)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
