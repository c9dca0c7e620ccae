"""Errors with which a voter rejects a request or a stored record."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base of all errors of this package."""


class NotLeaderError(ConsensusError):
    """A request that only the leader can handle reached another voter."""

    def __init__(self, leader: str) -> None:
        """Create the error. `leader` is the name of the known leader, '' if none is known."""
        super().__init__(leader)
        self.leader = leader


class BusyError(ConsensusError):
    """The leader can't carry out the request at present; a later retry may succeed."""

    def __init__(self, reason: str) -> None:
        """Create the error with a human-readable `reason`."""
        super().__init__(reason)
        self.reason = reason


class InvalidChangeError(ConsensusError, ValueError):
    """The requested change of the voters, or transfer of leadership, is not valid."""

    def __init__(self, reason: str) -> None:
        """Create the error with a human-readable `reason`."""
        super().__init__(reason)
        self.reason = reason


class InvalidRecordError(ConsensusError, ValueError):
    """A stored record can't be decoded, or does not follow from the records before it."""

    def __init__(self, reason: str) -> None:
        """Create the error with a human-readable `reason`."""
        super().__init__(reason)
        self.reason = reason
