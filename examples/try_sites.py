"""Two sites, one without machines: tasks cross, the link is cut under them, and nothing runs twice.

Site hall-a has a submitter and no machine; site hall-b has one machine. Between them is a wire of the
stand-ins that can be cut. Loopback only.
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

PORTS = {"hall-a": 5290, "hall-b": 5390}  # the queue; its control address and its sites' are the next two
MACHINE = {"cores": "16", "memory": "64", "hall": "hall-b", "rack": "r1"}


def write(folder, name, peer, endpoint):
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


async def weldhatch(*words, wait=True):
    """Run the program; its exit code, or the process once it serves."""
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "weldhatch",
        *map(str, words),
        cwd=HERE.parent,
        env=environment,
        stderr=None if wait else asyncio.subprocess.PIPE,
    )
    if wait:
        return await process.wait()
    while b"listens" not in (line := await process.stderr.readline()):
        if not line:
            sys.exit("it did not start")
    asyncio.get_running_loop().create_task(process.stderr.read())
    return process


async def main():
    folder, started, starts = Path(tempfile.mkdtemp(prefix="weldhatch-sites-")), [], Counter()
    wire = Wire(random.Random(1))
    host, port = await wire.start()
    wire.aim(("127.0.0.1", PORTS["hall-b"] + 2))
    a = write(folder, "hall-a", "hall-b", f"{host}:{port}")
    b = write(folder, "hall-b", "hall-a", f"127.0.0.1:{PORTS['hall-a'] + 2}")

    async def run(lease):
        starts[lease.payload["key"]] += 1
        await asyncio.sleep(0.3)
        return Outcome()

    working = None
    try:
        for file in (b, a):
            started.append(await weldhatch("--pullqueue", file, wait=False))
        async with (
            Api(f"http://127.0.0.1:{PORTS['hall-b']}") as there,
            Api(f"http://127.0.0.1:{PORTS['hall-a']}") as here,
        ):
            working = asyncio.create_task(BuildMachine(there, "builder-1", MACHINE, run).serve())
            await asyncio.sleep(1.5)  # the machine is known, and its site has told of the room

            async def submit(n):
                task = Task("memory-writer", key=f"{n:x}", blob="hello", cores=1, memory=2)
                return (await Submitter(here).submit(task)).answer

            print("one after the other:", Counter([await submit(n) for n in range(1, 6)]), flush=True)
            await weldhatch("sites", "status", "--pullqueue", a)
            print("now the link is cut while ten more are on their way", flush=True)
            asked = [asyncio.create_task(submit(n)) for n in range(16, 26)]
            await asyncio.sleep(0.02)
            wire.cut()
            print("under the cut:", Counter(await asyncio.gather(*asked)), flush=True)
            await weldhatch("sites", "status", "--pullqueue", a)
            wire.heal()
            for _ in range(60):
                await asyncio.sleep(0.5)
                if not await weldhatch("sites", "status", "--json", "--pullqueue", a):
                    break
            await weldhatch("sites", "status", "--pullqueue", a)
            print("started at most once each:", max(starts.values()) == 1, flush=True)
            sys.exit(0 if max(starts.values()) == 1 else 1)
    finally:
        if working is not None:
            working.cancel()
            await asyncio.gather(working, return_exceptions=True)
        for process in started:
            process.terminate()
            await process.wait()
        wire.close()
        shutil.rmtree(folder)


if __name__ == "__main__":
    asyncio.run(main())
