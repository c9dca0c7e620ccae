"""Starts the toy server and a dispatcher, requests one task, and prints the messages. Loopback only."""

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).parent
TASK = {
    "verb": "START",
    "tag": "9b1f03aa5c7e2d41",
    "opts": {
        "class": "match-lookup",
        "left": "1500",
        "key": "7f3a9c21e0b4d655",
        "extras": "cores:1;memory:2;service:00000000b4d65521",
    },
    "blob": "hello from the owner",
}


def connect(port, timeout_s=10.0):
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=timeout_s)
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)


def main():
    environment = {**os.environ, "PROXY_CONFIG": str(HERE / "config.json"), "PYTHONPATH": str(HERE.parent)}
    commands = (
        [sys.executable, str(HERE / "toy_server.py"), "5081", "4222"],
        [sys.executable, "-m", "weldhatch"],
    )
    processes = [subprocess.Popen(command, cwd=HERE.parent, env=environment) for command in commands]
    try:
        connect(5081).close()
        with connect(5080) as owner, owner.makefile("rw") as stream:
            print("owner sent:", json.dumps(TASK), flush=True)
            stream.write(json.dumps(TASK) + "\n")
            stream.flush()
            for _ in range(2):  # the answer, then the task's release when it is done
                print("owner received:", stream.readline().strip(), flush=True)
    finally:
        for process in reversed(processes):  # the dispatcher first, as it needs its event bus and server
            process.terminate()
            process.wait()


if __name__ == "__main__":
    main()
