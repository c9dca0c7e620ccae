"""Why a voter does not do what it was asked to do."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base of all errors of this package."""


class NotLeaderError(ConsensusError):
    """Only a leader takes commands."""

    def __init__(self, leader: str) -> None:
        """Carry the name of the `leader` that is known, or ''."""
        super().__init__(leader)
        self.leader = leader


class BusyError(ConsensusError):
    """The leader can't do this now; it may be asked again later."""

    def __init__(self, reason: str) -> None:
        """Carry the `reason`, for people to read."""
        super().__init__(reason)
        self.reason = reason


class InvalidChangeError(ConsensusError, ValueError):
    """The voters can't be changed, or leadership can't be transferred, in this way."""

    def __init__(self, reason: str) -> None:
        """Carry the `reason`, for people to read."""
        super().__init__(reason)
        self.reason = reason


class InvalidRecordError(ConsensusError, ValueError):
    """A stored record can't be read, or does not follow from those before it."""

    def __init__(self, reason: str) -> None:
        """Carry the `reason`, for people to read."""
        super().__init__(reason)
        self.reason = reason
