"""Stand-ins for the pull queue: a gateway as a process, build machines and callers, on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PREFIX = "/v1test2/"
START_WAIT_S = 10.0


class CannotRunError(Exception):
    """The case could not run: nothing is said of the rule."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that was free just now."""
    with socket.socket() as trial:
        trial.bind(("127.0.0.1", 0))
        return int(trial.getsockname()[1])


class Record:
    """The file record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        """Begin the file anew."""
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f}  {text}\n")
        self._file.flush()


class Gateway:
    """One pull queue, started by the run command of deploy/balancer.toml with a file of its own."""

    def __init__(self, record: Record, folder: Path, **changes: str) -> None:
        """Make the file from deploy/pullqueue.toml. `changes`: top-level keys with values as TOML text."""
        self.record = record
        self.folder = folder
        self.port = free_port()
        self.file = folder / "pullqueue.toml"
        self._process: asyncio.subprocess.Process | None = None
        self._log = open(folder / "gateway.log", "ab")  # noqa: SIM115
        text = (ROOT / "deploy/pullqueue.toml").read_text(encoding="utf-8")
        keys = {"enabled": "true", "listen": f'"127.0.0.1:{self.port}"', "control": '""', **changes}
        for key, value in keys.items():
            text = _with_key(text, key, value)
        self.file.write_text(text, encoding="utf-8")

    def change_file(self, old: str, new: str) -> None:
        """Replace a text of the file, which has to stand there once."""
        text = self.file.read_text(encoding="utf-8")
        if text.count(old) != 1:
            raise CannotRunError(f"the file has {old!r} {text.count(old)} times")
        self.file.write_text(text.replace(old, new), encoding="utf-8")

    async def start(self) -> None:
        """Start the process and wait until it accepts connections."""
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            f"{run} --pullqueue {self.file}",
            cwd=ROOT,
            env={**environment, "TMPDIR": str(self.folder)},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        end = time.monotonic() + START_WAIT_S
        while time.monotonic() < end:
            if self._process.returncode is not None:
                raise CannotRunError(f"the gateway ended with {self._process.returncode}")
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.close()
                await writer.wait_closed()
                self.record("gateway: started")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the gateway accepts no connection")

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self.record(f"gateway: {signal.Signals(number).name}")
        self._process.send_signal(number)

    async def wait(self, seconds: float) -> None:
        """Wait for the end of the process."""
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), seconds)
        except TimeoutError:
            raise CannotRunError(f"the gateway has not ended within {seconds} s") from None
        self.record(f"gateway: ended with {self._process.returncode}")

    async def kill(self) -> None:
        """End the process with SIGKILL, if it runs."""
        if self.runs:
            self.signal(signal.SIGKILL)
            await self.wait(10.0)

    async def close(self) -> None:
        """End the process, and put its log behind the record."""
        if self.runs:
            await self.kill()
        self._log.close()
        for line in (self.folder / "gateway.log").read_text(encoding="utf-8", errors="replace").splitlines():
            self.record(f"log of the gateway: {line[:300]}")


def _with_key(text: str, key: str, value: str) -> str:
    lines, found = [], 0
    for line in text.splitlines():
        if line.split("=")[0].strip() == key and not line.startswith("#"):
            line, found = f"{key} = {value}", found + 1
        lines.append(line)
    if found != 1:
        raise CannotRunError(f"deploy/pullqueue.toml has the key {key} {found} times")
    return "\n".join(lines) + "\n"


class Caller:
    """One HTTP connection, opened when it is needed. A call that gets no answer returns the status 0."""

    def __init__(self, port: int, fresh: bool = False) -> None:
        """Call the gateway at this port. `fresh`: each call on a connection of its own."""
        self._port, self._fresh = port, fresh
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._lock = asyncio.Lock()

    async def call(
        self, method: str, path: str, body: Any = None, wait_s: float = 0.0, limit_s: float = 15.0
    ) -> tuple[int, dict[str, Any]]:
        """Make one call; `wait_s` goes into X-Server-Timeout. Return the status and the body."""
        async with self._lock:
            try:
                return await asyncio.wait_for(self._call(method, path, body, wait_s), limit_s)
            except (OSError, EOFError, ValueError, TimeoutError) as fault:
                self.close()
                return 0, {"fault": f"{type(fault).__name__}: {fault}"}

    async def _call(self, method: str, path: str, body: Any, wait_s: float) -> tuple[int, dict[str, Any]]:
        if self._writer is None or self._writer.is_closing():
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        assert self._reader is not None
        self._writer.write(request(method, path, body, wait_s, self._fresh))
        await self._writer.drain()
        answer = await read_answer(self._reader)
        if self._fresh:
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def request(method: str, path: str, body: Any = None, wait_s: float = 0.0, last: bool = False) -> bytes:
    """Return one HTTP request; `last`: with `Connection: close`."""
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {PREFIX}{path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
    head += f"Content-Length: {len(data)}\r\n"
    if last:
        head += "Connection: close\r\n"
    if wait_s:
        head += f"X-Server-Timeout: {wait_s:.3f}\r\n"
    return head.encode() + b"\r\n" + data


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, Any]]:
    """Read one HTTP answer."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise EOFError("the connection ended before an answer")
    status, length = int(line.split()[1]), 0
    while (header := await reader.readline()).strip():
        name, _, value = header.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    data = await reader.readexactly(length)
    return status, json.loads(data)


def task(class_name: str, key: str, **more: Any) -> dict[str, Any]:
    """Return the body of a submission."""
    body = {
        "class": class_name,
        "left": 5000,
        "key": key,
        "extras": "cores:1;memory:1;service:00000000b4d65521",
        "blob": "segment",
        **more,
    }
    if class_name == "import-job":
        body.setdefault("idem", key)
    return body


class Held:
    """A lease that a machine holds."""

    def __init__(self, lease: dict[str, Any], ends_at: float) -> None:
        """Hold a lease whose task ends at `ends_at` (monotonic)."""
        self.id = lease["id"]
        self.payload = lease["payload"]
        self.ends_at = ends_at
        self.state = "ACTIVE"
        self.expires = unix_time(lease["expireTime"])
        self.result: dict[str, Any] | None = None
        self.reported = False  # it was listed in an update

    def report(self) -> dict[str, Any]:
        """Return the lease as the machine lists it."""
        report: dict[str, Any] = {"id": self.id, "state": self.state}
        if self.result is not None:
            report["result"] = self.result
        return report


def unix_time(text: str) -> float:
    """Return the Unix time of an expiry."""
    return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


class Machine:
    """A build machine as docs/pullqueue.md has it: it lists what it holds, and stops what has expired."""

    def __init__(
        self,
        record: Record,
        port: int,
        name: str,
        run_s: Callable[[dict[str, Any]], float],
        *,
        cores: int = 16,
        memory: int = 64,
        hall: str = "hall-a",
        rack: str = "r1",
        configs: dict[str, str] | None = None,
        result: Callable[[dict[str, Any]], dict[str, Any]] | None = None,
        fresh: bool = False,
        quiet: bool = False,
    ) -> None:
        """`run_s`: how long the task of a payload runs. `result`: what it brings.

        `fresh`: each call on a connection of its own. `quiet`: single tasks are not recorded.
        """
        self.record, self.name, self._run_s, self._result = record, name, run_s, result
        self._quiet = quiet
        self._caller = Caller(port, fresh)
        properties = {"cores": str(cores), "memory": str(memory), "hall": hall, "rack": rack}
        self._worker = {
            "properties": [{"key": key, "value": value} for key, value in properties.items()],
            "configs": [{"key": key, "value": value} for key, value in (configs or {}).items()],
        }
        self.session = ""
        self.held: dict[str, Held] = {}
        self.started: list[str] = []  # keys of the tasks that this machine has started, in order
        self.statuses: list[tuple[str, int]] = []  # calls that did not get 200: which, and the status
        self._task: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Open a session, and go on until `close`."""
        self._task = asyncio.get_running_loop().create_task(self._serve())

    async def close(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._caller.close()

    async def opened(self) -> None:
        """Wait until there is a session."""
        for _ in range(200):
            if self.session:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} got no session")

    async def _serve(self) -> None:
        while True:
            self._stop_expired()
            await self._update()

    def _stop_expired(self) -> None:
        for held in list(self.held.values()):
            if held.state == "ACTIVE" and time.time() >= held.expires - 0.1:
                self.record(f"{self.name}: {held.id} has expired, stopped")
                del self.held[held.id]
            elif held.state == "ACTIVE" and time.monotonic() >= held.ends_at:
                held.state = "COMPLETED"
                if self._result is not None:
                    held.result = self._result(held.payload)

    def _wait_s(self, fresh: bool) -> float:
        if fresh or any(held.state != "ACTIVE" for held in self.held.values()):
            return 0.0
        ends = [held.ends_at - time.monotonic() for held in self.held.values()]
        return max(0.01, min([0.5, *ends]))

    async def _update(self) -> None:
        reports = [held.report() for held in self.held.values()]
        if self.session:
            what, body = "update", {"status": "OK", "leases": reports}
            status, answer = await self._caller.call(
                "PATCH", self.session, body, self._wait_s(self._is_fresh())
            )
        else:
            what = "open"
            body = {"botId": self.name, "status": "OK", "leases": reports, "worker": self._worker}
            status, answer = await self._caller.call("POST", "botSessions", body)
            listed = ", ".join(f"{report['id']} {report['state']}" for report in reports)
            self.record(f"{self.name}: opens a session, lists [{listed}]: answered {status}")
        for held in self.held.values():
            held.reported = True
        if status != 200:
            self.statuses.append((what, status))
            if status == 404:
                self.session = ""
            elif status != 409:
                await asyncio.sleep(0.2)
            return
        self.session = answer["name"]
        for report in reports:
            if report["state"] != "ACTIVE":
                if not self._quiet:
                    self.record(f"{self.name}: told {report['id']} {report['state']}")
                self.held.pop(report["id"], None)
        for lease in answer["leases"]:
            self._take(lease)

    def _is_fresh(self) -> bool:
        return not all(held.reported for held in self.held.values())

    def _take(self, lease: dict[str, Any]) -> None:
        held = self.held.get(lease["id"])
        if lease["state"] == "CANCELLED":
            if held is not None and held.state == "ACTIVE":
                self.record(
                    f"{self.name}: {lease['id']} listed as CANCELLED, task {held.payload['key']} stopped"
                )
                held.state = "CANCELLED"
        elif held is not None:
            held.expires = max(held.expires, unix_time(lease["expireTime"]))
        elif "payload" in lease:
            payload = lease["payload"]
            if not self._quiet:
                self.record(f"{self.name}: STARTS {payload['class']} {payload['key']} by {lease['id']}")
            self.started.append(payload["key"])
            self.held[lease["id"]] = Held(lease, time.monotonic() + self._run_s(payload))


class LibraryMachine:
    """A build machine on the project's client library, as a process of its own (library_machine.py)."""

    def __init__(self, record: Record, folder: Path, port: int, name: str, poll_s: float) -> None:
        """`poll_s`: how long an update waits for work."""
        self._record, self._output = record, folder / f"{name}.log"
        self.name = name
        self._arguments = [f"http://127.0.0.1:{port}", name, str(poll_s)]
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        with open(self._output, "wb") as output:
            self._process = await asyncio.create_subprocess_exec(
                str(ROOT / ".venv/bin/python"),
                str(Path(__file__).with_name("library_machine.py")),
                *self._arguments,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )

    @property
    def lines(self) -> list[str]:
        """What it has printed."""
        return self._output.read_text(encoding="utf-8", errors="replace").splitlines()

    @property
    def ended_with(self) -> int | None:
        """The exit code of the process; None while it runs."""
        return None if self._process is None else self._process.returncode

    async def close(self) -> None:
        """End the process, and put what it printed into the record."""
        if self._process is None:
            return
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        for line in self.lines:
            self._record(f"printed by {self.name}: {line[:300]}")


Case = Callable[[Record, Path, bool], Any]


def main(case: Case) -> None:
    """Run a case: exit with 1 if it returns a text (the rule was broken), 0 for '', 2 if it can't run."""
    folder = Path(sys.argv[1]).resolve()
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    work = Path(tempfile.mkdtemp(prefix="weldhatch-review-"))

    async def run() -> str:
        async with asyncio.timeout(115.0):
            return await case(record, work, trouble)

    try:
        broken = asyncio.run(run())
    except Exception as fault:
        record(f"the case could not run: {type(fault).__name__}: {fault}")
        print(f"could not run: {type(fault).__name__}: {fault}")
        sys.exit(2)
    finally:
        shutil.rmtree(work, ignore_errors=True)
    record(f"broken: {broken}" if broken else "the rule held")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
