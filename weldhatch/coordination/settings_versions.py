"""Versions of the settings: proposed, prepared, active or dropped. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.results import error_result, ok_result

MAX_HISTORY = 100
MAX_TREES = 20  # versions whose settings are kept for comparison


@dataclass(slots=True)
class SettingsVersion:
    """One version. `base`: number of the version that it was derived from.

    `may_refuse`: members that may reject the version; they get no lease in that case.
    """

    number: int
    base: int
    tree: JsonObject  # the `settings` of a file
    reason: str
    author: str
    may_refuse: list[str] = field(default_factory=list)

    def to_tree(self) -> JsonObject:
        """Return the version as encoded in snapshots."""
        return {
            "number": self.number,
            "base": self.base,
            "tree": self.tree,
            "why": self.reason,
            "by": self.author,
            "despite": self.may_refuse,
        }

    @classmethod
    def from_tree(cls, tree: JsonObject) -> SettingsVersion:
        """Decode the result of `to_tree`. Raises KeyError for anything else."""
        return cls(
            tree["number"], tree["base"], tree["tree"], tree["why"], tree["by"], tree.get("despite", [])
        )


class SettingsVersions:
    """Agreed versions: at most one is active, and at most one is being prepared."""

    def __init__(self) -> None:
        """Create the history without any version."""
        self.active: SettingsVersion | None = None
        self.prepared: SettingsVersion | None = None
        self.prepared_at = 0  # log index at which it was proposed
        self.last_number = 0  # of any version ever proposed
        self.trees: dict[int, JsonObject] = {}  # settings by version number, of the last active versions
        self.history: list[JsonObject] = []

    def propose(self, index: int, command: JsonObject) -> JsonObject:
        """Start to prepare a version. The result has its number, or the settings of its base and of now."""
        if self.prepared is not None:
            return error_result("busy", f"version {self.prepared.number} is being prepared: wait, or drop it")
        base = self.active.number if self.active is not None else 0
        if command["base"] != base:
            error = error_result(
                "moved", f"version {base} is in force, and the proposal is on {command['base']}"
            )
            then = self.trees.get(command["base"])
            return {**error, "base": base, "then": then, "now": self.trees.get(base)}
        self.last_number += 1
        self.prepared = SettingsVersion(
            self.last_number,
            base,
            command["tree"],
            command["why"],
            command["by"],
            command.get("despite", []),
        )
        self.prepared_at = index
        self._record_outcome(index, self.prepared, "proposed", command["why"])
        return ok_result(number=self.last_number)

    def activate(self, index: int, command: JsonObject) -> JsonObject:
        """Activate the prepared version: the leader has confirmed that every member with a lease has it."""
        if self.prepared is None or self.prepared.number != command["number"]:
            return _not_prepared(command)
        self.active = self.prepared
        self.prepared = None
        self.trees[self.active.number] = self.active.tree
        for old in sorted(self.trees)[:-MAX_TREES]:
            del self.trees[old]
        self._record_outcome(index, self.active, "active", command.get("why", ""))
        return ok_result()

    def drop(self, index: int, command: JsonObject) -> JsonObject:
        """Drop the prepared version: a dispatcher rejects it, or an operator requested it."""
        if self.prepared is None or self.prepared.number != command["number"]:
            return _not_prepared(command)
        dropped = self.prepared
        self.prepared = None
        self._record_outcome(index, dropped, "dropped", command["why"])
        return ok_result()

    def _record_outcome(self, index: int, version: SettingsVersion, outcome: str, reason: str) -> None:
        self.history.append(
            {
                "number": version.number,
                "base": version.base,
                "came": outcome,
                "why": reason,
                "by": version.author,
                "index": index,
            }
        )
        del self.history[:-MAX_HISTORY]


def _not_prepared(command: JsonObject) -> JsonObject:
    return error_result("unknown", f"version {command['number']} is not being prepared")
