"""Plans and applies settings of a running gateway, with the refusals and the journal of a fleet change."""

from __future__ import annotations

import json
from pathlib import Path

from weldhatch import config
from weldhatch.applying.journal import format_time
from weldhatch.applying.runner import Exit, Result
from weldhatch.planning.moved import Moved
from weldhatch.pullqueue import reconfiguration
from weldhatch.store.lock import Lock
from weldhatch.store.log import Log


def is_settings_plan(data: bytes) -> bool:
    """Return whether a plan file is a plan of settings.

    Data that is not JSON counts as a plan of the fleet, whose reader reports what is wrong with it.
    """
    try:
        tree = json.loads(data)
    except ValueError:
        return False
    return isinstance(tree, dict) and "target" in tree and "base" in tree


def plan_file(path: str, out: str, control: str | None) -> dict:
    """Make the plan that applies the settings file `path` to the running gateway, and write it to `out`."""
    target = config.read_pull_queue_file(path)
    config.pull_queue_config(target)
    plan = reconfiguration.make_plan(
        reconfiguration.ControlClient(reconfiguration.address(target, control)).applied(), target
    )
    with open(out, "w", encoding="utf-8") as file:
        json.dump(plan, file, indent=1)
    return plan


def apply_file(path: str, control: str | None) -> Result:
    """Apply a plan of settings, with a journal next to the plan file.

    The gateway applies all changes of a plan or none. What became of an interrupted apply therefore shows in
    the applied settings of the gateway: they are fetched first, and a plan in force is not sent again.
    """
    plan = reconfiguration.read_plan(path)
    gateway = reconfiguration.ControlClient(reconfiguration.address(plan["target"], control))
    return _apply(path, plan, gateway)


def _apply(path: str, plan: dict, gateway: reconfiguration.ControlClient) -> Result:
    import time

    lock = Lock(f"{path}.lock", f"an apply of {path}", format_time(time.time()))
    try:
        journal = Log(f"{path}.journal")
        try:
            interrupted = [json.loads(data)["record"] for data in journal.recovered_records()][-1:] == [
                "intent"
            ]

            def append_record(record: str, **fields: object) -> None:
                journal.append([json.dumps({"record": record, "at": time.time(), **fields}).encode()])

            applied = gateway.applied()
            if reconfiguration.fingerprint(applied) == reconfiguration.fingerprint(plan["target"]):
                if interrupted:
                    append_record("done", applied=len(plan["changes"]))
                return Result(Exit.DONE, "the gateway runs what the plan says already: nothing was done")
            if moved := reconfiguration.changes_since_plan(plan, applied):
                return Result(
                    Exit.MOVED,
                    "the applied configuration has moved on; make a new plan",
                    tuple(Moved(*difference) for difference in moved),
                )
            append_record("intent", base=plan["base"])
            answer = gateway.apply(plan)
            append_record("done", applied=answer["applied"])
            restart_note = "; the gateway starts anew." if answer["restarting"] else "."
            return Result(Exit.DONE, f"{answer['applied']} changes applied{restart_note}")
        finally:
            journal.close()
    finally:
        lock.close()
        Path(f"{path}.lock").unlink(missing_ok=True)
