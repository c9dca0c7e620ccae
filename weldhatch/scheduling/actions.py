"""Actions that `Policy.handle` returns, to be carried out immediately and in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Offer:
    """Offer a request to a machine as the request's next attempt; attempts are numbered from 0.

    `give_up_us` is the time-out of the attempt; 0 means the request's deadline. An offer that has not been
    sent by `start_by_us` must not be sent; 0 means no such limit.
    """

    request: int
    machine: int
    give_up_us: int = 0
    start_by_us: int = 0


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an open attempt; its outcome is still reported."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: not placed, and a retry is safe."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: not placed, and whether the task has run is unknown."""

    request: int


@dataclass(slots=True, frozen=True)
class Migrate:
    """Move a running task to another machine."""

    request: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a machine for its load; the result arrives as `ProbeAnswered`."""

    machine: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send `TimerFired` with this timer number after a delay."""

    after_us: int
    timer: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Start or end the subscription to endpoint lists."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Request the full endpoint list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log of the host program."""

    text: str


Action = Offer | Cancel | Reject | Fail | Migrate | Probe | SetTimer | Subscribe | FetchList | Log
