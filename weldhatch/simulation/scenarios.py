"""The scenarios that can be simulated: their sizes, and the faults that a seed draws for each."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from weldhatch.simulation import faults, zone_scenario
from weldhatch.simulation.faults import Fault
from weldhatch.testbed.sample_settings import PLAIN
from weldhatch.testbed.zone_cluster import HALLS

CALM_S = 1.5  # no fault begins before that
HOLD_S = (0.1, 1.2)  # for how long a task runs, from and to
SETTINGS: dict[str, Any] = {**PLAIN, "limits": {**PLAIN["limits"], "mostTries": 3}}


@dataclass(slots=True, frozen=True)
class Scenario:
    """Hold the sizes of a simulation run; its faults come from the seed, or are given."""

    name: str = "mixed"
    gateways: int = 3
    machines: int = 3
    tasks: int = 24  # of zones: a second
    faults_most: int = 6
    storm_s: float = 9.0  # things break for so long
    heal_s: float = 12.0  # and then all is well again
    resubmits: bool = False  # owners come again with the same key: unanswered, or while the task stands
    operators: bool = True  # operators drain machines and propose versions meanwhile
    hold_s: tuple[float, float] = HOLD_S
    kinds: tuple[str, ...] = tuple(faults.KINDS)  # of faults
    copies: bool = False  # a voter comes back with an older copy, and who could tell is not there
    zones: bool = False  # the platform's front over three zones (`simulation.zone_scenario`)
    # All tasks are submitted at once, the gateway is killed, and all are submitted again.
    mass_resubmission: bool = False


SCENARIOS = {
    one.name: one
    for one in (
        Scenario(),
        Scenario("five", gateways=5, machines=4, tasks=30, faults_most=8),
        Scenario("queue", gateways=1, machines=3, tasks=30, operators=False),
        Scenario("again", gateways=1, machines=3, tasks=30, operators=False, resubmits=True),
        Scenario(
            "clocks",
            gateways=1,
            machines=3,
            tasks=60,
            faults_most=10,
            operators=False,
            resubmits=True,
            hold_s=(0.8, 2.5),
            kinds=("wall clock", "fast clock", "slow clock"),
        ),
        Scenario("copies", storm_s=8.0, copies=True),
        Scenario("halls", gateways=5, tasks=60, faults_most=2, storm_s=9.0, heal_s=40.0, zones=True),
        Scenario(
            "morning",
            gateways=1,
            machines=3,
            tasks=30,
            faults_most=1,
            storm_s=5.0,
            heal_s=16.0,
            operators=False,
            hold_s=(9.0, 13.0),
            mass_resubmission=True,
        ),
        Scenario("short", machines=2, tasks=6, faults_most=0, storm_s=1.5, heal_s=10.0, resubmits=True),
        Scenario(
            "alone",
            gateways=1,
            machines=2,
            tasks=9,
            faults_most=0,
            storm_s=1.5,
            heal_s=10.0,
            operators=False,
            resubmits=True,
        ),
        Scenario("calm", faults_most=0),
    )
}


def draw_plan(seed: int, scenario: Scenario) -> list[Fault]:
    """Draw the faults that a seed brings, in the order in which they begin."""
    if not scenario.faults_most:
        return []
    names = [f"g{n}" for n in range(scenario.gateways)]
    if scenario.zones:
        return zone_scenario.draw(seed, scenario.gateways, scenario.faults_most)
    random = Random(f"plan {seed}")
    if scenario.copies:
        away, older, leads = random.sample(names, 3)
        return [
            Fault(round(random.uniform(1.8, 2.2), 4), "kill", away, 3.2),
            Fault(round(random.uniform(2.3, 2.8), 4), "older copy", older, 2.6),
            Fault(round(random.uniform(4.6, 5.1), 4), "kill", leads, 4.0),
        ]
    if scenario.mass_resubmission:
        return [
            Fault(
                round(CALM_S + random.uniform(0.2, 3.0), 4), "kill", "g0", round(random.uniform(0.01, 0.6), 4)
            )
        ]
    return faults.draw(random, names, CALM_S, CALM_S + scenario.storm_s, scenario.faults_most, scenario.kinds)


def unplayable_reason(plan: list[Fault], scenario: Scenario) -> str:
    """Say which fault of a plan a scenario can't simulate, by its number; '' where it can simulate all."""
    kinds = faults.HALL_KINDS if scenario.zones else tuple(faults.KINDS)
    gateways = [f"g{n}" for n in range(scenario.gateways)]
    for n, fault in enumerate(plan, 1):
        names = HALLS if fault.kind.startswith("hall") else gateways
        if fault.kind not in kinds:
            return f"fault {n}: {fault.kind!r} is not played in {scenario.name}, only {', '.join(kinds)}"
        if fault.who not in names or (fault.kind == "pair" and fault.other not in names):
            given = f"{fault.who!r} {fault.other!r}".removesuffix(" ''")
            return f"fault {n}: {fault.kind} is of one of {', '.join(names)}, not {given}"
    return ""
