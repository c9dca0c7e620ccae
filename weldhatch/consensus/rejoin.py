"""A voter that comes back: what it has to hear before it votes on what its store says. Pure.

Its store may be an older copy. Then it lacks entries that a majority with it has decided, and has forgotten
votes that it gave. Each such majority had n // 2 others; so once n - n // 2 others have said how far they
are, one of each has. Until then it neither votes nor stands, and then for nobody who is behind what it was
told, nor in a term that somebody has reached. After a while it goes by its store all the same: else a group
whose voters were all down, and of which one never returns, would never decide again.
"""

from __future__ import annotations

from collections.abc import Collection

from weldhatch.consensus.messages import LogPosition

_NO_LOG = LogPosition(0, 0)
_TRUSTED = float("-inf")


class RejoinGuard:
    """Remember what other voters have said of their logs since this process started."""

    def __init__(self, trusted_from: float) -> None:
        """Take the store for what it says from `trusted_from` on (seconds), whoever was heard."""
        self._trusted_from = trusted_from
        self._positions: dict[str, LogPosition] = {}
        self.highest_term = 0  # that anybody has reached

    @property
    def is_waiting(self) -> bool:
        """Whether it wants to hear of others: it came back with a store that holds something."""
        return self._trusted_from != _TRUSTED

    def trust_store(self) -> None:
        """Note that there is nothing that the store could have lost: it is new, or counts from now on."""
        self._trusted_from = _TRUSTED

    def record_peer_position(self, name: str, term: int, position: LogPosition) -> None:
        """Another voter has said how far it is."""
        self.highest_term = max(self.highest_term, term)
        self._positions[name] = max(self._positions.get(name, _NO_LOG), position)

    def required_log(self, now: float, name: str, voters: Collection[str]) -> LogPosition | None:
        """Return how far a log has to be that `name` may vote for, its own too; None: not known yet."""
        if now >= self._trusted_from:
            return _NO_LOG
        others = [self._positions[voter] for voter in voters if voter != name and voter in self._positions]
        if len(others) < min(len(voters) - len(voters) // 2, len(voters) - 1):
            return None
        return max(others, default=_NO_LOG)

    def may_have_voted(self, now: float, term: int) -> bool:
        """Whether it may have voted in that term, and forgotten it."""
        return now < self._trusted_from and term <= self.highest_term
