"""A voter that comes back: what it has to hear before it votes on what its store says. Pure.

Its store may be an older copy. Then it lacks entries that a majority with it has decided, and has forgotten
votes that it gave. Each such majority had n // 2 others; so once n - n // 2 others have said how far they
are, one of each has. Until then it neither votes nor stands, and then for nobody who is behind what it was
told, nor in a term that somebody has reached. After a while it goes by its store all the same: else a group
whose voters were all down, and of which one never returns, would never decide again.
"""

from __future__ import annotations

from collections.abc import Collection

Log = tuple[int, int]  # the last entry's term and index: the greater, the further


class RejoinGuard:
    """`until`: from when on the store is taken for what it says, whoever was heard."""

    def __init__(self, until: float) -> None:
        self._until = until
        self._heard: dict[str, Log] = {}
        self.term = 0  # the greatest that anybody has reached

    @property
    def waits(self) -> bool:
        """Whether it wants to hear of others: it came back with a store that holds something."""
        return self._until != float("-inf")

    def trust(self) -> None:
        """There is nothing that the store could have lost: it is new, or counts from now on."""
        self._until = float("-inf")

    def heard(self, name: str, term: int, log: Log) -> None:
        """Another voter has said how far it is."""
        self.term = max(self.term, term)
        self._heard[name] = max(self._heard.get(name, (0, 0)), log)

    def required_log(self, now: float, name: str, voters: Collection[str]) -> Log | None:
        """How far a log has to be that `name` may vote for, its own too; None where that is not known yet."""
        if now >= self._until:
            return 0, 0
        others = [self._heard[one] for one in voters if one != name and one in self._heard]
        if len(others) < min(len(voters) - len(voters) // 2, len(voters) - 1):
            return None
        return max(others, default=(0, 0))

    def spent(self, now: float, term: int) -> bool:
        """Whether it may have voted in that term, and forgotten it."""
        return now < self._until and term <= self.term
