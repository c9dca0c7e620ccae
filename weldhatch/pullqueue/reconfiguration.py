"""Plan and apply: what would change between a pull queue's file and a running gateway, and the change.

A plan names the configuration it was made against by its fingerprint. A gateway whose configuration has
moved on since then refuses it, and one that takes it applies it wholly or not at all.
"""

from __future__ import annotations

import hashlib
import http.client
import json
from collections.abc import Mapping

from weldhatch import config

VERSION = 2
LIVE = ("listen", "connections", "remember", "timing.")  # all other keys need a restart


def fingerprint(tree: Mapping) -> str:
    leaves = json.dumps(config.pull_queue_leaves(tree), sort_keys=True)
    return hashlib.sha256(leaves.encode()).hexdigest()


def needs_restart(key: str) -> bool:
    return not any(key == live or (live.endswith(".") and key.startswith(live)) for live in LIVE)


def changes(old: Mapping, new: Mapping) -> list[dict]:
    """The keys that differ, each with its old and its new value; null where it is not there."""
    before, after = config.pull_queue_leaves(old), config.pull_queue_leaves(new)
    return [
        {"key": key, "from": before.get(key), "to": after.get(key), "restart": needs_restart(key)}
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]


def make(applied: Mapping, target: dict) -> dict:
    """The plan that turns what is applied into the target."""
    config.pull_queue_config(target)
    plan = {
        "version": VERSION,
        "base": fingerprint(applied),
        "then": config.pull_queue_leaves(applied),
        "target": target,
        "changes": changes(applied, target),
    }
    return {**plan, "checksum": checksum(plan)}


def checksum(plan: Mapping) -> str:
    """Of all but itself: a plan that was edited by hand is told by it."""
    rest = {key: value for key, value in plan.items() if key != "checksum"}
    return hashlib.sha256(json.dumps(rest, sort_keys=True).encode()).hexdigest()


def moved(plan: Mapping, applied: Mapping) -> list[tuple[str, str, str, str]]:
    """What has moved since the plan was made: key, as planned, then, now. All keys of the file are its
    base."""
    then, now = plan["then"], config.pull_queue_leaves(applied)
    planned = {change["key"]: change["to"] for change in plan["changes"]}
    return [
        (
            key,
            json.dumps(planned[key]) if key in planned else "as it is",
            json.dumps(then.get(key)),
            json.dumps(now.get(key)),
        )
        for key in sorted(then.keys() | now.keys())
        if then.get(key) != now.get(key)
    ]


def render(plan: Mapping) -> str:
    """The plan as a person reads it."""
    if not plan["changes"]:
        return "No changes: the gateway runs what the file says."
    lines = []
    for change in plan["changes"]:
        old, new = change["from"], change["to"]
        sign = "+" if old is None else "-" if new is None else "~"
        values = " -> ".join(json.dumps(value) for value in (old, new) if value is not None)
        note = "  (needs a restart)" if change["restart"] else ""
        lines.append(f"{sign} {change['key']}: {values}{note}")
    restart = sum(change["restart"] for change in plan["changes"])
    lines.append(f"{len(plan['changes'])} changes, {restart} of them need a restart.")
    return "\n".join(lines)


def read(path: str) -> dict:
    plan = config.read_json_file(path)
    if plan.get("version") != VERSION or not isinstance(plan.get("target"), dict) or "base" not in plan:
        raise config.ConfigError(f"{path}: version: this is no plan of version {VERSION}")
    if plan.get("checksum") != checksum(plan):
        raise config.ConfigError(f"{path}: checksum: the file is not as it was written; make a new plan")
    return plan


# ---- the running gateway, as the command line reaches it ---------------------------------------------------


class Refused(config.ConfigError):
    """The gateway won't; `field` says what is at fault."""

    def __init__(self, text: str, field: str) -> None:
        super().__init__(text)
        self.field = field


class Gateway:
    """A running gateway's control address."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def applied(self) -> dict:
        return self._call("GET", "applied", None)["tree"]

    def apply(self, plan: Mapping) -> dict:
        return self._call("POST", "apply", plan)

    def sites(self) -> dict:
        """What crosses between its site and others."""
        return self._call("GET", "sites", None)

    def sites_word(self, word: Mapping) -> dict:
        return self._call("POST", "sites", word)

    def call(self, method: str, path: str, body: Mapping | None = None) -> dict:
        """Any other call of a control address. Raises ConfigError with what the gateway says."""
        return self._call(method, path, body)

    def _call(self, method: str, path: str, body: Mapping | None) -> dict:
        host, port = self._address
        connection = http.client.HTTPConnection(host, port, timeout=10)
        try:
            connection.request(method, f"/v1/{path}", json.dumps(body) if body is not None else None)
            answer = connection.getresponse()
            tree = json.loads(answer.read())
        except (OSError, ValueError, http.client.HTTPException) as fault:
            raise config.ConfigError(f"control: no gateway answers at {host}:{port}: {fault}") from None
        finally:
            connection.close()
        if answer.status != 200:
            error = tree.get("error", {})
            at = [one for detail in error.get("details", ()) for one in detail.get("fieldViolations", ())]
            raise Refused(error.get("message", f"status {answer.status}"), at[0]["field"] if at else "")
        return tree


def address(tree: Mapping, override: str | None) -> tuple[str, int]:
    text = override or tree.get("control") or config.PULL_QUEUE_DEFAULTS["control"]
    if not text:
        raise config.ConfigError("control is missing: it says where the running gateway is reached")
    return config.parse_endpoint("control", text)
