"""What a build machine reports: its status, its leases, and the mask that says what of it counts. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

from weldhatch.pullqueue.errors import HttpError
from weldhatch.scheduling.types import MachineState

LEASES_MOST = 1000  # listed in one update
RESULT_MOST = 8 * 1024  # of what a machine says its task has come to
STATUSES = {
    "OK": MachineState.READY,
    "INITIALIZING": MachineState.DRAINING,
    "UNHEALTHY": MachineState.DRAINING,
    "HOST_REBOOTING": MachineState.DRAINING,
    "BOT_TERMINATING": MachineState.DRAINING,
    "MAINTENANCE": MachineState.DRAINING,
}
STATES = ("PENDING", "ACTIVE", "COMPLETED", "CANCELLED")


@dataclass(slots=True)
class ReportedLease:
    """One lease as a puller lists it."""

    id: str
    state: str
    code: int
    message: str = ""
    result: object = None


def masked(tree: dict, mask: str) -> dict:
    """Only the fields that the mask names count; what it names and the body lacks is empty."""
    out = {key: tree[key] for key in ("name", "botId") if key in tree}
    for path in mask.split(","):
        name = path.strip()
        if name not in ("status", "leases", "worker", "bot_id", "botId", "name"):
            raise HttpError(400, f"updateMask: {name[:40]!r} is no field that can be updated", "updateMask")
        if name in tree:
            out[name] = tree[name]
    return out


def read_status(tree: dict) -> MachineState:
    status = tree.get("status", "OK")
    if not isinstance(status, str) or status not in STATUSES:
        raise HttpError(400, f"status: the unusable value {status!r}", "status")
    return STATUSES[status]


def read_reported_leases(tree: dict) -> list[ReportedLease]:
    entries = tree.get("leases") or []
    if not isinstance(entries, list):
        raise HttpError(400, "leases: a list is needed", "leases")
    if len(entries) > LEASES_MOST:
        raise HttpError(400, f"leases: at most {LEASES_MOST} are taken", "leases")
    reported = []
    for n, entry in enumerate(entries):
        field = f"leases[{n}]"
        if not isinstance(entry, dict) or not isinstance(entry.get("id"), str):
            raise HttpError(400, f"{field}.id: a text is needed", f"{field}.id")
        if entry.get("state") not in STATES:
            raise HttpError(
                400, f"{field}.state: the unusable value {entry.get('state')!r}", f"{field}.state"
            )
        status = entry.get("status") or {}
        code = status.get("code", 0) if isinstance(status, dict) else None
        if not isinstance(code, int) or isinstance(code, bool):
            raise HttpError(400, f"{field}.status.code: a whole number is needed", f"{field}.status.code")
        message = status.get("message", "")
        if not isinstance(message, str) or len(message) > 1000:
            raise HttpError(
                400,
                f"{field}.status.message: a text of at most 1000 characters is needed",
                f"{field}.status.message",
            )
        result = entry.get("result")
        if result is not None and (not isinstance(result, dict) or len(json.dumps(result)) > RESULT_MOST):
            raise HttpError(
                400,
                f"{field}.result: an object of at most {RESULT_MOST} bytes is needed",
                f"{field}.result",
            )
        reported.append(ReportedLease(entry["id"], entry["state"], code, message, result))
    return reported
