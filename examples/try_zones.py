"""Six dispatchers in three zones evacuate one that loses power, and restore it by steps. Loopback only.

    python3 examples/try_zones.py

Starts six processes of the program and twelve stand-in servers, injects the fault, and shows what an operator
sees: `weldhatch zones status` and `history`, and a chart of the whole run.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from weldhatch.testbed.servers import Pace
from weldhatch.testbed.zone_cluster import HallsRig


def print_heading(text):
    print(f"\n== {text}", flush=True)


async def weldhatch(*arguments):
    print("$ weldhatch", *arguments, flush=True)
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", "weldhatch", *arguments)
    await process.wait()


async def main():
    with tempfile.TemporaryDirectory(prefix="weldhatch-zones-") as folder:
        print_heading("six dispatchers in three zones, twelve servers, light load")
        async with HallsRig(
            Path(folder), 6, 4, racks=2, voters=3, zones={"quorum": 2}, pace=Pace(cold=6, warm_s=4.0)
        ) as cluster:
            cluster.work(0.02)
            cluster.work(0.1, "writer")
            await asyncio.sleep(3.0)
            control = ("--control", f"127.0.0.1:{cluster.nodes['g0'].desk}")
            await weldhatch("zones", "status", *control)

            print_heading("zone south loses power: its servers and dispatchers stop without notice")
            began_s = time.monotonic()
            await cluster.kill_hall("south")
            print(f"evacuation begins after {await cluster.phase('south', 'leaving') - began_s:.2f} s")
            left_after_s = await cluster.phase("south", "left") - began_s
            print(f"all dispatchers are known to apply the evacuation after {left_after_s:.2f} s")
            await weldhatch("zones", "status", *control)

            print_heading("power is back: the servers are cold, and no server list reports that")
            await asyncio.gather(*(cluster.start(name) for name in cluster.inside("south")))
            cluster.down.difference_update(cluster.inside("south"))
            began_s = time.monotonic()
            await cluster.heal_hall("south", cold=True)
            restored_after_s = await cluster.phase("south", "serving", 60) - began_s
            print(
                f"zone restored after {restored_after_s:.1f} s; highest start rate of a server: "
                f"{cluster.peak():.2f} of its capacity; {len(cluster.fallen())} servers failed under load"
            )
            await weldhatch("zones", "history", *control)
            chart = Path(tempfile.gettempdir()) / "weldhatch-zones.png"
            await weldhatch("zones", "report", str(chart), *control)
    print_heading("done")


asyncio.run(main())
