"""Stand-ins for the cases: the platform that starts a gateway, submitters and build machines.

They follow docs/pullqueue.md and use the standard library only. Everything that they send, hear and run is
kept in one record, in the order of the real clock.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be brought to the point at which the rule can be judged."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        """Write to this file; it is emptied first."""
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.time()
        self.line(f"TROUBLE={int(TROUBLE)}")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.time() - self._start

    def line(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def free_port() -> int:
    """Return a port of 127.0.0.1 that nobody listens on."""
    with socket.socket() as trial:
        trial.bind(("127.0.0.1", 0))
        return trial.getsockname()[1]


class Reply:
    """One answer of the gateway."""

    def __init__(self, code: int, body: Any) -> None:
        """Keep the status code and the decoded body."""
        self.code, self.body = code, body


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    timeout: float = 10.0,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Make one call on a connection of its own. Raises OSError if no whole answer comes."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body), headers or {})
        answer = connection.getresponse()
        return Reply(answer.status, json.loads(answer.read() or b"null"))
    except (http.client.HTTPException, ValueError) as fault:
        raise OSError(f"no whole answer: {fault!r}") from None
    finally:
        connection.close()


class Gateway:
    """One pull queue, started by the command `run` of deploy/balancer.toml with a file of its own."""

    def __init__(self, folder: Path, record: Record, name: str = "gateway", **changes: Any) -> None:
        """Take deploy/pullqueue.toml with these keys changed; nothing is started yet."""
        self.folder, self.record, self.name = folder, record, name
        self.port, self.control = free_port(), free_port()
        self.tree: dict[str, Any] = tomllib.loads((ROOT / "deploy/pullqueue.toml").read_text())
        self.tree |= {
            "enabled": True,
            "listen": f"127.0.0.1:{self.port}",
            "control": f"127.0.0.1:{self.control}",
        }
        self.change(**changes)
        self.process: subprocess.Popen[bytes] | None = None

    def change(self, **changes: Any) -> None:
        """Change keys of the file, which count from the next start; tables are merged."""
        for key, value in changes.items():
            self.tree[key] = {**self.tree.get(key, {}), **value} if isinstance(value, dict) else value

    def start(self, within_s: float = 15.0) -> None:
        """Start the program and wait until it answers."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.tree))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        log = (self.folder / f"{self.name}.log").open("ab")
        with log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", f"{deploy['run']} --pullqueue {path}"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.line(f"{self.name}: started")
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended at its start: {self.log_tail()}")
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port), 0.5):
                self.record.line(f"{self.name}: listens")
                return
            time.sleep(0.01)
        raise CouldNotRun(f"{self.name} does not listen: {self.log_tail()}")

    def log_tail(self) -> str:
        """Return the last lines of its log."""
        return " | ".join((self.folder / f"{self.name}.log").read_text().splitlines()[-3:])

    def kill(self) -> None:
        """End the program at once, with SIGKILL."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()
        self.record.line(f"{self.name}: killed")

    def end(self, within_s: float = 20.0) -> None:
        """End the program as the platform does, with SIGTERM."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(within_s)
        self.record.line(f"{self.name}: ended by SIGTERM")

    def stop(self) -> None:
        """End the program whatever it does; for the end of a case."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def unix_time(text: str) -> float:
    """Return the Unix seconds of an RFC 3339 time."""
    return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


class Held:
    """A lease that a machine holds: `state` is what its next update says of it."""

    def __init__(self, id: str, payload: dict[str, Any], expires: float) -> None:
        """Begin as running."""
        self.id, self.payload, self.expires = id, payload, expires
        self.state = "ACTIVE"
        self.ends_at: float | None = None

    def report(self) -> dict[str, Any]:
        """Return the entry of an update."""
        entry: dict[str, Any] = {"id": self.id, "state": self.state}
        if self.state == "COMPLETED":
            entry["status"] = {"code": 0}
        return entry


class Run:
    """One run of a task on a machine, as the machine itself knows it."""

    def __init__(self, machine: Machine, key: str, blob: str, lease: str, began: float) -> None:
        """Begin the run."""
        self.machine, self.key, self.blob, self.lease, self.began = machine, key, blob, lease, began
        self.ended: float | None = None


class Machine(threading.Thread):
    """A build machine in a thread of its own, which keeps to docs/pullqueue.md.

    It lists every lease that it holds in each update, stops a task when its lease expires or when an answer
    lists it as CANCELLED, opens a new session after a 404, and comes again after a lost connection.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        port: int,
        hall: str,
        rack: str,
        *,
        cores: float = 16,
        memory: float = 64,
        poll_s: float = 1.0,
        plan: Callable[[Machine, Held], None] | None = None,
    ) -> None:
        """`poll_s`: how long an update waits. `plan` says with `ends_at` when the task of a new lease ends."""
        super().__init__(daemon=True, name=name)
        self.record, self.port, self.poll_s, self.plan = record, port, poll_s, plan
        self.properties = {"cores": str(cores), "memory": str(memory), "hall": hall, "rack": rack}
        self.hall = hall
        self.runs: list[Run] = []
        self.held: dict[str, Held] = {}
        self.session = ""
        self.over = threading.Event()
        self.updates = 0

    def _update(self) -> None:
        self._settle()
        sent = [held.report() for held in self.held.values()]
        wait_s = 0.0 if any(entry["state"] == "COMPLETED" for entry in sent) else self.poll_s
        body = {"botId": self.name, "status": "OK", "leases": sent}
        headers = {"X-Server-Timeout": f"{wait_s:g}"}
        if self.session:
            reply = call(self.port, "PATCH", f"/v1test2/{self.session}", body, 3.0, headers)
        else:
            pairs = [{"key": key, "value": value} for key, value in self.properties.items()]
            body["worker"] = {"properties": pairs, "devices": [{"handle": "cpu"}]}
            reply = call(self.port, "POST", "/v1test2/botSessions", body, 3.0, headers)
        if reply.code != 200:
            if reply.code == 404:
                self.session = ""
            self.record.line(f"{self.name}: update answered with {reply.code}")
            time.sleep(0.05)
            return
        self.updates += 1
        self.session = reply.body["name"]
        for entry in sent:
            if entry["state"] != "ACTIVE":
                self.held.pop(entry["id"], None)
        for lease in reply.body["leases"]:
            self._hear(lease)

    def _hear(self, lease: dict[str, Any]) -> None:
        held = self.held.get(lease["id"])
        if lease["state"] == "CANCELLED":
            if held is not None and held.state == "ACTIVE":
                self._stop(held, "CANCELLED", "told to stop")
        elif held is not None:
            held.expires = unix_time(lease["expireTime"])
        elif lease["state"] == "PENDING":
            held = self.held[lease["id"]] = Held(
                lease["id"], lease["payload"], unix_time(lease["expireTime"])
            )
            payload = lease["payload"]
            self.runs.append(Run(self, payload["key"], payload["blob"], held.id, self.record.now()))
            self.record.line(
                f"{self.name}: BEGINS key {payload['key']} class {payload['class']} blob {payload['blob']} "
                f"lease {held.id} expires {lease['expireTime']}"
            )
            if self.plan is not None:
                self.plan(self, held)

    def _stop(self, held: Held, state: str, why: str) -> None:
        held.state = state
        for run in self.runs:
            if run.lease == held.id:
                run.ended = self.record.now()
        self.record.line(f"{self.name}: ENDS key {held.payload['key']} lease {held.id}: {why}")

    def _settle(self) -> None:
        """Stop what has run out, and end what is done."""
        now = time.time()
        for held in list(self.held.values()):
            if held.state == "ACTIVE" and held.ends_at is not None and now >= held.ends_at:
                self._stop(held, "COMPLETED", "done")
            elif held.state == "ACTIVE" and now >= held.expires:
                self._stop(held, "CANCELLED", "its lease has expired")

    def run(self) -> None:
        """Serve until told to end."""
        while not self.over.is_set():
            try:
                self._update()
            except OSError as fault:
                self.record.line(f"{self.name}: no answer to an update: {fault!r}")
                self._settle()
                self.over.wait(0.1)
            self._settle()


def submission(
    class_name: str, key: str, request: str, *, left_ms: int = 4000, service: int = 0xB4D65521, **more: Any
) -> dict[str, Any]:
    """Return the body of a submission."""
    return {
        "class": class_name,
        "left": left_ms,
        "tenant": "",
        "key": key,
        "idem": key,
        "extras": f"cores:0.5;memory:1;service:{service:016x}",
        "blob": f"task {key}",
        **({"requestId": request} if request else {}),
        **more,
    }


def play(case: Callable[[Record, Path, list[Callable[[], None]]], bool]) -> None:
    """Run a case in a temporary folder, end all that it started, and exit with its verdict.

    The case appends what ends its parts to the list that it is given, and returns whether the rule held.
    """
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    at_end: list[Callable[[], None]] = []
    try:
        code = HELD if case(record, folder, at_end) else BROKEN
    except CouldNotRun as fault:
        record.line(f"could not run: {fault}")
        code = COULD_NOT_RUN
    except Exception as fault:  # a fault of the case itself is no verdict on the rule
        record.line(f"could not run: {type(fault).__name__}: {fault}")
        code = COULD_NOT_RUN
    finally:
        for end in reversed(at_end):
            with contextlib.suppress(Exception):
                end()
        shutil.rmtree(folder, ignore_errors=True)
    record.line({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "no verdict"}[code])
    print(record_tail(record))
    sys.stdout.flush()
    os._exit(code)


def record_tail(record: Record) -> str:
    """Return the end of the record, for the terminal."""
    return "\n".join(Path(record._file.name).read_text().splitlines()[-12:])
