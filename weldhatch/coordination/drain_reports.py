"""What any dispatcher's list of machines has told of drains and ends, for all of them. Pure.

Lists come to each dispatcher by itself, late and under revisions. What one has heard that narrows, counts for
all: an entry holds from its revision on, until a dispatcher's own list is newer. Newer never gives way to
older; where two lists of one revision differ, the stricter acts, and operators are told.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

RESTRICTING = ("gone", "draining")
PERMISSIVENESS = {"gone": 0, "off": 0, "draining": 1, "ready": 2}  # the lower allows less
ENTRIES_MOST = 10_000
NEWS_MOST = 200  # entries that one command tells of
CONFLICTS_MOST = 20


def stricter(one: str, other: str) -> str:
    return min(one, other, key=PERMISSIVENESS.__getitem__)


def digest(states: Mapping[str, str]) -> str:
    """Of a whole list: two of one revision have the same, or one of them is wrong."""
    text = "\n".join(f"{uid} {state}" for uid, state in sorted(states.items()))
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


@dataclass(slots=True)
class DrainReports:
    """As agreed: by machine, the revision and the state that narrows it."""

    entries: dict[str, list] = field(default_factory=dict)  # uid: [revision, state]
    conflicts: list[str] = field(default_factory=list)

    def take(self, rev: int, entries: Mapping[str, str], by: str) -> None:
        """What a list of that revision says. A state that does not narrow ends what an older list said."""
        for uid, state in entries.items():
            known = self.entries.get(uid)
            if known is not None and rev < known[0]:
                continue  # newer never gives way to older
            if known is not None and rev == known[0] and state != known[1]:
                self._conflict(f"{uid}: {known[1]} and, by {by}, {state}, both in a list of revision {rev}")
                state = stricter(state, known[1])
            if state in RESTRICTING:
                self.entries[uid] = [rev, state]
            else:
                self.entries.pop(uid, None)
        while len(self.entries) > ENTRIES_MOST:
            # Guards against machines that went long ago: the oldest of them is forgotten first.
            del self.entries[min(self.entries, key=lambda uid: self.entries[uid][0])]

    def _conflict(self, text: str) -> None:
        if text not in self.conflicts:
            self.conflicts.append(text)
            del self.conflicts[:-CONFLICTS_MOST]

    def acts(self, uid: str, rev: int, own: str = "ready") -> str:
        """The state that counts for a dispatcher whose own list has that revision and says `own`."""
        known = self.entries.get(uid)
        if known is None or known[0] < rev:
            return own
        return stricter(own, known[1])

    def news(self, rev: int, states: Mapping[str, str]) -> dict[str, str]:
        """What a dispatcher's own list tells that is not agreed yet: drains and ends, and their undoing."""
        out = {}
        for uid, state in states.items():
            known = self.entries.get(uid)
            if known is None:
                if state in RESTRICTING:
                    out[uid] = state
            elif known[0] <= rev and known[1] != state:
                out[uid] = state
            if len(out) >= NEWS_MOST:
                break
        return out
