"""Three dispatchers agree on a change of their settings, and still do after their leader is killed.

    .venv/bin/python examples/try_rules.py

Writes three configurations, prints and runs the commands that start the processes, and runs `weldhatch rules`
on them. Loopback only; all files are in a temporary folder that is removed at the end.
"""

import json
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

HERE = Path(__file__).parent
# Ports of the queues; the next three ports are the queue's control, the group's control and the group's link.
PORTS = {"g1": 5490, "g2": 5590, "g3": 5690}
VOTERS = {name: f"127.0.0.1:{port + 3}" for name, port in PORTS.items()}


def write_config(folder, name):
    config = tomllib.loads((HERE / "pullqueue.toml").read_text())
    port = PORTS[name]
    config |= {
        "listen": f"127.0.0.1:{port}",
        "control": f"127.0.0.1:{port + 1}",
        "agreement": {
            "name": name,
            "listen": VOTERS[name],
            "control": f"127.0.0.1:{port + 2}",
            "store": str(folder / f"{name}-agreement"),
            "voters": VOTERS,
        },
    }
    path = folder / f"{name}.json"
    path.write_text(json.dumps(config, indent=1))
    return path


def weldhatch(*arguments, quiet=False):
    """Run one command; print the command line unless `quiet`."""
    if not quiet:
        print(f"\n$ weldhatch {' '.join(map(str, arguments))}", flush=True)
    return subprocess.run(
        [sys.executable, "-m", "weldhatch", *map(str, arguments)],
        cwd=HERE.parent,
        capture_output=quiet,
        text=True,
    )


def main():
    with tempfile.TemporaryDirectory(prefix="weldhatch-rules-") as temporary:
        folder, processes = Path(temporary), {}
        config_files = {name: write_config(folder, name) for name in PORTS}

        def start(name):
            print(f"$ weldhatch --pullqueue {config_files[name]} &", flush=True)
            with open(folder / f"{name}.log", "ab") as log:
                processes[name] = subprocess.Popen(
                    [sys.executable, "-m", "weldhatch", "--pullqueue", str(config_files[name])],
                    cwd=HERE.parent,
                    stderr=log,
                )

        def status(name):
            result = weldhatch("rules", "status", "--pullqueue", config_files[name], "--json", quiet=True)
            return json.loads(result.stdout) if result.stdout.startswith("{") else {}

        def wait_until(condition, description):
            deadline = time.monotonic() + 20
            while not condition():
                if time.monotonic() > deadline:
                    sys.exit(f"not reached within 20 s: {description}")
                time.sleep(0.1)

        try:
            for name in PORTS:
                start(name)
            wait_until(
                lambda: all(status(name).get("number") == 1 for name in PORTS),
                "all dispatchers act on version 1",
            )
            weldhatch("rules", "status", "--pullqueue", config_files["g1"])
            config = json.loads(config_files["g2"].read_text())
            config["settings"]["limits"]["mostTries"] = 2
            config["settings"]["extra"]["spreadMost"] = [5, 0, 0]
            changed = folder / "changed.json"
            changed.write_text(json.dumps(config))
            weldhatch("rules", "diff", changed, "--pullqueue", config_files["g2"])
            weldhatch(
                "rules",
                "propose",
                changed,
                "--why",
                "fewer tries, wider spread",
                "--pullqueue",
                config_files["g2"],
            )
            leader = status("g1")["leader"]
            print(f"\nkilling the leader, {leader}", flush=True)
            processes[leader].kill()
            processes[leader].wait()
            remaining_voter = next(name for name in PORTS if name != leader)
            wait_until(
                lambda: status(remaining_voter).get("leader") not in ("", leader, None)
                and status(remaining_voter)["footing"] == "lease",
                "another dispatcher leads",
            )
            weldhatch(
                "rules", "undo", "--why", "it was not needed", "--pullqueue", config_files[remaining_voter]
            )
            start(leader)
            wait_until(
                lambda: status(leader).get("number") == 3, "the restarted dispatcher acts on version 3"
            )
            weldhatch("rules", "status", "--pullqueue", config_files[leader])
            weldhatch("rules", "history", "--pullqueue", config_files[leader])
        finally:
            for process in processes.values():
                process.terminate()
            for process in processes.values():
                process.wait()


if __name__ == "__main__":
    main()
