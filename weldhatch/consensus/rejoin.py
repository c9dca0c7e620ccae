"""Protection against an outdated store: what a restarted voter must learn before it votes. No I/O.

The store of a restarted voter may be an older copy. It then lacks entries that were committed with this
voter's acknowledgement, and votes that this voter granted. Each majority that included this voter had at
least n // 2 other members, so n - n // 2 other voters contain at least one member of every such majority.
Until that many have reported the end of their logs, the voter neither grants votes nor starts elections.
Afterwards it grants no vote to a log that is behind the reported ones, and none in a term that another voter
has reached. After a time limit the voter trusts its store regardless: otherwise a group whose voters were all
down, one of them permanently, could never commit again.
"""

from __future__ import annotations

from collections.abc import Collection

from weldhatch.consensus.messages import LogPosition

_NO_LOG = LogPosition(0, 0)
_TRUSTED = float("-inf")


class RejoinGuard:
    """Positions of the other voters' logs, as reported since this process started."""

    def __init__(self, trusted_from: float) -> None:
        """Create the guard. From the time `trusted_from` (seconds) on, the store is trusted in any case."""
        self._trusted_from = trusted_from
        self._positions: dict[str, LogPosition] = {}
        self.highest_term = 0  # highest term that another voter has reported

    @property
    def is_waiting(self) -> bool:
        """Whether the voter asks others for their positions: it restarted with a store that was not empty."""
        return self._trusted_from != _TRUSTED

    def trust_store(self) -> None:
        """Trust the store at once: it is new, or a new lineage starts from its present contents."""
        self._trusted_from = _TRUSTED

    def record_peer_position(self, name: str, term: int, position: LogPosition) -> None:
        """Record the term and the end of the log that another voter has reported."""
        self.highest_term = max(self.highest_term, term)
        self._positions[name] = max(self._positions.get(name, _NO_LOG), position)

    def required_log(self, now: float, name: str, voters: Collection[str]) -> LogPosition | None:
        """Return the lowest log position that `name` may vote for, its own included; None if unknown yet."""
        if now >= self._trusted_from:
            return _NO_LOG
        others = [self._positions[voter] for voter in voters if voter != name and voter in self._positions]
        if len(others) < min(len(voters) - len(voters) // 2, len(voters) - 1):
            return None
        return max(others, default=_NO_LOG)

    def may_have_voted(self, now: float, term: int) -> bool:
        """Whether this voter may have voted in that term and lost the record of it."""
        return now < self._trusted_from and term <= self.highest_term
