"""Operators' words on build machines: ready, draining or off, beside what a machine says of itself.

Decisions and state only; `control` hears the words and keeps them on disk. A word is fenced: one that an
older
apply sends late is refused, also after the machine, or the gateway, has come anew.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from weldhatch.scheduling.types import MachineState

STATES = {"ready": MachineState.READY, "draining": MachineState.DRAINING, "off": MachineState.REMOVED}
WORDS_MOST = 20_000  # machines that words are kept of


class WordError(ValueError):
    """A word that can't be taken; `code` as the node-control protocol has it, `field` where one is at
    fault."""

    def __init__(self, code: str, text: str, field: str = "", fence: int = 0) -> None:
        super().__init__(text)
        self.code, self.field, self.fence = code, field, fence


@dataclass(slots=True, frozen=True)
class Word:
    """An operator's word on one machine, and the fencing number of the apply that gave it."""

    machine: str
    state: str
    fence: int
    op: str
    at: float  # Unix seconds

    def encode(self) -> bytes:
        return json.dumps([self.machine, self.state, self.fence, self.op, self.at]).encode()


def read_word(machine: str, tree: dict, now: float) -> Word:
    """A word from the body of a call. Raises WordError naming the field."""
    state, fence, op = tree.get("state"), tree.get("fence"), tree.get("op", "")
    if state not in STATES:
        raise WordError("FIELD", f"state: one of {', '.join(STATES)} is needed, not {state!r}", "state")
    if isinstance(fence, bool) or not isinstance(fence, int) or not 0 <= fence < 1 << 62:
        raise WordError("FIELD", f"fence: a whole number is needed, not {fence!r}", "fence")
    if not isinstance(op, str) or len(op) > 200:
        raise WordError("FIELD", "op: a text of at most 200 characters is needed", "op")
    if not 0 < len(machine) <= 200:
        raise WordError("FIELD", "machine: a name of 1 to 200 characters is needed", "machine")
    return Word(machine, state, fence, op, now)


class Operators:
    """The last word on each machine."""

    def __init__(self) -> None:
        self.words: dict[str, Word] = {}

    def restore(self, records: Iterable[bytes]) -> None:
        """Take what a former gateway kept. Raises ValueError for what is no word."""
        for record in records:
            machine, state, fence, op, at = json.loads(record)
            if state not in STATES:
                raise ValueError(f"the unusable state {state!r}")
            self.words[machine] = Word(machine, state, fence, op, at)

    def check(self, word: Word) -> bool:
        """May this word be taken, and does it change anything? Raises WordError where it may not."""
        last = self.words.get(word.machine)
        if last is not None and word.fence < last.fence:
            # Guards against an older apply that wakes up late.
            raise WordError("FENCE", f"{last.fence} has been heard, this is {word.fence}", fence=last.fence)
        if last is None and len(self.words) >= WORDS_MOST:
            raise WordError("REFUSED", f"words are kept of {WORDS_MOST} machines at the most")
        return last is None or (last.state, last.fence) != (word.state, word.fence)

    def take(self, word: Word) -> None:
        """Only after `check`, and once it is on the disk."""
        self.words[word.machine] = word

    def merged(self, machine: str, own: MachineState) -> MachineState:
        """What counts for new work: the less of what the machine says and what the operator says."""
        word = self.words.get(machine)
        told = STATES[word.state] if word is not None else MachineState.READY
        if MachineState.REMOVED in (own, told):
            return MachineState.REMOVED
        return MachineState.DRAINING if MachineState.DRAINING in (own, told) else MachineState.READY
