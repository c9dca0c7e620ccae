"""Plans of changes: the differences between a pull queue's file and a running gateway, and their application.

A plan names the configuration that it is based on by its fingerprint. A gateway whose configuration has
changed since then rejects the plan. Otherwise it applies the plan completely or not at all.
"""

from __future__ import annotations

import hashlib
import http.client
import json
from collections.abc import Mapping

from weldhatch import config

PLAN_VERSION = 2
LIVE_KEYS = ("listen", "connections", "remember", "timing.")  # all other keys need a restart


def fingerprint(tree: Mapping) -> str:
    """Return a hash of a configuration with its defaults."""
    leaves = json.dumps(config.pull_queue_leaves(tree), sort_keys=True)
    return hashlib.sha256(leaves.encode()).hexdigest()


def needs_restart(key: str) -> bool:
    """Return whether a change of this key needs a restart."""
    return not any(key == live or (live.endswith(".") and key.startswith(live)) for live in LIVE_KEYS)


def changes(old: Mapping, new: Mapping) -> list[dict]:
    """Return the keys that differ, each with its old and its new value; None for a missing key."""
    before, after = config.pull_queue_leaves(old), config.pull_queue_leaves(new)
    return [
        {"key": key, "from": before.get(key), "to": after.get(key), "restart": needs_restart(key)}
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]


def make_plan(applied: Mapping, target: dict) -> dict:
    """Make the plan that changes the applied configuration into the target. Raises ConfigError."""
    config.pull_queue_config(target)
    plan = {
        "version": PLAN_VERSION,
        "base": fingerprint(applied),
        "then": config.pull_queue_leaves(applied),
        "target": target,
        "changes": changes(applied, target),
    }
    return {**plan, "checksum": checksum(plan)}


def checksum(plan: Mapping) -> str:
    """Return the checksum of a plan without its checksum; it shows whether a plan was edited by hand."""
    rest = {key: value for key, value in plan.items() if key != "checksum"}
    return hashlib.sha256(json.dumps(rest, sort_keys=True).encode()).hexdigest()


def changes_since_plan(plan: Mapping, applied: Mapping) -> list[tuple[str, str, str, str]]:
    """Return the keys that changed since the plan was made, as (key, planned, value then, value now).

    All keys of the file are compared, not only those of the plan.
    """
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
    """Return the plan as text for an operator."""
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


def read_plan(path: str) -> dict:
    """Read a plan and check its version and checksum. Raises ConfigError."""
    plan = config.read_json_file(path)
    if plan.get("version") != PLAN_VERSION or not isinstance(plan.get("target"), dict) or "base" not in plan:
        raise config.ConfigError(f"{path}: version: this is no plan of version {PLAN_VERSION}")
    if plan.get("checksum") != checksum(plan):
        raise config.ConfigError(f"{path}: checksum: the file is not as it was written; make a new plan")
    return plan


# ---- client of a gateway's control address -----------------------------------------------------------------


class Refused(config.ConfigError):
    """The gateway rejected a call; `field` names the invalid field."""

    def __init__(self, text: str, field: str) -> None:
        """Create the error with the gateway's message."""
        super().__init__(text)
        self.field = field


class ControlClient:
    """A client of a running gateway's control address. Its calls raise ConfigError."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Call the gateway at this address."""
        self._address = address

    def applied(self) -> dict:
        """Return the applied configuration."""
        return self._call("GET", "applied", None)["tree"]

    def apply(self, plan: Mapping) -> dict:
        """Apply a plan; return the answer."""
        return self._call("POST", "apply", plan)

    def sites(self) -> dict:
        """Return the status of links to other sites and of the tasks shared with them."""
        return self._call("GET", "sites", None)

    def send_sites_command(self, word: Mapping) -> dict:
        """Send an operator's command on other sites; return the answer."""
        return self._call("POST", "sites", word)

    def call(self, method: str, path: str, body: Mapping | None = None) -> dict:
        """Do any other call. Raises ConfigError with the gateway's message."""
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
            violations = [
                violation
                for detail in error.get("details", ())
                for violation in detail.get("fieldViolations", ())
            ]
            raise Refused(
                error.get("message", f"status {answer.status}"), violations[0]["field"] if violations else ""
            )
        return tree


def address(tree: Mapping, override: str | None) -> tuple[str, int]:
    """Return the control address: the override, else the one in a pull queue's file. Raises ConfigError."""
    text = override or tree.get("control") or config.PULL_QUEUE_DEFAULTS["control"]
    if not text:
        raise config.ConfigError("control is missing: it says where the running gateway is reached")
    return config.parse_endpoint("control", text)
