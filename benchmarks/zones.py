"""Leaving a hall that fails and returning to it: the fleet together, beside each dispatcher by itself.

    python -m benchmarks.zones [--quick] [--chart FILE.png]

Eight real processes of the platform's front over three halls, 60 stand-in servers, the same owners' work;
faults are thrown from outside, and all is told from what servers were handed and owners were answered. Ratios
hold, times are of this machine. The last line is one JSON object:

    evidence_to_left_s, _p50_s       from the fault until the last, and the middle, of those outside holds it
    first_to_last_s                  between the first and the last of them
    attempts_into_lost_zone          set-ups that servers got whom nobody hears any more, over those of before
    fell_over, joint_start_peak      servers overrun; starts by all over what a cold server bears in a window
    before_fell_over, before_peak    the same, each by itself
    return_over_ideal                from the fault's end until it serves whole, over the warming time
    goodput_during, before_goodput   tasks asked for in the six seconds after a fault that were placed
    false_leaves                     over scenarios that are no hall's failure
    writers_doubled, lost            runs of one writer that overlap; requests without any answer
    oscillations, virtual_peak       64 dispatchers over 1,000 servers on a virtual clock, over seeds
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import tempfile
import time
from pathlib import Path

import numpy as np

from weldhatch.testbed.servers import Pace, doubled
from weldhatch.testbed.simulated_zones import Realm
from weldhatch.testbed.zone_cluster import HALLS, HallsRig

LOST = "south"
ZONES: dict = {"quorum": 2}
PACE = Pace(cold=6, warm_s=6.0)
AWAY_S = 6.0  # the fault lasts so long, and what is asked for in it counts


@contextlib.asynccontextmanager
async def rig(fleet: bool, seed: int, **more: object):
    with tempfile.TemporaryDirectory(prefix="weldhatch-bench-") as folder:
        async with HallsRig(
            Path(folder), 8, agreement=fleet, zones=ZONES if fleet else None, seed=seed, pace=PACE, **more
        ) as one:
            one.work(0.005)
            one.work(0.02, "import")
            one.work(0.02, "writer")
            await asyncio.sleep(3.0)
            yield one


async def held_by_all(one: HallsRig, names: list[str], at: float) -> list[float]:
    """When each of them holds that the hall is left, in seconds after `at`."""

    async def holds(name: str) -> float:
        while True:
            with contextlib.suppress(OSError, LookupError):
                told = await one.ask(name, "rules/held", within=1.0)
                if told["zones"].get(LOST, {}).get("phase") in ("leaving", "left"):
                    return time.monotonic() - at
            await asyncio.sleep(0.01)

    async with asyncio.timeout(20):
        return list(await asyncio.gather(*map(holds, names)))


async def throw(one: HallsRig, kind: str) -> None:
    match kind:
        case "dead":
            one.drop_hall(LOST)
        case "power":
            await one.kill_hall(LOST)
        case "cut":
            one.cut_hall(LOST)
        case "one way":
            one.deafen_hall(LOST)
        case "mute":
            for server in one.world.of(LOST):
                for port in server.ports.values():
                    port.deaf = True


def lost(one: HallsRig, until_: float) -> int:
    """Requests that a dispatcher had taken and never answered, its connection being open all the time."""
    return sum(try_.came == "" and try_.at < until_ for ask in one.asks for try_ in ask.tries)


async def fall(kind: str, fleet: bool, seed: int) -> dict:
    """One hall fails, comes back cold with lists that say nothing of it, and is returned to."""
    async with rig(fleet, seed) as one:
        outside = one.outside(LOST)
        at = time.monotonic()
        await throw(one, kind)
        out: dict = {"kind": kind, "fleet": fleet}
        if fleet:
            held = await held_by_all(one, outside, at)
            out |= {"left_s": max(held), "held": held, "first_to_last_s": max(held) - min(held)}
        await asyncio.sleep(max(0.0, at + AWAY_S - time.monotonic()))
        out["attempts"] = len(
            [start for start in one.into(LOST, at, at + AWAY_S) if kind == "mute" or start.by in outside]
        )
        if kind == "power":
            await asyncio.gather(*(one.start(name) for name in one.inside(LOST)))
            one.down.difference_update(one.inside(LOST))
        back = time.monotonic()
        await one.heal_hall(LOST, cold=True)
        if fleet:
            out["return_s"] = await one.phase(LOST, "serving", 60) - back
        else:
            await asyncio.sleep(8.0)
        out["goodput"] = one.goodput(at, at + AWAY_S)
        out |= {
            "fell": len(one.fallen()),
            "peak": one.peak(),
            "lost": lost(one, time.monotonic() - 3.0),
            "doubled": len(doubled(one.world.starts, "writer")),
            "starts": [(start.at - at, start.hall) for start in one.world.starts],
        }
    return out


async def storm(fleet: bool, seed: int) -> dict:
    """The hall falls again at each step of its return; half of the dispatchers are killed in the last one."""
    async with rig(fleet, seed) as one:
        for _ in range(2):
            one.drop_hall(LOST)
            await asyncio.sleep(3.0)
            await one.heal_hall(LOST, cold=True)
            await asyncio.sleep(4.0)
        names = [name for name in one.nodes if name not in one.voters[:3]][:4]
        for name in names:
            await one.kill(name)
            one.down.add(name)
        if fleet:
            await one.phase(LOST, "serving", 90)
        else:
            await asyncio.sleep(8.0)
        return {
            "kind": "flaps, half killed",
            "fleet": fleet,
            "fell": len(one.fallen()),
            "peak": one.peak(),
            "doubled": len(doubled(one.world.starts, "writer")),
            "lost": lost(one, time.monotonic() - 3.0),
        }


async def calm(seed: int) -> dict:
    """No hall fails: one rack does, one in eight servers is slow or wrong, and one dispatcher is cut off."""
    async with rig(True, seed) as one:
        one.drop_hall("north", rack=1)
        for n, server in enumerate(one.world.of(LOST)[::8]):
            server.wrong, server.slow_s = ("error", 0.0) if n % 2 else ("", 0.8)
        one.buses["g7"].add(
            [
                {**one.target(server, one.hall("g7")), "endpoint": "127.0.0.1:9"}
                for server in one.world.servers.values()
            ]
        )
        one.down.add("g7")
        await asyncio.sleep(8.0)
        return {
            "false_leaves": sum(
                one_["phase"] == "leaving" and one_["place"] in HALLS for one_ in await one.history()
            )
        }


def realm(seed: int) -> tuple[int, float, float]:
    """Oscillations, peak, and seconds until the last has left, of 64 by 1,000 over four zones."""
    one = Realm(64, 1000, 4, 10, seed)
    for zone, fails, back in ((1, 3.0, 8.0), (2, 11.0, 16.0)):
        one.at(fails, lambda zone=zone: one.fail_zone(zone))
        one.at(back, lambda zone=zone: one.return_zone(zone))
    one.at(9.0 + seed % 5, one.kill_leader)
    one.run(30.0)
    late = max(
        max(at for (_, place), at in one.left_at.items() if place == name) - fails
        for name, fails in (("z1", 3.0), ("z2", 11.0))
    )
    return one.oscillations({"z1": 1, "z2": 1}), one.peak, late


def chart(plays: list[dict], path: str) -> None:
    """Starts a second by hall over time, before and with the fleet."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, len(plays), figsize=(6 * len(plays), 4), sharey=True, squeeze=False)
    for axis, play in zip(axes[0], plays, strict=True):
        for hall in HALLS:
            times = [at for at, name in play["starts"] if name == hall and -3 <= at <= 16]
            counts, edges = np.histogram(times, bins=np.arange(-3, 16.25, 0.25))
            axis.plot(edges[:-1], counts * 4, label=hall, drawstyle="steps-post")
        axis.axvspan(0, AWAY_S, color="#d9534f", alpha=0.1)
        axis.set_title(f"{play['kind']}: {'the fleet' if play['fleet'] else 'each by itself'}")
        axis.set_xlabel("seconds since the fault")
        axis.grid(alpha=0.3)
    axes[0][0].set_ylabel("starts a second that servers were handed")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


async def measure(quick: bool, path: str | None) -> dict:
    kinds = ("dead", "cut", "mute") if quick else ("dead", "power", "cut", "one way", "mute")
    rounds = 1 if quick else 2
    falls: dict[bool, list[dict]] = {True: [], False: []}
    for seed in range(rounds):
        for kind in kinds:
            for fleet in (False, True):
                one = await fall(kind, fleet, seed + 1)
                falls[fleet].append(one)
                print(
                    {
                        key: round(value, 3) if isinstance(value, float) else value
                        for key, value in one.items()
                        if key not in ("starts", "held")
                    },
                    flush=True,
                )
    storms = {fleet: await storm(fleet, 5) for fleet in (False, True)}
    print(storms, flush=True)
    quiet = [await calm(seed) for seed in range(rounds)]
    if path:
        chart([next(one for one in falls[fleet] if one["kind"] == "mute") for fleet in (False, True)], path)
    held = [at for one in falls[True] for at in one["held"]]
    seen = [
        (now, before)
        for now, before in zip(falls[True], falls[False], strict=True)
        if now["kind"] in ("mute", "one way")
    ]
    both = {fleet: [*falls[fleet], storms[fleet]] for fleet in (True, False)}
    return {
        "evidence_to_left_s": round(max(one["left_s"] for one in falls[True]), 2),
        "evidence_to_left_p50_s": round(float(np.median(held)), 2),
        "first_to_last_s": round(max(one["first_to_last_s"] for one in falls[True]), 2),
        "attempts_into_lost_zone": round(
            sum(now["attempts"] for now, _ in seen) / max(1, sum(before["attempts"] for _, before in seen)), 3
        ),
        "fell_over": sum(one["fell"] for one in both[True]),
        "before_fell_over": sum(one["fell"] for one in both[False]),
        "joint_start_peak": round(max(one["peak"] for one in both[True]), 2),
        "before_peak": round(max(one["peak"] for one in both[False]), 2),
        "return_over_ideal": round(
            float(np.median([one["return_s"] for one in falls[True]])) / PACE.warm_s, 2
        ),
        "goodput_during": round(min(one["goodput"] for one in falls[True]), 3),
        "before_goodput": round(min(one["goodput"] for one in falls[False]), 3),
        "false_leaves": sum(one["false_leaves"] for one in quiet),
        "writers_doubled": sum(one["doubled"] for one in both[True]),
        "lost": sum(one["lost"] for one in both[True]),
        "before_lost": sum(one["lost"] for one in both[False]),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--chart", metavar="FILE.png")
    told = parser.parse_args()
    with multiprocessing.Pool(4) as pool:
        virtual = pool.map(realm, range(4 if told.quick else 16), 1)
    print("64 by 1,000:", virtual, flush=True)
    out = asyncio.run(measure(told.quick, told.chart))
    out |= {
        "oscillations": sum(one[0] for one in virtual),
        "virtual_peak": round(max(one[1] for one in virtual), 2),
        "virtual_left_s": round(max(one[2] for one in virtual), 2),
        "virtual_runs": len(virtual),
    }
    print(json.dumps(out))


if __name__ == "__main__":
    main()
