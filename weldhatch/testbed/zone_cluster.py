"""A rig of dispatchers in several halls: real processes on the platform's front, stand-in servers and owners.

Faults: a hall dead, cut off, cut one way, gray; dispatchers killed, stopped; lists that differ. All that is
judged comes from what servers were handed and owners were answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from weldhatch.testbed.process_cluster import Process, Rig, free_ports, until
from weldhatch.testbed.servers import HOST, Halls, Pace, Server, Start

HALLS = ("north", "south", "west")
CORES = 40
SETTINGS = {
    "classes": [
        {"name": "lookup", "aimUs": 700_000, "hardLimitUs": 1_500_000, "effect": "read_like", "worth": 1.0},
        {
            "name": "import",
            "aimUs": 700_000,
            "hardLimitUs": 1_500_000,
            "effect": "idempotency_key",
            "group": "zone",
            "dedupWindowUs": 4_000_000,
            "worth": 2.0,
        },
        {
            "name": "writer",
            "aimUs": 700_000,
            "hardLimitUs": 1_500_000,
            "effect": "non_idempotent",
            "worth": 5.0,
        },
    ],
    "kinds": ["std"],
    "zones": list(HALLS),
    "locality": 0,
    "groupSize": 8,
    "me": 0,
    "extra": {
        "sizeCores": [CORES],
        "memOfKind": [float(CORES)],
        "cpuBooking": 1,
        "memBooking": 1,
        "coldSends": 6,
        "confirms": "accepted",
        "measuredBy": "asked",
        "tellsUse": True,
        "ownerWaitUs": 3_000_000,
    },
    "limits": {
        "mostTries": 4,
        "probes": True,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 3_000_000,
        "dialTimeoutUs": 250_000,
    },
    "registryMode": "automatic",
    "stats": {"fields": ["x0", "x1"], "how": "pull"},
    "resolutionUs": 2000,
    "rules": {"drainGraceUs": 2_000_000, "answerSlackUs": 8000, "coldUs": 6_000_000, "fallUs": 1_000_000},
}


class Bus:
    """A dispatcher's own list of machines, as server-sent events."""

    def __init__(self) -> None:
        self.events: list[dict] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()  # noqa: UP031

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled with the loop: asyncio's own callback would tell of that as a fault.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            after = int(head.lower().split(b"last-event-id:")[1].split()[0])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
            self._writers.add(writer)
            for event in self.events[after:]:
                writer.write(self._form(event))
            while not writer.is_closing():
                await asyncio.sleep(0.5)
                writer.write(b":\n\n")
        self._writers.discard(writer)

    @staticmethod
    def _form(event: dict) -> bytes:
        return f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode()

    def add(self, targets: list[dict], whole: bool = False) -> None:
        offset = len(self.events) + 1
        self.events.append({"offset": offset, "topology": {"rev": offset, "all": whole, "targets": targets}})
        for writer in self._writers:
            writer.write(self._form(self.events[-1]))

    def close(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


@dataclass(slots=True)
class Try:
    """One set-up of an owner, and what came of it."""

    gateway: str
    class_name: str
    key: str
    at: float
    left: float
    tenant: str = ""
    came: str = ""  # placed, refused, failed, cut (its connection), or '' while nothing has
    answered: float = 0.0
    wait: float = 0.0


@dataclass(slots=True)
class Ask:
    """One task that an owner wants, over all its tries."""

    class_name: str
    key: str
    at: float
    tries: list[Try] = field(default_factory=list)
    placed_at: float = 0.0
    tenant: str = ""


class Owner:
    """All owners' connections to one dispatcher."""

    def __init__(self, rig: HallsRig, gateway: str) -> None:
        self._rig, self._gateway = rig, gateway
        self._waiting: dict[str, tuple[Try, asyncio.Future]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task | None = None

    async def ask(self, one: Try, tag: str, service: int) -> None:
        """Until its one answer has come, its connection has ended, or its time is long over."""
        done = asyncio.get_running_loop().create_future()
        try:
            if self._writer is None or self._writer.is_closing():
                await self._open()
        except OSError:
            one.came, one.answered = "unreached", time.monotonic()
            return
        self._waiting[tag] = one, done
        opts = {
            "class": one.class_name,
            "left": str(int(1000 * one.left)),
            "key": one.key,
            "extras": f"cores:1;memory:1;service:{service:016x}",
        }
        if one.tenant:
            opts["tenant"] = one.tenant
        if one.class_name == "import":
            opts["idem"] = one.key
        self._writer.write(
            json.dumps({"verb": "START", "tag": tag, "opts": opts, "blob": "v=0"}).encode() + b"\n"
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(done, one.left + 1.0)
        self._waiting.pop(tag, None)

    async def _open(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self._rig.nodes[self._gateway].queue)
        self._writer = writer
        self._reading = self._rig.spawn(self._read(reader, writer))

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                told = json.loads(line)
                if told["verb"] == "ECHO":
                    writer.write(
                        json.dumps({"verb": "ECHOED", "tag": told["tag"], "opts": {}, "rc": 1}).encode()
                        + b"\n"
                    )
                    continue
                one, done = self._waiting.get(told["tag"], (None, None))
                if one is None or done.done():
                    continue
                one.answered = time.monotonic()
                if told["verb"] == "STARTED":
                    one.came = "placed"
                elif told["verb"] == "FINISH":
                    one.came = "refused" if told.get("rc") in (34, 42, 102) else "failed"
                    one.wait = int(told.get("opts", {}).get("wait", 0)) / 1000
                else:
                    continue
                done.set_result(None)
        writer.close()
        for one, done in list(self._waiting.values()):
            if not done.done():
                one.came, one.answered = "cut", time.monotonic()
                done.set_result(None)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()


class HallsRig(Rig):
    """Dispatcher n stands in hall n modulo their number; `per_hall` servers in `racks` racks each."""

    def __init__(
        self,
        folder: Path,
        count: int = 8,
        per_hall: int = 20,
        racks: int = 4,
        stated: float = 2.0,
        seed: int = 1,
        agreement: bool = True,
        voters: int = 5,
        cores: int = CORES,
        pace: Pace | None = None,
        hold_s: float = 4.0,
        zones: dict | None = None,
        halls: tuple[str, ...] = HALLS,
        tenants: dict[str, float] | None = None,
    ) -> None:
        """`zones`: the table of that name, None for a fleet that does not leave zones together; `tenants`:
        their portions."""
        self._tree = json.loads(json.dumps(SETTINGS))
        self._tree["extra"] |= {
            "sizeCores": [cores],
            "memOfKind": [float(cores)],
            "coldSends": (pace or Pace()).cold,
        }
        warm_us = int(1e6 * (pace or Pace()).warm_s)
        self._tree |= {
            "zones": list(halls),
            "groupSize": count,
            "rules": {**SETTINGS["rules"], "coldUs": warm_us},
        }
        if tenants:
            self._tree["tenants"] = [{"name": name, "portion": part} for name, part in tenants.items()]
        super().__init__(folder, count, voters, stated, seed, self._tree, agreement)
        self.halls, self._zones = halls, zones
        self.pace = pace or Pace()
        self.world = Halls()
        self.buses: dict[str, Bus] = {}
        self.owners: dict[str, Owner] = {}
        self.asks: list[Ask] = []
        self.down: set[str] = set()  # dispatchers that owners know to be out of reach
        self._serial = 0
        # Held: a port that a dead server does not listen on is nobody else's.
        self._reserved = free_ports(len(halls) ** 2 * per_hall, Random())
        ports = iter([held.getsockname()[1] for held in self._reserved])
        for hall in halls:
            for n in range(per_hall):
                name = f"{hall[0]}{n}"
                self.world.servers[name] = Server(
                    name,
                    hall,
                    n % racks,
                    {one: next(ports) for one in halls},
                    self.pace,
                    cores,
                    lambda: hold_s * (0.5 + self.random.random()),
                    self.world.starts,
                    time.monotonic,
                )

    def hall(self, gateway: str) -> str:
        return self.halls[int(gateway[1:]) % len(self.halls)]

    def inside(self, hall: str) -> list[str]:
        return [name for name in self.nodes if self.hall(name) == hall]

    def outside(self, hall: str) -> list[str]:
        return [name for name in self.nodes if self.hall(name) != hall]

    def target(self, server: Server, viewer: str, state: str = "ready", boot_ms: int = 0) -> dict:
        host, port = server.ports[viewer].address
        return {
            "uid": server.name,
            "endpoint": f"{host}:{port}",
            "az": server.hall,
            "model": "std",
            "pod_group": server.rack,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": boot_ms,
        }

    async def __aenter__(self) -> HallsRig:
        await asyncio.gather(*(server.start() for server in self.world.servers.values()))
        for name, one in self.nodes.items():
            bus = self.buses[name] = Bus()
            await bus.start()
            bus.add([self.target(server, self.hall(name)) for server in self.world.servers.values()], True)
            self.platform_file(one)
            one.environment = {"PROXY_CONFIG": str(one.folder / f"{name}-platform.json")}
            one.tree = {"enabled": False, **({"zones": self._zones} if self._zones is not None else {})}
            self.owners[name] = Owner(self, name)
        await super().__aenter__()
        if not self.agreement:
            await asyncio.sleep(0.5)
        return self

    def platform_file(self, one: Process) -> None:
        """As the platform tells it at a start: with all events up to now."""
        bus, n = self.buses[one.name], int(one.name[1:])
        settings = {**self._tree, "locality": n % len(self.halls), "me": n}
        (one.folder / f"{one.name}-platform.json").write_text(
            json.dumps(
                {
                    "name": one.name,
                    "listen": f"{HOST}:{one.queue}",
                    "seed": f"{n + 5:x}",
                    "limits": {"sockets": 1024},
                    "bus": bus.address,
                    "known": {"offset": len(bus.events), "batch": list(bus.events)},
                    "settings": settings,
                }
            )
        )

    async def start(self, name: str) -> None:
        self.platform_file(self.nodes[name])
        await super().start(name)

    def ready_port(self, one: Process) -> int:
        return one.desk if self.agreement else one.queue

    async def close(self) -> None:
        await super().close()
        for owner in self.owners.values():
            owner.close()
        for bus in self.buses.values():
            bus.close()
        self.world.close()
        for held in self._reserved:
            held.close()

    def spawn(self, work: object) -> asyncio.Task:
        return self._spawn(work)

    # ---- owners ----------------------------------------------------------------------------------------

    def work(
        self,
        every: float,
        class_name: str = "lookup",
        services: int = 60,
        again: bool = True,
        tenant: str = "",
    ) -> asyncio.Task:
        """One new task every so many seconds over all dispatchers; `again`: comes again, as owners do."""

        async def arrive() -> None:
            n, began = 0, time.monotonic()
            while True:
                n += 1
                self.spawn(self._want(class_name, n % services, again, tenant))
                self._tasks = {task for task in self._tasks if not task.done()}
                await asyncio.sleep(max(0.0, began + n * every - time.monotonic()))

        task = self.spawn(arrive())
        self._loads.append(task)
        return task

    def _one_of(self) -> str:
        return self.random.choice([name for name in self.nodes if name not in self.down])

    async def _want(self, class_name: str, service: int, again: bool, tenant: str) -> None:
        self._serial += 1
        ask = Ask(class_name, "", time.monotonic(), tenant=tenant)
        key = f"{self._serial:012x}"
        self.asks.append(ask)
        gateway, end = self._one_of(), ask.at + 5.0
        while True:
            # The first two digits tell who handed it out: the key that servers see is of one try only
            # for safe work; keyed and unsafe work keeps its key, and is told apart by the digits.
            name = f"{int(gateway[1:]):02x}{key}" if class_name == "lookup" else f"{0xff:02x}{key}"
            one = Try(gateway, class_name, name, time.monotonic(), 1.5, tenant)
            ask.tries.append(one)
            self._serial += 1
            await self.owners[gateway].ask(one, f"{self._serial:016x}", service)
            if one.came == "placed":
                ask.placed_at = one.answered
                return
            if not again or time.monotonic() > end:
                return
            if one.came in ("unreached", "cut"):
                self.down.add(gateway)
                asyncio.get_running_loop().call_later(2.0, self.down.discard, gateway)
            may_have_run = one.came in ("failed", "cut", "") and class_name != "lookup"
            await asyncio.sleep(max(one.wait, 3.0 if may_have_run else 0.3 + 0.4 * self.random.random()))
            if may_have_run and self.world.runs(one.key):
                ask.placed_at = time.monotonic()  # as owners do: it turned out to run, and is handed over
                return
            gateway = self._one_of()

    async def ask_again(self, key: str, gateway: str, class_name: str = "writer") -> Try:
        """An owner that has heard that its task is lost, or believes so, comes again."""
        one = Try(gateway, class_name, key, time.monotonic(), 1.5)
        self.asks.append(Ask(class_name, key, one.at, [one]))
        self._serial += 1
        await self.owners[gateway].ask(one, f"{self._serial:016x}", 1)
        return one

    # ---- faults ----------------------------------------------------------------------------------------

    async def kill_hall(self, hall: str) -> None:
        """Power is lost: its servers and dispatchers are gone at once."""
        for server in self.world.of(hall):
            server.vanish()
        for name in self.inside(hall):
            await self.kill(name)
            self.down.add(name)

    def drop_hall(self, hall: str, rack: int | None = None) -> None:
        """Its servers end; connections are refused. Dispatchers there go on."""
        for server in self.world.of(hall, rack):
            server.die()

    def cut_hall(self, hall: str) -> None:
        """Nothing passes between the hall and the rest: servers, dispatchers, and what is told of them."""
        for server in self.world.servers.values():
            server.cut([one for one in self.halls if (one == hall) != (server.hall == hall)])
        for name in self.inside(hall):
            self.cut(name, *self.outside(hall))

    def deafen_hall(self, hall: str) -> None:
        """What its servers say to the rest is lost; they hear all."""
        for server in self.world.of(hall):
            for viewer, port in server.ports.items():
                port.deaf = viewer != hall

    async def heal_hall(self, hall: str, cold: bool = False, tell: bool = False) -> None:
        """Back; `cold`: its processes are new; `tell`: lists say so, else they lag behind for good."""
        for server in self.world.servers.values():
            if server.hall == hall:
                await server.back(cold)
                if tell:
                    self.tell(server, boot_ms=int(1000 * time.time()))
            elif server.cut_off:
                await server.back(False)
        self.heal()

    def tell(
        self, server: Server, state: str = "ready", boot_ms: int = 0, to: list[str] | None = None
    ) -> None:
        for name in to or self.buses:
            self.buses[name].add([self.target(server, self.hall(name), state, boot_ms)])

    # ---- what is seen ----------------------------------------------------------------------------------

    async def phase(self, place: str, wanted: str, within: float = 20.0, step: int = 0) -> float:
        """Wait until the group says that a place is so, by whoever answers; monotonic seconds of then.

        What is left was leaving, for less long than it takes to ask everybody.
        """
        good = ("leaving", "left") if wanted == "leaving" else (wanted,)

        async def there() -> bool:
            for name in self.voters:
                with contextlib.suppress(OSError, LookupError):
                    told = await self.ask(name, "rules/held", within=0.5)
                    if told["footing"] != "lease":
                        continue
                    entry = told["zones"].get(place, {"phase": "serving", "step": 0})
                    if entry["phase"] in good and entry["step"] >= step:
                        return True
            return False

        await until(there, within, f"{place} is {wanted}")
        return time.monotonic()

    async def history(self) -> list[dict]:
        told = await self.ask(await self.leader(), "zones")
        return told["history"]

    def into(self, hall: str, since: float, until_: float = float("inf"), by: str = "") -> list[Start]:
        """Starts that a hall's servers were handed in that span."""
        return [
            start
            for start in self.world.starts
            if start.hall == hall and since <= start.at < until_ and by in ("", start.by)
        ]

    def goodput(self, since: float, until_: float) -> float:
        """The part of the tasks first asked for in that span that were placed, on any try."""
        asked = [ask for ask in self.asks if since <= ask.at < until_]
        return sum(ask.placed_at > 0 for ask in asked) / max(1, len(asked))

    def peak(self) -> float:
        """The most starts in a window that any server was handed over what it bore then."""
        return max(server.worst for server in self.world.servers.values())

    def fallen(self) -> list[str]:
        return [server.name for server in self.world.servers.values() if server.fell]
