"""A submitter's connection is lost while its batch is being taken, and it comes again under the same request ids.

A batch of import-jobs is sent with a request id each. With the disruption the connection closes before the answer.
The submitter then sends the same batch again, as the page lets it, and follows each operation that it is told of.
"""

from __future__ import annotations

import json
import random
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from stand_ins import TROUBLE, CouldNotRun, Gateway, Held, Machine, Record, call, play, submission

BATCH = 60  # of at most 100
ROUNDS = 4
LEFT_S = 4.0  # for each task, from its submission
AFTER_S = 4.0  # more, before an operation without an answer counts as never answered
PATH = "/v1test2/operations:batchSubmit"


def ends_soon(_: Machine, held: Held) -> None:
    """Let a task run for half a second."""
    held.ends_at = time.time() + 0.5


def batch(first: int) -> dict[str, Any]:
    """Return the body of a batch."""
    keys = [f"{0xC0000000 + first + number:016x}" for number in range(BATCH)]
    return {
        "requests": [submission("import-job", key, f"r-{key}", left_ms=int(LEFT_S * 1000)) for key in keys]
    }


def send_and_lose(port: int, body: dict[str, Any], after_s: float) -> None:
    """Send a batch, and close the connection before its answer."""
    data = json.dumps(body).encode()
    head = f"POST {PATH} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {len(data)}\r\n\r\n"
    with socket.create_connection(("127.0.0.1", port), 2.0) as connection:
        connection.sendall(head.encode() + data)
        time.sleep(after_s)


def case(record: Record, folder: Path, at_end: list[Callable[[], None]]) -> bool:
    """Return whether every submission that the gateway told of had its one final answer in time."""
    gateway = Gateway(folder, record, store=str(folder / "store"))
    at_end.append(gateway.stop)
    gateway.start()
    machines = [
        Machine(
            record,
            f"builder-{number}",
            gateway.port,
            f"hall-{'ab'[number % 2]}",
            f"r{number // 2}",
            plan=ends_soon,
        )
        for number in range(10)
    ]
    for machine in machines:
        machine.start()
    at_end.append(lambda: [machine.over.set() for machine in machines])
    time.sleep(gateway.tree["timing"]["settle"] + 1.0)
    began = time.monotonic()
    if call(gateway.port, "POST", PATH, batch(0)).code != 200:
        raise CouldNotRun("an undisturbed batch is not taken")
    took_s = time.monotonic() - began
    record.line(f"owner: an undisturbed batch of {BATCH} is answered after {took_s * 1000:.1f} ms")
    time.sleep(2.0)
    for number in range(1, ROUNDS + 1):
        body = batch(number * BATCH)
        if TROUBLE:
            after_s = took_s * random.uniform(0.3, 0.7)
            send_and_lose(gateway.port, body, after_s)
            record.line(
                f"owner: round {number}: the connection is lost {after_s * 1000:.1f} ms after the batch"
            )
            time.sleep(0.3)
        reply = call(gateway.port, "POST", PATH, body)
        asked = time.monotonic()
        names = [entry["operation"]["name"] for entry in reply.body["responses"] if "operation" in entry]
        record.line(f"owner: round {number}: the batch (again) is answered with {len(names)} operations")
        if len(names) < BATCH:
            record.line(f"owner: {[entry for entry in reply.body['responses'] if 'operation' not in entry]}")
        time.sleep(max(0.0, asked + LEFT_S + AFTER_S - time.monotonic()))
        seen = [call(gateway.port, "GET", f"/v1test2/{name}").body for name in names]
        states = Counter(tree["metadata"]["state"] for tree in seen)
        record.line(f"owner: round {number}: {LEFT_S + AFTER_S:.0f} s later: {dict(states)}")
        never = [tree for tree in seen if "answer" not in tree["metadata"]]
        for tree in never:
            record.line(f"owner: NO ANSWER to {tree}")
            key = tree["metadata"]["key"]
            again = submission("import-job", key, f"r-{key}", left_ms=int(LEFT_S * 1000))
            try:
                reply = call(gateway.port, "POST", "/v1test2/tasks", again, LEFT_S + 2.0)
                record.line(f"owner: the same request id asked by itself: {reply.code} {reply.body}")
            except OSError as fault:
                record.line(
                    f"owner: the same request id asked by itself: nothing in {LEFT_S + 2:.0f} s: {fault}"
                )
            again["requestId"] = f"new-{key}"
            reply = call(gateway.port, "POST", "/v1test2/tasks", again, LEFT_S + 2.0)
            record.line(f"owner: the same key under a new request id: {reply.code} {reply.body}")
            runs = [run.lease for machine in machines for run in machine.runs if run.key == key]
            record.line(f"machines: key {key} was started {len(runs)} times")
        if never:
            return False
    return True


play(case)
