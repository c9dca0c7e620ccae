"""What any dispatcher's list of machines has reported of drains and ends, for all of them. Pure.

Lists come to each dispatcher by itself, late and under revisions. What one has received that restricts,
counts for all: an entry holds from its revision on, until a dispatcher's own list is newer. Newer never gives
way to older; where two lists of one revision differ, the stricter acts, and operators are notified.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from weldhatch.coordination.json_types import JsonObject

RESTRICTING = ("gone", "draining")
PERMISSIVENESS = {"gone": 0, "off": 0, "draining": 1, "ready": 2}  # the lower allows less
MAX_ENTRIES = 10_000
MAX_UNREPORTED = 200  # entries that one command reports
MAX_CONFLICTS = 20


def stricter(one: str, other: str) -> str:
    """Return which of two states of a machine allows less."""
    return min(one, other, key=PERMISSIVENESS.__getitem__)


@dataclass(slots=True, frozen=True)
class DrainReport:
    """The state of a machine that restricts it, by a list of that revision."""

    revision: int
    state: str


class DrainReports:
    """As agreed, by the machine's uid."""

    def __init__(self) -> None:
        """Begin with no report."""
        self.entries: dict[str, DrainReport] = {}
        self.conflicts: list[str] = []  # for operators

    def merge(self, revision: int, entries: Mapping[str, str], by: str) -> None:
        """Take what a list of that revision says. What does not restrict ends what an older list said."""
        for uid, state in entries.items():
            self._merge_entry(revision, uid, state, by)
        while len(self.entries) > MAX_ENTRIES:
            # Guards against machines that were removed long ago: the oldest of them is forgotten first.
            del self.entries[min(self.entries, key=lambda uid: self.entries[uid].revision)]

    def _merge_entry(self, revision: int, uid: str, state: str, by: str) -> None:
        known = self.entries.get(uid)
        if known is not None and revision < known.revision:
            return  # newer never gives way to older
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
        """Return what counts for a dispatcher whose own list has that revision and says `own`."""
        known = self.entries.get(uid)
        if known is None or known.revision < revision:
            return own
        return stricter(own, known.state)

    def unreported(self, revision: int, states: Mapping[str, str]) -> dict[str, str]:
        """Return what a dispatcher's own list says that is not agreed yet: drains, ends, their undoing."""
        found: dict[str, str] = {}
        for uid, state in states.items():
            known = self.entries.get(uid)
            if known is None:
                if state in RESTRICTING:
                    found[uid] = state
            elif known.revision <= revision and known.state != state:
                found[uid] = state
            if len(found) >= MAX_UNREPORTED:
                break
        return found

    # ---- encoding in snapshots -------------------------------------------------------------------------

    def to_tree(self) -> JsonObject:
        """Return all of it, as a snapshot holds it."""
        entries = {uid: [report.revision, report.state] for uid, report in self.entries.items()}
        return {"entries": entries, "conflicts": self.conflicts}

    @classmethod
    def from_tree(cls, tree: JsonObject) -> DrainReports:
        """Decode what `to_tree` gave. Raises KeyError, TypeError or ValueError for anything else."""
        reports = cls()
        reports.entries = {uid: DrainReport(*report) for uid, report in tree["entries"].items()}
        reports.conflicts = tree["conflicts"]
        return reports
