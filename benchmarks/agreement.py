"""The agreement on rules: contradictions under faults, activation, cost, beside each gateway by itself.

    python -m benchmarks.agreement [--quick]

Real processes of the program on loopback with a relay on every link (`testbed/process_cluster.py`); what they
did is told from what stand-in machines were handed. Ratios hold, times are of this machine. The last line is
one JSON object:

    processes, faults                      of the storm
    contradiction_most_ms, _stated_ms      the longest that one acted on rules that had been replaced
    contradiction_today_ms                 the same, where each gateway is told by itself
    numbers_with_two_values, versions_lost over the storm and the enumeration
    propose_to_active_ms                   by processes: p50 and p99, until everybody acts on it
    heal_to_agreed_s                       from a link's healing until its process holds all and has a lease
    answer_p99_ratio, cpu_ratio            a gateway with the agreement over one without
    bytes_per_s_per_peer                   the leader of 16, before what the link adds
    states_explored, runs                  of the enumeration on a virtual clock: all single faults, and pairs
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import multiprocessing
import os
import tempfile
import time
from pathlib import Path
from random import Random

import numpy as np

from weldhatch.testbed import rule_conflict_checker
from weldhatch.testbed.process_cluster import Rig, settings, until
from weldhatch.testbed.simulated_cluster import KINDS, Contradiction, scenario

STATED = 2.0
TICKS = os.sysconf("SC_CLK_TCK")


@contextlib.asynccontextmanager
async def rig(count: int, **more: object):
    with tempfile.TemporaryDirectory(prefix="weldhatch-bench-") as folder:
        async with Rig(Path(folder), count, stated=STATED, **more) as one:
            yield one


def fault(one: Rig, rnd: Random, name: str) -> str:
    """Throw one at a process."""
    kind = rnd.choice(("cut", "deafen", "stop", "kill", "delay"))
    match kind:
        case "cut":
            one.cut(name)
        case "deafen":
            one.deafen(name)
        case "stop":
            one.stop(name)
        case "kill":
            one.nodes[name].send(9)
        case "delay":
            one.delay(0.05, 0.05)
    return kind


async def mend(one: Rig, kind: str, name: str) -> None:
    one.heal()
    one.delay(0.0)
    if kind == "stop":
        one.wake(name)
    if kind == "kill":
        await one.nodes[name].process.wait()
        await one.start(name)


async def storm(processes: int, rounds: int, seed: int) -> dict:
    """Each round: a fault at one or two processes, then a drain or a lower limit, then all is mended."""
    rnd, most, numbers = Random(seed), 0.0, {}
    async with rig(processes) as one:
        for n in range(3):
            one.machine(f"m{n}", f"r{n}", 0.25)
        counts = one.load(0.06)
        await until(lambda: len(one.starts) > 100, 20, "work")
        for n in range(rounds):
            hit = rnd.sample(list(one.nodes), 1 + n % 2)
            kinds = [fault(one, rnd, name) for name in hit]
            healthy = [name for name in one.voters if name not in hit] or [rnd.choice(one.voters)]
            await asyncio.sleep(rnd.random() * 0.3)
            machine = one.busiest(time.monotonic() - 3.0)
            limit = rule_conflict_checker.Limit("machine", 1)
            try:
                if n % 3:
                    await one.word(rnd.choice(healthy), machine, "draining", 2 * n + 1)
                else:
                    numbers[n] = await one.propose(rnd.choice(healthy), settings(extra__spreadMost=[1, 0, 0]))
            except (LookupError, OSError):  # a majority was out of reach: nothing was agreed
                await asyncio.gather(*(mend(one, kind, name) for kind, name in zip(kinds, hit, strict=True)))
                continue
            at = time.monotonic()
            await asyncio.sleep(0.5 + 2.0 * rnd.random())
            await asyncio.gather(*(mend(one, kind, name) for kind, name in zip(kinds, hit, strict=True)))
            await asyncio.gather(*(one.footing(name, "lease") for name in one.nodes))
            spans = (
                rule_conflict_checker.drained(one.starts, machine, at)
                if n % 3
                else rule_conflict_checker.beyond(one.starts, limit, at)
            )
            most = max(most, rule_conflict_checker.last(spans))
            leader = await one.leader()
            if n % 3:
                await one.word(leader, machine, "ready", 2 * n + 2)
            else:
                await one.active(leader, await one.propose(leader, settings()))
            print(
                f"round {n}: {', '.join(f'{k} {name}' for k, name in zip(kinds, hit, strict=True))}; "
                f"last start against it after {1000 * rule_conflict_checker.last(spans):.0f} ms",
                flush=True,
            )

        async def one_state() -> bool:
            return len({(await one.held(name))["digest"] for name in one.nodes}) == 1

        try:
            agreed = bool(await until(one_state, 10, "one state"))
        except TimeoutError:
            agreed = False
        history = [await one.ask(name, "rules/history") for name in one.nodes]
        values = {}
        for told in history:
            for entry in told["history"]:
                values.setdefault((entry["number"], entry["came"]), set()).add(
                    json.dumps(entry, sort_keys=True)
                )
        active = {number for (number, came) in values if came == "active"}
        return {
            "contradiction_most_ms": round(1000 * most),
            "counts": counts,
            "numbers_with_two_values": sum(len(texts) > 1 for texts in values.values()),
            "versions_lost": sum(
                number not in active for number in numbers.values() if (number, "dropped") not in values
            ),
            "one_state": agreed,
        }


async def today(stopped_s: float) -> float:
    """Each gateway by itself, told one after the other; one of them is stopped meanwhile. Milliseconds."""
    async with rig(5, agreement=False) as one:
        for n in range(3):
            one.machine(f"m{n}", f"r{n}", 0.25)
        one.load(0.06)
        await until(lambda: len(one.starts) > 100, 20, "work")
        machine = one.busiest(gateway="g4")  # one that g4 uses: else nobody could see what it goes on with
        one.stop("g4")
        await one.word("g0", machine, "draining", 1)
        at = time.monotonic()
        for name in ("g1", "g2", "g3"):
            await one.word(name, machine, "draining", 1)
        await asyncio.sleep(stopped_s)
        one.wake("g4")
        await asyncio.sleep(0.3)  # until the operator sees that it is back
        await one.word("g4", machine, "draining", 1)
        await asyncio.sleep(0.5)
        return round(
            1000 * rule_conflict_checker.last(rule_conflict_checker.drained(one.starts, machine, at))
        )


async def activation(processes: int, rounds: int) -> tuple[dict, float]:
    """From the proposal until everybody acts on it, in ms; and the leader's bytes a second and peer."""
    spans = []
    async with rig(processes) as one:
        for n in range(rounds):
            at = list(one.nodes)[n % processes]
            tree = settings(limits__mostTries=1 + n % 4, extra__spreadMost=[9 + n, 0, 0])
            began = time.monotonic()
            number = await one.propose(at, tree)

            async def acts(name: str, number: int = number) -> None:
                while (await one.held(name))["number"] < number:
                    await asyncio.sleep(0.002)

            await asyncio.gather(*map(acts, one.nodes))
            spans.append(1000 * (time.monotonic() - began))
        leader = await one.leader()
        before, began = (await one.held(leader))["bytes_sent"], time.monotonic()
        await asyncio.sleep(3.0)
        rate = ((await one.held(leader))["bytes_sent"] - before) / (time.monotonic() - began)
    return {
        "p50": round(float(np.percentile(spans, 50)), 1),
        "p99": round(float(np.percentile(spans, 99)), 1),
    }, rate / (processes - 1)


async def heal(rounds: int) -> float:
    """The median over some healings."""
    spans = []
    async with rig(5) as one:
        for n in range(rounds):
            one.cut("g4")
            await one.footing("g4", "nothing new")
            number = await one.propose("g0", settings(limits__mostTries=1 + n % 3))
            await one.active("g0", number)
            one.heal()
            began = time.monotonic()
            await one.active("g4", number)
            await one.footing("g4", "lease")
            spans.append(time.monotonic() - began)
    return round(float(np.median(spans)), 2)


def cpu_s(one: Rig) -> float:
    """CPU of all processes so far."""
    out = 0.0
    for node in one.nodes.values():
        fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
        out += (int(fields[11]) + int(fields[12])) / TICKS
    return out


async def cost(rounds: int, block_s: float) -> dict:
    """The same load by turns on gateways with and without the agreement; who is first changes each time."""
    cpu, done, took = {True: 0.0, False: 0.0}, {True: 0, False: 0}, {True: [], False: []}
    async with rig(3) as on, rig(3, agreement=False) as off:
        for one in (on, off):
            for n in range(2):
                one.machine(f"m{n}", f"r{n}", 0.1)
        for n in range(rounds):
            for with_it, one in ((True, on), (False, off))[:: 1 if n % 2 else -1]:
                one.latencies.clear()
                before = cpu_s(one)
                loading = one.load(0.02)
                await asyncio.sleep(block_s)
                one.unload()
                if n:  # the first round warms up
                    cpu[with_it] += cpu_s(one) - before
                    done[with_it] += sum(loading.values())
                    took[with_it] += one.latencies
                await asyncio.sleep(0.3)
    each = {key: cpu[key] / max(1, done[key]) for key in cpu}
    p99 = {key: float(np.percentile(spans, 99)) for key, spans in took.items()}
    return {
        "cpu_ratio": round(each[True] / each[False], 3),
        "cpu_ms_a_task": round(1000 * each[True], 2),
        "answer_p99_ratio": round(p99[True] / p99[False], 3),
        "answer_p99_ms": round(1000 * p99[True], 1),
    }


def one_run(faults: list[tuple[int, str, str]]) -> tuple[set[int], str, float]:
    try:
        done = scenario(faults)
    except Contradiction as broken:
        return set(), f"{faults}: {broken}", 0.0
    return done.states, "", done.contradicted_s


def enumerate_faults(quick: bool) -> dict:
    """Every single fault at every moment; every pair at fewer. A store set back at most once a run."""
    names, moments = ("n0", "n1", "n2"), range(66, 240, 3 if quick else 1)
    runs = [[one] for one in itertools.product(moments, KINDS, names)]
    few = range(76, 100, 12) if quick else range(72, 112, 13)
    pairs = itertools.combinations(itertools.product(few, KINDS, names), 2)
    runs += [list(pair) for pair in pairs if sum(kind == "older" for _, kind, _ in pair) < 2]
    states, broken, most = set(), [], 0.0
    with multiprocessing.Pool() as pool:
        for seen, fault, span in pool.imap_unordered(one_run, runs, 16):
            states |= seen
            broken += [fault] if fault else []
            most = max(most, span)
    return {
        "runs": len(runs),
        "states_explored": len(states),
        "broken": broken[:5],
        "virtual_contradiction_most_ms": round(1000 * most),
    }


async def measure(quick: bool) -> dict:
    rounds = 6 if quick else 60
    out = {
        "processes": 7,
        "faults": sum(1 + n % 2 for n in range(rounds)),
        "contradiction_stated_ms": round(1000 * STATED),
    }
    out |= await storm(7, rounds, 3)
    out["contradiction_today_ms"] = await today(3.0 if quick else 10.0)
    print("told one by one:", out["contradiction_today_ms"], "ms", flush=True)
    out["propose_to_active_ms"] = {}
    for processes in (3, 7, 16):
        told, rate = await activation(processes, 10 if quick else 60)
        out["propose_to_active_ms"][str(processes)] = told
        out["bytes_per_s_per_peer"] = round(rate)
        print(f"{processes} processes: {told} ms, {rate:.0f} bytes/s a peer", flush=True)
    out["heal_to_agreed_s"] = await heal(2 if quick else 8)
    out |= await cost(6 if quick else 21, 2.0)
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    explored = enumerate_faults(quick)
    print("enumerated:", explored, flush=True)
    out = asyncio.run(measure(quick))
    out |= explored
    out["numbers_with_two_values"] += len(explored["broken"])
    print(json.dumps(out))


if __name__ == "__main__":
    main()
