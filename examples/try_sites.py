"""Two sites, one without machines: tasks are handed off, the link is cut meanwhile, and no task runs twice.

Site hall-a has a submitter and no machine; site hall-b has one machine. Site hall-a connects to hall-b
through a proxy that can cut the link. Loopback only.
"""

import asyncio
import os
import random
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent))

from weldhatch.client import Api, BuildMachine, Outcome, Submitter, Task  # noqa: E402
from weldhatch.testbed.fault_proxy import Wire  # noqa: E402

# Ports of the queues; the next two ports are the control address and the address for other sites.
PORTS = {"hall-a": 5290, "hall-b": 5390}
MACHINE = {"cores": "16", "memory": "64", "hall": "hall-b", "rack": "r1"}


def write_config(folder, name, peer, endpoint):
    port = PORTS[name]
    text = (HERE / "pullqueue.toml").read_text().replace("127.0.0.1:5090", f"127.0.0.1:{port}")
    text = text.replace("127.0.0.1:5091", f"127.0.0.1:{port + 1}").replace("settle = 3.5", "settle = 0")
    text = text.replace('store = ""', f'store = "{folder / name}-queue"')
    text += (
        f'\n[sites]\nname = "{name}"\nlisten = "127.0.0.1:{port + 2}"\nstore = "{folder / name}-sites"\n'
        f'[sites.peers]\n{peer} = "{endpoint}"\n'
    )
    path = folder / f"{name}.toml"
    path.write_text(text)
    return path


async def weldhatch(*arguments, wait=True):
    """Run the program; return its exit code, or the process once it listens where `wait` is off."""
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "weldhatch",
        *map(str, arguments),
        cwd=HERE.parent,
        env=environment,
        stderr=None if wait else asyncio.subprocess.PIPE,
    )
    if wait:
        return await process.wait()
    while b"listens" not in (line := await process.stderr.readline()):
        if not line:
            sys.exit("dispatcher ended before it listened")
    asyncio.get_running_loop().create_task(process.stderr.read())
    return process


async def main():
    folder, processes, start_counts = Path(tempfile.mkdtemp(prefix="weldhatch-sites-")), [], Counter()
    wire = Wire(random.Random(1))
    host, port = await wire.start()
    wire.aim(("127.0.0.1", PORTS["hall-b"] + 2))
    config_a = write_config(folder, "hall-a", "hall-b", f"{host}:{port}")
    config_b = write_config(folder, "hall-b", "hall-a", f"127.0.0.1:{PORTS['hall-a'] + 2}")

    async def run(lease):
        start_counts[lease.payload["key"]] += 1
        await asyncio.sleep(0.3)
        return Outcome()

    machine_task = None
    try:
        for config in (config_b, config_a):
            processes.append(await weldhatch("--pullqueue", config, wait=False))
        async with (
            Api(f"http://127.0.0.1:{PORTS['hall-b']}") as api_b,
            Api(f"http://127.0.0.1:{PORTS['hall-a']}") as api_a,
        ):
            machine_task = asyncio.create_task(BuildMachine(api_b, "builder-1", MACHINE, run).serve())
            await asyncio.sleep(1.5)  # until hall-b knows the machine and has reported its capacity to hall-a

            async def submit(n):
                task = Task("memory-writer", key=f"{n:x}", blob="hello", cores=1, memory=2)
                return (await Submitter(api_a).submit(task)).answer

            print("answers, one task at a time:", Counter([await submit(n) for n in range(1, 6)]), flush=True)
            await weldhatch("sites", "status", "--pullqueue", config_a)
            print("cutting the link while ten more tasks are submitted", flush=True)
            submissions = [asyncio.create_task(submit(n)) for n in range(16, 26)]
            await asyncio.sleep(0.02)
            wire.cut()
            print("answers during the cut:", Counter(await asyncio.gather(*submissions)), flush=True)
            await weldhatch("sites", "status", "--pullqueue", config_a)
            wire.heal()
            for _ in range(60):
                await asyncio.sleep(0.5)
                if not await weldhatch("sites", "status", "--json", "--pullqueue", config_a):
                    break
            await weldhatch("sites", "status", "--pullqueue", config_a)
            print("each task started at most once:", max(start_counts.values()) == 1, flush=True)
            sys.exit(0 if max(start_counts.values()) == 1 else 1)
    finally:
        if machine_task is not None:
            machine_task.cancel()
            await asyncio.gather(machine_task, return_exceptions=True)
        for process in processes:
            process.terminate()
            await process.wait()
        wire.close()
        shutil.rmtree(folder)


if __name__ == "__main__":
    asyncio.run(main())
