"""A gateway with a store is killed while machines report short memory-writer tasks as ended.

Twelve machines and one submitter go on in rounds. In each round twelve tasks are submitted, handed out and run,
and their machines report them as ended, each in its next update. At a random moment within 10 ms from these
reports the gateway is killed; it is started again at once with the same file and the same store.
"""

from __future__ import annotations

import http.client
import json
import random
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from stand_ins import TROUBLE, CouldNotRun, Gateway, Record, call, play, submission

MACHINES = 12  # a fleet of 9 to 12 nodes
TASKS = 12  # of a round, which takes about 0.8 s: some 15 a second
KILL_WITHIN_S = 0.010
PLAY_S = 75.0
CALM_ROUNDS = 25
BEFORE_MORE_S = 0.4


class Machine:
    """A build machine whose updates are sent and answered at the case's word. Its tasks end at once."""

    def __init__(self, record: Record, number: int, port: int) -> None:
        """Start without a session."""
        self.record, self.name, self.port = record, f"builder-{number}", port
        self.place = {"hall": f"hall-{'ab'[number % 2]}", "rack": f"r{number // 2}"}
        self.done: dict[
            str, dict[str, object]
        ] = {}  # leases that have ended here and are still to be reported
        self.session = ""
        self._connection: http.client.HTTPConnection | None = None
        self._reported: list[str] = []

    def send(self) -> None:
        """Send an update that lists every lease held, and open a session where there is none."""
        if self._connection is None:
            self._connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5.0)
        body: dict[str, object] = {"botId": self.name, "status": "OK", "leases": list(self.done.values())}
        method, path = "PATCH", f"/v1test2/{self.session}"
        if not self.session:
            method, path = "POST", "/v1test2/botSessions"
            pairs = {"cores": "16", "memory": "64", **self.place}.items()
            properties = [{"key": key, "value": value} for key, value in pairs]
            body["worker"] = {"properties": properties, "devices": [{"handle": "cpu"}]}
        self._reported = list(self.done)
        if self._reported:
            self.record.line(f"{self.name}: reports as COMPLETED {self._reported}")
        self._connection.request(method, path, json.dumps(body), {"X-Server-Timeout": "0"})

    def hear(self, runs: dict[str, list[str]]) -> None:
        """Read the answer; a lease that comes is run at once, and ends."""
        assert self._connection is not None
        answer = self._connection.getresponse()
        tree = json.loads(answer.read())
        if answer.status == 404:
            self.session = ""
        if answer.status != 200:
            return
        self.session = tree["name"]
        for id in self._reported:
            self.done.pop(id, None)
        for lease in tree["leases"]:
            if lease["state"] == "PENDING" and lease["id"] not in self.done:
                key = lease["payload"]["key"]
                self.record.line(f"{self.name}: RUNS key {key} by {lease['id']}, {lease['assignment']}")
                runs[key].append(f"{self.name} by {lease['id']}")
                self.done[lease["id"]] = {"id": lease["id"], "state": "COMPLETED", "status": {"code": 0}}

    def update(self, runs: dict[str, list[str]]) -> None:
        """Send an update and hear its answer."""
        self.send()
        self.hear(runs)

    def lose(self) -> None:
        """Drop the connection to a gateway that has died; what was reported and not answered is said again."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def case(record: Record, folder: Path, at_end: list[Callable[[], None]]) -> bool:
    """Play rounds until a key has run twice, or the time is over."""
    gateway = Gateway(folder, record, store=str(folder / "store"))
    at_end.append(gateway.stop)
    gateway.start()
    machines = [Machine(record, number, gateway.port) for number in range(MACHINES)]
    runs: dict[str, list[str]] = defaultdict(list)
    time.sleep(gateway.tree["timing"]["settle"] + 0.1)  # nothing goes out before, on a store just made
    end = time.monotonic() + PLAY_S
    rounds, serial = 0, 0
    while time.monotonic() < end and (TROUBLE or rounds < CALM_ROUNDS):
        rounds += 1
        for machine in machines:
            machine.update(runs)
            if not machine.session:
                machine.update(runs)
        keys = [f"{0xA0000000 + serial + number:016x}" for number in range(TASKS)]
        serial += TASKS
        requests = [submission("memory-writer", key, f"r-{key}", left_ms=6000) for key in keys]
        reply = call(gateway.port, "POST", "/v1test2/operations:batchSubmit", {"requests": requests})
        names = [entry["operation"]["name"] for entry in reply.body["responses"]]
        record.line(f"owner: round {rounds}, {len(names)} tasks submitted, {names[0]} to {names[-1]}")
        until = time.monotonic() + 1.0
        while time.monotonic() < until and sum(len(machine.done) for machine in machines) < TASKS:
            for machine in machines:
                if not machine.done:
                    machine.update(runs)
            time.sleep(0.005)
        reporting = [machine for machine in machines if machine.done]
        for machine in reporting:
            machine.send()
        if TROUBLE:
            moment = time.perf_counter() + random.uniform(0.0, KILL_WITHIN_S)
            while time.perf_counter() < moment:
                pass
            gateway.kill()
            for machine in machines:
                machine.lose()
            gateway.start()
        else:
            for machine in reporting:
                machine.hear(runs)
        until = time.monotonic() + BEFORE_MORE_S
        while time.monotonic() < until:
            for machine in machines:
                machine.update(runs)
            time.sleep(0.005)
        if twice := {key: where for key, where in runs.items() if len(where) > 1}:
            for key, where in twice.items():
                record.line(f"key {key} of class memory-writer was started {len(where)} times: {where}")
                name = names[keys.index(key)] if key in keys else ""
                if name:
                    record.line(f"owner: {name}: {call(gateway.port, 'GET', f'/v1test2/{name}').body}")
            record.line(f"after {rounds} rounds")
            return False
    if len(runs) < serial * 0.9:
        raise CouldNotRun(f"only {len(runs)} of {serial} tasks ran")
    record.line(f"{rounds} rounds, {serial} tasks submitted, {len(runs)} ran, none twice")
    return True


play(case)
