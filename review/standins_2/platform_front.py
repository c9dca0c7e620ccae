"""Stand-ins for the platform: servers, an event bus and an owner, and a dispatcher as a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

from pullqueue import ROOT, START_WAIT_S, CannotRunError, Record, free_port

SET_UP, ANSWER, RELEASE, TEST, TESTED = 1, 9, 12, 52, 53
NAME, REPORT, CAUSE, DESCRIPTION = 68, 73, 78, 79
_HEADER = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")


def encode(kind: int, task: bytes, *parameters: tuple[int, bytes]) -> bytes:
    """Return one binary message."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in parameters)
    return _HEADER.pack(9 + len(body), kind, task) + body


class Server:
    """A server that weighs one ask at a time, and takes each: its tasks stand until they are released."""

    def __init__(self, uid: str, hall: str, rack: int, draw: random.Random) -> None:
        """Not listening yet. `draw`: for the time that it takes to weigh an ask."""
        self.uid, self.hall, self.rack, self._draw = uid, hall, rack, draw
        self.port = free_port()
        self.asked = 0  # set-ups that have arrived
        self.taken: list[str] = []  # names of the tasks that it has said yes to
        self.standing: dict[bytes, str] = {}
        self._asks: asyncio.Queue[tuple[asyncio.StreamWriter, bytes, bytes, bytes]] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self._tasks.append(asyncio.get_running_loop().create_task(self._weigh()))

    async def close(self) -> None:
        """Close the listener and all connections."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        await _close_all(self._writers)

    async def _weigh(self) -> None:
        given_up = object()
        while True:
            writer, tag, name, description = await self._asks.get()
            await asyncio.sleep(self._draw.uniform(0.0056, 0.031))
            if writer.is_closing() or self.standing.get(tag, given_up) != "":
                continue  # given up while it waited
            self.standing[tag] = name.decode()
            self.taken.append(name.decode())
            writer.write(encode(ANSWER, tag, (DESCRIPTION, description)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked: list[bytes] = []
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                (length,) = struct.unpack(">H", await reader.readexactly(2))
                data = await reader.readexactly(length)
                kind, tag, values = data[0], data[1:9], _parameters(data[9:])
                if kind == TEST:
                    report = b"x0:40;x1:90"
                    writer.write(encode(TESTED, tag, (CAUSE, b"\1"), (REPORT, report)))
                elif kind == SET_UP:
                    asked.append(tag)
                    self.asked += 1
                    self.standing[tag] = ""  # not decided yet
                    self._asks.put_nowait((writer, tag, values[NAME], values[DESCRIPTION]))
                elif kind == RELEASE and self.standing.pop(tag, ""):
                    writer.write(encode(RELEASE, tag, (CAUSE, bytes([31]))))
        for tag in asked:
            if self.standing.get(tag) == "":  # set-ups that are open on a closed connection are given up
                del self.standing[tag]
        self._writers.discard(writer)
        writer.close()

    def entry(self) -> dict[str, Any]:
        """Return its entry of the list."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.hall,
            "model": "std-48",
            "pod_group": self.rack,
            "state": "ready",
            "capacity_hint": 1,
            "boot_ms": 0,
        }


async def _close_all(writers: set[asyncio.StreamWriter]) -> None:
    for writer in list(writers):
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
    await asyncio.sleep(0.05)


def _parameters(data: bytes) -> dict[int, bytes]:
    values, at = {}, 0
    while at < len(data):
        code, size = _PARAMETER.unpack_from(data, at)
        values[code] = data[at + 3 : at + 3 + size]
        at += 3 + size
    return values


class Bus:
    """An event bus without news: a comment each second."""

    def __init__(self) -> None:
        """Not listening yet."""
        self.port = free_port()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        await _close_all(self._writers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while not writer.is_closing():
                writer.write(b":\n\n")
                await writer.drain()
                await asyncio.sleep(1.0)
        self._writers.discard(writer)
        writer.close()


class Dispatcher:
    """One dispatcher, by the run command of deploy/balancer.toml, with settings made from examples/config.json."""

    def __init__(self, record: Record, folder: Path, bus: Bus, servers: list[Server]) -> None:
        """Write its configuration."""
        self._record, self._folder = record, folder
        self.port = free_port()
        tree = json.loads((ROOT / "examples/config.json").read_text(encoding="utf-8"))
        tree["listen"], tree["bus"] = f"127.0.0.1:{self.port}", f"127.0.0.1:{bus.port}"
        topology = {"rev": 1, "all": True, "targets": [server.entry() for server in servers]}
        tree["known"] = {"offset": 1, "batch": [{"offset": 1, "topology": topology}]}
        tree["settings"]["classes"].append(
            {"name": "memory-writer", "effect": "non_idempotent", "aimUs": 600_000, "hardLimitUs": 6_000_000}
        )
        (folder / "config.json").write_text(json.dumps(tree), encoding="utf-8")
        self._log = open(folder / "dispatcher.log", "ab")  # noqa: SIM115
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it accepts connections."""
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env={
                **environment,
                "TMPDIR": str(self._folder),
                "PROXY_CONFIG": str(self._folder / "config.json"),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        end = time.monotonic() + START_WAIT_S
        while time.monotonic() < end and self._process.returncode is None:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.close()
                await writer.wait_closed()
                self._record("dispatcher: started")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the dispatcher accepts no connection")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record(f"dispatcher: {signal.Signals(number).name}")
        self._process.send_signal(number)

    async def close(self) -> None:
        """End the process, and put its log behind the record."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self._log.close()
        text = (self._folder / "dispatcher.log").read_text(encoding="utf-8", errors="replace")
        for line in text.splitlines():
            self._record(f"log of the dispatcher: {line[:300]}")


class Owner:
    """One connection of an owner, read all the time by a thread of its own."""

    def __init__(self, port: int) -> None:
        """Connect, and read."""
        self._socket = socket.create_connection(("127.0.0.1", port))
        self.answers: dict[str, str] = {}  # by tag: the first message about it
        self.ended_at = 0.0  # when the connection ended; 0.0 while it is open
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def send(self, message: dict[str, Any]) -> None:
        """Send one line."""
        with contextlib.suppress(OSError):
            self._socket.sendall(json.dumps(message).encode() + b"\n")

    def _read(self) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while received := self._socket.recv(1 << 18):
                data += received
                *lines, data = data.split(b"\n")
                for line in lines:
                    message = json.loads(line)
                    cause = f" {message['rc']}" if "rc" in message else ""
                    self.answers.setdefault(message["tag"], message["verb"] + cause)
        self.ended_at = time.monotonic()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._reader.join(2.0)
        self._socket.close()
