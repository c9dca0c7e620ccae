"""Several real processes of the program on loopback, a relay on every link between them, and machines.

Faults are thrown from outside: links cut, delayed or deaf one way, SIGKILL, SIGSTOP, stores lost or set back.
What each process did is judged by what the stand-in machines were handed, and when.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import logging
import os
import shutil
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from weldhatch.client import Api, ApiError, BuildMachine, Outcome, Submitter, Task
from weldhatch.client.machine import Lease
from weldhatch.testbed.fault_proxy import Wire
from weldhatch.testbed.sample_settings import PLAIN

FIRST_PORT, LAST_PORT = 21_000, 31_000  # below those that the system gives to those who connect
READY_S = 40.0
PR_SET_PDEATHSIG = 1  # of prctl(2)


def settings(**changes: object) -> dict:
    """`PLAIN` with some of its keys changed: `extra__spreadMost=[3, 0, 0]`."""
    tree = json.loads(json.dumps(PLAIN))
    for path, value in changes.items():
        *way, last = path.split("__")
        at = tree
        for step in way:
            at = at[int(step) if isinstance(at, list) else step]
        at[last] = value
    return tree


def free_ports(count: int, random: Random) -> list[socket.socket]:
    """Sockets that hold one free port each: no other rig takes it, and the process may listen on it."""
    out: list[socket.socket] = []
    while len(out) < count:
        held = socket.socket()
        try:
            held.bind(("127.0.0.1", random.randrange(FIRST_PORT, LAST_PORT)))
        except OSError:
            held.close()
            continue
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # after its own bind: that one was alone
        out.append(held)
    return out


async def until(done: Callable[[], object | Awaitable[object]], within: float, what: str) -> object:
    """Wait until something is so; what it came to. Raises TimeoutError naming `what`."""
    end = time.monotonic() + within
    while True:
        came = done()
        if asyncio.iscoroutine(came):
            came = await came
        if came:
            return came
        if time.monotonic() > end:
            raise TimeoutError(f"{what}: not within {within:.0f} s")
        await asyncio.sleep(0.01)


def _ends_with_us() -> None:
    """Guards against processes that outlive a rig that was killed: the system ends them with their parent."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True)
class Start:
    """One task as a machine was handed it: by whom, what, and from when until when (monotonic seconds)."""

    at: float
    gateway: str
    machine: str
    rack: str
    class_name: str
    service: str
    key: str
    until: float = float("inf")


@dataclass(slots=True, eq=False)
class Process:
    """One process of the program, and where it is reached."""

    name: str
    folder: Path
    queue: int
    control: int
    desk: int
    link: int
    tree: dict = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    wires: dict[str, Wire] = field(default_factory=dict)  # by whom it dials
    environment: dict[str, str] = field(default_factory=dict)  # what else its process is told

    @property
    def file(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    @property
    def store(self) -> Path:
        return self.folder / f"{self.name}-agreement"

    def send(self, number: int) -> None:
        self.process.send_signal(number)

    def logged(self) -> str:
        return self.log.read_text(errors="replace") if self.log.exists() else ""


class Rig:
    """An async context: all processes run at its beginning, and none at its end."""

    def __init__(
        self,
        folder: Path,
        count: int,
        voters: int = 3,
        stated: float = 2.0,
        seed: int = 1,
        tree: dict | None = None,
        agreement: bool = True,
        kept: bool = False,
        sites: bool = False,
    ) -> None:
        """`agreement`: without, each process stands alone; `kept`: the queues have stores of their own;
        `sites`: each is a site of its own, linked to all others (without the agreement)."""
        self.random, self.stated, self.agreement = Random(seed), stated, agreement
        self._held = free_ports(4 * count, Random())  # several rigs may run side by side
        ports = [held.getsockname()[1] for held in self._held]
        # Guards the output against one line for each call that was under way when its process was killed.
        logging.getLogger("tornado.application").setLevel(logging.CRITICAL)
        self.nodes = {f"g{n}": Process(f"g{n}", folder, *ports[4 * n : 4 * n + 4]) for n in range(count)}
        self.voters = list(self.nodes)[:voters]
        self.settings, self._kept, self._sites = tree or settings(), kept, sites
        self.starts: list[Start] = []
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._apis: list[Api] = []
        self._tasks: set[asyncio.Task] = set()
        self.failures: list[tuple[str, str]] = []  # gateway and reason
        self.latencies: list[float] = []  # of answers, in seconds
        self._loads: list[asyncio.Task] = []

    async def __aenter__(self) -> Rig:
        try:
            for one in self.nodes.values():
                for other in self.nodes:
                    if other != one.name and (
                        other in self.voters if self.agreement else self._sites and one.name < other
                    ):
                        wire = one.wires[other] = Wire(self.random)
                        await wire.start()
                        wire.aim(("127.0.0.1", self.nodes[other].link))
                self.write(one)
            await asyncio.gather(*(self.start(name) for name in self.nodes))
            if self.agreement:
                await asyncio.gather(*(self.footing(name, "lease") for name in self.nodes))
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for api in self._apis:
            api.close()
        await asyncio.sleep(0)
        for one in self.nodes.values():
            await self.kill(one.name)
            for wire in one.wires.values():
                wire.close()
        self._client.close()
        for held in self._held:
            held.close()

    # ---- processes -------------------------------------------------------------------------------------

    def write(self, one: Process) -> None:
        tree = {
            "enabled": True,
            "listen": f"127.0.0.1:{one.queue}",
            "control": f"127.0.0.1:{one.control}",
            "timing": {"lease": 4.0, "grace": 0.2, "session": 8.0, "pickup": 1.0, "poll": 0.4, "settle": 0},
            "settings": self.settings,
        }
        if self._kept:
            tree["store"] = str(one.folder / f"{one.name}-queue")
        if self.agreement:
            voters = {name: f"127.0.0.1:{self.nodes[name].link}" for name in self.voters}
            for name, wire in one.wires.items():
                voters[name] = f"127.0.0.1:{wire.address[1]}"
            tree["agreement"] = {
                "name": one.name,
                "listen": f"127.0.0.1:{one.link}",
                "control": f"127.0.0.1:{one.desk}",
                "store": str(one.store),
                "voters": voters,
                "invited": ["*"],
                "stated": self.stated,
            }
        if self._sites:
            peers = {
                name: f"127.0.0.1:{other.link}" for name, other in self.nodes.items() if other is not one
            }
            peers |= {name: f"127.0.0.1:{wire.address[1]}" for name, wire in one.wires.items()}
            tree["sites"] = {
                "name": one.name,
                "listen": f"127.0.0.1:{one.link}",
                "store": str(one.folder / f"{one.name}-sites"),
                "peers": peers,
            }
        one.tree = {**tree, **one.tree}
        one.file.write_text(json.dumps(one.tree))

    async def start(self, name: str) -> None:
        """Start one process, and wait until it listens."""
        one = self.nodes[name]
        environment = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
        environment |= one.environment
        with open(one.log, "ab") as log:
            one.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "weldhatch",
                "--pullqueue",
                str(one.file),
                cwd=Path(__file__).parent.parent.parent,
                env=environment,
                stderr=log,
                stdout=log,
                preexec_fn=_ends_with_us,
            )

        def listens() -> bool:
            if one.process.returncode is not None:
                raise RuntimeError(f"{name} ended: {one.logged()[-2000:]}")
            with socket.socket() as trial:
                return trial.connect_ex(("127.0.0.1", self.ready_port(one))) == 0

        await until(listens, READY_S, f"{name} listens")

    def ready_port(self, one: Process) -> int:
        """What is listened on once a process is ready."""
        return one.desk if self.agreement else one.control

    async def kill(self, name: str) -> None:
        one = self.nodes[name]
        if one.process is not None and one.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                one.process.kill()
            await one.process.wait()

    async def end(self, name: str) -> int:
        """A planned end; its exit code."""
        self.nodes[name].send(signal.SIGTERM)
        return await asyncio.wait_for(self.nodes[name].process.wait(), 20)

    def stop(self, name: str) -> None:
        self.nodes[name].send(signal.SIGSTOP)

    def wake(self, name: str) -> None:
        self.nodes[name].send(signal.SIGCONT)

    def lose_store(self, name: str) -> None:
        shutil.rmtree(self.nodes[name].store, ignore_errors=True)

    def copy_store(self, name: str) -> Path:
        to = self.nodes[name].folder / f"{name}-copy-{time.monotonic_ns()}"
        shutil.copytree(self.nodes[name].store, to)
        return to

    def set_back(self, name: str, copy: Path) -> None:
        self.lose_store(name)
        shutil.copytree(copy, self.nodes[name].store)

    # ---- links -----------------------------------------------------------------------------------------

    def _between(self, name: str, other: str) -> list[tuple[Wire, str]]:
        """The wires that two share, with the way from the first to the second."""
        out = []
        if wire := self.nodes[name].wires.get(other):
            out.append((wire, "to"))
        if wire := self.nodes[other].wires.get(name):
            out.append((wire, "from"))
        return out

    def cut(self, name: str, *others: str) -> None:
        """Cut one off from some, or from all."""
        for other in others or self.nodes:
            for wire, _ in self._between(name, other):
                wire.cut()

    def deafen(self, name: str, *others: str) -> None:
        """What `name` says to the others is swallowed; it hears them well."""
        for other in others or self.nodes:
            for wire, way in self._between(name, other):
                wire.deaf.add(way)

    def delay(self, seconds: float, jitter: float = 0.0) -> None:
        for one in self.nodes.values():
            for wire in one.wires.values():
                wire.delay_s, wire.jitter_s = seconds, jitter

    def heal(self) -> None:
        for one in self.nodes.values():
            for wire in one.wires.values():
                wire.heal()

    # ---- what operators say and see --------------------------------------------------------------------

    async def ask(
        self,
        name: str,
        path: str,
        body: dict | None = None,
        method: str = "",
        port: int | None = None,
        within: float = 10.0,
    ) -> dict:
        """One call of a control address. Raises OSError where nobody answers, LookupError for a refusal."""
        one = self.nodes[name]
        port = port or (one.desk if self.agreement else one.control)
        try:
            answer = await self._client.fetch(
                HTTPRequest(
                    f"http://127.0.0.1:{port}/v1/{path}",
                    body=json.dumps(body) if body is not None else None,
                    method=method or ("POST" if body is not None else "GET"),
                    request_timeout=within,
                    connect_timeout=within,
                ),
                raise_error=False,
            )
        except HTTPError as fault:  # a time-out is raised all the same
            raise OSError(f"{name}: nobody answers: {fault}") from None
        tree = json.loads(answer.body)
        if answer.code != 200:
            raise LookupError(tree["error"]["message"])
        return tree

    async def held(self, name: str) -> dict:
        return await self.ask(name, "rules/held")

    async def footing(self, name: str, wanted: str, within: float = READY_S) -> dict:
        async def there() -> dict | None:
            with contextlib.suppress(OSError):
                told = await self.held(name)
                return told if told["footing"] == wanted and told["number"] else None
            return None

        return await until(there, within, f"{name} has {wanted}")

    async def lapsed(self, name: str, within: float = READY_S) -> None:
        """Wait until it has no lease."""

        async def there() -> bool:
            return (await self.held(name))["footing"] != "lease"

        await until(there, within, f"{name} has no lease")

    async def leader(self, among: list[str] | None = None, within: float = READY_S) -> str:
        async def led() -> str:
            for name in among or self.voters:
                with contextlib.suppress(OSError):
                    told = await self.ask(name, "rules/held", within=0.5)
                    if told["role"] == "leader" and told["footing"] == "lease":
                        return name
            return ""

        return await until(led, within, "somebody leads")

    async def propose(self, at: str, tree: dict, why: str = "a test", **more: object) -> int:
        """Propose at one process; the number. Does not wait until it is in force."""
        base = more.pop("base", None)
        if base is None:
            base = (await self.held(at))["number"]
        told = await self.ask(at, "rules/propose", {"tree": tree, "base": base, "why": why, **more})
        return told["number"]

    async def active(self, name: str, number: int, within: float = READY_S) -> None:
        async def there() -> bool:
            with contextlib.suppress(OSError):
                return (await self.held(name))["number"] >= number
            return False

        await until(there, within, f"{name} acts on version {number}")

    async def word(self, at: str, machine: str, state: str, fence: int) -> None:
        await self.ask(at, f"machines/{machine}", {"state": state, "fence": fence, "op": "rig"}, "PUT")

    # ---- machines and submitters -----------------------------------------------------------------------

    def machine(
        self, name: str, rack: str, hold: float, hall: str = "hall-a", at: list[str] | None = None
    ) -> None:
        """A machine that asks every gateway for work, and runs what it is handed for so long."""
        for gateway in at or self.nodes:
            api = Api(f"http://127.0.0.1:{self.nodes[gateway].queue}")
            self._apis.append(api)

            async def run(lease: Lease, gateway: str = gateway) -> Outcome:
                told = lease.payload
                start = Start(
                    time.monotonic(), gateway, name, rack, told["class"], told["service"], told["key"]
                )
                self.starts.append(start)
                try:
                    await asyncio.sleep(hold)
                finally:
                    start.until = time.monotonic()
                return Outcome()

            properties = {"cores": "400", "memory": "400", "hall": hall, "rack": rack}
            self._spawn(BuildMachine(api, name, properties, run, poll_s=0.4).serve())

    def _spawn(self, work: object) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        return task

    def load(
        self,
        every: float,
        class_name: str = "lookup",
        service: int = 1,
        left: float = 1.5,
        at: list[str] | None = None,
    ) -> dict[str, int]:
        """Submissions at each gateway, one every so many seconds; how many came to what, as it goes on."""
        counts = {"placed": 0, "refused": 0, "failed": 0, "unanswered": 0}
        for gateway in at or self.nodes:
            api = Api(f"http://127.0.0.1:{self.nodes[gateway].queue}", at_once=500)
            self._apis.append(api)
            self._loads.append(
                self._spawn(self._submits(Submitter(api), gateway, every, class_name, service, left, counts))
            )
        return counts

    def unload(self) -> None:
        """No more submissions; those under way are answered."""
        for task in self._loads:
            task.cancel()
        self._loads.clear()

    async def _submits(
        self,
        submitter: Submitter,
        gateway: str,
        every: float,
        class_name: str,
        service: int,
        left: float,
        counts: dict[str, int],
    ) -> None:
        async def one(n: int) -> None:
            key = f"{self.random.getrandbits(63):016x}"
            idem = key if class_name == "import" else ""
            asked = time.monotonic()
            try:
                answer = await submitter.submit(
                    Task(class_name, key=key, service=service, left_s=left, idem=idem, cores=0.1, memory=0.1)
                )
                counts[answer.answer] += 1
                self.latencies.append(time.monotonic() - asked)
                if answer.answer == "failed":
                    self.failures.append((gateway, answer.reason))
            except (ApiError, OSError):
                counts["unanswered"] += 1

        n = 0
        while True:
            n += 1
            self._spawn(one(n))
            await asyncio.sleep(every)
            self._tasks = {task for task in self._tasks if not task.done()}

    def busiest(self, since: float = 0.0, **wanted: str) -> str:
        """The machine that was handed the most: words on others would be heard by nobody."""
        starts = self.since(since, **wanted) or self.starts
        return Counter(start.machine for start in starts).most_common(1)[0][0]

    def since(self, at: float, **wanted: str) -> list[Start]:
        return [
            start
            for start in self.starts
            if start.at >= at and all(getattr(start, name) == value for name, value in wanted.items())
        ]
