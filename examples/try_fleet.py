"""A change of a fleet of stand-in nodes, with a crash of the apply in the middle. Loopback only.

Plans `release.change`, starts to apply the plan, kills the apply half-way, shows the status, and resumes.
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
    fleet_config = folder / "fleet.toml"
    shutil.copy(HERE / "fleet.toml", fleet_config)
    shutil.copy(HERE / "release.change", folder)
    queue_config = folder / "pullqueue.toml"
    text = (HERE / "pullqueue.toml").read_text().replace("127.0.0.1:509", "127.0.0.1:519")
    queue_config.write_text(text.replace('states = ""', f'states = "{folder / "states"}"'))
    plan_file = folder / "release.change.plan"

    def weldhatch(*arguments, **run_options):
        print("$ weldhatch", *(argument.replace(f"{folder}/", "") for argument in arguments), flush=True)
        command = [sys.executable, "-m", "weldhatch", *arguments]
        return subprocess.run(command, cwd=HERE.parent, env=environment, **run_options).returncode

    processes = []
    try:
        for arguments in (
            ["weldhatch", "--pullqueue", str(queue_config)],
            ["weldhatch.testbed.server", str(fleet_config), "--ready"],
        ):
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", *arguments],
                    cwd=HERE.parent,
                    env=environment,
                    stdout=subprocess.PIPE,
                    stderr=subprocess.STDOUT,
                    text=True,
                )
            )
            while "listen" not in (line := processes[-1].stdout.readline()):
                if not line:
                    sys.exit("process ended before it listened")
        fleet_option = ["--fleet", str(fleet_config)]
        weldhatch("fleet", "show", *fleet_option)
        weldhatch(
            "fleet",
            "plan",
            str(folder / "release.change"),
            *fleet_option,
            "--chart",
            str(folder / "plan.png"),
        )
        command = [sys.executable, "-m", "weldhatch", "fleet", "apply", str(plan_file), *fleet_option]
        print("$ weldhatch fleet apply release.change.plan    (killed half-way)", flush=True)
        apply_process = subprocess.Popen(command, cwd=HERE.parent, env=environment)
        while apply_process.poll() is None and not partly_applied(fleet_option, environment):
            time.sleep(0.05)
        apply_process.send_signal(signal.SIGKILL)
        apply_process.wait()
        weldhatch("fleet", "status", *fleet_option)
        exit_code = weldhatch("fleet", "apply", str(plan_file), *fleet_option)
        weldhatch("fleet", "drift", *fleet_option)
        weldhatch("fleet", "history", *fleet_option)
        weldhatch("fleet", "show", *fleet_option)
        sys.exit(exit_code)
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()
        shutil.rmtree(folder)


def partly_applied(fleet_option, environment):
    """Return whether at least one step is done and at least one is not begun."""
    result = subprocess.run(
        [sys.executable, "-m", "weldhatch", "fleet", "status", "--json", *fleet_option],
        cwd=HERE.parent,
        env=environment,
        capture_output=True,
        text=True,
    )
    steps = json.loads(result.stdout or "{}").get("steps", [])
    return any(step["stand"] == "done" for step in steps) and any(step["stand"] == "todo" for step in steps)


if __name__ == "__main__":
    main()
