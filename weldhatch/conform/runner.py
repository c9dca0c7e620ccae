"""Runs the conformance checks and reports which sentences of docs/pullqueue.md hold."""

from __future__ import annotations

import asyncio
import json
import traceback
from dataclasses import dataclass

import weldhatch.conform.session_checks  # registers its checks in CHECKS
import weldhatch.conform.task_checks  # noqa: F401 - registers its checks in CHECKS
from weldhatch.conform.suite import ANSWER_TIMEOUT_S, CHECKS, Bench, Check, Target


@dataclass(slots=True, frozen=True)
class Verdict:
    """Whether one numbered sentence holds.

    name: the name of its check. failure: what the check received instead of what it expects; empty if the
    sentence holds.
    """

    number: str
    name: str
    holds: bool
    failure: str = ""


async def run(target: Target, only: str = "") -> list[Verdict]:
    """Run the checks one after the other, in the order of their numbers.

    only: run only the checks whose number begins with this text.

    A check of several sentences runs once, and its verdict counts for each of them.
    """
    verdict_by_check: dict[Check, Verdict] = {}
    verdicts = []
    for number in sorted(CHECKS, key=lambda text: [int(part) for part in text.split(".")]):
        check = CHECKS[number]
        if not number.startswith(only):
            continue
        if check not in verdict_by_check:
            bench = Bench(target)
            try:
                await asyncio.wait_for(check(bench), 3 * ANSWER_TIMEOUT_S)
                verdict_by_check[check] = Verdict(number, check.__name__, True)
            except Exception as error:
                frame = traceback.extract_tb(error.__traceback__)[-1]
                failure = f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})"
                verdict_by_check[check] = Verdict(number, check.__name__, False, failure)
            finally:
                await bench.close()
        known = verdict_by_check[check]
        verdicts.append(Verdict(number, known.name, known.holds, known.failure))
    return verdicts


def report(verdicts: list[Verdict], as_json: bool) -> str:
    """Return the verdicts as JSON (schema weldhatch.conform/1) or as lines of text."""
    if as_json:
        return json.dumps(
            {
                "schema": "weldhatch.conform/1",
                "holds": sum(verdict.holds for verdict in verdicts),
                "checked": len(verdicts),
                "verdicts": [
                    {
                        "number": verdict.number,
                        "check": verdict.name,
                        "holds": verdict.holds,
                        "said": verdict.failure,
                    }
                    for verdict in verdicts
                ],
            }
        )
    lines = [
        f"{'holds' if verdict.holds else 'BROKEN':7} {verdict.number:5} {verdict.name.replace('_', ' ')}"
        + (f": {verdict.failure}" if verdict.failure else "")
        for verdict in verdicts
    ]
    return "\n".join(
        [*lines, f"{sum(verdict.holds for verdict in verdicts)} of {len(verdicts)} sentences hold"]
    )
