"""Versions of the settings: proposed, prepared, in force or dropped. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.results import error_result, ok_result

MAX_HISTORY = 100
MAX_TREES = 20  # versions whose settings are kept, to show what differs between them


@dataclass(slots=True)
class SettingsVersion:
    """One version. `base`: the number of the one that it was proposed on.

    `may_refuse`: members that may refuse it, and get no lease then.
    """

    number: int
    base: int
    tree: JsonObject  # the `settings` of a file
    reason: str
    author: str
    may_refuse: list[str] = field(default_factory=list)

    def to_tree(self) -> JsonObject:
        """Return the version as a snapshot holds it."""
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
        """Decode what `to_tree` gave. Raises KeyError for anything else."""
        return cls(
            tree["number"], tree["base"], tree["tree"], tree["why"], tree["by"], tree.get("despite", [])
        )


class SettingsVersions:
    """As agreed: one version in force, and at most one that is being prepared."""

    def __init__(self) -> None:
        """Begin with nothing in force."""
        self.active: SettingsVersion | None = None
        self.prepared: SettingsVersion | None = None
        self.prepared_at = 0  # the index at which it was proposed
        self.last_number = 0  # whatever became of that version
        self.trees: dict[int, JsonObject] = {}  # settings by number, of the last versions in force
        self.history: list[JsonObject] = []

    def propose(self, index: int, command: JsonObject) -> JsonObject:
        """Begin to prepare a version; its number, or what differs from the one that it was made on."""
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
        """Bring the prepared version into force: the leader says that all hold it."""
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
        """Give the prepared version up: a dispatcher can't act on it, or an operator says so."""
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
