"""Six dispatchers in three halls leave one that loses its power, and return to it by steps. All on loopback.

    python3 examples/try_zones.py

Starts six processes of the program and twelve stand-in servers, throws the fault, and shows what an operator
would see: `weldhatch zones status` and `history`, and a chart of the whole.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from weldhatch.testbed.servers import Pace
from weldhatch.testbed.zone_cluster import HallsRig


def say(text):
    print(f"\n== {text}", flush=True)


async def weldhatch(*words):
    print("$ weldhatch", *words, flush=True)
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", "weldhatch", *words)
    await process.wait()


async def main():
    with tempfile.TemporaryDirectory(prefix="weldhatch-zones-") as folder:
        say("six dispatchers in three halls, twelve servers, some work")
        async with HallsRig(
            Path(folder), 6, 4, racks=2, voters=3, zones={"quorum": 2}, pace=Pace(cold=6, warm_s=4.0)
        ) as rig:
            rig.work(0.02)
            rig.work(0.1, "writer")
            await asyncio.sleep(3.0)
            control = ("--control", f"127.0.0.1:{rig.nodes['g0'].desk}")
            await weldhatch("zones", "status", *control)

            say("the south loses its power: servers and dispatchers there are gone without a word")
            at = time.monotonic()
            await rig.kill_hall("south")
            print(f"it is left {await rig.phase('south', 'leaving') - at:.2f} s later")
            left = await rig.phase("south", "left") - at
            print(f"and all are known to hold that after {left:.2f} s")
            await weldhatch("zones", "status", *control)

            say("power is back: the servers are cold, and no list says so")
            await asyncio.gather(*(rig.start(name) for name in rig.inside("south")))
            rig.down.difference_update(rig.inside("south"))
            at = time.monotonic()
            await rig.heal_hall("south", cold=True)
            back = await rig.phase("south", "serving", 60) - at
            print(
                f"it serves whole {back:.1f} s later; the most that a server got was {rig.peak():.2f} of "
                f"what it bears; {len(rig.fallen())} fell"
            )
            await weldhatch("zones", "history", *control)
            chart = Path(tempfile.gettempdir()) / "weldhatch-zones.png"
            await weldhatch("zones", "report", str(chart), *control)
    say("done")


asyncio.run(main())
