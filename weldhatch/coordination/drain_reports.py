"""Drains and removals of machines that any dispatcher's endpoint list has reported. No I/O.

Each dispatcher receives endpoint lists on its own, possibly late; each list has a revision. A restriction
that one dispatcher has received applies to all: an entry is valid from its revision on, until a dispatcher's
own list is newer. A newer entry is never replaced by an older one. If two lists of one revision differ, the
stricter state applies, and operators are notified.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from weldhatch.coordination.json_types import JsonObject

RESTRICTING = ("gone", "draining")
PERMISSIVENESS = {"gone": 0, "off": 0, "draining": 1, "ready": 2}  # a lower value allows less
MAX_ENTRIES = 10_000
MAX_UNREPORTED = 200  # entries in one command
MAX_CONFLICTS = 20


def stricter(state: str, other: str) -> str:
    """Return the one of two machine states that allows less."""
    return min(state, other, key=PERMISSIVENESS.__getitem__)


@dataclass(slots=True, frozen=True)
class DrainReport:
    """A restricting state of a machine, from an endpoint list of that revision."""

    revision: int
    state: str


class DrainReports:
    """Agreed drain reports, by machine uid."""

    def __init__(self) -> None:
        """Create an empty set of reports."""
        self.entries: dict[str, DrainReport] = {}
        self.conflicts: list[str] = []  # shown to operators

    def merge(self, revision: int, entries: Mapping[str, str], by: str) -> None:
        """Merge states from an endpoint list. A state that does not restrict removes an older entry."""
        for uid, state in entries.items():
            self._merge_entry(revision, uid, state, by)
        while len(self.entries) > MAX_ENTRIES:
            # Entries of machines that were removed long ago would accumulate; the oldest is dropped first.
            del self.entries[min(self.entries, key=lambda uid: self.entries[uid].revision)]

    def _merge_entry(self, revision: int, uid: str, state: str, by: str) -> None:
        known = self.entries.get(uid)
        if known is not None and revision < known.revision:
            return  # a newer entry is never replaced by an older one
        if known is not None and revision == known.revision and state != known.state:
            self._note_conflict(
                f"{uid}: {known.state} and, by {by}, {state}, both in a list of revision {revision}"
            )
            state = stricter(state, known.state)
        if state in RESTRICTING:
            self.entries[uid] = DrainReport(revision, state)
        else:
            self.entries.pop(uid, None)

    def _note_conflict(self, text: str) -> None:
        if text not in self.conflicts:
            self.conflicts.append(text)
            del self.conflicts[:-MAX_CONFLICTS]

    def effective_state(self, uid: str, revision: int, own: str = "ready") -> str:
        """Return the state for a dispatcher whose own list has that revision and the state `own`."""
        known = self.entries.get(uid)
        if known is None or known.revision < revision:
            return own
        return stricter(own, known.state)

    def unreported(self, revision: int, states: Mapping[str, str]) -> dict[str, str]:
        """Return states in a dispatcher's own list that are not agreed yet: restrictions and their end."""
        unreported: dict[str, str] = {}
        for uid, state in states.items():
            known = self.entries.get(uid)
            if known is None:
                if state in RESTRICTING:
                    unreported[uid] = state
            elif known.revision <= revision and known.state != state:
                unreported[uid] = state
            if len(unreported) >= MAX_UNREPORTED:
                break
        return unreported

    # ---- snapshot encoding -----------------------------------------------------------------------------

    def to_tree(self) -> JsonObject:
        """Return the reports as encoded in snapshots."""
        entries = {uid: [report.revision, report.state] for uid, report in self.entries.items()}
        return {"entries": entries, "conflicts": self.conflicts}

    @classmethod
    def from_tree(cls, tree: JsonObject) -> DrainReports:
        """Decode the result of `to_tree`. Raises KeyError, TypeError or ValueError for anything else."""
        reports = cls()
        reports.entries = {uid: DrainReport(*report) for uid, report in tree["entries"].items()}
        reports.conflicts = tree["conflicts"]
        return reports
