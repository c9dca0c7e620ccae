"""Operators' directives for build machines: ready, draining or off, apart from a machine's own state.

Decisions and state only; the front stores the directives on disk. Each directive has a fencing number: a late
directive of an older apply is refused, also after a restart of the machine or of the gateway.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from weldhatch.scheduling.types import MachineState

STATES = {"ready": MachineState.READY, "draining": MachineState.DRAINING, "off": MachineState.REMOVED}
MAX_DIRECTIVES = 20_000  # machines for which a directive is kept


class WordError(ValueError):
    """A directive that is refused.

    `code`: as the node-control protocol defines it; `field`: the invalid field, if there is one; `fence`: the
    last fencing number of the machine.
    """

    def __init__(self, code: str, text: str, field: str = "", fence: int = 0) -> None:
        """Create the error with the code and the text that the caller receives."""
        super().__init__(text)
        self.code, self.field, self.fence = code, field, fence


@dataclass(slots=True, frozen=True)
class Directive:
    """An operator's directive for one machine, with the fencing number of the apply that sent it."""

    machine: str
    state: str
    fence: int
    op: str
    at: float  # Unix seconds

    def encode(self) -> bytes:
        """Encode the directive as a record."""
        return json.dumps([self.machine, self.state, self.fence, self.op, self.at]).encode()


def read_directive(machine: str, tree: dict, now: float) -> Directive:
    """Read a directive from the body of a call. Raises WordError naming the field."""
    state, fence, op = tree.get("state"), tree.get("fence"), tree.get("op", "")
    if state not in STATES:
        raise WordError("FIELD", f"state: one of {', '.join(STATES)} is needed, not {state!r}", "state")
    if isinstance(fence, bool) or not isinstance(fence, int) or not 0 <= fence < 1 << 62:
        raise WordError("FIELD", f"fence: a whole number is needed, not {fence!r}", "fence")
    if not isinstance(op, str) or len(op) > 200:
        raise WordError("FIELD", "op: a text of at most 200 characters is needed", "op")
    if not 0 < len(machine) <= 200:
        raise WordError("FIELD", "machine: a name of 1 to 200 characters is needed", "machine")
    return Directive(machine, state, fence, op, now)


class OperatorDirectives:
    """The last directive for each machine."""

    def __init__(self) -> None:
        """Start without directives."""
        self.directives: dict[str, Directive] = {}

    def restore(self, records: Iterable[bytes]) -> None:
        """Restore the directives that a former run of the gateway stored. Raises ValueError."""
        for record in records:
            machine, state, fence, op, at = json.loads(record)
            if state not in STATES:
                raise ValueError(f"the unusable state {state!r}")
            self.directives[machine] = Directive(machine, state, fence, op, at)

    def check(self, directive: Directive) -> bool:
        """Return whether a directive changes anything. Raises WordError for one that is refused."""
        last = self.directives.get(directive.machine)
        if last is not None and directive.fence < last.fence:
            # A delayed older apply must not override a newer one.
            raise WordError(
                "FENCE", f"{last.fence} has been heard, this is {directive.fence}", fence=last.fence
            )
        if last is None and len(self.directives) >= MAX_DIRECTIVES:
            raise WordError("REFUSED", f"words are kept of {MAX_DIRECTIVES} machines at the most")
        return last is None or (last.state, last.fence) != (directive.state, directive.fence)

    def set(self, directive: Directive) -> None:
        """Put a directive into force. Call this only after `check`, once the directive is on the disk."""
        self.directives[directive.machine] = directive

    def effective_state(self, machine: str, own: MachineState) -> MachineState:
        """Return the state that counts for new work: the stricter of the machine's and the operator's."""
        directive = self.directives.get(machine)
        operator_state = STATES[directive.state] if directive is not None else MachineState.READY
        if MachineState.REMOVED in (own, operator_state):
            return MachineState.REMOVED
        return MachineState.DRAINING if MachineState.DRAINING in (own, operator_state) else MachineState.READY
