"""Parsing of a build machine's reports: status, leases and update mask. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

from weldhatch.pullqueue.errors import HttpError
from weldhatch.scheduling.types import MachineState

MAX_REPORTED_LEASES = 1000  # in one update
MAX_RESULT_BYTES = 8 * 1024  # size limit of a task's result as JSON
MAX_RESULT_DEPTH = 100  # nesting limit of a task's result; the store must be able to read it back
STATUSES = {
    "OK": MachineState.READY,
    "INITIALIZING": MachineState.DRAINING,
    "UNHEALTHY": MachineState.DRAINING,
    "HOST_REBOOTING": MachineState.DRAINING,
    "BOT_TERMINATING": MachineState.DRAINING,
    "MAINTENANCE": MachineState.DRAINING,
}
LEASE_STATES = ("PENDING", "ACTIVE", "COMPLETED", "CANCELLED")


@dataclass(slots=True)
class ReportedLease:
    """One lease in a puller's report."""

    id: str
    state: str
    code: int
    message: str = ""
    result: object = None


def apply_update_mask(tree: dict, mask: str) -> dict:
    """Return a session update with only the fields that the mask names. Raises HttpError."""
    out = {key: tree[key] for key in ("name", "botId") if key in tree}
    for path in mask.split(","):
        name = path.strip()
        if name not in ("status", "leases", "worker", "bot_id", "botId", "name"):
            raise HttpError(400, f"updateMask: {name[:40]!r} is no field that can be updated", "updateMask")
        if name in tree:
            out[name] = tree[name]
    return out


def read_status(tree: dict) -> MachineState:
    """Read the status of a machine. Raises HttpError."""
    status = tree.get("status", "OK")
    if not isinstance(status, str) or status not in STATUSES:
        raise HttpError(400, f"status: the unusable value {status!r}", "status")
    return STATUSES[status]


def _is_nested_within(value: object, max_depth: int) -> bool:
    """Return whether a JSON value has at most this many levels of objects and lists."""
    level = [value]
    for _ in range(max_depth + 1):
        containers = [item for item in level if isinstance(item, dict | list)]
        if not containers:
            return True
        level = [
            child for item in containers for child in (item.values() if isinstance(item, dict) else item)
        ]
    return False


def read_reported_leases(tree: dict) -> list[ReportedLease]:
    """Read the leases of a report. Raises HttpError naming the field."""
    entries = tree.get("leases") or []
    if not isinstance(entries, list):
        raise HttpError(400, "leases: a list is needed", "leases")
    if len(entries) > MAX_REPORTED_LEASES:
        raise HttpError(400, f"leases: at most {MAX_REPORTED_LEASES} are taken", "leases")
    reported = []
    for index, entry in enumerate(entries):
        field = f"leases[{index}]"
        if not isinstance(entry, dict) or not isinstance(entry.get("id"), str):
            raise HttpError(400, f"{field}.id: a text is needed", f"{field}.id")
        if entry.get("state") not in LEASE_STATES:
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
        if result is not None and (
            not isinstance(result, dict) or len(json.dumps(result)) > MAX_RESULT_BYTES
        ):
            raise HttpError(
                400,
                f"{field}.result: an object of at most {MAX_RESULT_BYTES} bytes is needed",
                f"{field}.result",
            )
        if not _is_nested_within(result, MAX_RESULT_DEPTH):
            raise HttpError(
                400,
                f"{field}.result: at most {MAX_RESULT_DEPTH} nested levels are taken",
                f"{field}.result",
            )
        reported.append(ReportedLease(entry["id"], entry["state"], code, message, result))
    return reported
