"""Operators' calls on versions of the settings: compare, propose, wait until in force, drop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from weldhatch.cluster.calls import GroupCalls, author_of, reason_of
from weldhatch.coordination import compatibility
from weldhatch.coordination.commands import CommandKind
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.settings_versions import SettingsVersions
from weldhatch.pullqueue.errors import HttpError
from weldhatch.scheduling.types import Settings

ACTIVATION_TIMEOUT_S = 20.0  # longest wait until the version that a plan has proposed is in force
POLL_INTERVAL_S = 0.02


@dataclass(slots=True, frozen=True)
class Proposal:
    """An operator's proposal of settings.

    `base`: the number of the version that it was derived from; `may_refuse`: dispatchers that may refuse it,
    and get no lease then.
    """

    base: int
    tree: JsonObject
    reason: str
    author: str
    may_refuse: list[str]

    def to_command(self) -> JsonObject:
        """Return the proposal as a command for the replicated log."""
        return {
            "do": CommandKind.PROPOSE,
            "base": self.base,
            "tree": self.tree,
            "why": self.reason,
            "by": self.author,
            "despite": self.may_refuse,
        }


class VersionCalls:
    """Parses and checks each call on versions, then submits it to the group as a command."""

    def __init__(self, group: GroupCalls, read: Callable[[JsonObject], Settings]) -> None:
        """Submit commands to `group`. `read` parses a version's settings; its ConfigError names the key."""
        self._group = group
        self._read = read

    @property
    def _versions(self) -> SettingsVersions:
        return self._group.state_machine.versions

    def changes(self, tree: JsonObject) -> list[JsonObject]:
        """Return the changes from the version in force to `tree`: each key, and how both values may overlap.

        Raises HttpError 400.
        """
        active = self._versions.active
        try:
            new = self._read(tree)
            old = self._read(active.tree) if active is not None else new
            return [
                {
                    "key": change.key,
                    "from": change.old,
                    "to": change.new,
                    "overlap": change.overlap.value,
                }
                for change in compatibility.find_changes(old, new)
            ]
        except ValueError as error:
            raise HttpError(400, str(error), str(error).partition(":")[0]) from None

    async def propose(self, body: JsonObject) -> JsonObject:
        """Propose a version; return its number and its changes. Raises HttpError.

        Its `base` has to be the version in force; otherwise the error lists the keys that differ.
        """
        tree = tree_of(body)
        base = _base_of(body)
        may_refuse = self._may_refuse_of(body)
        changes = self.changes(tree)
        proposal = Proposal(base, tree, reason_of(body), author_of(body), may_refuse)
        result = await self._group.decide(proposal.to_command(), self._describe_error)
        return {"number": result["number"], "changes": changes}

    def _may_refuse_of(self, body: JsonObject) -> list[str]:
        names = body.get("despite", [])
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise HttpError(400, "despite: a list of names is needed", "despite")
        unknown = set(names) - self._group.state_machine.members.keys()
        if unknown:
            raise HttpError(400, f"despite: no dispatcher is named {sorted(unknown)[0]!r}", "despite")
        return names

    def _describe_error(self, result: JsonObject) -> str:
        """Return an error's text; for a proposal on an outdated base, with the keys changed since then."""
        text: str = result["text"]
        if result.get("then") and result.get("now"):
            try:
                changes = compatibility.find_changes(self._read(result["then"]), self._read(result["now"]))
            except ValueError:
                return text
            text += "".join(
                f"\n  {change.key}: {change.old!r} then, {change.new!r} now" for change in changes
            )
        return text

    async def propose_and_wait(self, tree: JsonObject, reason: str) -> int:
        """Propose a version, wait until it is in force here, and return its number. For plans of settings.

        Raises HttpError.
        """
        active = self._versions.active
        body = {
            "tree": tree,
            "base": active.number if active else 0,
            "why": reason,
            "by": self._group.node.config.name,
        }
        proposed = await self.propose(body)
        number: int = proposed["number"]
        end = asyncio.get_running_loop().time() + ACTIVATION_TIMEOUT_S
        while asyncio.get_running_loop().time() < end:
            active = self._versions.active
            if active is not None and active.number >= number:
                return number
            for entry in self._versions.history:
                if entry["number"] == number and entry["came"] == "dropped":
                    raise HttpError(409, f"version {number} was dropped: {entry['why']}", "settings")
            await asyncio.sleep(POLL_INTERVAL_S)
        raise HttpError(
            504, f"version {number} is not in force yet: see `weldhatch rules status`", "settings"
        )

    def version(self, text: str) -> JsonObject:
        """Return the settings of a version by its number. Raises HttpError 404."""
        trees = self._versions.trees
        if not text.isdigit() or int(text) not in trees:
            raise HttpError(404, f"version: the settings of version {text!r} are not kept", "version")
        return {"number": int(text), "tree": trees[int(text)]}

    async def drop(self, body: JsonObject) -> JsonObject:
        """Drop the version that is being prepared. Raises HttpError."""
        if not isinstance(body.get("number"), int):
            raise HttpError(400, "number: the number of a version is needed", "number")
        command = {"do": CommandKind.DROP, "number": body["number"], "why": reason_of(body)}
        return await self._group.decide(command)


def tree_of(body: JsonObject) -> JsonObject:
    """Return the settings in the body of a call. Raises HttpError 400."""
    tree = body.get("tree")
    if not isinstance(tree, dict):
        raise HttpError(400, "tree: settings are needed", "tree")
    return tree


def _base_of(body: JsonObject) -> int:
    base = body.get("base")
    if isinstance(base, bool) or not isinstance(base, int):
        raise HttpError(400, f"base: the number of a version is needed, not {base!r}", "base")
    return base
