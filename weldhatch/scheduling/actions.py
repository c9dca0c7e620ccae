"""What a policy wants done: `Policy.handle` returns these, to be carried out at once and in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Offer:
    """Offer a request to a machine; attempts count from 0. No time-out (0) means until the deadline.

    An offer that has not left by `start_by_us` must not leave any more; 0 where it may at any time.
    """

    request: int
    machine: int
    give_up_us: int = 0
    start_by_us: int = 0


@dataclass(slots=True, frozen=True)
class Cancel:
    """Take an open attempt back; its end is still reported."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: not placed, and trying again is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: not placed, with no promise about its effect."""

    request: int


@dataclass(slots=True, frozen=True)
class Migrate:
    """Have a running task placed anew elsewhere."""

    request: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a machine for its load; `ProbeAnswered` brings the result."""

    machine: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send `TimerFired` with this number after a wait."""

    after_us: int
    timer: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Start the subscription to lists of machines, or end it."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the full list of machines once."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the host program's log."""

    text: str


Action = Offer | Cancel | Reject | Fail | Migrate | Probe | SetTimer | Subscribe | FetchList | Log
