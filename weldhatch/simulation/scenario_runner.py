"""Run one scenario: gateways, build machines and owners under the faults of a plan; then check it."""

from __future__ import annotations

import asyncio
import os
import shutil
import tempfile
from collections.abc import Iterable
from pathlib import Path
from random import Random

from weldhatch import config
from weldhatch.client.api import ApiError
from weldhatch.client.machine import BuildMachine, Lease, Outcome
from weldhatch.client.submitter import Submitter, Task
from weldhatch.cluster.front_controller import FrontController
from weldhatch.cluster.node import boot_clock
from weldhatch.pullqueue.front import PullQueue
from weldhatch.scheduling.policy import Policy
from weldhatch.simulation import faults, invariants, linearizability, zone_scenario
from weldhatch.simulation.api import SimApi
from weldhatch.simulation.faults import DRIFT, LEAP_S, Fault
from weldhatch.simulation.loop import Stalled
from weldhatch.simulation.operators import Operators
from weldhatch.simulation.result import Result
from weldhatch.simulation.scenarios import CALM_S, SETTINGS, Scenario, draw_plan
from weldhatch.simulation.world import World

STATED = 2.0
AGAIN_S = 0.3  # one that was killed at a point comes up again after so long
SHM = "/dev/shm"
SETTLE_S = 5.0  # after the last fault: longer than a lease, its grace and the time to be picked up again
SLOW_S = 0.15


class ScenarioRun:
    """Owns the world's processes: gateways g0.., machines m0.., owners o0.., and one operator."""

    def __init__(self, world: World, scenario: Scenario, plan: list[Fault]) -> None:
        self.world, self.scenario, self.plan = world, scenario, plan
        self.random = Random(world.random.getrandbits(64))
        self.names = [f"g{n}" for n in range(scenario.gateways)]
        self.voters = self.names[:3] if len(self.names) < 5 else self.names
        self.governors: dict[str, FrontController] = {}
        self.starts: list[invariants.Start] = []
        self.asked: list[invariants.Asked] = []
        self.older: set[str] = set()  # whose store came back as an older copy: the others may refuse them
        self.calls: list[tuple[str, str, linearizability.Call]] = []  # for `linearizability.broken`
        self.operators = Operators(
            world,
            self.random,
            self.names,
            scenario.machines,
            lambda name: self._endpoint(name, 2),
            self.calls,
        )
        self.revived = float("-inf")

    # ---- processes -------------------------------------------------------------------------------------

    def _endpoint(self, name: str, what: int) -> tuple[str, int]:
        return "127.0.0.1", 10_000 + 10 * int(name[1:]) + what

    def _tree(self, name: str) -> dict:
        folder = self.world.folder / name

        def at(name: str, what: int) -> str:
            return "{}:{}".format(*self._endpoint(name, what))

        tree = {
            "enabled": True,
            "listen": at(name, 0),
            "store": str(folder / "queue"),
            "timing": {"lease": 3.0, "grace": 0.2, "session": 6.0, "pickup": 1.0, "poll": 0.4, "settle": 0},
            "settings": SETTINGS,
        }
        if len(self.names) > 1:
            tree["agreement"] = {
                "name": name,
                "listen": at(name, 1),
                "control": at(name, 2),
                "store": str(folder / "agreement"),
                "voters": {one: at(one, 1) for one in self.voters},
                "invited": ["*"],
                "stated": STATED,
            }
        return tree

    def gateway(self, name: str) -> None:
        """As `serving.Running` does it, in a process of the play."""
        tree, world = self._tree(name), self.world
        pull = config.pull_queue_config(tree)

        def begin() -> None:
            policy = Policy(pull.settings, world.dice().getrandbits(64))
            front = PullQueue(pull, policy, world.say)
            if pull.agreement is not None:
                self.governors[name] = FrontController(
                    pull.agreement, tree["settings"], front, world.say, lambda: world.loop.now, None
                )

        world.start(name, begin)

    def machine(self, name: str) -> None:
        def begin() -> None:
            for gateway in self.names:

                async def run(lease: Lease, gateway: str = gateway) -> Outcome:
                    told = lease.payload
                    start = invariants.Start(
                        self.world.loop.now, gateway, name, told["class"], told["key"], told.get("idem") or ""
                    )
                    self.starts.append(start)
                    self.world.say(f"starts {told['class']} {told['key']} of {gateway}")
                    try:
                        await asyncio.sleep(self.random.uniform(*self.scenario.hold_s))
                    finally:
                        start.until = self.world.loop.now
                    return Outcome()

                properties = {
                    "cores": "400",
                    "memory": "400",
                    "rack": name,
                    "hall": "hall-a" if int(name[1:]) % 2 else "hall-b",
                }
                machine = BuildMachine(SimApi(self._endpoint(gateway, 0)), name, properties, run, poll_s=0.4)
                self.world.loop.create_task(machine.serve())

        self.world.start(name, begin)

    async def _ask(self, n: int, at: float) -> None:
        await asyncio.sleep(at)
        gateway = self.random.choice(self.names)
        for _ in range(3):
            answer = await self._submit(n, gateway)
            comes = answer == "unanswered" or (answer == "placed" and self.random.random() < 0.3)
            if not self.scenario.resubmits or not comes:
                return
            await asyncio.sleep(self.random.uniform(0.01, 0.8))

    async def _submit(self, n: int, gateway: str) -> str:
        """The n-th task of the play, asked for once; its answer."""
        class_name, key = ("lookup", "writer", "import")[n % 3], f"{n + 1:016x}"
        task = Task(
            class_name,
            key=key,
            cores=0.1,
            memory=0.1,
            service=n % 4,
            left_s=2.0,
            idem=f"i{n}" if class_name == "import" else "",
        )
        asked = invariants.Asked(self.world.loop.now, gateway, class_name, key)
        self.asked.append(asked)
        call = linearizability.Call(("submit", key), self.world.loop.now)
        if class_name == "writer":
            self.calls.append(("once", key, call))
        try:
            answer = await Submitter(SimApi(self._endpoint(gateway, 0))).submit(task)
            asked.answers.append(answer.answer)
        except ApiError as fault:  # 409: its task stands, or is being placed
            asked.answers.append("stands" if fault.code == 409 else "unanswered")
        asked.over = True
        if asked.answers[-1] != "unanswered":
            call.came, call.until = (asked.answers[-1],), self.world.loop.now
        self.world.say(f"{class_name} {key} at {gateway}: {asked.answers[-1]}")
        return asked.answers[-1]

    async def _twice(self, n: int, back: float) -> None:
        """Owners whose gateway was killed under standing tasks, and who come back with all their keys."""
        await asyncio.sleep(self.random.uniform(0.0, 0.3))
        await self._submit(n, "g0")
        await asyncio.sleep(max(0.0, back - self.world.loop.now) + self.random.uniform(0.0, 0.3))
        while await self._submit(n, "g0") == "unanswered" and self.world.loop.now < back + 3.0:
            await asyncio.sleep(0.1)

    # ---- faults ----------------------------------------------------------------------------------------

    async def _throw(self, fault: Fault) -> None:
        world, name = self.world, fault.who
        await asyncio.sleep(max(0.0, fault.at - world.loop.now))
        world.say(f"fault: {fault.kind} {name} {fault.other} for {fault.span} s")
        life, disk, copy = world.lives[name], world.disks[name], None
        cut = faults.ways(fault, [*world.lives])
        match fault.kind:
            case "kill":
                world.kill(name)
            case "stop":
                world.stop(name)
            case "slow disk":
                disk.slow_s = SLOW_S
            case "full disk":
                disk.full = True
            case "fast clock":
                life.run_at(world.loop.now, 1 + DRIFT)
            case "slow clock":
                life.run_at(world.loop.now, 1 - DRIFT)
            case "wall clock":
                life.ahead = LEAP_S
            case "older copy":
                copy = disk.copy("agreement")
        world.wires.cut(cut)
        await asyncio.sleep(fault.span)
        if copy is not None:
            world.kill(name)
            disk.set_back("agreement", copy)
            self.older.add(name)
        world.wires.heal(cut)
        disk.slow_s, disk.full = 0.0, False
        if fault.kind.endswith("clock"):  # of the process that is there now: the machine's clocks
            life = world.lives[name]
            life.ahead = 0.0
            life.run_at(world.loop.now, 1.0)
        self._mend(name)

    def _mend(self, name: str) -> None:
        self.world.wake(name)
        if not self.world.alive(name):
            self.gateway(name)

    async def _revive(self) -> None:
        """One that was killed at a point comes back, also where that was in its last turns."""
        name, _ = self.world.kill_at
        while self.world.alive(name):
            await asyncio.sleep(0.05)
        await asyncio.sleep(AGAIN_S)
        self.revived = self.world.loop.now
        self._mend(name)

    # ---- the whole -------------------------------------------------------------------------------------

    async def run(self) -> None:
        scenario, loop = self.scenario, self.world.loop
        for name in self.names:
            self.gateway(name)
        for n in range(scenario.machines):
            self.machine(f"m{n}")
        await asyncio.sleep(CALM_S)
        owners = self.world.start("o0", lambda: None)
        tasks = [
            self.world.spawn(
                owners,
                self._twice(n, self.plan[0].at + self.plan[0].span)
                if scenario.mass_resubmission and self.plan
                else self._ask(n, self.random.uniform(0.0, scenario.storm_s)),
            )
            for n in range(scenario.tasks)
        ]
        end = CALM_S + scenario.storm_s
        if scenario.operators and len(self.names) > 1:
            for n in range(2):
                self.world.spawn(self.world.start(f"x{n}", lambda: None), self.operators.operate(n, end))
        for fault in self.plan:
            loop.create_task(self._throw(fault))
        reviving = loop.create_task(self._revive()) if self.world.kill_at else None
        await asyncio.sleep(scenario.storm_s + max([0.0, *(one.at + one.span - end for one in self.plan)]))
        self.world.wires.heal(set(self.world.wires.cuts))
        for name in self.names:
            self._mend(name)
        await self._healed(scenario.heal_s)
        if reviving is not None:
            reviving.cancel()
            if loop.now - self.revived < scenario.heal_s:  # it was killed late, and needs as long to heal
                await self._healed(scenario.heal_s)
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise task.exception()

    async def _healed(self, most_s: float) -> None:
        """Until nothing runs, is asked for or differs any more, and every lease has had time to run out."""
        end = self.world.loop.now + most_s
        await asyncio.sleep(min(most_s, SETTLE_S))
        while self.world.loop.now < end and (
            any(start.until == float("inf") for start in self.starts)
            or not all(asked.over for asked in self.asked)
            or invariants.all_agree(self._digests())
        ):
            await asyncio.sleep(0.25)

    def _digests(self) -> dict[str, tuple[int, str, str]]:
        """What each holds, but for one that the others refuse, as its store is an older copy."""
        out = {}
        for name, one in self.governors.items():
            holder = one.node.lease_holder
            out[name] = self.world.inside(
                self.world.lives[name],
                lambda holder=holder: (
                    holder.state_machine.index,
                    holder.state_machine.digest,
                    holder.lease_status(boot_clock()).value,
                ),
            )
        return {name: told for name, told in out.items() if name not in self.older or told[2] == "lease"}

    def check(self) -> tuple[list[str], int]:
        """Return the invariants that do not hold, one text each, and how many were checked."""
        digests = self._digests()
        held = {name: self.governors[name].node.lease_holder for name in digests}
        looked = [
            invariants.one_answer(self.asked),
            invariants.placed_runs(self.asked, self.starts),
            invariants.refused_never_ran(self.asked, self.starts),
            invariants.writers_once(self.starts),
            invariants.keyed_stand_once(self.starts),
            invariants.drains_kept(self.starts, self.operators.drains, STATED),
            invariants.one_history({name: one.state_machine.versions.history for name, one in held.items()}),
            invariants.kept_versions(
                self.operators.proposed,
                {name: one.state_machine.versions.history for name, one in held.items()},
            ),
            invariants.nothing_stands(self.starts, self.world.loop.now),
            linearizability.broken(self.calls),
            [f"nobody caught: {text}" for text in self.world.faults],
            [f"{name} says: {text}" for _, name, text in self.world.lines if "Traceback" in text],
        ]
        if digests:
            looked.append(invariants.all_agree(digests))
        return [text for texts in looked for text in texts], len(looked)


def _scenario_run(
    world: World, scenario: Scenario, plan: list[Fault]
) -> ScenarioRun | zone_scenario.ZoneScenarioRun:
    if scenario.zones:
        return zone_scenario.ZoneScenarioRun(
            world, scenario.gateways, scenario.tasks, plan, scenario.storm_s, scenario.heal_s
        )
    return ScenarioRun(world, scenario, plan)


def run_scenario(
    seed: int, scenario: Scenario, plan: Iterable[Fault] | None = None, kill_at: tuple[str, int] | None = None
) -> Result:
    """Simulate a scenario once with one seed.

    `kill_at`: a process is killed at its n-th write to its disk or the wire, or after it.
    """
    chosen = draw_plan(seed, scenario) if plan is None else list(plan)
    # In memory where there is room for it: what a disk does is simulated, and a real one sets the pace of
    # many runs side by side (3.4 a second in place of 25).
    folder = Path(tempfile.mkdtemp(prefix="weldhatch-sim-", dir=SHM if os.access(SHM, os.W_OK) else None))
    try:
        with World(seed, folder) as world:
            world.kill_at = kill_at
            one, broken, looked = _scenario_run(world, scenario, chosen), [], 0
            try:
                world.loop.run_until_complete(one.run())
                broken, looked = one.check()
            except Stalled as fault:
                broken = [f"Stalled: {fault}"]
            answers: dict[str, int] = {}
            for asked in one.asked:
                for answer in [asked.came] if scenario.zones else asked.answers:
                    answers[answer] = answers.get(answer, 0) + 1
            return Result(
                seed,
                scenario.name,
                chosen,
                broken,
                world.digest,
                looked,
                len(one.starts),
                answers,
                sum(disk.works for disk in world.disks.values()),
                world.deliveries,
                kill_at,
                dict(world.points),
                world.lines,
            )
    finally:
        shutil.rmtree(folder, ignore_errors=True)
