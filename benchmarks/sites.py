"""Work between sites: rules under faults, added delay, healing, and what routing is worth.

    python -m benchmarks.sites [--quick]

All sites run in this process, with the real cores, modules, stores and links on loopback; machines are in
memory. Ratios hold, times are of this machine. The last line is one JSON object:

    doubled_starts, lost, several   keys that ran twice at a time; requests without an answer, or with more
    states_explored                 of the hand-over, every order of events at small sizes
    forward_added_ms                answer of a task that crosses, less that of one at home, by one-way delay
    heal_to_settled_s               from the moment that a cut link heals until nothing is in doubt
    placed_share                    of the same arrivals at too small a site: alone, static halves, routed
    codec                           bytes and microseconds (both ways) of one offer: MessagePack, JSON, CBOR
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path
from random import Random

import cbor2
import msgspec
import numpy as np

from weldhatch.sites import frames, messages
from weldhatch.sites.messages import Work
from weldhatch.sites.routing import KeepLocal
from weldhatch.testbed.handoff_model import Faults
from weldhatch.testbed.handoff_model_checker import explore
from weldhatch.testbed.multi_site import Region, settings

KINDS = (0, 1, 2)


def region(folder: str, seed: int, **more: object) -> Region:
    return Region(Path(folder), seed=seed, **more)


async def storm(tasks: int, faults: int, seed: int) -> dict:
    """Tasks at both sites, with cuts and deaths all the way; what was broken of the rules."""
    with tempfile.TemporaryDirectory() as folder:
        world, rnd = region(folder, seed, life_s=0.1), Random(seed)
        machines = {"a": 1, "b": 6}
        await world.start(machines)
        await world.up()
        wire = world.wires["a", "b"]
        every, heal_at, crossed = max(1, tasks // faults), None, 0
        for n in range(tasks):
            if n % every == every // 2:
                match rnd.randrange(4):
                    case 0 | 1:
                        wire.cut()
                    case 2:
                        wire.deaf = {rnd.choice(("to", "from"))}
                    case 3:
                        site = rnd.choice("ab")
                        crossed += world.now[site].sites.source.serial
                        world.kill(site)
                        world.begin(site, machines[site])
                heal_at = n + every // 3
            if n == heal_at:
                wire.heal()
                wire.cut()  # a connection that was deaf has lost bytes: it can't go on
                wire.heal()
            world.ask(rnd.choice(sorted(world.now)), rnd.choice(KINDS), left_s=0.8)
            if n % 4 == 0:
                await asyncio.sleep(0.01)
        wire.heal()
        healed = time.monotonic()
        await world.settled(60.0)
        counts = world.counts()
        crossed += sum(one.sites.source.serial for one in world.now.values())
        doubled = [key for key in world.tally.doubled if world.runs_once(key)]
        ended = sum(owner.ends == 1 for owner in world.owners if owner.answers == ["placed"])
        out = {
            "tasks": tasks,
            "faults": faults,
            "doubled_starts": len(doubled),
            "several": counts["several"],
            "lost": counts["none"] - world.died,
            "their_gateway_died": world.died,
            "placed": counts["placed"],
            "crossed": crossed,
            "refused": counts["refused"],
            "failed": counts["failed"],
            "ended_once": ended,
            "heal_to_settled_s": round(time.monotonic() - healed, 2),
        }
        await world.close()
        return out


async def added(tasks: int, delay_s: float) -> tuple[float, float]:
    """Milliseconds that crossing adds to an answer, at the median and the 99th percentile."""
    took = {}
    for machines in ({"a": 4, "b": 4}, {"a": 0, "b": 4}):
        with tempfile.TemporaryDirectory() as folder:
            world = region(folder, 1, life_s=0.05, told=settings(deadline_s=5.0))
            await world.start(machines)
            await world.up()
            world.wires["a", "b"].delay_s = delay_s
            await asyncio.sleep(2 * delay_s + 1.2)  # a beat tells the new delay
            for _ in range(tasks):
                await asyncio.wait_for(world.ask("a", 2, left_s=4.0).answered.wait(), 10)
            placed = [owner.took for owner in world.owners if owner.answers == ["placed"]]
            took[machines["a"]] = np.percentile(placed, [50, 99]) * 1000 if placed else (np.nan, np.nan)
            await world.close()
    return tuple(round(float(far - near), 2) for far, near in zip(took[0], took[4], strict=True))


async def heal(tasks: int) -> float:
    """Seconds until nothing is in doubt, after a cut that fell while writers were on their way."""
    with tempfile.TemporaryDirectory() as folder:
        world = region(folder, 3, life_s=0.2)
        await world.start({"a": 0, "b": 8})
        await world.up()
        world.now["b"].hall.look_s = 0.2
        for _ in range(tasks):
            world.ask("a", 2, left_s=1.0)
        await asyncio.sleep(0.1)
        world.wires["a", "b"].cut()
        await asyncio.gather(*(owner.answered.wait() for owner in world.owners))
        start = time.monotonic()
        world.wires["a", "b"].heal()
        await world.settled(30.0)
        await world.close()
        return round(time.monotonic() - start, 2)


async def placed_share(tasks: int, way: str) -> float:
    """The part placed of the same arrivals at a site with a third of the machines they need."""
    with tempfile.TemporaryDirectory() as folder:
        world = region(folder, 5, names=("a",) if way == "alone" else ("a", "b"), life_s=0.6)
        await world.start({"a": 2, "b": 8})
        if way != "alone":
            await world.up()
        if way == "halves":  # a rule without eyes: every second task goes over, and what is refused stays so
            for one in world.now.values():
                one.sites.choose = lambda *_: KeepLocal("halves")
        rnd = Random(7)
        for n in range(tasks):
            world.ask("b" if way == "halves" and n % 2 else "a", rnd.choice(KINDS), left_s=0.6)
            await asyncio.sleep(0.008)
        await asyncio.gather(*(owner.answered.wait() for owner in world.owners))
        share = world.counts()["placed"] / tasks
        await world.close()
        return round(share, 3)


def codec(rounds: int) -> dict:
    """One offer with all its fields, both ways."""
    work = Work(
        "memory-writer",
        "UNSAFE",
        0x7F3A9C21E0B4D655,
        0xB4D65521,
        2.0,
        3.0,
        "nordlys-soft",
        ("s" * 200, "b" * 400),
        1,
    )
    offer = messages.Offer((12, 34567), work, 4_000_000)
    out = {}
    kind = messages.Offer

    def as_cbor(word: messages.Offer) -> bytes:
        return cbor2.dumps(msgspec.to_builtins(word))

    def read_cbor(data: bytes) -> messages.Offer:
        return msgspec.convert(cbor2.loads(data), kind)

    for name, write, read in (
        ("msgpack", frames.encode_message, frames.decode_message),
        ("json", msgspec.json.encode, msgspec.json.Decoder(kind).decode),
        ("cbor", as_cbor, read_cbor),
    ):
        data = write(offer)
        start = time.perf_counter()
        for _ in range(rounds):
            assert read(write(offer)) == offer
        out[name] = {"bytes": len(data), "us": round((time.perf_counter() - start) / rounds * 1e6, 1)}
    return out


async def measure(quick: bool) -> dict:
    out = {"storm": await storm(1500 if quick else 10_000, 30 if quick else 200, 11)}
    print("storm:", out["storm"], flush=True)
    for key in ("doubled_starts", "lost", "several"):
        out[key] = out["storm"][key]
    out["forward_added_ms"] = {}
    for ms in (0, 5, 50):
        p50, p99 = await added(30 if quick else 200, ms / 1000)
        out["forward_added_ms"][str(ms)] = {"p50": p50, "p99": p99}
        print(f"one way {ms} ms: crossing adds {p50} ms at the median, {p99} ms at the 99th", flush=True)
    out["heal_to_settled_s"] = await heal(40)
    out["placed_share"] = {
        way: await placed_share(250 if quick else 1000, way) for way in ("alone", "halves", "routed")
    }
    print("placed:", out["placed_share"], flush=True)
    out["codec"] = codec(2000 if quick else 20_000)
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    out = asyncio.run(measure(quick))
    unsafe, safe = Work("c", "UNSAFE", 7, 1, 1.0, 1.0), Work("c", "SAFE", 7, 1, 1.0, 1.0)
    sizes = [((unsafe,), Faults(1, 1, 1, 1)), ((unsafe, unsafe), Faults(0, 0, 0, 0))]
    if not quick:
        sizes.append(((safe,), Faults(1, 1, 1, 1)))
    out["states_explored"] = sum(explore(asks, faults) for asks, faults in sizes)
    print(json.dumps(out))


if __name__ == "__main__":
    main()
