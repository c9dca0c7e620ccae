"""A whole change of a fleet on stand-in nodes, with one crash in the middle. Loopback only.

Plans `release.change`, begins to apply it, kills the apply half-way, asks how far it has come, and goes on.
"""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent


def main():
    folder = Path(tempfile.mkdtemp(prefix="weldhatch-fleet-"))
    environment = {**os.environ, "PYTHONPATH": str(HERE.parent)}
    environment.pop("PROXY_CONFIG", None)
    fleet = folder / "fleet.toml"
    shutil.copy(HERE / "fleet.toml", fleet)
    shutil.copy(HERE / "release.change", folder)
    queue = folder / "pullqueue.toml"
    text = (HERE / "pullqueue.toml").read_text().replace("127.0.0.1:509", "127.0.0.1:519")
    queue.write_text(text.replace('states = ""', f'states = "{folder / "states"}"'))
    plan = folder / "release.change.plan"

    def weldhatch(*words, **more):
        print("$ weldhatch", *(word.replace(f"{folder}/", "") for word in words), flush=True)
        command = [sys.executable, "-m", "weldhatch", *words]
        return subprocess.run(command, cwd=HERE.parent, env=environment, **more).returncode

    started = []
    try:
        for words in (
            ["weldhatch", "--pullqueue", str(queue)],
            ["weldhatch.testbed.server", str(fleet), "--ready"],
        ):
            started.append(
                subprocess.Popen(
                    [sys.executable, "-m", *words],
                    cwd=HERE.parent,
                    env=environment,
                    stdout=subprocess.PIPE,
                    stderr=subprocess.STDOUT,
                    text=True,
                )
            )
            while "listen" not in (line := started[-1].stdout.readline()):
                if not line:
                    sys.exit("it did not start")
        options = ["--fleet", str(fleet)]
        weldhatch("fleet", "show", *options)
        weldhatch(
            "fleet", "plan", str(folder / "release.change"), *options, "--chart", str(folder / "plan.png")
        )
        command = [sys.executable, "-m", "weldhatch", "fleet", "apply", str(plan), *options]
        print("$ weldhatch fleet apply release.change.plan    (killed half-way)", flush=True)
        applying = subprocess.Popen(command, cwd=HERE.parent, env=environment)
        while applying.poll() is None and not half_way(options, environment):
            time.sleep(0.05)
        applying.send_signal(signal.SIGKILL)
        applying.wait()
        weldhatch("fleet", "status", *options)
        code = weldhatch("fleet", "apply", str(plan), *options)
        weldhatch("fleet", "drift", *options)
        weldhatch("fleet", "history", *options)
        weldhatch("fleet", "show", *options)
        sys.exit(code)
    finally:
        for process in started:
            process.terminate()
        for process in started:
            process.wait()
        shutil.rmtree(folder)


def half_way(options, environment):
    """Is something done, and something not?"""
    told = subprocess.run(
        [sys.executable, "-m", "weldhatch", "fleet", "status", "--json", *options],
        cwd=HERE.parent,
        env=environment,
        capture_output=True,
        text=True,
    )
    steps = json.loads(told.stdout or "{}").get("steps", [])
    return any(step["stand"] == "done" for step in steps) and any(step["stand"] == "todo" for step in steps)


if __name__ == "__main__":
    main()
