"""What a voter keeps on disk: its term and vote, its log, a snapshot; folded from records.

Records are JSON arrays: ["vote", lineage, term, name], ["entry", index, term, kind, data] (which replaces
all from its index on), ["snapshot", lineage, index, term, voters, state], ["lost", why], ["writes", count].
"""

from __future__ import annotations

import json
from collections.abc import Iterator

from weldhatch.consensus.messages import LogEntry


class PersistentState:
    """The fold. `entries[0]` has the index `base + 1`."""

    def __init__(self) -> None:
        self.lineage = self.term = 0
        self.vote = ""
        self.base = self.base_term = 0
        self.voters, self.state = "{}", ""
        self.entries: list[LogEntry] = []
        self.lost = ""  # why this store's voter votes no more
        self.writes = 0  # records taken in all the store's life

    def take(self, payload: bytes) -> None:
        """One record. Raises ValueError for what is none."""
        try:
            self.apply(*json.loads(payload))
        except (ValueError, TypeError, IndexError) as fault:
            raise ValueError(f"a record that can't be read: {payload[:80]!r}: {fault}") from None

    def apply(self, word: str, *rest: object) -> None:
        self.writes += 1
        match word, rest:
            case "vote", [int(lineage), int(term), str(name)]:
                self.lineage, self.term, self.vote = lineage, term, name
            case "entry", [int(index), int(term), str(kind), str(data)]:
                if not self.base < index <= self.last + 1:
                    raise ValueError(f"entry {index} after {self.last}, of {self.base} on")
                del self.entries[index - self.base - 1 :]
                self.entries.append(LogEntry(term, kind, data))
            case "snapshot", [int(lineage), int(index), int(term), str(voters), str(state)]:
                keep = (
                    lineage == self.lineage and self.base <= index < self.last and self.term_at(index) == term
                )
                self.entries = self.entries[index - self.base :] if keep else []
                self.lineage = lineage
                self.base, self.base_term, self.voters, self.state = index, term, voters, state
            case "lost", [str(why)]:
                self.lost = why
            case "writes", [int(count)]:
                self.writes = count
            case _:
                raise ValueError(f"the unknown word {word!r}")

    def records(self) -> Iterator[bytes]:
        """The least records that fold to the same."""
        words = [("vote", self.lineage, self.term, self.vote)]
        if self.base or self.voters != "{}":
            words.append(("snapshot", self.lineage, self.base, self.base_term, self.voters, self.state))
        if self.lost:
            words.append(("lost", self.lost))
        words += [
            ("entry", n, one.term, one.kind, one.data) for n, one in enumerate(self.entries, self.base + 1)
        ]
        for word in [("writes", self.writes - len(words)), *words]:
            yield json.dumps(word).encode()

    @property
    def size(self) -> int:
        return 3 + len(self.entries)

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def term_at(self, index: int) -> int:
        """The term of an entry; -1 where it is no longer, or not yet, there."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else -1

    def voters_now(self) -> dict[str, str]:
        """The newest voters of the log, in force as soon as they stand in it: name to address."""
        for entry in reversed(self.entries):
            if entry.kind == "voters":
                return json.loads(entry.data)
        return json.loads(self.voters)
