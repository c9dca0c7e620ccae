"""Plan and apply of a running gateway's settings: the same refusals and the same kind of journal as a
fleet's."""

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


def is_plan(data: bytes) -> bool:
    """Is a plan file one of settings? Anything that can't be told is left to the fleet's reader."""
    try:
        tree = json.loads(data)
    except ValueError:
        return False
    return isinstance(tree, dict) and "target" in tree and "base" in tree


def plan_file(path: str, out: str, control: str | None) -> dict:
    """Make the plan that turns the running gateway into what a file says, and write it to `out`."""
    target = config.read_pull_queue_file(path)
    config.pull_queue_config(target)
    made = reconfiguration.make_plan(
        reconfiguration.ControlClient(reconfiguration.address(target, control)).applied(), target
    )
    with open(out, "w", encoding="utf-8") as file:
        json.dump(made, file, indent=1)
    return made


def apply_file(path: str, control: str | None) -> Result:
    """Carry a plan of settings out, with a journal beside it.

    The gateway takes it wholly or not at all, so a cut-off apply is told by asking what the gateway runs:
    that
    is done first, and a plan that is in force already is not sent again.
    """
    made = reconfiguration.read_plan(path)
    gateway = reconfiguration.ControlClient(reconfiguration.address(made["target"], control))
    return _apply(path, made, gateway)


def _apply(path: str, made: dict, gateway: reconfiguration.ControlClient) -> Result:
    import time

    lock = Lock(f"{path}.lock", f"an apply of {path}", format_time(time.time()))
    try:
        journal = Log(f"{path}.journal")
        try:
            cut_off = [json.loads(one)["record"] for one in journal.recovered_records()][-1:] == ["intent"]

            def note(record: str, **figures: object) -> None:
                journal.append([json.dumps({"record": record, "at": time.time(), **figures}).encode()])

            now = gateway.applied()
            if reconfiguration.fingerprint(now) == reconfiguration.fingerprint(made["target"]):
                if cut_off:
                    note("done", applied=len(made["changes"]))
                return Result(Exit.DONE, "the gateway runs what the plan says already: nothing was done")
            if moved := reconfiguration.changes_since_plan(made, now):
                return Result(
                    Exit.MOVED,
                    "the applied configuration has moved on; make a new plan",
                    tuple(Moved(*one) for one in moved),
                )
            note("intent", base=made["base"])
            told = gateway.apply(made)
            note("done", applied=told["applied"])
            then = "; the gateway starts anew." if told["restarting"] else "."
            return Result(Exit.DONE, f"{told['applied']} changes applied{then}")
        finally:
            journal.close()
    finally:
        lock.close()
        Path(f"{path}.lock").unlink(missing_ok=True)
