"""Runs the checks and reports which sentences hold."""

from __future__ import annotations

import asyncio
import json
import traceback
from dataclasses import dataclass

import weldhatch.conform.session_checks  # it fills CHECKS
import weldhatch.conform.task_checks  # noqa: F401 - it fills CHECKS
from weldhatch.conform.suite import CHECKS, LONG_S, Bench, Check, Target


@dataclass(slots=True, frozen=True)
class Verdict:
    """Whether one numbered sentence holds, the check's name, and what was received where it does not."""

    number: str
    name: str
    holds: bool
    said: str = ""


async def run(target: Target, only: str = "") -> list[Verdict]:
    """Run all checks in the order of their numbers, one after the other.

    only: run those whose number begins so.
    """
    out: dict[Check, Verdict] = {}
    verdicts = []
    for number in sorted(CHECKS, key=lambda one: [int(part) for part in one.split(".")]):
        check = CHECKS[number]
        if not number.startswith(only):
            continue
        if check not in out:
            bench = Bench(target)
            try:
                await asyncio.wait_for(check(bench), 3 * LONG_S)
                out[check] = Verdict(number, check.__name__, True)
            except Exception as fault:
                place = traceback.extract_tb(fault.__traceback__)[-1]
                said = f"{type(fault).__name__}: {fault} ({place.name}, line {place.lineno})"
                out[check] = Verdict(number, check.__name__, False, said)
            finally:
                await bench.close()
        known = out[check]
        verdicts.append(Verdict(number, known.name, known.holds, known.said))
    return verdicts


def report(verdicts: list[Verdict], as_json: bool) -> str:
    """Return the verdicts as JSON (schema weldhatch.conform/1) or as lines for people."""
    if as_json:
        return json.dumps(
            {
                "schema": "weldhatch.conform/1",
                "holds": sum(one.holds for one in verdicts),
                "checked": len(verdicts),
                "verdicts": [
                    {"number": one.number, "check": one.name, "holds": one.holds, "said": one.said}
                    for one in verdicts
                ],
            }
        )
    lines = [
        f"{'holds' if one.holds else 'BROKEN':7} {one.number:5} {one.name.replace('_', ' ')}"
        + (f": {one.said}" if one.said else "")
        for one in verdicts
    ]
    return "\n".join([*lines, f"{sum(one.holds for one in verdicts)} of {len(verdicts)} sentences hold"])
