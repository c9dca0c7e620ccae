"""The sites' storm in separate processes: tasks that cross while links are cut and gateways killed.

    python -m benchmarks.sites_processes [--quick]

Three sites, each a process of its own with its stores, a relay on every link; the second of two has most of
the machines. What is not placed is asked for again, under its key, at the same site: sites share no owners
(docs/sites.md). Judged by what the stand-in machines were handed. The last line is one JSON object:

    tasks, faults
    doubled         keys of keyed and unsafe tasks that ran twice at a time
    writers_twice   unsafe tasks that were started more than once at all
    tracebacks      in the gateways' logs
    placed, refused, failed, unanswered     last answers
    tasks_per_s
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from collections import Counter, defaultdict
from pathlib import Path
from random import Random

from weldhatch.client import Api, ApiError, Submitter, Task
from weldhatch.testbed.process_cluster import Rig, Start

CLASSES = ("lookup", "import", "writer")
TRIES = 3
AT_ONCE = 60
HOLD_S = 0.15


async def own(one: Rig, submitters: dict[str, Submitter], rnd: Random, n: int, counts: Counter) -> None:
    """One owner: asks, and where its task was not placed asks again."""
    class_name, key = CLASSES[n % 3], f"{n + 1:016x}"
    task = Task(
        class_name,
        key=key,
        service=1 + n % 5,
        left_s=1.5,
        cores=0.5,
        memory=0.5,
        idem=key if class_name == "import" else "",
    )
    last, site = "unanswered", rnd.choice(list(one.nodes))
    for _ in range(TRIES):
        try:
            last = (await submitters[site].submit(task)).answer
        except (ApiError, OSError):
            last = "unanswered"
        if last == "placed":
            break
        await asyncio.sleep(0.1 + 0.2 * rnd.random())
    counts[last] += 1


async def faults(one: Rig, rnd: Random, count: int, every: float) -> None:
    for n in range(count):
        name = rnd.choice(list(one.nodes))
        match n % 4:
            case 0 | 1:
                one.cut(name)
            case 2:
                one.stop(name)
            case 3:
                await one.kill(name)
        await asyncio.sleep(every)
        one.heal()
        if n % 4 == 2:
            one.wake(name)
        if n % 4 == 3:
            await one.start(name)


def doubled(starts: list[Start]) -> tuple[int, int]:
    """Keys that ran twice at a time, and unsafe ones that were started more than once."""
    by_key: dict[str, list[Start]] = defaultdict(list)
    for start in starts:
        if start.class_name != "lookup":
            by_key[start.key].append(start)
    together = sum(
        any(a is not b and a.at < b.until and b.at < a.until for a in ran for b in ran)
        for ran in by_key.values()
    )
    return together, sum(len(ran) > 1 and ran[0].class_name == "writer" for ran in by_key.values())


async def storm(tasks: int, count: int, seed: int) -> dict:
    rnd, counts = Random(seed), Counter()
    with tempfile.TemporaryDirectory(prefix="weldhatch-sites-") as folder:
        async with Rig(Path(folder), 3, agreement=False, kept=True, sites=True) as one:
            one.machine("m0", "r0", HOLD_S, at=["g0"])
            for n in range(1, 4):
                one.machine(f"m{n}", f"r{n}", HOLD_S, at=["g1"])
            apis = {
                name: Api(f"http://127.0.0.1:{node.queue}", at_once=AT_ONCE)
                for name, node in one.nodes.items()
            }
            submitters = {name: Submitter(api) for name, api in apis.items()}
            began, under_way = time.monotonic(), set()
            throwing = asyncio.create_task(faults(one, rnd, count, 0.3))
            for n in range(tasks):
                while len(under_way) >= AT_ONCE:
                    _, under_way = await asyncio.wait(under_way, return_when=asyncio.FIRST_COMPLETED)
                under_way.add(asyncio.create_task(own(one, submitters, rnd, n, counts)))
                if n % 1000 == 999:
                    print(f"{n + 1} tasks after {time.monotonic() - began:.0f} s: {dict(counts)}", flush=True)
            await asyncio.gather(*under_way)
            took = time.monotonic() - began
            await throwing
            for api in apis.values():
                api.close()
            together, twice = doubled(one.starts)
            log = "".join(node.logged() for node in one.nodes.values())
    return {
        "tasks": tasks,
        "faults": count,
        "doubled": together,
        "writers_twice": twice,
        "tracebacks": log.count("Traceback"),
        **counts,
        "tasks_per_s": round(tasks / took),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    print(json.dumps(asyncio.run(storm(1000 if quick else 10_000, 20 if quick else 200, 7))))


if __name__ == "__main__":
    main()
