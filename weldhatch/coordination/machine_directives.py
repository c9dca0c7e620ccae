"""Operators' directives on machines, which apply at every dispatcher. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from weldhatch.coordination.drain_reports import PERMISSIVENESS, stricter
from weldhatch.coordination.json_types import JsonObject
from weldhatch.coordination.results import error_result

MAX_MACHINES = 20_000


@dataclass(slots=True)
class MachineDirective:
    """Newest directive on a machine.

    Until the directive is settled, the stricter of `state` and `previous` applies. `fence` orders the
    directives of one machine, `operation` names the operation that issued the directive, and `revision`
    counts the directives of all machines.
    """

    state: str
    fence: int
    operation: str
    revision: int
    previous: str = ""  # state before the directive; '' once settled

    @property
    def effective_state(self) -> str:
        """The state that applies to new tasks."""
        return stricter(self.state, self.previous) if self.previous else self.state

    def to_tree(self) -> JsonObject:
        """Return the directive as encoded in snapshots."""
        return {
            "state": self.state,
            "fence": self.fence,
            "op": self.operation,
            "rev": self.revision,
            "before": self.previous,
        }

    @classmethod
    def from_tree(cls, tree: JsonObject) -> MachineDirective:
        """Decode the result of `to_tree`. Raises KeyError for anything else."""
        return cls(tree["state"], tree["fence"], tree["op"], tree["rev"], tree.get("before", ""))


class MachineDirectives:
    """Agreed directives, by machine name."""

    def __init__(self) -> None:
        """Create an empty set of directives."""
        self.entries: dict[str, MachineDirective] = {}
        self.revision = 0  # revision of the last directive
        self.unsettled = 0  # newest unsettled revision that allows more than before; 0 for none

    def apply_command(self, command: JsonObject) -> JsonObject:
        """Apply an operator's directive on a machine, and return the result."""
        machine = command["machine"]
        last = self.entries.get(machine)
        if last is not None and command["fence"] < last.fence:
            error = error_result("FENCE", f"{last.fence} has been heard, this is {command['fence']}")
            return {**error, "fence": last.fence}
        if last is None and len(self.entries) >= MAX_MACHINES:
            return error_result("REFUSED", f"words are kept of {MAX_MACHINES} machines at the most")
        current = last.effective_state if last is not None else "ready"
        widens = PERMISSIVENESS[command["state"]] > PERMISSIVENESS[current]
        self.revision += 1
        self.entries[machine] = MachineDirective(
            command["state"], command["fence"], command["op"], self.revision, current if widens else ""
        )
        if widens:
            self.unsettled = self.revision
        return {"ok": True, "rev": self.revision}

    def settle(self, revision: int) -> None:
        """Settle the directives up to this revision: every member has them."""
        for directive in self.entries.values():
            if directive.revision <= revision:
                directive.previous = ""
        if self.unsettled <= revision:
            self.unsettled = 0
