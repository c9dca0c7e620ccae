"""The pull queue under load and over a restart, beside the version before it kept a store.

    python -m benchmarks.pullqueue [--quick]

Both versions run in this one run, each as a process of its own, with the same machines and submitters, which
run
in processes of their own too. The last line is one JSON object; figures of the version before end with
`_before`.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import io
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tarfile
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
BEFORE = "72d656344d73c2870c33f8c9778527cd35af82ec"  # leases in memory, a sweep, an fsync on the loop
PREFIX = "/v1test2/"
CLASSES = ("match-lookup", "import-job", "memory-writer")


# ---- a gateway of either version
# -----------------------------------------------------------------------------


def port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class Gateway:
    """One version as a process, with its own folder and address."""

    def __init__(self, tree: Path, folder: Path, new: bool, connections: int = 6000) -> None:
        self.tree, self.folder, self.new = tree, folder, new
        self.port = port()
        text = (ROOT / "deploy" / "pullqueue.toml").read_text()
        lines = []
        for line in text.split("\n"):
            key = line.split("=")[0].strip()
            if key in ("states", "store", "queue", "idle") and not new:
                continue  # the version before does not know them
            value = {
                "enabled": "true",
                "listen": f'"127.0.0.1:{self.port}"',
                "control": '""',
                "ledger": f'"{folder / "ledger"}"',
                "store": f'"{folder / "store"}"',
                "connections": connections,
                "sockets": connections + 200,
                "settle": 0,
                "idle": 600,
                "remember": 1_000_000,
            }.get(key)
            lines.append(f"{key} = {value}" if value is not None and "[" not in line else line)
        (folder / "queue.toml").write_text("\n".join(lines))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "weldhatch", "--pullqueue", str(self.folder / "queue.toml")],
            cwd=self.tree,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        end = time.monotonic() + 20
        while time.monotonic() < end:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port), 1):
                return
            time.sleep(0.01)
        raise RuntimeError("the gateway did not start")

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        for line in Path(f"/proc/{self.process.pid}/status").read_text().split("\n"):
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0


# ---- clients on plain sockets
# --------------------------------------------------------------------------------


class Link:
    """One keep-alive connection."""

    def __init__(self, port: int) -> None:
        self._port, self._reader, self._writer = port, None, None

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)

    async def call(
        self, method: str, path: str, body: dict | None = None, wait: float = 0.0
    ) -> tuple[int, dict]:
        if self._writer is None:
            await self.open()
        data = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {PREFIX}{path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n"
        self._writer.write(f"{head}X-Server-Timeout: {wait:g}\r\n\r\n".encode() + data)
        text = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(text.split("content-length:")[1].split()[0])
        return int(text.split()[1]), json.loads(await self._reader.readexactly(length))

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None


def worker(name: str, cores: float = 100_000.0) -> dict:
    number = int(name.strip("bm") or 0)
    pairs = {
        "cores": f"{cores:g}",
        "memory": f"{cores * 4:g}",
        "hall": ("hall-a", "hall-b")[number % 2],
        "rack": f"r{number % 4}",
    }
    return {
        "botId": name,
        "worker": {"properties": [{"key": key, "value": value} for key, value in pairs.items()]},
    }


def task(key: int, left_s: float) -> dict:
    cls = CLASSES[key % 3]
    return {
        "class": cls,
        "left": int(left_s * 1000),
        "key": f"{key:x}",
        "idem": f"{key:x}",
        "blob": "x" * 200,
        "extras": f"cores:1;memory:2;service:{key % 97:016x}",
    }


class Machine:
    """Runs each task for `hold_s`, and notes when it was handed out."""

    def __init__(self, port: int, name: str, hold_s: float) -> None:
        self._port, self.name, self._hold_s = port, name, hold_s
        self.held: dict[str, float] = {}
        self.handed: dict[str, float] = {}
        self.overlaps = self.cancelled = self.accepted = 0

    def listed(self, now: float) -> list[dict]:
        return [
            {"id": name, "state": "ACTIVE" if now < end else "COMPLETED"} for name, end in self.held.items()
        ]

    async def serve(self) -> None:
        session, link = "", Link(self._port)
        while True:
            try:
                now = time.time()
                listed = self.listed(now)
                if session:
                    code, said = await link.call("PATCH", session, {"leases": listed}, 0.25)
                else:
                    code, said = await link.call(
                        "POST", "botSessions", {**worker(self.name), "leases": listed}
                    )
                if code == 404:
                    session = ""
                    continue
                if code != 200:
                    await asyncio.sleep(0.05)
                    continue
            except (OSError, asyncio.IncompleteReadError):
                link.close()
                session = ""
                await asyncio.sleep(0.02)
                continue
            if not session:
                self.accepted += sum(lease["state"] == "ACTIVE" for lease in said["leases"])
            session = said["name"]
            for one in listed:
                if one["state"] == "COMPLETED":
                    self.held.pop(one["id"], None)
            for lease in said["leases"]:
                if lease["state"] == "PENDING" and lease["id"] not in self.held:
                    at = time.time()
                    self.held[lease["id"]] = at + self._hold_s
                    self.handed[lease["payload"]["key"]] = at
                elif lease["state"] == "CANCELLED" and self.held.pop(lease["id"], None) is not None:
                    self.cancelled += 1


async def machines_role(port: int, count: int, hold_s: float, out: str) -> None:
    """Machines until told to stop on standard input; what they saw goes to a file."""
    made = [Machine(port, f"b{n}", hold_s) for n in range(count)]
    tasks = [asyncio.ensure_future(one.serve()) for one in made]
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    for one in tasks:
        one.cancel()
    handed: dict[str, float] = {}
    for one in made:
        handed.update(one.handed)
    Path(out).write_text(
        json.dumps(
            {
                "handed": handed,
                "cancelled": sum(one.cancelled for one in made),
                "accepted": sum(one.accepted for one in made),
                "held": sum(len(one.held) for one in made),
            }
        )
    )


async def submit_role(port: int, count: int, rate: float, left_s: float, out: str, first: int) -> None:
    """`count` submitters: all at once, or `rate` a second. What each heard, and when, goes to a file."""
    heard: list[tuple[int, float, float, str]] = []
    free: list[Link] = []

    async def one(key: int) -> None:
        link = free.pop() if free else Link(port)
        at = time.time()
        try:
            code, said = await asyncio.wait_for(link.call("POST", "tasks", task(key, left_s)), 60)
            answer = said.get("answer", f"status {code}")
            free.append(link)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            answer = "nothing"
            link.close()
        heard.append((key, at, time.time(), answer))

    if not rate:  # all are connected before the first one asks: an owner's time counts from its asking
        for at in range(0, count, 50):
            links = [Link(port) for _ in range(min(50, count - at))]
            await asyncio.gather(*(link.open() for link in links))
            free += links
        print("ready", flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    begun, running = time.time(), []
    for n in range(count):
        if rate:
            await asyncio.sleep(max(0.0, begun + n / rate - time.time()))
        running.append(asyncio.ensure_future(one(first + n)))
    await asyncio.gather(*running)
    Path(out).write_text(json.dumps(heard))


async def idle_role(port: int, count: int) -> None:
    """Machines that have nothing to do, each with its open connection."""
    links = [Link(port) for _ in range(count)]
    sessions: list[str] = []
    for at in range(0, count, 100):
        told = await asyncio.gather(
            *(
                link.call("POST", "botSessions", worker(f"m{at + n}", 16.0))
                for n, link in enumerate(links[at : at + 100])
            )
        )
        sessions += [said["name"] for code, said in told if code == 200]
    print(len(sessions), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)


# ---- the measurements
# ----------------------------------------------------------------------------------------


class Role:
    """A process of clients."""

    def __init__(self, *words: object) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.pullqueue", *map(str, words)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def line(self) -> str:
        return self.process.stdout.readline().strip()

    def go(self) -> None:
        self.process.stdin.write("\n")
        self.process.stdin.flush()

    def stop(self) -> None:
        with contextlib.suppress(OSError):
            self.process.stdin.write("\n")
            self.process.stdin.flush()
        self.process.wait(120)


def share(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0


def load(gateway: Gateway, count: int, rate: float, left_s: float, hold_s: float) -> dict:
    """One load on a gateway that was started for it."""
    gateway.start()
    with tempfile.TemporaryDirectory() as folder:
        machines = Role("--machines", gateway.port, 8, hold_s, f"{folder}/machines")
        machines.line()
        time.sleep(0.5)
        cpu = gateway.cpu_s()
        # Several processes: one alone would read its answers late, and call them late.
        parts = 4 if count >= 400 else 1
        submitters = [
            Role(
                "--submit",
                gateway.port,
                count // parts,
                rate / parts,
                left_s,
                f"{folder}/heard{n}",
                1 + n * (count // parts),
            )
            for n in range(parts)
        ]
        if not rate:
            for one in submitters:
                one.line()
            for one in submitters:
                one.go()
        for one in submitters:
            one.process.wait(300)
        cpu = gateway.cpu_s() - cpu
        machines.stop()
        heard = [one for n in range(parts) for one in json.loads(Path(f"{folder}/heard{n}").read_text())]
        seen = json.loads(Path(f"{folder}/machines").read_text())
    gateway.kill()
    waits = [end - at for _, at, end, _ in heard]
    handed = [seen["handed"][f"{key:x}"] - at for key, at, _, _ in heard if f"{key:x}" in seen["handed"]]
    answers = [answer for _, _, _, answer in heard]
    span = max(end for _, _, end, _ in heard) - min(at for _, at, _, _ in heard)
    placed = answers.count("placed")
    return {
        "placed_share": placed / count,
        "failed": answers.count("failed"),
        "refused": answers.count("refused"),
        "p99_s": share(waits, 0.99),
        "after_left": sum(wait > left_s + 0.05 for wait in waits),
        "handout_p99_ms": share(handed, 0.99) * 1000,
        "tasks_per_s": placed / span,
        "cpu_ms_per_task": cpu * 1000 / max(1, placed),
    }


def once(port: int, count: int, out: str, first: int) -> None:
    """So many submitters at once, to the end."""
    role = Role("--submit", port, count, 0, 4.0, out, first)
    role.line()
    role.go()
    role.process.wait(60)


def restart(gateway: Gateway) -> dict:
    """30 tasks stand, the gateway is killed and started again: how many go on, and when is work given
    again?"""
    gateway.start()
    with tempfile.TemporaryDirectory() as folder:
        machines = Role("--machines", gateway.port, 8, 600, f"{folder}/machines")
        machines.line()
        time.sleep(0.5)
        once(gateway.port, 30, f"{folder}/heard", 1)
        placed = sum(answer == "placed" for *_, answer in json.loads(Path(f"{folder}/heard").read_text()))
        time.sleep(0.5)
        gateway.kill()
        gateway.start()
        up = time.time()
        once(gateway.port, 8, f"{folder}/again", 1000)
        time.sleep(1.5)
        machines.stop()
        seen = json.loads(Path(f"{folder}/machines").read_text())
    gateway.kill()
    first = [at - up for key, at in seen["handed"].items() if int(key, 16) >= 1000]
    return {
        "placed": placed,
        "survive": placed - seen["cancelled"],
        "first_handout_s": min(first, default=99.0),
    }


def sessions(gateway: Gateway, count: int) -> dict:
    gateway.start()
    role = Role("--idle", gateway.port, count)
    held = int(role.line() or 0)
    time.sleep(1.0)
    memory = gateway.memory_mb()
    role.process.send_signal(signal.SIGKILL)
    role.process.wait()
    gateway.kill()
    return {"held": held, "memory_mb": memory}


def older(folder: str) -> Path:
    """The version before, from the repository's own history, in a folder of its own."""
    data = subprocess.run(
        ["git", "archive", BEFORE, "weldhatch"], cwd=ROOT, capture_output=True, check=True
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(data)) as archive:
        archive.extractall(folder, filter="data")
    return Path(folder)


def measure(quick: bool) -> dict:
    out: dict = {}
    with tempfile.TemporaryDirectory() as old:
        for name, tree, new in (("", ROOT, True), ("_before", older(old), False)):

            def gateway(tree: Path = tree, new: bool = new, made: list = []) -> Gateway:  # noqa: B006 - keeps them
                made.append(tempfile.TemporaryDirectory())
                return Gateway(tree, Path(made[-1].name), new)

            print("version before" if name else "this version", flush=True)
            told = restart(gateway())
            print("  restart", told, flush=True)
            out |= {
                f"standing_survive_restart{name}": told["survive"],
                f"standing{name}": told["placed"],
                f"restart_to_first_handout_s{name}": told["first_handout_s"],
            }
            for count in (500, 2000, 5000):
                told = load(gateway(), count, 0.0, 4.0, 1.0)
                print(f"  {count} at once", told, flush=True)
                out |= {
                    f"placed_share_at_{count}{name}": told["placed_share"],
                    f"answers_after_left_at_{count}{name}": told["after_left"],
                    f"answer_p99_s_at_{count}{name}": told["p99_s"],
                }
            span = 10 if quick else 60
            for rate in (300,) if quick else (300, 500):
                told = load(gateway(), rate * span, rate, 4.0, 1.0)
                print(f"  {rate} a second for {span} s", told, flush=True)
                out |= {
                    f"tasks_per_s_at_{rate}{name}": told["tasks_per_s"],
                    f"cpu_ms_per_task_at_{rate}{name}": told["cpu_ms_per_task"],
                    f"handout_p99_ms_at_{rate}{name}": told["handout_p99_ms"],
                    f"answers_after_left_at_{rate}{name}": told["after_left"],
                }
            told = sessions(gateway(), 1000 if quick else 5000)
            print("  idle machines", told, flush=True)
            out |= {f"sessions_held{name}": told["held"], f"sessions_memory_mb{name}": told["memory_mb"]}
    best = max((300, 500) if not quick else (300,), key=lambda rate: out[f"tasks_per_s_at_{rate}"])
    return {
        "tasks_per_s": out[f"tasks_per_s_at_{best}"],
        "cpu_ms_per_task": out["cpu_ms_per_task_at_300"],
        "handout_p99_ms": out["handout_p99_ms_at_300"],
        "answers_after_left": out["answers_after_left_at_2000"],
        **out,
    }


def main() -> None:
    words = sys.argv[1:]
    random.seed(1)
    match words:
        case ["--machines", port, count, hold, out]:
            asyncio.run(machines_role(int(port), int(count), float(hold), out))
        case ["--submit", port, count, rate, left, out, first]:
            asyncio.run(submit_role(int(port), int(count), float(rate), float(left), out, int(first)))
        case ["--idle", port, count]:
            asyncio.run(idle_role(int(port), int(count)))
        case _:
            parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
            parser.add_argument("--quick", action="store_true", help="shorter loads, fewer idle machines")
            figures = measure(parser.parse_args().quick)
            print(
                json.dumps(
                    {
                        key: round(value, 4) if isinstance(value, float) else value
                        for key, value in figures.items()
                    }
                )
            )


if __name__ == "__main__":
    main()
